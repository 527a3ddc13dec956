"""States, inputs, counters and the running sync of a follower. Does no I/O."""

from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any

from .changes import ConfigItem, Head
from .counters import export_counters
from .messages import DigestsResponse, PageResponse
from .table import ItemPosition


class State(IntEnum):
    """State of a follower: how its table relates to its upstream's table."""

    EMPTY = 0  # no revision is in force and no upstream has answered yet
    SYNCING = 1  # the buckets that differ are being fetched
    REPLAYING = 2  # buckets are complete; changes up to the latest page's revision are missing
    CURRENT = 3  # the table has the latest revision that the upstream is known to have
    BEHIND = 4  # later changes are being pulled
    ALONE = 5  # no upstream answers; the revision in force stays in force


class Input(IntEnum):
    """Input of the state machine."""

    HEAD = 0  # the upstream sent its head
    CHANGE = 1  # a change was received, and all changes that directly follow were applied
    FETCHED = 2  # no bucket is being fetched any more, or none differed
    LOST = 3  # the upstream is silent, full, draining, or can't be followed


@dataclass(slots=True)
class FollowerCounters:
    """Counters of a follower since its start.

    Attributes:
        sent: Datagrams sent.
        sent_bytes: Bytes sent.
        received: Datagrams received.
        received_bytes: Bytes received.
        applied: Changes applied.
        pulls: PULL requests.
        syncs: Syncs started.
        finished_syncs: Syncs completed.
        pages: Pages put into the table.
        mended: Items of pages that differed from the table's.
        moves: Switches to another upstream.
        dropped: Datagrams dropped because the outbox was full.
        refused: Refused messages by reason.
    """

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    applied: int = 0
    pulls: int = 0
    syncs: int = 0
    finished_syncs: int = 0
    pages: int = 0
    mended: int = 0
    moves: int = 0
    dropped: int = 0
    refused: dict[str, int] = field(default_factory=dict)

    def exported(self) -> dict[str, Any]:
        """Returns the counters under their names in metrics and state files."""
        return export_counters(self)


@dataclass(slots=True)
class Fetch:
    """A bucket whose pages are being fetched.

    Attributes:
        after: Position of the last item received; None if no page was received.
        retry_at: Time at which the request is repeated, in ns.
        tries: Requests since the last page. The timeout doubles with each of them, since a source
            that has exceeded its byte rate does not answer.
        early_pages: Pages received before the pages that precede them, by their `after`.
    """

    after: ItemPosition | None
    retry_at: int
    tries: int = 0
    early_pages: dict[ItemPosition, PageResponse] = field(default_factory=dict)


@dataclass(slots=True)
class Sync:
    """A running sync.

    Attributes:
        first_number: Message number of the first DIGESTS_REQUEST.
        retry_at: Time at which the request for digests is repeated, in ns.
        last_progress_at: Time of the last message that advanced the sync, in ns.
        digest_halves: Digests received, by message number and half.
        base: The upstream's head at the time of the digests, before the first page; None until both
            halves of the digests were received.
        tip: Head of the last change after the base that is in `folded_items`.
        target_revision: The latest revision of any page received.
        buckets_left: Buckets still to be requested.
        fetching: Buckets requested and not complete.
        folded_items: Items of the changes after the base, the latest value of each.
    """

    first_number: int
    retry_at: int
    last_progress_at: int
    digest_halves: dict[tuple[int, int], DigestsResponse] = field(default_factory=dict)
    base: Head | None = None
    tip: Head | None = None
    target_revision: int = 0
    buckets_left: list[int] = field(default_factory=list)
    fetching: dict[int, Fetch] = field(default_factory=dict)
    folded_items: dict[ItemPosition, ConfigItem] = field(default_factory=dict)
