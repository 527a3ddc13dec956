"""The dispatcher: the only part of the server that talks to the admission controller.

`Dispatcher.submit` takes an attempt. If the answer is not known at once, the attempt's coroutine
calls `next_directive` until it is. `handle_event` takes events of the executor, of calls and of the
server, and `fire_due_timers` fires the controller's timers.
"""

import heapq
import logging
from collections.abc import Callable
from dataclasses import replace
from typing import NamedTuple

from ..admission.controller import AdmissionController
from ..admission.model import (
    Degradation,
    Gauges,
    Idempotency,
    Outcome,
    Request,
    RequestClass,
    ServerSettings,
    ServiceLevel,
)
from .directives import Directive, DirectiveKind, complete_as_original
from .effects import AdmissionEffects
from .events import CallEnded, CallRequested, DrainStarted, Event, RequestAttempt, RunEnded
from .idempotency_table import NO_ORIGINAL, IdempotencyTable
from .key_digests import digest_key
from .request_slot import RequestSlot

log = logging.getLogger(__name__)

# The number of idempotency keys held in memory. Beyond it new keyed requests are rejected.
MAX_KEY_DIGESTS = 40_000
KEY_BYTES = 2 << 10  # memory of a key and of all that is held as long; a result counts apart
# Tolerance added to the window of each key, since requests arrive over sockets.
DEADLINE_SLACK_NS = 50_000_000
# The name of the restrictions during recovery if the service level in force has none.
RECOVERY_DEGRADATION = "coming-back"


class CallDemand(NamedTuple):
    """The demand for downstream calls.

    Attributes:
        in_progress: The number of open calls, including those whose request was answered meanwhile.
        queued: The number of requests that wait for their call.
    """

    in_progress: int
    queued: int


class LoadSignals(NamedTuple):
    """The load of this server.

    Attributes:
        queue_age: The age of the oldest queued request, as a share of its latency objective.
        read_lag: For how long requests lie unread, as a share of the shortest latency objective.
        pressure: The controller's pressure, 0 to 1.
    """

    queue_age: float
    read_lag: float
    pressure: float


