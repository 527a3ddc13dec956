"""Releases over a fleet in simulated time.

Either the servers' real part in them, with a store in memory that takes its time and fails; or an
operator's script that knows nothing of any of it.
"""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Any

from numpy.random import default_rng

from ..operator import RolloutPart
from ..rollout import OrderRejectedError, RolloutState
from ..rollout.liveness import ServerReport
from ..rollout.stores import RolloutStore, StateSnapshot, StoreUnavailableError
from ..server.configured_rollout import ConfiguredRolloutParticipation
from ..server.rollout import NoRolloutParticipation, RolloutParticipation
from ..server.server import Server
from .emulator import Emulator
from .node import Node

LOST_ANSWER_TIMEOUT_S = 0.5  # s until a step that is lost is given up


class SimulatedRolloutHost:
    """A node's server, whose shutdown is the emulator's."""

    def __init__(self, emulator: Emulator, node: Node, server: Server) -> None:
        """Stands between the server and the emulator."""
        self.emulator, self.node, self.server = emulator, node, server
        self.is_ready = server.is_ready
        self.is_healthy_and_recovered = server.is_healthy_and_recovered

    @property
    def is_shutting_down(self) -> bool:
        """Whether the server drains."""
        return self.server.is_shutting_down

    def begin_shutdown(self) -> None:
        """Has the node's process replaced."""
        self.emulator.replace(self.node)


class SimulatedRolloutStore(RolloutStore):
    """A store in memory, whose answers take a while or are lost.

    Attributes:
        snapshot: What is stored.
        latest_reports: Of each server.
    """

    def __init__(self, loss_rate: float, seed: int) -> None:
        """Begins with an empty state.

        Args:
            loss_rate: Of steps whose answer is lost, before or after they took hold.
            seed: For times and losses.
        """
        self.loss_rate, self.random = loss_rate, default_rng(seed)
        self.snapshot = StateSnapshot(1, 0, RolloutState())
        self.latest_reports: dict[str, ServerReport] = {}

    async def run_remotely(self, step: Callable[[], Any]) -> Any:
        """Runs a step after a while, and loses its answer now and then."""
        await asyncio.sleep(float(self.random.uniform(0.0005, 0.003)))
        lost = self.random.random()
        if lost < self.loss_rate / 2:
            await asyncio.sleep(LOST_ANSWER_TIMEOUT_S)
            raise StoreUnavailableError("lost on the way there")
        found = step()
        if lost < self.loss_rate:
            await asyncio.sleep(LOST_ANSWER_TIMEOUT_S)
            raise StoreUnavailableError("lost on the way back")
        return found

    async def open(self) -> None:
        """Does nothing: there is a state from the beginning."""

    async def read(self, known: StateSnapshot | None = None) -> StateSnapshot:
        """Reads the state."""
        found: StateSnapshot = await self.run_remotely(lambda: self.snapshot)
        return found

    async def compare_and_swap(self, snapshot: StateSnapshot, state: RolloutState) -> bool:
        """Writes `state` if nobody wrote since `snapshot` was read."""

        def step() -> bool:
            held = snapshot.revision == self.snapshot.revision
            if held:
                self.snapshot = StateSnapshot(
                    self.snapshot.revision + 1, self.snapshot.heartbeat, state
                )
            return held

        return bool(await self.run_remotely(step))

    async def raise_heartbeat(self, epoch: int) -> None:
        """Raises the leader's heartbeat."""

        def step() -> None:
            if epoch == self.snapshot.state.epoch:
                self.snapshot = replace(self.snapshot, heartbeat=self.snapshot.heartbeat + 1)

        await self.run_remotely(step)

    async def write_report(self, report: ServerReport) -> bool:
        """Stores a server's report, unless a later incarnation has reported."""

        def step() -> bool:
            known = self.latest_reports.get(report.name)
            if known is None or known.incarnation <= report.incarnation:
                self.latest_reports[report.name] = report
            return known is None or known.incarnation <= report.incarnation

        return bool(await self.run_remotely(step))

    async def read_last_report(self, name: str) -> ServerReport | None:
        """Returns the newest report under this name."""
        return self.latest_reports.get(name)

    async def read_reports(self) -> list[ServerReport]:
        """Returns the newest report of each server."""
        return list(self.latest_reports.values())

    async def delete_report(self, name: str) -> None:
        """Deletes the report under this name."""
        self.latest_reports.pop(name, None)

    async def close(self) -> None:
        """Does nothing: nothing is held."""


