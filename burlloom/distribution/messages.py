"""Messages between followers and sources. No I/O.

A replayed message has no effect: requests are numbered and each number counts once
(`ReplayWindow`), answers carry the number of the request, and changes are chained. codec.py has
their form on the wire.
"""

from enum import IntEnum
from typing import NamedTuple

from .changes import (
    Change,
    Head,
)
from .table import BUCKET_COUNT, ItemPosition, Page

MAX_NAME_BYTES = 64  # bytes of UTF-8
MIN_KEY_BYTES = 16  # bytes of a key
MAX_FOLLOWER_SCOPES = 16  # that one follower holds by name
MAX_PULL_CHANGES = 32  # changes that one PULL asks for
MAX_PAGES_PER_REQUEST = 4  # pages that one PAGES_ASK asks for
MAX_PAGE_BYTES = 1050  # of a page's entries: with the longest names and places it still fits
HALF_BUCKETS = BUCKET_COUNT // 2  # bucket digests a message


class MessageKind(IntEnum):
    """The number of each kind of message on the wire."""

    REPORT = 0  # each beat, to whom we follow: what we have; renews the lease
    HEAD = 1  # to the REPORT of that number, or to a PULL that can't be answered: what there is
    CHANGE = 2  # pushed, or asked for
    PULL = 3  # changes after that revision
    DIGESTS_REQUEST = 4
    DIGESTS = 5  # half of the buckets' digests, and the head of that moment
    PAGES_REQUEST = 6  # pages of a bucket, from there on
    PAGE = 7
    REDIRECT = 8  # go to your next: we are full, leave, or don't hold what you want
    BYE = 9  # to whom we followed: we go, or follow another


class Sender(NamedTuple):
    """Who sent a message.

    Attributes:
        name: the sender's name.
        incarnation: Unix ms of the sender's start.
        number: the sender's own count; in an answer, that of the request.
    """

    name: str
    incarnation: int
    number: int


class Report(NamedTuple):
    """REPORT. What a follower has.

    Attributes:
        scopes: scopes that are held; None: all.
        epoch: 0 if no table is complete.
        revision: revision of the table.
        digest: digest of these scopes at that revision.
    """

    scopes: tuple[str, ...] | None
    epoch: int
    revision: int
    digest: int


class HeadStatus(NamedTuple):
    """HEAD. What a source has.

    Attributes:
        head: the source's head.
        age_ms: how long ago its table was confirmed to be the newest; None: never.
        differs: whether the digests differ at the revision of the REPORT.
        oldest_revision: changes after this revision can be pulled.
    """

    head: Head
    age_ms: int | None
    differs: bool
    oldest_revision: int


class PushedChange(NamedTuple):
    """CHANGE. One change, pushed or asked for."""

    change: Change


class PullRequest(NamedTuple):
    """PULL. At most `max_changes` changes after a revision of that epoch."""

    epoch: int
    after_revision: int
    max_changes: int


class DigestsRequest(NamedTuple):
    """DIGESTS_ASK. The digests of all buckets."""

    pass


class DigestsResponse(NamedTuple):
    """DIGESTS. Digests of buckets 0 to 127 (`half` 0) or 128 to 255 (`half` 1)."""

    head: Head
    half: int
    digests: tuple[int, ...]


class PagesRequest(NamedTuple):
    """PAGES_ASK. At most `page_count` pages of a bucket, behind the position `after`."""

    bucket: int
    after: ItemPosition | None
    page_count: int


class PageResponse(NamedTuple):
    """PAGE. One page of a bucket.

    Attributes:
        epoch: epoch of the table that it was read from.
        revision: revision of that table.
        bucket: the bucket.
        page_index: which page of its PAGES_ASK this is.
        after: the position that it begins behind.
        page: the items.
    """

    epoch: int
    revision: int
    bucket: int
    page_index: int
    after: ItemPosition | None
    page: Page


class Redirect(NamedTuple):
    """REDIRECT. The follower is to follow its next upstream; the reason is for the log."""

    reason: str


class Leave(NamedTuple):
    """BYE. The follower goes, or follows another upstream."""

    pass


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
    """A decoded datagram."""

    sender: Sender
    body: Body
