"""Maps the callers' protocol to this package's terms; frames.py has its encoding.

A request is a method and two parameters: a map of fields and a body. The method is the request
class, or `health`. Each answer carries a map of fields too. No other module uses the protocol's
names.

=================  =============================================================
request field      meaning
=================  =============================================================
``id``             the attempt's id, 16 hexadecimal digits
``at``             when the caller sent it, Unix ms
``from``           the caller's name
``cost``           processor time that the caller expects, ms
``kb``             memory that the request holds, KB
``rank``           priority among the requests of its class, from 0 to under 1
``once``           idempotency key; required in keyed classes
``key``            cache key
``retry``          ``1`` for a retry or a hedged request
``tenant``         the tenant, where the server distinguishes tenants
=================  =============================================================

=================  =============================================================
answer field       meaning
=================  =============================================================
``say``            load report
``after``          with ``Backoff``: how many ms to send this server no request
``last``           with ``Backoff``: ``1`` if no other server should be tried
=================  =============================================================

Errors are ``Backoff`` (rejected), ``Voided`` (failed) and ``BadRequest`` (malformed). The
notification ``shutdown`` asks a caller to close its connection.
"""

import re
from typing import Any

from ..time_units import NS_PER_MS, NS_PER_SECOND
from . import frames
from .incoming_request import (
    ExpiredRequestError,
    IncomingRequest,
    MalformedRequestError,
    RequestRules,
    Responder,
)

HEALTH_METHOD = "health"
SHUTDOWN_NOTIFICATION = frames.encode_notification("shutdown")

MAX_BODY_BYTES = 2 << 10
MAX_COST_MS = 600_000.0
MAX_MEMORY_KB = 2_000.0  # a request's memory is above 0 and below this
# How far `at` may lie in the future, although caller and server share one machine's clock.
MAX_CLOCK_LEAD_NS = 60 * NS_PER_SECOND
MAX_QUOTED_CHARACTERS = 40  # length to which a received value is cut in an error

# How many times the longest deadline `at` may lie in the past.
MAX_AGE_IN_DEADLINES = 2

REQUEST_ID_PATTERN = re.compile(r"[0-9a-f]{16}")
KEY_PATTERN = re.compile(r"[0-9A-Za-z]{1,64}")
CALLER_PATTERN = re.compile(r"[0-9]{1,9}")
MILLISECONDS_PATTERN = re.compile(r"[0-9]{1,15}")
# Excludes the exponents, signs, infinities and NaN that float() would accept.
DECIMAL_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")


def max_request_age_ns(max_deadline_ns: int) -> int:
    """Returns for how long after its first arrival the same bytes are taken as a request, ns.

    Args:
        max_deadline_ns: The longest deadline of all classes.
    """
    return MAX_CLOCK_LEAD_NS + MAX_AGE_IN_DEADLINES * max_deadline_ns


def parse_number(fields: dict[str, Any], name: str, minimum: float, maximum: float) -> float:
    """Returns the number in a field; 0 where the field is missing.

    Raises:
        MalformedRequestError: The field is not a decimal number, or out of its bounds.
    """
    text = fields.get(name, "0")
    if type(text) is not str or not DECIMAL_PATTERN.fullmatch(text):
        raise MalformedRequestError(
            f"field {name} is not a decimal number", f"{text!r:.{MAX_QUOTED_CHARACTERS}}"
        )
    value = float(text)
    if not minimum <= value <= maximum:
        raise MalformedRequestError(f"field {name} is not in [{minimum}, {maximum}]", text)
    return value


def parse_text(
    fields: dict[str, Any], name: str, pattern: re.Pattern[str], is_required: bool
) -> str:
    """Returns the text of a field; empty where an optional field is missing.

    Raises:
        MalformedRequestError: A required field is missing, or the value does not match `pattern`.
    """
    value = fields.get(name)
    if value is None and not is_required:
        return ""
    if type(value) is not str or not pattern.fullmatch(value):
        raise MalformedRequestError(
            f"field {name} does not match {pattern.pattern}",
            f"{value!r:.{MAX_QUOTED_CHARACTERS}}",
        )
    return value


