"""A server's side of replication: it follows one of several upstreams. No I/O.

A host calls `tick` at `next_due` or several times a second, passes datagrams to `receive`, and
sends what lies in `out`. Times are ns of a clock that never goes back.

The applied revisions of an epoch are dense whatever the network does: only the change directly
after the head whose tag continues the head's is applied (`Replica.apply_change`); others wait for
their turn or are requested again. A sync makes the table equal to the upstream's by pages: it
records the head from before the first page (the base), folds the changes after the base, and ends
at a revision not before that of any page. Within an epoch nothing goes back; the head of a later
epoch is taken by a sync.
"""

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from random import Random

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
from .follower_state import Counts, Fetch, Input, State, Sync
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
from .settings import MS, ReplicationSettings
from .table import BUCKET_COUNT
from .upstreams import Address, Upstream, by_preference

MAX_EARLY_CHANGES = 256  # changes that wait for those before them, the earliest; 280 KB at most
MAX_FOLDED_ITEMS = (
    65_536  # keys that change while a sync runs: at four changes a second that is hours
)
ITEMS_PER_PUT = 64  # entries at once, of what was folded
MAX_BACKOFF_DOUBLINGS = 4  # after which a try waits no longer than the one before
MAX_FETCHES = 16  # buckets that are fetched at once, of MAX_PAGES_PER_REQUEST pages each
MAX_OPEN_REPORTS = 4  # that may still be answered
MAX_PENDING_AGES = 8  # of an upstream's age, for revisions that are still to come
MAX_REFUSED_IN_A_ROW = 3  # changes in a row that don't follow: then another upstream is asked
MAX_UPSTREAMS = 64
MAX_OUT_DATAGRAMS = 256  # datagrams that wait for the host
JITTER_SHARE = 0.1


