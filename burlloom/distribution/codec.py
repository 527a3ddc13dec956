"""Encodes and decodes the datagrams of replication: the wire's words are mapped here alone. No I/O.

A datagram is 16 bytes of a keyed BLAKE2b (RFC 7693) over the rest, then MessagePack: version, kind,
the sender's name, its incarnation, a number, and the kind's own fields. Anything else is refused
with a reason.
"""

import hashlib
import hmac
from collections.abc import Callable, Sequence
from itertools import pairwise
from typing import Any

import msgpack

from ..errors import BurlloomError
from .changes import KINDS as ENTRY_KINDS
from .changes import (
    MAX_BODY_BYTES,
    MAX_KEY_BYTES,
    MAX_NUMBER,
    MAX_SCOPE_BYTES,
    MAX_VALUE_BYTES,
    TAG_BYTES,
    Change,
    ConfigItem,
    Head,
    is_text,
)
from .messages import (
    HALF_BUCKETS,
    MAX_FOLLOWER_SCOPES,
    MAX_NAME_BYTES,
    MAX_PAGES_PER_REQUEST,
    MAX_PULL_CHANGES,
    Body,
    DigestsRequest,
    DigestsResponse,
    HeadStatus,
    Leave,
    Message,
    MessageKind,
    PageResponse,
    PagesRequest,
    PullRequest,
    PushedChange,
    Redirect,
    Report,
    Sender,
)
from .table import BUCKET_COUNT, ItemPosition, Page

VERSION = 1


SEAL_BYTES = 16


MAX_MESSAGE_BYTES = 1400  # bytes; fits a frame of Ethernet


MAX_PAGE_ITEMS = 256  # of one page: more don't fit


REQUESTS = frozenset(
    {
        MessageKind.REPORT,
        MessageKind.PULL,
        MessageKind.DIGESTS_REQUEST,
        MessageKind.PAGES_REQUEST,
        MessageKind.BYE,
    }
)


class MessageDecodeError(BurlloomError):
    """A datagram that no peer with our key and version would send; the text says why."""


def compute_seal(key: bytes, text: bytes) -> bytes:
    """Return the keyed BLAKE2b that precedes a message, `SEAL_BYTES` long."""
    return hashlib.blake2b(text, key=key, digest_size=SEAL_BYTES).digest()


def seal(sender: Sender, body: Body, key: bytes) -> bytes:
    """Return the datagram of a message, sealed with `key`."""
    kind = KIND_OF_BODY[type(body)]
    text: bytes = msgpack.packb((VERSION, kind, *sender, *ENCODERS[kind](body)))
    return compute_seal(key, text) + text


def unseal(data: bytes, keys: Sequence[bytes]) -> Message:
    """Return the message of a datagram. Raises `MessageDecodeError`.

    Any of the keys may have sealed it, so that keys can be rotated while the fleet runs.
    """
    if not SEAL_BYTES < len(data) <= MAX_MESSAGE_BYTES:
        raise MessageDecodeError("too short" if len(data) <= SEAL_BYTES else "too long")
    received_seal, text = data[:SEAL_BYTES], data[SEAL_BYTES:]
    if not any(hmac.compare_digest(received_seal, compute_seal(key, text)) for key in keys):
        raise MessageDecodeError("not sealed with our key")
    try:
        got = msgpack.unpackb(text, max_array_len=MAX_PAGE_ITEMS, max_map_len=0, max_ext_len=0)
    except (ValueError, msgpack.UnpackException, RecursionError) as error:
        raise MessageDecodeError("no MessagePack that may be here") from error
    return message_of(got)


def is_for_source(data: bytes) -> bool:
    """Whether a datagram is for a source, judged by its kind alone and without its seal."""
    return len(data) > SEAL_BYTES + 2 and data[SEAL_BYTES + 2] in REQUESTS


