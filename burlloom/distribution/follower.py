"""The receiving side of replication: follows one of several upstreams. Does no I/O.

The host calls `tick` at `next_due` or several times a second, passes datagrams to `receive`, and
sends the datagrams in `outbox`. All times are ns of a monotonic clock.

The applied revisions of an epoch have no gaps, whatever the network loses or reorders: a change is
applied only if it directly follows the head and its tag continues the head's tag
(`Replica.apply_change`). Later changes wait for the missing ones, which are requested again.

A sync makes the table equal to the upstream's page by page. It records the upstream's head before
the first page (the base), collects the changes after the base, and ends at a revision that is not
before the revision of any page. Within an epoch neither the head nor any key goes back to an older
state. A later epoch is entered by a sync.
"""

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from random import Random

from ..time_units import NS_PER_MS
from ..transition_table import parse_transitions
from .changes import (
    MAX_NUMBER,
    Change,
    Head,
    InvalidChangeError,
    chain_break,
    head_after,
)
from .codec import MessageDecodeError, seal, unseal
from .follower_state import Fetch, FollowerCounters, Input, State, Sync
from .messages import (
    MAX_PAGES_PER_REQUEST,
    MAX_PULL_CHANGES,
    Body,
    DigestsRequest,
    DigestsResponse,
    HeadStatus,
    Leave,
    Message,
    PageResponse,
    PagesRequest,
    PullRequest,
    PushedChange,
    Redirect,
    Report,
    Sender,
)
from .refusals import MAX_PENDING_REFUSALS, count_refusal
from .replica import Replica
from .settings import ReplicationSettings
from .table import BUCKET_COUNT
from .upstreams import Address, Upstream, by_preference

MAX_EARLY_CHANGES = 256  # changes kept until the missing ones before them arrive; at most 280 KB
# Keys changed while a sync runs; beyond that the sync is given up. At four changes a second the
# limit is reached after more than four hours.
MAX_FOLDED_ITEMS = 65_536
ITEMS_PER_PUT = 64  # folded items put into the table at once
MAX_BACKOFF_DOUBLINGS = 4  # doublings of the timeout of a page request; then it stays the same
MAX_FETCHES = 16  # buckets fetched at once, each with at most MAX_PAGES_PER_REQUEST pages requested
MAX_OPEN_REPORTS = 4  # latest unanswered reports; an answer to an older one is refused
MAX_PENDING_AGES = 8  # ages reported for revisions not applied yet; the oldest are dropped
MAX_CONSECUTIVE_REFUSALS = 3  # refused changes in a row after which the upstream is given up
MAX_UPSTREAMS = 64  # upstreams of one follower; with more, `Follower` raises ValueError
MAX_OUTBOX_DATAGRAMS = 256  # datagrams queued for the host; further ones are dropped
JITTER_SHARE = 0.1  # share of an interval by which it is varied in both directions


TRANSITIONS = """
EMPTY      HEAD     -                   SYNCING    start_sync
EMPTY      LOST     -                   ALONE      follow_next_upstream
SYNCING    HEAD     has_lost_sync_base  SYNCING    start_sync
SYNCING    HEAD     -                   SYNCING    pull_changes
SYNCING    CHANGE   -                   SYNCING    pull_changes
SYNCING    FETCHED  is_sync_unfinished  REPLAYING  pull_changes
SYNCING    FETCHED  -                   CURRENT    finish_sync
SYNCING    LOST     -                   ALONE      follow_next_upstream
REPLAYING  HEAD     has_lost_sync_base  SYNCING    start_sync
REPLAYING  HEAD     is_sync_unfinished  REPLAYING  pull_changes
REPLAYING  CHANGE   is_sync_unfinished  REPLAYING  pull_changes
REPLAYING  CHANGE   -                   CURRENT    finish_sync
REPLAYING  LOST     -                   ALONE      follow_next_upstream
CURRENT    HEAD     needs_sync          SYNCING    start_sync
CURRENT    HEAD     is_behind           BEHIND     pull_changes
CURRENT    CHANGE   is_behind           BEHIND     pull_changes
CURRENT    LOST     -                   ALONE      follow_next_upstream
BEHIND     HEAD     needs_sync          SYNCING    start_sync
BEHIND     HEAD     is_behind           BEHIND     pull_changes
BEHIND     HEAD     -                   CURRENT    -
BEHIND     CHANGE   is_behind           BEHIND     pull_changes
BEHIND     CHANGE   -                   CURRENT    -
BEHIND     LOST     -                   ALONE      follow_next_upstream
ALONE      HEAD     needs_sync          SYNCING    start_sync
ALONE      HEAD     is_behind           BEHIND     pull_changes
ALONE      HEAD     -                   CURRENT    -
ALONE      LOST     -                   ALONE      follow_next_upstream
"""


