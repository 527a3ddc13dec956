"""Draining: which requests a stopping server still admits, and until when it answers."""

from .timing import NEVER_NS

__all__ = ["Drain"]


class Drain:
    """The planned stop of a server.

    Attributes:
        stop_at_ns: When the server stops; every request is answered before.
        last_arrival_at_ns: The end of the grace period; requests that arrive later are rejected.
    """

    __slots__ = ("last_arrival_at_ns", "stop_at_ns")

    def __init__(self) -> None:
        """Creates the state of a server that does not drain."""
        self.stop_at_ns = NEVER_NS
        self.last_arrival_at_ns = NEVER_NS

    def begin(self, noticed_at_ns: int, stop_at_ns: int, grace_ns: int) -> None:
        """Starts to drain.

        Args:
            noticed_at_ns: The earliest time at which the notice can have come; the grace period
                starts then.
            stop_at_ns: When the server stops.
            grace_ns: For how long after the notice requests are still admitted.
        """
        self.stop_at_ns = stop_at_ns
        self.last_arrival_at_ns = noticed_at_ns + grace_ns

    @property
    def is_draining(self) -> bool:
        """Whether the server was told to stop."""
        return self.stop_at_ns < NEVER_NS
