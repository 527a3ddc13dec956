"""How long a request will run, by the runs of its class that ended last.

Inputs: the time that each run took (ns) and the cost that its caller told. Rule: time for each unit
of cost over the last `SAMPLE_RUNS` runs of the class within `SAMPLE_MAX_AGE_NS`; where the newest
`NEWEST_RUNS` of them took much less, those alone count. Reason: few runs and a short memory, since
slow spells of the dependency pass soon; and while a spell makes most newcomers look too late, few
new runs end that could show that it is over.
"""

from collections import deque

from .model import ServerSettings
from .timing import NS_PER_MS

__all__ = ["RunTimeEstimates"]

SAMPLE_RUNS = 16
SAMPLE_MAX_AGE_NS = 5000 * NS_PER_MS
NEWEST_RUNS = 4
MUCH_QUICKER_SHARE = 0.7

EndedRun = tuple[int, int, int]
"""When a run ended (ns), the time that it took (ns), and its cost (1 where none was told)."""


def _time_for_cost(runs: list[EndedRun]) -> float:
    return sum(run[1] for run in runs) / sum(run[2] for run in runs)


class RunTimeEstimates:
    """Keeps the last runs of each request class."""

    __slots__ = ("_runs",)

    def __init__(self, settings: ServerSettings) -> None:
        """Makes estimates for the request classes of these settings."""
        self._runs = [deque[EndedRun](maxlen=SAMPLE_RUNS) for _ in settings.request_classes]

    def record(self, now: int, class_index: int, run_ns: int, cost_ns: int) -> None:
        """Adds a run that ended well.

        Args:
            now: the host's clock in ns.
            class_index: the request class.
            run_ns: the time that it took.
            cost_ns: the cost that its caller told; 0 for none.
        """
        self._runs[class_index].append((now, run_ns, cost_ns or 1))

    def expected_ns(self, now: int, class_index: int, cost_ns: int) -> float:
        """The time that a run will take; 0 where nothing is known.

        Args:
            now: the host's clock in ns.
            class_index: the request class.
            cost_ns: the cost that its caller told; 0 for none.
        """
        oldest_ns = now - SAMPLE_MAX_AGE_NS
        runs = [run for run in self._runs[class_index] if run[0] > oldest_ns]
        if not runs:
            return 0.0
        rate = _time_for_cost(runs)
        newest_rate = _time_for_cost(runs[-NEWEST_RUNS:])
        if newest_rate < MUCH_QUICKER_SHARE * rate:
            rate = newest_rate
        return rate * (cost_ns or 1)
