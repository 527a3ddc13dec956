"""Puts the parts together: a request's way through them, the beat of the decisions, and the way
out.
"""

import asyncio
import logging
import math
import socket
import time
from collections.abc import Callable
from dataclasses import replace

from ..discovery import HealthReporter
from ..dispatcher import (
    CallEnded,
    CallRequested,
    Directive,
    DirectiveKind,
    Dispatcher,
    DrainStarted,
    RequestAttempt,
    RequestSlot,
    ResultRecalled,
    RunEnded,
)
from ..downstream import CallStatus, ConnectionPool
from ..executor import ExecutorConnection, RunStatus
from ..interface import Gauges, Idempotency, Outcome, ServerSettings
from ..rpc import IncomingRequest, RequestRules, RpcListener
from ..settings import gauges
from ..sockets import NS_PER_MS, TaskSupervisor, is_out_of_descriptors, sleep_ns
from .configuration import Broken, Orders, read
from .distributing import Distributing, NoDistribution
from .fleeting import Fleeting, NoFleet
from .leveling import Leveling, NoLevels
from .recording import Keeping, NoRecord
from .recovering import NoRecovery, Recovering
from .rolling import NoRolling, Rolling

log = logging.getLogger(__name__)

MOMENT = 10 * NS_PER_MS
GAUGES_WAIT = 30 * NS_PER_MS  # gauges later than this are of another moment
UNWANTED_WAIT = 250 * NS_PER_MS
RESULTS_SHARE = 8  # one part in this many of our own memory, for results that repeats may ask for
RESERVE = (
    64  # descriptors, at least, for the link, calls, reports and what the process itself holds
)
# of them without the calls on their way: what the process holds, and connections kept for calls
OWN = 32
LAST_WRITES = (
    250 * NS_PER_MS
)  # before the kill: what the last answers and this process need to get out
RUN_OUTCOME = {
    RunStatus.PASSED: Outcome.OK,
    RunStatus.FAILED: Outcome.FAILED,
    RunStatus.KILLED: Outcome.ABANDONED,
    RunStatus.NO_LONGER_NEEDED: Outcome.NO_LONGER_NEEDED,
    RunStatus.REJECTED: Outcome.NO_LONGER_NEEDED,
}
CALL_OUTCOME = {
    CallStatus.OK: Outcome.OK,
    CallStatus.REJECTED: Outcome.OVERLOADED,
    CallStatus.NO_LONGER_NEEDED: Outcome.NO_LONGER_NEEDED,
    CallStatus.UNREACHABLE: Outcome.UNREACHABLE,
    CallStatus.FAILED: Outcome.FAILED,
    CallStatus.TIMED_OUT: Outcome.TIMED_OUT,
    CallStatus.CONNECTION_LOST: Outcome.CONNECTION_LOST,
}


class Clock:
    """Unix time in whole nanoseconds that never steps back, whatever is done to the system's
    clock.
    """

    def __init__(self) -> None:
        self.last = 0

    def __call__(self) -> int:
        self.last = max(self.last, time.time_ns())
        return self.last


