"""The server: startup, main loop, reload and shutdown."""

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
from ..sockets import TaskSupervisor, is_out_of_descriptors, sleep_ns
from ..time_units import NS_PER_MS
from .clock import Clock
from .configuration import ConfigurationError, ServerConfig, read_config
from .event_loop_monitor import EventLoopMonitor
from .request_handler import RequestHandler
from .subsystems import SubsystemFactory

if TYPE_CHECKING:
    from ..downstream.service_pools import ServicePools

log = logging.getLogger(__name__)

# Time between two checks, during shutdown, whether connections and requests remain.
SHUTDOWN_POLL_NS = 10 * NS_PER_MS
# Time that a round waits for the executor's gauges. Gauges that arrive later would describe another
# moment, so the round goes on without them.
GAUGES_TIMEOUT_NS = 30 * NS_PER_MS
# The memory for results that retries may request is the memory of the process divided by this.
RESULT_MEMORY_DIVISOR = 8
# Memory of the process before it has served anything.
IDLE_PROCESS_BYTES = 32 << 20
# The part of the remaining memory that idempotency keys may take, and their part of all memory
# where little remains.
KEY_MEMORY_DIVISOR = 2
SCARCE_KEY_MEMORY_DIVISOR = 16
# Fewest file descriptors that are reserved for the executor, calls, health reports and the process
# itself; connections of callers may not use them.
MIN_RESERVED_DESCRIPTORS = 64
# Reserved descriptors besides those for calls in progress: for the process itself and for idle
# downstream connections that later calls may reuse.
OWN_DESCRIPTORS = 32
# Time before the platform kills the process that is reserved for sending the last answers and for
# closing the subsystems.
FINAL_WRITES_NS = 250 * NS_PER_MS


