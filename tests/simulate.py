"""Simulates whole servers in simulated time, with a record store that misbehaves.

The servers, their admission, records and request lifecycles are the real ones. Sockets, executors and
the store are small fakes; the stored rows change only by `rows.apply_write`. The event loop's clock
jumps to the next timer, and all randomness is seeded. Servers crash and restart; writes take long,
fail, have uncertain outcomes, or apply late. A checker counts runs and answers.
"""

import asyncio
import random
import socket
from collections import Counter
from collections.abc import Callable, Iterator

from burlloom.executor import RunStatus
from burlloom.lab.clock import EPOCH_NS, SimulatedLoop, simulated_loop
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
from burlloom.time_units import NS_PER_MS, NS_PER_SECOND

UNUSED_ADDRESS = ("", 0)  # no socket is opened
AUTHENTICATOR = RowAuthenticator(b"s" * 32)
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


class SharedRows:
    """The stored rows, and each node's current incarnation; shared by all fake stores."""

    def __init__(self) -> None:
        self.rows: dict[bytes, RecordRow] = {}
        self.incarnations: dict[str, tuple[int, bool]] = {}

    def write(self, write: RecordWrite) -> WriteResult:
        row = write.row
        incarnation = self.incarnations[row.node][0]
        stored_row = self.rows.get(row.key_digest)
        row_after, is_applied = apply_write(stored_row, write, incarnation)
        if is_applied:
            if row_after is None:
                self.rows.pop(row.key_digest)
            else:
                self.rows[row.key_digest] = row_after
            return WriteResult(RequestEvent.WRITE_APPLIED)
        if write.kind in (WriteKind.CLAIM, WriteKind.INSERT) and row.incarnation != incarnation:
            return WriteResult(RequestEvent.FENCED)
        return interpret_unapplied_write(write, stored_row, self.incarnations)


class FakeStore:
    """One node's store: applies writes in order, with random latencies and faults."""

    commit_count = write_count = largest_batch = pruned_rows = 0

    def __init__(
        self, shared_rows: SharedRows, node: str, rng: random.Random, fault_rate: float
    ) -> None:
        self.shared_rows, self.node, self.rng, self.fault_rate = shared_rows, node, rng, fault_rate
        self.on_verdict = None
        self.queue: list[RecordWrite] = []
        self.free_at_s = 0.0
        self.is_crashed = False

    async def open(self) -> StoreSession:
        incarnation = self.shared_rows.incarnations.get(self.node, (0, False))[0] + 1
        self.shared_rows.incarnations[self.node] = incarnation, False
        return StoreSession(self.node, incarnation, 0)

    def read_recorded_keys(self, now_ns: int) -> Iterator[list[tuple[bytes, int]]]:
        yield [
            (row.key_digest, row.expires_at_ns)
            for row in self.shared_rows.rows.values()
            if row.node == self.node
        ]

    def read_started_rows(self, now_ns: int) -> Iterator[RecordRow]:
        return iter(
            [
                row
                for row in self.shared_rows.rows.values()
                if row.node == self.node and row.state == ROW_STARTED
            ]
        )

    async def start(self) -> None: ...

    def save_notice(self, text: str) -> None: ...

    def submit(self, write: RecordWrite, callback: WriteCallback) -> None:
        loop = asyncio.get_running_loop()
        latency_s = self.rng.expovariate(1 / 0.004)
        if self.rng.random() < self.fault_rate:
            latency_s += self.rng.choice([0.1, 0.6, 3.0])
        self.free_at_s = max(self.free_at_s, loop.time()) + latency_s
        self.queue.append(write)
        loop.call_at(self.free_at_s, self.finish_write, write, callback)

    def finish_write(self, write: RecordWrite, callback: WriteCallback) -> None:
        if self.is_crashed:
            return
        self.queue.remove(write)
        draw = self.rng.random()
        if draw > self.fault_rate:
            callback(self.shared_rows.write(write))
        elif draw < self.fault_rate * 0.4:
            callback(WriteResult(RequestEvent.WRITE_FAILED))
        elif draw < self.fault_rate * 0.7:
            self.shared_rows.write(write)
            callback(WriteResult(RequestEvent.WRITE_UNCERTAIN))
        else:
            # Like a database session that outlives its connection: the write may apply much later.
            asyncio.get_running_loop().call_later(
                self.rng.random() * 8, self.shared_rows.write, write
            )
            callback(WriteResult(RequestEvent.WRITE_UNCERTAIN))

    def probe(self, callback: Callable[[bool], None]) -> None:
        succeeded = self.rng.random() > self.fault_rate
        asyncio.get_running_loop().call_later(
            0.002, lambda: None if self.is_crashed else callback(succeeded)
        )

    def crash(self) -> None:
        """Stops answering; a random number of the queued writes still applies."""
        self.is_crashed = True
        for write in self.queue[: self.rng.randint(0, len(self.queue))]:
            self.shared_rows.write(write)

    async def close(self) -> None:
        self.is_crashed = True


