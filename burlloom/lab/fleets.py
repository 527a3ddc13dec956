"""Fleets in simulated time: servers that join one, and swarms of members without servers.

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
    FleetMember,
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

TICK_S = 0.1  # s, as the server's beat
PAUSED_CALLS_S = 6.0  # s, for which the calls of one that was paused stay in hand below
KEY = b"the lab's own key"


class SimulatedNetwork:
    """Datagrams between addresses, delayed, lost, doubled and cut.

    Attributes:
        receivers: By address, what takes a datagram.
        cuts: Pairs of sets of addresses that do not hear each other; where the last is False, only
            the first does not reach the second.
        sent: Datagrams.
        bytes_sent: Their sizes.
    """

    def __init__(
        self,
        loop: SimulatedLoop,
        seed: int,
        delay_s: tuple[float, float] = (0.0003, 0.0013),
        loss_rate: float = 0.0,
        duplicate_rate: float = 0.0,
    ) -> None:
        """Begins with nobody on it.

        Args:
            loop: Its time.
            seed: For delays and losses.
            delay_s: The least and the most.
            loss_rate: Of datagrams.
            duplicate_rate: Of datagrams.
        """
        self.loop, self.random = loop, default_rng(seed)
        self.delay_s, self.loss_rate, self.duplicate_rate = delay_s, loss_rate, duplicate_rate
        self.receivers: dict[str, Callable[[bytes], None]] = {}
        self.cuts: list[tuple[frozenset[str], frozenset[str], bool]] = []
        self.sent = self.bytes_sent = 0

    def cut(self, one: Sequence[str], other: Sequence[str], both_ways: bool = True) -> None:
        """Parts two sets of addresses, in both directions or from the first to the second."""
        self.cuts.append((frozenset(one), frozenset(other), both_ways))

    def heal(self) -> None:
        """Ends all cuts."""
        self.cuts.clear()

    def is_partitioned(self, source: str, target: str) -> bool:
        """Whether a datagram can't get from `source` to `target`."""
        return any(
            source in one and target in other or both and source in other and target in one
            for one, other, both in self.cuts
        )

    def send(self, source: str, target: str, data: bytes) -> None:
        """Sends a datagram."""
        self.sent += 1
        self.bytes_sent += len(data)
        for _ in range(
            1 + (self.duplicate_rate > 0 and self.random.random() < self.duplicate_rate)
        ):
            if (
                self.is_partitioned(source, target)
                or self.loss_rate
                and self.random.random() < self.loss_rate
            ):
                continue
            low, high = self.delay_s
            self.loop.call_later(
                low + (high - low) * float(self.random.random()), self.deliver, target, data
            )

    def deliver(self, target: str, data: bytes) -> None:
        """Hands a datagram to whoever is at `target`, if anybody is."""
        place = self.receivers.get(target)
        if place is not None:
            place(data)


@dataclass
class SwarmMember:
    """A process of the swarm: its member, if it is up, and what it would like to call.

    Attributes:
        name: Of the member.
        address: Of the member.
        fleet: The member itself; None while the process is down.
        demand: Calls in progress, if it could.
        paused_at: Since when it stands still, s; below 0: it does not.
        queued: Datagrams that came while it stood still.
        seed: For its random draws.
        incarnations: How often it was started.
    """

    name: str
    address: str
    fleet: FleetMember | None = None
    demand: float = 0.0  # calls in hand, if it could
    paused_at: float = -1.0  # s; below 0: it is not
    queued: list[bytes] = field(default_factory=list)  # what came while it was paused
    seed: int = 0
    incarnations: int = 0

    @property
    def calls_in_progress(self) -> float:
        """As many as it may have, or would."""
        return (
            min(self.demand, self.fleet.share / MILLICALLS_PER_CALL)
            if self.fleet is not None
            else 0.0
        )


