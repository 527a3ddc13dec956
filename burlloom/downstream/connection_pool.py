"""Connections to one downstream address, each with one call at a time."""

import asyncio
import logging
import socket
import time
from collections.abc import Callable

import httptools

from ..sockets import (
    NS_PER_SECOND,
    CloseReason,
    ConnectionEndedError,
    SocketReader,
    open_stream_socket,
)
from .wire import CallStatus, ReplyParser, encode_request

log = logging.getLogger(__name__)

Address = tuple[str, int]

READ_BUFFER_BYTES = 4 << 10
# The dependency closes after 10 s, and a call that meets that close proves nothing.
IDLE_TIMEOUT_NS = 7 * NS_PER_SECOND
MAX_IDLE_CONNECTIONS = 16


class Exchange:
    """One call on its connection.

    Attributes:
        socket: Its connection; None before there is one.
        reply: What came so far.
        has_sent: Whether any of the call may have been sent.
        is_reusable: Whether the connection may carry another call.
        reason: Why the connection is closed where it may not.
        detail: A detail of the reason.
    """

    __slots__ = ("detail", "has_sent", "is_reusable", "reason", "reply", "socket")

    def __init__(self) -> None:
        self.socket: socket.socket | None = None
        self.reply = ReplyParser()
        self.has_sent = self.is_reusable = False
        self.reason, self.detail = CloseReason.CALL_ABANDONED, ""

    def result(self) -> tuple[CallStatus, bytes]:
        """Returns what a complete reply says of the call, and its body."""
        return self.reply.call_status(), self.reply.body()


class ConnectionPool:
    """Makes calls, and keeps idle connections for the next ones.

    Attributes:
        address: Host and port; None where there is no dependency, and every call fails.
        idle_connections: Connections without a call, and since when, the longest idle first.
    """

    def __init__(
        self, address: Address | None, free_descriptor: Callable[[], bool] = lambda: False
    ) -> None:
        """Makes a pool without connections.

        Args:
            address: Host and port; None for no dependency.
            free_descriptor: Frees a descriptor elsewhere where none is left.
        """
        self.set_address(address)
        self.free_descriptor = free_descriptor
        self.idle_connections: list[tuple[socket.socket, int]] = []

    def change_address(self, address: Address | None) -> None:
        """Makes new calls at another address; open ones may finish where they are."""
        if address != self.address:
            self.set_address(address)
            self.close()

    def close(self) -> None:
        """Closes the idle connections."""
        for sock, _ in self.idle_connections:
            self.close_connection(sock, CloseReason.ADDRESS_CHANGED, "")
        self.idle_connections.clear()

    def set_address(self, address: Address | None) -> None:
        """Sets the address, and the host that calls name."""
        self.address = address
        self.host_header = f"{address[0]}:{address[1]}" if address is not None else ""

    async def call(
        self, request_id: str, body: bytes, timeout_ns: int, may_reuse_connection: bool
    ) -> tuple[CallStatus, bytes]:
        """Makes one call.

        Args:
            request_id: The request that the call is made for.
            body: What to send.
            timeout_ns: When it is given up; it is given up too where the task is cancelled.
            may_reuse_connection: False for a call that must not be repeated. The other end may have
                forgotten an idle connection, and its reset looks like one of a call that ran.

        Returns:
            How the call ended, and the reply's body.
        """
        address = self.address
        if address is None:
            return CallStatus.UNREACHABLE, b""
        exchange = Exchange()
        give_up_at_ns = time.monotonic_ns() + timeout_ns
        try:
            async with asyncio.timeout(max(0, timeout_ns) / NS_PER_SECOND):
                await self.connect(exchange, address, may_reuse_connection)
                # Less what connecting took: the dependency would work on for nobody.
                left_ns = give_up_at_ns - time.monotonic_ns()
                request = encode_request(self.host_header, request_id, body, left_ns)
                await self.send_and_read(exchange, request)
            exchange.is_reusable = exchange.reply.is_reusable
            exchange.reason = CloseReason.NOT_REUSABLE
            return exchange.result()
        except TimeoutError:
            # After a pause of the process its timers fire before anything is read: the reply may
            # have come.
            if exchange.has_sent and read_unread_reply(exchange):
                return exchange.result()
            return CallStatus.TIMED_OUT if exchange.has_sent else CallStatus.UNREACHABLE, b""
        except (ConnectionEndedError, httptools.HttpParserError, OSError) as error:
            exchange.reason, exchange.detail = close_reason(error)
            return status_after_error(error, exchange.has_sent), b""
        finally:
            self.finish(exchange, address)

    async def connect(
        self, exchange: Exchange, address: Address, may_reuse_connection: bool
    ) -> None:
        """Gives a call its connection: an idle one where it may have it, or a new one."""
        if may_reuse_connection:
            exchange.socket = self.acquire_idle_connection()
        if exchange.socket is None:
            exchange.socket = open_stream_socket(self.free_any_descriptor)
            await asyncio.get_running_loop().sock_connect(exchange.socket, address)
        exchange.has_sent = True

    async def send_and_read(self, exchange: Exchange, request: bytes) -> None:
        """Sends a call and reads its reply.

        Raises:
            ConnectionEndedError: The connection ended before the reply did, or it is too large.
            httptools.HttpParserError: What came is no reply.
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
        """Keeps a call's connection for the next one, or closes it."""
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
        """Takes the idle connection that was used last, if it is still good."""
        while self.idle_connections:
            sock, since = self.idle_connections.pop()
            if time.monotonic_ns() - since < IDLE_TIMEOUT_NS and is_reusable(sock):
                return sock
            self.close_connection(sock, CloseReason.IDLE_TIMEOUT, "")
        return None

    def free_any_descriptor(self) -> bool:
        """Frees a descriptor: an idle connection's, or one elsewhere; returns whether it did."""
        if self.idle_connections:
            self.close_connection(self.idle_connections.pop(0)[0], CloseReason.CONNECTION_LIMIT, "")
            return True
        return self.free_descriptor()

    def close_expired(self) -> None:
        """Closes connections that were idle for too long to be used again."""
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
    """Returns whether nothing came on an idle connection: an end or a reset would show."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        pass
    return False


def read_unread_reply(exchange: Exchange) -> bool:
    """Reads what came unread; returns whether the reply is complete with it."""
    sock, reply = exchange.socket, exchange.reply
    assert sock is not None
    try:
        while not reply.is_complete and (data := sock.recv(READ_BUFFER_BYTES)):
            reply.feed_data(data)
    except (OSError, ConnectionEndedError, httptools.HttpParserError):
        pass
    return reply.is_complete


def close_reason(
    error: ConnectionEndedError | httptools.HttpParserError | OSError,
) -> tuple[CloseReason, str]:
    """Returns why a connection is closed after an error of its call, and a detail."""
    if isinstance(error, ConnectionEndedError):
        return error.reason, error.detail
    if isinstance(error, httptools.HttpParserError):
        return CloseReason.MALFORMED, str(error)
    if isinstance(error, ConnectionRefusedError):
        return CloseReason.CONNECTION_REFUSED, ""
    return CloseReason.PEER_RESET, error.strerror or ""


def status_after_error(error: Exception, has_sent: bool) -> CallStatus:
    """Returns how a call ended whose connection had an error."""
    if isinstance(error, ConnectionRefusedError) or isinstance(error, OSError) and not has_sent:
        return CallStatus.UNREACHABLE
    return CallStatus.CONNECTION_LOST
