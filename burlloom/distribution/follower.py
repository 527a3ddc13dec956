"""One server's side: it follows one upstream of several, and holds what that has. No I/O.

A host gives it the time (`tick`, at `due` or several times a second) and what datagrams come
(`hear`), and sends what lies in `out`. Times are ns of a clock that never steps back.

The applied revisions of an epoch are dense whatever the network does, since only the change right
after the head whose tag continues the head's is taken (`Replica.take`); the rest is held for its
turn, or asked for again. A sync makes the table the upstream's by pages: it remembers the head from
before the first page (the base), folds the changes after the base, and ends at a revision not
before that of any page. Within an epoch nothing goes back; what the head of a later epoch says is
taken by a sync.
"""

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from enum import IntEnum
from random import Random
from typing import NamedTuple

import xxhash

from ..transition_table import parse_transitions
from .changes import NUMBER_MOST, Change, Entry, Head, Refused, break_of, head_of
from .messages import (
    PAGES_MOST,
    PULL_MOST,
    Body,
    Bye,
    Digests,
    DigestsAsk,
    Message,
    Paged,
    PagesAsk,
    Pull,
    Pushed,
    Redirect,
    Report,
    Sender,
    Told,
    Unreadable,
    seal,
    unseal,
)
from .refusals import REFUSALS_MOST, counted
from .replica import Replica
from .table import BUCKETS, Place
from .terms import MS, Terms

EARLY_MOST = 256  # changes that wait for those before them, the earliest; 280 KB at most
FOLD_MOST = 65_536  # keys that change while a sync runs: at four changes a second that is hours
PUT_MOST = 64  # entries at once, of what was folded
TRIES_MOST = 4  # after which a try waits no longer than the one before
FETCH_MOST = 16  # buckets that are fetched at once, of PAGES_MOST pages each
REPORTS_MOST = 4  # that may still be answered
WORDS_MOST = 8  # of an upstream's age, for revisions that are still to come
REFUSED_MOST = 3  # changes in a row that don't follow: then another upstream is asked
UPSTREAMS_MOST = 64
OUT_MOST = 256  # datagrams that wait for the host
JITTER = 0.1

Address = tuple[str, int]


class Upstream(NamedTuple):
    name: str
    region: str
    address: Address


class State(IntEnum):
    EMPTY = 0  # nothing is in force
    SYNCING = 1  # buckets that differ are fetched
    REPLAYING = 2  # changes since the sync's base, up to the latest page's revision
    CURRENT = 3
    BEHIND = 4  # changes are pulled
    ALONE = 5  # no upstream answers; what is in force stays


class Input(IntEnum):
    HEAD = 0  # the upstream's word
    CHANGE = 1  # changes came, were taken as far as they follow
    FETCHED = 2  # a bucket, or none differed
    LOST = 3  # the upstream is silent, full, leaves, or is of no use


TABLE = """
EMPTY     HEAD    -       SYNCING   sync
EMPTY     LOST    -       ALONE     next
SYNCING   HEAD    unbased SYNCING   sync
SYNCING   HEAD    -       SYNCING   pull
SYNCING   CHANGE  -       SYNCING   pull
SYNCING   FETCHED short   REPLAYING pull
SYNCING   FETCHED -       CURRENT   settle
SYNCING   LOST    -       ALONE     next
REPLAYING HEAD    unbased SYNCING   sync
REPLAYING HEAD    short   REPLAYING pull
REPLAYING CHANGE  short   REPLAYING pull
REPLAYING CHANGE  -       CURRENT   settle
REPLAYING LOST    -       ALONE     next
CURRENT   HEAD    apart   SYNCING   sync
CURRENT   HEAD    behind  BEHIND    pull
CURRENT   CHANGE  behind  BEHIND    pull
CURRENT   LOST    -       ALONE     next
BEHIND    HEAD    apart   SYNCING   sync
BEHIND    HEAD    behind  BEHIND    pull
BEHIND    HEAD    -       CURRENT   -
BEHIND    CHANGE  behind  BEHIND    pull
BEHIND    CHANGE  -       CURRENT   -
BEHIND    LOST    -       ALONE     next
ALONE     HEAD    apart   SYNCING   sync
ALONE     HEAD    behind  BEHIND    pull
ALONE     HEAD    -       CURRENT   -
ALONE     LOST    -       ALONE     next
"""


