"""UDP endpoint of a follower, a control machine or a relay."""

import asyncio
import logging
import socket
from collections import deque
from collections.abc import Callable
from typing import Any

log = logging.getLogger(__name__)

Address = tuple[str, int]  # host and UDP port
# Bytes that the kernel has not accepted yet; beyond that datagrams are dropped, as by a network.
MAX_UNSENT_BYTES = 1 << 20
RECEIVE_BUFFER_BYTES = 1 << 21  # requested SO_RCVBUF; the kernel may grant less
MAX_REFUSAL_LINES_PER_S = 10  # log lines about refused messages; further refusals are only counted


def bind_datagram_socket(listen: str) -> socket.socket:
    """Returns a non-blocking UDP socket bound to "host:port". Raises `OSError`."""
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

    Args:
        sock: Bound, non-blocking UDP socket.
        on_datagram: Called with each datagram and its source address. An exception that it raises
            is logged and not passed on.

    Attributes:
        address: Bound address, "host:port".
        dropped: Datagrams dropped because the socket is closed or too many bytes are unsent.
    """

    def __init__(self, sock: socket.socket, on_datagram: Callable[[bytes, Address], None]) -> None:
        self.sock, self.on_datagram = sock, on_datagram
        host, port = sock.getsockname()
        self.address = f"{host}:{port}"
        # `Any`, since typeshed's DatagramTransport lacks get_write_buffer_size().
        self.transport: Any = None
        self.dropped = 0
        self.logged_second, self.logged_count = 0, 0

    async def open(self) -> None:
        """Attaches the socket to the running loop. Raises `OSError`."""
        self.transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, sock=self.sock
        )

    def flush(self, outbox: deque[tuple[Address, bytes]]) -> None:
        """Sends and removes all datagrams; with over `MAX_UNSENT_BYTES` unsent they are dropped."""
        while outbox:
            address, data = outbox.popleft()
            if self.transport is None or self.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
                self.dropped += 1
            else:
                self.transport.sendto(data, address)

    def log_refusals(self, now_s: int, refusals: deque[tuple[str, Address]]) -> None:
        """Logs refused messages, at most `MAX_REFUSAL_LINES_PER_S` lines a second.

        Args:
            now_s: Current second of a monotonic clock.
            refusals: Reason and source address of each refused message; emptied.
        """
        if now_s != self.logged_second:
            self.logged_second, self.logged_count = now_s, 0
        while refusals:
            reason, (host, port) = refusals.popleft()
            self.logged_count += 1
            if self.logged_count <= MAX_REFUSAL_LINES_PER_S:
                log.info("event=config_message_rejected peer=%s:%d reason=%r", host, port, reason)

    def close(self) -> None:
        """Closes the socket; calling it again does nothing."""
        if self.transport is not None:
            self.transport.close()
            self.transport = None

    # Callbacks of asyncio.DatagramProtocol.

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Passes a datagram to `on_datagram`; an exception that it raises is logged."""
        try:
            self.on_datagram(data, (addr[0], addr[1]))
        except Exception:
            log.exception("event=internal_error side=distribution")

    def error_received(self, exc: Exception) -> None:
        """Ignores socket errors: a peer that is gone is detected by timeouts."""
        pass
