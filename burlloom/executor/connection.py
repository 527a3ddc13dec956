"""Maintains a connection to the executor, over which requests are run.

When a connection is lost, the executor may have received its unconfirmed commands or not. On the
next connection those are sent again that may be carried out twice; the requests of the others fail.
"""

import asyncio
import contextlib
import logging
import socket
from collections.abc import Callable

from ..sockets import (
    CloseReason,
    ConnectionEndedError,
    ReceiveBuffer,
    SocketReader,
    SocketWriter,
    TaskSupervisor,
    open_stream_socket,
    sleep_ns,
)
from ..time_units import NS_PER_SECOND
from . import wire
from .gauge_polls import GaugePolls, Gauges
from .unconfirmed_commands import SEND_CALL_RESULT, START_RUN, CommandKey, UnconfirmedCommands
from .wire import Command, NoticeKind, RunStatus

log = logging.getLogger(__name__)

READ_BUFFER_BYTES = 64 << 10
MAX_READ_BUFFER_BYTES = 4 * wire.MAX_BODY_BYTES
RECONNECT_INTERVAL_NS = NS_PER_SECOND // 20
# Timeout of an attempt to connect. It doubles after each timeout, up to `MAX_CONNECT_TIMEOUT_NS`,
# and is reset by a successful attempt.
CONNECT_TIMEOUT_NS = NS_PER_SECOND
MAX_CONNECT_TIMEOUT_NS = 4 * NS_PER_SECOND
# Gauge queries in a row that may stay without an answer; one more closes the connection.
MAX_UNANSWERED_POLLS = 30
CONFIRM_DELAY_NS = NS_PER_SECOND // 40  # from a command to the gauge query that confirms it
# For how long, from the end of a replay, a notice may show that an uncertain command was received.
UNCERTAIN_TIMEOUT_NS = NS_PER_SECOND // 4
HANDOVER_TIMEOUT_NS = NS_PER_SECOND // 10  # for the confirmations on a connection to an old address

# Module-level names, as each is used for every request, and on Python 3.11 an access through the
# enum takes seven times as long as a comparison of strings.
RUN_ENDED = NoticeKind.RUN_ENDED
CALL_REQUESTED = NoticeKind.CALL_REQUESTED


