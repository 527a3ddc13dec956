"""The executor's notices, read off a buffer."""

from ..sockets import Buffer, Ended, Reason

LINE_MOST = 4 << 10
BODY_MOST = 1 << 20
# name -> words after the name (LOG: at least), and whether the last is the length of a body
NOTICES = {
    b"WELCOME": (2, False),
    b"EXIT": (5, True),
    b"CALLOUT": (3, True),
    b"METERS": (1, False),
    b"BAD": (1, False),
    b"LOG": (1, False),
}
OPEN_ENDED = (b"METERS", b"BAD", b"LOG")


def whole(text: str) -> int:
    if not text.isdecimal():
        raise Ended(Reason.UNREADABLE, f"number {text[:40]!r}")
    return int(text)


def real(text: str) -> float:
    try:
        return float(text)
    except ValueError as error:
        raise Ended(Reason.UNREADABLE, f"number {text[:40]!r}") from error


def notice(buffer: Buffer) -> tuple[list[str], memoryview] | None:
    """The next notice as words and a slice that is its body; None if it is not all there yet."""
    raw = buffer.view.obj
    assert isinstance(raw, bytearray)
    stop = raw.find(b"\r\n", buffer.start, buffer.end)
    if stop < 0:
        if buffer.end - buffer.start > LINE_MOST:
            raise Ended(Reason.UNREADABLE, "line without an end")
        return None
    line = bytes(buffer.view[buffer.start : stop])
    name, *values = line.split(b" ")
    if name not in NOTICES:
        raise Ended(Reason.UNREADABLE, f"notice {line[:40]!r}")
    wanted, sized = NOTICES[name]
    if len(values) < wanted or len(values) > wanted and name not in OPEN_ENDED:
        raise Ended(Reason.UNREADABLE, f"notice {line[:40]!r}")
    after, body = stop + 2, buffer.view[:0]
    if sized:
        if not values[-1].isdigit() or int(values[-1]) > BODY_MOST:
            raise Ended(Reason.UNREADABLE, f"length in {line[:40]!r}")
        size = int(values[-1])
        if buffer.end < after + size + 2:
            return None
        body = buffer.view[after : after + size]
        after += size + 2
        if raw[after - 2 : after] != b"\r\n":
            raise Ended(Reason.UNREADABLE, f"body of {line[:40]!r}")
    buffer.start = after
    return [word.decode("latin-1") for word in (name, *values)], body
