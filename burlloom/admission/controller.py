"""The entry point of admission control: passes the host's events to the rules.

A host creates one `AdmissionController` for each incarnation of a server and calls `start`. From
then on it reports each event, in order and with its time: `request_arrived`, `run_ended`,
`call_requested`, `call_ended`, `caller_gone`, `drain`, `timer_fired` and, where these features are
enabled, `set_service_level` and `set_call_quota`. The controller acts at once through
`model.Effects`.

This module only passes events to the rules and to `state_machine`. Where to find a rule:

| question | module |
| --- | --- |
| what can happen to a request? | `lifecycle`, the transition table |
| why was this request rejected? | `rejection_reasons` |
| why was this call not made? | `downstream_calls` |
| what does this server report to its callers, and when? | `caller_feedback` |
| how many requests run at once? | `concurrency_limit`, `slow_start`, `memory_budget` |
| which requests are queued, and which are evicted? | `admission_queue` |
| why was a repeat not run? | `idempotency` |
| what is pressure? | `load_shedding` |

All times are integer nanoseconds on the host's clock.
"""

from typing import NamedTuple

from .caller_feedback import CallerFeedback
from .lifecycle import INPUT_OF_UNSTARTED_RUN, Input, State, TrackedRequest
from .model import Effects, Gauges, Outcome, Request, ServerSettings, ServiceLevel
from .rule_set import RuleSet
from .state_machine import StateMachine
from .timing import TIMER_INTERVAL_NS

__all__ = ["AdmissionController", "ControllerSizes"]


class ControllerSizes(NamedTuple):
    """The number of objects that an `AdmissionController` holds.

    Attributes:
        requests: Requests whose reference may still be used.
        live: Those of them that have not ended.
        ended: Those of them that have ended and are not yet released.
        lingering_calls: Abandoned calls that the dependency may still process.
    """

    requests: int
    live: int
    ended: int
    lingering_calls: int


