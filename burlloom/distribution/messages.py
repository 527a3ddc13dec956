"""What followers and those whom they follow send to each other: one datagram each, sealed. No I/O.

A message is 16 bytes of a keyed BLAKE2b (RFC 7693) over the rest, then MessagePack: version, kind,
the sender's name, its life, a number, and the kind's own fields. What is not exactly that is
refused with a reason. A message that is played again does nothing: requests count up and each
counts once (`Window`), answers carry the number of the request, and changes are in a chain.
"""

import hashlib
import hmac
from collections.abc import Callable, Sequence
from enum import IntEnum
from typing import Any, NamedTuple

import msgpack

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
from .table import BUCKET_COUNT, ItemPosition, Page

VERSION = 1
SEAL_BYTES = 16
MAX_MESSAGE_BYTES = 1400  # bytes; fits a frame of Ethernet
MAX_NAME_BYTES = 64  # bytes of UTF-8
MIN_KEY_BYTES = 16  # bytes of a key
MAX_FOLLOWER_SCOPES = 16  # that one follower holds by name
MAX_PULL_CHANGES = 32  # changes that one PULL asks for
MAX_PAGES_PER_REQUEST = 4  # pages that one PAGES_ASK asks for
MAX_PAGE_BYTES = 1050  # of a page's entries: with the longest names and places it still fits
HALF_BUCKETS = BUCKET_COUNT // 2  # bucket digests a message
MAX_PAGE_ITEMS = 256  # of one page: more don't fit


class MessageKind(IntEnum):
    REPORT = 0  # each beat, to whom we follow: what we have; renews the lease
    HEAD = 1  # to the REPORT of that number, or to a PULL that can't be answered: what there is
    CHANGE = 2  # pushed, or asked for
    PULL = 3  # changes after that revision
    DIGESTS_ASK = 4
    DIGESTS = 5  # half of the buckets' digests, and the head of that moment
    PAGES_ASK = 6  # pages of a bucket, from there on
    PAGE = 7
    REDIRECT = 8  # go to your next: we are full, leave, or don't hold what you want
    BYE = 9  # to whom we followed: we go, or follow another


class Sender(NamedTuple):
    """`life`: Unix ms of the start. `number`: its own count; in an answer, of the request."""

    name: str
    incarnation: int
    number: int


class Report(NamedTuple):
    """`epoch` 0: nothing whole here. `scopes` None: all. `digest`: of these scopes at that
    revision.
    """

    scopes: tuple[str, ...] | None
    epoch: int
    revision: int
    digest: int


class HeadStatus(NamedTuple):
    """HEAD. `age`: ms since the teller surely had the newest; None: never. `differs`: at the
    revision of the REPORT the digests differ. `oldest`: changes after this revision can be pulled.
    """

    head: Head
    age_ms: int | None
    differs: bool
    oldest_revision: int


class PushedChange(NamedTuple):
    change: Change


class PullRequest(NamedTuple):
    epoch: int
    after_revision: int
    max_changes: int


class DigestsRequest(NamedTuple):
    pass


class DigestsResponse(NamedTuple):
    """`half` 0: of buckets 0 to 127; 1: the others."""

    head: Head
    half: int
    digests: tuple[int, ...]


class PagesRequest(NamedTuple):
    bucket: int
    after: ItemPosition | None
    page_count: int


class PageResponse(NamedTuple):
    """One page, the `place`th of its PAGES_ASK; `epoch` and `revision`: of the table that it was
    read from.
    """

    epoch: int
    revision: int
    bucket: int
    page_index: int
    after: ItemPosition | None
    page: Page


class Redirect(NamedTuple):
    reason: str


class Leave(NamedTuple):
    pass


REQUESTS = frozenset(
    {
        MessageKind.REPORT,
        MessageKind.PULL,
        MessageKind.DIGESTS_ASK,
        MessageKind.PAGES_ASK,
        MessageKind.BYE,
    }
)
Body = (
    Report
    | HeadStatus
    | PushedChange
    | PullRequest
    | DigestsRequest
    | DigestsResponse
    | PagesRequest
    | PageResponse
    | Redirect
    | Leave
)


