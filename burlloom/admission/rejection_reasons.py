"""Why a request is rejected: one method for each reason, named as in the table of `lifecycle`.

Each method takes a request and the host's clock (ns), and says whether the reason holds. In the
order of the table, the reasons for a newcomer are:

| reason | holds when |
| --- | --- |
| `is_rejected_by_service_level` | the service level in force takes its class or its caller away |
| `arrived_after_drain_grace` | the server drains, and it came after the grace |
| `is_past_deadline` | it could not be answered before its deadline or the server's stop |
| `cannot_meet_latency_objective` | it would be late here; another server may be faster |
| `server_is_hung` | work is open and none moves (`health`) |
| `is_shed_for_failure_rate` | runs fail here; newcomers are shed by that share, by chance |
| `key_cannot_be_recorded` | a repeat could not be recognised (`idempotency`) |
| `queue_is_full` | no place in the queue, and nobody to evict (`admission_queue`) |

A queued request is rejected when the service level takes it away, when it is past its deadline or
cannot meet its latency objective any more, when it is evicted, or when its run could not be
recorded.

Three rejections are no decision of this package: no executor has connected yet
(`server/request_handler.py`), a retry is held back while service recovers after a restart, and a
duplicate waited for an original that never ran (both `dispatcher/dispatcher.py`).
"""

from .lifecycle import State, TrackedRequest
from .rule_set import RuleSet
from .timing import ANSWER_MARGIN_NS, TIMER_INTERVAL_NS

__all__ = ["RejectionReasons"]

CERTAIN_SHARE_OF_ESTIMATE = 0.6
"""What a run needs at the very least, as a share of its estimate."""


class RejectionReasons:
    """The reasons, over the state of the other rules."""

    def __init__(self, rules: RuleSet) -> None:
        """Reads the state of the rules; changes none of it."""
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
        """The service level in force takes it away."""
        return self._service_levels.rejects(tracked)

    def arrived_after_drain_grace(self, tracked: TrackedRequest, now: int) -> bool:
        """The server drains, and the request came after the grace."""
        return tracked.arrived_at_ns > self._drain.last_arrival_at_ns

    def is_past_deadline(self, tracked: TrackedRequest, now: int) -> bool:
        """Its deadline, or the server's stop, comes before the next round could answer it."""
        end_ns = min(tracked.deadline_at_ns, self._drain.stop_at_ns)
        return end_ns <= now + TIMER_INTERVAL_NS + ANSWER_MARGIN_NS

    def cannot_meet_latency_objective(self, tracked: TrackedRequest, now: int) -> bool:
        """An answer would be late here, though perhaps not elsewhere.

        Alone it costs nobody a turn, so only a sure miss counts. While others are queued the
        estimate counts in full, and so does time: newer ones go first.
        """
        end_ns = min(tracked.answer_by_ns, self._drain.stop_at_ns) - ANSWER_MARGIN_NS
        request = tracked.request
        expected_ns = self._estimates.expected_ns(now, request.request_class, request.cost_ns)
        others_queued = len(self._queue.requests) - (tracked.state == State.QUEUED)
        if others_queued <= 0:
            return now + CERTAIN_SHARE_OF_ESTIMATE * expected_ns > end_ns
        return now + expected_ns > end_ns or now > tracked.early_rejection_at_ns

    def server_is_hung(self, tracked: TrackedRequest, now: int) -> bool:
        """Work is open and none of it moves."""
        return self._health.is_hung(now)

    def is_shed_for_failure_rate(self, tracked: TrackedRequest, now: int) -> bool:
        """Runs fail here, and chance picks this newcomer."""
        return self._random() < self._health.failure_rate(now)

    def key_cannot_be_recorded(self, tracked: TrackedRequest, now: int) -> bool:
        """It is keyed, and a repeat of it could not be recognised."""
        return self._idempotency.key_cannot_be_recorded(tracked, now)

    def queue_is_full(self, tracked: TrackedRequest, now: int) -> bool:
        """The queue has no place for it, and evicts nobody for it.

        Nobody is evicted for a request below the priority floor, before the oldest has waited past
        the jostle timeout, or where that frees too little memory.
        """
        if self.has_place(tracked) or self._idempotency.replaces_queued_original(tracked):
            return False
        oldest = self._queue.oldest()
        return (
            oldest is None
            or not self._queue.is_stale(oldest, now)
            or not self._memory.has_capacity(-oldest.request.memory_kb)
            or self._is_under_floor(tracked)
        )

    def has_place(self, tracked: TrackedRequest) -> bool:
        """Whether the queue has a place for a newcomer without an eviction."""
        return self._memory.has_capacity(0) and self._queue.has_place(
            tracked.request.memory_kb,
            self._concurrency.limit,
            self._service_levels.degradation_for(tracked).queue_share,
            is_under_floor=self._is_under_floor(tracked),
        )

    def no_repeat_capacity(self, tracked: TrackedRequest, now: int) -> bool:
        """A repeat that waits for a result finds no place among the started, or no memory."""
        return self._concurrency.is_at_ceiling(now) or not self._memory.has_capacity_to_run(tracked)

    def _is_under_floor(self, tracked: TrackedRequest) -> bool:
        return tracked.request.priority < self._shedding.priority_floor()