TABLE = """
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
        replica: the table that is kept.
        name: this server's name.
        incarnation: Unix ms of the process's start.
        region: upstreams of this region are preferred.
        upstreams: whom it may follow.
        keys: the first seals messages, any opens them.
        settings: intervals and limits.
        random: source of jitter.
        now: current time in ns.

    Raises:
        ValueError: for settings or upstreams that can't be used.
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
        now: int,
    ) -> None:
        self.replica, self.name, self.incarnation, self.keys = replica, name, incarnation, keys
        self.settings, self.random = settings, random
        self.upstreams = by_preference(name, region, upstreams)
        if not 0 < len(self.upstreams) <= MAX_UPSTREAMS or settings.faults():
            raise ValueError(
                "; ".join(settings.faults())
                or f"{len(self.upstreams)} upstreams, of 1 to {MAX_UPSTREAMS}"
            )
        self.state = State.EMPTY if replica.head is None else State.ALONE
        self.out: deque[tuple[Address, bytes]] = deque()
        self.counts = Counts()
        # Kept until the host takes them for its log.
        self.refusals: deque[tuple[str, Address]] = deque(maxlen=MAX_PENDING_REFUSALS)
        # Numbers of two incarnations never coincide: an answer to an earlier one means nothing.
        self.number = incarnation << 20 & MAX_NUMBER
        self.last_tick_at = now
        self._init_upstream(now)
        self._init_changes(now)

    def _init_upstream(self, now: int) -> None:
        """Begin with the first upstream, unanswered."""
        self.upstream_index = 0
        self.has_answered = False
        # Since one of them answered.
        self.upstreams_tried = 0
        self.upstream_incarnation = 0
        self.upstream_head: HeadStatus | None = None
        # Number of the report that `upstream_head` answered.
        self.upstream_head_number = 0
        # Revision that the upstream is known to have.
        self.latest = 0
        # The upstream's last answer, or when it was chosen.
        self.last_answer_at = now
        # Unanswered reports: number to the time of sending.
        self.reports: dict[int, int] = {}
        self.next_report_at = now
        # The probe of a preferred upstream: its index, our report's number, the time of sending.
        self.probe = (-1, -1, now)
        self.last_probe_index = -1
        self.next_probe_at = now + self.jittered(self.settings.preferred_retry_ns)

    def _init_changes(self, now: int) -> None:
        """Begin without changes on their way."""
        self.early_changes: dict[int, Change] = {}
        self.pull_number, self.pull_sent_at, self.pull_up_to, self.pull_retry_at = -1, -1, 0, now
        self.refused_in_a_row = 0
        self.sync: Sync | None = None
        # Epoch and revision of the latest page in the table, while no sync has ended since.
        self.pages_up_to = (0, 0)
        # Reports before this number say nothing of the table any more.
        self.first_judged_number = self.number
        self.confirmed_newest_at: int | None = None
        # Ages for revisions that are still to come: epoch, revision, when that was the newest.
        self.pending_ages: deque[tuple[int, int, int]] = deque(maxlen=MAX_PENDING_AGES)

    # What others ask.

    @property
    def upstream(self) -> Upstream:
        """The one that is followed now."""
        return self.upstreams[self.upstream_index]

    def age(self, now: int) -> int | None:
        """Return how long ago the table was confirmed to be the newest, in ms; None if never."""
        return (
            None
            if self.confirmed_newest_at is None
            else max(0, now - self.confirmed_newest_at) // MS
        )

    @property
    def next_due(self) -> int:
        """When `tick` next has something to do, in ns."""
        found = min(
            self.next_report_at, self.next_probe_at, self.last_answer_at + self.answer_timeout_ns()
        )
        if self.pull_sent_at >= 0:
            found = min(found, self.pull_retry_at)
        if self.sync is not None:
            found = min(
                found,
                self.sync.last_progress_at + self.settings.sync_stall_timeout_ns,
                *[fetch.retry_at for fetch in self.sync.fetching.values()],
            )
            if self.sync.base is None:
                found = min(found, self.sync.retry_at)
        return found

    def answer_timeout_ns(self) -> int:
        """Return how long the upstream may be silent, in ns."""
        return (
            self.settings.upstream_timeout_ns
            if self.has_answered
            else self.settings.first_answer_timeout_ns
        )

    def jittered(self, span: int) -> int:
        """Return a span of time, in ns, spread by `JITTER_SHARE` to both sides."""
        return int(span * (1 + JITTER_SHARE * (2 * self.random.random() - 1)))

    # Once in a while.

    def tick(self, now: int) -> None:
        """Do what is due: give up a silent upstream, report, probe, repeat unanswered requests."""
        if now - self.last_tick_at > self.settings.upstream_timeout_ns:
            self.resume_after_pause(now)
        self.last_tick_at = now
        if now - self.last_answer_at >= self.answer_timeout_ns():
            self.lose_upstream(now)
        if (
            self.sync is not None
            and now - self.sync.last_progress_at >= self.settings.sync_stall_timeout_ns
        ):
            self.lose_upstream(now)
        if now >= self.next_report_at:
            self.send_report(now)
        if now >= self.next_probe_at:
            self.probe_preferred_upstream(now)
        if self.pull_sent_at >= 0 and now >= self.pull_retry_at:
            self.pull_sent_at = -1
            self.pull_changes(now)
        if self.sync is not None:
            self.repeat_requests(now, self.sync)

    def resume_after_pause(self, now: int) -> None:
        """Restart timeouts after a pause of this process: it says nothing of the upstream."""
        self.last_answer_at = self.next_report_at = now
        if self.sync is not None:
            self.sync.last_progress_at = now

    def send_report(self, now: int) -> None:
        """Report to the upstream; twice a heartbeat until one answers."""
        self.next_report_at = now + self.jittered(
            self.settings.heartbeat_ns if self.has_answered else self.settings.heartbeat_ns // 2
        )
        self.reports[self.send(self.upstream, self.own_report())] = now
        while len(self.reports) > MAX_OPEN_REPORTS:
            del self.reports[next(iter(self.reports))]

    def own_report(self) -> Report:
        """Return the report of what is in force here."""
        head, table = self.replica.head, self.replica.table
        if head is None or self.replica.is_partial:
            return Report(table.scopes, 0, 0, 0)
        return Report(table.scopes, head.epoch, head.revision, table.digest())

    def probe_preferred_upstream(self, now: int) -> None:
        """Report to a preferred upstream, each in turn; to any while the own one is stale."""
        most = len(self.upstreams) if self.upstream_is_stale() else self.upstream_index
        self.next_probe_at = now + self.jittered(
            self.settings.heartbeat_ns
            if self.upstream_is_stale()
            else max(self.settings.heartbeat_ns, self.settings.preferred_retry_ns // max(1, most))
        )
        if not most or not self.has_answered or self.sync is not None:
            return
        self.last_probe_index = (self.last_probe_index + 1) % most
        if self.last_probe_index != self.upstream_index:
            self.probe = (
                self.last_probe_index,
                self.send(self.upstreams[self.last_probe_index], self.own_report()),
                now,
            )

    def upstream_is_stale(self) -> bool:
        """Whether the upstream's own table is old, or never was the newest."""
        return self.upstream_head is not None and (
            self.upstream_head.age_ms is None
            or self.upstream_head.age_ms * MS > self.settings.stale_after_ns
        )

    # What comes.

    def receive(self, now: int, data: bytes, source: Address) -> None:
        """Handle one datagram; what is refused is counted by its reason."""
        self.counts.received += 1
        self.counts.received_bytes += len(data)
        try:
            message = unseal(data, self.keys)
        except MessageDecodeError as error:
            self.count_refusal(str(error), source)
            return
        does = HANDLERS.get(type(message.body))
        reason = does(self, now, message) if does else "nothing for a follower"
        if reason:
            self.count_refusal(reason, source)

    def count_refusal(self, reason: str, source: Address) -> None:
        """Count a refused message and keep it for the host's log."""
        self.refusals.append((count_refusal(self.counts.refused, reason), source))

    def on_head(self, now: int, message: Message) -> str:
        """Take the upstream's head, or a probed upstream's; returns why it is refused, else ""."""
        assert isinstance(message.body, HeadStatus)
        sender, status = message.sender, message.body
        which, number, sent_at = self.probe
        if number == sender.number and self.upstreams[which].name == sender.name:
            self.probe = -1, -1, now
            if not self.is_preferable(status, which):
                self.send(self.upstreams[which], Leave())
                return ""
            self.follow_upstream(now, which)
            self.reports[number] = sent_at
        elif sender.name != self.upstream.name:
            return "a HEAD of another"
        elif sender.number == self.pull_number:
            self.pull_sent_at = -1
        elif sender.number not in self.reports:
            return "a HEAD that was not asked for"
        return self._take_head(now, sender, status)

    def _take_head(self, now: int, sender: Sender, status: HeadStatus) -> str:
        """Take the head of the upstream; returns why it can't be followed any more, else ""."""
        self.last_answer_at, self.has_answered = now, True
        self.upstream_incarnation = sender.incarnation
        report_sent_at = self.reports.pop(sender.number, None)
        reason = self.reason_not_to_follow(status.head)
        if reason:
            self.lose_upstream(now)
            return reason
        is_stale = status.age_ms is None or status.age_ms * MS > self.settings.stale_after_ns
        if self.upstream_is_stale() != is_stale:
            soon = now + self.jittered(self.settings.heartbeat_ns)
            self.next_probe_at = min(self.next_probe_at, soon)
        self._keep_head(sender.number, status)
        if report_sent_at is not None and status.age_ms is not None:
            newest_at = report_sent_at - status.age_ms * MS
            self.pending_ages.append((status.head.epoch, status.head.revision, newest_at))
            self.update_confirmed_age()
        self.handle(now, Input.HEAD)
        return ""

    def _keep_head(self, number: int, status: HeadStatus) -> None:
        """Remember the upstream's head, and the latest revision that it is known to have."""
        before = self.upstream_head
        went_back = (
            before is not None
            and status.head[:2] < before.head[:2]
            and number > self.upstream_head_number
        )
        is_same_log = (
            before is not None and before.head.epoch == status.head.epoch and not went_back
        )
        self.latest = max(self.latest if is_same_log else 0, status.head.revision)
        self.upstream_head, self.upstream_head_number = status, number
        self.upstreams_tried = 0

    def reason_not_to_follow(self, head: Head) -> str:
        """Return why an upstream with that head can't be followed; "" if it can."""
        own = self.replica.head
        if own is None:
            return ""
        if head.epoch < own.epoch:
            return "an older epoch"
        if head.epoch == own.epoch and head.revision == own.revision and head.tag != own.tag:
            return "another history of this epoch"
        return ""

    def is_preferable(self, status: HeadStatus, which: int) -> bool:
        """Whether that upstream should be followed in place of the present one."""
        if self.reason_not_to_follow(status.head) or status.age_ms is None:
            return False
        own = self.upstream_head.age_ms if self.upstream_head is not None else None
        if which < self.upstream_index and status.age_ms * MS <= self.settings.stale_after_ns:
            return True
        return self.upstream_is_stale() and (own is None or 2 * status.age_ms < own)

    def update_confirmed_age(self) -> None:
        """Apply the upstream's ages for revisions that are in force here now."""
        head = self.replica.head
        while head is not None and self.pending_ages:
            epoch, revision, at = self.pending_ages[0]
            if epoch == head.epoch and revision > head.revision or epoch > head.epoch:
                return
            self.pending_ages.popleft()
            if epoch == head.epoch:
                self.confirmed_newest_at = (
                    at if self.confirmed_newest_at is None else max(self.confirmed_newest_at, at)
                )

    def on_change(self, now: int, message: Message) -> str:
        """Take a pushed or pulled change; returns why it is refused, else ""."""
        assert isinstance(message.body, PushedChange)
        change = message.body.change
        tip = self.tip()
        if tip is None:
            return (
                ""
                if self.sync is not None or self.replica.head is None
                else "a change before a sync"
            )
        if change.epoch != tip.epoch:
            return "a change of another epoch"
        if change.revision <= tip.revision:
            return ""  # doubled, late or played again
        if message.sender.name == self.upstream.name:
            self.latest = max(self.latest, change.revision)
        if (
            change.revision in self.early_changes
            or len(self.early_changes) < MAX_EARLY_CHANGES
            or change.revision == tip.revision + 1
        ):
            self.early_changes[change.revision] = change
        reason = self.apply_early_changes(now)
        self.handle(now, Input.CHANGE)
        return reason

    def tip(self) -> Head | None:
        """Return the head that the next change must follow: the table's, or the sync's tip."""
        if self.sync is not None:
            return self.sync.tip
        return None if self.replica.is_partial else self.replica.head

    def apply_early_changes(self, now: int) -> str:
        """Apply waiting changes as far as they follow; returns why one was refused, else ""."""
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
                self.refused_in_a_row += 1
                if self.refused_in_a_row >= MAX_REFUSED_IN_A_ROW:
                    self.refused_in_a_row = 0
                    self.lose_upstream(now)
                return reason
            self.refused_in_a_row = 0
            self.counts.applied += 1
            if self.sync is not None:
                self.sync.last_progress_at = now
            self.update_confirmed_age()

    def fold_change(self, sync: Sync, change: Change) -> str:
        """Keep the items of the next change after the base for the end of the sync."""
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

    def on_redirect(self, now: int, message: Message) -> str:
        """Leave an upstream that sends us elsewhere; returns why it is refused, else ""."""
        sender, body = message.sender, message.body
        assert isinstance(body, Redirect)
        if sender.number == self.probe[1]:
            self.probe = -1, -1, now
            return ""
        if sender.name != self.upstream.name or (
            sender.number not in self.reports
            and not (
                sender.number == 0
                and sender.incarnation == self.upstream_incarnation
                and self.has_answered
            )
        ):
            return "a REDIRECT that was not asked for"
        self.lose_upstream(now)
        return ""

    # Whom we follow.

    def lose_upstream(self, now: int) -> None:
        """Give up the upstream: it is silent, full, leaving, or of no use."""
        self.handle(now, Input.LOST)

    def follow_next_upstream(self, now: int) -> None:
        """Follow the next upstream in the order of preference."""
        self.follow_upstream(now, (self.upstream_index + 1) % len(self.upstreams))

    def follow_upstream(self, now: int, which: int) -> None:
        """Follow that upstream.

        Pages that were fetched stay in the table; the next sync finds them by their digests.
        """
        if self.has_answered and which != self.upstream_index:
            self.send(self.upstream, Leave())
        self.upstream_index, self.has_answered, self.upstream_incarnation = which, False, 0
        self.upstream_head, self.latest, self.refused_in_a_row = None, 0, 0
        self.upstreams_tried += 1
        self.counts.moves += 1
        # Where none is of use they are not asked round and round as fast as they refuse.
        self.last_answer_at = self.next_report_at = (
            now
            if self.upstreams_tried < len(self.upstreams)
            else now + self.jittered(self.settings.heartbeat_ns // 2)
        )
        self.reports.clear()
        self.probe = -1, -1, now
        self.pull_sent_at = self.pull_number = -1
        self.sync = None

    # The table of states.

    def handle(self, now: int, what: Input) -> None:
        """Move by the first row of the table whose test holds, and have its effect."""
        for test, state, effect in RULES.get((self.state, what), ()):
            if test(self):
                self.state = state
                effect(self, now)
                return

    # Tests.

    def needs_sync(self) -> bool:
        """Whether only a sync helps.

        That is so if nothing is complete here, the upstream's epoch is later, the changes can't be
        pulled any more, or digests differ at the same revision.
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
            and self.upstream_head_number >= self.first_judged_number
        )

    def has_lost_sync_base(self) -> bool:
        """Whether the upstream no longer has the changes after the sync's tip."""
        sync, status = self.sync, self.upstream_head
        if sync is None:
            return True
        return (
            status is not None
            and sync.tip is not None
            and (status.head.epoch != sync.tip.epoch or status.oldest_revision > sync.tip.revision)
        )

    def is_behind(self) -> bool:
        """Whether the upstream is known to have a later revision."""
        head = self.replica.head
        return head is not None and self.latest > head.revision

    def is_sync_unfinished(self) -> bool:
        """Whether buckets are missing, or changes up to the latest page's revision."""
        sync = self.sync
        return (
            sync is None
            or sync.tip is None
            or bool(sync.buckets_left or sync.fetching)
            or sync.tip.revision < sync.target_revision
        )

    # Effects.

    def pull_changes(self, now: int) -> None:
        """Request the next changes, unless they were requested just now."""
        tip = self.tip()
        if tip is None or tip.revision >= self.wanted_revision():
            self.pull_sent_at = -1
            return
        if self.pull_sent_at >= 0 and tip.revision < self.pull_up_to and now < self.pull_retry_at:
            return
        # Changes that are here already need not come again.
        most = next(
            (
                ahead
                for ahead in range(MAX_PULL_CHANGES)
                if tip.revision + 1 + ahead in self.early_changes
            ),
            MAX_PULL_CHANGES,
        )
        most = max(1, min(most, self.wanted_revision() - tip.revision))
        self.counts.pulls += 1
        self.pull_sent_at, self.pull_up_to = now, tip.revision + most
        self.pull_retry_at = now + self.jittered(self.settings.request_retry_ns)
        self.pull_number = self.send(self.upstream, PullRequest(tip.epoch, tip.revision, most))

    def wanted_revision(self) -> int:
        """Return the latest revision that is known."""
        return max(self.latest, self.sync.target_revision if self.sync is not None else 0)

    def start_sync(self, now: int) -> None:
        """Request the digests of all buckets."""
        self.counts.syncs += 1
        self.pull_sent_at = self.pull_number = -1
        self.sync = Sync(
            self.send(self.upstream, DigestsRequest()),
            now + self.jittered(self.settings.request_retry_ns),
            now,
        )

    def finish_sync(self, now: int) -> None:
        """End a sync: put the folded items over the pages."""
        sync = self.sync
        assert sync is not None
        assert sync.tip is not None
        items = list(sync.folded_items.values())
        try:
            for at in range(0, len(items), ITEMS_PER_PUT):
                self.replica.table.put(items[at : at + ITEMS_PER_PUT])
        except ValueError as error:  # a table's own bounds
            self.count_refusal(f"the table refuses: {error!s:.100}", self.upstream.address)
            self.lose_upstream(now)
            return
        if (
            self.replica.is_partial or self.replica.head != sync.tip
        ):  # else nothing was to be done: the log stays
            self.replica.complete_at(sync.tip)
        self.sync, self.first_judged_number, self.pages_up_to = None, self.number + 1, (0, 0)
        self.early_changes = {
            revision: change
            for revision, change in self.early_changes.items()
            if change.epoch == sync.tip.epoch and revision > sync.tip.revision
        }
        self.counts.finished_syncs += 1
        self.apply_early_changes(now)
        self.update_confirmed_age()
        if self.is_behind():
            self.state = State.BEHIND
            self.pull_changes(now)

    # A sync on its way.

    def on_digests(self, now: int, message: Message) -> str:
        """Begin a sync from both halves of the digests; returns why they are refused, else ""."""
        body, sync = message.body, self.sync
        assert isinstance(body, DigestsResponse)
        number = message.sender.number
        if sync is None or sync.base is not None or not sync.first_number <= number <= self.number:
            return (
                ""
                if sync is not None and number >= sync.first_number
                else "DIGESTS that were not asked for"
            )
        sync.digest_halves[number, body.half] = body
        low, high = sync.digest_halves.get((number, 0)), sync.digest_halves.get((number, 1))
        if low is None or high is None:
            return ""
        head, own = low.head, self.replica.head
        if head != high.head:
            del sync.digest_halves[number, 0], sync.digest_halves[number, 1]
            return "DIGESTS of two moments"
        # Where something is in force no key may go back, also not behind pages of a sync that did
        # not end.
        if own is not None and head[:2] < max(own[:2], self.pages_up_to):
            self.lose_upstream(now)
            return "a base that is older than what is in force"
        theirs = low.digests + high.digests
        ours = self.replica.table.digests()
        sync.base = sync.tip = head
        sync.last_progress_at, sync.digest_halves = now, {}
        sync.buckets_left = [
            bucket for bucket in range(BUCKET_COUNT) if theirs[bucket] != ours[bucket]
        ]
        self.random.shuffle(sync.buckets_left)  # many newcomers at once ask for other parts each
        self.fetch_buckets(now, sync)
        return ""

    def fetch_buckets(self, now: int, sync: Sync) -> None:
        """Request the next buckets, or go on if none is left."""
        while sync.buckets_left and len(sync.fetching) < MAX_FETCHES:
            bucket = sync.buckets_left.pop()
            sync.fetching[bucket] = Fetch(None, now)
            self.request_pages(now, bucket, sync.fetching[bucket])
        if not sync.fetching:
            self.handle(now, Input.FETCHED)

    def on_page(self, now: int, message: Message) -> str:
        """Put a page, and those that waited for it, into the table.

        Returns why it is refused, else "".
        """
        body, sync = message.body, self.sync
        assert isinstance(body, PageResponse)
        if (
            sync is None
            or sync.base is None
            or body.bucket not in sync.fetching
            or message.sender.number < sync.first_number
        ):
            return ""  # doubled or late
        if body.epoch != sync.base.epoch or body.revision < sync.base.revision:
            return "a PAGE from before the base"
        fetch = sync.fetching[body.bucket]
        if body.after != fetch.after:
            if (
                body.after is not None
                and (fetch.after is None or body.after > fetch.after)
                and len(fetch.early_pages) < MAX_PAGES_PER_REQUEST
            ):
                fetch.early_pages[body.after] = body
            return ""
        return self._put_pages(now, sync, fetch, body)

    def _put_pages(self, now: int, sync: Sync, fetch: Fetch, first: PageResponse) -> str:
        """Put a page and the early ones behind it into the table.

        Returns why the table refuses one, else "".
        """
        page: PageResponse | None = first
        while page is not None:
            sync.target_revision = max(sync.target_revision, page.revision)
            self.pages_up_to = max(self.pages_up_to, (page.epoch, page.revision))
            self.replica.is_partial = self.replica.head is not None
            try:
                self.counts.mended += self.replica.table.replace(page.bucket, page.after, page.page)
            except ValueError as error:
                return f"a PAGE that the table refuses: {error!s:.100}"
            self.counts.pages += 1
            sync.last_progress_at = now
            if page.page.is_last:
                del sync.fetching[page.bucket]
                self.fetch_buckets(now, sync)
                return ""
            fetch.after = page.page.last_position
            is_last_of_request = page.page_index == MAX_PAGES_PER_REQUEST - 1
            page = fetch.early_pages.pop(fetch.after, None) if fetch.after is not None else None
            fetch.tries = 0
            if page is None and is_last_of_request:
                self.request_pages(now, first.bucket, fetch)
        return ""

    def request_pages(self, now: int, bucket: int, fetch: Fetch) -> None:
        """Ask for the next pages of a bucket; each attempt waits twice as long for them."""
        fetch.retry_at = now + self.jittered(
            self.settings.request_retry_ns << min(fetch.tries, MAX_BACKOFF_DOUBLINGS)
        )
        fetch.tries += 1
        self.send(self.upstream, PagesRequest(bucket, fetch.after, MAX_PAGES_PER_REQUEST))

    def repeat_requests(self, now: int, sync: Sync) -> None:
        """Repeat the sync's requests that were not answered in time."""
        if sync.base is None and now >= sync.retry_at:
            sync.retry_at = now + self.jittered(self.settings.request_retry_ns)
            self.send(self.upstream, DigestsRequest())
        for bucket, fetch in sync.fetching.items():
            if now >= fetch.retry_at:
                fetch.early_pages.clear()
                self.request_pages(now, bucket, fetch)
        if len(sync.folded_items) > MAX_FOLDED_ITEMS:
            self.lose_upstream(now)

    # What leaves.

    def leave(self) -> None:
        """Tell the upstream that this follower goes."""
        self.send(self.upstream, Leave())

    def send(self, to: Upstream, body: Body) -> int:
        """Queue a message to an upstream and return its number."""
        self.number += 1
        if len(self.out) >= MAX_OUT_DATAGRAMS:
            self.counts.dropped += 1
            return self.number
        data = seal(Sender(self.name, self.incarnation, self.number), body, self.keys[0])
        self.counts.sent += 1
        self.counts.sent_bytes += len(data)
        self.out.append((to.address, data))
        return self.number


def summary(follower: Follower, now: int) -> Mapping[str, object]:
    """Return plain values for an operator, as the state file has them."""
    head, sync, counts = follower.replica.head, follower.sync, follower.counts
    return {
        "name": follower.name,
        "state": follower.state.name.lower(),
        "upstream": follower.upstream.name,
        "epoch": head.epoch if head else None,
        "revision": head.revision if head else None,
        "latest": follower.latest,
        "age_ms": follower.age(now),
        "mixed": follower.replica.is_partial,
        "buckets_left": len(sync.buckets_left) + len(sync.fetching) if sync else 0,
        "counts": counts.exported(),
    }


Test = Callable[[Follower], bool]
Effect = Callable[[Follower, int], None]


def _test(name: str) -> Test:
    return (lambda follower: True) if name == "-" else getattr(Follower, name)


def _effect(name: str) -> Effect:
    return (lambda follower, now: None) if name == "-" else getattr(Follower, name)


RULES = parse_transitions(TABLE, State, Input, _test, _effect)
HANDLERS: dict[type[Body], Callable[[Follower, int, Message], str]] = {
    HeadStatus: Follower.on_head,
    PushedChange: Follower.on_change,
    Redirect: Follower.on_redirect,
    DigestsResponse: Follower.on_digests,
    PageResponse: Follower.on_page,
}
