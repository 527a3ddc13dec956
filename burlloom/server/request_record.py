"""Between the server and its store of record: who keeps a charge, and what the store's words mean
to the desk.

Where no record is kept, `NoRecord` stands here, and nothing of the record is imported.
"""

import logging
from collections.abc import Callable
from itertools import chain
from typing import TYPE_CHECKING, Protocol

from ..admission.model import Idempotency, Outcome, RequestClass
from ..dispatcher import Dispatcher, PackedKeyDigests, RunEnded
from ..sockets import NS_PER_MS
from .configuration import ConfigurationError

if TYPE_CHECKING:
    from ..metrics import Exposed
    from ..record.coordinator import RecordCoordinator

log = logging.getLogger(__name__)

WAY_OUT = 100 * NS_PER_MS  # that an answer keeps to its expiry, whatever it waits for


class RequestRecord(Protocol):
    """What the server asks of its record, on a txn's way."""

    keeps_results: bool
    is_shared: bool  # whether a retry that is not known here may be known to the record
    incarnation: int  # of this node in the store, from 1; -1 where there is none
    previous_note: str  # what this node's last life left to this one

    async def open(self) -> None: ...
    def write_note(self, text: str) -> None: ...
    def attach_dispatcher(self, desk: Dispatcher, executor_began: int) -> None: ...
    def accepts_claims(self) -> bool: ...
    def begin_run(self, mark: bytes, id: str, at: int, product: int) -> None: ...
    def run_ended(self, id: str, outcome: Outcome, result: bytes) -> None: ...
    async def wait_until_durable(self, mark: bytes, at: int, product: int) -> None: ...
    async def look_up(self, mark: bytes, id: str, at: int, product: int) -> None: ...
    def request_answered(self, id: str) -> None: ...
    async def read_result(self, mark: bytes, until: int) -> bytes | None: ...
    async def close(self) -> None: ...


class NoRequestRecord:
    """Memory's marks alone: every run begins at once."""

    keeps_results = is_shared = False
    incarnation = -1
    previous_note = ""

    def __init__(self, execute: Callable[[str], None]) -> None:
        self.execute = execute

    async def open(self) -> None:
        pass

    def write_note(self, text: str) -> None:
        pass

    def attach_dispatcher(self, desk: Dispatcher, executor_began: int) -> None:
        pass

    def accepts_claims(self) -> bool:
        return True

    def begin_run(self, mark: bytes, id: str, at: int, product: int) -> None:
        self.execute(id)

    def run_ended(self, id: str, outcome: Outcome, result: bytes) -> None:
        pass

    async def wait_until_durable(self, mark: bytes, at: int, product: int) -> None:
        pass

    async def look_up(self, mark: bytes, id: str, at: int, product: int) -> None:
        pass

    def request_answered(self, id: str) -> None:
        pass

    async def read_result(self, mark: bytes, until: int) -> bytes | None:
        return None

    async def close(self) -> None:
        pass


