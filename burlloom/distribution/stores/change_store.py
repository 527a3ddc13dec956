"""What keeps the changes: every store offers these, and refuses in one way."""

from typing import NamedTuple, Protocol

from ...record.store import StoreUnavailableError as StoreUnavailableError
from ..changes import Change, ConfigItem, Head

Place = tuple[str, str, str]  # scope, kind, key: the order in which entries are read


class StoredItem(NamedTuple):
    """An entry in force, and the epoch and revision that wrote it last."""

    item: ConfigItem
    epoch: int
    revision: int


class ChangeStore(Protocol):
    """All but `close` raise `Away`."""

    async def open(self) -> None:
        """Takes missing schema steps, and begins an epoch where there is none."""

    async def head(self) -> Head: ...
    async def changes_since(self, revision: int, most: int) -> list[Change]:
        """The changes after it that are still in the log, in order; the first is a later one where
        it was pruned.
        """

    async def change_at(self, revision: int) -> Change | None:
        """That change, if it is still in the log."""

    async def append(self, change: Change) -> bool:
        """In one step, if nobody wrote its revision before. On disk when it says yes."""

    async def items(self, after: Place | None, most: int) -> list[StoredItem]:
        """A page of what is in force, in order. The table may move between two pages: entries that
        were read, and then all changes after the head that was read before, in order, are what is
        in force at the last.
        """

    async def item(self, scope: str, kind: str, key: str) -> StoredItem | None: ...
    async def begin_epoch(self, seen: Head, beyond: int) -> bool:
        """A new epoch, later than `beyond`, if that is still the head: the store was put back, and
        revisions that it gives from now on were given before. What is in force stays; the log goes.
        """

    async def close(self) -> None: ...
