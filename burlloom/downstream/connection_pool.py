"""Calls one downstream address, with a pool of connections that each carry one call at a time."""

import asyncio
import logging
import socket
import time
from collections.abc import Callable

import httptools

from ..sockets import CloseReason, ConnectionEndedError, SocketReader, open_stream_socket
from ..time_units import NS_PER_SECOND
from .wire import CallStatus, ReplyParser, encode_request

log = logging.getLogger(__name__)

Address = tuple[str, int]

READ_BUFFER_BYTES = 4 << 10
# The dependency closes an idle connection after 10 s. A call that is sent during that close fails
# without showing whether it ran.
IDLE_TIMEOUT_NS = 7 * NS_PER_SECOND
MAX_IDLE_CONNECTIONS = 16
# Reads of a reply whose call has timed out. They run without a yield to the event loop, and a
# dependency that never stops sending must not hold it. What a pause of the process leaves unread
# fits into them, as the receive buffer of a new connection holds no more.
MAX_FINAL_READS = 32


class Exchange:
    """One call and the connection that carries it.

    Attributes:
        socket: The connection; None before there is one.
        reply: The reply, as far as it is received.
        has_sent: Whether any part of the call may have been sent.
        is_reusable: Whether the connection may carry another call.
        reason: Why the connection is closed if it is not reused.
        detail: A detail of the reason.
    """

    __slots__ = ("detail", "has_sent", "is_reusable", "reason", "reply", "socket")

    def __init__(self) -> None:
        self.socket: socket.socket | None = None
        self.reply = ReplyParser()
        self.has_sent = self.is_reusable = False
        self.reason, self.detail = CloseReason.CALL_ABANDONED, ""

    def result(self) -> tuple[CallStatus, bytes]:
        """Returns the call status of a complete reply, and its body."""
        return self.reply.call_status(), self.reply.body()


