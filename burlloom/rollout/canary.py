"""Compares the changed servers of a release with the unchanged ones. No I/O.

Both cohorts serve the same callers at the same time, so a load peak, a slow downstream service or
the time of day affects both. The shares of rejected, failed and late requests are compared. A share
is worse if it is larger by at least `min_difference` and by more than chance explains: a one-sided
test of two proportions (as in Fleiss, "Statistical Methods for Rates and Proportions", 1981). The
threshold is far in the tail, since the test is repeated in each round.

A server that reports to be unhealthy is sent no requests, so its outcomes do not show the problem.
The shares of unhealthy samples are therefore compared too.
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

# With fewer bad requests no share counts as worse: one or two chance failures are a large share of
# a small number of requests.
MIN_BAD_REQUESTS = 5
# Multiplies `min_difference` if the changed servers are compared with the baseline. The baseline
# was measured earlier, so part of the difference may come from the time of day.
BASELINE_DIFFERENCE_FACTOR = 3
# The window is divided into this many parts, and a bad outcome must occur in at least
# `MIN_BAD_PARTS` of them. Failures come in bursts, and a single burst does not show a bad release.
WINDOW_PARTS = 10
MIN_BAD_PARTS = 4

# Fields of `OutcomeRates` and `RequestCounts`, each with its name in the stored reason for a halt.
_OUTCOME_LABELS = (("rejected", "declined"), ("failed", "voided"), ("late", "late"))


class Verdict(IntEnum):
    """Result of comparing the changed servers with the unchanged ones."""

    INCONCLUSIVE = 0  # too few requests to the changed servers
    HEALTHY = 1
    UNHEALTHY = 2


@dataclass(frozen=True, slots=True)
class Evaluation:
    """A verdict on the changed servers.

    Attributes:
        verdict: Result of the comparison.
        reason: What is unhealthy, for the operator; empty unless the verdict is UNHEALTHY.
    """

    verdict: Verdict
    reason: str = ""


class CohortSample(NamedTuple):
    """Requests and health of one cohort, the changed or the unchanged servers.

    Attributes:
        counts: Requests by outcome.
        samples: Number of samples of single servers.
        unhealthy_samples: Number of these samples in which the server was not healthy.
    """

    counts: RequestCounts = RequestCounts()
    samples: int = 0
    unhealthy_samples: int = 0

    def add(self, other: "CohortSample") -> "CohortSample":
        """Returns the sum of both samples."""
        return CohortSample(
            self.counts.add(other.counts),
            self.samples + other.samples,
            self.unhealthy_samples + other.unhealthy_samples,
        )

    def subtract(self, other: "CohortSample") -> "CohortSample":
        """Returns this sample without `other`."""
        return CohortSample(
            self.counts.subtract(other.counts),
            self.samples - other.samples,
            self.unhealthy_samples - other.unhealthy_samples,
        )

    @property
    def unhealthy_rate(self) -> float:
        """Share of the samples in which the server was not healthy."""
        return self.unhealthy_samples / max(1, self.samples)


class ServerSample(NamedTuple):
    """Sample of one server in service.

    Attributes:
        incarnation: Incarnation of the server.
        counts: Requests since the incarnation started.
        is_changed: Whether the release has brought the server to its goal.
        is_healthy: Whether the server reports to be healthy.
    """

    incarnation: int
    counts: RequestCounts
    is_changed: bool
    is_healthy: bool = True


class WindowRound(NamedTuple):
    """Requests and health of both cohorts between two consecutive rounds of samples.

    Attributes:
        at_ns: Time of the second round, in ns of the observer's clock.
        changed: Sample of the changed servers.
        unchanged: Sample of the unchanged servers.
    """

    at_ns: int
    changed: CohortSample
    unchanged: CohortSample


class CanaryWindow:
    """Sliding window over the requests and health of both cohorts.

    The requests of a server between two rounds count only if both rounds sampled it in the same
    incarnation.

    Attributes:
        changed: Sum of the changed servers over the window.
        unchanged: Sum of the unchanged servers over the window.
        concurrent: Sum of the unchanged servers over the rounds that sampled a changed server.
        is_complete: Whether samples cover at least `window_ns`.
        rounds: Rounds of the window, the oldest first.
    """

    def __init__(self, window_ns: int, min_requests: int, max_window_ns: int) -> None:
        """Starts with an empty window.

        Args:
            window_ns: Shortest time that the window covers once it is complete.
            min_requests: While the changed servers have fewer requests, the window covers more
                than `window_ns`.
            max_window_ns: Longest time that the window covers.
        """
        self.window_ns = window_ns
        self.min_requests = min_requests
        self.max_window_ns = max_window_ns
        self.clear()

    def clear(self) -> None:
        """Drops all rounds."""
        self._last_samples: Mapping[str, ServerSample] = {}
        self.rounds: deque[WindowRound] = deque()
        self.changed = CohortSample()
        self.unchanged = CohortSample()
        self.concurrent = CohortSample()
        self.is_complete = False

    def add(self, now_ns: int, samples: Mapping[str, ServerSample]) -> None:
        """Adds a round of samples.

        Args:
            now_ns: Time of the samples, in ns of the observer's clock.
            samples: Sample of each server in service, by name.
        """
        changed = unchanged = CohortSample()
        for name, sample in samples.items():
            part = CohortSample(self._counts_since_last(name, sample), 1, not sample.is_healthy)
            if sample.is_changed:
                changed = changed.add(part)
            else:
                unchanged = unchanged.add(part)
        self._last_samples = samples
        self.rounds.append(WindowRound(now_ns, changed, unchanged))
        self.changed = self.changed.add(changed)
        self.unchanged = self.unchanged.add(unchanged)
        if changed.samples:
            self.concurrent = self.concurrent.add(unchanged)
        self._drop_old_rounds(now_ns)

    def is_sustained(self, outcome: str) -> bool:
        """Returns whether changed servers had an outcome in `MIN_BAD_PARTS` parts of the window.

        Args:
            outcome: Field of `RequestCounts`.
        """
        part_ns = max(1, self.window_ns // WINDOW_PARTS)
        parts = {
            window_round.at_ns // part_ns
            for window_round in self.rounds
            if getattr(window_round.changed.counts, outcome)
        }
        return len(parts) >= MIN_BAD_PARTS

    def _counts_since_last(self, name: str, sample: ServerSample) -> RequestCounts:
        last = self._last_samples.get(name)
        if last is None or last.incarnation != sample.incarnation:
            return RequestCounts()
        return sample.counts.subtract(last.counts)

    def _drop_old_rounds(self, now_ns: int) -> None:
        while (oldest := self.rounds[0]).at_ns <= now_ns - self.window_ns:
            self.is_complete = True
            remaining = self.changed.counts.total - oldest.changed.counts.total
            if remaining < self.min_requests and oldest.at_ns > now_ns - self.max_window_ns:
                break
            self.rounds.popleft()
            self.changed = self.changed.subtract(oldest.changed)
            self.unchanged = self.unchanged.subtract(oldest.unchanged)
            if oldest.changed.samples:
                self.concurrent = self.concurrent.subtract(oldest.unchanged)


def outcome_rates(counts: RequestCounts) -> OutcomeRates:
    """Returns the share of each outcome."""
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
    """Compares the changed servers with the unchanged ones.

    Args:
        settings: Thresholds of the comparison.
        window: Requests and health of both cohorts.
        baseline: Earlier rates of the unchanged servers, used if they now have too few requests.
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
    for outcome, label in _OUTCOME_LABELS:
        rate, other_rate = getattr(changed, outcome), getattr(others, outcome)
        count = counts.completed if outcome == "late" else changed.requests
        is_beyond_max = (
            count >= settings.min_requests
            and rate >= settings.max_rate
            and (other_rate < settings.max_rate or not others.requests)
        )
        is_bad = is_beyond_max or (
            others.requests > 0
            and _is_worse(
                min_difference, settings.min_sigmas, rate, count, other_rate, others.requests
            )
        )
        if is_bad and window.is_sustained(outcome):
            reason = (
                f"{label} {rate:.1%} of {count}, the others {other_rate:.1%} of {others.requests}"
            )
            return Evaluation(Verdict.UNHEALTHY, reason)
    has_enough_requests = counts.total >= settings.min_requests
    return Evaluation(Verdict.HEALTHY if has_enough_requests else Verdict.INCONCLUSIVE)


def _find_unhealthy_servers(settings: CanarySettings, window: CanaryWindow) -> str:
    """Returns why the changed servers' reports make them unhealthy; empty if they do not."""
    changed_rate, unchanged_rate = window.changed.unhealthy_rate, window.concurrent.unhealthy_rate
    if not window.is_complete or not window.changed.samples:
        return ""
    if changed_rate < settings.max_rate or unchanged_rate >= settings.max_rate / 2:
        return ""
    return f"not well in {changed_rate:.0%} of looks, the others in {unchanged_rate:.0%}"


def _is_worse(
    min_difference: float,
    min_sigmas: float,
    rate: float,
    count: int,
    reference_rate: float,
    reference_count: int,
) -> bool:
    """Returns whether `rate` of `count` requests is significantly above the reference rate."""
    if rate * count < MIN_BAD_REQUESTS or rate - reference_rate < min_difference:
        return False
    pooled = (rate * count + reference_rate * reference_count) / (count + reference_count)
    deviation = sqrt(pooled * (1 - pooled) * (1 / count + 1 / reference_count))
    return rate - reference_rate > min_sigmas * deviation
