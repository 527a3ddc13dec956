"""An SQLite file whose lock another connection holds for a time on a simulated clock."""

import sqlite3
from pathlib import Path
from typing import Any

from burlloom.record.lock_retry import LOCK_TIMEOUT_S, LockRetry

MAX_PAUSE_S = 0.015  # the longest permitted pause between two attempts to take the lock


class LockedDatabase:
    """Holds the file's lock until a time on a clock that advances only while a waiter sleeps.

    Attributes:
        released_at_s: When the lock is released, seconds on the simulated clock.
        now_s: The simulated clock, seconds.
        attempts: The number of pauses between attempts to take the lock.
    """

    def __init__(self, path: Path, released_at_s: float) -> None:
        self.released_at_s = released_at_s
        self.now_s = 0.0
        self.attempts = 0
        self.db = sqlite3.connect(path, isolation_level=None, check_same_thread=False)
        self.db.execute("BEGIN IMMEDIATE")

    def clock(self) -> float:
        return self.now_s

    def sleep(self, duration_s: float) -> None:
        assert 0 < duration_s <= MAX_PAUSE_S
        self.now_s += duration_s
        self.attempts += 1
        if self.now_s >= self.released_at_s and self.db.in_transaction:
            self.db.execute("ROLLBACK")

    def lock_retry(self, timeout_s: float = LOCK_TIMEOUT_S, **options: Any) -> LockRetry:
        """Returns a retry rule that waits on the simulated clock."""
        return LockRetry(timeout_s, clock=self.clock, sleep=self.sleep, **options)
