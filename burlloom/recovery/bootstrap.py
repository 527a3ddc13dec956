"""Whether what a former life left is acted on: a table. No I/O.

States: READING nothing is known yet; ASKING what was kept looks good, and peers or the store are
asked whether a later life than that one is known; COLD nothing kept is acted on; WARM what was kept
is.

Two things are decided apart from each other. Hints (where to begin the ramp) are dropped at the
least doubt: cold costs seconds. The fence is raised at the least doubt: while it stands, a marked
retry of which nothing is known here is voided, as it may have run in a life of which the marks are
lost. Addresses of others are no decision: they are asked in any case, and letters are sealed.
"""

from collections.abc import Callable
from enum import IntEnum

from ..transition_table import parse_transitions
from .snapshot import SnapshotValidity


class BootstrapState(IntEnum):
    READING = 0
    ASKING = 1
    COLD = 2
    WARM = 3


class BootstrapEvent(IntEnum):
    KEPT_GOOD = 0
    KEPT_BAD = 1  # torn, another's, of the future
    KEPT_OLD = 2
    KEPT_NONE = 3
    SAID_SAME = 4  # a peer, or the store, knows no later life than the one that wrote it
    SAID_LATER = 5  # it knows a later one: what was kept is of an older epoch
    SAID_EARLIER = (
        6  # the store knows less than what was kept: it was lost, or put back from before
    )
    SAID_LIVED = 7  # nothing was kept, and a peer knows that we lived
    SILENT = 8  # nobody has said anything in time


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

OF_VERDICT = {
    SnapshotValidity.GOOD: BootstrapEvent.KEPT_GOOD,
    SnapshotValidity.OLD: BootstrapEvent.KEPT_OLD,
    SnapshotValidity.MISSING: BootstrapEvent.KEPT_NONE,
    SnapshotValidity.TORN: BootstrapEvent.KEPT_BAD,
    SnapshotValidity.FOREIGN: BootstrapEvent.KEPT_BAD,
    SnapshotValidity.FUTURE: BootstrapEvent.KEPT_BAD,
}


class Bootstrap:
    """`lonely`: there are neither peers nor a store to ask. `clean`: the life that wrote had
    drained. Times in ns.
    """

    def __init__(self, lonely: bool, clean: bool, window: int) -> None:
        self.has_no_peers, self.was_drained, self.idempotency_window_ns = lonely, clean, window
        self.state = BootstrapState.READING
        self.fenced_until_ns = 0
        self.uses_snapshot = False

    def handle(self, what: BootstrapEvent, now: int) -> str:
        """Gives the effect; empty where no row holds."""
        for test, state, effect in RULES.get((self.state, what), ()):
            if test(self):
                self.state = state
                getattr(self, effect)(now)
                return effect
        return ""

    def lonely(self) -> bool:
        return self.has_no_peers

    # Effects.

    def nothing(self, now: int) -> None:
        pass

    def use(self, now: int) -> None:
        self.uses_snapshot = True

    def fence(self, now: int) -> None:
        """A life that we know nothing of ended before now: what it ran is within its window until
        then.
        """
        self.uses_snapshot = False
        self.fenced_until_ns = max(self.fenced_until_ns, now + self.idempotency_window_ns)

    def fence_unclean(self, now: int) -> None:
        if not self.was_drained:
            self.fenced_until_ns = max(self.fenced_until_ns, now + self.idempotency_window_ns)


Test = Callable[[Bootstrap], bool]


def _test(name: str) -> Test:
    return (lambda start: True) if name == "-" else getattr(Bootstrap, name)


RULES = parse_transitions(
    TABLE, BootstrapState, BootstrapEvent, _test, lambda name: "nothing" if name == "-" else name
)
