"""MessagePack-RPC messages: requests in, answers and notifications out.

msgpack reads a message that is all there. What it cannot read is read here value by value, which
tells an unfinished message from a bad one, and what is wrong with that.
"""

import struct
from typing import Any, NamedTuple

import msgpack

from ..errors import BurlloomError
from ..sockets import CloseReason, ConnectionEndedError

MAX_FRAME_BYTES = 16 << 10  # a body is at most 2 KiB and its fields a few hundred bytes
MAX_DEPTH = 4
MAX_ITEMS = 64
UNPACK_LIMITS = {
    "max_str_len": 256,
    "max_bin_len": 4 << 10,
    "max_array_len": MAX_ITEMS,
    "max_map_len": MAX_ITEMS,
    "max_ext_len": 0,
}

REQUEST_TYPE = 0
RESPONSE_TYPE = 1
NOTIFICATION_TYPE = 2
REQUEST_PARTS = [int, int, str, list]

# By a value's first byte. A fixed-width number: its struct format.
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
# A value with a length: the struct format of the length, and what follows.
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
# Ranges of first bytes that hold the value or the length themselves.
END_OF_SMALL_INTEGERS = 0x80
END_OF_SMALL_MAPS = 0x90
START_OF_SMALL_STRINGS = 0xA0
END_OF_SMALL_STRINGS = 0xC0
START_OF_NEGATIVE_INTEGERS = 0xE0


class IncompleteFrameError(BurlloomError):
    """A message goes on past what was received.

    Attributes:
        end: Offset past the last byte that was received.
    """

    def __init__(self, end: int) -> None:
        super().__init__(f"goes on past {end}")
        self.end = end


class RequestMessage(NamedTuple):
    """One request.

    Attributes:
        message_id: The id that its answer repeats.
        method: The method's name.
        parameters: The method's parameters.
    """

    message_id: int
    method: str
    parameters: list[Any]


class FrameReader:
    """Reads values off a view.

    Attributes:
        position: Where the next value begins.
    """

    def __init__(self, view: memoryview, position: int, end: int) -> None:
        self.view, self.position, self.end = view, position, end

    def read_bytes(self, size: int) -> memoryview:
        """Reads so many bytes.

        Raises:
            ConnectionEndedError: There are more than a message may have.
            IncompleteFrameError: They are not all there yet.
        """
        if size > MAX_FRAME_BYTES:
            raise ConnectionEndedError(CloseReason.TOO_LARGE, f"{size} bytes")
        start, self.position = self.position, self.position + size
        if self.position > self.end:
            raise IncompleteFrameError(self.end)
        return self.view[start : self.position]

    def read_number(self, form: str) -> Any:
        """Reads a number of a struct format."""
        return struct.unpack(form, self.read_bytes(struct.calcsize(form)))[0]

    def read_text(self, size: int) -> str:
        """Reads a string of so many bytes.

        Raises:
            ConnectionEndedError: It is not UTF-8.
        """
        try:
            return str(self.read_bytes(size), "utf-8")
        except UnicodeDecodeError as error:
            raise ConnectionEndedError(CloseReason.MALFORMED, "not utf-8") from error

    def read_value(self, depth: int = 0) -> Any:
        """Reads one value.

        Raises:
            ConnectionEndedError: It is none, or is too large or nested too deep.
            IncompleteFrameError: It is not all there yet.
        """
        if self.position >= self.end:
            raise IncompleteFrameError(self.end)
        first = self.view[self.position]
        self.position += 1
        if START_OF_SMALL_STRINGS <= first < END_OF_SMALL_STRINGS:
            return self.read_text(first & 0x1F)
        if first < END_OF_SMALL_INTEGERS:
            return first
        if first >= START_OF_NEGATIVE_INTEGERS:
            return first - 0x100
        if first < END_OF_SMALL_STRINGS:
            kind = "map" if first < END_OF_SMALL_MAPS else "array"
            return self.read_container(kind, first & 0x0F, depth)
        if first in SIZED_FORMATS:
            form, kind = SIZED_FORMATS[first]
            return self.read_sized(kind, self.read_number(form), depth)
        if first in NUMBER_FORMATS:
            return self.read_number(NUMBER_FORMATS[first])
        if first in CONSTANTS:
            return CONSTANTS[first]
        raise ConnectionEndedError(CloseReason.MALFORMED, f"byte {first:#x}")

    def read_sized(self, kind: str, size: int, depth: int) -> Any:
        """Reads a value of a kind that has a length."""
        if kind == "bin":
            return self.read_bytes(size)
        if kind == "str":
            return self.read_text(size)
        return self.read_container(kind, size, depth)

    def read_container(self, kind: str, size: int, depth: int) -> Any:
        """Reads an array or a map of so many items.

        Raises:
            ConnectionEndedError: It is too large, nested too deep, or a key is no string.
        """
        if size > MAX_ITEMS or depth >= MAX_DEPTH:
            raise ConnectionEndedError(CloseReason.TOO_LARGE, f"{kind} of {size} at depth {depth}")
        if kind == "array":
            return [self.read_value(depth + 1) for _ in range(size)]
        pairs = [(self.read_value(depth + 1), self.read_value(depth + 1)) for _ in range(size)]
        for key, _ in pairs:
            if type(key) is not str:
                raise ConnectionEndedError(CloseReason.WRONG_TYPE, "a key that is no string")
        return dict(pairs)


