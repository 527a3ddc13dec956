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
from .ledger import Ledger, Record, mark_of
from .steps import AtCall, CallEnded, Kind, Leaving, Recalled, RequestAttempt, RunEnded, Step

log = logging.getLogger(__name__)

MARKS_MOST = 40_000  # at some 500 bytes each
COPY_OUTCOME = {
    Kind.SETTLE_AS: Outcome.OK,
    Kind.VOID: Outcome.FAILED,
    Kind.DECLINE: Outcome.NO_LONGER_NEEDED,
}
SLACK = 50_000_000  # by which the time limits are longer on sockets


class Seat:
    """A txn between its reading and its release."""

    __slots__ = (
        "id",
        "caller",
        "mark",
        "body",
        "inquiry",
        "started",
        "answered",
        "steps",
        "waiter",
    )

    def __init__(self, id: str, caller: str, mark: bytes, inquiry: bool) -> None:
        self.id, self.caller, self.mark, self.inquiry = id, caller, mark, inquiry
        self.body = b""
        self.started = self.answered = False
        self.steps: deque[Step] = deque()
        self.waiter: asyncio.Future[None] | None = None


def settled(result: bytes | None, mark: bytes) -> Step:
    return Step(Kind.VOID) if result is None else Step(Kind.SETTLE_AS, body=result, mark=mark)


