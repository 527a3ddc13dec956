"""Simulates a scenario: nodes, load balancers, the list of nodes, the downstream service, an open
load, and injected faults.
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
from .callers import Balancer
from .clock import SimulatedLoop, simulated_loop
from .downstream import EmulatedDownstream
from .load import ClientRequest, generate_requests
from .node import Node
from .rules import RuleChecker
from .scenario import Fault, Scenario

CHECK_INTERVAL_S, DISCARD_INTERVAL_S = (
    0.25,
    5.0,
)  # between checks of each node, and between removals of old events from the rule checker
RESTART_DELAY_S = 0.5  # from a process's end to the next one's start, without simulated releases
MAX_LATENCY_US = 60_000_000  # longer latencies are recorded as this


@dataclass(slots=True)
class SecondTotals:
    """Totals of the requests that arrived in one second; each list is by product index.

    Attributes:
        asked: Value of all requests.
        settled: Value of the requests that were completed within their latency objective.
        late: Number of requests that were completed after it.
    """

    asked: list[float]
    settled: list[float]
    late: list[int]


@dataclass
class Outcome:
    """Results of a simulation.

    The value of a request is its product's value times its work in core ms.

    Attributes:
        scenario: Name of the scenario.
        violations: Messages of the violations of rules.
        counts: Number of requests, attempts, runs, answers and others by name.
        asked_value: Value of all requests, by product.
        completed_value: Value of requests completed within their latency objective, by product.
        missed_counts: Number of requests that were not completed, by product and reason.
        latency_ms: Median and 99th percentile of the latency of completed requests in ms, by
            product.
        seconds: Totals of each second.
        max_sizes: Greatest number of entries in each collection of any server, at any check.
        final_sizes: The same at the end.
        series: A row for each second with what was sampled.
        elapsed_s: Real time in s that the simulation took.
    """

    scenario: str
    violations: list[str]
    counts: dict[str, int]
    asked_value: dict[str, float]
    completed_value: dict[str, float]
    missed_counts: dict[str, dict[str, int]]
    latency_ms: dict[str, tuple[float, float]]
    seconds: list[SecondTotals]
    max_sizes: dict[str, int]
    final_sizes: dict[str, int]
    series: list[dict[str, float]]
    elapsed_s: float = 0.0

    @property
    def value_share(self) -> float:
        """Share of the value of all requests that was completed in time."""
        return sum(self.completed_value.values()) / max(1e-9, sum(self.asked_value.values()))

    def value_share_of(self, product: str) -> float:
        """Returns the share of the value of a product's requests that was completed in time."""
        return self.completed_value[product] / max(1e-9, self.asked_value[product])


@dataclass
class Observer:
    """Samples a simulation once a second.

    Attributes:
        sample: Returns columns that are added to the row of that second.
    """

    sample: Callable[["Emulator"], dict[str, float]] = field(default=lambda emulator: {})


class Fleet(Protocol):
    """Joins the nodes' servers into a fleet."""

    def create_membership(
        self, node: Node, server: Server, recovery: RestartRecovery
    ) -> FleetMembership:
        """Returns the fleet membership of a node's server."""


class Releases(Protocol):
    """Decides which version each node runs, and when its new process starts."""

    def create_participation(self, node: Node) -> Callable[[Server], RolloutParticipation]:
        """Returns the function that creates the participation of a node's server in releases."""

    def draw_restart_s(self) -> float:
        """Returns the time in s from a process's end to the next one's start."""


