"""Who is in the fleet, as one member sees it: SWIM's states, by a table. No I/O.

After Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
Membership Protocol" (2002): a member that does not answer, directly nor through others, is
suspected before it is held to be dead, and may refute that itself. Three things differ here:

- What SWIM calls a member's incarnation is its refutation number, and counts within an incarnation:
  one start of its process. So a member that was started again is told from one that lived on.
- A member that leaves says so.
- The dead stay in the view until they are forgotten: their shares count as held meanwhile
  (`allocator.py`).

What others say moves a member by (incarnation, refutation, state) alone, each update to the larger
of the two: so the order in which updates come, and how often, does not matter.
"""

from bisect import bisect_right
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

import xxhash

from ..transition_table import parse_transitions

__all__ = [
    "Member",
    "MemberState",
    "MemberUpdate",
    "MembershipInput",
    "MembershipView",
    "Transition",
    "find_due_inputs",
    "hash_update",
    "seniority",
]


class MemberState(IntEnum):
    """In the order in which an update of the same refutation number overrides another."""

    ALIVE = 0
    SUSPECT = 1  # it did not answer, and may still refute that
    DEAD = 2  # it did not refute that in time
    LEFT = 3  # by its own message
    GONE = 4  # not in the view; never sent


class MembershipInput(IntEnum):
    """What moves a member from state to state; the first four are the states of updates."""

    ALIVE_RECEIVED = 0
    SUSPECT_RECEIVED = 1
    DEAD_RECEIVED = 2
    LEFT_RECEIVED = 3
    PROBE_FAILED = 4  # no answer to us, nor through others
    SUSPICION_EXPIRED = 5  # the time for refuting is over
    FORGET_DUE = 6  # dead or departed for so long that nobody needs to know


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
    """What is said of a member; its order is that of the datagram.

    Attributes:
        name: Unique in the fleet.
        address: IPv4 address and port for datagrams.
        incarnation: When its process was started, Unix ms, or later where that was taken.
        refutation: How often it refuted a suspicion in that incarnation.
        state: What it is held to be.
    """

    name: str
    address: str
    incarnation: int
    refutation: int
    state: MemberState

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Of two updates on one member the larger holds."""
        return self.incarnation, self.refutation, int(self.state)


@dataclass(slots=True)
class Member:
    """A member of the view.

    Attributes:
        update: The newest that is known of it.
        since_ns: When it came to this state, on our clock.
    """

    update: MemberUpdate
    since_ns: int

    @property
    def state(self) -> MemberState:
        """What it is held to be."""
        return self.update.state

    @property
    def is_present(self) -> bool:
        """Whether it may be calling downstream: nobody has said that it is over."""
        return self.update.state <= MemberState.SUSPECT


class Transition(NamedTuple):
    """A member's step; None where it was not, or is no more, in the view."""

    before: MemberUpdate | None
    after: MemberUpdate | None


