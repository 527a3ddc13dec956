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

WAIT = 2.0  # s, of a server: whoever waits for its store is served without it, or declined
LOOK_LEAST, LOOK_MOST = 0.001, 0.015  # s between two looks at the lock

Result = TypeVar("Result")


def taken(error: BaseException) -> bool:
    """Whether it says that another holds the lock."""
    return isinstance(error, sqlite3.OperationalError) and (
        getattr(error, "sqlite_errorcode", 0) & 0xFF == sqlite3.SQLITE_BUSY
    )


class Turns:
    """`wait`: s until what is asked for is given up. `over` ends that early."""

    def __init__(
        self,
        wait: float = WAIT,
        *,
        clock: Callable[[], float] = time.monotonic,
        rest: Callable[[float], None] = time.sleep,
        over: Callable[[], bool] = lambda: False,
    ) -> None:
        self.wait, self.clock, self.rest, self.over, self.chance = wait, clock, rest, over, Random()

    def take(self, work: Callable[[], Result]) -> Result:
        """`work` leaves no transaction open where it raises."""
        until = self.clock() + self.wait
        while True:
            try:
                return work()
            except sqlite3.OperationalError as error:
                if not taken(error) or self.over() or self.clock() >= until:
                    raise
            self.rest(self.chance.uniform(LOOK_LEAST, LOOK_MOST))
