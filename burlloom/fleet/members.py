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


class State(IntEnum):
    """In the order in which a word of the same incarnation overrides another."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3
    GONE = 4  # of our view alone, never said


class Input(IntEnum):
    SAID_ALIVE = 0
    SAID_SUSPECT = 1
    SAID_DEAD = 2
    SAID_LEFT = 3
    SILENT = 4  # no answer to us, nor through others
    EXPIRED = 5  # the time for refuting is over
    OLD = 6  # over for so long that nobody needs to know


TABLE = """
GONE    SAID_ALIVE   -      ALIVE    enter
GONE    SAID_SUSPECT -      SUSPECT  enter
GONE    SAID_DEAD    -      DEAD     enter
GONE    SAID_LEFT    -      LEFT     enter
ALIVE   SAID_ALIVE   newer  ALIVE    renew
ALIVE   SAID_SUSPECT newer  SUSPECT  renew
ALIVE   SAID_SUSPECT same   SUSPECT  doubt
ALIVE   SAID_DEAD    newer  DEAD     renew
ALIVE   SAID_DEAD    same   DEAD     bury
ALIVE   SAID_LEFT    newer  LEFT     renew
ALIVE   SAID_LEFT    same   LEFT     part
ALIVE   SILENT       -      SUSPECT  doubt
SUSPECT SAID_ALIVE   newer  ALIVE    renew
SUSPECT SAID_SUSPECT newer  SUSPECT  renew
SUSPECT SAID_DEAD    newer  DEAD     renew
SUSPECT SAID_DEAD    same   DEAD     bury
SUSPECT SAID_LEFT    newer  LEFT     renew
SUSPECT SAID_LEFT    same   LEFT     part
SUSPECT EXPIRED      -      DEAD     bury
DEAD    SAID_ALIVE   newer  ALIVE    renew
DEAD    SAID_SUSPECT newer  SUSPECT  renew
DEAD    SAID_DEAD    newer  DEAD     renew
DEAD    SAID_LEFT    newer  LEFT     renew
DEAD    SAID_LEFT    same   LEFT     part
DEAD    OLD          -      GONE     forget
LEFT    SAID_ALIVE   newer  ALIVE    renew
LEFT    SAID_SUSPECT newer  SUSPECT  renew
LEFT    SAID_DEAD    newer  DEAD     renew
LEFT    SAID_LEFT    newer  LEFT     renew
LEFT    OLD          -      GONE     forget
"""


class Word(NamedTuple):
    """What is said of a member. `life`: when it was started, Unix ms, or later where that was
    taken; `incarnation`: how often it refuted in that life.
    """

    name: str
    address: str
    life: int
    incarnation: int
    state: State

    @property
    def rank(self) -> tuple[int, int, int]:
        return self.life, self.incarnation, int(self.state)


@dataclass(slots=True)
class Member:
    word: Word
    since: int  # in this state, ns on our clock

    @property
    def state(self) -> State:
        return self.word.state

    @property
    def there(self) -> bool:
        """It may be calling below: nobody has said that it is over."""
        return self.word.state <= State.SUSPECT


class Moved(NamedTuple):
    """A member's step: before and after."""

    before: Word | None
    after: Word | None
    effect: str


