"""Retries SQLite statements until the file's single write lock is free.

SQLite's own busy handler polls the lock less and less often, in the end ten times a second and at
the same moments for all waiting connections: about twenty attempts in two seconds. If other
processes write continuously, on a machine on which the lock owner waits for a core, a connection
may find the lock taken at each attempt and starve. This module retries often and at random
intervals. A statement or transaction that was refused for the lock did not take effect, so sending
it again is safe.
"""

import sqlite3
import time
from collections.abc import Callable
from random import Random
from typing import TypeVar

__all__ = ["LOCK_TIMEOUT_S", "LockRetry", "is_lock_error"]

# A request whose write times out runs without a record or is rejected, depending on the policy.
LOCK_TIMEOUT_S = 2.0
MIN_RETRY_PAUSE_S = 0.001
MAX_RETRY_PAUSE_S = 0.015
PRIMARY_RESULT_CODE_MASK = 0xFF

Result = TypeVar("Result")


def is_lock_error(error: BaseException) -> bool:
    """Returns whether the error means that another connection holds the lock."""
    return isinstance(error, sqlite3.OperationalError) and (
        getattr(error, "sqlite_errorcode", 0) & PRIMARY_RESULT_CODE_MASK == sqlite3.SQLITE_BUSY
    )


class LockRetry:
    """Retries work until the lock is free, the work is cancelled, or the timeout has passed.

    Attributes:
        timeout_s: The timeout of one `run` call, seconds.
    """

    def __init__(
        self,
        timeout_s: float = LOCK_TIMEOUT_S,
        *,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
        is_cancelled: Callable[[], bool] = lambda: False,
    ) -> None:
        """Creates a retry rule, to be used by one thread at a time.

        Args:
            timeout_s: The timeout of one `run` call, seconds.
            clock: Returns a monotonic time in seconds.
            sleep: Blocks for the given number of seconds.
            is_cancelled: Returns whether to give up now.
        """
        self.timeout_s = timeout_s
        self._clock = clock
        self._sleep = sleep
        self._is_cancelled = is_cancelled
        self._random = Random()

    def run(self, work: Callable[[], Result]) -> Result:
        """Runs work, which must leave no transaction open when it raises.

        Raises:
            sqlite3.OperationalError: The lock was not free in time, or the work failed otherwise.
        """
        give_up_at_s = self._clock() + self.timeout_s
        while True:
            try:
                return work()
            except sqlite3.OperationalError as error:
                must_give_up = self._is_cancelled() or self._clock() >= give_up_at_s
                if not is_lock_error(error) or must_give_up:
                    raise
            self._sleep(self._random.uniform(MIN_RETRY_PAUSE_S, MAX_RETRY_PAUSE_S))
