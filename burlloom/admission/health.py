"""Decides whether the server can serve requests: hung work, failing runs, read lag.

Inputs: run ends and their outcomes, the time of the last progress (ns), the read lag. Rules:

* Hung: the open runs, at most one per core, have together spent more than `HUNG_RUN_TIME_NS`
  without progress of any of them. Reason: it may be chance that two runs make no progress for a
  second; it hardly is for six.
* Failure rate: the share of runs that failed in the last 2 s, if there were enough runs to tell it
  from chance and the share is high enough to matter. New requests are rejected at that rate.
* Unhealthy: the read lag exceeds the whole shortest latency objective, work hangs, or half of the
  runs fail. Reason: so slow a server still attracts requests and rejects them too late. A shorter
  lag may be due to congestion of the whole fleet, where sending callers away congests the other
  servers.
"""

from .arrival_statistics import ArrivalStatistics
from .lifecycle import State
from .model import Outcome, ServerSettings
from .sliding_window import SlidingWindowSum
from .timing import NS_PER_MS

__all__ = ["HealthMonitor"]

HUNG_RUN_TIME_NS = 6000 * NS_PER_MS
FAILURE_WINDOW_NS = 2000 * NS_PER_MS
# With fewer runs in the window, or a smaller failed share, the failure rate counts as 0.
MIN_RUNS_FOR_FAILURE_RATE = 6
MIN_SHED_FAILURE_SHARE = 0.25
UNHEALTHY_FAILURE_SHARE = 0.5


class HealthMonitor:
    """Judges the server by the progress and the outcomes of its runs.

    Attributes:
        last_progress_at_ns: When a run last made progress: it began while no other ran, made a
            call, or ended.
    """

    __slots__ = ("_arrivals", "_cores", "_counts", "_ended", "_failed", "last_progress_at_ns")

    def __init__(
        self, settings: ServerSettings, counts: list[int], arrivals: ArrivalStatistics, now: int
    ) -> None:
        """Creates a monitor without any observations.

        Args:
            settings: The server's settings.
            counts: The number of requests in each state, maintained by the controller.
            arrivals: Measures the read lag.
            now: The host's clock, in ns.
        """
        self._cores = settings.cores
        self._counts = counts
        self._arrivals = arrivals
        self._ended = SlidingWindowSum(FAILURE_WINDOW_NS)
        self._failed = SlidingWindowSum(FAILURE_WINDOW_NS)
        self.last_progress_at_ns = now

    def record_run_end(self, now: int, outcome: Outcome) -> None:
        """Records a run that ended at `now` (ns)."""
        self._ended.add(now, 1)
        self._failed.add(now, outcome is Outcome.FAILED)

    def is_hung(self, now: int) -> bool:
        """Returns whether runs are open and none of them makes progress."""
        running = self._counts[State.RUNNING] + self._counts[State.ABANDONED]
        return (now - self.last_progress_at_ns) * min(running, self._cores) > HUNG_RUN_TIME_NS

    def failure_rate(self, now: int) -> float:
        """Returns the share of runs that fail on this server; 0 where it may be chance."""
        ended = self._ended.total(now)
        share = self._failed.total(now) / ended if ended >= MIN_RUNS_FOR_FAILURE_RATE else 0.0
        return share if share >= MIN_SHED_FAILURE_SHARE else 0.0

    def is_unhealthy(self, now: int) -> bool:
        """Returns whether any other server would serve requests better."""
        return (
            self._arrivals.mean_read_lag_ns(now) > self._arrivals.shortest_objective_ns
            or self.is_hung(now)
            or self.failure_rate(now) >= UNHEALTHY_FAILURE_SHARE
        )
