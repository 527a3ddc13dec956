"""The decisions of one server: what it admits, starts, rejects and calls.

A host makes one `AdmissionController` for each life of a server, calls `start`, and from then on
hands it each thing that happens, in order and with its time: `request_arrived`, `run_ended`,
`call_requested`, `call_ended`, `caller_gone`, `drain`, `timer_fired` and, where they are on,
`set_service_level` and `set_call_quota`. The controller acts at once through `model.Effects`.

This module only hands events to the rules and requests along their life. Where to look for the
rules:

| question | module |
| --- | --- |
| what can happen to a request? | `lifecycle`, the table of transitions |
| why was this request rejected? | `rejection_reasons` |
| why was this call not made? | `downstream_calls` |
| what does this server tell its callers, and when? | `caller_feedback` |
| how many run at a time? | `concurrency_limit`, `slow_start`, `memory_budget` |
| who waits, and who is evicted? | `admission_queue` |
| why was a repeat not run? | `idempotency` |
| what is pressure? | `load_shedding` |

All times are whole nanoseconds on the host's clock.
"""

from random import Random
from typing import NamedTuple

from .admission_queue import AdmissionQueue
from .arrival_statistics import ArrivalStatistics
from .awake_clock import AwakeClock
from .caller_feedback import CallerFeedback
from .concurrency_limit import ConcurrencyLimit
from .connection_limits import ConnectionIdleTime
from .downstream_calls import DownstreamCalls
from .drain import Drain
from .health import HealthMonitor
from .idempotency import IdempotencyKeys
from .lifecycle import (
    INPUT_OF_UNSTARTED_RUN,
    TRANSITIONS,
    BoundTransition,
    Effect,
    Input,
    State,
    Test,
    TrackedRequest,
    bind_transitions,
)
from .load_shedding import LoadShedding
from .memory_budget import MemoryBudget
from .model import Effects, Gauges, Outcome, Request, ServerSettings, ServiceLevel
from .rejection_reasons import RejectionReasons
from .run_time_estimates import RunTimeEstimates
from .service_levels import ServiceLevels
from .slow_start import SlowStart
from .timing import TIMER_INTERVAL_NS

__all__ = ["AdmissionController", "ControllerSizes"]


class ControllerSizes(NamedTuple):
    """The number of objects that an `AdmissionController` holds.

    Attributes:
        requests: requests whose reference may still be named.
        live: those of them that are not over.
        ended: those of them that are over and not yet released.
        lingering_calls: calls given up that the dependency may still work on.
    """

    requests: int
    live: int
    ended: int
    lingering_calls: int


