"""Generates open-loop load from a separate process, and provides fakes of the server's peers.

The generator sends at a rate that does not wait for answers. Times are in ns of CLOCK_MONOTONIC,
which all processes of a machine share. A request's latency counts from the moment at which it was
due to be sent. The latency that the server added is that time less the time that the fake executor
and the fake downstream held the request: from reading a command to writing its answer, as both
measure it for each request.
"""

import asyncio
import gc
import multiprocessing
import random
import select
import socket
import sys
import time
from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass
from multiprocessing.connection import Connection as Pipe
from pathlib import Path
from typing import Any, NamedTuple

import msgpack
import uvloop
from hdrh.histogram import HdrHistogram

sys.path[:0] = [str(Path(__file__).parent), str(Path(__file__).parent.parent / "tests")]

from burlloom.fakes.parts import Catalogue, Executor, Reply, fields  # noqa: E402
from burlloom.time_units import NS_PER_SECOND

MAX_OPEN_REQUESTS = 32  # of one connection; the server has the same limit
ANSWER_GRACE_S = 12.0  # how long answers are awaited after the last request
RESULT = b"r" * 200
SPAWN = multiprocessing.get_context("spawn")


class Sent(NamedTuple):
    """A request and its outcome.

    Attributes:
        id: The request id.
        intended: When the request was due, in ns.
        sent: When the request was sent, in ns.
        answered: When the answer arrived or the connection was lost, in ns.
        how: "settled", the name of the answered error, "lost" with its connection, "unanswered", or
            "unsent".
    """

    id: str
    intended: int
    sent: int
    answered: int
    how: str


@dataclass(frozen=True, slots=True)
class Load:
    """What the generator sends, and how long the fakes take.

    Attributes:
        rate: Requests per second.
        seconds: How long requests are sent and counted, in seconds.
        warm: How long requests are sent at the same rate before that, uncounted, in seconds.
        connections: The number of connections.
        seed: The seed of the arrivals.
        work: How long each run takes, in seconds.
        call: How long the downstream call of each run takes, in seconds; None if runs make none.
    """

    rate: float
    seconds: float
    warm: float = 2.0
    connections: int = 32
    seed: int = 1
    work: float = 0.005
    call: float | None = None


def start_process(target: Any, *arguments: Any) -> tuple[Any, Pipe]:
    """Starts a process that runs `target` with its end of a pipe and the arguments.

    Returns:
        The process, and the parent's end of the pipe.
    """
    parent_end, child_end = SPAWN.Pipe()
    process = SPAWN.Process(target=target, args=(child_end, *arguments), daemon=True)
    process.start()
    child_end.close()
    return process, parent_end


async def receive(pipe: Pipe, timeout_s: float = 300.0) -> Any:
    """Returns the next object that the process at the other end of the pipe sends.

    Raises:
        RuntimeError: The process ended first.
    """
    try:
        async with asyncio.timeout(timeout_s):
            return await asyncio.to_thread(pipe.recv)
    except EOFError:
        raise RuntimeError(
            "a process of the measurement ended early; its standard error says why"
        ) from None


# The load generator, which has its own process.


class LoadConnection:
    """A connection of the load generator to the server.

    Attributes:
        number: The number of the last message.
        open: The id, due time and send time in ns of each open request, by its message's number.
        usable: Whether requests may be sent; False once the server announced that it closes.
    """

    def __init__(self, address: str) -> None:
        host, port = address.split(":")
        self.sock = socket.create_connection((host, int(port)), timeout=30)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.unpacker = msgpack.Unpacker()
        self.number = 0
        self.open: dict[int, tuple[str, int, int]] = {}
        self.usable = True

    def send(self, method: str, *params: Any) -> None:
        """Sends a message."""
        self.number += 1
        self.sock.sendall(msgpack.packb([0, self.number, method, params]))

    def send_request(self, due_at_ns: int) -> None:
        """Sends a request that was due at `due_at_ns`."""
        headers = fields(cost="5")
        self.send("look", headers, b"")
        self.open[self.number] = headers["id"], due_at_ns, time.monotonic_ns()

    def read_answers(self, outcomes: list[Sent]) -> bool:
        """Reads the available answers, and appends their outcomes.

        Returns:
            False once the connection has ended.
        """
        try:
            data = self.sock.recv(65536)
        except OSError:
            data = b""
        now_ns = time.monotonic_ns()
        if not data:
            self.usable = False
            outcomes += (Sent(*request, now_ns, "lost") for request in self.open.values())
            self.open.clear()
            return False
        self.unpacker.feed(data)
        for kind, *message in self.unpacker:
            if kind == 2:
                self.usable = False  # the server announced that it closes the connection
            elif (request := self.open.pop(message[0], None)) is not None:
                outcomes.append(
                    Sent(*request, now_ns, "settled" if message[1] is None else message[1][0])
                )
        return True


