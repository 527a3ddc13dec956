"""Fleets in simulated time: servers that join a fleet, and swarms of members without servers.

The simulated network delays, loses and duplicates datagrams, and can be partitioned. A member can
be killed, paused and started again.
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
from ..time_units import NS_PER_SECOND
from .clock import EPOCH_NS, SimulatedLoop
from .emulator import Emulator
from .node import Node

TICK_S = 0.1  # between two ticks of a member; as in the server
PAUSED_CALLS_S = 6.0  # for which the calls of a paused member stay in progress downstream
FLEET_KEY = b"the lab's own key"


class SimulatedNetwork:
    """Delivers datagrams between addresses; may delay, lose, duplicate or block them.

    Attributes:
        receivers: By address, the function that takes a datagram.
        cuts: Pairs of sets of addresses between which no datagram passes; where the third item is
            False, only datagrams from the first set to the second are blocked.
        sent: Number of datagrams that were sent.
        bytes_sent: Total size of their payloads in bytes.
    """

    def __init__(
        self,
        loop: SimulatedLoop,
        seed: int,
        delay_s: tuple[float, float] = (0.0003, 0.0013),
        loss_rate: float = 0.0,
        duplicate_rate: float = 0.0,
    ) -> None:
        """Creates a network without receivers.

        Args:
            loop: Gives the time.
            seed: Seed of the delays, losses and duplicates.
            delay_s: Range of the one-way delay in s.
            loss_rate: Share of datagrams that are lost.
            duplicate_rate: Share of datagrams that are sent twice.
        """
        self.loop, self.random = loop, default_rng(seed)
        self.delay_s, self.loss_rate, self.duplicate_rate = delay_s, loss_rate, duplicate_rate
        self.receivers: dict[str, Callable[[bytes], None]] = {}
        self.cuts: list[tuple[frozenset[str], frozenset[str], bool]] = []
        self.sent = self.bytes_sent = 0

    def cut(self, sources: Sequence[str], targets: Sequence[str], both_ways: bool = True) -> None:
        """Blocks datagrams from one set of addresses to another, or in both directions."""
        self.cuts.append((frozenset(sources), frozenset(targets), both_ways))

    def heal(self) -> None:
        """Ends all cuts."""
        self.cuts.clear()

    def is_partitioned(self, source: str, target: str) -> bool:
        """Whether datagrams from `source` to `target` are blocked."""
        return any(
            source in sources
            and target in targets
            or both_ways
            and source in targets
            and target in sources
            for sources, targets, both_ways in self.cuts
        )

    def send(self, source: str, target: str, data: bytes) -> None:
        """Sends a datagram; it may be lost, or arrive twice."""
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
        """Hands a datagram to the receiver at `target`, if there is one."""
        receiver = self.receivers.get(target)
        if receiver is not None:
            receiver(data)


@dataclass
class SwarmMember:
    """A process of the swarm with its fleet member.

    Attributes:
        name: Name of the member.
        address: Address of the member.
        fleet_member: The fleet member; None while the process is down.
        demand: Downstream calls that it would have in progress without a limit.
        paused_at_s: Simulated time in s at which it was paused; below 0: it is not.
        queued: Datagrams that arrived while it was paused.
        seed: Seed of its random draws.
        incarnations: How often it was started.
    """

    name: str
    address: str
    fleet_member: FleetMember | None = None
    demand: float = 0.0
    paused_at_s: float = -1.0
    queued: list[bytes] = field(default_factory=list)
    seed: int = 0
    incarnations: int = 0

    @property
    def calls_in_progress(self) -> float:
        """Calls in progress: its demand, up to its share."""
        return (
            min(self.demand, self.fleet_member.share / MILLICALLS_PER_CALL)
            if self.fleet_member is not None
            else 0.0
        )


class Swarm:
    """Members without servers on one network.

    Attributes:
        members: The processes by name of the member.
        seeds: Addresses at which a new member joins.
        sample: Called after each tick of a `run`.
    """

    def __init__(
        self,
        loop: SimulatedLoop,
        network: SimulatedNetwork,
        quota_settings: QuotaSettings,
        gossip_settings: GossipSettings | None = None,
        seed: int = 1,
    ) -> None:
        """Creates a swarm without members.

        Args:
            loop: Gives the time.
            network: Connects the members.
            quota_settings: Settings of the quota of all members.
            gossip_settings: Settings of the gossip of all members; None: the defaults.
            seed: Seed of the members' random draws.
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

    def now_ns(self) -> int:
        """Returns the simulated Unix time in ns."""
        return self.loop.unix_time_ns()

    def add(self, count: int, demand: float) -> list[SwarmMember]:
        """Adds and starts members; the first three of the swarm are the seeds.

        Args:
            count: Number of members.
            demand: Downstream calls that each would have in progress without a limit.
        """
        added = []
        for _ in range(count):
            index = len(self.members)
            process = SwarmMember(
                f"n{index}",
                f"10.1.{index // 200}.{index % 200 + 1}:7946",
                demand=demand,
                seed=self.seed * 1009 + index,
            )
            self.members[process.name] = process
            added.append(process)
        self.seeds = self.seeds or tuple(process.address for process in added[:3])
        for process in added:
            self.start(process)
        return added

    def start(self, process: SwarmMember) -> None:
        """Starts a member's process, again or for the first time."""
        process.incarnations += 1
        now_ns, incarnation = (
            self.now_ns(),
            (EPOCH_NS + int(self.loop.now_s * NS_PER_SECOND)) // 1_000_000 + process.incarnations,
        )
        random = Random(process.seed * 7 + process.incarnations)
        process.fleet_member = FleetMember(
            MemberUpdate(process.name, process.address, incarnation, 0, MemberState.ALIVE),
            self.seeds,
            (FLEET_KEY,),
            self.quota_settings,
            self.gossip_settings,
            random,
            now_ns,
        )
        process.paused_at_s, process.queued = -1.0, []
        self.network.receivers[process.address] = lambda data: self.receive(process, data)
        self.loop.call_later(TICK_S * random.random(), self.tick, process, process.fleet_member)

    def kill(self, process: SwarmMember) -> None:
        """Ends a member's process without a message."""
        process.fleet_member = None
        self.network.receivers.pop(process.address, None)

    def leave(self, process: SwarmMember) -> None:
        """Has a member leave the fleet, and ends its process."""
        if process.fleet_member is not None:
            process.fleet_member.leave(self.now_ns())
            self.flush(process)
            self.kill(process)

    def pause(self, process: SwarmMember) -> None:
        """Pauses a member's process: it neither ticks nor receives."""
        process.paused_at_s = self.loop.now_s

    def resume(self, process: SwarmMember) -> None:
        """Resumes a member's process, which receives the queued datagrams at once."""
        process.paused_at_s = -1.0
        for data in process.queued:
            self.receive(process, data)
        process.queued = []

    def receive(self, process: SwarmMember, data: bytes) -> None:
        """Hands a datagram to a member; queues up to 200 datagrams while it is paused."""
        if process.paused_at_s >= 0:
            if len(process.queued) < 200:
                process.queued.append(data)
        elif process.fleet_member is not None:
            process.fleet_member.receive(self.now_ns(), data)
            self.flush(process)

    def tick(self, process: SwarmMember, member: FleetMember) -> None:
        """Runs a member's tick and schedules the next, until the process has ended."""
        if process.fleet_member is not member:
            return
        if process.paused_at_s < 0:
            # Demand above the share waits.
            member.set_usage(
                int(process.demand * MILLICALLS_PER_CALL),
                int(process.calls_in_progress * MILLICALLS_PER_CALL),
            )
            member.tick(self.now_ns())
            self.flush(process)
        self.loop.call_later(TICK_S, self.tick, process, member)

    def flush(self, process: SwarmMember) -> None:
        """Sends the datagrams in a member's outbox."""
        while process.fleet_member is not None and process.fleet_member.outbox:
            self.network.send(process.address, *process.fleet_member.outbox.popleft())

    def running_members(self) -> list[SwarmMember]:
        """Returns the members whose process is up, also if it is paused."""
        return [process for process in self.members.values() if process.fleet_member is not None]

    def total_calls(self) -> float:
        """Returns the downstream calls in progress of all members.

        The calls of a paused member count for `PAUSED_CALLS_S`.
        """
        return sum(
            process.calls_in_progress
            for process in self.running_members()
            if self.loop.now_s - process.paused_at_s < PAUSED_CALLS_S or process.paused_at_s < 0
        )

    def shares(self) -> list[float]:
        """Returns the shares of the members that are up, in calls."""
        return [
            process.fleet_member.share / MILLICALLS_PER_CALL
            for process in self.running_members()
            if process.fleet_member is not None
        ]

    def has_agreed_view(self) -> bool:
        """Whether each member that is up sees exactly the members that are up as present."""
        names = {process.name for process in self.running_members()}
        return all(
            {member.update.name for member in process.fleet_member.view.present_members()} == names
            for process in self.running_members()
            if process.fleet_member is not None
        )

    def run(self, seconds: float) -> None:
        """Runs for some simulated seconds, and calls `sample` after each tick."""

        async def run_ticks() -> None:
            end_s = self.loop.now_s + seconds
            while self.loop.now_s < end_s - 1e-9:
                await asyncio.sleep(TICK_S)
                self.sample()

        self.loop.run_until_complete(run_ticks())