class Follower:
    """Follows one upstream of several and keeps a replica of its table.

    Args:
        replica: The replica to keep up to date.
        name: This server's name.
        incarnation: Unix ms of the process's start.
        region: This server's region, whose upstreams are preferred.
        upstreams: Upstreams that the server may follow.
        keys: Keys of the messages' seals; the first seals messages, any may have sealed a received
            one.
        settings: Intervals, timeouts and limits.
        random: Source of jitter.
        now_ns: Current monotonic time in ns.

    Attributes:
        outbox: Address and content of the datagrams to send; the host empties it.
        refusals: Reason and source of refused messages, for the host's log; the host empties it.

    Raises:
        ValueError: The settings are invalid, or there are no or too many upstreams.
    """

    def __init__(
        self,
        replica: Replica,
        name: str,
        incarnation: int,
        region: str,
        upstreams: Iterable[Upstream],
        keys: tuple[bytes, ...],
        settings: ReplicationSettings,
        random: Random,
        now_ns: int,
    ) -> None:
        self.replica, self.name, self.incarnation, self.keys = replica, name, incarnation, keys
        self.settings, self.random = settings, random
        self.upstreams = by_preference(name, region, upstreams)
        if not 0 < len(self.upstreams) <= MAX_UPSTREAMS or settings.faults():
            raise ValueError(
                "; ".join(settings.faults())
                or f"{len(self.upstreams)} upstreams, 1 to {MAX_UPSTREAMS} allowed"
            )
        self.state = State.EMPTY if replica.head is None else State.ALONE
        self.outbox: deque[tuple[Address, bytes]] = deque()
        self.counts = FollowerCounters()
        self.refusals: deque[tuple[str, Address]] = deque(maxlen=MAX_PENDING_REFUSALS)
        # Message numbers of two incarnations never coincide, so that an answer to an earlier
        # incarnation is not taken for an answer to this one.
        self.number = incarnation << 20 & MAX_NUMBER
        self.last_tick_at = now_ns
        self._init_upstream(now_ns)
        self._init_changes(now_ns)

    def _init_upstream(self, now_ns: int) -> None:
        """Initializes the attributes about the upstream; the most preferred one is followed."""
        self.upstream_index = 0
        self.has_answered = False
        # Upstreams followed since one last answered.
        self.upstreams_tried = 0
        self.upstream_incarnation = 0
        self.upstream_head: HeadStatus | None = None
        # Number of the message that `upstream_head` answered.
        self.upstream_head_number = 0
        # Latest revision that the upstream is known to have.
        self.latest_revision = 0
        # Time of the upstream's last answer, or of choosing it if it has not answered.
        self.last_answer_at = now_ns
        # Time of sending of each unanswered report, by message number.
        self.reports: dict[int, int] = {}
        self.next_report_at = now_ns
        # The running probe of a preferred upstream: the upstream's index, the number of the report
        # sent to it, and the time of sending; -1 if no probe is running.
        self.probe = (-1, -1, now_ns)
        self.last_probe_index = -1
        self.next_probe_at = now_ns + self.jittered(self.settings.preferred_retry_ns)

    def _init_changes(self, now_ns: int) -> None:
        """Initializes the attributes about changes and syncs; none is pending."""
        # Changes received before the changes that precede them, by revision.
        self.early_changes: dict[int, Change] = {}
        # The last PULL: its message number, the time of sending, the last revision requested, and
        # the time at which it is repeated. The time of sending is -1 while none is unanswered.
        self.pull_number, self.pull_sent_at, self.pull_up_to_revision, self.pull_retry_at = (
            -1,
            -1,
            0,
            now_ns,
        )
        self.consecutive_refusals = 0
        self.sync: Sync | None = None
        # Epoch and revision of the latest page put into the table since the last sync ended.
        self.newest_page_revision = (0, 0)
        # Reports before this number carried a digest from before the last sync, so that "differs"
        # in an answer to them is ignored.
        self.first_comparable_report_number = self.number
        self.confirmed_newest_at: int | None = None
        # Ages reported for revisions that are not applied yet: epoch, revision, and the time at
        # which that revision was the newest.
        self.pending_ages: deque[tuple[int, int, int]] = deque(maxlen=MAX_PENDING_AGES)

    # State for the host and its reports.

    @property
    def upstream(self) -> Upstream:
        """The upstream that is followed at present."""
        return self.upstreams[self.upstream_index]

    def table_age_ms(self, now_ns: int) -> int | None:
        """Returns the ms since the table was last confirmed as the newest; None if it never was."""
        return (
            None
            if self.confirmed_newest_at is None
            else max(0, now_ns - self.confirmed_newest_at) // NS_PER_MS
        )

    @property
    def next_due(self) -> int:
        """Time at which `tick` next has something to do, in ns."""
        due_at = min(
            self.next_report_at, self.next_probe_at, self.last_answer_at + self.answer_timeout_ns()
        )
        if self.pull_sent_at >= 0:
            due_at = min(due_at, self.pull_retry_at)
        if self.sync is not None:
            due_at = min(
                due_at,
                self.sync.last_progress_at + self.settings.sync_stall_timeout_ns,
                *[fetch.retry_at for fetch in self.sync.fetching.values()],
            )
            if self.sync.base is None:
                due_at = min(due_at, self.sync.retry_at)
        return due_at

    def answer_timeout_ns(self) -> int:
        """Returns the silence after which the upstream is given up, in ns."""
        return (
            self.settings.upstream_timeout_ns
            if self.has_answered
            else self.settings.first_answer_timeout_ns
        )

    def jittered(self, span_ns: int) -> int:
        """Returns a time span in ns, varied at random by `JITTER_SHARE` in both directions."""
        return int(span_ns * (1 + JITTER_SHARE * (2 * self.random.random() - 1)))

    # Timers.

    def tick(self, now_ns: int) -> None:
        """Does all work that is due at `now_ns`.

        Gives up a silent upstream, reports, probes preferred upstreams and repeats unanswered
        requests.
        """
        if now_ns - self.last_tick_at > self.settings.upstream_timeout_ns:
            self.resume_after_pause(now_ns)
        self.last_tick_at = now_ns
        if now_ns - self.last_answer_at >= self.answer_timeout_ns():
            self.lose_upstream(now_ns)
        if (
            self.sync is not None
            and now_ns - self.sync.last_progress_at >= self.settings.sync_stall_timeout_ns
        ):
            self.lose_upstream(now_ns)
        if now_ns >= self.next_report_at:
            self.send_report(now_ns)
        if now_ns >= self.next_probe_at:
            self.probe_preferred_upstream(now_ns)
        if self.pull_sent_at >= 0 and now_ns >= self.pull_retry_at:
            self.pull_sent_at = -1
            self.pull_changes(now_ns)
        if self.sync is not None:
            self.repeat_requests(now_ns, self.sync)

    def resume_after_pause(self, now_ns: int) -> None:
        """Restarts the timeouts after a pause of this process.

        The upstream's silence during such a pause is no sign that the upstream has failed.
        """
        self.last_answer_at = self.next_report_at = now_ns
        if self.sync is not None:
            self.sync.last_progress_at = now_ns

    def send_report(self, now_ns: int) -> None:
        """Reports to the upstream; until it answers, twice per heartbeat interval."""
        self.next_report_at = now_ns + self.jittered(
            self.settings.heartbeat_ns if self.has_answered else self.settings.heartbeat_ns // 2
        )
        self.reports[self.send(self.upstream, self.own_report())] = now_ns
        while len(self.reports) > MAX_OPEN_REPORTS:
            del self.reports[next(iter(self.reports))]

    def own_report(self) -> Report:
        """Returns the report of the revision in force here."""
        head, table = self.replica.head, self.replica.table
        if head is None or self.replica.is_partial:
            return Report(table.scopes, 0, 0, 0)
        return Report(table.scopes, head.epoch, head.revision, table.digest())

    def probe_preferred_upstream(self, now_ns: int) -> None:
        """Probes the next upstream that is preferred to the present one, by a report to it.

        While the present upstream is stale, all others are probed in turn.
        """
        candidate_count = len(self.upstreams) if self.upstream_is_stale() else self.upstream_index
        self.next_probe_at = now_ns + self.jittered(
            self.settings.heartbeat_ns
            if self.upstream_is_stale()
            else max(
                self.settings.heartbeat_ns,
                self.settings.preferred_retry_ns // max(1, candidate_count),
            )
        )
        if not candidate_count or not self.has_answered or self.sync is not None:
            return
        self.last_probe_index = (self.last_probe_index + 1) % candidate_count
        if self.last_probe_index != self.upstream_index:
            self.probe = (
                self.last_probe_index,
                self.send(self.upstreams[self.last_probe_index], self.own_report()),
                now_ns,
            )

    def upstream_is_stale(self) -> bool:
        """Returns whether the upstream's table is stale, or was never confirmed as the newest."""
        return self.upstream_head is not None and (
            self.upstream_head.age_ms is None
            or self.upstream_head.age_ms * NS_PER_MS > self.settings.stale_after_ns
        )

    # Received messages.

    def receive(self, now_ns: int, data: bytes, source: Address) -> None:
        """Handles one received datagram; a refused one is counted by its reason."""
        self.counts.received += 1
        self.counts.received_bytes += len(data)
        try:
            message = unseal(data, self.keys)
        except MessageDecodeError as error:
            self.count_refusal(str(error), source)
            return
        handler = HANDLERS.get(type(message.body))
        reason = (
            handler(self, now_ns, message) if handler else "message kind not handled by a follower"
        )
        if reason:
            self.count_refusal(reason, source)

    def count_refusal(self, reason: str, source: Address) -> None:
        """Counts a refused message and keeps it for the host's log."""
        self.refusals.append((count_refusal(self.counts.refused, reason), source))

    def on_head(self, now_ns: int, message: Message) -> str:
        """Handles the HEAD of the upstream or of a probed one; returns why it is refused, or ""."""
        assert isinstance(message.body, HeadStatus)
        sender, status = message.sender, message.body
        probed_index, number, sent_at = self.probe
        if number == sender.number and self.upstreams[probed_index].name == sender.name:
            self.probe = -1, -1, now_ns
            if not self.is_preferable(status, probed_index):
                self.send(self.upstreams[probed_index], Leave())
                return ""
            self.follow_upstream(now_ns, probed_index)
            self.reports[number] = sent_at
        elif sender.name != self.upstream.name:
            return "HEAD from another server than the upstream"
        elif sender.number == self.pull_number:
            self.pull_sent_at = -1
        elif sender.number not in self.reports:
            return "HEAD that was not requested"
        return self._handle_upstream_head(now_ns, sender, status)

    def _handle_upstream_head(self, now_ns: int, sender: Sender, status: HeadStatus) -> str:
        """Handles the upstream's HEAD; returns why the upstream can't be followed, or ""."""
        self.last_answer_at, self.has_answered = now_ns, True
        self.upstream_incarnation = sender.incarnation
        report_sent_at = self.reports.pop(sender.number, None)
        reason = self.reason_not_to_follow(status.head)
        if reason:
            self.lose_upstream(now_ns)
            return reason
        is_stale = status.age_ms is None or status.age_ms * NS_PER_MS > self.settings.stale_after_ns
        if self.upstream_is_stale() != is_stale:
            next_heartbeat_at = now_ns + self.jittered(self.settings.heartbeat_ns)
            self.next_probe_at = min(self.next_probe_at, next_heartbeat_at)
        self._store_upstream_head(sender.number, status)
        if report_sent_at is not None and status.age_ms is not None:
            newest_at = report_sent_at - status.age_ms * NS_PER_MS
            self.pending_ages.append((status.head.epoch, status.head.revision, newest_at))
            self.update_confirmed_age()
        self.handle(now_ns, Input.HEAD)
        return ""

    def _store_upstream_head(self, number: int, status: HeadStatus) -> None:
        """Remembers the upstream's head, and the latest revision that it is known to have."""
        previous = self.upstream_head
        went_back = (
            previous is not None
            and status.head[:2] < previous.head[:2]
            and number > self.upstream_head_number
        )
        is_same_log = (
            previous is not None and previous.head.epoch == status.head.epoch and not went_back
        )
        self.latest_revision = max(self.latest_revision if is_same_log else 0, status.head.revision)
        self.upstream_head, self.upstream_head_number = status, number
        self.upstreams_tried = 0

    def reason_not_to_follow(self, head: Head) -> str:
        """Returns why an upstream with a head can't be followed; "" if it can."""
        own = self.replica.head
        if own is None:
            return ""
        if head.epoch < own.epoch:
            return "older epoch than the one in force"
        if head.epoch == own.epoch and head.revision == own.revision and head.tag != own.tag:
            return "different history of the same epoch"
        return ""

    def is_preferable(self, status: HeadStatus, index: int) -> bool:
        """Returns whether to follow the upstream with that index in place of the present one.

        A more preferred upstream is chosen if its table is fresh, any other one if the present
        upstream is stale and its table is less than half as old.
        """
        if self.reason_not_to_follow(status.head) or status.age_ms is None:
            return False
        current_age_ms = self.upstream_head.age_ms if self.upstream_head is not None else None
        if (
            index < self.upstream_index
            and status.age_ms * NS_PER_MS <= self.settings.stale_after_ns
        ):
            return True
        return self.upstream_is_stale() and (
            current_age_ms is None or 2 * status.age_ms < current_age_ms
        )

    def update_confirmed_age(self) -> None:
        """Applies the pending ages of revisions in force here; drops those of older epochs."""
        head = self.replica.head
        while head is not None and self.pending_ages:
            epoch, revision, newest_at = self.pending_ages[0]
            if epoch == head.epoch and revision > head.revision or epoch > head.epoch:
                return
            self.pending_ages.popleft()
            if epoch == head.epoch:
                self.confirmed_newest_at = (
                    newest_at
                    if self.confirmed_newest_at is None
                    else max(self.confirmed_newest_at, newest_at)
                )

    def on_change(self, now_ns: int, message: Message) -> str:
        """Handles a pushed or pulled change; returns why it is refused, or ""."""
        assert isinstance(message.body, PushedChange)
        change = message.body.change
        tip = self.tip()
        if tip is None:
            return (
                ""
                if self.sync is not None or self.replica.head is None
                else "change while the table is partly synced"
            )
        if change.epoch != tip.epoch:
            return "change of another epoch"
        if change.revision <= tip.revision:
            return ""  # duplicated, late or replayed
        if message.sender.name == self.upstream.name:
            self.latest_revision = max(self.latest_revision, change.revision)
        if (
            change.revision in self.early_changes
            or len(self.early_changes) < MAX_EARLY_CHANGES
            or change.revision == tip.revision + 1
        ):
            self.early_changes[change.revision] = change
        reason = self.apply_early_changes(now_ns)
        self.handle(now_ns, Input.CHANGE)
        return reason

    def tip(self) -> Head | None:
        """Returns the head that the next change must follow: the table's, or the sync's tip."""
        if self.sync is not None:
            return self.sync.tip
        return None if self.replica.is_partial else self.replica.head

    def apply_early_changes(self, now_ns: int) -> str:
        """Applies waiting changes that directly follow; returns why one was refused, or ""."""
        while True:
            tip = self.tip()
            change = self.early_changes.pop(tip.revision + 1, None) if tip is not None else None
            if change is None:
                return ""
            reason = (
                self.replica.apply_change(change)
                if self.sync is None
                else self.fold_change(self.sync, change)
            )
            if reason:
                self.consecutive_refusals += 1
                if self.consecutive_refusals >= MAX_CONSECUTIVE_REFUSALS:
                    self.consecutive_refusals = 0
                    self.lose_upstream(now_ns)
                return reason
            self.consecutive_refusals = 0
            self.counts.applied += 1
            if self.sync is not None:
                self.sync.last_progress_at = now_ns
            self.update_confirmed_age()

    def fold_change(self, sync: Sync, change: Change) -> str:
        """Collects the items of the next change after the base for the end of the sync.

        Returns why the change is refused, or "".
        """
        assert sync.tip is not None
        reason = chain_break(sync.tip, change, self.replica.keys)
        if not reason and self.replica.holds_scope(change.scope):
            try:
                items = self.replica.items_of(change)
            except InvalidChangeError as refused:
                return str(refused)
            for item in items:
                sync.folded_items[item[:3]] = item
        if not reason:
            sync.tip = head_after(change)
        return reason

    def on_redirect(self, now_ns: int, message: Message) -> str:
        """Handles a REDIRECT by giving up its sender; returns why it is refused, or ""."""
        sender, body = message.sender, message.body
        assert isinstance(body, Redirect)
        if sender.number == self.probe[1]:
            self.probe = -1, -1, now_ns
            return ""
        if sender.name != self.upstream.name or (
            sender.number not in self.reports
            and not (
                sender.number == 0
                and sender.incarnation == self.upstream_incarnation
                and self.has_answered
            )
        ):
            return "REDIRECT that was not requested"
        self.lose_upstream(now_ns)
        return ""

    # Choice of the upstream.

    def lose_upstream(self, now_ns: int) -> None:
        """Gives up the upstream, which is silent, full, draining, or can't be followed."""
        self.handle(now_ns, Input.LOST)

    def follow_next_upstream(self, now_ns: int) -> None:
        """Follows the next upstream in the order of preference."""
        self.follow_upstream(now_ns, (self.upstream_index + 1) % len(self.upstreams))

    def follow_upstream(self, now_ns: int, index: int) -> None:
        """Follows the upstream with an index.

        Pages that were already fetched stay in the table; the next sync skips the buckets whose
        digests agree.
        """
        if self.has_answered and index != self.upstream_index:
            self.send(self.upstream, Leave())
        self.upstream_index, self.has_answered, self.upstream_incarnation = index, False, 0
        self.upstream_head, self.latest_revision, self.consecutive_refusals = None, 0, 0
        self.upstreams_tried += 1
        self.counts.moves += 1
        # If all upstreams refuse, the follower waits before each attempt instead of trying them in
        # turn as fast as they answer.
        self.last_answer_at = self.next_report_at = (
            now_ns
            if self.upstreams_tried < len(self.upstreams)
            else now_ns + self.jittered(self.settings.heartbeat_ns // 2)
        )
        self.reports.clear()
        self.probe = -1, -1, now_ns
        self.pull_sent_at = self.pull_number = -1
        self.sync = None

    # State machine.

    def handle(self, now_ns: int, received: Input) -> None:
        """Takes the first transition whose guard holds, and runs its effect."""
        for guard, state, effect in RULES.get((self.state, received), ()):
            if guard(self):
                self.state = state
                effect(self, now_ns)
                return

    # Guards of the transitions.

    def needs_sync(self) -> bool:
        """Returns whether pulling changes is not enough to get the upstream's table.

        That is so if there is no complete table here, the upstream's epoch is later, the upstream
        no longer has the next change, or the digests differ at the same revision.
        """
        status, head = self.upstream_head, self.replica.head
        if status is None:
            return False
        if head is None or self.replica.is_partial or status.head.epoch > head.epoch:
            return True
        return (
            status.head.revision > head.revision
            and status.oldest_revision > head.revision
            or status.differs
            and self.upstream_head_number >= self.first_comparable_report_number
        )

    def has_lost_sync_base(self) -> bool:
        """Returns whether the upstream no longer has the changes after the sync's tip."""
        sync, status = self.sync, self.upstream_head
        if sync is None:
            return True
        return (
            status is not None
            and sync.tip is not None
            and (status.head.epoch != sync.tip.epoch or status.oldest_revision > sync.tip.revision)
        )

    def is_behind(self) -> bool:
        """Returns whether the upstream is known to have a later revision."""
        head = self.replica.head
        return head is not None and self.latest_revision > head.revision

    def is_sync_unfinished(self) -> bool:
        """Returns whether buckets, or changes up to the latest page's revision, are missing."""
        sync = self.sync
        return (
            sync is None
            or sync.tip is None
            or bool(sync.buckets_left or sync.fetching)
            or sync.tip.revision < sync.target_revision
        )

    # Effects of the transitions.

    def pull_changes(self, now_ns: int) -> None:
        """Requests the next changes, unless an unanswered PULL for them is not due for a retry."""
        tip = self.tip()
        if tip is None or tip.revision >= self.latest_known_revision():
            self.pull_sent_at = -1
            return
        if (
            self.pull_sent_at >= 0
            and tip.revision < self.pull_up_to_revision
            and now_ns < self.pull_retry_at
        ):
            return
        # Only the changes before the first waiting one are requested.
        change_count = next(
            (
                offset
                for offset in range(MAX_PULL_CHANGES)
                if tip.revision + 1 + offset in self.early_changes
            ),
            MAX_PULL_CHANGES,
        )
        change_count = max(1, min(change_count, self.latest_known_revision() - tip.revision))
        self.counts.pulls += 1
        self.pull_sent_at, self.pull_up_to_revision = now_ns, tip.revision + change_count
        self.pull_retry_at = now_ns + self.jittered(self.settings.request_retry_ns)
        self.pull_number = self.send(
            self.upstream, PullRequest(tip.epoch, tip.revision, change_count)
        )

    def latest_known_revision(self) -> int:
        """Returns the latest revision known to exist."""
        return max(self.latest_revision, self.sync.target_revision if self.sync is not None else 0)

    def start_sync(self, now_ns: int) -> None:
        """Starts a sync by requesting the digests of all buckets."""
        self.counts.syncs += 1
        self.pull_sent_at = self.pull_number = -1
        self.sync = Sync(
            self.send(self.upstream, DigestsRequest()),
            now_ns + self.jittered(self.settings.request_retry_ns),
            now_ns,
        )

    def finish_sync(self, now_ns: int) -> None:
        """Ends a sync by putting the items of the collected changes over the pages."""
        sync = self.sync
        assert sync is not None
        assert sync.tip is not None
        items = list(sync.folded_items.values())
        try:
            for start in range(0, len(items), ITEMS_PER_PUT):
                self.replica.table.put(items[start : start + ITEMS_PER_PUT])
        except ValueError as error:  # the items exceed the table's bounds
            self.count_refusal(f"rejected by the table: {error!s:.100}", self.upstream.address)
            self.lose_upstream(now_ns)
            return
        if (
            self.replica.is_partial or self.replica.head != sync.tip
        ):  # else the table was that revision already, and the log of changes stays valid
            self.replica.complete_at(sync.tip)
        self.sync, self.first_comparable_report_number, self.newest_page_revision = (
            None,
            self.number + 1,
            (0, 0),
        )
        self.early_changes = {
            revision: change
            for revision, change in self.early_changes.items()
            if change.epoch == sync.tip.epoch and revision > sync.tip.revision
        }
        self.counts.finished_syncs += 1
        self.apply_early_changes(now_ns)
        self.update_confirmed_age()
        if self.is_behind():
            self.state = State.BEHIND
            self.pull_changes(now_ns)

    # Messages of a running sync.

    def on_digests(self, now_ns: int, message: Message) -> str:
        """Handles DIGESTS and fetches the differing buckets once both halves were received.

        Returns why the message is refused, or "".
        """
        body, sync = message.body, self.sync
        assert isinstance(body, DigestsResponse)
        number = message.sender.number
        if sync is None or sync.base is not None or not sync.first_number <= number <= self.number:
            return (
                ""
                if sync is not None and number >= sync.first_number
                else "DIGESTS that were not requested"
            )
        sync.digest_halves[number, body.half] = body
        lower_half, upper_half = (
            sync.digest_halves.get((number, 0)),
            sync.digest_halves.get((number, 1)),
        )
        if lower_half is None or upper_half is None:
            return ""
        head, own_head = lower_half.head, self.replica.head
        if head != upper_half.head:
            del sync.digest_halves[number, 0], sync.digest_halves[number, 1]
            return "DIGESTS halves of different heads"
        # Once a revision is in force, no key may go back to an older value. That includes the
        # values in pages of an earlier sync that did not end.
        if own_head is not None and head[:2] < max(own_head[:2], self.newest_page_revision):
            self.lose_upstream(now_ns)
            return "sync base older than the revision in force"
        upstream_digests = lower_half.digests + upper_half.digests
        own_digests = self.replica.table.digests()
        sync.base = sync.tip = head
        sync.last_progress_at, sync.digest_halves = now_ns, {}
        sync.buckets_left = [
            bucket
            for bucket in range(BUCKET_COUNT)
            if upstream_digests[bucket] != own_digests[bucket]
        ]
        self.random.shuffle(
            sync.buckets_left
        )  # so that many new followers at once request different buckets
        self.fetch_buckets(now_ns, sync)
        return ""

    def fetch_buckets(self, now_ns: int, sync: Sync) -> None:
        """Requests the next buckets; if none is left, tells the state machine so."""
        while sync.buckets_left and len(sync.fetching) < MAX_FETCHES:
            bucket = sync.buckets_left.pop()
            sync.fetching[bucket] = Fetch(None, now_ns)
            self.request_pages(now_ns, bucket, sync.fetching[bucket])
        if not sync.fetching:
            self.handle(now_ns, Input.FETCHED)

    def on_page(self, now_ns: int, message: Message) -> str:
        """Handles a PAGE: puts it, and the pages that waited for it, into the table.

        Returns why the page is refused, or "".
        """
        body, sync = message.body, self.sync
        assert isinstance(body, PageResponse)
        if (
            sync is None
            or sync.base is None
            or body.bucket not in sync.fetching
            or message.sender.number < sync.first_number
        ):
            return ""  # duplicated or late
        if body.epoch != sync.base.epoch or body.revision < sync.base.revision:
            return "PAGE older than the sync base"
        fetch = sync.fetching[body.bucket]
        if body.after != fetch.after:
            if (
                body.after is not None
                and (fetch.after is None or body.after > fetch.after)
                and len(fetch.early_pages) < MAX_PAGES_PER_REQUEST
            ):
                fetch.early_pages[body.after] = body
            return ""
        return self._put_pages(now_ns, sync, fetch, body)

    def _put_pages(self, now_ns: int, sync: Sync, fetch: Fetch, first: PageResponse) -> str:
        """Puts a page, and the waiting pages that directly follow it, into the table.

        Returns why the table refuses a page, or "".
        """
        page: PageResponse | None = first
        while page is not None:
            sync.target_revision = max(sync.target_revision, page.revision)
            self.newest_page_revision = max(self.newest_page_revision, (page.epoch, page.revision))
            self.replica.is_partial = self.replica.head is not None
            try:
                self.counts.mended += self.replica.table.replace(page.bucket, page.after, page.page)
            except ValueError as error:
                return f"PAGE rejected by the table: {error!s:.100}"
            self.counts.pages += 1
            sync.last_progress_at = now_ns
            if page.page.is_last:
                del sync.fetching[page.bucket]
                self.fetch_buckets(now_ns, sync)
                return ""
            fetch.after = page.page.last_position
            is_last_of_request = page.page_index == MAX_PAGES_PER_REQUEST - 1
            page = fetch.early_pages.pop(fetch.after, None) if fetch.after is not None else None
            fetch.tries = 0
            if page is None and is_last_of_request:
                self.request_pages(now_ns, first.bucket, fetch)
        return ""

    def request_pages(self, now_ns: int, bucket: int, fetch: Fetch) -> None:
        """Requests the next pages of a bucket; the timeout doubles with each attempt."""
        fetch.retry_at = now_ns + self.jittered(
            self.settings.request_retry_ns << min(fetch.tries, MAX_BACKOFF_DOUBLINGS)
        )
        fetch.tries += 1
        self.send(self.upstream, PagesRequest(bucket, fetch.after, MAX_PAGES_PER_REQUEST))

    def repeat_requests(self, now_ns: int, sync: Sync) -> None:
        """Repeats the sync's requests that were not answered in time."""
        if sync.base is None and now_ns >= sync.retry_at:
            sync.retry_at = now_ns + self.jittered(self.settings.request_retry_ns)
            self.send(self.upstream, DigestsRequest())
        for bucket, fetch in sync.fetching.items():
            if now_ns >= fetch.retry_at:
                fetch.early_pages.clear()
                self.request_pages(now_ns, bucket, fetch)
        if len(sync.folded_items) > MAX_FOLDED_ITEMS:
            self.lose_upstream(now_ns)

    # Sent messages.

    def leave(self) -> None:
        """Tells the upstream that this follower stops."""
        self.send(self.upstream, Leave())

    def send(self, to: Upstream, body: Body) -> int:
        """Queues a message to an upstream and returns its number."""
        self.number += 1
        if len(self.outbox) >= MAX_OUTBOX_DATAGRAMS:
            self.counts.dropped += 1
            return self.number
        data = seal(Sender(self.name, self.incarnation, self.number), body, self.keys[0])
        self.counts.sent += 1
        self.counts.sent_bytes += len(data)
        self.outbox.append((to.address, data))
        return self.number


def summary(follower: Follower, now_ns: int) -> Mapping[str, object]:
    """Returns the follower's part of the state file, as plain values."""
    head, sync, counts = follower.replica.head, follower.sync, follower.counts
    return {
        "name": follower.name,
        "state": follower.state.name.lower(),
        "upstream": follower.upstream.name,
        "epoch": head.epoch if head else None,
        "revision": head.revision if head else None,
        "latest": follower.latest_revision,
        "age_ms": follower.table_age_ms(now_ns),
        "mixed": follower.replica.is_partial,
        "buckets_left": len(sync.buckets_left) + len(sync.fetching) if sync else 0,
        "counts": counts.exported(),
    }


Guard = Callable[[Follower], bool]
Effect = Callable[[Follower, int], None]


def _guard(name: str) -> Guard:
    return (lambda follower: True) if name == "-" else getattr(Follower, name)


def _effect(name: str) -> Effect:
    return (lambda follower, now_ns: None) if name == "-" else getattr(Follower, name)


RULES = parse_transitions(TRANSITIONS, State, Input, _guard, _effect)
HANDLERS: dict[type[Body], Callable[[Follower, int, Message], str]] = {
    HeadStatus: Follower.on_head,
    PushedChange: Follower.on_change,
    Redirect: Follower.on_redirect,
    DigestsResponse: Follower.on_digests,
    PageResponse: Follower.on_page,
}
