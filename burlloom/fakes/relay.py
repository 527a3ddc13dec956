"""A network for datagrams that a story can spoil: delays, losses, cuts, doubles. One address for
each member.

Whoever is reached through a relay advertises the relay's address for it. Who sent a datagram is
told by the socket that it came from: `sent_from` tells the relay each member's own address. It goes
on from the address under which its sender is reached, so that an answer to where it came from
passes through the relay as well.
"""

import asyncio
import random
from typing import Any


class Door(asyncio.DatagramProtocol):
    """Where one member is reached."""

    def __init__(self, relay: "Relay", name: str) -> None:
        self.relay, self.name = relay, name
        self.target: tuple[str, int] | None = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, source: Any) -> None:
        self.relay.passes(source, self, data)


class Relay:
    def __init__(self, seed: int = 1) -> None:
        self.chance = random.Random(seed)
        self.doors: dict[str, Door] = {}
        self.sources: dict[tuple[str, int], str] = {}
        self.cuts: set[tuple[str, str]] = set()  # who does not reach whom
        self.loss, self.doubles, self.delay = 0.0, 0.0, (0.0, 0.0)  # delay in s, from and to
        self.passed = self.lost = 0
        self.kept: list[
            tuple[Any, Door, bytes]
        ] = []  # of what passed, the last, to be played again

    async def door(self, name: str) -> str:
        """The address under which this member is reached."""
        _, door = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: Door(self, name), local_addr=("127.0.0.1", 0)
        )
        self.doors[name] = door
        return "%s:%d" % door.transport.get_extra_info("sockname")

    def sent_from(self, name: str, address: str) -> None:
        host, port = address.split(":")
        self.sources = {source: other for source, other in self.sources.items() if other != name}
        self.sources[host, int(port)] = name
        self.doors[name].target = host, int(port)

    def cut(self, one: set[str], other: set[str], both: bool = True) -> None:
        self.cuts |= {(source, target) for source in one for target in other}
        if both:
            self.cuts |= {(target, source) for source in one for target in other}

    def heal(self) -> None:
        self.cuts.clear()

    def passes(self, source: Any, door: Door, data: bytes) -> None:
        name = self.sources.get(tuple(source), "")
        if (
            door.target is None
            or (name, door.name) in self.cuts
            or self.chance.random() < self.loss
        ):
            self.lost += 1
            return
        self.passed += 1
        out = self.doors.get(name, door).transport
        self.kept = [*self.kept[-99:], (out, door, data)]
        for _ in range(1 + (self.chance.random() < self.doubles)):
            wait = self.chance.uniform(*self.delay)
            if wait > 0:
                asyncio.get_running_loop().call_later(wait, out.sendto, data, door.target)
            else:
                out.sendto(data, door.target)

    def again(self) -> None:
        """Plays what was kept once more."""
        for out, door, data in self.kept:
            out.sendto(data, door.target)

    def close(self) -> None:
        for door in self.doors.values():
            door.transport.close()