class SimulatedMembership:
    """Replaces a server's fleet membership by one over the simulated network.

    Attributes:
        address: Address of the member.
        fleet: The fleet member.
        share: Applies the member's share of the downstream calls.
        previous_incarnation: The member's incarnation before this one, as the fleet reported it; 0:
            unknown.
    """

    def __init__(
        self,
        simulated_fleet: "SimulatedFleet",
        node: Node,
        server: Server,
        recovery: RestartRecovery,
    ) -> None:
        """Joins the fleet.

        Args:
            simulated_fleet: The fleet.
            node: The server's node.
            server: The server that joins.
            recovery: The server's recovery, which bounds the share after a start.
        """
        self.simulated_fleet, self.node, self.server = simulated_fleet, node, server
        loop, scenario = simulated_fleet.loop, simulated_fleet.emulator.scenario
        self.address = address_of_node(node.index)
        own = MemberUpdate(
            node.name,
            self.address,
            loop.unix_time_ns() // 1_000_000 + node.incarnation,
            0,
            MemberState.ALIVE,
        )
        self.fleet = FleetMember(
            own,
            simulated_fleet.seeds,
            (FLEET_KEY,),
            simulated_fleet.quota_settings,
            simulated_fleet.gossip_settings,
            Random(scenario.seed * 1_000_003 + node.index * 1009 + node.incarnation),
            loop.unix_time_ns(),
        )
        self.share, self.recovery, self.previous_incarnation = (
            CallShare(self.fleet, recovery.call_cap),
            recovery,
            0,
        )
        simulated_fleet.network.receivers[self.address] = self.receive
        loop.call_soon(lambda: server.tasks.start(self.run(), "fleet"))

    async def open(self) -> None:
        """Does nothing: the member is on the network from its creation."""

    def attach_dispatcher(self, dispatcher: Dispatcher) -> None:
        """Applies the share to a dispatcher."""
        self.share.dispatcher = dispatcher
        self.share.apply()

    def may_call(self) -> bool:
        """Whether the share is still valid."""
        return self.fleet.is_current(self.simulated_fleet.loop.unix_time_ns())

    def select_pool(self, pool: ConnectionPool) -> ConnectionPool | ServicePools:
        """Returns the given pool: there are no subsets."""
        return pool

    async def run(self) -> None:
        """Runs the member's ticks until the server's process ends."""
        while True:
            self.share.report_demand()
            self.fleet.tick(self.simulated_fleet.loop.unix_time_ns())
            self.process_results()
            await asyncio.sleep(TICK_S)

    def receive(self, data: bytes) -> None:
        """Receives a datagram, unless the server was killed."""
        if self.node.server is self.server:
            self.fleet.receive(self.simulated_fleet.loop.unix_time_ns(), data)
            self.process_results()

    def call_shares(self) -> tuple[float, float] | None:
        """Returns an equal share and the own share, in calls."""
        return call_shares(self.fleet)

    def peer_addresses(self) -> tuple[str, ...]:
        """Returns no address: a node can always reach the seeds."""
        return ()

    def eject_services(self, addresses: frozenset[str]) -> bool:
        """Returns True, for no call left to an ejected service: there are no subsets."""
        return True

    def recent_call_counts(self) -> dict[str, tuple[int, int]]:
        """Returns no counts: there are no subsets."""
        return {}

    def process_results(self) -> None:
        """Applies what a tick or a datagram changed, and sends the outbox."""
        if self.fleet.previous_incarnation != self.previous_incarnation:
            self.previous_incarnation = self.fleet.previous_incarnation
            self.recovery.previous_incarnation_seen(self.previous_incarnation)
        self.share.apply()
        self.fleet.transitions = []
        while self.fleet.outbox:
            self.simulated_fleet.network.send(self.address, *self.fleet.outbox.popleft())

    def close(self) -> None:
        """Leaves the fleet."""
        self.fleet.leave(self.simulated_fleet.loop.unix_time_ns())
        self.process_results()


