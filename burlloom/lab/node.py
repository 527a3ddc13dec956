"""A node: the real server with its desk and decisions, where its sockets would be the emulated
parts.
"""

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
from .below import Pool
from .clock import SECOND
from .load import Order
from .machine import Cores, Executor

if TYPE_CHECKING:
    from .callers import Attempt
    from .emulator import Emulator

MS = 1_000_000
NOWHERE = ("", 0)  # no socket is opened


class EmulatedSubsystems(SubsystemFactory):
    """The parts of one emulated node's server; those that no experiment asks for are off."""

    def __init__(self, fleet: "Emulator", node: "Node") -> None:
        """Creates the factory of one start of a node.

        Args:
            fleet: Has what makes the parts.
            node: The machine that the server is on.
        """
        self.fleet = fleet
        self.node = node
        self.make_rollout = fleet.rolls.participation(node) if fleet.rolls is not None else None

    def create_record(self, server: Server) -> RequestRecord:
        """Creates the record that the experiment asks for."""
        make = self.fleet.keeping
        return make(server) if make is not None else super().create_record(server)

    def create_levels(
        self, server: Server, distribution: ConfigurationDistribution
    ) -> ServiceLevels:
        """Creates the levels that the experiment asks for."""
        make = self.fleet.leveling
        return make(server) if make is not None else super().create_levels(server, distribution)

    def create_recovery(self, server: Server) -> RestartRecovery:
        """Creates the recovery that the experiment asks for."""
        make = self.fleet.recovering
        return make(server) if make is not None else super().create_recovery(server)

    def create_membership(self, server: Server, recovery: RestartRecovery) -> FleetMembership:
        """Creates the membership over the emulated network."""
        if self.fleet.fleets is None:
            return super().create_membership(server, recovery)
        return self.fleet.fleets.membership(self.node, server, recovery)

    def create_rollout(self, server: Server) -> RolloutParticipation:
        """Creates the participation in the experiment's releases."""
        make = self.make_rollout
        return make(server) if make is not None else super().create_rollout(server)


class Reports:
    """Stands where the server tells the name service: the list learns of it late."""

    def __init__(self, node: "Node") -> None:
        self.node = node
        self.last_reported: bool | None = None

    def report_health(self, serving: bool) -> None:
        if serving != self.last_reported:
            self.last_reported = serving
            self.node.fleet.listed(self.node, serving)

    def change_address(self, address: tuple[str, int]) -> None: ...


