"""An emulated node: the real server, with emulated parts in place of its sockets."""

import socket
from typing import TYPE_CHECKING

from ..executor import RunStatus
from ..rpc import IncomingRequest
from ..server.configuration import ServerConfig
from ..server.configuration_distribution import ConfigurationDistribution
from ..server.membership import FleetMembership
from ..server.recovery import RestartRecovery
from ..server.request_record import RequestRecord
from ..server.rollout import RolloutParticipation
from ..server.server import Server
from ..server.service_levels import ServiceLevels
from ..server.subsystems import SubsystemFactory
from ..settings import parse_server_settings
from ..time_units import NS_PER_MS, NS_PER_SECOND
from .downstream import EmulatedPool
from .load import ClientRequest
from .machine import Cores, EmulatedExecutor

if TYPE_CHECKING:
    from .callers import Attempt
    from .emulator import Emulator

NO_ADDRESS = ("", 0)  # no socket is opened


class EmulatedSubsystems(SubsystemFactory):
    """Creates the subsystems of one emulated node's server; those not asked for are off.

    Attributes:
        emulator: Has the functions that create the subsystems.
        node: The machine that the server is on.
        make_rollout: Creates the participation in releases; None without releases.
    """

    def __init__(self, emulator: "Emulator", node: "Node") -> None:
        """Creates the factory of one start of a node.

        Args:
            emulator: Has the functions that create the subsystems.
            node: The machine that the server is on.
        """
        self.emulator = emulator
        self.node = node
        self.make_rollout = (
            emulator.releases.create_participation(node) if emulator.releases is not None else None
        )

    def create_record(self, server: Server) -> RequestRecord:
        """Creates the record that the experiment asks for."""
        make = self.emulator.make_record
        return make(server) if make is not None else super().create_record(server)

    def create_levels(
        self, server: Server, distribution: ConfigurationDistribution
    ) -> ServiceLevels:
        """Creates the levels that the experiment asks for."""
        make = self.emulator.make_levels
        return make(server) if make is not None else super().create_levels(server, distribution)

    def create_recovery(self, server: Server) -> RestartRecovery:
        """Creates the recovery that the experiment asks for."""
        make = self.emulator.make_recovery
        return make(server) if make is not None else super().create_recovery(server)

    def create_membership(self, server: Server, recovery: RestartRecovery) -> FleetMembership:
        """Creates the membership over the emulated network."""
        if self.emulator.fleet is None:
            return super().create_membership(server, recovery)
        return self.emulator.fleet.create_membership(self.node, server, recovery)

    def create_rollout(self, server: Server) -> RolloutParticipation:
        """Creates the participation in the experiment's releases."""
        make = self.make_rollout
        return make(server) if make is not None else super().create_rollout(server)


class EmulatedHealthReporter:
    """Replaces a server's reports to the name service; the balancers' lists follow them late.

    Attributes:
        node: The node of the server.
        last_reported: The last report; None before the first.
    """

    def __init__(self, node: "Node") -> None:
        """Creates a reporter that has reported nothing."""
        self.node = node
        self.last_reported: bool | None = None

    def report_health(self, serving: bool) -> None:
        """Reports whether the server serves, if that has changed."""
        if serving != self.last_reported:
            self.last_reported = serving
            self.node.emulator.schedule_list_update(self.node, serving)

    def change_address(self, address: tuple[str, int]) -> None:
        """Does nothing: there is no name service."""


