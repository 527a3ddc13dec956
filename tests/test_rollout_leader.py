"""Rounds of the leader on a simulated clock: budgets, silent servers and changes of the leader."""

from dataclasses import replace

import pytest
import rig  # noqa: F401  (finds benchmarks/)
from rollout_core import SETTINGS, RolloutSimulation
from rollout_waves import measure

from burlloom.rollout import (
    SERVERS_GROUP,
    DisruptionBudget,
    InstanceState,
    OrderRejectedError,
    ReleasePhase,
    RolloutLeader,
    RolloutState,
    ServerReport,
)
from burlloom.rollout.instance import InstanceInput
from burlloom.rollout.release import ReleaseInput
from burlloom.time_units import NS_PER_SECOND


def test_a_bad_release_on_simulated_servers_is_halted_and_rolled_back() -> None:
    """One in fifty operations of the store fails, and the lab's checker verifies the rules."""
    result = measure(10, "agreed", 1, True)
    assert not result["faults"] and result["most"] == 1 and not result["over"], result
    assert result["ever"] == 1, result
    assert 0 < result["halted"] < 60 and 0 < result["back"] < 30, result


def test_a_release_is_finished_and_a_bad_one_rolled_back_within_the_budget() -> None:
    for size, budget in ((3, DisruptionBudget(1)), (30, DisruptionBudget(max_out_share=0.1))):
        simulation = RolloutSimulation(size, budget).run_until_all_serve()
        simulation.state = simulation.state.start_release("v2", (1, 0.1, 0.5, 1.0), False)
        simulation.run_until(ReleasePhase.IDLE)
        assert simulation.state.stable_version == "v2"
        assert simulation.most_down == budget.compute_limit(size)
        assert {member.version for member in simulation.members.values()} == {"v2"}
        simulation.failure_rates["v3"] = 0.3
        simulation.state = simulation.state.start_release("v3", (1, 0.1, 0.5, 1.0), False)
        simulation.run_until(ReleasePhase.HALTED)
        changed_count = sum(member.version == "v3" for member in simulation.members.values())
        assert changed_count <= 1 and "voided" in simulation.state.release.reason, (
            simulation.state.release
        )
        with pytest.raises(OrderRejectedError, match="halted"):
            simulation.state.start_release("v4", (1.0,), False)
        simulation.state = simulation.state.apply_order(ReleaseInput.ROLLBACK, "")
        simulation.run_until(ReleasePhase.IDLE)
        assert simulation.state.stable_version == "v2"
        assert {member.version for member in simulation.members.values()} == {"v2"}
        assert simulation.most_down == budget.compute_limit(size)


def test_a_change_of_the_leader_frees_no_budget() -> None:
    simulation = RolloutSimulation(5, DisruptionBudget(1)).run_until_all_serve()
    simulation.state = simulation.state.start_release("v2", (1.0,), False)
    while not simulation.down:
        simulation.run_second()
    (missing,) = simulation.down
    simulation.down[missing] = 10**18  # the server does not return by itself
    simulation.leader = simulation.new_leader("b")
    for _ in range(60):
        simulation.run_second()
    assert simulation.leader.is_leader(simulation.state)
    assert simulation.most_down == 1
    assert simulation.state.servers[missing].state is InstanceState.OUT
    simulation.run_until(ReleasePhase.HALTED)
    assert simulation.state.servers[missing].state is InstanceState.MISSING
    assert "missing" in simulation.state.release.reason
    simulation.state = simulation.state.retire(SERVERS_GROUP, missing).apply_order(
        ReleaseInput.RESUME, ""
    )
    del simulation.members[missing]
    del simulation.down[missing]
    simulation.run_until(ReleasePhase.IDLE)
    assert simulation.most_down == 1
    assert simulation.state.stable_version == "v2"


def test_a_silent_server_counts_against_the_budget_until_it_is_seen() -> None:
    simulation = RolloutSimulation(4, DisruptionBudget(1)).run_until_all_serve()
    simulation.silent.add("n2")
    simulation.state = simulation.state.start_release("v2", (1.0,), False)
    for _ in range(30):
        simulation.run_second()
    assert simulation.state.servers["n2"].state is InstanceState.MISSING
    assert simulation.most_down <= 1
    # At most one server was sent out before n2 counted as silent.
    assert sum(instance.version == "v2" for instance in simulation.state.servers.values()) <= 2
    simulation.silent.clear()
    simulation.run_until(ReleasePhase.IDLE)
    assert simulation.most_down == 1
    assert simulation.state.stable_version == "v2"


def test_an_unused_permit_is_revoked_if_a_crash_exceeds_the_budget() -> None:
    simulation = RolloutSimulation(6, DisruptionBudget(2)).run_until_all_serve()
    state = simulation.leader.run_round(
        simulation.now_ns,
        simulation.state.start_release("v2", (1.0,), False),
        list(simulation.members.values()),
    )
    permitted = [
        name for name, instance in state.servers.items() if instance.state is InstanceState.GRANTED
    ]
    crashed = next(name for name in state.servers if name not in permitted)
    state = state.apply_input(SERVERS_GROUP, crashed, InstanceInput.LOST)[0]
    state = simulation.leader.run_round(
        simulation.now_ns,
        state,
        [report for name, report in simulation.members.items() if name != crashed],
    )
    assert len(permitted) == 2
    assert [state.servers[name].state for name in permitted].count(InstanceState.GRANTED) == 1


