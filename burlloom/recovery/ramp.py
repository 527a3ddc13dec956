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


class State(IntEnum):
    RISE = 0
    HOLD = 1
    FULL = 2


class Input(IntEnum):
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


class Ramp:
    """`start`, and `most` as it is told each round: calls in hand. `step` in ns."""

    def __init__(self, start: float, least: float, step: int, now: int) -> None:
        self.cap, self.least, self.step = max(start, least), least, step
        self.state = State.RISE
        self.moved = now
        self.most = float("inf")

    def round(self, now: int, what: Input, most: float) -> bool:
        """Once a round; `most`: what we may have at all. Whether the cap changed."""
        self.most = most
        for test, state, effect in RULES.get((self.state, what), ()):
            if test(self, now):
                before, self.state = self.cap, state
                effect(self, now)
                return self.cap != before
        return False

    def warm(self, cap: float) -> bool:
        """A hint of a former life lifts the beginning, once, and only while nothing speaks against
        it.
        """
        if self.state is not State.RISE or cap <= self.cap:
            return False
        self.cap = cap
        return True

    @property
    def full(self) -> bool:
        return self.state is State.FULL

    # Tests.

    def stepped(self, now: int) -> bool:
        return now - self.moved >= self.step

    def held(self, now: int) -> bool:
        return now - self.moved >= 2 * self.step

    def covered(self, now: int) -> bool:
        return self.stepped(now) and self.cap >= self.most

    def rested(self, now: int) -> bool:
        return now - self.moved >= REST * self.step

    # Effects.

    def widen(self, now: int) -> None:
        self.cap, self.moved = 2 * self.cap, now

    def narrow(self, now: int) -> None:
        self.cap, self.moved = max(self.least, self.cap / 2), now

    def free(self, now: int) -> None:
        self.cap = float("inf")


Test = Callable[[Ramp, int], bool]
Effect = Callable[[Ramp, int], None]


def _test(name: str) -> Test:
    return (lambda ramp, now: True) if name == "-" else getattr(Ramp, name)


def _effect(name: str) -> Effect:
    return (lambda ramp, now: None) if name == "-" else getattr(Ramp, name)


RULES = parse_transitions(TABLE, State, Input, _test, _effect)
