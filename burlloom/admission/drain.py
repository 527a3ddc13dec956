"""Draining: what a server that is asked to stop still takes, and until when it answers."""

from .timing import NEVER_NS

__all__ = ["Drain"]


class Drain:
    """The end of a server, once it is known.

    Attributes:
        stop_at_ns: when the server stops; every request is answered before.
        last_arrival_at_ns: what arrives later is rejected.
    """

    __slots__ = ("last_arrival_at_ns", "stop_at_ns")

    def __init__(self) -> None:
        """A server that does not drain."""
        self.stop_at_ns = NEVER_NS
        self.last_arrival_at_ns = NEVER_NS

    def begin(self, noticed_at_ns: int, stop_at_ns: int, grace_ns: int) -> None:
        """Drains from now on.

        Args:
            noticed_at_ns: when the notice came, at the earliest; the grace counts from there.
            stop_at_ns: when the server stops.
            grace_ns: how long after the notice requests are still taken.
        """
        self.stop_at_ns = stop_at_ns
        self.last_arrival_at_ns = noticed_at_ns + grace_ns

    @property
    def is_draining(self) -> bool:
        """Whether the server was asked to stop."""
        return self.stop_at_ns < NEVER_NS
