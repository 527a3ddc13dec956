"""What of the store may be used now: writes open at once, time for each, and a breaker. No I/O.

One mechanism for one symptom: the store is slow or gone. A claim that has had its time, or surely
failed, counts; so many in a row, or one that is open for far too long, cut the store off. Then only
`beat`s, commits of their own that no txn waits for, try whether it works again, at growing rests.
"""

from collections import OrderedDict
from enum import IntEnum

MS = 1_000_000
BAD_MOST = 5  # in a row
REST_LEAST, REST_MOST = 250 * MS, 4000 * MS
HANGS = 4  # an open write older than so many times its patience: nothing behind it will fare better
GOOD_BEATS = 2  # in a row, each within its patience, before txns go that way again

State = IntEnum("State", "FLOW CUT TRIAL", start=0)
Input = IntEnum("Input", "GOOD BAD HANG ROUND BEAT_GOOD BEAT_BAD", start=0)

TABLE = """
FLOW  GOOD                   FLOW   clear
FLOW  BAD       few          FLOW   count
FLOW  BAD                    CUT    cut
FLOW  HANG                   CUT    cut
CUT   ROUND     rested       TRIAL  beat
TRIAL BEAT_GOOD more_wanted  TRIAL  beat_more
TRIAL BEAT_GOOD              FLOW   mend
TRIAL BEAT_BAD               CUT    cut_longer
TRIAL ROUND     beat_hangs   CUT    cut_longer
"""


class Budget:
    """`most`: writes open at once. `patience`: ns that a write may take before it counts as bad."""

    def __init__(self, most: int, patience: int) -> None:
        self.most, self.patience = most, patience
        self.state = State.FLOW
        self.open: OrderedDict[int, int] = OrderedDict()  # number -> since
        self.number = self.bad = self.beats = self.cuts = 0
        self.rest, self.until, self.beat_at = REST_LEAST, 0, 0

    def accepts(self, now: int) -> bool:
        """Whether a further claim may go to the store."""
        return self.state is State.FLOW and len(self.open) < self.most and not self.hangs(now)

    def strain(self, now: int) -> float:
        """The age of the oldest open write, of what one may take; 1 and more where the store is cut
        off.
        """
        first = next(iter(self.open.values()), now)
        return max((now - first) / self.patience, float(self.state is not State.FLOW))

    def posted(self, now: int) -> int:
        self.number += 1
        self.open[self.number] = now
        return self.number

    def over(self, number: int, now: int, good: bool) -> str:
        since = self.open.pop(number, now)
        return self.meet(Input.GOOD if good and now - since <= self.patience else Input.BAD, now)

    def round(self, now: int) -> str:
        """`beat` where one is to be made now; so does `beat_over`, with `beat_more`."""
        if self.state is State.FLOW and self.hangs(now):
            return self.meet(Input.HANG, now)
        return self.meet(Input.ROUND, now)

    def beat_over(self, now: int, good: bool) -> str:
        good = good and now - self.beat_at <= self.patience
        return self.meet(Input.BEAT_GOOD if good else Input.BEAT_BAD, now)

    def hangs(self, now: int) -> bool:
        first = next(iter(self.open.values()), now)
        return now - first > HANGS * self.patience

    def meet(self, what: Input, now: int) -> str:
        for tests, state, effect in RULES.get((self.state, what), ()):
            if all(getattr(self, test)(now) for test in tests):
                self.state = state
                getattr(self, "_" + effect)(now)
                return effect
        return ""

    # Tests.

    def few(self, now: int) -> bool:
        return self.bad + 1 < BAD_MOST

    def rested(self, now: int) -> bool:
        return now >= self.until

    def more_wanted(self, now: int) -> bool:
        return self.beats + 1 < GOOD_BEATS

    def beat_hangs(self, now: int) -> bool:
        return now - self.beat_at > HANGS * self.patience

    # Effects.

    def _clear(self, now: int) -> None:
        self.bad = 0

    def _count(self, now: int) -> None:
        self.bad += 1

    def _cut(self, now: int) -> None:
        self.cuts += 1
        self.bad = self.beats = 0
        self.until = now + self.rest

    def _cut_longer(self, now: int) -> None:
        self.rest = min(REST_MOST, 2 * self.rest)
        self._cut(now)

    def _beat(self, now: int) -> None:
        self.beats, self.beat_at = 0, now

    def _beat_more(self, now: int) -> None:
        self.beats, self.beat_at = self.beats + 1, now

    def _mend(self, now: int) -> None:
        self.bad = self.beats = self.beat_at = 0
        self.rest = REST_LEAST


def _rules() -> dict[tuple[State, Input], list[tuple[list[str], State, str]]]:
    found: dict[tuple[State, Input], list[tuple[list[str], State, str]]] = {}
    for state, what, *tests, after, effect in filter(None, map(str.split, TABLE.split("\n"))):
        found.setdefault((State[state], Input[what]), []).append((tests, State[after], effect))
    return found


RULES = _rules()
