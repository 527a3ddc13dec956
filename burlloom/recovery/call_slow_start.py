"""Slow start of downstream calls, modelled on TCP's congestion window (RFC 5681). Does no I/O.

The cap doubles at most once in a step, so at a time T after the start it is at most the initial cap
times 2 ** (T / step). The sum of the caps of a whole fleet is bounded by the same curve.
"""

from collections.abc import Callable
from enum import IntEnum

from ..transition_table import parse_transitions


class CallSlowStartState(IntEnum):
    """States of the slow start."""

    RISE = 0  # the cap doubles with each successful step
    HELD = 1  # the cap was halved and is held for two steps
    FULL = 2  # the cap is removed


class StepOutcome(IntEnum):
    """Outcome of the calls of one step."""

    SUCCEEDED = 0  # enough calls succeeded
    OVERLOADED = 1  # too many calls were rejected, failed or late
    INCONCLUSIVE = 2  # too few calls were made


# Columns: state, input, test, next state, effect; "-" stands for no test or no effect.
TRANSITION_TABLE = """
RISE SUCCEEDED    has_reached_quota     FULL remove_cap
RISE SUCCEEDED    has_step_elapsed      RISE double_cap
RISE INCONCLUSIVE has_been_inconclusive FULL remove_cap
RISE OVERLOADED   has_step_elapsed      HELD halve_cap
HELD SUCCEEDED    has_hold_elapsed      RISE double_cap
HELD INCONCLUSIVE has_hold_elapsed      RISE -
HELD OVERLOADED   has_step_elapsed      HELD halve_cap
"""

# Steps without a change after which an inconclusive step removes the cap.
INCONCLUSIVE_STEPS_BEFORE_REMOVAL = 20


class CallSlowStart:
    """Cap on the concurrent downstream calls of a server after its start.

    Args:
        initial_cap: Initial cap, in concurrent calls.
        min_cap: Lower bound of the cap, in concurrent calls.
        step_ns: Length of a step, ns.
        now_ns: The time, ns on the host's clock.
    """

    def __init__(self, initial_cap: float, min_cap: float, step_ns: int, now_ns: int) -> None:
        self.cap = max(initial_cap, min_cap)
        self.min_cap = min_cap
        self.step_ns = step_ns
        self.state = CallSlowStartState.RISE
        self.changed_at_ns = now_ns
        self.call_quota = float("inf")

    def tick(self, now_ns: int, outcome: StepOutcome, call_quota: float) -> bool:
        """Applies one step's outcome.

        Args:
            now_ns: The time, ns on the host's clock.
            outcome: The outcome of the step.
            call_quota: Concurrent calls that this server may make without the cap.

        Returns:
            Whether the cap changed.
        """
        self.call_quota = call_quota
        for test, state, effect in RULES.get((self.state, outcome), ()):
            if test(self, now_ns):
                before, self.state = self.cap, state
                effect(self, now_ns)
                return self.cap != before
        return False

    def raise_initial_cap(self, cap: float) -> bool:
        """Raises the cap to a snapshot's hint.

        Does nothing if the cap is held, already removed or already higher.

        Args:
            cap: The hint, in concurrent calls.

        Returns:
            Whether the cap changed.
        """
        if self.state is not CallSlowStartState.RISE or cap <= self.cap:
            return False
        self.cap = cap
        return True

    @property
    def is_complete(self) -> bool:
        """Returns whether the slow start is over, and the cap thus removed."""
        return self.state is CallSlowStartState.FULL

    # Tests of the transition table.

    def has_step_elapsed(self, now_ns: int) -> bool:
        """Test: a step has passed since the last change."""
        return now_ns - self.changed_at_ns >= self.step_ns

    def has_hold_elapsed(self, now_ns: int) -> bool:
        """Test: two steps have passed since the last change."""
        return now_ns - self.changed_at_ns >= 2 * self.step_ns

    def has_reached_quota(self, now_ns: int) -> bool:
        """Test: a step has passed since the last change, and the cap reaches the call quota."""
        return self.has_step_elapsed(now_ns) and self.cap >= self.call_quota

    def has_been_inconclusive(self, now_ns: int) -> bool:
        """Test: INCONCLUSIVE_STEPS_BEFORE_REMOVAL steps have passed since the last change."""
        return now_ns - self.changed_at_ns >= INCONCLUSIVE_STEPS_BEFORE_REMOVAL * self.step_ns

    # Effects of the transition table.

    def double_cap(self, now_ns: int) -> None:
        """Effect: doubles the cap."""
        self.cap, self.changed_at_ns = 2 * self.cap, now_ns

    def halve_cap(self, now_ns: int) -> None:
        """Effect: halves the cap, but not below its lower bound."""
        self.cap, self.changed_at_ns = max(self.min_cap, self.cap / 2), now_ns

    def remove_cap(self, now_ns: int) -> None:
        """Effect: removes the cap."""
        self.cap = float("inf")


Test = Callable[[CallSlowStart, int], bool]
Effect = Callable[[CallSlowStart, int], None]


def _test(name: str) -> Test:
    return (lambda slow_start, now_ns: True) if name == "-" else getattr(CallSlowStart, name)


def _effect(name: str) -> Effect:
    return (lambda slow_start, now_ns: None) if name == "-" else getattr(CallSlowStart, name)


RULES = parse_transitions(TRANSITION_TABLE, CallSlowStartState, StepOutcome, _test, _effect)
