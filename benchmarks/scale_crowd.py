"""One real member among scripted peers, in simulated time: what it costs at any size, without the
square of work of a whole swarm.

The peers speak the real messages to the member, and answer it; among themselves they only pass on
news, by the membership's own rules (six words a message, each so often; views that differ are read
whole), without messages. What they do costs the member nothing: its processor time is taken around
its own `tick` and `hear` alone.
"""

import heapq
from bisect import bisect_right
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from itertools import count
from random import Random
from time import thread_time_ns
from typing import Any

from burlloom.fleet import (
    MILLICALLS_PER_CALL,
    FleetMember,
    GossipSettings,
    MemberState,
    MemberUpdate,
    QuotaSettings,
)
from burlloom.fleet.gossip import MAX_PIGGYBACKED_UPDATES
from burlloom.fleet.membership import MembershipView, hash_update
from burlloom.fleet.messages import Message, MessageKind, decode, encode
from burlloom.fleet.synchronization import PAGE_UPDATES
from burlloom.time_units import NS_PER_MS, NS_PER_SECOND

KEY = b"the benchmark's own key"
START = 1_700_000_000 * NS_PER_SECOND
TICK = 50 * NS_PER_MS  # as a server's
SLOT = 100 * NS_PER_MS  # in which a part of the scripted peers has its turn
DELAY = (0.3, 1.3)  # ms, one way
PASSED_ON = 9  # messages a second with news on them: two probes, two answers, five reports
DAY = 86_400
PLANNED = 2600
RESTARTS, DEATHS = 11_000 / DAY / PLANNED, 740 / DAY / PLANNED  # a server a second


@contextmanager
def members_most(size: int) -> Iterator[None]:
    """A view ends at `MembershipView.MAX_MEMBERS`; past that the bound is raised here, in the benchmark alone."""
    before = MembershipView.MAX_MEMBERS
    MembershipView.MAX_MEMBERS = max(before, size)
    try:
        yield
    finally:
        MembershipView.MAX_MEMBERS = before


def words(size: int) -> list[MemberUpdate]:
    """The first has lived longest, and deals."""
    life = START // NS_PER_MS - DAY * 1000
    return [
        MemberUpdate(
            f"n{at}", f"10.1.{at // 200}.{at % 200 + 1}:7946", life + at, 0, MemberState.ALIVE
        )
        for at in range(size)
    ]


