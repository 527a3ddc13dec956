"""Encodes and decodes the datagrams of replication. Does no I/O.

A datagram starts with a seal, 16 bytes of a keyed BLAKE2b (RFC 7693) over the rest. The rest is a
MessagePack list: protocol version, message kind, the sender's name, its incarnation, the message
number, and the fields of that kind. Any other datagram is rejected with a reason.
"""

import hashlib
import hmac
from collections.abc import Callable, Sequence
from itertools import pairwise
from typing import Any

import msgpack

from ..errors import BurlloomError
from .changes import (
    ITEM_KINDS,
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

PROTOCOL_VERSION = 1


SEAL_BYTES = 16


MAX_MESSAGE_BYTES = 1400  # a whole datagram; it fits into one Ethernet frame


MAX_PAGE_ITEMS = 256  # more items do not fit into a page


REQUEST_KINDS = frozenset(
    {
        MessageKind.REPORT,
        MessageKind.PULL,
        MessageKind.DIGESTS_REQUEST,
        MessageKind.PAGES_REQUEST,
        MessageKind.BYE,
    }
)


class MessageDecodeError(BurlloomError):
    """Raised for a datagram that no peer with a shared key and this protocol version sends."""


def compute_seal(key: bytes, text: bytes) -> bytes:
    """Returns the seal of a message: its keyed BLAKE2b, `SEAL_BYTES` long."""
    return hashlib.blake2b(text, key=key, digest_size=SEAL_BYTES).digest()


def seal(sender: Sender, body: Body, key: bytes) -> bytes:
    """Returns the datagram of a message, sealed with `key`."""
    kind = KIND_OF_BODY[type(body)]
    text: bytes = msgpack.packb((PROTOCOL_VERSION, kind, *sender, *ENCODERS[kind](body)))
    return compute_seal(key, text) + text


def unseal(data: bytes, keys: Sequence[bytes]) -> Message:
    """Returns the message of a datagram.

    Any of the keys may have sealed the datagram, so that keys can be rotated while the fleet runs.

    Raises:
        MessageDecodeError: The datagram is not sealed with one of the keys, or is invalid.
    """
    if not SEAL_BYTES < len(data) <= MAX_MESSAGE_BYTES:
        raise MessageDecodeError(
            "datagram too short" if len(data) <= SEAL_BYTES else "datagram too long"
        )
    received_seal, text = data[:SEAL_BYTES], data[SEAL_BYTES:]
    if not any(hmac.compare_digest(received_seal, compute_seal(key, text)) for key in keys):
        raise MessageDecodeError("not sealed with our key")
    try:
        fields = msgpack.unpackb(text, max_array_len=MAX_PAGE_ITEMS, max_map_len=0, max_ext_len=0)
    except (ValueError, msgpack.UnpackException, RecursionError) as error:
        raise MessageDecodeError("payload is not valid MessagePack") from error
    return message_of(fields)


def is_for_source(data: bytes) -> bool:
    """Returns whether a datagram's kind is one that sources handle; the seal is not checked."""
    return len(data) > SEAL_BYTES + 2 and data[SEAL_BYTES + 2] in REQUEST_KINDS


def message_of(fields: Any) -> Message:
    """Returns the message of an unpacked MessagePack list. Raises `MessageDecodeError`."""
    if type(fields) is not list or len(fields) < 5:
        raise MessageDecodeError("payload is not a message")
    version, kind, name, incarnation, number = fields[:5]
    if type(version) is not int or version != PROTOCOL_VERSION:
        is_older = type(version) is int and version < PROTOCOL_VERSION
        raise MessageDecodeError(
            "older protocol version" if is_older else "unknown protocol version"
        )
    if type(kind) is not int or not 0 <= kind < len(MessageKind):
        raise MessageDecodeError("unknown message kind")
    if not is_text(name, 1, MAX_NAME_BYTES) or not is_number(incarnation) or not is_number(number):
        raise MessageDecodeError("invalid sender")
    field_count, decode = DECODERS[kind]
    if len(fields) != 5 + field_count:
        raise MessageDecodeError(f"{MessageKind(kind).name}: wrong number of fields")
    return Message(Sender(name, incarnation, number), decode(*fields[5:]))


def is_number(value: Any) -> bool:
    """Returns whether a value is an integer from 0 to `MAX_NUMBER`."""
    return type(value) is int and 0 <= value <= MAX_NUMBER


def require(condition: bool, part: str) -> None:
    """Raises `MessageDecodeError` for an invalid `part` of a message unless a condition holds."""
    if not condition:
        raise MessageDecodeError(f"invalid {part}")


def head_from(epoch: Any, revision: Any, tag: Any, time_ms: Any) -> Head:
    """Returns the head with the decoded fields. Raises `MessageDecodeError`."""
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
    """Decodes REPORT. Raises `MessageDecodeError`."""
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
    epoch: Any,
    revision: Any,
    tag: Any,
    time_ms: Any,
    age_ms: Any,
    differs: Any,
    oldest_revision: Any,
) -> Body:
    """Decodes HEAD. Raises `MessageDecodeError`."""
    require(
        (age_ms is None or is_number(age_ms))
        and type(differs) is bool
        and is_number(oldest_revision),
        "HEAD",
    )
    return HeadStatus(head_from(epoch, revision, tag, time_ms), age_ms, differs, oldest_revision)


