"""A fleet in simulated time: nodes, balancers, the list of nodes, the catalogue, an open load, and
faults at times.
"""

import asyncio
import logging
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from hdrh.histogram import HdrHistogram
from numpy.random import Generator, default_rng

from ..server.membership import FleetMembership
from ..server.recovery import RestartRecovery
from ..server.request_record import RequestRecord
from ..server.rollout import RolloutParticipation
from ..server.server import Server
from ..server.service_levels import ServiceLevels
from .below import Catalogue
from .callers import Balancer
from .clock import SimulatedLoop, simulated
from .load import Order, orders
from .node import Node
from .rules import Rules
from .world import Fault, World

LOOK, FORGET = (
    0.25,
    5.0,
)  # s between looks at each node, and between forgettings of what is long over
RESTARTING = 0.5  # s from a process's end to the next one's start, in a release
LATENCY_MOST = 60_000_000  # us


@dataclass(slots=True)
class Second:
    """What one second's first tries came to, by product; value is worth times work."""

    asked: list[float]
    settled: list[float]
    late: list[int]


@dataclass
class Outcome:
    world: str
    faults: list[str]
    count: dict[str, int]
    asked: dict[str, float]  # value, by product
    settled: dict[str, float]  # within its SLA time
    lost: dict[str, dict[str, int]]  # why txns were missed, by product
    latency_ms: dict[str, tuple[float, float]]  # p50 and p99 of settled ones
    seconds: list[Second]
    sizes_most: dict[str, int]  # of any node at any look
    sizes_last: dict[str, int]
    series: list[dict[str, float]]  # a row a second of whatever is watched
    took: float = 0.0  # s of real time

    @property
    def share(self) -> float:
        return sum(self.settled.values()) / max(1e-9, sum(self.asked.values()))

    def share_of(self, product: str) -> float:
        return self.settled[product] / max(1e-9, self.asked[product])


@dataclass
class Watch:
    """What is looked at once a second, beside the fleet's own figures."""

    row: Callable[["Emulator"], dict[str, float]] = field(default=lambda fleet: {})


class Fleets(Protocol):
    """What joins the nodes' servers into a fleet."""

    def membership(
        self, node: Node, server: Server, recovery: RestartRecovery
    ) -> FleetMembership: ...


class Rolls(Protocol):
    """What agrees on the nodes' releases, and when a new process is there."""

    def participation(self, node: Node) -> Callable[[Server], RolloutParticipation]: ...
    def draw_restart_s(self) -> float: ...


