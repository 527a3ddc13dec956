"""The changed servers against the others."""

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
LOOKS = 11


def fill_window(
    changed: RequestCounts,
    others: RequestCounts,
    is_healthy: bool = True,
    is_one_burst: bool = False,
) -> CanaryWindow:
    """A window with these counts, a tenth of them in each look, or all in one."""
    window = CanaryWindow(WINDOW_NS, MIN_REQUESTS, MAX_WINDOW_NS)
    for at in range(LOOKS):
        tenths = 10 * (at > 5) if is_one_burst else at
        one, other = (
            RequestCounts(*(count * tenths // 10 for count in side)) for side in (changed, others)
        )
        samples = {
            "a": ServerSample(1, one, True, is_healthy),
            "b": ServerSample(1, other, False),
        }
        window.add(at, samples)
    return window


def verdict_of(window: CanaryWindow, baseline: RequestCounts | None = None) -> Verdict:
    settings = CanarySettings(min_requests=MIN_REQUESTS)
    rates = outcome_rates(baseline) if baseline else None
    return evaluate_canary(settings, window, rates).verdict


@pytest.mark.parametrize(
    ("changed", "others", "verdict"),
    [
        pytest.param((99,), (1000,), Verdict.INCONCLUSIVE, id="too few requests"),
        pytest.param((20, 0, 0, 4), (10_000,), Verdict.INCONCLUSIVE, id="too few failures"),
        pytest.param((20, 0, 0, 9), (10_000,), Verdict.UNHEALTHY, id="few, but never by chance"),
        pytest.param((1000,), (1000,), Verdict.HEALTHY, id="no failure"),
        pytest.param((900, 0, 0, 100), (10_000,), Verdict.UNHEALTHY, id="failures"),
        pytest.param((900, 0, 100, 0), (9000, 0, 1000), Verdict.HEALTHY, id="a peak on both sides"),
        pytest.param((980, 0, 0, 20), (10_000,), Verdict.HEALTHY, id="under the difference"),
        pytest.param((1000, 200), (10_000, 100), Verdict.UNHEALTHY, id="late"),
        pytest.param((900, 0, 0, 100), (), Verdict.HEALTHY, id="nothing to compare with"),
        pytest.param((400, 0, 0, 600), (), Verdict.UNHEALTHY, id="over the maximum"),
        pytest.param((400, 0, 600), (400, 0, 600), Verdict.HEALTHY, id="both over the maximum"),
    ],
)
def test_the_changed_are_compared_with_the_others(
    changed: tuple[int, ...], others: tuple[int, ...], verdict: Verdict
) -> None:
    assert verdict_of(fill_window(RequestCounts(*changed), RequestCounts(*others))) is verdict


def test_servers_that_report_to_be_unhealthy_are_unhealthy_without_a_request() -> None:
    window = fill_window(RequestCounts(9), RequestCounts(1000), is_healthy=False)
    assert verdict_of(window) is Verdict.UNHEALTHY


def test_one_burst_of_failures_is_no_sign_of_a_bad_release() -> None:
    counts = RequestCounts(900, 0, 0, 100)
    window = fill_window(counts, RequestCounts(10_000), is_one_burst=True)
    assert verdict_of(window) is Verdict.HEALTHY


@pytest.mark.parametrize(
    ("changed", "verdict"),
    [((900, 0, 0, 100), Verdict.UNHEALTHY), ((950, 0, 0, 50), Verdict.HEALTHY)],
)
def test_a_baseline_of_another_hour_wants_a_larger_difference(
    changed: tuple[int, ...], verdict: Verdict
) -> None:
    window = fill_window(RequestCounts(*changed), RequestCounts())
    assert verdict_of(window, RequestCounts(1000)) is verdict


def test_a_window_reaches_as_far_back_as_it_must() -> None:
    window = CanaryWindow(WINDOW_NS, MIN_REQUESTS, MAX_WINDOW_NS)
    for at in range(100):
        incarnation = 1 if at < 90 else 2
        samples = {
            "a": ServerSample(incarnation, RequestCounts(3 * at), True),
            "b": ServerSample(1, RequestCounts(at), False),
        }
        window.add(at, samples)
        assert window.changed.counts.total == sum(one.changed.counts.total for one in window.rounds)
        assert window.unchanged.counts.total == sum(
            one.unchanged.counts.total for one in window.rounds
        )
        assert len(window.rounds) <= MAX_WINDOW_NS
        assert at < 40 or window.changed.counts.total >= 96, at
