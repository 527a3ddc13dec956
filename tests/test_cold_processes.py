"""Processes of the program that start together: the small form of benchmarks/cold_start.py."""

import asyncio

import pytest
import rig  # noqa: F401  (finds benchmarks/)
from cold_fleet import budget_with_chance
from cold_start import play, ready


@pytest.mark.parametrize(("story", "total"), [("together", 1), ("restarts", 2)])
def test_what_processes_have_in_hand_together_from_their_start(story: str, total: int) -> None:
    """Six share a budget of one or two calls: none is too small for it, and together they stay
    within it and chance.
    """
    worst, made = asyncio.run(play(6, total, 0.05, story, 6.0))
    assert made > 0 and worst <= budget_with_chance(total), (worst, made)


def test_restarted_processes_are_ready_within_the_terms() -> None:
    """All of six together, while their executors are a second late: nine in ten within 10 s, none
    over 30.
    """
    spans = sorted(asyncio.run(ready(6, 0, 1.0, 2)))
    assert spans[int(0.9 * (len(spans) - 1))] < 10 and spans[-1] < 30, spans
