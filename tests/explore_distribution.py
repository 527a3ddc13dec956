"""Explores the histories of one source and one follower, exhaustively or at random.

Messages are delayed, lost, duplicated and reordered, a change is forged, either side is restarted,
the source also with an outdated replica, and a new epoch is begun. Source, Follower and Replica are
those of burlloom.distribution; the table is a small stand-in. The module itself keeps the correct
head and table of each revision. In each state that is reached it checks:

- the follower's head is a correct one, and never goes back within an incarnation;
- a complete table is the correct one at its head;
- no key goes back to an older value within an epoch;
- the age is never reported lower than it is;
- from some of the states: if no message is lost any more, the follower reaches the source's head.
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
from burlloom.distribution import follower as follower_module
from burlloom.distribution import replica as replica_module
from burlloom.distribution.changes import chain_break
from burlloom.distribution.codec import is_for_source
from burlloom.distribution.table import BUCKET_COUNT, ItemPosition, Page, bucket_of
from burlloom.time_units import NS_PER_MS, NS_PER_SECOND

SIGNING_KEY, SEALING_KEY = b"signing key of a test", b"sealing key of a test"
START_NS = 10**12
ADDRESS = ("10.0.0.1", 1)
# Each key is in a bucket of its own.
ITEM_KEYS = ("x", "y")


def numbered_value(number: int) -> bytes:
    packed: bytes = msgpack.packb({"n": number})
    return packed


class SmallTable:
    """A table for a few keys that is quick to copy; has the interface of `ConfigTable`."""

    scopes: tuple[str, ...] | None = ("",)

    def __init__(self) -> None:
        self.items_by_position: dict[ItemPosition, bytes] = {}

    def put(self, items: Any) -> None:
        for scope, kind, key, value in items:
            if value is None:
                self.items_by_position.pop((scope, kind, key), None)
            else:
                self.items_by_position[scope, kind, key] = value

    def digest(self) -> int:
        combined = 0
        for position, value in self.items_by_position.items():
            combined ^= DIGESTS.setdefault(
                (position, value), xxhash.xxh3_64_intdigest(repr((position, value)).encode())
            )
        return combined

    def digest_of(self, scopes: Any) -> int:
        return self.digest()

    def digests(self) -> tuple[int, ...]:
        digests = [0] * BUCKET_COUNT
        for position, value in self.items_by_position.items():
            digests[bucket_of(*position[1:])] ^= xxhash.xxh3_64_intdigest(
                repr((position, value)).encode()
            )
        return tuple(digests)

    def digests_of(self, scopes: Any) -> tuple[int, ...]:
        return self.digests()

    def page(self, bucket: int, after: ItemPosition | None, scopes: Any, max_bytes: int) -> Page:
        items = tuple(
            ConfigItem(*position, self.items_by_position[position])
            for position in sorted(self.items_by_position)
            if bucket_of(*position[1:]) == bucket and (after is None or position > after)
        )
        return Page(items, items[-1][:3] if items else None, True)

    def replace(self, bucket: int, after: ItemPosition | None, page: Page) -> int:
        before = dict(self.items_by_position)
        for position in before:
            if bucket_of(*position[1:]) == bucket and (after is None or position > after):
                del self.items_by_position[position]
        self.put(page.items)
        return before != self.items_by_position


DIGESTS: dict[tuple[ItemPosition, bytes], int] = {}


def shallow_copy(original: Any) -> Any:
    """Returns a shallow copy; `copy.copy` takes four times as long."""
    copied = object.__new__(type(original))
    if hasattr(original, "__dict__"):
        copied.__dict__.update(original.__dict__)
    else:
        for name in original.__slots__:
            setattr(copied, name, getattr(original, name))
    return copied


class FixedRandom(Random):
    """Random numbers without any variation: no jitter, no shuffling."""

    def random(self) -> float:
        return 0.5

    def shuffle(self, x: Any) -> None:
        pass


class ExplorationState:
    """One source, one follower, and the datagrams in flight between them."""

    def __init__(self, changes: int, is_new: bool, settings: ReplicationSettings) -> None:
        self.settings, self.now_ns, self.follower_incarnation, self.source_incarnation = (
            settings,
            START_NS,
            1,
            1,
        )
        self.epoch, self.action_counts = 1, Counter[str]()
        self.heads: dict[tuple[int, int], Head] = {(1, 0): initial_head(1, 0)}
        self.changes: dict[tuple[int, int], Change] = {}
        self.tables: dict[tuple[int, int], dict[ItemPosition, bytes]] = {(1, 0): {}}
        self.created_at = {(1, 0): START_NS}
        self.epoch_ended_at: dict[int, int] = {}
        self.in_flight: list[bytes] = []
        self.highest_head, self.lowest_values = (0, 0), dict[ItemPosition, int]()
        for _ in range(changes):
            self.append()
        self.start_source(0)
        self.start_follower(is_new)

    @property
    def revision(self) -> int:
        return max(key for key in self.heads if key[0] == self.epoch)[1]

    def append(self) -> None:
        previous = self.epoch, self.revision
        number = self.epoch * 100 + previous[1] + 1
        change = propose(
            self.heads[previous],
            "",
            [
                ConfigItem(
                    "", "tenant", ITEM_KEYS[previous[1] % len(ITEM_KEYS)], numbered_value(number)
                )
            ],
            1,
            SIGNING_KEY,
        )
        key = change.epoch, change.revision
        self.heads[key], self.changes[key] = Head(*key, change.tag, change.time_ms), change
        table = self.tables[key] = dict(self.tables[previous])
        table["", "tenant", ITEM_KEYS[previous[1] % len(ITEM_KEYS)]] = numbered_value(number)
        self.created_at[key] = self.now_ns

    def start_source(self, missing_revisions: int, epoch: int = 0) -> None:
        """Starts the source, with a replica that lacks the last revisions or of an earlier epoch."""
        epoch = epoch or self.epoch
        last = max(key for key in self.heads if key[0] == epoch)[1] - missing_revisions
        table = SmallTable()
        table.items_by_position = dict(self.tables[epoch, last])
        replica: Any = Replica(table, [SIGNING_KEY])  # type: ignore[arg-type]
        replica.load(self.heads[epoch, last])
        self.source = Source(
            replica,
            "source",
            self.source_incarnation,
            (SEALING_KEY,),
            self.settings,
            FixedRandom(0),
            self.now_ns,
            age_function(missing_revisions or epoch != self.epoch),
        )

    def start_follower(self, is_new: bool) -> None:
        replica: Any = Replica(SmallTable(), [SIGNING_KEY])  # type: ignore[arg-type]
        if not is_new:
            replica.load(self.heads[1, 0])
        self.follower = Follower(
            replica,
            "follower",
            self.follower_incarnation,
            "",
            [Upstream("source", "", ADDRESS)],
            (SEALING_KEY,),
            self.settings,
            FixedRandom(0),
            self.now_ns,
        )
        self.highest_head, self.lowest_values = (0, 0), {}

    def copy(self) -> "ExplorationState":
        copied = shallow_copy(self)
        copied.action_counts = Counter(self.action_counts)
        copied.heads, copied.changes, copied.created_at, copied.epoch_ended_at, copied.tables = (
            dict(self.heads),
            dict(self.changes),
            dict(self.created_at),
            dict(self.epoch_ended_at),
            dict(self.tables),
        )
        copied.in_flight, copied.lowest_values = self.in_flight[:], dict(self.lowest_values)
        copied.source, copied.follower = shallow_copy(self.source), shallow_copy(self.follower)
        for side in (copied.source, copied.follower):
            side.replica = shallow_copy(side.replica)
            side.replica.table = shallow_copy(side.replica.table)
            side.replica.table.items_by_position = dict(side.replica.table.items_by_position)  # type: ignore[attr-defined]
            side.replica.log = shallow_copy(side.replica.log)
            side.replica.log.changes = deque(side.replica.log.changes)
            side.outbox, side.counts, side.refusals = (
                deque(side.outbox),
                shallow_copy(side.counts),
                deque(),
            )
            side.counts.refused = {}
        source, follower = copied.source, copied.follower
        source.sealed_changes = dict(source.sealed_changes)
        source.followers = {name: shallow_copy(lease) for name, lease in source.followers.items()}
        for lease in source.followers.values():
            lease.replay_window = shallow_copy(lease.replay_window)
        follower.reports, follower.early_changes, follower.pending_ages = (
            dict(follower.reports),
            dict(follower.early_changes),
            deque(follower.pending_ages, follower.pending_ages.maxlen),
        )
        if follower.sync is not None:
            sync = follower.sync = shallow_copy(follower.sync)
            sync.digest_halves, sync.buckets_left, sync.folded_items = (
                dict(sync.digest_halves),
                sync.buckets_left[:],
                dict(sync.folded_items),
            )
            sync.fetching = {bucket: shallow_copy(fetch) for bucket, fetch in sync.fetching.items()}
            for fetch in sync.fetching.values():
                fetch.early_pages = dict(fetch.early_pages)
        return copied

    def fingerprint(self) -> Any:
        source, follower = self.source, self.follower
        sync, head = follower.sync, follower.replica.head
        return (
            self.now_ns,
            self.follower_incarnation,
            self.source_incarnation,
            self.epoch,
            tuple(self.heads),
            tuple(sorted(self.action_counts.items())),
            tuple(sorted(self.in_flight)),
            self.highest_head,
            source.replica.head,
            source.replica.log.base_revision,
            len(source.replica.log),
            source.last_pushed,
            int(source.page_tokens),
            tuple(
                (
                    lease.incarnation,
                    lease.expires_at,
                    lease.replay_window.highest,
                    lease.replay_window.seen,
                )
                for lease in source.followers.values()
            ),
            follower.state,
            head,
            follower.replica.is_partial,
            tuple(sorted(follower.replica.table.items_by_position.items())),  # type: ignore[attr-defined]
            follower.number,
            follower.has_answered,
            follower.upstreams_tried,
            follower.upstream_head,
            follower.upstream_head_number,
            follower.latest_revision,
            follower.last_answer_at,
            follower.next_report_at,
            tuple(follower.reports.items()),
            tuple(sorted(follower.early_changes)),
            follower.pull_number,
            follower.pull_sent_at,
            follower.pull_up_to_revision,
            follower.pull_retry_at,
            follower.consecutive_refusals,
            follower.newest_page_revision,
            follower.first_comparable_report_number,
            follower.confirmed_newest_at,
            tuple(follower.pending_ages),
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

    def collect_outboxes(self, max_in_flight: int) -> None:
        """Moves the datagrams of both outboxes into flight; beyond the bound the oldest are lost."""
        self.source.push_changes(self.now_ns)
        for side in (self.source, self.follower):
            while side.outbox:
                self.in_flight.append(side.outbox.popleft()[1])
        del self.in_flight[:-max_in_flight]

    def deliver(self, data: bytes) -> None:
        if is_for_source(data):
            self.source.receive(self.now_ns, data, ADDRESS)
        else:
            self.follower.receive(self.now_ns, data, ADDRESS)

    def find_fault(self) -> str:
        """Returns the violated invariant; "" if all hold."""
        replica, head = self.follower.replica, self.follower.replica.head
        if head is None:
            return ""
        key = head.epoch, head.revision
        if self.heads.get(key) != head:
            return "follower has a head that never existed"
        if key < self.highest_head:
            return "head went back"
        if key[0] != self.highest_head[0]:
            self.lowest_values.clear()
        self.highest_head = key
        items = replica.table.items_by_position  # type: ignore[attr-defined]
        if replica.is_complete and items != self.tables[key]:
            return "complete table differs from the correct one"
        if not replica.is_partial or self.follower.newest_page_revision[0] == key[0]:
            for position in {*items, *self.lowest_values}:
                number = msgpack.unpackb(items[position])["n"] if position in items else 0
                if number < self.lowest_values.get(position, 0):
                    return "key went back to an older value"
                self.lowest_values[position] = number
        age_ms, superseded_at = (
            self.follower.table_age_ms(self.now_ns),
            self.created_at.get((key[0], key[1] + 1), self.epoch_ended_at.get(key[0])),
        )
        if (
            superseded_at is not None
            and age_ms is not None
            and not replica.is_partial
            and age_ms < (self.now_ns - superseded_at) // NS_PER_MS
        ):
            return "age reported too low"
        return ""


def age_function(is_outdated: bool | int) -> Any:
    return lambda now_ns: 3_600_000 if is_outdated else 0


class Explorer:
    """Explores the states that are reached by at most a given number of each action.

    `removed_rule` names a rule of the protocol to disable, to show that the exploration detects it.
    """

    def __init__(
        self,
        initial_changes: int = 0,
        is_new: bool = False,
        removed_rule: str = "",
        max_in_flight: int = 4,
        **action_limits: int,
    ) -> None:
        (
            self.initial_changes,
            self.is_new,
            self.removed_rule,
            self.max_in_flight,
            self.action_limits,
        ) = (
            initial_changes,
            is_new,
            removed_rule,
            max_in_flight,
            Counter(action_limits),
        )
        self.settings = ReplicationSettings(sync_stall_timeout_ns=2 * NS_PER_SECOND)
        self.convergence_checks = 0

    def possible_actions(self, state: ExplorationState) -> list[tuple[str, int]]:
        actions = [
            (action, 0)
            for action in (
                "change",
                "tick",
                "restart_follower",
                "restart_source",
                "outdated_source",
                "new_epoch",
                "old_epoch_source",
                "forge_change",
            )
            if state.action_counts[action] < self.action_limits[action]
        ]
        distinct = set[bytes]()
        for index, data in enumerate(state.in_flight):
            if data not in distinct:
                distinct.add(data)
                actions.append(("deliver", index))
                actions += [
                    (action, index)
                    for action in ("lose", "duplicate")
                    if state.action_counts[action] < self.action_limits[action]
                ]
        return actions

    def apply_action(self, state: ExplorationState, action: str, index: int) -> ExplorationState:
        if action != "deliver":
            state.action_counts[action] += 1
        match action:
            case "change":
                state.append()
                if state.source.replica.head is not None:
                    self.catch_up(state)
            case "tick":
                state.now_ns += NS_PER_SECOND
                state.source.tick(state.now_ns)
                state.follower.tick(state.now_ns)
            case "deliver":
                state.deliver(state.in_flight.pop(index))
            case "lose":
                del state.in_flight[index]
            case "duplicate":
                state.deliver(state.in_flight[index])
            case "restart_follower":
                state.follower_incarnation += 1
                state.start_follower(True)
            case "restart_source":
                state.source_incarnation += 1
                state.start_source(0)
            case "outdated_source" if state.revision > 0:
                state.source_incarnation += 1
                state.start_source(1)
            case "new_epoch":
                state.epoch_ended_at[state.epoch] = state.now_ns
                table = dict(state.tables[state.epoch, state.revision])
                table.pop(("", "tenant", "x"), None)
                state.epoch += 1
                state.heads[state.epoch, 0] = initial_head(state.epoch, 0)
                state.tables[state.epoch, 0], state.created_at[state.epoch, 0] = table, state.now_ns
                state.source_incarnation += 1
                state.start_source(0)
            case "old_epoch_source" if state.epoch > 1:
                state.source_incarnation += 1
                state.start_source(0, state.epoch - 1)
            case "forge_change":
                head = state.follower.replica.head
                if head is not None:
                    change = propose(
                        head,
                        "",
                        [ConfigItem("", "tenant", "x", numbered_value(7777))],
                        1,
                        b"another key" * 2,
                    )
                    state.in_flight.append(seal_change(change))
        state.collect_outboxes(self.max_in_flight)
        return state

    def catch_up(self, state: ExplorationState) -> None:
        """Brings the source to the latest revision, as a poll of the store does."""
        replica = state.source.replica
        assert replica.head is not None
        if replica.head.epoch != state.epoch:
            return
        while replica.head.revision < state.revision:
            assert (
                replica.apply_change(state.changes[state.epoch, replica.head.revision + 1]) is None
            )
        state.source.table_age_ms = age_function(0)

    def explore_all(self, max_states: int, check_interval: int = 50) -> tuple[int, str, bool]:
        """Explores all states breadth first, at most `max_states`.

        Returns the number of states seen, the violated invariant or "", and whether all were seen.
        """
        with rule_removed(self.removed_rule):
            first = ExplorationState(self.initial_changes, self.is_new, self.settings)
            seen, queue = {hash(first.fingerprint())}, deque([first])
            while queue and len(seen) < max_states:
                previous = queue.popleft()
                for action in self.possible_actions(previous):
                    state = self.apply_action(previous.copy(), *action)
                    fingerprint = hash(state.fingerprint())
                    if fingerprint in seen:
                        continue
                    seen.add(fingerprint)
                    fault = state.find_fault()
                    if not fault and len(seen) % check_interval == 0:
                        fault = self.check_convergence(state)
                    if fault:
                        return len(seen), fault, False
                    queue.append(state)
            return len(seen), "", not queue

    def explore_randomly(self, history_count: int, steps: int, seed: int) -> tuple[int, str]:
        """Explores random histories.

        Returns the number of steps taken, and the violated invariant or "".
        """
        random, count = Random(seed), 0
        with rule_removed(self.removed_rule):
            for _ in range(history_count):
                state = ExplorationState(self.initial_changes, self.is_new, self.settings)
                for _ in range(steps):
                    actions = self.possible_actions(state)
                    if not actions:
                        break
                    count += 1
                    # Deliveries are chosen more often than all other actions together.
                    deliveries = [action for action in actions if action[0] == "deliver"]
                    self.apply_action(
                        state,
                        *random.choice(
                            deliveries if deliveries and random.random() < 0.6 else actions
                        ),
                    )
                    if fault := state.find_fault():
                        return count, fault
                if fault := self.check_convergence(state):
                    return count, fault
        return count, ""

    def check_convergence(self, before: ExplorationState) -> str:
        """Returns "" if the follower reaches the source's head once no message is lost any more."""
        self.convergence_checks += 1
        state = before.copy()
        if state.source.replica.head is not None and state.source.replica.head.epoch != state.epoch:
            state.source_incarnation += 1
            state.start_source(0)
        self.catch_up(state)
        for _ in range(40):
            state.collect_outboxes(1 << 20)
            while state.in_flight:
                state.deliver(state.in_flight.pop(0))
                state.collect_outboxes(1 << 20)
                if fault := state.find_fault():
                    return fault
            replica = state.follower.replica
            if replica.is_complete and replica.head == state.source.replica.head:
                return ""
            state.now_ns += NS_PER_SECOND // 2
            state.source.tick(state.now_ns)
            state.follower.tick(state.now_ns)
        return "follower does not reach the source's head"


