"""Messages between members, and their codec: sealed datagrams. No I/O.

A datagram is 16 bytes of a keyed BLAKE2b (RFC 7693) over the rest, then a MessagePack array:
version, kind, the sender's own update, a sequence number, whole numbers, a name, updates on other
members. What is not exactly that is refused.

A datagram that is played again says nothing new: updates are ordered by themselves, answers carry
the sequence number that was asked with, reports count up.
"""

import hashlib
import hmac
from enum import IntEnum
from functools import lru_cache
from typing import Any, NamedTuple

import msgpack

from ..errors import BurlloomError
from .membership import MemberState, MemberUpdate

__all__ = [
    "MAX_UPDATES",
    "MIN_KEY_BYTES",
    "Message",
    "MessageDecodeError",
    "MessageKind",
    "decode",
    "encode",
    "parse_address",
]

VERSION = 1
TAG_BYTES = 16
MAX_DATAGRAM_BYTES = 1400  # fits a frame of Ethernet
MAX_UPDATES = 10
MAX_VALUES = 5
MAX_NAME_BYTES = 64  # a datagram with all updates of the longest names fits
MAX_INTEGER = (1 << 63) - 1
MIN_KEY_BYTES = 16

_MESSAGE_FIELDS = 7
_UPDATE_FIELDS = 5
_MAX_ARRAY_LENGTH = 16
_MAX_CACHED_ADDRESSES = 4096
_IPV4_PARTS = 4


class MessageKind(IntEnum):
    """What a message is for; a datagram carries the number."""

    PING = 0  # is the receiver alive; values: digests of our view and of our settings
    ACK = 1  # the answer to the PING of that sequence number; the same values
    PING_REQUEST = 2  # ping the named member, and pass its ACK on
    SYNC = 3  # send a page of your view, from behind that name
    PAGE = 4  # updates of the view, and the name to go on from; empty: that was all
    REPORT = 5  # to the allocator; values: the fields of `ShareReport`
    GRANT = 6  # to the REPORT of that number; values: the share, and 1 where it is confirmed
    LEAVE = 7  # our own update says that we left
    PREVIOUS_INCARNATION = 8  # to one that was started again: the last one, which did not leave
    REDIRECT = 9  # to the REPORT of that number: another member, whose update goes along, allocates
    RELEASE = 10  # that was our last REPORT to you: don't count us; a REDIRECT answers


class Message(NamedTuple):
    """One datagram's content.

    Attributes:
        kind: What it is for, and so what the other fields mean.
        sender: The sender's update on itself.
        sequence: Of the sender's own counter; an answer carries that of the question.
        values: Whole numbers from 0 on.
        name: Of a member.
        updates: On other members.
    """

    kind: MessageKind
    sender: MemberUpdate
    sequence: int
    values: tuple[int, ...] = ()
    name: str = ""
    updates: tuple[MemberUpdate, ...] = ()


class MessageDecodeError(BurlloomError):
    """A datagram that no member with our key would send.

    Attributes:
        reason: What is wrong with it.
        size: Of the datagram, in bytes; 0 where its content is wrong, not its envelope.
    """

    def __init__(self, reason: str, size: int = 0) -> None:
        """Keeps both, and shows the reason."""
        super().__init__(reason)
        self.reason = reason
        self.size = size


def encode(message: Message, key: bytes) -> bytes:
    """Returns the datagram, sealed with `key`."""
    content: bytes = msgpack.packb(
        [
            VERSION,
            int(message.kind),
            [*message.sender],
            message.sequence,
            message.values,
            message.name,
            [[*update] for update in message.updates],
        ]
    )
    return _tag(key, content) + content


def decode(data: bytes, keys: tuple[bytes, ...]) -> Message:
    """Reads a datagram.

    Args:
        data: The datagram.
        keys: Any of them will do, so that keys can be changed while the fleet runs.

    Raises:
        MessageDecodeError: No member with one of the keys sent it.
    """
    if not TAG_BYTES < len(data) <= MAX_DATAGRAM_BYTES:
        raise MessageDecodeError(f"of {len(data)} bytes", len(data))
    tag, content = data[:TAG_BYTES], data[TAG_BYTES:]
    if not any(hmac.compare_digest(tag, _tag(key, content)) for key in keys):
        raise MessageDecodeError("not sealed with our key", len(data))
    try:
        fields = msgpack.unpackb(
            content,
            max_array_len=_MAX_ARRAY_LENGTH,
            max_map_len=0,
            max_ext_len=0,
            max_str_len=MAX_NAME_BYTES,
        )
    except (ValueError, msgpack.UnpackException, RecursionError) as error:
        raise MessageDecodeError(f"no MessagePack: {error}", len(data)) from error
    return _read_message(fields)


def _tag(key: bytes, content: bytes) -> bytes:
    return hashlib.blake2b(content, key=key, digest_size=TAG_BYTES).digest()


def _read_message(fields: Any) -> Message:
    if type(fields) is not list or len(fields) != _MESSAGE_FIELDS or fields[0] != VERSION:
        raise MessageDecodeError("of another version")
    _, kind, sender, sequence, values, name, updates = fields
    if type(kind) is not int or not 0 <= kind < len(MessageKind):
        raise MessageDecodeError(f"of no kind: {kind!r}")
    if not _is_integer(sequence) or not _are_values(values):
        raise MessageDecodeError("numbers that are none")
    if type(name) is not str or type(updates) is not list or len(updates) > MAX_UPDATES:
        raise MessageDecodeError("names or words that are none")
    return Message(
        MessageKind(kind),
        _read_update(sender),
        sequence,
        tuple(values),
        name,
        tuple(map(_read_update, updates)),
    )


def _read_update(fields: Any) -> MemberUpdate:
    if type(fields) is not list or len(fields) != _UPDATE_FIELDS:
        raise MessageDecodeError("a word that is none")
    name, address, incarnation, refutation, state = fields
    if (
        type(name) is not str
        or not name
        or type(address) is not str
        or not _is_integer(incarnation)
        or not _is_integer(refutation)
        or type(state) is not int
        or not MemberState.ALIVE <= state <= MemberState.LEFT
    ):
        raise MessageDecodeError("a word that is none")
    if parse_address(address) is None:
        raise MessageDecodeError(f"no address: {address!r:.80}")
    return MemberUpdate(name, address, incarnation, refutation, MemberState(state))


def _is_integer(value: Any) -> bool:
    return type(value) is int and 0 <= value <= MAX_INTEGER


def _are_values(values: Any) -> bool:
    return type(values) is list and len(values) <= MAX_VALUES and all(map(_is_integer, values))


@lru_cache(maxsize=_MAX_CACHED_ADDRESSES)
def parse_address(text: str) -> tuple[str, int] | None:
    """Returns host, an IPv4 address, and port; None where `text` is no such thing."""
    host, _, port = text.rpartition(":")
    parts = host.split(".")
    if len(parts) != _IPV4_PARTS or not all(map(_is_octet, parts)):
        return None
    if not (port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        return None
    return host, int(port)


def _is_octet(part: str) -> bool:
    return part.isascii() and part.isdigit() and int(part) < 256
