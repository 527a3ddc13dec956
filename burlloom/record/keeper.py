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
from . import points
from .budget import Budget
from .fate import RULES, Fate, Input, State
from .recovery import read
from .rows import KEPT, Kind, Row, Word, Write
from .seal import Sealer
from .store import Opened, Store

log = logging.getLogger(__name__)

MS, SECOND = 1_000_000, 1_000_000_000
AGAIN_LEAST, AGAIN_MOST = 20 * MS, 1000 * MS  # between tries of a write whose run has ended
FATES_MOST = 8192  # fates in hand, of claims, of ends on their way and of doubts
RECALLS_MOST = 256  # results asked of the store at once
ROUND = 50 * MS


class Hand(Protocol):
    """What the keeper tells the server, on the loop. `id` names a try, `mark` what all its tries
    share.
    """

    def run(self, id: str) -> None: ...
    def refuse(self, id: str) -> None: ...
    def unrun(self, id: str) -> None: ...
    def follow(self, id: str) -> None: ...
    def settle(self, mark: bytes, result: bytes | None) -> None: ...
    def free(self, mark: bytes) -> None: ...
    def plant(self, mark: bytes, until: int) -> None: ...
    def lose(self, mark: bytes) -> None: ...


@dataclass(slots=True)
class Counts:
    """Since the start. `late`: claims that had had their time. `unkept`: runs begun on memory's
    marks alone.
    """

    claims: int = 0
    refused: int = 0
    late: int = 0
    unkept: int = 0
    taken: int = 0
    recalled: int = 0
    recalled_in_vain: int = 0
    altered: int = 0
    conflicts: int = 0
    again: int = 0
    held_past: int = 0  # answers that left before their result was durable
    doubts: int = 0
    resolved: int = 0
    read_back: int = 0


@dataclass(frozen=True, slots=True)
class Terms:
    """What the operator set. Shares are of a product's SLA time, spans in ns."""

    prefer: bool
    claim_share: float
    hold_share: float
    open_most: int
    doubt_wait: int


@dataclass(slots=True)
class Watch:
    """Whoever observes times: ns and sizes. Each may be replaced; none by default."""

    claim: Callable[[int], None] | None = None
    finish: Callable[[int], None] | None = None
    counts: Counts = field(default_factory=Counts)


