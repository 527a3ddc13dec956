"""A network between members in simulated time, and swarms of members without servers for what needs
no more.

The network delays, loses, doubles and cuts; a member can be killed, paused and started again.
"""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random

from numpy.random import default_rng

from ..dispatcher import Dispatcher
from ..downstream import ConnectionPool
from ..downstream.service_pools import ServicePools
from ..fleet import (
    MILLICALLS_PER_CALL,
    Fleet,
    GossipSettings,
    MemberState,
    MemberUpdate,
    QuotaSettings,
)
from ..server.call_share import CallShare, call_shares
from ..server.membership import FleetMembership
from ..server.recovery import RestartRecovery
from ..server.server import Server
from .clock import EPOCH, SECOND, SimulatedLoop
from .emulator import Emulator
from .node import Node

TICK = 0.1  # s, as the server's beat
PATIENCE = 6.0  # s, for which the calls of one that was paused stay in hand below
KEY = b"the lab's own key"


class Net:
    """Datagrams between addresses. `cuts`: pairs of sides that do not hear each other, each a set
    of addresses; one-way where only the first does not reach the second.
    """

    def __init__(
        self,
        loop: SimulatedLoop,
        seed: int,
        delay: tuple[float, float] = (0.0003, 0.0013),
        loss: float = 0.0,
        doubles: float = 0.0,
    ) -> None:
        self.loop, self.chance = loop, default_rng(seed)
        self.delay, self.loss, self.doubles = delay, loss, doubles
        self.places: dict[str, Callable[[bytes], None]] = {}
        self.cuts: list[tuple[frozenset[str], frozenset[str], bool]] = []
        self.sent = self.bytes = 0

    def cut(self, one: Sequence[str], other: Sequence[str], both: bool = True) -> None:
        self.cuts.append((frozenset(one), frozenset(other), both))

    def heal(self) -> None:
        self.cuts.clear()

    def parted(self, source: str, target: str) -> bool:
        return any(
            source in one and target in other or both and source in other and target in one
            for one, other, both in self.cuts
        )

    def send(self, source: str, target: str, data: bytes) -> None:
        self.sent += 1
        self.bytes += len(data)
        for _ in range(1 + (self.doubles > 0 and self.chance.random() < self.doubles)):
            if self.parted(source, target) or self.loss and self.chance.random() < self.loss:
                continue
            low, high = self.delay
            self.loop.call_later(
                low + (high - low) * float(self.chance.random()), self.arrive, target, data
            )

    def arrive(self, target: str, data: bytes) -> None:
        place = self.places.get(target)
        if place is not None:
            place(data)


@dataclass
class Body:
    """A process of the swarm: its member, if it is up, and what it would like to call."""

    name: str
    address: str
    fleet: Fleet | None = None
    demand: float = 0.0  # calls in hand, if it could
    paused_at: float = -1.0  # s; below 0: it is not
    stuck: list[bytes] = field(default_factory=list)  # what came while it was paused
    seed: int = 0
    lives: int = 0

    @property
    def using(self) -> float:
        """Calls in hand: as many as it may, or would."""
        return (
            min(self.demand, self.fleet.share / MILLICALLS_PER_CALL)
            if self.fleet is not None
            else 0.0
        )


