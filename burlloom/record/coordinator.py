"""Keeps the record: hands what happens to the fates, and does what they say with the store and the
server.

All that it decides stands in fate.py, budget.py, rows.py and recovery.py; here are the timers and
the writes.
"""

import asyncio
import logging
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol

from ..admission.model import Outcome
from . import failpoints as points
from .authentication import RowAuthenticator
from .circuit_breaker import BreakerEffect, CircuitBreaker
from .recovery_rules import classify_recovered_row
from .request_lifecycle import RULES, DurableRequest, RequestEvent, RequestState
from .rows import ROW_COMPLETED, RecordRow, RecordWrite, WriteKind, WriteResult
from .store import RecordStore, StoreSession

log = logging.getLogger(__name__)

MS, SECOND = 1_000_000, 1_000_000_000
AGAIN_LEAST, AGAIN_MOST = 20 * MS, 1000 * MS  # between tries of a write whose run has ended
FATES_MOST = 8192  # fates in hand, of claims, of ends on their way and of doubts
RECALLS_MOST = 256  # results asked of the store at once
ROUND = 50 * MS


class RecordListener(Protocol):
    """What the keeper tells the server, on the loop. `id` names a try, `mark` what all its tries
    share.
    """

    def start_run(self, id: str) -> None: ...
    def reject(self, id: str) -> None: ...
    def report_never_ran(self, id: str) -> None: ...
    def report_claimed_elsewhere(self, id: str) -> None: ...
    def complete(self, mark: bytes, result: bytes | None) -> None: ...
    def release(self, mark: bytes) -> None: ...
    def register(self, mark: bytes, until: int) -> None: ...
    def forget(self, mark: bytes) -> None: ...


@dataclass(slots=True)
class RecordCounters:
    """Since the start. `late`: claims that had had their time. `unkept`: runs begun on memory's
    marks alone.
    """

    claims: int = 0
    rejected: int = 0
    store_timeouts: int = 0
    unrecorded_runs: int = 0
    claimed_elsewhere: int = 0
    results_fetched: int = 0
    results_not_fetched: int = 0
    altered_rows: int = 0
    conflicts: int = 0
    retried_writes: int = 0
    answered_before_durable: int = 0  # answers that left before their result was durable
    doubts: int = 0
    resolved: int = 0
    recovered_keys: int = 0

    def as_metrics(self) -> dict[str, int]:
        """The counters under the names that they have as metrics."""
        return {metric: getattr(self, field) for metric, field in METRIC_FIELDS.items()}


METRIC_FIELDS = {
    "claims": "claims",
    "refused": "rejected",
    "late": "store_timeouts",
    "unkept": "unrecorded_runs",
    "taken": "claimed_elsewhere",
    "recalled": "results_fetched",
    "recalled_in_vain": "results_not_fetched",
    "altered": "altered_rows",
    "conflicts": "conflicts",
    "again": "retried_writes",
    "held_past": "answered_before_durable",
    "doubts": "doubts",
    "resolved": "resolved",
    "read_back": "recovered_keys",
}


@dataclass(frozen=True, slots=True)
class RecordPolicy:
    """What the operator set. Shares are of a product's SLA time, spans in ns."""

    may_run_unrecorded: bool
    claim_share: float
    answer_delay_share: float
    max_writes_in_flight: int
    executor_wait_ns: int


@dataclass(slots=True)
class RecordObserver:
    """Whoever observes times: ns and sizes. Each may be replaced; none by default."""

    observe_claim: Callable[[int], None] | None = None
    observe_finish: Callable[[int], None] | None = None
    counters: RecordCounters = field(default_factory=RecordCounters)


