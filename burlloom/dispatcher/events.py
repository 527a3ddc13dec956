"""What the server tells the dispatcher. Times are Unix nanoseconds."""

from dataclasses import dataclass

from ..admission.model import Outcome


@dataclass(frozen=True, slots=True)
class RequestAttempt:
    """One attempt of a request, as its caller sent it.

    Attributes:
        id: The attempt's id.
        sent_at_ns: When it was sent, in whole milliseconds, rounded down.
        caller: The caller's name.
        request_class: Index of its class in the settings.
        cost_ns: Processor time that the caller expects; 0 where it told none.
        memory_kb: Memory that the request holds.
        priority: Its rank among those of its class, from 0 to under 1.
        idempotency_key: The key that all attempts of a keyed request share; else empty.
        cache_key: The key under which reads may share a result; empty where they may not.
        body: The request's body.
        is_recordable: Whether a record could be kept for it, where it wants one.
        is_retry: Whether it is marked as a retry or a hedged request.
        is_over_share: Whether its tenant is past its share.
        sampling_draw: The caller's draw, from 0 to under 1.
        is_held_back: Whether it is a retry past what is admitted during recovery.
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
    is_recordable: bool = True
    is_retry: bool = False
    is_over_share: bool = False
    sampling_draw: float = 0.0
    is_held_back: bool = False


@dataclass(frozen=True, slots=True)
class CallRequested:
    """A run asks for its call.

    Attributes:
        id: The request's id.
        body: The call's body.
    """

    id: str
    body: bytes


@dataclass(frozen=True, slots=True)
class RunEnded:
    """A run ended.

    Attributes:
        id: The request's id.
        outcome: How it ended.
        duration_ns: How long it ran.
        result: Its result; empty where it has none.
    """

    id: str
    outcome: Outcome
    duration_ns: int
    result: bytes


@dataclass(frozen=True, slots=True)
class CallEnded:
    """A downstream call ended.

    Attributes:
        id: The request's id.
        outcome: How it ended.
        duration_ns: How long it took.
    """

    id: str
    outcome: Outcome
    duration_ns: int


@dataclass(frozen=True, slots=True)
class ResultRecalled:
    """A result was looked up outside of our memory.

    Attributes:
        id: The id of the request that asked for it.
        result: The result; None where there is none to give.
    """

    id: str
    result: bytes | None


@dataclass(frozen=True, slots=True)
class DrainStarted:
    """The server was asked to stop.

    Attributes:
        noticed_at_ns: When it was asked, at the earliest.
        stop_at_ns: When it must have stopped.
    """

    noticed_at_ns: int
    stop_at_ns: int


Event = CallRequested | RunEnded | CallEnded | ResultRecalled | DrainStarted
