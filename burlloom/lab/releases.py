"""Releases over nodes in simulated time.

Either the servers' real rollout code, with a store in memory that answers late and fails; or an
operator's script that does not use the rollout state.
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

LOST_ANSWER_TIMEOUT_S = 0.5  # until a lost access to the store is given up


class SimulatedRolloutHost:
    """A node's server as the rollout sees it; its shutdown goes through the emulator."""

    def __init__(self, emulator: Emulator, node: Node, server: Server) -> None:
        """Creates the host of a node's server."""
        self.emulator, self.node, self.server = emulator, node, server
        self.is_ready = server.is_ready
        self.is_healthy_and_recovered = server.is_healthy_and_recovered

    @property
    def is_shutting_down(self) -> bool:
        """Whether the server is draining."""
        return self.server.is_shutting_down

    def begin_shutdown(self) -> None:
        """Drains the node and replaces its process."""
        self.emulator.replace_node(self.node)


class SimulatedRolloutStore(RolloutStore):
    """A store in memory whose answers are delayed or lost.

    Attributes:
        snapshot: The stored state.
        latest_reports: The newest report of each server, by name.
    """

    def __init__(self, loss_rate: float, seed: int) -> None:
        """Creates a store with an empty state.

        Args:
            loss_rate: Share of accesses that fail: half of them before and half after they took
                effect.
            seed: Seed of the delays and losses.
        """
        self.loss_rate, self.random = loss_rate, default_rng(seed)
        self.snapshot = StateSnapshot(1, 0, RolloutState())
        self.latest_reports: dict[str, ServerReport] = {}

    async def run_remotely(self, step: Callable[[], Any]) -> Any:
        """Runs an access after 0.5 to 3 ms.

        Raises:
            StoreUnavailableError: The access was lost, before or after it took effect.
        """
        await asyncio.sleep(float(self.random.uniform(0.0005, 0.003)))
        draw = self.random.random()
        if draw < self.loss_rate / 2:
            await asyncio.sleep(LOST_ANSWER_TIMEOUT_S)
            raise StoreUnavailableError("access lost before it took effect")
        result = step()
        if draw < self.loss_rate:
            await asyncio.sleep(LOST_ANSWER_TIMEOUT_S)
            raise StoreUnavailableError("answer lost after the access took effect")
        return result

    async def open(self) -> None:
        """Does nothing: the state exists from the creation."""

    async def read(self, known: StateSnapshot | None = None) -> StateSnapshot:
        """Returns the state."""
        snapshot: StateSnapshot = await self.run_remotely(lambda: self.snapshot)
        return snapshot

    async def compare_and_swap(self, snapshot: StateSnapshot, state: RolloutState) -> bool:
        """Writes `state` if the stored state is still `snapshot`; returns whether it did."""

        def step() -> bool:
            is_unchanged = snapshot.revision == self.snapshot.revision
            if is_unchanged:
                self.snapshot = StateSnapshot(
                    self.snapshot.revision + 1, self.snapshot.heartbeat, state
                )
            return is_unchanged

        return bool(await self.run_remotely(step))

    async def raise_heartbeat(self, epoch: int) -> None:
        """Raises the leader's heartbeat, unless a later epoch has begun."""

        def step() -> None:
            if epoch == self.snapshot.state.epoch:
                self.snapshot = replace(self.snapshot, heartbeat=self.snapshot.heartbeat + 1)

        await self.run_remotely(step)

    async def write_report(self, report: ServerReport) -> bool:
        """Stores a server's report, unless a later incarnation has reported; returns whether it did."""

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
        """Does nothing: there is no connection."""