class Swarm:
    """Members by name; `sample` is called once a tick of theirs."""

    def __init__(
        self,
        loop: SimulatedLoop,
        net: Net,
        terms: QuotaSettings,
        habits: GossipSettings | None = None,
        seed: int = 1,
    ) -> None:
        self.loop, self.net, self.terms, self.habits, self.seed = (
            loop,
            net,
            terms,
            habits or GossipSettings(),
            seed,
        )
        self.bodies: dict[str, Body] = {}
        self.seeds: tuple[str, ...] = ()
        self.sample: Callable[[], None] = lambda: None

    def now(self) -> int:
        return self.loop.wall()

    def add(self, count: int, demand: float) -> list[Body]:
        made = []
        for _ in range(count):
            at = len(self.bodies)
            body = Body(
                f"n{at}",
                f"10.1.{at // 200}.{at % 200 + 1}:7946",
                demand=demand,
                seed=self.seed * 1009 + at,
            )
            self.bodies[body.name] = body
            made.append(body)
        self.seeds = self.seeds or tuple(body.address for body in made[:3])
        for body in made:
            self.start(body)
        return made

    def start(self, body: Body) -> None:
        body.lives += 1
        now, life = self.now(), (EPOCH + int(self.loop.now * SECOND)) // 1_000_000 + body.lives
        chance = Random(body.seed * 7 + body.lives)
        body.fleet = Fleet(
            MemberUpdate(body.name, body.address, life, 0, MemberState.ALIVE),
            self.seeds,
            (KEY,),
            self.terms,
            self.habits,
            chance,
            now,
        )
        body.paused_at, body.stuck = -1.0, []
        self.net.places[body.address] = lambda data: self.hear(body, data)
        self.loop.call_later(TICK * chance.random(), self.tick, body, body.fleet)

    def kill(self, body: Body) -> None:
        body.fleet = None
        self.net.places.pop(body.address, None)

    def leave(self, body: Body) -> None:
        if body.fleet is not None:
            body.fleet.leave(self.now())
            self.flush(body)
            self.kill(body)

    def pause(self, body: Body) -> None:
        body.paused_at = self.loop.now

    def wake(self, body: Body) -> None:
        body.paused_at = -1.0
        for data in body.stuck:
            self.hear(body, data)
        body.stuck = []

    def hear(self, body: Body, data: bytes) -> None:
        if body.paused_at >= 0:
            if len(body.stuck) < 200:
                body.stuck.append(data)
        elif body.fleet is not None:
            body.fleet.receive(self.now(), data)
            self.flush(body)

    def tick(self, body: Body, fleet: Fleet) -> None:
        if body.fleet is not fleet:
            return
        if body.paused_at < 0:
            # One that may not call enough has the rest waiting.
            fleet.set_usage(
                int(body.demand * MILLICALLS_PER_CALL), int(body.using * MILLICALLS_PER_CALL)
            )
            fleet.tick(self.now())
            self.flush(body)
        self.loop.call_later(TICK, self.tick, body, fleet)

    def flush(self, body: Body) -> None:
        while body.fleet is not None and body.fleet.outbox:
            self.net.send(body.address, *body.fleet.outbox.popleft())

    # What is seen from outside.

    def up(self) -> list[Body]:
        return [body for body in self.bodies.values() if body.fleet is not None]

    def total(self) -> float:
        """Calls in hand below, of all."""
        return sum(
            body.using
            for body in self.up()
            if self.loop.now - body.paused_at < PATIENCE or body.paused_at < 0
        )

    def shares(self) -> list[float]:
        return [
            body.fleet.share / MILLICALLS_PER_CALL for body in self.up() if body.fleet is not None
        ]

    def agreed(self) -> bool:
        """Whether all that are up, and are not paused, see exactly those as there."""
        names = {body.name for body in self.up()}
        return all(
            {member.update.name for member in body.fleet.view.present_members()} == names
            for body in self.up()
            if body.fleet is not None
        )

    def run(self, seconds: float) -> None:
        """Plays on, sampling each tick."""

        async def play() -> None:
            until = self.loop.now + seconds
            while self.loop.now < until - 1e-9:
                await asyncio.sleep(TICK)
                self.sample()

        self.loop.run_until_complete(play())


