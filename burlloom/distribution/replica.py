"""What one process holds: the table, its head and the last changes; how it moves on by one change.
No I/O.
"""

from collections.abc import Iterable, Sequence

from .changes import Change, Entry, Head, Refused, break_of, decode, head_of
from .log import LOG_MOST, Log
from .table import Table


class Replica:
    """`head`: None until a first revision was whole here. `patched`: the table is on its way from
    the head's revision to a later one, pages of which lie in it already: it is served on, but is
    nothing to copy from. `keys`: of signing, any of them will do.
    """

    def __init__(self, table: Table, keys: Sequence[bytes], log_most: int = LOG_MOST) -> None:
        self.table, self.keys = table, tuple(keys)
        self.log = Log(0, log_most)
        self.head: Head | None = None
        self.patched = False

    @property
    def whole(self) -> bool:
        """Whether the table is exactly the head's revision."""
        return self.head is not None and not self.patched

    def take(self, change: Change) -> str | None:
        """The next change, all of it or nothing. None where it holds now, else why it does not."""
        if self.head is None or self.patched:
            return "no whole revision to follow"
        reason = break_of(self.head, change, self.keys) or self.put(change)
        if reason:
            return reason
        self.head = head_of(change)
        return None

    def put(self, change: Change) -> str:
        moved = 0
        if self.holds(change.scope):
            try:
                entries = self.entries_of(change)
            except Refused as refused:
                return str(refused)
            scopes = (change.scope,)
            before = self.digest_of(scopes)
            try:
                self.table.put(entries)
            except ValueError as error:  # a table's own bounds, before it touched anything
                return f"the table refuses: {error!s:.200}"
            moved = before ^ self.digest_of(scopes)
        self.log.add(change, moved)
        return ""

    def entries_of(self, change: Change) -> list[Entry]:
        """Raises `Refused`."""
        if change.body is None:
            raise Refused(["body: left out, and the scope is held here"])
        return decode(change.scope, change.body)

    def holds(self, scope: str) -> bool:
        return self.table.scopes is None or scope in self.table.scopes

    def begin(self, head: Head, entries: Iterable[Entry] = ()) -> None:
        """Of a store: the table is made exactly those entries beforehand or by them, in their
        thousands.
        """
        self.table.put(entries)
        self.settle(head)

    def settle(self, head: Head) -> None:
        """The table is that revision now, by another way than change after change."""
        self.head, self.patched = head, False
        self.log.restart(head.revision)

    def digest_at(self, revision: int, scopes: tuple[str, ...] | None) -> int | None:
        """The digest that those scopes had at that revision; None where that can't be told."""
        if self.head is None or self.patched or revision > self.head.revision:
            return None
        moved = self.log.moved(revision, scopes)
        return None if moved is None else moved ^ self.digest_of(scopes)

    def digest_of(self, scopes: tuple[str, ...] | None) -> int:
        return self.table.digest() if scopes is None else self.table.digest_of(scopes)

    def digests_of(self, scopes: tuple[str, ...] | None) -> tuple[int, ...]:
        return self.table.digests() if scopes is None else self.table.digests_of(scopes)
