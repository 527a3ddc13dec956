"""The max-min fair division."""

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
        per = [share / weight for share, weight in zip(shares, weights, strict=True)]
        for at, demand in enumerate(demands):
            # Who has less than it demands has as much, by weight, as anyone.
            assert shares[at] >= demand or per[at] >= max(per) - 1e-6, (demands, weights, shares)


def test_those_who_demand_little_are_looked_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """They were gathered anew for each of the others: the square of the fleet in each turn."""
    gathered = 0

    def counted(of: list[int]) -> set[int]:
        nonlocal gathered
        gathered += len(of)
        return set(of)

    monkeypatch.setattr(fair_share, "set", counted, raising=False)
    shares = max_min_fair(4000 * 1000, [at % 2 * 10**6 for at in range(1000)], [1000] * 1000)
    assert gathered == 500
    assert sum(shares) == pytest.approx(4000 * 1000)
