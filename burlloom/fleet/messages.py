"""What members send to each other: one datagram each, sealed with the fleet's key. No I/O.

A letter is 16 bytes of a keyed BLAKE2b (RFC 7693) over the rest, then MessagePack: version, kind,
the sender's own word, a number, up to four whole numbers, a name, words of others. What is not
exactly that is refused. A letter that is played again says nothing new: words are ordered by
themselves, answers carry the number that was asked with, reports count up.
"""

import hashlib
import hmac
from enum import IntEnum
from functools import lru_cache
from typing import Any, NamedTuple

import msgpack

from .membership import MemberState, MemberUpdate

VERSION = 1
TAG = 16
LETTER_MOST = 1400  # bytes; fits a frame of Ethernet
WORDS_MOST, NUMBERS_MOST, NAME_MOST = 10, 5, 64  # the longest name in bytes; a full page fits
NUMBER_MOST = (1 << 63) - 1
MIN_KEY_BYTES = 16


class MessageKind(IntEnum):
    PING = 0  # are you there; numbers: our view's digest
    ACK = 1  # we are, to the PING of that number; the same
    PING_REQUEST = 2  # ping the one that is named, and pass on its ACK
    SYNC = 3  # send a page of your view, from after that name
    PAGE = 4  # words of it, and the name to go on from; empty: that was all
    REPORT = 5  # to who deals: held, share, wanted, in thousandths of a call; weight; roster
    GRANT = (
        6  # to the REPORT of that number: the share, and 1 where half of the fleet reports to us
    )
    LEAVE = 7  # our own word says that we left
    # to one that was started again: the life of its name that we knew, which did not say that it
    # left
    PREVIOUS_INCARNATION = 8
    # to the REPORT of that number: we don't deal; the word of who does, as we see it, goes with it
    REDIRECT = 9
    # we report to another now, and that was our last REPORT to you: don't count us; ELSEWHERE
    # answers
    RELEASE = 10


class Message(NamedTuple):
    kind: MessageKind
    sender: MemberUpdate
    sequence: int
    values: tuple[int, ...] = ()
    name: str = ""
    updates: tuple[MemberUpdate, ...] = ()


class MessageDecodeError(Exception):
    """A datagram that no member with our key would send; says why."""


def tag(key: bytes, text: bytes) -> bytes:
    return hashlib.blake2b(text, key=key, digest_size=TAG).digest()


def encode(message: Message, key: bytes) -> bytes:
    sender, words = [*message.sender], [[*word] for word in message.updates]
    text: bytes = msgpack.packb(
        [VERSION, int(message.kind), sender, message.sequence, message.values, message.name, words]
    )
    return tag(key, text) + text


def decode(data: bytes, keys: tuple[bytes, ...]) -> Message:
    """Any of the keys will do, so that keys can be changed while the fleet runs. Raises
    `Unreadable`.
    """
    if not TAG < len(data) <= LETTER_MOST:
        raise MessageDecodeError(f"of {len(data)} bytes")
    mark, text = data[:TAG], data[TAG:]
    if not any(hmac.compare_digest(mark, tag(key, text)) for key in keys):
        raise MessageDecodeError("not sealed with our key")
    try:
        got = msgpack.unpackb(
            text, max_array_len=16, max_map_len=0, max_ext_len=0, max_str_len=NAME_MOST
        )
    except (ValueError, msgpack.UnpackException, RecursionError) as error:
        raise MessageDecodeError(f"no MessagePack: {error}") from error
    return letter_of(got)


def letter_of(got: Any) -> Message:
    if type(got) is not list or len(got) != 7 or got[0] != VERSION:
        raise MessageDecodeError("of another version")
    _, kind, sender, number, numbers, name, words = got
    if type(kind) is not int or not 0 <= kind < len(MessageKind):
        raise MessageDecodeError(f"of no kind: {kind!r}")
    if (
        not whole(number)
        or type(numbers) is not list
        or len(numbers) > NUMBERS_MOST
        or not all(map(whole, numbers))
    ):
        raise MessageDecodeError("numbers that are none")
    if type(name) is not str or type(words) is not list or len(words) > WORDS_MOST:
        raise MessageDecodeError("names or words that are none")
    return Message(
        MessageKind(kind), word_of(sender), number, tuple(numbers), name, tuple(map(word_of, words))
    )


def whole(got: Any) -> bool:
    return type(got) is int and 0 <= got <= NUMBER_MOST


def word_of(got: Any) -> MemberUpdate:
    if type(got) is not list or len(got) != 5:
        raise MessageDecodeError("a word that is none")
    name, address, life, incarnation, state = got
    if (
        type(name) is not str
        or not name
        or type(address) is not str
        or not whole(life)
        or not whole(incarnation)
        or type(state) is not int
        or not MemberState.ALIVE <= state <= MemberState.LEFT
    ):
        raise MessageDecodeError("a word that is none")
    if parse_address(address) is None:
        raise MessageDecodeError(f"no address: {address!r:.80}")
    return MemberUpdate(name, address, life, incarnation, MemberState(state))


@lru_cache(maxsize=4096)
def parse_address(text: str) -> tuple[str, int] | None:
    """Host, an IPv4 address, and port; None where it is none."""
    host, _, port = text.rpartition(":")
    parts = host.split(".")
    if (
        len(parts) != 4
        or not all(part.isascii() and part.isdigit() and int(part) < 256 for part in parts)
        or not (port.isascii() and port.isdigit() and 0 < int(port) < 65536)
    ):
        return None
    return host, int(port)