class Emulator:
    """One simulation of a scenario.

    Attributes:
        scenario: What is simulated.
        loop: Gives the time.
        make_record: Creates each server's record; None: no record.
        make_levels: Creates each server's service levels; None: no levels.
        make_recovery: Creates each server's recovery; None: no recovery.
        observer: Samples the simulation once a second.
        fleet: Joins the servers into a fleet; None: each is alone.
        releases: Decides the nodes' versions; None: no releases.
        server_settings: The `settings` section of each server's configuration.
        downstream: The downstream service.
        rules: Checks the safety rules.
        counts: Number of requests, attempts and results of requests by name.
        nodes: All nodes.
        capacity_ms_per_s: Work in core ms at speed 1 that all cores do in a second.
        balancers: All load balancers.
        listed_nodes: Indexes of the nodes in the balancers' lists, sorted.
        cut_zones: Zones that exchange no messages with other zones.
        floods: Active faults of the kind "flood".
        seconds: Totals of each second.
        latency_us: Histograms of the latency of completed requests in us, by product index.
        missed_counts: Number of requests that were not completed by reason, by product index.
        max_sizes: Greatest number of entries in each collection of any server so far.
        series: A row for each second with what was sampled.
    """

    def __init__(
        self,
        scenario: Scenario,
        loop: SimulatedLoop,
        make_record: Callable[[Server], RequestRecord] | None = None,
        make_levels: Callable[[Server], ServiceLevels] | None = None,
        observer: Observer | None = None,
        make_fleet: Callable[["Emulator"], Fleet] | None = None,
        make_recovery: Callable[[Server], RestartRecovery] | None = None,
        make_releases: Callable[["Emulator"], Releases] | None = None,
    ) -> None:
        """Creates all parts of a simulation, with all nodes down.

        Args:
            scenario: What is simulated.
            loop: Gives the time.
            make_record: Creates each server's record; None: no record.
            make_levels: Creates each server's service levels; None: no levels.
            observer: Samples the simulation once a second.
            make_fleet: Creates what joins the servers into a fleet; None: each is alone.
            make_recovery: Creates each server's recovery; None: no recovery.
            make_releases: Creates what decides the nodes' versions; None: no releases.
        """
        self.scenario, self.loop, self.make_record, self.make_levels, self.observer = (
            scenario,
            loop,
            make_record,
            make_levels,
            observer or Observer(),
        )
        self.make_recovery = make_recovery
        self.fleet = make_fleet(self) if make_fleet is not None else None
        seeds = default_rng(scenario.seed).spawn(6)
        (
            self.load_random,
            self.network_random,
            self.fault_random,
            self.list_random,
            downstream_random,
            machine_random,
        ) = seeds
        machines, callers = scenario.machines, scenario.callers
        self.server_settings = scenario.build_server_settings(machines.first or machines.count)
        self.downstream = EmulatedDownstream(loop, scenario.below, downstream_random)
        self.rules = RuleChecker(
            machines.grace_ms / 1000,
            machines.tip_multiple,
            scenario.below.slots * scenario.below.headroom,
        )
        self.counts: Counter[str] = Counter()
        self.attempt_count = 0
        speeds = [float(machine_random.uniform(*machines.speed)) for _ in range(machines.count)]
        self.nodes = [
            Node(self, index, index % machines.zones, speed) for index, speed in enumerate(speeds)
        ]
        self.capacity_ms_per_s = sum(speeds) * machines.cores * 1000
        self.balancers = [
            Balancer(
                self,
                index,
                index % machines.zones,
                machine_random.random() < callers.heed,
                machine_random.random() < callers.checks,
                int(machine_random.integers(machines.count)),
            )
            for index in range(callers.count)
        ]
        self.listed_nodes: list[int] = []
        self.cut_zones: set[int] = set()
        self.floods: list[Fault] = []
        products = len(scenario.products)
        self.seconds = [
            SecondTotals([0.0] * products, [0.0] * products, [0] * products)
            for _ in range(int(scenario.seconds) + 1)
        ]
        self.latency_us = [HdrHistogram(1, MAX_LATENCY_US, 3) for _ in scenario.products]
        self.missed_counts: list[Counter[str]] = [Counter() for _ in scenario.products]
        self.max_sizes: Counter[str] = Counter()
        self.series: list[dict[str, float]] = []
        self.releases = make_releases(self) if make_releases is not None else None

    def derive_server_seed(self, node: Node) -> int:
        """Returns the seed of a node's server; it differs between nodes and incarnations."""
        return self.scenario.seed * 1_000_003 + node.index * 1009 + node.incarnation

    def draw_network_delay_s(self) -> float:
        """Returns the one-way delay of a message in s."""
        low, high = self.scenario.callers.net_ms
        return float(low + (high - low) * self.network_random.random()) / 1000

    def next_attempt_id(self) -> str:
        """Returns a new attempt id."""
        self.attempt_count += 1
        return f"{self.attempt_count:016x}"

    def get_deadline_s(self, request: ClientRequest) -> float:
        """Returns the time in s after which an answer to a request has no value."""
        return self.scenario.products[request.product].expiry_ms / 1000

    def may_run_again(self, request: ClientRequest) -> bool:
        """Whether a request may run more than once."""
        return self.scenario.products[request.product].kind == "inquiry"

    def is_connected(self, balancer: Balancer, node: Node) -> bool:
        """Whether messages pass between a balancer and a node."""
        return balancer.zone == node.zone or not self.cut_zones & {balancer.zone, node.zone}

    def schedule_list_update(self, node: Node, serving: bool | None) -> None:
        """Changes the balancers' lists after a delay.

        Args:
            node: The node.
            serving: Whether it reported that it serves; None: its process ended without a report.
        """
        callers = self.scenario.callers
        delay_s = float(
            self.list_random.uniform(*(callers.silent_s if serving is None else callers.notice_s))
        )
        incarnation = node.incarnation
        self.loop.call_later(
            delay_s if self.loop.now_s else 0.0, self.update_list, node, bool(serving), incarnation
        )

    def update_list(self, node: Node, serving: bool, incarnation: int) -> None:
        """Adds a node to the balancers' lists or removes it.

        Args:
            node: The node.
            serving: Whether it is to be listed.
            incarnation: Its incarnation at the time of the report.
        """
        if incarnation != node.incarnation and not serving:
            return  # the node was started again, and has reported since
        if serving and node.index not in self.listed_nodes:
            self.listed_nodes = sorted([*self.listed_nodes, node.index])
        elif not serving and node.index in self.listed_nodes:
            self.listed_nodes = [index for index in self.listed_nodes if index != node.index]

    def record_completed(self, request: ClientRequest) -> None:
        """Counts a request's first result, unless it came after the deadline."""
        if (
            request.completed_at_s >= 0
            or self.loop.now_s - request.arrived_at_s > self.get_deadline_s(request)
        ):
            return
        request.completed_at_s, request.is_finished = self.loop.now_s, True
        product, latency_s = (
            self.scenario.products[request.product],
            self.loop.now_s - request.arrived_at_s,
        )
        self.latency_us[request.product].record_value(
            min(MAX_LATENCY_US, max(1, int(latency_s * 1e6)))
        )
        second = self.seconds[int(request.arrived_at_s)]
        if latency_s <= product.sla_ms / 1000:
            self.counts["in time"] += 1
            second.settled[request.product] += product.value * request.work_ms
        else:
            self.counts["late"] += 1
            second.late[request.product] += 1

    def record_missed(self, request: ClientRequest, reason: str) -> None:
        """Counts a request as missed for this reason, unless it is finished."""
        if not request.is_finished:
            request.is_finished = True
            self.counts[f"missed: {reason}"] += 1
            self.missed_counts[request.product][reason] += 1

    async def run(self) -> None:
        """Runs the simulation to its end."""
        scenario = self.scenario
        for node in self.nodes[: scenario.machines.first or None]:
            node.start(cold=False)
        await asyncio.sleep(0.01)
        for fault in scenario.faults:
            self.loop.call_later(fault.at_s, self.begin_fault, fault)
        tasks = [
            asyncio.create_task(coroutine)
            for coroutine in (
                self.check_rules_periodically(),
                self.check_health_periodically(),
                self.sample_periodically(),
            )
        ]
        for request in generate_requests(scenario, self.capacity_ms_per_s, self.load_random):
            await asyncio.sleep(max(0.0, request.arrived_at_s - self.loop.now_s))
            self.receive_request(request)
        await asyncio.sleep(max(product.expiry_ms for product in scenario.products) / 1000 + 1)
        for task in tasks:
            task.cancel()
        for node in self.nodes:
            node.check_limits(CHECK_INTERVAL_S)

    def receive_request(self, request: ClientRequest) -> None:
        """Hands a request that arrives now to a random balancer."""
        request.arrived_at_s = self.loop.now_s
        product = self.scenario.products[request.product]
        self.counts["first tries"] += 1
        self.seconds[min(int(request.arrived_at_s), len(self.seconds) - 1)].asked[
            request.product
        ] += product.value * request.work_ms
        # The client stops waiting at the deadline, without a message from its balancer.
        self.loop.call_later(self.get_deadline_s(request), self.record_missed, request, "expired")
        balancer = self.balancers[int(self.network_random.integers(len(self.balancers)))]
        balancer.start_attempt(request)
        for flood in self.floods:
            if flood.product == product.name:
                for _ in range(int(flood.size)):
                    request.tried_nodes.clear()
                    balancer.start_attempt(request, True)

    async def check_rules_periodically(self) -> None:
        """Has the checker check all nodes and the downstream calls; forever."""
        last_call_seconds, last_s = 0.0, self.loop.now_s
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            for node in self.nodes:
                node.check_limits(CHECK_INTERVAL_S)
                for name, size in node.count_state().items():
                    self.max_sizes[name] = max(self.max_sizes[name], size)
            if self.loop.now_s - last_s >= DISCARD_INTERVAL_S:
                self.downstream.change_calls_in_progress(0)
                self.rules.check_downstream_calls(
                    self.loop.now_s,
                    (self.downstream.call_seconds - last_call_seconds) / (self.loop.now_s - last_s),
                )
                last_call_seconds, last_s = self.downstream.call_seconds, self.loop.now_s
                self.rules.discard_before(self.loop.now_s)

    async def check_health_periodically(self) -> None:
        """Has the balancers check the nodes' health once a second; forever."""
        while True:
            await asyncio.sleep(1.0)
            for balancer in self.balancers:
                if balancer.checks_health:
                    balancer.check_health()

    async def sample_periodically(self) -> None:
        """Adds a row to the series once a second; forever."""
        while True:
            await asyncio.sleep(1.0)
            up = [node for node in self.nodes if node.is_up]
            row = {
                "at": self.loop.now_s,
                "up": float(len(up)),
                "listed": float(len(self.listed_nodes)),
                "calls": float(self.downstream.calls_in_progress),
                "tries": float(self.counts["tries"]),
            }
            self.series.append(row | self.observer.sample(self))

    def pick_indexes(self, share: float, count: int, random: Generator) -> list[int]:
        """Returns a random share of the indexes from 0 to `count` - 1, at least one, in order."""
        return sorted(
            int(index) for index in random.permutation(count)[: max(1, round(share * count))]
        )

    def begin_fault(self, fault: Fault) -> None:
        """Injects a fault, and plans its end. `scenario.Fault` describes the kinds."""
        end_fault: Callable[[], Any] = lambda: None
        match fault.kind:
            case "kill":
                nodes = [
                    self.nodes[index]
                    for index in self.pick_indexes(fault.part, len(self.nodes), self.fault_random)
                ]
                for node in nodes:
                    node.stop(killed=True)
                end_fault = lambda: self.restart_nodes(nodes)
            case "join":
                down = [node for node in self.nodes if not node.is_up and not node.incarnation][
                    : int(fault.size)
                ]
                for position, node in enumerate(down):
                    self.loop.call_later(position * fault.for_s / len(down), node.start, False)
            case "leave":
                leaving = [node for node in self.nodes if node.is_up][-int(fault.size) :]
                for position, node in enumerate(leaving):
                    self.loop.call_later(
                        position * fault.for_s / len(leaving), self.replace_node, node, False
                    )
            case "slow" | "deaf":
                nodes = [
                    self.nodes[index]
                    for index in self.pick_indexes(fault.part, len(self.nodes), self.fault_random)
                ]
                self.set_impaired(nodes, fault, True)
                end_fault = lambda: self.set_impaired(nodes, fault, False)
            case "cut":
                self.cut_zones.add(int(self.fault_random.integers(self.scenario.machines.zones)))
                end_fault = self.cut_zones.clear
            case "below-slow":
                self.downstream.slowdown = fault.size
                end_fault = lambda: setattr(self.downstream, "slowdown", 1.0)
            case "below-gone":
                self.downstream.is_unreachable = True
                end_fault = lambda: setattr(self.downstream, "is_unreachable", False)
            case "restart":
                for index in self.pick_indexes(fault.part, len(self.balancers), self.fault_random):
                    self.balancers[index].restart()
            case "flood":
                self.floods.append(fault)
                end_fault = lambda: self.floods.remove(fault)
            case "release":
                self.release_nodes(
                    [
                        self.nodes[index]
                        for index in self.pick_indexes(
                            fault.part, len(self.nodes), self.fault_random
                        )
                    ],
                    fault,
                )
        self.loop.call_later(fault.for_s, end_fault)

    def restart_nodes(self, nodes: list[Node]) -> None:
        """Starts those nodes that are down, on cold machines."""
        for node in nodes:
            if not node.is_up:
                node.start(cold=True)

    def set_impaired(self, nodes: list[Node], fault: Fault, is_impaired: bool) -> None:
        """Begins or ends a fault of the kind "slow" or "deaf" on some nodes."""
        for node in nodes:
            if fault.kind == "slow":
                node.slowdown = fault.size if is_impaired else 1.0
            if node.is_up and fault.kind == "slow":
                node.cores.advance()
                node.cores.slowdown = node.slowdown
                node.cores.set_timer()
            elif node.is_up:
                node.executor.ignores_gauge_queries = is_impaired

    def release_nodes(self, nodes: list[Node], fault: Fault) -> None:
        """Drains nodes in batches, spread over the fault's time; each restarts after its drain."""
        batch_size = max(1, round(fault.size * len(self.nodes)))
        batch_count = (len(nodes) + batch_size - 1) // batch_size
        for position, node in enumerate(nodes):
            self.loop.call_later(
                position // batch_size * fault.for_s / batch_count, self.replace_node, node
            )

    def replace_node(self, node: Node, restarts: bool = True) -> None:
        """Drains a node and ends its process.

        Args:
            node: The node; nothing happens while it is down.
            restarts: Whether a new process starts afterwards.
        """
        if node.is_up and node.server is not None:
            node.drain()
            node.server.tasks.start(self.stop_after_drain(node, node.server, restarts), "replaced")

    async def stop_after_drain(self, node: Node, server: Server, restarts: bool) -> None:
        """Waits until a server has drained, for `stop_ms` at most, and ends its process."""
        incarnation = node.incarnation
        try:
            async with asyncio.timeout(self.scenario.machines.stop_ms / 1000):
                await server.stopped.wait()
        except TimeoutError:
            pass
        if node.incarnation == incarnation and node.is_up:
            self.loop.call_soon(node.stop, False)
            if restarts:
                delay_s = (
                    self.releases.draw_restart_s() if self.releases is not None else RESTART_DELAY_S
                )
                self.loop.call_later(delay_s, self.restart_nodes, [node])

    def build_outcome(self, elapsed_s: float) -> Outcome:
        """Returns the totals; `elapsed_s` is the real time in s that the simulation took."""
        products = self.scenario.products
        final_sizes: Counter[str] = Counter()
        for node in self.nodes:
            for name, size in node.count_state().items():
                final_sizes[name] = max(final_sizes[name], size)
        return Outcome(
            self.scenario.name,
            self.rules.violations,
            dict(self.rules.counts + self.counts),
            {
                product.name: sum(second.asked[index] for second in self.seconds)
                for index, product in enumerate(products)
            },
            {
                product.name: sum(second.settled[index] for second in self.seconds)
                for index, product in enumerate(products)
            },
            {
                product.name: dict(self.missed_counts[index])
                for index, product in enumerate(products)
            },
            {
                product.name: (
                    self.latency_us[index].get_value_at_percentile(50) / 1000,
                    self.latency_us[index].get_value_at_percentile(99) / 1000,
                )
                for index, product in enumerate(products)
            },
            self.seconds,
            dict(self.max_sizes),
            dict(final_sizes),
            self.series,
            elapsed_s,
        )