def read_change(
    epoch: Any, revision: Any, time_ms: Any, scope: Any, body: Any, tag: Any, digest: Any
) -> Body:
    """Decodes CHANGE. Raises `MessageDecodeError`."""
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


def read_pull(epoch: Any, after_revision: Any, max_changes: Any) -> Body:
    """Decodes PULL. Raises `MessageDecodeError`."""
    require(
        is_number(epoch)
        and is_number(after_revision)
        and is_number(max_changes)
        and 0 < max_changes <= MAX_PULL_CHANGES,
        "PULL",
    )
    return PullRequest(epoch, after_revision, max_changes)


def read_digests(
    epoch: Any, revision: Any, tag: Any, time_ms: Any, half: Any, digests: Any
) -> Body:
    """Decodes DIGESTS. Raises `MessageDecodeError`."""
    require(
        type(half) is int
        and half in (0, 1)
        and type(digests) is bytes
        and len(digests) == 8 * HALF_BUCKETS,
        "DIGESTS",
    )
    values = tuple(
        int.from_bytes(digests[offset : offset + 8], "big")
        for offset in range(0, 8 * HALF_BUCKETS, 8)
    )
    return DigestsResponse(head_from(epoch, revision, tag, time_ms), half, values)


def read_pages_request(bucket: Any, after: Any, page_count: Any) -> Body:
    """Decodes PAGES_REQUEST. Raises `MessageDecodeError`."""
    require(
        is_number(bucket)
        and bucket < BUCKET_COUNT
        and is_number(page_count)
        and 0 < page_count <= MAX_PAGES_PER_REQUEST,
        "PAGES_ASK",
    )
    return PagesRequest(bucket, position_from(after), page_count)


def read_page(
    epoch: Any, revision: Any, bucket: Any, page_index: Any, after: Any, items: Any, is_last: Any
) -> Body:
    """Decodes PAGE. Raises `MessageDecodeError`."""
    require(
        is_number(epoch)
        and epoch > 0
        and is_number(revision)
        and is_number(bucket)
        and bucket < BUCKET_COUNT
        and is_number(page_index)
        and page_index < MAX_PAGES_PER_REQUEST
        and type(items) is list
        and type(is_last) is bool,
        "PAGE",
    )
    decoded_items = tuple(map(item_from, items))
    last_position = decoded_items[-1][:3] if decoded_items else None
    start = position_from(after)
    require(is_last or bool(decoded_items), "PAGE")
    positions = [item[:3] for item in decoded_items]
    require(
        all(previous < following for previous, following in pairwise(positions))
        and (start is None or not positions or start < positions[0]),
        "order of entries in PAGE",
    )
    return PageResponse(
        epoch, revision, bucket, page_index, start, Page(decoded_items, last_position, is_last)
    )


def position_from(fields: Any) -> ItemPosition | None:
    """Returns the position with the decoded fields; None for nil. Raises `MessageDecodeError`."""
    if fields is None:
        return None
    require(
        type(fields) is list
        and len(fields) == 3
        and is_text(fields[0], 0, MAX_SCOPE_BYTES)
        and fields[1] in ITEM_KINDS
        and is_text(fields[2], 1, MAX_KEY_BYTES),
        "place",
    )
    return fields[0], fields[1], fields[2]


def item_from(fields: Any) -> ConfigItem:
    """Returns the item with the decoded fields. Raises `MessageDecodeError`."""
    require(
        type(fields) is list
        and len(fields) == 4
        and type(fields[3]) is bytes
        and len(fields[3]) <= MAX_VALUE_BYTES,
        "entry",
    )
    position = position_from(fields[:3])
    assert position is not None
    return ConfigItem(*position, fields[3])


def read_redirect(reason: Any) -> Body:
    """Decodes REDIRECT. Raises `MessageDecodeError`."""
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


# By message kind: function that returns the fields of a body in the order on the wire.
ENCODERS: list[Callable[[Any], Sequence[Any]]] = [
    lambda body: body,
    lambda body: (*body.head, body.age_ms, body.differs, body.oldest_revision),
    lambda body: body.change,
    lambda body: body,
    lambda body: body,
    lambda body: (
        *body.head,
        body.half,
        b"".join(digest.to_bytes(8, "big") for digest in body.digests),
    ),
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


# By message kind: number of fields, and the function that builds the body from them.
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
