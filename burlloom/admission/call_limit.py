"""How many calls to the downstream dependency may be open at a time.

Inputs: how long calls take (ns), the quota, whether calls are queued. Rule: from half of the most
that the quota allows, the limit rises by one a timer round while calls are queued, and is cut to
`CUT_SHARE` when calls take `CROWDED_MULTIPLE` of their base time, to a quarter of the most at least
(additive increase, multiplicative decrease). Reason: a crowded dependency slows all its callers
long before a quota is used up.

The base time is the shortest mean seen; it creeps up, so that a lasting change is learnt. Where the
limit is at its least already, calls are slow for a reason of their own, and the base follows fast.
"""

from .model import ServerSettings
from .sliding_window import SlidingWindowSum
from .timing import NS_PER_MS

__all__ = ["CallLimit"]

WINDOW_NS = 1000 * NS_PER_MS
CALLS_TO_JUDGE_BY = 5
CROWDED_MULTIPLE = 3.0
CUT_SHARE = 0.7
LEAST_DIVISOR = 4
BASE_GROWTH = 1.005
BASE_GROWTH_AT_LEAST_LIMIT = 1.1


class CallLimit:
    """The limit, and what calls take.

    Attributes:
        limit: calls that may be open at a time; under 1 a share of time.
        most: what the quota, or the server's own runs, allow.
        base_ns: the time of a call when the dependency is not crowded; 0 before it is known.
    """

    __slots__ = ("_call_ns", "_calls", "base_ns", "limit", "most")

    def __init__(self, settings: ServerSettings) -> None:
        """Begins at half of the most."""
        self.most = settings.call_quota or settings.max_runs_per_core * settings.cores
        self.limit = max(min(1.0, self.most), self.most / 2)
        self.base_ns = 0.0
        self._call_ns = SlidingWindowSum(WINDOW_NS)
        self._calls = SlidingWindowSum(WINDOW_NS)

    def set_most(self, most: float) -> None:
        """Follows a new quota; open calls stay, and none is added past it."""
        self.most = most
        self.limit = min(max(min(1.0, most), self.limit), most)

    def max_open_calls(self) -> int:
        """The number of calls that may be open at a time."""
        return max(1, int(self.limit))

    def record_call(self, now: int, call_ns: int) -> None:
        """Counts a call that ended at `now` (ns), timed out ones left out, and the time it took."""
        self._call_ns.add(now, call_ns)
        self._calls.add(now, 1)

    def usual_call_ns(self, now: int) -> float:
        """What a call takes now: the mean of the last second, but its base time at least."""
        mean_ns = self._call_ns.total(now) / (self._calls.total(now) or 1)
        return max(self.base_ns, mean_ns)

    def update(self, now: int, has_queued_calls: bool) -> None:
        """Moves the limit; once a timer round at `now` (ns)."""
        calls = self._calls.total(now)
        if calls >= CALLS_TO_JUDGE_BY:
            mean_ns = self._call_ns.total(now) / calls
            least = self.most / LEAST_DIVISOR
            is_at_least = self.limit <= least and least >= 1
            growth = BASE_GROWTH_AT_LEAST_LIMIT if is_at_least else BASE_GROWTH
            self.base_ns = min(mean_ns, self.base_ns * growth or mean_ns)
            if mean_ns > CROWDED_MULTIPLE * self.base_ns:
                self.limit = max(least, self.limit * CUT_SHARE)
                return
        if has_queued_calls:
            self.limit = min(self.most, self.limit + min(1.0, self.most / LEAST_DIVISOR))
