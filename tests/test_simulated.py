"""Seeded runs of tests/simulate.py: whole servers in simulated time.

Servers crash and restart, and the record's store delays, fails or loses writes.
"""

import logging
from collections import Counter
from collections.abc import Iterator

import pytest
from simulate import simulate

from burlloom.record import request_lifecycle

SEEDS_PER_CASE = 8
MAX_SEEDS_TO_FIND_FAULT = 12


@pytest.fixture(autouse=True)
def _logging_disabled() -> Iterator[None]:
    logging.disable(logging.CRITICAL)
    yield
    logging.disable(logging.NOTSET)


@pytest.mark.parametrize("servers", [1, 2])
@pytest.mark.parametrize("fault_rate", [0, 0.05, 0.2, 0.5])
def test_no_request_runs_twice_and_no_attempt_is_left_unanswered(
    servers: int, fault_rate: float
) -> None:
    counts: Counter[str] = Counter()
    for seed in range(SEEDS_PER_CASE):
        simulation = simulate(seed, servers, fault_rate, crash_count=seed % 5)
        assert not simulation.faults, (seed, simulation.faults)
        counts += simulation.counts
    assert counts["completed"] > 20
    assert counts["crashes"] > 8


def test_the_same_seed_gives_the_same_run() -> None:
    assert simulate(5, 2, 0.2, 3).counts == simulate(5, 2, 0.2, 3).counts


def test_the_checker_detects_a_broken_transition(monkeypatch: pytest.MonkeyPatch) -> None:
    correct_row = (
        "CLAIMING          STORE_TIMED_OUT                    WITHDRAWING       reject+withdraw"
    )
    broken_row = "CLAIMING          STORE_TIMED_OUT                    RUNNING           start_run"
    assert correct_row in request_lifecycle.TRANSITION_TABLE
    broken_rules = request_lifecycle.parse_rules(
        request_lifecycle.TRANSITION_TABLE.replace(correct_row, broken_row)
    )
    monkeypatch.setattr(request_lifecycle, "TRANSITION_RULES", broken_rules)
    assert any(
        "ran twice" in fault
        for seed in range(MAX_SEEDS_TO_FIND_FAULT)
        for fault in simulate(seed, 2, 0.3, 3).faults
    )