@dataclass(slots=True)
class Counts:
    """For whoever reads metrics."""

    sent: int = 0
    sent_bytes: int = 0
    heard: int = 0
    heard_bytes: int = 0
    taken: int = 0
    pulls: int = 0
    syncs: int = 0
    settled: int = 0
    pages: int = 0
    mended: int = 0  # entries that a page found differing
    moves: int = 0  # to another upstream
    dropped: int = 0
    refused: dict[str, int] = field(default_factory=dict)  # by reason


@dataclass(slots=True)
class Fetch:
    """A bucket on its way: behind `after` nothing came yet; `early` pages wait for those before
    them. `tries`: since one came; each waits twice as long, as a source that has no bytes left for
    pages answers nothing.
    """

    after: Place | None
    again_at: int
    tries: int = 0
    early: dict[Place, Paged] = field(default_factory=dict)


@dataclass(slots=True)
class Sync:
    """`base`: the head from before the first page; `tip`: how far the changes after it are folded;
    `target`: the latest revision that a page was of.
    """

    first: int  # number of the first DIGESTS_ASK
    again_at: int
    moved_at: int  # when anything last came of it
    halves: dict[tuple[int, int], Digests] = field(default_factory=dict)
    base: Head | None = None
    tip: Head | None = None
    target: int = 0
    wanted: list[int] = field(default_factory=list)
    fetching: dict[int, Fetch] = field(default_factory=dict)
    fold: dict[Place, Entry] = field(default_factory=dict)


