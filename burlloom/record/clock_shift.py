"""Computes by how much the wall clock was stepped while a store was closed. Does no I/O."""

from dataclasses import dataclass

__all__ = ["MIN_CLOCK_STEP_NS", "ClockReading", "compute_clock_shift"]

# A smaller difference between the two clocks is attributed to drift.
MIN_CLOCK_STEP_NS = 500_000_000


@dataclass(frozen=True, slots=True)
class ClockReading:
    """The monotonic and the wall clock at one moment.

    Attributes:
        boot_id: The kernel's boot ID, empty if unknown; the monotonic clock never steps in a boot.
        monotonic_ns: The monotonic clock, nanoseconds.
        wall_ns: The wall clock, nanoseconds since the epoch.
    """

    boot_id: str
    monotonic_ns: int
    wall_ns: int


def compute_clock_shift(previous: ClockReading | None, current: ClockReading) -> int:
    """Computes by how many nanoseconds the wall clock was stepped between two readings.

    Idempotency windows end at wall-clock times. If the clock was stepped ahead, they would end too
    early and a repeated request would run again; if it was stepped back, they would last too long.
    Within one boot, the monotonic clock measures the step. Across a reboot only a step back can be
    detected: if the wall clock is before the last saved reading, it went back by at least the
    difference.

    Args:
        previous: The last saved reading; None if there is none.
        current: The current reading.

    Returns:
        The step in nanoseconds, positive if ahead; 0 if there was none or it can't be determined.
    """
    if previous is None:
        return 0
    wall_passed_ns = current.wall_ns - previous.wall_ns
    if previous.boot_id and previous.boot_id == current.boot_id:
        step_ns = wall_passed_ns - (current.monotonic_ns - previous.monotonic_ns)
        return step_ns if abs(step_ns) >= MIN_CLOCK_STEP_NS else 0
    return min(0, wall_passed_ns)
