"""Whether the changed servers do worse than those that are not changed yet, over the same moments. No I/O.

Both sides serve the same callers at the same time, so a crowd, a slow service below or an hour of the day is on
both. Three shares are held against each other: declined, voided, settled after the SLA time. One is worse where it is
larger by `margin` at least and by more than chance makes of it: a one-sided test of two proportions (as in
Fleiss, "Statistical Methods for Rates and Proportions", 1981), with a bound far out, since it is asked anew each
round.
"""

from collections import deque
from dataclasses import dataclass
from enum import IntEnum
from math import sqrt

from .plan import Rates
from .watch import Counts


class Verdict(IntEnum):
    MORE = 0  # too few txns to tell
    GOOD = 1
    BAD = 2


@dataclass(frozen=True, slots=True)
class Measure:
    """`span`: ns that count. `least`: txns of the changed, before anything is said of them. `margin`: of a
    share; `sigmas`: how far out. `worst`: a share of the changed that is bad whatever the others do."""

    span: int = 30_000_000_000
    least: int = 100
    margin: float = 0.03
    sigmas: float = 4.0
    worst: float = 0.5


@dataclass(frozen=True, slots=True)
class Found:
    verdict: Verdict
    why: str = ""


class Evidence:
    """What was counted on both sides, over the last `span`. A server counts from a moment at which it was in
    service to the next, if it lived through it."""

    def __init__(self, span: int) -> None:
        self.span = span
        self.last: dict[str, tuple[int, Counts]] = {}
        self.rounds: deque[tuple[int, Counts, Counts]] = deque()

    def clear(self) -> None:
        self.last.clear()
        self.rounds.clear()

    def add(self, now: int, serving: dict[str, tuple[int, Counts, bool]]) -> None:
        """`serving`: by name its life, its counts, whether it is changed."""
        sides = [Counts(), Counts()]
        for name, (life, counts, changed) in serving.items():
            before = self.last.get(name)
            if before is not None and before[0] == life:
                sides[changed] = sides[changed].plus(counts.less(before[1]))
        self.last = {name: (life, counts) for name, (life, counts, _) in serving.items()}
        self.rounds.append((now, sides[1], sides[0]))
        while self.rounds[0][0] <= now - self.span:
            self.rounds.popleft()

    def sides(self) -> tuple[Counts, Counts]:
        """Of the changed, of the others."""
        changed, others = Counts(), Counts()
        for _, one, other in self.rounds:
            changed, others = changed.plus(one), others.plus(other)
        return changed, others


def rates(counts: Counts) -> Rates:
    asked = max(1, counts.asked)
    return Rates(counts.declined / asked, counts.voided / asked, counts.late / max(1, counts.settled), counts.asked)


def judge(measure: Measure, changed: Counts, others: Counts, reference: Rates | None) -> Found:
    """`reference`: what the others did while there were enough of them; in their place where they are few."""
    if changed.asked < measure.least:
        return Found(Verdict.MORE)
    mine, its = rates(changed), rates(others)
    if others.asked < measure.least:
        its = reference or Rates(asked=0)
    for name in ("declined", "voided", "late"):
        share, usual = getattr(mine, name), getattr(its, name)
        count = changed.settled if name == "late" else changed.asked
        if share >= measure.worst and count >= measure.least and (usual < measure.worst or not its.asked):
            return Found(Verdict.BAD, f"{name} {share:.1%} of {count}")
        if its.asked and worse(measure, share, count, usual, its.asked):
            return Found(Verdict.BAD, f"{name} {share:.1%} of {count}, the others {usual:.1%} of {its.asked}")
    return Found(Verdict.GOOD)


def worse(measure: Measure, share: float, count: int, usual: float, of: int) -> bool:
    if not count or share - usual < measure.margin:
        return False
    pooled = (share * count + usual * of) / (count + of)
    spread = sqrt(pooled * (1 - pooled) * (1 / count + 1 / of))
    return share - usual > measure.sigmas * spread
