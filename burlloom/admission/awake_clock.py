"""Waiting time without the pauses of the process.

Input: the time of each event (ns). Rule: where no event came for `MAX_EVENT_GAP_NS`, the process
stood still, and the gap less one timer interval counts to nobody's waiting time. Reason: after a
pause of the whole process every queued request would look stale although no newcomer waited longer.
"""

from .timing import TIMER_INTERVAL_NS

__all__ = ["AwakeClock"]

MAX_EVENT_GAP_NS = 3 * TIMER_INTERVAL_NS


class AwakeClock:
    """Measures time during which this process ran.

    Attributes:
        now: the host's clock at the last event, in ns.
        paused_ns: the sum of all pauses so far.
    """

    __slots__ = ("now", "paused_ns")

    def __init__(self, now: int) -> None:
        """Starts at `now` (ns)."""
        self.now = now
        self.paused_ns = 0

    def advance(self, now: int) -> int:
        """Moves on to `now` (ns).

        Returns:
            The length of the pause that was found, 0 for none.
        """
        pause_ns = 0
        if now - self.now > MAX_EVENT_GAP_NS:
            pause_ns = now - self.now - TIMER_INTERVAL_NS
            self.paused_ns += pause_ns
        self.now = now
        return pause_ns
