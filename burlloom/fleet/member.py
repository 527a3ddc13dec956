"""One member of the fleet, whole: who else is there, the share of the calls below, what is sent to
whom. No I/O.

A host gives it a clock's time, what datagrams come (`hear`) and what is in use (`uses`), calls
`tick` several times a round, and sends what lies in `out`. Times are ns of a clock that never steps
back; lives are Unix ms.
"""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from itertools import islice
from random import Random

from .allocator import (
    MILLICALLS_PER_CALL,
    MS,
    Allocator,
    MemberPresence,
    QuotaSettings,
    ShareReport,
)
from .lease_holder import LeaseHolder
from .lease_holder import LeaseState as Held
from .membership import (
    MembershipInput,
    MembershipView,
    MemberState,
    MemberUpdate,
    Transition,
    find_due_inputs,
    seniority,
)
from .messages import Message, MessageDecodeError, MessageKind, decode, encode

NEWS_MOST, PAGE_WORDS = 6, 10  # words of others on a letter; on a page of a view
MEMBERS_MOST = 1000  # that a view holds; a fleet is some hundreds
WATCH = 2  # rounds that a new member looks around before it reports
RESEND = 3  # rounds that a report's grant is waited for
GAP_ROUNDS = 5  # without a tick: our own process stood still
KNOCKS = 4  # at once
FORMER_TIMES = 4  # that one is told of its life before: letters are lost
OUT_MOST = 4096  # letters that wait for the host


@dataclass(frozen=True, slots=True)
class GossipSettings:
    """Of the membership, ns. `probe`: between probes of one member after the other; `ack`: until
    others are asked to ask it; `suspicion`: for refuting; `forget`: until one that is over leaves
    the view, and only where most are there; `others`: how many are asked.
    """

    probe_interval_ns: int = 500 * MS
    ack_timeout_ns: int = 200 * MS
    suspicion_timeout_ns: int = 2000 * MS
    forget_after_ns: int = 3_600_000 * MS
    indirect_probe_count: int = 3

    def find_faults(self) -> list[str]:
        if self.ack_timeout_ns >= self.probe_interval_ns:
            return [
                f"ack {self.ack_timeout_ns // MS} ms is not under probe, {self.probe_interval_ns // MS} ms"
            ]
        return []


@dataclass(slots=True)
class Probe:
    target: str
    sequence: int
    sent_at_ns: int
    is_indirect: bool = False


@dataclass(slots=True)
class IndirectProbe:
    """We ask one member for another, and owe that an ACK of its own number."""

    requester_address: str
    request_sequence: int
    sent_at_ns: int


@dataclass(slots=True)
class MemberCounters:
    """For whoever reads metrics."""

    sent: int = 0
    heard: int = 0
    unreadable: int = 0
    dropped: int = 0
    suspected: int = 0
    buried: int = 0
    refuted: int = 0
    dealers: int = 0
    grants: int = 0
    lapses: int = 0


