"""Messages between members, and their codec for authenticated datagrams. Does no I/O.

A datagram consists of a tag, 16 bytes of keyed BLAKE2b (RFC 7693) over the content, and the
content, a MessagePack array: version, kind, the sender's update on itself, a sequence number,
integers, a name, updates on other members. Any other datagram is rejected.

A replayed datagram has no effect: updates carry their own order, an answer carries the sequence
number of the message that it answers, and report numbers increase.
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

PROTOCOL_VERSION = 1
TAG_BYTES = 16
MAX_DATAGRAM_BYTES = 1400  # fits into an Ethernet frame
MAX_UPDATES = 10  # in one message
MAX_VALUES = 5  # in one message
# A message with MAX_UPDATES updates whose names have this length fits into MAX_DATAGRAM_BYTES.
MAX_NAME_BYTES = 64
MAX_INTEGER = (1 << 63) - 1
MIN_KEY_BYTES = 16

_MESSAGE_FIELD_COUNT = 7
_UPDATE_FIELD_COUNT = 5
_MAX_ARRAY_LENGTH = 16
_MAX_CACHED_ADDRESSES = 4096
_IPV4_OCTET_COUNT = 4


class MessageKind(IntEnum):
    """Kind of a message. Datagrams carry the number.

    An answer carries the sequence number of the message that it answers. The name in a PAGE is the
    one after which the next page starts; it is empty on the last page.
    """

    PING = 0  # asks for an ACK; values: digests of the sender's view and of its settings
    ACK = 1  # answers a PING; the same values as in PING
    PING_REQUEST = 2  # asks the recipient to ping the named member and to forward its ACK
    SYNC = 3  # asks for a page of the recipient's view: members that sort after the name
    PAGE = 4  # answers a SYNC with updates of the sender's view
    REPORT = 5  # reports to the allocator; values: the fields of `ShareReport`
    GRANT = 6  # answers a REPORT; values: the share in millicalls, 1 if confirmed and 0 if not
    LEAVE = 7  # the sender's update on itself has the state LEFT
    PREVIOUS_INCARNATION = 8  # value: an incarnation of the restarted recipient that did not leave
    REDIRECT = 9  # answers a REPORT or RELEASE: the member in the updates is the allocator
    RELEASE = 10  # asks a previous allocator not to count the sender's REPORT of that number


class Message(NamedTuple):
    """Content of a datagram.

    Attributes:
        kind: Kind of the message, which defines the meaning of the other fields.
        sender: The sender's update on itself.
        sequence: Number from the sender's counter; in an answer, that of the answered message.
        values: Non-negative integers.
        name: Name of a member; may be empty.
        updates: Updates on other members.
    """

    kind: MessageKind
    sender: MemberUpdate
    sequence: int
    values: tuple[int, ...] = ()
    name: str = ""
    updates: tuple[MemberUpdate, ...] = ()


class MessageDecodeError(BurlloomError):
    """A datagram is not a valid message of this fleet.

    Attributes:
        reason: Why the datagram is rejected.
        size: Size of the datagram in bytes if its size, tag or encoding is wrong; 0 if a decoded
            field is wrong.
    """

    def __init__(self, reason: str, size: int = 0) -> None:
        """Initializes the error; its message is the reason."""
        super().__init__(reason)
        self.reason = reason
        self.size = size


def encode(message: Message, key: bytes) -> bytes:
    """Returns the datagram of a message, authenticated with `key`."""
    content: bytes = msgpack.packb(
        [
            PROTOCOL_VERSION,
            int(message.kind),
            [*message.sender],
            message.sequence,
            message.values,
            message.name,
            [[*update] for update in message.updates],
        ]
    )
    return _compute_tag(key, content) + content


def decode(data: bytes, keys: tuple[bytes, ...]) -> Message:
    """Verifies and decodes a datagram.

    Args:
        data: The datagram.
        keys: Keys of the fleet. The tag may be from any of them, so that keys can be changed while
            the fleet runs.

    Returns:
        The message.

    Raises:
        MessageDecodeError: The datagram is not a valid message authenticated with one of the keys.
    """
    if not TAG_BYTES < len(data) <= MAX_DATAGRAM_BYTES:
        raise MessageDecodeError(
            f"datagram has {len(data)} bytes; allowed are {TAG_BYTES + 1} to {MAX_DATAGRAM_BYTES}",
            len(data),
        )
    tag, content = data[:TAG_BYTES], data[TAG_BYTES:]
    if not any(hmac.compare_digest(tag, _compute_tag(key, content)) for key in keys):
        raise MessageDecodeError("tag does not match any key of this fleet", len(data))
    try:
        fields = msgpack.unpackb(
            content,
            max_array_len=_MAX_ARRAY_LENGTH,
            max_map_len=0,
            max_ext_len=0,
            max_str_len=MAX_NAME_BYTES,
        )
    except (ValueError, msgpack.UnpackException, RecursionError) as error:
        raise MessageDecodeError(f"content is not valid MessagePack: {error}", len(data)) from error
    return _read_message(fields)


def _compute_tag(key: bytes, content: bytes) -> bytes:
    return hashlib.blake2b(content, key=key, digest_size=TAG_BYTES).digest()


def _read_message(fields: Any) -> Message:
    if (
        type(fields) is not list
        or len(fields) != _MESSAGE_FIELD_COUNT
        or fields[0] != PROTOCOL_VERSION
    ):
        raise MessageDecodeError(
            f"content is not a version {PROTOCOL_VERSION} message of {_MESSAGE_FIELD_COUNT} fields"
        )
    _, kind, sender, sequence, values, name, updates = fields
    if type(kind) is not int or not 0 <= kind < len(MessageKind):
        raise MessageDecodeError(f"unknown message kind: {kind!r}")
    if not _is_integer(sequence) or not _is_value_list(values):
        raise MessageDecodeError(
            "sequence or values are not non-negative integers within the limits"
        )
    if type(name) is not str or type(updates) is not list or len(updates) > MAX_UPDATES:
        raise MessageDecodeError(
            f"name is not a string, or updates are not a list of at most {MAX_UPDATES}"
        )
    return Message(
        MessageKind(kind),
        _read_update(sender),
        sequence,
        tuple(values),
        name,
        tuple(map(_read_update, updates)),
    )


def _read_update(fields: Any) -> MemberUpdate:
    if type(fields) is not list or len(fields) != _UPDATE_FIELD_COUNT:
        raise MessageDecodeError(f"member update is not an array of {_UPDATE_FIELD_COUNT} fields")
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
        raise MessageDecodeError("member update has a field of the wrong type or out of range")
    if parse_address(address) is None:
        raise MessageDecodeError(
            f"member address is not an IPv4 address with a port: {address!r:.80}"
        )
    return MemberUpdate(name, address, incarnation, refutation, MemberState(state))


def _is_integer(value: Any) -> bool:
    return type(value) is int and 0 <= value <= MAX_INTEGER


def _is_value_list(values: Any) -> bool:
    return type(values) is list and len(values) <= MAX_VALUES and all(map(_is_integer, values))


@lru_cache(maxsize=_MAX_CACHED_ADDRESSES)
def parse_address(text: str) -> tuple[str, int] | None:
    """Parses an address.

    Args:
        text: An IPv4 address and a port, such as `10.0.0.1:7946`.

    Returns:
        Host and port; None if `text` is not such an address.
    """
    host, _, port = text.rpartition(":")
    octets = host.split(".")
    if len(octets) != _IPV4_OCTET_COUNT or not all(map(_is_octet, octets)):
        return None
    if not (port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        return None
    return host, int(port)


def _is_octet(octet: str) -> bool:
    return octet.isascii() and octet.isdigit() and int(octet) < 256
