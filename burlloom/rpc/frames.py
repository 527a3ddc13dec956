"""Decodes MessagePack-RPC requests, and encodes answers and notifications.

The msgpack library decodes complete, valid messages. A message that it cannot decode is decoded
here value by value, which distinguishes an incomplete message from a malformed one and finds the
fault.
"""

import struct
from typing import Any, NamedTuple

import msgpack

from ..errors import BurlloomError
from ..sockets import CloseReason, ConnectionEndedError

MAX_FRAME_BYTES = 16 << 10  # a body has at most 2 KiB and its fields have a few hundred bytes
MAX_DEPTH = 4  # of nested arrays and maps
MAX_ITEMS = 64  # of one array or map
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
REQUEST_PARTS = [int, int, str, list]  # message type, message id, method, parameters

# The struct format of each fixed-width number, by the value's first byte.
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
# The struct format of the length, and the kind, of each value that has a length, by its first byte.
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
# Bounds of the ranges of first bytes that contain the value or the length itself.
END_OF_SMALL_INTEGERS = 0x80
END_OF_SMALL_MAPS = 0x90
START_OF_SMALL_STRINGS = 0xA0
END_OF_SMALL_STRINGS = 0xC0
START_OF_NEGATIVE_INTEGERS = 0xE0


class IncompleteFrameError(BurlloomError):
    """A message is not completely received.

    Attributes:
        end: Offset past the last received byte.
    """

    def __init__(self, end: int) -> None:
        super().__init__(f"message continues past byte {end}, the end of the received data")
        self.end = end


class RequestMessage(NamedTuple):
    """A decoded request message.

    Attributes:
        message_id: The id that the answer repeats.
        method: The method's name.
        parameters: The method's parameters.
    """

    message_id: int
    method: str
    parameters: list[Any]


class FrameReader:
    """Decodes MessagePack values one after the other.

    Attributes:
        view: The buffer to read from.
        position: Offset of the next value.
        end: Offset past the last received byte.
    """

    def __init__(self, view: memoryview, position: int, end: int) -> None:
        self.view, self.position, self.end = view, position, end

    def read_bytes(self, size: int) -> memoryview:
        """Reads `size` bytes.

        Raises:
            ConnectionEndedError: `size` is over `MAX_FRAME_BYTES`.
            IncompleteFrameError: Some of the bytes are not received yet.
        """
        if size > MAX_FRAME_BYTES:
            raise ConnectionEndedError(CloseReason.TOO_LARGE, f"value of {size} bytes")
        start, self.position = self.position, self.position + size
        if self.position > self.end:
            raise IncompleteFrameError(self.end)
        return self.view[start : self.position]

    def read_number(self, struct_format: str) -> Any:
        """Reads a number in a format of the struct module."""
        return struct.unpack(struct_format, self.read_bytes(struct.calcsize(struct_format)))[0]

    def read_text(self, size: int) -> str:
        """Reads a string of `size` bytes.

        Raises:
            ConnectionEndedError: The string is not UTF-8 or too large.
            IncompleteFrameError: Some of its bytes are not received yet.
        """
        try:
            return str(self.read_bytes(size), "utf-8")
        except UnicodeDecodeError as error:
            raise ConnectionEndedError(CloseReason.MALFORMED, "string is not UTF-8") from error

    def read_value(self, depth: int = 0) -> Any:
        """Reads one value.

        Raises:
            ConnectionEndedError: The value is malformed, too large or nested too deep.
            IncompleteFrameError: Some of its bytes are not received yet.
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
            length_format, kind = SIZED_FORMATS[first]
            return self.read_sized(kind, self.read_number(length_format), depth)
        if first in NUMBER_FORMATS:
            return self.read_number(NUMBER_FORMATS[first])
        if first in CONSTANTS:
            return CONSTANTS[first]
        raise ConnectionEndedError(
            CloseReason.MALFORMED, f"unsupported value with first byte {first:#x}"
        )

    def read_sized(self, kind: str, size: int, depth: int) -> Any:
        """Reads the content of a binary, string, array or map of length `size`."""
        if kind == "bin":
            return self.read_bytes(size)
        if kind == "str":
            return self.read_text(size)
        return self.read_container(kind, size, depth)

    def read_container(self, kind: str, size: int, depth: int) -> Any:
        """Reads the `size` items of an array or a map.

        Raises:
            ConnectionEndedError: It has too many items, is nested too deep, or a key of the map is
                not a string.
            IncompleteFrameError: Some of its bytes are not received yet.
        """
        if size > MAX_ITEMS or depth >= MAX_DEPTH:
            raise ConnectionEndedError(
                CloseReason.TOO_LARGE, f"{kind} of {size} items at depth {depth}"
            )
        if kind == "array":
            return [self.read_value(depth + 1) for _ in range(size)]
        pairs = [(self.read_value(depth + 1), self.read_value(depth + 1)) for _ in range(size)]
        for key, _ in pairs:
            if type(key) is not str:
                raise ConnectionEndedError(CloseReason.WRONG_TYPE, "map key is not a string")
        return dict(pairs)


def read_request(view: memoryview, start: int, end: int) -> tuple[int, RequestMessage]:
    """Reads the request message that begins at `start`.

    Returns:
        The offset of the next message, and the request.

    Raises:
        ConnectionEndedError: The bytes are not a request message.
        IncompleteFrameError: The message is not completely received.
    """
    try:
        frame, next_start = msgpack.unpackb(view[start:end], **UNPACK_LIMITS), end
    except msgpack.ExtraData as error:
        frame, next_start = error.unpacked, end - len(error.extra)
    except ValueError:
        # Incomplete or malformed: reading value by value raises the error that applies.
        reader = FrameReader(view, start, end)
        frame, next_start = reader.read_value(), reader.position
    if not isinstance(frame, list) or len(frame) != len(REQUEST_PARTS):
        raise ConnectionEndedError(CloseReason.MALFORMED, "message is not an array of four parts")
    message_type, message_id, method, parameters = frame
    if [type(part) for part in frame] != REQUEST_PARTS:
        raise ConnectionEndedError(
            CloseReason.WRONG_TYPE, "a part of the request message has the wrong type"
        )
    if message_type != REQUEST_TYPE or message_id < 0:
        raise ConnectionEndedError(
            CloseReason.MALFORMED, f"message of type {message_type} with id {message_id}"
        )
    return next_start, RequestMessage(message_id, method, parameters)


def encode_result(message_id: int, body: bytes, fields: dict[str, str]) -> tuple[bytes, ...]:
    """Returns the pieces of an answer with a result, without copying the body."""
    # [RESPONSE_TYPE, message_id, nil, [body, fields]]; 0x92 begins an array of two items
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
