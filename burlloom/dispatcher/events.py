"""The events that the server reports to the dispatcher. All times are Unix nanoseconds."""

from dataclasses import dataclass

from ..admission.model import Outcome


@dataclass(frozen=True, slots=True)
class RequestAttempt:
    """One attempt of a request, as its caller sent it.

    Attributes:
        id: The attempt's id.
        sent_at_ns: When it was sent, rounded down to whole milliseconds.
        caller: The caller's name.
        request_class: The index of its class in the settings.
        cost_ns: The processor time that the caller expects; 0 if not stated.
        memory_kb: The memory that the request uses.
        priority: Its rank among the requests of its class, from 0 to below 1.
        idempotency_key: The key that all attempts of a keyed request share; otherwise empty.
        cache_key: The key under which idempotent requests may share a result; empty if they may
            not.
        body: The request's body.
        is_recordable: Whether a record could be kept for it, if it needs one.
        is_retry: Whether it is marked as a retry or a hedged request.
        is_over_share: Whether its tenant is beyond its share.
        sampling_draw: The caller's random draw, from 0 to below 1.
        is_held_back: Whether it is a retry beyond those that are admitted during recovery.
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
    """A run asked for a downstream call.

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
        outcome: How the run ended.
        duration_ns: The duration of the run.
        result: The result; empty if there is none.
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
        outcome: How the call ended.
        duration_ns: The duration of the call.
    """

    id: str
    outcome: Outcome
    duration_ns: int


@dataclass(frozen=True, slots=True)
class ResultRecalled:
    """A result was looked up outside of this server's memory.

    Attributes:
        id: The id of the request that asked for the result.
        result: The result; None if there is none to return.
    """

    id: str
    result: bytes | None


@dataclass(frozen=True, slots=True)
class DrainStarted:
    """The server was told to stop.

    Attributes:
        noticed_at_ns: The earliest time at which the stop notice can have come.
        stop_at_ns: When the server must have stopped.
    """

    noticed_at_ns: int
    stop_at_ns: int


Event = CallRequested | RunEnded | CallEnded | ResultRecalled | DrainStarted