class Members:
    """The view. `meet` is all that changes it; who is ourselves never stands in it as anything but
    alive or left: what others say else of us is refuted.
    """

    def __init__(self, own: Word, now: int) -> None:
        self.own = own
        self.by_name: dict[str, Member] = {}
        # Kept up by `put`, as a walk of the view at each turn would cost a member the more the
        # larger the fleet.
        self.unsettled: dict[str, Member] = {}  # all but the ALIVE
        self.addresses: dict[str, int] = {}  # of those that are there, by how many
        self.sorted: tuple[int, list[str]] = (-1, [])  # names, and the version that they are of
        self.lives = 0  # a hash over the lives of all but those who left
        self.changed: set[str] = set()  # names, until whoever keeps us takes them
        self.digest = 0  # equal where two views are
        self.version = 0  # counts changes
        self.put(own.name, Member(own, now))
        self.moves: list[Moved] = []  # until whoever keeps us takes them

    def put(self, name: str, member: Member | None) -> None:
        self.version += 1
        before = self.by_name.pop(name, None)
        self.changed.add(name)
        self.lives ^= life_of(before) ^ life_of(member)
        if before is not None:
            self.digest ^= hash_of(before.word)
            self.unsettled.pop(name, None)
            if before.there:
                self.at(before.word.address, -1)
        if member is not None:
            self.by_name[name] = member
            self.digest ^= hash_of(member.word)
            if member.state is not State.ALIVE:
                self.unsettled[name] = member
            if member.there:
                self.at(member.word.address, 1)

    def at(self, address: str, more: int) -> None:
        count = self.addresses.pop(address, 0) + more
        if count:
            self.addresses[address] = count

    def __iter__(self) -> Iterator[Member]:
        return iter(self.by_name.values())

    def said(self, now: int, word: Word) -> bool:
        """Takes in what somebody said; whether it was news."""
        if word.name == self.own.name:
            return self.said_of_us(now, word)
        known = self.by_name.get(word.name)
        if known is not None and known.word.rank >= word.rank:
            return False  # most words are no news; no row of the table moves by these
        return self.meet(now, word.name, Input(int(word.state)), word)

    def said_of_us(self, now: int, word: Word) -> bool:
        """An older life's words are no concern of ours; one of ours that we did not say is refuted;
        another's under our name, or a later life than ours after a step of the clock, is outbid.
        """
        own = self.own
        if own.state is State.LEFT or word.rank <= own.rank:
            return False
        if word.life > own.life:
            self.speak(now, own._replace(life=word.life + 1, incarnation=0))
        else:
            self.speak(now, own._replace(incarnation=word.incarnation + 1))
        return True

    def speak(self, now: int, own: Word) -> None:
        self.own = own
        self.put(own.name, Member(own, now))

    def leave(self, now: int) -> None:
        self.speak(now, self.own._replace(state=State.LEFT))

    def meet(self, now: int, name: str, what: Input, word: Word | None = None) -> bool:
        """Moves by the first row whose test holds. `word` goes with what is said."""
        member = self.by_name.get(name)
        state = member.state if member is not None else State.GONE
        for test, after, effect in RULES.get((state, what), ()):
            if test(member, word):
                EFFECTS[effect](self, now, name, after, word)
                self.moves.append(
                    Moved(
                        member.word if member is not None else None,
                        self.by_name[name].word if name in self.by_name else None,
                        effect,
                    )
                )
                return True
        return False

    # Effects.

    def enter(self, now: int, name: str, after: State, word: Word | None) -> None:
        assert word is not None
        self.put(name, Member(word, now))

    def doubt(self, now: int, name: str, after: State, word: Word | None) -> None:
        self.put(name, Member(self.by_name[name].word._replace(state=after), now))

    def forget(self, now: int, name: str, after: State, word: Word | None) -> None:
        self.put(name, None)

    # What the view shows.

    def roster(self) -> int:
        """Equal where two views count the same lives of the same members, whatever state they think
        them in.
        """
        return self.lives >> 1

    def names_after(self, name: str) -> Iterator[str]:
        """In their order."""
        if self.sorted[0] != self.version:
            self.sorted = self.version, sorted(self.by_name)
        names = self.sorted[1]
        for place in range(bisect_right(names, name), len(names)):
            yield names[place]

    def there(self) -> list[Member]:
        return [member for member in self if member.there]

    def counted(self) -> int:
        """How many may hold something below: all but those who left."""
        return sum(member.state is not State.LEFT for member in self)

    def first(self) -> Word:
        """Who deals: the one that has lived longest of those who are there, so that newcomers
        change nothing.
        """
        return min((member.word for member in self if member.there), key=lived, default=self.own)


def lived(word: Word) -> tuple[int, str]:
    """In the order in which members deal."""
    return word.life, word.name


def hash_of(word: Word) -> int:
    text = f"{word.name}|{word.address}|{word.life}|{word.incarnation}|{int(word.state)}"
    return int(xxhash.xxh3_64_intdigest(text.encode()))


def life_of(member: Member | None) -> int:
    """Of a member that may hold something, whatever it is thought to be; 0 of none."""
    if member is None or member.state is State.LEFT:
        return 0
    return hash_of(member.word._replace(incarnation=0, state=State.ALIVE))


Test = Callable[[Member | None, Word | None], bool]


def newer(member: Member | None, word: Word | None) -> bool:
    return member is not None and word is not None and word.rank[:2] > member.word.rank[:2]


def same(member: Member | None, word: Word | None) -> bool:
    return member is not None and word is not None and word.rank[:2] == member.word.rank[:2]


TESTS: dict[str, Test] = {"newer": newer, "same": same, "-": lambda member, word: True}
Effect = Callable[[Members, int, str, State, Word | None], None]
EFFECTS: dict[str, Effect] = {
    "enter": Members.enter,
    "renew": Members.enter,
    "doubt": Members.doubt,
    "bury": Members.doubt,
    "part": Members.doubt,
    "forget": Members.forget,
}
RULES = parse_transitions(TABLE, State, Input, TESTS.__getitem__, str)


def due(
    members: Iterable[Member], now: int, suspicion: int, forget: int
) -> list[tuple[str, Input]]:
    """Whose time for refuting is over, and who is over for long. Whoever keeps the view hands these
    to `meet`.
    """
    found = []
    for member in members:
        if member.state is State.SUSPECT and now - member.since >= suspicion:
            found.append((member.word.name, Input.EXPIRED))
        elif member.state >= State.DEAD and now - member.since >= forget:
            found.append((member.word.name, Input.OLD))
    return found
