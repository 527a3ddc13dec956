"""How long a connection may idle before it is closed.

Inputs: the number of connections and the use of the cores (gauges), how many requests are live, the
share rejected. Rule: while there are more than `CONNECTIONS_PER_USE` connections for each core and
live request, the idle time is cut to `CUT_SHARE` of itself a timer round, to `SHORTEST_IDLE_NS` at
least; else it grows back by the same steps to the configured time. Reason: callers may be more than
the table of connections holds, and most come back only after their connection went. In a flood
(cores in use and much rejected) none is closed: a full table turns newcomers back unread, which is
cheaper than reading them over a new connection.
"""

from .model import Effects, Gauges, ServerSettings
from .timing import NS_PER_MS

__all__ = ["ConnectionIdleTime"]

CONNECTIONS_PER_USE = 4
SHORTEST_IDLE_NS = 1000 * NS_PER_MS
CUT_SHARE = 0.7
FLOOD_CPU_UTILIZATION = 0.9
FLOOD_REJECTED_SHARE = 0.3


class ConnectionIdleTime:
    """The idle time in force."""

    __slots__ = ("_configured_ns", "_cores", "_effects", "_idle_ns")

    def __init__(self, settings: ServerSettings, effects: Effects) -> None:
        """Begins with the configured idle time.

        Args:
            settings: of the server.
            effects: told when the idle time changes.
        """
        self._configured_ns = settings.idle_timeout_ns
        self._cores = settings.cores
        self._effects = effects
        self._idle_ns = settings.idle_timeout_ns

    def update(self, gauges: Gauges, live_requests: int, rejected_share: float) -> None:
        """Moves the idle time; once a timer round.

        Args:
            gauges: what the server measures of itself.
            live_requests: the number of requests that are not over.
            rejected_share: the share of requests rejected, 0 to 1.
        """
        is_flooded = (
            gauges.cpu_utilization >= FLOOD_CPU_UTILIZATION
            and rejected_share > FLOOD_REJECTED_SHARE
        )
        enough = CONNECTIONS_PER_USE * (self._cores + live_requests)
        if gauges.connections > enough and not is_flooded:
            idle_ns = max(SHORTEST_IDLE_NS, int(self._idle_ns * CUT_SHARE))
        else:
            idle_ns = int(self._idle_ns / CUT_SHARE)
        idle_ns = min(self._configured_ns, idle_ns)
        if idle_ns != self._idle_ns:
            self._idle_ns = idle_ns
            self._effects.set_idle_timeout(idle_ns)