def max_connections(max_sockets: int, settings: ServerSettings) -> int:
    """Returns the limit on connections of callers.

    The limit leaves a descriptor for each call that may be in progress, but is never less than half
    of `max_sockets`.

    Args:
        max_sockets: File descriptors that the process may hold.
        settings: The limits on calls and runs.
    """
    max_calls = settings.call_quota or settings.max_runs_per_core * settings.cores
    reserved = max(MIN_RESERVED_DESCRIPTORS, OWN_DESCRIPTORS + math.ceil(max_calls))
    return max(max_sockets - reserved, max_sockets // 2)


def max_key_bytes(memory_bytes: int) -> int:
    """Returns how much memory idempotency keys may take, in bytes.

    Args:
        memory_bytes: Memory that the process may hold.
    """
    remaining_bytes = memory_bytes - IDLE_PROCESS_BYTES
    return max(remaining_bytes // KEY_MEMORY_DIVISOR, memory_bytes // SCARCE_KEY_MEMORY_DIVISOR)


class Server:
    """One server between callers, executor, downstream and name service.

    Attributes:
        clock: Returns Unix ns.
        tasks: Supervises all tasks of the server.
        is_shutting_down: Whether the shutdown has begun.
        stopped: Set once all connections of callers are closed, or the time for that is over.
        address: Host and port on which the server listens.
        requests: Handles the requests.
        subsystems: The optional subsystems.
        listener: Accepts the connections of callers.
        executor: Connection to the executor.
        downstream: Connections to the downstream.
        health_reporter: Reports to the name service whether the server takes requests.

    Args:
        config: The server's configuration.
        listener: Socket that is bound to the address for callers, not listening yet.
        factory: Creates the subsystems; None disables all of them.
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
            self._request_rules(),
            max_connections(config.max_sockets, config.settings),
            self.tasks,
            self.clock,
            self.requests.receive,
            self.requests.connection_lost,
            self.requests.is_serving,
            self.is_healthy,
            self.requests.load_report,
        )
        executor = ExecutorConnection(
            config.executor_address,
            self.tasks,
            self.executor_connected,
            self.requests.run_ended,
            self.requests.run_reached_call,
            self.requests.call_result_uncertain,
            self.listener.free_descriptor,
        )
        pool = ConnectionPool(config.downstream_address, self.listener.free_descriptor)
        self.connect(executor, self.subsystems.membership.select_pool(pool))
        self.health_reporter = HealthReporter(config.discovery_address, config.name)

    def connect(
        self, executor: ExecutorConnection, downstream: ConnectionPool | ServicePools
    ) -> None:
        """Sets the connections to the executor and to the downstream.

        Args:
            executor: The connection to the executor.
            downstream: The connections to the downstream.
        """
        self.executor = executor
        self.downstream = downstream
        self.requests.connect(self.subsystems, executor, downstream)

    def _request_rules(self) -> RequestRules:
        classes = self.config.settings.request_classes
        is_keyed_by_class = {
            name: request_class.idempotency is Idempotency.KEYED
            for name, request_class in zip(self.config.class_names, classes, strict=True)
        }
        return RequestRules(
            is_keyed_by_class,
            self.subsystems.distribution.served_tenants(self.config.tenant_portions),
            max(request_class.deadline_ns for request_class in classes),
        )

    async def run(self) -> None:
        """Serves until the shutdown has begun and the last answer is sent.

        Raises:
            ConfigurationError: The store of record can't be used.
        """
        await self.startup()
        await self.stopped.wait()
        await self.shutdown()

    async def startup(self) -> None:
        """Opens the subsystems, then starts to listen.

        Raises:
            ConfigurationError: The store of record can't be used.
        """
        await self.subsystems.open()
        self.listener.listen()
        self.tasks.start(self.executor.maintain(), "executor")
        self.tasks.start(self.health_reporter.run(), "discovery")
        self.tasks.start(self.listener.sweeper.run(), "front")
        self.subsystems.rollout.open()
        log.info("event=listening name=%s address=%s:%d", self.config.name, *self.address)

    async def main_loop(self, dispatcher: Dispatcher) -> None:
        """Runs a round of the dispatcher whenever its next timer is due; never returns."""
        monitor = EventLoopMonitor()
        due_ns = dispatcher.fire_due_timers(Gauges())
        while True:
            await monitor.sleep_ns(due_ns - self.clock())
            try:
                due_ns = await self._run_round(dispatcher)
            except Exception:
                # The loop must go on: without further rounds no open request would reach its
                # deadline.
                log.exception("event=internal_error side=main_loop")
                due_ns = dispatcher.next_timer_ns

    async def _run_round(self, dispatcher: Dispatcher) -> int:
        """Runs one round and returns when the next one is due, in Unix ns.

        A round fires due timers with the executor's gauges and updates the subsystems, the health
        report and the idle connections.
        """
        values = await self.executor.query_gauges(GAUGES_TIMEOUT_NS)
        names = self.config.gauge_names
        is_complete = values is not None and len(values) == len(names)
        gauges = parse_gauges(names, values) if is_complete and values is not None else Gauges()
        due_ns = dispatcher.fire_due_timers(gauges)
        self.subsystems.levels.update(gauges)
        self.subsystems.recovery.update()
        self.health_reporter.report_health(self.is_healthy())
        self.listener.idle_timeout_ns = dispatcher.idle_timeout_ns
        self.downstream.close_expired()
        return due_ns

    async def shutdown(self) -> None:
        """Closes the subsystems; called after all connections of callers are closed."""
        await self.subsystems.close()
        self.factory.close()
        dispatcher = self.requests.dispatcher
        log.info("event=stopped unanswered=%d", dispatcher.unanswered if dispatcher else 0)

    def reload(self) -> None:
        """Reads the configuration again and applies its addresses and its limit on connections.

        Other changes take effect at the next start only. A configuration that can't be used changes
        nothing.
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
            # Reading the file needs a descriptor. If idle clients hold all of them, one is closed,
            # so that a reload still works.
            if not is_out_of_descriptors(error.__cause__) or not self.listener.free_descriptor():
                raise
            return read_config()

    def is_ready(self) -> bool:
        """Returns whether the executor has connected."""
        return self.requests.dispatcher is not None

    def is_healthy(self) -> bool:
        """Returns whether callers should send requests here."""
        dispatcher = self.requests.dispatcher
        return dispatcher is not None and dispatcher.is_healthy and not self.is_shutting_down

    def is_healthy_and_recovered(self) -> bool:
        """Returns whether callers should send requests here and the recovery is complete."""
        return self.is_healthy() and self.subsystems.recovery.is_complete()

    def executor_connected(self, is_cold: bool, age_ms: int) -> None:
        """Starts to take requests when the executor connects for the first time.

        Args:
            is_cold: Whether the executor has yet to warm up.
            age_ms: Time since the executor started, in ms.
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
            max_key_bytes(self.config.memory_bytes),
        )
        record = self.subsystems.record
        self.subsystems.levels.attach_dispatcher(dispatcher, is_cold, record)
        self.subsystems.recovery.attach_dispatcher(dispatcher, record.incarnation)
        self.subsystems.membership.attach_dispatcher(dispatcher)
        record.attach_dispatcher(dispatcher, self.clock() - age_ms * NS_PER_MS)
        self.health_reporter.report_health(True)
        self.tasks.start(self.main_loop(dispatcher), "main_loop")

    def begin_shutdown(self, noticed_ns: int = 0) -> None:
        """Stops taking requests and lets requests in progress end before the process is killed.

        Args:
            noticed_ns: When the clock was last read before the signal was handled, in Unix ns; 0
                stands for the present time. The signal was sent after that reading. A process that
                was paused can't tell how much later, so the grace period and the time until the
                kill count from the reading.
        """
        if self.is_shutting_down:
            return
        self.is_shutting_down = True
        now_ns = noticed_ns or self.clock()
        stop_ns = now_ns + max(self.config.stop_ns - FINAL_WRITES_NS, 0)
        log.info("event=shutdown_started stop_ms=%d", self.config.stop_ns // NS_PER_MS)
        if self.requests.dispatcher is not None:
            self.requests.dispatcher.handle_event(DrainStarted(now_ns, stop_ns))
            self.health_reporter.report_health(False)
        self.tasks.start(self.drain(now_ns, stop_ns), "drain")

    async def drain(self, now_ns: int, stop_ns: int) -> None:
        """Serves during the grace period, then asks callers to disconnect and waits for them.

        Args:
            now_ns: Start of the shutdown in Unix ns.
            stop_ns: Time in Unix ns by which connections must be closed.
        """
        if self.requests.dispatcher is not None:
            grace_ns = self.config.settings.drain_grace_ns
            serve_until_ns = min(now_ns + grace_ns, stop_ns - 2 * FINAL_WRITES_NS)
            await sleep_ns(serve_until_ns - self.clock())
        self.listener.start_drain()
        while self.listener.connections and self.clock() < stop_ns:
            await sleep_ns(SHUTDOWN_POLL_NS)
        answers_until_ns = stop_ns + FINAL_WRITES_NS // 2
        while (
            self.listener.has_open_requests or self.requests.open_requests
        ) and self.clock() < answers_until_ns:
            await sleep_ns(SHUTDOWN_POLL_NS)
        await self.listener.close(stop_ns + FINAL_WRITES_NS * 3 // 4 - self.clock())
        self.stopped.set()
