"""One server, or one instance of a downstream service, while it leaves service and returns. No I/O.

All states but IN count against the disruption budget, so the end of a permit or of an absence never
frees what is not back: an absence ends by an incarnation later than the one that left, or by
somebody's word that the instance is gone for good.

Whoever holds a permit begins to leave by a step in the rollout state itself; where the permit was
revoked before, there is none to begin on. A permit out of IN needs free budget. One out of BACK or
MISSING, for an instance that is to return to an older version, needs that fewer were sent out than
the budget allows: the instance may be serving, though it counts as out.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import IntEnum

from ..transition_table import parse_transitions

__all__ = ["Instance", "InstanceEvent", "InstanceInput", "InstanceState", "apply_input"]


class InstanceState(IntEnum):
    """Where an instance stands; stored as a number, and named so on operators' pages."""

    IN = 0  # it serves, as far as is known
    GRANTED = 1  # it may leave and has not begun
    OUT = 2  # it has begun to leave, or was told to by its platform
    BACK = 3  # it serves again, or kept on, and has not settled
    MISSING = 4  # it went without a word, or is not back in time
    GONE = 5  # not in the rollout state

    @property
    def label(self) -> str:
        """The word for this state in the stored history and on operators' pages."""
        return self.name.lower()


class InstanceInput(IntEnum):
    """What moves an instance from state to state."""

    SEEN = 0  # it serves, in the incarnation that goes along
    LOST = 1  # no heartbeat for as long as one counts
    LEAVING = 2  # it reports that it is leaving: its platform told it to
    PERMIT = 3
    BEGIN = 4  # by whom the permit is for
    REVOKE = 5
    EXPIRED = 6  # the time for what it was to do is over
    DRAIN_ENDED = 7  # an operator says that it may be called again
    SETTLED = 8  # it has served for long enough since it came back
    RETIRE = 9  # an operator says that it will not come back, or nobody waits any longer

    @property
    def label(self) -> str:
        """The word for this input in the stored history."""
        return _INPUT_LABELS.get(self) or self.name.lower()


_INPUT_LABELS = {
    InstanceInput.LOST: "silent",
    InstanceInput.LEAVING: "parts",
    InstanceInput.PERMIT: "grant",
    InstanceInput.DRAIN_ENDED: "given",
}


TABLE = """
GONE    SEEN        -                 BACK    record_incarnation
IN      SEEN        is_newer          BACK    record_crash
IN      LOST        -                 MISSING mark_missing
IN      LEAVING     -                 OUT     record_leaving
IN      PERMIT      has_budget        GRANTED -
IN      RETIRE      -                 GONE    -
GRANTED SEEN        is_newer          BACK    record_crash
GRANTED LOST        -                 MISSING cancel_permit
GRANTED LEAVING     -                 OUT     record_leaving
GRANTED BEGIN       is_own_permit     OUT     record_leaving
GRANTED REVOKE      -                 BACK    cancel_permit
GRANTED EXPIRED     -                 BACK    cancel_permit
GRANTED RETIRE      -                 GONE    -
OUT     SEEN        is_restarted      BACK    record_return
OUT     DRAIN_ENDED -                 BACK    record_return
OUT     EXPIRED     is_downstream     BACK    record_return
OUT     EXPIRED     -                 MISSING mark_missing
OUT     RETIRE      -                 GONE    -
BACK    SEEN        is_newer          BACK    record_crash
BACK    LOST        -                 MISSING mark_missing
BACK    LEAVING     -                 OUT     record_leaving
BACK    SETTLED     -                 IN      -
BACK    EXPIRED     -                 MISSING mark_missing
BACK    PERMIT      may_be_sent_again GRANTED -
BACK    RETIRE      -                 GONE    -
MISSING SEEN        is_restarted      BACK    record_return
MISSING PERMIT      may_be_sent_again GRANTED -
MISSING RETIRE      -                 GONE    -
"""


@dataclass(frozen=True, slots=True)
class Instance:
    """What is agreed on one server or downstream instance.

    Attributes:
        state: Where it stands.
        incarnation: The one that served last.
        left_incarnation: One that is known to leave; 0 where none is.
        since_step: The rollout state's step that brought it to its state.
        version: That it served with last.
        next_version: That it is to start with next; empty: the stable one.
        release_number: Of the release that sent it out last.
        drain_ticket: Of an operator's order to take it out; 0: none.
        drain_ms: How long it is to be out; 0: as long as any other.
    """

    state: InstanceState = InstanceState.GONE
    incarnation: int = 0
    left_incarnation: int = 0
    since_step: int = 0
    version: str = ""
    next_version: str = ""
    release_number: int = 0
    drain_ticket: int = 0
    drain_ms: int = 0

    @property
    def is_out(self) -> bool:
        """Whether it counts against the budget."""
        return self.state not in (InstanceState.IN, InstanceState.GONE)

    @property
    def was_sent_out(self) -> bool:
        """Whether it may have left with a permit, or may yet, and has not been seen since."""
        if self.state in (InstanceState.GRANTED, InstanceState.OUT):
            return True
        has_left = self.left_incarnation >= self.incarnation
        return self.state is InstanceState.MISSING and has_left


