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

MIN_BAD_REQUESTS = 5  # txns: one or two that fail by chance are a large share of a few
BASELINE_MARGIN_FACTOR = (
    3  # margins that are wanted where nobody is left to compare with at the same time
)
WINDOW_PARTS, MIN_BAD_PARTS = (
    10,
    4,
)  # of a span: failures come in bursts, and one burst is no sign of a bad release


# Fields of `OutcomeRates` and `RequestCounts`, each with its word in the reason for a halt.
_OUTCOMES = (("rejected", "declined"), ("failed", "voided"), ("late", "late"))


class Verdict(IntEnum):
    INCONCLUSIVE = 0  # too few txns to tell
    HEALTHY = 1
    UNHEALTHY = 2


@dataclass(frozen=True, slots=True)
class CanarySettings:
    """`span`: ns that count at least. `least`: txns of the changed, before they are good. `margin`:
    of a share; `sigmas`: how far out. `worst`: a share of the changed that is bad, unless the
    others do as badly.
    """

    window_ns: int = 30_000_000_000
    min_requests: int = 100
    min_difference: float = 0.03
    min_sigmas: float = 4.0
    max_rate: float = 0.5


@dataclass(frozen=True, slots=True)
class Evaluation:
    verdict: Verdict
    reason: str = ""


class CohortSample(NamedTuple):
    """What one side was asked, and in how many looks at one of its servers it was not `well`."""

    counts: RequestCounts = RequestCounts()
    samples: int = 0
    unhealthy_samples: int = 0

    def add(self, other: "CohortSample") -> "CohortSample":
        return CohortSample(
            self.counts.add(other.counts),
            self.samples + other.samples,
            self.unhealthy_samples + other.unhealthy_samples,
        )

    def subtract(self, other: "CohortSample") -> "CohortSample":
        return CohortSample(
            self.counts.subtract(other.counts),
            self.samples - other.samples,
            self.unhealthy_samples - other.unhealthy_samples,
        )

    @property
    def unhealthy_rate(self) -> float:
        return self.unhealthy_samples / max(1, self.samples)


class ServerSample(NamedTuple):
    """At one server, in service."""

    incarnation: int
    counts: RequestCounts
    is_changed: bool
    is_healthy: bool = True


class CanaryWindow:
    """What was counted on both sides, over the last `span`; further back, up to `longest`, as long
    as the changed were asked for under `least` txns. A server counts from a look at which it was in
    service to the next, if it lived through it.
    """

    def __init__(self, span: int, least: int, longest: int) -> None:
        self.window_ns, self.min_requests, self.max_window_ns = span, least, longest
        self.last_samples: dict[str, ServerSample] = {}
        self.rounds: deque[tuple[int, CohortSample, CohortSample]] = deque()
        self.changed, self.unchanged = CohortSample(), CohortSample()
        self.concurrent = (
            CohortSample()
        )  # of the others, in rounds in which one that is changed was looked at
        self.is_complete = False  # whether a whole span was looked at

    def clear(self) -> None:
        self.last_samples.clear()
        self.rounds.clear()
        self.changed, self.unchanged, self.concurrent, self.is_complete = (
            CohortSample(),
            CohortSample(),
            CohortSample(),
            False,
        )

    def add(self, now: int, looks: dict[str, ServerSample]) -> None:
        sides = [CohortSample(), CohortSample()]
        for name, look in looks.items():
            before = self.last_samples.get(name)
            asked = (
                look.counts.subtract(before.counts)
                if before is not None and before.incarnation == look.incarnation
                else RequestCounts()
            )
            sides[look.is_changed] = sides[look.is_changed].add(
                CohortSample(asked, 1, not look.is_healthy)
            )
        self.last_samples = looks
        self.rounds.append((now, sides[1], sides[0]))
        self.changed, self.unchanged = self.changed.add(sides[1]), self.unchanged.add(sides[0])
        self.concurrent = self.concurrent.add(sides[0]) if sides[1].samples else self.concurrent
        while (at := self.rounds[0][0]) <= now - self.window_ns:
            self.is_complete = True
            _, changed, others = self.rounds[0]
            if (
                self.changed.counts.total - changed.counts.total < self.min_requests
                and at > now - self.max_window_ns
            ):
                break
            self.rounds.popleft()
            self.changed, self.unchanged = (
                self.changed.subtract(changed),
                self.unchanged.subtract(others),
            )
            self.concurrent = (
                self.concurrent.subtract(others) if changed.samples else self.concurrent
            )

    def is_sustained(self, name: str) -> bool:
        """Whether the changed failed so in several parts of a span, not in one burst."""
        part = max(1, self.window_ns // WINDOW_PARTS)
        return (
            len({at // part for at, changed, _ in self.rounds if getattr(changed.counts, name)})
            >= MIN_BAD_PARTS
        )


def outcome_rates(counts: RequestCounts) -> OutcomeRates:
    asked = max(1, counts.total)
    return OutcomeRates(
        counts.rejected / asked,
        counts.failed / asked,
        counts.late / max(1, counts.completed),
        counts.total,
    )


def evaluate_canary(
    measure: CanarySettings, evidence: CanaryWindow, reference: OutcomeRates | None
) -> Evaluation:
    """`reference`: what the others did while there were enough of them; in their place where they
    are few.
    """
    changed, others = evidence.changed, evidence.concurrent
    if (
        evidence.is_complete
        and changed.samples
        and changed.unhealthy_rate >= measure.max_rate
        and others.unhealthy_rate < measure.max_rate / 2
    ):
        return Evaluation(
            Verdict.UNHEALTHY,
            f"not well in {changed.unhealthy_rate:.0%} of looks, the others in {others.unhealthy_rate:.0%}",
        )
    mine, its, margin = (
        outcome_rates(changed.counts),
        outcome_rates(others.counts),
        measure.min_difference,
    )
    if others.counts.total < measure.min_requests:
        # Of another hour: what differs may be the hour.
        its, margin = (
            reference or OutcomeRates(requests=0),
            BASELINE_MARGIN_FACTOR * measure.min_difference,
        )
    for name, label in _OUTCOMES:
        share, usual = getattr(mine, name), getattr(its, name)
        count = changed.counts.completed if name == "late" else mine.requests
        worst = (
            count >= measure.min_requests
            and share >= measure.max_rate
            and (usual < measure.max_rate or not its.requests)
        )
        bad = (
            worst
            or its.requests
            and is_worse(margin, measure.min_sigmas, share, count, usual, its.requests)
        )
        if bad and evidence.is_sustained(name):
            return Evaluation(
                Verdict.UNHEALTHY,
                f"{label} {share:.1%} of {count}, the others {usual:.1%} of {its.requests}",
            )
    return Evaluation(
        Verdict.HEALTHY if changed.counts.total >= measure.min_requests else Verdict.INCONCLUSIVE
    )


def is_worse(margin: float, sigmas: float, share: float, count: int, usual: float, of: int) -> bool:
    if share * count < MIN_BAD_REQUESTS or share - usual < margin:
        return False
    pooled = (share * count + usual * of) / (count + of)
    spread = sqrt(pooled * (1 - pooled) * (1 / count + 1 / of))
    return share - usual > sigmas * spread
