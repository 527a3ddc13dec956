"""One connection of a caller: receives its requests and sends its answers."""

import asyncio
import contextlib
import logging
import os
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
from .frame_scanner import MAX_HEAD_BYTES, MAX_MESSAGE_BYTES
from .incoming_request import (
    ExpiredRequestError,
    IncomingRequest,
    MalformedRequestError,
    RequestRules,
)

log = logging.getLogger(__name__)

READ_BUFFER_BYTES = 4 << 10
# With room for the head of the value by which a message passes its limit.
MAX_READ_BUFFER_BYTES = MAX_MESSAGE_BYTES + MAX_HEAD_BYTES
MAX_OPEN_REQUESTS = 32  # of one connection; a request beyond this is rejected as malformed
MAX_FINAL_READS = 16  # reads from one connection before it is closed
# Unsent answers of one connection beyond which it is closed. The answers to `MAX_OPEN_REQUESTS`
# requests are less, so a caller that reads its answers never reaches this.
MAX_UNSENT_BYTES = 512 << 10
MAX_BAD_REQUESTS = 4  # the bad request with this number closes the connection
# Expired requests without a current one in between; one more closes the connection. A network that
# falls silent holds no more than a caller may have open.
MAX_EXPIRED_REQUESTS = MAX_OPEN_REQUESTS

# The peer is gone, so open requests are not answered before the close.
PEER_GONE_REASONS = (CloseReason.PEER_CLOSED, CloseReason.PEER_RESET)
# The socket is closed at once: an orderly close is useless, or there is no time for one.
IMMEDIATE_CLOSE_REASONS = (
    CloseReason.PEER_RESET,
    CloseReason.SLOW_CONSUMER,
    CloseReason.CONNECTION_LIMIT,
)


class ConnectionOwner(Protocol):
    """The part of the listener that its connections use.

    Attributes:
        rules: Rules that each request is checked against.
        supervisor: Owner of the connection's tasks.
        clock: Returns the current time, Unix ns.
        on_request: Called with each valid request.
        on_request_lost: Called with each request that was open when its connection closed.
        is_serving: Returns whether an attempt with this id is open.
        is_healthy: Returns the answer to health checks.
        is_draining: Whether the listener drains before the server stops.
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
        """Removes a closed connection from the listener's tables."""

    def start_close(self, close: ConnectionClose) -> None:
        """Runs an orderly close in a task of its own."""

    async def poll_pause(self) -> None:
        """Waits one polling interval."""