class Keeper:
    def __init__(
        self,
        store: Store,
        sealer: Sealer,
        terms: Terms,
        slowest: int,
        clock: Callable[[], int],
        hand: Hand,
    ) -> None:
        """`slowest`: the longest SLA time there is, ns; a write may take its claim's share of
        it.
        """
        self.store, self.sealer, self.terms, self.clock, self.hand = (
            store,
            sealer,
            terms,
            clock,
            hand,
        )
        self.budget = Budget(terms.open_most, max(1, int(terms.claim_share * slowest)))
        self.watch = Watch()
        self.counts = self.watch.counts
        self.node, self.life, self.turn, self.closed_until, self.noted = "", 0, 0, 0, ""
        self.fates: dict[str, Fate] = {}
        self.marks: dict[bytes, Fate] = {}  # the same by mark, the last to hold it
        self.timers: dict[str, asyncio.TimerHandle] = {}
        self.waiting: dict[str, list[asyncio.Future[None]]] = {}
        self.began: list[Row] = []
        self.recalls = 0
        self.beating = self.closed = False
        self.rounds: asyncio.TimerHandle | None = None

    # At the start.

    async def open(self) -> Opened:
        """Raises `store.Refused`."""
        opened = await self.store.open()
        self.noted = opened.note
        self.node, self.life, self.closed_until = opened.node, opened.life, opened.closed_until
        if self.closed_until > self.clock():
            log.warning("event=record-closed until=%d reason=restored", self.closed_until // MS)
        return opened

    def read_back(self) -> Iterator[list[tuple[bytes, int]]]:
        """Marks and ends of windows of former lives; those that have no end are told once more, by
        `executor`.
        """
        now = self.clock()
        for batch in self.store.known(now):
            self.counts.read_back += len(batch)
            yield batch
        self.began = list(self.store.begun(now))

    async def start(self) -> None:
        await self.store.start()
        self.store.verdicts = self.verdict
        self.round()

    def executor(self, began: int) -> list[tuple[bytes, int, bool]]:
        """The executor is there, and started at `began`: what became of what former lives had
        begun.

        Gives mark, end of window, and whether its end may still be told.
        """
        told: list[tuple[bytes, int, bool]] = []
        rows, self.began = self.began, []
        for row in rows:
            sound = self.sealer.holds(row)
            self.counts.altered += not sound
            if not sound:
                log.error("event=record-altered mark=%s", row.mark.hex())
            what = read(row, sound, began)
            if what is None:
                continue
            fate = Fate(row.mark, row.id, row.life, row.turn, row.at, row.until)
            self.marks[row.mark] = fate
            if row.id not in self.fates:
                self.fates[row.id] = fate
            self.meet(fate, what)
            told.append((row.mark, row.until, fate.state is State.OPEN))
        if told:
            waits = sum(open for _, _, open in told)
            log.warning(
                "event=record-doubts count=%d asked_of_executor=%d", len(told) - waits, waits
            )
        if any(open for _, _, open in told):
            asyncio.get_running_loop().call_later(
                self.terms.doubt_wait / SECOND, self.executor_silent
            )
        return told

    def executor_silent(self) -> None:
        for fate in [fate for fate in self.fates.values() if fate.state is State.OPEN]:
            self.meet(fate, Input.DEAD)

    async def close(self) -> None:
        self.closed = True
        if self.rounds is not None:
            self.rounds.cancel()
        for timer in self.timers.values():
            timer.cancel()
        await self.store.close()

    # What the server tells.

    def accepts(self) -> bool:
        """Whether the decisions may take a txn that wants an entry; where memory's marks do,
        always.
        """
        now = self.clock()
        if now < self.closed_until:
            return False
        return self.terms.prefer or len(self.fates) < FATES_MOST and self.budget.accepts(now)

    def begin(self, mark: bytes, id: str, at: int, until: int, sla: int) -> None:
        """The decisions start it: `hand.run` follows once that is durable, or another word."""
        now = self.clock()
        self.turn += 1
        fate = Fate(
            mark,
            id,
            self.life,
            self.turn,
            at,
            until,
            prefer=self.terms.prefer,
            ask_until=now + int(self.terms.claim_share * sla),
        )
        if self.closed or len(self.fates) >= FATES_MOST or not self.budget.accepts(now):
            if self.terms.prefer:
                self.counts.unkept += 1
                self.hand.run(id)
            else:
                self.counts.refused += 1
                self.hand.refuse(id)
            return
        self.fates[id] = self.marks[mark] = fate
        self.meet(fate, Input.START)

    async def look(self, mark: bytes, id: str, until: int, sla: int) -> None:
        """A marked retry that is not known here: what the store knows of it is made known, if it
        says so in time.
        """
        now = self.clock()
        if (
            self.closed
            or len(self.fates) >= FATES_MOST
            or not self.budget.accepts(now)
            or id in self.fates
        ):
            return
        fate = Fate(
            mark, id, self.life, 0, now, until, ask_until=now + int(self.terms.claim_share * sla)
        )
        self.fates[id] = fate
        self.meet(fate, Input.LOOKED)
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.waiting.setdefault(id, []).append(future)
        await future  # SLOW ends it at the latest

    def left(self, id: str) -> None:
        """The decisions gave it up; what runs runs on."""
        fate = self.fates.get(id)
        if fate is not None:
            self.meet(fate, Input.LEFT)

    def ended(self, id: str, outcome: Outcome, result: bytes) -> None:
        """The executor's word, of a run of a former life too. One that was stopped may have had its
        effect.
        """
        fate = self.fates.get(id)
        if fate is not None:
            points.reached("ended")
            what = {Outcome.OK: Input.PASS, Outcome.NO_LONGER_NEEDED: Input.NOOP}.get(
                outcome, Input.FAIL
            )
            fate.result = result if what is Input.PASS else b""
            self.meet(fate, what)

    def knows(self, id: str) -> bool:
        return id in self.fates

    async def durable(self, mark: bytes, until: int) -> None:
        """Until the end of the mark's run is durable, but not past `until`: its beginning is, so no
        repeat runs.
        """
        fate = self.marks.get(mark)
        if fate is None or fate.state not in (State.RAN, State.ILL):
            return
        wait = until - self.clock()
        if wait > 0:
            future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self.waiting.setdefault(fate.id, []).append(future)
            await asyncio.wait({future}, timeout=wait / SECOND)
            if future.done():
                return
            future.cancel()
        self.counts.held_past += 1
        log.warning("event=record-answered-before id=%s state=%s", fate.id, fate.state.name)

    async def recall(self, mark: bytes, until: int) -> bytes | None:
        """The result that is kept for a mark; None where there is none to give, or it can't be had
        in time.
        """
        if self.recalls >= RECALLS_MOST or self.closed:
            self.counts.recalled_in_vain += 1
            return None
        self.recalls += 1
        try:
            word = await self.find(mark, until)
        finally:
            self.recalls -= 1
        if word.row is not None and word.how is Input.FOUND:
            self.counts.recalled += 1
            return word.row.result
        self.counts.recalled_in_vain += 1
        return None

    async def find(self, mark: bytes, until: int) -> Word:
        """Asks again, ever more slowly, while the store can't be reached and there is time."""
        delay, word = AGAIN_LEAST, Word(Input.LOST)
        while word.how in (Input.LOST, Input.UNSURE) and (wait := until - self.clock()) > 0:
            future: asyncio.Future[Word] = asyncio.get_running_loop().create_future()
            self.store.post(Write(Kind.FIND, self.bare(mark)), partial(tell, future))
            await asyncio.wait({future}, timeout=wait / SECOND)
            if not future.done():
                future.cancel()
                return Word(Input.SLOW)
            word = future.result()
            if word.how in (Input.LOST, Input.UNSURE):
                await asyncio.sleep(delay / SECOND)
                delay = min(AGAIN_MOST, 2 * delay)
        return word

    def verdict(self, mark: bytes, life: int, turn: int, ran: bool) -> None:
        """An operator's word on a doubt; on that claim alone, not on a later one of the same
        mark.
        """
        fate = self.marks.get(mark)
        if (
            fate is not None
            and fate.state in (State.DOUBT, State.OPEN)
            and (fate.life, fate.turn) == (life, turn)
        ):
            log.warning("event=record-resolved mark=%s ran=%s", mark.hex(), ran)
            self.counts.resolved += 1
            self.meet(fate, Input.SAY_RAN if ran else Input.SAY_UNRUN)

    # Within.

    def round(self) -> None:
        self.rounds = asyncio.get_running_loop().call_later(ROUND / SECOND, self.round)
        now = self.clock()
        for fate in [fate for fate in self.fates.values() if fate.until <= now]:
            self.meet(fate, Input.OVER)
        self.do(self.budget.round(now))

    def do(self, effect: str) -> None:
        if effect in ("cut", "cut_longer"):
            log.warning(
                "event=record-cut-off open=%d rest_ms=%d",
                len(self.budget.open),
                self.budget.rest // MS,
            )
        elif effect == "mend":
            log.info("event=record-back cuts=%d", self.budget.cuts)
        elif effect.startswith("beat") and not self.beating:
            self.beating = True
            self.store.beat(self.clock(), self.beaten)

    def beaten(self, good: bool) -> None:
        self.beating = False
        self.do(self.budget.beat_over(self.clock(), good))

    def meet(self, fate: Fate, what: Input) -> None:
        for effect in fate.meet(what, self.clock()):
            getattr(self, "_" + effect)(fate)
        if fate.state is State.ELSE:
            self.wake(fate)
        if fate.state in (State.GONE, State.KEPT, State.SPENT):
            self.drop(fate)

    def drop(self, fate: Fate) -> None:
        if self.fates.get(fate.id) is fate:
            del self.fates[fate.id]
        if self.marks.get(fate.mark) is fate:
            del self.marks[fate.mark]
        self.in_time(fate)
        self.wake(fate)

    def wake(self, fate: Fate) -> None:
        for future in self.waiting.pop(fate.id, ()):
            if not future.done():
                future.set_result(None)

    def later(self, fate: Fate, kind: Kind) -> None:
        delay = min(AGAIN_MOST, AGAIN_LEAST << min(fate.writes, 8))
        asyncio.get_running_loop().call_later(
            delay / SECOND, self.again, fate, kind, fate.writes, fate.state
        )

    def again(self, fate: Fate, kind: Kind, writes: int, state: State) -> None:
        if not self.closed and (fate.writes, fate.state) == (writes, state):
            self.counts.again += 1
            self.write(fate, kind)

    def slow(self, fate: Fate) -> None:
        self.timers.pop(fate.id, None)
        self.counts.late += 1
        self.meet(fate, Input.SLOW)

    def in_time(self, fate: Fate) -> None:
        if (timer := self.timers.pop(fate.id, None)) is not None:
            timer.cancel()

    def bare(self, mark: bytes) -> Row:
        return Row(mark, KEPT, self.node, self.life, 0, "", 0, 0)

    def row(self, fate: Fate) -> Row:
        row = Row(
            fate.mark,
            fate.written,
            self.node,
            fate.life,
            fate.turn,
            fate.id,
            fate.at,
            fate.until,
            fate.result if fate.written is State.KEPT else b"",
        )
        return row._replace(seal=self.sealer.seal(row))

    def write(self, fate: Fate, kind: Kind) -> None:
        """Of the words on a fate only that on its last write counts: an earlier one speaks of what
        is past.
        """
        fate.writes += 1
        turn, began = fate.writes, self.clock()
        number = self.budget.posted(began)

        def done(word: Word) -> None:
            now = self.clock()
            good = word.how not in (Input.LOST, Input.UNSURE, Input.FENCED)
            self.do(self.budget.over(number, now, good))
            observe = (
                self.watch.claim
                if kind is Kind.CLAIM
                else self.watch.finish
                if kind is Kind.FINISH
                else None
            )
            if observe is not None:
                observe(now - began)
            if turn == fate.writes:
                if word.row is not None and word.how is Input.FOUND:
                    fate.result = word.row.result
                self.meet(fate, word.how)

        self.store.post(Write(kind, self.row(fate)), done)

    # Effects of fate.TABLE.

    def _claim(self, fate: Fate) -> None:
        self.counts.claims += 1
        self.limit(fate)
        self.write(fate, Kind.CLAIM)
        points.reached("claim-posted")

    def limit(self, fate: Fate) -> None:
        self.timers[fate.id] = asyncio.get_running_loop().call_later(
            max(0, fate.ask_until - self.clock()) / SECOND, self.slow, fate
        )

    def _look(self, fate: Fate) -> None:
        self.limit(fate)
        self.write(fate, Kind.LOOK)

    def _plant(self, fate: Fate) -> None:
        self.in_time(fate)
        self.counts.taken += 1
        self.marks[fate.mark] = fate
        self.hand.plant(fate.mark, fate.until)

    def _lose(self, fate: Fate) -> None:
        self.hand.lose(fate.mark)

    def _claim_later(self, fate: Fate) -> None:
        self.later(fate, Kind.CLAIM)

    def _run(self, fate: Fate) -> None:
        self.in_time(fate)
        self.hand.run(fate.id)
        points.reached_once_sent("executed")

    def _run_unkept(self, fate: Fate) -> None:
        self.counts.unkept += 1
        self._run(fate)

    def _refuse(self, fate: Fate) -> None:
        self.counts.refused += 1
        self.hand.refuse(fate.id)

    def _unrun(self, fate: Fate) -> None:
        self.hand.unrun(fate.id)

    def _withdraw(self, fate: Fate) -> None:
        self.in_time(fate)
        self.write(fate, Kind.WITHDRAW)

    def _withdraw_later(self, fate: Fate) -> None:
        self.later(fate, Kind.WITHDRAW)

    def _finish(self, fate: Fate) -> None:
        self.write(fate, Kind.FINISH)
        points.reached("finish-posted")

    def _finish_later(self, fate: Fate) -> None:
        self.later(fate, Kind.FINISH)

    def _insert(self, fate: Fate) -> None:
        self.write(fate, Kind.INSERT)

    def _alarm(self, fate: Fate) -> None:
        """Another's row stands where ours should, or we were fenced off: what ran stays
        answered.
        """
        self.counts.conflicts += 1
        log.error(
            "event=record-conflict id=%s mark=%s state=%s",
            fate.id,
            fate.mark.hex(),
            fate.state.name,
        )

    def _copy(self, fate: Fate) -> None:
        self.in_time(fate)
        self.counts.taken += 1
        self.hand.follow(fate.id)

    def _follow(self, fate: Fate) -> None:
        self.later(fate, Kind.LOOK)

    def _follow_later(self, fate: Fate) -> None:
        self.later(fate, Kind.LOOK)

    def _give(self, fate: Fate) -> None:
        self.hand.settle(fate.mark, fate.result)

    def _void(self, fate: Fate) -> None:
        self.hand.settle(fate.mark, None)

    def _freed(self, fate: Fate) -> None:
        self.hand.free(fate.mark)

    def _doubt(self, fate: Fate) -> None:
        self.counts.doubts += 1
        self.hand.settle(fate.mark, None)

    def _found_ran(self, fate: Fate) -> None:
        self.counts.resolved += 1
        self.hand.settle(fate.mark, fate.result)
        self.write(fate, Kind.FINISH)

    def _found_ill(self, fate: Fate) -> None:
        self.counts.resolved += 1
        self.hand.settle(fate.mark, None)
        self.write(fate, Kind.FINISH)

    def _found_unrun(self, fate: Fate) -> None:
        self.counts.resolved += 1
        self.hand.free(fate.mark)
        self.write(fate, Kind.WITHDRAW)

    def _kept(self, fate: Fate) -> None: ...

    def _watch(self, fate: Fate) -> None: ...


def tell(future: asyncio.Future[Word], word: Word) -> None:
    if not future.done():
        future.set_result(word)


# A typo in the table is found at import, not at the first charge that meets the row.
assert all(
    hasattr(Keeper, f"_{effect}") for rows in RULES.values() for row in rows for effect in row[2]
)
