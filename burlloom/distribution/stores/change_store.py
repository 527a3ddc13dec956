"""The interface of a store of configuration changes."""

from typing import NamedTuple, Protocol

from ...record.store import StoreUnavailableError as StoreUnavailableError
from ..changes import Change, ConfigItem, Head

Place = tuple[str, str, str]  # scope, kind, key: the order in which entries are read


class StoredItem(NamedTuple):
    """An item in force, with the epoch and revision that wrote it last."""

    item: ConfigItem
    epoch: int
    revision: int


class ChangeStore(Protocol):
    """A store of changes; all methods but `close` raise `StoreUnavailableError`."""

    async def open(self) -> None:
        """Take missing schema steps, and begin an epoch if there is none."""

    async def head(self) -> Head:
        """Return the last change's head."""

    async def changes_since(self, revision: int, most: int) -> list[Change]:
        """Return logged changes after a revision, in order.

        The first is a later one if the log was pruned.
        """

    async def change_at(self, revision: int) -> Change | None:
        """Return the change of that revision, if it is still logged."""

    async def append(self, change: Change) -> bool:
        """Write a change if nobody wrote its revision before; durable when it returns True."""

    async def items(self, after: Place | None, most: int) -> list[StoredItem]:
        """Return a page of the items in force behind `after`, in order.

        The table may move between two pages. The items read, followed by all changes after the head
        that was read before them, are what is in force at the last of those changes.
        """

    async def item(self, scope: str, kind: str, key: str) -> StoredItem | None:
        """Return the item in force under a key of that scope."""

    async def begin_epoch(self, seen: Head, beyond: int) -> bool:
        """Begin an epoch later than `beyond`, if `seen` is still the head.

        Used after the store was restored, since it would give revisions again that were given
        before. The items stay; the log is dropped.
        """

    async def close(self) -> None:
        """Release the store's connections."""
