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

from .changes import (
    BODY_MOST,
    KEY_MOST,
    NUMBER_MOST,
    SCOPE_MOST,
    TAG,
    VALUE_MOST,
    Change,
    Entry,
    Head,
    is_text,
)
from .changes import KINDS as ENTRY_KINDS
from .table import BUCKETS, Page, Place

VERSION = 1
SEAL = 16
MESSAGE_MOST = 1400  # bytes; fits a frame of Ethernet
NAME_MOST = 64  # bytes of UTF-8
KEY_LEAST = 16  # bytes of a key
SCOPES_MOST = 16  # that one follower holds by name
PULL_MOST = 32  # changes that one PULL asks for
PAGES_MOST = 4  # pages that one PAGES_ASK asks for
PAGE_BYTES = 1050  # of a page's entries: with the longest names and places it still fits
HALF = BUCKETS // 2  # bucket digests a message
PAGE_ENTRIES = 256  # of one page: more don't fit


class Kind(IntEnum):
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
    life: int
    number: int


class Report(NamedTuple):
    """`epoch` 0: nothing whole here. `scopes` None: all. `digest`: of these scopes at that
    revision.
    """

    scopes: tuple[str, ...] | None
    epoch: int
    revision: int
    digest: int


class Told(NamedTuple):
    """HEAD. `age`: ms since the teller surely had the newest; None: never. `differs`: at the
    revision of the REPORT the digests differ. `oldest`: changes after this revision can be pulled.
    """

    head: Head
    age: int | None
    differs: bool
    oldest: int


class Pushed(NamedTuple):
    change: Change


class Pull(NamedTuple):
    epoch: int
    after: int
    most: int


class DigestsAsk(NamedTuple):
    pass


class Digests(NamedTuple):
    """`half` 0: of buckets 0 to 127; 1: the others."""

    head: Head
    half: int
    digests: tuple[int, ...]


class PagesAsk(NamedTuple):
    bucket: int
    after: Place | None
    pages: int


class Paged(NamedTuple):
    """One page, the `place`th of its PAGES_ASK; `epoch` and `revision`: of the table that it was
    read from.
    """

    epoch: int
    revision: int
    bucket: int
    place: int
    after: Place | None
    page: Page


class Redirect(NamedTuple):
    reason: str


class Bye(NamedTuple):
    pass


REQUESTS = frozenset({Kind.REPORT, Kind.PULL, Kind.DIGESTS_ASK, Kind.PAGES_ASK, Kind.BYE})
Body = Report | Told | Pushed | Pull | DigestsAsk | Digests | PagesAsk | Paged | Redirect | Bye


class Message(NamedTuple):
    sender: Sender
    body: Body


class Unreadable(Exception):
    """A datagram that nobody with our key and version would send; says why."""


def mark_of(key: bytes, text: bytes) -> bytes:
    return hashlib.blake2b(text, key=key, digest_size=SEAL).digest()


def seal(sender: Sender, body: Body, key: bytes) -> bytes:
    kind = KIND_OF[type(body)]
    text: bytes = msgpack.packb((VERSION, kind, *sender, *PACKED[kind](body)))
    return mark_of(key, text) + text


def unseal(data: bytes, keys: Sequence[bytes]) -> Message:
    """Any of the keys will do, so that keys can be changed while the fleet runs. Raises
    `Unreadable`.
    """
    if not SEAL < len(data) <= MESSAGE_MOST:
        raise Unreadable("too short" if len(data) <= SEAL else "too long")
    mark, text = data[:SEAL], data[SEAL:]
    if not any(hmac.compare_digest(mark, mark_of(key, text)) for key in keys):
        raise Unreadable("not sealed with our key")
    try:
        got = msgpack.unpackb(text, max_array_len=PAGE_ENTRIES, max_map_len=0, max_ext_len=0)
    except (ValueError, msgpack.UnpackException, RecursionError) as error:
        raise Unreadable("no MessagePack that may be here") from error
    return message_of(got)


def to_source(data: bytes) -> bool:
    """By a look at the kind, unread: whether that is for who is followed, not for a follower."""
    return len(data) > SEAL + 2 and data[SEAL + 2] in REQUESTS


def message_of(got: Any) -> Message:
    if type(got) is not list or len(got) < 5:
        raise Unreadable("no message")
    version, kind, name, life, number = got[:5]
    if type(version) is not int or version != VERSION:
        older = type(version) is int and version < VERSION
        raise Unreadable("an older version" if older else "another version")
    if type(kind) is not int or not 0 <= kind < len(Kind):
        raise Unreadable("of no kind")
    if not is_text(name, 1, NAME_MOST) or not whole(life) or not whole(number):
        raise Unreadable("a sender that is none")
    length, read = READ[kind]
    if len(got) != 5 + length:
        raise Unreadable(f"no {Kind(kind).name}")
    return Message(Sender(name, life, number), read(*got[5:]))


def whole(got: Any) -> bool:
    return type(got) is int and 0 <= got <= NUMBER_MOST


def need(so: bool, what: str) -> None:
    if not so:
        raise Unreadable(f"no {what}")


def head_from(epoch: Any, revision: Any, tag: Any, time_ms: Any) -> Head:
    need(
        whole(epoch)
        and epoch > 0
        and whole(revision)
        and type(tag) is bytes
        and len(tag) == TAG
        and whole(time_ms),
        "head",
    )
    return Head(epoch, revision, tag, time_ms)