class Fleet:
    def __init__(
        self,
        own: MemberUpdate,
        seeds: tuple[str, ...],
        keys: tuple[bytes, ...],
        quota_settings: QuotaSettings,
        gossip_settings: GossipSettings,
        random: Random,
        now: int,
    ) -> None:
        """`seeds`: addresses where others may be, our own may be among them. The first key
        seals.
        """
        self.quota_settings, self.gossip_settings, self.random, self.keys = (
            quota_settings,
            gossip_settings,
            random,
            keys,
        )
        self.seeds = tuple(seed for seed in seeds if seed != own.address)
        self.view = MembershipView(own, now)
        self.allocator, self.lease_holder = (
            Allocator(quota_settings, now),
            LeaseHolder(quota_settings, now),
        )
        self.outbox: deque[tuple[str, bytes]] = deque()
        self.counters = MemberCounters()
        self.transitions: list[Transition] = []  # until the host takes them
        self.pending_updates: dict[str, int] = {}  # names, each with how often it was passed on
        self.sequence = 0
        self.probe_queue: list[
            str
        ] = []  # of names that are still to be probed in this round of all
        self.probe: Probe | None = None
        self.indirect_probes: dict[int, IndirectProbe] = {}
        self.probed_at_ns = self.round_at_ns = self.synced_at_ns = now - 3600 * 1000 * MS
        self.ticked_at_ns = now
        self.demand = self.in_use = 0
        self.weight = 1000
        self.allocator_name = ""
        self.allocator_changed_at_ns = now - 3600 * 1000 * MS
        self.report_number, self.reported_at_ns, self.reported_to, self.started_at_ns = (
            -1,
            now,
            "",
            now,
        )
        self.roster_hash = 0
        self.previous_incarnation = (
            0  # the latest life of our name before this one that others knew, Unix ms
        )
        # Who was started again: the life before, and how often it is still told.
        self.previous_incarnations: dict[str, tuple[int, int]] = {}
        self.seen_version, self.oldest, self.presences = -1, own, dict[str, MemberPresence]()
        self.last_report_number = -1  # our last report to another
        self.pending_release = "", -1  # who may count us still, and by which report
        self.is_counted = (
            False  # whether the one that we last reported to may count us among those who do
        )
        self.settings_mismatches = 0  # members whose terms are not ours

    @property
    def own(self) -> MemberUpdate:
        return self.view.own

    @property
    def share(self) -> int:
        """Thousandths of a call that may be in hand below."""
        return self.lease_holder.share

    def is_current(self, now: int) -> bool:
        """Whether the share is one that we may still act on: else `tick` comes first. Guards
        against a process that was paused and wakes with what was dealt to others meanwhile.
        """
        return now - self.ticked_at_ns <= self.quota_settings.lease_ns

    def set_usage(self, wants: int, in_hand: int) -> None:
        """Thousandths of a call: what could be used now, and what is."""
        self.demand, self.in_use = wants, in_hand

    # Once in a while.

    def tick(self, now: int) -> None:
        gap = now - self.ticked_at_ns
        paused = gap > GAP_ROUNDS * self.quota_settings.report_interval_ns
        if paused:
            self.resume_after_pause(now, gap)
        self.ticked_at_ns = now
        self.run_probes(now)
        self.indirect_probes = {
            number: errand
            for number, errand in self.indirect_probes.items()
            if now - errand.sent_at_ns < self.gossip_settings.probe_interval_ns
        }
        if now - self.round_at_ns >= self.quota_settings.report_interval_ns or paused:
            self.round_at_ns = now
            self.run_round(now, gap)
        self.collect_transitions()

    def resume_after_pause(self, now: int, gap: int) -> None:
        """What we did not hear meanwhile says nothing of the others."""
        self.probe = None
        self.indirect_probes.clear()
        for member in self.view:
            if member.state is MemberState.SUSPECT:
                member.since_ns += gap
                self.view.changed_names.add(member.update.name)

    def suspicion_timeout_ns(self) -> int:
        """Longer in a large fleet: a refutation has a longer way."""
        return (
            self.gossip_settings.suspicion_timeout_ns
            + self.gossip_settings.probe_interval_ns * len(self.view.by_name).bit_length() // 4
        )

    def has_majority_present(self) -> bool:
        return 2 * len(self.view.present_members()) > max(
            self.view.count_not_left(), self.quota_settings.min_members
        )

    def collect_transitions(self) -> None:
        """Passes on what moved, and keeps it for the host."""
        for move in self.view.transitions:
            before, after = move.before, move.after
            if (
                before is not None
                and after is not None
                and before.incarnation < after.incarnation
                and before.state is not MemberState.LEFT
            ):
                self.previous_incarnations[after.name] = before.incarnation, FORMER_TIMES
            if move.after is not None:
                self.pending_updates[move.after.name] = 0
                self.counters.suspected += move.after.state is MemberState.SUSPECT
                self.counters.buried += move.after.state is MemberState.DEAD
            elif move.before is not None:
                self.pending_updates.pop(move.before.name, None)
                self.previous_incarnations.pop(move.before.name, None)
        self.transitions = (self.transitions + self.view.transitions)[-MEMBERS_MOST:]
        self.view.transitions = []

    # The share.

    def run_round(self, now: int, gap: int) -> None:
        members, holder = self.view, self.lease_holder
        for name, what in find_due_inputs(
            members.not_alive.values(),
            now,
            self.suspicion_timeout_ns(),
            self.gossip_settings.forget_after_ns,
        ):
            # Who hears few does not forget: the majority may be on the other side.
            if what is not MembershipInput.FORGET_DUE or self.has_majority_present():
                members.apply_input(now, name, what)
        self.refresh_presences()
        before, first = holder.state, self.oldest
        holder.run_round(now, len(self.presences), gap > self.quota_settings.isolation_timeout_ns)
        self.counters.lapses += before is Held.HOLDING and holder.state is not Held.HOLDING
        self.allocator.run_round(
            now,
            self.presences,
            first.name == self.own.name,
            gap > self.quota_settings.lease_ns,
            self.roster_hash,
        )
        if first.name != self.allocator_name:
            if self.allocator_name == self.own.name:
                self.allocator.release_member(self.own.name, self.own.incarnation, self.sequence)
            elif self.is_counted:
                self.allocator_changed_at_ns = now
                self.pending_release = self.allocator_name, self.last_report_number
            self.is_counted = False
            self.allocator_name = first.name
            self.counters.dealers += 1
        if now - self.allocator_changed_at_ns >= self.quota_settings.report_ttl_ns:
            self.pending_release = "", -1
        elif self.pending_release[0] in members.by_name:
            self.send(
                members.by_name[self.pending_release[0]].update.address,
                MessageKind.RELEASE,
                self.pending_release[1],
            )
        if (
            now - self.started_at_ns < WATCH * self.quota_settings.report_interval_ns
            and self.allocator_name != self.own.name
        ):
            # who deals is not known yet; one that is reported to by mistake may count us for a
            # while
            return
        if (
            self.report_number >= 0
            and now - self.reported_at_ns < RESEND * self.quota_settings.report_interval_ns
            and first.name == self.reported_to
        ):
            return  # its grant may still be on its way, and holds only on the newest report
        self.sequence += 1
        self.report_number, self.reported_at_ns, self.reported_to = self.sequence, now, first.name
        told = ShareReport(
            max(holder.share, self.in_use), holder.share, self.demand, self.weight, self.roster_hash
        )
        if first.name == self.own.name:
            grant = self.allocator.process_report(
                now, self.own.name, self.own.incarnation, self.sequence, told
            )
            if grant is not None:
                self.accept_grant(now, grant, self.allocator.is_confirmed(now))
        else:
            self.is_counted, self.last_report_number = True, self.sequence
            self.send(first.address, MessageKind.REPORT, self.sequence, tuple(told))

    def refresh_presences(self) -> None:
        """What the dealing is told of the view, where that changed: a new mapping, from the one
        before.
        """
        members = self.view
        if self.seen_version == members.version:
            return
        changed, members.changed_names = members.changed_names, set()
        present = dict(self.presences)
        for name in changed:
            member = members.by_name.get(name)
            if member is None or member.state is MemberState.LEFT:
                present.pop(name, None)
            else:
                present[name] = MemberPresence(
                    member.update.incarnation, member.is_present, member.since_ns
                )
        if (
            self.seen_version < 0
            or self.oldest.name in changed
            or self.oldest.state > MemberState.SUSPECT
        ):  # we, where nobody is there
            self.oldest = members.oldest_present()
        else:  # newcomers, mostly
            known = (members.by_name[name] for name in changed if name in members.by_name)
            self.oldest = min(
                (self.oldest, *(member.update for member in known if member.is_present)),
                key=seniority,
            )
        self.seen_version, self.presences, self.roster_hash = (
            members.version,
            present,
            members.roster_hash(),
        )

    def accept_grant(self, now: int, share: int, sure: bool) -> None:
        self.report_number = -1
        if now - self.allocator_changed_at_ns < self.quota_settings.report_ttl_ns:
            # The one that dealt before may still count us among those who report to it, and raise
            # others.
            share = min(share, self.lease_holder.share)
        self.counters.grants += 1
        self.lease_holder.process_grant(now, share, self.reported_at_ns, sure)

    # Probing.

    def run_probes(self, now: int) -> None:
        probe, habits = self.probe, self.gossip_settings
        if (
            probe is not None
            and not probe.is_indirect
            and now - probe.sent_at_ns >= habits.ack_timeout_ns
        ):
            probe.is_indirect = True
            others = [
                member.update
                for member in self.view.present_members()
                if member.update.name not in (probe.target, self.own.name)
            ]
            for other in self.random.sample(others, min(habits.indirect_probe_count, len(others))):
                self.send(
                    other.address, MessageKind.PING_REQUEST, probe.sequence, name=probe.target
                )
        if now - self.probed_at_ns < habits.probe_interval_ns:
            return
        if probe is not None:
            self.view.apply_input(now, probe.target, MembershipInput.PROBE_FAILED)
            self.probe = None
        self.probed_at_ns = now
        self.send_join_requests()
        name = self.next_probe_target()
        if name is not None:
            self.sequence += 1
            self.probe = Probe(name, self.sequence, now)
            self.ping(self.view.by_name[name].update, self.sequence)

    def next_probe_target(self) -> str | None:
        """All that are there, one after the other in an order drawn anew each time: none waits for
        long.
        """
        for _ in range(2):
            while self.probe_queue:
                name = self.probe_queue.pop()
                member = self.view.by_name.get(name)
                if member is not None and member.is_present and name != self.own.name:
                    return name
            self.probe_queue = sorted(member.update.name for member in self.view.present_members())
            self.random.shuffle(self.probe_queue)
        return None

    def ping(self, word: MemberUpdate, number: int) -> None:
        self.send(word.address, MessageKind.PING, number, self.view_digests(), about=word.name)

    def view_digests(self) -> tuple[int, int]:
        return self.view.digest >> 1, self.settings_digest()

    def settings_digest(self) -> int:
        return (
            self.quota_settings.total_millicalls * 1009
            + self.quota_settings.lease_ns // MS * 31
            + self.quota_settings.reclaim_timeout_ns // MS
            + self.quota_settings.isolation_timeout_ns // MS * 7
        )

    def send_join_requests(self) -> None:
        """At the doors of some that are dead, and of addresses where nobody is known: so a cut that
        heals is noticed, and those who were all started anew hear of the ones that lived on before
        they deal among themselves.
        """
        dead = [
            member.update.address
            for member in self.view.not_alive.values()
            if member.state is MemberState.DEAD
        ]
        doors = [address for address in {*self.seeds, *dead} if address not in self.view.addresses]
        for door in self.random.sample(sorted(doors), min(KNOCKS, len(doors))):
            self.sequence += 1
            self.send(door, MessageKind.PING, self.sequence, self.view_digests())

    # What comes.

    def receive(self, now: int, data: bytes) -> None:
        try:
            letter = decode(data, self.keys)
        except MessageDecodeError:
            self.counters.unreadable += 1
            return
        self.counters.heard += 1
        sender = letter.sender
        if sender.name == self.own.name and sender.incarnation == self.own.incarnation:
            return  # our own, led back to us
        own = self.own
        for word in (sender, *letter.updates):
            if word.name in self.view.by_name or len(self.view.by_name) < MEMBERS_MOST:
                self.view.process_update(now, word)
        self.counters.refuted += self.own is not own
        HEARD[letter.kind](self, now, letter)
        self.collect_transitions()

    def process_ping(self, now: int, letter: Message) -> None:
        self.send(
            letter.sender.address,
            MessageKind.ACK,
            letter.sequence,
            self.view_digests(),
            about=letter.sender.name,
        )
        self.compare_digests(now, letter)

    def process_ack(self, now: int, letter: Message) -> None:
        if self.probe is not None and letter.sequence == self.probe.sequence:
            self.probe = None
        errand = self.indirect_probes.pop(letter.sequence, None)
        if errand is not None:
            self.send(
                errand.requester_address,
                MessageKind.ACK,
                errand.request_sequence,
                self.view_digests(),
            )
        self.compare_digests(now, letter)

    def process_ping_request(self, now: int, letter: Message) -> None:
        member = self.view.by_name.get(letter.name)
        if member is not None and len(self.indirect_probes) < MEMBERS_MOST:
            self.sequence += 1
            self.indirect_probes[self.sequence] = IndirectProbe(
                letter.sender.address, letter.sequence, now
            )
            self.ping(member.update, self.sequence)

    def compare_digests(self, now: int, letter: Message) -> None:
        """Where its view is not ours, asks for it; it does the same on our next letter."""
        if len(letter.values) != 2:
            return
        self.settings_mismatches += letter.values[1] != self.settings_digest()
        if (
            letter.values[0] != self.view.digest >> 1
            and now - self.synced_at_ns >= self.gossip_settings.ack_timeout_ns
        ):
            self.synced_at_ns = now
            self.send(letter.sender.address, MessageKind.SYNC, letter.sequence)

    def process_sync(self, now: int, letter: Message) -> None:
        """Those who are over are told of for half the time that they are kept: else views would
        hand them back and forth for ever.
        """
        by_name, recent = self.view.by_name, self.gossip_settings.forget_after_ns // 2
        told = (
            name
            for name in self.view.names_after(letter.name)
            if by_name[name].is_present or now - by_name[name].since_ns < recent
        )
        names = list(islice(told, PAGE_WORDS + 1))
        page = tuple(by_name[name].update for name in names[:PAGE_WORDS])
        more = names[PAGE_WORDS - 1] if len(names) > PAGE_WORDS else ""
        self.enqueue(
            letter.sender.address,
            Message(MessageKind.PAGE, self.own, letter.sequence, (), more, page),
        )

    def process_page(self, now: int, letter: Message) -> None:
        if letter.name and len(letter.updates) == PAGE_WORDS:
            self.send(letter.sender.address, MessageKind.SYNC, letter.sequence, name=letter.name)

    def process_report(self, now: int, letter: Message) -> None:
        if len(letter.values) != 5:
            return
        sender = letter.sender
        if sender.name not in self.allocator.members:
            self.refresh_presences()
            self.allocator.members = self.presences  # one that came since the last round
        grant = self.allocator.process_report(
            now, sender.name, sender.incarnation, letter.sequence, ShareReport(*letter.values)
        )
        if grant is None and self.oldest.name != self.own.name and self.seen_version >= 0:
            self.allocator.release_member(sender.name, sender.incarnation, letter.sequence)
            self.enqueue(
                sender.address,
                Message(MessageKind.REDIRECT, self.own, letter.sequence, (), "", (self.oldest,)),
            )
        elif grant is not None:
            self.send(
                sender.address,
                MessageKind.GRANT,
                letter.sequence,
                (grant, int(self.allocator.is_confirmed(now))),
                about=sender.name,
            )

    def process_grant(self, now: int, letter: Message) -> None:
        if (
            letter.sender.name == self.allocator_name
            and letter.sequence == self.report_number
            and len(letter.values) == 2
        ):
            self.accept_grant(now, letter.values[0], letter.values[1] == 1)

    def process_redirect(self, now: int, letter: Message) -> None:
        if letter.sender.name == self.reported_to and letter.sequence == self.report_number:
            self.report_number, self.is_counted = -1, False
            self.round_at_ns = (
                now - self.quota_settings.report_interval_ns
            )  # the next tick looks at who deals, and reports
        if (letter.sender.name, letter.sequence) == self.pending_release:
            self.pending_release, self.allocator_changed_at_ns = (
                ("", -1),
                now - self.quota_settings.report_ttl_ns,
            )

    def process_release(self, now: int, letter: Message) -> None:
        self.allocator.release_member(
            letter.sender.name, letter.sender.incarnation, letter.sequence
        )
        self.enqueue(
            letter.sender.address,
            Message(MessageKind.REDIRECT, self.own, letter.sequence, (), "", (self.oldest,)),
        )

    def process_leave(self, now: int, letter: Message) -> None:
        pass  # its own word, which goes with each letter, has said it

    def process_previous_incarnation(self, now: int, letter: Message) -> None:
        if len(letter.values) == 1 and letter.values[0] < self.own.incarnation:
            self.previous_incarnation = max(self.previous_incarnation, letter.values[0])

    # What goes.

    def leave(self, now: int) -> None:
        """Our last word, to all in a small fleet and to some in a large one, which pass it on."""
        self.view.leave(now)
        words = [member.update for member in self.view.present_members()]
        first = self.view.oldest_present()
        for word in {first, *self.random.sample(words, min(50, len(words)))}:
            self.send(word.address, MessageKind.LEAVE, 0)

    def send(
        self,
        address: str,
        kind: MessageKind,
        number: int,
        numbers: tuple[int, ...] = (),
        name: str = "",
        about: str = "",
    ) -> None:
        """`about`: whom we send it to. What we think of it goes first, so that it may refute
        that.
        """
        words = (
            [self.view.by_name[about].update]
            if about in self.view.by_name
            and self.view.by_name[about].state is not MemberState.ALIVE
            else []
        )
        self.enqueue(
            address,
            Message(
                kind, self.own, number, numbers, name, tuple(words + self.select_updates(about))
            ),
        )
        if about in self.previous_incarnations:
            life, times = self.previous_incarnations.pop(about)
            if times > 1:
                self.previous_incarnations[about] = life, times - 1
            self.enqueue(address, Message(MessageKind.PREVIOUS_INCARNATION, self.own, 0, (life,)))

    def select_updates(self, about: str) -> list[MemberUpdate]:
        """What was passed on least often so far; each of our news some times the logarithm of the
        fleet.
        """
        most = 3 * len(self.view.by_name).bit_length()
        found = []
        for name in sorted(self.pending_updates, key=self.pending_updates.__getitem__)[:NEWS_MOST]:
            self.pending_updates[name] += 1
            member = self.view.by_name.get(name)
            if member is not None and name != about:
                found.append(member.update)
            if self.pending_updates[name] >= most:
                del self.pending_updates[name]
        return found

    def enqueue(self, address: str, letter: Message) -> None:
        if len(self.outbox) >= OUT_MOST:
            self.counters.dropped += 1
            return
        self.counters.sent += 1
        self.outbox.append((address, encode(letter, self.keys[0])))


