"""A UDP endpoint for a follower, a control machine or a relay."""

import asyncio
import logging
import socket
from collections import deque
from collections.abc import Callable
from typing import Any

log = logging.getLogger(__name__)

Address = tuple[str, int]
MAX_UNSENT_BYTES = (
    1 << 20
)  # bytes that the system did not take yet; what is more is as good as lost on the way
RECEIVE_BUFFER_BYTES = 1 << 21  # bytes that wait to be read, as far as the system allows it
MAX_REFUSAL_LINES_PER_S = 10  # lines a second about what is refused; the rest is counted


def bind_datagram_socket(listen: str) -> socket.socket:
    """Return a non-blocking UDP socket bound to "host:port". Raises `OSError`."""
    host, port = listen.rsplit(":", 1)
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.bind((host, int(port)))
    except OSError:
        sock.close()
        raise
    sock.setblocking(False)
    return sock


class Endpoint(asyncio.DatagramProtocol):
    """Sends and receives datagrams.

    `on_datagram` is called with each datagram and its source; an error it raises is logged and
    dropped.
    """

    def __init__(self, sock: socket.socket, on_datagram: Callable[[bytes, Address], None]) -> None:
        self.sock, self.on_datagram = sock, on_datagram
        host, port = sock.getsockname()
        self.address = f"{host}:{port}"
        self.transport: Any = (
            None  # typeshed's datagram transport lacks the size of what was not taken
        )
        self.dropped = 0  # datagrams that were dropped here
        self.logged_second, self.logged_count = 0, 0

    async def open(self) -> None:
        """Attach the socket to the running loop. Raises `OSError`."""
        self.transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, sock=self.sock
        )

    def flush(self, out: deque[tuple[Address, bytes]]) -> None:
        """Send all datagrams of `out`; past `MAX_UNSENT_BYTES` unsent bytes they are dropped."""
        while out:
            address, data = out.popleft()
            if self.transport is None or self.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
                self.dropped += 1
            else:
                self.transport.sendto(data, address)

    def log_refusals(self, now_s: int, refusals: deque[tuple[str, Address]]) -> None:
        """Log refused messages, at most `MAX_REFUSAL_LINES_PER_S` lines a second."""
        if now_s != self.logged_second:
            self.logged_second, self.logged_count = now_s, 0
        while refusals:
            reason, (host, port) = refusals.popleft()
            self.logged_count += 1
            if self.logged_count <= MAX_REFUSAL_LINES_PER_S:
                log.info("event=config_message_rejected peer=%s:%d reason=%r", host, port, reason)

    def close(self) -> None:
        """Close the socket; calling it again does nothing."""
        if self.transport is not None:
            self.transport.close()
            self.transport = None

    # Of asyncio.

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Pass a datagram on; an error of the handler is logged and ends there."""
        try:
            self.on_datagram(data, (addr[0], addr[1]))
        except Exception:
            log.exception("event=internal_error side=distribution")

    def error_received(self, exc: Exception) -> None:
        """Ignore errors of the system: a lost peer is found by its silence."""
        pass  # whoever is not there will be found silent
