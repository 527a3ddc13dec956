"""One server: what it starts, the rounds of its decisions, and how it shuts down."""

from __future__ import annotations

import asyncio
import logging
import math
import socket
from dataclasses import replace
from typing import TYPE_CHECKING

from ..admission.model import Gauges, Idempotency, ServerSettings
from ..discovery import HealthReporter
from ..dispatcher import Dispatcher, DrainStarted
from ..downstream import ConnectionPool
from ..executor import ExecutorConnection
from ..rpc import RequestRules, RpcListener
from ..settings import parse_gauges
from ..sockets import NS_PER_MS, TaskSupervisor, is_out_of_descriptors, sleep_ns
from .clock import Clock
from .configuration import ConfigurationError, ServerConfig, read_config
from .request_handler import RequestHandler
from .subsystems import SubsystemFactory

if TYPE_CHECKING:
    from ..downstream.service_pools import ServicePools

log = logging.getLogger(__name__)

SHUTDOWN_POLL_NS = 10 * NS_PER_MS
GAUGES_TIMEOUT_NS = 30 * NS_PER_MS  # later ones would be of another moment
# Of the process's memory, for results that retries may ask for: one part in so many.
RESULT_MEMORY_DIVISOR = 8
# File descriptors, at least, for the executor, calls, reports and what the process itself holds.
MIN_RESERVED_DESCRIPTORS = 64
# Of them, without calls: what the process holds, and idle connections that calls may use again.
OWN_DESCRIPTORS = 32
# Before the kill: what the last answers and this process need to get out.
LAST_WRITES_NS = 250 * NS_PER_MS


