"""One connection of a balancer, or of whoever else found the address."""

import asyncio
import contextlib
import logging
import socket
from collections.abc import Callable, Iterator
from typing import Any, Protocol

from ..sockets import (
    NS_PER_MS,
    CloseReason,
    ConnectionClose,
    ConnectionEndedError,
    ReceiveBuffer,
    SocketReader,
    SocketWriter,
    TaskSupervisor,
    has_unread_bytes,
)
from . import frames
from .incoming_request import IncomingRequest, MalformedRequestError, RequestRules, parse_request

log = logging.getLogger(__name__)

READ_BUFFER_BYTES = 4 << 10
MAX_OPEN_REQUESTS = 32
MAX_FINAL_READS = 16
MAX_UNSENT_BYTES = 512 << 10  # one that waits for 32 answers can't be owed as much
MAX_BAD_REQUESTS = 4  # requests that can't be taken or that nobody knows, until the connection goes
SHUTDOWN_NOTIFICATION = frames.encode_notification("shutdown")
PEER_GONE_REASONS = (
    CloseReason.PEER_CLOSED,
    CloseReason.PEER_RESET,
)  # nobody is there to be told anything
IMMEDIATE_CLOSE_REASONS = (
    CloseReason.PEER_RESET,
    CloseReason.SLOW_CONSUMER,
    CloseReason.CONNECTION_LIMIT,
)  # an orderly close has no use, or no time


class ConnectionOwner(Protocol):
    """What a connection asks of whoever keeps it."""

    rules: RequestRules
    supervisor: TaskSupervisor
    clock: Callable[[], int]
    on_request: Callable[[IncomingRequest], None]
    on_request_lost: Callable[[IncomingRequest], None]
    is_serving: Callable[[str], bool]
    is_healthy: Callable[[], bool]
    is_draining: bool

    def response_fields(self, caller: str) -> dict[str, str]: ...
    def connection_ended(self, connection: "Connection") -> None: ...
    def start_close(self, parting: ConnectionClose) -> None: ...
    async def poll_pause(self) -> None: ...


