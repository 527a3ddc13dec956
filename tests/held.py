"""A lock of an SQLite file that another holds, by a clock of its own."""

import sqlite3
from pathlib import Path
from typing import Any

from burlloom.record.lock_retry import LOCK_TIMEOUT_S, LockRetry


class Held:
    """The file's lock, in another's hands until a clock of its own says so; that goes on only while
    one waits.
    """

    def __init__(self, path: Path, until: float) -> None:
        self.until, self.now, self.looks = until, 0.0, 0
        self.db = sqlite3.connect(path, isolation_level=None, check_same_thread=False)
        self.db.execute("BEGIN IMMEDIATE")

    def clock(self) -> float:
        return self.now

    def rest(self, span: float) -> None:
        assert 0 < span <= 0.015  # none waits for long while the lock is free
        self.now, self.looks = self.now + span, self.looks + 1
        if self.now >= self.until and self.db.in_transaction:
            self.db.execute("ROLLBACK")

    def turns(self, wait: float = LOCK_TIMEOUT_S, **told: Any) -> LockRetry:
        return LockRetry(wait, clock=self.clock, sleep=self.rest, **told)
