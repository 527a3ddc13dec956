"""Closes callers' connections that are silent, stalled, idle or have too many unsent bytes."""

import logging
from collections.abc import Callable
from typing import Protocol

from ..sockets import CloseReason, has_unread_bytes, sleep_ns
from ..time_units import NS_PER_MS, NS_PER_SECOND
from .connection import Connection
from .incoming_request import RequestRules

log = logging.getLogger(__name__)

SWEEP_INTERVAL_NS = 250 * NS_PER_MS
FIRST_MESSAGE_TIMEOUT_NS = 1500 * NS_PER_MS  # from the accept to the end of the first message
MESSAGE_TIMEOUT_NS = 1500 * NS_PER_MS  # from a message's first byte to its last
# For how long the network may hold the notification that asks a caller to close its connection.
# Requests that the caller sends meanwhile are answered.
MAX_NOTIFICATION_DELAY_NS = 6 * NS_PER_SECOND
# Idle timeout of connections that carried only health checks. Many callers check the health once
# and keep the connection open; a prober whose connection is closed connects again.
HEALTH_IDLE_TIMEOUT_NS = 3 * NS_PER_SECOND
CROWDED_IDLE_TIMEOUT_NS = 2 * NS_PER_SECOND  # while over 3/4 of `max_connections` are open
MAX_TOTAL_UNSENT_BYTES = 8 << 20  # unsent answers of all connections; beyond it some are closed


class SweptListener(Protocol):
    """The part of the listener that the sweeper uses.

    Attributes:
        rules: Rules that each request is checked against.
        clock: Returns the current time, Unix ns.
        max_connections: How many connections there may be, including those being closed.
        idle_timeout_ns: How long a connection may be idle before its caller is asked to close.
        connections: The open connections.
        evictable_connections: Idle connections found at an eviction; outdated by a sweep.
        is_draining: Whether the listener drains before the server stops.
    """

    rules: RequestRules
    clock: Callable[[], int]
    max_connections: int
    idle_timeout_ns: int
    connections: set[Connection]
    evictable_connections: list[Connection]
    is_draining: bool


class ConnectionSweeper:
    """Sweeps the connections of a listener.

    Attributes:
        last_sweep_ns: When the last sweep began, Unix ns.
        has_skipped_sweep: Whether it was skipped.
    """

    def __init__(self, owner: SweptListener) -> None:
        self.owner = owner
        self.last_sweep_ns, self.has_skipped_sweep = owner.clock(), False

    @property
    def shutdown_timeout_ns(self) -> int:
        """Time from asking a caller to close its connection until the server closes it.

        A request that the caller sends before it reads the notification may arrive any time up to
        its deadline.
        """
        return MAX_NOTIFICATION_DELAY_NS + self.owner.rules.max_deadline_ns

    async def run(self) -> None:
        """Sweeps the connections periodically, and never returns."""
        while True:
            await sleep_ns(SWEEP_INTERVAL_NS)
            try:
                self.sweep()
            except Exception:
                # The next sweep runs all the same: without it no connection would be closed.
                log.exception("event=internal_error side=balancer")

    def sweep(self) -> None:
        """Closes connections that are silent, stalled, idle or have too many unsent bytes.

        After a pause of the machine one sweep is skipped, so that the bytes received meanwhile are
        read first. Two sweeps in a row are not skipped: a process that is always this late would
        never close any connection.
        """
        now_ns, previous_sweep_ns = self.owner.clock(), self.last_sweep_ns
        self.last_sweep_ns = now_ns
        self.owner.evictable_connections.clear()
        if now_ns - previous_sweep_ns > 2 * SWEEP_INTERVAL_NS and not self.has_skipped_sweep:
            self.has_skipped_sweep = True
            return
        self.has_skipped_sweep = False
        is_crowded = 4 * len(self.owner.connections) > 3 * self.owner.max_connections
        idle_timeout_ns = self.owner.idle_timeout_ns
        if is_crowded:
            idle_timeout_ns = min(idle_timeout_ns, CROWDED_IDLE_TIMEOUT_NS)
        for connection in list(self.owner.connections):
            self.check_connection(connection, now_ns, idle_timeout_ns)
        self.close_slowest_readers()

    def check_connection(self, connection: Connection, now_ns: int, idle_timeout_ns: int) -> None:
        """Closes a connection that is over its limits, or asks its caller to close it."""
        if (
            connection.partial_since_ns
            and now_ns - connection.partial_since_ns > MESSAGE_TIMEOUT_NS
        ):
            started_ns = connection.partial_since_ns
            connection.read_remaining()
            if connection.partial_since_ns == started_ns:
                connection.close_with_detail(CloseReason.MESSAGE_TIMEOUT)
        elif not connection.is_idle:
            return
        elif not connection.has_received:
            self.check_silent(connection, now_ns)
        elif connection.is_shutdown_sent:
            self.check_shutdown(connection, now_ns)
        else:
            if connection.is_health_only:
                idle_timeout_ns = HEALTH_IDLE_TIMEOUT_NS
            if now_ns - connection.last_used_ns > idle_timeout_ns:
                connection.request_shutdown(now_ns)

    def check_silent(self, connection: Connection, now_ns: int) -> None:
        """Closes a connection that has received no message in time.

        A connection whose first bytes arrived late is not silent: the reason is the timeout of the
        message.
        """
        if now_ns - connection.last_used_ns <= FIRST_MESSAGE_TIMEOUT_NS:
            return
        connection.read_remaining()
        if not connection.has_received:
            reason = CloseReason.FIRST_MESSAGE_TIMEOUT
            if connection.partial_since_ns:
                reason = CloseReason.MESSAGE_TIMEOUT
            connection.close_with_detail(reason)

    def check_shutdown(self, connection: Connection, now_ns: int) -> None:
        """Closes a connection whose caller was asked to close it and did not in time."""
        since_ns = max(connection.shutdown_sent_ns, connection.last_used_ns)
        is_late = now_ns - since_ns > self.shutdown_timeout_ns and not connection.partial_since_ns
        if is_late and not has_unread_bytes(connection.socket):
            reason = CloseReason.SHUTDOWN if self.owner.is_draining else CloseReason.IDLE_TIMEOUT
            connection.close_with_detail(reason)

    def close_slowest_readers(self) -> None:
        """Closes the connections with the most unsent bytes until the total is in its bound."""
        unsent_bytes = sum(connection.writer.unsent_bytes for connection in self.owner.connections)
        if unsent_bytes <= MAX_TOTAL_UNSENT_BYTES:
            return
        for connection in sorted(
            self.owner.connections, key=lambda connection: -connection.writer.unsent_bytes
        ):
            if unsent_bytes > MAX_TOTAL_UNSENT_BYTES:
                unsent_bytes -= connection.writer.unsent_bytes
                connection.close_with_detail(CloseReason.SLOW_CONSUMER)