class Connection:
    """Reads requests, hands them to the listener, and sends their answers as their `Responder`.

    Attributes:
        open_requests: Requests without an answer, by message id.
        last_used_ns: When the last message was received or the last answer sent, Unix ns.
        shutdown_sent_ns: When the caller was asked to close the connection, Unix ns; meaningless
            unless `is_shutdown_sent`.
        expired_count: How many expired requests came since the last current one.
        partial_since_ns: When the first bytes of the incomplete message at the end of the buffer
            were received, Unix ns; 0 while no message is incomplete.
        has_received: Whether a complete message was ever received.
        is_shutdown_sent: Whether the caller was asked to close the connection.
        is_health_only: Whether only health checks were received.
        is_half_closed: Whether the caller has closed its sending half.
        is_ended: Whether the connection is closed or being closed.
        caller: The caller's name, from its last request.
        detail: The last fault of the caller or the connection, for the log.
    """

    def __init__(self, owner: ConnectionOwner, sock: socket.socket, peer: str) -> None:
        self.owner, self.socket, self.peer = owner, sock, peer
        self.buffer = ReceiveBuffer(READ_BUFFER_BYTES, MAX_READ_BUFFER_BYTES)
        self.request_reader = frames.RequestReader()
        self.socket_reader = SocketReader(sock)
        self.writer = SocketWriter(sock, owner.supervisor, self.on_write_error)
        self.open_requests: dict[int, IncomingRequest] = {}
        self.last_message_id = -1
        self.last_used_ns = self.shutdown_sent_ns = owner.clock()
        self.partial_since_ns = 0
        self.request_count = self.response_count = self.bad_request_count = 0
        self.expired_count = 0
        self.has_received = self.is_shutdown_sent = self.is_health_only = False
        self.is_half_closed = self.is_ended = False
        self.caller = self.detail = ""
        self.reader_task: asyncio.Task[None] | None = None

    @property
    def is_idle(self) -> bool:
        """Whether no request is open and no answer is unsent."""
        return not self.open_requests and not self.writer.has_unsent

    async def run(self) -> None:
        """Reads requests until the connection ends; `close` ends it from outside."""
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
        """Closes the connection on any error in the body of the `with` statement."""
        try:
            yield
        except ConnectionEndedError as error:
            self.close_with_detail(error.reason, error.detail)
        except OSError as error:
            self.close_with_detail(CloseReason.PEER_RESET, error.strerror or "")
        except asyncio.CancelledError:
            # Does nothing where `close` itself cancelled the task.
            self.close(CloseReason.INTERNAL_ERROR)
        except Exception:
            # A defect of the server closes one connection; the server goes on.
            log.exception("event=internal_error side=balancer peer=%s", self.peer)
            self.close(CloseReason.INTERNAL_ERROR)

    async def read(self) -> None:
        """Reads until the caller closes its half and all its answers are sent.

        Raises:
            ConnectionEndedError: The received bytes are not a valid request message.
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
        """Handles the messages that `size` newly received bytes in the buffer complete.

        Raises:
            ConnectionEndedError: The bytes are not a valid request message.
            OSError: The caller has reset the connection meanwhile. The kernel still hands out what
                it had received, but nobody waits for it any longer.
        """
        if error_number := self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            raise OSError(error_number, os.strerror(error_number))
        buffer, now_ns = self.buffer, self.owner.clock()
        buffer.end += size
        while buffer.start < buffer.end and not self.is_ended:
            if (message := self.request_reader.read(buffer)) is None:
                self.partial_since_ns = self.partial_since_ns or now_ns
                return
            self.last_used_ns, self.has_received, self.partial_since_ns = now_ns, True, 0
            self.handle_message(now_ns, message)

    def read_remaining(self) -> None:
        """Handles the bytes that are still unread before a close, so that they are answered.

        Reads at most `MAX_FINAL_READS` times: a caller that never stops sending must not delay all
        others.
        """
        with self.close_on_error():
            for _ in range(MAX_FINAL_READS):
                if not self.is_ended and not self.is_half_closed and has_unread_bytes(self.socket):
                    self.consume(self.socket.recv_into(self.buffer.free_space()))

    def close(self, reason: CloseReason) -> None:
        """Closes the connection, whatever the reason; further calls do nothing.

        Open requests are answered with an error unless the peer is gone. A caller that violated the
        protocol is not owed a result.
        """
        if self.is_ended:
            return
        self.is_ended, lost_requests = True, list(self.open_requests.values())
        self.owner.connection_ended(self)
        if reason not in PEER_GONE_REASONS:
            for request in lost_requests:
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
        self.buffer.release()
        self.writer.ignore_errors()
        for request in lost_requests:
            self.owner.on_request_lost(request)
        self.log_close(reason, len(lost_requests))

    def log_close(self, reason: CloseReason, unanswered_count: int) -> None:
        """Logs why the connection was closed and how many messages it carried."""
        log.info(
            "event=connection_closed side=balancer peer=%s reason=%s requests=%d responses=%d "
            "bad_requests=%d unanswered=%d detail=%r",
            self.peer,
            reason.value,
            self.request_count,
            self.response_count,
            self.bad_request_count,
            unanswered_count,
            self.detail,
        )

    def close_with_detail(self, reason: CloseReason, detail: str = "") -> None:
        """Closes the connection and logs `detail` with the reason."""
        if not self.is_ended:
            self.detail = detail
            self.close(reason)

    def on_write_error(self) -> None:
        """Closes the connection after a failed write."""
        self.close_with_detail(CloseReason.PEER_RESET)

    def handle_message(self, now_ns: int, message: frames.RequestMessage) -> None:
        """Answers a health check; hands any other request to the listener or rejects it.

        Raises:
            ConnectionEndedError: The message id is not greater than the one before.
        """
        message_id, method, parameters = message
        if message_id <= self.last_message_id:
            raise ConnectionEndedError(
                CloseReason.REPEATED_MESSAGE_ID,
                f"message id {message_id} after {self.last_message_id}",
            )
        self.last_message_id = message_id
        if method == wire.HEALTH_METHOD:
            self.answer_health_check(message_id)
            return
        self.is_health_only = False
        try:
            if len(self.open_requests) >= MAX_OPEN_REQUESTS:
                raise MalformedRequestError(f"more than {MAX_OPEN_REQUESTS} requests are open")
            request = wire.parse_request(
                self, message_id, method, parameters, self.owner.rules, now_ns
            )
            if self.owner.is_serving(request.id):
                raise MalformedRequestError(f"request id {request.id} is already open")
        except ExpiredRequestError as error:
            self.reject_expired(message_id, str(error))
            return
        except MalformedRequestError as error:
            self.reject_malformed(message_id, str(error))
            return
        self.expired_count = 0
        self.open_requests[message_id] = request
        self.caller = request.caller
        self.request_count += 1
        self.owner.on_request(request)

    def answer_health_check(self, message_id: int) -> None:
        """Answers a health check with the server's health."""
        self.is_health_only = not self.request_count
        is_healthy, fields = self.owner.is_healthy(), self.owner.response_fields(self.caller)
        self.writer.send(frames.encode_health(message_id, is_healthy, fields))
        self.close_if_slow()

    def reject_expired(self, message_id: int, fault: str) -> None:
        """Answers an expired request with an error; it is a fault only where there are many."""
        self.expired_count += 1
        if self.expired_count > MAX_EXPIRED_REQUESTS:
            self.close_with_detail(CloseReason.TOO_MANY_BAD_REQUESTS, fault)
            return
        self.answer_malformed(message_id)
        self.detail = fault

    def reject_malformed(self, message_id: int, fault: str) -> None:
        """Answers a malformed request with an error, and counts it."""
        self.answer_malformed(message_id)
        self.report_fault(fault)

    def answer_malformed(self, message_id: int) -> None:
        """Answers a request that was never open with an error."""
        fields = self.owner.response_fields(self.caller)
        self.writer.send(wire.encode_malformed(message_id, fields))

    def report_fault(self, fault: str) -> None:
        """Counts a fault of the caller, and closes the connection at `MAX_BAD_REQUESTS` of them.

        A correct caller has few faults; one that keeps sending the same bad request has many.
        """
        self.bad_request_count += 1
        self.detail = fault
        if self.bad_request_count >= MAX_BAD_REQUESTS:
            self.close_with_detail(CloseReason.TOO_MANY_BAD_REQUESTS, fault)

    def complete(self, message_id: int, result: bytes) -> None:
        """Answers an open request with its result."""
        fields = self.owner.response_fields(self.caller)
        self.respond(message_id, *frames.encode_result(message_id, result, fields))

    def reject(self, message_id: int, retry_after_ns: int, is_final: bool) -> None:
        """Answers an open request with a rejection."""
        fields = self.owner.response_fields(self.caller)
        self.respond(
            message_id, wire.encode_rejection(message_id, retry_after_ns, is_final, fields)
        )

    def fail(self, message_id: int) -> None:
        """Answers an open request with an error."""
        fields = self.owner.response_fields(self.caller)
        self.respond(message_id, wire.encode_failure(message_id, fields))

    def respond(self, message_id: int, *pieces: bytes) -> None:
        """Sends the answer to an open request; does nothing if a close has answered it."""
        if self.open_requests.pop(message_id, None) is None:
            return
        self.response_count += 1
        self.last_used_ns = self.owner.clock()
        self.writer.send(*pieces)
        self.close_if_slow()

    def close_if_slow(self) -> None:
        """Closes the connection of a caller that sends requests but does not read its answers.

        Its unsent answers would fill the memory that all connections share.
        """
        if self.writer.unsent_bytes > MAX_UNSENT_BYTES:
            self.close_with_detail(CloseReason.SLOW_CONSUMER)

    def request_shutdown(self, now_ns: int) -> None:
        """Asks the caller, once, to close the connection.

        If the server closed it first, a request that was just sent could cross the close.
        """
        if not self.is_shutdown_sent:
            self.is_shutdown_sent, self.shutdown_sent_ns = True, now_ns
            self.writer.send(wire.SHUTDOWN_NOTIFICATION)
