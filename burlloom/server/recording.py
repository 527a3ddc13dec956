"""Between the server and its store of record: who keeps a charge, and what the store's words mean
to the desk.

Where no record is kept, `NoRecord` stands here, and nothing of the record is imported.
"""

import logging
from collections.abc import Callable
from itertools import chain
from typing import TYPE_CHECKING, Protocol

from ..dispatcher import Dispatcher, PackedKeyDigests, RunEnded
from ..interface import Idempotency, Outcome, RequestClass
from ..sockets import NS_PER_MS
from .configuration import Broken

if TYPE_CHECKING:
    from ..metrics import Exposed
    from ..record.keeper import Keeper

log = logging.getLogger(__name__)

WAY_OUT = 100 * NS_PER_MS  # that an answer keeps to its expiry, whatever it waits for


class Keeping(Protocol):
    """What the server asks of its record, on a txn's way."""

    recalls: bool
    looks: bool  # whether a retry that is not known here may be known to the record
    life: int  # of this node in the store, from 1; -1 where there is none
    noted: str  # what this node's last life left to this one

    async def open(self) -> None: ...
    def note(self, text: str) -> None: ...
    def begin_desk(self, desk: Dispatcher, executor_began: int) -> None: ...
    def accepts(self) -> bool: ...
    def begin(self, mark: bytes, id: str, at: int, product: int) -> None: ...
    def ended(self, id: str, outcome: Outcome, result: bytes) -> None: ...
    async def durable(self, mark: bytes, at: int, product: int) -> None: ...
    async def look(self, mark: bytes, id: str, at: int, product: int) -> None: ...
    def answered(self, id: str) -> None: ...
    async def recall(self, mark: bytes, until: int) -> bytes | None: ...
    async def close(self) -> None: ...


class NoRecord:
    """Memory's marks alone: every run begins at once."""

    recalls = looks = False
    life = -1
    noted = ""

    def __init__(self, execute: Callable[[str], None]) -> None:
        self.execute = execute

    async def open(self) -> None:
        pass

    def note(self, text: str) -> None:
        pass

    def begin_desk(self, desk: Dispatcher, executor_began: int) -> None:
        pass

    def accepts(self) -> bool:
        return True

    def begin(self, mark: bytes, id: str, at: int, product: int) -> None:
        self.execute(id)

    def ended(self, id: str, outcome: Outcome, result: bytes) -> None:
        pass

    async def durable(self, mark: bytes, at: int, product: int) -> None:
        pass

    async def look(self, mark: bytes, id: str, at: int, product: int) -> None:
        pass

    def answered(self, id: str) -> None:
        pass

    async def recall(self, mark: bytes, until: int) -> bytes | None:
        return None

    async def close(self) -> None:
        pass


class Recorded:
    """Referenced txns run only once their claim is durable; implements `record.Hand`."""

    recalls = True

    def __init__(
        self,
        products: tuple[RequestClass, ...],
        hold_share: float,
        clock: Callable[[], int],
        execute: Callable[[str], None],
        looks: bool,
    ) -> None:
        """`looks`: other nodes write to the record too."""
        from ..record import points

        self.points, self.looks = points, looks
        self.products, self.hold_share, self.clock, self.execute = (
            products,
            hold_share,
            clock,
            execute,
        )
        self.keeper: Keeper
        self.exposed: Exposed | None = None
        self.desk: Dispatcher | None = None
        self.former = PackedKeyDigests()
        self.noted, self.life = "", -1

    def note(self, text: str) -> None:
        self.keeper.store.note(text)

    async def open(self) -> None:
        from ..record.store import Refused

        began = self.clock()
        try:
            opened = await self.keeper.open()
        except Refused as error:
            raise Broken(str(error)) from error
        self.noted, self.life = self.keeper.noted, self.keeper.life
        self.former = PackedKeyDigests(chain.from_iterable(self.keeper.read_back()))
        await self.keeper.start()
        log.info(
            "event=record-open node=%s life=%d shift_ms=%d migrated=%s marks=%d begun=%d ms=%d",
            opened.node,
            opened.life,
            opened.shift // NS_PER_MS,
            ",".join(map(str, opened.migrated)) or "-",
            len(self.former),
            len(self.keeper.began),
            (self.clock() - began) // NS_PER_MS,
        )

    def begin_desk(self, desk: Dispatcher, executor_began: int) -> None:
        self.desk = desk
        desk.idempotency_table.restore_ended_keys(self.former)
        for mark, until, asked in self.keeper.executor(executor_began):
            desk.idempotency_table.restore_open_key(mark, until, not asked)

    def accepts(self) -> bool:
        return self.keeper.accepts()

    def begin(self, mark: bytes, id: str, at: int, product: int) -> None:
        known = self.products[product]
        if known.idempotency is Idempotency.KEYED:
            self.keeper.begin(
                mark, id, at, at + known.idempotency_window_ns, known.latency_objective_ns
            )
        else:
            self.execute(id)

    def ended(self, id: str, outcome: Outcome, result: bytes) -> None:
        self.keeper.ended(id, outcome, result)

    async def durable(self, mark: bytes, at: int, product: int) -> None:
        known = self.products[product]
        if known.idempotency is Idempotency.KEYED:
            until = min(
                self.clock() + int(self.hold_share * known.latency_objective_ns),
                at + known.deadline_ns - WAY_OUT,
            )
            await self.keeper.durable(mark, until)
            self.points.reached("answering")

    def answered(self, id: str) -> None:
        self.keeper.left(id)
        self.points.reached_once_sent("answered")

    async def look(self, mark: bytes, id: str, at: int, product: int) -> None:
        known = self.products[product]
        await self.keeper.look(
            mark, id, at + known.idempotency_window_ns, known.latency_objective_ns
        )

    async def recall(self, mark: bytes, until: int) -> bytes | None:
        return await self.keeper.recall(mark, until - WAY_OUT)

    async def close(self) -> None:
        await self.keeper.close()
        counts = self.keeper.counts
        log.info(
            "event=record-closed-down claims=%d refused=%d late=%d unkept=%d taken=%d recalled=%d doubts=%d"
            " resolved=%d altered=%d conflicts=%d answered_before=%d",
            counts.claims,
            counts.refused,
            counts.late,
            counts.unkept,
            counts.taken,
            counts.recalled,
            counts.doubts,
            counts.resolved,
            counts.altered,
            counts.conflicts,
            counts.held_past,
        )
        if self.exposed is not None:
            self.exposed.close()

    # What the keeper tells.

    def run(self, id: str) -> None:
        self.execute(id)

    def refuse(self, id: str) -> None:
        self.report(id, Outcome.NOT_RECORDED)

    def unrun(self, id: str) -> None:
        self.report(id, Outcome.NO_LONGER_NEEDED)

    def follow(self, id: str) -> None:
        self.report(id, Outcome.CLAIMED_ELSEWHERE)

    def report(self, id: str, outcome: Outcome) -> None:
        if self.desk is not None:
            self.desk.handle_event(RunEnded(id, outcome, 0, b""))

    def settle(self, mark: bytes, result: bytes | None) -> None:
        if self.desk is not None:
            self.desk.complete_key(mark, result)

    def free(self, mark: bytes) -> None:
        if self.desk is not None:
            self.desk.release_key(mark)

    def plant(self, mark: bytes, until: int) -> None:
        if self.desk is not None:
            self.desk.idempotency_table.restore_open_key(mark, until, False)

    def lose(self, mark: bytes) -> None:
        if self.desk is not None:
            self.desk.abandon_key(mark)