HEARD = {
    MessageKind.PING: Fleet.process_ping,
    MessageKind.ACK: Fleet.process_ack,
    MessageKind.PING_REQUEST: Fleet.process_ping_request,
    MessageKind.SYNC: Fleet.process_sync,
    MessageKind.PAGE: Fleet.process_page,
    MessageKind.REPORT: Fleet.process_report,
    MessageKind.GRANT: Fleet.process_grant,
    MessageKind.LEAVE: Fleet.process_leave,
    MessageKind.PREVIOUS_INCARNATION: Fleet.process_previous_incarnation,
    MessageKind.REDIRECT: Fleet.process_redirect,
    MessageKind.RELEASE: Fleet.process_release,
}


def summarize(fleet: Fleet, now: int) -> Mapping[str, object]:
    """For an operator's eyes; plain values."""
    members, dealer = fleet.view, fleet.allocator
    return {
        "name": fleet.own.name,
        "life": fleet.own.incarnation,
        "incarnation": fleet.own.refutation,
        "share": fleet.share / MILLICALLS_PER_CALL,
        "state": fleet.lease_holder.state.label,
        "dealt_by": fleet.allocator_name,
        "deals": dealer.phase.label,
        "total": fleet.quota_settings.total_millicalls / MILLICALLS_PER_CALL,
        "strangers": fleet.settings_mismatches,
        "members": [
            {
                "name": member.update.name,
                "address": member.update.address,
                "life": member.update.incarnation,
                "incarnation": member.update.refutation,
                "state": member.state.name.lower(),
                "since_ms": (now - member.since_ns) // MS,
                **(
                    {"bound": dealer.accounts[member.update.name].bound / MILLICALLS_PER_CALL}
                    if member.update.name in dealer.accounts
                    else {}
                ),
            }
            for member in sorted(members, key=lambda member: member.update.name)
        ],
        "counts": {name: getattr(fleet.counters, name) for name in fleet.counters.__slots__},
    }
