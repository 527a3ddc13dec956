"""Whole nodes in simulated time: the real server, desk, decisions, keeper and fates over a store
that misbehaves.

Nothing waits and nothing is random but by seed: the loop's clock jumps to the next timer. Sockets,
executor and store are stand-ins of a few lines; the store's rows change by `rows.applied` alone.
Nodes crash and come back, writes take long, hang, are lost, unsure, or take hold late. A checker
counts runs and answers.
"""

import asyncio
import random
import socket
from collections import Counter
from collections.abc import Callable, Iterator

from burlloom.executor import RunStatus
from burlloom.lab.clock import EPOCH, SECOND, SimulatedLoop, simulated
from burlloom.record.authentication import RowAuthenticator
from burlloom.record.coordinator import RecordCoordinator
from burlloom.record.policy import RecordPolicy
from burlloom.record.request_lifecycle import RequestEvent
from burlloom.record.rows import (
    ROW_STARTED,
    RecordRow,
    RecordWrite,
    WriteKind,
    WriteResult,
    apply_write,
    interpret_unapplied_write,
)
from burlloom.record.store import StoreSession, WriteCallback
from burlloom.rpc import IncomingRequest
from burlloom.server.configuration import ServerConfig
from burlloom.server.configured_request_record import ConfiguredRequestRecord
from burlloom.server.server import Server
from burlloom.server.subsystems import SubsystemFactory
from burlloom.settings import parse_server_settings

NS_PER_MS = 1_000_000
NOWHERE = ("", 0)  # no socket is opened
SEALER = RowAuthenticator(b"s" * 32)
SETTINGS = {
    "categories": [
        {
            "name": "pay",
            "worth": 5.0,
            "aim": 1500000,
            "deadline": 6000000,
            "idempotency": "dedup",
            "window": 18000000,
        }
    ],
    "extra": {"n_cores": 64, "memory_kb": 4000000, "blowup": 4.0},
    "tenants": [],
    "rules": {"tip_multiple": 5.0, "cold_from": 1.0, "warm_up": 17000000, "drain_grace": 1000000},
}


class Base:
    """The rows, and each node's present life."""

    def __init__(self) -> None:
        self.rows: dict[bytes, RecordRow] = {}
        self.lives: dict[str, tuple[int, bool]] = {}

    def write(self, write: RecordWrite) -> WriteResult:
        row = write.row
        life = self.lives[row.node][0]
        there = self.rows.get(row.key_digest)
        after, held = apply_write(there, write, life)
        if held:
            if after is None:
                self.rows.pop(row.key_digest)
            else:
                self.rows[row.key_digest] = after
            return WriteResult(RequestEvent.WRITE_APPLIED)
        if write.kind in (WriteKind.CLAIM, WriteKind.INSERT) and row.incarnation != life:
            return WriteResult(RequestEvent.FENCED)
        return interpret_unapplied_write(write, there, self.lives)


class FakeStore:
    """One node's way to the base, in order, with troubles drawn by chance."""

    commit_count = write_count = largest_batch = pruned_rows = 0

    def __init__(self, base: Base, node: str, chance: random.Random, trouble: float) -> None:
        self.base, self.node, self.chance, self.trouble = base, node, chance, trouble
        self.on_verdict = None
        self.queue: list[RecordWrite] = []
        self.free_at = 0.0
        self.dead = False

    async def open(self) -> StoreSession:
        life = self.base.lives.get(self.node, (0, False))[0] + 1
        self.base.lives[self.node] = life, False
        return StoreSession(self.node, life, 0)

    def read_recorded_keys(self, now: int) -> Iterator[list[tuple[bytes, int]]]:
        yield [
            (row.key_digest, row.expires_at_ns)
            for row in self.base.rows.values()
            if row.node == self.node
        ]

    def read_started_rows(self, now: int) -> Iterator[RecordRow]:
        return iter(
            [
                row
                for row in self.base.rows.values()
                if row.node == self.node and row.state == ROW_STARTED
            ]
        )

    async def start(self) -> None: ...

    def save_notice(self, text: str) -> None: ...

    def submit(self, write: RecordWrite, done: WriteCallback) -> None:
        loop = asyncio.get_running_loop()
        latency = self.chance.expovariate(1 / 0.004)
        if self.chance.random() < self.trouble:
            latency += self.chance.choice([0.1, 0.6, 3.0])
        self.free_at = max(self.free_at, loop.time()) + latency
        self.queue.append(write)
        loop.call_at(self.free_at, self.serve, write, done)

    def serve(self, write: RecordWrite, done: WriteCallback) -> None:
        if self.dead:
            return
        self.queue.remove(write)
        trouble = self.chance.random()
        if trouble > self.trouble:
            done(self.base.write(write))
        elif trouble < self.trouble * 0.4:
            done(WriteResult(RequestEvent.WRITE_FAILED))
        elif trouble < self.trouble * 0.7:
            self.base.write(write)
            done(WriteResult(RequestEvent.WRITE_UNCERTAIN))
        else:
            # As from a server's session that outlives its connection: it may take hold long after.
            asyncio.get_running_loop().call_later(self.chance.random() * 8, self.base.write, write)
            done(WriteResult(RequestEvent.WRITE_UNCERTAIN))

    def probe(self, done: Callable[[bool], None]) -> None:
        good = self.chance.random() > self.trouble
        asyncio.get_running_loop().call_later(0.002, lambda: None if self.dead else done(good))

    def crash(self) -> None:
        """Some of what lay in the queue had left."""
        self.dead = True
        for write in self.queue[: self.chance.randint(0, len(self.queue))]:
            self.base.write(write)

    async def close(self) -> None:
        self.dead = True


