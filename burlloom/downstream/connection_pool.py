"""Connections to the catalogue, each with one call at a time."""

import asyncio
import logging
import socket
import time
from collections.abc import Callable
from enum import Enum

import httptools

from ..sockets import (
    NS_PER_MS,
    NS_PER_SECOND,
    CloseReason,
    ConnectionEndedError,
    SocketReader,
    open_stream_socket,
)

log = logging.getLogger(__name__)

READ_BUFFER_BYTES = 4 << 10
MAX_BODY_BYTES = 1 << 20
MAX_HEADER_BYTES = 16 << 10  # of all heads of one reply, those of 1xx included
IDLE_TIMEOUT_NS = (
    7 * NS_PER_SECOND
)  # the other side closes at 10, and a call that meets that close proves nothing
MAX_IDLE_CONNECTIONS = 16


class CallStatus(Enum):
    """What became of a call, and no more than its end proves."""

    OK = "ok"
    REJECTED = "rejected"  # it never ran
    NO_LONGER_NEEDED = "no_longer_needed"  # it never ran
    UNREACHABLE = "unreachable"  # it never ran
    FAILED = "failed"
    TIMED_OUT = "timed_out"
    CONNECTION_LOST = "connection_lost"


class ReplyParser:
    """Collects one reply for httptools.

    1xx may come before it. What comes behind it is nothing to it, but ends the connection's further
    use.
    """

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.pieces: list[bytes] = []
        self.body_bytes = self.header_bytes = self.status = 0
        self.is_rejected = self.is_complete = self.is_reusable = False
        self.is_in_body = False

    def feed_data(self, data: memoryview | bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            if not self.is_complete:
                raise
        if not self.is_in_body:
            self.header_bytes += len(data)
            if self.header_bytes > MAX_HEADER_BYTES and not self.is_complete:
                raise ConnectionEndedError(CloseReason.TOO_LARGE, "head of a reply")

    def on_message_begin(self) -> None:
        if self.is_complete:
            self.is_reusable = False
        else:
            self.is_rejected = self.is_in_body = False

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.is_complete:
            return
        name = name.lower()
        self.is_rejected |= name == b"x-declined" and value.strip() == b"1"
        if name == b"content-length" and value.strip().isdigit() and int(value) > MAX_BODY_BYTES:
            raise ConnectionEndedError(CloseReason.TOO_LARGE, "told length of a reply")

    def on_headers_complete(self) -> None:
        self.is_in_body = self.is_in_body or self.parser.get_status_code() >= 200

    def on_body(self, body: bytes) -> None:
        if self.is_complete:
            return
        self.body_bytes += len(body)
        if self.body_bytes > MAX_BODY_BYTES:
            raise ConnectionEndedError(CloseReason.TOO_LARGE, "body of a reply")
        self.pieces.append(body)

    def on_message_complete(self) -> None:
        # Asked only here is the parser's answer of this reply: right after, it is of the next, and
        # no.
        status = self.parser.get_status_code()
        if not self.is_complete and status >= 200:
            self.is_complete, self.is_reusable, self.status = (
                True,
                self.parser.should_keep_alive(),
                status,
            )

    def body(self) -> bytes:
        return b"".join(self.pieces)

    def call_status(self) -> CallStatus:
        status = self.status
        if status == 200:
            return CallStatus.OK
        if self.is_rejected and status in (503, 409):
            return CallStatus.REJECTED if status == 503 else CallStatus.NO_LONGER_NEEDED
        return CallStatus.TIMED_OUT if status == 504 else CallStatus.FAILED


class ConnectionPool:
    def __init__(
        self, address: tuple[str, int] | None, spare: Callable[[], bool] = lambda: False
    ) -> None:
        """`None`: this server was told of no catalogue, and reaches none. `spare` frees a
        descriptor elsewhere.
        """
        self.set_address(address)
        self.free_descriptor = spare
        self.idle_connections: list[tuple[socket.socket, int]] = []

    def change_address(self, address: tuple[str, int] | None) -> None:
        """New calls go to this address; those on their way may finish where they are."""
        if address != self.address:
            self.set_address(address)
            self.close()

    def close(self) -> None:
        """No call goes on these connections any more."""
        for sock, _ in self.idle_connections:
            self.close_connection(sock, CloseReason.ADDRESS_CHANGED, "")
        self.idle_connections.clear()

    def set_address(self, address: tuple[str, int] | None) -> None:
        self.address, self.host_header = (
            address,
            f"{address[0]}:{address[1]}" if address is not None else "",
        )

    async def call(
        self, id: str, body: bytes, patience: int, kept: bool
    ) -> tuple[CallStatus, bytes]:
        """One call; given up when `patience` is over, or the task is cancelled.

        A kept connection may have been forgotten at its other end, and a reset then looks like one
        of a call that ran: where that may not be repeated, `kept` is false and the call has a
        connection of its own.
        """
        sock: socket.socket | None = None
        address = self.address
        if address is None:
            return CallStatus.UNREACHABLE, b""
        reply, wrote, keep, reason, detail = (
            ReplyParser(),
            False,
            False,
            CloseReason.CALL_ABANDONED,
            "",
        )
        until = time.monotonic_ns() + patience
        try:
            async with asyncio.timeout(max(0, patience) / NS_PER_SECOND):
                loop = asyncio.get_running_loop()
                sock, new = (
                    self.acquire_connection()
                    if kept
                    else (open_stream_socket(self.free_any_descriptor), True)
                )
                if new:
                    await loop.sock_connect(sock, address)
                wrote = True
                # What the dial took is no longer ours to wait: the other side would work on for
                # nobody.
                await loop.sock_sendall(
                    sock, self.encode_request(id, body, until - time.monotonic_ns())
                )
                await self.read_reply(sock, reply)
            keep = reply.is_reusable
            reason = CloseReason.NOT_REUSABLE
            return reply.call_status(), reply.body()
        except TimeoutError:
            # After a pause of the process its timers fire before anything is read: the reply may
            # lie there.
            if sock is not None and wrote and read_unread_reply(sock, reply):
                return reply.call_status(), reply.body()
            return CallStatus.TIMED_OUT if wrote else CallStatus.UNREACHABLE, b""
        except ConnectionRefusedError:
            reason = CloseReason.CONNECTION_REFUSED
            return CallStatus.UNREACHABLE, b""
        except ConnectionEndedError as ended:
            reason, detail = ended.reason, str(ended)
            return CallStatus.CONNECTION_LOST, b""
        except httptools.HttpParserError as error:
            reason, detail = CloseReason.MALFORMED, str(error)
            return CallStatus.CONNECTION_LOST, b""
        except OSError as error:
            reason, detail = CloseReason.PEER_RESET, error.strerror or ""
            return CallStatus.CONNECTION_LOST if wrote else CallStatus.UNREACHABLE, b""
        finally:
            if (
                sock is not None
                and keep
                and address == self.address
                and len(self.idle_connections) < MAX_IDLE_CONNECTIONS
            ):
                self.idle_connections.append((sock, time.monotonic_ns()))
            elif sock is not None:
                self.close_connection(sock, reason, detail)

    def encode_request(self, id: str, body: bytes, patience: int) -> bytes:
        head = (
            f"POST /fetch HTTP/1.1\r\nHost: {self.host_header}\r\nX-On-Behalf: {id}\r\n"
            f"X-Patience: {max(1, patience // NS_PER_MS)}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body

    async def read_reply(self, sock: socket.socket, reply: ReplyParser) -> None:
        inlet, room = SocketReader(sock), memoryview(bytearray(READ_BUFFER_BYTES))
        while not reply.is_complete:
            size = await inlet.receive(room)
            if not size:
                raise ConnectionEndedError(CloseReason.PEER_CLOSED, "before the reply was whole")
            reply.feed_data(room[:size])

    def acquire_connection(self) -> tuple[socket.socket, bool]:
        """A kept connection that is still good, the last used first; or else a new one, and whether
        it is.
        """
        while self.idle_connections:
            sock, since = self.idle_connections.pop()
            if time.monotonic_ns() - since < IDLE_TIMEOUT_NS and is_reusable(sock):
                return sock, False
            self.close_connection(sock, CloseReason.IDLE_TIMEOUT, "")
        return open_stream_socket(self.free_any_descriptor), True

    def free_any_descriptor(self) -> bool:
        """Frees a descriptor where none is left: one that we keep, or somebody else's."""
        if self.idle_connections:
            self.close_connection(self.idle_connections.pop(0)[0], CloseReason.CONNECTION_LIMIT, "")
            return True
        return self.free_descriptor()

    def close_expired(self) -> None:
        """Closes what has been kept too long to be used again."""
        while (
            self.idle_connections
            and time.monotonic_ns() - self.idle_connections[0][1] >= IDLE_TIMEOUT_NS
        ):
            self.close_connection(self.idle_connections.pop(0)[0], CloseReason.IDLE_TIMEOUT, "")

    def close_connection(self, sock: socket.socket, reason: CloseReason, detail: str) -> None:
        sock.close()
        log.info(
            "event=connection_closed side=downstream reason=%s detail=%r", reason.value, detail
        )


def is_reusable(sock: socket.socket) -> bool:
    """Whether nothing came on it since its last reply; an end or a reset would show here."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        pass
    return False


def read_unread_reply(sock: socket.socket, reply: ReplyParser) -> bool:
    """Whether the rest of the reply had come unread; takes it in."""
    try:
        while not reply.is_complete and (data := sock.recv(READ_BUFFER_BYTES)):
            reply.feed_data(data)
    except (OSError, ConnectionEndedError, httptools.HttpParserError):
        pass
    return reply.is_complete
