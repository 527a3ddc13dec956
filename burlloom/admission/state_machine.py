"""Applies the transition table to requests and implements its effects.

`lifecycle` holds the table. Its tests are in `rejection_reasons`, `idempotency` and
`downstream_calls`, its effects in this module and `idempotency`.
"""

from .caller_feedback import CallerFeedback
from .lifecycle import (
    TRANSITIONS,
    BoundTransition,
    Effect,
    Input,
    State,
    Test,
    TrackedRequest,
    bind_transitions,
)
from .rejection_reasons import RejectionReasons
from .rule_set import RuleSet

__all__ = ["StateMachine"]


class StateMachine:
    """The state machine of all requests of a server."""

    def __init__(self, rules: RuleSet, feedback: CallerFeedback) -> None:
        """Binds the transition table.

        Args:
            rules: The server's rules.
            feedback: Sends the rejections.
        """
        self._effects = rules.effects
        self._counts = rules.counts
        self._live_requests = rules.live_requests
        self._clock = rules.clock
        self._memory = rules.memory
        self._queue = rules.queue
        self._idempotency = rules.idempotency
        self._concurrency = rules.concurrency
        self._health = rules.health
        self._calls = rules.calls
        self._feedback = feedback
        self._reasons = RejectionReasons(rules)
        self._transitions: list[list[tuple[BoundTransition, ...]]] = bind_transitions(
            TRANSITIONS, self._tests(), self._transition_effects()
        )

    def apply(self, tracked: TrackedRequest, lifecycle_input: Input, now: int) -> None:
        """Applies an input to a request: the first row whose tests hold moves the request.

        Args:
            tracked: The request.
            lifecycle_input: The input.
            now: The host's clock, in ns.
        """
        for tests, next_state, effect in self._transitions[tracked.state][lifecycle_input]:
            for test in tests:
                if not test(tracked, now):
                    break
            else:
                self._move(tracked, next_state, now)
                if effect is not None:
                    effect(tracked, now)
                return

    def _move(self, tracked: TrackedRequest, next_state: State, now: int) -> None:
        state = tracked.state
        tracked.state = next_state
        self._counts[state] -= 1
        self._counts[next_state] += 1
        memory = self._memory
        factor = memory.factors[next_state] - memory.factors[state]
        memory.requests_kb += factor * tracked.request.memory_kb
        if state == State.IN_CALL:
            self._calls.leave_call(tracked, now)
        elif state == State.QUEUED:
            self._queue.remove(tracked)
        elif state == State.AWAITING_CALL:
            del self._calls.queue[tracked.request.ref]
        if next_state >= State.FINISHED:
            tracked.ended_at_ns = now
            del self._live_requests[tracked.request.ref]
            self._idempotency.ended.append(tracked)

    def fill_free_slots(self, now: int) -> None:
        """Makes the calls and starts the runs that are allowed at `now` (ns), after each event.

        Calls are made first; of the queued requests the newest is started first.
        """
        calls = self._calls
        while calls.queue and calls.may_start_call(now):
            self.apply(calls.next_in_queue(), Input.CALL_SLOT_FREE, now)
        queue = self._queue
        while queue.requests and self._concurrency.may_start(now, calls.limit.limit):
            newest = queue.newest()
            if not self._memory.has_capacity_to_run(newest):
                break
            self.apply(newest, Input.SLOT_FREE, now)

    # Tests and effects of the table of transitions.

    def _tests(self) -> dict[str, Test]:
        reasons = self._reasons
        return {
            "arrived_after_drain_grace": reasons.arrived_after_drain_grace,
            "cannot_meet_latency_objective": reasons.cannot_meet_latency_objective,
            "key_cannot_be_recorded": reasons.key_cannot_be_recorded,
            "is_past_deadline": reasons.is_past_deadline,
            "is_rejected_by_service_level": reasons.is_rejected_by_service_level,
            "is_shed_for_failure_rate": reasons.is_shed_for_failure_rate,
            "may_retry_call": self._may_retry_call,
            "may_skip_call": self._calls.may_skip_call,
            "is_at_run_capacity": reasons.is_at_run_capacity,
            "may_have_run": self._idempotency.may_have_run,
            "queue_is_full": reasons.queue_is_full,
            "server_is_hung": reasons.server_is_hung,
            "should_skip_call": self._calls.should_skip_call,
        }

    def _transition_effects(self) -> dict[str, Effect]:
        return {
            "cache_result": self._idempotency.cache_result,
            "enqueue": self._enqueue,
            "enqueue_call": self._enqueue_call,
            "fail": self._fail,
            "forget_key": self._idempotency.forget_key,
            "reject": self._reject,
            "reject_evicted": self._reject_evicted,
            "reject_degraded": self._reject_degraded,
            "reject_queue_full": self._reject_queue_full,
            "reuse_result": self._reuse_result,
            "skip_call": self._skip_call,
            "start_call": self._start_call,
            "start_run": self._start_run,
        }

    def _may_retry_call(self, tracked: TrackedRequest, now: int) -> bool:
        if self._reasons.is_past_deadline(tracked, now):
            return False
        return self._calls.is_safe_to_retry(tracked)

    def _enqueue(self, tracked: TrackedRequest, now: int) -> None:
        original = self._idempotency.original_of(tracked)
        if original is not None:
            if original.state == State.QUEUED:
                self.apply(original, Input.EVICTED, now)
            original.successor = tracked
        else:
            oldest = self._queue.oldest()
            if oldest is not None and not self._reasons.has_queue_capacity(tracked):
                self.apply(oldest, Input.EVICTED, now)
        tracked.waiting_since_ns = now - self._clock.paused_ns
        self._queue.add(tracked)
        self._idempotency.keep_key_of_queued(tracked, now)

    def _enqueue_call(self, tracked: TrackedRequest, now: int) -> None:
        tracked.waiting_since_ns = now - self._clock.paused_ns
        self._calls.enqueue(tracked)

    def _start_run(self, tracked: TrackedRequest, now: int) -> None:
        if self._concurrency.count_running(self._calls.limit.limit) <= 1:
            self._health.last_progress_at_ns = now
        self._effects.start_run(tracked.request.ref)

    def _start_call(self, tracked: TrackedRequest, now: int) -> None:
        self._effects.start_call(tracked.request.ref, self._calls.stop_at_ns(tracked, now))

    def _skip_call(self, tracked: TrackedRequest, now: int) -> None:
        self._effects.skip_call(tracked.request.ref)

    def _fail(self, tracked: TrackedRequest, now: int) -> None:
        self._effects.fail(tracked.request.ref)

    def _reuse_result(self, tracked: TrackedRequest, now: int) -> None:
        self._effects.reuse_result(tracked.request.ref)

    def _reject(self, tracked: TrackedRequest, now: int) -> None:
        self._idempotency.forget_key(tracked, now)
        self._feedback.reject(tracked, now)

    def _reject_evicted(self, tracked: TrackedRequest, now: int) -> None:
        self._queue.evictions += 1
        self._reject(tracked, now)

    def _reject_queue_full(self, tracked: TrackedRequest, now: int) -> None:
        self._queue.queue_full_rejections += 1
        self._reject(tracked, now)

    def _reject_degraded(self, tracked: TrackedRequest, now: int) -> None:
        self._idempotency.forget_key(tracked, now)
        self._feedback.reject_degraded(tracked)
