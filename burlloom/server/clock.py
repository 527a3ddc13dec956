"""The clocks of the server: Unix time for decisions, a clock that nobody sets for intervals."""

import time


class Clock:
    """Unix time in ns that never steps back, whatever is done to the system's clock.

    Attributes:
        last_ns: What the last call returned; 0 before the first one.
    """

    def __init__(self) -> None:
        """Creates a clock that nobody has read."""
        self.last_ns = 0

    def __call__(self) -> int:
        """Returns the present time in Unix ns, or the last one where that was later."""
        self.last_ns = max(self.last_ns, time.time_ns())
        return self.last_ns


def boot_time_ns() -> int:
    """Returns ns since the machine started.

    Nobody sets this clock, and it goes on while the machine sleeps.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)
