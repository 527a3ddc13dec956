"""States, inputs and the running work of a follower. No I/O."""

from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any

from .changes import ConfigItem, Head
from .counters import export_counters
from .messages import DigestsResponse, PageResponse
from .table import ItemPosition


class State(IntEnum):
    """How far the table follows the upstream."""

    EMPTY = 0  # nothing is in force
    SYNCING = 1  # buckets that differ are fetched
    REPLAYING = 2  # changes since the sync's base, up to the latest page's revision
    CURRENT = 3
    BEHIND = 4  # changes are pulled
    ALONE = 5  # no upstream answers; what is in force stays


class Input(IntEnum):
    """What the state machine is told."""

    HEAD = 0  # the upstream sent its head
    CHANGE = 1  # changes came and were applied as far as they follow
    FETCHED = 2  # a bucket, or none differed
    LOST = 3  # the upstream is silent, full, leaves, or is of no use


@dataclass(slots=True)
class Counts:
    """Counters since the start; `exported` gives them for metrics and the state file."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    applied: int = 0
    pulls: int = 0
    syncs: int = 0
    finished_syncs: int = 0
    pages: int = 0
    mended: int = 0  # items that a page found differing
    moves: int = 0  # to another upstream
    dropped: int = 0
    refused: dict[str, int] = field(default_factory=dict)  # by reason

    def exported(self) -> dict[str, Any]:
        """Return the counters by the names that state files and metrics have for them."""
        return export_counters(self)


@dataclass(slots=True)
class Fetch:
    """A bucket whose pages are being fetched.

    Attributes:
        after: the position that pages have come up to.
        retry_at: when to ask again, in ns.
        tries: requests since the last page; each waits twice as long as the one before, since a
            source over its byte rate answers nothing.
        early_pages: pages that wait for those before them.
    """

    after: ItemPosition | None
    retry_at: int
    tries: int = 0
    early_pages: dict[ItemPosition, PageResponse] = field(default_factory=dict)


@dataclass(slots=True)
class Sync:
    """A running sync.

    Attributes:
        first_number: number of the first request for digests.
        retry_at: when to ask for digests again, in ns.
        last_progress_at: when anything last came of it, in ns.
        digest_halves: digests received, by number and half.
        base: the head from before the first page.
        tip: how far the changes after the base are folded.
        target: the latest revision that a page was of.
        buckets_left: buckets that are still to be fetched.
        fetching: buckets on their way.
        folded_items: last values of the changes after the base.
    """

    first_number: int  # number of the first DIGESTS_ASK
    retry_at: int
    last_progress_at: int  # when anything last came of it
    digest_halves: dict[tuple[int, int], DigestsResponse] = field(default_factory=dict)
    base: Head | None = None
    tip: Head | None = None
    target_revision: int = 0
    buckets_left: list[int] = field(default_factory=list)
    fetching: dict[int, Fetch] = field(default_factory=dict)
    folded_items: dict[ItemPosition, ConfigItem] = field(default_factory=dict)