def parse_parameters(parameters: list[Any]) -> tuple[dict[str, Any], bytes | memoryview]:
    """Returns the fields and the body of a request.

    Raises:
        MalformedRequestError: The parameters are not a map and a body, or the body is too large.
    """
    if (
        len(parameters) != 2
        or type(parameters[0]) is not dict
        or not isinstance(parameters[1], (bytes, memoryview))
    ):
        raise MalformedRequestError("parameters are not a map of fields and a binary body")
    fields, body = parameters
    if len(body) > MAX_BODY_BYTES:
        raise MalformedRequestError(
            f"body has more than {MAX_BODY_BYTES} bytes", f"{len(body)} bytes"
        )
    return fields, body


def parse_request(
    responder: Responder,
    message_id: int,
    request_class: str,
    parameters: list[Any],
    rules: RequestRules,
    now_ns: int,
) -> IncomingRequest:
    """Checks everything that can be checked in one message, and returns the request.

    Args:
        responder: Sends the answer.
        message_id: The message id that the answer repeats.
        request_class: The method of the message.
        parameters: The parameters of the message.
        rules: Rules to check the request against.
        now_ns: The current time, Unix ns.

    Raises:
        ExpiredRequestError: The request is well-formed, but was sent too long ago.
        MalformedRequestError: A part of the request is missing or invalid.
    """
    if request_class not in rules.keyed_by_class:
        raise MalformedRequestError(
            "unknown request class", f"{request_class!r:.{MAX_QUOTED_CHARACTERS}}"
        )
    fields, body = parse_parameters(parameters)
    if rules.tenants and fields.get("tenant") not in rules.tenants:
        tenant = fields.get("tenant")
        raise MalformedRequestError(
            "field tenant names no known tenant", f"{tenant!r:.{MAX_QUOTED_CHARACTERS}}"
        )
    sent_at_ns = int(parse_text(fields, "at", MILLISECONDS_PATTERN, True)) * NS_PER_MS
    if sent_at_ns > now_ns + MAX_CLOCK_LEAD_NS:
        raise MalformedRequestError("field at is too far in the future")
    memory_kb = parse_number(fields, "kb", 0, MAX_MEMORY_KB)
    priority = parse_number(fields, "rank", 0, 1)
    if memory_kb == 0 or memory_kb == MAX_MEMORY_KB or priority == 1:
        raise MalformedRequestError(
            f"field kb is not between 0 and {MAX_MEMORY_KB}, or field rank is 1"
        )
    request = IncomingRequest(
        responder,
        message_id,
        request_class,
        parse_text(fields, "id", REQUEST_ID_PATTERN, True),
        sent_at_ns,
        parse_text(fields, "from", CALLER_PATTERN, False),
        int(parse_number(fields, "cost", 0, MAX_COST_MS) * NS_PER_MS),
        memory_kb,
        priority,
        parse_text(fields, "once", KEY_PATTERN, rules.keyed_by_class[request_class]),
        parse_text(fields, "key", KEY_PATTERN, False),
        bytes(body),  # a copy, as the request outlives the content of the receive buffer
        fields.get("retry") == "1",
        str(fields.get("tenant", "")),
    )
    # Last, as only a request that is well-formed otherwise is no fault of its caller.
    if sent_at_ns < now_ns - MAX_AGE_IN_DEADLINES * rules.max_deadline_ns:
        raise ExpiredRequestError("field at is too far in the past")
    return request


def load_report_fields(load_report: str) -> dict[str, str]:
    """Returns the answer fields with the load report; empty before the first load report."""
    return {"say": load_report} if load_report else {}


def encode_rejection(
    message_id: int, retry_after_ns: int, is_final: bool, fields: dict[str, str]
) -> bytes:
    """Returns the answer to a rejected request."""
    if retry_after_ns >= NS_PER_MS:
        fields["after"] = str(retry_after_ns // NS_PER_MS)
    if is_final:
        fields["last"] = "1"
    return frames.encode_error(message_id, "Backoff", fields)


def encode_failure(message_id: int, fields: dict[str, str]) -> bytes:
    """Returns the answer to a failed request."""
    return frames.encode_error(message_id, "Voided", fields)


def encode_malformed(message_id: int, fields: dict[str, str]) -> bytes:
    """Returns the answer to a malformed request."""
    return frames.encode_error(message_id, "BadRequest", fields)
