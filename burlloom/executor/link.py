"""Keeps the link to the executor; what was said on a lost one is said again only where that is
safe.
"""

import asyncio
import contextlib
import logging
import socket
from collections.abc import Callable
from enum import Enum

from ..sockets import SECOND, Buffer, Ended, Inlet, Reason, Tasks, Writer, rest, stream
from . import lines

log = logging.getLogger(__name__)

READ_BYTES = 64 << 10
AGAIN = SECOND // 20  # between tries to find the executor
DIAL, DIAL_LONGEST = SECOND, 4 * SECOND  # for a link to be made, at first, and at most
SILENT_AFTER = 30  # rounds in a row whose METER is not answered in time
PROVE_AFTER = SECOND // 40  # between a command and the METER that proves it


class End(Enum):
    PASS = "PASS"
    FAIL = "FAIL"
    KILLED = "KILLED"
    NOOP = "NOOP"
    BAD = "BAD"


class Link:
    def __init__(
        self,
        address: tuple[str, int],
        tasks: Tasks,
        welcome: Callable[[bool, int], None],
        ended: Callable[[str, End, int, bytes], None],
        at_call: Callable[[str, bytes], None],
        spare: Callable[[], bool] = lambda: False,
    ) -> None:
        """`spare` frees a descriptor elsewhere, where none is left for a new link."""
        self.address, self.tasks, self.spare = address, tasks, spare
        self.welcome, self.ended, self.at_call = welcome, ended, at_call
        self.read_last = 0
        # Commands that no later answer proves to have arrived, in order; only these are in doubt
        # when a link is lost. All others must not be repeated: their run may have ended, and would
        # run again.
        self.doubtful: dict[tuple[str, str], tuple[int, bytes]] = {}
        self.said = 0  # commands so far; a METER proves those up to its own place in the order
        self.metered: dict[str, tuple[asyncio.Future[list[float] | None], int]] = {}
        self.tags = 0
        self.writer: Writer | None = None
        self.joined = self.replaying = self.served = False
        self.barrier, self.silent = "", 0
        self.proof: asyncio.TimerHandle | None = None
        self.trying: asyncio.Task[tuple[Reason, str]] | None = None
        self.dial_most = DIAL

    def run(self, id: str, product: str, body: bytes) -> None:
        self.command("EXEC", id, f"EXEC {id} {product} {len(body)}\r\n".encode() + body + b"\r\n")

    def give(self, id: str, reply: bytes) -> None:
        self.command("RETURN", id, f"RETURN {id} {len(reply)}\r\n".encode() + reply + b"\r\n")

    def command(self, name: str, id: str, text: bytes) -> None:
        self.said += 1
        self.doubtful.pop((name, id), None)
        self.doubtful[name, id] = self.said, text
        if self.joined and self.writer is not None:
            self.writer.post(text)
            if self.proof is None:
                # Not only once a round: what is in doubt when a link is lost is said again, and the
                # less of it had arrived after all, the less a repeat can find its run one call
                # further, or over.
                self.proof = asyncio.get_running_loop().call_later(PROVE_AFTER / SECOND, self.prove)

    def prove(self) -> None:
        self.proof = None
        if self.joined and self.doubtful:
            self.meter()

    async def gauges(self, patience: int) -> list[float] | None:
        """What the executor measures now; None if it does not say so within `patience`."""
        if self.writer is None:
            return None
        # One that is not joined counts too: the answer that would join it may have been lost.
        asked = self.meter() if self.joined else None
        done = asked is not None and bool(
            (await asyncio.wait({asked}, timeout=patience / SECOND))[0]
        )
        self.silent = 0 if done else self.silent + 1
        if self.silent > SILENT_AFTER and self.writer is not None:
            # Against a link that stays open with nobody at its other end: a new one brings what was
            # missed.
            log.warning("event=executor-silent rounds=%d", self.silent)
            self.silent = 0
            with contextlib.suppress(
                OSError
            ):  # it may have been reset just now, and its reader knows it next
                self.writer.sock.shutdown(socket.SHUT_RDWR)
        return asked.result() if done and asked is not None else None

    def meter(self) -> "asyncio.Future[list[float] | None]":
        self.tags += 1
        tag = f"m{self.tags}"
        asked: asyncio.Future[list[float] | None] = asyncio.get_running_loop().create_future()
        self.metered[tag] = asked, self.said if self.joined else 0
        assert self.writer is not None
        self.writer.post(f"METER {tag}\r\n".encode())
        return asked

    def move(self, address: tuple[str, int]) -> None:
        """The executor is found here from now on; what was said in vain on the link before is said
        again.
        """
        if address != self.address:
            self.address = address
            if self.trying is not None:
                self.trying.cancel()

    async def keep(self) -> None:
        """Finds the executor, again whenever the link is lost."""
        before: Reason | None = None
        while True:
            self.served = False
            self.trying = self.tasks.start(self.follow(), "link")
            await asyncio.wait({self.trying})
            reason, detail = Reason.MOVED, ""
            if not self.trying.cancelled():
                reason, detail = self.trying.result()
            if reason not in (Reason.REFUSED, Reason.NO_ANSWER) or reason is not before:
                log.info(
                    "event=connection-ended side=executor reason=%s last=%d doubtful=%d detail=%r",
                    reason.value,
                    self.read_last,
                    len(self.doubtful),
                    detail,
                )
            before = reason
            # At once where a link that had served is lost: runs end and calls wait meanwhile.
            if reason is not Reason.MOVED and not self.served:
                await rest(AGAIN)

    async def follow(self) -> tuple[Reason, str]:
        """One link, from its making to its end."""
        sock: socket.socket | None = None
        try:
            sock = stream(self.spare)
            try:
                async with asyncio.timeout(self.dial_most / SECOND):
                    await asyncio.get_running_loop().sock_connect(sock, self.address)
            except TimeoutError:
                # The system would dial again later and later, so that a machine that is back is
                # found late. Where dials are slow by themselves, the next has longer.
                self.dial_most = min(DIAL_LONGEST, 2 * self.dial_most)
                return Reason.NO_ANSWER, ""
            self.dial_most = DIAL
            await self.listen(sock)
            return Reason.PEER_CLOSED, ""
        except ConnectionRefusedError:
            return Reason.REFUSED, ""
        except Ended as ended:
            return ended.reason, str(ended)
        except OSError as error:
            return Reason.PEER_RESET, error.strerror or ""
        except Exception:
            # Whatever a notice set off: a server that loses its link for good serves nobody.
            log.exception("event=fault side=executor")
            return Reason.FAULT, ""
        finally:
            self.lost()
            if sock is not None:
                sock.close()

    def lost(self) -> None:
        if self.writer is not None:
            self.writer.end()
        self.writer = None
        self.joined, self.barrier = False, ""
        for asked, _ in self.metered.values():
            if not asked.done():
                asked.set_result(None)
        self.metered.clear()

    async def listen(self, sock: socket.socket) -> None:
        inlet, buffer = Inlet(sock), Buffer(READ_BYTES, 4 * lines.BODY_MOST)
        # A write that fails is followed by a read that fails too.
        self.writer = Writer(sock, self.tasks, lambda: None)
        self.writer.post(f"JOIN {self.read_last}\r\n".encode())
        while True:
            size = await inlet.receive(buffer.room())
            if not size:
                return
            buffer.end += size
            while (notice := lines.notice(buffer)) is not None:
                self.take(*notice)

    def take(self, words: list[str], body: memoryview) -> None:
        name, *values = words
        if name == "WELCOME":
            if values[0] not in ("EMPTY", "LOADED"):
                raise Ended(Reason.UNREADABLE, f"state {values[0]}")
            self.replaying = True
            self.welcome(values[0] == "EMPTY", lines.whole(values[1]))
            # The replay ends where this is answered: only then is it known which commands were
            # heard.
            self.meter()
            self.barrier = f"m{self.tags}"
        elif name == "METERS":
            self.measured(values[0], [lines.real(value) for value in values[1:]])
        elif name == "BAD":
            self.bad(values)
        elif name == "LOG":
            log.info("event=executor-log text=%r", " ".join(values[1:]))
            self.fresh(lines.whole(values[0]))
        elif self.fresh(lines.whole(values[0])):
            id = values[1]
            self.doubtful.pop(("EXEC", id), None)
            self.doubtful.pop(("RETURN", id), None)
            if name == "CALLOUT":
                self.at_call(
                    id, bytes(body)
                )  # outlives the buffer: the call may be made later, and again
            else:
                self.ended(
                    id,
                    End[values[2]] if values[2] in End.__members__ else End.FAIL,
                    int(lines.real(values[3]) * 1e6),
                    bytes(body),
                )

    def fresh(self, number: int) -> bool:
        if number > self.read_last + 1 and not self.replaying:
            raise Ended(Reason.UNREADABLE, f"notice {number} after {self.read_last}")
        if number > self.read_last + 1:
            # More than the executor keeps was said while there was no link: some ends are never
            # learnt, and what was in doubt may be among them. Not said again, it is voided in time
            # and never run twice.
            log.error("event=notices-lost from=%d to=%d", self.read_last + 1, number - 1)
            self.doubtful.clear()
        self.replaying = False
        fresh = number > self.read_last
        self.read_last = max(self.read_last, number)
        return fresh

    def measured(self, tag: str, values: list[float]) -> None:
        asked, proven = self.metered.pop(tag, (None, 0))
        for command in [
            command for command, (place, _) in self.doubtful.items() if place <= proven
        ]:
            del self.doubtful[command]
        if tag == self.barrier and self.writer is not None:
            self.barrier, self.joined, self.served = "", True, True
            self.writer.post(*(text for _, text in self.doubtful.values()))
        if asked is not None and not asked.done():
            asked.set_result(values)

    def bad(self, values: list[str]) -> None:
        log.info("event=command-refused command=%s id=%s", values[0], " ".join(values[1:]))
        if len(values) > 1 and values[0] == "EXEC":
            self.doubtful.pop(("EXEC", values[1]), None)
            self.ended(values[1], End.BAD, 0, b"")
