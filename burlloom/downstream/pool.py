"""Connections to the catalogue, each with one call at a time."""

import asyncio
import logging
import socket
import time
from collections.abc import Callable
from enum import Enum

import httptools

from ..sockets import MS, SECOND, Ended, Inlet, Reason, stream

log = logging.getLogger(__name__)

READ_BYTES = 4 << 10
BODY_MOST = 1 << 20
HEAD_MOST = 16 << 10  # of all heads of one reply, those of 1xx included
KEPT_FOR = (
    7 * SECOND
)  # the other side closes at 10, and a call that meets that close proves nothing
KEPT_MOST = 16


class Answer(Enum):
    """What became of a call, and no more than its end proves."""

    WELL = "well"
    DECLINED = "declined"  # it never ran
    UNWANTED = "unwanted"  # it never ran
    UNREACHED = "unreached"  # it never ran
    FAILED = "failed"
    OUT_OF_TIME = "out-of-time"
    BROKEN = "broken"


class Reply:
    """Collects one reply for httptools.

    1xx may come before it. What comes behind it is nothing to it, but ends the connection's further
    use.
    """

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.pieces: list[bytes] = []
        self.size = self.heads = self.status = 0
        self.declined = self.over = self.keep = False
        self.in_body = False

    def feed(self, data: memoryview | bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            if not self.over:
                raise
        if not self.in_body:
            self.heads += len(data)
            if self.heads > HEAD_MOST and not self.over:
                raise Ended(Reason.TOO_LARGE, "head of a reply")

    def on_message_begin(self) -> None:
        if self.over:
            self.keep = False
        else:
            self.declined = self.in_body = False

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.over:
            return
        name = name.lower()
        self.declined |= name == b"x-declined" and value.strip() == b"1"
        if name == b"content-length" and value.strip().isdigit() and int(value) > BODY_MOST:
            raise Ended(Reason.TOO_LARGE, "told length of a reply")

    def on_headers_complete(self) -> None:
        self.in_body = self.in_body or self.parser.get_status_code() >= 200

    def on_body(self, body: bytes) -> None:
        if self.over:
            return
        self.size += len(body)
        if self.size > BODY_MOST:
            raise Ended(Reason.TOO_LARGE, "body of a reply")
        self.pieces.append(body)

    def on_message_complete(self) -> None:
        # Asked only here is the parser's answer of this reply: right after, it is of the next, and
        # no.
        status = self.parser.get_status_code()
        if not self.over and status >= 200:
            self.over, self.keep, self.status = True, self.parser.should_keep_alive(), status

    def body(self) -> bytes:
        return b"".join(self.pieces)

    def answer(self) -> Answer:
        status = self.status
        if status == 200:
            return Answer.WELL
        if self.declined and status in (503, 409):
            return Answer.DECLINED if status == 503 else Answer.UNWANTED
        return Answer.OUT_OF_TIME if status == 504 else Answer.FAILED


class Pool:
    def __init__(
        self, address: tuple[str, int] | None, spare: Callable[[], bool] = lambda: False
    ) -> None:
        """`None`: this server was told of no catalogue, and reaches none. `spare` frees a
        descriptor elsewhere.
        """
        self.aim(address)
        self.spare = spare
        self.kept: list[tuple[socket.socket, int]] = []

    def move(self, address: tuple[str, int] | None) -> None:
        """New calls go to this address; those on their way may finish where they are."""
        if address != self.address:
            self.aim(address)
            self.close()

    def close(self) -> None:
        """No call goes on these connections any more."""
        for sock, _ in self.kept:
            self.end(sock, Reason.MOVED, "")
        self.kept.clear()

    def aim(self, address: tuple[str, int] | None) -> None:
        self.address, self.host = (
            address,
            f"{address[0]}:{address[1]}" if address is not None else "",
        )

    async def call(self, id: str, body: bytes, patience: int, kept: bool) -> tuple[Answer, bytes]:
        """One call; given up when `patience` is over, or the task is cancelled.

        A kept connection may have been forgotten at its other end, and a reset then looks like one
        of a call that ran: where that may not be repeated, `kept` is false and the call has a
        connection of its own.
        """
        sock: socket.socket | None = None
        address = self.address
        if address is None:
            return Answer.UNREACHED, b""
        reply, wrote, keep, reason, detail = Reply(), False, False, Reason.GIVEN_UP, ""
        until = time.monotonic_ns() + patience
        try:
            async with asyncio.timeout(max(0, patience) / SECOND):
                loop = asyncio.get_running_loop()
                sock, new = self.take() if kept else (stream(self.free), True)
                if new:
                    await loop.sock_connect(sock, address)
                wrote = True
                # What the dial took is no longer ours to wait: the other side would work on for
                # nobody.
                await loop.sock_sendall(sock, self.text(id, body, until - time.monotonic_ns()))
                await self.read(sock, reply)
            keep = reply.keep
            reason = Reason.NOT_KEPT
            return reply.answer(), reply.body()
        except TimeoutError:
            # After a pause of the process its timers fire before anything is read: the reply may
            # lie there.
            if sock is not None and wrote and waits(sock, reply):
                return reply.answer(), reply.body()
            return Answer.OUT_OF_TIME if wrote else Answer.UNREACHED, b""
        except ConnectionRefusedError:
            reason = Reason.REFUSED
            return Answer.UNREACHED, b""
        except Ended as ended:
            reason, detail = ended.reason, str(ended)
            return Answer.BROKEN, b""
        except httptools.HttpParserError as error:
            reason, detail = Reason.UNREADABLE, str(error)
            return Answer.BROKEN, b""
        except OSError as error:
            reason, detail = Reason.PEER_RESET, error.strerror or ""
            return Answer.BROKEN if wrote else Answer.UNREACHED, b""
        finally:
            if sock is not None and keep and address == self.address and len(self.kept) < KEPT_MOST:
                self.kept.append((sock, time.monotonic_ns()))
            elif sock is not None:
                self.end(sock, reason, detail)

    def text(self, id: str, body: bytes, patience: int) -> bytes:
        head = (
            f"POST /fetch HTTP/1.1\r\nHost: {self.host}\r\nX-On-Behalf: {id}\r\n"
            f"X-Patience: {max(1, patience // MS)}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body

    async def read(self, sock: socket.socket, reply: Reply) -> None:
        inlet, room = Inlet(sock), memoryview(bytearray(READ_BYTES))
        while not reply.over:
            size = await inlet.receive(room)
            if not size:
                raise Ended(Reason.PEER_CLOSED, "before the reply was whole")
            reply.feed(room[:size])

    def take(self) -> tuple[socket.socket, bool]:
        """A kept connection that is still good, the last used first; or else a new one, and whether
        it is.
        """
        while self.kept:
            sock, since = self.kept.pop()
            if time.monotonic_ns() - since < KEPT_FOR and quiet(sock):
                return sock, False
            self.end(sock, Reason.IDLE, "")
        return stream(self.free), True

    def free(self) -> bool:
        """Frees a descriptor where none is left: one that we keep, or somebody else's."""
        if self.kept:
            self.end(self.kept.pop(0)[0], Reason.FULL, "")
            return True
        return self.spare()

    def sweep(self) -> None:
        """Closes what has been kept too long to be used again."""
        while self.kept and time.monotonic_ns() - self.kept[0][1] >= KEPT_FOR:
            self.end(self.kept.pop(0)[0], Reason.IDLE, "")

    def end(self, sock: socket.socket, reason: Reason, detail: str) -> None:
        sock.close()
        log.info("event=connection-ended side=catalogue reason=%s detail=%r", reason.value, detail)


def quiet(sock: socket.socket) -> bool:
    """Whether nothing came on it since its last reply; an end or a reset would show here."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        pass
    return False


def waits(sock: socket.socket, reply: Reply) -> bool:
    """Whether the rest of the reply had come unread; takes it in."""
    try:
        while not reply.over and (data := sock.recv(READ_BYTES)):
            reply.feed(data)
    except (OSError, Ended, httptools.HttpParserError):
        pass
    return reply.over