def run_scenario(
    scenario: Scenario,
    make_record: Callable[[Server], RequestRecord] | None = None,
    make_levels: Callable[[Server], ServiceLevels] | None = None,
    observer: Observer | None = None,
    make_fleet: Callable[[Emulator], Fleet] | None = None,
    make_recovery: Callable[[Server], RestartRecovery] | None = None,
    make_releases: Callable[[Emulator], Releases] | None = None,
) -> Outcome:
    """Runs a scenario to its end.

    Args:
        scenario: What is simulated.
        make_record: Creates each server's record; None: no record.
        make_levels: Creates each server's service levels; None: no levels.
        observer: Samples the simulation once a second.
        make_fleet: Creates what joins the servers into a fleet; None: each is alone.
        make_recovery: Creates each server's recovery; None: no recovery.
        make_releases: Creates what decides the nodes' versions; None: no releases.

    Returns:
        The outcome; the same scenario gives the same one each time, except for `elapsed_s`.
    """
    started_s = time.perf_counter()
    previous_level = logging.root.manager.disable
    logging.disable(logging.WARNING)  # thousands of servers would fill the log
    try:
        with simulated_loop() as loop:
            emulator = Emulator(
                scenario,
                loop,
                make_record,
                make_levels,
                observer,
                make_fleet,
                make_recovery,
                make_releases,
            )
            loop.run_until_complete(emulator.run())
            outcome = emulator.build_outcome(time.perf_counter() - started_s)
            for node in emulator.nodes:
                node.stop(killed=True)
            return outcome
    finally:
        logging.disable(previous_level)