class Swarm:
    """Members by name, without servers; `sample` is called once a tick of theirs."""

    def __init__(
        self,
        loop: SimulatedLoop,
        network: SimulatedNetwork,
        quota_settings: QuotaSettings,
        gossip_settings: GossipSettings | None = None,
        seed: int = 1,
    ) -> None:
        """Begins without members.

        Args:
            loop: Its time.
            network: Between the members.
            quota_settings: Of all members.
            gossip_settings: Of all members.
            seed: For their random draws.
        """
        self.loop, self.network, self.quota_settings, self.gossip_settings, self.seed = (
            loop,
            network,
            quota_settings,
            gossip_settings or GossipSettings(),
            seed,
        )
        self.members: dict[str, SwarmMember] = {}
        self.seeds: tuple[str, ...] = ()
        self.sample: Callable[[], None] = lambda: None

    def now(self) -> int:
        """Returns ns since the simulation's epoch."""
        return self.loop.wall()

    def add(self, count: int, demand: float) -> list[SwarmMember]:
        """Adds and starts members; the first three of all are the seeds."""
        made = []
        for _ in range(count):
            at = len(self.members)
            body = SwarmMember(
                f"n{at}",
                f"10.1.{at // 200}.{at % 200 + 1}:7946",
                demand=demand,
                seed=self.seed * 1009 + at,
            )
            self.members[body.name] = body
            made.append(body)
        self.seeds = self.seeds or tuple(body.address for body in made[:3])
        for body in made:
            self.start(body)
        return made

    def start(self, body: SwarmMember) -> None:
        """Starts a member's process, again or for the first time."""
        body.incarnations += 1
        now, life = (
            self.now(),
            (EPOCH + int(self.loop.now * SECOND)) // 1_000_000 + body.incarnations,
        )
        chance = Random(body.seed * 7 + body.incarnations)
        body.fleet = FleetMember(
            MemberUpdate(body.name, body.address, life, 0, MemberState.ALIVE),
            self.seeds,
            (KEY,),
            self.quota_settings,
            self.gossip_settings,
            chance,
            now,
        )
        body.paused_at, body.queued = -1.0, []
        self.network.receivers[body.address] = lambda data: self.receive(body, data)
        self.loop.call_later(TICK_S * chance.random(), self.tick, body, body.fleet)

    def kill(self, body: SwarmMember) -> None:
        """Ends a member's process without a message."""
        body.fleet = None
        self.network.receivers.pop(body.address, None)

    def leave(self, body: SwarmMember) -> None:
        """Ends a member's process in good order."""
        if body.fleet is not None:
            body.fleet.leave(self.now())
            self.flush(body)
            self.kill(body)

    def pause(self, body: SwarmMember) -> None:
        """Has a member's process stand still."""
        body.paused_at = self.loop.now

    def resume(self, body: SwarmMember) -> None:
        """Wakes a member's process; what came meanwhile it receives at once."""
        body.paused_at = -1.0
        for data in body.queued:
            self.receive(body, data)
        body.queued = []

    def receive(self, body: SwarmMember, data: bytes) -> None:
        """Hands a datagram to a member, or to its queue while it stands still."""
        if body.paused_at >= 0:
            if len(body.queued) < 200:
                body.queued.append(data)
        elif body.fleet is not None:
            body.fleet.receive(self.now(), data)
            self.flush(body)

    def tick(self, body: SwarmMember, fleet: FleetMember) -> None:
        """Runs a member's tick, and plans the next."""
        if body.fleet is not fleet:
            return
        if body.paused_at < 0:
            # One that may not call enough has the rest waiting.
            fleet.set_usage(
                int(body.demand * MILLICALLS_PER_CALL),
                int(body.calls_in_progress * MILLICALLS_PER_CALL),
            )
            fleet.tick(self.now())
            self.flush(body)
        self.loop.call_later(TICK_S, self.tick, body, fleet)

    def flush(self, body: SwarmMember) -> None:
        """Sends what a member has in its outbox."""
        while body.fleet is not None and body.fleet.outbox:
            self.network.send(body.address, *body.fleet.outbox.popleft())

    # What is seen from outside.

    def running_members(self) -> list[SwarmMember]:
        """Returns those whose process is up, standing still or not."""
        return [body for body in self.members.values() if body.fleet is not None]

    def total_calls(self) -> float:
        """Returns the calls in progress downstream, of all."""
        return sum(
            body.calls_in_progress
            for body in self.running_members()
            if self.loop.now - body.paused_at < PAUSED_CALLS_S or body.paused_at < 0
        )

    def shares(self) -> list[float]:
        """Returns the shares of those that are up, in calls."""
        return [
            body.fleet.share / MILLICALLS_PER_CALL
            for body in self.running_members()
            if body.fleet is not None
        ]

    def has_agreed_view(self) -> bool:
        """Whether all that are up see exactly those as present."""
        names = {body.name for body in self.running_members()}
        return all(
            {member.update.name for member in body.fleet.view.present_members()} == names
            for body in self.running_members()
            if body.fleet is not None
        )

    def run(self, seconds: float) -> None:
        """Runs on, sampling each tick."""

        async def play() -> None:
            until = self.loop.now + seconds
            while self.loop.now < until - 1e-9:
                await asyncio.sleep(TICK_S)
                self.sample()

        self.loop.run_until_complete(play())