def seal_change(change: Change) -> bytes:
    from burlloom.distribution.codec import seal
    from burlloom.distribution.messages import PushedChange, Sender

    return seal(Sender("source", 1, 0), PushedChange(change), SEALING_KEY)


@contextmanager
def rule_removed(rule: str) -> Iterator[None]:
    """Disables one rule of the protocol."""

    def allow_gaps(previous: Head, change: Change, keys: Any) -> str:
        return (
            ""
            if change.epoch == previous.epoch and change.revision > previous.revision
            else chain_break(previous, change, keys)
        )

    def ignore_tag(previous: Head, change: Change, keys: Any) -> str:
        reason = chain_break(previous, change, keys)
        return "" if reason == "tag does not continue the chain" else reason

    def apply_with_gaps(self: Follower, now_ns: int) -> str:
        tip = self.tip()
        for revision in sorted(self.early_changes):
            change = self.early_changes.pop(revision)
            if tip is not None and self.sync is None and revision > tip.revision:
                self.replica.apply_change(change)
        return ""

    def discard_folded_items(self: Follower, sync: Any, change: Change) -> str:
        reason = FOLD_CHANGE(self, sync, change)
        sync.folded_items.clear()
        return reason

    def ignore_target_revision(self: Follower) -> bool:
        sync = self.sync
        return sync is None or sync.tip is None or bool(sync.buckets_left or sync.fetching)

    def allow_older_epoch(self: Follower, head: Head) -> str:
        reason = REASON_NOT_TO_FOLLOW(self, head)
        return "" if reason == "older epoch than the one in force" else reason

    def sync_on_any_other_epoch(self: Follower) -> bool:
        own_head = self.replica.head
        return (
            NEEDS_SYNC(self)
            or self.upstream_head is not None
            and own_head is not None
            and self.upstream_head.head.epoch != own_head.epoch
        )

    def allow_any_base(self: Follower, now_ns: int, message: Any) -> str:
        own_head, self.replica.head = self.replica.head, None
        try:
            return ON_DIGESTS(self, now_ns, message)
        finally:
            if self.replica.head is None:
                self.replica.head = own_head

    def allow_older_base(self: Follower, now_ns: int, message: Any) -> str:
        self.newest_page_revision = 0, 0
        return ON_DIGESTS(self, now_ns, message)

    def accept_unrequested_head(self: Follower, now_ns: int, message: Any) -> str:
        self.reports.setdefault(message.sender.number, now_ns)
        return ON_HEAD(self, now_ns, message)

    def accept_older_page(self: Follower, now_ns: int, message: Any) -> str:
        if self.sync is not None and self.sync.base is not None:
            message = message._replace(
                body=message.body._replace(
                    revision=max(message.body.revision, self.sync.base.revision)
                )
            )
        return ON_PAGE(self, now_ns, message)

    handlers = follower_module.HANDLERS
    head_status, digests_response, page_response = (
        follower_module.HeadStatus,
        follower_module.DigestsResponse,
        follower_module.PageResponse,
    )
    with patch.dict(handlers):
        match rule:
            case "":
                yield
            case "gap":
                with (
                    patch.object(replica_module, "chain_break", allow_gaps),
                    patch.object(Follower, "apply_early_changes", apply_with_gaps),
                ):
                    yield
            case "chain":
                with (
                    patch.object(replica_module, "chain_break", ignore_tag),
                    patch.object(follower_module, "chain_break", ignore_tag),
                ):
                    yield
            case "replay":
                with patch.object(Follower, "fold_change", discard_folded_items):
                    yield
            case "target":
                with patched_guard("is_sync_unfinished", ignore_target_revision):
                    yield
            case "epoch":
                with (
                    patch.object(Follower, "reason_not_to_follow", allow_older_epoch),
                    patched_guard("needs_sync", sync_on_any_other_epoch),
                ):
                    handlers[digests_response] = allow_any_base
                    yield
            case "older-base":
                handlers[digests_response] = allow_older_base
                yield
            case "unrequested-head":
                handlers[head_status] = accept_unrequested_head
                yield
            case "old-page":
                handlers[page_response] = accept_older_page
                yield
            case _:
                raise ValueError(rule)


@contextmanager
def patched_guard(name: str, replacement: Any) -> Iterator[None]:
    """Replaces a guard of `Follower`, in the table of transitions as well."""
    original = getattr(Follower, name)
    changed = {
        key: [
            (replacement if guard is original else guard, state, effect)
            for guard, state, effect in rules
        ]
        for key, rules in follower_module.RULES.items()
    }
    with patch.dict(follower_module.RULES, changed), patch.object(Follower, name, replacement):
        yield


FOLD_CHANGE, REASON_NOT_TO_FOLLOW, NEEDS_SYNC = (
    Follower.fold_change,
    Follower.reason_not_to_follow,
    Follower.needs_sync,
)
ON_DIGESTS, ON_HEAD, ON_PAGE = Follower.on_digests, Follower.on_head, Follower.on_page
