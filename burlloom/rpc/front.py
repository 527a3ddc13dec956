"""The listener and its connections."""

import asyncio
import logging
import re
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ..sockets import MS, SECOND, Buffer, Ended, Reason, Tasks, Writer, ready, rest
from . import frames

log = logging.getLogger(__name__)

READ_BYTES = 4 << 10
BODY_BYTES = 2 << 10
UNSENT_MOST = 1 << 20  # one that waits for 32 answers can't be owed a fifth of it
BACKLOG = 1024
MOMENT = 10 * MS
SHUTDOWN = frames.notification("shutdown")
TXN_ID = re.compile(r"[0-9a-fA-F]{1,64}")


class Malformed(Exception):
    """A txn that can't be read, on a connection that can go on."""


@dataclass(frozen=True, slots=True)
class Asked:
    """One try of a txn as it was read, and the way back; its times and costs are in nanoseconds."""

    connection: "Connection"
    number: int
    product: str
    id: str
    at: int
    caller: str
    cost: int
    kb: float
    rank: float
    once: str
    key: str
    body: bytes

    def settle(self, result: bytes) -> None:
        self.connection.answer(self.number, *frames.result(self.number, result, self.connection.front.told()))

    def decline(self, stay_away: int, final: bool) -> None:
        fields = self.connection.front.told()
        if stay_away >= MS:
            fields["after"] = str(stay_away // MS)
        if final:
            fields["last"] = "1"
        self.connection.answer(self.number, frames.error(self.number, "Backoff", fields))

    def void(self) -> None:
        self.connection.fail(self.number, "Voided")


class Connection:
    def __init__(self, front: "Front", sock: socket.socket, peer: str) -> None:
        self.front, self.sock, self.peer = front, sock, peer
        self.buffer = Buffer(READ_BYTES, 2 * frames.MOST)
        self.writer = Writer(sock, front.tasks, self.broken)
        self.open: set[int] = set()
        self.last_number = -1
        self.used = front.clock()
        self.txns = self.answers = 0
        self.told_shutdown = self.health_only = False
        self.ended = Reason.PEER_RESET  # where the reader is stopped from outside
        self.reader: asyncio.Task[None] | None = None

    async def serve(self) -> None:
        reason, detail = Reason.FAULT, ""
        try:
            await self.read()
            reason = Reason.LEAVING if self.told_shutdown and self.front.leaving else (
                Reason.IDLE if self.told_shutdown else Reason.PEER_CLOSED)
        except Ended as ended:
            reason, detail = ended.reason, str(ended)
            log.warning("event=bad-input peer=%s reason=%s detail=%r", self.peer, reason.value, detail)
            await self.finish()
        except OSError as error:
            reason, detail = Reason.PEER_RESET, error.strerror or ""
        except asyncio.CancelledError:
            reason = self.ended
        except Exception:
            log.exception("event=fault side=balancer peer=%s", self.peer)
            await self.finish()
        finally:
            self.writer.end()
            self.front.connections.discard(self)
            self.sock.close()
            log.info("event=connection-ended side=balancer peer=%s reason=%s txns=%d answers=%d lost=%d "
                     "detail=%r", self.peer, reason.value, self.txns, self.answers, len(self.open), detail)

    async def read(self) -> None:
        loop, buffer = asyncio.get_running_loop(), self.buffer
        while True:
            room = buffer.room()
            if not len(room):
                raise Ended(Reason.TOO_LARGE, "unfinished frame")
            size = await loop.sock_recv_into(self.sock, room)
            if not size:
                # The other side may have closed only its half, and still be owed answers.
                await self.answered()
                return
            self.used = self.front.clock()
            buffer.end += size
            try:
                while buffer.start < buffer.end:
                    buffer.start, request = frames.request(buffer.view, buffer.start, buffer.end)
                    self.take(*request)
            except frames.Short:
                continue

    async def finish(self) -> None:
        """After bad input: what was asked before is still answered, the rest is read and left."""
        loop, scrap = asyncio.get_running_loop(), memoryview(bytearray(READ_BYTES))
        answered = self.front.tasks.start(self.answered(), "finish")
        try:
            while self.open or self.writer.unsent:
                read = loop.create_task(loop.sock_recv_into(self.sock, scrap))
                await asyncio.wait({read, answered}, return_when=asyncio.FIRST_COMPLETED)
                if not read.done():
                    read.cancel()
                    await asyncio.wait({read})
                elif read.exception() is not None or not read.result():
                    await answered
        finally:
            answered.cancel()

    async def answered(self) -> None:
        while self.open or self.writer.unsent:
            await rest(MOMENT)

    def broken(self) -> None:
        if self.reader is not None:
            self.reader.cancel()

    def take(self, number: int, method: str, params: list[Any]) -> None:
        if number <= self.last_number:
            raise Ended(Reason.REPEATED_ID, f"message {number}")
        self.last_number = number
        if method == "health":
            self.health_only = not self.txns
            self.writer.post(frames.health(number, self.front.good(), self.front.told()))
            return
        self.health_only = False
        try:
            asked = self.asked(number, method, params)
        except Malformed as error:
            log.warning("event=bad-txn peer=%s number=%d detail=%r", self.peer, number, str(error))
            self.open.add(number)
            self.fail(number, "BadRequest")
            return
        self.open.add(number)
        self.txns += 1
        self.front.txn(asked)

    def asked(self, number: int, method: str, params: list[Any]) -> Asked:
        if method not in self.front.products:
            raise Malformed(f"unknown product {method[:40]}")
        if len(params) != 2 or not isinstance(params[0], dict) or not isinstance(params[1], memoryview):
            raise Ended(Reason.WRONG_TYPE, "of a txn's parameters")
        fields, body = params
        if len(body) > BODY_BYTES:
            raise Ended(Reason.TOO_LARGE, f"body of {len(body)}")
        if not all(isinstance(value, str) for value in fields.values()):
            raise Ended(Reason.WRONG_TYPE, "of a field's value")
        get = fields.get
        try:
            id, once = fields["id"], get("once", "")
            asked = Asked(self, number, method, id, int(fields["at"]) * MS, get("from", ""),
                          int(float(get("cost", "0")) * MS), float(fields["kb"]), float(get("rank", "0")),
                          once, get("key", ""), bytes(body))  # held past the buffer
        except (KeyError, ValueError, OverflowError) as error:
            raise Malformed(f"field {error}") from error
        if not TXN_ID.fullmatch(id) or not 0 < asked.kb < 1e9 or asked.cost < 0 or not 0 <= asked.rank <= 1:
            raise Malformed("field out of range")
        if self.front.products[method] and not once:
            raise Malformed("field 'once'")
        if self.front.knows(id):
            raise Ended(Reason.REPEATED_ID, f"txn {id}")
        return asked

    def answer(self, number: int, *pieces: bytes) -> None:
        self.open.discard(number)
        self.answers += 1
        self.used = self.front.clock()
        self.writer.post(*pieces)
        if self.writer.size > UNSENT_MOST:
            # Against one that asks and never reads: its answers would fill the memory of all.
            self.ended = Reason.NOT_READING
            self.broken()

    def fail(self, number: int, name: str) -> None:
        self.answer(number, frames.error(number, name, self.front.told()))

    def shut(self) -> None:
        """Asks the other side to close: closing here could cross a txn that was written and is then lost."""
        if not self.told_shutdown:
            self.told_shutdown = True
            self.writer.post(SHUTDOWN)


class Front:
    """Accepts connections, hands each txn that is read to `txn`, and asks the rest of the server."""

    def __init__(self, listener: socket.socket, products: dict[str, bool], tasks: Tasks,
                 clock: Callable[[], int], txn: Callable[[Asked], None], knows: Callable[[str], bool],
                 good: Callable[[], bool], said: Callable[[], str]) -> None:
        self.products, self.tasks, self.clock = products, tasks, clock
        self.txn, self.knows, self.good, self.said = txn, knows, good, said
        self.connections: set[Connection] = set()
        self.leaving = False
        self.listener: socket.socket | None = listener

    def told(self) -> dict[str, str]:
        said = self.said()
        return {"say": said} if said else {}

    def listen(self) -> None:
        if self.listener is not None:
            self.listener.setblocking(False)
            self.listener.listen(BACKLOG)
            asyncio.get_running_loop().add_reader(self.listener, self.accept)

    def accept(self) -> None:
        # Not `sock_accept`: one call a wake, and a connection it took in as it is cancelled is lost unseen.
        loop = asyncio.get_running_loop()
        try:
            while self.listener is not None:
                self.met(*self.listener.accept())
        except BlockingIOError:
            pass
        except OSError as error:
            # Out of descriptors, or a peer that was gone before it was met: the next may fare better.
            log.warning("event=accept-failed detail=%r", error.strerror)
            if self.listener is not None:
                loop.remove_reader(self.listener)
                loop.call_later(MOMENT / SECOND, self.listen)

    def met(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        connection = Connection(self, ready(sock), f"{peer[0]}:{peer[1]}")
        self.connections.add(connection)
        connection.reader = self.tasks.start(connection.serve(), "connection")
        if self.leaving:
            connection.shut()

    def trim(self, idle: int) -> None:
        """Lets go of connections that nothing was asked on for this long."""
        before = self.clock() - idle
        for connection in self.connections:
            if connection.used < before and not connection.open and not connection.health_only:
                connection.shut()

    def leave(self) -> None:
        """Takes in whoever was already connected, then listens no more; what is written is still answered."""
        self.leaving = True
        if self.listener is not None:
            self.accept()
            asyncio.get_running_loop().remove_reader(self.listener)
            self.listener.close()
            self.listener = None
        for connection in self.connections:
            connection.shut()

    @property
    def busy(self) -> bool:
        return any(connection.open or connection.writer.unsent for connection in self.connections)