class Emulator:
    """One play of a world. `keeping` gives each server its record, `leveling` its levels of reduced
    service.
    """

    def __init__(
        self,
        world: World,
        loop: SimulatedLoop,
        keeping: Callable[[Server], RequestRecord] | None = None,
        leveling: Callable[[Server], ServiceLevels] | None = None,
        watch: Watch | None = None,
        fleets: Callable[["Emulator"], Fleets] | None = None,
        recovering: Callable[[Server], RestartRecovery] | None = None,
        rolls: Callable[["Emulator"], Rolls] | None = None,
    ) -> None:
        self.world, self.loop, self.keeping, self.leveling, self.watch = (
            world,
            loop,
            keeping,
            leveling,
            watch or Watch(),
        )
        self.recovering = recovering
        self.fleets = fleets(self) if fleets is not None else None
        seeds = default_rng(world.seed).spawn(6)
        self.load_chance, self.way_chance, self.fault_chance, self.list_chance, below, machines = (
            seeds
        )
        told, callers = world.machines, world.callers
        self.settings = world.settings(told.first or told.count)
        self.below = Catalogue(loop, world.below, below)
        self.rules = Rules(
            told.grace_ms / 1000, told.tip_multiple, world.below.slots * world.below.headroom
        )
        self.count: Counter[str] = Counter()
        self.ids = 0
        speeds = [float(machines.uniform(*told.speed)) for _ in range(told.count)]
        self.nodes = [
            Node(self, index, index % told.zones, speed) for index, speed in enumerate(speeds)
        ]
        self.capacity = sum(speeds) * told.cores * 1000
        self.balancers = [
            Balancer(
                self,
                index,
                index % told.zones,
                machines.random() < callers.heed,
                machines.random() < callers.checks,
                int(machines.integers(told.count)),
            )
            for index in range(callers.count)
        ]
        self.list: list[int] = []
        self.cuts: set[int] = set()  # zones that hear only themselves
        self.floods: list[Fault] = []
        products = len(world.products)
        self.seconds = [
            Second([0.0] * products, [0.0] * products, [0] * products)
            for _ in range(int(world.seconds) + 1)
        ]
        self.latency = [HdrHistogram(1, LATENCY_MOST, 3) for _ in world.products]
        self.lost: list[Counter[str]] = [Counter() for _ in world.products]  # why, by product
        self.sizes_most: Counter[str] = Counter()
        self.series: list[dict[str, float]] = []
        self.rolls = rolls(self) if rolls is not None else None

    # What the parts ask.

    def seed_of(self, node: Node) -> int:
        return self.world.seed * 1_000_003 + node.index * 1009 + node.life

    def net(self) -> float:
        low, high = self.world.callers.net_ms
        return float(low + (high - low) * self.way_chance.random()) / 1000

    def new_id(self) -> str:
        self.ids += 1
        return f"{self.ids:016x}"

    def expiry(self, order: Order) -> float:
        return self.world.products[order.product].expiry_ms / 1000

    def inquiry(self, order: Order) -> bool:
        return self.world.products[order.product].kind == "inquiry"

    def hears(self, balancer: Balancer, node: Node) -> bool:
        return balancer.zone == node.zone or not self.cuts & {balancer.zone, node.zone}

    def listed(self, node: Node, serving: bool | None) -> None:
        """`serving`: what it reported; None: it fell silent. All balancers learn of it late."""
        callers = self.world.callers
        late = float(
            self.list_chance.uniform(*(callers.silent_s if serving is None else callers.notice_s))
        )
        life = node.life
        self.loop.call_later(late if self.loop.now else 0.0, self.learn, node, bool(serving), life)

    def learn(self, node: Node, serving: bool, life: int) -> None:
        if life != node.life and not serving:
            return  # it is back, and has reported since
        if serving and node.index not in self.list:
            self.list = sorted([*self.list, node.index])
        elif not serving and node.index in self.list:
            self.list = [one for one in self.list if one != node.index]

    def settled(self, order: Order) -> None:
        if order.settled_at >= 0 or self.loop.now - order.at > self.expiry(order):
            return
        order.settled_at, order.over = self.loop.now, True
        product, span = self.world.products[order.product], self.loop.now - order.at
        self.latency[order.product].record_value(min(LATENCY_MOST, max(1, int(span * 1e6))))
        second = self.seconds[int(order.at)]
        if span <= product.sla_ms / 1000:
            self.count["in time"] += 1
            second.settled[order.product] += product.value * order.work
        else:
            self.count["late"] += 1
            second.late[order.product] += 1

    def missed(self, order: Order, why: str) -> None:
        if not order.over:
            order.over = True
            self.count[f"missed: {why}"] += 1
            self.lost[order.product][why] += 1

    # The play.

    async def play(self) -> None:
        world = self.world
        for node in self.nodes[: world.machines.first or None]:
            node.start(cold=False)
        await asyncio.sleep(0.01)
        for fault in world.faults:
            self.loop.call_later(fault.at_s, self.begin, fault)
        tasks = [
            asyncio.create_task(work) for work in (self.looks(), self.checks(), self.watched())
        ]
        for order in orders(world, self.capacity, self.load_chance):
            await asyncio.sleep(max(0.0, order.at - self.loop.now))
            self.come(order)
        await asyncio.sleep(max(product.expiry_ms for product in world.products) / 1000 + 1)
        for task in tasks:
            task.cancel()
        for node in self.nodes:
            node.look(LOOK)

    def come(self, order: Order) -> None:
        order.at = self.loop.now
        product = self.world.products[order.product]
        self.count["first tries"] += 1
        self.seconds[min(int(order.at), len(self.seconds) - 1)].asked[order.product] += (
            product.value * order.work
        )
        # A client's own patience: it gives up at its expiry, and its balancer says nothing of it.
        self.loop.call_later(self.expiry(order), self.missed, order, "expired")
        balancer = self.balancers[int(self.way_chance.integers(len(self.balancers)))]
        balancer.ask(order)
        for flood in self.floods:
            if flood.product == product.name:
                for _ in range(int(flood.size)):
                    order.tried.clear()
                    balancer.ask(order, True)

    async def looks(self) -> None:
        last_area, last = 0.0, self.loop.now
        while True:
            await asyncio.sleep(LOOK)
            for node in self.nodes:
                node.look(LOOK)
                for name, size in node.sizes().items():
                    self.sizes_most[name] = max(self.sizes_most[name], size)
            if self.loop.now - last >= FORGET:
                self.below.count(0)
                self.rules.sees_calls(
                    self.loop.now, (self.below.area - last_area) / (self.loop.now - last)
                )
                last_area, last = self.below.area, self.loop.now
                self.rules.forget(self.loop.now)

    async def checks(self) -> None:
        while True:
            await asyncio.sleep(1.0)
            for balancer in self.balancers:
                if balancer.checks:
                    balancer.check()

    async def watched(self) -> None:
        while True:
            await asyncio.sleep(1.0)
            up = [node for node in self.nodes if node.up]
            row = {
                "at": self.loop.now,
                "up": float(len(up)),
                "listed": float(len(self.list)),
                "calls": float(self.below.in_hand),
                "tries": float(self.count["tries"]),
            }
            self.series.append(row | self.watch.row(self))

    # Faults.

    def some(self, part: float, of: int, chance: Generator) -> list[int]:
        return sorted(int(one) for one in chance.permutation(of)[: max(1, round(part * of))])

    def begin(self, fault: Fault) -> None:
        ends: Callable[[], Any] = lambda: None
        match fault.kind:
            case "kill":
                nodes = [
                    self.nodes[one]
                    for one in self.some(fault.part, len(self.nodes), self.fault_chance)
                ]
                for node in nodes:
                    node.stop(killed=True)
                ends = lambda: self.come_back(nodes)
            case "join":
                down = [node for node in self.nodes if not node.up and not node.life][
                    : int(fault.size)
                ]
                for at, node in enumerate(down):
                    self.loop.call_later(at * fault.for_s / len(down), node.start, False)
            case "leave":
                gone = [node for node in self.nodes if node.up][-int(fault.size) :]
                for at, node in enumerate(gone):
                    self.loop.call_later(at * fault.for_s / len(gone), self.replace, node, False)
            case "slow" | "deaf":
                nodes = [
                    self.nodes[one]
                    for one in self.some(fault.part, len(self.nodes), self.fault_chance)
                ]
                self.ail(nodes, fault, True)
                ends = lambda: self.ail(nodes, fault, False)
            case "cut":
                self.cuts.add(int(self.fault_chance.integers(self.world.machines.zones)))
                ends = self.cuts.clear
            case "below-slow":
                self.below.slow = fault.size
                ends = lambda: setattr(self.below, "slow", 1.0)
            case "below-gone":
                self.below.gone = True
                ends = lambda: setattr(self.below, "gone", False)
            case "restart":
                for one in self.some(fault.part, len(self.balancers), self.fault_chance):
                    self.balancers[one].restart()
            case "flood":
                self.floods.append(fault)
                ends = lambda: self.floods.remove(fault)
            case "release":
                self.release(
                    [
                        self.nodes[one]
                        for one in self.some(fault.part, len(self.nodes), self.fault_chance)
                    ],
                    fault,
                )
        self.loop.call_later(fault.for_s, ends)

    def come_back(self, nodes: list[Node]) -> None:
        for node in nodes:
            if not node.up:
                node.start(cold=True)

    def ail(self, nodes: list[Node], fault: Fault, begins: bool) -> None:
        for node in nodes:
            if fault.kind == "slow":
                node.slow = fault.size if begins else 1.0
            if node.up and fault.kind == "slow":
                node.cores.catch_up()
                node.cores.slow = node.slow
                node.cores.aim()
            elif node.up:
                node.executor.deaf = begins

    def release(self, nodes: list[Node], fault: Fault) -> None:
        """Drained in steps, spread over the fault's time; each starts again cold when it has
        gone.
        """
        batch = max(1, round(fault.size * len(self.nodes)))
        steps = (len(nodes) + batch - 1) // batch
        for at, node in enumerate(nodes):
            self.loop.call_later(at // batch * fault.for_s / steps, self.replace, node)

    def replace(self, node: Node, comes_back: bool = True) -> None:
        if node.up and node.server is not None:
            node.drain()
            node.server.tasks.start(self.replaced(node, node.server, comes_back), "replaced")

    async def replaced(self, node: Node, server: Server, comes_back: bool) -> None:
        life = node.life
        try:
            async with asyncio.timeout(self.world.machines.stop_ms / 1000):
                await server.stopped.wait()
        except TimeoutError:
            pass
        if node.life == life and node.up:
            self.loop.call_soon(node.stop, False)
            if comes_back:
                again = self.rolls.draw_restart_s() if self.rolls is not None else RESTARTING
                self.loop.call_later(again, self.come_back, [node])

    def outcome(self, took: float) -> Outcome:
        products = self.world.products
        last: Counter[str] = Counter()
        for node in self.nodes:
            for name, size in node.sizes().items():
                last[name] = max(last[name], size)
        return Outcome(
            self.world.name,
            self.rules.faults,
            dict(self.rules.count + self.count),
            {
                product.name: sum(second.asked[at] for second in self.seconds)
                for at, product in enumerate(products)
            },
            {
                product.name: sum(second.settled[at] for second in self.seconds)
                for at, product in enumerate(products)
            },
            {product.name: dict(self.lost[at]) for at, product in enumerate(products)},
            {
                product.name: (
                    self.latency[at].get_value_at_percentile(50) / 1000,
                    self.latency[at].get_value_at_percentile(99) / 1000,
                )
                for at, product in enumerate(products)
            },
            self.seconds,
            dict(self.sizes_most),
            dict(last),
            self.series,
            took,
        )


def play(
    world: World,
    keeping: Callable[[Server], RequestRecord] | None = None,
    leveling: Callable[[Server], ServiceLevels] | None = None,
    watch: Watch | None = None,
    fleets: Callable[[Emulator], Fleets] | None = None,
    recovering: Callable[[Server], RestartRecovery] | None = None,
    rolls: Callable[[Emulator], Rolls] | None = None,
) -> Outcome:
    """Plays it to its end. The same world gives the same outcome, to the last figure but `took`."""
    began = time.perf_counter()
    before = logging.root.manager.disable
    logging.disable(logging.WARNING)  # thousands of lives in one log tell nothing
    try:
        with simulated() as loop:
            fleet = Emulator(world, loop, keeping, leveling, watch, fleets, recovering, rolls)
            loop.run_until_complete(fleet.play())
            outcome = fleet.outcome(time.perf_counter() - began)
            for node in fleet.nodes:
                node.stop(killed=True)
            return outcome
    finally:
        logging.disable(before)
