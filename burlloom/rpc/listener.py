"""The listener, and bounds on what all its connections together may take."""

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
from . import wire
from .connection import Connection
from .incoming_request import IncomingRequest, RequestRules

log = logging.getLogger(__name__)

BACKLOG = 1024
POLL_INTERVAL_NS = 10 * NS_PER_MS
SWEEP_INTERVAL_NS = 250 * NS_PER_MS
FIRST_MESSAGE_TIMEOUT_NS = 1500 * NS_PER_MS  # from a connection's start to its first whole message
MESSAGE_TIMEOUT_NS = 1500 * NS_PER_MS  # from a message's first byte to its last
SHUTDOWN_TIMEOUT_NS = 1000 * NS_PER_MS  # until we close where the caller, asked to, does not
# Many callers check our health once and hold on; a prober that is let go connects again.
HEALTH_IDLE_TIMEOUT_NS = 3 * NS_PER_SECOND
DEFAULT_IDLE_TIMEOUT_NS = 15 * NS_PER_SECOND  # until the admission controller sets one
CROWDED_IDLE_TIMEOUT_NS = 2 * NS_PER_SECOND  # while the table of connections is nearly full
MAX_TOTAL_UNSENT_BYTES = 8 << 20
# A flood of new connections must not hold up those that are there.
MAX_ACCEPTS_PER_WAKE = 32


