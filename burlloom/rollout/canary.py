"""Whether the changed servers do worse than those that are not changed yet, over the same moments.
No I/O.

Both sides serve the same callers at the same time, so a crowd, a slow service below or an hour of
the day is on both. Three shares are held against each other: declined, voided, settled after the
SLA time. One is worse where it is larger by `margin` at least and by more than chance makes of it:
a one-sided test of two proportions (as in Fleiss, "Statistical Methods for Rates and Proportions",
1981), with a bound far out, since it is asked anew each round. And one that is not well is sent
nobody, so nothing speaks against it but that: it is held against the others too.
"""

from collections import deque
from dataclasses import dataclass
from enum import IntEnum
from math import sqrt
from typing import NamedTuple

from .liveness import RequestCounts
from .release import OutcomeRates

FEW_BAD = 5  # txns: one or two that fail by chance are a large share of a few
PAST = 3  # margins that are wanted where nobody is left to compare with at the same time
PARTS, PARTS_BAD = (
    10,
    4,
)  # of a span: failures come in bursts, and one burst is no sign of a bad release


class Verdict(IntEnum):
    MORE = 0  # too few txns to tell
    GOOD = 1
    BAD = 2


@dataclass(frozen=True, slots=True)
class CanarySettings:
    """`span`: ns that count at least. `least`: txns of the changed, before they are good. `margin`:
    of a share; `sigmas`: how far out. `worst`: a share of the changed that is bad, unless the
    others do as badly.
    """

    span: int = 30_000_000_000
    least: int = 100
    margin: float = 0.03
    sigmas: float = 4.0
    worst: float = 0.5


@dataclass(frozen=True, slots=True)
class Evaluation:
    verdict: Verdict
    why: str = ""


class CohortSample(NamedTuple):
    """What one side was asked, and in how many looks at one of its servers it was not `well`."""

    counts: RequestCounts = RequestCounts()
    looks: int = 0
    unwell: int = 0

    def plus(self, other: "CohortSample") -> "CohortSample":
        return CohortSample(
            self.counts.plus(other.counts), self.looks + other.looks, self.unwell + other.unwell
        )

    def less(self, other: "CohortSample") -> "CohortSample":
        return CohortSample(
            self.counts.less(other.counts), self.looks - other.looks, self.unwell - other.unwell
        )

    @property
    def ails(self) -> float:
        return self.unwell / max(1, self.looks)


class ServerSample(NamedTuple):
    """At one server, in service."""

    life: int
    counts: RequestCounts
    changed: bool
    well: bool = True


class CanaryWindow:
    """What was counted on both sides, over the last `span`; further back, up to `longest`, as long
    as the changed were asked for under `least` txns. A server counts from a look at which it was in
    service to the next, if it lived through it.
    """

    def __init__(self, span: int, least: int, longest: int) -> None:
        self.span, self.least, self.longest = span, least, longest
        self.last: dict[str, ServerSample] = {}
        self.rounds: deque[tuple[int, CohortSample, CohortSample]] = deque()
        self.changed, self.others = CohortSample(), CohortSample()
        self.beside = (
            CohortSample()
        )  # of the others, in rounds in which one that is changed was looked at
        self.whole = False  # whether a whole span was looked at

    def clear(self) -> None:
        self.last.clear()
        self.rounds.clear()
        self.changed, self.others, self.beside, self.whole = (
            CohortSample(),
            CohortSample(),
            CohortSample(),
            False,
        )

    def add(self, now: int, looks: dict[str, ServerSample]) -> None:
        sides = [CohortSample(), CohortSample()]
        for name, look in looks.items():
            before = self.last.get(name)
            asked = (
                look.counts.less(before.counts)
                if before is not None and before.life == look.life
                else RequestCounts()
            )
            sides[look.changed] = sides[look.changed].plus(CohortSample(asked, 1, not look.well))
        self.last = looks
        self.rounds.append((now, sides[1], sides[0]))
        self.changed, self.others = self.changed.plus(sides[1]), self.others.plus(sides[0])
        self.beside = self.beside.plus(sides[0]) if sides[1].looks else self.beside
        while (at := self.rounds[0][0]) <= now - self.span:
            self.whole = True
            _, changed, others = self.rounds[0]
            if (
                self.changed.counts.asked - changed.counts.asked < self.least
                and at > now - self.longest
            ):
                break
            self.rounds.popleft()
            self.changed, self.others = self.changed.less(changed), self.others.less(others)
            self.beside = self.beside.less(others) if changed.looks else self.beside

    def lasting(self, name: str) -> bool:
        """Whether the changed failed so in several parts of a span, not in one burst."""
        part = max(1, self.span // PARTS)
        return (
            len({at // part for at, changed, _ in self.rounds if getattr(changed.counts, name)})
            >= PARTS_BAD
        )


def outcome_rates(counts: RequestCounts) -> OutcomeRates:
    asked = max(1, counts.asked)
    return OutcomeRates(
        counts.declined / asked,
        counts.voided / asked,
        counts.late / max(1, counts.settled),
        counts.asked,
    )


def evaluate_canary(
    measure: CanarySettings, evidence: CanaryWindow, reference: OutcomeRates | None
) -> Evaluation:
    """`reference`: what the others did while there were enough of them; in their place where they
    are few.
    """
    changed, others = evidence.changed, evidence.beside
    if (
        evidence.whole
        and changed.looks
        and changed.ails >= measure.worst
        and others.ails < measure.worst / 2
    ):
        return Evaluation(
            Verdict.BAD, f"not well in {changed.ails:.0%} of looks, the others in {others.ails:.0%}"
        )
    mine, its, margin = outcome_rates(changed.counts), outcome_rates(others.counts), measure.margin
    if others.counts.asked < measure.least:
        # Of another hour: what differs may be the hour.
        its, margin = reference or OutcomeRates(asked=0), PAST * measure.margin
    for name in ("declined", "voided", "late"):
        share, usual = getattr(mine, name), getattr(its, name)
        count = changed.counts.settled if name == "late" else mine.asked
        worst = (
            count >= measure.least
            and share >= measure.worst
            and (usual < measure.worst or not its.asked)
        )
        bad = worst or its.asked and worse(margin, measure.sigmas, share, count, usual, its.asked)
        if bad and evidence.lasting(name):
            return Evaluation(
                Verdict.BAD, f"{name} {share:.1%} of {count}, the others {usual:.1%} of {its.asked}"
            )
    return Evaluation(Verdict.GOOD if changed.counts.asked >= measure.least else Verdict.MORE)


def worse(margin: float, sigmas: float, share: float, count: int, usual: float, of: int) -> bool:
    if share * count < FEW_BAD or share - usual < margin:
        return False
    pooled = (share * count + usual * of) / (count + of)
    spread = sqrt(pooled * (1 - pooled) * (1 / count + 1 / of))
    return share - usual > sigmas * spread