def message_of(got: Any) -> Message:
    """Return the message of unpacked MessagePack. Raises `MessageDecodeError`."""
    if type(got) is not list or len(got) < 5:
        raise MessageDecodeError("no message")
    version, kind, name, incarnation, number = got[:5]
    if type(version) is not int or version != VERSION:
        older = type(version) is int and version < VERSION
        raise MessageDecodeError("an older version" if older else "another version")
    if type(kind) is not int or not 0 <= kind < len(MessageKind):
        raise MessageDecodeError("of no kind")
    if not is_text(name, 1, MAX_NAME_BYTES) or not is_number(incarnation) or not is_number(number):
        raise MessageDecodeError("a sender that is none")
    length, read = DECODERS[kind]
    if len(got) != 5 + length:
        raise MessageDecodeError(f"no {MessageKind(kind).name}")
    return Message(Sender(name, incarnation, number), read(*got[5:]))


def is_number(got: Any) -> bool:
    """Whether a value is an integer from 0 to `MAX_NUMBER`."""
    return type(got) is int and 0 <= got <= MAX_NUMBER


def require(so: bool, what: str) -> None:
    """Raise `MessageDecodeError` unless a condition holds."""
    if not so:
        raise MessageDecodeError(f"no {what}")


def head_from(epoch: Any, revision: Any, tag: Any, time_ms: Any) -> Head:
    """Return a head of decoded fields. Raises `MessageDecodeError`."""
    require(
        is_number(epoch)
        and epoch > 0
        and is_number(revision)
        and type(tag) is bytes
        and len(tag) == TAG_BYTES
        and is_number(time_ms),
        "head",
    )
    return Head(epoch, revision, tag, time_ms)


def read_report(scopes: Any, epoch: Any, revision: Any, digest: Any) -> Body:
    """Decode REPORT. Raises `MessageDecodeError`."""
    require(
        scopes is None
        or type(scopes) is list
        and len(scopes) <= MAX_FOLLOWER_SCOPES
        and all(is_text(scope, 0, MAX_SCOPE_BYTES) for scope in scopes),
        "scopes",
    )
    require(
        is_number(epoch) and is_number(revision) and type(digest) is int and 0 <= digest < 1 << 64,
        "report",
    )
    return Report(None if scopes is None else tuple(scopes), epoch, revision, digest)


def read_head(
    epoch: Any, revision: Any, tag: Any, time_ms: Any, age: Any, differs: Any, oldest: Any
) -> Body:
    """Decode HEAD. Raises `MessageDecodeError`."""
    require((age is None or is_number(age)) and type(differs) is bool and is_number(oldest), "HEAD")
    return HeadStatus(head_from(epoch, revision, tag, time_ms), age, differs, oldest)


def read_change(
    epoch: Any, revision: Any, time_ms: Any, scope: Any, body: Any, tag: Any, digest: Any
) -> Body:
    """Decode CHANGE. Raises `MessageDecodeError`."""
    require(
        is_number(epoch)
        and epoch > 0
        and is_number(revision)
        and revision > 0
        and is_number(time_ms)
        and is_text(scope, 0, MAX_SCOPE_BYTES)
        and type(tag) is bytes
        and len(tag) == TAG_BYTES
        and type(digest) is bytes
        and len(digest) == TAG_BYTES
        and (body is None or type(body) is bytes and len(body) <= MAX_BODY_BYTES),
        "change",
    )
    return PushedChange(Change(epoch, revision, time_ms, scope, body, tag, digest))


def read_pull(epoch: Any, after: Any, most: Any) -> Body:
    """Decode PULL. Raises `MessageDecodeError`."""
    require(
        is_number(epoch) and is_number(after) and is_number(most) and 0 < most <= MAX_PULL_CHANGES,
        "PULL",
    )
    return PullRequest(epoch, after, most)


def read_digests(
    epoch: Any, revision: Any, tag: Any, time_ms: Any, half: Any, digests: Any
) -> Body:
    """Decode DIGESTS. Raises `MessageDecodeError`."""
    require(
        type(half) is int
        and half in (0, 1)
        and type(digests) is bytes
        and len(digests) == 8 * HALF_BUCKETS,
        "DIGESTS",
    )
    found = tuple(
        int.from_bytes(digests[at : at + 8], "big") for at in range(0, 8 * HALF_BUCKETS, 8)
    )
    return DigestsResponse(head_from(epoch, revision, tag, time_ms), half, found)


