"""The listener, and what all its connections together may take."""

import asyncio
import logging
import select
import socket
from collections.abc import Callable

from ..sockets import MS, SECOND, Parting, Reason, Tasks, out_of_descriptors, ready, rest, unread
from .connection import Connection
from .requests import IncomingRequest, Known

log = logging.getLogger(__name__)

BACKLOG = 1024
MOMENT = 10 * MS
SWEEP = 250 * MS  # between looks at what has come to nothing
SILENT_MOST = 1500 * MS  # from a connection's start to its first whole message
PARTIAL_MOST = 1500 * MS  # for a message, from its first byte to its last
DEAF_MOST = 1000 * MS  # from `shutdown` to our close, where the other side doesn't see to it
HEALTH_IDLE = (
    3 * SECOND
)  # many ask for health once and hold on; a prober that is let go connects again
IDLE = 15 * SECOND  # until the decisions say
PINCHED_IDLE = 2 * SECOND  # while the table is nearly full
UNSENT_IN_ALL = 8 << 20
# at one wake: a flood of newcomers must not hold up who is already here, nor outrun the table
ACCEPT_MOST = 32


class Front:
    """Accepts connections, hands each request that is read to `request`, and asks the rest of the
    server.
    """

    def __init__(
        self,
        listener: socket.socket,
        known: Known,
        most: int,
        tasks: Tasks,
        clock: Callable[[], int],
        request: Callable[[IncomingRequest], None],
        lost: Callable[[IncomingRequest], None],
        serves: Callable[[str], bool],
        good: Callable[[], bool],
        said: Callable[[str], str],
    ) -> None:
        self.known, self.most, self.tasks, self.clock = known, most, tasks, clock
        self.request, self.lost, self.serves, self.good, self.said = (
            request,
            lost,
            serves,
            good,
            said,
        )
        self.connections: set[Connection] = set()
        self.partings: dict[Parting, asyncio.Task[None]] = {}  # closes under way, the oldest first
        self.leaving = False
        self.idle = IDLE
        self.swept, self.passed_over = clock(), False
        self.silent: dict[
            Connection, None
        ] = {}  # that had not spoken when last looked at, the oldest first
        self.spare: list[
            Connection
        ] = []  # others that may go for newcomers, the first last; looked up once a flood
        self.listener: socket.socket | None = listener

    def told(self, caller: str) -> dict[str, str]:
        said = self.said(caller)
        return {"say": said} if said else {}

    def ended(self, connection: Connection) -> None:
        self.connections.discard(connection)
        self.silent.pop(connection, None)

    def parting(self, parting: Parting) -> None:
        if parting.writer.size + sum(other.writer.size for other in self.partings) > UNSENT_IN_ALL:
            # against those who never read and are owed much: closes under way would fill the memory
            parting.over()
            return
        task = self.partings[parting] = self.tasks.start(parting.run(), "parting")
        task.add_done_callback(lambda _: self.partings.pop(parting, None) and None)

    async def moment(self) -> None:
        await rest(MOMENT)

    def listen(self) -> None:
        if self.listener is not None:
            self.listener.setblocking(False)
            self.listener.listen(BACKLOG)
            asyncio.get_running_loop().add_reader(self.listener, self.accept)

    def accept(self) -> None:
        # Not `sock_accept`: one call a wake, and a connection it took in as it is cancelled is lost
        # unseen.
        if self.listener is not None and not self.take_in(self.listener, ACCEPT_MOST):
            loop = asyncio.get_running_loop()
            loop.remove_reader(self.listener)
            loop.call_later(MOMENT / SECOND, self.listen)

    def take_in(self, listener: socket.socket, most: int) -> bool:
        """Those that wait there, `most` of them; false if the next can't be taken now."""
        for _ in range(most):
            try:
                self.met(*listener.accept())
            except BlockingIOError:
                break
            except OSError as error:
                if out_of_descriptors(error):
                    # The system asks for a descriptor before it looks whether anybody waits.
                    if not waited_for(listener):
                        break
                    if self.make_room():
                        continue
                # All are in use, or the peer was gone before it was met: the next may fare better.
                log.warning("event=accept-failed detail=%r", error.strerror)
                return False
        return True

    def met(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        if len(self.connections) + len(self.partings) >= self.most and not self.make_room():
            log.info(
                "event=connection-ended side=balancer peer=%s:%d reason=%s",
                *peer,
                Reason.FULL.value,
            )
            sock.close()
            return
        connection = Connection(self, ready(sock), f"{peer[0]}:{peer[1]}")
        self.connections.add(connection)
        self.silent[connection] = None
        connection.reader = self.tasks.start(connection.serve(), "connection")
        if self.leaving:
            connection.shut(self.clock())

    def make_room(self) -> bool:
        """No descriptor is left, or none that balancers may have: one is freed at once, if any can
        be.

        First goes what is on its way out. Of those that nobody waits on, the silent go first, then
        the longest unused; nobody goes whose bytes lie unread.
        """
        for parting, task in self.partings.items():
            del self.partings[parting]
            task.cancel()
            parting.over()
            return True
        for one in list(self.silent):
            if one.heard:
                del self.silent[one]
            elif not unread(one.sock):
                one.stop(Reason.FULL)
                return True
        for _ in range(2):
            while self.spare:
                one = self.spare.pop()
                if one.bare and not one.ended and not unread(one.sock):
                    one.stop(Reason.FULL)
                    return True
            self.spare = sorted(
                (one for one in self.connections if one.bare), key=lambda one: -one.used
            )
        return False

    async def keep(self) -> None:
        """Lets go, in time, of whoever says nothing, never finishes, holds on for good or never
        reads.
        """
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
            # After a pause of the machine, what came or was to come meanwhile is read first. Not
            # twice in a row: a process that is always this late would never let go of anybody.
            self.passed_over = True
            return
        self.passed_over = False
        idle = (
            min(self.idle, PINCHED_IDLE) if 4 * len(self.connections) > 3 * self.most else self.idle
        )
        for one in list(self.connections):
            if one.partial_since and now - one.partial_since > PARTIAL_MOST:
                began = one.partial_since
                one.last_call()
                if one.partial_since == began:
                    one.stop(Reason.UNFINISHED)
            elif not one.bare:
                continue
            elif not one.heard:
                if now - one.used > SILENT_MOST:
                    one.last_call()
                    if not one.heard:
                        # One that has begun to speak is not silent, though its first bytes came
                        # after it connected.
                        one.stop(Reason.UNFINISHED if one.partial_since else Reason.SILENT)
            elif one.told_shutdown:
                late = now - max(one.told_at, one.used) > DEAF_MOST and not one.partial_since
                if late and not unread(one.sock):
                    one.stop(Reason.LEAVING if self.leaving else Reason.IDLE)
            elif now - one.used > (HEALTH_IDLE if one.health_only else idle):
                one.shut(now)
        owed = sum(one.writer.size for one in self.connections)
        for one in (
            sorted(self.connections, key=lambda one: -one.writer.size)
            if owed > UNSENT_IN_ALL
            else ()
        ):
            if owed > UNSENT_IN_ALL:
                owed -= one.writer.size
                one.stop(Reason.NOT_READING)

    def leave(self) -> None:
        """Takes in whoever was already connected, then listens no more; what is written is still
        answered.
        """
        self.leaving = True
        if self.listener is not None:
            asyncio.get_running_loop().remove_reader(self.listener)
            self.take_in(
                self.listener, BACKLOG
            )  # nothing may come between its last look and the close
            self.listener.close()
            self.listener = None
        now = self.clock()
        for connection in self.connections:
            connection.shut(now)

    async def close(self, most: int) -> None:
        """The last of a drain: what lies unread is still answered, and every connection ends in
        good order.
        """
        for connection in list(self.connections):
            connection.last_call()
        await asyncio.sleep(0)  # answers leave at the end of a turn of the loop
        for connection in list(self.connections):
            connection.stop(Reason.LEAVING)
        if self.partings:
            await asyncio.wait(list(self.partings.values()), timeout=max(0, most) / SECOND)

    @property
    def busy(self) -> bool:
        return not all(connection.bare for connection in self.connections)


def waited_for(listener: socket.socket) -> bool:
    look = select.poll()
    look.register(listener, select.POLLIN)
    return bool(look.poll(0))
