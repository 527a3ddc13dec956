"""What the desk is handed and what it hands out."""

from dataclasses import dataclass
from enum import Enum

from ..admission.model import Outcome


class Kind(Enum):
    RUN = "run"
    CALL = "call"
    RECALL = "recall"
    SETTLE = "settle"
    SETTLE_AS = "settle-as-forerunner"
    DECLINE = "decline"
    VOID = "void"


@dataclass(frozen=True, slots=True)
class Step:
    """What a txn meets next; all but RUN, CALL and RECALL are its final answer."""

    kind: Kind
    until: int = 0  # CALL: when to give it up
    repeatable: bool = True  # CALL: whether one whose fate is not told may be made again
    body: bytes = b""  # CALL: what to ask; SETTLE, SETTLE_AS: the result
    mark: bytes = b""  # all but VOID and DECLINE: what all its tries share, if they do
    stay_away: int = 0  # DECLINE
    final: bool = False  # DECLINE: not to be tried elsewhere


@dataclass(frozen=True, slots=True)
class RequestAttempt:
    """One try of a txn, as its caller sent it; `cost` is 0 and the marks empty where none were
    told.
    """

    id: str
    at: int
    caller: str
    product: int
    cost: int
    kb: float
    rank: float
    once: str
    key: str
    body: bytes
    entry: bool = True  # whether an entry could be kept for it, where it wants one
    retry: bool = False  # it is marked as a further try, or a copy
    over: bool = False  # it is past its tenant's share
    lot: float = 0.0  # its caller's own, from 0 to under 1
    held_back: bool = False  # it is a retry past what is read while service comes back


@dataclass(frozen=True, slots=True)
class AtCall:
    id: str
    body: bytes


@dataclass(frozen=True, slots=True)
class RunEnded:
    id: str
    outcome: Outcome
    took: int
    result: bytes


@dataclass(frozen=True, slots=True)
class CallEnded:
    id: str
    outcome: Outcome
    took: int


@dataclass(frozen=True, slots=True)
class Recalled:
    """What was kept for its mark outside of our memory; None: nothing that could be given."""

    id: str
    result: bytes | None


@dataclass(frozen=True, slots=True)
class Leaving:
    noticed: int  # when the notice came, at the earliest
    stop: int
