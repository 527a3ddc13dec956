"""Estimates how long a request will run, from the latest runs of its class.

Inputs: the duration of each run (ns) and the cost that its caller stated. Rule: the time per unit
of cost is averaged over the last `SAMPLE_RUNS` runs of the class within `SAMPLE_MAX_AGE_NS`. Where
the newest `NEWEST_RUNS` of them took less than `NEWEST_RUNS_SPEEDUP_SHARE` of that average, only
those count. Reason: the sample is small and short-lived because slow spells of the dependency pass
soon. While a slow spell makes most new requests look too late, few new runs end that could show
that the spell is over.
"""

from collections import deque

from .model import ServerSettings
from .timing import NS_PER_MS

__all__ = ["RunTimeEstimates"]

SAMPLE_RUNS = 16
SAMPLE_MAX_AGE_NS = 5000 * NS_PER_MS
NEWEST_RUNS = 4
NEWEST_RUNS_SPEEDUP_SHARE = 0.7

EndedRun = tuple[int, int, int]
"""When a run ended (ns), its duration (ns), and its cost (1 if not stated)."""


def _mean_time_per_cost(runs: list[EndedRun]) -> float:
    return sum(run[1] for run in runs) / sum(run[2] for run in runs)


class RunTimeEstimates:
    """The latest runs of each request class."""

    __slots__ = ("_runs",)

    def __init__(self, settings: ServerSettings) -> None:
        """Creates empty estimates for the request classes of these settings."""
        self._runs = [deque[EndedRun](maxlen=SAMPLE_RUNS) for _ in settings.request_classes]

    def record(self, now: int, class_index: int, run_ns: int, cost_ns: int) -> None:
        """Records a successful run.

        Args:
            now: The host's clock, in ns.
            class_index: The request class.
            run_ns: The duration of the run.
            cost_ns: The cost that its caller stated; 0 for none.
        """
        self._runs[class_index].append((now, run_ns, cost_ns or 1))

    def expected_ns(self, now: int, class_index: int, cost_ns: int) -> float:
        """Returns the expected duration of a run in ns; 0 without recent runs.

        Args:
            now: The host's clock, in ns.
            class_index: The request class.
            cost_ns: The cost that its caller stated; 0 for none.
        """
        oldest_ns = now - SAMPLE_MAX_AGE_NS
        runs = [run for run in self._runs[class_index] if run[0] > oldest_ns]
        if not runs:
            return 0.0
        time_per_cost = _mean_time_per_cost(runs)
        newest_time_per_cost = _mean_time_per_cost(runs[-NEWEST_RUNS:])
        if newest_time_per_cost < NEWEST_RUNS_SPEEDUP_SHARE * time_per_cost:
            time_per_cost = newest_time_per_cost
        return time_per_cost * (cost_ns or 1)