class ConfiguredRequestRecord:
    """Referenced txns run only once their claim is durable; implements `record.Hand`."""

    keeps_results = True

    def __init__(
        self,
        products: tuple[RequestClass, ...],
        hold_share: float,
        clock: Callable[[], int],
        execute: Callable[[str], None],
        looks: bool,
    ) -> None:
        """`looks`: other nodes write to the record too."""
        from ..record import failpoints as points

        self.points, self.is_shared = points, looks
        self.products, self.hold_share, self.clock, self.execute = (
            products,
            hold_share,
            clock,
            execute,
        )
        self.keeper: RecordCoordinator
        self.exposed: Exposed | None = None
        self.desk: Dispatcher | None = None
        self.former = PackedKeyDigests()
        self.previous_note, self.incarnation = "", -1

    def write_note(self, text: str) -> None:
        self.keeper.store.save_notice(text)

    async def open(self) -> None:
        from ..record.store import StoreRefusedError

        began = self.clock()
        try:
            opened = await self.keeper.open()
        except StoreRefusedError as error:
            raise ConfigurationError(str(error)) from error
        self.previous_note, self.incarnation = self.keeper.previous_notice, self.keeper.incarnation
        self.former = PackedKeyDigests(chain.from_iterable(self.keeper.read_recorded_keys()))
        await self.keeper.start()
        log.info(
            "event=record-open node=%s life=%d shift_ms=%d migrated=%s marks=%d begun=%d ms=%d",
            opened.node,
            opened.incarnation,
            opened.clock_shift_ns // NS_PER_MS,
            ",".join(map(str, opened.migrated)) or "-",
            len(self.former),
            len(self.keeper.started_rows),
            (self.clock() - began) // NS_PER_MS,
        )

    def attach_dispatcher(self, desk: Dispatcher, executor_began: int) -> None:
        self.desk = desk
        desk.idempotency_table.restore_ended_keys(self.former)
        for mark, until, asked in self.keeper.resume_after_restart(executor_began):
            desk.idempotency_table.restore_open_key(mark, until, not asked)

    def accepts_claims(self) -> bool:
        return self.keeper.may_claim()

    def begin_run(self, mark: bytes, id: str, at: int, product: int) -> None:
        known = self.products[product]
        if known.idempotency is Idempotency.KEYED:
            self.keeper.begin_claim(
                mark, id, at, at + known.idempotency_window_ns, known.latency_objective_ns
            )
        else:
            self.execute(id)

    def run_ended(self, id: str, outcome: Outcome, result: bytes) -> None:
        self.keeper.finish_run(id, outcome, result)

    async def wait_until_durable(self, mark: bytes, at: int, product: int) -> None:
        known = self.products[product]
        if known.idempotency is Idempotency.KEYED:
            until = min(
                self.clock() + int(self.hold_share * known.latency_objective_ns),
                at + known.deadline_ns - WAY_OUT,
            )
            await self.keeper.wait_until_durable(mark, until)
            self.points.hit("answering")

    def request_answered(self, id: str) -> None:
        self.keeper.abandon(id)
        self.points.hit_after_send("answered")

    async def look_up(self, mark: bytes, id: str, at: int, product: int) -> None:
        known = self.products[product]
        await self.keeper.look_up(
            mark, id, at + known.idempotency_window_ns, known.latency_objective_ns
        )

    async def read_result(self, mark: bytes, until: int) -> bytes | None:
        return await self.keeper.fetch_result(mark, until - WAY_OUT)

    async def close(self) -> None:
        await self.keeper.close()
        counts = self.keeper.counters
        log.info(
            "event=record-closed-down claims=%d refused=%d late=%d unkept=%d taken=%d recalled=%d doubts=%d"
            " resolved=%d altered=%d conflicts=%d answered_before=%d",
            counts.claims,
            counts.rejected,
            counts.store_timeouts,
            counts.unrecorded_runs,
            counts.claimed_elsewhere,
            counts.results_fetched,
            counts.doubts,
            counts.resolved,
            counts.altered_rows,
            counts.conflicts,
            counts.answered_before_durable,
        )
        if self.exposed is not None:
            self.exposed.close()

    # What the keeper tells.

    def start_run(self, id: str) -> None:
        self.execute(id)

    def reject(self, id: str) -> None:
        self.report(id, Outcome.NOT_RECORDED)

    def report_never_ran(self, id: str) -> None:
        self.report(id, Outcome.NO_LONGER_NEEDED)

    def report_claimed_elsewhere(self, id: str) -> None:
        self.report(id, Outcome.CLAIMED_ELSEWHERE)

    def report(self, id: str, outcome: Outcome) -> None:
        if self.desk is not None:
            self.desk.handle_event(RunEnded(id, outcome, 0, b""))

    def complete(self, mark: bytes, result: bytes | None) -> None:
        if self.desk is not None:
            self.desk.complete_key(mark, result)

    def release(self, mark: bytes) -> None:
        if self.desk is not None:
            self.desk.release_key(mark)

    def register(self, mark: bytes, until: int) -> None:
        if self.desk is not None:
            self.desk.idempotency_table.restore_open_key(mark, until, False)

    def forget(self, mark: bytes) -> None:
        if self.desk is not None:
            self.desk.abandon_key(mark)
