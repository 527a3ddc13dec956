"""The callers' protocol, mapped to our terms here and nowhere else; frames.py has its encoding.

A request is a method and two parameters, a map of fields and a body. The method is the request
class, or `health`. Each answer carries a map of fields too.

=================  =============================================================
request field      meaning
=================  =============================================================
``id``             the attempt's id, 16 hexadecimal digits
``at``             when it was sent, Unix ms
``from``           the caller's name
``cost``           processor time that the caller expects, ms
``kb``             memory that the request holds, KB
``rank``           its priority among those of its class, from 0 to under 1
``once``           idempotency key; classes that are keyed must have it
``key``            cache key
``retry``          ``1`` for a retry or a hedged request
``tenant``         the tenant, where they are told apart
=================  =============================================================

=================  =============================================================
answer field       meaning
=================  =============================================================
``say``            load report
``after``          with ``Backoff``: stay away so many ms
``last``           with ``Backoff``: ``1`` for not to be tried at another server
=================  =============================================================

Errors are ``Backoff`` (rejected), ``Voided`` (failed) and ``BadRequest`` (malformed). The
notification ``shutdown`` asks a caller to close its connection.
"""

import re
from typing import Any

from ..sockets import NS_PER_MS, NS_PER_SECOND
from . import frames
from .incoming_request import IncomingRequest, MalformedRequestError, RequestRules, Responder

HEALTH_METHOD = "health"
SHUTDOWN_NOTIFICATION = frames.encode_notification("shutdown")

MAX_BODY_BYTES = 2 << 10
MAX_COST_MS = 600_000.0
MAX_MEMORY_KB = 2_000.0
# By how much a caller's clock may be ahead of ours, though both are of one machine; it may be
# behind by two deadlines.
MAX_CLOCK_LEAD_NS = 60 * NS_PER_SECOND
MAX_QUOTED_CHARACTERS = 40  # of what was received, in an error

REQUEST_ID_PATTERN = re.compile(r"[0-9a-f]{16}")
KEY_PATTERN = re.compile(r"[0-9A-Za-z]{1,64}")
CALLER_PATTERN = re.compile(r"[0-9]{1,9}")
MILLISECONDS_PATTERN = re.compile(r"[0-9]{1,15}")
# No exponent, sign, infinity or NaN, which float() would take too.
DECIMAL_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")


def parse_number(fields: dict[str, Any], name: str, least: float, most: float) -> float:
    """Returns a field's number; 0 where the field is missing.

    Raises:
        MalformedRequestError: It is no number, or out of its bounds.
    """
    text = fields.get(name, "0")
    if type(text) is not str or not DECIMAL_PATTERN.fullmatch(text):
        raise MalformedRequestError(name, f"{text!r:.{MAX_QUOTED_CHARACTERS}}")
    value = float(text)
    if not least <= value <= most:
        raise MalformedRequestError(name, text)
    return value


def parse_text(
    fields: dict[str, Any], name: str, pattern: re.Pattern[str], is_required: bool
) -> str:
    """Returns a field's text; empty where the field is missing and may be.

    Raises:
        MalformedRequestError: It is missing, no text, or does not match the pattern.
    """
    value = fields.get(name)
    if value is None and not is_required:
        return ""
    if type(value) is not str or not pattern.fullmatch(value):
        raise MalformedRequestError(name, f"{value!r:.{MAX_QUOTED_CHARACTERS}}")
    return value


def parse_parameters(parameters: list[Any]) -> tuple[dict[str, Any], bytes | memoryview]:
    """Returns a request's fields and body.

    Raises:
        MalformedRequestError: They are not these two, or the body is too large.
    """
    if (
        len(parameters) != 2
        or type(parameters[0]) is not dict
        or not isinstance(parameters[1], (bytes, memoryview))
    ):
        raise MalformedRequestError("parameters")
    fields, body = parameters
    if len(body) > MAX_BODY_BYTES:
        raise MalformedRequestError("body", f"of {len(body)}")
    return fields, body


def parse_request(
    responder: Responder,
    message_id: int,
    request_class: str,
    parameters: list[Any],
    rules: RequestRules,
    now: int,
) -> IncomingRequest:
    """Checks all that one message alone can tell, and returns the request.

    Args:
        responder: Where the answer goes.
        message_id: The message's id there.
        request_class: The method of the message.
        parameters: The parameters of the message.
        rules: What to check against.
        now: Unix ns.

    Raises:
        MalformedRequestError: A part of it is missing or wrong.
    """
    if request_class not in rules.keyed_by_class:
        raise MalformedRequestError("class", f"{request_class!r:.{MAX_QUOTED_CHARACTERS}}")
    fields, body = parse_parameters(parameters)
    if rules.tenants and fields.get("tenant") not in rules.tenants:
        tenant = fields.get("tenant")
        raise MalformedRequestError("tenant", f"{tenant!r:.{MAX_QUOTED_CHARACTERS}}")
    sent_at_ns = int(parse_text(fields, "at", MILLISECONDS_PATTERN, True)) * NS_PER_MS
    if not now - 2 * rules.max_deadline_ns <= sent_at_ns <= now + MAX_CLOCK_LEAD_NS:
        raise MalformedRequestError("at")
    memory_kb = parse_number(fields, "kb", 0, MAX_MEMORY_KB)
    priority = parse_number(fields, "rank", 0, 1)
    if memory_kb == 0 or memory_kb == MAX_MEMORY_KB or priority == 1:
        raise MalformedRequestError("kb or rank")
    return IncomingRequest(
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
        bytes(body),  # a copy: it outlives the receive buffer
        fields.get("retry") == "1",
        str(fields.get("tenant", "")),
    )


def load_report_fields(load_report: str) -> dict[str, str]:
    """Returns the fields that each answer carries; empty before the first load report."""
    return {"say": load_report} if load_report else {}


def encode_rejection(
    message_id: int, retry_after_ns: int, is_final: bool, fields: dict[str, str]
) -> bytes:
    """Returns the answer to a request that is not served."""
    if retry_after_ns >= NS_PER_MS:
        fields["after"] = str(retry_after_ns // NS_PER_MS)
    if is_final:
        fields["last"] = "1"
    return frames.encode_error(message_id, "Backoff", fields)


def encode_failure(message_id: int, fields: dict[str, str]) -> bytes:
    """Returns the answer to a request that failed."""
    return frames.encode_error(message_id, "Voided", fields)


def encode_malformed(message_id: int, fields: dict[str, str]) -> bytes:
    """Returns the answer to a request that cannot be taken."""
    return frames.encode_error(message_id, "BadRequest", fields)
