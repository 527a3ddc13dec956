"""State machine that decides whether a previous incarnation's snapshot is used. Does no I/O.

It takes two independent decisions. The snapshot's hint (the initial cap of the slow start) is
dropped on any doubt, because a cold start costs only seconds. The fence is raised on any doubt:
while it is up, a marked retry that this node does not know is answered with an error, neither run
nor rejected, because it may have run in an incarnation whose idempotency keys are lost. Peer
addresses need no decision: the peers are contacted in any case, and all messages are sealed.
"""

from collections.abc import Callable
from enum import IntEnum

from ..transition_table import parse_transitions
from .snapshot import SnapshotValidity


class BootstrapState(IntEnum):
    """How far the previous incarnation's snapshot has been verified."""

    READING = 0  # the snapshot has not been validated
    ASKING = 1  # peers and the store are asked whether they know a later incarnation
    COLD = 2  # the snapshot's hint is not used
    WARM = 3  # the snapshot's hint is used


class BootstrapEvent(IntEnum):
    """Inputs of the state machine; the log shows their names in lower case."""

    KEPT_GOOD = 0  # the snapshot is valid
    KEPT_BAD = 1  # the snapshot is torn, foreign or from the future
    KEPT_OLD = 2  # the snapshot is older than the highest age
    KEPT_NONE = 3  # there is no snapshot
    SAID_SAME = 4  # a peer or the store knows no later incarnation than the snapshot's
    SAID_LATER = 5  # a peer or the store knows an incarnation later than the snapshot's
    SAID_EARLIER = 6  # the store knows fewer incarnations: the store was lost or restored
    SAID_LIVED = 7  # there is no snapshot, and a peer knows an earlier incarnation
    SILENT = 8  # neither peers nor the store answered before the timeout


# Columns: state, input, test, next state, effect; "-" stands for no test or no effect.
TRANSITION_TABLE = """
READING KEPT_GOOD    -               ASKING fence_unclean
READING KEPT_BAD     -               COLD   fence
READING KEPT_OLD     -               COLD   fence_unclean
READING KEPT_NONE    -               COLD   -
ASKING  SAID_SAME    -               WARM   use
ASKING  SAID_LATER   -               COLD   fence
ASKING  SAID_EARLIER -               COLD   fence
ASKING  SILENT       is_unverifiable WARM   use
ASKING  SILENT       -               COLD   -
COLD    SAID_LIVED   -               COLD   fence
COLD    SAID_LATER   -               COLD   fence
COLD    SAID_EARLIER -               COLD   fence
WARM    SAID_LATER   -               COLD   fence
WARM    SAID_EARLIER -               COLD   fence
"""

EVENT_BY_VALIDITY = {
    SnapshotValidity.GOOD: BootstrapEvent.KEPT_GOOD,
    SnapshotValidity.OLD: BootstrapEvent.KEPT_OLD,
    SnapshotValidity.MISSING: BootstrapEvent.KEPT_NONE,
    SnapshotValidity.TORN: BootstrapEvent.KEPT_BAD,
    SnapshotValidity.FOREIGN: BootstrapEvent.KEPT_BAD,
    SnapshotValidity.FUTURE: BootstrapEvent.KEPT_BAD,
}


class Bootstrap:
    """State machine of one node's bootstrap.

    Attributes:
        state: The current state.
        fenced_until_ns: When the fence ends, ns on the host's clock; 0 without a fence.
        uses_snapshot: Whether the snapshot's hint is used.

    Args:
        has_no_verifiers: Whether there are neither peers nor a store that could be asked.
        was_drained: Whether the incarnation that wrote the snapshot had drained.
        idempotency_window_ns: How long idempotency keys are valid, ns.
    """

    def __init__(
        self, has_no_verifiers: bool, was_drained: bool, idempotency_window_ns: int
    ) -> None:
        self.has_no_verifiers = has_no_verifiers
        self.was_drained = was_drained
        self.idempotency_window_ns = idempotency_window_ns
        self.state = BootstrapState.READING
        self.fenced_until_ns = 0
        self.uses_snapshot = False

    def handle(self, event: BootstrapEvent, now_ns: int) -> str:
        """Applies the first transition whose test holds.

        Args:
            event: The input.
            now_ns: The time, ns on the host's clock.

        Returns:
            The name of the effect, `nothing` included; empty if no transition applies.
        """
        for test, state, effect in RULES.get((self.state, event), ()):
            if test(self):
                self.state = state
                getattr(self, effect)(now_ns)
                return effect
        return ""

    def is_unverifiable(self) -> bool:
        """Test: there are neither peers nor a store that could be asked."""
        return self.has_no_verifiers

    # Effects of the transition table; the log shows their names.

    def nothing(self, now_ns: int) -> None:
        """Effect: only the state changes."""
        pass

    def use(self, now_ns: int) -> None:
        """Effect: uses the snapshot's hint."""
        self.uses_snapshot = True

    def fence(self, now_ns: int) -> None:
        """Effect: drops the hint and raises the fence for one idempotency window.

        An unknown incarnation ended before `now_ns`, so by the fence's end the idempotency keys of
        all requests that it ran would have expired.
        """
        self.uses_snapshot = False
        self.fenced_until_ns = max(self.fenced_until_ns, now_ns + self.idempotency_window_ns)

    def fence_unclean(self, now_ns: int) -> None:
        """Effect: raises the fence for one window unless the previous incarnation had drained."""
        if not self.was_drained:
            self.fenced_until_ns = max(self.fenced_until_ns, now_ns + self.idempotency_window_ns)


Test = Callable[[Bootstrap], bool]


def _test(name: str) -> Test:
    return (lambda bootstrap: True) if name == "-" else getattr(Bootstrap, name)


RULES = parse_transitions(
    TRANSITION_TABLE,
    BootstrapState,
    BootstrapEvent,
    _test,
    lambda name: "nothing" if name == "-" else name,
)
