"""Whether the server can serve at all: hung work, failing runs, reading that lags.

Inputs: run ends and their outcomes, the moment of the last progress (ns), the lag of reading.
Rules:

* hung: the runs that are open, at most one a core, have together spent `HUNG_RUN_TIME_NS` without
  any of them moving. Reason: two runs may rest a second by chance, six do not.
* failure rate: the share of runs that failed in the last 2 s, where there are enough to tell it
  from chance and it is high enough to matter. Newcomers are shed by that share.
* unhealthy: reading lags by the whole shortest latency objective, work hangs, or half of the runs
  fail. Reason: a server that is that slow still attracts requests and rejects them too late. A
  lesser lag may be a jam of the whole fleet, where sending callers away jams the rest.
"""

from .arrival_statistics import ArrivalStatistics
from .lifecycle import State
from .model import Outcome, ServerSettings
from .sliding_window import SlidingWindowSum
from .timing import NS_PER_MS

__all__ = ["HealthMonitor"]

HUNG_RUN_TIME_NS = 6000 * NS_PER_MS
FAILURE_WINDOW_NS = 2000 * NS_PER_MS
RUNS_TO_JUDGE_BY = 6
SIGNIFICANT_FAILURE_SHARE = 0.25
UNHEALTHY_FAILURE_SHARE = 0.5


class HealthMonitor:
    """Judges the server by what its runs do.

    Attributes:
        last_progress_at_ns: when a run last moved: began alone, called, or ended.
    """

    __slots__ = ("_arrivals", "_cores", "_counts", "_ended", "_failed", "last_progress_at_ns")

    def __init__(
        self, settings: ServerSettings, counts: list[int], arrivals: ArrivalStatistics, now: int
    ) -> None:
        """Makes a monitor that has seen nothing yet.

        Args:
            settings: of the server.
            counts: how many requests are in each state, kept by the controller.
            arrivals: for the lag of reading.
            now: the host's clock in ns.
        """
        self._cores = settings.cores
        self._counts = counts
        self._arrivals = arrivals
        self._ended = SlidingWindowSum(FAILURE_WINDOW_NS)
        self._failed = SlidingWindowSum(FAILURE_WINDOW_NS)
        self.last_progress_at_ns = now

    def record_run_end(self, now: int, outcome: Outcome) -> None:
        """Counts a run that ended at `now` (ns)."""
        self._ended.add(now, 1)
        self._failed.add(now, outcome is Outcome.FAILED)

    def is_hung(self, now: int) -> bool:
        """Whether work is open and none of it moves."""
        running = self._counts[State.RUNNING] + self._counts[State.ABANDONED]
        return (now - self.last_progress_at_ns) * min(running, self._cores) > HUNG_RUN_TIME_NS

    def failure_rate(self, now: int) -> float:
        """The share of runs that fail here; 0 where it may be chance."""
        ended = self._ended.total(now)
        share = self._failed.total(now) / ended if ended >= RUNS_TO_JUDGE_BY else 0.0
        return share if share >= SIGNIFICANT_FAILURE_SHARE else 0.0

    def is_unhealthy(self, now: int) -> bool:
        """Whether requests are better served by any other server."""
        return (
            self._arrivals.mean_read_lag_ns(now) > self._arrivals.shortest_objective_ns
            or self.is_hung(now)
            or self.failure_rate(now) >= UNHEALTHY_FAILURE_SHARE
        )