def adapt_settings(settings: ServerSettings, max_key_bytes: int) -> ServerSettings:
    """Returns the settings adjusted to this executor and to keys in the server's own memory.

    The executor's protocol has no command to skip a call, so the controller is told that no answer
    without its call has any value. The controller counts the memory of keys as the executor's, but
    they are held by this process; the adjusted size of a key only limits the number of keys.

    Args:
        settings: The server's settings.
        max_key_bytes: Memory of this process for keys.
    """
    max_keys = max(1, min(MAX_KEY_DIGESTS, max_key_bytes // KEY_BYTES))
    request_classes = tuple(
        replace(request_class, value_share_without_call=0.0)
        for request_class in settings.request_classes
    )
    return replace(
        settings,
        request_classes=request_classes,
        idempotency_key_kb=settings.memory_kb / max_keys,
    )


class Dispatcher(AdmissionEffects):
    """Takes attempts and events from the server, and returns directives.

    Attributes:
        settings: The controller's settings.
        class_names: The names of the request classes, in the order of the settings.
        service_level: The service level in force.
    """

    def __init__(
        self,
        settings: ServerSettings,
        class_names: tuple[str, ...],
        seed: int,
        clock: Callable[[], int],
        executor_age_ns: int,
        max_result_bytes: int,
        recalls_results: bool = False,
        max_key_bytes: int = MAX_KEY_DIGESTS * KEY_BYTES,
    ) -> None:
        """Starts the admission controller.

        Args:
            settings: The server's settings.
            class_names: The names of the request classes, in the order of the settings.
            seed: Seeds the controller's random draws.
            clock: Returns Unix ns, and never steps back.
            executor_age_ns: For how long the executor has been running; it may be warm long before
                this process starts.
            max_result_bytes: The maximum total size of results in memory.
            recalls_results: Whether results that are not in memory may be persisted elsewhere.
            max_key_bytes: The maximum total size of idempotency keys in memory.
        """
        max_deadline_ns = max(
            request_class.deadline_ns for request_class in settings.request_classes
        )
        super().__init__(
            clock,
            IdempotencyTable(max_deadline_ns, DEADLINE_SLACK_NS, max_result_bytes),
            recalls_results,
            settings.idle_timeout_ns,
        )
        self.settings = adapt_settings(settings, max_key_bytes)
        self.class_names = class_names
        self.next_ref = self.next_caller_index = 0
        self.service_level = self.configured_service_level = ServiceLevel()
        self.rejects_over_share = self.is_recovering = False
        now = clock()
        self.controller = AdmissionController(self.settings, seed, self, now - executor_age_ns)
        self.controller.start(now)

    def has_request(self, request_id: str) -> bool:
        """Returns whether an attempt with this id is open."""
        return request_id in self.refs_by_id

    def submit(self, attempt: RequestAttempt) -> Directive | RequestSlot:
        """Takes an attempt.

        Returns:
            The answer if it is decided at once, as for most attempts that are neither queued nor
            run; such attempts need no coroutine. Otherwise the attempt's slot, for
            `next_directive`.
        """
        slot = self.accept_request(attempt)
        if (
            not self.is_delivery_scheduled
            and len(self.outbox) == 1
            and self.outbox[0][0] is slot
            and slot.is_answered
        ):
            return self.outbox.popleft()[1]
        self.schedule_delivery()
        return slot

    async def next_directive(self, slot: RequestSlot) -> Directive:
        """Waits for the request's next directive.

        The request may already be released: when hundreds of requests are read in one turn of the
        event loop, timers fire between an attempt's arrival and its first call of this method.
        """
        while not slot.directives:
            slot.waiter = self.loop.create_future()
            await slot.waiter
        return slot.take_directive()

    def cancel_request(self, request_id: str) -> None:
        """Drops an attempt whose caller no longer waits; a started run continues."""
        ref = self.refs_by_id.get(request_id, -1)
        if ref >= 0 and not self.slots[ref].is_started:
            self.abandon(ref)

    def fail_request(self, request_id: str) -> None:
        """Answers an attempt with an error; a started run continues until its end is reported."""
        ref = self.refs_by_id.get(request_id, -1)
        if ref >= 0:
            self.abandon(ref)

    def abandon(self, ref: int) -> None:
        """Answers a request with an error if it has no answer yet."""
        if not self.slots[ref].is_answered:
            self.issue(ref, Directive(DirectiveKind.FAIL))
            self.controller.caller_gone(self.clock(), ref)
            self.schedule_delivery()

    def handle_event(self, event: Event) -> None:
        """Handles an event from outside; an event of a request that is not open is only logged."""
        now = self.clock()
        if isinstance(event, DrainStarted):
            self.controller.drain(now, event.noticed_at_ns, event.stop_at_ns)
        elif (ref := self.refs_by_id.get(event.id, -1)) < 0:
            log.info("event=late_event kind=%s id=%s", type(event).__name__, event.id)
        elif isinstance(event, CallRequested):
            if not self.slots[ref].is_answered:
                self.slots[ref].body = event.body
            self.controller.call_requested(now, ref)
        elif isinstance(event, CallEnded):
            self.controller.call_ended(now, ref, event.outcome, event.duration_ns)
        elif isinstance(event, RunEnded):
            self.handle_run_ended(now, ref, event)
        else:
            answer = complete_as_original(event.result, self.slots[ref].key_digest)
            self.answers_to_repeats.append((ref, answer))
        self.schedule_delivery()

    def fire_due_timers(self, gauges: Gauges) -> int:
        """Fires the due timers with these gauges.

        Returns:
            When the next timer is due, in Unix ns.
        """
        now = self.clock()
        while self.timers and self.timers[0][0] <= now:
            _, handle = heapq.heappop(self.timers)
            self.controller.timer_fired(now, handle, gauges)
        self.idempotency_table.forget_expired(now)
        self.schedule_delivery()
        return self.next_timer_ns

    def set_service_level(self, service_level: ServiceLevel) -> None:
        """Applies a service level from now on."""
        self.rejects_over_share = (
            service_level.degradation.rejects_over_share
            or service_level.trial_degradation.rejects_over_share
        )
        self.configured_service_level = service_level
        self.apply_service_level()

    def set_recovering(self, is_recovering: bool) -> None:
        """Sets whether service is recovering; held-back retries are then rejected at any level."""
        self.is_recovering = is_recovering
        self.apply_service_level()

    def apply_service_level(self) -> None:
        """Passes the service level in force to the controller."""
        service_level = self.configured_service_level
        if self.is_recovering:
            service_level = replace(
                service_level,
                degradation=self.reject_over_share(service_level.degradation),
                trial_degradation=self.reject_over_share(service_level.trial_degradation),
            )
        self.service_level = service_level
        self.controller.set_service_level(self.clock(), service_level)
        self.schedule_delivery()

    def reject_over_share(self, degradation: Degradation) -> Degradation:
        """Returns the restrictions, extended by rejecting requests beyond their tenant's share."""
        if degradation.rejects_over_share:
            return degradation
        no_class = (False,) * len(self.class_names)
        return replace(
            degradation,
            name=degradation.name or RECOVERY_DEGRADATION,
            rejected_classes=degradation.rejected_classes or no_class,
            cached_only_classes=degradation.cached_only_classes or no_class,
            retry_rejecting_classes=degradation.retry_rejecting_classes or no_class,
            call_skipping_classes=degradation.call_skipping_classes or no_class,
            rejects_over_share=True,
        )

    def set_call_quota(self, calls: float) -> None:
        """Sets this server's quota of downstream calls, as a mean number of open calls."""
        self.controller.set_call_quota(self.clock(), calls)
        self.schedule_delivery()

    def call_demand(self) -> CallDemand:
        """Returns the demand for downstream calls."""
        return CallDemand(self.controller.count_open_calls(), self.controller.count_queued_calls())

    def load_signals(self) -> LoadSignals:
        """Returns the load of this server."""
        controller = self.controller
        return LoadSignals(
            controller.queue_age_share(self.clock()),
            controller.read_lag_share(),
            controller.pressure,
        )

    def complete_key(self, key_digest: bytes, result: bytes | None) -> None:
        """Records the result of a request that ran elsewhere or before this process started.

        Args:
            key_digest: The key digest of the request.
            result: The result; None if there is none to return.
        """
        record = self.idempotency_table.records.get(key_digest)
        if record is not None and not record.has_succeeded:
            self.idempotency_table.complete(record, result)
            self.answer_repeats(record, complete_as_original(result, key_digest))

    def release_key(self, key_digest: bytes) -> None:
        """Forgets a key whose request never ran elsewhere: it may run here."""
        self.remove_key(key_digest, Directive(DirectiveKind.REJECT))

    def abandon_key(self, key_digest: bytes) -> None:
        """Forgets a key whose request is no longer followed: its next attempt is looked up."""
        self.remove_key(key_digest, Directive(DirectiveKind.FAIL))

    def remove_key(self, key_digest: bytes, answer: Directive) -> None:
        """Forgets a key, and answers the repeats that wait for it."""
        refs = self.idempotency_table.remove(key_digest)
        self.answers_to_repeats.extend((ref, answer) for ref in refs)
        self.schedule_delivery()

    def unknown_key_digest(self, attempt: RequestAttempt) -> bytes:
        """Returns the key digest of a keyed attempt that is not known here; otherwise empty."""
        request_class = self.settings.request_classes[attempt.request_class]
        if request_class.idempotency is not Idempotency.KEYED:
            return b""
        name = self.class_names[attempt.request_class]
        key_digest = digest_key(name, attempt.idempotency_key, attempt.body)
        original = self.idempotency_table.find_original(key_digest, attempt.sent_at_ns)
        return key_digest if original == NO_ORIGINAL else b""

    def accept_request(self, attempt: RequestAttempt) -> RequestSlot:
        """Assigns a slot to an attempt and reports its arrival to the controller."""
        now = self.clock()
        request_class = self.settings.request_classes[attempt.request_class]
        key_digest = self.attempt_key_digest(request_class, attempt)
        caller = self.callers.get(attempt.caller)
        if caller is None:
            caller = self.callers[attempt.caller] = [self.next_caller_index, 0]
            self.next_caller_index += 1
        caller[1] += 1
        ref = self.next_ref
        self.next_ref += 1
        is_idempotent = request_class.idempotency is Idempotency.IDEMPOTENT
        slot = RequestSlot(attempt.id, attempt.caller, key_digest, is_idempotent)
        self.slots[ref] = slot
        self.refs_by_id[attempt.id] = ref
        self.unanswered += 1
        original_ref = NO_ORIGINAL
        if key_digest and self.may_reuse_result(key_digest, attempt, now):
            original_ref = self.idempotency_table.find_original(
                key_digest, attempt.sent_at_ns, is_idempotent
            )
        request = Request(
            ref=ref,
            caller=caller[0],
            request_class=attempt.request_class,
            cost_ns=attempt.cost_ns,
            unread_ns=max(0, now - attempt.sent_at_ns),
            deadline_at_ns=0,
            memory_kb=attempt.memory_kb,
            priority=attempt.priority,
            original_ref=original_ref,
            is_recordable=attempt.is_recordable,
            is_retry=attempt.is_retry,
            is_over_share=attempt.is_over_share and self.rejects_over_share or attempt.is_held_back,
            sampling_draw=attempt.sampling_draw,
        )
        self.controller.request_arrived(now, request)
        return slot

    def attempt_key_digest(self, request_class: RequestClass, attempt: RequestAttempt) -> bytes:
        """Returns the digest that the request's attempts share; empty if they share none."""
        if request_class.idempotency is Idempotency.KEYED:
            name = self.class_names[attempt.request_class]
            return digest_key(name, attempt.idempotency_key, attempt.body)
        if (
            (self.settings.result_cache_ttl_ns or request_class.max_staleness_ns)
            and request_class.idempotency is Idempotency.IDEMPOTENT
            and attempt.cache_key
        ):
            return digest_key(self.class_names[attempt.request_class], attempt.cache_key, b"")
        return b""

    def may_reuse_result(self, key_digest: bytes, attempt: RequestAttempt, now: int) -> bool:
        """Returns whether a known result for this key may answer the attempt.

        A result that is kept only for a degraded service level may be used only at such a level.
        """
        request_class = self.settings.request_classes[attempt.request_class]
        record = self.idempotency_table.records.get(key_digest)
        if not request_class.max_staleness_ns or record is None or record.waiting_repeats:
            return True
        level = self.service_level
        is_on_trial = attempt.sampling_draw < level.trial_share
        degradation = level.trial_degradation if is_on_trial else level.degradation
        if degradation.name and degradation.cached_only_classes[attempt.request_class]:
            return True
        cache_ttl_ns = self.settings.result_cache_ttl_ns
        extra_staleness_ns = max(0, request_class.max_staleness_ns - cache_ttl_ns)
        return cache_ttl_ns > 0 and (
            not record.has_ended or now <= record.window_end_ns - extra_staleness_ns
        )

    def handle_run_ended(self, now: int, ref: int, event: RunEnded) -> None:
        """Answers the request and its repeats, and reports the run's end to the controller."""
        outcome, is_ok = event.outcome, event.outcome is Outcome.OK
        key_digest = self.slots[ref].key_digest
        if outcome not in (Outcome.NOT_RECORDED, Outcome.CLAIMED_ELSEWHERE):
            # After NO_LONGER_NEEDED the run was never begun; a caller that waits after all gets an
            # error.
            answer = (
                Directive(DirectiveKind.COMPLETE, body=event.result, key_digest=key_digest)
                if is_ok
                else Directive(DirectiveKind.FAIL)
            )
            self.issue(ref, answer)
        record = self.idempotency_table.find_by_ref(ref)
        if record is not None and not record.has_ended and outcome is not Outcome.CLAIMED_ELSEWHERE:
            self.idempotency_table.complete(record, event.result if is_ok else None)
            # If nothing ran, or the executor did not know the request, its repeats have not run
            # either and are rejected.
            if outcome in (Outcome.NO_LONGER_NEEDED, Outcome.NOT_RECORDED):
                answer = Directive(DirectiveKind.REJECT)
            else:
                answer = complete_as_original(record.result, key_digest)
            self.answer_repeats(record, answer)
        self.controller.run_ended(now, ref, outcome, event.duration_ns)
