"""One member's share of the calls below: what was granted, and what is left of it where no grant
comes. No I/O.

States: COLD nothing was granted in this life, so nothing is held; HOLDING a grant's lease runs;
ADRIFT it ran out: an equal share is kept, or what was held if that is less, as nobody deals that
anew yet; CUT nothing was granted in the name of half of the fleet for `Terms.cut`, or we stood
still for so long: the floor, since the others may share out the rest by now. No state goes up but
by a grant. What we hear does not count: where letters pass one way only, who hears all may be dead
to all.
"""

from collections.abc import Callable
from enum import IntEnum

from ..transition_table import parse_transitions
from .deal import Terms


class State(IntEnum):
    COLD = 0
    HOLDING = 1
    ADRIFT = 2
    CUT = 3


class Input(IntEnum):
    GRANT = 0
    ROUND = 1
    GAP = 2  # nothing was done here for longer than `cut`


TABLE = """
COLD    GRANT -       HOLDING take
COLD    ROUND unsure  CUT     sink
COLD    GAP   -       COLD    -
HOLDING GRANT -       HOLDING take
HOLDING ROUND unsure  CUT     sink
HOLDING ROUND lapsed  ADRIFT  fall
HOLDING GAP   -       CUT     sink
ADRIFT  GRANT -       HOLDING take
ADRIFT  ROUND unsure  CUT     sink
ADRIFT  ROUND -       ADRIFT  fall
ADRIFT  GAP   -       CUT     sink
CUT     GRANT sure    HOLDING take
"""


class Holder:
    """`share` in thousandths of a call. `members`: how many the fleet has, as we know it."""

    def __init__(self, terms: Terms, now: int) -> None:
        self.terms, self.state = terms, State.COLD
        self.share = self.granted = 0
        self.until = now
        self.sure_at = now  # when the last grant in the name of half of the fleet was asked for
        self.is_sure = False
        self.members = terms.least

    def grant(self, now: int, share: int, asked_at: int, sure: bool) -> None:
        """`asked_at`: when the report left that it answers; its lease counts from there."""
        if asked_at + self.terms.lease > now:
            self.granted, self.until, self.is_sure = share, asked_at + self.terms.lease, sure
            if sure:
                self.sure_at = asked_at
            self.meet(now, Input.GRANT)

    def round(self, now: int, members: int, gap: bool = False) -> None:
        """`members`: of the fleet, as we know it."""
        self.members = members
        self.meet(now, Input.GAP if gap else Input.ROUND)

    def meet(self, now: int, what: Input) -> None:
        for test, state, effect in RULES.get((self.state, what), ()):
            if test(self, now):
                self.state = state
                effect(self, now)
                return

    # Tests.

    def lapsed(self, now: int) -> bool:
        return now >= self.until

    def unsure(self, now: int) -> bool:
        return now - self.sure_at >= self.terms.cut

    def sure(self, now: int) -> bool:
        return self.is_sure

    # Effects.

    def take(self, now: int) -> None:
        self.share = self.granted

    def fall(self, now: int) -> None:
        self.share = min(self.share, self.terms.equal(self.members))

    def sink(self, now: int) -> None:
        lowest = self.terms.lowest(self.members)
        # A cold one has nothing that could be dealt anew, but must not stay without a call for
        # good.
        self.share = lowest if not self.granted else min(self.share, lowest)


Test = Callable[[Holder, int], bool]
Effect = Callable[[Holder, int], None]


def _test(name: str) -> Test:
    return (lambda holder, now: True) if name == "-" else getattr(Holder, name)


def _effect(name: str) -> Effect:
    return (lambda holder, now: None) if name == "-" else getattr(Holder, name)


RULES = parse_transitions(TABLE, State, Input, _test, _effect)