class FakeExecutor:
    """An executor, which survives a crash of its server or ends with it."""

    def __init__(self, simulation: "Simulation", rng: random.Random) -> None:
        self.simulation, self.rng = simulation, rng
        self.server: Server | None = None
        self.started_at_s = -90.0
        self.reported_runs: list[tuple[str, RunStatus, bytes]] = []
        self.timers_by_run_id: dict[str, list[asyncio.TimerHandle]] = {}

    def start_run(self, id: str, product: str, body: bytes, is_idempotent: bool) -> None:
        if id in self.timers_by_run_id:
            return
        loop = asyncio.get_running_loop()
        start_delay_s, end_delay_s = self.rng.random() * 0.02, 0.02 + self.rng.expovariate(1 / 0.05)
        draw = self.rng.random()
        status = (
            RunStatus.NO_LONGER_NEEDED
            if draw < 0.03
            else RunStatus.FAILED
            if draw < 0.06
            else RunStatus.PASSED
        )
        timers = self.timers_by_run_id[id] = []
        if status is not RunStatus.NO_LONGER_NEEDED:
            timers.append(loop.call_later(start_delay_s, self.simulation.record_run, body, id))
        timers.append(loop.call_later(end_delay_s, self.finish_run, id, status, body))

    def finish_run(self, id: str, status: RunStatus, body: bytes) -> None:
        del self.timers_by_run_id[id]
        self.reported_runs.append(
            (id, status, b"receipt of " + id.encode() if status is RunStatus.PASSED else b"")
        )
        if self.server is not None:
            self.server.requests.run_ended(id, status, 12 * NS_PER_MS, self.reported_runs[-1][2])

    def replay(self, server: Server) -> None:
        self.server = server
        for id, status, result in list(self.reported_runs):
            server.requests.run_ended(id, status, 12 * NS_PER_MS, result)

    def crash(self, now_s: float) -> None:
        for timers in self.timers_by_run_id.values():
            for timer in timers:
                timer.cancel()
        self.timers_by_run_id.clear()
        self.reported_runs.clear()
        self.started_at_s = now_s


