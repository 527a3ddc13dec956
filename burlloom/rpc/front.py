"""The listener, and what all its connections together may take."""

import asyncio
import logging
import socket
from collections.abc import Callable, Coroutine
from typing import Any

from ..sockets import MS, SECOND, Reason, Tasks, ready, rest, unread
from .connection import Connection
from .txns import Asked, Known

log = logging.getLogger(__name__)

BACKLOG = 1024
MOMENT = 10 * MS
SWEEP = 250 * MS  # between looks at what has come to nothing
SILENT_MOST = 1500 * MS  # from a connection's start to its first whole message
PARTIAL_MOST = 1500 * MS  # for a message, from its first byte to its last
DEAF_MOST = 1000 * MS  # from `shutdown` to our close, where the other side doesn't see to it
HEALTH_IDLE = 3 * SECOND  # many ask for health once and hold on; a prober that is let go connects again
IDLE = 15 * SECOND  # until the decisions say
PINCHED_IDLE = 2 * SECOND  # while the table is nearly full
UNSENT_IN_ALL = 8 << 20
ACCEPT_MOST = 32  # at one wake: a flood of newcomers must not hold up who is already here, nor outrun the table


class Front:
    """Accepts connections, hands each txn that is read to `txn`, and asks the rest of the server."""

    def __init__(self, listener: socket.socket, known: Known, most: int, tasks: Tasks,
                 clock: Callable[[], int], txn: Callable[[Asked], None], lost: Callable[[Asked], None],
                 serves: Callable[[str], bool], good: Callable[[], bool], said: Callable[[str], str]) -> None:
        self.known, self.most, self.tasks, self.clock = known, most, tasks, clock
        self.txn, self.lost, self.serves, self.good, self.said = txn, lost, serves, good, said
        self.connections: set[Connection] = set()
        self.partings: dict[asyncio.Task[None], None] = {}  # closes under way, the oldest first
        self.leaving = False
        self.idle = IDLE
        self.swept, self.passed_over = clock(), False
        self.spare: list[Connection] = []  # that may go for newcomers, the first last; looked up once a flood
        self.listener: socket.socket | None = listener

    def told(self, caller: str) -> dict[str, str]:
        said = self.said(caller)
        return {"say": said} if said else {}

    def ended(self, connection: Connection) -> None:
        self.connections.discard(connection)

    def parting(self, ending: Coroutine[Any, Any, None]) -> None:
        task = self.tasks.start(ending, "parting")
        self.partings[task] = None
        task.add_done_callback(lambda done: self.partings.pop(done, None) and None)

    async def moment(self) -> None:
        await rest(MOMENT)

    def listen(self) -> None:
        if self.listener is not None:
            self.listener.setblocking(False)
            self.listener.listen(BACKLOG)
            asyncio.get_running_loop().add_reader(self.listener, self.accept)

    def accept(self) -> None:
        # Not `sock_accept`: one call a wake, and a connection it took in as it is cancelled is lost unseen.
        if self.listener is not None and not self.take_in(self.listener, ACCEPT_MOST):
            loop = asyncio.get_running_loop()
            loop.remove_reader(self.listener)
            loop.call_later(MOMENT / SECOND, self.listen)

    def take_in(self, listener: socket.socket, most: int) -> bool:
        """Those that wait there, `most` of them; false if the next can't be taken now."""
        try:
            for _ in range(most):
                self.met(*listener.accept())
        except BlockingIOError:
            pass
        except OSError as error:
            # Out of descriptors, or a peer that was gone before it was met: the next may fare better.
            log.warning("event=accept-failed detail=%r", error.strerror)
            return False
        return True

    def met(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        if len(self.connections) + len(self.partings) >= self.most and not self.make_room():
            log.info("event=connection-ended side=balancer peer=%s:%d reason=%s", *peer, Reason.FULL.value)
            sock.close()
            return
        connection = Connection(self, ready(sock), f"{peer[0]}:{peer[1]}")
        self.connections.add(connection)
        connection.reader = self.tasks.start(connection.serve(), "connection")
        if self.leaving:
            connection.shut(self.clock())

    def make_room(self) -> bool:
        """The table is full: of those that nobody waits on, the silent go first, then the longest unused."""
        for task in self.partings:
            del self.partings[task]
            task.cancel()
            return True
        for _ in range(2):
            while self.spare:
                one = self.spare.pop()
                if one.bare and not one.ended and not unread(one.sock):
                    one.stop(Reason.FULL)
                    return True
            bare = [one for one in self.connections if one.bare]
            self.spare = sorted(bare, key=lambda one: (one.heard, one.used), reverse=True)
        return False

    async def keep(self) -> None:
        """Lets go, in time, of whoever says nothing, never finishes, holds on for good or never reads."""
        while True:
            await rest(SWEEP)
            try:
                self.sweep()
            except Exception:
                log.exception("event=fault side=balancers")

    def sweep(self) -> None:
        now, before = self.clock(), self.swept
        self.swept = now
        self.spare.clear()
        if now - before > 2 * SWEEP and not self.passed_over:
            # After a pause of the machine, what came or was to come meanwhile is read first. Not twice in a row:
            # a process that is always this late would never let go of anybody.
            self.passed_over = True
            return
        self.passed_over = False
        idle = min(self.idle, PINCHED_IDLE) if 4 * len(self.connections) > 3 * self.most else self.idle
        for one in list(self.connections):
            if one.partial_since and now - one.partial_since > PARTIAL_MOST:
                if now - one.partial_since > 2 * PARTIAL_MOST or not unread(one.sock):
                    one.stop(Reason.UNFINISHED)
            elif not one.bare:
                continue
            elif not one.heard:
                if now - one.used > SILENT_MOST and not unread(one.sock):
                    # One that has begun to speak is not silent, though its first bytes came after it connected.
                    one.stop(Reason.UNFINISHED if one.partial_since else Reason.SILENT)
            elif one.told_shutdown:
                late = now - max(one.told_at, one.used) > DEAF_MOST and not one.partial_since
                if late and not unread(one.sock):
                    one.stop(Reason.LEAVING if self.leaving else Reason.IDLE)
            elif now - one.used > (HEALTH_IDLE if one.health_only else idle):
                one.shut(now)
        owed = sum(one.writer.size for one in self.connections)
        for one in sorted(self.connections, key=lambda one: -one.writer.size) if owed > UNSENT_IN_ALL else ():
            if owed > UNSENT_IN_ALL:
                owed -= one.writer.size
                one.stop(Reason.NOT_READING)

    def leave(self) -> None:
        """Takes in whoever was already connected, then listens no more; what is written is still answered."""
        self.leaving = True
        if self.listener is not None:
            asyncio.get_running_loop().remove_reader(self.listener)
            self.take_in(self.listener, BACKLOG)  # nothing may come between its last look and the close
            self.listener.close()
            self.listener = None
        now = self.clock()
        for connection in self.connections:
            connection.shut(now)

    async def close(self, most: int) -> None:
        """The last of a drain: what lies unread is still answered, and every connection ends in good order."""
        for connection in list(self.connections):
            connection.last_call()
        await asyncio.sleep(0)  # answers leave at the end of a turn of the loop
        for connection in list(self.connections):
            connection.stop(Reason.LEAVING)
        if self.partings:
            await asyncio.wait(list(self.partings), timeout=max(0, most) / SECOND)

    @property
    def busy(self) -> bool:
        return not all(connection.bare for connection in self.connections)