class Node:
    """A machine and its name; each start creates a new server.

    Attributes:
        emulator: The simulation.
        index: Index of the node in the simulation.
        zone: Its zone.
        speed: Speed of its cores when warm.
        name: Its name.
        incarnation: How often it was started.
        is_up: Whether its process runs.
        slowdown: Factor by which a fault slows its cores.
        server: The running server; None while the process is down.
        attempts: Attempts that it received and has not answered, by id.
        request_memory_kb: Memory of those attempts in KB.
        requests_being_read: Attempts that are being read.
        version: Version that it runs; empty without releases.
        failure_rate: Share of runs that fail with this version.
        cores: The machine's cores since the last start.
        executor: The executor since the last start.
    """

    def __init__(self, emulator: "Emulator", index: int, zone: int, speed: float) -> None:
        """Creates a node that is down; the arguments are its attributes."""
        self.emulator, self.index, self.zone, self.speed = emulator, index, zone, speed
        self.name = f"n{index}"
        self.incarnation = 0
        self.is_up = False
        self.slowdown = 1.0
        self.server: Server | None = None
        self.attempts: dict[str, Attempt] = {}
        self.request_memory_kb = 0.0
        self.requests_being_read = 0
        self.version, self.failure_rate = ("", 0.0)

    def start(self, cold: bool) -> None:
        """Starts the process, on a cold or on a warm machine."""
        emulator, settings = self.emulator, self.emulator.scenario.machines
        loop = emulator.loop
        self.incarnation += 1
        self.is_up, self.request_memory_kb, self.requests_being_read = True, 0.0, 0
        self.attempts = {}
        self.cores = Cores(loop, settings, self.speed, loop.now_s if cold else -1e6)
        self.cores.slowdown = self.slowdown
        server_settings, gauge_names = parse_server_settings(emulator.server_settings)
        config = ServerConfig(
            name=self.name,
            listen_address=NO_ADDRESS,
            executor_address=NO_ADDRESS,
            discovery_address=NO_ADDRESS,
            downstream_address=NO_ADDRESS,
            seed=emulator.derive_server_seed(self),
            stop_ns=int(settings.stop_ms * NS_PER_MS),
            settings=server_settings,
            max_sockets=512,
            memory_bytes=64 << 20,
            class_names=tuple(product.name for product in emulator.scenario.products),
            tenant_portions={tenant.name: tenant.share for tenant in emulator.scenario.tenants},
            gauge_names=gauge_names,
        )
        with socket.socket() as listener:
            server = self.server = Server(config, listener, EmulatedSubsystems(emulator, self))
        server.health_reporter.socket.close()
        server.clock = server.listener.clock = server.requests.clock = loop.unix_time_ns  # type: ignore[assignment]
        server.listener.socket = None
        server.health_reporter = EmulatedHealthReporter(self)  # type: ignore[assignment]
        incarnation = self.incarnation
        self.executor = EmulatedExecutor(
            self.cores,
            self.describe_run,
            self.run_started,
            lambda *end: self.run_ended(incarnation, *end),
            server.requests.run_reached_call,
        )
        server.connect(self.executor, EmulatedPool(emulator.downstream))  # type: ignore[arg-type]
        server.executor_connected(cold, 0 if cold else 600_000)

    def describe_run(self, request_id: str) -> tuple[float, int, float]:
        """Returns the work in core ms, the number of calls and the further memory in KB of a run."""
        request = self.attempts[request_id].request
        return (
            request.work_ms,
            request.call_count,
            request.memory_kb * (self.emulator.scenario.machines.run_factor - 1),
        )

    def run_started(self, request_id: str, body: bytes) -> None:
        """Has the checker record a run."""
        self.emulator.rules.record_run(self.emulator.loop.now_s, request_id)

    def run_ended(
        self, incarnation: int, request_id: str, end: RunStatus, duration_ns: int, result: bytes
    ) -> None:
        """Reports the end of a run to the server, unless its process has ended since.

        Args:
            incarnation: The node's incarnation in which the run started.
            request_id: The request that ran.
            end: How the run ended; a run that passed may still fail by the version's failure rate.
            duration_ns: Duration of the run in ns.
            result: Result of a run that passed.
        """
        if incarnation == self.incarnation and self.is_up and self.server is not None:
            if (
                self.failure_rate
                and end is RunStatus.PASSED
                and self.emulator.fault_random.random() < self.failure_rate
            ):
                end, result = RunStatus.FAILED, b""
            if end is RunStatus.PASSED:
                self.emulator.rules.record_result(request_id, result)
            self.server.requests.run_ended(request_id, end, duration_ns, result)

    def receive_attempt(self, attempt: "Attempt") -> None:
        """Receives an attempt's last byte; reading it takes the cores' time first."""
        received_at_s, incarnation, request = (
            self.emulator.loop.now_s,
            self.incarnation,
            attempt.request,
        )
        self.attempts[attempt.id] = attempt
        assert self.server is not None
        self.server.listener.connections.add(attempt)  # type: ignore[arg-type]
        self.request_memory_kb += request.memory_kb
        self.requests_being_read += 1
        work_ms = self.emulator.scenario.machines.intake * self.emulator.scenario.mean_work_ms
        self.cores.add_job(
            work_ms, lambda: self.finish_reading(attempt, received_at_s, incarnation, request)
        )

    def finish_reading(
        self, attempt: "Attempt", received_at_s: float, incarnation: int, request: ClientRequest
    ) -> None:
        """Hands an attempt that was read to the server.

        Args:
            attempt: The attempt.
            received_at_s: Simulated time in s at which its last byte came.
            incarnation: The node's incarnation at that time.
            request: The attempt's request.
        """
        server, emulator = self.server, self.emulator
        self.requests_being_read -= incarnation == self.incarnation
        if incarnation != self.incarnation or not self.is_up or server is None or attempt.is_cut:
            if incarnation == self.incarnation:
                self.discard_attempt(attempt)
            return
        product = emulator.scenario.products[request.product]
        # The server cannot answer before the request is read. If reading takes longer than
        # the deadline, the deadline is the present.
        emulator.rules.record_read(
            received_at_s,
            self.name,
            incarnation,
            attempt.id,
            max(product.expiry_ms / 1000, emulator.loop.now_s - received_at_s),
            request.idempotency_key if product.kind == "referenced" else "",
            product.window_ms / 1000,
            product.kind == "once",
        )
        idempotency_key, tenants = (
            request.idempotency_key if product.kind == "referenced" else "",
            emulator.scenario.tenants,
        )
        attempt.incoming = IncomingRequest(
            attempt,
            attempt.message_id,
            product.name,
            attempt.id,
            emulator.loop.unix_time_ns()
            - int((emulator.loop.now_s - received_at_s) * NS_PER_SECOND),
            attempt.caller.name,
            int(request.cost_hint_ms * NS_PER_MS),
            request.memory_kb,
            request.priority,
            idempotency_key,
            "",
            request.body,
            attempt.is_retry,
            tenants[request.tenant].name if tenants else "",
        )
        server.requests.receive(attempt.incoming)

    def discard_attempt(self, attempt: "Attempt") -> None:
        """Drops an attempt, its memory and its connection."""
        if self.attempts.pop(attempt.id, None) is not None:
            self.request_memory_kb -= attempt.request.memory_kb
            if self.server is not None:
                self.server.listener.connections.discard(attempt)

    def record_answer(self, attempt: "Attempt", answer: str, result: bytes) -> None:
        """Has the checker record an answer, and drops its attempt."""
        self.emulator.rules.record_answer(self.emulator.loop.now_s, attempt.id, answer, result)
        self.discard_attempt(attempt)
        self.executor.request_answered(attempt.id)

    @property
    def is_listening(self) -> bool:
        """Whether the node accepts new connections."""
        return self.is_up and self.server is not None and not self.server.listener.is_draining

    def disconnect(self, attempt: "Attempt") -> None:
        """Loses the connection of an attempt because the caller closed it."""
        self.emulator.rules.record_disconnect(attempt.id)
        if (
            self.is_up
            and self.server is not None
            and attempt.id in self.attempts
            and attempt.incoming is not None
        ):
            self.server.requests.connection_lost(attempt.incoming)

    def drain(self) -> None:
        """Begins the shutdown of the server, unless it has begun."""
        if self.is_up and self.server is not None and not self.server.is_shutting_down:
            self.emulator.rules.record_drain(self.emulator.loop.now_s, self.name, self.incarnation)
            self.server.begin_shutdown()

    def stop(self, killed: bool) -> None:
        """Ends the process.

        Args:
            killed: Whether it is killed; otherwise it exits by itself after its drain, and leaves
                the fleet and the release in order.
        """
        if not self.is_up or self.server is None:
            return
        self.is_up = False
        self.emulator.rules.record_stop(
            self.emulator.loop.now_s, self.name, self.incarnation, killed
        )
        self.executor.stop()
        if not killed:
            self.server.subsystems.membership.close()
            if self.emulator.releases is not None:
                self.emulator.loop.create_task(self.server.subsystems.rollout.close())
        for task in list(self.server.tasks.running):
            task.cancel()
        self.server = None
        for attempt in list(self.attempts.values()):
            attempt.break_connection()
        self.attempts = {}
        self.emulator.schedule_list_update(self, None)

    def check_limits(self, interval_s: float) -> None:
        """Has the checker check the node's CPU and memory, `interval_s` s after the last time."""
        if self.is_up:
            settings = self.emulator.scenario.machines
            memory_kb = self.request_memory_kb + self.executor.memory_kb
            # The server does not control how much is read, so only runs count. A machine that is
            # not warm survives fewer jobs per core.
            limit = 1 + (settings.tip_multiple - 1) * self.cores.warm_up_share()
            runnable_jobs = (
                (len(self.cores.jobs) - self.requests_being_read) * settings.tip_multiple / limit
            )
            self.emulator.rules.check_node(
                self.emulator.loop.now_s,
                interval_s,
                self.name,
                self.incarnation,
                runnable_jobs,
                settings.cores,
                memory_kb / (settings.memory_mb * 1000),
            )

    def count_state(self) -> dict[str, int]:
        """Returns the number of entries in each collection of the server that could grow."""
        dispatcher = self.server.requests.dispatcher if self.server is not None else None
        if dispatcher is None or self.server is None:
            return {}
        sizes = dispatcher.controller.sizes()
        return {
            "slots": len(dispatcher.slots),
            "references": len(dispatcher.refs_by_id),
            "callers": len(dispatcher.callers),
            "timers": len(dispatcher.timers),
            "outbox": len(dispatcher.outbox),
            "answers_to_repeats": len(dispatcher.answers_to_repeats),
            "idempotency_records": len(dispatcher.idempotency_table.records),
            "expiry_timers": sum(map(len, dispatcher.idempotency_table.timer_wheel.slots.values())),
            "requests": sizes.requests,
            "live": sizes.live,
            "ended": sizes.ended,
            "lingering_calls": sizes.lingering_calls,
            "open_requests": len(self.server.requests.open_requests),
            "tasks": len(self.server.tasks.running),
        }
