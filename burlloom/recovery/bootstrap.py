"""State machine that decides whether a previous incarnation's snapshot is used. No I/O.

Two decisions are independent. Hints (the initial cap of the slow start) are dropped on any doubt: a
cold start costs seconds. The fence is raised on any doubt: while it stands, a marked retry that
this node knows nothing of is voided, as it may have run in an incarnation whose idempotency marks
are lost. Peer addresses need no decision: they are contacted in any case, and messages are sealed.
"""

from collections.abc import Callable
from enum import IntEnum

from ..transition_table import parse_transitions
from .snapshot import SnapshotValidity


class BootstrapState(IntEnum):
    """What is known of the previous incarnation's snapshot."""

    READING = 0
    ASKING = 1
    COLD = 2
    WARM = 3


class BootstrapEvent(IntEnum):
    """Inputs of the state machine; the log shows their names in lower case."""

    KEPT_GOOD = 0
    KEPT_BAD = 1  # torn, foreign or from the future
    KEPT_OLD = 2
    KEPT_NONE = 3
    SAID_SAME = 4  # a peer or the store knows no later incarnation than the snapshot
    SAID_LATER = 5  # a later incarnation is known: the snapshot is of an older epoch
    SAID_EARLIER = 6  # the store knows fewer incarnations: it was lost or restored
    SAID_LIVED = 7  # there is no snapshot, and a peer knows an earlier incarnation
    SILENT = 8  # no answer before the timeout


TABLE = """
READING KEPT_GOOD    -      ASKING fence_unclean
READING KEPT_BAD     -      COLD   fence
READING KEPT_OLD     -      COLD   fence_unclean
READING KEPT_NONE    -      COLD   -
ASKING  SAID_SAME    -      WARM   use
ASKING  SAID_LATER   -      COLD   fence
ASKING  SAID_EARLIER -      COLD   fence
ASKING  SILENT       lonely WARM   use
ASKING  SILENT       -      COLD   -
COLD    SAID_LIVED   -      COLD   fence
COLD    SAID_LATER   -      COLD   fence
COLD    SAID_EARLIER -      COLD   fence
WARM    SAID_LATER   -      COLD   fence
WARM    SAID_EARLIER -      COLD   fence
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
    """State of one node's bootstrap.

    Attributes:
        state: The current state.
        fenced_until_ns: When the fence ends, ns on the host's clock; 0 without a fence.
        uses_snapshot: Whether the snapshot's hints are used.

    Args:
        has_no_peers: Whether there are neither peers nor a store to query.
        was_drained: Whether the incarnation that wrote the snapshot had drained.
        idempotency_window_ns: How long idempotency marks are valid, ns.
    """

    def __init__(self, has_no_peers: bool, was_drained: bool, idempotency_window_ns: int) -> None:
        self.has_no_peers = has_no_peers
        self.was_drained = was_drained
        self.idempotency_window_ns = idempotency_window_ns
        self.state = BootstrapState.READING
        self.fenced_until_ns = 0
        self.uses_snapshot = False

    def handle(self, event: BootstrapEvent, now: int) -> str:
        """Applies the first transition whose test holds.

        Args:
            event: The input.
            now: The time, ns on the host's clock.

        Returns:
            The name of the effect, `nothing` included; empty where no transition applies.
        """
        for test, state, effect in RULES.get((self.state, event), ()):
            if test(self):
                self.state = state
                getattr(self, effect)(now)
                return effect
        return ""

    def lonely(self) -> bool:
        """Test: there are neither peers nor a store to query."""
        return self.has_no_peers

    # Effects.

    def nothing(self, now: int) -> None:
        """Effect: only the state changes."""
        pass

    def use(self, now: int) -> None:
        """Effect: the snapshot's hints are used."""
        self.uses_snapshot = True

    def fence(self, now: int) -> None:
        """Effect: drops the hints and raises the fence for one idempotency window.

        An unknown incarnation ended before `now`, so the marks of what it ran expire by then.
        """
        self.uses_snapshot = False
        self.fenced_until_ns = max(self.fenced_until_ns, now + self.idempotency_window_ns)

    def fence_unclean(self, now: int) -> None:
        """Effect: raises the fence for one window unless the previous incarnation had drained."""
        if not self.was_drained:
            self.fenced_until_ns = max(self.fenced_until_ns, now + self.idempotency_window_ns)


Test = Callable[[Bootstrap], bool]


def _test(name: str) -> Test:
    return (lambda start: True) if name == "-" else getattr(Bootstrap, name)


RULES = parse_transitions(
    TABLE, BootstrapState, BootstrapEvent, _test, lambda name: "nothing" if name == "-" else name
)
