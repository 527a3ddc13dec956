"""The decisions of one server: what it admits, starts, rejects and calls.

A host makes one `AdmissionController` for each incarnation of a server, calls `start`, and from
then on hands it each thing that happens, in order and with its time: `request_arrived`,
`run_ended`, `call_requested`, `call_ended`, `caller_gone`, `drain`, `timer_fired` and, where they
are on, `set_service_level` and `set_call_quota`. The controller acts at once through
`model.Effects`.

This module only hands events to the rules, and to `state_machine`. Where to look for the rules:

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
    """Decides for one incarnation of a server.

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
        self._idle_time = rules.idle_time
        self._calls = rules.calls
        self._feedback = CallerFeedback(rules)
        self._machine = StateMachine(rules, self._feedback)

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
        self._machine.apply(tracked, Input.ARRIVED, now)
        self._machine.fill_free_slots(now)

    def run_ended(self, now: int, ref: int, outcome: Outcome, duration_ns: int) -> None:
        """A run ended, or was never begun, or the result that a repeat waits for is there.

        Args:
            now: the host's clock in ns.
            ref: the request; an unknown one is passed over.
            outcome: how it ended.
            duration_ns: the time that the run took in ns.
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
        """A run wants to call the downstream dependency.

        Args:
            now: the host's clock in ns.
            ref: the request; an unknown one is passed over.
        """
        self._progress(now, self._requests.get(ref), Input.CALL_REQUESTED)

    def call_ended(self, now: int, ref: int, outcome: Outcome, duration_ns: int) -> None:
        """A call to the downstream dependency ended.

        Args:
            now: the host's clock in ns.
            ref: the request; an unknown one is passed over.
            outcome: how the call ended.
            duration_ns: the time that it took in ns.
        """
        tracked = self._requests.get(ref)
        if tracked is not None and tracked.state == State.IN_CALL:
            tracked.last_outcome = outcome
            self._calls.record_call_end(now, outcome, duration_ns)
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
            self._machine.apply(tracked, Input.CALLER_GONE, now)
            self._machine.fill_free_slots(now)

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
        self._machine.fill_free_slots(now)

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
            self._machine.apply(tracked, Input.LEVEL_CHANGED, now)
        self._feedback.update(now)
        self._machine.fill_free_slots(now)

    def set_call_quota(self, now: int, share: float) -> None:
        """This server's quota of calls changes. Open calls stay; none is added past it.

        Args:
            now: the host's clock in ns.
            share: the quota as a mean number of open calls, above 0.
        """
        self._advance_clock(now)
        self._calls.set_quota(now, share)
        self._machine.fill_free_slots(now)

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
            self._machine.apply(tracked, Input.TIMER, now)
        self._idempotency.release_ended(now)
        self._update_concurrency_limit(now, gauges)
        self._shedding.update(now, gauges)
        self._shedding.update_call_pressure(now, bool(self._calls.queue))
        self._calls.update(now)
        self._feedback.update(now)
        rejected_share = self._arrivals.rejected_share(now)
        self._idle_time.update(gauges, len(self.live_requests), rejected_share)
        self._machine.fill_free_slots(now)

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

    def open_call_count(self) -> int:
        """The number of open calls, with those given up that still linger."""
        return self._calls.open_count(self._clock.now)

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

    # Shared by the events.

    def _advance_clock(self, now: int) -> None:
        elapsed_ns = now - self._clock.now
        self._health.last_progress_at_ns += self._clock.advance(now)
        self._calls.record_elapsed_time(now, elapsed_ns)

    def _progress(self, now: int, tracked: TrackedRequest | None, what: Input) -> None:
        self._advance_clock(now)
        if tracked is not None:
            self._health.last_progress_at_ns = now
            self._machine.apply(tracked, what, now)
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
