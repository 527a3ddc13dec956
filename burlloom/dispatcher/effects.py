"""Turns the decisions of the admission controller into directives for the server's coroutines.

The directives of one event are delivered in the order of the decisions: the event loop delivers
them one by one, and the coroutine that waits for a directive acts on it without waiting for
anything else.
"""

import asyncio
import heapq
import logging
from collections import deque
from collections.abc import Callable

from ..admission.controller import AdmissionController
from ..admission.model import Outcome
from .directives import Directive, DirectiveKind, complete_as_original
from .idempotency_table import IdempotencyTable, KeyRecord
from .request_slot import RequestSlot

log = logging.getLogger(__name__)

NO_TIMER_NS = 1 << 62  # a time that is never reached: no timer is scheduled

# Bound to module names: on Python 3.11 each access through the enum takes about 0.2 us, and there
# are several per request.
RUN = DirectiveKind.RUN
INTERMEDIATE_KINDS = (RUN, DirectiveKind.CALL, DirectiveKind.RECALL_RESULT)

# The outcome that the controller is told for each kind of answer to a repeat.
REPEAT_OUTCOMES = {
    DirectiveKind.COMPLETE_AS_ORIGINAL: Outcome.OK,
    DirectiveKind.FAIL: Outcome.FAILED,
    DirectiveKind.REJECT: Outcome.NO_LONGER_NEEDED,
}


