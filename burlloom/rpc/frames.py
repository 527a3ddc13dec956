"""MessagePack-RPC frames.

Whole ones are read by msgpack off the slice of the buffer; what it can't read is read by hand,
which tells the unfinished from the bad, and why. Written with msgpack, but for bodies, which go out
as they are.
"""

import struct
from typing import Any

import msgpack

from ..sockets import CloseReason, ConnectionEndedError

MAX_FRAME_BYTES = (
    16 << 10
)  # of one frame: a body is at most 2 KiB and its fields a few hundred bytes
MAX_DEPTH, MAX_ITEMS = 4, 64
UNPACK_LIMITS = {
    "max_str_len": 256,
    "max_bin_len": 4 << 10,
    "max_array_len": MAX_ITEMS,
    "max_map_len": MAX_ITEMS,
    "max_ext_len": 0,
}

# first byte -> width of the length or value that follows, and its struct format
NUMBER_FORMATS = {
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
SIZED_FORMATS = {
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
CONSTANTS = {0xC0: None, 0xC2: False, 0xC3: True}


class IncompleteFrameError(Exception):
    """The frame goes on past what was read."""


class FrameReader:
    """Takes values off a view; `at` is where the next begins."""

    def __init__(self, view: memoryview, at: int, end: int) -> None:
        self.view, self.position, self.end = view, at, end

    def read_bytes(self, size: int) -> memoryview:
        if size > MAX_FRAME_BYTES:
            raise ConnectionEndedError(CloseReason.TOO_LARGE, f"{size} bytes")
        start, self.position = self.position, self.position + size
        if self.position > self.end:
            raise IncompleteFrameError
        return self.view[start : self.position]

    def read_number(self, form: str) -> Any:
        return struct.unpack(form, self.read_bytes(struct.calcsize(form)))[0]

    def read_text(self, size: int) -> str:
        try:
            return str(self.read_bytes(size), "utf-8")
        except UnicodeDecodeError as error:
            raise ConnectionEndedError(CloseReason.MALFORMED, "not utf-8") from error

    def read_value(self, depth: int = 0) -> Any:
        if self.position >= self.end:
            raise IncompleteFrameError
        first = self.view[self.position]
        self.position += 1
        if 0xA0 <= first < 0xC0:
            return self.read_text(first & 31)
        if first < 0x80:
            return first
        if first >= 0xE0:
            return first - 0x100
        if first < 0xC0:
            kind, size = "map" if first < 0x90 else "array", first & 15
        elif first in SIZED_FORMATS:
            form, kind = SIZED_FORMATS[first]
            size = self.read_number(form)
        elif first in NUMBER_FORMATS:
            return self.read_number(NUMBER_FORMATS[first])
        elif first in CONSTANTS:
            return CONSTANTS[first]
        else:
            raise ConnectionEndedError(CloseReason.MALFORMED, f"byte {first:#x}")
        if kind == "bin":
            return self.read_bytes(size)
        if kind == "str":
            return self.read_text(size)
        if size > MAX_ITEMS or depth >= MAX_DEPTH:
            raise ConnectionEndedError(CloseReason.TOO_LARGE, f"{kind} of {size} at depth {depth}")
        if kind == "array":
            return [self.read_value(depth + 1) for _ in range(size)]
        pairs = [(self.read_value(depth + 1), self.read_value(depth + 1)) for _ in range(size)]
        for key, _ in pairs:
            if type(key) is not str:
                raise ConnectionEndedError(CloseReason.WRONG_TYPE, "a key that is no string")
        return dict(pairs)


def read_request(view: memoryview, start: int, end: int) -> tuple[int, tuple[int, str, list[Any]]]:
    """Where the next request begins; message id, method and parameters of the one here."""
    try:
        frame, at = msgpack.unpackb(view[start:end], **UNPACK_LIMITS), end
    except msgpack.ExtraData as more:
        frame, at = more.unpacked, end - len(more.extra)
    except ValueError:
        # Not whole yet, or not to be read: which of the two, and why, is told by hand.
        reader = FrameReader(view, start, end)
        frame, at = reader.read_value(), reader.position
    if not isinstance(frame, list) or len(frame) != 4:
        raise ConnectionEndedError(CloseReason.MALFORMED, "not a request")
    kind, number, method, params = frame
    if [type(part) for part in frame] != [int, int, str, list]:
        raise ConnectionEndedError(CloseReason.WRONG_TYPE, "of a request's parts")
    if kind != 0 or number < 0:
        raise ConnectionEndedError(CloseReason.MALFORMED, f"message type {kind}")
    return at, (number, method, params)


def encode_result(number: int, body: bytes, fields: dict[str, str]) -> tuple[bytes, ...]:
    # [1, number, nil, [body, fields]]: 0x92 opens the list of two
    head = b"\x94\x01" + msgpack.packb(number) + b"\xc0\x92"
    return head + b"\xc6" + struct.pack(">I", len(body)), body, msgpack.packb(fields)


def encode_error(number: int, name: str, fields: dict[str, str]) -> bytes:
    return bytes(msgpack.packb([1, number, [name, fields], None]))


def encode_health(number: int, good: bool, fields: dict[str, str]) -> bytes:
    return bytes(msgpack.packb([1, number, None, [good, fields]]))


def encode_notification(method: str) -> bytes:
    return bytes(msgpack.packb([2, method, []]))
