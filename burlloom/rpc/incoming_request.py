"""A request as it was received, and the way back for its answer."""

from collections.abc import Collection
from dataclasses import dataclass
from typing import Protocol

from ..errors import BurlloomError


class MalformedRequestError(BurlloomError):
    """A request cannot be taken; its connection can go on.

    Attributes:
        part: The part of the request that is wrong.
        value: What it was; empty where that does not matter.
    """

    def __init__(self, part: str, value: str = "") -> None:
        super().__init__(f"{part} {value}" if value else part)
        self.part = part
        self.value = value


@dataclass(frozen=True, slots=True)
class RequestRules:
    """What a request is checked against.

    Attributes:
        keyed_by_class: By request class, whether its requests have an idempotency key.
        tenants: The tenants that are served; empty where requests name none.
        max_deadline_ns: The longest deadline of all classes.
    """

    keyed_by_class: dict[str, bool]
    tenants: Collection[str]
    max_deadline_ns: int


class Responder(Protocol):
    """Where a request's answer goes."""

    def complete(self, message_id: int, result: bytes) -> None:
        """Answers with a result."""

    def reject(self, message_id: int, retry_after_ns: int, is_final: bool) -> None:
        """Answers that the request is not served."""

    def fail(self, message_id: int) -> None:
        """Answers with an error."""

    def report_fault(self, fault: str) -> None:
        """Counts a fault of the caller's."""


@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """One attempt of a request.

    Attributes:
        responder: Where its answer goes.
        message_id: What the answer is told apart by there.
        request_class: The name of its class.
        id: The attempt's id.
        sent_at_ns: When it was sent, Unix ns, in whole milliseconds.
        caller: The caller's name; empty where it told none.
        cost_ns: Processor time that the caller expects; 0 where it told none.
        memory_kb: Memory that the request holds.
        priority: Its rank among those of its class, from 0 to under 1.
        idempotency_key: The key that all attempts of a keyed request share; else empty.
        cache_key: The key under which reads may share a result; empty where they may not.
        body: The request's body.
        is_retry: Whether it is marked as a retry or a hedged request.
        tenant: The tenant it belongs to; empty where tenants are not told apart.
    """

    responder: Responder
    message_id: int
    request_class: str
    id: str
    sent_at_ns: int
    caller: str
    cost_ns: int
    memory_kb: float
    priority: float
    idempotency_key: str
    cache_key: str
    body: bytes
    is_retry: bool
    tenant: str = ""

    def complete(self, result: bytes) -> None:
        """Answers with its result."""
        self.responder.complete(self.message_id, result)

    def reject(self, retry_after_ns: int, is_final: bool) -> None:
        """Answers that it is not served.

        Args:
            retry_after_ns: How long the caller should stay away from this server.
            is_final: Whether it should not be tried at another server either.
        """
        self.responder.reject(self.message_id, retry_after_ns, is_final)

    def fail(self) -> None:
        """Answers with an error; it may have run."""
        self.responder.fail(self.message_id)

    def report_unknown(self) -> None:
        """Counts a fault of the caller's: the executor knows no such request."""
        self.responder.report_fault("unknown request")
