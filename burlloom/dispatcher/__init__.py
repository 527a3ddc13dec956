"""The decisions in blocking style, for a server on sockets: plain txns in, plain steps out."""

from .desk import Desk, Seat
from .marks import Packed
from .steps import AtCall, CallEnded, Kind, Leaving, Recalled, RequestAttempt, RunEnded, Step

__all__ = [
    "AtCall",
    "CallEnded",
    "Desk",
    "Kind",
    "Leaving",
    "Packed",
    "Recalled",
    "RunEnded",
    "Seat",
    "Step",
    "RequestAttempt",
]
