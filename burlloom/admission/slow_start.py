"""Slow start: the speed of a server that was just started.

Inputs: the age of the server (ns) and its settings `starts_cold`, `cold_speed_share` and
`warm_up_ns`. Rule: the speed grows linearly from `cold_speed_share` to 1 over the warm-up. Reason:
a cold server collapses at fewer concurrent runs.
"""

from .model import ServerSettings

__all__ = ["SlowStart"]


class SlowStart:
    """The warm-up of a server."""

    __slots__ = ("_cold_speed_share", "_started_at_ns", "_starts_cold", "_warm_up_ns")

    def __init__(self, settings: ServerSettings, started_at_ns: int) -> None:
        """Creates the rule.

        Args:
            settings: The server's settings.
            started_at_ns: When its executor was started.
        """
        self._started_at_ns = started_at_ns
        self._starts_cold = settings.starts_cold
        self._cold_speed_share = settings.cold_speed_share
        self._warm_up_ns = settings.warm_up_ns

    def speed_share(self, now: int) -> float:
        """Returns the speed at `now` (ns), as a share of that of a warm server."""
        age_ns = now - self._started_at_ns
        if not self._starts_cold or age_ns >= self._warm_up_ns:
            return 1.0
        return self._cold_speed_share + (1 - self._cold_speed_share) * age_ns / self._warm_up_ns
