"""Comparison of the changed servers with the unchanged ones."""

import pytest

from burlloom.rollout import CanarySettings, RequestCounts
from burlloom.rollout.canary import (
    CanaryWindow,
    ServerSample,
    Verdict,
    evaluate_canary,
    outcome_rates,
)

WINDOW_NS, MIN_REQUESTS, MAX_WINDOW_NS = 10, 100, 50
SAMPLE_COUNT = 11


def fill_window(
    changed: RequestCounts,
    unchanged: RequestCounts,
    is_healthy: bool = True,
    is_one_burst: bool = False,
) -> CanaryWindow:
    """Returns a window with these counts, a tenth in each round, or all in one round."""
    window = CanaryWindow(WINDOW_NS, MIN_REQUESTS, MAX_WINDOW_NS)
    for time_ns in range(SAMPLE_COUNT):
        tenths = 10 * (time_ns > 5) if is_one_burst else time_ns
        changed_counts, unchanged_counts = (
            RequestCounts(*(count * tenths // 10 for count in cohort))
            for cohort in (changed, unchanged)
        )
        samples = {
            "a": ServerSample(1, changed_counts, True, is_healthy),
            "b": ServerSample(1, unchanged_counts, False),
        }
        window.add(time_ns, samples)
    return window


def verdict_of(window: CanaryWindow, baseline: RequestCounts | None = None) -> Verdict:
    settings = CanarySettings(min_requests=MIN_REQUESTS)
    rates = outcome_rates(baseline) if baseline else None
    return evaluate_canary(settings, window, rates).verdict


@pytest.mark.parametrize(
    ("changed", "unchanged", "verdict"),
    [
        pytest.param((99,), (1000,), Verdict.INCONCLUSIVE, id="too few requests"),
        pytest.param((20, 0, 0, 4), (10_000,), Verdict.INCONCLUSIVE, id="too few failures"),
        pytest.param(
            (20, 0, 0, 9), (10_000,), Verdict.UNHEALTHY, id="few failures, but too many for chance"
        ),
        pytest.param((1000,), (1000,), Verdict.HEALTHY, id="no failure"),
        pytest.param((900, 0, 0, 100), (10_000,), Verdict.UNHEALTHY, id="failures"),
        pytest.param(
            (900, 0, 100, 0), (9000, 0, 1000), Verdict.HEALTHY, id="a load peak on both cohorts"
        ),
        pytest.param(
            (980, 0, 0, 20), (10_000,), Verdict.HEALTHY, id="below the minimum difference"
        ),
        pytest.param((1000, 200), (10_000, 100), Verdict.UNHEALTHY, id="late"),
        pytest.param((900, 0, 0, 100), (), Verdict.HEALTHY, id="nothing to compare with"),
        pytest.param((400, 0, 0, 600), (), Verdict.UNHEALTHY, id="above the maximum rate"),
        pytest.param(
            (400, 0, 600), (400, 0, 600), Verdict.HEALTHY, id="both above the maximum rate"
        ),
    ],
)
def test_the_outcomes_of_changed_and_unchanged_servers_give_a_verdict(
    changed: tuple[int, ...], unchanged: tuple[int, ...], verdict: Verdict
) -> None:
    assert verdict_of(fill_window(RequestCounts(*changed), RequestCounts(*unchanged))) is verdict


def test_unhealthy_reports_make_a_release_unhealthy_without_bad_requests() -> None:
    window = fill_window(RequestCounts(9), RequestCounts(1000), is_healthy=False)
    assert verdict_of(window) is Verdict.UNHEALTHY


def test_a_single_burst_of_failures_does_not_make_a_release_unhealthy() -> None:
    counts = RequestCounts(900, 0, 0, 100)
    window = fill_window(counts, RequestCounts(10_000), is_one_burst=True)
    assert verdict_of(window) is Verdict.HEALTHY


@pytest.mark.parametrize(
    ("changed", "verdict"),
    [((900, 0, 0, 100), Verdict.UNHEALTHY), ((950, 0, 0, 50), Verdict.HEALTHY)],
)
def test_a_comparison_with_the_baseline_needs_a_larger_difference(
    changed: tuple[int, ...], verdict: Verdict
) -> None:
    window = fill_window(RequestCounts(*changed), RequestCounts())
    assert verdict_of(window, RequestCounts(1000)) is verdict


def test_the_window_grows_until_it_has_enough_requests() -> None:
    window = CanaryWindow(WINDOW_NS, MIN_REQUESTS, MAX_WINDOW_NS)
    for time_ns in range(100):
        incarnation = 1 if time_ns < 90 else 2
        samples = {
            "a": ServerSample(incarnation, RequestCounts(3 * time_ns), True),
            "b": ServerSample(1, RequestCounts(time_ns), False),
        }
        window.add(time_ns, samples)
        assert window.changed.counts.total == sum(
            window_round.changed.counts.total for window_round in window.rounds
        )
        assert window.unchanged.counts.total == sum(
            window_round.unchanged.counts.total for window_round in window.rounds
        )
        assert len(window.rounds) <= MAX_WINDOW_NS
        assert time_ns < 40 or window.changed.counts.total >= 96, time_ns