class AdmissionController:
    """Decides for one life of a server.

    Attributes:
        live_requests: the requests that are not over, by reference.
    """

    def __init__(self, settings: ServerSettings, seed: int, effects: Effects, now: int) -> None:
        """Makes the controller of a server that has served nothing yet.

        Args:
            settings: of the server.
            seed: of all random draws.
            effects: what carries out the decisions.
            now: when the executor was started, in ns. Later events may be much later.
        """
        random = Random(seed).random
        self._settings = settings
        self._effects = effects
        self._counts = [0] * len(State)
        self.live_requests: dict[int, TrackedRequest] = {}
        self._clock = AwakeClock(now)
        self._drain = Drain()
        self._service_levels = ServiceLevels()
        self._arrivals = ArrivalStatistics(settings)
        self._estimates = RunTimeEstimates(settings)
        self._memory = MemoryBudget(settings)
        self._queue = AdmissionQueue(settings, self._clock)
        self._idempotency = IdempotencyKeys(settings, self._memory, effects)
        self._requests = self._idempotency.requests
        slow_start = SlowStart(settings, now)
        self._concurrency = ConcurrencyLimit(settings, self._counts, slow_start)
        self._shedding = LoadShedding(settings, self._arrivals, slow_start.speed_share(now))
        self._health = HealthMonitor(settings, self._counts, self._arrivals, now)
        self._idle_time = ConnectionIdleTime(settings, effects)
        self._calls = DownstreamCalls(
            settings, self._counts, self._queue, self._service_levels, self._drain, now, random
        )
        self._reasons = RejectionReasons(
            queue=self._queue,
            concurrency=self._concurrency,
            memory=self._memory,
            shedding=self._shedding,
            idempotency=self._idempotency,
            estimates=self._estimates,
            health=self._health,
            service_levels=self._service_levels,
            drain=self._drain,
            random=random,
        )
        self._feedback = CallerFeedback(
            settings,
            effects,
            self.live_requests,
            arrivals=self._arrivals,
            shedding=self._shedding,
            concurrency=self._concurrency,
            health=self._health,
            service_levels=self._service_levels,
            drain=self._drain,
            random=random,
        )
        self._transitions: list[list[tuple[BoundTransition, ...]]] = bind_transitions(
            TRANSITIONS, self._tests(), self._transition_effects()
        )

    # Events, handed in by the host.

    def start(self, now: int) -> None:
        """The server begins to serve."""
        self._effects.set_health(True)
        self._effects.schedule_timer(TIMER_INTERVAL_NS, 0)

    def request_arrived(self, now: int, request: Request) -> None:
        """A request was read.

        Args:
            now: the host's clock in ns.
            request: it, with a reference that was never given before.
        """
        self._advance_clock(now)
        request_class = self._settings.request_classes[request.request_class]
        tracked = TrackedRequest(request, request_class, now)
        self._requests[request.ref] = tracked
        self.live_requests[request.ref] = tracked
        self._counts[State.NEW] += 1
        self._memory.requests_kb += request.memory_kb
        self._arrivals.record_arrival(now, request.unread_ns)
        self._apply(tracked, Input.ARRIVED, now)
        self._fill_free_slots(now)

    def run_ended(self, now: int, ref: int, outcome: Outcome, took: int) -> None:
        """A run ended, or was never begun, or the result that a repeat waits for is there.

        Args:
            now: the host's clock in ns.
            ref: the request; an unknown one is passed over.
            outcome: how it ended.
            took: the time that the run took in ns.
        """
        tracked = self._requests.get(ref)
        if tracked is not None:
            if tracked.state == State.RUNNING and outcome not in INPUT_OF_UNSTARTED_RUN:
                self._health.record_run_end(now, outcome)
                if outcome is Outcome.OK:
                    request = tracked.request
                    self._estimates.record(now, request.request_class, took, request.cost_ns)
            tracked.last_outcome = outcome
        self._progress(now, tracked, INPUT_OF_UNSTARTED_RUN.get(outcome, Input.RUN_ENDED))

    def call_requested(self, now: int, ref: int) -> None:
        """A run wants to call the downstream dependency.

        Args:
            now: the host's clock in ns.
            ref: the request; an unknown one is passed over.
        """
        self._progress(now, self._requests.get(ref), Input.CALL_REQUESTED)

    def call_ended(self, now: int, ref: int, outcome: Outcome, took: int) -> None:
        """A call to the downstream dependency ended.

        Args:
            now: the host's clock in ns.
            ref: the request; an unknown one is passed over.
            outcome: how the call ended.
            took: the time that it took in ns.
        """
        tracked = self._requests.get(ref)
        if tracked is not None and tracked.state == State.IN_CALL:
            tracked.last_outcome = outcome
            self._calls.record_call_end(now, outcome, took)
        is_answered = outcome is Outcome.OK
        self._progress(now, tracked, Input.CALL_SUCCEEDED if is_answered else Input.CALL_FAILED)

    def caller_gone(self, now: int, ref: int) -> None:
        """Nobody waits for the answer any more; this is no progress of the work.

        Args:
            now: the host's clock in ns.
            ref: the request; an unknown one is passed over.
        """
        self._advance_clock(now)
        tracked = self._requests.get(ref)
        if tracked is not None:
            self._apply(tracked, Input.CALLER_GONE, now)
            self._fill_free_slots(now)

    def drain(self, now: int, noticed: int, stop: int) -> None:
        """The server is asked to stop.

        Args:
            now: the host's clock in ns.
            noticed: when the notice came, at the earliest; the grace counts from there.
            stop: when the server stops.
        """
        self._advance_clock(now)
        self._drain.begin(noticed, stop, self._settings.drain_grace_ns)
        self._feedback.update(now)
        self._fill_free_slots(now)

    def set_service_level(self, now: int, service: ServiceLevel) -> None:
        """A service level holds from now on.

        Queued requests that it takes away are rejected at once.

        Args:
            now: the host's clock in ns.
            service: the level, and the one on trial.
        """
        self._advance_clock(now)
        self._service_levels.level = service
        for tracked in list(self._queue.requests.values()):
            self._apply(tracked, Input.LEVEL_CHANGED, now)
        self._feedback.update(now)
        self._fill_free_slots(now)

    def set_call_quota(self, now: int, share: float) -> None:
        """This server's quota of calls changes. Calls in hand stay; none is added past it.

        Args:
            now: the host's clock in ns.
            share: the quota as a mean number of calls in hand, above 0.
        """
        self._advance_clock(now)
        self._calls.set_quota(now, share)
        self._fill_free_slots(now)

    def timer_fired(self, now: int, handle: int, gauges: Gauges) -> None:
        """A timer round.

        Args:
            now: the host's clock in ns.
            handle: as it was given to `Effects.schedule_timer`.
            gauges: what the server measures of itself.
        """
        self._advance_clock(now)
        self._effects.schedule_timer(TIMER_INTERVAL_NS, handle)
        for tracked in list(self.live_requests.values()):
            self._apply(tracked, Input.TIMER, now)
        self._idempotency.release_ended(now)
        self._update_concurrency_limit(now, gauges)
        self._shedding.update(now, gauges)
        self._shedding.update_call_pressure(now, bool(self._calls.queue))
        self._calls.update(now)
        self._feedback.update(now)
        rejected_share = self._arrivals.rejected_share(now)
        self._idle_time.update(gauges, len(self.live_requests), rejected_share)
        self._fill_free_slots(now)

    # What the host may look at.

    @property
    def pressure(self) -> float:
        """The pressure on the server, 0 to 1 (`load_shedding`)."""
        return self._shedding.pressure

    @property
    def overwritten(self) -> int:
        """The number of requests evicted from the queue for a newcomer."""
        return self._queue.overwritten

    @property
    def exceeded(self) -> int:
        """The number of newcomers rejected since the queue was full."""
        return self._queue.exceeded

    def calls_in_hand(self) -> int:
        """The number of calls in hand, with those given up that still linger."""
        return self._calls.in_hand(self._clock.now)

    def queued_call_count(self) -> int:
        """The number of requests that wait for their turn to call."""
        return len(self._calls.queue)

    def queue_age_share(self, now: int) -> float:
        """The age of the oldest queued request, as a share of its latency objective.

        Args:
            now: the host's clock in ns.

        Returns:
            The share; 0 where none is queued.
        """
        oldest = self._queue.oldest()
        if oldest is None:
            return 0.0
        waited_ns = now - self._clock.paused_ns - oldest.waiting_since_ns
        return waited_ns / oldest.request_class.latency_objective_ns

    def read_lag_share(self) -> float:
        """How long requests lay unread in the last second, on the average.

        Returns:
            The lag as a share of the shortest latency objective.
        """
        return self._arrivals.read_lag_share(self._clock.now)

    def sizes(self) -> ControllerSizes:
        """The number of objects held, to watch that none grows without end."""
        return ControllerSizes(
            len(self._requests),
            len(self.live_requests),
            len(self._idempotency.ended),
            len(self._calls.lingering_until_ns),
        )

    # From events to transitions.

    def _advance_clock(self, now: int) -> None:
        elapsed_ns = now - self._clock.now
        self._health.last_progress_at_ns += self._clock.advance(now)
        self._calls.record_elapsed_time(now, elapsed_ns)

    def _progress(self, now: int, tracked: TrackedRequest | None, what: Input) -> None:
        self._advance_clock(now)
        if tracked is not None:
            self._health.last_progress_at_ns = now
            self._apply(tracked, what, now)
            self._fill_free_slots(now)

    def _apply(self, tracked: TrackedRequest, what: Input, now: int) -> None:
        for tests, next_state, effect in self._transitions[tracked.state][what]:
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
            self._calls.leave(tracked, now)
        elif state == State.QUEUED:
            self._queue.remove(tracked)
        elif state == State.AWAITING_CALL:
            del self._calls.queue[tracked.request.ref]
        if next_state >= State.FINISHED:
            tracked.ended_at_ns = now
            del self.live_requests[tracked.request.ref]
            self._idempotency.ended.append(tracked)

    def _fill_free_slots(self, now: int) -> None:
        calls = self._calls
        while calls.queue and calls.may_start_call(now):
            self._apply(calls.next_in_queue(), Input.CALL_SLOT_FREE, now)
        queue = self._queue
        while queue.requests and self._concurrency.may_start(now, calls.limit.limit):
            newest = queue.newest()
            if not self._memory.has_room_to_run(newest):
                break
            self._apply(newest, Input.SLOT_FREE, now)

    def _update_concurrency_limit(self, now: int, gauges: Gauges) -> None:
        oldest = self._queue.oldest()
        self._concurrency.update(
            now,
            gauges,
            has_queued_requests=oldest is not None,
            has_stale_requests=oldest is not None and self._queue.is_stale(oldest, now),
            has_queued_calls=bool(self._calls.queue),
            has_timed_out_calls=self._calls.has_timed_out_calls,
        )
        self._calls.has_timed_out_calls = False

    # Tests and effects of the table of transitions.

    def _tests(self) -> dict[str, Test]:
        reasons = self._reasons
        return {
            "arrived_after_drain_grace": reasons.arrived_after_drain_grace,
            "cannot_meet_latency_objective": reasons.cannot_meet_latency_objective,
            "key_cannot_be_kept": reasons.key_cannot_be_kept,
            "is_past_deadline": reasons.is_past_deadline,
            "is_rejected_by_service_level": reasons.is_rejected_by_service_level,
            "is_shed_for_failure_rate": reasons.is_shed_for_failure_rate,
            "may_retry_call": self._may_retry_call,
            "may_skip_call": self._calls.may_skip_call,
            "no_room_for_repeat": reasons.no_room_for_repeat,
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
                self._apply(original, Input.EVICTED, now)
            original.successor = tracked
        else:
            oldest = self._queue.oldest()
            if oldest is not None and not self._reasons.has_place(tracked):
                self._apply(oldest, Input.EVICTED, now)
        tracked.waiting_since_ns = now - self._clock.paused_ns
        self._queue.add(tracked)
        self._idempotency.keep_for_queued(tracked, now)

    def _enqueue_call(self, tracked: TrackedRequest, now: int) -> None:
        tracked.waiting_since_ns = now - self._clock.paused_ns
        self._calls.enqueue(tracked)

    def _start_run(self, tracked: TrackedRequest, now: int) -> None:
        if self._concurrency.running(self._calls.limit.limit) <= 1:
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
        self._queue.overwritten += 1
        self._reject(tracked, now)

    def _reject_queue_full(self, tracked: TrackedRequest, now: int) -> None:
        self._queue.exceeded += 1
        self._reject(tracked, now)

    def _reject_degraded(self, tracked: TrackedRequest, now: int) -> None:
        self._idempotency.forget_key(tracked, now)
        self._feedback.reject_degraded(tracked)
