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

from .allocator import MILLICALLS_PER_CALL, MS, Allocator, FleetMember, QuotaSettings, ShareReport
from .lease_holder import LeaseHolder
from .lease_holder import LeaseState as Held
from .membership import Input, MembershipView, MemberState, MemberUpdate, Transition, due, lived
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

    probe: int = 500 * MS
    ack: int = 200 * MS
    suspicion: int = 2000 * MS
    forget: int = 3_600_000 * MS
    others: int = 3

    def faults(self) -> list[str]:
        if self.ack >= self.probe:
            return [f"ack {self.ack // MS} ms is not under probe, {self.probe // MS} ms"]
        return []


@dataclass(slots=True)
class Probe:
    name: str
    number: int
    at: int
    asked: bool = False


@dataclass(slots=True)
class IndirectProbe:
    """We ask one member for another, and owe that an ACK of its own number."""

    address: str
    number: int
    at: int


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
        terms: QuotaSettings,
        habits: GossipSettings,
        chance: Random,
        now: int,
    ) -> None:
        """`seeds`: addresses where others may be, our own may be among them. The first key
        seals.
        """
        self.terms, self.habits, self.chance, self.keys = terms, habits, chance, keys
        self.seeds = tuple(seed for seed in seeds if seed != own.address)
        self.members = MembershipView(own, now)
        self.dealer, self.holder = Allocator(terms, now), LeaseHolder(terms, now)
        self.out: deque[tuple[str, bytes]] = deque()
        self.counts = MemberCounters()
        self.moves: list[Transition] = []  # until the host takes them
        self.news: dict[str, int] = {}  # names, each with how often it was passed on
        self.number = 0
        self.queue: list[str] = []  # of names that are still to be probed in this round of all
        self.probe: Probe | None = None
        self.errands: dict[int, IndirectProbe] = {}
        self.probed = self.rounded = self.synced = now - 3600 * 1000 * MS
        self.last = now
        self.wants = self.in_hand = 0
        self.weight = 1000
        self.dealt_by = ""
        self.switched = now - 3600 * 1000 * MS
        self.report_number, self.report_at, self.asked_of, self.born = -1, now, "", now
        self.roster = 0
        self.former = 0  # the latest life of our name before this one that others knew, Unix ms
        # Who was started again: the life before, and how often it is still told.
        self.formers: dict[str, tuple[int, int]] = {}
        self.seen, self.first, self.present = -1, own, dict[str, FleetMember]()
        self.report_last = -1  # our last report to another
        self.tied = "", -1  # who may count us still, and by which report
        self.counted = (
            False  # whether the one that we last reported to may count us among those who do
        )
        self.strangers = 0  # members whose terms are not ours

    @property
    def own(self) -> MemberUpdate:
        return self.members.own

    @property
    def share(self) -> int:
        """Thousandths of a call that may be in hand below."""
        return self.holder.share

    def good(self, now: int) -> bool:
        """Whether the share is one that we may still act on: else `tick` comes first. Guards
        against a process that was paused and wakes with what was dealt to others meanwhile.
        """
        return now - self.last <= self.terms.lease

    def uses(self, wants: int, in_hand: int) -> None:
        """Thousandths of a call: what could be used now, and what is."""
        self.wants, self.in_hand = wants, in_hand

    # Once in a while.

    def tick(self, now: int) -> None:
        gap = now - self.last
        paused = gap > GAP_ROUNDS * self.terms.round
        if paused:
            self.awoken(now, gap)
        self.last = now
        self.probing(now)
        self.errands = {
            number: errand
            for number, errand in self.errands.items()
            if now - errand.at < self.habits.probe
        }
        if now - self.rounded >= self.terms.round or paused:
            self.rounded = now
            self.round(now, gap)
        self.settle()

    def awoken(self, now: int, gap: int) -> None:
        """What we did not hear meanwhile says nothing of the others."""
        self.probe = None
        self.errands.clear()
        for member in self.members:
            if member.state is MemberState.SUSPECT:
                member.since += gap
                self.members.changed.add(member.word.name)

    def suspicion(self) -> int:
        """Longer in a large fleet: a refutation has a longer way."""
        return (
            self.habits.suspicion + self.habits.probe * len(self.members.by_name).bit_length() // 4
        )

    def mostly_there(self) -> bool:
        return 2 * len(self.members.there()) > max(self.members.counted(), self.terms.least)

    def settle(self) -> None:
        """Passes on what moved, and keeps it for the host."""
        for move in self.members.moves:
            before, after = move.before, move.after
            if (
                before is not None
                and after is not None
                and before.life < after.life
                and before.state is not MemberState.LEFT
            ):
                self.formers[after.name] = before.life, FORMER_TIMES
            if move.after is not None:
                self.news[move.after.name] = 0
                self.counts.suspected += move.after.state is MemberState.SUSPECT
                self.counts.buried += move.after.state is MemberState.DEAD
            elif move.before is not None:
                self.news.pop(move.before.name, None)
                self.formers.pop(move.before.name, None)
        self.moves = (self.moves + self.members.moves)[-MEMBERS_MOST:]
        self.members.moves = []

    # The share.

    def round(self, now: int, gap: int) -> None:
        members, holder = self.members, self.holder
        for name, what in due(
            members.unsettled.values(), now, self.suspicion(), self.habits.forget
        ):
            # Who hears few does not forget: the majority may be on the other side.
            if what is not Input.OLD or self.mostly_there():
                members.meet(now, name, what)
        self.look()
        before, first = holder.state, self.first
        holder.round(now, len(self.present), gap > self.terms.cut)
        self.counts.lapses += before is Held.HOLDING and holder.state is not Held.HOLDING
        self.dealer.round(
            now, self.present, first.name == self.own.name, gap > self.terms.lease, self.roster
        )
        if first.name != self.dealt_by:
            if self.dealt_by == self.own.name:
                self.dealer.disown(self.own.name, self.own.life, self.number)
            elif self.counted:
                self.switched = now
                self.tied = self.dealt_by, self.report_last
            self.counted = False
            self.dealt_by = first.name
            self.counts.dealers += 1
        if now - self.switched >= self.terms.fresh:
            self.tied = "", -1
        elif self.tied[0] in members.by_name:
            self.send(members.by_name[self.tied[0]].word.address, MessageKind.UNTIE, self.tied[1])
        if now - self.born < WATCH * self.terms.round and self.dealt_by != self.own.name:
            # who deals is not known yet; one that is reported to by mistake may count us for a
            # while
            return
        if (
            self.report_number >= 0
            and now - self.report_at < RESEND * self.terms.round
            and first.name == self.asked_of
        ):
            return  # its grant may still be on its way, and holds only on the newest report
        self.number += 1
        self.report_number, self.report_at, self.asked_of = self.number, now, first.name
        told = ShareReport(
            max(holder.share, self.in_hand), holder.share, self.wants, self.weight, self.roster
        )
        if first.name == self.own.name:
            grant = self.dealer.report(now, self.own.name, self.own.life, self.number, told)
            if grant is not None:
                self.granted(now, grant, self.dealer.sure(now))
        else:
            self.counted, self.report_last = True, self.number
            self.send(first.address, MessageKind.REPORT, self.number, tuple(told))

    def look(self) -> None:
        """What the dealing is told of the view, where that changed: a new mapping, from the one
        before.
        """
        members = self.members
        if self.seen == members.version:
            return
        changed, members.changed = members.changed, set()
        present = dict(self.present)
        for name in changed:
            member = members.by_name.get(name)
            if member is None or member.state is MemberState.LEFT:
                present.pop(name, None)
            else:
                present[name] = FleetMember(member.word.life, member.there, member.since)
        if (
            self.seen < 0 or self.first.name in changed or self.first.state > MemberState.SUSPECT
        ):  # we, where nobody is there
            self.first = members.first()
        else:  # newcomers, mostly
            known = (members.by_name[name] for name in changed if name in members.by_name)
            self.first = min(
                (self.first, *(member.word for member in known if member.there)), key=lived
            )
        self.seen, self.present, self.roster = members.version, present, members.roster()

    def granted(self, now: int, share: int, sure: bool) -> None:
        self.report_number = -1
        if now - self.switched < self.terms.fresh:
            # The one that dealt before may still count us among those who report to it, and raise
            # others.
            share = min(share, self.holder.share)
        self.counts.grants += 1
        self.holder.grant(now, share, self.report_at, sure)

    # Probing.

    def probing(self, now: int) -> None:
        probe, habits = self.probe, self.habits
        if probe is not None and not probe.asked and now - probe.at >= habits.ack:
            probe.asked = True
            others = [
                member.word
                for member in self.members.there()
                if member.word.name not in (probe.name, self.own.name)
            ]
            for other in self.chance.sample(others, min(habits.others, len(others))):
                self.send(other.address, MessageKind.ASK, probe.number, name=probe.name)
        if now - self.probed < habits.probe:
            return
        if probe is not None:
            self.members.meet(now, probe.name, Input.SILENT)
            self.probe = None
        self.probed = now
        self.knock()
        name = self.next_name()
        if name is not None:
            self.number += 1
            self.probe = Probe(name, self.number, now)
            self.ping(self.members.by_name[name].word, self.number)

    def next_name(self) -> str | None:
        """All that are there, one after the other in an order drawn anew each time: none waits for
        long.
        """
        for _ in range(2):
            while self.queue:
                name = self.queue.pop()
                member = self.members.by_name.get(name)
                if member is not None and member.there and name != self.own.name:
                    return name
            self.queue = sorted(member.word.name for member in self.members.there())
            self.chance.shuffle(self.queue)
        return None

    def ping(self, word: MemberUpdate, number: int) -> None:
        self.send(word.address, MessageKind.PING, number, self.views(), about=word.name)

    def views(self) -> tuple[int, int]:
        return self.members.digest >> 1, self.terms_digest()

    def terms_digest(self) -> int:
        return (
            self.terms.total * 1009
            + self.terms.lease // MS * 31
            + self.terms.redeal // MS
            + self.terms.cut // MS * 7
        )

    def knock(self) -> None:
        """At the doors of some that are dead, and of addresses where nobody is known: so a cut that
        heals is noticed, and those who were all started anew hear of the ones that lived on before
        they deal among themselves.
        """
        dead = [
            member.word.address
            for member in self.members.unsettled.values()
            if member.state is MemberState.DEAD
        ]
        doors = [
            address for address in {*self.seeds, *dead} if address not in self.members.addresses
        ]
        for door in self.chance.sample(sorted(doors), min(KNOCKS, len(doors))):
            self.number += 1
            self.send(door, MessageKind.PING, self.number, self.views())

    # What comes.

    def hear(self, now: int, data: bytes) -> None:
        try:
            letter = decode(data, self.keys)
        except MessageDecodeError:
            self.counts.unreadable += 1
            return
        self.counts.heard += 1
        sender = letter.sender
        if sender.name == self.own.name and sender.life == self.own.life:
            return  # our own, led back to us
        own = self.own
        for word in (sender, *letter.words):
            if word.name in self.members.by_name or len(self.members.by_name) < MEMBERS_MOST:
                self.members.said(now, word)
        self.counts.refuted += self.own is not own
        HEARD[letter.kind](self, now, letter)
        self.settle()

    def pinged(self, now: int, letter: Message) -> None:
        self.send(
            letter.sender.address,
            MessageKind.ACK,
            letter.number,
            self.views(),
            about=letter.sender.name,
        )
        self.compare(now, letter)

    def acked(self, now: int, letter: Message) -> None:
        if self.probe is not None and letter.number == self.probe.number:
            self.probe = None
        errand = self.errands.pop(letter.number, None)
        if errand is not None:
            self.send(errand.address, MessageKind.ACK, errand.number, self.views())
        self.compare(now, letter)

    def asked(self, now: int, letter: Message) -> None:
        member = self.members.by_name.get(letter.name)
        if member is not None and len(self.errands) < MEMBERS_MOST:
            self.number += 1
            self.errands[self.number] = IndirectProbe(letter.sender.address, letter.number, now)
            self.ping(member.word, self.number)

    def compare(self, now: int, letter: Message) -> None:
        """Where its view is not ours, asks for it; it does the same on our next letter."""
        if len(letter.numbers) != 2:
            return
        self.strangers += letter.numbers[1] != self.terms_digest()
        if letter.numbers[0] != self.members.digest >> 1 and now - self.synced >= self.habits.ack:
            self.synced = now
            self.send(letter.sender.address, MessageKind.SYNC, letter.number)

    def synced_by(self, now: int, letter: Message) -> None:
        """Those who are over are told of for half the time that they are kept: else views would
        hand them back and forth for ever.
        """
        by_name, recent = self.members.by_name, self.habits.forget // 2
        told = (
            name
            for name in self.members.names_after(letter.name)
            if by_name[name].there or now - by_name[name].since < recent
        )
        names = list(islice(told, PAGE_WORDS + 1))
        page = tuple(by_name[name].word for name in names[:PAGE_WORDS])
        more = names[PAGE_WORDS - 1] if len(names) > PAGE_WORDS else ""
        self.post(
            letter.sender.address,
            Message(MessageKind.PAGE, self.own, letter.number, (), more, page),
        )

    def paged(self, now: int, letter: Message) -> None:
        if letter.name and len(letter.words) == PAGE_WORDS:
            self.send(letter.sender.address, MessageKind.SYNC, letter.number, name=letter.name)

    def reported_to(self, now: int, letter: Message) -> None:
        if len(letter.numbers) != 5:
            return
        sender = letter.sender
        if sender.name not in self.dealer.fleet:
            self.look()
            self.dealer.fleet = self.present  # one that came since the last round
        grant = self.dealer.report(
            now, sender.name, sender.life, letter.number, ShareReport(*letter.numbers)
        )
        if grant is None and self.first.name != self.own.name and self.seen >= 0:
            self.dealer.disown(sender.name, sender.life, letter.number)
            self.post(
                sender.address,
                Message(MessageKind.ELSEWHERE, self.own, letter.number, (), "", (self.first,)),
            )
        elif grant is not None:
            self.send(
                sender.address,
                MessageKind.GRANT,
                letter.number,
                (grant, int(self.dealer.sure(now))),
                about=sender.name,
            )

    def grant_came(self, now: int, letter: Message) -> None:
        if (
            letter.sender.name == self.dealt_by
            and letter.number == self.report_number
            and len(letter.numbers) == 2
        ):
            self.granted(now, letter.numbers[0], letter.numbers[1] == 1)

    def sent_elsewhere(self, now: int, letter: Message) -> None:
        if letter.sender.name == self.asked_of and letter.number == self.report_number:
            self.report_number, self.counted = -1, False
            self.rounded = now - self.terms.round  # the next tick looks at who deals, and reports
        if (letter.sender.name, letter.number) == self.tied:
            self.tied, self.switched = ("", -1), now - self.terms.fresh

    def untied(self, now: int, letter: Message) -> None:
        self.dealer.disown(letter.sender.name, letter.sender.life, letter.number)
        self.post(
            letter.sender.address,
            Message(MessageKind.ELSEWHERE, self.own, letter.number, (), "", (self.first,)),
        )

    def said_bye(self, now: int, letter: Message) -> None:
        pass  # its own word, which goes with each letter, has said it

    def former_told(self, now: int, letter: Message) -> None:
        if len(letter.numbers) == 1 and letter.numbers[0] < self.own.life:
            self.former = max(self.former, letter.numbers[0])

    # What goes.

    def leave(self, now: int) -> None:
        """Our last word, to all in a small fleet and to some in a large one, which pass it on."""
        self.members.leave(now)
        words = [member.word for member in self.members.there()]
        first = self.members.first()
        for word in {first, *self.chance.sample(words, min(50, len(words)))}:
            self.send(word.address, MessageKind.BYE, 0)

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
            [self.members.by_name[about].word]
            if about in self.members.by_name
            and self.members.by_name[about].state is not MemberState.ALIVE
            else []
        )
        self.post(
            address,
            Message(kind, self.own, number, numbers, name, tuple(words + self.gossip(about))),
        )
        if about in self.formers:
            life, times = self.formers.pop(about)
            if times > 1:
                self.formers[about] = life, times - 1
            self.post(address, Message(MessageKind.FORMER, self.own, 0, (life,)))

    def gossip(self, about: str) -> list[MemberUpdate]:
        """What was passed on least often so far; each of our news some times the logarithm of the
        fleet.
        """
        most = 3 * len(self.members.by_name).bit_length()
        found = []
        for name in sorted(self.news, key=self.news.__getitem__)[:NEWS_MOST]:
            self.news[name] += 1
            member = self.members.by_name.get(name)
            if member is not None and name != about:
                found.append(member.word)
            if self.news[name] >= most:
                del self.news[name]
        return found

    def post(self, address: str, letter: Message) -> None:
        if len(self.out) >= OUT_MOST:
            self.counts.dropped += 1
            return
        self.counts.sent += 1
        self.out.append((address, encode(letter, self.keys[0])))


