"""Costs by servers at small sizes.

A scripted crowd loads its one real member like a swarm of real members does, and each part measures
all of its costs.
"""

import pytest
import rig  # noqa: F401  (finds benchmarks/)
from click.testing import CliRunner
from scale import scale
from scale_crowd import START, Crowd, filled, members_most, terms, words
from scale_servers import PARTS, Slope, budget_size, measure
from scale_swarms import after_deaths, swarm_of

from burlloom.fleet import MemberState
from burlloom.fleet.membership import MembershipView
from burlloom.lab.slopes import Row


def test_a_crowd_asks_of_a_member_what_a_swarm_does() -> None:
    """Compares messages and bytes per second at rest, of one member among thirty."""
    crowd = Crowd(30, 15)
    crowd.run(5)
    before = crowd.tally.sent, crowd.tally.bytes_sent
    crowd.run(30)
    with swarm_of(30, terms(30)) as swarm:
        sent, octets = swarm.network.sent, swarm.network.bytes_sent
        swarm.run(30)
        # One of thirty is the allocator; its grants to the others are not counted.
        each = (swarm.network.sent - sent - 29 * 5 * 30) / 30 / 30
        assert (crowd.tally.sent - before[0]) / 30 == pytest.approx(each, rel=0.1)
        assert (
            crowd.tally.bytes_sent - before[1]
            < (swarm.network.bytes_sent - octets) / 30
            < 2 * (crowd.tally.bytes_sent - before[1])
        )
    members = crowd.fleet.view
    assert len(members.present_members()) == 30
    assert not crowd.fleet.counters.suspected
    assert not crowd.fleet.counters.unreadable


def test_one_that_deals_deals_to_its_crowd() -> None:
    crowd = Crowd(30, 0)
    crowd.run(8)
    shares = [peer.share for peer in crowd.peers[1:]]
    assert crowd.fleet.allocator.phase.name == "ALLOCATING"
    assert sum(shares) + crowd.fleet.share == pytest.approx(terms(30).total_millicalls, rel=0.01)
    assert min(shares) >= 3000


@pytest.mark.parametrize("at", [0, 20])
def test_news_of_the_crowd_come_to_the_member_and_end(at: int) -> None:
    """After a leave, a restart and a death all views agree, and no further views are requested."""
    crowd = Crowd(40, at, churn=1e-9)
    crowd.run(4)
    left, dead = crowd.peers[10], crowd.peers[11]
    crowd.leaves(left)
    crowd.dies(dead)
    crowd.later(2_000_000_000, crowd.comes, left)
    crowd.run(20)
    view = crowd.fleet.view
    assert view.by_name["n10"].update == left.word
    assert view.by_name["n10"].state is MemberState.ALIVE
    assert view.by_name["n11"].state is MemberState.DEAD
    assert {peer.digest for peer in crowd.peers if peer.up and peer.at != at} == {view.digest}
    crowd.tally.kinds.clear()
    crowd.run(5)
    assert not crowd.tally.kinds.keys() & {"SYNC", "PAGE"}
    assert crowd.tally.kinds.keys() & {
        "PING",
        "ACK",
    }


def test_a_restart_and_a_death_are_as_many_bytes_in_a_crowd_as_in_a_swarm() -> None:
    """Compares the bytes sent above those at rest until ten seconds after a restart and a death.

    In a swarm it is the mean of all members, in crowds the mean of six.
    """
    with swarm_of(40, terms(40)) as swarm:

        def sends(seconds: float) -> float:
            before = swarm.network.bytes_sent
            swarm.run(seconds)
            return (swarm.network.bytes_sent - before) / 40

        rest, (one, other) = sends(12), swarm.running_members()[10:12]
        swarm.leave(one)
        restart = sends(2) - rest
        swarm.start(one)
        restart += sends(10)
        swarm.run(10)
        swarm.kill(other)
        death = sends(12) - rest
    in_crowds = [0.0, 0.0]
    for at in range(20, 38, 3):
        crowd = Crowd(40, at, churn=1e-9, seed=at)

        def more(began: int, crowd: Crowd = crowd) -> int:
            crowd.run(12)
            return crowd.tally.bytes_sent - began

        crowd.run(5)
        rest = more(crowd.tally.bytes_sent)
        before = crowd.tally.bytes_sent
        crowd.leaves(crowd.peers[10])
        crowd.later(2_000_000_000, crowd.comes, crowd.peers[10])
        in_crowds[0] += (more(before) - rest) / 6
        crowd.run(10)
        before = crowd.tally.bytes_sent
        crowd.dies(crowd.peers[11])
        in_crowds[1] += (more(before) - rest) / 6
    assert in_crowds == pytest.approx([restart, death], rel=0.4)


