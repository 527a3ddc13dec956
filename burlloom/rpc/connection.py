"""One connection of a balancer, or of whoever else found the address."""

import asyncio
import contextlib
import logging
import socket
from collections.abc import Callable, Iterator
from typing import Any, Protocol

from ..sockets import MS, Buffer, Ended, Inlet, Parting, Reason, Tasks, Writer, unread
from . import frames
from .requests import IncomingRequest, Known, Malformed, request

log = logging.getLogger(__name__)

READ_BYTES = 4 << 10
OPEN_MOST = 32
LAST_READS = 16
UNSENT_MOST = 512 << 10  # one that waits for 32 answers can't be owed as much
BAD_MOST = 4  # requests that can't be taken or that nobody knows, until the connection goes
SHUTDOWN = frames.notification("shutdown")
GONE = (Reason.PEER_CLOSED, Reason.PEER_RESET)  # nobody is there to be told anything
AT_ONCE = (
    Reason.PEER_RESET,
    Reason.NOT_READING,
    Reason.FULL,
)  # an orderly close has no use, or no time


class Around(Protocol):
    """What a connection asks of whoever keeps it."""

    known: Known
    tasks: Tasks
    clock: Callable[[], int]
    request: Callable[[IncomingRequest], None]
    lost: Callable[[IncomingRequest], None]
    serves: Callable[[str], bool]
    good: Callable[[], bool]
    leaving: bool

    def told(self, caller: str) -> dict[str, str]: ...
    def ended(self, connection: "Connection") -> None: ...
    def parting(self, parting: Parting) -> None: ...
    async def moment(self) -> None: ...


