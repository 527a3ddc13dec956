"""One server, or one instance of a downstream service, as a state machine. No I/O.

All states but IN and GONE count against the disruption budget. The timeout of a permit or of an
absence therefore never frees budget for an instance that has not returned: an absence ends only
when a later incarnation than the one that left is seen, or when the instance is retired.

An instance with a permit begins to leave by a write to the rollout state itself. If the permit was
revoked before, that write does not apply.

An instance in state IN is granted a permit only if the budget has room. A rollback also grants
permits to instances in state BACK or MISSING. They count against the budget already, but may be
serving, so they need a second limit: fewer instances must be sent out than the budget allows.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import IntEnum

from ..transition_table import parse_transitions

__all__ = ["Instance", "InputContext", "InstanceInput", "InstanceState", "apply_input"]


class InstanceState(IntEnum):
    """State of an instance; stored as a number, and shown to operators by its label."""

    IN = 0  # in service as far as is known; does not count against the budget
    GRANTED = 1  # has a permit to leave and has not begun to leave
    OUT = 2  # has begun to leave, by its permit or because its platform stops it
    BACK = 3  # serves again, or did not leave, and has not settled yet
    MISSING = 4  # silent without having reported that it leaves, or not back in time
    GONE = 5  # not part of the rollout state

    @property
    def label(self) -> str:
        """Name of this state in the stored history and in the output for operators."""
        return self.name.lower()


class InstanceInput(IntEnum):
    """Input that moves an instance to its next state."""

    SEEN = 0  # the instance serves, in the incarnation of the input's context
    LOST = 1  # no heartbeat for the heartbeat TTL, or most calls to a downstream instance fail
    LEAVING = 2  # the instance reports that it leaves, because its platform stops it
    PERMIT = 3  # the leader grants a permit to leave
    BEGIN = 4  # the holder of the permit begins to leave
    REVOKE = 5  # the permit is withdrawn before the instance begins to leave
    EXPIRED = 6  # the timeout of the current state has passed
    DRAIN_ENDED = 7  # an operator allows calls to the downstream instance again
    SETTLED = 8  # the instance has been healthy for the settle time since its return
    RETIRE = 9  # an operator removes the instance, or the write-off time has passed

    @property
    def label(self) -> str:
        """Name of this input in the stored history."""
        return _INPUT_LABELS.get(self) or self.name.lower()


_INPUT_LABELS = {
    InstanceInput.LOST: "silent",
    InstanceInput.LEAVING: "parts",
    InstanceInput.PERMIT: "grant",
    InstanceInput.DRAIN_ENDED: "given",
}


# Columns: state, input, test, next state, effect; "-" stands for no test or no effect.
TRANSITION_TABLE = """
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
    """Shared state of one server or downstream instance.

    Attributes:
        state: Current state.
        incarnation: Latest incarnation that was seen serving.
        left_incarnation: Latest incarnation that is known to leave or to have left; 0 if none is.
        since_step: Step of the rollout state at which the instance entered its state.
        version: Version that the instance last served with; empty if unknown.
        next_version: Version that the instance starts with next; empty for the stable version.
        release_number: Number of the release that sent the instance out last; 0 if its last permit
            was for a drain or was cancelled.
        drain_ticket: Identifies an operator's pending order to drain the instance; 0 if there is
            none.
        drain_ms: How long the instance may be out for the drain; 0 for the usual return timeout.
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
        """Whether the instance counts against the budget."""
        return self.state not in (InstanceState.IN, InstanceState.GONE)

    @property
    def is_sent_out(self) -> bool:
        """Whether the instance may use or have used a permit and no later incarnation was seen."""
        if self.state in (InstanceState.GRANTED, InstanceState.OUT):
            return True
        has_left = self.left_incarnation >= self.incarnation
        return self.state is InstanceState.MISSING and has_left


@dataclass(frozen=True, slots=True)
class InputContext:
    """Data that accompanies an input.

    Attributes:
        step: Number of the rollout state's step that applies the input.
        incarnation: Incarnation that the input is about.
        ticket: Drain ticket of the order that the input acts on; 0 if there is none.
        has_budget: Whether the budget has room for another instance out of service.
        has_send_out_budget: Whether fewer instances are sent out than the budget allows, without
            regard to instances that are out for other reasons.
        is_downstream: Whether the instance is a downstream instance; these have no incarnations
            of their own.
    """

    step: int
    incarnation: int = 0
    ticket: int = 0
    has_budget: bool = False
    has_send_out_budget: bool = False
    is_downstream: bool = False


def apply_input(
    instance: Instance, received: InstanceInput, context: InputContext
) -> tuple[Instance, str] | None:
    """Applies the first row of the table whose test holds.

    Returns:
        The instance after the input and the name of the effect; None if no row applies.
    """
    for test, after, effect in RULES.get((instance.state, received), ()):
        if test(instance, context):
            changed = _EFFECTS[effect](instance, context)
            return replace(changed, state=after, since_step=context.step), effect
    return None


# Tests named in the table.


def _always(instance: Instance, context: InputContext) -> bool:
    return True


def _is_newer(instance: Instance, context: InputContext) -> bool:
    return context.incarnation > instance.incarnation


def _is_restarted(instance: Instance, context: InputContext) -> bool:
    """Returns False for a late report of the incarnation that left."""
    return context.incarnation > instance.left_incarnation


def _is_own_permit(instance: Instance, context: InputContext) -> bool:
    """Returns False for another order on the instance and for an earlier incarnation."""
    is_own_order = context.ticket == instance.drain_ticket
    return is_own_order and context.incarnation >= instance.incarnation


def _has_budget(instance: Instance, context: InputContext) -> bool:
    return context.has_budget


def _may_be_sent_again(instance: Instance, context: InputContext) -> bool:
    """Returns whether an instance that counts as out already may be granted a permit.

    Such an instance may be serving, so its permit needs room among the instances sent out.
    """
    return context.has_send_out_budget and instance.left_incarnation < instance.incarnation


def _is_downstream(instance: Instance, context: InputContext) -> bool:
    return context.is_downstream


# Effects named in the table.


def _leave_unchanged(instance: Instance, context: InputContext) -> Instance:
    return instance


def _record_incarnation(instance: Instance, context: InputContext) -> Instance:
    return replace(instance, incarnation=context.incarnation)


def _record_return(instance: Instance, context: InputContext) -> Instance:
    incarnation = max(context.incarnation, instance.incarnation)
    return replace(instance, incarnation=incarnation, drain_ticket=0)


def _record_leaving(instance: Instance, context: InputContext) -> Instance:
    left_incarnation = max(instance.left_incarnation, context.incarnation)
    return replace(instance, left_incarnation=left_incarnation, drain_ticket=0)


def _cancel_permit(instance: Instance, context: InputContext) -> Instance:
    """Clears the release's part, and for a downstream instance its drain ticket.

    The command that requested a downstream drain has ended by then, or repeats its request.
    """
    drain_ticket = 0 if context.is_downstream else instance.drain_ticket
    return replace(instance, release_number=0, next_version="", drain_ticket=drain_ticket)


_Test = Callable[[Instance, InputContext], bool]
_Effect = Callable[[Instance, InputContext], Instance]

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
    "-": _leave_unchanged,
    "mark_missing": _leave_unchanged,
    "cancel_permit": _cancel_permit,
    "record_incarnation": _record_incarnation,
    "record_crash": _record_incarnation,
    "record_return": _record_return,
    "record_leaving": _record_leaving,
}
RULES = parse_transitions(TRANSITION_TABLE, InstanceState, InstanceInput, _TESTS.__getitem__, str)
