"""The last changes, in order, with what each did to the digest of its scope. No I/O.

The digest of a table is an XOR over its entries, so a change moves it by an XOR too: the digest
that a table had at an earlier revision is today's with the moves since then taken back.
"""

from collections import deque
from collections.abc import Container

from .changes import Change

MAX_LOGGED_CHANGES = 4096  # changes; 1.1 KB each at most: 4.6 MB


class ChangeLog:
    """`base`: the revision after which changes are kept, all up to the head."""

    def __init__(self, base: int = 0, most: int = MAX_LOGGED_CHANGES) -> None:
        self.base_revision, self.max_changes = base, most
        self.changes: deque[tuple[Change, int]] = deque()

    def __len__(self) -> int:
        return len(self.changes)

    def append(self, change: Change, moved: int) -> None:
        """`moved`: the digest of the change's scope before, XOR after; 0 where it is not held."""
        self.changes.append((change, moved))
        if len(self.changes) > self.max_changes:
            self.changes.popleft()
            self.base_revision += 1

    def restart(self, base: int) -> None:
        self.changes.clear()
        self.base_revision = base

    def changes_since(self, revision: int, most: int) -> list[Change] | None:
        """Up to so many changes after that revision, in order; None where they are not kept any
        more.
        """
        at = revision - self.base_revision
        if at < 0:
            return None
        return [self.changes[place][0] for place in range(at, min(at + most, len(self.changes)))]

    def digest_delta_since(self, revision: int, scopes: Container[str] | None) -> int | None:
        """By what the digest of those scopes moved since that revision; None where that is not
        kept.
        """
        at = revision - self.base_revision
        if not 0 <= at <= len(self.changes):
            return None
        found = 0
        for place in range(at, len(self.changes)):
            change, moved = self.changes[place]
            if scopes is None or change.scope in scopes:
                found ^= moved
        return found