def test_a_swarm_begins_agreed_and_agrees_after_a_death() -> None:
    with swarm_of(12, terms(12)) as swarm:
        assert swarm.has_agreed_view()
        took, back = after_deaths(swarm, swarm.running_members()[4:5])
        assert 2 < took < 12
        assert 0 < back < 5


def test_the_bound_of_a_view_is_raised_for_the_benchmark_alone() -> None:
    with members_most(1200):
        assert MembershipView.MAX_MEMBERS == 1200
        assert len(filled(words(1200), 3).view.by_name) == 1200
    assert MembershipView.MAX_MEMBERS == 1000
    assert words(2600)[-1].incarnation < START // 1_000_000


SLOPES = {
    "member": {
        "member cpu",
        "member bytes",
        "member bytes sent",
        "member bytes received",
        "member messages sent",
        "member messages received",
    },
    "dealer": {"dealer cpu", "dealer bytes", "dealer messages"},
    "memory": {"view memory", "dealer memory"},
    "newcomer": {"newcomer cpu", "newcomer bytes", "newcomer time", "host cpu", "host bytes"},
    "release": {
        "release round cpu",
        "release idle round cpu",
        "release leader cpu",
        "book bytes",
        "book write cpu",
        "book read cpu",
        "book steps",
        "release read bytes",
        "store swap cpu",
        "store tell cpu",
        "store statements",
    },
    "discovery": {
        "discovery bytes",
        "discovery messages",
        "discovery cpu",
        "name service bytes",
        "name service messages",
    },
    "subset": {"subset cpu", "state file cpu"},
    "cold": {
        "agree after cold start",
        "cold start cpu",
        "cold start bytes",
        "member cpu",
        "member bytes",
        "dealer cpu",
    },
}


@pytest.mark.parametrize("name", SLOPES)
def test_each_part_gives_its_slopes(name: str) -> None:
    work, _, states = PARTS[name]
    found = work(20, states[0])
    assert {slope.name for slope in found} == SLOPES[name]
    assert all(value > 0 for value in found.values()), found


def test_rows_have_the_sizes_that_gave_them(monkeypatch: pytest.MonkeyPatch) -> None:
    def work(size: int, state: str) -> dict[Slope, float]:
        found = {Slope("a", "ms/s", state, "x"): 2.0 * size}
        return found | ({Slope("b", "s", state, "y"): 1.0} if size > 20 else {})

    monkeypatch.setitem(PARTS, "member", (work, (10, 20, 30, 40, 50), ("rest",)))
    a, b = measure("member", (), (), "now", lambda said: None)
    assert a.sizes == (10, 20, 30, 40, 50)
    assert a.values == (20, 40, 60, 80, 100)
    assert b.sizes == (30, 40, 50)
    assert budget_size(a) == "19"
    assert a.command == "python benchmarks/scale.py servers --part member --state rest"
    assert budget_size(Row("c", "servers", "1/s", "rest", a.sizes, a.values, "", "")) == "-"


def test_the_command_prints_a_table() -> None:
    told = CliRunner().invoke(scale, ["servers", "--part", "discovery", "--sizes", "30,100"])
    assert told.exit_code == 0
    assert "| discovery bytes | rest | B/s |" in told.output