def room(sockets: int, facts: ServerSettings) -> int:
    """How many connections of balancers there may be: so many calls as may be in hand find a
    descriptor besides.
    """
    calls = facts.call_quota or facts.max_runs_per_core * facts.cores
    return max(sockets - max(RESERVE, OWN + math.ceil(calls)), sockets // 2)


def answer(asked: IncomingRequest, step: Directive) -> None:
    match step.kind:
        case DirectiveKind.COMPLETE | DirectiveKind.COMPLETE_AS_ORIGINAL:
            asked.complete(step.body)
        case DirectiveKind.REJECT:
            asked.reject(step.retry_after_ns, step.is_final)
        case _:
            asked.fail()


class Server:
    def __init__(
        self,
        orders: Orders,
        listener: socket.socket,
        keeping: Callable[["Server"], Keeping] | None = None,
        leveling: Callable[["Server"], Leveling] | None = None,
        fleeting: Callable[["Server"], Fleeting] | None = None,
        recovering: Callable[["Server"], Recovering] | None = None,
        rolling: Callable[["Server"], Rolling] | None = None,
        distributing: Callable[["Server"], Distributing] | None = None,
    ) -> None:
        self.orders, self.clock, self.tasks = orders, Clock(), TaskSupervisor()
        self.leaving = False
        self.record: Keeping = keeping(self) if keeping is not None else NoRecord(self.execute)
        self.distribution: Distributing = (
            distributing(self) if distributing is not None else NoDistribution()
        )
        self.levels: Leveling = leveling(self) if leveling is not None else NoLevels()
        self.recovery: Recovering = recovering(self) if recovering is not None else NoRecovery()
        self.fleet: Fleeting = fleeting(self) if fleeting is not None else NoFleet()
        self.rolling: Rolling = rolling(self) if rolling is not None else NoRolling()
        self.class_index = {name: index for index, name in enumerate(orders.products)}
        keyed = {
            name: orders.facts.request_classes[index].idempotency is Idempotency.KEYED
            for name, index in self.class_index.items()
        }
        self.desk: Dispatcher | None = None
        self.serving: dict[str, IncomingRequest] = {}
        self.over = asyncio.Event()
        self.address = listener.getsockname()
        known = RequestRules(
            keyed,
            self.distribution.tenants(orders.tenants),
            max(product.deadline_ns for product in orders.facts.request_classes),
        )
        self.front = RpcListener(
            listener,
            known,
            room(orders.sockets, orders.facts),
            self.tasks,
            self.clock,
            self.asked,
            self.lost,
            self.serves,
            self.good,
            self.said,
        )
        spare = self.front.free_descriptor
        self.link = ExecutorConnection(
            orders.executor, self.tasks, self.welcome, self.run_ended, self.at_call, spare
        )
        self.pool = self.fleet.pool(ConnectionPool(orders.catalogue, spare))
        self.reports = HealthReporter(orders.naming, orders.name)

    async def run(self) -> None:
        await self.record.open()
        await self.fleet.open()
        await self.distribution.open()
        self.front.listen()
        self.tasks.start(self.link.maintain(), "executor")
        self.tasks.start(self.reports.run(), "naming")
        self.tasks.start(self.front.run(), "front")
        self.rolling.open()
        log.info("event=listening name=%s address=%s:%d", self.orders.name, *self.address)
        await self.over.wait()
        await self.rolling.close()
        self.levels.close()
        self.recovery.close()
        self.fleet.close()
        self.distribution.close()
        await self.record.close()
        log.info(
            "event=stopped unanswered=%d", self.desk.unanswered if self.desk is not None else 0
        )

    def reload(self) -> None:
        """Takes up the addresses that the configuration now names; all else holds until the next
        start.
        """
        try:
            try:
                orders = read()
            except Broken as error:
                # The file itself wants a descriptor: idle clients that hold them all must not hide
                # where all went.
                if not is_out_of_descriptors(error.__cause__) or not self.front.free_descriptor():
                    raise
                orders = read()
        except Broken as error:
            log.warning("event=reload-failed detail=%r", str(error))
            return
        self.link.change_address(orders.executor)
        self.pool.change_address(orders.catalogue)
        self.reports.change_address(orders.naming)
        self.front.max_connections = room(orders.sockets, orders.facts)
        log.info(
            "event=reloaded executor=%s:%d catalogue=%s naming=%s:%d",
            *orders.executor,
            "%s:%d" % orders.catalogue if orders.catalogue is not None else "none",
            *orders.naming,
        )

    # A request's way.

    def serves(self, id: str) -> bool:
        return id in self.serving or self.desk is not None and self.desk.has_request(id)

    def said(self, caller: str) -> str:
        if self.desk is None:
            return ""
        part = self.desk.service_level.trial_share
        return (
            self.desk.trial_load_report
            if part and self.levels.lot(caller) < part
            else self.desk.load_report
        )

    def lost(self, asked: IncomingRequest) -> None:
        if self.desk is not None and self.desk.has_request(asked.id):
            self.desk.cancel_request(asked.id)
        else:
            self.serving.pop(asked.id, None)  # it is being looked up, for nobody now
            self.record.answered(asked.id)

    def asked(self, asked: IncomingRequest) -> None:
        if self.desk is None:
            asked.reject(0, False)
            return
        tried = RequestAttempt(
            asked.id,
            asked.sent_at_ns,
            asked.caller,
            self.class_index[asked.request_class],
            asked.cost_ns,
            asked.memory_kb,
            asked.priority,
            asked.idempotency_key,
            asked.cache_key,
            asked.body,
            self.record.accepts(),
            asked.is_retry,
            self.levels.over(asked.tenant),
            self.levels.lot(asked.caller),
            self.recovery.holds_back(asked.is_retry),
        )
        if asked.is_retry and self.record.looks and (mark := self.desk.unknown_key(tried)):
            self.serving[asked.id] = asked
            self.tasks.start(self.look(self.desk, asked, tried, mark), "look")
        else:
            self.take(self.desk, asked, tried)

    async def look(
        self, desk: Dispatcher, asked: IncomingRequest, tried: RequestAttempt, mark: bytes
    ) -> None:
        """Another node may have run it: one that ran is not refused."""
        await self.record.look(mark, asked.id, asked.sent_at_ns, tried.request_class)
        if self.serving.pop(asked.id, None) is not None:
            self.take(desk, asked, tried)

    def take(self, desk: Dispatcher, asked: IncomingRequest, tried: RequestAttempt) -> None:
        if asked.is_retry and self.recovery.fenced() and desk.unknown_key(tried):
            # It may have run in a life whose marks are lost: neither run again nor refused.
            asked.fail()
            self.record.answered(asked.id)
            return
        step = desk.submit(tried)
        if isinstance(step, Directive):
            answer(asked, step)
            self.rolling.answered(step.kind, tried.request_class, asked.sent_at_ns)
            self.record.answered(asked.id)
            return
        self.serving[asked.id] = asked
        self.tasks.start(self.serve(desk, asked, step), "request")

    async def serve(self, desk: Dispatcher, asked: IncomingRequest, seat: RequestSlot) -> None:
        below: asyncio.Task[None] | None = None
        answered = False
        product = self.class_index[asked.request_class]
        try:
            while not answered:
                step = await desk.next_directive(seat)
                match step.kind:
                    case DirectiveKind.RUN:
                        self.record.begin(step.key_digest, asked.id, asked.sent_at_ns, product)
                    case DirectiveKind.CALL:
                        below = self.tasks.start(self.call(desk, asked.id, step), "call")
                    case DirectiveKind.RECALL_RESULT:
                        below = self.tasks.start(
                            self.recall(desk, asked, step.key_digest), "recall"
                        )
                    case _:
                        if step.kind in (
                            DirectiveKind.COMPLETE,
                            DirectiveKind.COMPLETE_AS_ORIGINAL,
                        ):
                            await self.record.durable(step.key_digest, asked.sent_at_ns, product)
                            self.levels.settled(product, asked.sent_at_ns)
                        answered = True
                        answer(asked, step)
                        self.rolling.answered(step.kind, product, asked.sent_at_ns)
                        self.record.answered(asked.id)
        finally:
            if not answered:
                asked.fail()
            if below is not None:
                below.cancel()
            self.serving.pop(asked.id, None)

    async def recall(self, desk: Dispatcher, asked: IncomingRequest, mark: bytes) -> None:
        deadline = self.orders.facts.request_classes[
            self.class_index[asked.request_class]
        ].deadline_ns
        desk.handle_event(
            ResultRecalled(asked.id, await self.record.recall(mark, asked.sent_at_ns + deadline))
        )

    def execute(self, id: str) -> None:
        """Its run may begin now. Where its connection went meanwhile it runs all the same: it was
        started.
        """
        asked = self.serving.get(id)
        if asked is not None:
            self.link.start_run(id, asked.request_class, asked.body)
        else:
            self.run_ended(id, RunStatus.NO_LONGER_NEEDED, 0, b"")

    async def call(self, desk: Dispatcher, id: str, step: Directive) -> None:
        began = self.clock()
        if not self.fleet.may_call():
            desk.handle_event(CallEnded(id, Outcome.OVERLOADED, 0))
            return
        answer, reply = await self.pool.call(
            id, step.body, step.give_up_at_ns - began, step.is_repeatable
        )
        if answer is CallStatus.OK:
            self.link.send_call_result(id, reply)
        else:
            took = (self.clock() - began) // NS_PER_MS
            log.info("event=call-failed id=%s answer=%s ms=%d", id, answer.value, took)
        if answer is CallStatus.NO_LONGER_NEEDED:
            # No run waits for it, so the end of the run is on its way, and cancels this. Told at
            # once, the decisions would call again and again, and soon take the catalogue for one
            # that is down.
            await sleep_ns(UNWANTED_WAIT)
        self.levels.called(answer is CallStatus.OK)
        self.recovery.called(answer is CallStatus.OK)
        desk.handle_event(CallEnded(id, CALL_OUTCOME[answer], self.clock() - began))

    def ready(self) -> bool:
        return self.desk is not None

    def well(self) -> bool:
        """Callers are sent here, and our way back is over."""
        return self.good() and self.recovery.back()

    def good(self) -> bool:
        return self.desk is not None and self.desk.is_healthy and not self.leaving

    # What the executor says.

    def welcome(self, cold: bool, age_ms: int) -> None:
        if self.desk is not None or self.leaving:
            return
        log.info("event=welcome cold=%s age_ms=%d", cold, age_ms)
        facts = replace(self.orders.facts, starts_cold=cold)
        results = self.orders.memory // RESULTS_SHARE
        self.desk = Dispatcher(
            facts,
            self.orders.products,
            self.orders.seed,
            self.clock,
            age_ms * NS_PER_MS,
            results,
            self.record.recalls,
        )
        self.levels.begin_desk(self.desk, cold, self.record)
        self.recovery.begin_desk(self.desk, self.record.life)
        self.fleet.begin_desk(self.desk)
        self.record.begin_desk(self.desk, self.clock() - age_ms * NS_PER_MS)
        self.reports.report_health(True)
        self.tasks.start(self.beat(self.desk), "beat")

    def run_ended(self, id: str, end: RunStatus, took: int, result: bytes) -> None:
        if end is RunStatus.REJECTED and id in self.serving:
            self.serving[id].report_unknown()
        self.record.ended(id, RUN_OUTCOME[end], result)
        if self.desk is not None:
            self.desk.handle_event(RunEnded(id, RUN_OUTCOME[end], took, result))

    def at_call(self, id: str, body: bytes) -> None:
        if self.desk is not None:
            self.desk.handle_event(CallRequested(id, body))

    async def beat(self, desk: Dispatcher) -> None:
        due = desk.fire_due_timers(Gauges())
        while True:
            await sleep_ns(due - self.clock())
            try:
                values = await self.link.query_gauges(GAUGES_WAIT)
                told = values is not None and len(values) == len(self.orders.meters)
                measured = (
                    gauges(self.orders.meters, values) if told and values is not None else Gauges()
                )
                due = desk.fire_due_timers(measured)
                self.levels.round(measured)
                self.recovery.round()
                self.reports.report_health(self.good())
                self.front.idle_timeout_ns = desk.idle_timeout_ns
                self.pool.close_expired()
            except Exception:
                # The next round is due all the same: without it no request in hand would ever be
                # given up.
                log.exception("event=fault side=beat")
                due = desk.next_timer_ns

    # The way out.

    def leave(self, noticed: int = 0) -> None:
        """`noticed`: when the clock was last looked at before the notice was heard. It was sent
        after that; by how much, a process that had stood still can't tell, and counts grace and
        kill from the earlier.
        """
        if self.leaving:
            return
        self.leaving = True
        now = noticed or self.clock()
        stop = now + max(self.orders.stop - LAST_WRITES, 0)
        log.info("event=leaving stop_ms=%d", self.orders.stop // NS_PER_MS)
        if self.desk is not None:
            self.desk.handle_event(DrainStarted(now, stop))
            self.reports.report_health(False)
        self.tasks.start(self.drain(now, stop), "drain")

    async def drain(self, now: int, stop: int) -> None:
        """Serves on while newcomers may still be run; then asks the callers to go and waits for
        them.
        """
        if self.desk is not None:
            serve_until = min(now + self.orders.facts.drain_grace_ns, stop - 2 * LAST_WRITES)
            await sleep_ns(serve_until - self.clock())
        self.front.start_drain()
        while self.front.connections and self.clock() < stop:
            await sleep_ns(MOMENT)
        while (
            self.front.has_open_requests or self.serving
        ) and self.clock() < stop + LAST_WRITES // 2:
            await sleep_ns(MOMENT)
        await self.front.close(stop + LAST_WRITES * 3 // 4 - self.clock())
        self.over.set()