def test_a_gap_between_rounds_does_not_count_as_silence() -> None:
    """The store is unavailable for a minute. After it no server counts as missing, and none is sent
    out because of earlier observations.
    """
    simulation = RolloutSimulation(4, DisruptionBudget(1)).run_until_all_serve()
    simulation.state = simulation.state.start_release("v2", (1.0,), False)
    simulation.run_until(ReleasePhase.EVALUATING)
    simulation.now_ns += 60 * NS_PER_SECOND
    state = simulation.leader.run_round(
        simulation.now_ns, simulation.state, list(simulation.members.values())
    )
    assert not state.groups[SERVERS_GROUP].out_count
    assert state.release.phase is not ReleasePhase.HALTED
    other = simulation.new_leader("b")
    assert other.acquire_leadership(simulation.now_ns, state, 1) is None
    assert other.acquire_leadership(simulation.now_ns + 70 * NS_PER_SECOND, state, 1) is None


def test_a_restart_is_a_loss_unless_the_last_incarnation_reported_that_it_leaves() -> None:
    for previous_incarnation, is_lost in ((1, False), (0, True)):
        simulation = RolloutSimulation(3, DisruptionBudget(1)).run_until_all_serve()
        simulation.state = replace(
            simulation.state.start_release("v2", (1.0,), False), groups=simulation.state.groups
        )
        instance = replace(
            simulation.state.servers["n1"], release_number=1, version="v2", next_version="v2"
        )
        simulation.state = simulation.state.with_instance(SERVERS_GROUP, "n1", instance)
        simulation.members["n1"] = ServerReport(
            "n1", 2, 0, version="v2", previous_incarnation=previous_incarnation
        )
        for round_index in range(2):
            simulation.now_ns += NS_PER_SECOND
            reports = [
                replace(report, heartbeat=report.heartbeat + 1 + round_index)
                for report in simulation.members.values()
            ]
            simulation.state = simulation.leader.run_round(
                simulation.now_ns, simulation.state, reports
            )
        assert (simulation.state.release.phase is ReleasePhase.HALTED) is is_lost, (
            simulation.state.history
        )


def test_downstream_instances_are_drained_within_their_budget() -> None:
    addresses = ("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1")
    leader = RolloutLeader(
        "a",
        SETTINGS,
        {SERVERS_GROUP: DisruptionBudget(), "db": DisruptionBudget(1)},
        {"db": addresses},
    )
    state, reports = RolloutState(), {name: ServerReport(name, 1, 0) for name in ("n1", "n2")}

    def run(state: RolloutState, seconds: int, now_ns: list[int] = [0]) -> RolloutState:
        for _ in range(4 * seconds):
            now_ns[0] += NS_PER_SECOND // 4
            for name, report in reports.items():
                reports[name] = replace(report, heartbeat=report.heartbeat + 1)
            state = leader.acquire_leadership(now_ns[0], state, 0) or leader.run_round(
                now_ns[0], state, reports.values()
            )
        return state

    state = run(state, 4)
    assert [instance.state for instance in state.groups["db"].instances.values()] == [
        InstanceState.IN
    ] * 3
    for address in addresses[:2]:
        state = state.request_drain("db", address, 5000)
    with pytest.raises(OrderRejectedError, match="already requested to drain"):
        state.request_drain("db", addresses[0], 1)
    state = run(state, 1)
    first, second = (state.groups["db"].instances[address] for address in addresses[:2])
    assert (first.state, second.state) == (InstanceState.GRANTED, InstanceState.IN)
    assert (
        state.apply_input(
            "db", addresses[0], InstanceInput.BEGIN, incarnation=1, ticket=second.drain_ticket
        )[1]
        == ""
    )  # the ticket of another order
    state, effect = state.apply_input(
        "db", addresses[0], InstanceInput.BEGIN, incarnation=1, ticket=first.drain_ticket
    )
    assert effect
    assert state.list_ejected_instances() == [("db", addresses[0])]
    state = run(state, 4)
    assert (
        state.groups["db"].instances[addresses[1]].state is InstanceState.IN
    )  # the budget is used up
    # The five seconds of the first drain are over, so the second instance may leave.
    state = run(state, 3)
    assert state.list_ejected_instances() == []
    assert state.groups["db"].instances[addresses[1]].state in (
        InstanceState.GRANTED,
        InstanceState.BACK,
    )
    reports["n1"] = replace(reports["n1"], downstream={addresses[2]: (1, 9)})
    state = run(state, 1)
    assert state.groups["db"].instances[addresses[2]].state is InstanceState.MISSING
    reports["n1"] = replace(reports["n1"], downstream={})
    assert run(state, 3).groups["db"].instances[addresses[2]].state is InstanceState.IN