class MembershipView:
    """All members that this one knows of, itself among them.

    This member never stands in its own view as anything but alive or left: what others say else of
    it is refuted.

    Attributes:
        own: What this member says of itself.
        by_name: All members.
        not_alive: Those in any other state than ALIVE.
        addresses: Of the present members, each with how many have it.
        changed_names: Members that changed, until whoever reads them takes them.
        digest: Equal where two views are.
        version: Counts changes.
        transitions: Steps of members, until whoever reads them takes them.
    """

    MAX_MEMBERS = 1000  # a fleet is some hundreds

    def __init__(self, own: MemberUpdate, now: int) -> None:
        """Begins with this member alone.

        Args:
            own: This member, alive.
            now: ns on a clock that nobody sets.
        """
        self.own = own
        self.by_name: dict[str, Member] = {}
        # The following are kept up by `store`: a walk of the view at each turn would cost a member
        # the more the larger the fleet.
        self.not_alive: dict[str, Member] = {}
        self.addresses: dict[str, int] = {}
        self.incarnations_digest = 0
        self.changed_names: set[str] = set()
        self.digest = 0
        self.version = 0
        self.sorted_names: tuple[int, list[str]] = (-1, [])  # with the version that they are of
        self.store(own.name, Member(own, now))
        self.transitions: list[Transition] = []

    def __iter__(self) -> Iterator[Member]:
        """Iterates over all members, in the order of their last change."""
        return iter(self.by_name.values())

    def store(self, name: str, member: Member | None) -> None:
        """Replaces a member, and keeps up what is counted over all; None takes it out."""
        self.version += 1
        before = self.by_name.pop(name, None)
        self.changed_names.add(name)
        self.incarnations_digest ^= _hash_incarnation(before) ^ _hash_incarnation(member)
        if before is not None:
            self.digest ^= hash_update(before.update)
            self.not_alive.pop(name, None)
            if before.is_present:
                self._count_address(before.update.address, -1)
        if member is not None:
            self.by_name[name] = member
            self.digest ^= hash_update(member.update)
            if member.state is not MemberState.ALIVE:
                self.not_alive[name] = member
            if member.is_present:
                self._count_address(member.update.address, 1)

    def _count_address(self, address: str, change: int) -> None:
        count = self.addresses.pop(address, 0) + change
        if count:
            self.addresses[address] = count

    def process_update(self, now: int, update: MemberUpdate) -> bool:
        """Takes in what somebody said of a member.

        Returns:
            Whether it changed the view.
        """
        if update.name == self.own.name:
            return self._process_update_of_self(now, update)
        known = self.by_name.get(update.name)
        if known is not None and known.update.precedence >= update.precedence:
            return False  # most updates say nothing new; no row of the table moves by these
        return self.apply_input(now, update.name, MembershipInput(int(update.state)), update)

    def _process_update_of_self(self, now: int, update: MemberUpdate) -> bool:
        """Refutes what is said of this incarnation, and outbids a later one under our name.

        A later incarnation is another process with our name, or our own before the clock was set
        back. What is said of an earlier one does not concern us.
        """
        own = self.own
        if own.state is MemberState.LEFT or update.precedence <= own.precedence:
            return False
        if update.incarnation > own.incarnation:
            self._set_own(now, own._replace(incarnation=update.incarnation + 1, refutation=0))
        else:
            self._set_own(now, own._replace(refutation=update.refutation + 1))
        return True

    def _set_own(self, now: int, own: MemberUpdate) -> None:
        self.own = own
        self.store(own.name, Member(own, now))

    def leave(self, now: int) -> None:
        """Marks this member as having left."""
        self._set_own(now, self.own._replace(state=MemberState.LEFT))

    def apply_input(
        self, now: int, name: str, received: MembershipInput, update: MemberUpdate | None = None
    ) -> bool:
        """Moves a member by the first row of the table whose test holds.

        Args:
            now: ns on a clock that nobody sets.
            name: The member's.
            received: What happened.
            update: What was said, where that is what happened.

        Returns:
            Whether a row held.
        """
        member = self.by_name.get(name)
        state = member.state if member is not None else MemberState.GONE
        for test, after, effect in RULES.get((state, received), ()):
            if test(member, update):
                effect(self, now, name, after, update)
                stored = self.by_name.get(name)
                self.transitions.append(
                    Transition(
                        member.update if member is not None else None,
                        stored.update if stored is not None else None,
                    )
                )
                return True
        return False

    # Effects of the table.

    def record(self, now: int, name: str, after: MemberState, update: MemberUpdate | None) -> None:
        """Stores what was said."""
        assert update is not None
        self.store(name, Member(update, now))

    def change_state(
        self, now: int, name: str, after: MemberState, update: MemberUpdate | None
    ) -> None:
        """Stores the new state of a member that is known."""
        self.store(name, Member(self.by_name[name].update._replace(state=after), now))

    def remove(self, now: int, name: str, after: MemberState, update: MemberUpdate | None) -> None:
        """Takes the member out of the view."""
        self.store(name, None)

    # What the view shows.

    def roster_hash(self) -> int:
        """Returns a number that is equal where two views hold the same incarnations.

        It does not matter in which state they hold them, but for those who left.
        """
        return self.incarnations_digest >> 1

    def names_after(self, name: str) -> Iterator[str]:
        """Iterates over the names behind `name` in their order."""
        if self.sorted_names[0] != self.version:
            self.sorted_names = self.version, sorted(self.by_name)
        names = self.sorted_names[1]
        for place in range(bisect_right(names, name), len(names)):
            yield names[place]

    def present_members(self) -> list[Member]:
        """Returns those who may be calling downstream."""
        return [member for member in self if member.is_present]

    def count_not_left(self) -> int:
        """Returns how many may hold a share: all but those who left."""
        return sum(member.state is not MemberState.LEFT for member in self)

    def oldest_present(self) -> MemberUpdate:
        """Returns the present member that was started first; this one where nobody is present.

        It is the one to allocate, so that newcomers change nothing.
        """
        present = (member.update for member in self if member.is_present)
        return min(present, key=seniority, default=self.own)


