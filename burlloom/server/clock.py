"""Clocks of the server: non-decreasing Unix time and the time since the machine booted."""

import time


class Clock:
    """Reads Unix time in ns; never returns less than before, even if the system clock is set back.

    Attributes:
        last_ns: The value of the last reading in Unix ns; 0 before the first one.
    """

    def __init__(self) -> None:
        """Creates a clock without a reading."""
        self.last_ns = 0

    def __call__(self) -> int:
        """Returns the current Unix time in ns, or the last reading if that is later."""
        self.last_ns = max(self.last_ns, time.time_ns())
        return self.last_ns


def boot_time_ns() -> int:
    """Returns the monotonic time in ns since the machine booted.

    The clock can't be set, and it advances while the machine is suspended.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)
