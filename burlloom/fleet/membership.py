"""Who is in the fleet, as one member sees it: SWIM's states with incarnations, by a table. No I/O.

After Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
Membership Protocol" (2002): whoever does not answer, directly nor through others, is suspected
before it is held to be dead, and may refute that itself by a higher incarnation. Ours differs in
three ways. An incarnation belongs to a life, so that a member that was started again is told from
one that lived on. Who leaves says so. The dead stay in the view until they are forgotten: what they
held below counts as taken meanwhile (`deal.py`).

States: ALIVE; SUSPECT it did not answer and may still; DEAD it did not refute that in time; LEFT by
its own word; GONE not in the view. What others say moves a member by (life, incarnation, state)
alone, each word to the larger of the two: so the order in which words come, and how often, does not
matter.
"""

from bisect import bisect_right
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

import xxhash

from ..transition_table import parse_transitions


class MemberState(IntEnum):
    """In the order in which a word of the same incarnation overrides another."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3
    GONE = 4  # of our view alone, never said


class MembershipInput(IntEnum):
    ALIVE_RECEIVED = 0
    SUSPECT_RECEIVED = 1
    DEAD_RECEIVED = 2
    LEFT_RECEIVED = 3
    PROBE_FAILED = 4  # no answer to us, nor through others
    SUSPICION_EXPIRED = 5  # the time for refuting is over
    FORGET_DUE = 6  # over for so long that nobody needs to know


TABLE = """
GONE    ALIVE_RECEIVED    -                  ALIVE   record
GONE    SUSPECT_RECEIVED  -                  SUSPECT record
GONE    DEAD_RECEIVED     -                  DEAD    record
GONE    LEFT_RECEIVED     -                  LEFT    record
ALIVE   ALIVE_RECEIVED    is_newer           ALIVE   record
ALIVE   SUSPECT_RECEIVED  is_newer           SUSPECT record
ALIVE   SUSPECT_RECEIVED  is_same_refutation SUSPECT suspect
ALIVE   DEAD_RECEIVED     is_newer           DEAD    record
ALIVE   DEAD_RECEIVED     is_same_refutation DEAD    declare_dead
ALIVE   LEFT_RECEIVED     is_newer           LEFT    record
ALIVE   LEFT_RECEIVED     is_same_refutation LEFT    mark_left
ALIVE   PROBE_FAILED      -                  SUSPECT suspect
SUSPECT ALIVE_RECEIVED    is_newer           ALIVE   record
SUSPECT SUSPECT_RECEIVED  is_newer           SUSPECT record
SUSPECT DEAD_RECEIVED     is_newer           DEAD    record
SUSPECT DEAD_RECEIVED     is_same_refutation DEAD    declare_dead
SUSPECT LEFT_RECEIVED     is_newer           LEFT    record
SUSPECT LEFT_RECEIVED     is_same_refutation LEFT    mark_left
SUSPECT SUSPICION_EXPIRED -                  DEAD    declare_dead
DEAD    ALIVE_RECEIVED    is_newer           ALIVE   record
DEAD    SUSPECT_RECEIVED  is_newer           SUSPECT record
DEAD    DEAD_RECEIVED     is_newer           DEAD    record
DEAD    LEFT_RECEIVED     is_newer           LEFT    record
DEAD    LEFT_RECEIVED     is_same_refutation LEFT    mark_left
DEAD    FORGET_DUE        -                  GONE    remove
LEFT    ALIVE_RECEIVED    is_newer           ALIVE   record
LEFT    SUSPECT_RECEIVED  is_newer           SUSPECT record
LEFT    DEAD_RECEIVED     is_newer           DEAD    record
LEFT    LEFT_RECEIVED     is_newer           LEFT    record
LEFT    FORGET_DUE        -                  GONE    remove
"""


class MemberUpdate(NamedTuple):
    """What is said of a member. `life`: when it was started, Unix ms, or later where that was
    taken; `incarnation`: how often it refuted in that life.
    """

    name: str
    address: str
    incarnation: int
    refutation: int
    state: MemberState

    @property
    def precedence(self) -> tuple[int, int, int]:
        return self.incarnation, self.refutation, int(self.state)


@dataclass(slots=True)
class Member:
    update: MemberUpdate
    since_ns: int  # in this state, ns on our clock

    @property
    def state(self) -> MemberState:
        return self.update.state

    @property
    def is_present(self) -> bool:
        """It may be calling below: nobody has said that it is over."""
        return self.update.state <= MemberState.SUSPECT


class Transition(NamedTuple):
    """A member's step: before and after."""

    before: MemberUpdate | None
    after: MemberUpdate | None
    effect: str