def generate(pipe: Pipe, address: str, load: Load) -> None:
    """Runs the load generator in its process.

    Sends "ready" once connected, receives the time in ns at which to begin, and at the end sends the
    outcome of each request.
    """
    chance = random.Random(load.seed)
    # `select` waits on the epoll object, since its timeouts are finer than 1 ms. The epoll object is
    # created before the connections, because `select` takes only low file descriptors.
    poller = select.epoll()
    connections = [LoadConnection(address) for _ in range(load.connections)]
    for connection in connections:
        connection.send("health", {})
    pipe.send("ready")
    begin_ns = pipe.recv()
    due_times_ns, offset_s = [], 0.0
    while (offset_s := offset_s + chance.expovariate(load.rate)) < load.warm + load.seconds:
        due_times_ns.append(begin_ns + int(offset_s * NS_PER_SECOND))
    by_descriptor = {connection.sock.fileno(): connection for connection in connections}
    for descriptor in by_descriptor:
        poller.register(descriptor, select.EPOLLIN)
    gc.collect()
    gc.disable()
    outcomes: list[Sent] = []
    overdue_ns: deque[int] = deque()
    last_used = next_due = sent_count = 0
    until_ns = begin_ns + int((load.warm + load.seconds + ANSWER_GRACE_S) * NS_PER_SECOND)
    while (now_ns := time.monotonic_ns()) < until_ns:
        while next_due < len(due_times_ns) and due_times_ns[next_due] <= now_ns:
            overdue_ns.append(due_times_ns[next_due])
            next_due += 1
        for _ in range(len(connections) if overdue_ns else 0):
            last_used = (last_used + 1) % len(connections)
            if (
                connections[last_used].usable
                and len(connections[last_used].open) < MAX_OPEN_REQUESTS
            ):
                connections[last_used].send_request(overdue_ns.popleft())
                sent_count += 1
                if not overdue_ns:
                    break
        if next_due == len(due_times_ns) and not overdue_ns and len(outcomes) == sent_count:
            break
        wait_s = (
            (due_times_ns[next_due] - time.monotonic_ns()) / NS_PER_SECOND
            if next_due < len(due_times_ns)
            else 0.05
        )
        if select.select([poller], [], [], max(0.0, min(wait_s, 0.05)))[0]:
            for descriptor, _ in poller.poll(0):
                if not by_descriptor[descriptor].read_answers(outcomes):
                    poller.unregister(descriptor)
    poller.close()
    now_ns = time.monotonic_ns()
    outcomes += (
        Sent(*request, now_ns, "unanswered")
        for connection in connections
        for request in connection.open.values()
    )
    outcomes += (
        Sent("", due_at_ns, now_ns, now_ns, "unsent")
        for due_at_ns in (*overdue_ns, *due_times_ns[next_due:])
    )
    for connection in connections:
        connection.sock.close()
    pipe.send(outcomes)
    pipe.close()


# The fake executor and the fake downstream.


class RunQueue:
    """Replaces the command queue of the fake executor, and executes the commands itself.

    Each run takes `load.work` seconds, after one downstream call if the load has calls.

    Attributes:
        own: How long the executor held each request, in ns, by request id.
    """

    def __init__(self, executor: Executor, load: Load) -> None:
        self.executor, self.load, self.own = executor, load, dict[str, int]()

    def put_nowait(self, command: tuple[str, ...]) -> None:
        """Executes a command."""
        name, id = command[0], command[1]
        received_at_ns = time.monotonic_ns()
        if name == "EXEC" and self.load.call is not None:
            self.executor.callout(id)
            self.add_held_time(id, received_at_ns)
        else:
            asyncio.get_running_loop().call_later(self.load.work, self.end, id, received_at_ns)

    def end(self, id: str, received_at_ns: int) -> None:
        """Ends a run with its result."""
        self.executor.exit(id, result=RESULT)
        self.add_held_time(id, received_at_ns)

    def add_held_time(self, id: str, received_at_ns: int) -> None:
        """Adds the time since a command was received to the held time of its request."""
        self.own[id] = self.own.get(id, 0) + time.monotonic_ns() - received_at_ns


