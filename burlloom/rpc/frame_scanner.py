"""Finds the end of a MessagePack message whose bytes arrive in pieces.

The scanner reads the first byte and the length of each value, and skips its content. It keeps its
position between two pieces, so that a message costs the same in one piece or in many, and stops at
the first value that is over a limit.
"""

from typing import NamedTuple

from ..sockets import CloseReason, ConnectionEndedError

MAX_MESSAGE_BYTES = 8 << 10  # a body has at most 2 KiB, and its fields a few hundred bytes
MAX_HEAD_BYTES = 5  # the first byte and the length of a value
MAX_VALUE_BYTES = 4 << 10  # of one string or binary
MAX_DEPTH = 4  # of nested arrays and maps
MAX_ITEMS = 64  # entries of one array or map
MAX_VALUES = 256  # of one message, at any depth; twice what `MAX_ITEMS` fields need


class ValueFormat(NamedTuple):
    """How a value continues after its first byte.

    Attributes:
        length_bytes: Size of the length that follows the first byte; 0 if none follows.
        inline_length: The length, where the first byte or the type determines it.
        kind: The type's name in the MessagePack specification.
    """

    length_bytes: int = 0
    inline_length: int = 0
    kind: str = "number"


# The formats by the ranges of first bytes, from the MessagePack specification.
NUMBER_FORMATS = {
    **dict.fromkeys((0xCC, 0xD0), ValueFormat(inline_length=1)),
    **dict.fromkeys((0xCD, 0xD1), ValueFormat(inline_length=2)),
    **dict.fromkeys((0xCA, 0xCE, 0xD2), ValueFormat(inline_length=4)),
    **dict.fromkeys((0xCB, 0xCF, 0xD3), ValueFormat(inline_length=8)),
}
SIZED_FORMATS = {
    0xC4: ValueFormat(length_bytes=1, kind="bin"),
    0xC5: ValueFormat(length_bytes=2, kind="bin"),
    0xC6: ValueFormat(length_bytes=4, kind="bin"),
    0xD9: ValueFormat(length_bytes=1, kind="str"),
    0xDA: ValueFormat(length_bytes=2, kind="str"),
    0xDB: ValueFormat(length_bytes=4, kind="str"),
    0xDC: ValueFormat(length_bytes=2, kind="array"),
    0xDD: ValueFormat(length_bytes=4, kind="array"),
    0xDE: ValueFormat(length_bytes=2, kind="map"),
    0xDF: ValueFormat(length_bytes=4, kind="map"),
}
VALUE_FORMATS: dict[int, ValueFormat] = {
    **dict.fromkeys((*range(0x80), *range(0xE0, 0x100)), ValueFormat()),  # small integers
    **{0x80 + size: ValueFormat(inline_length=size, kind="map") for size in range(16)},
    **{0x90 + size: ValueFormat(inline_length=size, kind="array") for size in range(16)},
    **{0xA0 + size: ValueFormat(inline_length=size, kind="str") for size in range(32)},
    **dict.fromkeys((0xC0, 0xC2, 0xC3), ValueFormat()),  # nil, false and true
    **NUMBER_FORMATS,
    **SIZED_FORMATS,
}
VALUES_PER_ENTRY = {"array": 1, "map": 2}  # of the types whose length counts entries, not bytes


class FrameScanner:
    """Scans one message.

    Attributes:
        position: Offset of the next value from the start of the message; after the last value, the
            size of the message.
        value_count: How many values were found.
        missing_values: For each open array and map, the innermost at the end, how many values are
            not found yet. The first item counts the message itself.
    """

    def __init__(self) -> None:
        self.position = self.value_count = 0
        self.missing_values = [1]

    def scan(self, message: memoryview) -> bool:
        """Scans on from the last position.

        Args:
            message: All bytes received so far, from the start of the message.

        Returns:
            Whether the message is completely received.

        Raises:
            ConnectionEndedError: A value is unsupported, or the message is over a limit.
        """
        received_bytes = len(message)
        while self.missing_values:
            if self.position >= received_bytes:
                return False
            value_format = VALUE_FORMATS.get(message[self.position])
            if value_format is None:
                raise ConnectionEndedError(
                    CloseReason.MALFORMED,
                    f"unsupported value with first byte {message[self.position]:#x}",
                )
            content_start = self.position + 1 + value_format.length_bytes
            if content_start > received_bytes:
                return False
            length = value_format.inline_length
            if value_format.length_bytes:
                length = int.from_bytes(message[self.position + 1 : content_start], "big")
            self.position = content_start
            self.add_value(value_format.kind, length)
        return self.position <= received_bytes

    def add_value(self, kind: str, length: int) -> None:
        """Counts a value, and skips its bytes or opens it.

        Args:
            kind: The value's type, as in `ValueFormat`.
            length: How many bytes or entries the value has.

        Raises:
            ConnectionEndedError: The message is over a limit.
        """
        self.value_count += 1
        self.missing_values[-1] -= 1
        if kind in VALUES_PER_ENTRY:
            if length > MAX_ITEMS or len(self.missing_values) > MAX_DEPTH:
                depth = len(self.missing_values) - 1
                raise too_large_error(f"{kind} of {length} items at depth {depth}")
            self.missing_values.append(length * VALUES_PER_ENTRY[kind])
        else:
            if length > MAX_VALUE_BYTES:
                raise too_large_error(f"{kind} of {length} bytes")
            self.position += length
        if self.value_count > MAX_VALUES or self.position > MAX_MESSAGE_BYTES:
            raise too_large_error(f"message over {MAX_VALUES} values or {MAX_MESSAGE_BYTES} bytes")
        while self.missing_values and not self.missing_values[-1]:
            self.missing_values.pop()


def too_large_error(detail: str) -> ConnectionEndedError:
    """Returns the error for a message that is over a limit."""
    return ConnectionEndedError(CloseReason.TOO_LARGE, detail)