class MembershipView:
    """The view. `meet` is all that changes it; who is ourselves never stands in it as anything but
    alive or left: what others say else of us is refuted.
    """

    def __init__(self, own: MemberUpdate, now: int) -> None:
        self.own = own
        self.by_name: dict[str, Member] = {}
        # Kept up by `put`, as a walk of the view at each turn would cost a member the more the
        # larger the fleet.
        self.not_alive: dict[str, Member] = {}  # all but the ALIVE
        self.addresses: dict[str, int] = {}  # of those that are there, by how many
        self.sorted_names: tuple[int, list[str]] = (
            -1,
            [],
        )  # names, and the version that they are of
        self.incarnations_digest = 0  # a hash over the lives of all but those who left
        self.changed_names: set[str] = set()  # names, until whoever keeps us takes them
        self.digest = 0  # equal where two views are
        self.version = 0  # counts changes
        self.store(own.name, Member(own, now))
        self.transitions: list[Transition] = []  # until whoever keeps us takes them

    def store(self, name: str, member: Member | None) -> None:
        self.version += 1
        before = self.by_name.pop(name, None)
        self.changed_names.add(name)
        self.incarnations_digest ^= hash_incarnation(before) ^ hash_incarnation(member)
        if before is not None:
            self.digest ^= hash_update(before.update)
            self.not_alive.pop(name, None)
            if before.is_present:
                self.count_address(before.update.address, -1)
        if member is not None:
            self.by_name[name] = member
            self.digest ^= hash_update(member.update)
            if member.state is not MemberState.ALIVE:
                self.not_alive[name] = member
            if member.is_present:
                self.count_address(member.update.address, 1)

    def count_address(self, address: str, more: int) -> None:
        count = self.addresses.pop(address, 0) + more
        if count:
            self.addresses[address] = count

    def __iter__(self) -> Iterator[Member]:
        return iter(self.by_name.values())

    def process_update(self, now: int, word: MemberUpdate) -> bool:
        """Takes in what somebody said; whether it was news."""
        if word.name == self.own.name:
            return self.process_update_of_self(now, word)
        known = self.by_name.get(word.name)
        if known is not None and known.update.precedence >= word.precedence:
            return False  # most words are no news; no row of the table moves by these
        return self.apply_input(now, word.name, MembershipInput(int(word.state)), word)

    def process_update_of_self(self, now: int, word: MemberUpdate) -> bool:
        """An older life's words are no concern of ours; one of ours that we did not say is refuted;
        another's under our name, or a later life than ours after a step of the clock, is outbid.
        """
        own = self.own
        if own.state is MemberState.LEFT or word.precedence <= own.precedence:
            return False
        if word.incarnation > own.incarnation:
            self.set_own(now, own._replace(incarnation=word.incarnation + 1, refutation=0))
        else:
            self.set_own(now, own._replace(refutation=word.refutation + 1))
        return True

    def set_own(self, now: int, own: MemberUpdate) -> None:
        self.own = own
        self.store(own.name, Member(own, now))

    def leave(self, now: int) -> None:
        self.set_own(now, self.own._replace(state=MemberState.LEFT))

    def apply_input(
        self, now: int, name: str, what: MembershipInput, word: MemberUpdate | None = None
    ) -> bool:
        """Moves by the first row whose test holds. `word` goes with what is said."""
        member = self.by_name.get(name)
        state = member.state if member is not None else MemberState.GONE
        for test, after, effect in RULES.get((state, what), ()):
            if test(member, word):
                EFFECTS[effect](self, now, name, after, word)
                self.transitions.append(
                    Transition(
                        member.update if member is not None else None,
                        self.by_name[name].update if name in self.by_name else None,
                        effect,
                    )
                )
                return True
        return False

    # Effects.

    def record_update(
        self, now: int, name: str, after: MemberState, word: MemberUpdate | None
    ) -> None:
        assert word is not None
        self.store(name, Member(word, now))

    def change_state(
        self, now: int, name: str, after: MemberState, word: MemberUpdate | None
    ) -> None:
        self.store(name, Member(self.by_name[name].update._replace(state=after), now))

    def remove(self, now: int, name: str, after: MemberState, word: MemberUpdate | None) -> None:
        self.store(name, None)

    # What the view shows.

    def roster_hash(self) -> int:
        """Equal where two views count the same lives of the same members, whatever state they think
        them in.
        """
        return self.incarnations_digest >> 1

    def names_after(self, name: str) -> Iterator[str]:
        """In their order."""
        if self.sorted_names[0] != self.version:
            self.sorted_names = self.version, sorted(self.by_name)
        names = self.sorted_names[1]
        for place in range(bisect_right(names, name), len(names)):
            yield names[place]

    def present_members(self) -> list[Member]:
        return [member for member in self if member.is_present]

    def count_not_left(self) -> int:
        """How many may hold something below: all but those who left."""
        return sum(member.state is not MemberState.LEFT for member in self)

    def oldest_present(self) -> MemberUpdate:
        """Who deals: the one that has lived longest of those who are there, so that newcomers
        change nothing.
        """
        return min(
            (member.update for member in self if member.is_present), key=seniority, default=self.own
        )


