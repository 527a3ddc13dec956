"""Whether changed servers do worse than those that are not changed yet, at the same time. No I/O.

Both sides serve the same callers at the same time, so a peak, a slow downstream service or an hour
of the day is on both. Three shares are compared: rejected, failed, completed late. One is worse
where it is larger by `min_difference` at least and by more than chance makes of it: a one-sided
test of two proportions (as in Fleiss, "Statistical Methods for Rates and Proportions", 1981), with
a bound far out, since it is asked anew each round. A server that is not healthy is sent no
requests, so nothing speaks against it but that: it is compared too.
"""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum
from math import sqrt
from typing import NamedTuple

from .liveness import RequestCounts
from .release import OutcomeRates
from .settings import CanarySettings

__all__ = [
    "CanaryWindow",
    "CohortSample",
    "Evaluation",
    "ServerSample",
    "Verdict",
    "WindowRound",
    "evaluate_canary",
    "outcome_rates",
]

# One or two requests that fail by chance are a large share of a few.
MIN_BAD_REQUESTS = 5
# The baseline is of another hour, and what differs may be the hour.
BASELINE_DIFFERENCE_FACTOR = 3
# Failures come in bursts, and one burst is no sign of a bad release.
WINDOW_PARTS = 10
MIN_BAD_PARTS = 4

# Fields of `OutcomeRates` and `RequestCounts`, each with its word in the reason for a halt.
_OUTCOMES = (("rejected", "declined"), ("failed", "voided"), ("late", "late"))


class Verdict(IntEnum):
    """What the comparison says of the changed servers."""

    INCONCLUSIVE = 0  # too few requests to tell
    HEALTHY = 1
    UNHEALTHY = 2


@dataclass(frozen=True, slots=True)
class Evaluation:
    """A verdict; `reason` says in an operator's words what is unhealthy."""

    verdict: Verdict
    reason: str = ""


class CohortSample(NamedTuple):
    """What one side did.

    Attributes:
        counts: Its requests.
        samples: Looks at its servers.
        unhealthy_samples: Of these, with the server not healthy.
    """

    counts: RequestCounts = RequestCounts()
    samples: int = 0
    unhealthy_samples: int = 0

    def add(self, other: "CohortSample") -> "CohortSample":
        """Returns the sum."""
        return CohortSample(
            self.counts.add(other.counts),
            self.samples + other.samples,
            self.unhealthy_samples + other.unhealthy_samples,
        )

    def subtract(self, other: "CohortSample") -> "CohortSample":
        """Returns the difference."""
        return CohortSample(
            self.counts.subtract(other.counts),
            self.samples - other.samples,
            self.unhealthy_samples - other.unhealthy_samples,
        )

    @property
    def unhealthy_rate(self) -> float:
        """Share of the looks at which the server was not healthy."""
        return self.unhealthy_samples / max(1, self.samples)


class ServerSample(NamedTuple):
    """A look at one server in service.

    Attributes:
        incarnation: The server's.
        counts: Its requests since its start.
        is_changed: Whether it is as the release wants it.
        is_healthy: As it reports.
    """

    incarnation: int
    counts: RequestCounts
    is_changed: bool
    is_healthy: bool = True


class WindowRound(NamedTuple):
    """What both sides did from one look to the next.

    Attributes:
        at_ns: When the second look was.
        changed: The changed servers' part.
        unchanged: The others'.
    """

    at_ns: int
    changed: CohortSample
    unchanged: CohortSample


