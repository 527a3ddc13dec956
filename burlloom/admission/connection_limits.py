"""Sets how long a connection may idle before it is closed.

Inputs: the number of connections and core utilization (gauges), the number of live requests, the
rejected share. Rule: while there are more than `MAX_CONNECTIONS_PER_CORE_OR_REQUEST` connections
per core and live request, the idle timeout is multiplied by `IDLE_TIMEOUT_CUT_FACTOR` each timer
round, down to `MIN_IDLE_TIMEOUT_NS`; otherwise it grows back at the same rate to the configured
timeout. Reason: there may be more callers than the connection table can hold, and most return only
after their connection was closed. During a flood (busy cores and many rejections) no further
connections are closed: a full table refuses new callers without reading their requests, which is
cheaper than reading them over a new connection.
"""

from .model import Effects, Gauges, ServerSettings
from .timing import NS_PER_MS

__all__ = ["ConnectionIdleTimeout"]

MAX_CONNECTIONS_PER_CORE_OR_REQUEST = 4
MIN_IDLE_TIMEOUT_NS = 1000 * NS_PER_MS
IDLE_TIMEOUT_CUT_FACTOR = 0.7
# The server counts as flooded from this utilization on, if more than this share is rejected.
FLOOD_CPU_UTILIZATION = 0.9
FLOOD_REJECTED_SHARE = 0.3


class ConnectionIdleTimeout:
    """The idle timeout in force."""

    __slots__ = ("_configured_ns", "_cores", "_effects", "_idle_timeout_ns")

    def __init__(self, settings: ServerSettings, effects: Effects) -> None:
        """Starts with the configured idle timeout.

        Args:
            settings: The server's settings.
            effects: Receives each change of the idle timeout.
        """
        self._configured_ns = settings.idle_timeout_ns
        self._cores = settings.cores
        self._effects = effects
        self._idle_timeout_ns = settings.idle_timeout_ns

    def update(self, gauges: Gauges, live_requests: int, rejected_share: float) -> None:
        """Adjusts the idle timeout; called once each timer round.

        Args:
            gauges: The server's measurements of itself.
            live_requests: The number of requests that have not ended.
            rejected_share: The share of requests that were rejected, 0 to 1.
        """
        is_flooded = (
            gauges.cpu_utilization >= FLOOD_CPU_UTILIZATION
            and rejected_share > FLOOD_REJECTED_SHARE
        )
        max_connections = MAX_CONNECTIONS_PER_CORE_OR_REQUEST * (self._cores + live_requests)
        if gauges.connections > max_connections and not is_flooded:
            idle_timeout_ns = max(
                MIN_IDLE_TIMEOUT_NS, int(self._idle_timeout_ns * IDLE_TIMEOUT_CUT_FACTOR)
            )
        else:
            idle_timeout_ns = int(self._idle_timeout_ns / IDLE_TIMEOUT_CUT_FACTOR)
        idle_timeout_ns = min(self._configured_ns, idle_timeout_ns)
        if idle_timeout_ns != self._idle_timeout_ns:
            self._idle_timeout_ns = idle_timeout_ns
            self._effects.set_idle_timeout(idle_timeout_ns)
