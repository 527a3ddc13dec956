"""Walks every history of one source and one follower: messages late, lost, doubled, out of order, a
forged change, either side started again, the source also with a copy that is behind, and a new
epoch.

Source, Follower and Replica are those of burlloom.distribution, with a table of a few keys. What is
true is kept here: the head and the table at each revision. In each world that is met:

- a head of the follower is a true one, and never goes back in one life;
- a whole table is the true one at its head;
- no key goes back to an older value within an epoch;
- the age is never told younger than it is;
- from some of the worlds: once all is calm, the follower soon has what the source has.
"""

from collections import Counter, deque
from collections.abc import Iterator
from contextlib import contextmanager
from random import Random
from typing import Any
from unittest.mock import patch

import msgpack
import xxhash

from burlloom.distribution import (
    Change,
    ConfigItem,
    Follower,
    Head,
    Replica,
    ReplicationSettings,
    Source,
    Upstream,
    initial_head,
    propose,
)
from burlloom.distribution import follower as following
from burlloom.distribution import replica as replicating
from burlloom.distribution.changes import chain_break
from burlloom.distribution.codec import is_for_source
from burlloom.distribution.table import BUCKET_COUNT, ItemPosition, Page, bucket_of

MS = 1_000_000
SECOND = 1000 * MS
SIGN, SEAL = b"signing key of a test", b"sealing key of a test"
BEGIN = 10**12
NOWHERE = ("10.0.0.1", 1)
# Each key in a bucket of its own.
KEYS = ("x", "y")


def value(number: int) -> bytes:
    packed: bytes = msgpack.packb({"n": number})
    return packed


class Few:
    """A table for a few keys, quick to copy; the interface of Table."""

    scopes: tuple[str, ...] | None = ("",)

    def __init__(self) -> None:
        self.held: dict[ItemPosition, bytes] = {}

    def put(self, entries: Any) -> None:
        for scope, kind, key, held in entries:
            if held is None:
                self.held.pop((scope, kind, key), None)
            else:
                self.held[scope, kind, key] = held

    def digest(self) -> int:
        found = 0
        for place, held in self.held.items():
            found ^= DIGESTS.setdefault(
                (place, held), xxhash.xxh3_64_intdigest(repr((place, held)).encode())
            )
        return found

    def digest_of(self, scopes: Any) -> int:
        return self.digest()

    def digests(self) -> tuple[int, ...]:
        found = [0] * BUCKET_COUNT
        for place, held in self.held.items():
            found[bucket_of(*place[1:])] ^= xxhash.xxh3_64_intdigest(repr((place, held)).encode())
        return tuple(found)

    def digests_of(self, scopes: Any) -> tuple[int, ...]:
        return self.digests()

    def page(self, bucket: int, after: ItemPosition | None, scopes: Any, max_bytes: int) -> Page:
        found = tuple(
            ConfigItem(*place, self.held[place])
            for place in sorted(self.held)
            if bucket_of(*place[1:]) == bucket and (after is None or place > after)
        )
        return Page(found, found[-1][:3] if found else None, True)

    def replace(self, bucket: int, after: ItemPosition | None, page: Page) -> int:
        before = dict(self.held)
        for place in before:
            if bucket_of(*place[1:]) == bucket and (after is None or place > after):
                del self.held[place]
        self.put(page.items)
        return before != self.held


DIGESTS: dict[tuple[ItemPosition, bytes], int] = {}


def twin(one: Any) -> Any:
    """A shallow copy; copy.copy takes four times as long."""
    other = object.__new__(type(one))
    if hasattr(one, "__dict__"):
        other.__dict__.update(one.__dict__)
    else:
        for name in one.__slots__:
            setattr(other, name, getattr(one, name))
    return other


class Still(Random):
    """No jitter, no shuffling."""

    def random(self) -> float:
        return 0.5

    def shuffle(self, x: Any) -> None:
        pass


