"""What the admission controller decides, as directives for the server's coroutines.

The directives of one event leave in the order in which they were decided: the event loop delivers
them one by one, and the coroutine that waits for each acts without waiting for anything else.
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

NO_TIMER_NS = 1 << 62

# Bound once: on Python 3.11 each access through the enum takes some 0.2 us, and these are several a
# request.
RUN = DirectiveKind.RUN
NOT_ANSWERS = (RUN, DirectiveKind.CALL, DirectiveKind.RECALL_RESULT)

DUPLICATE_OUTCOMES = {
    DirectiveKind.COMPLETE_AS_ORIGINAL: Outcome.OK,
    DirectiveKind.FAIL: Outcome.FAILED,
    DirectiveKind.REJECT: Outcome.NO_LONGER_NEEDED,
}


class AdmissionEffects:
    """Implements `admission.model.Effects`: state of open requests, and delivery of directives.

    Attributes:
        controller: The admission controller; set by `Dispatcher`.
        slots: Open requests by their number.
        refs_by_id: The number of an open request by its attempt's id.
        callers: By name, a caller's index and how many of its requests are open.
        unanswered: How many open requests have no answer yet.
        idempotency_table: The requests seen before.
        recalls_results: Whether results that are not in our memory may be persisted elsewhere.
        timers: Heap of due time and handle.
        outbox: Directives that are decided and not delivered, in order.
        duplicate_answers: Answers to duplicates, which the controller is told of at delivery.
        is_healthy: The answer to health checks.
        load_report: The load report on answers; empty before the first.
        trial_load_report: The one for callers served at the level on trial.
        idle_timeout_ns: How long a connection may idle.
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
        self.duplicate_answers: deque[tuple[int, Directive]] = deque()
        self.is_delivery_scheduled = False
        self.is_healthy, self.idle_timeout_ns = True, idle_timeout_ns
        self.load_report = self.trial_load_report = ""

    @property
    def next_timer_ns(self) -> int:
        """When the next timer is due."""
        return self.timers[0][0] if self.timers else NO_TIMER_NS

    def issue(self, ref: int, directive: Directive) -> None:
        """Queues a directive; of a request's answers only the first counts."""
        slot = self.slots[ref]
        if slot.is_answered:
            return
        if directive.kind not in NOT_ANSWERS:
            slot.is_answered = True
            self.unanswered -= 1
        elif directive.kind is RUN:
            slot.is_started = True
        self.outbox.append((slot, directive))

    def schedule_delivery(self) -> None:
        """Has the event loop deliver what is queued.

        Not at once: the coroutine of a request that was just read does not wait yet, and its own
        directives would overtake it.
        """
        if not self.is_delivery_scheduled and (self.outbox or self.duplicate_answers):
            self.is_delivery_scheduled = True
            self.loop.call_soon(self.deliver)

    def deliver(self) -> None:
        """Delivers all that is queued, and what it leads to."""
        self.is_delivery_scheduled = False
        while self.outbox or self.duplicate_answers:
            if self.outbox:
                slot, directive = self.outbox.popleft()
                slot.directives.append(directive)
                if slot.waiter is not None and not slot.waiter.done():
                    slot.waiter.set_result(None)
            else:
                ref, directive = self.duplicate_answers.popleft()
                if ref in self.slots and not self.slots[ref].is_answered:
                    self.issue(ref, directive)
                    outcome = DUPLICATE_OUTCOMES[directive.kind]
                    self.controller.run_ended(self.clock(), ref, outcome, 0)

    def answer_duplicates(self, record: KeyRecord, answer: Directive) -> None:
        """Answers all duplicates that wait for the end of a record's attempt."""
        self.duplicate_answers.extend((ref, answer) for ref in record.waiting_duplicates)
        record.waiting_duplicates = []
        self.schedule_delivery()

    # The methods of `Effects`, which documents them.

    def start_run(self, ref: int) -> None:
        """Tells the request's coroutine to run it."""
        self.issue(ref, Directive(RUN, key_digest=self.slots[ref].key_digest))

    def reject(self, ref: int, retry_after_ns: int, is_final: bool) -> None:
        """Answers that the request is not served."""
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
        """Is never decided: the executor's protocol has no command for it.

        Raises:
            NotImplementedError: Always.
        """
        raise NotImplementedError("this protocol has no command to leave a call out")

    def remember(self, ref: int, lifetime_ns: int) -> None:
        """Claims the request's key; duplicates of the attempt that had it fail."""
        key_digest = self.slots[ref].key_digest
        if key_digest:
            stranded = self.idempotency_table.claim(key_digest, ref, self.clock() + lifetime_ns)
            self.fail_duplicates(stranded)

    def forget(self, ref: int) -> None:
        """Gives the request's key up, if it still has it."""
        if self.idempotency_table.find_by_ref(ref) is not None:
            self.fail_duplicates(self.idempotency_table.remove(self.slots[ref].key_digest))

    def fail_duplicates(self, refs: list[int]) -> None:
        """Queues a failure for each of these duplicates."""
        self.duplicate_answers.extend((ref, Directive(DirectiveKind.FAIL)) for ref in refs)

    def reuse_result(self, ref: int) -> None:
        """Answers a duplicate with the original's result: now, once it is there, or looked up."""
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
            self.duplicate_answers.append((ref, complete_as_original(result, key_digest)))
        else:
            record.waiting_duplicates.append(ref)

    def set_health(self, is_healthy: bool) -> None:
        """Sets the answer to health checks."""
        self.is_healthy = is_healthy

    def report_load(self, value: float) -> None:
        """Sets the load report on answers."""
        self.load_report = f"{value:.4f}"

    def report_trial_load(self, value: float) -> None:
        """Sets the load report for callers served at the level on trial."""
        self.trial_load_report = f"{value:.4f}"

    def set_idle_timeout(self, idle_timeout_ns: int) -> None:
        """Sets how long a connection may idle."""
        self.idle_timeout_ns = idle_timeout_ns

    def schedule_timer(self, delay_ns: int, handle: int) -> None:
        """Has `Dispatcher.fire_due_timers` call the controller with this handle."""
        heapq.heappush(self.timers, (self.clock() + delay_ns, handle))

    def log(self, text: str) -> None:
        """Writes a line of the controller's to the log."""
        log.info("event=controller_note text=%r", text)

    def release(self, ref: int) -> None:
        """Forgets a request, and its caller with the last one of it.

        Names of callers are not kept beyond that: there may be any number of them.
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