class ExecutorConnection:
    """Sends commands to the executor, and hands its notices on.

    The result of a call is written at most once: sent again, it could reach a run that has gone on
    to its next call. So is the start of a run that must not run twice: sent again, it could arrive
    after the run's end. A confirmed command is never sent again either, as its run may have ended.

    Attributes:
        last_notice: The number of the last handled notice; on a new connection the executor sends
            the later ones again.
        unconfirmed: The commands that the executor may not have received.
        polls: The gauge queries that are not answered yet.
        is_joined: Whether this connection's replay of notices is over, and commands may be sent.
        is_replaying: Whether the next notice's number may skip some, as it is the first of a
            replay.
        has_served: Whether the current connection was joined.
        barrier_tag: Tag of the gauge query whose answer ends the replay; empty if none is pending.
        unanswered_polls: Calls of `query_gauges` in a row without an answer in time.
        connect_timeout_ns: Timeout of the next attempt to connect.
        confirm_timer: Sends the query that confirms the last commands; None if none is due.
        uncertain_timer: Gives up what is uncertain; None if the replay is not over.
    """

    def __init__(
        self,
        address: tuple[str, int],
        supervisor: TaskSupervisor,
        on_welcome: Callable[[bool, int], None],
        on_run_ended: Callable[[str, RunStatus, int, bytes], None],
        on_call_requested: Callable[[str, bytes], None],
        on_call_result_uncertain: Callable[[str], None],
        free_descriptor: Callable[[], bool] = lambda: False,
    ) -> None:
        """Prepares the connection; `maintain` establishes it.

        Args:
            address: Host and port of the executor.
            supervisor: Owner of the connection's tasks.
            on_welcome: Called on each connection with whether the executor is cold, and its age
                in ms.
            on_run_ended: Called at the end of a run with request id, status, duration in ns and
                result.
            on_call_requested: Called with the id of the request whose run requests a call, and the
                call's body.
            on_call_result_uncertain: Called with the id of a request whose run may never receive
                the result of its call.
            free_descriptor: Called where no descriptor is left for a new connection; returns
                whether it freed one.
        """
        self.address, self.supervisor = address, supervisor
        self.on_welcome, self.on_run_ended = on_welcome, on_run_ended
        self.on_call_requested, self.free_descriptor = on_call_requested, free_descriptor
        self.on_call_result_uncertain = on_call_result_uncertain
        self.last_notice = 0
        self.unconfirmed = UnconfirmedCommands()
        self.polls = GaugePolls()
        self.writer: SocketWriter | None = None
        self.is_joined = self.is_replaying = self.has_served = False
        self.barrier_tag, self.unanswered_polls = "", 0
        self.confirm_timer: asyncio.TimerHandle | None = None
        self.uncertain_timer: asyncio.TimerHandle | None = None
        self.connection_task: asyncio.Task[tuple[CloseReason, str]] | None = None
        self.connect_timeout_ns = CONNECT_TIMEOUT_NS

    def start_run(
        self, request_id: str, request_class: str, body: bytes, is_idempotent: bool
    ) -> None:
        """Sends the command that runs a request.

        Args:
            request_id: The request's id.
            request_class: The name of its class.
            body: Its body.
            is_idempotent: Whether a second run of it does no harm.
        """
        command = wire.encode_start_run(request_id, request_class, body)
        self.send_command(START_RUN, request_id, command, is_repeatable=is_idempotent)

    def send_call_result(self, request_id: str, result: bytes) -> None:
        """Sends a run the result of the call that it requested."""
        command = wire.encode_call_result(request_id, result)
        self.send_command(SEND_CALL_RESULT, request_id, command, is_repeatable=False)

    def send_command(
        self, name: Command, request_id: str, command: bytes, is_repeatable: bool
    ) -> None:
        """Sends a command, at once or when the connection is joined."""
        key = CommandKey(name, request_id)
        writer = self.writer if self.is_joined else None
        self.unconfirmed.add(key, command, is_repeatable, is_written=writer is not None)
        if writer is not None:
            writer.send(command)
            if self.confirm_timer is None:
                # More often than the regular polls: a command that is unconfirmed when the
                # connection is lost may cost its request, so that few should be.
                self.confirm_timer = asyncio.get_running_loop().call_later(
                    CONFIRM_DELAY_NS / NS_PER_SECOND, self.confirm_commands
                )

    def confirm_commands(self) -> None:
        """Sends a gauge query, whose answer confirms the commands sent so far."""
        self.confirm_timer = None
        if self.is_joined and len(self.unconfirmed):
            self.poll_gauges(self.unconfirmed.count)

    async def query_gauges(self, timeout_ns: int) -> Gauges | None:
        """Returns the executor's current gauges; None where it does not answer in time."""
        if self.writer is None:
            return None
        # A query on a connection that is not joined counts as unanswered too: the answer that
        # would join it may have been lost.
        poll = self.poll_gauges(self.unconfirmed.count)[1] if self.is_joined else None
        is_answered = poll is not None and bool(
            (await asyncio.wait({poll}, timeout=timeout_ns / NS_PER_SECOND))[0]
        )
        self.unanswered_polls = 0 if is_answered else self.unanswered_polls + 1
        if self.unanswered_polls > MAX_UNANSWERED_POLLS and self.writer is not None:
            # The connection may be open with no process at its other end. A new connection
            # replays the notices that were missed.
            log.warning("event=executor_unresponsive polls=%d", self.unanswered_polls)
            self.unanswered_polls = 0
            with contextlib.suppress(OSError):  # already reset, which the reader sees next
                self.writer.socket.shutdown(socket.SHUT_RDWR)
        return poll.result() if is_answered and poll is not None else None

    def poll_gauges(self, command_count: int) -> tuple[str, "asyncio.Future[Gauges | None]"]:
        """Sends a gauge query; returns its tag and the future of its answer.

        Args:
            command_count: How many of all commands the answer confirms.
        """
        assert self.writer is not None
        tag, gauges = self.polls.add(command_count)
        self.writer.send(wire.encode_gauge_query(tag))
        return tag, gauges

    def change_address(self, address: tuple[str, int]) -> None:
        """Connects to another address, once the commands on this connection are confirmed."""
        if address != self.address:
            self.address = address
            if self.connection_task is not None:
                self.supervisor.start(self.hand_over(self.connection_task), "executor_handover")

    async def hand_over(self, connection_task: "asyncio.Task[tuple[CloseReason, str]]") -> None:
        """Ends a connection after its commands are confirmed, or after `HANDOVER_TIMEOUT_NS`.

        Further commands wait for the next connection.
        """
        if self.is_joined:
            _, poll = self.poll_gauges(self.unconfirmed.count)
            self.is_joined = False
            await asyncio.wait({poll}, timeout=HANDOVER_TIMEOUT_NS / NS_PER_SECOND)
        connection_task.cancel()

    async def maintain(self) -> None:
        """Connects to the executor, reconnects when the connection is lost, and never returns."""
        previous: CloseReason | None = None
        while True:
            self.has_served = False
            self.connection_task = self.supervisor.start(self.connect_and_read(), "executor_reader")
            await asyncio.wait({self.connection_task})
            reason, detail = CloseReason.ADDRESS_CHANGED, ""
            if not self.connection_task.cancelled():
                reason, detail = self.connection_task.result()
            is_unreachable = reason in (
                CloseReason.CONNECTION_REFUSED,
                CloseReason.CONNECT_TIMEOUT,
            )
            if not is_unreachable or reason is not previous:
                log.info(
                    "event=connection_closed side=executor reason=%s last_notice=%d "
                    "unconfirmed_commands=%d detail=%r",
                    reason.value,
                    self.last_notice,
                    len(self.unconfirmed),
                    detail,
                )
            previous = reason
            # Reconnects at once if the connection had been joined, as runs end and request calls
            # meanwhile.
            if reason is not CloseReason.ADDRESS_CHANGED and not self.has_served:
                await sleep_ns(RECONNECT_INTERVAL_NS)

    async def connect_and_read(self) -> tuple[CloseReason, str]:
        """Connects and handles notices until the connection ends; returns the reason and detail."""
        sock: socket.socket | None = None
        try:
            sock = open_stream_socket(self.free_descriptor)
            try:
                async with asyncio.timeout(self.connect_timeout_ns / NS_PER_SECOND):
                    await asyncio.get_running_loop().sock_connect(sock, self.address)
            except TimeoutError:
                # Without this timeout the kernel would retry at growing intervals, and would notice
                # late that a machine is back. The doubled timeout serves networks where connecting
                # is slow.
                self.connect_timeout_ns = min(MAX_CONNECT_TIMEOUT_NS, 2 * self.connect_timeout_ns)
                return CloseReason.CONNECT_TIMEOUT, ""
            self.connect_timeout_ns = CONNECT_TIMEOUT_NS
            await self.read_notices(sock)
            return CloseReason.PEER_CLOSED, ""
        except ConnectionRefusedError:
            return CloseReason.CONNECTION_REFUSED, ""
        except ConnectionEndedError as error:
            return error.reason, error.detail
        except OSError as error:
            return CloseReason.PEER_RESET, error.strerror or ""
        except Exception:
            # A handler of a notice failed. The connection is made again: a server without an
            # executor could serve no request.
            log.exception("event=internal_error side=executor")
            return CloseReason.INTERNAL_ERROR, ""
        finally:
            self.disconnect()
            if sock is not None:
                sock.close()

    def disconnect(self) -> None:
        """Resets the state of a lost connection; its pending polls return None."""
        if self.writer is not None:
            self.writer.abort()
        self.writer = None
        self.unconfirmed.connection_lost()
        if self.uncertain_timer is not None:
            self.uncertain_timer.cancel()
            self.uncertain_timer = None
        self.is_joined, self.barrier_tag = False, ""
        self.polls.cancel_all()

    async def read_notices(self, sock: socket.socket) -> None:
        """Sends the join command, and handles notices until the executor closes the connection.

        Raises:
            ConnectionEndedError: The executor sent a malformed or unexpected notice.
            OSError: The connection was lost.
        """
        reader = SocketReader(sock)
        buffer = ReceiveBuffer(READ_BUFFER_BYTES, MAX_READ_BUFFER_BYTES)
        # A failed write needs no handler: the next read fails too.
        self.writer = SocketWriter(sock, self.supervisor, lambda: None)
        self.writer.send(wire.encode_join(self.last_notice))
        while True:
            size = await reader.receive(buffer.free_space())
            if not size:
                return
            buffer.end += size
            while (notice := wire.read_notice(buffer)) is not None:
                self.handle_notice(notice)

    def handle_notice(self, notice: wire.Notice) -> None:
        """Handles one notice.

        Raises:
            ConnectionEndedError: A field is invalid for the notice's kind, or notices before this
                one are missing.
        """
        kind, fields, body = notice
        if kind is RUN_ENDED:
            if self.is_new_notice(fields[0]):
                self.handle_run_ended(fields, body)
        elif kind is CALL_REQUESTED:
            if self.is_new_notice(fields[0]):
                self.unconfirmed.confirm_request(fields[1])
                # A copy, as the call may be made later or repeated.
                self.on_call_requested(fields[1], bytes(body))
        elif kind is NoticeKind.GAUGES:
            tag, *values = fields
            self.handle_gauges(tag, [wire.parse_decimal(value) for value in values])
        elif kind is NoticeKind.WELCOME:
            self.handle_welcome(fields)
        elif kind is NoticeKind.COMMAND_REJECTED:
            self.handle_rejection(fields)
        else:
            log.info("event=executor_log text=%r", " ".join(fields[1:]))
            self.is_new_notice(fields[0])

    def handle_welcome(self, fields: list[str]) -> None:
        """Starts the replay of the missed notices.

        The replay ends with the answer to the gauge query that is sent here; only then is it known
        which commands had arrived.
        """
        is_cold = wire.parse_is_cold(fields[0])
        self.is_replaying = True
        self.on_welcome(is_cold, wire.parse_integer(fields[1]))
        self.barrier_tag, _ = self.poll_gauges(0)

    def handle_run_ended(self, fields: list[str], body: memoryview) -> None:
        """Confirms the run's commands and reports its end."""
        _, request_id, status, duration_ms, _ = fields
        self.unconfirmed.confirm_request(request_id)
        self.on_run_ended(
            request_id,
            wire.parse_run_status(status),
            wire.parse_duration_ns(duration_ms),
            bytes(body),
        )

    def is_new_notice(self, number_field: str) -> bool:
        """Records a notice's number; returns whether the notice was not handled before.

        Raises:
            ConnectionEndedError: Notices before it are missing, and it is not the first of a
                replay.
        """
        number = wire.parse_integer(number_field)
        if number > self.last_notice + 1 and not self.is_replaying:
            raise wire.malformed_error(f"notice {number} after notice {self.last_notice}")
        if number > self.last_notice + 1:
            # While there was no connection, the executor dropped notices beyond the number that it
            # keeps. The ends of some runs will never be received, and these runs may have
            # unconfirmed commands. None is sent, sent before or not: the request fails at its
            # deadline and is never run twice.
            log.error("event=notices_lost first=%d last=%d", self.last_notice + 1, number - 1)
            self.unconfirmed.clear()
        self.is_replaying = False
        is_new = number > self.last_notice
        self.last_notice = max(self.last_notice, number)
        return is_new

    def handle_gauges(self, tag: str, values: Gauges) -> None:
        """Completes the poll with this tag, and confirms the commands sent before it."""
        poll = self.polls.take(tag)
        if poll is None:
            return
        self.unconfirmed.confirm_until(poll.command_count)
        if tag == self.barrier_tag:
            self.finish_join()
        if not poll.gauges.done():
            poll.gauges.set_result(values)

    def finish_join(self) -> None:
        """Sends what waits for this connection, at the end of the replay."""
        assert self.writer is not None
        self.barrier_tag, self.is_joined, self.has_served = "", True, True
        self.writer.send(*self.unconfirmed.take_sendable())
        self.uncertain_timer = asyncio.get_running_loop().call_later(
            UNCERTAIN_TIMEOUT_NS / NS_PER_SECOND, self.give_up_uncertain
        )

    def give_up_uncertain(self) -> None:
        """Reports the commands that no notice has confirmed since the replay."""
        self.uncertain_timer = None
        for name, request_id in self.unconfirmed.take_uncertain():
            log.warning("event=command_uncertain command=%s id=%s", name, request_id)
            if name is START_RUN:
                self.on_run_ended(request_id, RunStatus.UNCERTAIN, 0, b"")
            else:
                self.on_call_result_uncertain(request_id)

    def handle_rejection(self, fields: list[str]) -> None:
        """Ends the run of a request whose command the executor rejected."""
        log.info("event=command_rejected command=%s id=%s", fields[0], " ".join(fields[1:]))
        if len(fields) > 1 and fields[0] == START_RUN:
            self.unconfirmed.confirm_start(fields[1])
            self.on_run_ended(fields[1], RunStatus.REJECTED, 0, b"")