def terms(size: int) -> QuotaSettings:
    """As an operator's file has them by default; four calls for each server."""
    return QuotaSettings(4 * size * MILLICALLS_PER_CALL, size // 2 + 1)


def filled(
    all_of: list[MemberUpdate], at: int, now: int = START, seeds: tuple[str, ...] = ()
) -> FleetMember:
    """The member `at` with the whole view, which it took in without messages."""
    fleet = FleetMember(
        all_of[at],
        seeds or tuple(word.address for word in all_of[:3]),
        (KEY,),
        terms(len(all_of)),
        GossipSettings(),
        Random(at),
        now,
    )
    for word in all_of:
        fleet.view.process_update(now, word)
    fleet.view.transitions = []
    return fleet


@dataclass(slots=True)
class Tally:
    """Of the one real member."""

    cpu_ns: int = 0
    sent: int = 0
    heard: int = 0
    bytes_sent: int = 0
    bytes_heard: int = 0
    kinds: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class Peer:
    """`seen`: what it knows otherwise than the crowd began with. `stale`: messages that are full of
    words which are no news to anybody, as of one that came lately and has learned all of its view
    as news.
    """

    at: int
    word: MemberUpdate
    digest: int
    up: bool = True
    seen: dict[str, MemberUpdate] = field(default_factory=dict)
    news: dict[str, int] = field(default_factory=dict)
    synced: int = 0
    share: int = 0
    number: int = 0
    stale: int = 0


class Crowd:
    """`fleet`: the real member, whose place is `at`. `churn`: restarts and deaths a server a
    second.
    """

    def __init__(
        self,
        size: int,
        at: int,
        fleet: FleetMember | None = None,
        churn: float = 0.0,
        seed: int = 1,
    ) -> None:
        self.words, self.now, self.chance, self.churn = words(size), START, Random(seed), churn
        self.names = sorted(word.name for word in self.words)
        self.by_name = {word.name: word for word in self.words}
        self.places = {word.address: n for n, word in enumerate(self.words)}
        digest = 0
        for word in self.words:
            digest ^= hash_update(word)
        self.at, self.fleet = at, fleet or filled(self.words, at)
        self.peers = [Peer(n, word, digest) for n, word in enumerate(self.words)]
        self.most = 3 * size.bit_length()
        self.queue: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.numbers = count(1)
        self.tally, self.events = Tally(), 0
        self.deals = (
            self.fleet.view.oldest_present().name == self.fleet.own.name
            and len(self.fleet.view.by_name) > 1
        )
        self.later(self.chance.randrange(TICK), self.tick)
        self.later(0, self.slot, 0)
        if churn:
            lasts = (
                size * self.most / MAX_PIGGYBACKED_UPDATES / PASSED_ON
            )  # s, for which one that came has its view as news
            for peer in self.peers:
                if self.chance.random() < lasts * RESTARTS:
                    peer.stale = self.chance.randrange(size * self.most // MAX_PIGGYBACKED_UPDATES)
            self.next_event()

    # Time.

    def later(self, ns: int, what: Callable[..., None], *told: Any) -> None:
        heapq.heappush(self.queue, (self.now + ns, next(self.numbers), what, told))

    def run(self, seconds: float) -> None:
        until = self.now + int(seconds * NS_PER_SECOND)
        while self.queue and self.queue[0][0] <= until:
            self.now, _, what, told = heapq.heappop(self.queue)
            what(*told)
        self.now = until

    def delay(self) -> int:
        low, high = DELAY
        return int((low + (high - low) * self.chance.random()) * NS_PER_MS)

    # The real member.

    def tick(self) -> None:
        began = thread_time_ns()
        self.fleet.set_usage(1000 * MILLICALLS_PER_CALL, self.fleet.share)
        self.fleet.tick(self.now)
        self.tally.cpu_ns += thread_time_ns() - began
        self.after()
        self.later(TICK, self.tick)

    def hears(self, data: bytes) -> None:
        self.tally.heard += 1
        self.tally.bytes_heard += len(data)
        began = thread_time_ns()
        self.fleet.receive(self.now, data)
        self.tally.cpu_ns += thread_time_ns() - began
        self.after()

    def after(self) -> None:
        self.fleet.transitions = []
        out = self.fleet.outbox
        while out:
            address, data = out.popleft()
            self.tally.sent += 1
            self.tally.bytes_sent += len(data)
            self.later(self.delay(), self.arrives, self.places[address], data)

    # Peers, towards the real member.

    def arrives(self, place: int, data: bytes) -> None:
        peer = self.peers[place]
        if not peer.up or place == self.at:
            return
        letter = decode(data, (KEY,))
        self.tally.kinds[letter.kind.name] = self.tally.kinds.get(letter.kind.name, 0) + 1
        self.learns(peer, (letter.sender, *letter.updates))
        match letter.kind:
            case MessageKind.PING:
                self.say(peer, MessageKind.ACK, letter.sequence, self.views(peer))
                self.compares(peer, letter)
            case MessageKind.ACK:
                self.compares(peer, letter)
            case MessageKind.PING_REQUEST:
                if letter.name in self.by_name and self.peer_of(letter.name).up:
                    self.later(
                        2 * self.delay(),
                        self.say,
                        peer,
                        MessageKind.ACK,
                        letter.sequence,
                        self.views(peer),
                    )
            case MessageKind.SYNC:
                self.pages(peer, letter)
            case MessageKind.PAGE if letter.name and len(letter.updates) == PAGE_UPDATES:
                self.say(peer, MessageKind.SYNC, letter.sequence, (), letter.name)
            case MessageKind.REPORT:
                self.say(peer, MessageKind.GRANT, letter.sequence, (4 * MILLICALLS_PER_CALL, 1))
            case MessageKind.GRANT:
                peer.share = letter.values[0]
            case _:
                pass

    def peer_of(self, name: str) -> Peer:
        return self.peers[int(name[1:])]

    def views(self, peer: Peer) -> tuple[int, int]:
        return peer.digest >> 1, self.fleet.quota_settings.digest()

    def say(
        self,
        peer: Peer,
        kind: MessageKind,
        number: int,
        numbers: tuple[int, ...] = (),
        name: str = "",
    ) -> None:
        letter = Message(kind, peer.word, number, numbers, name, tuple(self.gossip(peer)))
        self.later(self.delay(), self.hears, encode(letter, KEY))

    def compares(self, peer: Peer, letter: Message) -> None:
        if letter.values[0] != peer.digest >> 1 and self.now - peer.synced >= 200 * NS_PER_MS:
            peer.synced = self.now
            self.say(peer, MessageKind.SYNC, letter.sequence)

    def pages(self, peer: Peer, letter: Message) -> None:
        begin = bisect_right(self.names, letter.name)
        names = self.names[begin : begin + PAGE_UPDATES]
        more = names[-1] if begin + PAGE_UPDATES < len(self.names) else ""
        page = tuple(peer.seen.get(name) or self.by_name[name] for name in names)
        self.later(
            self.delay(),
            self.hears,
            encode(Message(MessageKind.PAGE, peer.word, letter.sequence, (), more, page), KEY),
        )

    # Peers among themselves.

    def learns(self, peer: Peer, said: tuple[MemberUpdate, ...]) -> None:
        for word in said:
            known = peer.seen.get(word.name) or self.by_name.get(word.name)
            if (
                known is not None
                and word.precedence > known.precedence
                and word.name != peer.word.name
            ):
                peer.digest ^= hash_update(known) ^ hash_update(word)
                peer.seen[word.name] = word
                peer.news[word.name] = 0

    def becomes(self, peer: Peer, word: MemberUpdate) -> None:
        """Its own word from now on, which goes with each of its messages."""
        peer.word = word
        known = peer.seen.get(word.name) or self.by_name[word.name]
        peer.digest ^= hash_update(known) ^ hash_update(word)
        peer.seen[word.name] = word
        peer.news[word.name] = 0

    def gossip(self, peer: Peer) -> list[MemberUpdate]:
        found = []
        for name in sorted(peer.news, key=peer.news.__getitem__)[:MAX_PIGGYBACKED_UPDATES]:
            peer.news[name] += 1
            found.append(peer.seen[name])
            if peer.news[name] >= self.most:
                del peer.news[name]
        if peer.stale:
            peer.stale -= 1
            found += [
                peer.seen.get(name) or self.by_name[name]
                for name in self.chance.sample(
                    self.names, min(MAX_PIGGYBACKED_UPDATES - len(found), len(self.names))
                )
            ]
        return found

    def slot(self, turn: int) -> None:
        """A fifth of the peers probe, a half report."""
        rest = not self.churn
        if rest:
            # Only who probes the real member matters: one in each time between probes, on the mean.
            if self.chance.random() < SLOT / self.fleet.gossip_settings.probe_interval_ns:
                place = (self.at + self.chance.randrange(1, len(self.peers))) % len(self.peers)
                self.later(self.chance.randrange(SLOT), self.probes, self.peers[place], self.at)
        else:
            for peer in self.peers[turn % 5 :: 5]:
                if peer.up and peer.at != self.at:
                    self.probes(peer, self.chance.randrange(len(self.peers)))
        if self.deals:
            for peer in self.peers[turn % 2 :: 2]:
                if peer.up and peer.at != self.at:
                    self.later(self.chance.randrange(SLOT), self.reports, peer)
        elif self.churn:
            one = self.peers[0]
            for peer in self.peers[turn % 2 :: 2]:
                if peer.up and peer.at not in (0, self.at) and (peer.news or one.news):
                    self.learns(one, tuple(self.gossip(peer)))
                    self.learns(peer, tuple(self.gossip(one)))
        self.later(SLOT, self.slot, turn + 1)

    def probes(self, peer: Peer, place: int) -> None:
        peer.number += 1
        other = self.peers[place]
        if place == self.at:
            self.say(peer, MessageKind.PING, peer.number, self.views(peer))
        elif (
            other.up
            and other is not peer
            and (peer.news or other.news or peer.digest != other.digest)
        ):
            self.learns(other, (peer.word, *self.gossip(peer)))
            self.learns(peer, (other.word, *self.gossip(other)))
            for one, another in ((peer, other), (other, peer)):
                if one.digest != another.digest and self.now - one.synced >= 200 * NS_PER_MS:
                    one.synced = self.now
                    self.later(
                        len(self.words) // PAGE_UPDATES * 2 * self.delay(),
                        self.reads_view,
                        one,
                        another,
                    )

    def reads_view(self, one: Peer, another: Peer) -> None:
        if one.up and another.up:
            self.learns(one, tuple(another.seen.values()))

    def reports(self, peer: Peer) -> None:
        peer.number += 1
        told = (
            peer.share,
            peer.share,
            1000 * MILLICALLS_PER_CALL,
            1000,
            self.fleet.quota.roster_hash,
        )
        self.say(peer, MessageKind.REPORT, peer.number, told)

    # Churn.

    def next_event(self) -> None:
        self.later(
            int(self.chance.expovariate(self.churn * len(self.peers)) * NS_PER_SECOND), self.event
        )

    def event(self) -> None:
        others = [peer for peer in self.peers[3:] if peer.up and peer.at != self.at]
        peer = self.chance.choice(others)
        self.events += 1
        if self.chance.random() < DEATHS / (DEATHS + RESTARTS):
            self.dies(peer)
            self.later(
                120 * NS_PER_SECOND, self.comes, peer
            )  # a guess: the time until another machine stands in its place
        else:
            self.leaves(peer)
            self.later(2 * NS_PER_SECOND, self.comes, peer)
        self.next_event()

    def leaves(self, peer: Peer) -> None:
        """Says so to fifty, and goes."""
        self.becomes(peer, peer.word._replace(state=MemberState.LEFT))
        for place in {0, *self.chance.sample(range(len(self.peers)), min(50, len(self.peers)))}:
            if place == self.at:
                self.later(
                    self.delay(), self.hears, encode(Message(MessageKind.LEAVE, peer.word, 0), KEY)
                )
            elif place != peer.at:
                self.learns(self.peers[place], (peer.word,))
        peer.up = False

    def dies(self, peer: Peer) -> None:
        """Another probes it in vain, and holds it to be dead when its time for refuting is over."""
        peer.up = False
        other = self.chance.choice([one for one in self.peers if one.up and one.at != self.at])
        silent, habits = (
            self.chance.randrange(habits_of(self).probe_interval_ns)
            + habits_of(self).probe_interval_ns,
            habits_of(self),
        )
        suspicion = (
            habits.suspicion_timeout_ns
            + habits.probe_interval_ns * len(self.words).bit_length() // 4
        )
        self.later(silent, self.holds, other, peer, MemberState.SUSPECT)
        self.later(silent + suspicion, self.holds, other, peer, MemberState.DEAD)

    def holds(self, other: Peer, peer: Peer, state: MemberState) -> None:
        if not peer.up:
            word = peer.seen.get(peer.word.name) or peer.word
            self.learns(other, (word._replace(state=state),))

    def comes(self, peer: Peer) -> None:
        """Started again: it reads the view of one that it knocks at, and has it all as news."""
        former = self.peers[self.chance.randrange(3)]
        peer.up, peer.share, peer.number = True, 0, 0
        peer.seen, peer.digest, peer.news = dict(former.seen), former.digest, {}
        peer.stale = len(self.words) * self.most // MAX_PIGGYBACKED_UPDATES
        self.becomes(
            peer,
            MemberUpdate(
                peer.word.name, peer.word.address, self.now // NS_PER_MS, 0, MemberState.ALIVE
            ),
        )


def habits_of(crowd: Crowd) -> GossipSettings:
    return crowd.fleet.gossip_settings
