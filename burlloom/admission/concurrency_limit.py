"""How many requests may run at a time.

Inputs: how many requests are in each state, the use of the cores and how many processes want one
(gauges), the queue, timed out calls. Rules:

* limit: from the core count it rises by one each timer round while cores idle and requests are
  queued, and is cut to `CUT_SHARE` when more than `JAMMED_WANT_PER_CORE` want each core and queued
  requests wait past the jostle timeout or calls time out (additive increase, multiplicative
  decrease). The use of the cores is a mean that lags; how many want one now keeps the limit from
  overshooting.
* ceiling: all that has started stays within `SAFE_CONTENTION_SHARE` of the contention that the
  server survives, as if all calls and disks came back together. It falls with a cold server's
  speed.
* requests at a call leave the count of the running, as many as may call at once; more would only
  queue there.
"""

from .lifecycle import State
from .model import Gauges, ServerSettings
from .slow_start import SlowStart

__all__ = ["ConcurrencyLimit"]

IDLE_CPU_UTILIZATION = 0.97
JAMMED_WANT_PER_CORE = 1.5
CUT_SHARE = 0.7
SAFE_CONTENTION_SHARE = 0.85


class ConcurrencyLimit:
    """The run limit and its ceiling.

    Attributes:
        limit: how many may run at a time; whole runs count.
    """

    __slots__ = ("_cores", "_counts", "_max_runs_per_core", "_slow_start", "limit")

    def __init__(self, settings: ServerSettings, counts: list[int], slow_start: SlowStart) -> None:
        """Begins at the core count.

        Args:
            settings: of the server.
            counts: how many requests are in each state, kept by the controller.
            slow_start: the speed of a cold server.
        """
        self._cores = settings.cores
        self._max_runs_per_core = settings.max_runs_per_core
        self._counts = counts
        self._slow_start = slow_start
        self.limit = float(settings.cores)

    def started(self) -> int:
        """The number of requests that were started and are not over."""
        return sum(self._counts[State.RUNNING : State.AWAITING_RESULT + 1])

    def running(self, call_limit: float) -> int:
        """The number that counts towards the limit.

        Args:
            call_limit: how many may be in a call at once.
        """
        counts = self._counts
        at_calls = counts[State.AWAITING_CALL] + counts[State.IN_CALL]
        beyond_call_limit = max(0, at_calls - max(1, int(call_limit)))
        return counts[State.RUNNING] + counts[State.ABANDONED] + beyond_call_limit

    def ceiling(self, now: int) -> int:
        """The most that may be started at `now` (ns)."""
        speed_share = self._slow_start.speed_share(now)
        runs_per_core = 1 + (self._max_runs_per_core - 1) * speed_share
        return max(1, int(SAFE_CONTENTION_SHARE * runs_per_core * self._cores))

    def is_at_ceiling(self, now: int) -> bool:
        """Whether no more may be started at `now` (ns), for whatever reason."""
        return self.started() >= self.ceiling(now)

    def may_start(self, now: int, call_limit: float) -> bool:
        """Whether one more may be started at `now` (ns).

        Args:
            now: the host's clock in ns.
            call_limit: how many may be in a call at once.
        """
        return self.running(call_limit) < int(self.limit) and self.started() < self.ceiling(now)

    def update(
        self,
        now: int,
        gauges: Gauges,
        *,
        has_queued_requests: bool,
        has_stale_requests: bool,
        has_queued_calls: bool,
        has_timed_out_calls: bool,
    ) -> None:
        """Moves the limit; once a timer round.

        Args:
            now: the host's clock in ns.
            gauges: what the server measures of itself.
            has_queued_requests: requests wait for a run slot.
            has_stale_requests: one of them has waited past the jostle timeout.
            has_queued_calls: requests wait for their call. Cores that idle behind crowded calls
                need no more runs.
            has_timed_out_calls: a call timed out since the last round.
        """
        wanting = gauges.runnable if gauges.runnable >= 0 else self.started()
        want_per_core = wanting / self._cores
        if (
            has_queued_requests
            and want_per_core < 1
            and gauges.cpu_utilization < IDLE_CPU_UTILIZATION
        ):
            self.limit += not has_queued_calls
        elif want_per_core > JAMMED_WANT_PER_CORE and (has_timed_out_calls or has_stale_requests):
            self.limit *= CUT_SHARE
        self.limit = max(self._cores, min(self.limit, self.ceiling(now)))