def seniority(word: MemberUpdate) -> tuple[int, str]:
    """In the order in which members deal."""
    return word.incarnation, word.name


def hash_update(word: MemberUpdate) -> int:
    text = f"{word.name}|{word.address}|{word.incarnation}|{word.refutation}|{int(word.state)}"
    return int(xxhash.xxh3_64_intdigest(text.encode()))


def hash_incarnation(member: Member | None) -> int:
    """Of a member that may hold something, whatever it is thought to be; 0 of none."""
    if member is None or member.state is MemberState.LEFT:
        return 0
    return hash_update(member.update._replace(refutation=0, state=MemberState.ALIVE))


Test = Callable[[Member | None, MemberUpdate | None], bool]


def is_newer(member: Member | None, word: MemberUpdate | None) -> bool:
    return (
        member is not None
        and word is not None
        and word.precedence[:2] > member.update.precedence[:2]
    )


def is_same_refutation(member: Member | None, word: MemberUpdate | None) -> bool:
    return (
        member is not None
        and word is not None
        and word.precedence[:2] == member.update.precedence[:2]
    )


TESTS: dict[str, Test] = {
    "-": lambda member, update: True,
    "is_newer": is_newer,
    "is_same_refutation": is_same_refutation,
}
Effect = Callable[[MembershipView, int, str, MemberState, MemberUpdate | None], None]
EFFECTS: dict[str, Effect] = {
    "record": MembershipView.record_update,
    "suspect": MembershipView.change_state,
    "declare_dead": MembershipView.change_state,
    "mark_left": MembershipView.change_state,
    "remove": MembershipView.remove,
}
RULES = parse_transitions(TABLE, MemberState, MembershipInput, TESTS.__getitem__, str)


def find_due_inputs(
    members: Iterable[Member], now: int, suspicion: int, forget: int
) -> list[tuple[str, MembershipInput]]:
    """Whose time for refuting is over, and who is over for long. Whoever keeps the view hands these
    to `meet`.
    """
    found = []
    for member in members:
        if member.state is MemberState.SUSPECT and now - member.since_ns >= suspicion:
            found.append((member.update.name, MembershipInput.SUSPICION_EXPIRED))
        elif member.state >= MemberState.DEAD and now - member.since_ns >= forget:
            found.append((member.update.name, MembershipInput.FORGET_DUE))
    return found
