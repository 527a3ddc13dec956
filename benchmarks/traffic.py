"""Requests at a rate that waits for no answer, from a process of its own, and what runs and calls
them in others.

Times are ns of CLOCK_MONOTONIC, which all processes of a machine share. A request's latency counts
from the moment at which it was to be sent. What the server added to it is that, less what the
stand-ins for its run and its call had it: from a command's reading to the write of its answer, told
by themselves for each request.
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

SECOND = 1_000_000_000
OPEN_MOST = 32  # of one connection, as the server has it
GRACE = 12.0  # s for answers after the last request
RESULT = b"r" * 200
SPAWN = multiprocessing.get_context("spawn")


class Sent(NamedTuple):
    """One request and what became of it. `how`: settled, or the error's name, or lost with its
    connection.
    """

    id: str
    intended: int
    sent: int
    answered: int
    how: str


@dataclass(frozen=True, slots=True)
class Load:
    """`work`, `call`: s that the stand-ins take for a run, and for the call below of each (None: it
    makes none).
    """

    rate: float
    seconds: float
    warm: float = 2.0  # s at the same rate that count for nothing
    connections: int = 32
    seed: int = 1
    work: float = 0.005
    call: float | None = None


def started(target: Any, *told: Any) -> tuple[Any, Pipe]:
    """A process and our end of the pipe to it."""
    ours, theirs = SPAWN.Pipe()
    process = SPAWN.Process(target=target, args=(theirs, *told), daemon=True)
    process.start()
    theirs.close()
    return process, ours


async def word_of(pipe: Pipe, within: float = 300.0) -> Any:
    """What the process at the other end says next."""
    try:
        async with asyncio.timeout(within):
            return await asyncio.to_thread(pipe.recv)
    except EOFError:
        raise RuntimeError(
            "a process of the measurement ended before its time; its standard error says why"
        ) from None


# The generator's process.


class Line:
    """One connection."""

    def __init__(self, address: str) -> None:
        host, port = address.split(":")
        self.sock = socket.create_connection((host, int(port)), timeout=30)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.unpacker = msgpack.Unpacker()
        self.number = 0
        self.open: dict[int, tuple[str, int, int]] = {}
        self.usable = True

    def say(self, method: str, *params: Any) -> None:
        self.number += 1
        self.sock.sendall(msgpack.packb([0, self.number, method, params]))

    def request(self, intended: int) -> None:
        told = fields(cost="5")
        self.say("look", told, b"")
        self.open[self.number] = told["id"], intended, time.monotonic_ns()

    def heard(self, found: list[Sent]) -> bool:
        """Takes in what came; false once the connection is over."""
        try:
            data = self.sock.recv(65536)
        except OSError:
            data = b""
        now = time.monotonic_ns()
        if not data:
            self.usable = False
            found += (Sent(*one, now, "lost") for one in self.open.values())
            self.open.clear()
            return False
        self.unpacker.feed(data)
        for kind, *message in self.unpacker:
            if kind == 2:
                self.usable = False  # told to close
            elif (one := self.open.pop(message[0], None)) is not None:
                found.append(Sent(*one, now, "settled" if message[1] is None else message[1][0]))
        return True


def generate(pipe: Pipe, address: str, load: Load) -> None:
    """Says when it is ready; is told when to begin; tells all that became of its requests."""
    chance = random.Random(load.seed)
    # Itself waited for by `select`, whose time-outs are finer than 1 ms: made first, as that takes
    # low numbers.
    heard = select.epoll()
    lines = [Line(address) for _ in range(load.connections)]
    for line in lines:
        line.say("health", {})
    pipe.send("ready")
    begin = pipe.recv()
    times, at = [], 0.0
    while (at := at + chance.expovariate(load.rate)) < load.warm + load.seconds:
        times.append(begin + int(at * SECOND))
    by_number = {line.sock.fileno(): line for line in lines}
    for number in by_number:
        heard.register(number, select.EPOLLIN)
    gc.collect()
    gc.disable()
    found: list[Sent] = []
    late: deque[int] = deque()
    turn = next_one = asked = 0
    until = begin + int((load.warm + load.seconds + GRACE) * SECOND)
    while (now := time.monotonic_ns()) < until:
        while next_one < len(times) and times[next_one] <= now:
            late.append(times[next_one])
            next_one += 1
        for _ in range(len(lines) if late else 0):
            turn = (turn + 1) % len(lines)
            if lines[turn].usable and len(lines[turn].open) < OPEN_MOST:
                lines[turn].request(late.popleft())
                asked += 1
                if not late:
                    break
        if next_one == len(times) and not late and len(found) == asked:
            break
        wait = (times[next_one] - time.monotonic_ns()) / SECOND if next_one < len(times) else 0.05
        if select.select([heard], [], [], max(0.0, min(wait, 0.05)))[0]:
            for number, _ in heard.poll(0):
                if not by_number[number].heard(found):
                    heard.unregister(number)
    heard.close()
    now = time.monotonic_ns()
    found += (Sent(*one, now, "unanswered") for line in lines for one in line.open.values())
    found += (Sent("", intended, now, now, "unsent") for intended in (*late, *times[next_one:]))
    for line in lines:
        line.sock.close()
    pipe.send(found)
    pipe.close()


# What runs the requests, and what their runs call.


class Runs:
    """Stands in the place of the executor's queue of commands: each run takes `work`, and one call
    before it if any.
    """

    def __init__(self, executor: Executor, load: Load) -> None:
        self.executor, self.load, self.own = executor, load, dict[str, int]()

    def put_nowait(self, command: tuple[str, ...]) -> None:
        name, id = command[0], command[1]
        began = time.monotonic_ns()
        if name == "EXEC" and self.load.call is not None:
            self.executor.callout(id)
            self.had(id, began)
        else:
            asyncio.get_running_loop().call_later(self.load.work, self.end, id, began)

    def end(self, id: str, began: int) -> None:
        self.executor.exit(id, result=RESULT)
        self.had(id, began)

    def had(self, id: str, began: int) -> None:
        self.own[id] = self.own.get(id, 0) + time.monotonic_ns() - began


def below(pipe: Pipe, takes: float) -> None:
    """The process of what is called: tells its address, then, asked to end, how long it had
    each.
    """
    own: dict[str, int] = {}

    async def reply(id: str) -> Reply:
        began = time.monotonic_ns()
        await asyncio.sleep(takes)
        own[id] = own.get(id, 0) + time.monotonic_ns() - began
        return 200, False, b"fetched"

    async def serve() -> None:
        catalogue = await Catalogue(reply).start()
        pipe.send(catalogue.address)
        await asyncio.to_thread(pipe.recv)
        await catalogue.stop()
        pipe.send(own)
        pipe.close()

    uvloop.run(serve())


def echo(pipe: Pipe) -> None:
    """A process that answers each request at once: what the harness itself adds."""

    class Answers(asyncio.Protocol):
        def connection_made(self, transport: Any) -> None:
            self.transport, self.unpacker = transport, msgpack.Unpacker()

        def data_received(self, data: bytes) -> None:
            self.unpacker.feed(data)
            for _, number, *_rest in self.unpacker:
                self.transport.write(msgpack.packb([1, number, None, [RESULT, {}]]))

    async def serve() -> None:
        server = await asyncio.get_running_loop().create_server(Answers, "127.0.0.1", 0)
        pipe.send("%s:%d" % server.sockets[0].getsockname())
        await asyncio.to_thread(pipe.recv)

    uvloop.run(serve())


# What is told of it.


@dataclass(frozen=True, slots=True)
class Told:
    """Of the requests of a span, ms. `p50`, `p99`: added by the server to those that were settled;
    `longest`: to any; `whole_p99`: from the intended moment to the answer; `late_p99`: by which the
    generator was late.
    """

    count: int
    how: dict[str, int]
    p50: float
    p99: float
    longest: float
    whole_p99: float
    late_p99: float


def told_of(
    sent: Iterable[Sent], own: dict[str, int], since: int = 0, until: int = 1 << 62
) -> Told:
    added, whole, late = (HdrHistogram(1, 120_000_000, 3) for _ in range(3))  # in us
    how: Counter[str] = Counter()
    longest = 0
    for one in sent:
        if not since <= one.intended < until:
            continue
        how[one.how] += 1
        took = one.answered - one.intended - own.get(one.id, 0)
        longest = max(longest, took)
        if one.how == "settled":
            added.record_value(max(1, took // 1000))
            whole.record_value(max(1, (one.answered - one.intended) // 1000))
            late.record_value(max(1, (one.sent - one.intended) // 1000))
    return Told(
        sum(how.values()),
        dict(how),
        added.get_value_at_percentile(50) / 1e3,
        added.get_value_at_percentile(99) / 1e3,
        longest / 1e6,
        whole.get_value_at_percentile(99) / 1e3,
        late.get_value_at_percentile(99) / 1e3,
    )
