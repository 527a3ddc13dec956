"""Makes a control machine's replica follow the store."""

from collections.abc import Callable
from typing import Protocol

from ...errors import BurlloomError
from ..changes import Head, chain_break, head_after
from ..replica import Replica
from ..table import ConfigTable
from .change_store import ChangeStore, Place

PAGE_ITEMS = 256  # entries that are read, and put, at a time: some ms
CHANGES_PER_READ = 64  # changes that are read at a time
MAX_REPLAYS = 1000  # pages of changes after a whole read, before it is given up: writers outrun us


class StoreInconsistentError(BurlloomError):
    """The store's content does not follow from what it had, and it was not restored.

    Either it was signed with another key, or its tables were written by somebody else.
    """


class StoreEvents(Protocol):
    """Told of moves that are not change after change."""

    def on_table_loaded(self, head: Head) -> None:
        """The whole table was loaded; `head` is its revision."""

    def on_epoch_begun(self, seen: Head, own: Head) -> None:
        """The store had gone back from `own` to `seen`, and a new epoch was begun."""


class StoreFollower:
    """Polls a store; `new_table` makes an empty table of all scopes."""

    def __init__(
        self,
        store: ChangeStore,
        replica: Replica,
        table: Callable[[], ConfigTable],
        events: StoreEvents,
    ) -> None:
        self.store, self.replica, self.new_table, self.events = store, replica, table, events
        self.is_open = False

    async def poll(self) -> None:
        """Apply what is new. Raises `StoreUnavailableError` or `StoreInconsistentError`."""
        if not self.is_open:
            await self.store.open()
            self.is_open = True
        own = (
            self.replica.head
        )  # before the store is asked: what a peer tells us meanwhile is not behind its answer
        head = await self.store.head()
        if own is None:
            await self.load_table()
        elif (head.epoch, head.revision) < (own.epoch, own.revision) or (
            (head.epoch, head.revision) == (own.epoch, own.revision) and head.tag != own.tag
        ):
            await self.begin_epoch(head, own)
        elif not self.replica.is_complete or head.epoch > own.epoch:
            await self.load_table()
        else:
            await self.apply_changes(head)

    async def apply_changes(self, head: Head) -> None:
        """Apply changes up to the store's head. Raises `StoreInconsistentError`."""
        while (own := self.replica.head) is not None and own.revision < head.revision:
            found = await self.store.changes_since(own.revision, CHANGES_PER_READ)
            if self.replica.head != own:  # a peer was faster
                continue
            if not found or found[0].revision != own.revision + 1:
                await self.load_table()  # we were away for longer than the log reaches
                return
            for change in found:
                own = self.replica.head
                reason = self.replica.apply_change(change)
                if reason is not None:
                    if (
                        own is None
                        or not self.replica.is_complete
                        or change.revision <= own.revision
                    ):
                        return  # a peer brought us further meanwhile, or a sync with it began
                    last = await self.store.change_at(own.revision)
                    if own.revision == 0 or last is None or last.tag == own.tag:
                        raise StoreInconsistentError(f"revision {change.revision}: {reason}")
                    # A store that was put back, and was written to before we looked.
                    await self.begin_epoch(await self.store.head(), own)
                    return

    async def begin_epoch(self, seen: Head, own: Head) -> None:
        """Begin an epoch, since the store was restored.

        Of several control machines one succeeds.
        """
        if await self.store.begin_epoch(seen, max(seen.epoch, own.epoch)):
            self.events.on_epoch_begun(seen, own)

    async def load_table(self) -> None:
        """Load the whole table beside the one in force, then the changes made meanwhile."""
        table, base = self.new_table(), await self.store.head()
        after: Place | None = None
        while page := await self.store.items(after, PAGE_ITEMS):
            table.put([one.item for one in page])
            after = page[-1].item[:3]
        for _ in range(MAX_REPLAYS):
            head = await self.store.head()
            if head.epoch != base.epoch:
                return  # the next round begins anew
            if base.revision == head.revision:
                break
            for change in await self.store.changes_since(base.revision, CHANGES_PER_READ):
                if reason := chain_break(base, change, self.replica.keys):
                    raise StoreInconsistentError(f"revision {change.revision}: {reason}")
                table.put(self.replica.items_of(change))
                base = head_after(change)
        else:
            return
        own = self.replica.head
        if (
            own is not None
            and self.replica.is_complete
            and (own.epoch, own.revision) > (base.epoch, base.revision)
        ):
            return  # a peer brought us further meanwhile
        self.replica.table = table
        self.replica.complete_at(base)
        self.events.on_table_loaded(base)
