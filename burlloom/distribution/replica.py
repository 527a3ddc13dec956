"""A process's copy of the configuration: table, head and latest changes. Does no I/O."""

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
    """A configuration table with the head and the log of the changes that led to it.

    Args:
        table: The table.
        keys: Signing keys, any of which may have signed a change.
        max_logged_changes: Upper bound on the changes kept in the log.

    Attributes:
        head: Head of the revision in force; None until the table was complete for the first time.
        is_partial: Whether the table already holds pages of a revision later than `head`. Lookups
            still use such a table, but no follower may copy it.
        log: The latest changes.
    """

    def __init__(
        self,
        table: ConfigTable,
        keys: Sequence[bytes],
        max_logged_changes: int = MAX_LOGGED_CHANGES,
    ) -> None:
        self.table, self.keys = table, tuple(keys)
        self.log = ChangeLog(0, max_logged_changes)
        self.head: Head | None = None
        self.is_partial = False

    @property
    def is_complete(self) -> bool:
        """Returns whether the table is exactly that of the head's revision."""
        return self.head is not None and not self.is_partial

    def apply_change(self, change: Change) -> str | None:
        """Applies the next change atomically; returns None, or the reason for refusing it."""
        if self.head is None or self.is_partial:
            return "no complete revision in force"
        reason = chain_break(self.head, change, self.keys) or self.apply_to_table(change)
        if reason:
            return reason
        self.head = head_after(change)
        return None

    def apply_to_table(self, change: Change) -> str:
        """Puts a change's items into the table and logs the change.

        Returns:
            "", or the reason for refusing the change, which then has no effect.
        """
        digest_delta = 0
        if self.holds_scope(change.scope):
            try:
                entries = self.items_of(change)
            except InvalidChangeError as error:
                return str(error)
            scopes = (change.scope,)
            digest_before = self.digest_of(scopes)
            try:
                self.table.put(entries)
            except ValueError as error:  # the table checks its bounds before any modification
                return f"rejected by the table: {error!s:.200}"
            digest_delta = digest_before ^ self.digest_of(scopes)
        self.log.append(change, digest_delta)
        return ""

    def items_of(self, change: Change) -> list[ConfigItem]:
        """Returns a change's items.

        Raises:
            InvalidChangeError: The body is invalid, or was left out although the scope is held.
        """
        if change.body is None:
            raise InvalidChangeError(["body: missing although the scope is held"])
        return decode_items(change.scope, change.body)

    def holds_scope(self, scope: str) -> bool:
        """Returns whether the table holds items of a scope."""
        return self.table.scopes is None or scope in self.table.scopes

    def load(self, head: Head, entries: Iterable[ConfigItem] = ()) -> None:
        """Puts items read from a store into the table and sets the head of their revision."""
        self.table.put(entries)
        self.complete_at(head)

    def complete_at(self, head: Head) -> None:
        """Sets the head after a sync or a load made the table that revision; restarts the log."""
        self.head, self.is_partial = head, False
        self.log.restart(head.revision)

    def digest_at(self, revision: int, scopes: tuple[str, ...] | None) -> int | None:
        """Returns the digest of the scopes at an earlier revision; None if it is not known.

        `scopes` None stands for all scopes held.
        """
        if self.head is None or self.is_partial or revision > self.head.revision:
            return None
        digest_delta = self.log.digest_delta_since(revision, scopes)
        return None if digest_delta is None else digest_delta ^ self.digest_of(scopes)

    def digest_of(self, scopes: tuple[str, ...] | None) -> int:
        """Returns the digest over the scopes; None stands for all scopes held."""
        return self.table.digest() if scopes is None else self.table.digest_of(scopes)

    def digests_of(self, scopes: tuple[str, ...] | None) -> tuple[int, ...]:
        """Returns each bucket's digest over the scopes; None stands for all scopes held."""
        return self.table.digests() if scopes is None else self.table.digests_of(scopes)
