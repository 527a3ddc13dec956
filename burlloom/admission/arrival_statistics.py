"""Statistics on arrivals, rejections and read lag over the last second.

Read lag is the time for which a request lay unread. The shares indicate overload; `load_shedding`,
`health`, `connection_limits` and the retry-after hints use them.
"""

from .model import ServerSettings
from .sliding_window import SlidingWindowSum
from .timing import NS_PER_MS

__all__ = ["ArrivalStatistics"]

WINDOW_NS = 1000 * NS_PER_MS


class ArrivalStatistics:
    """Counts arrivals and rejections, and sums the read lag.

    Attributes:
        shortest_objective_ns: The shortest latency objective of all request classes; the read lag
            is compared with it.
    """

    __slots__ = ("_arrivals", "_rejections", "_unread_ns", "shortest_objective_ns")

    def __init__(self, settings: ServerSettings) -> None:
        """Creates empty statistics for a server with these settings."""
        self._arrivals = SlidingWindowSum(WINDOW_NS)
        self._rejections = SlidingWindowSum(WINDOW_NS)
        self._unread_ns = SlidingWindowSum(WINDOW_NS)
        self.shortest_objective_ns = min(
            request_class.latency_objective_ns for request_class in settings.request_classes
        )

    def record_arrival(self, now: int, unread_ns: int) -> None:
        """Records a request that was read at `now` (ns) after it lay unread for `unread_ns`."""
        self._arrivals.add(now, 1)
        self._unread_ns.add(now, unread_ns)

    def record_rejection(self, now: int) -> None:
        """Records a request that was rejected under load at `now` (ns)."""
        self._rejections.add(now, 1)

    def rejected_share(self, now: int) -> float:
        """Returns the number of rejected requests as a share of those read, at most 1."""
        return min(1.0, self._rejections.total(now) / max(1.0, self._arrivals.total(now)))

    def mean_read_lag_ns(self, now: int) -> float:
        """Returns for how long requests lay unread on average, in ns."""
        return self._unread_ns.total(now) / max(1.0, self._arrivals.total(now))

    def read_lag_share(self, now: int) -> float:
        """Returns the mean read lag as a share of the shortest latency objective."""
        return self.mean_read_lag_ns(now) / self.shortest_objective_ns
