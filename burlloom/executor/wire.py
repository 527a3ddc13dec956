r"""Maps the executor's protocol to this package's terms; no other module uses its names.

Commands and notices are lines of fields that end in ``\r\n``. If a message has a body, its last
field is the body's length in bytes, and the body and another ``\r\n`` follow the line.

=================================================  ==============================================
command, sent                                      meaning
=================================================  ==============================================
``JOIN <number>``                                  send all notices after this number
``EXEC <request id> <class> <length>`` body        run this request
``RETURN <request id> <length>`` body              the result of the call that its run requested
``METER <tag>``                                    send the gauges
=================================================  ==============================================

=================================================  ==============================================
notice, received                                   meaning
=================================================  ==============================================
``WELCOME EMPTY|LOADED <age>``                     first line: cold or warm, ms since its start
``EXIT <number> <request id> <status> <ms> <length>`` body  a run ended with this result
``CALLOUT <number> <request id> <length>`` body    a run requests a call with this body
``METERS <tag> <value>...``                        the gauges
``BAD <command> <request id>``                     a command named an unknown request
``LOG <number> <text>``                            a line for the server's log
=================================================  ==============================================
"""

from enum import Enum, StrEnum
from typing import NamedTuple

from ..sockets import CloseReason, ConnectionEndedError, ReceiveBuffer
from ..time_units import NS_PER_MS

MAX_LINE_BYTES = 4 << 10
MAX_BODY_BYTES = 1 << 20
MAX_QUOTED_CHARACTERS = 40  # length to which a received value is cut in an error's detail
LINE_END = b"\r\n"


class Command(StrEnum):
    """The commands that carry a request id."""

    START_RUN = "EXEC"
    SEND_CALL_RESULT = "RETURN"


class NoticeKind(Enum):
    """The kinds of notices."""

    WELCOME = "WELCOME"
    RUN_ENDED = "EXIT"
    CALL_REQUESTED = "CALLOUT"
    GAUGES = "METERS"
    COMMAND_REJECTED = "BAD"
    LOG = "LOG"


class RunStatus(Enum):
    """How a run ended.

    A KILLED run was stopped before its end. A run that is NO_LONGER_NEEDED was not begun, since
    nobody needs its result. REJECTED means that the executor does not know the request. The
    executor never sends UNCERTAIN: the command that starts the run may be lost and is not repeated.
    """

    PASSED = "passed"
    FAILED = "failed"
    KILLED = "killed"
    NO_LONGER_NEEDED = "no_longer_needed"
    REJECTED = "rejected"
    UNCERTAIN = "uncertain"


class Notice(NamedTuple):
    """A received notice.

    Attributes:
        kind: Its kind.
        fields: Its fields after the name.
        body: Its body, empty if its kind has none; a slice of the receive buffer.
    """

    kind: NoticeKind
    fields: list[str]
    body: memoryview


class NoticeFormat(NamedTuple):
    """The format of a kind of notice.

    Attributes:
        kind: The kind of notice.
        field_count: How many fields follow the name, at least.
        has_body: Whether the last field is the length of a body.
        is_open_ended: Whether more fields may follow.
    """

    kind: NoticeKind
    field_count: int
    has_body: bool
    is_open_ended: bool


NOTICE_FORMATS = {
    b"WELCOME": NoticeFormat(NoticeKind.WELCOME, 2, has_body=False, is_open_ended=False),
    b"EXIT": NoticeFormat(NoticeKind.RUN_ENDED, 5, has_body=True, is_open_ended=False),
    b"CALLOUT": NoticeFormat(NoticeKind.CALL_REQUESTED, 3, has_body=True, is_open_ended=False),
    b"METERS": NoticeFormat(NoticeKind.GAUGES, 1, has_body=False, is_open_ended=True),
    b"BAD": NoticeFormat(NoticeKind.COMMAND_REJECTED, 1, has_body=False, is_open_ended=True),
    b"LOG": NoticeFormat(NoticeKind.LOG, 1, has_body=False, is_open_ended=True),
}

IS_COLD_BY_STATE = {"EMPTY": True, "LOADED": False}

RUN_STATUSES = {
    "PASS": RunStatus.PASSED,
    "FAIL": RunStatus.FAILED,
    "KILLED": RunStatus.KILLED,
    "NOOP": RunStatus.NO_LONGER_NEEDED,
    "BAD": RunStatus.REJECTED,
}