class SimulatedMembership:
    """A node's server in the fleet: as the server's own, over the network of a world."""

    def __init__(
        self,
        simulated_fleet: "SimulatedFleet",
        node: Node,
        server: Server,
        recovery: RestartRecovery,
    ) -> None:
        """Joins the fleet.

        Args:
            simulated_fleet: All that is joined.
            node: The server's.
            server: That is joined.
            recovery: Of the server; it bounds the share at a start.
        """
        self.simulated_fleet, self.node, self.server = simulated_fleet, node, server
        loop, world = simulated_fleet.loop, simulated_fleet.emulator.world
        self.address = address_of_node(node.index)
        own = MemberUpdate(
            node.name, self.address, loop.wall() // 1_000_000 + node.life, 0, MemberState.ALIVE
        )
        self.fleet = FleetMember(
            own,
            simulated_fleet.seeds,
            (KEY,),
            simulated_fleet.quota_settings,
            simulated_fleet.gossip_settings,
            Random(world.seed * 1_000_003 + node.index * 1009 + node.life),
            loop.wall(),
        )
        self.share, self.recovery, self.previous_incarnation = (
            CallShare(self.fleet, recovery.call_cap),
            recovery,
            0,
        )
        simulated_fleet.network.receivers[self.address] = self.receive
        loop.call_soon(lambda: server.tasks.start(self.run(), "fleet"))

    async def open(self) -> None:
        """Does nothing: it is on the network from the beginning."""

    def attach_dispatcher(self, desk: Dispatcher) -> None:
        """Takes whom the share is for."""
        self.share.dispatcher = desk
        self.share.apply()

    def may_call(self) -> bool:
        """Whether the share may still be acted on."""
        return self.fleet.is_current(self.simulated_fleet.loop.wall())

    def select_pool(self, one: ConnectionPool) -> ConnectionPool | ServicePools:
        """Returns the one pool: there are no subsets here."""
        return one

    async def run(self) -> None:
        """Ticks for as long as the server lives."""
        while True:
            self.share.report_demand()
            self.fleet.tick(self.simulated_fleet.loop.wall())
            self.process_results()
            await asyncio.sleep(TICK_S)

    def receive(self, data: bytes) -> None:
        """Takes in a datagram, unless the server was killed."""
        if self.node.server is self.server:  # else it was killed
            self.fleet.receive(self.simulated_fleet.loop.wall(), data)
            self.process_results()

    def call_shares(self) -> tuple[float, float] | None:
        """Returns an equal share and our own, in calls."""
        return call_shares(self.fleet)

    def peer_addresses(self) -> tuple[str, ...]:
        """Returns none: a node always finds the seeds."""
        return ()

    def eject_services(self, addresses: frozenset[str]) -> bool:
        """Whether no call is there any more: there are no subsets here."""
        return True

    def recent_call_counts(self) -> dict[str, tuple[int, int]]:
        """Returns none: there are no subsets here."""
        return {}

    def process_results(self) -> None:
        """Does what a tick or a datagram has led to."""
        if self.fleet.previous_incarnation != self.previous_incarnation:
            self.previous_incarnation = self.fleet.previous_incarnation
            self.recovery.previous_incarnation_seen(self.previous_incarnation)
        self.share.apply()
        self.fleet.transitions = []
        while self.fleet.outbox:
            self.simulated_fleet.network.send(self.address, *self.fleet.outbox.popleft())

    def close(self) -> None:
        """Leaves the fleet."""
        self.fleet.leave(self.simulated_fleet.loop.wall())
        self.process_results()


def address_of_node(index: int) -> str:
    """Returns the address of the node with this index."""
    return f"10.1.{index // 200}.{index % 200 + 1}:7946"


class SimulatedFleet:
    """Joins the nodes of a world; zones that are cut there are cut for datagrams too."""

    def __init__(
        self,
        emulator: Emulator,
        quota_settings: QuotaSettings,
        gossip_settings: GossipSettings | None = None,
        loss_rate: float = 0.0,
    ) -> None:
        """Begins with nobody joined.

        Args:
            emulator: Of the nodes.
            quota_settings: Of all members.
            gossip_settings: Of all members.
            loss_rate: Of datagrams.
        """
        self.emulator, self.loop, self.quota_settings, self.gossip_settings = (
            emulator,
            emulator.loop,
            quota_settings,
            gossip_settings or GossipSettings(),
        )
        low, high = emulator.world.callers.net_ms
        self.network = SimulatedNetwork(
            self.loop, emulator.world.seed, (low / 1000, high / 1000), loss_rate
        )
        self.network.is_partitioned = self.is_partitioned  # type: ignore[method-assign]
        self.seeds = tuple(address_of_node(index) for index in range(3))

    def zone(self, place: str) -> int:
        """Returns the zone of the node at an address."""
        _, _, high, low = place.split(":")[0].split(".")
        return (int(high) * 200 + int(low) - 1) % self.emulator.world.machines.zones

    def is_partitioned(self, source: str, target: str) -> bool:
        """Whether a cut zone lies between two addresses."""
        cuts = self.emulator.cuts
        return (
            bool(cuts)
            and self.zone(source) != self.zone(target)
            and bool(cuts & {self.zone(source), self.zone(target)})
        )

    def membership(self, node: Node, server: Server, recovery: RestartRecovery) -> FleetMembership:
        """Returns the fleet's part of a node's server."""
        return SimulatedMembership(self, node, server, recovery)

    def shares(self) -> dict[str, float]:
        """Returns the shares of the nodes that are up, in calls."""
        return {
            node.name: node.server.subsystems.membership.fleet.share / MILLICALLS_PER_CALL
            for node in self.emulator.nodes
            if node.up
            and node.server is not None
            and isinstance(node.server.subsystems.membership, SimulatedMembership)
        }
