"""Messages between followers and sources. Does no I/O.

A replayed message has no effect: each request has a number that a source accepts once
(`ReplayWindow`), an answer carries the number of its request, and changes are chained. codec.py
defines the encoding.
"""

from enum import IntEnum
from typing import NamedTuple

from .changes import (
    Change,
    Head,
)
from .table import BUCKET_COUNT, ItemPosition, Page

MAX_NAME_BYTES = 64  # a process's name in UTF-8
MIN_KEY_BYTES = 16  # shortest key allowed
MAX_FOLLOWER_SCOPES = 16  # scopes that a follower may list in a REPORT
MAX_PULL_CHANGES = 32  # changes that one PULL may request
MAX_PAGES_PER_REQUEST = 4  # pages that one PAGES_REQUEST may request
MAX_PAGE_BYTES = 1050  # items of a page; fits into a datagram with the longest names and positions
HALF_BUCKETS = BUCKET_COUNT // 2  # bucket digests in one DIGESTS message


class MessageKind(IntEnum):
    """Number of each kind of message on the wire.

    Reasons for refusals write DIGESTS_ASK and PAGES_ASK for DIGESTS_REQUEST and PAGES_REQUEST;
    only "wrong number of fields" is reported with the name of the member.
    """

    REPORT = 0  # follower, each heartbeat: its head and digest; renews the lease
    HEAD = 1  # source: its head, in answer to a REPORT or to a PULL that it can't serve
    CHANGE = 2  # source: one change, pushed or pulled
    PULL = 3  # follower: requests the changes after a revision
    DIGESTS_REQUEST = 4  # follower: requests the digests of all buckets
    DIGESTS = 5  # source: the digests of one half of the buckets, and its head at that time
    PAGES_REQUEST = 6  # follower: requests pages of a bucket after a position
    PAGE = 7  # source: one page of a bucket
    REDIRECT = 8  # source: it can't serve the follower, which is to try its next upstream
    BYE = 9  # follower: it stops, or follows another upstream


class Sender(NamedTuple):
    """The sender of a message, and the message's number.

    Attributes:
        name: The sender's name.
        incarnation: Unix ms of the sender's start.
        number: Sequence number of a follower's message; in an answer, the number of the request.
    """

    name: str
    incarnation: int
    number: int


class Report(NamedTuple):
    """Body of REPORT: the revision that a follower has in force.

    Attributes:
        scopes: Scopes that the follower holds; None for all.
        epoch: Epoch of the table; 0 if the follower has no complete table.
        revision: Revision of the table.
        digest: Digest of the scopes at that revision.
    """

    scopes: tuple[str, ...] | None
    epoch: int
    revision: int
    digest: int


class HeadStatus(NamedTuple):
    """Body of HEAD: the revision that a source has in force.

    Attributes:
        head: The source's head.
        age_ms: Time since the source's table was last confirmed to be the newest; None if it never
            was.
        differs: Whether the digests of follower and source differ at the revision of the REPORT.
        oldest_revision: Changes after this revision can be pulled.
    """

    head: Head
    age_ms: int | None
    differs: bool
    oldest_revision: int


class PushedChange(NamedTuple):
    """Body of CHANGE: one change, pushed or pulled."""

    change: Change


class PullRequest(NamedTuple):
    """Body of PULL: requests at most `max_changes` changes after a revision of an epoch."""

    epoch: int
    after_revision: int
    max_changes: int


class DigestsRequest(NamedTuple):
    """Body of DIGESTS_REQUEST: requests the digests of all buckets."""

    pass


class DigestsResponse(NamedTuple):
    """Body of DIGESTS: the digests of buckets 0 to 127 (`half` 0) or 128 to 255 (`half` 1)."""

    head: Head
    half: int
    digests: tuple[int, ...]


class PagesRequest(NamedTuple):
    """Body of PAGES_REQUEST: requests at most `page_count` pages after a position."""

    bucket: int
    after: ItemPosition | None
    page_count: int


class PageResponse(NamedTuple):
    """Body of PAGE: one page of a bucket.

    Attributes:
        epoch: Epoch of the table that the page was read from.
        revision: Revision of that table.
        bucket: Number of the bucket.
        page_index: Index of the page among those of its PAGES_REQUEST, from 0.
        after: Position after which the page begins; None for the bucket's start.
        page: The items.
    """

    epoch: int
    revision: int
    bucket: int
    page_index: int
    after: ItemPosition | None
    page: Page


class Redirect(NamedTuple):
    """Body of REDIRECT: tells a follower to follow its next upstream; the reason is for logs."""

    reason: str


class Leave(NamedTuple):
    """Body of BYE: the follower stops, or follows another upstream."""

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
