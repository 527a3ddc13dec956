"""How a control machine's copy follows the store."""

from collections.abc import Callable
from typing import Protocol

from ..changes import Head, break_of, head_of
from ..replica import Replica
from ..table import Table
from .store import ChangeStore, Place

PAGE = 256  # entries that are read, and put, at a time: some ms
AT_ONCE = 64  # changes that are read at a time
REPLAYS = 1000  # pages of changes after a whole read, before it is given up: writers outrun us


class Broken(Exception):
    """What the store has does not follow from what it had, and nobody put it back: another signing
    key, or somebody wrote to its tables.
    """


class Told(Protocol):
    """Of what moved, but change after change."""

    def loaded(self, head: Head) -> None: ...
    def renewed(self, seen: Head, own: Head) -> None: ...


class Reading:
    """`table`: makes an empty one, of all scopes."""

    def __init__(
        self, store: ChangeStore, replica: Replica, table: Callable[[], Table], told: Told
    ) -> None:
        self.store, self.replica, self.table, self.told = store, replica, table, told
        self.opened = False

    async def round(self) -> None:
        """Takes what is new. Raises `Away` or `Broken`."""
        if not self.opened:
            await self.store.open()
            self.opened = True
        own = (
            self.replica.head
        )  # before the store is asked: what a peer tells us meanwhile is not behind its answer
        head = await self.store.head()
        if own is None:
            await self.load()
        elif (head.epoch, head.revision) < (own.epoch, own.revision) or (
            (head.epoch, head.revision) == (own.epoch, own.revision) and head.tag != own.tag
        ):
            await self.renew(head, own)
        elif not self.replica.whole or head.epoch > own.epoch:
            await self.load()
        else:
            await self.take(head)

    async def take(self, head: Head) -> None:
        while (own := self.replica.head) is not None and own.revision < head.revision:
            found = await self.store.since(own.revision, AT_ONCE)
            if self.replica.head != own:  # a peer told us meanwhile
                continue
            if not found or found[0].revision != own.revision + 1:
                await self.load()  # we were away for longer than the log reaches
                return
            for change in found:
                own = self.replica.head
                reason = self.replica.take(change)
                if reason is not None:
                    if own is None or not self.replica.whole or change.revision <= own.revision:
                        return  # a peer brought us further meanwhile, or a sync with it began
                    last = await self.store.at(own.revision)
                    if own.revision == 0 or last is None or last.tag == own.tag:
                        raise Broken(f"revision {change.revision}: {reason}")
                    # A store that was put back, and was written to before we looked.
                    await self.renew(await self.store.head(), own)
                    return

    async def renew(self, seen: Head, own: Head) -> None:
        """The store is not where it was: it was put back. Others look too; one of us begins the
        epoch.
        """
        if await self.store.renew(seen, max(seen.epoch, own.epoch)):
            self.told.renewed(seen, own)

    async def load(self) -> None:
        """The whole table, beside the one in force, and the changes that came meanwhile."""
        table, base = self.table(), await self.store.head()
        after: Place | None = None
        while page := await self.store.entries(after, PAGE):
            table.put([one.entry for one in page])
            after = page[-1].entry[:3]
        for _ in range(REPLAYS):
            head = await self.store.head()
            if head.epoch != base.epoch:
                return  # the next round begins anew
            if base.revision == head.revision:
                break
            for change in await self.store.since(base.revision, AT_ONCE):
                if reason := break_of(base, change, self.replica.keys):
                    raise Broken(f"revision {change.revision}: {reason}")
                table.put(self.replica.entries_of(change))
                base = head_of(change)
        else:
            return
        own = self.replica.head
        if (
            own is not None
            and self.replica.whole
            and (own.epoch, own.revision) > (base.epoch, base.revision)
        ):
            return  # a peer brought us further meanwhile
        self.replica.table = table
        self.replica.settle(base)
        self.told.loaded(base)
