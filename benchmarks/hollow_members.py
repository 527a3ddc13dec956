"""Members of a fleet without a serving part: the real core and letters on loopback, some hundreds
in a process.
"""

import asyncio
import socket
import time
from multiprocessing.connection import Connection as Pipe
from pathlib import Path
from random import Random
from typing import Any

import uvloop

from burlloom.fleet import FleetMember, MemberState, MemberUpdate
from burlloom.fleet.messages import MessageKind, decode
from burlloom.operator.fleet import FleetPart

TICK = 0.05  # s, as the server's
HOUR_MS = 3_600_000
Named = tuple[str, str, int]  # name, address, life


def part_of(folder: Path, count: int, seeds: list[str]) -> dict[str, Any]:
    """What the operator's file says of the fleet, with its own times."""
    key = folder / "key"
    key.write_text("6b" * 32)
    return {
        "listen": "127.0.0.1:0",
        "key_file": str(key),
        "calls": 100_000,
        "least": count // 2 + 1,
        "seeds": seeds,
    }


class Hollow:
    def __init__(
        self,
        sock: socket.socket,
        own: Named,
        all_of_them: list[Named],
        part: FleetPart,
        world: "World",
    ) -> None:
        self.sock, self.world = sock, world
        word = MemberUpdate(*own, 0, MemberState.ALIVE)
        now = clock()
        self.fleet = FleetMember(
            word,
            (),
            part.load_keys(),
            part.quota_settings(),
            part.gossip_settings(),
            Random(own[0]),
            now,
        )
        for other in all_of_them:
            if other != own:
                self.fleet.view.process_update(now, MemberUpdate(*other, 0, MemberState.ALIVE))
        self.fleet.view.transitions = []  # all are known to all: no news

    def readable(self) -> None:
        while True:
            try:
                data, source = self.sock.recvfrom(65536)
            except BlockingIOError:
                return
            if source == self.world.real:
                if self.world.cut:
                    continue
                self.look(data)
            self.fleet.receive(clock(), data)
            self.flush()

    def look(self, data: bytes) -> None:
        """Whether the server's view, as it tells it, is ours."""
        letter = decode(data, self.fleet.keys)
        if letter.kind in (MessageKind.PING, MessageKind.ACK) and len(letter.values) == 2:
            self.world.same = letter.values[0] == self.fleet.view.digest >> 1

    def tick(self) -> None:
        self.fleet.tick(clock())
        self.flush()
        asyncio.get_running_loop().call_later(TICK, self.tick)

    def flush(self) -> None:
        out, self.fleet.transitions = self.fleet.outbox, []
        while out:
            address, data = out.popleft()
            host, port = address.rsplit(":", 1)
            if not self.world.cut or (host, int(port)) != self.world.real:
                try:
                    self.sock.sendto(data, (host, int(port)))
                except BlockingIOError:
                    pass  # lost, as datagrams are


class World:
    """Those of one process; `real`: the address of a server that is cut off at a word."""

    def __init__(self, pipe: Pipe) -> None:
        self.pipe, self.cut, self.same = pipe, False, False
        self.real = ("", 0)
        self.members: list[Hollow] = []
        self.over = asyncio.Event()

    def told(self) -> None:
        try:
            word, *more = self.pipe.recv()
        except EOFError:
            word = "over"
        match word:
            case "real":
                host, port = more[0].split(":")
                self.real = host, int(port)
            case "cut" | "heal":
                self.cut = word == "cut"
            case "see":
                """Who deals, as each has it, and how many of all are there to it; whether the server said the same."""
                fleets = [one.fleet for one in self.members]
                self.pipe.send(
                    (
                        self.same,
                        [(one.allocator_name, len(one.view.present_members())) for one in fleets],
                    )
                )
            case "over":
                self.over.set()


def clock() -> int:
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


def hollow(pipe: Pipe, names: list[str], life: int, told_part: dict[str, Any]) -> None:
    """A process of these: tells their addresses, is told of all, then does what the pipe says,
    until that ends.
    """
    part = FleetPart(**told_part)
    socks = []
    for _ in names:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind(("127.0.0.1", 0))
        sock.setblocking(False)
        socks.append(sock)
    own = [
        (name, "%s:%d" % sock.getsockname(), life + at)
        for at, (name, sock) in enumerate(zip(names, socks, strict=True))
    ]
    pipe.send(own)
    all_of_them: list[Named] = pipe.recv()

    async def serve() -> None:
        world, loop = World(pipe), asyncio.get_running_loop()
        loop.add_reader(pipe.fileno(), world.told)
        for at, (sock, one) in enumerate(zip(socks, own, strict=True)):
            member = Hollow(sock, one, all_of_them, part, world)
            world.members.append(member)
            loop.add_reader(sock, member.readable)
            loop.call_later(TICK * at / len(names), member.tick)
        pipe.send("up")
        await world.over.wait()

    uvloop.run(serve())
