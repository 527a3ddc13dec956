"""The one place in the server that speaks to the decisions.

`take` reads a txn; where its final answer is not known at once, its coroutine calls `pick` until it
is. What happens outside is told by `report`, time by `tick`.

The steps of one event leave in the order in which they were decided: they are handed out from
the loop, one by one, and the coroutine that waits for each acts without waiting for anything else.
"""

import asyncio
import heapq
import logging
from collections import deque
from collections.abc import Callable
from dataclasses import replace

from ..admission.controller import AdmissionController
from ..admission.model import (
    Degradation,
    Gauges,
    Idempotency,
    Outcome,
    Request,
    ServerSettings,
    ServiceLevel,
)
from .directives import (
    CallEnded,
    CallRequested,
    Directive,
    DirectiveKind,
    DrainStarted,
    RequestAttempt,
    ResultRecalled,
    RunEnded,
)
from .idempotency import IdempotencyTable, KeyRecord, digest_key

log = logging.getLogger(__name__)

MAX_KEY_DIGESTS = 40_000  # at some 500 bytes each
DUPLICATE_OUTCOME = {
    DirectiveKind.COMPLETE_AS_ORIGINAL: Outcome.OK,
    DirectiveKind.FAIL: Outcome.FAILED,
    DirectiveKind.REJECT: Outcome.NO_LONGER_NEEDED,
}
DEADLINE_SLACK_NS = 50_000_000  # by which the time limits are longer on sockets


class RequestSlot:
    """A txn between its reading and its release."""

    __slots__ = (
        "id",
        "caller",
        "key_digest",
        "body",
        "is_idempotent",
        "is_started",
        "is_answered",
        "directives",
        "waiter",
    )

    def __init__(self, id: str, caller: str, mark: bytes, inquiry: bool) -> None:
        self.id, self.caller, self.key_digest, self.is_idempotent = id, caller, mark, inquiry
        self.body = b""
        self.is_started = self.is_answered = False
        self.directives: deque[Directive] = deque()
        self.waiter: asyncio.Future[None] | None = None


def complete_as_original(result: bytes | None, mark: bytes) -> Directive:
    return (
        Directive(DirectiveKind.FAIL)
        if result is None
        else Directive(DirectiveKind.COMPLETE_AS_ORIGINAL, body=result, key_digest=mark)
    )