class World:
    """`flying`: datagrams on their way."""

    def __init__(self, changes: int, newcomer: bool, terms: ReplicationSettings) -> None:
        self.terms, self.now, self.lives, self.source_lives = terms, BEGIN, 1, 1
        self.epoch, self.left = 1, Counter[str]()
        self.heads: dict[tuple[int, int], Head] = {(1, 0): initial_head(1, 0)}
        self.changes: dict[tuple[int, int], Change] = {}
        self.tables: dict[tuple[int, int], dict[ItemPosition, bytes]] = {(1, 0): {}}
        self.born = {(1, 0): BEGIN}
        self.ended: dict[int, int] = {}
        self.flying: list[bytes] = []
        self.high, self.low = (0, 0), dict[ItemPosition, int]()
        for _ in range(changes):
            self.append()
        self.start_source(0)
        self.start_follower(newcomer)

    @property
    def revision(self) -> int:
        return max(key for key in self.heads if key[0] == self.epoch)[1]

    def append(self) -> None:
        before = self.epoch, self.revision
        number = self.epoch * 100 + before[1] + 1
        one = propose(
            self.heads[before],
            "",
            [ConfigItem("", "tenant", KEYS[before[1] % len(KEYS)], value(number))],
            1,
            SIGN,
        )
        key = one.epoch, one.revision
        self.heads[key], self.changes[key] = Head(*key, one.tag, one.time_ms), one
        table = self.tables[key] = dict(self.tables[before])
        table["", "tenant", KEYS[before[1] % len(KEYS)]] = value(number)
        self.born[key] = self.now

    def start_source(self, behind: int, epoch: int = 0) -> None:
        """With a copy that lacks the last few, or with that of an earlier epoch."""
        epoch = epoch or self.epoch
        last = max(key for key in self.heads if key[0] == epoch)[1] - behind
        few = Few()
        few.held = dict(self.tables[epoch, last])
        replica: Any = Replica(few, [SIGN])  # type: ignore[arg-type]
        replica.load(self.heads[epoch, last])
        self.source = Source(
            replica,
            "source",
            self.source_lives,
            (SEAL,),
            self.terms,
            Still(0),
            self.now,
            age_of(behind or epoch != self.epoch),
        )

    def start_follower(self, newcomer: bool) -> None:
        replica: Any = Replica(Few(), [SIGN])  # type: ignore[arg-type]
        if not newcomer:
            replica.load(self.heads[1, 0])
        self.follower = Follower(
            replica,
            "follower",
            self.lives,
            "",
            [Upstream("source", "", NOWHERE)],
            (SEAL,),
            self.terms,
            Still(0),
            self.now,
        )
        self.high, self.low = (0, 0), {}

    def copy(self) -> "World":
        other = twin(self)
        other.left = Counter(self.left)
        other.heads, other.changes, other.born, other.ended, other.tables = (
            dict(self.heads),
            dict(self.changes),
            dict(self.born),
            dict(self.ended),
            dict(self.tables),
        )
        other.flying, other.low = self.flying[:], dict(self.low)
        other.source, other.follower = twin(self.source), twin(self.follower)
        for side in (other.source, other.follower):
            side.replica = twin(side.replica)
            side.replica.table = twin(side.replica.table)
            side.replica.table.held = dict(side.replica.table.held)  # type: ignore[attr-defined]
            side.replica.log = twin(side.replica.log)
            side.replica.log.changes = deque(side.replica.log.changes)
            side.outbox, side.counts, side.refusals = deque(side.outbox), twin(side.counts), deque()
            side.counts.refused = {}
        one, two = other.source, other.follower
        one.sealed_changes = dict(one.sealed_changes)
        one.followers = {name: twin(lease) for name, lease in one.followers.items()}
        for lease in one.followers.values():
            lease.replay_window = twin(lease.replay_window)
        two.reports, two.early_changes, two.pending_ages = (
            dict(two.reports),
            dict(two.early_changes),
            deque(two.pending_ages, two.pending_ages.maxlen),
        )
        if two.sync is not None:
            sync = two.sync = twin(two.sync)
            sync.digest_halves, sync.buckets_left, sync.folded_items = (
                dict(sync.digest_halves),
                sync.buckets_left[:],
                dict(sync.folded_items),
            )
            sync.fetching = {bucket: twin(fetch) for bucket, fetch in sync.fetching.items()}
            for fetch in sync.fetching.values():
                fetch.early_pages = dict(fetch.early_pages)
        return other

    def key(self) -> Any:
        one, two = self.source, self.follower
        sync, head = two.sync, two.replica.head
        return (
            self.now,
            self.lives,
            self.source_lives,
            self.epoch,
            tuple(self.heads),
            tuple(sorted(self.left.items())),
            tuple(sorted(self.flying)),
            self.high,
            one.replica.head,
            one.replica.log.base_revision,
            len(one.replica.log),
            one.last_pushed,
            int(one.page_tokens),
            tuple(
                (
                    lease.incarnation,
                    lease.expires_at,
                    lease.replay_window.highest,
                    lease.replay_window.seen,
                )
                for lease in one.followers.values()
            ),
            two.state,
            head,
            two.replica.is_partial,
            tuple(sorted(two.replica.table.held.items())),  # type: ignore[attr-defined]
            two.number,
            two.has_answered,
            two.upstreams_tried,
            two.upstream_head,
            two.upstream_head_number,
            two.latest_revision,
            two.last_answer_at,
            two.next_report_at,
            tuple(two.reports.items()),
            tuple(sorted(two.early_changes)),
            two.pull_number,
            two.pull_sent_at,
            two.pull_up_to_revision,
            two.pull_retry_at,
            two.consecutive_refusals,
            two.newest_page_revision,
            two.first_comparable_report_number,
            two.confirmed_newest_at,
            tuple(two.pending_ages),
            None
            if sync is None
            else (
                sync.first_number,
                sync.retry_at,
                sync.last_progress_at,
                tuple(sorted(sync.digest_halves)),
                sync.base,
                sync.tip,
                sync.target_revision,
                tuple(sync.buckets_left),
                tuple(
                    sorted(
                        (bucket, fetch.after, fetch.retry_at, fetch.tries)
                        for bucket, fetch in sync.fetching.items()
                    )
                ),
                tuple(sorted(sync.folded_items.items())),
            ),
        )

    def gather(self, most: int) -> None:
        """What both sides want to send flies; over the bound the oldest is lost."""
        self.source.push_changes(self.now)
        for side in (self.source, self.follower):
            while side.outbox:
                self.flying.append(side.outbox.popleft()[1])
        del self.flying[:-most]

    def hear(self, data: bytes) -> None:
        if is_for_source(data):
            self.source.receive(self.now, data, NOWHERE)
        else:
            self.follower.receive(self.now, data, NOWHERE)

    def fault(self) -> str:
        """The rule that does not hold; empty where all do."""
        replica, head = self.follower.replica, self.follower.replica.head
        if head is None:
            return ""
        key = head.epoch, head.revision
        if self.heads.get(key) != head:
            return "a head that is none"
        if key < self.high:
            return "a head that went back"
        if key[0] != self.high[0]:
            self.low.clear()
        self.high = key
        held = replica.table.held  # type: ignore[attr-defined]
        if replica.is_complete and held != self.tables[key]:
            return "a table that is another"
        if not replica.is_partial or self.follower.newest_page_revision[0] == key[0]:
            for place in {*held, *self.low}:
                number = msgpack.unpackb(held[place])["n"] if place in held else 0
                if number < self.low.get(place, 0):
                    return "a key that went back"
                self.low[place] = number
        age, newest = (
            self.follower.table_age_ms(self.now),
            self.born.get((key[0], key[1] + 1), self.ended.get(key[0])),
        )
        if (
            newest is not None
            and age is not None
            and not replica.is_partial
            and age < (self.now - newest) // MS
        ):
            return "an age that is too young"
        return ""


