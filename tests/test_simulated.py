"""Seeded worlds of tests/simulate.py: whole nodes in simulated time, under crashes and a store that
misbehaves.
"""

import logging
from collections import Counter

import pytest
from simulate import simulate

from burlloom.record import request_lifecycle as fate


@pytest.fixture(autouse=True)
def quiet() -> object:
    logging.disable(logging.CRITICAL)
    yield
    logging.disable(logging.NOTSET)


@pytest.mark.parametrize("nodes", [1, 2])
@pytest.mark.parametrize("trouble", [0, 0.05, 0.2, 0.5])
def test_no_world_runs_a_charge_twice_or_leaves_a_try_unanswered(
    nodes: int, trouble: float
) -> None:
    count: Counter[str] = Counter()
    for seed in range(8):
        world = simulate(seed, nodes, trouble, crashes=seed % 5)
        assert not world.faults, (seed, world.faults)
        count += world.count
    assert count["settled"] > 20
    assert count["crashes"] > 8


def test_the_same_seed_tells_the_same_story() -> None:
    assert simulate(5, 2, 0.2, 3).count == simulate(5, 2, 0.2, 3).count


def test_a_broken_row_is_seen_by_the_checker(monkeypatch: pytest.MonkeyPatch) -> None:
    broken = fate.TABLE.replace(
        "CLAIMING          STORE_TIMED_OUT                    WITHDRAWING       reject+withdraw",
        "CLAIMING          STORE_TIMED_OUT                    RUNNING           start_run",
    )
    monkeypatch.setattr(fate, "RULES", fate.parse_rules(broken))
    assert any(
        "ran twice" in fault for seed in range(12) for fault in simulate(seed, 2, 0.3, 3).faults
    )
