"""Releases over a fleet in simulated time: the servers' real part in them, and the book in memory
behind a way that takes its time and fails; or an operator's script that knows nothing of any of it.
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

GIVEN_UP = 0.5  # s until a step that is lost is given up


class Host:
    """A node's server, whose drain is the emulator's."""

    def __init__(self, emulator: Emulator, node: Node, server: Server) -> None:
        self.emulator, self.node, self.server = emulator, node, server
        self.is_ready = server.is_ready
        self.is_healthy_and_recovered = server.is_healthy_and_recovered

    @property
    def is_shutting_down(self) -> bool:
        return self.server.is_shutting_down

    def begin_shutdown(self) -> None:
        self.emulator.replace(self.node)


class SimulatedRolloutStore(RolloutStore):
    """`loses`: the share of steps whose answer is lost, before or after they took hold."""

    def __init__(self, loses: float, seed: int) -> None:
        self.loses, self.chance = loses, default_rng(seed)
        self.snapshot = StateSnapshot(1, 0, RolloutState())
        self.latest_reports: dict[str, ServerReport] = {}

    async def way(self, step: Callable[[], Any]) -> Any:
        await asyncio.sleep(float(self.chance.uniform(0.0005, 0.003)))
        lost = self.chance.random()
        if lost < self.loses / 2:
            await asyncio.sleep(GIVEN_UP)
            raise StoreUnavailableError("lost on the way there")
        found = step()
        if lost < self.loses:
            await asyncio.sleep(GIVEN_UP)
            raise StoreUnavailableError("lost on the way back")
        return found

    async def open(self) -> None: ...

    async def read(self, known: StateSnapshot | None = None) -> StateSnapshot:
        found: StateSnapshot = await self.way(lambda: self.snapshot)
        return found

    async def compare_and_swap(self, page: StateSnapshot, book: RolloutState) -> bool:
        def step() -> bool:
            held = page.revision == self.snapshot.revision
            if held:
                self.snapshot = StateSnapshot(
                    self.snapshot.revision + 1, self.snapshot.heartbeat, book
                )
            return held

        return bool(await self.way(step))

    async def heartbeat(self, epoch: int) -> None:
        def step() -> None:
            if epoch == self.snapshot.state.epoch:
                self.snapshot = replace(self.snapshot, heartbeat=self.snapshot.heartbeat + 1)

        await self.way(step)

    async def report(self, member: ServerReport) -> bool:
        def step() -> bool:
            known = self.latest_reports.get(member.name)
            if known is None or known.incarnation <= member.incarnation:
                self.latest_reports[member.name] = member
            return known is None or known.incarnation <= member.incarnation

        return bool(await self.way(step))

    async def last_report(self, name: str) -> ServerReport | None:
        return self.latest_reports.get(name)

    async def reports(self) -> list[ServerReport]:
        return list(self.latest_reports.values())

    async def forget_report(self, name: str) -> None:
        self.latest_reports.pop(name, None)

    async def close(self) -> None: ...


class Releases:
    """`bad`: the share of runs that fail, by version. `restart_s`: from a process's end to the next
    one's start.
    """

    def __init__(
        self,
        emulator: Emulator,
        version: str,
        bad: dict[str, float],
        restart_s: tuple[float, float],
    ) -> None:
        self.emulator, self.bad, self.restart_s = emulator, bad, restart_s
        self.versions = {node.name: version for node in emulator.nodes}
        self.chance = default_rng(emulator.world.seed + 7)
        self.ever: set[str] = set()  # nodes that ran a bad one

    def restarts(self) -> float:
        return float(self.chance.uniform(*self.restart_s))

    def begins(self, node: Node, version: str) -> None:
        node.version, node.fails = version, self.bad.get(version, 0.0)
        if node.fails:
            self.ever.add(node.name)

    def rolling(self, node: Node) -> Callable[[Server], RolloutParticipation]:
        self.begins(node, self.versions[node.name])
        return lambda server: NoRolloutParticipation()

    @property
    def out(self) -> int:
        return sum(
            not node.up or node.server is None or node.server.is_shutting_down
            for node in self.emulator.nodes
        )


class Agreed(Releases):
    """By the book."""

    def __init__(
        self,
        emulator: Emulator,
        version: str,
        bad: dict[str, float],
        restart_s: tuple[float, float],
        part: RolloutPart,
        loses: float = 0.0,
    ) -> None:
        super().__init__(emulator, version, bad, restart_s)
        self.first, self.part = version, part
        self.shelf = SimulatedRolloutStore(loses, emulator.world.seed)

    def rolling(self, node: Node) -> Callable[[Server], RolloutParticipation]:
        def make(server: Server) -> ConfiguredRolloutParticipation:
            loop, book = self.emulator.loop, self.shelf.snapshot.state
            self.begins(node, book.next_version_of(node.name) or self.first)
            made = ConfiguredRolloutParticipation(
                self.part,
                self.shelf,
                node.name,
                node.version,
                server.config.settings.request_classes,
                loop.wall,
                server.tasks,
                Host(self.emulator, node, server),
                lambda: server.subsystems.membership,
                loop.wall,
            )
            loop.call_soon(made.open)
            return made

        return make

    def order(self, order: Callable[[RolloutState], RolloutState]) -> bool:
        """An operator's, taken at once; False where it was denied."""
        try:
            self.shelf.snapshot = replace(
                self.shelf.snapshot,
                revision=self.shelf.snapshot.revision + 1,
                state=order(self.shelf.snapshot.state),
            )
        except OrderRejectedError:
            return False
        return True


class Scripted(Releases):
    """`most` at a time, the next ones when these are up again, or after `wait_s` at the latest; or,
    with `pause_s`, by the clock alone. What else is out it does not know. Without a version, they
    start anew as they are.
    """

    def script(
        self, nodes: Sequence[Node], version: str, most: int, wait_s: float, pause_s: float = 0.0
    ) -> None:
        asyncio.ensure_future(
            self.run(nodes, version, most, wait_s, pause_s), loop=self.emulator.loop
        )

    async def run(
        self, nodes: Sequence[Node], version: str, most: int, wait_s: float, pause_s: float
    ) -> None:
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