def age_of(behind: bool | int) -> Any:
    return lambda now: 3_600_000 if behind else 0


class Explorer:
    """So many changes, beats, losses, doubles, restarts of either, new epochs, forged changes at
    most; `broken`: a rule left out, to show that the walk notices.
    """

    def __init__(
        self, begun: int = 0, newcomer: bool = False, broken: str = "", flying: int = 4, **most: int
    ) -> None:
        self.begun, self.newcomer, self.broken, self.flying, self.most = (
            begun,
            newcomer,
            broken,
            flying,
            Counter(most),
        )
        self.terms = ReplicationSettings(sync_stall_timeout_ns=2 * SECOND)
        self.calm = 0

    def moves(self, world: World) -> list[tuple[str, int]]:
        found = [
            (what, 0)
            for what in ("change", "beat", "follower", "source", "behind", "epoch", "old", "forge")
            if world.left[what] < self.most[what]
        ]
        known = set[bytes]()
        for at, data in enumerate(world.flying):
            if data not in known:
                known.add(data)
                found.append(("hear", at))
                found += [
                    (what, at) for what in ("lose", "double") if world.left[what] < self.most[what]
                ]
        return found

    def do(self, world: World, what: str, at: int) -> World:
        if what != "hear":
            world.left[what] += 1
        match what:
            case "change":
                world.append()
                if world.source.replica.head is not None:
                    self.catch_up(world)
            case "beat":
                world.now += SECOND
                world.source.tick(world.now)
                world.follower.tick(world.now)
            case "hear":
                world.hear(world.flying.pop(at))
            case "lose":
                del world.flying[at]
            case "double":
                world.hear(world.flying[at])
            case "follower":
                world.lives += 1
                world.start_follower(True)
            case "source":
                world.source_lives += 1
                world.start_source(0)
            case "behind" if world.revision > 0:
                world.source_lives += 1
                world.start_source(1)
            case "epoch":
                world.ended[world.epoch] = world.now
                table = dict(world.tables[world.epoch, world.revision])
                table.pop(("", "tenant", "x"), None)
                world.epoch += 1
                world.heads[world.epoch, 0] = initial_head(world.epoch, 0)
                world.tables[world.epoch, 0], world.born[world.epoch, 0] = table, world.now
                world.source_lives += 1
                world.start_source(0)
            case "old" if world.epoch > 1:
                world.source_lives += 1
                world.start_source(0, world.epoch - 1)
            case "forge":
                head = world.follower.replica.head
                if head is not None:
                    one = propose(
                        head,
                        "",
                        [ConfigItem("", "tenant", "x", value(7777))],
                        1,
                        b"another key" * 2,
                    )
                    world.flying.append(following_seal(one))
        world.gather(self.flying)
        return world

    def catch_up(self, world: World) -> None:
        """The control machine reads the store."""
        replica = world.source.replica
        assert replica.head is not None
        if replica.head.epoch != world.epoch:
            return
        while replica.head.revision < world.revision:
            assert (
                replica.apply_change(world.changes[world.epoch, replica.head.revision + 1]) is None
            )
        world.source.table_age_ms = age_of(0)

    def walk(self, most: int, calm_each: int = 50) -> tuple[int, str, bool]:
        """Worlds seen, at most so many; the rule that did not hold; whether all were seen."""
        with without(self.broken):
            first = World(self.begun, self.newcomer, self.terms)
            known, waiting = {hash(first.key())}, deque([first])
            while waiting and len(known) < most:
                before = waiting.popleft()
                for move in self.moves(before):
                    world = self.do(before.copy(), *move)
                    key = hash(world.key())
                    if key in known:
                        continue
                    known.add(key)
                    fault = world.fault()
                    if not fault and len(known) % calm_each == 0:
                        fault = self.calmed(world)
                    if fault:
                        return len(known), fault, False
                    waiting.append(world)
            return len(known), "", not waiting

    def wander(self, histories: int, steps: int, seed: int) -> tuple[int, str]:
        """Steps taken in so many histories of chance, and the rule that did not hold."""
        chance, count = Random(seed), 0
        with without(self.broken):
            for _ in range(histories):
                world = World(self.begun, self.newcomer, self.terms)
                for _ in range(steps):
                    moves = self.moves(world)
                    if not moves:
                        break
                    count += 1
                    # What flies is heard more often than anything else happens.
                    heard = [move for move in moves if move[0] == "hear"]
                    self.do(
                        world, *chance.choice(heard if heard and chance.random() < 0.6 else moves)
                    )
                    if fault := world.fault():
                        return count, fault
                if fault := self.calmed(world):
                    return count, fault
        return count, ""

    def calmed(self, before: World) -> str:
        """Nothing is lost any more: within some beats the follower has what the source has."""
        self.calm += 1
        world = before.copy()
        if world.source.replica.head is not None and world.source.replica.head.epoch != world.epoch:
            world.source_lives += 1
            world.start_source(0)
        self.catch_up(world)
        for _ in range(40):
            world.gather(1 << 20)
            while world.flying:
                world.hear(world.flying.pop(0))
                world.gather(1 << 20)
                if fault := world.fault():
                    return fault
            replica = world.follower.replica
            if replica.is_complete and replica.head == world.source.replica.head:
                return ""
            world.now += SECOND // 2
            world.source.tick(world.now)
            world.follower.tick(world.now)
        return "it does not come to agree"


