"""Health, load reports and rejection hints for the callers of this server.

| what | when |
| --- | --- |
| health | when it changed: each timer round, at a drain or a change of service level |
| load report | at the same times, when it changed by more than `MIN_REPORTED_CHANGE` |
| load report on trial | at the same times, always while a service level is on trial |
| retry-after and "final" | with each rejection |

Health is bad while the server drains or is unhealthy (`health`). The settings name the kind of load
report. A priority floor is 1 in bad health. A routing weight is 1 minus the pressure, and 0 in bad
health. A concurrency allowance is split over the callers that have a request here, and is 0 in bad
health. There may be thousands of callers: split over all of them, it would leave each with nothing.

A rejection under load carries a retry-after (ns): the longest that callers honour, times the
rejected share, times a random draw, so that callers do not return all at once. An unhealthy or
draining server sends the longest. Above `FINAL_REJECTION_PRESSURE` the rejection is final: the
caller must not try another server, which would have to read the request again. An unhealthy or
draining server does not send that, since other servers may be healthy.
"""

from .lifecycle import TrackedRequest
from .model import Degradation, LoadReportKind
from .rule_set import RuleSet
from .timing import TIMER_INTERVAL_NS

__all__ = ["CallerFeedback"]

FINAL_REJECTION_PRESSURE = 0.2
# A smaller change of the load is not reported.
MIN_REPORTED_CHANGE = 0.01
MAX_EXTRA_ALLOWANCE_MULTIPLE = 4.0
"""Extra concurrency allowance at no pressure, as a multiple of the run limit."""
# The random part of the retry-after when the service level excludes a request.
RETRY_AFTER_JITTER_SHARE = 0.5
NOT_REPORTED = -1.0


class CallerFeedback:
    """Reports health and load, and sets the hints on rejections."""

    def __init__(self, rules: RuleSet) -> None:
        """Starts with nothing reported; callers assume good health."""
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
        is_draining_or_unhealthy = self._drain.is_draining or self._health.is_unhealthy(now)
        share = (
            1.0 if is_draining_or_unhealthy else self._arrivals.rejected_share(now) * self._random()
        )
        self._effects.reject(
            tracked.request.ref,
            int(share * self._max_retry_after_ns),
            self._shedding.pressure > FINAL_REJECTION_PRESSURE and not is_draining_or_unhealthy,
        )

    def reject_degraded(self, tracked: TrackedRequest) -> None:
        """Rejects a request that the service level excludes.

        The rejection does not count towards the rejected share, as the exclusion is not a sign of
        load. It is final only where the level excludes whole classes, since every other server
        would reject the request too. Callers that receive a priority floor hold back similar
        requests on their own; a long retry-after would also hold back requests that are still
        served.
        """
        if self._load_report_kind is LoadReportKind.PRIORITY_FLOOR:
            retry_after_ns = TIMER_INTERVAL_NS
        else:
            share = 1 - RETRY_AFTER_JITTER_SHARE * self._random()
            retry_after_ns = int(share * self._max_retry_after_ns)
        self._effects.reject(
            tracked.request.ref,
            min(retry_after_ns, self._max_retry_after_ns),
            self._service_levels.degradation_for(tracked).priority_floor > 0,
        )

    def update(self, now: int) -> None:
        """Reports health and load that changed, at `now` (ns)."""
        is_healthy = not self._drain.is_draining and not self._health.is_unhealthy(now)
        if is_healthy != self._reported_health:
            self._reported_health = is_healthy
            self._effects.set_health(is_healthy)
        self._report_trial_load(is_healthy)
        load = self._load_report(is_healthy)
        if load is not None and abs(load - self._reported_load) > MIN_REPORTED_CHANGE:
            self._reported_load = load
            self._effects.report_load(load)

    def _load_report(self, is_healthy: bool) -> float | None:
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
        multiple = 1 + MAX_EXTRA_ALLOWANCE_MULTIPLE * (1 - self._shedding.pressure)
        return self._concurrency.limit * multiple / max(1, callers)

    def _report_trial_load(self, is_healthy: bool) -> None:
        level = self._service_levels.level
        if self._load_report_kind is LoadReportKind.PRIORITY_FLOOR and level.trial_share:
            self._effects.report_trial_load(
                self._priority_floor(level.trial_degradation, is_healthy)
            )
