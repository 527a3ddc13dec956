"""Bounded log of a replica's latest changes, each with its effect on the digest of its scope.

The digest of a table is an XOR over its items, so each change alters it by an XOR as well. The
digest at an earlier revision is the current digest XORed with the deltas of all later changes. Does
no I/O.
"""

from collections import deque
from collections.abc import Container

from .changes import Change

MAX_LOGGED_CHANGES = 4096  # at most 1.1 KB each, 4.6 MB in total


class ChangeLog:
    """A log of the latest changes that drops the oldest ones beyond `max_changes`.

    Attributes:
        base_revision: Revision directly before the oldest logged change.
        max_changes: Upper bound on the logged changes.
        changes: The changes in order, each with its digest delta.
    """

    def __init__(self, base_revision: int = 0, max_changes: int = MAX_LOGGED_CHANGES) -> None:
        self.base_revision, self.max_changes = base_revision, max_changes
        self.changes: deque[tuple[Change, int]] = deque()

    def __len__(self) -> int:
        return len(self.changes)

    def append(self, change: Change, digest_delta: int) -> None:
        """Appends a change.

        Args:
            change: The change after the last logged one.
            digest_delta: XOR of the scope's digests before and after the change; 0 if the replica
                does not hold the scope.
        """
        self.changes.append((change, digest_delta))
        if len(self.changes) > self.max_changes:
            self.changes.popleft()
            self.base_revision += 1

    def restart(self, base_revision: int) -> None:
        """Drops all changes; the next change appended follows revision `base_revision`."""
        self.changes.clear()
        self.base_revision = base_revision

    def changes_since(self, revision: int, max_changes: int) -> list[Change] | None:
        """Returns at most `max_changes` changes after a revision; None if they were dropped."""
        offset = revision - self.base_revision
        if offset < 0:
            return None
        return [
            self.changes[index][0]
            for index in range(offset, min(offset + max_changes, len(self.changes)))
        ]

    def digest_delta_since(self, revision: int, scopes: Container[str] | None) -> int | None:
        """Returns the XOR of the scopes' digest deltas since a revision.

        `scopes` None stands for all scopes. The result is None if the revision is not in the log.
        """
        offset = revision - self.base_revision
        if not 0 <= offset <= len(self.changes):
            return None
        total_delta = 0
        for index in range(offset, len(self.changes)):
            change, digest_delta = self.changes[index]
            if scopes is None or change.scope in scopes:
                total_delta ^= digest_delta
        return total_delta