class Message(NamedTuple):
    sender: Sender
    body: Body


class MessageDecodeError(Exception):
    """A datagram that nobody with our key and version would send; says why."""


def compute_seal(key: bytes, text: bytes) -> bytes:
    return hashlib.blake2b(text, key=key, digest_size=SEAL_BYTES).digest()


def seal(sender: Sender, body: Body, key: bytes) -> bytes:
    kind = KIND_OF[type(body)]
    text: bytes = msgpack.packb((VERSION, kind, *sender, *PACKED[kind](body)))
    return compute_seal(key, text) + text


def unseal(data: bytes, keys: Sequence[bytes]) -> Message:
    """Any of the keys will do, so that keys can be changed while the fleet runs. Raises
    `Unreadable`.
    """
    if not SEAL_BYTES < len(data) <= MAX_MESSAGE_BYTES:
        raise MessageDecodeError("too short" if len(data) <= SEAL_BYTES else "too long")
    mark, text = data[:SEAL_BYTES], data[SEAL_BYTES:]
    if not any(hmac.compare_digest(mark, compute_seal(key, text)) for key in keys):
        raise MessageDecodeError("not sealed with our key")
    try:
        got = msgpack.unpackb(text, max_array_len=MAX_PAGE_ITEMS, max_map_len=0, max_ext_len=0)
    except (ValueError, msgpack.UnpackException, RecursionError) as error:
        raise MessageDecodeError("no MessagePack that may be here") from error
    return message_of(got)


def is_for_source(data: bytes) -> bool:
    """By a look at the kind, unread: whether that is for who is followed, not for a follower."""
    return len(data) > SEAL_BYTES + 2 and data[SEAL_BYTES + 2] in REQUESTS


def message_of(got: Any) -> Message:
    if type(got) is not list or len(got) < 5:
        raise MessageDecodeError("no message")
    version, kind, name, life, number = got[:5]
    if type(version) is not int or version != VERSION:
        older = type(version) is int and version < VERSION
        raise MessageDecodeError("an older version" if older else "another version")
    if type(kind) is not int or not 0 <= kind < len(MessageKind):
        raise MessageDecodeError("of no kind")
    if not is_text(name, 1, MAX_NAME_BYTES) or not is_number(life) or not is_number(number):
        raise MessageDecodeError("a sender that is none")
    length, read = READ[kind]
    if len(got) != 5 + length:
        raise MessageDecodeError(f"no {MessageKind(kind).name}")
    return Message(Sender(name, life, number), read(*got[5:]))


def is_number(got: Any) -> bool:
    return type(got) is int and 0 <= got <= MAX_NUMBER


def need(so: bool, what: str) -> None:
    if not so:
        raise MessageDecodeError(f"no {what}")