def address_of_node(index: int) -> str:
    """Returns the address of the node with this index."""
    return f"10.1.{index // 200}.{index % 200 + 1}:7946"


class SimulatedFleet:
    """Joins the nodes of a simulation; a cut zone is cut for datagrams too.

    Attributes:
        network: Connects the members.
        seeds: Addresses of the first three nodes, at which members join.
    """

    def __init__(
        self,
        emulator: Emulator,
        quota_settings: QuotaSettings,
        gossip_settings: GossipSettings | None = None,
        loss_rate: float = 0.0,
    ) -> None:
        """Creates a fleet without members.

        Args:
            emulator: The simulation.
            quota_settings: Settings of the quota of all members.
            gossip_settings: Settings of the gossip of all members; None: the defaults.
            loss_rate: Share of datagrams that are lost.
        """
        self.emulator, self.loop, self.quota_settings, self.gossip_settings = (
            emulator,
            emulator.loop,
            quota_settings,
            gossip_settings or GossipSettings(),
        )
        low, high = emulator.scenario.callers.net_ms
        self.network = SimulatedNetwork(
            self.loop, emulator.scenario.seed, (low / 1000, high / 1000), loss_rate
        )
        self.network.is_partitioned = self.is_partitioned  # type: ignore[method-assign]
        self.seeds = tuple(address_of_node(index) for index in range(3))

    def zone(self, address: str) -> int:
        """Returns the zone of the node at an address."""
        _, _, high, low = address.split(":")[0].split(".")
        return (int(high) * 200 + int(low) - 1) % self.emulator.scenario.machines.zones

    def is_partitioned(self, source: str, target: str) -> bool:
        """Whether a cut zone lies between two addresses."""
        cut_zones = self.emulator.cut_zones
        return (
            bool(cut_zones)
            and self.zone(source) != self.zone(target)
            and bool(cut_zones & {self.zone(source), self.zone(target)})
        )

    def create_membership(
        self, node: Node, server: Server, recovery: RestartRecovery
    ) -> FleetMembership:
        """Returns the fleet membership of a node's server."""
        return SimulatedMembership(self, node, server, recovery)

    def shares(self) -> dict[str, float]:
        """Returns the shares of the nodes that are up, in calls."""
        return {
            node.name: node.server.subsystems.membership.fleet.share / MILLICALLS_PER_CALL
            for node in self.emulator.nodes
            if node.is_up
            and node.server is not None
            and isinstance(node.server.subsystems.membership, SimulatedMembership)
        }
