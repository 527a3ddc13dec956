"""The last changes of a replica, in order, with each one's effect on the digest of its scope.

The digest of a table is an XOR over its items, so a change alters it by an XOR too: the digest at
an earlier revision is today's with the changes since then XORed out. No I/O.
"""

from collections import deque
from collections.abc import Container

from .changes import Change

MAX_LOGGED_CHANGES = 4096  # changes; 1.1 KB each at most: 4.6 MB


class ChangeLog:
    """A bounded log of changes; `base_revision` is the revision before the oldest one kept."""

    def __init__(self, base: int = 0, most: int = MAX_LOGGED_CHANGES) -> None:
        self.base_revision, self.max_changes = base, most
        self.changes: deque[tuple[Change, int]] = deque()

    def __len__(self) -> int:
        return len(self.changes)

    def append(self, change: Change, moved: int) -> None:
        """Append a change, with the XOR of its scope's digests before and after (0 if not held)."""
        self.changes.append((change, moved))
        if len(self.changes) > self.max_changes:
            self.changes.popleft()
            self.base_revision += 1

    def restart(self, base: int) -> None:
        """Forget all changes; the next one is that after revision `base`."""
        self.changes.clear()
        self.base_revision = base

    def changes_since(self, revision: int, most: int) -> list[Change] | None:
        """Return at most `most` changes after a revision; None if they are no longer logged."""
        at = revision - self.base_revision
        if at < 0:
            return None
        return [self.changes[place][0] for place in range(at, min(at + most, len(self.changes)))]

    def digest_delta_since(self, revision: int, scopes: Container[str] | None) -> int | None:
        """Return the XOR of the scopes' digest deltas since a revision; None if not logged."""
        at = revision - self.base_revision
        if not 0 <= at <= len(self.changes):
            return None
        found = 0
        for place in range(at, len(self.changes)):
            change, moved = self.changes[place]
            if scopes is None or change.scope in scopes:
                found ^= moved
        return found
