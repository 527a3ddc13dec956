"""Keeps the link to the executor; what was said on a lost one is said again only where that is
safe.
"""

import asyncio
import contextlib
import logging
import socket
from collections.abc import Callable

from ..sockets import (
    NS_PER_SECOND,
    CloseReason,
    ConnectionEndedError,
    ReceiveBuffer,
    SocketReader,
    SocketWriter,
    TaskSupervisor,
    open_stream_socket,
    sleep_ns,
)
from . import wire
from .wire import RUN_STATUSES, RunStatus

log = logging.getLogger(__name__)

READ_BUFFER_BYTES = 64 << 10
RECONNECT_INTERVAL_NS = NS_PER_SECOND // 20  # between tries to find the executor
CONNECT_TIMEOUT_NS, MAX_CONNECT_TIMEOUT_NS = (
    NS_PER_SECOND,
    4 * NS_PER_SECOND,
)  # for a link to be made, at first, and at most
MAX_UNANSWERED_POLLS = 30  # rounds in a row whose METER is not answered in time
CONFIRM_DELAY_NS = NS_PER_SECOND // 40  # between a command and the METER that proves it


class ExecutorConnection:
    def __init__(
        self,
        address: tuple[str, int],
        tasks: TaskSupervisor,
        welcome: Callable[[bool, int], None],
        ended: Callable[[str, RunStatus, int, bytes], None],
        at_call: Callable[[str, bytes], None],
        spare: Callable[[], bool] = lambda: False,
    ) -> None:
        """`spare` frees a descriptor elsewhere, where none is left for a new link."""
        self.address, self.supervisor, self.free_descriptor = address, tasks, spare
        self.on_welcome, self.on_run_ended, self.on_call_requested = welcome, ended, at_call
        self.last_notice = 0
        # Commands that no later answer proves to have arrived, in order; only these are in doubt
        # when a link is lost. All others must not be repeated: their run may have ended, and would
        # run again.
        self.unconfirmed_commands: dict[tuple[str, str], tuple[int, bytes]] = {}
        self.command_count = (
            0  # commands so far; a METER proves those up to its own place in the order
        )
        self.pending_polls: dict[str, tuple[asyncio.Future[list[float] | None], int]] = {}
        self.last_tag = 0
        self.writer: SocketWriter | None = None
        self.is_joined = self.is_replaying = self.has_served = False
        self.barrier_tag, self.unanswered_polls = "", 0
        self.confirm_timer: asyncio.TimerHandle | None = None
        self.connection_task: asyncio.Task[tuple[CloseReason, str]] | None = None
        self.connect_timeout_ns = CONNECT_TIMEOUT_NS

    def start_run(self, id: str, product: str, body: bytes) -> None:
        self.send_command(
            "EXEC", id, f"EXEC {id} {product} {len(body)}\r\n".encode() + body + b"\r\n"
        )

    def send_call_result(self, id: str, reply: bytes) -> None:
        self.send_command("RETURN", id, f"RETURN {id} {len(reply)}\r\n".encode() + reply + b"\r\n")

    def send_command(self, name: str, id: str, text: bytes) -> None:
        self.command_count += 1
        self.unconfirmed_commands.pop((name, id), None)
        self.unconfirmed_commands[name, id] = self.command_count, text
        if self.is_joined and self.writer is not None:
            self.writer.send(text)
            if self.confirm_timer is None:
                # Not only once a round: what is in doubt when a link is lost is said again, and the
                # less of it had arrived after all, the less a repeat can find its run one call
                # further, or over.
                self.confirm_timer = asyncio.get_running_loop().call_later(
                    CONFIRM_DELAY_NS / NS_PER_SECOND, self.confirm_commands
                )

    def confirm_commands(self) -> None:
        self.confirm_timer = None
        if self.is_joined and self.unconfirmed_commands:
            self.poll_gauges()

    async def query_gauges(self, patience: int) -> list[float] | None:
        """What the executor measures now; None if it does not say so within `patience`."""
        if self.writer is None:
            return None
        # One that is not joined counts too: the answer that would join it may have been lost.
        asked = self.poll_gauges() if self.is_joined else None
        done = asked is not None and bool(
            (await asyncio.wait({asked}, timeout=patience / NS_PER_SECOND))[0]
        )
        self.unanswered_polls = 0 if done else self.unanswered_polls + 1
        if self.unanswered_polls > MAX_UNANSWERED_POLLS and self.writer is not None:
            # Against a link that stays open with nobody at its other end: a new one brings what was
            # missed.
            log.warning("event=executor_unresponsive polls=%d", self.unanswered_polls)
            self.unanswered_polls = 0
            with contextlib.suppress(
                OSError
            ):  # it may have been reset just now, and its reader knows it next
                self.writer.socket.shutdown(socket.SHUT_RDWR)
        return asked.result() if done and asked is not None else None

    def poll_gauges(self) -> "asyncio.Future[list[float] | None]":
        self.last_tag += 1
        tag = f"m{self.last_tag}"
        asked: asyncio.Future[list[float] | None] = asyncio.get_running_loop().create_future()
        self.pending_polls[tag] = asked, self.command_count if self.is_joined else 0
        assert self.writer is not None
        self.writer.send(f"METER {tag}\r\n".encode())
        return asked

    def change_address(self, address: tuple[str, int]) -> None:
        """The executor is found here from now on; what was said in vain on the link before is said
        again.
        """
        if address != self.address:
            self.address = address
            if self.connection_task is not None:
                self.connection_task.cancel()

    async def maintain(self) -> None:
        """Finds the executor, again whenever the link is lost."""
        before: CloseReason | None = None
        while True:
            self.has_served = False
            self.connection_task = self.supervisor.start(self.connect_and_read(), "link")
            await asyncio.wait({self.connection_task})
            reason, detail = CloseReason.ADDRESS_CHANGED, ""
            if not self.connection_task.cancelled():
                reason, detail = self.connection_task.result()
            if (
                reason not in (CloseReason.CONNECTION_REFUSED, CloseReason.CONNECT_TIMEOUT)
                or reason is not before
            ):
                log.info(
                    "event=connection_closed side=executor reason=%s last_notice=%d "
                    "unconfirmed_commands=%d detail=%r",
                    reason.value,
                    self.last_notice,
                    len(self.unconfirmed_commands),
                    detail,
                )
            before = reason
            # At once where a link that had served is lost: runs end and calls wait meanwhile.
            if reason is not CloseReason.ADDRESS_CHANGED and not self.has_served:
                await sleep_ns(RECONNECT_INTERVAL_NS)

    async def connect_and_read(self) -> tuple[CloseReason, str]:
        """One link, from its making to its end."""
        sock: socket.socket | None = None
        try:
            sock = open_stream_socket(self.free_descriptor)
            try:
                async with asyncio.timeout(self.connect_timeout_ns / NS_PER_SECOND):
                    await asyncio.get_running_loop().sock_connect(sock, self.address)
            except TimeoutError:
                # The system would dial again later and later, so that a machine that is back is
                # found late. Where dials are slow by themselves, the next has longer.
                self.connect_timeout_ns = min(MAX_CONNECT_TIMEOUT_NS, 2 * self.connect_timeout_ns)
                return CloseReason.CONNECT_TIMEOUT, ""
            self.connect_timeout_ns = CONNECT_TIMEOUT_NS
            await self.read_notices(sock)
            return CloseReason.PEER_CLOSED, ""
        except ConnectionRefusedError:
            return CloseReason.CONNECTION_REFUSED, ""
        except ConnectionEndedError as ended:
            return ended.reason, str(ended)
        except OSError as error:
            return CloseReason.PEER_RESET, error.strerror or ""
        except Exception:
            # Whatever a notice set off: a server that loses its link for good serves nobody.
            log.exception("event=internal_error side=executor")
            return CloseReason.INTERNAL_ERROR, ""
        finally:
            self.disconnect()
            if sock is not None:
                sock.close()

    def disconnect(self) -> None:
        if self.writer is not None:
            self.writer.abort()
        self.writer = None
        self.is_joined, self.barrier_tag = False, ""
        for asked, _ in self.pending_polls.values():
            if not asked.done():
                asked.set_result(None)
        self.pending_polls.clear()

    async def read_notices(self, sock: socket.socket) -> None:
        inlet, buffer = (
            SocketReader(sock),
            ReceiveBuffer(READ_BUFFER_BYTES, 4 * wire.MAX_BODY_BYTES),
        )
        # A write that fails is followed by a read that fails too.
        self.writer = SocketWriter(sock, self.supervisor, lambda: None)
        self.writer.send(f"JOIN {self.last_notice}\r\n".encode())
        while True:
            size = await inlet.receive(buffer.free_space())
            if not size:
                return
            buffer.end += size
            while (notice := wire.read_notice(buffer)) is not None:
                self.handle_notice(*notice)

    def handle_notice(self, words: list[str], body: memoryview) -> None:
        name, *values = words
        if name == "WELCOME":
            if values[0] not in ("EMPTY", "LOADED"):
                raise ConnectionEndedError(CloseReason.MALFORMED, f"state {values[0]}")
            self.is_replaying = True
            self.on_welcome(values[0] == "EMPTY", wire.parse_integer(values[1]))
            # The replay ends where this is answered: only then is it known which commands were
            # heard.
            self.poll_gauges()
            self.barrier_tag = f"m{self.last_tag}"
        elif name == "METERS":
            self.handle_gauges(values[0], [wire.parse_decimal(value) for value in values[1:]])
        elif name == "BAD":
            self.handle_rejection(values)
        elif name == "LOG":
            log.info("event=executor_log text=%r", " ".join(values[1:]))
            self.is_new_notice(wire.parse_integer(values[0]))
        elif self.is_new_notice(wire.parse_integer(values[0])):
            id = values[1]
            self.unconfirmed_commands.pop(("EXEC", id), None)
            self.unconfirmed_commands.pop(("RETURN", id), None)
            if name == "CALLOUT":
                self.on_call_requested(
                    id, bytes(body)
                )  # outlives the buffer: the call may be made later, and again
            else:
                self.on_run_ended(
                    id,
                    RUN_STATUSES.get(values[2], RunStatus.FAILED),
                    int(wire.parse_decimal(values[3]) * 1e6),
                    bytes(body),
                )

    def is_new_notice(self, number: int) -> bool:
        if number > self.last_notice + 1 and not self.is_replaying:
            raise ConnectionEndedError(
                CloseReason.MALFORMED, f"notice {number} after {self.last_notice}"
            )
        if number > self.last_notice + 1:
            # More than the executor keeps was said while there was no link: some ends are never
            # learnt, and what was in doubt may be among them. Not said again, it is voided in time
            # and never run twice.
            log.error("event=notices_lost first=%d last=%d", self.last_notice + 1, number - 1)
            self.unconfirmed_commands.clear()
        self.is_replaying = False
        fresh = number > self.last_notice
        self.last_notice = max(self.last_notice, number)
        return fresh

    def handle_gauges(self, tag: str, values: list[float]) -> None:
        asked, proven = self.pending_polls.pop(tag, (None, 0))
        for command in [
            command for command, (place, _) in self.unconfirmed_commands.items() if place <= proven
        ]:
            del self.unconfirmed_commands[command]
        if tag == self.barrier_tag and self.writer is not None:
            self.barrier_tag, self.is_joined, self.has_served = "", True, True
            self.writer.send(*(text for _, text in self.unconfirmed_commands.values()))
        if asked is not None and not asked.done():
            asked.set_result(values)

    def handle_rejection(self, values: list[str]) -> None:
        log.info("event=command_rejected command=%s id=%s", values[0], " ".join(values[1:]))
        if len(values) > 1 and values[0] == "EXEC":
            self.unconfirmed_commands.pop(("EXEC", values[1]), None)
            self.on_run_ended(values[1], RunStatus.REJECTED, 0, b"")
