"""What the desk is handed and what it hands out."""

from dataclasses import dataclass
from enum import Enum

from ..admission.model import Outcome


class DirectiveKind(Enum):
    RUN = "run"
    CALL = "call"
    RECALL_RESULT = "recall_result"
    COMPLETE = "complete"
    COMPLETE_AS_ORIGINAL = "complete_as_original"
    REJECT = "reject"
    FAIL = "fail"


@dataclass(frozen=True, slots=True)
class Directive:
    """What a txn meets next; all but RUN, CALL and RECALL are its final answer."""

    kind: DirectiveKind
    give_up_at_ns: int = 0  # CALL: when to give it up
    is_repeatable: bool = True  # CALL: whether one whose fate is not told may be made again
    body: bytes = b""  # CALL: what to ask; SETTLE, SETTLE_AS: the result
    key_digest: bytes = b""  # all but VOID and DECLINE: what all its tries share, if they do
    retry_after_ns: int = 0  # DECLINE
    is_final: bool = False  # DECLINE: not to be tried elsewhere


@dataclass(frozen=True, slots=True)
class RequestAttempt:
    """One try of a txn, as its caller sent it; `cost` is 0 and the marks empty where none were
    told.
    """

    id: str
    sent_at_ns: int
    caller: str
    request_class: int
    cost_ns: int
    memory_kb: float
    priority: float
    idempotency_key: str
    cache_key: str
    body: bytes
    is_recordable: bool = True  # whether an entry could be kept for it, where it wants one
    is_retry: bool = False  # it is marked as a further try, or a copy
    is_over_share: bool = False  # it is past its tenant's share
    sampling_draw: float = 0.0  # its caller's own, from 0 to under 1
    is_held_back: bool = False  # it is a retry past what is read while service comes back


@dataclass(frozen=True, slots=True)
class CallRequested:
    id: str
    body: bytes


@dataclass(frozen=True, slots=True)
class RunEnded:
    id: str
    outcome: Outcome
    duration_ns: int
    result: bytes


@dataclass(frozen=True, slots=True)
class CallEnded:
    id: str
    outcome: Outcome
    duration_ns: int


@dataclass(frozen=True, slots=True)
class ResultRecalled:
    """What was kept for its mark outside of our memory; None: nothing that could be given."""

    id: str
    result: bytes | None


@dataclass(frozen=True, slots=True)
class DrainStarted:
    noticed_at_ns: int  # when the notice came, at the earliest
    stop_at_ns: int
