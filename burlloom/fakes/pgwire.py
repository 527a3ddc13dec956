"""Encodes and decodes the messages of PostgreSQL's frontend/backend protocol 3.0.

Has only the messages that the record's and the stores' client uses. Does no I/O.

Source: the chapter "Frontend/Backend Protocol" of PostgreSQL's manual.
"""

import struct
from dataclasses import dataclass

# Codes of start-up messages.
PROTOCOL_VERSION, SSL_REQUEST, GSS_REQUEST, CANCEL_REQUEST = 196608, 80877103, 80877104, 80877102
MAX_MESSAGE_BYTES = 16 << 20
# Object ids of data types.
BYTEA_OID, INT8_OID, TEXT_OID, VOID_OID = 17, 20, 25, 2278
OID_BY_TYPE = {"bytea": BYTEA_OID, "bigint": INT8_OID, "int8": INT8_OID, "text": TEXT_OID}


class MalformedMessageError(Exception):
    """The received bytes are not a valid message of the protocol."""


@dataclass(frozen=True, slots=True)
class Message:
    """One message.

    Attributes:
        kind: Its type byte.
        body: Its body, without type and length.
    """

    kind: bytes
    body: bytes


class MessageReader:
    """Reads the parts of a message's body one after the other.

    A read beyond the end of the body raises `MalformedMessageError`.

    Attributes:
        body: The body.
        position: Offset of the next part.
    """

    def __init__(self, body: bytes) -> None:
        self.body, self.position = body, 0

    def read_bytes(self, size: int) -> bytes:
        """Reads `size` bytes.

        Raises:
            MalformedMessageError: The body has fewer bytes left, or `size` is negative.
        """
        if size < 0 or self.position + size > len(self.body):
            raise MalformedMessageError(
                f"{size} bytes at offset {self.position} of a body of {len(self.body)} bytes"
            )
        self.position += size
        return self.body[self.position - size : self.position]

    def read_int16(self) -> int:
        """Reads a 16-bit integer."""
        return int(struct.unpack(">h", self.read_bytes(2))[0])

    def read_int32(self) -> int:
        """Reads a 32-bit integer."""
        return int(struct.unpack(">i", self.read_bytes(4))[0])

    def read_text(self) -> str:
        """Reads a text that ends in a zero byte.

        Raises:
            MalformedMessageError: The body has no zero byte left.
        """
        end = self.body.find(b"\0", self.position)
        if end < 0:
            raise MalformedMessageError(f"no end of the text at offset {self.position}")
        text = self.body[self.position : end].decode("utf-8", "replace")
        self.position = end + 1
        return text

    @property
    def has_more(self) -> bool:
        """Whether the body has unread bytes."""
        return self.position < len(self.body)


def encode_message(kind: bytes, *parts: bytes) -> bytes:
    """Returns a message of a type with the joined parts as its body."""
    body = b"".join(parts)
    return kind + struct.pack(">i", len(body) + 4) + body


def encode_text(value: str) -> bytes:
    """Returns a text with its terminating zero byte."""
    return value.encode() + b"\0"


def ready_for_query(status: str) -> bytes:
    """Returns ReadyForQuery with a transaction status: `I`, `T` or `E`."""
    return encode_message(b"Z", status.encode())


def parameter_status(name: str, value: str) -> bytes:
    """Returns ParameterStatus of one server parameter."""
    return encode_message(b"S", encode_text(name), encode_text(value))


def error_response(sqlstate: str, text: str, severity: str = "ERROR") -> bytes:
    """Returns ErrorResponse with a SQLSTATE and a text."""
    fields = (
        b"S" + encode_text(severity),
        b"V" + encode_text(severity),
        b"C" + encode_text(sqlstate),
        b"M" + encode_text(text),
    )
    return encode_message(b"E", *fields, b"\0")


def authentication_request(code: int, data: bytes = b"") -> bytes:
    """Returns an authentication message with its code and the data of its mechanism."""
    return encode_message(b"R", struct.pack(">i", code), data)


def row_description(columns: list[tuple[str, int]]) -> bytes:
    """Returns RowDescription of columns, each a name and a type's object id; or NoData."""
    if not columns:
        return encode_message(b"n")
    parts = [struct.pack(">h", len(columns))]
    for name, oid in columns:
        parts.append(
            encode_text(name)
            + struct.pack(">ihihih", 0, 0, oid, 8 if oid == INT8_OID else -1, -1, 0)
        )
    return encode_message(b"T", *parts)


def parameter_description(oids: list[int]) -> bytes:
    """Returns ParameterDescription of the object ids of a statement's parameter types."""
    return encode_message(
        b"t", struct.pack(">h", len(oids)), *(struct.pack(">i", oid) for oid in oids)
    )


def encode_value(value: object, oid: int, is_binary: bool) -> bytes:
    """Returns the length and the bytes of one column; a length of -1 stands for null."""
    if value is None:
        return struct.pack(">i", -1)
    if oid == INT8_OID and is_binary:
        raw = struct.pack(">q", int(str(value)))
    elif oid == BYTEA_OID and not is_binary:
        raw = b"\\x" + bytes(value).hex().encode()  # type: ignore[call-overload]
    else:
        raw = bytes(value) if isinstance(value, (bytes, memoryview)) else str(value).encode()
    return struct.pack(">i", len(raw)) + raw


def decode_value(raw: bytes | None, oid: int, is_binary: bool) -> object:
    """Returns the value of one parameter."""
    if raw is None:
        return None
    if oid == INT8_OID:
        return struct.unpack(">q", raw)[0] if is_binary else int(raw)
    if oid == BYTEA_OID:
        return raw if is_binary else bytes.fromhex(raw.decode()[2:])
    return raw.decode()


def data_row(
    values: tuple[object, ...], columns: list[tuple[str, int]], formats: list[bool]
) -> bytes:
    """Returns DataRow of one row; `formats` tells for each column whether it is binary."""
    parts = [struct.pack(">h", len(values))]
    parts += [
        encode_value(value, oid, is_binary)
        for value, (_, oid), is_binary in zip(values, columns, formats, strict=True)
    ]
    return encode_message(b"D", *parts)


def expand_formats(codes: list[int], count: int) -> list[bool]:
    """Returns for each of `count` values whether it is binary.

    Without a code all values are text, a single code applies to all, and otherwise each value has
    its own.
    """
    if not codes:
        return [False] * count
    return [bool(codes[0])] * count if len(codes) == 1 else [bool(code) for code in codes]