def read_pages_request(bucket: Any, after: Any, pages: Any) -> Body:
    """Decode PAGES_ASK. Raises `MessageDecodeError`."""
    require(
        is_number(bucket)
        and bucket < BUCKET_COUNT
        and is_number(pages)
        and 0 < pages <= MAX_PAGES_PER_REQUEST,
        "PAGES_ASK",
    )
    return PagesRequest(bucket, position_from(after), pages)


def read_page(
    epoch: Any, revision: Any, bucket: Any, place: Any, after: Any, items: Any, done: Any
) -> Body:
    """Decode PAGE. Raises `MessageDecodeError`."""
    require(
        is_number(epoch)
        and epoch > 0
        and is_number(revision)
        and is_number(bucket)
        and bucket < BUCKET_COUNT
        and is_number(place)
        and place < MAX_PAGES_PER_REQUEST
        and type(items) is list
        and type(done) is bool,
        "PAGE",
    )
    found = tuple(map(item_from, items))
    last = found[-1][:3] if found else None
    begin = position_from(after)
    require(done or bool(found), "PAGE")
    places = [item[:3] for item in found]
    require(
        all(one < other for one, other in pairwise(places))
        and (begin is None or not places or begin < places[0]),
        "order in a PAGE",
    )
    return PageResponse(epoch, revision, bucket, place, begin, Page(found, last, done))


def position_from(got: Any) -> ItemPosition | None:
    """Return a position of decoded fields; None for nil. Raises `MessageDecodeError`."""
    if got is None:
        return None
    require(
        type(got) is list
        and len(got) == 3
        and is_text(got[0], 0, MAX_SCOPE_BYTES)
        and got[1] in ENTRY_KINDS
        and is_text(got[2], 1, MAX_KEY_BYTES),
        "place",
    )
    return got[0], got[1], got[2]


def item_from(got: Any) -> ConfigItem:
    """Return an item of decoded fields. Raises `MessageDecodeError`."""
    require(
        type(got) is list
        and len(got) == 4
        and type(got[3]) is bytes
        and len(got[3]) <= MAX_VALUE_BYTES,
        "entry",
    )
    place = position_from(got[:3])
    assert place is not None
    return ConfigItem(*place, got[3])


def read_redirect(reason: Any) -> Body:
    """Decode REDIRECT. Raises `MessageDecodeError`."""
    require(is_text(reason, 0, MAX_NAME_BYTES), "REDIRECT")
    return Redirect(reason)


KIND_OF_BODY: dict[type[Any], int] = {
    Report: int(MessageKind.REPORT),
    HeadStatus: int(MessageKind.HEAD),
    PushedChange: int(MessageKind.CHANGE),
    PullRequest: int(MessageKind.PULL),
    DigestsRequest: int(MessageKind.DIGESTS_REQUEST),
    DigestsResponse: int(MessageKind.DIGESTS),
    PagesRequest: int(MessageKind.PAGES_REQUEST),
    PageResponse: int(MessageKind.PAGE),
    Redirect: int(MessageKind.REDIRECT),
    Leave: int(MessageKind.BYE),
}


ENCODERS: list[Callable[[Any], Sequence[Any]]] = [
    lambda body: body,
    lambda body: (*body.head, body.age_ms, body.differs, body.oldest_revision),
    lambda body: body.change,
    lambda body: body,
    lambda body: body,
    lambda body: (*body.head, body.half, b"".join(one.to_bytes(8, "big") for one in body.digests)),
    lambda body: body,
    lambda body: (
        body.epoch,
        body.revision,
        body.bucket,
        body.page_index,
        body.after,
        body.page.items,
        body.page.is_last,
    ),
    lambda body: body,
    lambda body: body,
]


DECODERS: list[tuple[int, Callable[..., Body]]] = [
    (4, read_report),
    (7, read_head),
    (7, read_change),
    (3, read_pull),
    (0, DigestsRequest),
    (6, read_digests),
    (3, read_pages_request),
    (7, read_page),
    (1, read_redirect),
    (0, Leave),
]
