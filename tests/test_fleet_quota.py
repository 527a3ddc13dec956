"""Tests that the sum of the shares stays within the total, by exploring a model of a fleet."""

import pytest
from explore_fleet import Explorer

from burlloom.fleet import MILLICALLS_PER_CALL


def test_shares_stay_within_the_total_in_every_history() -> None:
    """Explores one allocator and two members with two reports each, in any order of delivery.

    Messages may be delayed, lost or duplicated.
    """
    state_count, max_held = Explorer().explore_exhaustively(1 << 20)
    assert state_count > 5000
    assert max_held == 2 * MILLICALLS_PER_CALL


@pytest.mark.parametrize(
    "omitted_rule", ["", "report-calls-in-progress", "reject-old-reports", "reject-old-grants"]
)
def test_shares_stay_within_the_total_in_long_histories(omitted_rule: str) -> None:
    """Runs random histories of three members with restarts; omitting a rule must be detected."""
    max_held = Explorer(
        6, 3, 3, 40, 4, (0, MILLICALLS_PER_CALL, 6 * MILLICALLS_PER_CALL), omitted_rule
    ).explore_randomly(1000, 100, 1)
    assert (
        max_held == 6 * MILLICALLS_PER_CALL
        if not omitted_rule
        else max_held > 6 * MILLICALLS_PER_CALL
    )
