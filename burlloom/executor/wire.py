"""The executor's notices, read off a buffer."""

from enum import Enum

from ..sockets import CloseReason, ConnectionEndedError, ReceiveBuffer

MAX_LINE_BYTES = 4 << 10
MAX_BODY_BYTES = 1 << 20
# name -> words after the name (LOG: at least), and whether the last is the length of a body
NOTICE_FORMATS = {
    b"WELCOME": (2, False),
    b"EXIT": (5, True),
    b"CALLOUT": (3, True),
    b"METERS": (1, False),
    b"BAD": (1, False),
    b"LOG": (1, False),
}
OPEN_ENDED_NOTICES = (b"METERS", b"BAD", b"LOG")


class RunStatus(Enum):
    """How a run ended."""

    PASSED = "passed"
    FAILED = "failed"
    KILLED = "killed"
    NO_LONGER_NEEDED = "no_longer_needed"
    REJECTED = "rejected"


RUN_STATUSES = {
    "PASS": RunStatus.PASSED,
    "FAIL": RunStatus.FAILED,
    "KILLED": RunStatus.KILLED,
    "NOOP": RunStatus.NO_LONGER_NEEDED,
    "BAD": RunStatus.REJECTED,
}


def parse_integer(text: str) -> int:
    if not text.isdecimal():
        raise ConnectionEndedError(CloseReason.MALFORMED, f"number {text[:40]!r}")
    return int(text)


def parse_decimal(text: str) -> float:
    try:
        return float(text)
    except ValueError as error:
        raise ConnectionEndedError(CloseReason.MALFORMED, f"number {text[:40]!r}") from error


def read_notice(buffer: ReceiveBuffer) -> tuple[list[str], memoryview] | None:
    """The next notice as words and a slice that is its body; None if it is not all there yet."""
    raw = buffer.view.obj
    assert isinstance(raw, bytearray)
    stop = raw.find(b"\r\n", buffer.start, buffer.end)
    if stop < 0:
        if buffer.end - buffer.start > MAX_LINE_BYTES:
            raise ConnectionEndedError(CloseReason.MALFORMED, "line without an end")
        return None
    line = bytes(buffer.view[buffer.start : stop])
    name, *values = line.split(b" ")
    if name not in NOTICE_FORMATS:
        raise ConnectionEndedError(CloseReason.MALFORMED, f"notice {line[:40]!r}")
    wanted, sized = NOTICE_FORMATS[name]
    if len(values) < wanted or len(values) > wanted and name not in OPEN_ENDED_NOTICES:
        raise ConnectionEndedError(CloseReason.MALFORMED, f"notice {line[:40]!r}")
    after, body = stop + 2, buffer.view[:0]
    if sized:
        if not values[-1].isdigit() or int(values[-1]) > MAX_BODY_BYTES:
            raise ConnectionEndedError(CloseReason.MALFORMED, f"length in {line[:40]!r}")
        size = int(values[-1])
        if buffer.end < after + size + 2:
            return None
        body = buffer.view[after : after + size]
        after += size + 2
        if raw[after - 2 : after] != b"\r\n":
            raise ConnectionEndedError(CloseReason.MALFORMED, f"body of {line[:40]!r}")
    buffer.start = after
    return [word.decode("latin-1") for word in (name, *values)], body