class SimulatedReleases:
    """Versions of the nodes, and the failures that they cause.

    Attributes:
        failure_rates: Share of runs that fail, by version; 0 for versions without an entry.
        restart_s: Range of the time in s from a process's end to the next one's start.
        versions: By node name, the version that it runs or that its next process runs.
        nodes_with_bad_version: Names of nodes that have run a version with failures.
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
            emulator: The simulation.
            version: Version that all nodes run.
            failure_rates: Share of runs that fail, by version.
            restart_s: Range of the time in s from a process's end to the next one's start.
        """
        self.emulator, self.failure_rates, self.restart_s = emulator, failure_rates, restart_s
        self.versions = {node.name: version for node in emulator.nodes}
        self.random = default_rng(emulator.scenario.seed + 7)
        self.nodes_with_bad_version: set[str] = set()

    def draw_restart_s(self) -> float:
        """Returns the time in s from a process's end to the next one's start."""
        return float(self.random.uniform(*self.restart_s))

    def begin_version(self, node: Node, version: str) -> None:
        """Sets the version of a node, and the failure rate that comes with it."""
        node.version, node.failure_rate = version, self.failure_rates.get(version, 0.0)
        if node.failure_rate:
            self.nodes_with_bad_version.add(node.name)

    def create_participation(self, node: Node) -> Callable[[Server], RolloutParticipation]:
        """Returns the function that creates the participation of a node's server in releases."""
        self.begin_version(node, self.versions[node.name])
        return lambda server: NoRolloutParticipation()

    @property
    def out_count(self) -> int:
        """Number of nodes that do not serve."""
        return sum(
            not node.is_up or node.server is None or node.server.is_shutting_down
            for node in self.emulator.nodes
        )


class CoordinatedReleases(SimulatedReleases):
    """Releases by the servers' real rollout code.

    Attributes:
        first_version: Version of nodes for which the rollout state has none.
        part: The `rollout` part of the operator's file.
        store: Holds the rollout state.
    """

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
            emulator: The simulation.
            version: Version that all nodes run.
            failure_rates: Share of runs that fail, by version.
            restart_s: Range of the time in s from a process's end to the next one's start.
            part: The `rollout` part of the operator's file.
            loss_rate: Share of accesses to the store that fail.
        """
        super().__init__(emulator, version, failure_rates, restart_s)
        self.first_version, self.part = version, part
        self.store = SimulatedRolloutStore(loss_rate, emulator.scenario.seed)

    def create_participation(self, node: Node) -> Callable[[Server], RolloutParticipation]:
        """Returns the function that creates the participation of a node's server in releases."""

        def create(server: Server) -> ConfiguredRolloutParticipation:
            loop, state = self.emulator.loop, self.store.snapshot.state
            self.begin_version(node, state.find_next_version(node.name) or self.first_version)
            participation = ConfiguredRolloutParticipation(
                self.part,
                self.store,
                node.name,
                node.version,
                server.config.settings.request_classes,
                loop.unix_time_ns,
                server.tasks,
                SimulatedRolloutHost(self.emulator, node, server),
                lambda: server.subsystems.membership,
                loop.unix_time_ns,
            )
            loop.call_soon(participation.open)
            return participation

        return create

    def apply_order(self, order: Callable[[RolloutState], RolloutState]) -> bool:
        """Applies an operator's order to the state at once; returns False if it was rejected."""
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
    """Releases by an operator's script, which does not know which other nodes are out of service."""

    def begin_script(
        self,
        nodes: Sequence[Node],
        version: str,
        batch_size: int,
        wait_s: float,
        pause_s: float = 0.0,
    ) -> None:
        """Begins a script.

        Args:
            nodes: The nodes in the order of their replacement.
            version: Version that they are to run; empty: they restart with the version they have.
            batch_size: Number of nodes that are replaced at a time.
            wait_s: Most time in s that the script waits until a batch is healthy again.
            pause_s: Time in s between two batches without a look at the nodes; 0: the script waits
                until the nodes are healthy.
        """
        asyncio.ensure_future(
            self.run(nodes, version, batch_size, wait_s, pause_s), loop=self.emulator.loop
        )

    async def run(
        self, nodes: Sequence[Node], version: str, batch_size: int, wait_s: float, pause_s: float
    ) -> None:
        """Replaces the nodes, batch by batch; the parameters are those of `begin_script`."""
        remaining = list(nodes)
        while remaining:
            batch, remaining = remaining[:batch_size], remaining[batch_size:]
            incarnations = [node.incarnation for node in batch]
            for node in batch:
                self.versions[node.name] = version or self.versions[node.name]
                self.emulator.replace_node(node)
            if pause_s:
                await asyncio.sleep(pause_s)
                continue
            for _ in range(int(wait_s / 0.25)):
                await asyncio.sleep(0.25)
                if all(
                    node.is_up
                    and node.incarnation > incarnation
                    and node.server is not None
                    and node.server.is_healthy()
                    for node, incarnation in zip(batch, incarnations, strict=True)
                ):
                    break