HEARD = {
    MessageKind.PING: Fleet.pinged,
    MessageKind.ACK: Fleet.acked,
    MessageKind.ASK: Fleet.asked,
    MessageKind.SYNC: Fleet.synced_by,
    MessageKind.PAGE: Fleet.paged,
    MessageKind.REPORT: Fleet.reported_to,
    MessageKind.GRANT: Fleet.grant_came,
    MessageKind.BYE: Fleet.said_bye,
    MessageKind.FORMER: Fleet.former_told,
    MessageKind.ELSEWHERE: Fleet.sent_elsewhere,
    MessageKind.UNTIE: Fleet.untied,
}


def summarize(fleet: Fleet, now: int) -> Mapping[str, object]:
    """For an operator's eyes; plain values."""
    members, dealer = fleet.members, fleet.dealer
    return {
        "name": fleet.own.name,
        "life": fleet.own.life,
        "incarnation": fleet.own.incarnation,
        "share": fleet.share / MILLICALLS_PER_CALL,
        "state": fleet.holder.state.name.lower(),
        "dealt_by": fleet.dealt_by,
        "deals": dealer.phase.name.lower(),
        "total": fleet.terms.total / MILLICALLS_PER_CALL,
        "strangers": fleet.strangers,
        "members": [
            {
                "name": member.word.name,
                "address": member.word.address,
                "life": member.word.life,
                "incarnation": member.word.incarnation,
                "state": member.state.name.lower(),
                "since_ms": (now - member.since) // MS,
                **(
                    {"bound": dealer.accounts[member.word.name].bound / MILLICALLS_PER_CALL}
                    if member.word.name in dealer.accounts
                    else {}
                ),
            }
            for member in sorted(members, key=lambda member: member.word.name)
        ],
        "counts": {name: getattr(fleet.counts, name) for name in fleet.counts.__slots__},
    }