def read_report(scopes: Any, epoch: Any, revision: Any, digest: Any) -> Body:
    need(
        scopes is None
        or type(scopes) is list
        and len(scopes) <= SCOPES_MOST
        and all(is_text(scope, 0, SCOPE_MOST) for scope in scopes),
        "scopes",
    )
    need(
        whole(epoch) and whole(revision) and type(digest) is int and 0 <= digest < 1 << 64, "report"
    )
    return Report(None if scopes is None else tuple(scopes), epoch, revision, digest)


def read_told(
    epoch: Any, revision: Any, tag: Any, time_ms: Any, age: Any, differs: Any, oldest: Any
) -> Body:
    need((age is None or whole(age)) and type(differs) is bool and whole(oldest), "HEAD")
    return Told(head_from(epoch, revision, tag, time_ms), age, differs, oldest)


def read_change(
    epoch: Any, revision: Any, time_ms: Any, scope: Any, body: Any, tag: Any, digest: Any
) -> Body:
    need(
        whole(epoch)
        and epoch > 0
        and whole(revision)
        and revision > 0
        and whole(time_ms)
        and is_text(scope, 0, SCOPE_MOST)
        and type(tag) is bytes
        and len(tag) == TAG
        and type(digest) is bytes
        and len(digest) == TAG
        and (body is None or type(body) is bytes and len(body) <= BODY_MOST),
        "change",
    )
    return Pushed(Change(epoch, revision, time_ms, scope, body, tag, digest))


def read_pull(epoch: Any, after: Any, most: Any) -> Body:
    need(whole(epoch) and whole(after) and whole(most) and 0 < most <= PULL_MOST, "PULL")
    return Pull(epoch, after, most)


def read_digests(
    epoch: Any, revision: Any, tag: Any, time_ms: Any, half: Any, digests: Any
) -> Body:
    need(
        type(half) is int
        and half in (0, 1)
        and type(digests) is bytes
        and len(digests) == 8 * HALF,
        "DIGESTS",
    )
    found = tuple(int.from_bytes(digests[at : at + 8], "big") for at in range(0, 8 * HALF, 8))
    return Digests(head_from(epoch, revision, tag, time_ms), half, found)


def read_pages_ask(bucket: Any, after: Any, pages: Any) -> Body:
    need(
        whole(bucket) and bucket < BUCKETS and whole(pages) and 0 < pages <= PAGES_MOST, "PAGES_ASK"
    )
    return PagesAsk(bucket, place_from(after), pages)


def read_page(
    epoch: Any, revision: Any, bucket: Any, place: Any, after: Any, entries: Any, done: Any
) -> Body:
    need(
        whole(epoch)
        and epoch > 0
        and whole(revision)
        and whole(bucket)
        and bucket < BUCKETS
        and whole(place)
        and place < PAGES_MOST
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
    return Paged(epoch, revision, bucket, place, begin, Page(found, last, done))


def place_from(got: Any) -> Place | None:
    if got is None:
        return None
    need(
        type(got) is list
        and len(got) == 3
        and is_text(got[0], 0, SCOPE_MOST)
        and got[1] in ENTRY_KINDS
        and is_text(got[2], 1, KEY_MOST),
        "place",
    )
    return got[0], got[1], got[2]


def entry_from(got: Any) -> Entry:
    need(
        type(got) is list and len(got) == 4 and type(got[3]) is bytes and len(got[3]) <= VALUE_MOST,
        "entry",
    )
    place = place_from(got[:3])
    assert place is not None
    return Entry(*place, got[3])


def read_redirect(reason: Any) -> Body:
    need(is_text(reason, 0, NAME_MOST), "REDIRECT")
    return Redirect(reason)


KIND_OF: dict[type[Any], int] = {
    Report: int(Kind.REPORT),
    Told: int(Kind.HEAD),
    Pushed: int(Kind.CHANGE),
    Pull: int(Kind.PULL),
    DigestsAsk: int(Kind.DIGESTS_ASK),
    Digests: int(Kind.DIGESTS),
    PagesAsk: int(Kind.PAGES_ASK),
    Paged: int(Kind.PAGE),
    Redirect: int(Kind.REDIRECT),
    Bye: int(Kind.BYE),
}
PACKED: list[Callable[[Any], Sequence[Any]]] = [
    lambda body: body,
    lambda body: (*body.head, body.age, body.differs, body.oldest),
    lambda body: body.change,
    lambda body: body,
    lambda body: body,
    lambda body: (*body.head, body.half, b"".join(one.to_bytes(8, "big") for one in body.digests)),
    lambda body: body,
    lambda body: (
        body.epoch,
        body.revision,
        body.bucket,
        body.place,
        body.after,
        body.page.entries,
        body.page.done,
    ),
    lambda body: body,
    lambda body: body,
]
READ: list[tuple[int, Callable[..., Body]]] = [
    (4, read_report),
    (7, read_told),
    (7, read_change),
    (3, read_pull),
    (0, DigestsAsk),
    (6, read_digests),
    (3, read_pages_ask),
    (7, read_page),
    (1, read_redirect),
    (0, Bye),
]
WINDOW = 64  # numbers that requests may be out of order by


class Window:
    """Each request counts once, though some overtake others: RFC 4303's window of numbers seen."""

    __slots__ = ("highest", "seen")

    def __init__(self) -> None:
        self.highest, self.seen = -1, 0

    def new(self, number: int) -> bool:
        if number > self.highest:
            self.seen = (self.seen << min(number - self.highest, WINDOW) | 1) & ((1 << WINDOW) - 1)
            self.highest = number
            return True
        bit = self.highest - number
        if bit >= WINDOW or self.seen >> bit & 1:
            return False
        self.seen |= 1 << bit
        return True