class SimulatedNode:
    """A server with its fake store and executor, which can crash and restart."""

    def __init__(self, simulation: "Simulation", name: str) -> None:
        self.simulation, self.name = simulation, name
        self.executor = FakeExecutor(simulation, simulation.rng)
        self.server: Server | None = None
        self.store: FakeStore | None = None

    async def start(self) -> None:
        simulation, loop = self.simulation, get_simulated_loop()
        server_settings, gauge_names = parse_server_settings(SETTINGS)
        config = ServerConfig(
            name=self.name,
            listen_address=UNUSED_ADDRESS,
            executor_address=UNUSED_ADDRESS,
            discovery_address=UNUSED_ADDRESS,
            downstream_address=UNUSED_ADDRESS,
            seed=7,
            stop_ns=3 * NS_PER_SECOND,
            settings=server_settings,
            max_sockets=100,
            memory_bytes=64 << 20,
            class_names=("pay",),
            tenant_portions={},
            gauge_names=gauge_names,
        )
        store = self.store = FakeStore(
            simulation.shared_rows, self.name, simulation.rng, simulation.fault_rate
        )
        policy = RecordPolicy(simulation.may_run_unrecorded, 0.25, 0.1, 64, 3 * NS_PER_SECOND)

        class RecordOnly(SubsystemFactory):
            def create_record(self, server: Server) -> ConfiguredRequestRecord:
                server.clock = server.requests.clock = loop.unix_time_ns  # type: ignore[assignment]
                record = ConfiguredRequestRecord(
                    server_settings.request_classes,
                    0.1,
                    loop.unix_time_ns,
                    server.requests.start_run,
                    simulation.node_count > 1,
                )
                record.coordinator = RecordCoordinator(
                    store, AUTHENTICATOR, policy, 1500 * NS_PER_MS, loop.unix_time_ns, record
                )
                return record

        with socket.socket() as listener:
            server = Server(config, listener, RecordOnly())
        server.listener.clock = loop.unix_time_ns
        server.health_reporter.report_health = lambda serving: None  # type: ignore[method-assign]
        server.connect(self.executor, server.downstream)  # type: ignore[arg-type]
        self.executor.query_gauges = query_no_gauges  # type: ignore[attr-defined]
        await server.subsystems.record.open()
        server.executor_connected(False, int((loop.time() - self.executor.started_at_s) * 1000))
        self.server = server
        self.executor.replay(server)

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
        self.server = self.executor.server = None
        if self.simulation.rng.random() < 0.5:
            self.executor.crash(get_simulated_loop().time())


async def query_no_gauges(timeout_ns: int) -> None:
    await asyncio.sleep(0.001)


def get_simulated_loop() -> SimulatedLoop:
    loop = asyncio.get_running_loop()
    assert isinstance(loop, SimulatedLoop)
    return loop


class Attempt:
    """One attempt of a caller; receives the server's answers and checks them."""

    def __init__(
        self, simulation: "Simulation", key: bytes, node: SimulatedNode, sent_at_ns: int
    ) -> None:
        self.simulation, self.key, self.node, self.sent_at_ns = simulation, key, node, sent_at_ns
        self.server = node.server
        self.answer = ""
        self.was_run_before = key in simulation.results_by_key
        self.was_completed_before = key in simulation.completed_keys

    def receive_answer(self, answer: str) -> None:
        simulation = self.simulation
        if self.node.server is not self.server:
            return  # the connection ended when the server crashed
        if self.answer:
            simulation.add_fault(f"attempt answered twice: {self.answer}, {answer}")
        self.answer = answer
        simulation.counts[answer] += 1
        if get_simulated_loop().unix_time_ns() > self.sent_at_ns + 6 * NS_PER_SECOND:
            simulation.add_fault(f"{answer} after the deadline")

    def complete(self, message_id: int, result: bytes) -> None:
        self.receive_answer("completed")
        if result != self.simulation.results_by_key.get(self.key, b""):
            self.simulation.add_fault("completed with a result that its run did not produce")
        self.simulation.completed_keys.add(self.key)

    def reject(self, message_id: int, retry_after_ns: int, is_final: bool) -> None:
        self.receive_answer("rejected")
        if (
            self.was_completed_before
            and not self.simulation.may_run_unrecorded
            and self.simulation.fault_rate == 0
        ):
            self.simulation.add_fault("rejected although it was completed before")

    def fail(self, message_id: int) -> None:
        self.receive_answer("failed")

    def report_fault(self, fault: str) -> None: ...


