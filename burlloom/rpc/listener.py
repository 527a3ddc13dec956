"""Accepts callers' connections, and bounds the resources that all of them together use."""

import asyncio
import logging
import select
import socket
from collections.abc import Callable

from ..sockets import (
    CloseReason,
    ConnectionClose,
    TaskSupervisor,
    configure_socket,
    has_unread_bytes,
    is_out_of_descriptors,
    sleep_ns,
)
from ..time_units import NS_PER_MS, NS_PER_SECOND
from . import wire
from .connection import Connection
from .connection_sweeper import MAX_TOTAL_UNSENT_BYTES, ConnectionSweeper
from .incoming_request import IncomingRequest, RequestRules

log = logging.getLogger(__name__)

BACKLOG = 1024  # connections that the kernel queues until they are accepted
POLL_INTERVAL_NS = 10 * NS_PER_MS
DEFAULT_IDLE_TIMEOUT_NS = 15 * NS_PER_SECOND  # until the admission controller sets one
# A flood of new connections must not delay the existing ones.
MAX_ACCEPTS_PER_WAKE = 32


class RpcListener:
    """Accepts connections, hands their requests on, and closes connections over their limits.

    Attributes:
        max_connections: How many connections there may be, including those being closed.
        connections: The open connections.
        closing: The task of each orderly close in progress, the oldest first.
        is_draining: Whether callers are asked to close and no new connections are accepted.
        idle_timeout_ns: How long a connection may be idle before its caller is asked to close.
        silent_connections: Connections that had received no message when last checked, the oldest
            first.
        evictable_connections: Idle connections that may be closed in favour of new ones, the
            longest unused at the end. Refilled only when empty, as sorting for each new connection
            of a flood would cost too much.
        sweeper: Closes connections over their limits.
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
            rules: Rules that each request is checked against.
            max_connections: How many connections there may be, including those being closed.
            supervisor: Owner of the connections' tasks.
            clock: Returns the current time, Unix ns.
            on_request: Called with each valid request.
            on_request_lost: Called with each request that was open when its connection closed.
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
        self.silent_connections: dict[Connection, None] = {}
        self.evictable_connections: list[Connection] = []
        self.sweeper = ConnectionSweeper(self)

    @property
    def has_open_requests(self) -> bool:
        """Whether any connection has an open request or an unsent answer."""
        return not all(connection.is_idle for connection in self.connections)

    # Methods of `ConnectionOwner`, called by the connections.

    def response_fields(self, caller: str) -> dict[str, str]:
        """Returns the fields that an answer to this caller carries."""
        return wire.load_report_fields(self.load_report(caller))

    def connection_ended(self, connection: Connection) -> None:
        """Removes a closed connection from the tables."""
        self.connections.discard(connection)
        self.silent_connections.pop(connection, None)

    def start_close(self, close: ConnectionClose) -> None:
        """Starts an orderly close, or closes at once where the closes have too many unsent bytes.

        The unsent answers of callers that never read would fill the memory.
        """
        unsent_bytes = close.writer.unsent_bytes
        unsent_bytes += sum(other.writer.unsent_bytes for other in self.closing)
        if unsent_bytes > MAX_TOTAL_UNSENT_BYTES:
            close.close_now()
            return

        def remove_close(_: asyncio.Task[None]) -> None:
            """Removes the finished close."""
            self.closing.pop(close, None)

        task = self.closing[close] = self.supervisor.start(close.run(), "connection_close")
        task.add_done_callback(remove_close)

    async def poll_pause(self) -> None:
        """Waits one polling interval."""
        await sleep_ns(POLL_INTERVAL_NS)

    # Methods that accept connections and make room for them.

    def listen(self) -> None:
        """Starts to accept connections."""
        if self.socket is not None:
            self.socket.setblocking(False)
            self.socket.listen(BACKLOG)
            asyncio.get_running_loop().add_reader(self.socket, self.accept_waiting)

    def accept_waiting(self) -> None:
        """Accepts pending connections, up to a limit; called by the event loop.

        Does not use `sock_accept`, which accepts one connection per wake-up and loses a connection
        that it accepts while it is cancelled.
        """
        if self.socket is not None and not self.accept_up_to(self.socket, MAX_ACCEPTS_PER_WAKE):
            loop = asyncio.get_running_loop()
            loop.remove_reader(self.socket)
            loop.call_later(POLL_INTERVAL_NS / NS_PER_SECOND, self.listen)

    def accept_up_to(self, listener: socket.socket, limit: int) -> bool:
        """Accepts at most `limit` connections; returns False where `accept` failed."""
        for _ in range(limit):
            try:
                self.add_connection(*listener.accept())
            except BlockingIOError:
                break
            except OSError as error:
                if is_out_of_descriptors(error):
                    # `accept` needs a descriptor before it checks whether a connection is
                    # pending, so the error alone does not show that one is.
                    if not has_pending_connection(listener):
                        break
                    if self.free_descriptor():
                        continue
                # No descriptor can be freed, or the peer is already gone. A later attempt may
                # succeed.
                log.warning("event=accept_failed detail=%r", error.strerror)
                return False
        return True

    def add_connection(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        """Adds a new connection; closes it if the limit is reached and none can be evicted."""
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
        """Closes one connection at once to free its descriptor; returns whether one was closed.

        The order is: the oldest orderly close in progress, the oldest silent connection, the idle
        connection that was unused the longest. A connection with unread bytes is not evicted.
        """
        for close, task in self.closing.items():
            del self.closing[close]
            task.cancel()
            close.close_now()
            return True
        return self.evict_silent() or self.evict_longest_unused()

    def evict_silent(self) -> bool:
        """Closes the oldest connection that has received no message; returns whether one was."""
        for connection in list(self.silent_connections):
            if connection.has_received:
                del self.silent_connections[connection]
            elif not has_unread_bytes(connection.socket):
                connection.close_with_detail(CloseReason.CONNECTION_LIMIT)
                return True
        return False

    def evict_longest_unused(self) -> bool:
        """Closes the idle connection that was unused the longest; returns whether one was."""
        for _ in range(2):  # with the connections found earlier, then with a new search
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
                (connection for connection in self.connections if connection.is_idle),
                key=lambda connection: -connection.last_used_ns,
            )
        return False

    # Methods that end the listener.

    def start_drain(self) -> None:
        """Accepts all pending connections, stops listening, and asks all callers to close.

        Requests that they send until their connections close are still answered.
        """
        self.is_draining = True
        if self.socket is not None:
            asyncio.get_running_loop().remove_reader(self.socket)
            # No await may come between accepting the pending connections and closing the socket.
            self.accept_up_to(self.socket, BACKLOG)
            self.socket.close()
            self.socket = None
        now_ns = self.clock()
        for connection in self.connections:
            connection.request_shutdown(now_ns)

    async def close(self, timeout_ns: int) -> None:
        """Ends a drain: answers the requests that are unread, and closes all connections orderly.

        Args:
            timeout_ns: How long to wait for the orderly closes.
        """
        for connection in list(self.connections):
            connection.read_remaining()
        await asyncio.sleep(0)  # answers are sent at the end of an iteration of the event loop
        for connection in list(self.connections):
            connection.close_with_detail(CloseReason.SHUTDOWN)
        if self.closing:
            await asyncio.wait(
                list(self.closing.values()), timeout=max(0, timeout_ns) / NS_PER_SECOND
            )


def has_pending_connection(listener: socket.socket) -> bool:
    """Returns whether a connection is waiting to be accepted."""
    poll = select.poll()
    poll.register(listener, select.POLLIN)
    return bool(poll.poll(0))
