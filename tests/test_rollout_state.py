"""Rollout state: all histories of two servers, and orders that must be rejected."""

from collections.abc import Callable

import pytest
from explore_rollout import Explorer

from burlloom.rollout import (
    SERVERS_GROUP,
    DisruptionBudget,
    Instance,
    InstanceGroup,
    InstanceState,
    OrderRejectedError,
    ReleasePhase,
    RolloutState,
)
from burlloom.rollout.release import ReleaseInput

MODEL_COUNT = 28_512  # reachable models of two servers and one leader
MAX_MODELS = 40_000


def state_of_one_server(version: str) -> RolloutState:
    servers = {"n1": Instance(InstanceState.IN, 1, version=version)}
    return RolloutState(groups={SERVERS_GROUP: InstanceGroup(DisruptionBudget(1), servers)})


STATE = state_of_one_server("v1")
STATE_WITHOUT_VERSION = state_of_one_server("")


def test_no_history_exceeds_the_budget() -> None:
    """All histories of two servers and one leader are explored completely."""
    model_count, max_sent_out = Explorer(leader_count=1).explore(MAX_MODELS)
    assert max_sent_out == 1
    assert model_count == MODEL_COUNT


@pytest.mark.parametrize(
    "disabled_rule", ["compare_and_swap", "budget", "incarnation", "expiry", "begin"]
)
def test_without_any_one_rule_the_budget_is_exceeded(disabled_rule: str) -> None:
    explorer = Explorer(leader_count=1, disabled_rule=disabled_rule)
    model_count, max_sent_out = explorer.explore(MAX_MODELS)
    assert max_sent_out == 2, model_count


def test_servers_without_a_version_are_restarted() -> None:
    state = STATE_WITHOUT_VERSION.start_release("", (1.0,), False, True)
    assert state.release.phase is ReleasePhase.ROLLING


@pytest.mark.parametrize(
    ("order", "reason"),
    [
        (
            lambda: RolloutState().start_release("v2", (1.0,), False),
            "the rollout state has no servers yet",
        ),
        (
            lambda: STATE_WITHOUT_VERSION.start_release("v2", (1.0,), False),
            "no server reports its version",
        ),
        (lambda: STATE.start_release("v1", (1.0,), False), "all servers already run v1"),
        (
            lambda: STATE.start_release("v2", (3, 2, 1.0), False),
            "waves: numbers of servers must come before shares",
        ),
        (lambda: STATE.apply_order(ReleaseInput.HALT, ""), "nothing to halt: change 0 is idle"),
        (
            lambda: STATE.request_drain(SERVERS_GROUP, "n2", 0),
            "group 'servers' has no instance 'n2'",
        ),
        (lambda: STATE.request_drain(SERVERS_GROUP, "n1", 0), "the only instance of its group"),
        (lambda: STATE.request_drain("db", "n2", 0), "no group 'db'"),
        (lambda: STATE.end_drain(SERVERS_GROUP, "n1"), "when it is started"),
        (
            lambda: STATE.set_budget(SERVERS_GROUP, DisruptionBudget(0)),
            "a disruption budget must be",
        ),
        (
            lambda: STATE.start_release("v1", (1.0,), False, True).apply_order(
                ReleaseInput.ROLLBACK, ""
            ),
            "no other version",
        ),
    ],
)
def test_an_order_that_the_state_does_not_allow_is_rejected_with_a_reason(
    order: Callable[[], RolloutState], reason: str
) -> None:
    with pytest.raises(OrderRejectedError, match=reason):
        order()


def test_the_error_of_a_rejected_order_names_group_and_instance() -> None:
    with pytest.raises(OrderRejectedError) as raised:
        STATE.request_drain(SERVERS_GROUP, "n2", 0)
    assert (raised.value.group, raised.value.name) == (SERVERS_GROUP, "n2")
