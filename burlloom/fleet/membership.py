"""One member's view of the fleet: the states of SWIM, as a transition table. Does no I/O.

The protocol follows Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style
Process Group Membership Protocol" (2002): a member that answers neither direct nor indirect probes
is suspected before it is considered dead, and can refute the suspicion. Three things differ:

- SWIM's incarnation number is called the refutation number here. It counts within an incarnation,
  which is one start of the member's process. This distinguishes a restarted member from one that
  kept running.
- A member announces that it leaves.
- Dead members stay in the view until they are forgotten, because their shares count as held until
  then (`allocator.py`).

Updates are ordered by (incarnation, refutation, state) alone, and a member always moves to the
larger update. So neither the order nor the number of deliveries of the updates matters.
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
    "seniority_key",
]


class MemberState(IntEnum):
    """State of a member. At equal refutation numbers a larger state overrides a smaller one."""

    ALIVE = 0
    SUSPECT = 1  # did not answer probes, and can still refute the suspicion
    DEAD = 2  # did not refute the suspicion in time
    LEFT = 3  # announced that it leaves
    GONE = 4  # not in the view; never sent


class MembershipInput(IntEnum):
    """Inputs of a member's state machine; the first four are the states of received updates."""

    ALIVE_RECEIVED = 0
    SUSPECT_RECEIVED = 1
    DEAD_RECEIVED = 2
    LEFT_RECEIVED = 3
    PROBE_FAILED = 4  # no answer to a direct probe nor to indirect ones
    SUSPICION_EXPIRED = 5  # the suspicion timeout is over
    FORGET_DUE = 6  # dead or left for longer than the forget timeout


# Columns: state, input, test, next state, effect; "-" stands for no test or no effect.
TRANSITION_TABLE = """
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
    """An update on a member. The field order is the order in the datagram.

    Attributes:
        name: Name of the member, unique in the fleet.
        address: IPv4 address and port for datagrams.
        incarnation: Start time of the member's process as Unix ms, or a later value if that one
            was already taken.
        refutation: Refutation number: how often the member refuted a claim in this incarnation.
        state: State of the member.
    """

    name: str
    address: str
    incarnation: int
    refutation: int
    state: MemberState

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Sort key of updates on the same member; the update with the larger key wins."""
        return self.incarnation, self.refutation, int(self.state)


@dataclass(slots=True)
class Member:
    """A member of the view.

    Attributes:
        update: The newest update on the member.
        since_ns: Monotonic time, on this process's clock, at which the update was stored.
    """

    update: MemberUpdate
    since_ns: int

    @property
    def state(self) -> MemberState:
        """State of the member."""
        return self.update.state

    @property
    def is_present(self) -> bool:
        """Whether the member may call downstream: it is neither dead nor left."""
        return self.update.state <= MemberState.SUSPECT


class Transition(NamedTuple):
    """A change of a member in the view.

    Attributes:
        before: The update before; None if the member was not in the view.
        after: The update after; None if the member was removed from the view.
    """

    before: MemberUpdate | None
    after: MemberUpdate | None