class RpcListener:
    """Accepts connections, hands their requests on, and closes those that have to go.

    Attributes:
        max_connections: How many there may be, with those being closed.
        connections: The open ones.
        closing: Orderly closes that are under way, the oldest first.
        is_draining: Whether callers are asked to close, and no new ones are met.
        idle_timeout_ns: How long a connection may idle.
        silent_connections: Those without a message when last looked at, the oldest first.
        evictable_connections: Others that may go for new ones, the first to go last; looked up
            once a flood.
        socket: The listening socket; None once it is closed.
    """

    def __init__(
        self,
        sock: socket.socket,
        rules: RequestRules,
        max_connections: int,
        supervisor: TaskSupervisor,
        clock: Callable[[], int],
        on_request: Callable[[IncomingRequest], None],
        on_request_lost: Callable[[IncomingRequest], None],
        is_serving: Callable[[str], bool],
        is_healthy: Callable[[], bool],
        load_report: Callable[[str], str],
    ) -> None:
        """Prepares the listener; `listen` and `run` start it.

        Args:
            sock: A bound socket.
            rules: What requests are checked against.
            max_connections: How many there may be.
            supervisor: Owner of the connections' tasks.
            clock: Returns Unix ns.
            on_request: Called with each request.
            on_request_lost: Called with each request that was open as its connection closed.
            is_serving: Returns whether an attempt with this id is open.
            is_healthy: Returns the answer to health checks.
            load_report: Returns the load report for a caller; empty before the first.
        """
        self.socket: socket.socket | None = sock
        self.rules, self.max_connections = rules, max_connections
        self.supervisor, self.clock = supervisor, clock
        self.on_request, self.on_request_lost = on_request, on_request_lost
        self.is_serving, self.is_healthy = is_serving, is_healthy
        self.load_report = load_report
        self.connections: set[Connection] = set()
        self.closing: dict[ConnectionClose, asyncio.Task[None]] = {}
        self.is_draining = False
        self.idle_timeout_ns = DEFAULT_IDLE_TIMEOUT_NS
        self.last_sweep_ns, self.has_skipped_sweep = clock(), False
        self.silent_connections: dict[Connection, None] = {}
        self.evictable_connections: list[Connection] = []

    @property
    def has_open_requests(self) -> bool:
        """Whether a connection has an open request, or an answer that waits to leave."""
        return not all(connection.is_idle for connection in self.connections)

    # What a connection asks for: `ConnectionOwner`.

    def response_fields(self, caller: str) -> dict[str, str]:
        """Returns the fields that an answer to this caller carries."""
        return wire.load_report_fields(self.load_report(caller))

    def connection_ended(self, connection: Connection) -> None:
        """Forgets a connection."""
        self.connections.discard(connection)
        self.silent_connections.pop(connection, None)

    def start_close(self, close: ConnectionClose) -> None:
        """Starts an orderly close, or closes at once where too much waits to leave in all.

        Callers that never read and are owed much would fill the memory.
        """
        unsent_bytes = close.writer.unsent_bytes
        unsent_bytes += sum(other.writer.unsent_bytes for other in self.closing)
        if unsent_bytes > MAX_TOTAL_UNSENT_BYTES:
            close.close_now()
            return

        def forget(_: asyncio.Task[None]) -> None:
            """Forgets the close, which is over."""
            self.closing.pop(close, None)

        task = self.closing[close] = self.supervisor.start(close.run(), "connection_close")
        task.add_done_callback(forget)

    async def poll_pause(self) -> None:
        """Waits a moment before a condition is looked at again."""
        await sleep_ns(POLL_INTERVAL_NS)

    # New connections.

    def listen(self) -> None:
        """Accepts connections from now on."""
        if self.socket is not None:
            self.socket.setblocking(False)
            self.socket.listen(BACKLOG)
            asyncio.get_running_loop().add_reader(self.socket, self.accept_waiting)

    def accept_waiting(self) -> None:
        """Accepts some of the connections that wait; called by the event loop.

        Not `sock_accept`: that takes one a wake, and a connection that it took as it is cancelled
        is lost.
        """
        if self.socket is not None and not self.accept_up_to(self.socket, MAX_ACCEPTS_PER_WAKE):
            loop = asyncio.get_running_loop()
            loop.remove_reader(self.socket)
            loop.call_later(POLL_INTERVAL_NS / NS_PER_SECOND, self.listen)

    def accept_up_to(self, listener: socket.socket, limit: int) -> bool:
        """Accepts at most `limit` connections; returns False where the next cannot be taken now."""
        for _ in range(limit):
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
                # No descriptor can be freed, or the peer is gone already: the next may fare better.
                log.warning("event=accept_failed detail=%r", error.strerror)
                return False
        return True

    def add_connection(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        """Takes a new connection, or closes it where the table is full and none can go."""
        count = len(self.connections) + len(self.closing)
        if count >= self.max_connections and not self.free_descriptor():
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
        """Closes one connection at once, if any may go; returns whether one did.

        First goes one that is being closed. Of those that are idle the silent go first, then the
        longest unused. None goes that has unread bytes.
        """
        for close, task in self.closing.items():
            del self.closing[close]
            task.cancel()
            close.close_now()
            return True
        return self.evict_silent() or self.evict_longest_unused()

    def evict_silent(self) -> bool:
        """Closes the oldest connection without a message; returns whether there was one."""
        for connection in list(self.silent_connections):
            if connection.has_received:
                del self.silent_connections[connection]
            elif not has_unread_bytes(connection.socket):
                connection.close_with_detail(CloseReason.CONNECTION_LIMIT)
                return True
        return False

    def evict_longest_unused(self) -> bool:
        """Closes the idle connection that was used the longest ago; returns whether one was."""
        for _ in range(2):  # with those found earlier, and once more with fresh ones
            while self.evictable_connections:
                connection = self.evictable_connections.pop()
                if (
                    connection.is_idle
                    and not connection.is_ended
                    and not has_unread_bytes(connection.socket)
                ):
                    connection.close_with_detail(CloseReason.CONNECTION_LIMIT)
                    return True
            self.evictable_connections = sorted(
                (one for one in self.connections if one.is_idle),
                key=lambda one: -one.last_used_ns,
            )
        return False

    # Connections that have to go.

    async def run(self) -> None:
        """Closes, for good, the connections that are over their limits."""
        while True:
            await sleep_ns(SWEEP_INTERVAL_NS)
            try:
                self.sweep()
            except Exception:
                # The next sweep is due all the same: without it no connection would ever go.
                log.exception("event=internal_error side=balancer")

    def sweep(self) -> None:
        """Closes connections that are silent, unfinished, idle or owed too much.

        After a pause of the machine one sweep is skipped: what came meanwhile is read first. Not
        two in a row: a process that is always this late would never let go of anybody.
        """
        now, previous = self.clock(), self.last_sweep_ns
        self.last_sweep_ns = now
        self.evictable_connections.clear()
        if now - previous > 2 * SWEEP_INTERVAL_NS and not self.has_skipped_sweep:
            self.has_skipped_sweep = True
            return
        self.has_skipped_sweep = False
        is_crowded = 4 * len(self.connections) > 3 * self.max_connections
        idle_timeout_ns = self.idle_timeout_ns
        if is_crowded:
            idle_timeout_ns = min(idle_timeout_ns, CROWDED_IDLE_TIMEOUT_NS)
        for connection in list(self.connections):
            self.check_connection(connection, now, idle_timeout_ns)
        self.close_most_owed()

    def check_connection(self, connection: Connection, now: int, idle_timeout_ns: int) -> None:
        """Closes one connection where it is over its limits, or asks its caller to."""
        if connection.partial_since_ns and now - connection.partial_since_ns > MESSAGE_TIMEOUT_NS:
            started_ns = connection.partial_since_ns
            connection.read_remaining()
            if connection.partial_since_ns == started_ns:
                connection.close_with_detail(CloseReason.MESSAGE_TIMEOUT)
        elif not connection.is_idle:
            return
        elif not connection.has_received:
            self.check_silent(connection, now)
        elif connection.is_shutdown_sent:
            self.check_asked_to_close(connection, now)
        else:
            if connection.is_health_only:
                idle_timeout_ns = HEALTH_IDLE_TIMEOUT_NS
            if now - connection.last_used_ns > idle_timeout_ns:
                connection.request_shutdown(now)

    def check_silent(self, connection: Connection, now: int) -> None:
        """Closes a connection on which no message has come in time.

        One whose first bytes have come is not silent, though they came late.
        """
        if now - connection.last_used_ns <= FIRST_MESSAGE_TIMEOUT_NS:
            return
        connection.read_remaining()
        if not connection.has_received:
            reason = CloseReason.FIRST_MESSAGE_TIMEOUT
            if connection.partial_since_ns:
                reason = CloseReason.MESSAGE_TIMEOUT
            connection.close_with_detail(reason)

    def check_asked_to_close(self, connection: Connection, now: int) -> None:
        """Closes a connection whose caller was asked to and did not in time."""
        since = max(connection.shutdown_sent_ns, connection.last_used_ns)
        is_late = now - since > SHUTDOWN_TIMEOUT_NS and not connection.partial_since_ns
        if is_late and not has_unread_bytes(connection.socket):
            reason = CloseReason.SHUTDOWN if self.is_draining else CloseReason.IDLE_TIMEOUT
            connection.close_with_detail(reason)

    def close_most_owed(self) -> None:
        """Closes the connections that are owed most until all together are within the bound."""
        unsent_bytes = sum(one.writer.unsent_bytes for one in self.connections)
        if unsent_bytes <= MAX_TOTAL_UNSENT_BYTES:
            return
        for connection in sorted(self.connections, key=lambda one: -one.writer.unsent_bytes):
            if unsent_bytes > MAX_TOTAL_UNSENT_BYTES:
                unsent_bytes -= connection.writer.unsent_bytes
                connection.close_with_detail(CloseReason.SLOW_CONSUMER)

    # The end.

    def start_drain(self) -> None:
        """Accepts who had connected, stops listening, and asks all callers to close.

        What they send until then is still answered.
        """
        self.is_draining = True
        if self.socket is not None:
            asyncio.get_running_loop().remove_reader(self.socket)
            # Nothing may come between this and the close.
            self.accept_up_to(self.socket, BACKLOG)
            self.socket.close()
            self.socket = None
        now = self.clock()
        for connection in self.connections:
            connection.request_shutdown(now)

    async def close(self, timeout_ns: int) -> None:
        """Ends a drain: answers what is unread, and closes all connections in good order.

        Args:
            timeout_ns: How long the closes may take.
        """
        for connection in list(self.connections):
            connection.read_remaining()
        await asyncio.sleep(0)  # answers leave at the end of a turn of the event loop
        for connection in list(self.connections):
            connection.close_with_detail(CloseReason.SHUTDOWN)
        if self.closing:
            await asyncio.wait(
                list(self.closing.values()), timeout=max(0, timeout_ns) / NS_PER_SECOND
            )


def has_pending_connection(listener: socket.socket) -> bool:
    """Returns whether a connection waits to be accepted."""
    poll = select.poll()
    poll.register(listener, select.POLLIN)
    return bool(poll.poll(0))
