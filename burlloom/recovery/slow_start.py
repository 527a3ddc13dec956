"""How the calls below rise after a start: slow start with a bound, as of a connection's window (RFC
5681). No I/O.

States: RISE the cap doubles each `step`, if calls were made and came back well; HOLD it was pushed
back, and stays for two steps; FULL there is no cap any more. Whatever happens, the cap never
doubles more than once in a step, so T after the start it is at most what it began with times 2 to
the T over step: the sum over a whole fleet is bounded by the same curve.
"""

from collections.abc import Callable
from enum import IntEnum

from ..transition_table import parse_transitions


class SlowStartState(IntEnum):
    RISE = 0
    HOLD = 1
    FULL = 2


class StepOutcome(IntEnum):
    WELL = 0  # calls of this step came back well
    PUSHED = 1  # too many were refused, failed or late
    QUIET = 2  # too few were made to say anything


TABLE = """
RISE WELL   covered FULL free
RISE WELL   stepped RISE widen
RISE QUIET  rested  FULL free
RISE PUSHED stepped HOLD narrow
HOLD WELL   held    RISE widen
HOLD QUIET  held    RISE -
HOLD PUSHED stepped HOLD narrow
"""

REST = 20  # steps without a call that matters: there is nothing to be careful of


class SlowStart:
    """`start`, and `most` as it is told each round: calls in hand. `step` in ns."""

    def __init__(self, start: float, least: float, step: int, now: int) -> None:
        self.cap, self.min_cap, self.step_ns = max(start, least), least, step
        self.state = SlowStartState.RISE
        self.changed_at_ns = now
        self.call_quota = float("inf")

    def tick(self, now: int, what: StepOutcome, most: float) -> bool:
        """Once a round; `most`: what we may have at all. Whether the cap changed."""
        self.call_quota = most
        for test, state, effect in RULES.get((self.state, what), ()):
            if test(self, now):
                before, self.state = self.cap, state
                effect(self, now)
                return self.cap != before
        return False

    def raise_initial_cap(self, cap: float) -> bool:
        """A hint of a former life lifts the beginning, once, and only while nothing speaks against
        it.
        """
        if self.state is not SlowStartState.RISE or cap <= self.cap:
            return False
        self.cap = cap
        return True

    @property
    def is_complete(self) -> bool:
        return self.state is SlowStartState.FULL

    # Tests.

    def stepped(self, now: int) -> bool:
        return now - self.changed_at_ns >= self.step_ns

    def held(self, now: int) -> bool:
        return now - self.changed_at_ns >= 2 * self.step_ns

    def covered(self, now: int) -> bool:
        return self.stepped(now) and self.cap >= self.call_quota

    def rested(self, now: int) -> bool:
        return now - self.changed_at_ns >= REST * self.step_ns

    # Effects.

    def widen(self, now: int) -> None:
        self.cap, self.changed_at_ns = 2 * self.cap, now

    def narrow(self, now: int) -> None:
        self.cap, self.changed_at_ns = max(self.min_cap, self.cap / 2), now

    def free(self, now: int) -> None:
        self.cap = float("inf")


Test = Callable[[SlowStart, int], bool]
Effect = Callable[[SlowStart, int], None]


def _test(name: str) -> Test:
    return (lambda ramp, now: True) if name == "-" else getattr(SlowStart, name)


def _effect(name: str) -> Effect:
    return (lambda ramp, now: None) if name == "-" else getattr(SlowStart, name)


RULES = parse_transitions(TABLE, SlowStartState, StepOutcome, _test, _effect)