class ConnectionPool:
    """Makes calls, and keeps idle connections for later calls.

    Attributes:
        address: Host and port; None where there is no dependency, and every call fails.
        idle_connections: Connections without a call, each with the monotonic time in ns at which it
            became idle; the longest idle first.
    """

    def __init__(
        self, address: Address | None, free_descriptor: Callable[[], bool] = lambda: False
    ) -> None:
        """Creates a pool without connections.

        Args:
            address: Host and port; None for no dependency.
            free_descriptor: Called where no descriptor is left for a new connection; returns
                whether it freed one.
        """
        self.set_address(address)
        self.free_descriptor = free_descriptor
        self.idle_connections: list[tuple[socket.socket, int]] = []

    def change_address(self, address: Address | None) -> None:
        """Directs new calls to another address; open calls may finish at the old one."""
        if address != self.address:
            self.set_address(address)
            self.close()

    def close(self) -> None:
        """Closes the idle connections."""
        for sock, _ in self.idle_connections:
            self.close_connection(sock, CloseReason.ADDRESS_CHANGED, "")
        self.idle_connections.clear()

    def set_address(self, address: Address | None) -> None:
        """Sets the address and the Host header of the calls."""
        self.address = address
        self.host_header = f"{address[0]}:{address[1]}" if address is not None else ""

    async def call(
        self, request_id: str, body: bytes, timeout_ns: int, may_reuse_connection: bool
    ) -> tuple[CallStatus, bytes]:
        """Makes one call.

        Args:
            request_id: The request that the call is made for.
            body: The body to send.
            timeout_ns: How long to wait for the reply; cancelling the task abandons the call too.
            may_reuse_connection: False for a call that must not be repeated. The other end may have
                closed an idle connection, and its reset looks like the reset of a call that ran.

        Returns:
            How the call ended, and the reply's body.
        """
        address = self.address
        if address is None:
            return CallStatus.UNREACHABLE, b""
        exchange = Exchange()
        deadline_ns = time.monotonic_ns() + timeout_ns
        try:
            async with asyncio.timeout(max(0, timeout_ns) / NS_PER_SECOND):
                await self.connect(exchange, address, may_reuse_connection)
                # Without the time that connecting took: the dependency must not work on a call that
                # has timed out here.
                remaining_ns = deadline_ns - time.monotonic_ns()
                request = encode_request(self.host_header, request_id, body, remaining_ns)
                await self.send_and_read(exchange, request)
            exchange.is_reusable = exchange.reply.is_reusable
            exchange.reason = CloseReason.NOT_REUSABLE
            return exchange.result()
        except TimeoutError:
            # After a pause of the process its timers fire before sockets are read, so the reply may
            # have arrived unread.
            if exchange.has_sent and read_unread_reply(exchange):
                return exchange.result()
            exchange.detail = f"after {exchange.reply.received_bytes} bytes of the reply"
            return CallStatus.TIMED_OUT if exchange.has_sent else CallStatus.UNREACHABLE, b""
        except (ConnectionEndedError, httptools.HttpParserError, OSError) as error:
            exchange.reason, exchange.detail = close_reason(error)
            return status_after_error(error, exchange.has_sent), b""
        finally:
            self.finish(exchange, address)

    async def connect(
        self, exchange: Exchange, address: Address, may_reuse_connection: bool
    ) -> None:
        """Gives a call an idle connection if it may reuse one, otherwise a new connection."""
        if may_reuse_connection:
            exchange.socket = self.acquire_idle_connection()
        if exchange.socket is None:
            exchange.socket = open_stream_socket(self.free_any_descriptor)
            await asyncio.get_running_loop().sock_connect(exchange.socket, address)
        exchange.has_sent = True

    async def send_and_read(self, exchange: Exchange, request: bytes) -> None:
        """Sends a call and reads its reply.

        Raises:
            ConnectionEndedError: The connection ended before the reply was complete, or the reply
                is too large.
            httptools.HttpParserError: The received bytes are not an HTTP reply.
            OSError: The connection was lost.
        """
        sock, reply = exchange.socket, exchange.reply
        assert sock is not None
        await asyncio.get_running_loop().sock_sendall(sock, request)
        reader, buffer = SocketReader(sock), memoryview(bytearray(READ_BUFFER_BYTES))
        while not reply.is_complete:
            size = await reader.receive(buffer)
            if not size:
                raise ConnectionEndedError(CloseReason.PEER_CLOSED, "before the reply was complete")
            reply.feed_data(buffer[:size])

    def finish(self, exchange: Exchange, address: Address) -> None:
        """Keeps the connection of a finished call for later calls, or closes it."""
        if exchange.socket is None:
            return
        if (
            exchange.is_reusable
            and address == self.address
            and len(self.idle_connections) < MAX_IDLE_CONNECTIONS
        ):
            self.idle_connections.append((exchange.socket, time.monotonic_ns()))
        else:
            self.close_connection(exchange.socket, exchange.reason, exchange.detail)

    def acquire_idle_connection(self) -> socket.socket | None:
        """Removes and returns the most recently used idle connection that is still usable."""
        while self.idle_connections:
            sock, idle_since_ns = self.idle_connections.pop()
            if time.monotonic_ns() - idle_since_ns < IDLE_TIMEOUT_NS and is_reusable(sock):
                return sock
            self.close_connection(sock, CloseReason.IDLE_TIMEOUT, "")
        return None

    def free_any_descriptor(self) -> bool:
        """Closes an idle connection or frees a descriptor elsewhere; returns whether it did."""
        if self.idle_connections:
            self.close_connection(self.idle_connections.pop(0)[0], CloseReason.CONNECTION_LIMIT, "")
            return True
        return self.free_descriptor()

    def close_expired(self) -> None:
        """Closes connections that are idle for `IDLE_TIMEOUT_NS` or longer."""
        while (
            self.idle_connections
            and time.monotonic_ns() - self.idle_connections[0][1] >= IDLE_TIMEOUT_NS
        ):
            self.close_connection(self.idle_connections.pop(0)[0], CloseReason.IDLE_TIMEOUT, "")

    def close_connection(self, sock: socket.socket, reason: CloseReason, detail: str) -> None:
        """Closes a connection and logs why."""
        sock.close()
        log.info(
            "event=connection_closed side=downstream reason=%s detail=%r", reason.value, detail
        )


def is_reusable(sock: socket.socket) -> bool:
    """Returns whether an idle connection has received neither data, nor an end, nor a reset."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        pass
    return False


def read_unread_reply(exchange: Exchange) -> bool:
    """Reads the bytes that are still unread; returns whether they complete the reply.

    Reads at most `MAX_FINAL_READS` times.
    """
    sock, reply = exchange.socket, exchange.reply
    assert sock is not None
    try:
        for _ in range(MAX_FINAL_READS):
            if reply.is_complete or not (data := sock.recv(READ_BUFFER_BYTES)):
                break
            reply.feed_data(data)
    except (OSError, ConnectionEndedError, httptools.HttpParserError):
        pass
    return reply.is_complete


def close_reason(
    error: ConnectionEndedError | httptools.HttpParserError | OSError,
) -> tuple[CloseReason, str]:
    """Returns the reason, and a detail, for closing a connection after an error of its call."""
    if isinstance(error, ConnectionEndedError):
        return error.reason, error.detail
    if isinstance(error, httptools.HttpParserError):
        return CloseReason.MALFORMED, str(error)
    if isinstance(error, ConnectionRefusedError):
        return CloseReason.CONNECTION_REFUSED, ""
    return CloseReason.PEER_RESET, error.strerror or ""


def status_after_error(error: Exception, has_sent: bool) -> CallStatus:
    """Returns the status of a call whose connection failed."""
    if isinstance(error, ConnectionRefusedError) or isinstance(error, OSError) and not has_sent:
        return CallStatus.UNREACHABLE
    return CallStatus.CONNECTION_LOST
