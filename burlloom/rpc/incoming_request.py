"""A request as it is read: all that its frame alone can tell is checked here, whole, before it goes
on.
"""

import re
from collections.abc import Collection
from dataclasses import dataclass
from typing import Any, Protocol

from ..sockets import NS_PER_MS, NS_PER_SECOND

MAX_BODY_BYTES = 2 << 10
MAX_COST_MS = 600_000.0
MAX_MEMORY_KB = 2_000.0
MAX_CLOCK_LEAD_NS = (
    60 * NS_PER_SECOND
)  # of our clock, both being of one machine; behind it, at most two deadlines
REQUEST_ID_PATTERN = re.compile(r"[0-9a-f]{16}")
KEY_PATTERN = re.compile(r"[0-9A-Za-z]{1,64}")
CALLER_PATTERN = re.compile(r"[0-9]{1,9}")
MILLISECONDS_PATTERN = re.compile(r"[0-9]{1,15}")
DECIMAL_PATTERN = re.compile(
    r"[0-9]{1,9}(\.[0-9]{1,9})?"
)  # what float() takes beyond this moves every measure


class MalformedRequestError(Exception):
    """A request that can't be taken, on a connection that can go on."""


@dataclass(frozen=True, slots=True)
class RequestRules:
    """What a request's parts are held against: request classes, keyed or not, tenants, the longest
    deadline.
    """

    keyed_by_class: dict[str, bool]
    tenants: Collection[str]
    max_deadline_ns: int


class Responder(Protocol):
    """The way back for answers."""

    def complete(self, number: int, result: bytes) -> None: ...
    def reject(self, number: int, stay_away: int, final: bool) -> None: ...
    def fail(self, number: int, name: str) -> None: ...
    def report_fault(self, what: str) -> None: ...


@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """One try of a request as it was read, and the way back; its times and costs are in
    nanoseconds.
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
        self.responder.complete(self.message_id, result)

    def reject(self, stay_away: int, final: bool) -> None:
        self.responder.reject(self.message_id, stay_away, final)

    def fail(self) -> None:
        self.responder.fail(self.message_id, "Voided")

    def report_unknown(self) -> None:
        """The executor knows no such request."""
        self.responder.report_fault("unknown request")


def parse_number(fields: dict[str, Any], name: str, least: float, most: float) -> float:
    text = fields.get(name, "0")
    if type(text) is not str or not DECIMAL_PATTERN.fullmatch(text):
        raise MalformedRequestError(f"{name} {text!r:.40}")
    value = float(text)
    if not least <= value <= most:
        raise MalformedRequestError(f"{name} {text}")
    return value


def parse_text(fields: dict[str, Any], name: str, form: re.Pattern[str], needed: bool) -> str:
    value = fields.get(name)
    if value is None and not needed:
        return ""
    if type(value) is not str or not form.fullmatch(value):
        raise MalformedRequestError(f"{name} {value!r:.40}")
    return value


def parse_request(
    way: Responder,
    number_: int,
    request_class: str,
    params: list[Any],
    known: RequestRules,
    now: int,
) -> IncomingRequest:
    if request_class not in known.keyed_by_class:
        raise MalformedRequestError(f"class {request_class!r:.40}")
    if (
        len(params) != 2
        or type(params[0]) is not dict
        or not isinstance(params[1], (bytes, memoryview))
    ):
        raise MalformedRequestError("parameters")
    fields, body = params
    if len(body) > MAX_BODY_BYTES:
        raise MalformedRequestError(f"body of {len(body)}")
    if known.tenants and fields.get("tenant") not in known.tenants:
        raise MalformedRequestError(f"tenant {fields.get('tenant')!r:.40}")
    at = int(parse_text(fields, "at", MILLISECONDS_PATTERN, True)) * NS_PER_MS
    if not now - 2 * known.max_deadline_ns <= at <= now + MAX_CLOCK_LEAD_NS:
        raise MalformedRequestError("at")
    kb, rank = parse_number(fields, "kb", 0, MAX_MEMORY_KB), parse_number(fields, "rank", 0, 1)
    if kb == 0 or kb == MAX_MEMORY_KB or rank == 1:
        raise MalformedRequestError("kb or rank")
    return IncomingRequest(
        way,
        number_,
        request_class,
        parse_text(fields, "id", REQUEST_ID_PATTERN, True),
        at,
        parse_text(fields, "from", CALLER_PATTERN, False),
        int(parse_number(fields, "cost", 0, MAX_COST_MS) * NS_PER_MS),
        kb,
        rank,
        parse_text(fields, "once", KEY_PATTERN, known.keyed_by_class[request_class]),
        parse_text(fields, "key", KEY_PATTERN, False),
        bytes(body),
        fields.get("retry") == "1",
        str(fields.get("tenant", "")),
    )  # the body is held past the buffer
