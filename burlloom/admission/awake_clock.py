"""Measures waiting time without the pauses of the process.

Input: the time of each event (ns). Rule: when no event came for longer than `MAX_EVENT_GAP_NS`, the
process was paused, and the gap less one timer interval is excluded from all waiting times. Reason:
after a pause of the whole process every queued request would look stale although none had waited
longer than the others.
"""

from .timing import TIMER_INTERVAL_NS

__all__ = ["AwakeClock"]

MAX_EVENT_GAP_NS = 3 * TIMER_INTERVAL_NS


class AwakeClock:
    """Measures the time during which this process was running.

    Attributes:
        now: The host's clock at the last event, in ns.
        paused_ns: The total length of all pauses so far, in ns.
    """

    __slots__ = ("now", "paused_ns")

    def __init__(self, now: int) -> None:
        """Starts the clock at `now` (ns)."""
        self.now = now
        self.paused_ns = 0

    def advance(self, now: int) -> int:
        """Advances the clock to `now` (ns).

        Returns:
            The length of the detected pause in ns; 0 without one.
        """
        pause_ns = 0
        if now - self.now > MAX_EVENT_GAP_NS:
            pause_ns = now - self.now - TIMER_INTERVAL_NS
            self.paused_ns += pause_ns
        self.now = now
        return pause_ns
