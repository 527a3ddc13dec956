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

from ..admission.model import Gauges, Idempotency, Outcome, ServerSettings
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
from ..rpc import IncomingRequest, RequestRules, RpcListener
from ..settings import parse_gauges
from ..sockets import NS_PER_MS, TaskSupervisor, is_out_of_descriptors, sleep_ns
from .configuration import ConfigurationError, ServerConfig, read_config
from .configuration_distribution import ConfigurationDistribution, NoConfigurationDistribution
from .membership import FleetMembership, NoFleetMembership
from .recovery import NoRestartRecovery, RestartRecovery
from .request_record import NoRequestRecord, RequestRecord
from .rollout import NoRolloutParticipation, RolloutParticipation
from .service_levels import NoServiceLevels, ServiceLevels

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
        self.last_ns = 0

    def __call__(self) -> int:
        self.last_ns = max(self.last_ns, time.time_ns())
        return self.last_ns


def max_connections(sockets: int, facts: ServerSettings) -> int:
    """How many connections of balancers there may be: so many calls as may be in hand find a
    descriptor besides.
    """
    calls = facts.call_quota or facts.max_runs_per_core * facts.cores
    return max(sockets - max(RESERVE, OWN + math.ceil(calls)), sockets // 2)


def send_answer(asked: IncomingRequest, step: Directive) -> None:
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
        orders: ServerConfig,
        listener: socket.socket,
        keeping: Callable[["Server"], RequestRecord] | None = None,
        leveling: Callable[["Server"], ServiceLevels] | None = None,
        fleeting: Callable[["Server"], FleetMembership] | None = None,
        recovering: Callable[["Server"], RestartRecovery] | None = None,
        rolling: Callable[["Server"], RolloutParticipation] | None = None,
        distributing: Callable[["Server"], ConfigurationDistribution] | None = None,
    ) -> None:
        self.config, self.clock, self.tasks = orders, Clock(), TaskSupervisor()
        self.is_shutting_down = False
        self.record: RequestRecord = (
            keeping(self) if keeping is not None else NoRequestRecord(self.start_run)
        )
        self.distribution: ConfigurationDistribution = (
            distributing(self) if distributing is not None else NoConfigurationDistribution()
        )
        self.levels: ServiceLevels = leveling(self) if leveling is not None else NoServiceLevels()
        self.recovery: RestartRecovery = (
            recovering(self) if recovering is not None else NoRestartRecovery()
        )
        self.membership: FleetMembership = (
            fleeting(self) if fleeting is not None else NoFleetMembership()
        )
        self.rollout: RolloutParticipation = (
            rolling(self) if rolling is not None else NoRolloutParticipation()
        )
        self.class_index = {name: index for index, name in enumerate(orders.class_names)}
        keyed = {
            name: orders.settings.request_classes[index].idempotency is Idempotency.KEYED
            for name, index in self.class_index.items()
        }
        self.desk: Dispatcher | None = None
        self.open_requests: dict[str, IncomingRequest] = {}
        self.stopped = asyncio.Event()
        self.address = listener.getsockname()
        known = RequestRules(
            keyed,
            self.distribution.served_tenants(orders.tenant_portions),
            max(product.deadline_ns for product in orders.settings.request_classes),
        )
        self.front = RpcListener(
            listener,
            known,
            max_connections(orders.max_sockets, orders.settings),
            self.tasks,
            self.clock,
            self.receive,
            self.connection_lost,
            self.is_serving,
            self.is_healthy,
            self.load_report,
        )
        spare = self.front.free_descriptor
        self.link = ExecutorConnection(
            orders.executor_address,
            self.tasks,
            self.executor_welcomed,
            self.run_ended,
            self.run_reached_call,
            spare,
        )
        self.pool = self.membership.select_pool(ConnectionPool(orders.downstream_address, spare))
        self.reports = HealthReporter(orders.discovery_address, orders.name)

    async def run(self) -> None:
        await self.record.open()
        await self.membership.open()
        await self.distribution.open()
        self.front.listen()
        self.tasks.start(self.link.maintain(), "executor")
        self.tasks.start(self.reports.run(), "naming")
        self.tasks.start(self.front.run(), "front")
        self.rollout.open()
        log.info("event=listening name=%s address=%s:%d", self.config.name, *self.address)
        await self.stopped.wait()
        await self.rollout.close()
        self.levels.close()
        self.recovery.close()
        self.membership.close()
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
                orders = read_config()
            except ConfigurationError as error:
                # The file itself wants a descriptor: idle clients that hold them all must not hide
                # where all went.
                if not is_out_of_descriptors(error.__cause__) or not self.front.free_descriptor():
                    raise
                orders = read_config()
        except ConfigurationError as error:
            log.warning("event=reload-failed detail=%r", str(error))
            return
        self.link.change_address(orders.executor_address)
        self.pool.change_address(orders.downstream_address)
        self.reports.change_address(orders.discovery_address)
        self.front.max_connections = max_connections(orders.max_sockets, orders.settings)
        log.info(
            "event=reloaded executor=%s:%d catalogue=%s naming=%s:%d",
            *orders.executor_address,
            "%s:%d" % orders.downstream_address
            if orders.downstream_address is not None
            else "none",
            *orders.discovery_address,
        )

    # A request's way.

    def is_serving(self, id: str) -> bool:
        return id in self.open_requests or self.desk is not None and self.desk.has_request(id)

    def load_report(self, caller: str) -> str:
        if self.desk is None:
            return ""
        part = self.desk.service_level.trial_share
        return (
            self.desk.trial_load_report
            if part and self.levels.sampling_draw(caller) < part
            else self.desk.load_report
        )

    def connection_lost(self, asked: IncomingRequest) -> None:
        if self.desk is not None and self.desk.has_request(asked.id):
            self.desk.cancel_request(asked.id)
        else:
            self.open_requests.pop(asked.id, None)  # it is being looked up, for nobody now
            self.record.request_answered(asked.id)

    def receive(self, asked: IncomingRequest) -> None:
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
            self.record.accepts_claims(),
            asked.is_retry,
            self.levels.count_request(asked.tenant),
            self.levels.sampling_draw(asked.caller),
            self.recovery.holds_back_retry(asked.is_retry),
        )
        if asked.is_retry and self.record.is_shared and (mark := self.desk.unknown_key(tried)):
            self.open_requests[asked.id] = asked
            self.tasks.start(self.look_up(self.desk, asked, tried, mark), "look")
        else:
            self.dispatch(self.desk, asked, tried)

    async def look_up(
        self, desk: Dispatcher, asked: IncomingRequest, tried: RequestAttempt, mark: bytes
    ) -> None:
        """Another node may have run it: one that ran is not refused."""
        await self.record.look_up(mark, asked.id, asked.sent_at_ns, tried.request_class)
        if self.open_requests.pop(asked.id, None) is not None:
            self.dispatch(desk, asked, tried)

    def dispatch(self, desk: Dispatcher, asked: IncomingRequest, tried: RequestAttempt) -> None:
        if asked.is_retry and self.recovery.is_fenced() and desk.unknown_key(tried):
            # It may have run in a life whose marks are lost: neither run again nor refused.
            asked.fail()
            self.record.request_answered(asked.id)
            return
        step = desk.submit(tried)
        if isinstance(step, Directive):
            send_answer(asked, step)
            self.rollout.request_answered(step.kind, tried.request_class, asked.sent_at_ns)
            self.record.request_answered(asked.id)
            return
        self.open_requests[asked.id] = asked
        self.tasks.start(self.serve_request(desk, asked, step), "request")

    async def serve_request(
        self, desk: Dispatcher, asked: IncomingRequest, seat: RequestSlot
    ) -> None:
        below: asyncio.Task[None] | None = None
        answered = False
        product = self.class_index[asked.request_class]
        try:
            while not answered:
                step = await desk.next_directive(seat)
                match step.kind:
                    case DirectiveKind.RUN:
                        self.record.begin_run(step.key_digest, asked.id, asked.sent_at_ns, product)
                    case DirectiveKind.CALL:
                        below = self.tasks.start(self.call_downstream(desk, asked.id, step), "call")
                    case DirectiveKind.RECALL_RESULT:
                        below = self.tasks.start(
                            self.read_result(desk, asked, step.key_digest), "recall"
                        )
                    case _:
                        if step.kind in (
                            DirectiveKind.COMPLETE,
                            DirectiveKind.COMPLETE_AS_ORIGINAL,
                        ):
                            await self.record.wait_until_durable(
                                step.key_digest, asked.sent_at_ns, product
                            )
                            self.levels.request_completed(product, asked.sent_at_ns)
                        answered = True
                        send_answer(asked, step)
                        self.rollout.request_answered(step.kind, product, asked.sent_at_ns)
                        self.record.request_answered(asked.id)
        finally:
            if not answered:
                asked.fail()
            if below is not None:
                below.cancel()
            self.open_requests.pop(asked.id, None)

    async def read_result(self, desk: Dispatcher, asked: IncomingRequest, mark: bytes) -> None:
        deadline = self.config.settings.request_classes[
            self.class_index[asked.request_class]
        ].deadline_ns
        desk.handle_event(
            ResultRecalled(
                asked.id, await self.record.read_result(mark, asked.sent_at_ns + deadline)
            )
        )

    def start_run(self, id: str) -> None:
        """Its run may begin now. Where its connection went meanwhile it runs all the same: it was
        started.
        """
        asked = self.open_requests.get(id)
        if asked is not None:
            self.link.start_run(id, asked.request_class, asked.body)
        else:
            self.run_ended(id, RunStatus.NO_LONGER_NEEDED, 0, b"")

    async def call_downstream(self, desk: Dispatcher, id: str, step: Directive) -> None:
        began = self.clock()
        if not self.membership.may_call():
            desk.handle_event(CallEnded(id, Outcome.OVERLOADED, 0))
            return
        send_answer, reply = await self.pool.call(
            id, step.body, step.give_up_at_ns - began, step.is_repeatable
        )
        if send_answer is CallStatus.OK:
            self.link.send_call_result(id, reply)
        else:
            took = (self.clock() - began) // NS_PER_MS
            log.info("event=call-failed id=%s answer=%s ms=%d", id, send_answer.value, took)
        if send_answer is CallStatus.NO_LONGER_NEEDED:
            # No run waits for it, so the end of the run is on its way, and cancels this. Told at
            # once, the decisions would call again and again, and soon take the catalogue for one
            # that is down.
            await sleep_ns(UNWANTED_WAIT)
        self.levels.call_ended(send_answer is CallStatus.OK)
        self.recovery.call_ended(send_answer is CallStatus.OK)
        desk.handle_event(CallEnded(id, CALL_OUTCOME[send_answer], self.clock() - began))

    def is_ready(self) -> bool:
        return self.desk is not None

    def is_healthy_and_recovered(self) -> bool:
        """Callers are sent here, and our way back is over."""
        return self.is_healthy() and self.recovery.is_complete()

    def is_healthy(self) -> bool:
        return self.desk is not None and self.desk.is_healthy and not self.is_shutting_down

    # What the executor says.

    def executor_welcomed(self, cold: bool, age_ms: int) -> None:
        if self.desk is not None or self.is_shutting_down:
            return
        log.info("event=welcome cold=%s age_ms=%d", cold, age_ms)
        facts = replace(self.config.settings, starts_cold=cold)
        results = self.config.memory_bytes // RESULTS_SHARE
        self.desk = Dispatcher(
            facts,
            self.config.class_names,
            self.config.seed,
            self.clock,
            age_ms * NS_PER_MS,
            results,
            self.record.keeps_results,
        )
        self.levels.attach_dispatcher(self.desk, cold, self.record)
        self.recovery.attach_dispatcher(self.desk, self.record.incarnation)
        self.membership.attach_dispatcher(self.desk)
        self.record.attach_dispatcher(self.desk, self.clock() - age_ms * NS_PER_MS)
        self.reports.report_health(True)
        self.tasks.start(self.control_loop(self.desk), "beat")

    def run_ended(self, id: str, end: RunStatus, took: int, result: bytes) -> None:
        if end is RunStatus.REJECTED and id in self.open_requests:
            self.open_requests[id].report_unknown()
        self.record.run_ended(id, RUN_OUTCOME[end], result)
        if self.desk is not None:
            self.desk.handle_event(RunEnded(id, RUN_OUTCOME[end], took, result))

    def run_reached_call(self, id: str, body: bytes) -> None:
        if self.desk is not None:
            self.desk.handle_event(CallRequested(id, body))

    async def control_loop(self, desk: Dispatcher) -> None:
        due = desk.fire_due_timers(Gauges())
        while True:
            await sleep_ns(due - self.clock())
            try:
                values = await self.link.query_gauges(GAUGES_WAIT)
                told = values is not None and len(values) == len(self.config.gauge_names)
                measured = (
                    parse_gauges(self.config.gauge_names, values)
                    if told and values is not None
                    else Gauges()
                )
                due = desk.fire_due_timers(measured)
                self.levels.update(measured)
                self.recovery.update()
                self.reports.report_health(self.is_healthy())
                self.front.idle_timeout_ns = desk.idle_timeout_ns
                self.pool.close_expired()
            except Exception:
                # The next round is due all the same: without it no request in hand would ever be
                # given up.
                log.exception("event=fault side=beat")
                due = desk.next_timer_ns

    # The way out.

    def begin_shutdown(self, noticed: int = 0) -> None:
        """`noticed`: when the clock was last looked at before the notice was heard. It was sent
        after that; by how much, a process that had stood still can't tell, and counts grace and
        kill from the earlier.
        """
        if self.is_shutting_down:
            return
        self.is_shutting_down = True
        now = noticed or self.clock()
        stop = now + max(self.config.stop_ns - LAST_WRITES, 0)
        log.info("event=leaving stop_ms=%d", self.config.stop_ns // NS_PER_MS)
        if self.desk is not None:
            self.desk.handle_event(DrainStarted(now, stop))
            self.reports.report_health(False)
        self.tasks.start(self.drain(now, stop), "drain")

    async def drain(self, now: int, stop: int) -> None:
        """Serves on while newcomers may still be run; then asks the callers to go and waits for
        them.
        """
        if self.desk is not None:
            serve_until = min(now + self.config.settings.drain_grace_ns, stop - 2 * LAST_WRITES)
            await sleep_ns(serve_until - self.clock())
        self.front.start_drain()
        while self.front.connections and self.clock() < stop:
            await sleep_ns(MOMENT)
        while (
            self.front.has_open_requests or self.open_requests
        ) and self.clock() < stop + LAST_WRITES // 2:
            await sleep_ns(MOMENT)
        await self.front.close(stop + LAST_WRITES * 3 // 4 - self.clock())
        self.stopped.set()
