"""What arrived of late, how much of it was rejected, and how long it had lain unread.

All figures are of the last second. The shares are signs of overload that several rules read:
`load_shedding`, `health`, `connection_limits` and the retry-after hints.
"""

from .model import ServerSettings
from .sliding_window import SlidingWindowSum
from .timing import NS_PER_MS

__all__ = ["ArrivalStatistics"]

WINDOW_NS = 1000 * NS_PER_MS


class ArrivalStatistics:
    """Counts arrivals and rejections.

    Attributes:
        shortest_objective_ns: the shortest latency objective of all request classes; what the lag
            of reading is compared with.
    """

    __slots__ = ("_arrivals", "_rejections", "_unread_ns", "shortest_objective_ns")

    def __init__(self, settings: ServerSettings) -> None:
        """Makes empty statistics for a server with these settings."""
        self._arrivals = SlidingWindowSum(WINDOW_NS)
        self._rejections = SlidingWindowSum(WINDOW_NS)
        self._unread_ns = SlidingWindowSum(WINDOW_NS)
        self.shortest_objective_ns = min(
            request_class.latency_objective_ns for request_class in settings.request_classes
        )

    def record_arrival(self, now: int, unread_ns: int) -> None:
        """Counts a request that was read at `now` (ns) after it had lain unread for so long."""
        self._arrivals.add(now, 1)
        self._unread_ns.add(now, unread_ns)

    def record_rejection(self, now: int) -> None:
        """Counts a request that was rejected at `now` (ns) under load."""
        self._rejections.add(now, 1)

    def rejected_share(self, now: int) -> float:
        """The number rejected as a share of the number read, at most 1."""
        return min(1.0, self._rejections.total(now) / max(1.0, self._arrivals.total(now)))

    def mean_read_lag_ns(self, now: int) -> float:
        """How long requests lay unread, on the average."""
        return self._unread_ns.total(now) / max(1.0, self._arrivals.total(now))

    def read_lag_share(self, now: int) -> float:
        """The mean lag of reading as a share of the shortest latency objective."""
        return self.mean_read_lag_ns(now) / self.shortest_objective_ns
