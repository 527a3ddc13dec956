"""A request as it is read: all that its frame alone can tell is checked here, whole, before it goes
on.
"""

import re
from collections.abc import Collection
from dataclasses import dataclass
from typing import Any, Protocol

from ..sockets import MS, SECOND

BODY_BYTES = 2 << 10
COST_MOST = 600_000.0
KB_MOST = 2_000.0
AHEAD_MOST = (
    60 * SECOND
)  # of our clock, both being of one machine; behind it, at most two deadlines
ID = re.compile(r"[0-9a-f]{16}")
KEY = re.compile(r"[0-9A-Za-z]{1,64}")
CALLER = re.compile(r"[0-9]{1,9}")
WHOLE = re.compile(r"[0-9]{1,15}")
PLAIN = re.compile(
    r"[0-9]{1,9}(\.[0-9]{1,9})?"
)  # what float() takes beyond this moves every measure


class Malformed(Exception):
    """A request that can't be taken, on a connection that can go on."""


@dataclass(frozen=True, slots=True)
class Known:
    """What a request's parts are held against: request classes, keyed or not, tenants, the longest
    deadline.
    """

    classes: dict[str, bool]
    tenants: Collection[str]
    deadline: int


class Way(Protocol):
    """The way back for answers."""

    def settle(self, number: int, result: bytes) -> None: ...
    def refuse(self, number: int, stay_away: int, final: bool) -> None: ...
    def fail(self, number: int, name: str) -> None: ...
    def blame(self, what: str) -> None: ...


@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """One try of a request as it was read, and the way back; its times and costs are in
    nanoseconds.
    """

    way: Way
    number: int
    request_class: str
    id: str
    at: int
    caller: str
    cost: int
    kb: float
    rank: float
    idempotency_key: str
    key: str
    body: bytes
    retry: bool
    tenant: str = ""

    def settle(self, result: bytes) -> None:
        self.way.settle(self.number, result)

    def refuse(self, stay_away: int, final: bool) -> None:
        self.way.refuse(self.number, stay_away, final)

    def fail(self) -> None:
        self.way.fail(self.number, "Voided")

    def blame(self) -> None:
        """The executor knows no such request."""
        self.way.blame("unknown request")


def number(fields: dict[str, Any], name: str, least: float, most: float) -> float:
    text = fields.get(name, "0")
    if type(text) is not str or not PLAIN.fullmatch(text):
        raise Malformed(f"{name} {text!r:.40}")
    value = float(text)
    if not least <= value <= most:
        raise Malformed(f"{name} {text}")
    return value


def text(fields: dict[str, Any], name: str, form: re.Pattern[str], needed: bool) -> str:
    value = fields.get(name)
    if value is None and not needed:
        return ""
    if type(value) is not str or not form.fullmatch(value):
        raise Malformed(f"{name} {value!r:.40}")
    return value


def request(
    way: Way, number_: int, request_class: str, params: list[Any], known: Known, now: int
) -> IncomingRequest:
    if request_class not in known.classes:
        raise Malformed(f"class {request_class!r:.40}")
    if (
        len(params) != 2
        or type(params[0]) is not dict
        or not isinstance(params[1], (bytes, memoryview))
    ):
        raise Malformed("parameters")
    fields, body = params
    if len(body) > BODY_BYTES:
        raise Malformed(f"body of {len(body)}")
    if known.tenants and fields.get("tenant") not in known.tenants:
        raise Malformed(f"tenant {fields.get('tenant')!r:.40}")
    at = int(text(fields, "at", WHOLE, True)) * MS
    if not now - 2 * known.deadline <= at <= now + AHEAD_MOST:
        raise Malformed("at")
    kb, rank = number(fields, "kb", 0, KB_MOST), number(fields, "rank", 0, 1)
    if kb == 0 or kb == KB_MOST or rank == 1:
        raise Malformed("kb or rank")
    return IncomingRequest(
        way,
        number_,
        request_class,
        text(fields, "id", ID, True),
        at,
        text(fields, "from", CALLER, False),
        int(number(fields, "cost", 0, COST_MOST) * MS),
        kb,
        rank,
        text(fields, "once", KEY, known.classes[request_class]),
        text(fields, "key", KEY, False),
        bytes(body),
        fields.get("retry") == "1",
        str(fields.get("tenant", "")),
    )  # the body is held past the buffer