class MembershipView:
    """All members that this member knows, including itself.

    In its own view this member is always ALIVE or LEFT; any other claim about it is refuted.

    Attributes:
        own: This member's update on itself.
        by_name: All members, by name, in the order of their last change.
        not_alive: Members in any state other than ALIVE, by name.
        addresses: Number of present members by address.
        incarnations_digest: Digest of the incarnations of all members that have not left.
        changed_names: Names of members that changed since the reader last took this set.
        digest: Digest of all updates; equal views have equal digests.
        version: Number of changes so far.
        sorted_names: Sorted names of all members, with the `version` to which they belong.
        transitions: Changes of members since the reader last took this list.
    """

    MAX_MEMBERS = 1000  # names beyond this are ignored; fleets have some hundreds of members

    def __init__(self, own: MemberUpdate, now_ns: int) -> None:
        """Initializes a view that contains only this member.

        Args:
            own: This member's update on itself, in state ALIVE.
            now_ns: Monotonic time in ns.
        """
        self.own = own
        self.by_name: dict[str, Member] = {}
        # `store` maintains the following attributes incrementally, because iterating over the whole
        # view in each tick would cost time proportional to the fleet size.
        self.not_alive: dict[str, Member] = {}
        self.addresses: dict[str, int] = {}
        self.incarnations_digest = 0
        self.changed_names: set[str] = set()
        self.digest = 0
        self.version = 0
        self.sorted_names: tuple[int, list[str]] = (-1, [])
        self.store(own.name, Member(own, now_ns))
        self.transitions: list[Transition] = []

    def __iter__(self) -> Iterator[Member]:
        """Yields all members, in the order of their last change."""
        return iter(self.by_name.values())

    def store(self, name: str, member: Member | None) -> None:
        """Replaces a member and updates the derived attributes.

        Args:
            name: Name of the member.
            member: The new entry; None removes the member from the view.
        """
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

    def _count_address(self, address: str, delta: int) -> None:
        count = self.addresses.pop(address, 0) + delta
        if count:
            self.addresses[address] = count

    def process_update(self, now_ns: int, update: MemberUpdate) -> bool:
        """Processes an update on a member, received from any member.

        Returns:
            Whether the update changed the view.
        """
        if update.name == self.own.name:
            return self._process_update_of_self(now_ns, update)
        known_member = self.by_name.get(update.name)
        if known_member is not None and known_member.update.precedence >= update.precedence:
            return False  # fast path: most updates are not newer, and no transition applies
        return self.apply_input(now_ns, update.name, MembershipInput(int(update.state)), update)

    def _process_update_of_self(self, now_ns: int, update: MemberUpdate) -> bool:
        """Refutes a claim about this incarnation, or replaces a later incarnation of this name.

        A later incarnation belongs to another process with the same name, or to this member before
        its clock was set back. Updates on an earlier incarnation are ignored.
        """
        own = self.own
        if own.state is MemberState.LEFT or update.precedence <= own.precedence:
            return False
        if update.incarnation > own.incarnation:
            self._set_own(now_ns, own._replace(incarnation=update.incarnation + 1, refutation=0))
        else:
            self._set_own(now_ns, own._replace(refutation=update.refutation + 1))
        return True

    def _set_own(self, now_ns: int, own: MemberUpdate) -> None:
        self.own = own
        self.store(own.name, Member(own, now_ns))

    def leave(self, now_ns: int) -> None:
        """Marks this member as having left."""
        self._set_own(now_ns, self.own._replace(state=MemberState.LEFT))

    def apply_input(
        self,
        now_ns: int,
        name: str,
        input_event: MembershipInput,
        update: MemberUpdate | None = None,
    ) -> bool:
        """Takes the first transition of a member whose test holds, if there is one.

        Args:
            now_ns: Monotonic time in ns.
            name: Name of the member.
            input_event: Input of the member's state machine.
            update: The received update, if the input is one of the `*_RECEIVED` inputs.

        Returns:
            Whether a transition was taken.
        """
        member = self.by_name.get(name)
        state = member.state if member is not None else MemberState.GONE
        for test, after, effect in RULES.get((state, input_event), ()):
            if test(member, update):
                effect(self, now_ns, name, after, update)
                stored_member = self.by_name.get(name)
                self.transitions.append(
                    Transition(
                        member.update if member is not None else None,
                        stored_member.update if stored_member is not None else None,
                    )
                )
                return True
        return False

    # Effects named in TRANSITION_TABLE.

    def record(
        self, now_ns: int, name: str, after: MemberState, update: MemberUpdate | None
    ) -> None:
        """Stores the received update."""
        assert update is not None
        self.store(name, Member(update, now_ns))

    def change_state(
        self, now_ns: int, name: str, after: MemberState, update: MemberUpdate | None
    ) -> None:
        """Stores the new state of a known member and keeps the other fields of its update."""
        self.store(name, Member(self.by_name[name].update._replace(state=after), now_ns))

    def remove(
        self, now_ns: int, name: str, after: MemberState, update: MemberUpdate | None
    ) -> None:
        """Removes the member from the view."""
        self.store(name, None)

    def roster_hash(self) -> int:
        """Returns a 63-bit hash that is equal for views with the same incarnations.

        The states of the members do not matter, except that members that left are not included.
        """
        return self.incarnations_digest >> 1

    def names_after(self, name: str) -> Iterator[str]:
        """Yields the names that sort after `name`, in order."""
        if self.sorted_names[0] != self.version:
            self.sorted_names = self.version, sorted(self.by_name)
        names = self.sorted_names[1]
        for index in range(bisect_right(names, name), len(names)):
            yield names[index]

    def present_members(self) -> list[Member]:
        """Returns the members that may call downstream."""
        return [member for member in self if member.is_present]

    def count_not_left(self) -> int:
        """Returns how many members may hold a share: all that have not left."""
        return sum(member.state is not MemberState.LEFT for member in self)

    def oldest_present(self) -> MemberUpdate:
        """Returns the present member that was started first, or this one if no member is present.

        The oldest member is the allocator, so that a joining member does not change the allocator.
        """
        present = (member.update for member in self if member.is_present)
        return min(present, key=seniority_key, default=self.own)


def seniority_key(update: MemberUpdate) -> tuple[int, str]:
    """Returns the sort key for the order in which members become the allocator."""
    return update.incarnation, update.name


def hash_update(update: MemberUpdate) -> int:
    """Returns the 64-bit hash of an update; the XOR over all members is the digest of a view."""
    name, address, incarnation, refutation, state = update
    text = f"{name}|{address}|{incarnation}|{refutation}|{int(state)}"
    return int(xxhash.xxh3_64_intdigest(text.encode()))


def _hash_incarnation(member: Member | None) -> int:
    """Returns the hash of a member's incarnation; 0 for None and for a member that left."""
    if member is None or member.state is MemberState.LEFT:
        return 0
    return hash_update(member.update._replace(refutation=0, state=MemberState.ALIVE))


def find_due_inputs(
    members: Iterable[Member], now_ns: int, suspicion_timeout_ns: int, forget_after_ns: int
) -> list[tuple[str, MembershipInput]]:
    """Returns the inputs that are due by time, for `MembershipView.apply_input`.

    Args:
        members: The members to check.
        now_ns: Monotonic time in ns.
        suspicion_timeout_ns: Age of a suspicion after which the suspected member is dead.
        forget_after_ns: Age after which a dead or departed member is removed.

    Returns:
        Names of members, each with SUSPICION_EXPIRED or FORGET_DUE.
    """
    due_inputs = []
    for member in members:
        age_ns = now_ns - member.since_ns
        if member.state is MemberState.SUSPECT and age_ns >= suspicion_timeout_ns:
            due_inputs.append((member.update.name, MembershipInput.SUSPICION_EXPIRED))
        elif member.state >= MemberState.DEAD and age_ns >= forget_after_ns:
            due_inputs.append((member.update.name, MembershipInput.FORGET_DUE))
    return due_inputs


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
    TRANSITION_TABLE, MemberState, MembershipInput, _TESTS.__getitem__, _EFFECTS.__getitem__
)
