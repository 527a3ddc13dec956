"""Disruption budgets."""

import pytest

from burlloom.rollout import DisruptionBudget


@pytest.mark.parametrize(("size", "limit"), [(0, 0), (1, 0), (2, 1), (3, 2), (30, 2)])
def test_a_budget_never_allows_all_instances_to_be_out(size: int, limit: int) -> None:
    assert DisruptionBudget(2).compute_limit(size) == limit


@pytest.mark.parametrize(("size", "limit"), [(1, 0), (5, 1), (19, 1), (20, 2), (300, 30)])
def test_a_share_is_rounded_down_but_is_at_least_one_instance(size: int, limit: int) -> None:
    assert DisruptionBudget(max_out_share=0.1).compute_limit(size) == limit
