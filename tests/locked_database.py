"""An SQLite file that another connection keeps locked, by a clock of its own."""

import sqlite3
from pathlib import Path
from typing import Any

from burlloom.record.lock_retry import LOCK_TIMEOUT_S, LockRetry

MAX_PAUSE_S = 0.015  # none waits for long while the lock may be free


class LockedDatabase:
    """Keeps the file's lock until its clock says so; the clock goes on only while one waits.

    Attributes:
        released_at_s: When the lock is released.
        now_s: The clock.
        attempts: Pauses of those who wait.
    """

    def __init__(self, path: Path, released_at_s: float) -> None:
        self.released_at_s = released_at_s
        self.now_s = 0.0
        self.attempts = 0
        self.db = sqlite3.connect(path, isolation_level=None, check_same_thread=False)
        self.db.execute("BEGIN IMMEDIATE")

    def clock(self) -> float:
        return self.now_s

    def sleep(self, span_s: float) -> None:
        assert 0 < span_s <= MAX_PAUSE_S
        self.now_s += span_s
        self.attempts += 1
        if self.now_s >= self.released_at_s and self.db.in_transaction:
            self.db.execute("ROLLBACK")

    def lock_retry(self, timeout_s: float = LOCK_TIMEOUT_S, **options: Any) -> LockRetry:
        """Returns what waits for the lock by this clock."""
        return LockRetry(timeout_s, clock=self.clock, sleep=self.sleep, **options)
