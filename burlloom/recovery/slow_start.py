"""Slow start of downstream calls, modelled on a connection's window (RFC 5681). No I/O.

The cap never doubles more than once in a step, so at time T after the start it is at most the
initial cap times 2 to the T over step: the sum over a whole fleet is bounded by the same curve.
"""

from collections.abc import Callable
from enum import IntEnum

from ..transition_table import parse_transitions


class SlowStartState(IntEnum):
    """Whether the cap doubles, is held for two steps after a step back, or is off."""

    RISE = 0
    HELD = 1
    FULL = 2


class StepOutcome(IntEnum):
    """How the calls of one step ended."""

    WELL = 0  # calls succeeded
    PUSHED = 1  # too many were refused, failed or late
    QUIET = 2  # too few calls to judge by


TABLE = """
RISE WELL   covered FULL free
RISE WELL   stepped RISE widen
RISE QUIET  rested  FULL free
RISE PUSHED stepped HELD narrow
HELD WELL   held    RISE widen
HELD QUIET  held    RISE -
HELD PUSHED stepped HELD narrow
"""

IDLE_STEPS = 20  # without enough calls to judge by: the cap is removed


class SlowStart:
    """The cap on concurrent calls after a start.

    Args:
        initial_cap: The initial cap, concurrent calls.
        min_cap: The cap's lower bound, concurrent calls.
        step_ns: Length of a step, ns.
        now: The time, ns on the host's clock.
    """

    def __init__(self, initial_cap: float, min_cap: float, step_ns: int, now: int) -> None:
        self.cap = max(initial_cap, min_cap)
        self.min_cap = min_cap
        self.step_ns = step_ns
        self.state = SlowStartState.RISE
        self.changed_at_ns = now
        self.call_quota = float("inf")

    def tick(self, now: int, outcome: StepOutcome, call_quota: float) -> bool:
        """Applies one step's outcome.

        Args:
            now: The time, ns on the host's clock.
            outcome: The outcome of the step.
            call_quota: The calls that this node is granted without a cap.

        Returns:
            Whether the cap changed.
        """
        self.call_quota = call_quota
        for test, state, effect in RULES.get((self.state, outcome), ()):
            if test(self, now):
                before, self.state = self.cap, state
                effect(self, now)
                return self.cap != before
        return False

    def raise_initial_cap(self, cap: float) -> bool:
        """Raises the cap to a snapshot's hint, unless it is held, over or already higher.

        Returns:
            Whether the cap changed.
        """
        if self.state is not SlowStartState.RISE or cap <= self.cap:
            return False
        self.cap = cap
        return True

    @property
    def is_complete(self) -> bool:
        """Whether the slow start is over."""
        return self.state is SlowStartState.FULL

    # Tests.

    def stepped(self, now: int) -> bool:
        """Test: a step has passed since the last change."""
        return now - self.changed_at_ns >= self.step_ns

    def held(self, now: int) -> bool:
        """Test: two steps have passed since the last change."""
        return now - self.changed_at_ns >= 2 * self.step_ns

    def covered(self, now: int) -> bool:
        """Test: a step has passed, and the cap reaches what this node is granted."""
        return self.stepped(now) and self.cap >= self.call_quota

    def rested(self, now: int) -> bool:
        """Test: the idle steps have passed without a change."""
        return now - self.changed_at_ns >= IDLE_STEPS * self.step_ns

    # Effects.

    def widen(self, now: int) -> None:
        """Effect: doubles the cap."""
        self.cap, self.changed_at_ns = 2 * self.cap, now

    def narrow(self, now: int) -> None:
        """Effect: halves the cap, down to its lower bound."""
        self.cap, self.changed_at_ns = max(self.min_cap, self.cap / 2), now

    def free(self, now: int) -> None:
        """Effect: removes the cap."""
        self.cap = float("inf")


Test = Callable[[SlowStart, int], bool]
Effect = Callable[[SlowStart, int], None]


def _test(name: str) -> Test:
    return (lambda ramp, now: True) if name == "-" else getattr(SlowStart, name)


def _effect(name: str) -> Effect:
    return (lambda ramp, now: None) if name == "-" else getattr(SlowStart, name)


RULES = parse_transitions(TABLE, SlowStartState, StepOutcome, _test, _effect)