class Desk:
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
        self.facts = replace(
            facts, request_classes=products, idempotency_key_kb=facts.memory_kb / MARKS_MOST
        )
        self.names, self.recalls, self.clock = names, recalls, clock
        self.loop = asyncio.get_running_loop()
        self.seats: dict[int, Seat] = {}
        self.refs: dict[str, int] = {}
        self.callers: dict[
            str, list[int]
        ] = {}  # each with its index and how many of its txns have a seat
        self.given = self.indices = self.unanswered = 0
        self.ledger = Ledger(
            max(product.deadline_ns for product in facts.request_classes), SLACK, results
        )
        self.wakes: list[tuple[int, int]] = []
        self.outbox: deque[tuple[Seat, Step]] = deque()
        self.copies: deque[tuple[int, Step]] = deque()
        self.handing = False
        self.service = self.told_service = ServiceLevel()
        self.by_share = self.holding_back = False
        self.said_trial = ""
        self.healthy, self.said, self.idle_for = True, "", facts.idle_timeout_ns
        now = clock()
        # Its age is the executor's, which may be warm long before this process came.
        self.choice = AdmissionController(self.facts, seed, self, now - age)
        self.choice.start(now)

    # What the server calls.

    def knows(self, id: str) -> bool:
        return id in self.refs

    def take(self, txn: RequestAttempt) -> Step | Seat:
        """Reads a txn. Most that are not held or run are over at once: those cost no coroutine.
        Else its seat, for `pick`.
        """
        seat = self.admit(txn)
        if (
            not self.handing
            and len(self.outbox) == 1
            and self.outbox[0][0] is seat
            and seat.answered
        ):
            return self.outbox.popleft()[1]
        self.flush()
        return seat

    async def pick(self, seat: Seat) -> Step:
        """The next step of this txn. Its index may be released by then: where hundreds are read in
        one turn of the loop, a timer round comes between a txn's reading and its first `pick`.
        """
        while not seat.steps:
            seat.waiter = self.loop.create_future()
            await seat.waiter
        return seat.steps.popleft()

    def withdraw(self, id: str) -> None:
        """Nobody waits for its answer any more: what was not begun leaves, a run goes on."""
        ref = self.refs.get(id, -1)
        if ref >= 0 and not self.seats[ref].started and not self.seats[ref].answered:
            self.put(ref, Step(Kind.VOID))
            self.choice.caller_gone(self.clock(), ref)
            self.flush()

    def report(self, news: AtCall | RunEnded | CallEnded | Recalled | Leaving) -> None:
        now = self.clock()
        if isinstance(news, Leaving):
            self.choice.drain(now, news.noticed, news.stop)
        elif (ref := self.refs.get(news.id, -1)) < 0:
            log.info("event=late news=%s id=%s", type(news).__name__, news.id)
        elif isinstance(news, AtCall):
            self.seats[ref].body = news.body
            self.choice.call_requested(now, ref)
        elif isinstance(news, CallEnded):
            self.choice.call_ended(now, ref, news.outcome, news.took)
        elif isinstance(news, Recalled):
            self.copies.append((ref, settled(news.result, self.seats[ref].mark)))
        else:
            self.run_ended(now, ref, news)
        self.flush()

    def serve_at(self, service: ServiceLevel) -> None:
        """The level of service that holds from now on."""
        self.by_share = (
            service.degradation.rejects_over_share or service.trial_degradation.rejects_over_share
        )
        self.told_service = service
        self.serve()

    def hold_back(self, on: bool) -> None:
        """While service comes back, tries that are held back are given up at any level."""
        self.holding_back = on
        self.serve()

    def serve(self) -> None:
        service = self.told_service
        if self.holding_back:
            service = replace(
                service,
                degradation=self.held(service.degradation),
                trial_degradation=self.held(service.trial_degradation),
            )
        self.service = service
        self.choice.set_service_level(self.clock(), service)
        self.flush()

    def held(self, relief: Degradation) -> Degradation:
        none = (False,) * len(self.names)
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

    def share_calls(self, share: float) -> None:
        """Our share of the calls below from now on, as the fleet deals it."""
        self.choice.set_call_quota(self.clock(), share)
        self.flush()

    def calls(self) -> tuple[int, int]:
        """Calls in hand, with those left behind below; and how many txns wait for one."""
        return self.choice.open_call_count(), self.choice.queued_call_count()

    def strain(self) -> tuple[float, float, float]:
        """The age of the oldest held txn, of its SLA time; the lag of reading, of the shortest one;
        the pressure.
        """
        choice = self.choice
        return choice.queue_age_share(self.clock()), choice.read_lag_share(), choice.pressure

    def settle(self, mark: bytes, result: bytes | None) -> None:
        """What became of a txn that ran elsewhere or in a former life; None: there is nothing to
        give.
        """
        record = self.ledger.records.get(mark)
        if record is not None and not record.well:
            self.ledger.settle(record, result)
            self.answer_copies(record, settled(result, mark))

    def free(self, mark: bytes) -> None:
        """It never ran there after all: it may run here."""
        self.copies.extend((copy, Step(Kind.DECLINE)) for copy in self.ledger.drop(mark))
        self.flush()

    def lose(self, mark: bytes) -> None:
        """Nobody follows it any more: its next try is looked up anew."""
        self.copies.extend((copy, Step(Kind.VOID)) for copy in self.ledger.drop(mark))
        self.flush()

    def unknown(self, txn: RequestAttempt) -> bytes:
        """The mark of a referenced txn that nothing is known of here; else empty."""
        if self.facts.request_classes[txn.product].idempotency is not Idempotency.KEYED:
            return b""
        mark = mark_of(self.names[txn.product], txn.once, txn.body)
        return mark if self.ledger.holder(mark, txn.at) == -1 else b""

    def tick(self, gauges: Gauges) -> int:
        """Fires what is due; returns when the next is."""
        now = self.clock()
        while self.wakes and self.wakes[0][0] <= now:
            _, handle = heapq.heappop(self.wakes)
            self.choice.timer_fired(now, handle, gauges)
        self.ledger.sweep(now)
        self.flush()
        return self.due

    @property
    def due(self) -> int:
        return self.wakes[0][0] if self.wakes else 1 << 62

    # Within.

    def admit(self, txn: RequestAttempt) -> Seat:
        now = self.clock()
        product = self.facts.request_classes[txn.product]
        mark = b""
        if product.idempotency is Idempotency.KEYED:
            mark = mark_of(self.names[txn.product], txn.once, txn.body)
        elif (
            (self.facts.result_cache_ttl_ns or product.max_staleness_ns)
            and product.idempotency is Idempotency.IDEMPOTENT
            and txn.key
        ):
            mark = mark_of(self.names[txn.product], txn.key, b"")
        caller = self.callers.get(txn.caller)
        if caller is None:
            caller = self.callers[txn.caller] = [self.indices, 0]
            self.indices += 1
        caller[1] += 1
        ref = self.given
        self.given += 1
        seat = self.seats[ref] = Seat(
            txn.id, txn.caller, mark, product.idempotency is Idempotency.IDEMPOTENT
        )
        self.refs[txn.id] = ref
        self.unanswered += 1
        self.choice.request_arrived(
            now,
            Request(
                ref=ref,
                caller=caller[0],
                request_class=txn.product,
                cost_ns=txn.cost,
                unread_ns=max(0, now - txn.at),
                deadline_at_ns=0,
                memory_kb=txn.kb,
                priority=txn.rank,
                original_ref=self.ledger.holder(mark, txn.at, seat.inquiry)
                if mark and self.counts(mark, txn, now)
                else -1,
                is_recordable=txn.entry,
                is_retry=txn.retry,
                is_over_share=txn.over and self.by_share or txn.held_back,
                sampling_draw=txn.lot,
            ),
        )
        return seat

    def counts(self, mark: bytes, txn: RequestAttempt, now: int) -> bool:
        """Whether what is known of this mark is to answer: what is only kept for a level does so
        only there.
        """
        product, record = self.facts.request_classes[txn.product], self.ledger.records.get(mark)
        if not product.max_staleness_ns or record is None or record.waiting:
            return True
        service = self.service
        relief = service.trial_degradation if txn.lot < service.trial_share else service.degradation
        if relief.name and relief.cached_only_classes[txn.product]:
            return True
        fresh = self.facts.result_cache_ttl_ns
        return fresh > 0 and (
            not record.over or now <= record.until - max(0, product.max_staleness_ns - fresh)
        )

    def run_ended(self, now: int, ref: int, news: RunEnded) -> None:
        if news.outcome not in (Outcome.NOT_RECORDED, Outcome.CLAIMED_ELSEWHERE):
            # A run that was begun for nobody is over unrun; whoever may still listen is told it
            # came to nothing.
            good = news.outcome is Outcome.OK
            self.put(
                ref,
                Step(Kind.SETTLE, body=news.result, mark=self.seats[ref].mark)
                if good
                else Step(Kind.VOID),
            )
        record = self.ledger.of(ref)
        if record is not None and not record.over and news.outcome is not Outcome.CLAIMED_ELSEWHERE:
            self.ledger.settle(record, news.result if news.outcome is Outcome.OK else None)
            # Where nothing ran, or the executor knew no such txn, its repeats have not run either.
            unrun = news.outcome in (Outcome.NO_LONGER_NEEDED, Outcome.NOT_RECORDED)
            self.answer_copies(
                record,
                Step(Kind.DECLINE) if unrun else settled(record.result, self.seats[ref].mark),
            )
        self.choice.run_ended(now, ref, news.outcome, news.took)

    def answer_copies(self, record: Record, told: Step) -> None:
        self.copies.extend((copy, told) for copy in record.waiting)
        record.waiting = []
        self.flush()

    def put(self, ref: int, step: Step) -> None:
        """Lines a step up; of final answers only the first counts."""
        seat = self.seats[ref]
        if seat.answered:
            return
        if step.kind not in (Kind.RUN, Kind.CALL, Kind.RECALL):
            seat.answered = True
            self.unanswered -= 1
        elif step.kind is Kind.RUN:
            seat.started = True
        self.outbox.append((seat, step))

    def flush(self) -> None:
        # Not at once: a txn just read does not wait at `pick` yet, and would be overtaken by its
        # own steps.
        if not self.handing and (self.outbox or self.copies):
            self.handing = True
            self.loop.call_soon(self.hand_out)

    def hand_out(self) -> None:
        self.handing = False
        while self.outbox or self.copies:
            if self.outbox:
                seat, step = self.outbox.popleft()
                seat.steps.append(step)
                if seat.waiter is not None and not seat.waiter.done():
                    seat.waiter.set_result(None)
            else:
                ref, step = self.copies.popleft()
                if ref in self.seats and not self.seats[ref].answered:
                    self.put(ref, step)
                    self.choice.run_ended(self.clock(), ref, COPY_OUTCOME[step.kind], 0)

    # What the decisions call.

    def start_run(self, ref: int) -> None:
        self.put(ref, Step(Kind.RUN, mark=self.seats[ref].mark))

    def reject(self, ref: int, stay_away: int, final: bool) -> None:
        self.put(ref, Step(Kind.DECLINE, stay_away=stay_away, final=final))

    def fail(self, ref: int) -> None:
        self.put(ref, Step(Kind.VOID))

    def start_call(self, ref: int, stop_at: int) -> None:
        seat = self.seats[ref]
        self.put(ref, Step(Kind.CALL, until=stop_at, repeatable=seat.inquiry, body=seat.body))

    def skip_call(self, ref: int) -> None:
        raise NotImplementedError("this protocol has no command to leave a call out")

    def remember(self, ref: int, lifetime: int) -> None:
        if self.seats[ref].mark:
            stranded = self.ledger.keep(self.seats[ref].mark, ref, self.clock() + lifetime)
            self.copies.extend((copy, Step(Kind.VOID)) for copy in stranded)

    def forget(self, ref: int) -> None:
        if self.ledger.of(ref) is not None:
            self.copies.extend(
                (copy, Step(Kind.VOID)) for copy in self.ledger.drop(self.seats[ref].mark)
            )

    def reuse_result(self, ref: int) -> None:
        mark = self.seats[ref].mark
        record = self.ledger.records.get(mark)
        kept = (
            bool(self.ledger.ended_before(mark))
            if record is None
            else record.well and record.result is None
        )
        if kept and self.recalls:
            self.put(ref, Step(Kind.RECALL, mark=mark))
        elif record is None or record.over:
            self.copies.append((ref, settled(record.result if record is not None else None, mark)))
        else:
            record.waiting.append(ref)

    def set_health(self, good: bool) -> None:
        self.healthy = good

    def report_load(self, value: float) -> None:
        self.said = f"{value:.4f}"

    def report_trial_load(self, value: float) -> None:
        self.said_trial = f"{value:.4f}"

    def set_idle_timeout(self, lifetime: int) -> None:
        self.idle_for = lifetime

    def schedule_timer(self, delay: int, handle: int) -> None:
        heapq.heappush(self.wakes, (self.clock() + delay, handle))

    def log(self, text: str) -> None:
        log.info("event=note text=%r", text)

    def release(self, ref: int) -> None:
        seat = self.seats[ref]
        if not seat.answered:
            log.error("event=released-unanswered id=%s", seat.id)
            self.put(ref, Step(Kind.VOID))
        del self.seats[ref], self.refs[seat.id]
        # Against names without end: a caller is known for as long as a txn of its has a seat.
        self.callers[seat.caller][1] -= 1
        if not self.callers[seat.caller][1]:
            del self.callers[seat.caller]