class Node:
    """One machine and its name; each life of it is a server of its own."""

    def __init__(self, fleet: "Emulator", index: int, zone: int, speed: float) -> None:
        self.fleet, self.index, self.zone, self.speed = fleet, index, zone, speed
        self.name = f"n{index}"
        self.life = 0
        self.up = False
        self.slow = 1.0
        self.server: Server | None = None
        self.attempts: dict[str, Attempt] = {}
        self.booked = 0.0  # KB of what was read and is not answered
        self.reading = 0
        self.version, self.fails = (
            "",
            0.0,
        )  # the release that it runs, and the share of runs that fail by that

    def start(self, cold: bool) -> None:
        fleet, told = self.fleet, self.fleet.world.machines
        loop = fleet.loop
        self.life += 1
        self.up, self.booked, self.reading = True, 0.0, 0
        self.attempts = {}
        self.cores = Cores(loop, told, self.speed, loop.now if cold else -1e6)
        self.cores.slow = self.slow
        known, meters = parse_server_settings(fleet.settings)
        config = ServerConfig(
            name=self.name,
            listen_address=NOWHERE,
            executor_address=NOWHERE,
            discovery_address=NOWHERE,
            downstream_address=NOWHERE,
            seed=fleet.seed_of(self),
            stop_ns=int(told.stop_ms * MS),
            settings=known,
            max_sockets=512,
            memory_bytes=64 << 20,
            class_names=tuple(one.name for one in fleet.world.products),
            tenant_portions={one.name: one.share for one in fleet.world.tenants},
            gauge_names=meters,
        )
        with socket.socket() as listener:
            server = self.server = Server(config, listener, EmulatedSubsystems(fleet, self))
        server.health_reporter.socket.close()
        server.clock = server.listener.clock = server.requests.clock = loop.wall  # type: ignore[assignment]
        server.listener.socket = None
        server.health_reporter = Reports(self)  # type: ignore[assignment]
        life = self.life
        self.executor = Executor(
            self.cores,
            self.work,
            self.ran,
            lambda *told: self.ended(life, *told),
            server.requests.run_reached_call,
        )
        server.connect(self.executor, Pool(fleet.below))  # type: ignore[arg-type]
        server.executor_connected(cold, 0 if cold else 600_000)

    def work(self, id: str) -> tuple[float, int, float]:
        order = self.attempts[id].order
        return order.work, order.calls, order.kb * (self.fleet.world.machines.run_factor - 1)

    def ran(self, id: str, body: bytes) -> None:
        self.fleet.rules.runs(self.fleet.loop.now, id)

    def ended(self, life: int, id: str, end: RunStatus, took: int, result: bytes) -> None:
        if life == self.life and self.up and self.server is not None:
            if (
                self.fails
                and end is RunStatus.PASSED
                and self.fleet.fault_chance.random() < self.fails
            ):
                end, result = RunStatus.FAILED, b""
            if end is RunStatus.PASSED:
                self.fleet.rules.makes(id, result)
            self.server.requests.run_ended(id, end, took, result)

    def reach(self, attempt: "Attempt") -> None:
        """A try's last byte comes to the machine; reading it takes its cores first."""
        came, life, order = self.fleet.loop.now, self.life, attempt.order
        self.attempts[attempt.id] = attempt
        assert self.server is not None
        self.server.listener.connections.add(attempt)  # type: ignore[arg-type]
        self.booked += order.kb
        self.reading += 1
        work = self.fleet.world.machines.intake * self.fleet.world.work_ms
        self.cores.add(work, lambda: self.read(attempt, came, life, order))

    def read(self, attempt: "Attempt", came: float, life: int, order: Order) -> None:
        server, fleet = self.server, self.fleet
        self.reading -= life == self.life
        if life != self.life or not self.up or server is None or attempt.cut:
            if life == self.life:
                self.forget(attempt)
            return
        product = fleet.world.products[order.product]
        # Nothing can be answered before it is read: where that alone takes past its expiry, it is
        # due at once.
        fleet.rules.read(
            came,
            self.name,
            life,
            attempt.id,
            max(product.expiry_ms / 1000, fleet.loop.now - came),
            order.mark if product.kind == "referenced" else "",
            product.window_ms / 1000,
            product.kind == "once",
        )
        once, tenants = order.mark if product.kind == "referenced" else "", fleet.world.tenants
        attempt.asked = IncomingRequest(
            attempt,
            attempt.number,
            product.name,
            attempt.id,
            fleet.loop.wall() - int((fleet.loop.now - came) * SECOND),
            attempt.caller.name,
            int(order.hint * MS),
            order.kb,
            order.rank,
            once,
            "",
            order.body,
            attempt.retry,
            tenants[order.tenant].name if tenants else "",
        )
        server.requests.receive(attempt.asked)

    def forget(self, attempt: "Attempt") -> None:
        if self.attempts.pop(attempt.id, None) is not None:
            self.booked -= attempt.order.kb
            if self.server is not None:
                self.server.listener.connections.discard(attempt)

    def answered(self, attempt: "Attempt", answer: str, result: bytes) -> None:
        self.fleet.rules.answers(self.fleet.loop.now, attempt.id, answer, result)
        self.forget(attempt)
        self.executor.answered(attempt.id)

    @property
    def open(self) -> bool:
        """Whether its listener is."""
        return self.up and self.server is not None and not self.server.listener.is_draining

    def cut(self, attempt: "Attempt") -> None:
        """The connection of this try went."""
        self.fleet.rules.gone(attempt.id)
        if (
            self.up
            and self.server is not None
            and attempt.id in self.attempts
            and attempt.asked is not None
        ):
            self.server.requests.connection_lost(attempt.asked)

    def drain(self) -> None:
        if self.up and self.server is not None and not self.server.is_shutting_down:
            self.fleet.rules.drained(self.fleet.loop.now, self.name, self.life)
            self.server.begin_shutdown()

    def stop(self, killed: bool) -> None:
        """The end of its process: `killed` outright, or gone of its own once it has drained."""
        if not self.up or self.server is None:
            return
        self.up = False
        self.fleet.rules.stopped(self.fleet.loop.now, self.name, self.life, killed)
        self.executor.stop()
        if not killed:
            self.server.subsystems.membership.close()
            if self.fleet.rolls is not None:
                self.fleet.loop.create_task(self.server.subsystems.rollout.close())
        for task in list(self.server.tasks.running):
            task.cancel()
        self.server = None
        for attempt in list(self.attempts.values()):
            attempt.broken()
        self.attempts = {}
        self.fleet.listed(self, None)

    def look(self, span: float) -> None:
        if self.up:
            told = self.fleet.world.machines
            kb = self.booked + self.executor.held
            # What reading takes of the cores is not in its hands: runs alone count. A cold one
            # survives less.
            survives = 1 + (told.tip_multiple - 1) * self.cores.warmth()
            wanting = (len(self.cores.jobs) - self.reading) * told.tip_multiple / survives
            self.fleet.rules.sees(
                self.fleet.loop.now,
                span,
                self.name,
                self.life,
                wanting,
                told.cores,
                kb / (told.memory_mb * 1000),
            )

    def sizes(self) -> dict[str, int]:
        """How many of everything that could grow."""
        desk = self.server.requests.dispatcher if self.server is not None else None
        if desk is None or self.server is None:
            return {}
        sizes = desk.controller.sizes()
        return {
            "seats": len(desk.slots),
            "refs": len(desk.refs_by_id),
            "callers": len(desk.callers),
            "wakes": len(desk.timers),
            "outbox": len(desk.outbox),
            "copies": len(desk.duplicate_answers),
            "marks": len(desk.idempotency_table.records),
            "wheel": sum(map(len, desk.idempotency_table.timer_wheel.slots.values())),
            "cases": sizes.requests,
            "live": sizes.live,
            "spent": sizes.ended,
            "lingering": sizes.lingering_calls,
            "serving": len(self.server.requests.open_requests),
            "tasks": len(self.server.tasks.running),
        }