def following_seal(change: Change) -> bytes:
    from burlloom.distribution.codec import seal
    from burlloom.distribution.messages import PushedChange, Sender

    return seal(Sender("source", 1, 0), PushedChange(change), SEAL)


@contextmanager
def without(rule: str) -> Iterator[None]:
    """The core with one rule left out."""

    def gap(before: Head, change: Change, keys: Any) -> str:
        return (
            ""
            if change.epoch == before.epoch and change.revision > before.revision
            else chain_break(before, change, keys)
        )

    def unchained(before: Head, change: Change, keys: Any) -> str:
        reason = chain_break(before, change, keys)
        return "" if reason == "tag does not continue the chain" else reason

    def gap_drain(self: Follower, now: int) -> str:
        tip = self.tip()
        for revision in sorted(self.early_changes):
            change = self.early_changes.pop(revision)
            if tip is not None and self.sync is None and revision > tip.revision:
                self.replica.apply_change(change)
        return ""

    def unfolded(self: Follower, sync: Any, change: Change) -> str:
        reason = FOLD(self, sync, change)
        sync.folded_items.clear()
        return reason

    def short(self: Follower) -> bool:
        sync = self.sync
        return sync is None or sync.tip is None or bool(sync.buckets_left or sync.fetching)

    def any_epoch(self: Follower, head: Head) -> str:
        reason = FAULT_OF(self, head)
        return "" if reason == "older epoch than the one in force" else reason

    def other_epoch(self: Follower) -> bool:
        own = self.replica.head
        return (
            APART(self)
            or self.upstream_head is not None
            and own is not None
            and self.upstream_head.head.epoch != own.epoch
        )

    def any_base(self: Follower, now: int, message: Any) -> str:
        own, self.replica.head = self.replica.head, None
        try:
            return DIGESTS_CAME(self, now, message)
        finally:
            if self.replica.head is None:
                self.replica.head = own

    def older_base(self: Follower, now: int, message: Any) -> str:
        self.newest_page_revision = 0, 0
        return DIGESTS_CAME(self, now, message)

    def any_head(self: Follower, now: int, message: Any) -> str:
        self.reports.setdefault(message.sender.number, now)
        return HEADED(self, now, message)

    def old_page(self: Follower, now: int, message: Any) -> str:
        if self.sync is not None and self.sync.base is not None:
            message = message._replace(
                body=message.body._replace(
                    revision=max(message.body.revision, self.sync.base.revision)
                )
            )
        return PAGED(self, now, message)

    heard = following.HANDLERS
    told, digests, paged = following.HeadStatus, following.DigestsResponse, following.PageResponse
    with patch.dict(heard):
        match rule:
            case "":
                yield
            case "gap":
                with (
                    patch.object(replicating, "chain_break", gap),
                    patch.object(Follower, "apply_early_changes", gap_drain),
                ):
                    yield
            case "chain":
                with (
                    patch.object(replicating, "chain_break", unchained),
                    patch.object(following, "chain_break", unchained),
                ):
                    yield
            case "replay":
                with patch.object(Follower, "fold_change", unfolded):
                    yield
            case "target":
                with patched_test("is_sync_unfinished", short):
                    yield
            case "epoch":
                with (
                    patch.object(Follower, "reason_not_to_follow", any_epoch),
                    patched_test("needs_sync", other_epoch),
                ):
                    heard[digests] = any_base
                    yield
            case "older-base":
                heard[digests] = older_base
                yield
            case "unasked":
                heard[told] = any_head
                yield
            case "old-page":
                heard[paged] = old_page
                yield
            case _:
                raise ValueError(rule)


@contextmanager
def patched_test(name: str, test: Any) -> Iterator[None]:
    """In the table of states too."""
    was = getattr(Follower, name)
    changed = {
        place: [(test if one is was else one, after, does) for one, after, does in rules]
        for place, rules in following.RULES.items()
    }
    with patch.dict(following.RULES, changed), patch.object(Follower, name, test):
        yield


FOLD, FAULT_OF, APART = Follower.fold_change, Follower.reason_not_to_follow, Follower.needs_sync
DIGESTS_CAME, HEADED, PAGED = Follower.on_digests, Follower.on_head, Follower.on_page