class Dispatcher:
    """Implements `admission.model.Effects`; only the decisions call those methods."""

    def __init__(
        self,
        facts: ServerSettings,
        names: tuple[str, ...],
        seed: int,
        clock: Callable[[], int],
        age: int,
        results: int,
        recalls: bool = False,
    ) -> None:
        """`names` are the products'. `recalls`: results that are not in our memory may be kept
        elsewhere.
        """
        # This protocol has no command to leave a call out, so the decisions never hear that one may
        # be. Marks are kept in our own memory, not the executor's that the decisions count: a bound
        # on them is left.
        products = tuple(
            replace(product, value_share_without_call=0.0) for product in facts.request_classes
        )
        self.settings = replace(
            facts, request_classes=products, idempotency_key_kb=facts.memory_kb / MAX_KEY_DIGESTS
        )
        self.class_names, self.recalls_results, self.clock = names, recalls, clock
        self.loop = asyncio.get_running_loop()
        self.slots: dict[int, RequestSlot] = {}
        self.refs_by_id: dict[str, int] = {}
        self.callers: dict[
            str, list[int]
        ] = {}  # each with its index and how many of its txns have a seat
        self.next_ref = self.next_caller_index = self.unanswered = 0
        self.idempotency_table = IdempotencyTable(
            max(product.deadline_ns for product in facts.request_classes),
            DEADLINE_SLACK_NS,
            results,
        )
        self.timers: list[tuple[int, int]] = []
        self.outbox: deque[tuple[RequestSlot, Directive]] = deque()
        self.duplicate_answers: deque[tuple[int, Directive]] = deque()
        self.is_delivery_scheduled = False
        self.service_level = self.configured_service_level = ServiceLevel()
        self.rejects_over_share = self.is_recovering = False
        self.trial_load_report = ""
        self.is_healthy, self.load_report, self.idle_timeout_ns = True, "", facts.idle_timeout_ns
        now = clock()
        # Its age is the executor's, which may be warm long before this process came.
        self.controller = AdmissionController(self.settings, seed, self, now - age)
        self.controller.start(now)

    # What the server calls.

    def has_request(self, id: str) -> bool:
        return id in self.refs_by_id

    def submit(self, txn: RequestAttempt) -> Directive | RequestSlot:
        """Reads a txn. Most that are not held or run are over at once: those cost no coroutine.
        Else its seat, for `pick`.
        """
        seat = self.accept_request(txn)
        if (
            not self.is_delivery_scheduled
            and len(self.outbox) == 1
            and self.outbox[0][0] is seat
            and seat.is_answered
        ):
            return self.outbox.popleft()[1]
        self.schedule_delivery()
        return seat

    async def next_directive(self, seat: RequestSlot) -> Directive:
        """The next step of this txn. Its index may be released by then: where hundreds are read in
        one turn of the loop, a timer round comes between a txn's reading and its first `pick`.
        """
        while not seat.directives:
            seat.waiter = self.loop.create_future()
            await seat.waiter
        return seat.directives.popleft()

    def cancel_request(self, id: str) -> None:
        """Nobody waits for its answer any more: what was not begun leaves, a run goes on."""
        ref = self.refs_by_id.get(id, -1)
        if ref >= 0 and not self.slots[ref].is_started and not self.slots[ref].is_answered:
            self.issue(ref, Directive(DirectiveKind.FAIL))
            self.controller.caller_gone(self.clock(), ref)
            self.schedule_delivery()

    def handle_event(
        self, news: CallRequested | RunEnded | CallEnded | ResultRecalled | DrainStarted
    ) -> None:
        now = self.clock()
        if isinstance(news, DrainStarted):
            self.controller.drain(now, news.noticed_at_ns, news.stop_at_ns)
        elif (ref := self.refs_by_id.get(news.id, -1)) < 0:
            log.info("event=late_event kind=%s id=%s", type(news).__name__, news.id)
        elif isinstance(news, CallRequested):
            self.slots[ref].body = news.body
            self.controller.call_requested(now, ref)
        elif isinstance(news, CallEnded):
            self.controller.call_ended(now, ref, news.outcome, news.duration_ns)
        elif isinstance(news, ResultRecalled):
            self.duplicate_answers.append(
                (ref, complete_as_original(news.result, self.slots[ref].key_digest))
            )
        else:
            self.handle_run_ended(now, ref, news)
        self.schedule_delivery()

    def set_service_level(self, service: ServiceLevel) -> None:
        """The level of service that holds from now on."""
        self.rejects_over_share = (
            service.degradation.rejects_over_share or service.trial_degradation.rejects_over_share
        )
        self.configured_service_level = service
        self.apply_service_level()

    def set_recovering(self, on: bool) -> None:
        """While service comes back, tries that are held back are given up at any level."""
        self.is_recovering = on
        self.apply_service_level()

    def apply_service_level(self) -> None:
        service = self.configured_service_level
        if self.is_recovering:
            service = replace(
                service,
                degradation=self.reject_over_share(service.degradation),
                trial_degradation=self.reject_over_share(service.trial_degradation),
            )
        self.service_level = service
        self.controller.set_service_level(self.clock(), service)
        self.schedule_delivery()

    def reject_over_share(self, relief: Degradation) -> Degradation:
        none = (False,) * len(self.class_names)
        return (
            relief
            if relief.rejects_over_share
            else replace(
                relief,
                name=relief.name or "coming-back",
                rejected_classes=relief.rejected_classes or none,
                cached_only_classes=relief.cached_only_classes or none,
                retry_rejecting_classes=relief.retry_rejecting_classes or none,
                call_skipping_classes=relief.call_skipping_classes or none,
                rejects_over_share=True,
            )
        )

    def set_call_quota(self, share: float) -> None:
        """Our share of the calls below from now on, as the fleet deals it."""
        self.controller.set_call_quota(self.clock(), share)
        self.schedule_delivery()

    def call_demand(self) -> tuple[int, int]:
        """Calls in hand, with those left behind below; and how many txns wait for one."""
        return self.controller.open_call_count(), self.controller.queued_call_count()

    def load_signals(self) -> tuple[float, float, float]:
        """The age of the oldest held txn, of its SLA time; the lag of reading, of the shortest one;
        the pressure.
        """
        choice = self.controller
        return choice.queue_age_share(self.clock()), choice.read_lag_share(), choice.pressure

    def complete_key(self, mark: bytes, result: bytes | None) -> None:
        """What became of a txn that ran elsewhere or in a former life; None: there is nothing to
        give.
        """
        record = self.idempotency_table.records.get(mark)
        if record is not None and not record.has_succeeded:
            self.idempotency_table.complete(record, result)
            self.answer_duplicates(record, complete_as_original(result, mark))

    def release_key(self, mark: bytes) -> None:
        """It never ran there after all: it may run here."""
        self.duplicate_answers.extend(
            (copy, Directive(DirectiveKind.REJECT)) for copy in self.idempotency_table.remove(mark)
        )
        self.schedule_delivery()

    def abandon_key(self, mark: bytes) -> None:
        """Nobody follows it any more: its next try is looked up anew."""
        self.duplicate_answers.extend(
            (copy, Directive(DirectiveKind.FAIL)) for copy in self.idempotency_table.remove(mark)
        )
        self.schedule_delivery()

    def unknown_key(self, txn: RequestAttempt) -> bytes:
        """The mark of a referenced txn that nothing is known of here; else empty."""
        if self.settings.request_classes[txn.request_class].idempotency is not Idempotency.KEYED:
            return b""
        mark = digest_key(self.class_names[txn.request_class], txn.idempotency_key, txn.body)
        return mark if self.idempotency_table.find_original(mark, txn.sent_at_ns) == -1 else b""

    def fire_due_timers(self, gauges: Gauges) -> int:
        """Fires what is due; returns when the next is."""
        now = self.clock()
        while self.timers and self.timers[0][0] <= now:
            _, handle = heapq.heappop(self.timers)
            self.controller.timer_fired(now, handle, gauges)
        self.idempotency_table.forget_expired(now)
        self.schedule_delivery()
        return self.next_timer_ns

    @property
    def next_timer_ns(self) -> int:
        return self.timers[0][0] if self.timers else 1 << 62

    # Within.

    def accept_request(self, txn: RequestAttempt) -> RequestSlot:
        now = self.clock()
        product = self.settings.request_classes[txn.request_class]
        mark = b""
        if product.idempotency is Idempotency.KEYED:
            mark = digest_key(self.class_names[txn.request_class], txn.idempotency_key, txn.body)
        elif (
            (self.settings.result_cache_ttl_ns or product.max_staleness_ns)
            and product.idempotency is Idempotency.IDEMPOTENT
            and txn.cache_key
        ):
            mark = digest_key(self.class_names[txn.request_class], txn.cache_key, b"")
        caller = self.callers.get(txn.caller)
        if caller is None:
            caller = self.callers[txn.caller] = [self.next_caller_index, 0]
            self.next_caller_index += 1
        caller[1] += 1
        ref = self.next_ref
        self.next_ref += 1
        seat = self.slots[ref] = RequestSlot(
            txn.id, txn.caller, mark, product.idempotency is Idempotency.IDEMPOTENT
        )
        self.refs_by_id[txn.id] = ref
        self.unanswered += 1
        self.controller.request_arrived(
            now,
            Request(
                ref=ref,
                caller=caller[0],
                request_class=txn.request_class,
                cost_ns=txn.cost_ns,
                unread_ns=max(0, now - txn.sent_at_ns),
                deadline_at_ns=0,
                memory_kb=txn.memory_kb,
                priority=txn.priority,
                original_ref=self.idempotency_table.find_original(
                    mark, txn.sent_at_ns, seat.is_idempotent
                )
                if mark and self.may_answer_duplicate(mark, txn, now)
                else -1,
                is_recordable=txn.is_recordable,
                is_retry=txn.is_retry,
                is_over_share=txn.is_over_share and self.rejects_over_share or txn.is_held_back,
                sampling_draw=txn.sampling_draw,
            ),
        )
        return seat

    def may_answer_duplicate(self, mark: bytes, txn: RequestAttempt, now: int) -> bool:
        """Whether what is known of this mark is to answer: what is only kept for a level does so
        only there.
        """
        product, record = (
            self.settings.request_classes[txn.request_class],
            self.idempotency_table.records.get(mark),
        )
        if not product.max_staleness_ns or record is None or record.waiting_duplicates:
            return True
        service = self.service_level
        relief = (
            service.trial_degradation
            if txn.sampling_draw < service.trial_share
            else service.degradation
        )
        if relief.name and relief.cached_only_classes[txn.request_class]:
            return True
        fresh = self.settings.result_cache_ttl_ns
        return fresh > 0 and (
            not record.has_ended
            or now <= record.window_end_ns - max(0, product.max_staleness_ns - fresh)
        )

    def handle_run_ended(self, now: int, ref: int, news: RunEnded) -> None:
        if news.outcome not in (Outcome.NOT_RECORDED, Outcome.CLAIMED_ELSEWHERE):
            # A run that was begun for nobody is over unrun; whoever may still listen is told it
            # came to nothing.
            good = news.outcome is Outcome.OK
            self.issue(
                ref,
                Directive(
                    DirectiveKind.COMPLETE, body=news.result, key_digest=self.slots[ref].key_digest
                )
                if good
                else Directive(DirectiveKind.FAIL),
            )
        record = self.idempotency_table.find_by_ref(ref)
        if (
            record is not None
            and not record.has_ended
            and news.outcome is not Outcome.CLAIMED_ELSEWHERE
        ):
            self.idempotency_table.complete(
                record, news.result if news.outcome is Outcome.OK else None
            )
            # Where nothing ran, or the executor knew no such txn, its repeats have not run either.
            unrun = news.outcome in (Outcome.NO_LONGER_NEEDED, Outcome.NOT_RECORDED)
            self.answer_duplicates(
                record,
                Directive(DirectiveKind.REJECT)
                if unrun
                else complete_as_original(record.result, self.slots[ref].key_digest),
            )
        self.controller.run_ended(now, ref, news.outcome, news.duration_ns)

    def answer_duplicates(self, record: KeyRecord, told: Directive) -> None:
        self.duplicate_answers.extend((copy, told) for copy in record.waiting_duplicates)
        record.waiting_duplicates = []
        self.schedule_delivery()

    def issue(self, ref: int, step: Directive) -> None:
        """Lines a step up; of final answers only the first counts."""
        seat = self.slots[ref]
        if seat.is_answered:
            return
        if step.kind not in (DirectiveKind.RUN, DirectiveKind.CALL, DirectiveKind.RECALL_RESULT):
            seat.is_answered = True
            self.unanswered -= 1
        elif step.kind is DirectiveKind.RUN:
            seat.is_started = True
        self.outbox.append((seat, step))

    def schedule_delivery(self) -> None:
        # Not at once: a txn just read does not wait at `pick` yet, and would be overtaken by its
        # own steps.
        if not self.is_delivery_scheduled and (self.outbox or self.duplicate_answers):
            self.is_delivery_scheduled = True
            self.loop.call_soon(self.deliver)

    def deliver(self) -> None:
        self.is_delivery_scheduled = False
        while self.outbox or self.duplicate_answers:
            if self.outbox:
                seat, step = self.outbox.popleft()
                seat.directives.append(step)
                if seat.waiter is not None and not seat.waiter.done():
                    seat.waiter.set_result(None)
            else:
                ref, step = self.duplicate_answers.popleft()
                if ref in self.slots and not self.slots[ref].is_answered:
                    self.issue(ref, step)
                    self.controller.run_ended(self.clock(), ref, DUPLICATE_OUTCOME[step.kind], 0)

    # What the decisions call.

    def start_run(self, ref: int) -> None:
        self.issue(ref, Directive(DirectiveKind.RUN, key_digest=self.slots[ref].key_digest))

    def reject(self, ref: int, stay_away: int, final: bool) -> None:
        self.issue(ref, Directive(DirectiveKind.REJECT, retry_after_ns=stay_away, is_final=final))

    def fail(self, ref: int) -> None:
        self.issue(ref, Directive(DirectiveKind.FAIL))

    def start_call(self, ref: int, stop_at: int) -> None:
        seat = self.slots[ref]
        self.issue(
            ref,
            Directive(
                DirectiveKind.CALL,
                give_up_at_ns=stop_at,
                is_repeatable=seat.is_idempotent,
                body=seat.body,
            ),
        )

    def skip_call(self, ref: int) -> None:
        raise NotImplementedError("this protocol has no command to leave a call out")

    def remember(self, ref: int, lifetime: int) -> None:
        if self.slots[ref].key_digest:
            stranded = self.idempotency_table.claim(
                self.slots[ref].key_digest, ref, self.clock() + lifetime
            )
            self.duplicate_answers.extend(
                (copy, Directive(DirectiveKind.FAIL)) for copy in stranded
            )

    def forget(self, ref: int) -> None:
        if self.idempotency_table.find_by_ref(ref) is not None:
            self.duplicate_answers.extend(
                (copy, Directive(DirectiveKind.FAIL))
                for copy in self.idempotency_table.remove(self.slots[ref].key_digest)
            )

    def reuse_result(self, ref: int) -> None:
        mark = self.slots[ref].key_digest
        record = self.idempotency_table.records.get(mark)
        kept = (
            bool(self.idempotency_table.former_window_end_ns(mark))
            if record is None
            else record.has_succeeded and record.result is None
        )
        if kept and self.recalls_results:
            self.issue(ref, Directive(DirectiveKind.RECALL_RESULT, key_digest=mark))
        elif record is None or record.has_ended:
            self.duplicate_answers.append(
                (ref, complete_as_original(record.result if record is not None else None, mark))
            )
        else:
            record.waiting_duplicates.append(ref)

    def set_health(self, good: bool) -> None:
        self.is_healthy = good

    def report_load(self, value: float) -> None:
        self.load_report = f"{value:.4f}"

    def report_trial_load(self, value: float) -> None:
        self.trial_load_report = f"{value:.4f}"

    def set_idle_timeout(self, lifetime: int) -> None:
        self.idle_timeout_ns = lifetime

    def schedule_timer(self, delay: int, handle: int) -> None:
        heapq.heappush(self.timers, (self.clock() + delay, handle))

    def log(self, text: str) -> None:
        log.info("event=controller_note text=%r", text)

    def release(self, ref: int) -> None:
        seat = self.slots[ref]
        if not seat.is_answered:
            log.error("event=released_unanswered id=%s", seat.id)
            self.issue(ref, Directive(DirectiveKind.FAIL))
        del self.slots[ref], self.refs_by_id[seat.id]
        # Against names without end: a caller is known for as long as a txn of its has a seat.
        self.callers[seat.caller][1] -= 1
        if not self.callers[seat.caller][1]:
            del self.callers[seat.caller]
