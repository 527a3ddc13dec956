"""Runs fleet members without a server, hundreds in a process.

They use the real membership core, and exchange its messages on loopback sockets.
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

TICK_S = 0.05  # the interval of the server
HOUR_MS = 3_600_000
MemberIdentity = tuple[str, str, int]  # name, address, incarnation


def part_of(folder: Path, count: int, seeds: list[str]) -> dict[str, Any]:
    """Returns the fleet section of an operator's file with default times, and writes its key file."""
    key = folder / "key"
    key.write_text("6b" * 32)
    return {
        "listen": "127.0.0.1:0",
        "key_file": str(key),
        "calls": 100_000,
        "least": count // 2 + 1,
        "seeds": seeds,
    }


class HollowMember:
    """A fleet member on a socket, which knows all members from the start."""

    def __init__(
        self,
        sock: socket.socket,
        own: MemberIdentity,
        all_members: list[MemberIdentity],
        part: FleetPart,
        process: "MemberProcess",
    ) -> None:
        self.sock, self.process = sock, process
        own_update = MemberUpdate(*own, 0, MemberState.ALIVE)
        now_ns = clock()
        self.fleet = FleetMember(
            own_update,
            (),
            part.load_keys(),
            part.quota_settings(),
            part.gossip_settings(),
            Random(own[0]),
            now_ns,
        )
        for other in all_members:
            if other != own:
                self.fleet.view.process_update(now_ns, MemberUpdate(*other, 0, MemberState.ALIVE))
        self.fleet.view.transitions = []  # every member knows these already

    def readable(self) -> None:
        """Receives the available datagrams; those of a server that is cut off are dropped."""
        while True:
            try:
                data, source = self.sock.recvfrom(65536)
            except BlockingIOError:
                return
            if source == self.process.real:
                if self.process.cut:
                    continue
                self.compare_view(data)
            self.fleet.receive(clock(), data)
            self.flush()

    def compare_view(self, data: bytes) -> None:
        """Records whether the view digest that the server sent is that of this member."""
        message = decode(data, self.fleet.keys)
        if message.kind in (MessageKind.PING, MessageKind.ACK) and len(message.values) == 2:
            self.process.same = message.values[0] == self.fleet.view.digest >> 1

    def tick(self) -> None:
        """Ticks the member, and schedules the next tick."""
        self.fleet.tick(clock())
        self.flush()
        asyncio.get_running_loop().call_later(TICK_S, self.tick)

    def flush(self) -> None:
        """Sends the outbox, except to a server that is cut off."""
        outbox, self.fleet.transitions = self.fleet.outbox, []
        while outbox:
            address, data = outbox.popleft()
            host, port = address.rsplit(":", 1)
            if not self.process.cut or (host, int(port)) != self.process.real:
                try:
                    self.sock.sendto(data, (host, int(port)))
                except BlockingIOError:
                    pass  # datagrams may be lost


class MemberProcess:
    """The members of a process, and the commands that it receives.

    Attributes:
        cut: Whether the members are cut off from the real server.
        same: Whether the view digest that the real server last sent was that of its receiver.
        real: The address of the real server, with which the members can be cut off from it.
        members: The members of the process.
        over: Set when the process is to end.
    """

    def __init__(self, pipe: Pipe) -> None:
        self.pipe, self.cut, self.same = pipe, False, False
        self.real = ("", 0)
        self.members: list[HollowMember] = []
        self.over = asyncio.Event()

    def receive_command(self) -> None:
        """Executes the next command; the end of the pipe ends the process."""
        try:
            command, *arguments = self.pipe.recv()
        except EOFError:
            command = "over"
        match command:
            case "real":
                host, port = arguments[0].split(":")
                self.real = host, int(port)
            case "cut" | "heal":
                self.cut = command == "cut"
            case "see":
                # Sends `same`, and for each member who allocates and how many members it sees
                # as present.
                fleets = [member.fleet for member in self.members]
                self.pipe.send(
                    (
                        self.same,
                        [
                            (fleet.allocator_name, len(fleet.view.present_members()))
                            for fleet in fleets
                        ],
                    )
                )
            case "over":
                self.over.set()


def clock() -> int:
    """Returns the time in ns of the clock that goes on while the machine is suspended."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


def run_members(
    pipe: Pipe, names: list[str], first_incarnation: int, fleet_section: dict[str, Any]
) -> None:
    """Runs members in a process.

    Sends their identities, receives those of all members, sends "up", then executes commands until
    the pipe ends.

    Args:
        pipe: The process's end of the pipe.
        names: The names of the members.
        first_incarnation: The incarnation of the first member; each next one has the next number.
        fleet_section: The fleet section of the operator's file.
    """
    part = FleetPart(**fleet_section)
    socks = []
    for _ in names:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind(("127.0.0.1", 0))
        sock.setblocking(False)
        socks.append(sock)
    own = [
        (name, "%s:%d" % sock.getsockname(), first_incarnation + index)
        for index, (name, sock) in enumerate(zip(names, socks, strict=True))
    ]
    pipe.send(own)
    all_members: list[MemberIdentity] = pipe.recv()

    async def serve() -> None:
        process, loop = MemberProcess(pipe), asyncio.get_running_loop()
        loop.add_reader(pipe.fileno(), process.receive_command)
        for index, (sock, identity) in enumerate(zip(socks, own, strict=True)):
            member = HollowMember(sock, identity, all_members, part, process)
            process.members.append(member)
            loop.add_reader(sock, member.readable)
            loop.call_later(TICK_S * index / len(names), member.tick)
        pipe.send("up")
        await process.over.wait()

    uvloop.run(serve())
