"""The interface of a store of configuration changes and of the items in force."""

from typing import NamedTuple, Protocol

from ...record.store import StoreUnavailableError as StoreUnavailableError
from ..changes import Change, ConfigItem, Head

StoredPosition = tuple[str, str, str]  # scope, kind, key; items are read in this order


class StoredItem(NamedTuple):
    """An item in force, with the epoch and revision of the change that set it."""

    item: ConfigItem
    epoch: int
    revision: int


class ChangeStore(Protocol):
    """A store of changes and items.

    All methods except `close` raise `StoreUnavailableError` if the store can't be reached or used.
    """

    async def open(self) -> None:
        """Applies missing schema migrations, and begins an epoch if there is none."""

    async def head(self) -> Head:
        """Returns the head of the current epoch."""

    async def changes_since(self, revision: int, max_count: int) -> list[Change]:
        """Returns at most `max_count` logged changes after a revision, in order.

        The first one returned does not directly follow `revision` if the log was pruned.
        """

    async def change_at(self, revision: int) -> Change | None:
        """Returns the change with a revision; None if it is not in the log."""

    async def append(self, change: Change) -> bool:
        """Writes a change unless its revision was written before.

        Returns:
            Whether the change was written; if so, it is durable.
        """

    async def items(self, after: StoredPosition | None, max_count: int) -> list[StoredItem]:
        """Returns a page of at most `max_count` items in force after a position, in order.

        The table may change between two pages. Reading the head, then all pages, and then applying
        all changes after that head gives the items in force at the last of those changes.
        """

    async def item(self, scope: str, kind: str, key: str) -> StoredItem | None:
        """Returns the item of a scope with a key; None if there is none."""

    async def begin_epoch(self, store_head: Head, later_than: int) -> bool:
        """Begins an epoch after `later_than` if `store_head` is still the head.

        This is needed after a restore of the store, which would otherwise assign revisions a second
        time. The items stay; the log is dropped.

        Returns:
            Whether the epoch was begun.
        """

    async def close(self) -> None:
        """Closes the store's connections."""