class Follower:
    """`life`: Unix ms of the start. `upstreams`: own region's come first, each part in rendezvous
    order. The first key seals. Raises `ValueError` for terms or upstreams that can't be.
    """

    def __init__(
        self,
        replica: Replica,
        name: str,
        life: int,
        region: str,
        upstreams: Iterable[Upstream],
        keys: tuple[bytes, ...],
        terms: Terms,
        chance: Random,
        now: int,
    ) -> None:
        self.replica, self.name, self.life, self.keys = replica, name, life, keys
        self.terms, self.chance = terms, chance
        self.upstreams = preferred(name, region, upstreams)
        if not 0 < len(self.upstreams) <= UPSTREAMS_MOST or terms.faults():
            raise ValueError(
                "; ".join(terms.faults())
                or f"{len(self.upstreams)} upstreams, of 1 to {UPSTREAMS_MOST}"
            )
        self.state = State.EMPTY if replica.head is None else State.ALONE
        self.out: deque[tuple[Address, bytes]] = deque()
        self.counts = Counts()
        self.refusals: deque[tuple[str, Address]] = deque(
            maxlen=REFUSALS_MOST
        )  # until the host takes them
        # Numbers of two lives are never the same: an answer to an earlier life means nothing to
        # this one.
        self.number = life << 20 & NUMBER_MOST
        self.at = 0  # whom we follow, of `upstreams`
        self.answered = False  # whether it ever did, since we came to it
        self.tried = 0  # upstreams, since one answered
        self.upstream_life = 0
        self.told: Told | None = None  # its last word
        self.told_number = 0  # of the report that it answered
        self.latest = 0  # revision that it is known to have
        self.heard_at = self.last = now  # its last answer, or our coming to it; the last tick
        self.reports: dict[int, int] = {}  # by number, when it left
        self.report_at = now  # the next
        self.probe = (
            -1,
            -1,
            now,
        )  # of a better upstream: which, our report's number, and when it left
        self.probe_last = -1
        self.probe_at = now + self.jittered(terms.prefer)
        self.early: dict[int, Change] = {}
        self.pull_number, self.pulled_at, self.pulled_to, self.pull_again = -1, -1, 0, now
        self.refused_row = 0
        self.sync: Sync | None = None
        self.patched_to = (
            0,
            0,
        )  # epoch and revision that pages lie in the table of, where no sync ended since
        self.judged = self.number  # reports before this number say nothing of the table any more
        self.sure_at: int | None = None
        self.words: deque[tuple[int, int, int]] = deque(
            maxlen=WORDS_MOST
        )  # epoch, revision, newest when

    # What others ask.

    @property
    def upstream(self) -> Upstream:
        return self.upstreams[self.at]

    def age(self, now: int) -> int | None:
        """ms since what is in force was surely the newest; None where it never was."""
        return None if self.sure_at is None else max(0, now - self.sure_at) // MS

    @property
    def due(self) -> int:
        """When `tick` has something to do."""
        found = min(self.report_at, self.probe_at, self.heard_at + self.patience())
        if self.pulled_at >= 0:
            found = min(found, self.pull_again)
        if self.sync is not None:
            found = min(
                found,
                self.sync.moved_at + self.terms.stuck,
                *[fetch.again_at for fetch in self.sync.fetching.values()],
            )
            if self.sync.base is None:
                found = min(found, self.sync.again_at)
        return found

    def patience(self) -> int:
        return self.terms.silence if self.answered else self.terms.knock

    def jittered(self, span: int) -> int:
        return int(span * (1 + JITTER * (2 * self.chance.random() - 1)))

    # Once in a while.

    def tick(self, now: int) -> None:
        if now - self.last > self.terms.silence:
            self.awoken(now)
        self.last = now
        if now - self.heard_at >= self.patience():
            self.lose(now)
        if self.sync is not None and now - self.sync.moved_at >= self.terms.stuck:
            self.lose(now)
        if now >= self.report_at:
            self.report(now)
        if now >= self.probe_at:
            self.look_around(now)
        if self.pulled_at >= 0 and now >= self.pull_again:
            self.pulled_at = -1
            self.pull(now)
        if self.sync is not None:
            self.ask_again(now, self.sync)

    def awoken(self, now: int) -> None:
        """We stood still; that the upstream was not heard meanwhile says nothing of it."""
        self.heard_at = self.report_at = now
        if self.sync is not None:
            self.sync.moved_at = now

    def report(self, now: int) -> None:
        """Until an upstream answers, twice a beat."""
        self.report_at = now + self.jittered(
            self.terms.beat if self.answered else self.terms.beat // 2
        )
        self.reports[self.send(self.upstream, self.own_report())] = now
        while len(self.reports) > REPORTS_MOST:
            del self.reports[next(iter(self.reports))]

    def own_report(self) -> Report:
        head, table = self.replica.head, self.replica.table
        if head is None or self.replica.patched:
            return Report(table.scopes, 0, 0, 0)
        return Report(table.scopes, head.epoch, head.revision, table.digest())

    def look_around(self, now: int) -> None:
        """A report to one of the better upstreams, each in turn; to any where the own one has old
        news.
        """
        most = len(self.upstreams) if self.poor() else self.at
        self.probe_at = now + self.jittered(
            self.terms.beat
            if self.poor()
            else max(self.terms.beat, self.terms.prefer // max(1, most))
        )
        if not most or not self.answered or self.sync is not None:
            return
        self.probe_last = (self.probe_last + 1) % most
        if self.probe_last != self.at:
            self.probe = (
                self.probe_last,
                self.send(self.upstreams[self.probe_last], self.own_report()),
                now,
            )

    def poor(self) -> bool:
        """Whether the upstream itself has old news, or none."""
        return self.told is not None and (
            self.told.age is None or self.told.age * MS > self.terms.stale
        )

    # What comes.

    def hear(self, now: int, data: bytes, source: Address) -> None:
        self.counts.heard += 1
        self.counts.heard_bytes += len(data)
        try:
            message = unseal(data, self.keys)
        except Unreadable as error:
            self.refuse(str(error), source)
            return
        does = HEARD.get(type(message.body))
        reason = does(self, now, message) if does else "nothing for a follower"
        if reason:
            self.refuse(reason, source)

    def refuse(self, reason: str, source: Address) -> None:
        self.refusals.append((counted(self.counts.refused, reason), source))

    def headed(self, now: int, message: Message) -> str:
        assert isinstance(message.body, Told)
        sender, told = message.sender, message.body
        which, number, left_at = self.probe
        if number == sender.number and self.upstreams[which].name == sender.name:
            self.probe = -1, -1, now
            if not self.better(told, which):
                self.send(self.upstreams[which], Bye())
                return ""
            self.move(now, which)
            self.reports[number] = left_at
        elif sender.name != self.upstream.name:
            return "a HEAD of another"
        elif sender.number == self.pull_number:
            self.pulled_at = -1
        elif sender.number not in self.reports:
            return "a HEAD that was not asked for"
        self.heard_at, self.answered, self.upstream_life = now, True, sender.life
        asked_at = self.reports.pop(sender.number, None)
        fault = self.fault_of(told.head)
        if fault:
            self.lose(now)
            return fault
        if self.poor() != (told.age is None or told.age * MS > self.terms.stale):
            self.probe_at = min(self.probe_at, now + self.jittered(self.terms.beat))
        back = (
            self.told is not None
            and told.head[:2] < self.told.head[:2]
            and sender.number > self.told_number
        )
        same = self.told is not None and self.told.head.epoch == told.head.epoch and not back
        self.latest = max(self.latest if same else 0, told.head.revision)
        self.told, self.told_number, self.tried = told, sender.number, 0
        if asked_at is not None and told.age is not None:
            self.words.append((told.head.epoch, told.head.revision, asked_at - told.age * MS))
            self.reckon()
        self.meet(now, Input.HEAD)
        return ""

    def fault_of(self, head: Head) -> str:
        """Why nobody with that head may be followed; empty where one may."""
        own = self.replica.head
        if own is None:
            return ""
        if head.epoch < own.epoch:
            return "an older epoch"
        if head.epoch == own.epoch and head.revision == own.revision and head.tag != own.tag:
            return "another history of this epoch"
        return ""

    def better(self, told: Told, which: int) -> bool:
        """Whether that upstream is to be followed in place of the own one."""
        if self.fault_of(told.head) or told.age is None:
            return False
        own = self.told.age if self.told is not None else None
        if which < self.at and told.age * MS <= self.terms.stale:
            return True
        return self.poor() and (own is None or 2 * told.age < own)

    def reckon(self) -> None:
        """Words about revisions that we have say when what is in force was surely the newest."""
        head = self.replica.head
        while head is not None and self.words:
            epoch, revision, at = self.words[0]
            if epoch == head.epoch and revision > head.revision or epoch > head.epoch:
                return
            self.words.popleft()
            if epoch == head.epoch:
                self.sure_at = at if self.sure_at is None else max(self.sure_at, at)

    def changed(self, now: int, message: Message) -> str:
        assert isinstance(message.body, Pushed)
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
            change.revision in self.early
            or len(self.early) < EARLY_MOST
            or change.revision == tip.revision + 1
        ):
            self.early[change.revision] = change
        reason = self.drain(now)
        self.meet(now, Input.CHANGE)
        return reason

    def tip(self) -> Head | None:
        """The revision that the next change is to follow: of the table, or of what a sync
        folded.
        """
        if self.sync is not None:
            return self.sync.tip
        return None if self.replica.patched else self.replica.head

    def drain(self, now: int) -> str:
        """Takes what follows, as far as it goes; says why a change was refused."""
        while True:
            tip = self.tip()
            change = self.early.pop(tip.revision + 1, None) if tip is not None else None
            if change is None:
                return ""
            reason = (
                self.replica.take(change) if self.sync is None else self.fold(self.sync, change)
            )
            if reason:
                self.refused_row += 1
                if self.refused_row >= REFUSED_MOST:
                    self.refused_row = 0
                    self.lose(now)
                return reason
            self.refused_row = 0
            self.counts.taken += 1
            if self.sync is not None:
                self.sync.moved_at = now
            self.reckon()

    def fold(self, sync: Sync, change: Change) -> str:
        """The next change after the base: for the end of the sync."""
        assert sync.tip is not None
        reason = break_of(sync.tip, change, self.replica.keys)
        if not reason and self.replica.holds(change.scope):
            try:
                entries = self.replica.entries_of(change)
            except Refused as refused:
                return str(refused)
            for entry in entries:
                sync.fold[entry[:3]] = entry
        if not reason:
            sync.tip = head_of(change)
        return reason

    def redirected(self, now: int, message: Message) -> str:
        sender, body = message.sender, message.body
        assert isinstance(body, Redirect)
        if sender.number == self.probe[1]:
            self.probe = -1, -1, now
            return ""
        if sender.name != self.upstream.name or (
            sender.number not in self.reports
            and not (sender.number == 0 and sender.life == self.upstream_life and self.answered)
        ):
            return "a REDIRECT that was not asked for"
        self.lose(now)
        return ""

    # Whom we follow.

    def lose(self, now: int) -> None:
        self.meet(now, Input.LOST)

    def next(self, now: int) -> None:
        self.move(now, (self.at + 1) % len(self.upstreams))

    def move(self, now: int, which: int) -> None:
        """What a sync has fetched stays in the table; the next one finds it by its digests."""
        if self.answered and which != self.at:
            self.send(self.upstream, Bye())
        self.at, self.answered, self.upstream_life = which, False, 0
        self.told, self.latest, self.refused_row = None, 0, 0
        self.tried += 1
        self.counts.moves += 1
        # Where none is of use they are not asked round and round as fast as they refuse.
        self.heard_at = self.report_at = (
            now if self.tried < len(self.upstreams) else now + self.jittered(self.terms.beat // 2)
        )
        self.reports.clear()
        self.probe = -1, -1, now
        self.pulled_at = self.pull_number = -1
        self.sync = None

    # The table of states.

    def meet(self, now: int, what: Input) -> None:
        for test, state, effect in RULES.get((self.state, what), ()):
            if test(self):
                self.state = state
                effect(self, now)
                return

    # Tests.

    def apart(self) -> bool:
        """Whether only a sync helps: nothing whole here, a later epoch, changes that can't be
        pulled any more, or digests that differ at the same revision.
        """
        told, head = self.told, self.replica.head
        if told is None:
            return False
        if head is None or self.replica.patched or told.head.epoch > head.epoch:
            return True
        return (
            told.head.revision > head.revision
            and told.oldest > head.revision
            or told.differs
            and self.told_number >= self.judged
        )

    def unbased(self) -> bool:
        """Whether what a sync was begun from is gone."""
        sync, told = self.sync, self.told
        if sync is None:
            return True
        return (
            told is not None
            and sync.tip is not None
            and (told.head.epoch != sync.tip.epoch or told.oldest > sync.tip.revision)
        )

    def behind(self) -> bool:
        head = self.replica.head
        return head is not None and self.latest > head.revision

    def short(self) -> bool:
        """Whether a sync is not at its end yet."""
        sync = self.sync
        return (
            sync is None
            or sync.tip is None
            or bool(sync.wanted or sync.fetching)
            or sync.tip.revision < sync.target
        )

    # Effects.

    def pull(self, now: int) -> None:
        """Asks for the next changes, unless asked for just now."""
        tip = self.tip()
        if tip is None or tip.revision >= self.wanted_revision():
            self.pulled_at = -1
            return
        if self.pulled_at >= 0 and tip.revision < self.pulled_to and now < self.pull_again:
            return
        # Changes that are here already need not come again.
        most = next(
            (ahead for ahead in range(PULL_MOST) if tip.revision + 1 + ahead in self.early),
            PULL_MOST,
        )
        most = max(1, min(most, self.wanted_revision() - tip.revision))
        self.counts.pulls += 1
        self.pulled_at, self.pulled_to = now, tip.revision + most
        self.pull_again = now + self.jittered(self.terms.retry)
        self.pull_number = self.send(self.upstream, Pull(tip.epoch, tip.revision, most))

    def wanted_revision(self) -> int:
        """The latest that we know of."""
        return max(self.latest, self.sync.target if self.sync is not None else 0)

    def sync_anew(self, now: int) -> None:
        """Asks for the digests of all buckets."""
        self.counts.syncs += 1
        self.pulled_at = self.pull_number = -1
        self.sync = Sync(
            self.send(self.upstream, DigestsAsk()), now + self.jittered(self.terms.retry), now
        )

    def settle(self, now: int) -> None:
        """The end of a sync: what was folded lies over the pages."""
        sync = self.sync
        assert sync is not None
        assert sync.tip is not None
        entries = list(sync.fold.values())
        try:
            for at in range(0, len(entries), PUT_MOST):
                self.replica.table.put(entries[at : at + PUT_MOST])
        except ValueError as error:  # a table's own bounds
            self.refuse(f"the table refuses: {error!s:.100}", self.upstream.address)
            self.lose(now)
            return
        if (
            self.replica.patched or self.replica.head != sync.tip
        ):  # else nothing was to be done: the log stays
            self.replica.settle(sync.tip)
        self.sync, self.judged, self.patched_to = None, self.number + 1, (0, 0)
        self.early = {
            revision: change
            for revision, change in self.early.items()
            if change.epoch == sync.tip.epoch and revision > sync.tip.revision
        }
        self.counts.settled += 1
        self.drain(now)
        self.reckon()
        if self.behind():
            self.state = State.BEHIND
            self.pull(now)

    # A sync on its way.

    def digests_came(self, now: int, message: Message) -> str:
        body, sync = message.body, self.sync
        assert isinstance(body, Digests)
        number = message.sender.number
        if sync is None or sync.base is not None or not sync.first <= number <= self.number:
            return (
                ""
                if sync is not None and number >= sync.first
                else "DIGESTS that were not asked for"
            )
        sync.halves[number, body.half] = body
        low, high = sync.halves.get((number, 0)), sync.halves.get((number, 1))
        if low is None or high is None:
            return ""
        head, own = low.head, self.replica.head
        if head != high.head:
            del sync.halves[number, 0], sync.halves[number, 1]
            return "DIGESTS of two moments"
        # Where something is in force no key may go back, also not behind pages of a sync that did
        # not end.
        if own is not None and head[:2] < max(own[:2], self.patched_to):
            self.lose(now)
            return "a base that is older than what is in force"
        theirs = low.digests + high.digests
        ours = self.replica.table.digests()
        sync.base = sync.tip = head
        sync.moved_at, sync.halves = now, {}
        sync.wanted = [bucket for bucket in range(BUCKETS) if theirs[bucket] != ours[bucket]]
        self.chance.shuffle(sync.wanted)  # many newcomers at once ask for other parts each
        self.fetch(now, sync)
        return ""

    def fetch(self, now: int, sync: Sync) -> None:
        """Asks for the next buckets, or goes on where none is left."""
        while sync.wanted and len(sync.fetching) < FETCH_MOST:
            bucket = sync.wanted.pop()
            sync.fetching[bucket] = Fetch(None, now)
            self.ask_pages(now, bucket, sync.fetching[bucket])
        if not sync.fetching:
            self.meet(now, Input.FETCHED)

    def paged(self, now: int, message: Message) -> str:
        body, sync = message.body, self.sync
        assert isinstance(body, Paged)
        if (
            sync is None
            or sync.base is None
            or body.bucket not in sync.fetching
            or message.sender.number < sync.first
        ):
            return ""  # doubled or late
        if body.epoch != sync.base.epoch or body.revision < sync.base.revision:
            return "a PAGE from before the base"
        fetch = sync.fetching[body.bucket]
        if body.after != fetch.after:
            if (
                body.after is not None
                and (fetch.after is None or body.after > fetch.after)
                and len(fetch.early) < PAGES_MOST
            ):
                fetch.early[body.after] = body
            return ""
        page: Paged | None = body
        while page is not None:
            sync.target = max(sync.target, page.revision)
            self.patched_to = max(self.patched_to, (page.epoch, page.revision))
            self.replica.patched = self.replica.head is not None
            try:
                self.counts.mended += self.replica.table.replace(page.bucket, page.after, page.page)
            except ValueError as error:
                return f"a PAGE that the table refuses: {error!s:.100}"
            self.counts.pages += 1
            sync.moved_at = now
            if page.page.done:
                del sync.fetching[page.bucket]
                self.fetch(now, sync)
                return ""
            fetch.after, last = page.page.last, page.place == PAGES_MOST - 1
            page = fetch.early.pop(fetch.after, None) if fetch.after is not None else None
            fetch.tries = 0
            if page is None and last:
                self.ask_pages(now, body.bucket, fetch)
        return ""

    def ask_pages(self, now: int, bucket: int, fetch: Fetch) -> None:
        fetch.again_at = now + self.jittered(self.terms.retry << min(fetch.tries, TRIES_MOST))
        fetch.tries += 1
        self.send(self.upstream, PagesAsk(bucket, fetch.after, PAGES_MOST))

    def ask_again(self, now: int, sync: Sync) -> None:
        if sync.base is None and now >= sync.again_at:
            sync.again_at = now + self.jittered(self.terms.retry)
            self.send(self.upstream, DigestsAsk())
        for bucket, fetch in sync.fetching.items():
            if now >= fetch.again_at:
                fetch.early.clear()
                self.ask_pages(now, bucket, fetch)
        if len(sync.fold) > FOLD_MOST:
            self.lose(now)

    # What leaves.

    def leave(self) -> None:
        self.send(self.upstream, Bye())

    def send(self, to: Upstream, body: Body) -> int:
        """The message's number."""
        self.number += 1
        if len(self.out) >= OUT_MOST:
            self.counts.dropped += 1
            return self.number
        data = seal(Sender(self.name, self.life, self.number), body, self.keys[0])
        self.counts.sent += 1
        self.counts.sent_bytes += len(data)
        self.out.append((to.address, data))
        return self.number


def preferred(name: str, region: str, upstreams: Iterable[Upstream]) -> list[Upstream]:
    """Own region's first, each part in rendezvous order (Thaler and Ravishankar, 1998), so that
    each follower has its own and a lost one's followers spread over all others.
    """

    def weight(one: Upstream) -> tuple[bool, int]:
        return one.region == region, int(xxhash.xxh3_64_intdigest(f"{name}\n{one.name}".encode()))

    return sorted((one for one in upstreams if one.name != name), key=weight, reverse=True)


def summary(follower: Follower, now: int) -> Mapping[str, object]:
    """For an operator's eyes; plain values."""
    head, sync, counts = follower.replica.head, follower.sync, follower.counts
    return {
        "name": follower.name,
        "state": follower.state.name.lower(),
        "upstream": follower.upstream.name,
        "epoch": head.epoch if head else None,
        "revision": head.revision if head else None,
        "latest": follower.latest,
        "age_ms": follower.age(now),
        "mixed": follower.replica.patched,
        "buckets_left": len(sync.wanted) + len(sync.fetching) if sync else 0,
        "counts": {name: getattr(counts, name) for name in counts.__slots__},
    }


Test = Callable[[Follower], bool]
Effect = Callable[[Follower, int], None]
RENAMED = {"sync": "sync_anew"}


def _test(name: str) -> Test:
    return (lambda follower: True) if name == "-" else getattr(Follower, name)


def _effect(name: str) -> Effect:
    return (
        (lambda follower, now: None) if name == "-" else getattr(Follower, RENAMED.get(name, name))
    )


RULES = parse_transitions(TABLE, State, Input, _test, _effect)
HEARD: dict[type[Body], Callable[[Follower, int, Message], str]] = {
    Told: Follower.headed,
    Pushed: Follower.changed,
    Redirect: Follower.redirected,
    Digests: Follower.digests_came,
    Paged: Follower.paged,
}