class FakeLink:
    """The executor: it outlives the server or goes down with it."""

    def __init__(self, world: "World", chance: random.Random) -> None:
        self.world, self.chance = world, chance
        self.server: Server | None = None
        self.born = -90.0
        self.told: list[tuple[str, RunStatus, bytes]] = []
        self.runs: dict[str, list[asyncio.TimerHandle]] = {}

    def start_run(self, id: str, product: str, body: bytes) -> None:
        if id in self.runs:
            return
        loop = asyncio.get_running_loop()
        begins, ends = self.chance.random() * 0.02, 0.02 + self.chance.expovariate(1 / 0.05)
        draw = self.chance.random()
        end = (
            RunStatus.NO_LONGER_NEEDED
            if draw < 0.03
            else RunStatus.FAILED
            if draw < 0.06
            else RunStatus.PASSED
        )
        timers = self.runs[id] = []
        if end is not RunStatus.NO_LONGER_NEEDED:
            timers.append(loop.call_later(begins, self.world.ran, body, id))
        timers.append(loop.call_later(ends, self.end, id, end, body))

    def end(self, id: str, end: RunStatus, body: bytes) -> None:
        del self.runs[id]
        self.told.append(
            (id, end, b"receipt of " + id.encode() if end is RunStatus.PASSED else b"")
        )
        if self.server is not None:
            self.server.requests.run_ended(id, end, 12 * NS_PER_MS, self.told[-1][2])

    def replay(self, server: Server) -> None:
        self.server = server
        for id, end, result in list(self.told):
            server.requests.run_ended(id, end, 12 * NS_PER_MS, result)

    def crash(self, now: float) -> None:
        for timers in self.runs.values():
            for timer in timers:
                timer.cancel()
        self.runs.clear()
        self.told.clear()
        self.born = now


class Node:
    def __init__(self, world: "World", name: str) -> None:
        self.world, self.name = world, name
        self.link = FakeLink(world, world.chance)
        self.server: Server | None = None
        self.store: FakeStore | None = None

    async def start(self) -> None:
        world, loop = self.world, world_loop()
        known, meters = parse_server_settings(SETTINGS)
        config = ServerConfig(
            name=self.name,
            listen_address=NOWHERE,
            executor_address=NOWHERE,
            discovery_address=NOWHERE,
            downstream_address=NOWHERE,
            seed=7,
            stop_ns=3 * SECOND,
            settings=known,
            max_sockets=100,
            memory_bytes=64 << 20,
            class_names=("pay",),
            tenant_portions={},
            gauge_names=meters,
        )
        store = self.store = FakeStore(world.base, self.name, world.chance, world.trouble)
        terms = RecordPolicy(world.prefer, 0.25, 0.1, 64, 3 * SECOND)

        class RecordOnly(SubsystemFactory):
            def create_record(self, server: Server) -> ConfiguredRequestRecord:
                server.clock = server.requests.clock = loop.wall  # type: ignore[assignment]
                record = ConfiguredRequestRecord(
                    known.request_classes,
                    0.1,
                    loop.wall,
                    server.requests.start_run,
                    world.nodes_count > 1,
                )
                record.coordinator = RecordCoordinator(
                    store, SEALER, terms, 1500 * NS_PER_MS, loop.wall, record
                )
                return record

        with socket.socket() as listener:
            server = Server(config, listener, RecordOnly())
        server.listener.clock = loop.wall
        server.health_reporter.report_health = lambda serving: None  # type: ignore[method-assign]
        server.connect(self.link, server.downstream)  # type: ignore[arg-type]
        self.link.query_gauges = no_gauges  # type: ignore[attr-defined]
        await server.subsystems.record.open()
        server.executor_connected(False, int((loop.time() - self.link.born) * 1000))
        self.server = server
        self.link.replay(server)

    def crash(self) -> None:
        assert self.server is not None
        assert self.store is not None
        self.store.crash()
        recorded = self.server.subsystems.record
        assert isinstance(recorded, ConfiguredRequestRecord)
        recorded.coordinator.stop()
        for task in list(self.server.tasks.running):
            task.cancel()
        recorded.dispatcher = None
        self.server.health_reporter.socket.close()
        self.server = self.link.server = None
        if self.world.chance.random() < 0.5:
            self.link.crash(world_loop().time())