class AdmissionController:
    """Decides for one incarnation of a server.

    Attributes:
        live_requests: The requests that have not ended, by reference.
    """

    def __init__(self, settings: ServerSettings, seed: int, effects: Effects, now: int) -> None:
        """Creates the controller of a server that has served nothing yet.

        Args:
            settings: The server's settings.
            seed: Seeds all random draws.
            effects: Carries out the decisions.
            now: When the executor was started, in ns. Later events may follow much later.
        """
        rules = RuleSet(settings, seed, effects, now)
        self._settings = settings
        self._effects = effects
        self._counts = rules.counts
        self.live_requests = rules.live_requests
        self._clock = rules.clock
        self._drain = rules.drain
        self._service_levels = rules.service_levels
        self._arrivals = rules.arrivals
        self._estimates = rules.estimates
        self._memory = rules.memory
        self._queue = rules.queue
        self._idempotency = rules.idempotency
        self._requests = rules.idempotency.requests
        self._concurrency = rules.concurrency
        self._shedding = rules.shedding
        self._health = rules.health
        self._idle_timeout = rules.idle_timeout
        self._calls = rules.calls
        self._feedback = CallerFeedback(rules)
        self._machine = StateMachine(rules, self._feedback)

    # Events that the host reports.

    def start(self, now: int) -> None:
        """Starts to serve: reports good health and schedules the first timer round."""
        self._effects.set_health(True)
        self._effects.schedule_timer(TIMER_INTERVAL_NS, 0)

    def request_arrived(self, now: int, request: Request) -> None:
        """Handles a request that was read.

        Args:
            now: The host's clock, in ns.
            request: The request; its reference must never have been used before.
        """
        self._advance_clock(now)
        request_class = self._settings.request_classes[request.request_class]
        tracked = TrackedRequest(request, request_class, now)
        self._requests[request.ref] = tracked
        self.live_requests[request.ref] = tracked
        self._counts[State.NEW] += 1
        self._memory.requests_kb += request.memory_kb
        self._arrivals.record_arrival(now, request.unread_ns)
        self._machine.apply(tracked, Input.ARRIVED, now)
        self._machine.fill_free_slots(now)

    def run_ended(self, now: int, ref: int, outcome: Outcome, duration_ns: int) -> None:
        """Handles a run that ended or was never begun, or the end of the original of a repeat.

        Args:
            now: The host's clock, in ns.
            ref: The request; an unknown one is ignored.
            outcome: How the run ended.
            duration_ns: The duration of the run.
        """
        tracked = self._requests.get(ref)
        if tracked is not None:
            if tracked.state == State.RUNNING and outcome not in INPUT_OF_UNSTARTED_RUN:
                self._health.record_run_end(now, outcome)
                if outcome is Outcome.OK:
                    request = tracked.request
                    self._estimates.record(now, request.request_class, duration_ns, request.cost_ns)
            tracked.last_outcome = outcome
        self._progress(now, tracked, INPUT_OF_UNSTARTED_RUN.get(outcome, Input.RUN_ENDED))

    def call_requested(self, now: int, ref: int) -> None:
        """Handles a run that asks to call the downstream dependency.

        Args:
            now: The host's clock, in ns.
            ref: The request; an unknown one is ignored.
        """
        self._progress(now, self._requests.get(ref), Input.CALL_REQUESTED)

    def call_ended(self, now: int, ref: int, outcome: Outcome, duration_ns: int) -> None:
        """Handles a call to the downstream dependency that ended.

        Args:
            now: The host's clock, in ns.
            ref: The request; an unknown one is ignored.
            outcome: How the call ended.
            duration_ns: The duration of the call.
        """
        tracked = self._requests.get(ref)
        if tracked is not None and tracked.state == State.IN_CALL:
            tracked.last_outcome = outcome
            self._calls.record_call_end(now, outcome, duration_ns)
        is_answered = outcome is Outcome.OK
        self._progress(now, tracked, Input.CALL_SUCCEEDED if is_answered else Input.CALL_FAILED)

    def caller_gone(self, now: int, ref: int) -> None:
        """Handles a caller that no longer waits for its answer; does not count as progress.

        Args:
            now: The host's clock, in ns.
            ref: The request; an unknown one is ignored.
        """
        self._advance_clock(now)
        tracked = self._requests.get(ref)
        if tracked is not None:
            self._machine.apply(tracked, Input.CALLER_GONE, now)
            self._machine.fill_free_slots(now)

    def drain(self, now: int, noticed: int, stop: int) -> None:
        """Handles a notice that the server has to stop.

        Args:
            now: The host's clock, in ns.
            noticed: The earliest time at which the notice can have come, in ns; the grace period
                starts then.
            stop: When the server stops, in ns.
        """
        self._advance_clock(now)
        self._drain.begin(noticed, stop, self._settings.drain_grace_ns)
        self._feedback.update(now)
        self._machine.fill_free_slots(now)

    def set_service_level(self, now: int, service: ServiceLevel) -> None:
        """Applies a service level from now on.

        Queued requests that the level excludes are rejected at once.

        Args:
            now: The host's clock, in ns.
            service: The level in force, and the one on trial.
        """
        self._advance_clock(now)
        self._service_levels.level = service
        for tracked in list(self._queue.requests.values()):
            self._machine.apply(tracked, Input.LEVEL_CHANGED, now)
        self._feedback.update(now)
        self._machine.fill_free_slots(now)

    def set_call_quota(self, now: int, share: float) -> None:
        """Changes this server's quota of calls; open calls continue, and none is started beyond it.

        Args:
            now: The host's clock, in ns.
            share: The quota as a mean number of open calls, above 0.
        """
        self._advance_clock(now)
        self._calls.set_quota(now, share)
        self._machine.fill_free_slots(now)

    def timer_fired(self, now: int, handle: int, gauges: Gauges) -> None:
        """Runs a timer round.

        Args:
            now: The host's clock, in ns.
            handle: The handle that was passed to `Effects.schedule_timer`.
            gauges: The server's measurements of itself.
        """
        self._advance_clock(now)
        self._effects.schedule_timer(TIMER_INTERVAL_NS, handle)
        for tracked in list(self.live_requests.values()):
            self._machine.apply(tracked, Input.TIMER, now)
        self._idempotency.release_ended(now)
        self._update_concurrency_limit(now, gauges)
        self._shedding.update(now, gauges)
        self._shedding.update_call_pressure(now, bool(self._calls.queue))
        self._calls.update(now)
        self._feedback.update(now)
        rejected_share = self._arrivals.rejected_share(now)
        self._idle_timeout.update(gauges, len(self.live_requests), rejected_share)
        self._machine.fill_free_slots(now)

    # State that the host may read.

    @property
    def pressure(self) -> float:
        """The pressure on the server, 0 to 1 (`load_shedding`)."""
        return self._shedding.pressure

    @property
    def evictions(self) -> int:
        """The number of requests evicted from the queue for a new one."""
        return self._queue.evictions

    @property
    def queue_full_rejections(self) -> int:
        """The number of new requests rejected because the queue was full."""
        return self._queue.queue_full_rejections

    def count_open_calls(self) -> int:
        """Returns the number of open calls, including abandoned ones that still linger."""
        return self._calls.count_open(self._clock.now)

    def count_queued_calls(self) -> int:
        """Returns the number of requests that wait for their call."""
        return len(self._calls.queue)

    def queue_age_share(self, now: int) -> float:
        """Returns the age of the oldest queued request, as a share of its latency objective.

        Args:
            now: The host's clock, in ns.

        Returns:
            The share; 0 for an empty queue.
        """
        oldest = self._queue.oldest()
        if oldest is None:
            return 0.0
        waited_ns = now - self._clock.paused_ns - oldest.waiting_since_ns
        return waited_ns / oldest.request_class.latency_objective_ns

    def read_lag_share(self) -> float:
        """Returns the mean read lag of the last second, as a share of the shortest objective."""
        return self._arrivals.read_lag_share(self._clock.now)

    def sizes(self) -> ControllerSizes:
        """Returns the number of objects held, so that their growth can be monitored."""
        return ControllerSizes(
            len(self._requests),
            len(self.live_requests),
            len(self._idempotency.ended),
            len(self._calls.lingering_until_ns),
        )

    def _advance_clock(self, now: int) -> None:
        elapsed_ns = now - self._clock.now
        self._health.last_progress_at_ns += self._clock.advance(now)
        self._calls.record_elapsed_time(now, elapsed_ns)

    def _progress(self, now: int, tracked: TrackedRequest | None, lifecycle_input: Input) -> None:
        self._advance_clock(now)
        if tracked is not None:
            self._health.last_progress_at_ns = now
            self._machine.apply(tracked, lifecycle_input, now)
            self._machine.fill_free_slots(now)

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