class Connection:
    def __init__(self, front: ConnectionOwner, sock: socket.socket, peer: str) -> None:
        self.owner, self.socket, self.peer = front, sock, peer
        self.buffer, self.socket_reader = (
            ReceiveBuffer(READ_BUFFER_BYTES, 2 * frames.MAX_FRAME_BYTES),
            SocketReader(sock),
        )
        self.writer = SocketWriter(sock, front.supervisor, self.on_write_error)
        self.open_requests: dict[int, IncomingRequest] = {}
        self.last_message_id = -1
        self.last_used_ns = self.shutdown_sent_ns = front.clock()
        self.partial_since_ns = 0  # when the message that is not yet whole began
        self.request_count = self.response_count = self.bad_request_count = 0
        self.has_received = self.is_shutdown_sent = self.is_health_only = self.is_half_closed = (
            self.is_ended
        ) = False
        self.caller = ""  # as it named itself last
        self.detail = ""
        self.reader_task: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Its reader, from its start to its end; whoever ends it from outside calls `close` or
        `stop`.
        """
        with self.close_on_error():
            await self.read()
            self.close(
                CloseReason.PEER_CLOSED
                if not self.is_shutdown_sent
                else CloseReason.SHUTDOWN
                if self.owner.is_draining
                else CloseReason.IDLE_TIMEOUT
            )

    @contextlib.contextmanager
    def close_on_error(self) -> Iterator[None]:
        """Whatever goes wrong within ends the connection."""
        try:
            yield
        except ConnectionEndedError as ended:
            self.close_with_detail(ended.reason, str(ended))
        except OSError as error:
            self.close_with_detail(CloseReason.PEER_RESET, error.strerror or "")
        except asyncio.CancelledError:
            self.close(
                CloseReason.INTERNAL_ERROR
            )  # nothing to do where `close` is what cancelled it
        except Exception:
            log.exception("event=internal_error side=balancer peer=%s", self.peer)
            self.close(CloseReason.INTERNAL_ERROR)

    async def read(self) -> None:
        while not self.is_ended:
            if not (size := await self.socket_reader.receive(self.buffer.free_space())):
                # The other side may have closed only its half, and still be owed answers.
                self.is_half_closed = True
                while self.open_requests or self.writer.has_unsent:
                    await self.owner.poll_pause()
                return
            self.consume(size)

    def consume(self, size: int) -> None:
        """Takes what is whole of the bytes that lie in the buffer, `size` of them new."""
        buffer, now = self.buffer, self.owner.clock()
        buffer.end += size
        try:
            while buffer.start < buffer.end and not self.is_ended:
                buffer.start, whole = frames.read_request(buffer.view, buffer.start, buffer.end)
                self.last_used_ns, self.has_received, self.partial_since_ns = now, True, 0
                self.handle_message(now, *whole)
        except frames.IncompleteFrameError:
            self.partial_since_ns = self.partial_since_ns or now

    def read_remaining(self) -> None:
        """Takes what lies unread before an end is decided: a whole request that lies there is
        answered.

        So many times at most: whoever sends without an end must not hold up everybody else.
        """
        with self.close_on_error():
            for _ in range(MAX_FINAL_READS):
                if not self.is_ended and not self.is_half_closed and has_unread_bytes(self.socket):
                    self.consume(self.socket.recv_into(self.buffer.free_space()))

    def close(self, reason: CloseReason) -> None:
        """Every way out leads through here, once.

        Whoever sent what no balancer sends is owed no result: what is open is answered with an
        error.
        """
        if self.is_ended:
            return
        self.is_ended, lost = True, list(self.open_requests.values())
        self.owner.connection_ended(self)
        if reason not in PEER_GONE_REASONS:
            for asked in lost:
                asked.fail()
            self.writer.flush()
        self.socket_reader.stop()
        if self.reader_task is not None and self.reader_task is not asyncio.current_task():
            self.reader_task.cancel()
        if (
            reason in IMMEDIATE_CLOSE_REASONS
            or not self.writer.has_written
            or self.is_half_closed
            and not self.writer.has_unsent
        ):
            self.writer.abort()
            self.socket.close()
        else:
            self.owner.start_close(ConnectionClose(self.socket, self.writer))
        self.open_requests.clear()
        for asked in lost:
            self.owner.on_request_lost(asked)
        log.info(
            "event=connection_closed side=balancer peer=%s reason=%s requests=%d responses=%d bad_requests=%d "
            "unanswered=%d "
            "detail=%r",
            self.peer,
            reason.value,
            self.request_count,
            self.response_count,
            self.bad_request_count,
            len(lost),
            self.detail,
        )

    def close_with_detail(self, reason: CloseReason, detail: str = "") -> None:
        if not self.is_ended:
            self.detail = detail
            self.close(reason)

    def on_write_error(self) -> None:
        self.close_with_detail(CloseReason.PEER_RESET)

    def handle_message(self, now: int, number: int, method: str, params: list[Any]) -> None:
        if number <= self.last_message_id:
            raise ConnectionEndedError(CloseReason.REPEATED_MESSAGE_ID, f"message {number}")
        self.last_message_id = number
        if method == "health":
            self.is_health_only = not self.request_count
            self.writer.send(
                frames.encode_health(
                    number, self.owner.is_healthy(), self.owner.response_fields(self.caller)
                )
            )
            self.close_if_slow()
            return
        self.is_health_only = False
        try:
            if len(self.open_requests) >= MAX_OPEN_REQUESTS:
                raise MalformedRequestError(f"more than {MAX_OPEN_REQUESTS} open")
            asked = parse_request(self, number, method, params, self.owner.rules, now)
            if self.owner.is_serving(asked.id):
                raise MalformedRequestError(f"request {asked.id} again")
        except MalformedRequestError as error:
            self.reject_malformed(number, str(error))
            return
        self.open_requests[number] = asked
        self.caller = asked.caller
        self.request_count += 1
        self.owner.on_request(asked)

    def reject_malformed(self, number: int, why: str) -> None:
        self.writer.send(
            frames.encode_error(number, "BadRequest", self.owner.response_fields(self.caller))
        )
        self.report_fault(why)

    def report_fault(self, what: str) -> None:
        """A balancer is never at fault for long; against one that sends the same thing again and
        again.
        """
        self.bad_request_count += 1
        self.detail = what
        if self.bad_request_count >= MAX_BAD_REQUESTS:
            self.close_with_detail(CloseReason.TOO_MANY_BAD_REQUESTS, what)

    def complete(self, number: int, result: bytes) -> None:
        self.respond(
            number, *frames.encode_result(number, result, self.owner.response_fields(self.caller))
        )

    def reject(self, number: int, stay_away: int, final: bool) -> None:
        fields = self.owner.response_fields(self.caller)
        if stay_away >= NS_PER_MS:
            fields["after"] = str(stay_away // NS_PER_MS)
        if final:
            fields["last"] = "1"
        self.respond(number, frames.encode_error(number, "Backoff", fields))

    def fail(self, number: int, name: str) -> None:
        self.respond(
            number, frames.encode_error(number, name, self.owner.response_fields(self.caller))
        )

    def respond(self, number: int, *pieces: bytes) -> None:
        if self.open_requests.pop(number, None) is None:
            return  # the connection went, or was answered as it did
        self.response_count += 1
        self.last_used_ns = self.owner.clock()
        self.writer.send(*pieces)
        self.close_if_slow()

    def close_if_slow(self) -> None:
        if self.writer.unsent_bytes > MAX_UNSENT_BYTES:
            # Against one that asks and never reads: its answers would fill the memory of all.
            self.close_with_detail(CloseReason.SLOW_CONSUMER)

    @property
    def is_idle(self) -> bool:
        return not self.open_requests and not self.writer.has_unsent

    def request_shutdown(self, now: int) -> None:
        """Asks the other side to close first: closing here could cross a request that was just
        written.
        """
        if not self.is_shutdown_sent:
            self.is_shutdown_sent, self.shutdown_sent_ns = True, now
            self.writer.send(SHUTDOWN_NOTIFICATION)
