"""Limits how many requests may run at once.

Inputs: the number of requests in each state, core utilization and the number of runnable processes
(gauges), the queue, timed-out calls. Rules:

* Limit: starts at the core count. It rises by one each timer round while cores idle and requests
  are queued. It is multiplied by `DECREASE_FACTOR` when more than `OVERLOADED_RUNNABLE_PER_CORE`
  processes are runnable per core and either queued requests wait longer than the jostle timeout or
  calls time out (additive increase, multiplicative decrease). Core utilization is a mean that lags;
  the number of runnable processes keeps the limit from overshooting.
* Ceiling: the number of started requests stays within `SAFE_CONTENTION_SHARE` of the contention at
  which the server collapses, even if all of them return from calls and disks at once. The ceiling
  is lower while the server is cold and slow.
* Requests that wait for or are in a downstream call do not count as running, up to the number of
  calls that may be open at once; any more would only queue for their call.
"""

from .lifecycle import State
from .model import Gauges, ServerSettings
from .slow_start import SlowStart

__all__ = ["ConcurrencyLimit"]

# Cores count as idle below this utilization; an unmeasured one (-1) is below it too.
IDLE_CPU_UTILIZATION = 0.97
OVERLOADED_RUNNABLE_PER_CORE = 1.5
DECREASE_FACTOR = 0.7
SAFE_CONTENTION_SHARE = 0.85


class ConcurrencyLimit:
    """The run limit and its ceiling.

    Attributes:
        limit: The number of requests that may run at once; its fraction is ignored.
    """

    __slots__ = ("_cores", "_counts", "_max_runs_per_core", "_slow_start", "limit")

    def __init__(self, settings: ServerSettings, counts: list[int], slow_start: SlowStart) -> None:
        """Starts the limit at the core count.

        Args:
            settings: The server's settings.
            counts: The number of requests in each state, maintained by the controller.
            slow_start: The speed of a cold server.
        """
        self._cores = settings.cores
        self._max_runs_per_core = settings.max_runs_per_core
        self._counts = counts
        self._slow_start = slow_start
        self.limit = float(settings.cores)

    def count_started(self) -> int:
        """Returns the number of requests that were started and have not ended."""
        return sum(self._counts[State.RUNNING : State.AWAITING_RESULT + 1])

    def count_running(self, call_limit: float) -> int:
        """Returns the number of requests that count towards the limit.

        Args:
            call_limit: The number of calls that may be open at once.
        """
        counts = self._counts
        at_calls = counts[State.AWAITING_CALL] + counts[State.IN_CALL]
        beyond_call_limit = max(0, at_calls - max(1, int(call_limit)))
        return counts[State.RUNNING] + counts[State.ABANDONED] + beyond_call_limit

    def ceiling(self, now: int) -> int:
        """Returns the number of requests that may be started and not ended at `now` (ns)."""
        speed_share = self._slow_start.speed_share(now)
        runs_per_core = 1 + (self._max_runs_per_core - 1) * speed_share
        return max(1, int(SAFE_CONTENTION_SHARE * runs_per_core * self._cores))

    def is_at_ceiling(self, now: int) -> bool:
        """Returns whether the ceiling forbids any further start at `now` (ns)."""
        return self.count_started() >= self.ceiling(now)

    def may_start(self, now: int, call_limit: float) -> bool:
        """Returns whether one more request may be started.

        Args:
            now: The host's clock, in ns.
            call_limit: The number of calls that may be open at once.
        """
        return self.count_running(call_limit) < int(
            self.limit
        ) and self.count_started() < self.ceiling(now)

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
        """Adjusts the limit; called once each timer round.

        Args:
            now: The host's clock, in ns.
            gauges: The server's measurements of itself.
            has_queued_requests: Whether requests wait for a run slot.
            has_stale_requests: Whether one of them has waited longer than the jostle timeout.
            has_queued_calls: Whether requests wait for their call. More runs do not help cores that
                idle while calls are congested.
            has_timed_out_calls: Whether a call timed out since the last round.
        """
        runnable = gauges.runnable if gauges.runnable >= 0 else self.count_started()
        runnable_per_core = runnable / self._cores
        if (
            has_queued_requests
            and runnable_per_core < 1
            and gauges.cpu_utilization < IDLE_CPU_UTILIZATION
        ):
            self.limit += not has_queued_calls
        elif runnable_per_core > OVERLOADED_RUNNABLE_PER_CORE and (
            has_timed_out_calls or has_stale_requests
        ):
            self.limit *= DECREASE_FACTOR
        self.limit = max(self._cores, min(self.limit, self.ceiling(now)))
