"""The messages of PostgreSQL's frontend/backend protocol 3.0, as far as our client uses them. No
I/O.

Source: the chapter "Frontend/Backend Protocol" of PostgreSQL's manual.
"""

import struct
from dataclasses import dataclass

PROTOCOL, SSL, GSS, CANCEL = 196608, 80877103, 80877104, 80877102
MESSAGE_MOST = 16 << 20
BYTEA, INT8, TEXT, VOID = 17, 20, 25, 2278
TYPES = {"bytea": BYTEA, "bigint": INT8, "int8": INT8, "text": TEXT}


class Malformed(Exception):
    """What came is no message of the protocol."""


@dataclass(frozen=True, slots=True)
class Message:
    kind: bytes
    body: bytes


class Reader:
    """Takes parts off a message's body; whatever is short is malformed."""

    def __init__(self, body: bytes) -> None:
        self.body, self.at = body, 0

    def take(self, size: int) -> bytes:
        if size < 0 or self.at + size > len(self.body):
            raise Malformed("message too short")
        self.at += size
        return self.body[self.at - size : self.at]

    def int16(self) -> int:
        return int(struct.unpack(">h", self.take(2))[0])

    def int32(self) -> int:
        return int(struct.unpack(">i", self.take(4))[0])

    def text(self) -> str:
        end = self.body.find(b"\0", self.at)
        if end < 0:
            raise Malformed("text without an end")
        text = self.body[self.at : end].decode("utf-8", "replace")
        self.at = end + 1
        return text

    @property
    def more(self) -> bool:
        return self.at < len(self.body)


def message(kind: bytes, *parts: bytes) -> bytes:
    body = b"".join(parts)
    return kind + struct.pack(">i", len(body) + 4) + body


def text(value: str) -> bytes:
    return value.encode() + b"\0"


def ready(status: str) -> bytes:
    return message(b"Z", status.encode())


def status(name: str, value: str) -> bytes:
    return message(b"S", text(name), text(value))


def error(code: str, said: str, severity: str = "ERROR") -> bytes:
    fields = (b"S" + text(severity), b"V" + text(severity), b"C" + text(code), b"M" + text(said))
    return message(b"E", *fields, b"\0")


def authentication(code: int, more: bytes = b"") -> bytes:
    return message(b"R", struct.pack(">i", code), more)


def described(columns: list[tuple[str, int]]) -> bytes:
    if not columns:
        return message(b"n")
    parts = [struct.pack(">h", len(columns))]
    for name, oid in columns:
        parts.append(
            text(name) + struct.pack(">ihihih", 0, 0, oid, 8 if oid == INT8 else -1, -1, 0)
        )
    return message(b"T", *parts)


def parameters(oids: list[int]) -> bytes:
    return message(b"t", struct.pack(">h", len(oids)), *(struct.pack(">i", oid) for oid in oids))


def encoded(value: object, oid: int, binary: bool) -> bytes:
    """One column: its length and bytes; -1 stands for null."""
    if value is None:
        return struct.pack(">i", -1)
    if oid == INT8 and binary:
        raw = struct.pack(">q", int(str(value)))
    elif oid == BYTEA and not binary:
        raw = b"\\x" + bytes(value).hex().encode()  # type: ignore[call-overload]
    else:
        raw = bytes(value) if isinstance(value, (bytes, memoryview)) else str(value).encode()
    return struct.pack(">i", len(raw)) + raw


def decoded(raw: bytes | None, oid: int, binary: bool) -> object:
    if raw is None:
        return None
    if oid == INT8:
        return struct.unpack(">q", raw)[0] if binary else int(raw)
    if oid == BYTEA:
        return raw if binary else bytes.fromhex(raw.decode()[2:])
    return raw.decode()


def row(values: tuple[object, ...], columns: list[tuple[str, int]], formats: list[bool]) -> bytes:
    parts = [struct.pack(">h", len(values))]
    parts += [
        encoded(value, oid, binary)
        for value, (_, oid), binary in zip(values, columns, formats, strict=True)
    ]
    return message(b"D", *parts)


def formats(codes: list[int], count: int) -> list[bool]:
    """None given: all text; one: for all; else one each."""
    if not codes:
        return [False] * count
    return [bool(codes[0])] * count if len(codes) == 1 else [bool(code) for code in codes]
