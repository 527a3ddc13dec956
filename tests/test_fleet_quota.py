"""The sum of the shares in all histories of one allocator and some members."""

import pytest
from explore_fleet import Explorer

from burlloom.fleet import MILLICALLS_PER_CALL


def test_shares_stay_within_the_total_in_every_history() -> None:
    """One allocator, two members, two reports each, any message late or lost or doubled."""
    worlds, worst = Explorer().walk(1 << 20)
    assert worlds > 5000
    assert worst == 2 * MILLICALLS_PER_CALL


@pytest.mark.parametrize("broken", ["", "in-hand", "old-report", "old-grant"])
def test_shares_stay_within_the_total_in_long_histories(broken: str) -> None:
    """Three members that are started again; each rule left out is noticed."""
    worst = Explorer(
        6, 3, 3, 40, 4, (0, MILLICALLS_PER_CALL, 6 * MILLICALLS_PER_CALL), broken
    ).wander(1000, 100, 1)
    assert worst == 6 * MILLICALLS_PER_CALL if not broken else worst > 6 * MILLICALLS_PER_CALL