def head_from(epoch: Any, revision: Any, tag: Any, time_ms: Any) -> Head:
    need(
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
    need(
        scopes is None
        or type(scopes) is list
        and len(scopes) <= MAX_FOLLOWER_SCOPES
        and all(is_text(scope, 0, MAX_SCOPE_BYTES) for scope in scopes),
        "scopes",
    )
    need(
        is_number(epoch) and is_number(revision) and type(digest) is int and 0 <= digest < 1 << 64,
        "report",
    )
    return Report(None if scopes is None else tuple(scopes), epoch, revision, digest)


def read_told(
    epoch: Any, revision: Any, tag: Any, time_ms: Any, age: Any, differs: Any, oldest: Any
) -> Body:
    need((age is None or is_number(age)) and type(differs) is bool and is_number(oldest), "HEAD")
    return HeadStatus(head_from(epoch, revision, tag, time_ms), age, differs, oldest)


def read_change(
    epoch: Any, revision: Any, time_ms: Any, scope: Any, body: Any, tag: Any, digest: Any
) -> Body:
    need(
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
    need(
        is_number(epoch) and is_number(after) and is_number(most) and 0 < most <= MAX_PULL_CHANGES,
        "PULL",
    )
    return PullRequest(epoch, after, most)


def read_digests(
    epoch: Any, revision: Any, tag: Any, time_ms: Any, half: Any, digests: Any
) -> Body:
    need(
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


def read_pages_ask(bucket: Any, after: Any, pages: Any) -> Body:
    need(
        is_number(bucket)
        and bucket < BUCKET_COUNT
        and is_number(pages)
        and 0 < pages <= MAX_PAGES_PER_REQUEST,
        "PAGES_ASK",
    )
    return PagesRequest(bucket, place_from(after), pages)


def read_page(
    epoch: Any, revision: Any, bucket: Any, place: Any, after: Any, entries: Any, done: Any
) -> Body:
    need(
        is_number(epoch)
        and epoch > 0
        and is_number(revision)
        and is_number(bucket)
        and bucket < BUCKET_COUNT
        and is_number(place)
        and place < MAX_PAGES_PER_REQUEST
        and type(entries) is list
        and type(done) is bool,
        "PAGE",
    )
    found = tuple(map(entry_from, entries))
    last = found[-1][:3] if found else None
    begin = place_from(after)
    need(done or bool(found), "PAGE")
    places = [entry[:3] for entry in found]
    need(
        all(one < other for one, other in zip(places, places[1:]))
        and (begin is None or not places or begin < places[0]),
        "order in a PAGE",
    )
    return PageResponse(epoch, revision, bucket, place, begin, Page(found, last, done))


def place_from(got: Any) -> ItemPosition | None:
    if got is None:
        return None
    need(
        type(got) is list
        and len(got) == 3
        and is_text(got[0], 0, MAX_SCOPE_BYTES)
        and got[1] in ENTRY_KINDS
        and is_text(got[2], 1, MAX_KEY_BYTES),
        "place",
    )
    return got[0], got[1], got[2]


def entry_from(got: Any) -> ConfigItem:
    need(
        type(got) is list
        and len(got) == 4
        and type(got[3]) is bytes
        and len(got[3]) <= MAX_VALUE_BYTES,
        "entry",
    )
    place = place_from(got[:3])
    assert place is not None
    return ConfigItem(*place, got[3])


def read_redirect(reason: Any) -> Body:
    need(is_text(reason, 0, MAX_NAME_BYTES), "REDIRECT")
    return Redirect(reason)


KIND_OF: dict[type[Any], int] = {
    Report: int(MessageKind.REPORT),
    HeadStatus: int(MessageKind.HEAD),
    PushedChange: int(MessageKind.CHANGE),
    PullRequest: int(MessageKind.PULL),
    DigestsRequest: int(MessageKind.DIGESTS_ASK),
    DigestsResponse: int(MessageKind.DIGESTS),
    PagesRequest: int(MessageKind.PAGES_ASK),
    PageResponse: int(MessageKind.PAGE),
    Redirect: int(MessageKind.REDIRECT),
    Leave: int(MessageKind.BYE),
}
PACKED: list[Callable[[Any], Sequence[Any]]] = [
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
READ: list[tuple[int, Callable[..., Body]]] = [
    (4, read_report),
    (7, read_told),
    (7, read_change),
    (3, read_pull),
    (0, DigestsRequest),
    (6, read_digests),
    (3, read_pages_ask),
    (7, read_page),
    (1, read_redirect),
    (0, Leave),
]
WINDOW = 64  # numbers that requests may be out of order by


class ReplayWindow:
    """Each request counts once, though some overtake others: RFC 4303's window of numbers seen."""

    __slots__ = ("highest", "seen")

    def __init__(self) -> None:
        self.highest, self.seen = -1, 0

    def accept(self, number: int) -> bool:
        if number > self.highest:
            self.seen = (self.seen << min(number - self.highest, WINDOW) | 1) & ((1 << WINDOW) - 1)
            self.highest = number
            return True
        bit = self.highest - number
        if bit >= WINDOW or self.seen >> bit & 1:
            return False
        self.seen |= 1 << bit
        return True
