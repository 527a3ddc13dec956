"""Steps of the rollout state: every history of two servers, and orders that are rejected."""

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

ALL_HISTORIES = 28_512


def one_server(version: str) -> RolloutState:
    servers = {"n1": Instance(InstanceState.IN, 1, version=version)}
    return RolloutState(groups={SERVERS_GROUP: InstanceGroup(DisruptionBudget(1), servers)})


STATE = one_server("v1")
WITHOUT_VERSION = one_server("")


def test_no_history_has_more_out_than_the_budget() -> None:
    """Whole: all histories of two servers, one leader and the state between them."""
    worlds, most_out = Explorer(leads=1).walk(40_000)
    assert most_out == 1
    assert worlds == ALL_HISTORIES


@pytest.mark.parametrize("broken", ["swap", "room", "again", "expiry", "permit"])
def test_a_rule_left_out_is_noticed(broken: str) -> None:
    worlds, most_out = Explorer(leads=1, broken=broken).walk(40_000)
    assert most_out == 2, worlds


def test_servers_without_a_version_are_restarted() -> None:
    state = WITHOUT_VERSION.start_release("", (1.0,), False, True)
    assert state.release.phase is ReleasePhase.ROLLING


@pytest.mark.parametrize(
    ("order", "reason"),
    [
        (
            lambda: RolloutState().start_release("v2", (1.0,), False),
            "the rollout state has no servers yet",
        ),
        (
            lambda: WITHOUT_VERSION.start_release("v2", (1.0,), False),
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
def test_an_order_that_can_not_be_carried_out_is_rejected(
    order: Callable[[], RolloutState], reason: str
) -> None:
    with pytest.raises(OrderRejectedError, match=reason):
        order()


def test_a_rejected_order_names_the_instance() -> None:
    with pytest.raises(OrderRejectedError) as raised:
        STATE.request_drain(SERVERS_GROUP, "n2", 0)
    assert (raised.value.group, raised.value.name) == (SERVERS_GROUP, "n2")
