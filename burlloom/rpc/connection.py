"""One connection of a caller: its requests in, its answers out."""

import asyncio
import contextlib
import logging
import socket
from collections.abc import Callable, Iterator
from typing import Protocol

from ..sockets import (
    CloseReason,
    ConnectionClose,
    ConnectionEndedError,
    ReceiveBuffer,
    SocketReader,
    SocketWriter,
    TaskSupervisor,
    has_unread_bytes,
)
from . import frames, wire
from .incoming_request import IncomingRequest, MalformedRequestError, RequestRules

log = logging.getLogger(__name__)

READ_BUFFER_BYTES = 4 << 10
MAX_READ_BUFFER_BYTES = 2 * frames.MAX_FRAME_BYTES
MAX_OPEN_REQUESTS = 32
MAX_FINAL_READS = 16
MAX_UNSENT_BYTES = 512 << 10  # a caller that reads cannot be owed as much: 32 answers are less
MAX_BAD_REQUESTS = 4

# Nobody is there to be answered.
PEER_GONE_REASONS = (CloseReason.PEER_CLOSED, CloseReason.PEER_RESET)
# An orderly close has no use, or there is no time for it.
IMMEDIATE_CLOSE_REASONS = (
    CloseReason.PEER_RESET,
    CloseReason.SLOW_CONSUMER,
    CloseReason.CONNECTION_LIMIT,
)


class ConnectionOwner(Protocol):
    """What a connection asks of its listener.

    Attributes:
        rules: What requests are checked against.
        supervisor: Owner of the connection's tasks.
        clock: Returns Unix ns.
        on_request: Called with each request.
        on_request_lost: Called with each request that was open as its connection closed.
        is_serving: Returns whether an attempt with this id is open.
        is_healthy: Returns the answer to health checks.
        is_draining: Whether the server is about to stop.
    """

    rules: RequestRules
    supervisor: TaskSupervisor
    clock: Callable[[], int]
    on_request: Callable[[IncomingRequest], None]
    on_request_lost: Callable[[IncomingRequest], None]
    is_serving: Callable[[str], bool]
    is_healthy: Callable[[], bool]
    is_draining: bool

    def response_fields(self, caller: str) -> dict[str, str]:
        """Returns the fields that an answer to this caller carries."""

    def connection_ended(self, connection: "Connection") -> None:
        """Forgets a connection."""

    def start_close(self, close: ConnectionClose) -> None:
        """Takes an orderly close over."""

    async def poll_pause(self) -> None:
        """Waits a moment before a condition is looked at again."""