class AdmissionEffects:
    """Implements `admission.model.Effects`: state of open requests, and delivery of directives.

    Attributes:
        controller: The admission controller; set by `Dispatcher`.
        slots: The open requests by their reference.
        refs_by_id: The reference of an open request by its attempt's id.
        callers: By caller name, the caller's index and the number of its open requests.
        unanswered: The number of open requests without an answer.
        idempotency_table: The requests seen before.
        recalls_results: Whether results that are not in memory may be persisted elsewhere.
        timers: A heap of due times and timer handles.
        outbox: Directives that are decided but not delivered, in order.
        answers_to_repeats: Answers to repeats, reported to the controller at delivery.
        is_healthy: The answer to health checks.
        load_report: The load report on answers; empty before the first report.
        trial_load_report: The load report for callers that are served at the level on trial.
        idle_timeout_ns: For how long a connection may idle.
    """

    controller: AdmissionController

    def __init__(
        self,
        clock: Callable[[], int],
        idempotency_table: IdempotencyTable,
        recalls_results: bool,
        idle_timeout_ns: int,
    ) -> None:
        self.clock, self.loop = clock, asyncio.get_running_loop()
        self.slots: dict[int, RequestSlot] = {}
        self.refs_by_id: dict[str, int] = {}
        self.callers: dict[str, list[int]] = {}
        self.unanswered = 0
        self.idempotency_table, self.recalls_results = idempotency_table, recalls_results
        self.timers: list[tuple[int, int]] = []
        self.outbox: deque[tuple[RequestSlot, Directive]] = deque()
        self.answers_to_repeats: deque[tuple[int, Directive]] = deque()
        self.is_delivery_scheduled = False
        self.is_healthy, self.idle_timeout_ns = True, idle_timeout_ns
        self.load_report = self.trial_load_report = ""

    @property
    def next_timer_ns(self) -> int:
        """When the next timer is due, in Unix ns."""
        return self.timers[0][0] if self.timers else NO_TIMER_NS

    def issue(self, ref: int, directive: Directive) -> None:
        """Queues a directive; after a request's first answer all further directives are ignored."""
        slot = self.slots[ref]
        if slot.is_answered:
            return
        if directive.kind not in INTERMEDIATE_KINDS:
            slot.is_answered = True
            self.unanswered -= 1
        elif directive.kind is RUN:
            slot.is_started = True
        self.outbox.append((slot, directive))

    def schedule_delivery(self) -> None:
        """Schedules the delivery of what is queued on the event loop.

        Nothing is delivered at once: the coroutine of a request that was just read does not wait
        yet, and its own directives would overtake it.
        """
        if not self.is_delivery_scheduled and (self.outbox or self.answers_to_repeats):
            self.is_delivery_scheduled = True
            self.loop.call_soon(self.deliver)

    def deliver(self) -> None:
        """Delivers all queued directives, and those that result from the delivery."""
        self.is_delivery_scheduled = False
        while self.outbox or self.answers_to_repeats:
            if self.outbox:
                slot, directive = self.outbox.popleft()
                slot.directives.append(directive)
                if slot.waiter is not None and not slot.waiter.done():
                    slot.waiter.set_result(None)
            else:
                ref, directive = self.answers_to_repeats.popleft()
                if ref in self.slots and not self.slots[ref].is_answered:
                    self.issue(ref, directive)
                    outcome = REPEAT_OUTCOMES[directive.kind]
                    self.controller.run_ended(self.clock(), ref, outcome, 0)

    def answer_repeats(self, record: KeyRecord, answer: Directive) -> None:
        """Answers all repeats that wait for the end of a record's attempt."""
        self.answers_to_repeats.extend((ref, answer) for ref in record.waiting_repeats)
        record.waiting_repeats = []
        self.schedule_delivery()

    # The methods of `Effects`; see there for their documentation.

    def start_run(self, ref: int) -> None:
        """Tells the request's coroutine to run it."""
        self.issue(ref, Directive(RUN, key_digest=self.slots[ref].key_digest))

    def reject(self, ref: int, retry_after_ns: int, is_final: bool) -> None:
        """Answers that the request is rejected."""
        self.issue(
            ref, Directive(DirectiveKind.REJECT, retry_after_ns=retry_after_ns, is_final=is_final)
        )

    def fail(self, ref: int) -> None:
        """Answers with an error."""
        self.issue(ref, Directive(DirectiveKind.FAIL))

    def start_call(self, ref: int, stop_at_ns: int) -> None:
        """Tells the request's coroutine to make the call that its run asked for."""
        slot = self.slots[ref]
        directive = Directive(
            DirectiveKind.CALL,
            give_up_at_ns=stop_at_ns,
            is_repeatable=slot.is_idempotent,
            body=slot.body,
        )
        self.issue(ref, directive)

    def skip_call(self, ref: int) -> None:
        """Is never called: the executor's protocol has no command to skip a call.

        Raises:
            NotImplementedError: Always.
        """
        raise NotImplementedError("the executor protocol has no command to skip a call")

    def keep_key(self, ref: int, lifetime_ns: int) -> None:
        """Claims the request's key; repeats of the attempt that held it before fail."""
        key_digest = self.slots[ref].key_digest
        if key_digest:
            orphaned_refs = self.idempotency_table.claim(
                key_digest, ref, self.clock() + lifetime_ns
            )
            self.fail_repeats(orphaned_refs)

    def forget_key(self, ref: int) -> None:
        """Releases the request's key, if the request still holds it."""
        if self.idempotency_table.find_by_ref(ref) is not None:
            self.fail_repeats(self.idempotency_table.remove(self.slots[ref].key_digest))

    def fail_repeats(self, refs: list[int]) -> None:
        """Queues a failure for each of these repeats."""
        self.answers_to_repeats.extend((ref, Directive(DirectiveKind.FAIL)) for ref in refs)

    def reuse_result(self, ref: int) -> None:
        """Answers a repeat with the original's result: now, at its end, or after a lookup."""
        key_digest = self.slots[ref].key_digest
        record = self.idempotency_table.records.get(key_digest)
        if record is None:
            may_be_persisted = bool(self.idempotency_table.former_window_end_ns(key_digest))
        else:
            may_be_persisted = record.has_succeeded and record.result is None
        if may_be_persisted and self.recalls_results:
            self.issue(ref, Directive(DirectiveKind.RECALL_RESULT, key_digest=key_digest))
        elif record is None or record.has_ended:
            result = record.result if record is not None else None
            self.answers_to_repeats.append((ref, complete_as_original(result, key_digest)))
        else:
            record.waiting_repeats.append(ref)

    def set_health(self, is_healthy: bool) -> None:
        """Sets the answer to health checks."""
        self.is_healthy = is_healthy

    def report_load(self, value: float) -> None:
        """Sets the load report on answers."""
        self.load_report = f"{value:.4f}"

    def report_trial_load(self, value: float) -> None:
        """Sets the load report for callers that are served at the level on trial."""
        self.trial_load_report = f"{value:.4f}"

    def set_idle_timeout(self, idle_timeout_ns: int) -> None:
        """Sets for how long a connection may idle."""
        self.idle_timeout_ns = idle_timeout_ns

    def schedule_timer(self, delay_ns: int, handle: int) -> None:
        """Schedules a timer that `Dispatcher.fire_due_timers` fires with this handle."""
        heapq.heappush(self.timers, (self.clock() + delay_ns, handle))

    def log(self, text: str) -> None:
        """Writes a line of the controller to the log."""
        log.info("event=controller_note text=%r", text)

    def release(self, ref: int) -> None:
        """Forgets a request; with a caller's last open request also the caller.

        Caller names are not kept any longer, since their number is unbounded.
        """
        slot = self.slots[ref]
        if not slot.is_answered:
            log.error("event=released_unanswered id=%s", slot.id)
            self.issue(ref, Directive(DirectiveKind.FAIL))
        del self.slots[ref], self.refs_by_id[slot.id]
        caller = self.callers[slot.caller]
        caller[1] -= 1
        if not caller[1]:
            del self.callers[slot.caller]