def read_request(view: memoryview, start: int, end: int) -> tuple[int, RequestMessage]:
    """Reads the request that begins at `start`.

    Returns:
        Where the next one begins, and the request.

    Raises:
        ConnectionEndedError: What is there is no request.
        IncompleteFrameError: It is not all there yet.
    """
    try:
        frame, next_start = msgpack.unpackb(view[start:end], **UNPACK_LIMITS), end
    except msgpack.ExtraData as more:
        frame, next_start = more.unpacked, end - len(more.extra)
    except ValueError:
        # Not all there yet, or bad: reading it value by value tells which, and why.
        reader = FrameReader(view, start, end)
        frame, next_start = reader.read_value(), reader.position
    if not isinstance(frame, list) or len(frame) != len(REQUEST_PARTS):
        raise ConnectionEndedError(CloseReason.MALFORMED, "not a request")
    kind, message_id, method, parameters = frame
    if [type(part) for part in frame] != REQUEST_PARTS:
        raise ConnectionEndedError(CloseReason.WRONG_TYPE, "of a request's parts")
    if kind != REQUEST_TYPE or message_id < 0:
        raise ConnectionEndedError(CloseReason.MALFORMED, f"message type {kind}")
    return next_start, RequestMessage(message_id, method, parameters)


def encode_result(message_id: int, body: bytes, fields: dict[str, str]) -> tuple[bytes, ...]:
    """Returns the pieces of an answer with a result; the body is not copied."""
    # [1, message_id, nil, [body, fields]]: 0x92 begins the list of two
    head = b"\x94\x01" + msgpack.packb(message_id) + b"\xc0\x92"
    return head + b"\xc6" + struct.pack(">I", len(body)), body, msgpack.packb(fields)


def encode_error(message_id: int, name: str, fields: dict[str, str]) -> bytes:
    """Returns an answer with an error."""
    return bytes(msgpack.packb([RESPONSE_TYPE, message_id, [name, fields], None]))


def encode_health(message_id: int, is_healthy: bool, fields: dict[str, str]) -> bytes:
    """Returns the answer to a health check."""
    return bytes(msgpack.packb([RESPONSE_TYPE, message_id, None, [is_healthy, fields]]))


def encode_notification(method: str) -> bytes:
    """Returns a notification without parameters."""
    return bytes(msgpack.packb([NOTIFICATION_TYPE, method, []]))
