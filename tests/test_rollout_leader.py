"""Rounds of the leader on a clock of its own: the budget, silence, leaders that come and go."""

from dataclasses import replace

import pytest
import rig  # noqa: F401  (finds benchmarks/)
from rollout_core import TERMS, S, World
from rollout_waves import one

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


def test_a_bad_release_on_whole_servers_is_halted_and_rolled_back() -> None:
    """One step in fifty at the store is lost; the lab's checker of the rules looks on."""
    told = one(10, "agreed", 1, True)
    assert not told["faults"] and told["most"] == 1 and not told["over"] and told["ever"] == 1, told
    assert 0 < told["halted"] < 60 and 0 < told["back"] < 30, told


def test_a_release_is_finished_and_a_bad_one_rolled_back_within_the_budget() -> None:
    for size, budget in ((3, DisruptionBudget(1)), (30, DisruptionBudget(max_out_share=0.1))):
        world = World(size, budget).settled()
        world.state = world.state.start_release("v2", (1, 0.1, 0.5, 1.0), False)
        world.until(ReleasePhase.IDLE)
        assert world.state.stable_version == "v2"
        assert world.most_down == budget.compute_limit(size)
        assert {member.version for member in world.members.values()} == {"v2"}
        world.failure_rates["v3"] = 0.3
        world.state = world.state.start_release("v3", (1, 0.1, 0.5, 1.0), False)
        world.until(ReleasePhase.HALTED)
        ran = sum(member.version == "v3" for member in world.members.values())
        assert ran <= 1 and "voided" in world.state.release.reason, world.state.release
        with pytest.raises(OrderRejectedError, match="halted"):
            world.state.start_release("v4", (1.0,), False)
        world.state = world.state.apply_order(ReleaseInput.ROLLBACK, "")
        world.until(ReleasePhase.IDLE)
        assert world.state.stable_version == "v2"
        assert {member.version for member in world.members.values()} == {"v2"}
        assert world.most_down == budget.compute_limit(size)


def test_no_permit_is_freed_by_a_lost_leader() -> None:
    world = World(5, DisruptionBudget(1)).settled()
    world.state = world.state.start_release("v2", (1.0,), False)
    while not world.down:
        world.second()
    (gone,) = world.down
    world.down[gone] = 10**18  # it never comes back by itself
    world.leader = world.new_leader("b")
    for _ in range(60):
        world.second()
    assert world.leader.is_leader(world.state)
    assert world.most_down == 1
    assert world.state.servers[gone].state is InstanceState.OUT
    world.until(ReleasePhase.HALTED)
    assert world.state.servers[gone].state is InstanceState.MISSING
    assert "missing" in world.state.release.reason
    world.state = world.state.retire(SERVERS_GROUP, gone).apply_order(ReleaseInput.RESUME, "")
    del world.members[gone]
    del world.down[gone]
    world.until(ReleasePhase.IDLE)
    assert world.most_down == 1
    assert world.state.stable_version == "v2"


def test_a_silent_server_holds_the_budget_until_it_is_seen() -> None:
    world = World(4, DisruptionBudget(1)).settled()
    world.silent.add("n2")
    world.state = world.state.start_release("v2", (1.0,), False)
    for _ in range(30):
        world.second()
    assert world.state.servers["n2"].state is InstanceState.MISSING
    assert world.most_down <= 1
    # Sent out before it fell silent.
    assert sum(instance.version == "v2" for instance in world.state.servers.values()) <= 2
    world.silent.clear()
    world.until(ReleasePhase.IDLE)
    assert world.most_down == 1
    assert world.state.stable_version == "v2"


def test_permits_are_revoked_where_a_crash_has_taken_the_budget() -> None:
    world = World(6, DisruptionBudget(2)).settled()
    now = world.leader.run_round(
        world.now, world.state.start_release("v2", (1.0,), False), list(world.members.values())
    )
    sent = [
        name for name, instance in now.servers.items() if instance.state is InstanceState.GRANTED
    ]
    gone = next(name for name in now.servers if name not in sent)
    now = now.apply_input(SERVERS_GROUP, gone, InstanceInput.LOST)[0]
    now = world.leader.run_round(
        world.now, now, [one for name, one in world.members.items() if name != gone]
    )
    assert len(sent) == 2
    assert [now.servers[name].state for name in sent].count(InstanceState.GRANTED) == 1


