"""Tests of fleets of members in simulated time, with and without failures."""

from random import Random

import pytest

from burlloom.fleet import MILLICALLS_PER_CALL, QuotaSettings
from burlloom.lab.clock import simulated_loop
from burlloom.lab.fleets import SimulatedNetwork, Swarm, SwarmMember


def run_chaos(seed: int, members: int = 7, calls: int = 60, seconds: float = 90) -> None:
    """Runs a fleet with random failures, then heals the network and checks the shares.

    Failures are kills, pauses, partitions in one or both directions, message losses of up to 20%
    and delays of up to 300 ms. The total is checked throughout.
    """
    random = Random(seed)
    with simulated_loop() as loop:
        network = SimulatedNetwork(
            loop,
            seed,
            (0.0003, random.choice([0.001, 0.05, 0.3])),
            random.choice([0, 0.05, 0.2]),
            0.1,
        )
        swarm = Swarm(
            loop, network, QuotaSettings(calls * MILLICALLS_PER_CALL, members // 2 + 1), seed=seed
        )

        def check_total() -> None:
            assert swarm.total_calls() <= 1.05 * calls, (seed, loop.now_s, swarm.total_calls())

        swarm.sample = check_total
        swarm_members = swarm.add(members, 1000.0)
        swarm.run(5)
        while loop.now_s < seconds:
            disturb(swarm, random.choice(swarm_members), random)
            swarm.run(random.choice([0.3, 1, 3, 10, 25]))
        network.heal()
        for member in swarm_members:
            member.demand = 1000.0
            if member.fleet_member is None:
                swarm.start(member)
            elif member.paused_at_s >= 0:
                swarm.resume(member)
        swarm.run(30)
        assert swarm.has_agreed_view(), seed
        shares = swarm.shares()
        assert sum(shares) >= 0.95 * calls and max(shares) - min(shares) <= 1, (seed, shares)


def disturb(swarm: Swarm, member: SwarmMember, random: Random) -> None:
    """Applies one random failure, recovery or change of demand."""
    paused = member.paused_at_s >= 0
    match random.choice(
        [
            "kill",
            "start",
            "start",
            "pause",
            "resume",
            "resume",
            "two-way-cut",
            "one-way-cut",
            "heal",
            "heal",
            "leave",
            "change-demand",
        ]
    ):
        case "kill":
            swarm.kill(member)
        case "start" if member.fleet_member is None:
            swarm.start(member)
        case "pause" if member.fleet_member is not None and not paused:
            swarm.pause(member)
        case "resume" if member.fleet_member is not None and paused:
            swarm.resume(member)
        case "two-way-cut" | "one-way-cut" as kind:
            side = [other.address for other in swarm.members.values() if random.random() < 0.4]
            other_side = [
                other.address for other in swarm.members.values() if other.address not in side
            ]
            swarm.network.cut(side, other_side, kind == "two-way-cut")
        case "heal":
            swarm.network.heal()
        case "leave" if not paused:
            swarm.leave(member)
        case "change-demand":
            member.demand = random.choice([0.5, 3.0, 1000.0])


@pytest.mark.parametrize("seed", range(1, 7))
def test_a_fleet_never_exceeds_the_total_under_random_failures(seed: int) -> None:
    run_chaos(seed)


def test_a_fleet_that_grows_and_shrinks_shares_evenly() -> None:
    with simulated_loop() as loop:
        swarm = Swarm(loop, SimulatedNetwork(loop, 1), QuotaSettings(160 * MILLICALLS_PER_CALL, 3))
        swarm_members = swarm.add(3, 1000.0)
        swarm.sample = lambda: (
            None if swarm.total_calls() <= 1.05 * 160 else pytest.fail(str(swarm.total_calls()))
        )
        swarm.run(4)
        swarm_members += swarm.add(37, 1000.0)
        swarm.run(8)
        mean: dict[str, float] = {}
        for _ in range(30):
            swarm.run(1)
            for member in swarm_members:
                mean[member.name] = mean.get(member.name, 0.0) + member.calls_in_progress / 30
        assert swarm.has_agreed_view() and all(abs(share - 4) <= 0.4 for share in mean.values()), (
            sorted(mean.values())
        )
        for member in swarm_members[3:]:
            swarm.leave(member)
        swarm.run(6)
        assert all(abs(share - 160 / 3) <= 0.1 * 160 / 3 for share in swarm.shares()), (
            swarm.shares()
        )