@dataclass(frozen=True, slots=True)
class InstanceEvent:
    """What goes along with an input.

    Attributes:
        step: The rollout state's, that the input is.
        incarnation: Of whom it concerns.
        ticket: Of the order on which it acts.
        has_budget: Whether a permit is free.
        has_sent_budget: Whether fewer were sent out than the budget allows, whoever else is out.
        is_downstream: Whether it is a downstream instance, whose incarnations nobody counts.
    """

    step: int
    incarnation: int = 0
    ticket: int = 0
    has_budget: bool = False
    has_sent_budget: bool = False
    is_downstream: bool = False


def apply_input(
    instance: Instance, received: InstanceInput, event: InstanceEvent
) -> tuple[Instance, str] | None:
    """Moves an instance by the first row of the table whose test holds.

    Returns:
        The instance after it and the effect's name; None where no row holds.
    """
    for test, after, effect in RULES.get((instance.state, received), ()):
        if test(instance, event):
            changed = _EFFECTS[effect](instance, event)
            return replace(changed, state=after, since_step=event.step), effect
    return None


# Tests of the table.


def _always(instance: Instance, event: InstanceEvent) -> bool:
    return True


def _is_newer(instance: Instance, event: InstanceEvent) -> bool:
    return event.incarnation > instance.incarnation


def _is_restarted(instance: Instance, event: InstanceEvent) -> bool:
    """A late report of the incarnation that left does not bring it back."""
    return event.incarnation > instance.left_incarnation


def _is_own_permit(instance: Instance, event: InstanceEvent) -> bool:
    """Not another's order on the same instance, nor one of an incarnation before."""
    is_own_order = event.ticket == instance.drain_ticket
    return is_own_order and event.incarnation >= instance.incarnation


def _has_budget(instance: Instance, event: InstanceEvent) -> bool:
    return event.has_budget


def _may_be_sent_again(instance: Instance, event: InstanceEvent) -> bool:
    """It counts as out already, but may be serving: it waits for those that were sent out."""
    return event.has_sent_budget and instance.left_incarnation < instance.incarnation


def _is_downstream(instance: Instance, event: InstanceEvent) -> bool:
    return event.is_downstream


# Effects of the table.


def _keep(instance: Instance, event: InstanceEvent) -> Instance:
    return instance


def _record_incarnation(instance: Instance, event: InstanceEvent) -> Instance:
    return replace(instance, incarnation=event.incarnation)


def _record_return(instance: Instance, event: InstanceEvent) -> Instance:
    incarnation = max(event.incarnation, instance.incarnation)
    return replace(instance, incarnation=incarnation, drain_ticket=0)


def _record_leaving(instance: Instance, event: InstanceEvent) -> Instance:
    left_incarnation = max(instance.left_incarnation, event.incarnation)
    return replace(instance, left_incarnation=left_incarnation, drain_ticket=0)


def _cancel_permit(instance: Instance, event: InstanceEvent) -> Instance:
    """Whoever waited for a downstream instance is gone by now, or asks anew."""
    drain_ticket = 0 if event.is_downstream else instance.drain_ticket
    return replace(instance, release_number=0, next_version="", drain_ticket=drain_ticket)


_Test = Callable[[Instance, InstanceEvent], bool]
_Effect = Callable[[Instance, InstanceEvent], Instance]

_TESTS: dict[str, _Test] = {
    "-": _always,
    "is_newer": _is_newer,
    "is_restarted": _is_restarted,
    "is_own_permit": _is_own_permit,
    "has_budget": _has_budget,
    "may_be_sent_again": _may_be_sent_again,
    "is_downstream": _is_downstream,
}
_EFFECTS: dict[str, _Effect] = {
    "-": _keep,
    "mark_missing": _keep,
    "cancel_permit": _cancel_permit,
    "record_incarnation": _record_incarnation,
    "record_crash": _record_incarnation,
    "record_return": _record_return,
    "record_leaving": _record_leaving,
}
RULES = parse_transitions(TABLE, InstanceState, InstanceInput, _TESTS.__getitem__, str)