def test_a_leader_that_did_not_look_takes_nobody_for_silent() -> None:
    """The store is away for a minute: nobody is missing because of that, nor sent out on what was
    seen before.
    """
    world = World(4, DisruptionBudget(1)).settled()
    world.state = world.state.start_release("v2", (1.0,), False)
    world.until(ReleasePhase.EVALUATING)
    world.now += 60 * S
    after = world.leader.run_round(world.now, world.state, list(world.members.values()))
    assert not after.groups[SERVERS_GROUP].out_count
    assert after.release.phase is not ReleasePhase.HALTED
    other = world.new_leader("b")
    assert other.acquire_leadership(world.now, after, 1) is None
    assert other.acquire_leadership(world.now + 70 * S, after, 1) is None


def test_an_incarnation_that_left_in_good_order_is_no_loss() -> None:
    for former, lost in ((1, False), (0, True)):
        world = World(3, DisruptionBudget(1)).settled()
        world.state = replace(
            world.state.start_release("v2", (1.0,), False), groups=world.state.groups
        )
        instance = replace(
            world.state.servers["n1"], release_number=1, version="v2", next_version="v2"
        )
        world.state = world.state.with_instance(SERVERS_GROUP, "n1", instance)
        world.members["n1"] = ServerReport("n1", 2, 0, version="v2", previous_incarnation=former)
        for beat in range(2):
            world.now += S
            members = [
                replace(one, heartbeat=one.heartbeat + 1 + beat) for one in world.members.values()
            ]
            world.state = world.leader.run_round(world.now, world.state, members)
        assert (world.state.release.phase is ReleasePhase.HALTED) is lost, world.state.history


def test_downstream_instances_are_drained_within_their_budget() -> None:
    below = ("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1")
    leader = RolloutLeader(
        "a", TERMS, {SERVERS_GROUP: DisruptionBudget(), "db": DisruptionBudget(1)}, {"db": below}
    )
    state, members = RolloutState(), {name: ServerReport(name, 1, 0) for name in ("n1", "n2")}

    def run(state: RolloutState, seconds: int, at: list[int] = [0]) -> RolloutState:
        for _ in range(4 * seconds):
            at[0] += S // 4
            for name, member in members.items():
                members[name] = replace(member, heartbeat=member.heartbeat + 1)
            state = leader.acquire_leadership(at[0], state, 0) or leader.run_round(
                at[0], state, members.values()
            )
        return state

    state = run(state, 4)
    assert [instance.state for instance in state.groups["db"].instances.values()] == [
        InstanceState.IN
    ] * 3
    for address in below[:2]:
        state = state.request_drain("db", address, 5000)
    with pytest.raises(OrderRejectedError, match="already requested to drain"):
        state.request_drain("db", below[0], 1)
    state = run(state, 1)
    first, second = (state.groups["db"].instances[address] for address in below[:2])
    assert (first.state, second.state) == (InstanceState.GRANTED, InstanceState.IN)
    assert (
        state.apply_input(
            "db", below[0], InstanceInput.BEGIN, incarnation=1, ticket=second.drain_ticket
        )[1]
        == ""
    )  # another's order
    state, effect = state.apply_input(
        "db", below[0], InstanceInput.BEGIN, incarnation=1, ticket=first.drain_ticket
    )
    assert effect
    assert state.list_ejected_instances() == [("db", below[0])]
    state = run(state, 4)
    assert state.groups["db"].instances[below[1]].state is InstanceState.IN  # no room yet
    state = run(state, 3)  # its five seconds are over: it is called again, and the next may leave
    assert state.list_ejected_instances() == []
    assert state.groups["db"].instances[below[1]].state in (
        InstanceState.GRANTED,
        InstanceState.BACK,
    )
    members["n1"] = replace(members["n1"], downstream={below[2]: (1, 9)})
    state = run(state, 1)
    assert state.groups["db"].instances[below[2]].state is InstanceState.MISSING
    members["n1"] = replace(members["n1"], downstream={})
    assert run(state, 3).groups["db"].instances[below[2]].state is InstanceState.IN
