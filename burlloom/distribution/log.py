"""The last changes, in order, with what each did to the digest of its scope. No I/O.

The digest of a table is an XOR over its entries, so a change moves it by an XOR too: the digest
that a table had at an earlier revision is today's with the moves since then taken back.
"""

from collections import deque
from collections.abc import Container

from .changes import Change

LOG_MOST = 4096  # changes; 1.1 KB each at most: 4.6 MB


class Log:
    """`base`: the revision after which changes are kept, all up to the head."""

    def __init__(self, base: int = 0, most: int = LOG_MOST) -> None:
        self.base, self.most = base, most
        self.kept: deque[tuple[Change, int]] = deque()

    def __len__(self) -> int:
        return len(self.kept)

    def add(self, change: Change, moved: int) -> None:
        """`moved`: the digest of the change's scope before, XOR after; 0 where it is not held."""
        self.kept.append((change, moved))
        if len(self.kept) > self.most:
            self.kept.popleft()
            self.base += 1

    def restart(self, base: int) -> None:
        self.kept.clear()
        self.base = base

    def since(self, revision: int, most: int) -> list[Change] | None:
        """Up to so many changes after that revision, in order; None where they are not kept any
        more.
        """
        at = revision - self.base
        if at < 0:
            return None
        return [self.kept[place][0] for place in range(at, min(at + most, len(self.kept)))]

    def moved(self, revision: int, scopes: Container[str] | None) -> int | None:
        """By what the digest of those scopes moved since that revision; None where that is not
        kept.
        """
        at = revision - self.base
        if not 0 <= at <= len(self.kept):
            return None
        found = 0
        for place in range(at, len(self.kept)):
            change, moved = self.kept[place]
            if scopes is None or change.scope in scopes:
                found ^= moved
        return found
