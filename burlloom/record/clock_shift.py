"""By how much the wall clock was stepped while a store was closed. No I/O."""

from dataclasses import dataclass

__all__ = ["MIN_CLOCK_STEP_NS", "ClockReading", "clock_shift"]

MIN_CLOCK_STEP_NS = 500_000_000  # a smaller difference between the two clocks is their drift


@dataclass(frozen=True, slots=True)
class ClockReading:
    """Both clocks at one moment.

    Attributes:
        boot_id: The run of the kernel, within which the monotonic clock never steps; may be empty.
        monotonic_ns: The monotonic clock.
        wall_ns: The wall clock.
    """

    boot_id: str
    monotonic_ns: int
    wall_ns: int


def clock_shift(before: ClockReading | None, now: ClockReading) -> int:
    """By how many nanoseconds the wall clock was stepped between two readings.

    Idempotency windows are kept by the wall clock. Stepped ahead, it would end them too early, and
    a repeat would run again; stepped back, they would last too long. Within one run of the kernel
    the monotonic clock tells the difference. Over a restart of the machine only a step back is
    seen: a clock that is before the last one that was written went back by at least that much.

    Returns:
        The step, 0 where there was none or it can't be told.
    """
    if before is None:
        return 0
    wall_passed_ns = now.wall_ns - before.wall_ns
    if before.boot_id and before.boot_id == now.boot_id:
        step_ns = wall_passed_ns - (now.monotonic_ns - before.monotonic_ns)
        return step_ns if abs(step_ns) >= MIN_CLOCK_STEP_NS else 0
    return min(0, wall_passed_ns)