class Connection:
    """Reads requests, hands them to the listener, and sends their answers (a `Responder`).

    Attributes:
        open_requests: Requests without an answer, by message id.
        last_used_ns: When a message came or an answer left last.
        shutdown_sent_ns: When the caller was asked to close, if it was.
        partial_since_ns: When the message began that is not complete yet; 0 for none.
        has_received: Whether a message ever came.
        is_shutdown_sent: Whether the caller was asked to close.
        is_health_only: Whether nothing but health checks came.
        is_half_closed: Whether the caller has closed its half.
        is_ended: Whether the connection is closed or being closed.
        caller: The name of the caller, of its last request.
        detail: What was wrong last, for the log.
    """

    def __init__(self, owner: ConnectionOwner, sock: socket.socket, peer: str) -> None:
        self.owner, self.socket, self.peer = owner, sock, peer
        self.buffer = ReceiveBuffer(READ_BUFFER_BYTES, MAX_READ_BUFFER_BYTES)
        self.socket_reader = SocketReader(sock)
        self.writer = SocketWriter(sock, owner.supervisor, self.on_write_error)
        self.open_requests: dict[int, IncomingRequest] = {}
        self.last_message_id = -1
        self.last_used_ns = self.shutdown_sent_ns = owner.clock()
        self.partial_since_ns = 0
        self.request_count = self.response_count = self.bad_request_count = 0
        self.has_received = self.is_shutdown_sent = self.is_health_only = False
        self.is_half_closed = self.is_ended = False
        self.caller = self.detail = ""
        self.reader_task: asyncio.Task[None] | None = None

    @property
    def is_idle(self) -> bool:
        """Whether no request is open and no answer waits to leave."""
        return not self.open_requests and not self.writer.has_unsent

    async def run(self) -> None:
        """Reads until the connection ends; `close` ends it from outside."""
        with self.close_on_error():
            await self.read()
            reason = CloseReason.PEER_CLOSED
            if self.is_shutdown_sent and self.owner.is_draining:
                reason = CloseReason.SHUTDOWN
            elif self.is_shutdown_sent:
                reason = CloseReason.IDLE_TIMEOUT
            self.close(reason)

    @contextlib.contextmanager
    def close_on_error(self) -> Iterator[None]:
        """Closes the connection on any error within."""
        try:
            yield
        except ConnectionEndedError as error:
            self.close_with_detail(error.reason, error.detail)
        except OSError as error:
            self.close_with_detail(CloseReason.PEER_RESET, error.strerror or "")
        except asyncio.CancelledError:
            # Where `close` is what cancelled it, nothing is left to do.
            self.close(CloseReason.INTERNAL_ERROR)
        except Exception:
            # A fault of ours ends one connection, not the server.
            log.exception("event=internal_error side=balancer peer=%s", self.peer)
            self.close(CloseReason.INTERNAL_ERROR)

    async def read(self) -> None:
        """Reads until the caller closes its half and all its answers have left.

        Raises:
            ConnectionEndedError: What came is no request.
            OSError: The connection was lost.
        """
        while not self.is_ended:
            if not (size := await self.socket_reader.receive(self.buffer.free_space())):
                self.is_half_closed = True
                while self.open_requests or self.writer.has_unsent:
                    await self.owner.poll_pause()
                return
            self.consume(size)

    def consume(self, size: int) -> None:
        """Handles the messages that are complete with `size` more bytes in the buffer."""
        buffer, now = self.buffer, self.owner.clock()
        buffer.end += size
        try:
            while buffer.start < buffer.end and not self.is_ended:
                buffer.start, message = frames.read_request(buffer.view, buffer.start, buffer.end)
                self.last_used_ns, self.has_received, self.partial_since_ns = now, True, 0
                self.handle_message(now, message)
        except frames.IncompleteFrameError:
            self.partial_since_ns = self.partial_since_ns or now

    def read_remaining(self) -> None:
        """Handles what came unread before the connection is closed, so that it is answered.

        At most so many times: a caller that never stops sending must not hold up all others.
        """
        with self.close_on_error():
            for _ in range(MAX_FINAL_READS):
                if not self.is_ended and not self.is_half_closed and has_unread_bytes(self.socket):
                    self.consume(self.socket.recv_into(self.buffer.free_space()))

    def close(self, reason: CloseReason) -> None:
        """Closes the connection; every way to its end leads through here, and acts once.

        Open requests are answered with an error: a caller that sent what no caller sends is owed no
        result.
        """
        if self.is_ended:
            return
        self.is_ended, lost = True, list(self.open_requests.values())
        self.owner.connection_ended(self)
        if reason not in PEER_GONE_REASONS:
            for request in lost:
                request.fail()
            self.writer.flush()
        self.socket_reader.stop()
        if self.reader_task is not None and self.reader_task is not asyncio.current_task():
            self.reader_task.cancel()
        has_answered_all = self.is_half_closed and not self.writer.has_unsent
        if reason in IMMEDIATE_CLOSE_REASONS or not self.writer.has_written or has_answered_all:
            self.writer.abort()
            self.socket.close()
        else:
            self.owner.start_close(ConnectionClose(self.socket, self.writer))
        self.open_requests.clear()
        for request in lost:
            self.owner.on_request_lost(request)
        self.log_close(reason, len(lost))

    def log_close(self, reason: CloseReason, unanswered: int) -> None:
        """Logs why the connection was closed, and what it had carried."""
        log.info(
            "event=connection_closed side=balancer peer=%s reason=%s requests=%d responses=%d "
            "bad_requests=%d unanswered=%d detail=%r",
            self.peer,
            reason.value,
            self.request_count,
            self.response_count,
            self.bad_request_count,
            unanswered,
            self.detail,
        )

    def close_with_detail(self, reason: CloseReason, detail: str = "") -> None:
        """Closes the connection, with a detail for the log."""
        if not self.is_ended:
            self.detail = detail
            self.close(reason)

    def on_write_error(self) -> None:
        """Closes the connection: its writer has lost it."""
        self.close_with_detail(CloseReason.PEER_RESET)

    def handle_message(self, now: int, message: frames.RequestMessage) -> None:
        """Answers a health check; hands a request to the listener, or rejects it as malformed.

        Raises:
            ConnectionEndedError: The message ids do not count up.
        """
        message_id, method, parameters = message
        if message_id <= self.last_message_id:
            raise ConnectionEndedError(CloseReason.REPEATED_MESSAGE_ID, f"message {message_id}")
        self.last_message_id = message_id
        if method == wire.HEALTH_METHOD:
            self.answer_health_check(message_id)
            return
        self.is_health_only = False
        try:
            if len(self.open_requests) >= MAX_OPEN_REQUESTS:
                raise MalformedRequestError(f"more than {MAX_OPEN_REQUESTS} open")
            request = wire.parse_request(
                self, message_id, method, parameters, self.owner.rules, now
            )
            if self.owner.is_serving(request.id):
                raise MalformedRequestError(f"request {request.id} again")
        except MalformedRequestError as error:
            self.reject_malformed(message_id, str(error))
            return
        self.open_requests[message_id] = request
        self.caller = request.caller
        self.request_count += 1
        self.owner.on_request(request)

    def answer_health_check(self, message_id: int) -> None:
        """Answers a health check."""
        self.is_health_only = not self.request_count
        is_healthy, fields = self.owner.is_healthy(), self.owner.response_fields(self.caller)
        self.writer.send(frames.encode_health(message_id, is_healthy, fields))
        self.close_if_slow()

    def reject_malformed(self, message_id: int, fault: str) -> None:
        """Answers a request that cannot be taken."""
        fields = self.owner.response_fields(self.caller)
        self.writer.send(wire.encode_malformed(message_id, fields))
        self.report_fault(fault)

    def report_fault(self, fault: str) -> None:
        """Counts a fault of the caller's, and closes the connection after a few.

        No caller is at fault for long; one that sends the same bad request again and again is.
        """
        self.bad_request_count += 1
        self.detail = fault
        if self.bad_request_count >= MAX_BAD_REQUESTS:
            self.close_with_detail(CloseReason.TOO_MANY_BAD_REQUESTS, fault)

    def complete(self, message_id: int, result: bytes) -> None:
        """Answers with a result."""
        fields = self.owner.response_fields(self.caller)
        self.respond(message_id, *frames.encode_result(message_id, result, fields))

    def reject(self, message_id: int, retry_after_ns: int, is_final: bool) -> None:
        """Answers that a request is not served."""
        fields = self.owner.response_fields(self.caller)
        self.respond(
            message_id, wire.encode_rejection(message_id, retry_after_ns, is_final, fields)
        )

    def fail(self, message_id: int) -> None:
        """Answers with an error."""
        fields = self.owner.response_fields(self.caller)
        self.respond(message_id, wire.encode_failure(message_id, fields))

    def respond(self, message_id: int, *pieces: bytes) -> None:
        """Sends an answer; none where the request was answered as the connection closed."""
        if self.open_requests.pop(message_id, None) is None:
            return
        self.response_count += 1
        self.last_used_ns = self.owner.clock()
        self.writer.send(*pieces)
        self.close_if_slow()

    def close_if_slow(self) -> None:
        """Closes the connection of a caller that sends and never reads.

        Its answers would fill the memory that all share.
        """
        if self.writer.unsent_bytes > MAX_UNSENT_BYTES:
            self.close_with_detail(CloseReason.SLOW_CONSUMER)

    def request_shutdown(self, now: int) -> None:
        """Asks the caller to close first.

        A close from here could cross a request that was just sent.
        """
        if not self.is_shutdown_sent:
            self.is_shutdown_sent, self.shutdown_sent_ns = True, now
            self.writer.send(wire.SHUTDOWN_NOTIFICATION)