class RecordCoordinator:
    def __init__(
        self,
        store: RecordStore,
        sealer: RowAuthenticator,
        terms: RecordPolicy,
        slowest: int,
        clock: Callable[[], int],
        hand: RecordListener,
    ) -> None:
        """`slowest`: the longest SLA time there is, ns; a write may take its claim's share of
        it.
        """
        self.store, self.authenticator, self.policy, self.clock, self.listener = (
            store,
            sealer,
            terms,
            clock,
            hand,
        )
        self.breaker = CircuitBreaker(
            terms.max_writes_in_flight, max(1, int(terms.claim_share * slowest))
        )
        self.observer = RecordObserver()
        self.counters = self.observer.counters
        (
            self.node,
            self.incarnation,
            self.claim_number,
            self.closed_until_ns,
            self.previous_notice,
        ) = "", 0, 0, 0, ""
        self.requests: dict[str, DurableRequest] = {}
        self.by_key_digest: dict[
            bytes, DurableRequest
        ] = {}  # the same by mark, the last to hold it
        self.claim_timers: dict[str, asyncio.TimerHandle] = {}
        self.waiters: dict[str, list[asyncio.Future[None]]] = {}
        self.started_rows: list[RecordRow] = []
        self.pending_fetches = 0
        self.is_probing = self.closed = False
        self.tick_timer: asyncio.TimerHandle | None = None

    # At the start.

    async def open(self) -> StoreSession:
        """Raises `store.Refused`."""
        opened = await self.store.open()
        self.previous_notice = opened.previous_notice
        self.node, self.incarnation, self.closed_until_ns = (
            opened.node,
            opened.incarnation,
            opened.closed_until_ns,
        )
        if self.closed_until_ns > self.clock():
            log.warning("event=record-closed until=%d reason=restored", self.closed_until_ns // MS)
        return opened

    def read_recorded_keys(self) -> Iterator[list[tuple[bytes, int]]]:
        """Marks and ends of windows of former lives; those that have no end are told once more, by
        `executor`.
        """
        now = self.clock()
        for batch in self.store.read_recorded_keys(now):
            self.counters.recovered_keys += len(batch)
            yield batch
        self.started_rows = list(self.store.read_started_rows(now))

    async def start(self) -> None:
        await self.store.start()
        self.store.on_verdict = self.apply_verdict
        self.round()

    def resume_after_restart(self, began: int) -> list[tuple[bytes, int, bool]]:
        """The executor is there, and started at `began`: what became of what former lives had
        begun.

        Gives mark, end of window, and whether its end may still be told.
        """
        told: list[tuple[bytes, int, bool]] = []
        rows, self.started_rows = self.started_rows, []
        for row in rows:
            sound = self.authenticator.is_authentic(row)
            self.counters.altered_rows += not sound
            if not sound:
                log.error("event=record-altered mark=%s", row.key_digest.hex())
            what = classify_recovered_row(row, sound, began)
            if what is None:
                continue
            fate = DurableRequest(
                row.key_digest,
                row.request_id,
                row.incarnation,
                row.claim_number,
                row.started_at_ns,
                row.expires_at_ns,
            )
            self.by_key_digest[row.key_digest] = fate
            if row.request_id not in self.requests:
                self.requests[row.request_id] = fate
            self.meet(fate, what)
            told.append(
                (row.key_digest, row.expires_at_ns, fate.state is RequestState.AWAITING_EXECUTOR)
            )
        if told:
            waits = sum(open for _, _, open in told)
            log.warning(
                "event=record-doubts count=%d asked_of_executor=%d", len(told) - waits, waits
            )
        if any(open for _, _, open in told):
            asyncio.get_running_loop().call_later(
                self.policy.executor_wait_ns / SECOND, self.executor_silent
            )
        return told

    def executor_silent(self) -> None:
        for fate in [
            fate for fate in self.requests.values() if fate.state is RequestState.AWAITING_EXECUTOR
        ]:
            self.meet(fate, RequestEvent.EXECUTOR_SILENT)

    async def close(self) -> None:
        self.closed = True
        if self.tick_timer is not None:
            self.tick_timer.cancel()
        for timer in self.claim_timers.values():
            timer.cancel()
        await self.store.close()

    # What the server tells.

    def may_claim(self) -> bool:
        """Whether the decisions may take a txn that wants an entry; where memory's marks do,
        always.
        """
        now = self.clock()
        if now < self.closed_until_ns:
            return False
        return (
            self.policy.may_run_unrecorded
            or len(self.requests) < FATES_MOST
            and self.breaker.may_write(now)
        )

    def begin_claim(self, mark: bytes, id: str, at: int, until: int, sla: int) -> None:
        """The decisions start it: `hand.run` follows once that is durable, or another word."""
        now = self.clock()
        self.claim_number += 1
        fate = DurableRequest(
            mark,
            id,
            self.incarnation,
            self.claim_number,
            at,
            until,
            may_run_unrecorded=self.policy.may_run_unrecorded,
            claim_deadline_ns=now + int(self.policy.claim_share * sla),
        )
        if self.closed or len(self.requests) >= FATES_MOST or not self.breaker.may_write(now):
            if self.policy.may_run_unrecorded:
                self.counters.unrecorded_runs += 1
                self.listener.start_run(id)
            else:
                self.counters.rejected += 1
                self.listener.reject(id)
            return
        self.requests[id] = self.by_key_digest[mark] = fate
        self.meet(fate, RequestEvent.STARTED)

    async def look_up(self, mark: bytes, id: str, until: int, sla: int) -> None:
        """A marked retry that is not known here: what the store knows of it is made known, if it
        says so in time.
        """
        now = self.clock()
        if (
            self.closed
            or len(self.requests) >= FATES_MOST
            or not self.breaker.may_write(now)
            or id in self.requests
        ):
            return
        fate = DurableRequest(
            mark,
            id,
            self.incarnation,
            0,
            now,
            until,
            claim_deadline_ns=now + int(self.policy.claim_share * sla),
        )
        self.requests[id] = fate
        self.meet(fate, RequestEvent.RETRY_RECEIVED)
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.waiters.setdefault(id, []).append(future)
        await future  # SLOW ends it at the latest

    def abandon(self, id: str) -> None:
        """The decisions gave it up; what runs runs on."""
        fate = self.requests.get(id)
        if fate is not None:
            self.meet(fate, RequestEvent.ABANDONED)

    def finish_run(self, id: str, outcome: Outcome, result: bytes) -> None:
        """The executor's word, of a run of a former life too. One that was stopped may have had its
        effect.
        """
        fate = self.requests.get(id)
        if fate is not None:
            points.hit("ended")
            what = {
                Outcome.OK: RequestEvent.RUN_SUCCEEDED,
                Outcome.NO_LONGER_NEEDED: RequestEvent.NEVER_RAN,
            }.get(outcome, RequestEvent.RUN_FAILED)
            fate.result = result if what is RequestEvent.RUN_SUCCEEDED else b""
            self.meet(fate, what)

    def is_tracking(self, id: str) -> bool:
        return id in self.requests

    async def wait_until_durable(self, mark: bytes, until: int) -> None:
        """Until the end of the mark's run is durable, but not past `until`: its beginning is, so no
        repeat runs.
        """
        fate = self.by_key_digest.get(mark)
        if fate is None or fate.state not in (RequestState.SUCCEEDED, RequestState.FAILED):
            return
        wait = until - self.clock()
        if wait > 0:
            future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self.waiters.setdefault(fate.request_id, []).append(future)
            await asyncio.wait({future}, timeout=wait / SECOND)
            if future.done():
                return
            future.cancel()
        self.counters.answered_before_durable += 1
        log.warning("event=record-answered-before id=%s state=%s", fate.request_id, fate.state.name)

    async def fetch_result(self, mark: bytes, until: int) -> bytes | None:
        """The result that is kept for a mark; None where there is none to give, or it can't be had
        in time.
        """
        if self.pending_fetches >= RECALLS_MOST or self.closed:
            self.counters.results_not_fetched += 1
            return None
        self.pending_fetches += 1
        try:
            word = await self.find(mark, until)
        finally:
            self.pending_fetches -= 1
        if word.row is not None and word.outcome is RequestEvent.FOUND_RESULT:
            self.counters.results_fetched += 1
            return word.row.result
        self.counters.results_not_fetched += 1
        return None

    async def find(self, mark: bytes, until: int) -> WriteResult:
        """Asks again, ever more slowly, while the store can't be reached and there is time."""
        delay, word = AGAIN_LEAST, WriteResult(RequestEvent.WRITE_FAILED)
        while (
            word.outcome in (RequestEvent.WRITE_FAILED, RequestEvent.WRITE_UNCERTAIN)
            and (wait := until - self.clock()) > 0
        ):
            future: asyncio.Future[WriteResult] = asyncio.get_running_loop().create_future()
            self.store.submit(RecordWrite(WriteKind.FIND, self.bare(mark)), partial(tell, future))
            await asyncio.wait({future}, timeout=wait / SECOND)
            if not future.done():
                future.cancel()
                return WriteResult(RequestEvent.STORE_TIMED_OUT)
            word = future.result()
            if word.outcome in (RequestEvent.WRITE_FAILED, RequestEvent.WRITE_UNCERTAIN):
                await asyncio.sleep(delay / SECOND)
                delay = min(AGAIN_MOST, 2 * delay)
        return word

    def apply_verdict(self, mark: bytes, life: int, turn: int, ran: bool) -> None:
        """An operator's word on a doubt; on that claim alone, not on a later one of the same
        mark.
        """
        fate = self.by_key_digest.get(mark)
        if (
            fate is not None
            and fate.state in (RequestState.IN_DOUBT, RequestState.AWAITING_EXECUTOR)
            and (fate.incarnation, fate.claim_number) == (life, turn)
        ):
            log.warning("event=record-resolved mark=%s ran=%s", mark.hex(), ran)
            self.counters.resolved += 1
            self.meet(
                fate, RequestEvent.RESOLVED_AS_RAN if ran else RequestEvent.RESOLVED_AS_NEVER_RAN
            )

    # Within.

    def round(self) -> None:
        self.tick_timer = asyncio.get_running_loop().call_later(ROUND / SECOND, self.round)
        now = self.clock()
        for fate in [fate for fate in self.requests.values() if fate.expires_at_ns <= now]:
            self.meet(fate, RequestEvent.WINDOW_EXPIRED)
        self.do(self.breaker.tick(now))

    def do(self, effect: BreakerEffect) -> None:
        if effect in (BreakerEffect.OPEN, BreakerEffect.OPEN_LONGER):
            log.warning(
                "event=record-cut-off open=%d rest_ms=%d",
                len(self.breaker.in_flight),
                self.breaker.pause_ns // MS,
            )
        elif effect is BreakerEffect.CLOSE:
            log.info("event=record-back cuts=%d", self.breaker.times_opened)
        elif effect in (BreakerEffect.PROBE, BreakerEffect.PROBE_AGAIN) and not self.is_probing:
            self.is_probing = True
            self.store.probe(self.clock(), self.beaten)

    def beaten(self, good: bool) -> None:
        self.is_probing = False
        self.do(self.breaker.probe_finished(self.clock(), good))

    def meet(self, fate: DurableRequest, what: RequestEvent) -> None:
        for effect in fate.handle(what, self.clock()):
            getattr(self, "_" + effect)(fate)
        if fate.state is RequestState.CLAIMED_ELSEWHERE:
            self.wake(fate)
        if fate.state in (
            RequestState.CLOSED,
            RequestState.SUCCESS_RECORDED,
            RequestState.FAILURE_RECORDED,
        ):
            self.drop(fate)

    def drop(self, fate: DurableRequest) -> None:
        if self.requests.get(fate.request_id) is fate:
            del self.requests[fate.request_id]
        if self.by_key_digest.get(fate.key_digest) is fate:
            del self.by_key_digest[fate.key_digest]
        self.in_time(fate)
        self.wake(fate)

    def wake(self, fate: DurableRequest) -> None:
        for future in self.waiters.pop(fate.request_id, ()):
            if not future.done():
                future.set_result(None)

    def later(self, fate: DurableRequest, kind: WriteKind) -> None:
        delay = min(AGAIN_MOST, AGAIN_LEAST << min(fate.write_count, 8))
        asyncio.get_running_loop().call_later(
            delay / SECOND, self.again, fate, kind, fate.write_count, fate.state
        )

    def again(
        self, fate: DurableRequest, kind: WriteKind, writes: int, state: RequestState
    ) -> None:
        if not self.closed and (fate.write_count, fate.state) == (writes, state):
            self.counters.retried_writes += 1
            self.write(fate, kind)

    def slow(self, fate: DurableRequest) -> None:
        self.claim_timers.pop(fate.request_id, None)
        self.counters.store_timeouts += 1
        self.meet(fate, RequestEvent.STORE_TIMED_OUT)

    def in_time(self, fate: DurableRequest) -> None:
        if (timer := self.claim_timers.pop(fate.request_id, None)) is not None:
            timer.cancel()

    def bare(self, mark: bytes) -> RecordRow:
        return RecordRow(mark, ROW_COMPLETED, self.node, self.incarnation, 0, "", 0, 0)

    def row(self, fate: DurableRequest) -> RecordRow:
        row = RecordRow(
            fate.key_digest,
            fate.row_state,
            self.node,
            fate.incarnation,
            fate.claim_number,
            fate.request_id,
            fate.started_at_ns,
            fate.expires_at_ns,
            fate.result if fate.row_state is RequestState.SUCCESS_RECORDED else b"",
        )
        return row._replace(mac=self.authenticator.compute_mac(row))

    def write(self, fate: DurableRequest, kind: WriteKind) -> None:
        """Of the words on a fate only that on its last write counts: an earlier one speaks of what
        is past.
        """
        fate.write_count += 1
        turn, began = fate.write_count, self.clock()
        number = self.breaker.write_started(began)

        def done(word: WriteResult) -> None:
            now = self.clock()
            good = word.outcome not in (
                RequestEvent.WRITE_FAILED,
                RequestEvent.WRITE_UNCERTAIN,
                RequestEvent.FENCED,
            )
            self.do(self.breaker.write_finished(number, now, good))
            observe = (
                self.observer.observe_claim
                if kind is WriteKind.CLAIM
                else self.observer.observe_finish
                if kind is WriteKind.FINISH
                else None
            )
            if observe is not None:
                observe(now - began)
            if turn == fate.write_count:
                if word.row is not None and word.outcome is RequestEvent.FOUND_RESULT:
                    fate.result = word.row.result
                self.meet(fate, word.outcome)

        self.store.submit(RecordWrite(kind, self.row(fate)), done)

    # Effects of fate.TABLE.

    def _claim(self, fate: DurableRequest) -> None:
        self.counters.claims += 1
        self.limit(fate)
        self.write(fate, WriteKind.CLAIM)
        points.hit("claim-posted")

    def limit(self, fate: DurableRequest) -> None:
        self.claim_timers[fate.request_id] = asyncio.get_running_loop().call_later(
            max(0, fate.claim_deadline_ns - self.clock()) / SECOND, self.slow, fate
        )

    def _look_up(self, fate: DurableRequest) -> None:
        self.limit(fate)
        self.write(fate, WriteKind.LOOK)

    def _register(self, fate: DurableRequest) -> None:
        self.in_time(fate)
        self.counters.claimed_elsewhere += 1
        self.by_key_digest[fate.key_digest] = fate
        self.listener.register(fate.key_digest, fate.expires_at_ns)

    def _forget(self, fate: DurableRequest) -> None:
        self.listener.forget(fate.key_digest)

    def _retry_claim(self, fate: DurableRequest) -> None:
        self.later(fate, WriteKind.CLAIM)

    def _start_run(self, fate: DurableRequest) -> None:
        self.in_time(fate)
        self.listener.start_run(fate.request_id)
        points.hit_after_send("executed")

    def _start_run_unrecorded(self, fate: DurableRequest) -> None:
        self.counters.unrecorded_runs += 1
        self._start_run(fate)

    def _reject(self, fate: DurableRequest) -> None:
        self.counters.rejected += 1
        self.listener.reject(fate.request_id)

    def _report_never_ran(self, fate: DurableRequest) -> None:
        self.listener.report_never_ran(fate.request_id)

    def _withdraw(self, fate: DurableRequest) -> None:
        self.in_time(fate)
        self.write(fate, WriteKind.WITHDRAW)

    def _retry_withdraw(self, fate: DurableRequest) -> None:
        self.later(fate, WriteKind.WITHDRAW)

    def _finish(self, fate: DurableRequest) -> None:
        self.write(fate, WriteKind.FINISH)
        points.hit("finish-posted")

    def _retry_finish(self, fate: DurableRequest) -> None:
        self.later(fate, WriteKind.FINISH)

    def _insert(self, fate: DurableRequest) -> None:
        self.write(fate, WriteKind.INSERT)

    def _report_conflict(self, fate: DurableRequest) -> None:
        """Another's row stands where ours should, or we were fenced off: what ran stays
        answered.
        """
        self.counters.conflicts += 1
        log.error(
            "event=record-conflict id=%s mark=%s state=%s",
            fate.request_id,
            fate.key_digest.hex(),
            fate.state.name,
        )

    def _follow(self, fate: DurableRequest) -> None:
        self.in_time(fate)
        self.counters.claimed_elsewhere += 1
        self.listener.report_claimed_elsewhere(fate.request_id)

    def _poll(self, fate: DurableRequest) -> None:
        self.later(fate, WriteKind.LOOK)

    def _deliver_result(self, fate: DurableRequest) -> None:
        self.listener.complete(fate.key_digest, fate.result)

    def _fail(self, fate: DurableRequest) -> None:
        self.listener.complete(fate.key_digest, None)

    def _release(self, fate: DurableRequest) -> None:
        self.listener.release(fate.key_digest)

    def _mark_in_doubt(self, fate: DurableRequest) -> None:
        self.counters.doubts += 1
        self.listener.complete(fate.key_digest, None)

    def _resolve_as_succeeded(self, fate: DurableRequest) -> None:
        self.counters.resolved += 1
        self.listener.complete(fate.key_digest, fate.result)
        self.write(fate, WriteKind.FINISH)

    def _resolve_as_failed(self, fate: DurableRequest) -> None:
        self.counters.resolved += 1
        self.listener.complete(fate.key_digest, None)
        self.write(fate, WriteKind.FINISH)

    def _resolve_as_never_ran(self, fate: DurableRequest) -> None:
        self.counters.resolved += 1
        self.listener.release(fate.key_digest)
        self.write(fate, WriteKind.WITHDRAW)


def tell(future: asyncio.Future[WriteResult], word: WriteResult) -> None:
    if not future.done():
        future.set_result(word)


# A typo in the table is found at import, not at the first charge that meets the row.
assert all(
    hasattr(RecordCoordinator, f"_{effect}")
    for rows in RULES.values()
    for row in rows
    for effect in row[2]
)