class Connection:
    def __init__(self, front: Around, sock: socket.socket, peer: str) -> None:
        self.front, self.sock, self.peer = front, sock, peer
        self.buffer, self.inlet = Buffer(READ_BYTES, 2 * frames.MOST), Inlet(sock)
        self.writer = Writer(sock, front.tasks, self.broken)
        self.open: dict[int, IncomingRequest] = {}
        self.last_number = -1
        self.used = self.told_at = front.clock()
        self.partial_since = 0  # when the message that is not yet whole began
        self.requests = self.answers = self.bad = 0
        self.heard = self.told_shutdown = self.health_only = self.half_closed = self.ended = False
        self.caller = ""  # as it named itself last
        self.detail = ""
        self.reader: asyncio.Task[None] | None = None

    async def serve(self) -> None:
        """Its reader, from its start to its end; whoever ends it from outside calls `close` or
        `stop`.
        """
        with self.ending():
            await self.read()
            self.close(
                Reason.PEER_CLOSED
                if not self.told_shutdown
                else Reason.LEAVING
                if self.front.leaving
                else Reason.IDLE
            )

    @contextlib.contextmanager
    def ending(self) -> Iterator[None]:
        """Whatever goes wrong within ends the connection."""
        try:
            yield
        except Ended as ended:
            self.stop(ended.reason, str(ended))
        except OSError as error:
            self.stop(Reason.PEER_RESET, error.strerror or "")
        except asyncio.CancelledError:
            self.close(Reason.FAULT)  # nothing to do where `close` is what cancelled it
        except Exception:
            log.exception("event=fault side=balancer peer=%s", self.peer)
            self.close(Reason.FAULT)

    async def read(self) -> None:
        while not self.ended:
            if not (size := await self.inlet.receive(self.buffer.room())):
                # The other side may have closed only its half, and still be owed answers.
                self.half_closed = True
                while self.open or self.writer.unsent:
                    await self.front.moment()
                return
            self.came(size)

    def came(self, size: int) -> None:
        """Takes what is whole of the bytes that lie in the buffer, `size` of them new."""
        buffer, now = self.buffer, self.front.clock()
        buffer.end += size
        try:
            while buffer.start < buffer.end and not self.ended:
                buffer.start, whole = frames.request(buffer.view, buffer.start, buffer.end)
                self.used, self.heard, self.partial_since = now, True, 0
                self.take(now, *whole)
        except frames.Short:
            self.partial_since = self.partial_since or now

    def last_call(self) -> None:
        """Takes what lies unread before an end is decided: a whole request that lies there is
        answered.

        So many times at most: whoever sends without an end must not hold up everybody else.
        """
        with self.ending():
            for _ in range(LAST_READS):
                if not self.ended and not self.half_closed and unread(self.sock):
                    self.came(self.sock.recv_into(self.buffer.room()))

    def close(self, reason: Reason) -> None:
        """Every way out leads through here, once.

        Whoever sent what no balancer sends is owed no result: what is open is answered with an
        error.
        """
        if self.ended:
            return
        self.ended, lost = True, list(self.open.values())
        self.front.ended(self)
        if reason not in GONE:
            for asked in lost:
                asked.fail()
            self.writer.flush()
        self.inlet.rest()
        if self.reader is not None and self.reader is not asyncio.current_task():
            self.reader.cancel()
        if (
            reason in AT_ONCE
            or not self.writer.spoke
            or self.half_closed
            and not self.writer.unsent
        ):
            self.writer.end()
            self.sock.close()
        else:
            self.front.parting(Parting(self.sock, self.writer))
        self.open.clear()
        for asked in lost:
            self.front.lost(asked)
        log.info(
            "event=connection-ended side=balancer peer=%s reason=%s txns=%d answers=%d bad=%d lost=%d "
            "detail=%r",
            self.peer,
            reason.value,
            self.requests,
            self.answers,
            self.bad,
            len(lost),
            self.detail,
        )

    def stop(self, reason: Reason, detail: str = "") -> None:
        if not self.ended:
            self.detail = detail
            self.close(reason)

    def broken(self) -> None:
        self.stop(Reason.PEER_RESET)

    def take(self, now: int, number: int, method: str, params: list[Any]) -> None:
        if number <= self.last_number:
            raise Ended(Reason.REPEATED_ID, f"message {number}")
        self.last_number = number
        if method == "health":
            self.health_only = not self.requests
            self.writer.post(frames.health(number, self.front.good(), self.front.told(self.caller)))
            self.check_unsent()
            return
        self.health_only = False
        try:
            if len(self.open) >= OPEN_MOST:
                raise Malformed(f"more than {OPEN_MOST} open")
            asked = request(self, number, method, params, self.front.known, now)
            if self.front.serves(asked.id):
                raise Malformed(f"request {asked.id} again")
        except Malformed as error:
            self.reject(number, str(error))
            return
        self.open[number] = asked
        self.caller = asked.caller
        self.requests += 1
        self.front.request(asked)

    def reject(self, number: int, why: str) -> None:
        self.writer.post(frames.error(number, "BadRequest", self.front.told(self.caller)))
        self.blame(why)

    def blame(self, what: str) -> None:
        """A balancer is never at fault for long; against one that sends the same thing again and
        again.
        """
        self.bad += 1
        self.detail = what
        if self.bad >= BAD_MOST:
            self.stop(Reason.ABUSIVE, what)

    def settle(self, number: int, result: bytes) -> None:
        self.answer(number, *frames.result(number, result, self.front.told(self.caller)))

    def refuse(self, number: int, stay_away: int, final: bool) -> None:
        fields = self.front.told(self.caller)
        if stay_away >= MS:
            fields["after"] = str(stay_away // MS)
        if final:
            fields["last"] = "1"
        self.answer(number, frames.error(number, "Backoff", fields))

    def fail(self, number: int, name: str) -> None:
        self.answer(number, frames.error(number, name, self.front.told(self.caller)))

    def answer(self, number: int, *pieces: bytes) -> None:
        if self.open.pop(number, None) is None:
            return  # the connection went, or was answered as it did
        self.answers += 1
        self.used = self.front.clock()
        self.writer.post(*pieces)
        self.check_unsent()

    def check_unsent(self) -> None:
        if self.writer.size > UNSENT_MOST:
            # Against one that asks and never reads: its answers would fill the memory of all.
            self.stop(Reason.NOT_READING)

    @property
    def bare(self) -> bool:
        return not self.open and not self.writer.unsent

    def shut(self, now: int) -> None:
        """Asks the other side to close first: closing here could cross a request that was just
        written.
        """
        if not self.told_shutdown:
            self.told_shutdown, self.told_at = True, now
            self.writer.post(SHUTDOWN)
