"""Keeps a control machine's replica up to date with the store."""

from collections.abc import Callable
from typing import Protocol

from ...errors import BurlloomError
from ..changes import Head, chain_break, head_after
from ..replica import Replica
from ..table import ConfigTable
from .change_store import ChangeStore, StoredPosition

PAGE_ITEMS = 256  # items read and put at a time, which takes some ms
CHANGES_PER_READ = 64  # changes read at a time
# Reads of changes after a load of the whole table. If that is not enough, changes are written
# faster than they are read, and the load is given up.
MAX_CATCH_UP_READS = 1000


class StoreInconsistentError(BurlloomError):
    """The store's changes do not continue the chain, although the store was not restored.

    Either they were signed with another key, or another program has written to the tables.
    """


class StoreEvents(Protocol):
    """Receives events of a `StoreFollower` other than single changes."""

    def on_table_loaded(self, head: Head) -> None:
        """Called after the whole table was loaded; `head` is the table's head."""

    def on_epoch_begun(self, store_head: Head, own_head: Head) -> None:
        """Called after the store had gone back to `store_head` and a new epoch was begun."""


class StoreFollower:
    """Polls a store and brings a replica to the store's head.

    Args:
        store: The store.
        replica: The replica.
        new_table: Makes an empty table for all scopes.
        events: Receives loads and new epochs.

    Attributes:
        is_open: Whether the store was opened; the host resets it after an error.
    """

    def __init__(
        self,
        store: ChangeStore,
        replica: Replica,
        new_table: Callable[[], ConfigTable],
        events: StoreEvents,
    ) -> None:
        self.store, self.replica, self.new_table, self.events = store, replica, new_table, events
        self.is_open = False

    async def poll(self) -> None:
        """Brings the replica to the store's head.

        Raises:
            StoreUnavailableError: The store can't be reached or used.
            StoreInconsistentError: The store's changes do not continue the chain.
        """
        if not self.is_open:
            await self.store.open()
            self.is_open = True
        # Read before the store's head: otherwise a change that a peer sends in the meantime would
        # make the store look as if it had gone back.
        own_head = self.replica.head
        head = await self.store.head()
        if own_head is None:
            await self.load_table()
        elif (head.epoch, head.revision) < (own_head.epoch, own_head.revision) or (
            (head.epoch, head.revision) == (own_head.epoch, own_head.revision)
            and head.tag != own_head.tag
        ):
            await self.begin_epoch(head, own_head)
        elif not self.replica.is_complete or head.epoch > own_head.epoch:
            await self.load_table()
        else:
            await self.apply_changes(head)

    async def apply_changes(self, head: Head) -> None:
        """Applies changes up to the store's head. Raises `StoreInconsistentError`."""
        while (own_head := self.replica.head) is not None and own_head.revision < head.revision:
            changes = await self.store.changes_since(own_head.revision, CHANGES_PER_READ)
            if self.replica.head != own_head:  # changes of a peer were applied in the meantime
                continue
            if not changes or changes[0].revision != own_head.revision + 1:
                await self.load_table()  # the log no longer contains the next change
                return
            for change in changes:
                own_head = self.replica.head
                reason = self.replica.apply_change(change)
                if reason is not None:
                    if (
                        own_head is None
                        or not self.replica.is_complete
                        or change.revision <= own_head.revision
                    ):
                        return  # changes or a sync of a peer have moved the replica in the meantime
                    last = await self.store.change_at(own_head.revision)
                    if own_head.revision == 0 or last is None or last.tag == own_head.tag:
                        raise StoreInconsistentError(f"revision {change.revision}: {reason}")
                    # The store was restored and written to since the last poll.
                    await self.begin_epoch(await self.store.head(), own_head)
                    return

    async def begin_epoch(self, store_head: Head, own_head: Head) -> None:
        """Begins an epoch because the store was restored.

        If several control machines try, one succeeds.
        """
        if await self.store.begin_epoch(store_head, max(store_head.epoch, own_head.epoch)):
            self.events.on_epoch_begun(store_head, own_head)

    async def load_table(self) -> None:
        """Replaces the replica's table by a load of the whole store and the changes meanwhile."""
        table, base = self.new_table(), await self.store.head()
        after: StoredPosition | None = None
        while page := await self.store.items(after, PAGE_ITEMS):
            table.put([stored.item for stored in page])
            after = page[-1].item[:3]
        for _ in range(MAX_CATCH_UP_READS):
            head = await self.store.head()
            if head.epoch != base.epoch:
                return  # a new epoch has begun; the next poll loads the table again
            if base.revision == head.revision:
                break
            for change in await self.store.changes_since(base.revision, CHANGES_PER_READ):
                if reason := chain_break(base, change, self.replica.keys):
                    raise StoreInconsistentError(f"revision {change.revision}: {reason}")
                table.put(self.replica.items_of(change))
                base = head_after(change)
        else:
            return
        own_head = self.replica.head
        if (
            own_head is not None
            and self.replica.is_complete
            and (own_head.epoch, own_head.revision) > (base.epoch, base.revision)
        ):
            return  # changes of a peer have moved the replica further in the meantime
        self.replica.table = table
        self.replica.complete_at(base)
        self.events.on_table_loaded(base)
