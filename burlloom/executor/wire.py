r"""The executor's protocol, mapped to our terms here and nowhere else.

Commands and notices are lines of fields that end in ``\r\n``. A field that is the length of a body
comes last, and the body and another ``\r\n`` follow.

=================================================  ==============================================
command, sent                                      meaning
=================================================  ==============================================
``JOIN <number>``                                  send all notices after this number
``EXEC <request id> <class> <length>`` body        run this request
``RETURN <request id> <length>`` body              the result of the call that its run asked for
``METER <tag>``                                    send the gauges
=================================================  ==============================================

=================================================  ==============================================
notice, received                                   meaning
=================================================  ==============================================
``WELCOME EMPTY|LOADED <age>``                     first line; cold or warm, ms since its start
``EXIT <number> <request id> <status> <ms> <length>`` body  a run ended with this result
``CALLOUT <number> <request id> <length>`` body    a run asks for a call with this body
``METERS <tag> <value>...``                        the gauges
``BAD <command> <request id>``                     a command named a request that is not known
``LOG <number> <text>``                            a line for our log
=================================================  ==============================================
"""

from enum import Enum, StrEnum
from typing import NamedTuple

from ..sockets import NS_PER_MS, CloseReason, ConnectionEndedError, ReceiveBuffer

MAX_LINE_BYTES = 4 << 10
MAX_BODY_BYTES = 1 << 20
MAX_QUOTED_CHARACTERS = 40  # of what was received, in an error's detail
LINE_END = b"\r\n"


class Command(StrEnum):
    """The commands that carry a request."""

    START_RUN = "EXEC"
    SEND_CALL_RESULT = "RETURN"


class NoticeKind(Enum):
    """What a notice tells."""

    WELCOME = "WELCOME"
    RUN_ENDED = "EXIT"
    CALL_REQUESTED = "CALLOUT"
    GAUGES = "METERS"
    COMMAND_REJECTED = "BAD"
    LOG = "LOG"


class RunStatus(Enum):
    """How a run ended."""

    PASSED = "passed"
    FAILED = "failed"
    KILLED = "killed"
    NO_LONGER_NEEDED = "no_longer_needed"
    REJECTED = "rejected"


class Notice(NamedTuple):
    """One notice.

    Attributes:
        kind: What it tells.
        fields: Its fields after the first.
        body: Its body, empty where its kind has none; a slice of the receive buffer.
    """

    kind: NoticeKind
    fields: list[str]
    body: memoryview


class NoticeFormat(NamedTuple):
    """How a notice is laid out.

    Attributes:
        kind: What it tells.
        field_count: How many fields follow the first.
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
    """Returns the command that asks for the gauges; the notice that answers has the same tag."""
    return f"METER {tag}\r\n".encode()


def encode_join(last_notice: int) -> bytes:
    """Returns the command that asks for all notices after `last_notice`."""
    return f"JOIN {last_notice}\r\n".encode()


def malformed(detail: str) -> ConnectionEndedError:
    """Returns the error for bytes that are none of the protocol's."""
    return ConnectionEndedError(CloseReason.MALFORMED, detail)


def parse_integer(text: str) -> int:
    """Parses a number without a sign.

    Raises:
        ConnectionEndedError: It is none.
    """
    if not text.isdecimal():
        raise malformed(f"number {text[:MAX_QUOTED_CHARACTERS]!r}")
    return int(text)


def parse_decimal(text: str) -> float:
    """Parses a number with a fraction.

    Raises:
        ConnectionEndedError: It is none.
    """
    try:
        return float(text)
    except ValueError as error:
        raise malformed(f"number {text[:MAX_QUOTED_CHARACTERS]!r}") from error


def parse_duration_ns(text: str) -> int:
    """Parses a duration in milliseconds; returns nanoseconds.

    Raises:
        ConnectionEndedError: It is no number.
    """
    return int(parse_decimal(text) * NS_PER_MS)


def parse_is_cold(text: str) -> bool:
    """Parses the state of a welcome: whether the executor has served nothing yet.

    Raises:
        ConnectionEndedError: It is no state.
    """
    is_cold = IS_COLD_BY_STATE.get(text)
    if is_cold is None:
        raise malformed(f"state {text}")
    return is_cold


def parse_run_status(text: str) -> RunStatus:
    """Parses how a run ended; a status that is not known counts as failed."""
    return RUN_STATUSES.get(text, RunStatus.FAILED)


def read_notice(buffer: ReceiveBuffer) -> Notice | None:
    """Takes the next notice off the buffer.

    Returns:
        The notice; None where it is not all there yet.

    Raises:
        ConnectionEndedError: What is there is no notice.
    """
    raw = buffer.view.obj
    assert isinstance(raw, bytearray)
    stop = raw.find(LINE_END, buffer.start, buffer.end)
    if stop < 0:
        if buffer.end - buffer.start > MAX_LINE_BYTES:
            raise malformed("line without an end")
        return None
    line = bytes(buffer.view[buffer.start : stop])
    name, *fields = line.split(b" ")
    if name not in NOTICE_FORMATS:
        raise malformed(f"notice {line[:MAX_QUOTED_CHARACTERS]!r}")
    kind, field_count, has_body, is_open_ended = NOTICE_FORMATS[name]
    if len(fields) < field_count or len(fields) > field_count and not is_open_ended:
        raise malformed(f"notice {line[:MAX_QUOTED_CHARACTERS]!r}")
    after, body = stop + len(LINE_END), buffer.view[:0]
    if has_body:
        size = body_length(fields[-1], line)
        if buffer.end < after + size + len(LINE_END):
            return None
        body = buffer.view[after : after + size]
        after += size + len(LINE_END)
        if raw[after - len(LINE_END) : after] != LINE_END:
            raise malformed(f"body of {line[:MAX_QUOTED_CHARACTERS]!r}")
    buffer.start = after
    return Notice(kind, [field.decode("latin-1") for field in fields], body)


def body_length(field: bytes, line: bytes) -> int:
    """Parses the length of a body.

    Raises:
        ConnectionEndedError: It is no number, or over `MAX_BODY_BYTES`.
    """
    if not field.isdigit() or int(field) > MAX_BODY_BYTES:
        raise malformed(f"length in {line[:MAX_QUOTED_CHARACTERS]!r}")
    return int(field)
