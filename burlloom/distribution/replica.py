"""A process's copy of the configuration: table, head and last changes. No I/O."""

from collections.abc import Iterable, Sequence

from .change_log import MAX_LOGGED_CHANGES, ChangeLog
from .changes import (
    Change,
    ConfigItem,
    Head,
    InvalidChangeError,
    chain_break,
    decode_items,
    head_after,
)
from .table import ConfigTable


class Replica:
    """The table, and how one change moves it on.

    Attributes:
        head: the revision in force; None until a first one was complete.
        is_partial: pages of a later revision lie in the table already: it is served from, but
            nobody may copy it.
        keys: signing keys, any of which may have signed a change.
    """

    def __init__(
        self, table: ConfigTable, keys: Sequence[bytes], log_most: int = MAX_LOGGED_CHANGES
    ) -> None:
        self.table, self.keys = table, tuple(keys)
        self.log = ChangeLog(0, log_most)
        self.head: Head | None = None
        self.is_partial = False

    @property
    def is_complete(self) -> bool:
        """Whether the table is exactly the head's revision."""
        return self.head is not None and not self.is_partial

    def apply_change(self, change: Change) -> str | None:
        """Apply the next change, all or nothing; returns None, or why it was not applied."""
        if self.head is None or self.is_partial:
            return "no whole revision to follow"
        reason = chain_break(self.head, change, self.keys) or self.apply_to_table(change)
        if reason:
            return reason
        self.head = head_after(change)
        return None

    def apply_to_table(self, change: Change) -> str:
        """Put a change's items into the table and log it; returns why it can't be, else ""."""
        moved = 0
        if self.holds_scope(change.scope):
            try:
                entries = self.items_of(change)
            except InvalidChangeError as refused:
                return str(refused)
            scopes = (change.scope,)
            before = self.digest_of(scopes)
            try:
                self.table.put(entries)
            except ValueError as error:  # a table's own bounds, before it touched anything
                return f"the table refuses: {error!s:.200}"
            moved = before ^ self.digest_of(scopes)
        self.log.append(change, moved)
        return ""

    def items_of(self, change: Change) -> list[ConfigItem]:
        """Return a change's items. Raises `InvalidChangeError`."""
        if change.body is None:
            raise InvalidChangeError(["body: left out, and the scope is held here"])
        return decode_items(change.scope, change.body)

    def holds_scope(self, scope: str) -> bool:
        """Whether the table holds items of that scope."""
        return self.table.scopes is None or scope in self.table.scopes

    def load(self, head: Head, entries: Iterable[ConfigItem] = ()) -> None:
        """Put items read from a store, in thousands, and set the head that they are of."""
        self.table.put(entries)
        self.complete_at(head)

    def complete_at(self, head: Head) -> None:
        """Set the head, after the table was made that revision by other means than changes."""
        self.head, self.is_partial = head, False
        self.log.restart(head.revision)

    def digest_at(self, revision: int, scopes: tuple[str, ...] | None) -> int | None:
        """Return the digest of those scopes at a revision; None if it can't be told."""
        if self.head is None or self.is_partial or revision > self.head.revision:
            return None
        moved = self.log.digest_delta_since(revision, scopes)
        return None if moved is None else moved ^ self.digest_of(scopes)

    def digest_of(self, scopes: tuple[str, ...] | None) -> int:
        """Return the digest over those scopes; None: all that are held."""
        return self.table.digest() if scopes is None else self.table.digest_of(scopes)

    def digests_of(self, scopes: tuple[str, ...] | None) -> tuple[int, ...]:
        """Return the digest of each bucket over those scopes; None: all that are held."""
        return self.table.digests() if scopes is None else self.table.digests_of(scopes)