def seniority(update: MemberUpdate) -> tuple[int, str]:
    """Returns a key for the order in which members come to allocate."""
    return update.incarnation, update.name


def hash_update(update: MemberUpdate) -> int:
    """Returns the part of a view's digest that one member has."""
    name, address, incarnation, refutation, state = update
    text = f"{name}|{address}|{incarnation}|{refutation}|{int(state)}"
    return int(xxhash.xxh3_64_intdigest(text.encode()))


def _hash_incarnation(member: Member | None) -> int:
    """Returns 0 for one that holds no share: None, or one that left."""
    if member is None or member.state is MemberState.LEFT:
        return 0
    return hash_update(member.update._replace(refutation=0, state=MemberState.ALIVE))


def find_due_inputs(
    members: Iterable[Member], now: int, suspicion_timeout_ns: int, forget_after_ns: int
) -> list[tuple[str, MembershipInput]]:
    """Returns whose time for refuting is over, and who has been over for long enough.

    Whoever keeps the view hands these to `MembershipView.apply_input`.
    """
    found = []
    for member in members:
        age_ns = now - member.since_ns
        if member.state is MemberState.SUSPECT and age_ns >= suspicion_timeout_ns:
            found.append((member.update.name, MembershipInput.SUSPICION_EXPIRED))
        elif member.state >= MemberState.DEAD and age_ns >= forget_after_ns:
            found.append((member.update.name, MembershipInput.FORGET_DUE))
    return found


def _always(member: Member | None, update: MemberUpdate | None) -> bool:
    return True


def _is_newer(member: Member | None, update: MemberUpdate | None) -> bool:
    assert member is not None
    assert update is not None
    return update.precedence[:2] > member.update.precedence[:2]


def _is_same_refutation(member: Member | None, update: MemberUpdate | None) -> bool:
    assert member is not None
    assert update is not None
    return update.precedence[:2] == member.update.precedence[:2]


_Test = Callable[[Member | None, MemberUpdate | None], bool]
_Effect = Callable[[MembershipView, int, str, MemberState, MemberUpdate | None], None]

_TESTS: dict[str, _Test] = {
    "-": _always,
    "is_newer": _is_newer,
    "is_same_refutation": _is_same_refutation,
}
_EFFECTS: dict[str, _Effect] = {
    "record": MembershipView.record,
    "suspect": MembershipView.change_state,
    "declare_dead": MembershipView.change_state,
    "mark_left": MembershipView.change_state,
    "remove": MembershipView.remove,
}
RULES = parse_transitions(
    TABLE, MemberState, MembershipInput, _TESTS.__getitem__, _EFFECTS.__getitem__
)