class Simulation:
    """Servers with one shared store, the callers' attempts, and the faults found."""

    def __init__(
        self,
        seed: int,
        nodes: int,
        fault_rate: float,
        crash_count: float,
        may_run_unrecorded: bool = False,
    ) -> None:
        self.rng = random.Random(seed)
        self.shared_rows = SharedRows()
        self.node_count = nodes
        self.fault_rate = fault_rate
        self.may_run_unrecorded = may_run_unrecorded
        self.crash_count = crash_count
        self.results_by_key: dict[bytes, bytes] = {}
        self.completed_keys: set[bytes] = set()
        self.counts: Counter[str] = Counter()
        self.faults: list[str] = []
        self.nodes = [SimulatedNode(self, f"n{n}") for n in range(nodes)]
        self.attempts: list[Attempt] = []

    def add_fault(self, fault: str) -> None:
        self.faults.append(f"{asyncio.get_running_loop().time():.3f}: {fault}")

    def record_run(self, body: bytes, id: str) -> None:
        self.counts["runs"] += 1
        if body in self.results_by_key:
            self.add_fault(f"{body!r} ran twice")
        self.results_by_key[body] = b"receipt of " + id.encode()

    def send_attempt(self, node: SimulatedNode, key: bytes, is_retry: bool) -> None:
        assert node.server is not None
        now_ns = get_simulated_loop().unix_time_ns()
        attempt = Attempt(self, key, node, now_ns)
        self.attempts.append(attempt)
        self.counts["attempts"] += 1
        id = f"{self.rng.getrandbits(64):016x}"
        node.server.requests.receive(
            IncomingRequest(
                attempt,
                len(self.attempts),
                "pay",
                id,
                now_ns,
                "1",
                10 * NS_PER_MS,
                10.0,
                0.9,
                key.hex(),
                "",
                key,
                is_retry,
            )
        )

    async def run(self, key_count: int = 24, duration_s: float = 8.0) -> None:
        for node in self.nodes:
            await node.start()
        events = []
        for n in range(key_count):
            key, first_at_s = f"charge {n}".encode(), self.rng.random() * duration_s
            events.append((first_at_s, key, False))
            for _ in range(self.rng.randint(0, 3)):
                events.append(
                    (
                        first_at_s + self.rng.choice([0.001, 0.01, 0.1, 1, 3]) * self.rng.random(),
                        key,
                        True,
                    )
                )
        events += [
            (self.rng.random() * duration_s, b"", False) for _ in range(int(self.crash_count))
        ]
        loop, restarts = get_simulated_loop(), []
        for time_s, key, is_retry in sorted(events):
            await asyncio.sleep(max(0.0, time_s - loop.time()))
            node = self.rng.choice(self.nodes)
            if not key and node.server is not None:
                node.crash()
                self.counts["crashes"] += 1
                restarts.append(asyncio.create_task(self.restart_later(node)))
            elif key and node.server is not None:
                self.send_attempt(node, key, is_retry)
        await asyncio.sleep(7)
        await asyncio.gather(*restarts)
        await asyncio.sleep(7)
        for attempt in self.attempts:
            if not attempt.answer and attempt.node.server is attempt.server:
                self.add_fault(
                    f"{attempt.key!r} sent {(attempt.sent_at_ns - EPOCH_NS) / NS_PER_SECOND:.3f} was never answered"
                )
        for node in self.nodes:
            if node.server is not None:
                node.crash()

    async def restart_later(self, node: SimulatedNode) -> None:
        await asyncio.sleep(self.rng.random() * 2)
        await node.start()


def simulate(
    seed: int, nodes: int, fault_rate: float, crash_count: float, may_run_unrecorded: bool = False
) -> Simulation:
    """Runs one seeded simulation and returns it with its counts and faults."""
    with simulated_loop() as loop:
        simulation = Simulation(seed, nodes, fault_rate, crash_count, may_run_unrecorded)
        loop.run_until_complete(simulation.run())
        return simulation