def encode_start_run(request_id: str, request_class: str, body: bytes) -> bytes:
    """Returns the command that starts a run."""
    return f"EXEC {request_id} {request_class} {len(body)}\r\n".encode() + body + LINE_END


def encode_call_result(request_id: str, result: bytes) -> bytes:
    """Returns the command that gives a run the result of its call."""
    return f"RETURN {request_id} {len(result)}\r\n".encode() + result + LINE_END


def encode_gauge_query(tag: str) -> bytes:
    """Returns the command that queries the gauges; the answering notice has the same tag."""
    return f"METER {tag}\r\n".encode()


def encode_join(last_notice: int) -> bytes:
    """Returns the command that requests all notices after `last_notice`."""
    return f"JOIN {last_notice}\r\n".encode()


def malformed_error(detail: str) -> ConnectionEndedError:
    """Returns the error for bytes that violate the protocol."""
    return ConnectionEndedError(CloseReason.MALFORMED, detail)


def parse_integer(text: str) -> int:
    """Parses an integer without a sign.

    Raises:
        ConnectionEndedError: The text is not such a number.
    """
    if not text.isdecimal():
        raise malformed_error(f"not an integer: {text[:MAX_QUOTED_CHARACTERS]!r}")
    return int(text)


def parse_decimal(text: str) -> float:
    """Parses a number that may have a fraction.

    Raises:
        ConnectionEndedError: The text is not a number.
    """
    try:
        return float(text)
    except ValueError as error:
        raise malformed_error(f"not a number: {text[:MAX_QUOTED_CHARACTERS]!r}") from error


def parse_duration_ns(text: str) -> int:
    """Parses a duration in milliseconds; returns nanoseconds.

    Raises:
        ConnectionEndedError: The text is not a number.
    """
    return int(parse_decimal(text) * NS_PER_MS)


def parse_is_cold(text: str) -> bool:
    """Parses the state in a welcome; returns whether the executor is cold.

    Raises:
        ConnectionEndedError: The text is not a known state.
    """
    is_cold = IS_COLD_BY_STATE.get(text)
    if is_cold is None:
        raise malformed_error(f"unknown executor state {text}")
    return is_cold


def parse_run_status(text: str) -> RunStatus:
    """Parses the status of a run; an unknown status counts as failed."""
    return RUN_STATUSES.get(text, RunStatus.FAILED)


def read_notice(buffer: ReceiveBuffer) -> Notice | None:
    """Removes the next notice from the buffer.

    Returns:
        The notice; None while it is incomplete.

    Raises:
        ConnectionEndedError: The bytes are not a valid notice.
    """
    raw = buffer.view.obj
    assert isinstance(raw, bytearray)
    stop = raw.find(LINE_END, buffer.start, buffer.end)
    if stop < 0:
        if buffer.end - buffer.start > MAX_LINE_BYTES:
            raise malformed_error(f"no end of line in {MAX_LINE_BYTES} bytes")
        return None
    line = bytes(buffer.view[buffer.start : stop])
    name, *fields = line.split(b" ")
    if name not in NOTICE_FORMATS:
        raise malformed_error(f"unknown notice {line[:MAX_QUOTED_CHARACTERS]!r}")
    kind, field_count, has_body, is_open_ended = NOTICE_FORMATS[name]
    if len(fields) < field_count or len(fields) > field_count and not is_open_ended:
        raise malformed_error(f"wrong number of fields in {line[:MAX_QUOTED_CHARACTERS]!r}")
    after, body = stop + len(LINE_END), buffer.view[:0]
    if has_body:
        size = parse_body_length(fields[-1], line)
        if buffer.end < after + size + len(LINE_END):
            return None
        body = buffer.view[after : after + size]
        after += size + len(LINE_END)
        if raw[after - len(LINE_END) : after] != LINE_END:
            raise malformed_error(f"no end after the body of {line[:MAX_QUOTED_CHARACTERS]!r}")
    buffer.start = after
    return Notice(kind, [field.decode("latin-1") for field in fields], body)


def parse_body_length(field: bytes, line: bytes) -> int:
    """Parses the length of a body, in bytes.

    Args:
        field: The field with the length.
        line: The line of the notice, for the error.

    Raises:
        ConnectionEndedError: The field is not a number, or is over `MAX_BODY_BYTES`.
    """
    if not field.isdigit() or int(field) > MAX_BODY_BYTES:
        raise malformed_error(f"invalid body length in {line[:MAX_QUOTED_CHARACTERS]!r}")
    return int(field)
