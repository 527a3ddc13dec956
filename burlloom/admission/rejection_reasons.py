"""The reasons for rejecting a request: one method for each, named as in the table of `lifecycle`.

Each method takes a request and the host's clock (ns), and returns whether the reason applies. For a
new request the reasons are, in the order of the table:

| reason | applies when |
| --- | --- |
| `is_rejected_by_service_level` | the service level in force excludes its class or its caller |
| `arrived_after_drain_grace` | the server drains, and the request came after the grace period |
| `is_past_deadline` | it could not be answered before its deadline or the server's stop |
| `cannot_meet_latency_objective` | it would be late here; another server may be faster |
| `server_is_hung` | runs are open and none makes progress (`health`) |
| `is_shed_for_failure_rate` | runs fail here, and a random draw picks it at that rate |
| `key_cannot_be_recorded` | a repeat could not be recognised (`idempotency`) |
| `queue_is_full` | the queue is full, and no request may be evicted (`admission_queue`) |

A queued request is rejected when the service level excludes it, when it is past its deadline or can
no longer meet its latency objective, when it is evicted, or when its run could not be recorded.

Three rejections are decided outside this package: no executor has connected yet
(`server/request_handler.py`), a retry is held back while service recovers after a restart, and a
repeat waited for an original that never ran (both `dispatcher/dispatcher.py`).
"""

from .lifecycle import State, TrackedRequest
from .rule_set import RuleSet
from .timing import ANSWER_MARGIN_NS, TIMER_INTERVAL_NS

__all__ = ["RejectionReasons"]

MIN_RUN_TIME_SHARE_OF_ESTIMATE = 0.6
"""The shortest time that a run may take, as a share of its estimate."""


class RejectionReasons:
    """Evaluates the reasons on the state of the other rules."""

    def __init__(self, rules: RuleSet) -> None:
        """Keeps references to the rules whose state is read; none is changed."""
        self._queue = rules.queue
        self._concurrency = rules.concurrency
        self._memory = rules.memory
        self._shedding = rules.shedding
        self._idempotency = rules.idempotency
        self._estimates = rules.estimates
        self._health = rules.health
        self._service_levels = rules.service_levels
        self._drain = rules.drain
        self._random = rules.random

    def is_rejected_by_service_level(self, tracked: TrackedRequest, now: int) -> bool:
        """Returns whether the service level in force excludes the request."""
        return self._service_levels.rejects(tracked)

    def arrived_after_drain_grace(self, tracked: TrackedRequest, now: int) -> bool:
        """Returns whether the server drains and the request came after the grace period."""
        return tracked.arrived_at_ns > self._drain.last_arrival_at_ns

    def is_past_deadline(self, tracked: TrackedRequest, now: int) -> bool:
        """Returns whether the next timer round would be too late to answer the request.

        The limit is its deadline or the server's stop, whichever comes first.
        """
        end_ns = min(tracked.deadline_at_ns, self._drain.stop_at_ns)
        return end_ns <= now + TIMER_INTERVAL_NS + ANSWER_MARGIN_NS

    def cannot_meet_latency_objective(self, tracked: TrackedRequest, now: int) -> bool:
        """Returns whether an answer would be late here, though perhaps not at another server.

        A request that is alone in the queue delays no other, so it is rejected only when it is
        certain to be late. While others are queued the estimate counts in full, and so does the
        time spent waiting, since newer requests start first.
        """
        end_ns = min(tracked.answer_by_ns, self._drain.stop_at_ns) - ANSWER_MARGIN_NS
        request = tracked.request
        expected_ns = self._estimates.expected_ns(now, request.request_class, request.cost_ns)
        others_queued = len(self._queue.requests) - (tracked.state == State.QUEUED)
        if others_queued <= 0:
            return now + MIN_RUN_TIME_SHARE_OF_ESTIMATE * expected_ns > end_ns
        return now + expected_ns > end_ns or now > tracked.early_rejection_at_ns

    def server_is_hung(self, tracked: TrackedRequest, now: int) -> bool:
        """Returns whether runs are open and none of them makes progress."""
        return self._health.is_hung(now)

    def is_shed_for_failure_rate(self, tracked: TrackedRequest, now: int) -> bool:
        """Returns whether runs fail here and a random draw picks this new request."""
        return self._random() < self._health.failure_rate(now)

    def key_cannot_be_recorded(self, tracked: TrackedRequest, now: int) -> bool:
        """Returns whether the request is keyed and a repeat of it could not be recognised."""
        return self._idempotency.key_cannot_be_recorded(tracked, now)

    def queue_is_full(self, tracked: TrackedRequest, now: int) -> bool:
        """Returns whether the queue is full and evicts no request for the new one.

        None is evicted for a request below the priority floor, before the oldest has waited longer
        than the jostle timeout, or where the eviction frees too little memory.
        """
        if self.has_queue_capacity(tracked) or self._idempotency.replaces_queued_original(tracked):
            return False
        oldest = self._queue.oldest()
        return (
            oldest is None
            or not self._queue.is_stale(oldest, now)
            or not self._memory.has_capacity(-oldest.request.memory_kb)
            or self._is_under_priority_floor(tracked)
        )

    def has_queue_capacity(self, tracked: TrackedRequest) -> bool:
        """Returns whether the queue has room for a new request without an eviction."""
        return self._memory.has_capacity(0) and self._queue.has_capacity(
            tracked.request.memory_kb,
            self._concurrency.limit,
            self._service_levels.degradation_for(tracked).queue_share,
            is_under_priority_floor=self._is_under_priority_floor(tracked),
        )

    def is_at_run_capacity(self, tracked: TrackedRequest, now: int) -> bool:
        """Returns whether a repeat cannot wait for a result, for lack of run slots or memory."""
        return self._concurrency.is_at_ceiling(now) or not self._memory.has_capacity_to_run(tracked)

    def _is_under_priority_floor(self, tracked: TrackedRequest) -> bool:
        return tracked.request.priority < self._shedding.priority_floor()