class SimulatedReleases:
    """The versions that nodes run, and what fails with them.

    Attributes:
        versions: By node, that it runs or is to run.
        nodes_with_bad_version: That ran one with failures at any time.
    """

    def __init__(
        self,
        emulator: Emulator,
        version: str,
        failure_rates: dict[str, float],
        restart_s: tuple[float, float],
    ) -> None:
        """Begins with one version on all nodes.

        Args:
            emulator: Of the nodes.
            version: That all run.
            failure_rates: Of runs, by version.
            restart_s: The least and the most time from a process's end to the next one's start.
        """
        self.emulator, self.failure_rates, self.restart_s = emulator, failure_rates, restart_s
        self.versions = {node.name: version for node in emulator.nodes}
        self.random = default_rng(emulator.world.seed + 7)
        self.nodes_with_bad_version: set[str] = set()  # nodes that ran a bad one

    def draw_restart_s(self) -> float:
        """Returns the time from a process's end to the next one's start."""
        return float(self.random.uniform(*self.restart_s))

    def begin_version(self, node: Node, version: str) -> None:
        """Has a node run a version from now on."""
        node.version, node.fails = version, self.failure_rates.get(version, 0.0)
        if node.fails:
            self.nodes_with_bad_version.add(node.name)

    def participation(self, node: Node) -> Callable[[Server], RolloutParticipation]:
        """Returns what makes the rollout's part of a node's server."""
        self.begin_version(node, self.versions[node.name])
        return lambda server: NoRolloutParticipation()

    @property
    def out_count(self) -> int:
        """How many nodes don't serve."""
        return sum(
            not node.up or node.server is None or node.server.is_shutting_down
            for node in self.emulator.nodes
        )


class CoordinatedReleases(SimulatedReleases):
    """Releases by the rollout state, with the servers' real part in them."""

    def __init__(
        self,
        emulator: Emulator,
        version: str,
        failure_rates: dict[str, float],
        restart_s: tuple[float, float],
        part: RolloutPart,
        loss_rate: float = 0.0,
    ) -> None:
        """Begins with an empty store.

        Args:
            emulator: Of the nodes.
            version: That all run.
            failure_rates: Of runs, by version.
            restart_s: The least and the most time from a process's end to the next one's start.
            part: The `rollout` part of the operator's file.
            loss_rate: Of the store's answers.
        """
        super().__init__(emulator, version, failure_rates, restart_s)
        self.first_version, self.part = version, part
        self.store = SimulatedRolloutStore(loss_rate, emulator.world.seed)

    def participation(self, node: Node) -> Callable[[Server], RolloutParticipation]:
        """Returns what makes the rollout's part of a node's server."""

        def make(server: Server) -> ConfiguredRolloutParticipation:
            loop, book = self.emulator.loop, self.store.snapshot.state
            self.begin_version(node, book.find_next_version(node.name) or self.first_version)
            made = ConfiguredRolloutParticipation(
                self.part,
                self.store,
                node.name,
                node.version,
                server.config.settings.request_classes,
                loop.wall,
                server.tasks,
                SimulatedRolloutHost(self.emulator, node, server),
                lambda: server.subsystems.membership,
                loop.wall,
            )
            loop.call_soon(made.open)
            return made

        return make

    def order(self, order: Callable[[RolloutState], RolloutState]) -> bool:
        """Writes an operator's order at once; False where it was rejected."""
        try:
            self.store.snapshot = replace(
                self.store.snapshot,
                revision=self.store.snapshot.revision + 1,
                state=order(self.store.snapshot.state),
            )
        except OrderRejectedError:
            return False
        return True


class ScriptedReleases(SimulatedReleases):
    """Releases by an operator's script, which knows nothing of what else is out."""

    def script(
        self, nodes: Sequence[Node], version: str, most: int, wait_s: float, pause_s: float = 0.0
    ) -> None:
        """Begins a script.

        Args:
            nodes: In their order.
            version: That they are to run; empty: as they are, started anew.
            most: How many at a time.
            wait_s: For them to be up again, at most.
            pause_s: Between two batches by the clock alone; 0: the script looks at the nodes.
        """
        asyncio.ensure_future(
            self.run(nodes, version, most, wait_s, pause_s), loop=self.emulator.loop
        )

    async def run(
        self, nodes: Sequence[Node], version: str, most: int, wait_s: float, pause_s: float
    ) -> None:
        """Replaces the nodes, batch by batch; the parameters are those of `script`."""
        left = list(nodes)
        while left:
            batch, left = left[:most], left[most:]
            lives = [node.life for node in batch]
            for node in batch:
                self.versions[node.name] = version or self.versions[node.name]
                self.emulator.replace(node)
            if pause_s:
                await asyncio.sleep(pause_s)
                continue
            for _ in range(int(wait_s / 0.25)):
                await asyncio.sleep(0.25)
                if all(
                    node.up
                    and node.life > life
                    and node.server is not None
                    and node.server.is_healthy()
                    for node, life in zip(batch, lives, strict=True)
                ):
                    break