def serve_downstream(pipe: Pipe, call_s: float) -> None:
    """Runs the fake downstream in its process, whose calls take `call_s` seconds.

    Sends its address. Once it receives anything it stops, and sends how long it held each request,
    in ns by request id.
    """
    held_ns: dict[str, int] = {}

    async def reply(id: str) -> Reply:
        received_at_ns = time.monotonic_ns()
        await asyncio.sleep(call_s)
        held_ns[id] = held_ns.get(id, 0) + time.monotonic_ns() - received_at_ns
        return 200, False, b"fetched"

    async def serve() -> None:
        catalogue = await Catalogue(reply).start()
        pipe.send(catalogue.address)
        await asyncio.to_thread(pipe.recv)
        await catalogue.stop()
        pipe.send(held_ns)
        pipe.close()

    uvloop.run(serve())


def serve_echo(pipe: Pipe) -> None:
    """Answers each request at once, to measure the latency that the harness itself adds.

    Runs in its own process: sends its address, and stops once it receives anything.
    """

    class EchoProtocol(asyncio.Protocol):
        def connection_made(self, transport: Any) -> None:
            self.transport, self.unpacker = transport, msgpack.Unpacker()

        def data_received(self, data: bytes) -> None:
            self.unpacker.feed(data)
            for _, number, *_rest in self.unpacker:
                self.transport.write(msgpack.packb([1, number, None, [RESULT, {}]]))

    async def serve() -> None:
        server = await asyncio.get_running_loop().create_server(EchoProtocol, "127.0.0.1", 0)
        pipe.send("%s:%d" % server.sockets[0].getsockname())
        await asyncio.to_thread(pipe.recv)

    uvloop.run(serve())


# The summary of the outcomes.


@dataclass(frozen=True, slots=True)
class Told:
    """The latency of the requests of a time span, in ms.

    Programs print it by its repr, so that the names of its class and fields are part of their
    output.

    Attributes:
        count: The number of requests.
        how: The number of requests by outcome.
        p50: The median of the latency that the server added to settled requests.
        p99: The 99th percentile of the same.
        longest: The longest latency that the server added to any request.
        whole_p99: The 99th percentile of the time from when a request was due to its answer.
        late_p99: The 99th percentile of how late the generator sent a request.
    """

    count: int
    how: dict[str, int]
    p50: float
    p99: float
    longest: float
    whole_p99: float
    late_p99: float


def summarize(
    outcomes: Iterable[Sent], held_ns: dict[str, int], since: int = 0, until: int = 1 << 62
) -> Told:
    """Summarizes the requests that were due in a time span.

    Args:
        outcomes: The requests.
        held_ns: How long the fakes held each request, in ns by request id.
        since: The start of the span, in ns.
        until: The end of the span, in ns, exclusive.
    """
    added_us, whole_us, late_us = (HdrHistogram(1, 120_000_000, 3) for _ in range(3))
    counts: Counter[str] = Counter()
    longest_ns = 0
    for request in outcomes:
        if not since <= request.intended < until:
            continue
        counts[request.how] += 1
        added_ns = request.answered - request.intended - held_ns.get(request.id, 0)
        longest_ns = max(longest_ns, added_ns)
        if request.how == "settled":
            added_us.record_value(max(1, added_ns // 1000))
            whole_us.record_value(max(1, (request.answered - request.intended) // 1000))
            late_us.record_value(max(1, (request.sent - request.intended) // 1000))
    return Told(
        sum(counts.values()),
        dict(counts),
        added_us.get_value_at_percentile(50) / 1e3,
        added_us.get_value_at_percentile(99) / 1e3,
        longest_ns / 1e6,
        whole_us.get_value_at_percentile(99) / 1e3,
        late_us.get_value_at_percentile(99) / 1e3,
    )
