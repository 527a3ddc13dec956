"""What this server tells its callers, and when.

| what | when |
| --- | --- |
| health | in a timer round, at a drain or a change of service level, when it changed |
| load report | at the same moments, when it moved by more than `REPORTED_CHANGE` |
| load report on trial | at the same moments, always while a service level is on trial |
| retry-after and "final" | with each rejection |

Health is bad while the server drains or is unhealthy (`health`). The load report is the kind that
the settings name: the priority floor (1 in bad health), a routing weight (1 less the pressure, 0 in
bad health), or a concurrency allowance for each caller that has a request here (0 in bad health):
callers may be thousands, and a split over all of them would leave none any.

A rejection under load names a retry-after (ns) of the share rejected, by chance, of the longest
that callers honour, so that they do not come back together; an unhealthy or draining server names
the longest. From `FINAL_PRESSURE` it is final: the request is not to be tried elsewhere, where it
would be read again. An unhealthy or draining server does not say so, since others may be well.
"""

from .lifecycle import TrackedRequest
from .model import Degradation, LoadReportKind
from .rule_set import RuleSet
from .timing import TIMER_INTERVAL_NS

__all__ = ["CallerFeedback"]

FINAL_PRESSURE = 0.2
REPORTED_CHANGE = 0.01
ALLOWANCE_AT_NO_PRESSURE = 4.0
"""Concurrency allowance at no pressure, over the run limit, as a multiple of it."""
SERVICE_LEVEL_RETRY_AFTER_SPREAD = 0.5
NOT_REPORTED = -1.0


class CallerFeedback:
    """Health, load reports and the hints on rejections."""

    def __init__(self, rules: RuleSet) -> None:
        """Nothing is reported yet; health counts as good."""
        self._load_report_kind = rules.settings.load_report_kind
        self._max_retry_after_ns = rules.settings.max_retry_after_ns
        self._effects = rules.effects
        self._live_requests = rules.live_requests
        self._arrivals = rules.arrivals
        self._shedding = rules.shedding
        self._concurrency = rules.concurrency
        self._health = rules.health
        self._service_levels = rules.service_levels
        self._drain = rules.drain
        self._random = rules.random
        self._reported_health = True
        self._reported_load = NOT_REPORTED

    def reject(self, tracked: TrackedRequest, now: int) -> None:
        """Rejects a request under load."""
        self._arrivals.record_rejection(now)
        is_unfit = self._drain.is_draining or self._health.is_unhealthy(now)
        share = 1.0 if is_unfit else self._arrivals.rejected_share(now) * self._random()
        self._effects.reject(
            tracked.request.ref,
            int(share * self._max_retry_after_ns),
            self._shedding.pressure > FINAL_PRESSURE and not is_unfit,
        )

    def reject_degraded(self, tracked: TrackedRequest) -> None:
        """Rejects a request that the service level takes away.

        It does not count as rejected: what a level takes away is no strain. It is final only where
        the level takes whole classes away, since every other server would reject it too. Where
        callers hear a priority floor, that keeps its likes away, and a long retry-after would keep
        away what is still served.
        """
        if self._load_report_kind is LoadReportKind.PRIORITY_FLOOR:
            retry_after_ns = TIMER_INTERVAL_NS
        else:
            share = 1 - SERVICE_LEVEL_RETRY_AFTER_SPREAD * self._random()
            retry_after_ns = int(share * self._max_retry_after_ns)
        self._effects.reject(
            tracked.request.ref,
            min(retry_after_ns, self._max_retry_after_ns),
            self._service_levels.degradation_for(tracked).priority_floor > 0,
        )

    def update(self, now: int) -> None:
        """Reports what has changed, at `now` (ns)."""
        is_healthy = not self._drain.is_draining and not self._health.is_unhealthy(now)
        if is_healthy != self._reported_health:
            self._reported_health = is_healthy
            self._effects.set_health(is_healthy)
        self._report_trial_load(is_healthy)
        load = self._load(is_healthy)
        if load is not None and abs(load - self._reported_load) > REPORTED_CHANGE:
            self._reported_load = load
            self._effects.report_load(load)

    def _load(self, is_healthy: bool) -> float | None:
        kind = self._load_report_kind
        if kind is LoadReportKind.PRIORITY_FLOOR:
            return self._priority_floor(self._service_levels.level.degradation, is_healthy)
        if kind is LoadReportKind.ROUTING_WEIGHT:
            return 1 - self._shedding.pressure if is_healthy else 0.0
        if kind is LoadReportKind.CONCURRENCY_ALLOWANCE:
            return self._allowance() if is_healthy else 0.0
        return None

    def _priority_floor(self, degradation: Degradation, is_healthy: bool) -> float:
        if not is_healthy:
            return 1.0
        return max(self._shedding.priority_floor(), degradation.priority_floor)

    def _allowance(self) -> float:
        callers = len({tracked.request.caller for tracked in self._live_requests.values()})
        multiple = 1 + ALLOWANCE_AT_NO_PRESSURE * (1 - self._shedding.pressure)
        return self._concurrency.limit * multiple / max(1, callers)

    def _report_trial_load(self, is_healthy: bool) -> None:
        level = self._service_levels.level
        if self._load_report_kind is LoadReportKind.PRIORITY_FLOOR and level.trial_share:
            self._effects.report_trial_load(
                self._priority_floor(level.trial_degradation, is_healthy)
            )
