"""A relay for datagrams that can delay, drop, duplicate and block them.

Each member of the network has one endpoint in the relay, and advertises the endpoint's address as
its own. The relay recognizes the sender of a datagram by its source address, so that
`set_member_address` must tell it each member's own address. A datagram leaves the relay from the
sender's endpoint, so that an answer to its source address passes through the relay as well.
"""

import asyncio
import random
from typing import Any


class Endpoint(asyncio.DatagramProtocol):
    """Receives the datagrams for one member.

    Attributes:
        relay: The relay that forwards them.
        name: The member's name.
        target: The member's own address; None until it is set.
    """

    def __init__(self, relay: "Relay", name: str) -> None:
        self.relay, self.name = relay, name
        self.target: tuple[str, int] | None = None

    def connection_made(self, transport: Any) -> None:
        """Stores the transport; called by the event loop."""
        self.transport = transport

    def datagram_received(self, data: bytes, source: Any) -> None:
        """Hands a datagram to the relay; called by the event loop."""
        self.relay.forward(source, self, data)


class Relay:
    """Forwards datagrams between the members of a network.

    Attributes:
        random: Source of the losses, duplicates and delays.
        endpoints: The endpoint of each member, by name.
        sources: The member's name, by its own address.
        cuts: Blocked directions, as names of sender and receiver.
        loss_share: The share of datagrams that are dropped.
        duplicate_share: The share of forwarded datagrams that are sent twice.
        delay_range_s: The least and the greatest delay of a datagram, in seconds.
        forwarded_count: How many datagrams were forwarded.
        lost_count: How many datagrams were dropped.
        recent_datagrams: The last 100 forwarded datagrams, each with the transport that sent it
            and the receiver's endpoint.
    """

    def __init__(self, seed: int = 1) -> None:
        self.random = random.Random(seed)
        self.endpoints: dict[str, Endpoint] = {}
        self.sources: dict[tuple[str, int], str] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.loss_share, self.duplicate_share, self.delay_range_s = 0.0, 0.0, (0.0, 0.0)
        self.forwarded_count = self.lost_count = 0
        self.recent_datagrams: list[tuple[Any, Endpoint, bytes]] = []

    async def open_endpoint(self, name: str) -> str:
        """Opens the endpoint of a member; returns its address."""
        _, endpoint = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: Endpoint(self, name), local_addr=("127.0.0.1", 0)
        )
        self.endpoints[name] = endpoint
        return "%s:%d" % endpoint.transport.get_extra_info("sockname")

    def set_member_address(self, name: str, address: str) -> None:
        """Sets a member's own address, that it sends from and is reached at."""
        host, port = address.split(":")
        self.sources = {source: other for source, other in self.sources.items() if other != name}
        self.sources[host, int(port)] = name
        self.endpoints[name].target = host, int(port)

    def cut(self, senders: set[str], receivers: set[str], both: bool = True) -> None:
        """Blocks all datagrams from `senders` to `receivers`, and back where `both` is True."""
        self.cuts |= {(source, target) for source in senders for target in receivers}
        if both:
            self.cuts |= {(target, source) for source in senders for target in receivers}

    def heal(self) -> None:
        """Removes all cuts."""
        self.cuts.clear()

    def forward(self, source: Any, endpoint: Endpoint, data: bytes) -> None:
        """Forwards, delays, duplicates or drops one datagram."""
        name = self.sources.get(tuple(source), "")
        if (
            endpoint.target is None
            or (name, endpoint.name) in self.cuts
            or self.random.random() < self.loss_share
        ):
            self.lost_count += 1
            return
        self.forwarded_count += 1
        sender = self.endpoints.get(name, endpoint).transport
        self.recent_datagrams = [*self.recent_datagrams[-99:], (sender, endpoint, data)]
        for _ in range(1 + (self.random.random() < self.duplicate_share)):
            delay_s = self.random.uniform(*self.delay_range_s)
            if delay_s > 0:
                asyncio.get_running_loop().call_later(delay_s, sender.sendto, data, endpoint.target)
            else:
                sender.sendto(data, endpoint.target)

    def resend_recent(self) -> None:
        """Sends all recent datagrams once more."""
        for sender, endpoint, data in self.recent_datagrams:
            sender.sendto(data, endpoint.target)

    def close(self) -> None:
        """Closes all endpoints."""
        for endpoint in self.endpoints.values():
            endpoint.transport.close()
