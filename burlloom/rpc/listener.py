"""The listener, and what all its connections together may take."""

import asyncio
import logging
import select
import socket
from collections.abc import Callable

from ..sockets import (
    NS_PER_MS,
    NS_PER_SECOND,
    CloseReason,
    ConnectionClose,
    TaskSupervisor,
    configure_socket,
    has_unread_bytes,
    is_out_of_descriptors,
    sleep_ns,
)
from .connection import Connection
from .incoming_request import IncomingRequest, RequestRules

log = logging.getLogger(__name__)

BACKLOG = 1024
POLL_INTERVAL_NS = 10 * NS_PER_MS
SWEEP_INTERVAL_NS = 250 * NS_PER_MS  # between looks at what has come to nothing
FIRST_MESSAGE_TIMEOUT_NS = 1500 * NS_PER_MS  # from a connection's start to its first whole message
MESSAGE_TIMEOUT_NS = 1500 * NS_PER_MS  # for a message, from its first byte to its last
SHUTDOWN_TIMEOUT_NS = (
    1000 * NS_PER_MS
)  # from `shutdown` to our close, where the other side doesn't see to it
HEALTH_IDLE_TIMEOUT_NS = (
    3 * NS_PER_SECOND
)  # many ask for health once and hold on; a prober that is let go connects again
DEFAULT_IDLE_TIMEOUT_NS = 15 * NS_PER_SECOND  # until the decisions say
CROWDED_IDLE_TIMEOUT_NS = 2 * NS_PER_SECOND  # while the table is nearly full
MAX_TOTAL_UNSENT_BYTES = 8 << 20
# at one wake: a flood of newcomers must not hold up who is already here, nor outrun the table
MAX_ACCEPTS_PER_WAKE = 32


