"""Waiting for the one lock of an SQLite file.

SQLite's own wait looks ever more seldom, in the end ten times a second and at the same moments for
all who wait: in two seconds some twenty times. Where others write all the time, on a machine on
which whoever holds the lock has to wait for a core, one may find it taken at each of them, and
starve. Here looks are frequent and spread by chance. What was refused for the lock did not take
hold: a statement or a whole transaction may be said again.
"""

import sqlite3
import time
from collections.abc import Callable
from random import Random
from typing import TypeVar

LOCK_TIMEOUT_S = (
    2.0  # s, of a server: whoever waits for its store is served without it, or declined
)
LOOK_LEAST, LOOK_MOST = 0.001, 0.015  # s between two looks at the lock

Result = TypeVar("Result")


def is_lock_error(error: BaseException) -> bool:
    """Whether it says that another holds the lock."""
    return isinstance(error, sqlite3.OperationalError) and (
        getattr(error, "sqlite_errorcode", 0) & 0xFF == sqlite3.SQLITE_BUSY
    )


class LockRetry:
    """`wait`: s until what is asked for is given up. `is_cancelled` ends that early."""

    def __init__(
        self,
        wait: float = LOCK_TIMEOUT_S,
        *,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
        is_cancelled: Callable[[], bool] = lambda: False,
    ) -> None:
        self.timeout_s, self.clock, self.sleep, self.is_cancelled, self.chance = (
            wait,
            clock,
            sleep,
            is_cancelled,
            Random(),
        )

    def run(self, work: Callable[[], Result]) -> Result:
        """`work` leaves no transaction open where it raises."""
        until = self.clock() + self.timeout_s
        while True:
            try:
                return work()
            except sqlite3.OperationalError as error:
                if not is_lock_error(error) or self.is_cancelled() or self.clock() >= until:
                    raise
            self.sleep(self.chance.uniform(LOOK_LEAST, LOOK_MOST))
