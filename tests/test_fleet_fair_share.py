"""Tests of the max-min fair division."""

from random import Random

import pytest

from burlloom.fleet import fair_share
from burlloom.fleet.fair_share import max_min_fair


def test_shares_are_max_min_fair() -> None:
    random = Random(3)
    for _ in range(300):
        count = random.randrange(1, 9)
        demands = [random.choice([0, 500, 3000, 10**6]) for _ in range(count)]
        weights = [random.choice([500, 1000, 2000]) for _ in range(count)]
        shares = max_min_fair(20_000, demands, weights)
        assert abs(sum(shares) - 20_000) < 1e-3
        shares_per_weight = [share / weight for share, weight in zip(shares, weights, strict=True)]
        for index, demand in enumerate(demands):
            # A member with less than its demand has the largest share per weight.
            assert (
                shares[index] >= demand or shares_per_weight[index] >= max(shares_per_weight) - 1e-6
            ), (demands, weights, shares)


def test_members_with_small_demands_are_collected_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against quadratic work per allocation.

    The set of members whose demand is met was once built again for each of the other members.
    """
    gathered_count = 0

    def counting_set(items: list[int]) -> set[int]:
        nonlocal gathered_count
        gathered_count += len(items)
        return set(items)

    monkeypatch.setattr(fair_share, "set", counting_set, raising=False)
    shares = max_min_fair(4000 * 1000, [index % 2 * 10**6 for index in range(1000)], [1000] * 1000)
    assert gathered_count == 500
    assert sum(shares) == pytest.approx(4000 * 1000)
