"""A received request and the responder that its answer is sent through."""

from collections.abc import Collection
from dataclasses import dataclass
from typing import Protocol

from ..errors import BurlloomError


class MalformedRequestError(BurlloomError):
    """A request is malformed and is rejected; its connection stays open.

    The text is logged and not sent to the caller.

    Attributes:
        fault: The part of the request that is malformed, and what is allowed.
        value: What was received; empty where it is not quoted.
    """

    def __init__(self, fault: str, value: str = "") -> None:
        super().__init__(f"{fault}: {value}" if value else fault)
        self.fault = fault
        self.value = value


class ExpiredRequestError(MalformedRequestError):
    """A request is well-formed, but was sent too long ago; the network may have held it."""


@dataclass(frozen=True, slots=True)
class RequestRules:
    """Rules that each request is checked against.

    Attributes:
        keyed_by_class: For each request class, whether its requests must have an idempotency key.
        tenants: The tenants that are served; empty where requests name no tenant.
        max_deadline_ns: The longest deadline of all classes.
    """

    keyed_by_class: dict[str, bool]
    tenants: Collection[str]
    max_deadline_ns: int


class Responder(Protocol):
    """Sends the answer to a request."""

    def complete(self, message_id: int, result: bytes) -> None:
        """Answers the message with a result."""

    def reject(self, message_id: int, retry_after_ns: int, is_final: bool) -> None:
        """Answers the message with a rejection."""

    def fail(self, message_id: int) -> None:
        """Answers the message with an error."""

    def report_fault(self, fault: str) -> None:
        """Counts a fault of the caller."""


@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """One attempt of a request.

    Attributes:
        responder: Sends the answer.
        message_id: The message id that the answer repeats.
        request_class: The name of the request class.
        id: The attempt's id.
        sent_at_ns: When the caller sent it, Unix ns, in whole milliseconds.
        caller: The caller's name; empty where the request has none.
        cost_ns: Processor time that the caller expects; 0 where the request has none.
        memory_kb: Memory that the request holds.
        priority: Its priority among the requests of its class, from 0 to under 1.
        idempotency_key: The key that all attempts of a keyed request share; otherwise empty.
        cache_key: The key under which reads may share a result; empty where they may not.
        body: The request's body.
        is_retry: Whether it is marked as a retry or a hedged request.
        tenant: The tenant it belongs to; empty where the server does not distinguish tenants.
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
        """Answers the request with its result."""
        self.responder.complete(self.message_id, result)

    def reject(self, retry_after_ns: int, is_final: bool) -> None:
        """Answers the request with a rejection.

        Args:
            retry_after_ns: How long the caller should send this server no request.
            is_final: Whether the caller should not try another server either.
        """
        self.responder.reject(self.message_id, retry_after_ns, is_final)

    def fail(self) -> None:
        """Answers the request with an error; it may have run."""
        self.responder.fail(self.message_id)

    def report_unknown(self) -> None:
        """Counts a fault of the caller: the executor rejected the request as unknown."""
        self.responder.report_fault("executor rejected the request as unknown")