class CanaryWindow:
    """What both sides did lately.

    A server counts from a look at which it was in service to the next, if it lived through it.

    Attributes:
        changed: Sum over the window.
        unchanged: Sum over the window.
        concurrent: Sum of the unchanged over the rounds with a look at a changed server.
        is_complete: Whether a whole window was looked at.
        rounds: Of the window, the oldest first.
    """

    def __init__(self, window_ns: int, min_requests: int, max_window_ns: int) -> None:
        """Begins empty.

        Args:
            window_ns: How far the window reaches back, at least.
            min_requests: With fewer to the changed servers it reaches further back.
            max_window_ns: How far it reaches back at most.
        """
        self.window_ns = window_ns
        self.min_requests = min_requests
        self.max_window_ns = max_window_ns
        self.clear()

    def clear(self) -> None:
        """Forgets all."""
        self._last_samples: Mapping[str, ServerSample] = {}
        self.rounds: deque[WindowRound] = deque()
        self.changed = CohortSample()
        self.unchanged = CohortSample()
        self.concurrent = CohortSample()
        self.is_complete = False

    def add(self, now: int, samples: Mapping[str, ServerSample]) -> None:
        """Takes in a look at all servers in service, by name."""
        changed = unchanged = CohortSample()
        for name, sample in samples.items():
            part = CohortSample(self._counts_since_last(name, sample), 1, not sample.is_healthy)
            if sample.is_changed:
                changed = changed.add(part)
            else:
                unchanged = unchanged.add(part)
        self._last_samples = samples
        self.rounds.append(WindowRound(now, changed, unchanged))
        self.changed = self.changed.add(changed)
        self.unchanged = self.unchanged.add(unchanged)
        if changed.samples:
            self.concurrent = self.concurrent.add(unchanged)
        self._drop_old_rounds(now)

    def is_sustained(self, outcome: str) -> bool:
        """Whether the changed had this outcome in several parts of a window, not in one burst."""
        part_ns = max(1, self.window_ns // WINDOW_PARTS)
        parts = {
            one.at_ns // part_ns for one in self.rounds if getattr(one.changed.counts, outcome)
        }
        return len(parts) >= MIN_BAD_PARTS

    def _counts_since_last(self, name: str, sample: ServerSample) -> RequestCounts:
        last = self._last_samples.get(name)
        if last is None or last.incarnation != sample.incarnation:
            return RequestCounts()
        return sample.counts.subtract(last.counts)

    def _drop_old_rounds(self, now: int) -> None:
        while (oldest := self.rounds[0]).at_ns <= now - self.window_ns:
            self.is_complete = True
            rest = self.changed.counts.total - oldest.changed.counts.total
            if rest < self.min_requests and oldest.at_ns > now - self.max_window_ns:
                break
            self.rounds.popleft()
            self.changed = self.changed.subtract(oldest.changed)
            self.unchanged = self.unchanged.subtract(oldest.unchanged)
            if oldest.changed.samples:
                self.concurrent = self.concurrent.subtract(oldest.unchanged)


def outcome_rates(counts: RequestCounts) -> OutcomeRates:
    """Returns the shares of each outcome."""
    total = max(1, counts.total)
    return OutcomeRates(
        counts.rejected / total,
        counts.failed / total,
        counts.late / max(1, counts.completed),
        counts.total,
    )


def evaluate_canary(
    settings: CanarySettings, window: CanaryWindow, baseline: OutcomeRates | None
) -> Evaluation:
    """Compares the changed servers with the others.

    Args:
        settings: When one side is worse.
        window: What both sides did.
        baseline: What the others did while there were enough of them; compared with where they are
            few.
    """
    reason = _find_unhealthy_servers(settings, window)
    if reason:
        return Evaluation(Verdict.UNHEALTHY, reason)
    counts = window.changed.counts
    changed, others = outcome_rates(counts), outcome_rates(window.concurrent.counts)
    min_difference = settings.min_difference
    if others.requests < settings.min_requests:
        others = baseline or OutcomeRates(requests=0)
        min_difference *= BASELINE_DIFFERENCE_FACTOR
    for outcome, word in _OUTCOMES:
        rate, usual = getattr(changed, outcome), getattr(others, outcome)
        count = counts.completed if outcome == "late" else changed.requests
        is_beyond_max = (
            count >= settings.min_requests
            and rate >= settings.max_rate
            and (usual < settings.max_rate or not others.requests)
        )
        is_bad = is_beyond_max or (
            others.requests > 0
            and _is_worse(min_difference, settings.min_sigmas, rate, count, usual, others.requests)
        )
        if is_bad and window.is_sustained(outcome):
            reason = f"{word} {rate:.1%} of {count}, the others {usual:.1%} of {others.requests}"
            return Evaluation(Verdict.UNHEALTHY, reason)
    is_enough = counts.total >= settings.min_requests
    return Evaluation(Verdict.HEALTHY if is_enough else Verdict.INCONCLUSIVE)


def _find_unhealthy_servers(settings: CanarySettings, window: CanaryWindow) -> str:
    """Returns why the changed are unhealthy by their own reports; empty where they are not."""
    changed, others = window.changed.unhealthy_rate, window.concurrent.unhealthy_rate
    if not window.is_complete or not window.changed.samples:
        return ""
    if changed < settings.max_rate or others >= settings.max_rate / 2:
        return ""
    return f"not well in {changed:.0%} of looks, the others in {others:.0%}"


def _is_worse(
    min_difference: float, min_sigmas: float, rate: float, count: int, usual: float, of: int
) -> bool:
    if rate * count < MIN_BAD_REQUESTS or rate - usual < min_difference:
        return False
    pooled = (rate * count + usual * of) / (count + of)
    deviation = sqrt(pooled * (1 - pooled) * (1 / count + 1 / of))
    return rate - usual > min_sigmas * deviation