class Joined:
    """A node's server in the fleet: as `server.configured_membership.ConfiguredFleetMembership`, over the network of a world."""

    def __init__(
        self, fleets: "Joining", node: Node, server: Server, recovery: RestartRecovery
    ) -> None:
        self.fleets, self.node, self.server = fleets, node, server
        loop, world = fleets.loop, fleets.emulator.world
        self.address = address(node.index)
        own = MemberUpdate(
            node.name, self.address, loop.wall() // 1_000_000 + node.life, 0, MemberState.ALIVE
        )
        self.fleet = Fleet(
            own,
            fleets.seeds,
            (KEY,),
            fleets.terms,
            fleets.habits,
            Random(world.seed * 1_000_003 + node.index * 1009 + node.life),
            loop.wall(),
        )
        self.share, self.recovery, self.former = (
            CallShare(self.fleet, recovery.call_cap),
            recovery,
            0,
        )
        fleets.net.places[self.address] = self.hear
        loop.call_soon(lambda: server.tasks.start(self.keep(), "fleet"))

    async def open(self) -> None: ...

    def attach_dispatcher(self, desk: Dispatcher) -> None:
        self.share.dispatcher = desk
        self.share.apply()

    def may_call(self) -> bool:
        return self.fleet.is_current(self.fleets.loop.wall())

    def select_pool(self, one: ConnectionPool) -> ConnectionPool | ServicePools:
        return one

    async def keep(self) -> None:
        while True:
            self.share.report_demand()
            self.fleet.tick(self.fleets.loop.wall())
            self.after()
            await asyncio.sleep(TICK)

    def hear(self, data: bytes) -> None:
        if self.node.server is self.server:  # else it was killed
            self.fleet.receive(self.fleets.loop.wall(), data)
            self.after()

    def call_shares(self) -> tuple[float, float] | None:
        return call_shares(self.fleet)

    def peer_addresses(self) -> tuple[str, ...]:
        return ()

    def eject_services(self, addresses: frozenset[str]) -> bool:
        return True

    def recent_call_counts(self) -> dict[str, tuple[int, int]]:
        return {}

    def after(self) -> None:
        if self.fleet.previous_incarnation != self.former:
            self.former = self.fleet.previous_incarnation
            self.recovery.previous_incarnation_seen(self.former)
        self.share.apply()
        self.fleet.transitions = []
        while self.fleet.outbox:
            self.fleets.net.send(self.address, *self.fleet.outbox.popleft())

    def close(self) -> None:
        self.fleet.leave(self.fleets.loop.wall())
        self.after()


def address(index: int) -> str:
    return f"10.1.{index // 200}.{index % 200 + 1}:7946"


class Joining:
    """Joins the nodes of a world; zones that are cut in the world are cut for letters too."""

    def __init__(
        self,
        emulator: Emulator,
        terms: QuotaSettings,
        habits: GossipSettings | None = None,
        loss: float = 0.0,
    ) -> None:
        self.emulator, self.loop, self.terms, self.habits = (
            emulator,
            emulator.loop,
            terms,
            habits or GossipSettings(),
        )
        low, high = emulator.world.callers.net_ms
        self.net = Net(self.loop, emulator.world.seed, (low / 1000, high / 1000), loss)
        self.net.parted = self.parted  # type: ignore[method-assign]
        self.seeds = tuple(address(index) for index in range(3))

    def zone(self, place: str) -> int:
        _, _, high, low = place.split(":")[0].split(".")
        return (int(high) * 200 + int(low) - 1) % self.emulator.world.machines.zones

    def parted(self, source: str, target: str) -> bool:
        cuts = self.emulator.cuts
        return (
            bool(cuts)
            and self.zone(source) != self.zone(target)
            and bool(cuts & {self.zone(source), self.zone(target)})
        )

    def membership(self, node: Node, server: Server, recovery: RestartRecovery) -> FleetMembership:
        return Joined(self, node, server, recovery)

    def shares(self) -> dict[str, float]:
        """Of those that are up, calls."""
        return {
            node.name: node.server.subsystems.membership.fleet.share / MILLICALLS_PER_CALL
            for node in self.emulator.nodes
            if node.up
            and node.server is not None
            and isinstance(node.server.subsystems.membership, Joined)
        }