def max_connections(max_sockets: int, settings: ServerSettings) -> int:
    """Returns how many connections of balancers there may be.

    As many calls as may be in progress find a descriptor besides.

    Args:
        max_sockets: File descriptors that the process may hold.
        settings: The bounds on calls and runs.
    """
    max_calls = settings.call_quota or settings.max_runs_per_core * settings.cores
    reserved = max(MIN_RESERVED_DESCRIPTORS, OWN_DESCRIPTORS + math.ceil(max_calls))
    return max(max_sockets - reserved, max_sockets // 2)


class Server:
    """One server between balancers, executor, downstream and name service.

    Attributes:
        config: What it is and may use.
        clock: Unix ns.
        tasks: All that runs in it.
        requests: The way of each request.
        subsystems: What it has beside its decisions.
        front: The connections of balancers.
        link: The connection to the executor.
        pool: The connections to the downstream.
        reports: Tells the name service whether requests are taken.
        is_shutting_down: Whether it was told to leave.
        stopped: Set once the last connection is closed, or had to be.
        address: Where it listens.

    Args:
        config: What it is and may use.
        listener: Bound to the address for balancers, not listening yet.
        factory: Creates the subsystems; all are off without one.
    """

    def __init__(
        self,
        config: ServerConfig,
        listener: socket.socket,
        factory: SubsystemFactory | None = None,
    ) -> None:
        self.config = config
        self.clock = Clock()
        self.tasks = TaskSupervisor()
        self.is_shutting_down = False
        self.stopped = asyncio.Event()
        self.address = listener.getsockname()
        self.requests = RequestHandler(config, self.clock, self.tasks)
        self.factory = factory or SubsystemFactory()
        self.subsystems = self.factory.create(self)
        self.listener = RpcListener(
            listener,
            self._known_requests(),
            max_connections(config.max_sockets, config.settings),
            self.tasks,
            self.clock,
            self.requests.receive,
            self.requests.connection_lost,
            self.requests.is_serving,
            self.is_healthy,
            self.requests.load_report,
        )
        link = ExecutorConnection(
            config.executor_address,
            self.tasks,
            self.executor_connected,
            self.requests.run_ended,
            self.requests.run_reached_call,
            self.listener.free_descriptor,
        )
        pool = ConnectionPool(config.downstream_address, self.listener.free_descriptor)
        self.connect(link, self.subsystems.membership.select_pool(pool))
        self.health_reporter = HealthReporter(config.discovery_address, config.name)

    def connect(self, link: ExecutorConnection, pool: ConnectionPool | ServicePools) -> None:
        """Sets what runs requests and what they call.

        Args:
            link: The connection to the executor.
            pool: The connections to the downstream.
        """
        self.executor = link
        self.downstream = pool
        self.requests.connect(self.subsystems, link, pool)

    def _known_requests(self) -> RequestRules:
        classes = self.config.settings.request_classes
        is_keyed = {
            name: request_class.idempotency is Idempotency.KEYED
            for name, request_class in zip(self.config.class_names, classes, strict=True)
        }
        return RequestRules(
            is_keyed,
            self.subsystems.distribution.served_tenants(self.config.tenant_portions),
            max(request_class.deadline_ns for request_class in classes),
        )

    # The life cycle.

    async def run(self) -> None:
        """Serves until it was told to leave and the last answer is out.

        Raises:
            ConfigurationError: The store of record can't be used.
        """
        await self.startup()
        await self.stopped.wait()
        await self.shutdown()

    async def startup(self) -> None:
        """Opens the subsystems, then listens.

        Raises:
            ConfigurationError: The store of record can't be used.
        """
        await self.subsystems.open()
        self.listener.listen()
        self.tasks.start(self.executor.maintain(), "executor")
        self.tasks.start(self.health_reporter.run(), "discovery")
        self.tasks.start(self.listener.run(), "front")
        self.subsystems.rollout.open()
        log.info("event=listening name=%s address=%s:%d", self.config.name, *self.address)

    async def main_loop(self, dispatcher: Dispatcher) -> None:
        """Has the decisions take a round whenever the next one is due, without end."""
        due = dispatcher.fire_due_timers(Gauges())
        while True:
            await sleep_ns(due - self.clock())
            try:
                due = await self._round(dispatcher)
            except Exception:
                # The next round is due all the same: without it no open request would ever be
                # given up.
                log.exception("event=internal_error side=main_loop")
                due = dispatcher.next_timer_ns

    async def _round(self, dispatcher: Dispatcher) -> int:
        """Takes a round of the decisions; returns when the next one is due, in Unix ns."""
        values = await self.executor.query_gauges(GAUGES_TIMEOUT_NS)
        names = self.config.gauge_names
        is_complete = values is not None and len(values) == len(names)
        measured = parse_gauges(names, values) if is_complete and values is not None else Gauges()
        due = dispatcher.fire_due_timers(measured)
        self.subsystems.levels.update(measured)
        self.subsystems.recovery.update()
        self.health_reporter.report_health(self.is_healthy())
        self.listener.idle_timeout_ns = dispatcher.idle_timeout_ns
        self.downstream.close_expired()
        return due

    async def shutdown(self) -> None:
        """Closes the subsystems, after the last connection of balancers."""
        await self.subsystems.close()
        self.factory.close()
        dispatcher = self.requests.dispatcher
        log.info("event=stopped unanswered=%d", dispatcher.unanswered if dispatcher else 0)

    def reload(self) -> None:
        """Uses the addresses and limits that the configuration now holds.

        All else holds until the next start. A configuration that can't be used changes nothing.
        """
        try:
            config = self._read_config_again()
        except ConfigurationError as error:
            log.warning("event=reload_failed detail=%r", str(error))
            return
        self.executor.change_address(config.executor_address)
        self.downstream.change_address(config.downstream_address)
        self.health_reporter.change_address(config.discovery_address)
        self.listener.max_connections = max_connections(config.max_sockets, config.settings)
        downstream = config.downstream_address
        log.info(
            "event=reloaded executor=%s:%d downstream=%s discovery=%s:%d",
            *config.executor_address,
            f"{downstream[0]}:{downstream[1]}" if downstream is not None else "none",
            *config.discovery_address,
        )

    def _read_config_again(self) -> ServerConfig:
        try:
            return read_config()
        except ConfigurationError as error:
            # The file itself needs a descriptor: idle clients that hold them all must not hide
            # where all went.
            if not is_out_of_descriptors(error.__cause__) or not self.listener.free_descriptor():
                raise
            return read_config()

    # Health.

    def is_ready(self) -> bool:
        """Returns whether the executor has connected."""
        return self.requests.dispatcher is not None

    def is_healthy(self) -> bool:
        """Returns whether balancers should send requests here."""
        dispatcher = self.requests.dispatcher
        return dispatcher is not None and dispatcher.is_healthy and not self.is_shutting_down

    def is_healthy_and_recovered(self) -> bool:
        """Returns whether balancers should send requests here and the recovery is complete."""
        return self.is_healthy() and self.subsystems.recovery.is_complete()

    def executor_connected(self, is_cold: bool, age_ms: int) -> None:
        """Begins to take requests when the executor connects for the first time.

        Args:
            is_cold: Whether the executor has yet to warm up.
            age_ms: Time since it started.
        """
        if self.requests.dispatcher is not None or self.is_shutting_down:
            return
        log.info("event=executor_connected cold=%s age_ms=%d", is_cold, age_ms)
        dispatcher = self.requests.dispatcher = Dispatcher(
            replace(self.config.settings, starts_cold=is_cold),
            self.config.class_names,
            self.config.seed,
            self.clock,
            age_ms * NS_PER_MS,
            self.config.memory_bytes // RESULT_MEMORY_DIVISOR,
            self.subsystems.record.keeps_results,
        )
        record = self.subsystems.record
        self.subsystems.levels.attach_dispatcher(dispatcher, is_cold, record)
        self.subsystems.recovery.attach_dispatcher(dispatcher, record.incarnation)
        self.subsystems.membership.attach_dispatcher(dispatcher)
        record.attach_dispatcher(dispatcher, self.clock() - age_ms * NS_PER_MS)
        self.health_reporter.report_health(True)
        self.tasks.start(self.main_loop(dispatcher), "main_loop")

    # The way out.

    def begin_shutdown(self, noticed_ns: int = 0) -> None:
        """Stops taking requests and lets those in progress end, as far as the time allows.

        Args:
            noticed_ns: When the clock was last read before the notice was handled; 0 for now. The
                notice was sent after that; by how much, a process that had stood still can't tell,
                and counts grace and kill from the earlier time.
        """
        if self.is_shutting_down:
            return
        self.is_shutting_down = True
        now = noticed_ns or self.clock()
        stop = now + max(self.config.stop_ns - LAST_WRITES_NS, 0)
        log.info("event=shutdown_started stop_ms=%d", self.config.stop_ns // NS_PER_MS)
        if self.requests.dispatcher is not None:
            self.requests.dispatcher.handle_event(DrainStarted(now, stop))
            self.health_reporter.report_health(False)
        self.tasks.start(self.drain(now, stop), "drain")

    async def drain(self, now: int, stop: int) -> None:
        """Serves on while new requests may still be run; then has balancers leave and waits.

        Args:
            now: Unix ns of the notice to leave.
            stop: Unix ns by which connections are to be closed.
        """
        if self.requests.dispatcher is not None:
            grace_ns = self.config.settings.drain_grace_ns
            serve_until = min(now + grace_ns, stop - 2 * LAST_WRITES_NS)
            await sleep_ns(serve_until - self.clock())
        self.listener.start_drain()
        while self.listener.connections and self.clock() < stop:
            await sleep_ns(SHUTDOWN_POLL_NS)
        answers_until = stop + LAST_WRITES_NS // 2
        while (
            self.listener.has_open_requests or self.requests.open_requests
        ) and self.clock() < answers_until:
            await sleep_ns(SHUTDOWN_POLL_NS)
        await self.listener.close(stop + LAST_WRITES_NS * 3 // 4 - self.clock())
        self.stopped.set()