async def no_gauges(patience: int) -> None:
    await asyncio.sleep(0.001)


def world_loop() -> SimulatedLoop:
    loop = asyncio.get_running_loop()
    assert isinstance(loop, SimulatedLoop)
    return loop


class Way:
    """Where the answers of one try come out."""

    def __init__(self, world: "World", mark: bytes, node: Node, sent: int) -> None:
        self.world, self.mark, self.node, self.sent = world, mark, node, sent
        self.server = node.server
        self.answer = ""
        self.ran_before = mark in world.runs
        self.settled_before = mark in world.settled

    def said(self, answer: str) -> None:
        world = self.world
        if self.node.server is not self.server:
            return  # its connection went with its server
        if self.answer:
            world.fault(f"answered twice: {self.answer}, {answer}")
        self.answer = answer
        world.count[answer] += 1
        if world_loop().wall() > self.sent + 6 * SECOND:
            world.fault(f"{answer} past its due time")

    def complete(self, number: int, result: bytes) -> None:
        self.said("settled")
        if result != self.world.runs.get(self.mark, b""):
            self.world.fault("settled with what its run did not make")
        self.world.settled.add(self.mark)

    def reject(self, number: int, stay_away: int, final: bool) -> None:
        self.said("declined")
        if self.settled_before and not self.world.prefer and self.world.trouble == 0:
            self.world.fault("declined though it had been settled")

    def fail(self, number: int) -> None:
        self.said("voided")

    def report_fault(self, what: str) -> None: ...


class World:
    def __init__(
        self, seed: int, nodes: int, trouble: float, crashes: float, prefer: bool = False
    ) -> None:
        self.chance = random.Random(seed)
        self.base, self.nodes_count, self.trouble, self.prefer, self.crashes = (
            Base(),
            nodes,
            trouble,
            prefer,
            crashes,
        )
        self.runs: dict[bytes, bytes] = {}
        self.settled: set[bytes] = set()
        self.count: Counter[str] = Counter()
        self.faults: list[str] = []
        self.nodes = [Node(self, f"n{n}") for n in range(nodes)]
        self.ways: list[Way] = []

    def fault(self, what: str) -> None:
        self.faults.append(f"{asyncio.get_running_loop().time():.3f}: {what}")

    def ran(self, body: bytes, id: str) -> None:
        self.count["runs"] += 1
        if body in self.runs:
            self.fault(f"{body!r} ran twice")
        self.runs[body] = b"receipt of " + id.encode()

    def send(self, node: Node, mark: bytes, retry: bool) -> None:
        assert node.server is not None
        now = world_loop().wall()
        way = Way(self, mark, node, now)
        self.ways.append(way)
        self.count["tries"] += 1
        id = f"{self.chance.getrandbits(64):016x}"
        node.server.requests.receive(
            IncomingRequest(
                way,
                len(self.ways),
                "pay",
                id,
                now,
                "1",
                10 * NS_PER_MS,
                10.0,
                0.9,
                mark.hex(),
                "",
                mark,
                retry,
            )
        )

    async def play(self, charges: int = 24, seconds: float = 8.0) -> None:
        for node in self.nodes:
            await node.start()
        plan = []
        for n in range(charges):
            mark, first = f"charge {n}".encode(), self.chance.random() * seconds
            plan.append((first, mark, False))
            for _ in range(self.chance.randint(0, 3)):
                plan.append(
                    (
                        first + self.chance.choice([0.001, 0.01, 0.1, 1, 3]) * self.chance.random(),
                        mark,
                        True,
                    )
                )
        plan += [(self.chance.random() * seconds, b"", False) for _ in range(int(self.crashes))]
        loop, down = world_loop(), []
        for at, mark, retry in sorted(plan):
            await asyncio.sleep(max(0.0, at - loop.time()))
            node = self.chance.choice(self.nodes)
            if not mark and node.server is not None:
                node.crash()
                self.count["crashes"] += 1
                down.append(asyncio.create_task(self.return_later(node)))
            elif mark and node.server is not None:
                self.send(node, mark, retry)
        await asyncio.sleep(7)
        await asyncio.gather(*down)
        await asyncio.sleep(7)
        for way in self.ways:
            if not way.answer and way.node.server is way.server:
                self.fault(
                    f"{way.mark!r} sent {(way.sent - EPOCH) / SECOND:.3f} was never answered"
                )
        for node in self.nodes:
            if node.server is not None:
                node.crash()

    async def return_later(self, node: Node) -> None:
        await asyncio.sleep(self.chance.random() * 2)
        await node.start()


def simulate(seed: int, nodes: int, trouble: float, crashes: float, prefer: bool = False) -> World:
    with simulated() as loop:
        world = World(seed, nodes, trouble, crashes, prefer)
        loop.run_until_complete(world.play())
        return world