class RpcListener:
    """Accepts connections, hands each request that is read to `request`, and asks the rest of the
    server.
    """

    def __init__(
        self,
        listener: socket.socket,
        known: RequestRules,
        most: int,
        tasks: TaskSupervisor,
        clock: Callable[[], int],
        request: Callable[[IncomingRequest], None],
        lost: Callable[[IncomingRequest], None],
        serves: Callable[[str], bool],
        good: Callable[[], bool],
        said: Callable[[str], str],
    ) -> None:
        self.rules, self.max_connections, self.supervisor, self.clock = known, most, tasks, clock
        (
            self.on_request,
            self.on_request_lost,
            self.is_serving,
            self.is_healthy,
            self.load_report,
        ) = (
            request,
            lost,
            serves,
            good,
            said,
        )
        self.connections: set[Connection] = set()
        self.closing: dict[
            ConnectionClose, asyncio.Task[None]
        ] = {}  # closes under way, the oldest first
        self.is_draining = False
        self.idle_timeout_ns = DEFAULT_IDLE_TIMEOUT_NS
        self.last_sweep_ns, self.has_skipped_sweep = clock(), False
        self.silent_connections: dict[
            Connection, None
        ] = {}  # that had not spoken when last looked at, the oldest first
        self.evictable_connections: list[
            Connection
        ] = []  # others that may go for newcomers, the first last; looked up once a flood
        self.socket: socket.socket | None = listener

    def response_fields(self, caller: str) -> dict[str, str]:
        said = self.load_report(caller)
        return {"say": said} if said else {}

    def connection_ended(self, connection: Connection) -> None:
        self.connections.discard(connection)
        self.silent_connections.pop(connection, None)

    def start_close(self, parting: ConnectionClose) -> None:
        if (
            parting.writer.unsent_bytes + sum(other.writer.unsent_bytes for other in self.closing)
            > MAX_TOTAL_UNSENT_BYTES
        ):
            # against those who never read and are owed much: closes under way would fill the memory
            parting.close_now()
            return
        task = self.closing[parting] = self.supervisor.start(parting.run(), "parting")
        task.add_done_callback(lambda _: self.closing.pop(parting, None) and None)

    async def poll_pause(self) -> None:
        await sleep_ns(POLL_INTERVAL_NS)

    def listen(self) -> None:
        if self.socket is not None:
            self.socket.setblocking(False)
            self.socket.listen(BACKLOG)
            asyncio.get_running_loop().add_reader(self.socket, self.accept_waiting)

    def accept_waiting(self) -> None:
        # Not `sock_accept`: one call a wake, and a connection it took in as it is cancelled is lost
        # unseen.
        if self.socket is not None and not self.accept_up_to(self.socket, MAX_ACCEPTS_PER_WAKE):
            loop = asyncio.get_running_loop()
            loop.remove_reader(self.socket)
            loop.call_later(POLL_INTERVAL_NS / NS_PER_SECOND, self.listen)

    def accept_up_to(self, listener: socket.socket, most: int) -> bool:
        """Those that wait there, `most` of them; false if the next can't be taken now."""
        for _ in range(most):
            try:
                self.add_connection(*listener.accept())
            except BlockingIOError:
                break
            except OSError as error:
                if is_out_of_descriptors(error):
                    # The system asks for a descriptor before it looks whether anybody waits.
                    if not has_pending_connection(listener):
                        break
                    if self.free_descriptor():
                        continue
                # All are in use, or the peer was gone before it was met: the next may fare better.
                log.warning("event=accept_failed detail=%r", error.strerror)
                return False
        return True

    def add_connection(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        if (
            len(self.connections) + len(self.closing) >= self.max_connections
            and not self.free_descriptor()
        ):
            log.info(
                "event=connection_closed side=balancer peer=%s:%d reason=%s",
                *peer,
                CloseReason.CONNECTION_LIMIT.value,
            )
            sock.close()
            return
        connection = Connection(self, configure_socket(sock), f"{peer[0]}:{peer[1]}")
        self.connections.add(connection)
        self.silent_connections[connection] = None
        connection.reader_task = self.supervisor.start(connection.run(), "connection")
        if self.is_draining:
            connection.request_shutdown(self.clock())

    def free_descriptor(self) -> bool:
        """No descriptor is left, or none that balancers may have: one is freed at once, if any can
        be.

        First goes what is on its way out. Of those that nobody waits on, the silent go first, then
        the longest unused; nobody goes whose bytes lie unread.
        """
        for parting, task in self.closing.items():
            del self.closing[parting]
            task.cancel()
            parting.close_now()
            return True
        for one in list(self.silent_connections):
            if one.has_received:
                del self.silent_connections[one]
            elif not has_unread_bytes(one.socket):
                one.close_with_detail(CloseReason.CONNECTION_LIMIT)
                return True
        for _ in range(2):
            while self.evictable_connections:
                one = self.evictable_connections.pop()
                if one.is_idle and not one.is_ended and not has_unread_bytes(one.socket):
                    one.close_with_detail(CloseReason.CONNECTION_LIMIT)
                    return True
            self.evictable_connections = sorted(
                (one for one in self.connections if one.is_idle), key=lambda one: -one.last_used_ns
            )
        return False

    async def run(self) -> None:
        """Lets go, in time, of whoever says nothing, never finishes, holds on for good or never
        reads.
        """
        while True:
            await sleep_ns(SWEEP_INTERVAL_NS)
            try:
                self.sweep()
            except Exception:
                log.exception("event=internal_error side=balancer")

    def sweep(self) -> None:
        now, before = self.clock(), self.last_sweep_ns
        self.last_sweep_ns = now
        self.evictable_connections.clear()
        if now - before > 2 * SWEEP_INTERVAL_NS and not self.has_skipped_sweep:
            # After a pause of the machine, what came or was to come meanwhile is read first. Not
            # twice in a row: a process that is always this late would never let go of anybody.
            self.has_skipped_sweep = True
            return
        self.has_skipped_sweep = False
        idle = (
            min(self.idle_timeout_ns, CROWDED_IDLE_TIMEOUT_NS)
            if 4 * len(self.connections) > 3 * self.max_connections
            else self.idle_timeout_ns
        )
        for one in list(self.connections):
            if one.partial_since_ns and now - one.partial_since_ns > MESSAGE_TIMEOUT_NS:
                began = one.partial_since_ns
                one.read_remaining()
                if one.partial_since_ns == began:
                    one.close_with_detail(CloseReason.MESSAGE_TIMEOUT)
            elif not one.is_idle:
                continue
            elif not one.has_received:
                if now - one.last_used_ns > FIRST_MESSAGE_TIMEOUT_NS:
                    one.read_remaining()
                    if not one.has_received:
                        # One that has begun to speak is not silent, though its first bytes came
                        # after it connected.
                        one.close_with_detail(
                            CloseReason.MESSAGE_TIMEOUT
                            if one.partial_since_ns
                            else CloseReason.FIRST_MESSAGE_TIMEOUT
                        )
            elif one.is_shutdown_sent:
                late = (
                    now - max(one.shutdown_sent_ns, one.last_used_ns) > SHUTDOWN_TIMEOUT_NS
                    and not one.partial_since_ns
                )
                if late and not has_unread_bytes(one.socket):
                    one.close_with_detail(
                        CloseReason.SHUTDOWN if self.is_draining else CloseReason.IDLE_TIMEOUT
                    )
            elif now - one.last_used_ns > (HEALTH_IDLE_TIMEOUT_NS if one.is_health_only else idle):
                one.request_shutdown(now)
        owed = sum(one.writer.unsent_bytes for one in self.connections)
        for one in (
            sorted(self.connections, key=lambda one: -one.writer.unsent_bytes)
            if owed > MAX_TOTAL_UNSENT_BYTES
            else ()
        ):
            if owed > MAX_TOTAL_UNSENT_BYTES:
                owed -= one.writer.unsent_bytes
                one.close_with_detail(CloseReason.SLOW_CONSUMER)

    def start_drain(self) -> None:
        """Takes in whoever was already connected, then listens no more; what is written is still
        answered.
        """
        self.is_draining = True
        if self.socket is not None:
            asyncio.get_running_loop().remove_reader(self.socket)
            self.accept_up_to(
                self.socket, BACKLOG
            )  # nothing may come between its last look and the close
            self.socket.close()
            self.socket = None
        now = self.clock()
        for connection in self.connections:
            connection.request_shutdown(now)

    async def close(self, most: int) -> None:
        """The last of a drain: what lies unread is still answered, and every connection ends in
        good order.
        """
        for connection in list(self.connections):
            connection.read_remaining()
        await asyncio.sleep(0)  # answers leave at the end of a turn of the loop
        for connection in list(self.connections):
            connection.close_with_detail(CloseReason.SHUTDOWN)
        if self.closing:
            await asyncio.wait(list(self.closing.values()), timeout=max(0, most) / NS_PER_SECOND)

    @property
    def has_open_requests(self) -> bool:
        return not all(connection.is_idle for connection in self.connections)


def has_pending_connection(listener: socket.socket) -> bool:
    look = select.poll()
    look.register(listener, select.POLLIN)
    return bool(look.poll(0))
