"""Waiting for the one lock of an SQLite file.

SQLite's own wait looks at the lock ever less often, in the end ten times a second and at the same
moments for all who wait: some twenty times in two seconds. Where others write all the time, on a
machine on which the lock's holder has to wait for a core, one may find it taken each time and
starve. Here attempts are frequent, and spread at random. What was refused for the lock did not take
effect: a statement or a whole transaction may be sent again.
"""

import sqlite3
import time
from collections.abc import Callable
from random import Random
from typing import TypeVar

__all__ = ["LOCK_TIMEOUT_S", "LockRetry", "is_lock_error"]

LOCK_TIMEOUT_S = 2.0  # a request that waits for its store is served without it, or rejected
MIN_PAUSE_S = 0.001
MAX_PAUSE_S = 0.015
PRIMARY_ERROR_MASK = 0xFF

Result = TypeVar("Result")


def is_lock_error(error: BaseException) -> bool:
    """Whether the error says that another holds the lock."""
    return isinstance(error, sqlite3.OperationalError) and (
        getattr(error, "sqlite_errorcode", 0) & PRIMARY_ERROR_MASK == sqlite3.SQLITE_BUSY
    )


class LockRetry:
    """Runs work until the lock is free, it is cancelled, or its time is over.

    Attributes:
        timeout_s: Seconds until the work is given up.
    """

    def __init__(
        self,
        timeout_s: float = LOCK_TIMEOUT_S,
        *,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
        is_cancelled: Callable[[], bool] = lambda: False,
    ) -> None:
        """Makes a rule; it may be used by one thread at a time.

        Args:
            timeout_s: Seconds until the work is given up.
            clock: The time, in seconds.
            sleep: Waits for so many seconds.
            is_cancelled: Whether to give up now.
        """
        self.timeout_s = timeout_s
        self._clock = clock
        self._sleep = sleep
        self._is_cancelled = is_cancelled
        self._random = Random()

    def run(self, work: Callable[[], Result]) -> Result:
        """Runs work that leaves no transaction open where it raises.

        Raises:
            sqlite3.OperationalError: The lock was not free in time, or another error of the work.
        """
        give_up_at = self._clock() + self.timeout_s
        while True:
            try:
                return work()
            except sqlite3.OperationalError as error:
                is_over = self._is_cancelled() or self._clock() >= give_up_at
                if not is_lock_error(error) or is_over:
                    raise
            self._sleep(self._random.uniform(MIN_PAUSE_S, MAX_PAUSE_S))
