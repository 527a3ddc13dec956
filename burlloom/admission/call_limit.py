"""Limits how many calls to the downstream dependency may be open at once.

Inputs: call durations (ns), the quota, whether calls are queued. Rule: the limit starts at half of
the maximum that the quota allows. It rises by one each timer round while calls are queued. When the
mean call duration exceeds `CONGESTED_LATENCY_MULTIPLE` times the base latency, the limit is
multiplied by `DECREASE_FACTOR`, down to a quarter of the maximum (additive increase, multiplicative
decrease). Reason: a congested dependency slows down all its callers long before a quota is used up.

The base latency is the shortest mean duration seen. It grows slowly, so that a lasting change of
the dependency is learnt. Where the limit is already at its minimum, the calls are slow for another
reason than this server's load, and the base latency grows faster.
"""

from .model import ServerSettings
from .sliding_window import SlidingWindowSum
from .timing import NS_PER_MS

__all__ = ["CallLimit"]

WINDOW_NS = 1000 * NS_PER_MS
# With fewer calls in the window, neither congestion nor the base latency is judged.
MIN_CALLS_FOR_CONGESTION = 5
CONGESTED_LATENCY_MULTIPLE = 3.0
DECREASE_FACTOR = 0.7
# The limit is not cut below the maximum divided by this.
MIN_LIMIT_DIVISOR = 4
# Growth of the base latency, as a factor per timer round.
BASE_LATENCY_GROWTH = 1.005
BASE_LATENCY_GROWTH_AT_MIN_LIMIT = 1.1


class CallLimit:
    """The limit on open calls, and the call durations that it follows.

    Attributes:
        limit: The number of calls that may be open; below 1, the share of time for which one may
            be.
        max_limit: The maximum that the quota allows or, without a quota, the server's own runs.
        base_latency_ns: The duration of a call when the dependency is not congested; 0 until known.
    """

    __slots__ = ("_call_ns", "_calls", "base_latency_ns", "limit", "max_limit")

    def __init__(self, settings: ServerSettings) -> None:
        """Starts the limit at half of the maximum."""
        self.max_limit = settings.call_quota or settings.max_runs_per_core * settings.cores
        self.limit = max(min(1.0, self.max_limit), self.max_limit / 2)
        self.base_latency_ns = 0.0
        self._call_ns = SlidingWindowSum(WINDOW_NS)
        self._calls = SlidingWindowSum(WINDOW_NS)

    def set_max_limit(self, max_limit: float) -> None:
        """Applies a new quota; open calls continue, and no call is started beyond the quota."""
        self.max_limit = max_limit
        self.limit = min(max(min(1.0, max_limit), self.limit), max_limit)

    def max_open_calls(self) -> int:
        """Returns the number of calls that may be open at once."""
        return max(1, int(self.limit))

    def record_call(self, now: int, call_ns: int) -> None:
        """Records a call that ended at `now` (ns) without timing out, and its duration in ns."""
        self._call_ns.add(now, call_ns)
        self._calls.add(now, 1)

    def expected_call_ns(self, now: int) -> float:
        """Returns the expected duration of a call in ns.

        It is the mean of the last second, but not less than the base latency.
        """
        mean_ns = self._call_ns.total(now) / (self._calls.total(now) or 1)
        return max(self.base_latency_ns, mean_ns)

    def update(self, now: int, has_queued_calls: bool) -> None:
        """Adjusts the limit; called once each timer round, at `now` (ns)."""
        calls = self._calls.total(now)
        if calls >= MIN_CALLS_FOR_CONGESTION:
            mean_ns = self._call_ns.total(now) / calls
            min_limit = self.max_limit / MIN_LIMIT_DIVISOR
            is_at_minimum = self.limit <= min_limit and min_limit >= 1
            growth = BASE_LATENCY_GROWTH_AT_MIN_LIMIT if is_at_minimum else BASE_LATENCY_GROWTH
            self.base_latency_ns = min(mean_ns, self.base_latency_ns * growth or mean_ns)
            if mean_ns > CONGESTED_LATENCY_MULTIPLE * self.base_latency_ns:
                self.limit = max(min_limit, self.limit * DECREASE_FACTOR)
                return
        if has_queued_calls:
            self.limit = min(
                self.max_limit, self.limit + min(1.0, self.max_limit / MIN_LIMIT_DIVISOR)
            )
