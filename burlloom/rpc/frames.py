"""MessagePack-RPC frames.

Whole ones are read by msgpack off the slice of the buffer; what it can't read is read by hand,
which tells the unfinished from the bad, and why. Written with msgpack, but for bodies, which go out
as they are.
"""

import struct
from typing import Any

import msgpack

from ..sockets import Ended, Reason

MOST = 16 << 10  # of one frame: a body is at most 2 KiB and its fields a few hundred bytes
DEPTH, ITEMS = 4, 64
BOUNDS = {
    "max_str_len": 256,
    "max_bin_len": 4 << 10,
    "max_array_len": ITEMS,
    "max_map_len": ITEMS,
    "max_ext_len": 0,
}

# first byte -> width of the length or value that follows, and its struct format
NUMBERS = {
    0xCA: ">f",
    0xCB: ">d",
    0xCC: ">B",
    0xCD: ">H",
    0xCE: ">I",
    0xCF: ">Q",
    0xD0: ">b",
    0xD1: ">h",
    0xD2: ">i",
    0xD3: ">q",
}
SIZED = {
    0xC4: (">B", "bin"),
    0xC5: (">H", "bin"),
    0xC6: (">I", "bin"),
    0xD9: (">B", "str"),
    0xDA: (">H", "str"),
    0xDB: (">I", "str"),
    0xDC: (">H", "array"),
    0xDD: (">I", "array"),
    0xDE: (">H", "map"),
    0xDF: (">I", "map"),
}
PLAIN = {0xC0: None, 0xC2: False, 0xC3: True}


class Short(Exception):
    """The frame goes on past what was read."""


class Reader:
    """Takes values off a view; `at` is where the next begins."""

    def __init__(self, view: memoryview, at: int, end: int) -> None:
        self.view, self.at, self.end = view, at, end

    def take(self, size: int) -> memoryview:
        if size > MOST:
            raise Ended(Reason.TOO_LARGE, f"{size} bytes")
        start, self.at = self.at, self.at + size
        if self.at > self.end:
            raise Short
        return self.view[start : self.at]

    def number(self, form: str) -> Any:
        return struct.unpack(form, self.take(struct.calcsize(form)))[0]

    def text(self, size: int) -> str:
        try:
            return str(self.take(size), "utf-8")
        except UnicodeDecodeError as error:
            raise Ended(Reason.UNREADABLE, "not utf-8") from error

    def value(self, depth: int = 0) -> Any:
        if self.at >= self.end:
            raise Short
        first = self.view[self.at]
        self.at += 1
        if 0xA0 <= first < 0xC0:
            return self.text(first & 31)
        if first < 0x80:
            return first
        if first >= 0xE0:
            return first - 0x100
        if first < 0xC0:
            kind, size = "map" if first < 0x90 else "array", first & 15
        elif first in SIZED:
            form, kind = SIZED[first]
            size = self.number(form)
        elif first in NUMBERS:
            return self.number(NUMBERS[first])
        elif first in PLAIN:
            return PLAIN[first]
        else:
            raise Ended(Reason.UNREADABLE, f"byte {first:#x}")
        if kind == "bin":
            return self.take(size)
        if kind == "str":
            return self.text(size)
        if size > ITEMS or depth >= DEPTH:
            raise Ended(Reason.TOO_LARGE, f"{kind} of {size} at depth {depth}")
        if kind == "array":
            return [self.value(depth + 1) for _ in range(size)]
        pairs = [(self.value(depth + 1), self.value(depth + 1)) for _ in range(size)]
        for key, _ in pairs:
            if type(key) is not str:
                raise Ended(Reason.WRONG_TYPE, "a key that is no string")
        return dict(pairs)


def request(view: memoryview, start: int, end: int) -> tuple[int, tuple[int, str, list[Any]]]:
    """Where the next request begins; message id, method and parameters of the one here."""
    try:
        frame, at = msgpack.unpackb(view[start:end], **BOUNDS), end
    except msgpack.ExtraData as more:
        frame, at = more.unpacked, end - len(more.extra)
    except ValueError:
        # Not whole yet, or not to be read: which of the two, and why, is told by hand.
        reader = Reader(view, start, end)
        frame, at = reader.value(), reader.at
    if not isinstance(frame, list) or len(frame) != 4:
        raise Ended(Reason.UNREADABLE, "not a request")
    kind, number, method, params = frame
    if [type(part) for part in frame] != [int, int, str, list]:
        raise Ended(Reason.WRONG_TYPE, "of a request's parts")
    if kind != 0 or number < 0:
        raise Ended(Reason.UNREADABLE, f"message type {kind}")
    return at, (number, method, params)


def result(number: int, body: bytes, fields: dict[str, str]) -> tuple[bytes, ...]:
    # [1, number, nil, [body, fields]]: 0x92 opens the list of two
    head = b"\x94\x01" + msgpack.packb(number) + b"\xc0\x92"
    return head + b"\xc6" + struct.pack(">I", len(body)), body, msgpack.packb(fields)


def error(number: int, name: str, fields: dict[str, str]) -> bytes:
    return bytes(msgpack.packb([1, number, [name, fields], None]))


def health(number: int, good: bool, fields: dict[str, str]) -> bytes:
    return bytes(msgpack.packb([1, number, None, [good, fields]]))


def notification(method: str) -> bytes:
    return bytes(msgpack.packb([2, method, []]))
