"""The checker of the scale run reports planted faults, and a small scale run passes."""

import asyncio
import json
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from hollow_hosts import KEY, Hosts, clock, spread
from rig import ROOT, wait_until  # first: it has the benchmarks found
from scale_checker import Budget, Checker, Contents, Faults, digest_of, worst_rate
from scale_run import Run, Setting, play_run

from burlloom.distribution.changes import initial_head
from burlloom.distribution.endpoint import Endpoint
from burlloom.lab.distances import Cut, lay_out_servers, make_place
from burlloom.lab.hollow_configuration import HostEndpoint
from burlloom.time_units import NS_PER_SECOND

TOTAL = 30_000


def shares() -> list[list[Any]]:
    """Returns events of ten servers with a share of three calls each.

    One server gives up a call, which another server then gets.
    """
    told = [
        event
        for at in range(10)
        for event in (
            [at, f"h{at}", "began", "fleet", 1],
            [NS_PER_SECOND + at, f"h{at}", "share", 3000],
        )
    ]
    return [
        *told,
        [3 * NS_PER_SECOND, "h1", "share", 2000],
        [4 * NS_PER_SECOND, "h2", "share", 4000],
    ]


def test_shares_up_to_the_total_pass():
    found = Checker(TOTAL).check(shares())
    assert found.faults.count == 0
    assert found.shared_calls.worst == 1.0


@pytest.mark.parametrize(
    "planted",
    [
        [[5 * NS_PER_SECOND, "h3", "share", 6000]],
        [
            [2 * NS_PER_SECOND, "h1", "stands", "fleet", 9.0],
            [2 * NS_PER_SECOND + 1, "h2", "share", 6000],
        ],  # the calls of a paused server still count
        [[2 * NS_PER_SECOND, "h11", "share", 3000]],
    ],
)
def test_shares_above_the_total_are_reported(planted: list[list[Any]]):
    found = Checker(TOTAL).check(shares() + planted)
    assert found.faults.count == 1
    assert "shared out" in found.faults.texts[0]


@pytest.mark.parametrize(
    "well",
    [
        [
            [5 * NS_PER_SECOND, "h1", "ended", "fleet", 0],
            [5 * NS_PER_SECOND + 1, "h2", "share", 6000],
        ],
        [
            [5 * NS_PER_SECOND, "h1", "stands", "fleet", 20.0],
            [12 * NS_PER_SECOND, "h2", "share", 6000],
            [25 * NS_PER_SECOND, "h1", "wakes", "fleet", 0],
            [25 * NS_PER_SECOND + 1, "h1", "share", 0],
        ],
    ],
)
def test_a_share_that_was_given_up_may_be_granted_again(well: list[list[Any]]):
    assert Checker(TOTAL).check(shares() + well).faults.texts == []


def changes(servers: int = 4, count: int = 20) -> list[list[Any]]:
    """Returns events of one change per second, in force on all servers 0.1 s later."""
    told = []
    for at in range(servers):
        told += [[at, f"h{at}", "began", "follower", 1], [at + 10, f"h{at}", "synced", 1, 0]]
    for revision in range(1, count + 1):
        now = revision * NS_PER_SECOND
        told.append([now, "run", "put", 1, revision, f"d{revision}"])
        told += [
            [now + NS_PER_SECOND // 10 + at, f"h{at}", "applied", 1, revision, f"d{revision}"]
            for at in range(servers)
        ]
    return [*told, [200 * NS_PER_SECOND, "run", "nothing"]]


def without(events: list[list[Any]], name: str, *revisions: int) -> list[list[Any]]:
    """Returns the events without these changes on a server."""
    return [
        event
        for event in events
        if not (event[1] == name and event[2] == "applied" and event[4] in revisions)
    ]


def test_changes_applied_in_order_pass():
    found = Checker().check(changes())
    assert found.faults.texts == []
    assert (found.order.applied, len(found.order.delays), found.order.late) == (80, 80, 0)
    assert max(delay for _, delay in found.order.delays) == NS_PER_SECOND // 10 + 3


def test_a_lost_change_is_reported():
    """The next change shows a loss; the loss of the last one shows because it is never in force."""
    assert Checker().check(without(changes(), "h2", 7)).faults.texts == [
        "8.100: h2 applies 1/8 after 6: and lost 1 before it"
    ]
    found = Checker().check(without(changes(), "h2", 20)).faults
    assert found.count == 1
    assert "h2 never has 1/20 in force" in found.texts[0]


def test_a_change_out_of_order_is_reported():
    told = without(changes(), "h1", 7, 8)
    found = Checker().check(
        [
            *told,
            [8 * NS_PER_SECOND + NS_PER_SECOND // 2, "h1", "applied", 1, 8, "d8"],
            [8 * NS_PER_SECOND + NS_PER_SECOND // 2 + 1, "h1", "applied", 1, 7, "d7"],
        ]
    )
    assert [fault.split(": ", 1)[1] for fault in found.faults.texts][:2] == [
        "h1 applies 1/8 after 6: and lost 1 before it",
        "h1 applies 1/7 after 8: out of order",
    ]


def test_a_repeated_altered_or_unknown_change_is_reported():
    for event, word in (
        ([3 * NS_PER_SECOND + NS_PER_SECOND // 2, "h1", "applied", 1, 3, "d3"], "out of order"),
        ([21 * NS_PER_SECOND, "h1", "applied", 1, 21, "d21"], "nobody put"),
    ):
        assert word in Checker().check([*changes(), event]).faults.texts[0]
    told = without(changes(), "h1", 20)
    assert (
        "something else"
        in Checker()
        .check([*told, [20 * NS_PER_SECOND + 9, "h1", "applied", 1, 20, "other"]])
        .faults.texts[0]
    )
    # A change that is not for a server arrives without its body.
    assert (
        Checker().check([*told, [20 * NS_PER_SECOND + 9, "h1", "applied", 1, 20, ""]]).faults.texts
        == []
    )


def test_a_late_change_is_reported_unless_the_server_was_cut_off():
    late = [*without(changes(), "h1", 20), [27 * NS_PER_SECOND, "h1", "applied", 1, 20, "d20"]]
    assert "7.00 s after" in Checker().check(late).faults.texts[0]
    out = [
        [19 * NS_PER_SECOND + NS_PER_SECOND // 2, "h1", "cut"],
        [26 * NS_PER_SECOND, "h1", "healed"],
    ]
    found = Checker().check(late + out)
    assert found.faults.texts == []
    assert found.order.catch_ups[-1] == (26 * NS_PER_SECOND, NS_PER_SECOND)
    never = Checker().check([*without(changes(), "h1", 20), *out])
    assert "never caught up" in never.faults.texts[0]


def test_a_new_incarnation_begins_with_a_sync():
    told = without(changes(), "h1", *range(5, 21))
    life = [
        [5 * NS_PER_SECOND, "h1", "ended", "follower", 0],
        [9 * NS_PER_SECOND + 1, "h1", "began", "follower", 2],
        [10 * NS_PER_SECOND, "h1", "synced", 1, 9],
    ]
    rest = [
        event
        for event in changes()
        if event[1] == "h1" and event[2] == "applied" and event[4] >= 10
    ]
    assert Checker().check(told + life + rest).faults.texts == []


def test_wrong_contents_and_exceeded_budgets_are_reported():
    faults = Faults()
    contents = Contents({"region:0": digest_of([b"b", b"a"])}, faults)
    contents.event(1, "h0", "holds", ("region:0", digest_of([b"a", b"b"])))
    assert faults.count == 0
    contents.event(1, "h1", "holds", ("region:0", digest_of([b"a"])))
    assert faults.count == 1
    told = [
        [at * NS_PER_SECOND, "server1", "process", at * 0.05 if at > 20 else 1.0, 2**20]
        for at in range(0, 60)
    ]
    found = Checker(budgets={"server": Budget()}).check(told)
    assert found.faults.count == 1
    assert "server1: 50.0 ms of processor time a second over 10 s" in found.faults.texts[0]
    assert worst_rate([(0, 0.0), (NS_PER_SECOND, 5.0)], 10.0) == 5.0
    heavy = [[at * NS_PER_SECOND, "server1", "traffic", at * 10_000] for at in range(20)] + [
        [0, "server2", "process", 0.0, 2**30]
    ]
    assert Checker(budgets={"server": Budget()}).check(heavy).faults.count == 2


def test_a_cut_blocks_one_or_both_directions_between_groups():
    one, same, far = make_place("a", 0, 0, 0), make_place("b", 0, 0, 1), make_place("c", 2, 7, 0)
    away = Cut(frozenset({"zone:0"}))
    assert away.blocks(one, far)
    assert away.blocks(far, one)
    assert not away.blocks(one, same)
    deaf = Cut(frozenset({"name:c"}), frozenset({"rack:0.1"}), both=False)
    assert deaf.blocks(far, same)
    assert not deaf.blocks(same, far)
    assert not deaf.blocks(far, one)
    assert len({where.zone for where in lay_out_servers(30)}) == 14
    assert len({where.region for where in lay_out_servers(30)}) == 6


def read(folder: Path) -> list[list[Any]]:
    """Returns the events of all files in a folder."""
    return [
        json.loads(line)
        for path in folder.glob("*.jsonl")
        for line in path.read_text().splitlines()
    ]


async def fleet_of_hollow_servers(folder: Path, main: tuple[str, ...], count: int = 12) -> Checker:
    """Runs a fleet in two host processes and returns the checker of its events.

    The first member is the allocator. Two members are killed and started again, so that shares are
    withdrawn and granted again.
    """
    places = lay_out_servers(count)
    terms = {"total_millicalls": 2000 * count, "min_members": count // 2 + 1}
    cores = {"fleet": {"key": KEY, "terms": terms, "seeds": [], "demand": 6.0}}
    async with Hosts(folder, [(group, cores) for group in spread(places, 2)], 1, main) as hosts:
        seeds = [hosts.address(name, "fleet") for name in ("h0", "h1", "h2")]
        hosts.tell("places", places=hosts.places(), cores={"fleet": {"seeds": seeds}})
        hosts.tell_names("start", ["h0"])
        await asyncio.sleep(0.5)
        hosts.tell("start")
        await wait_until(lambda: hosts.facts().get("share", 0) >= 0.95 * terms["total_millicalls"])
        began = clock()
        hosts.tell_names("kill", ["h3", "h4"])
        await wait_until(lambda: hosts.up() == count - 2 and clock() - began > 2 * NS_PER_SECOND)
        hosts.tell_names("start", ["h3", "h4"])
        await wait_until(
            lambda: (
                hosts.up() == count
                and hosts.facts().get("share", 0) >= 0.95 * terms["total_millicalls"]
            )
        )
        faults = [fault for host in hosts.hosts for fault in host.faults]
    assert faults == []
    return Checker(terms["total_millicalls"]).check(read(folder))


def test_hollow_servers_share_a_quota(tmp_path: Path):
    found = asyncio.run(fleet_of_hollow_servers(tmp_path, ("-m", "burlloom.lab.hollow")))
    assert found.faults.texts == []
    assert 0.95 <= found.shared_calls.worst <= 1.05


def test_an_allocator_that_grants_too_much_is_reported(tmp_path: Path):
    found = asyncio.run(
        fleet_of_hollow_servers(tmp_path, (str(ROOT / "tests" / "planted_host.py"), "share"))
    )
    assert found.faults.count > 0
    assert "shared out" in found.faults.texts[0]


# Time limits are a minute and budgets are off, so that a busy machine does not fail the test.
SMALL = Setting(
    servers=60,
    hosts=2,
    control=3,
    real=2,
    rate=2.0,
    loss=0.01,
    entries=100,
    seed=1,
    pace=0.17,
    only=("churn", "zone", "region"),
    within=60.0,
    budgets=False,
)
PLANT = replace(SMALL, servers=28, control=2, real=0, rate=5.0, only=("churn",))


def test_a_small_scale_run_passes():
    run, found = play_run(SMALL, print)
    assert found.faults.texts == []
    assert run.faults == []
    assert run.rules.violations == []
    assert found.contents.compared == 60
    assert found.order.applied > 100
    assert found.order.catch_ups
    assert found.shared_calls.worst > 0.5
    assert sum(real.settled for real in run.reals) > 0
    assert len(run.configured) == 2
    assert all(run.configured.values())


@pytest.mark.parametrize(("plant", "word"), [("gap", "lost"), ("content", "something else")])
def test_a_planted_fault_is_reported(plant: str, word: str):
    _, found = play_run(
        replace(PLANT, main=(str(ROOT / "tests" / "planted_host.py"), plant), patience=5.0), print
    )
    assert any(word in fault for fault in found.faults.texts)


def test_the_same_run_without_a_fault_passes():
    _, found = play_run(PLANT, print)
    assert found.faults.texts == []


class SlowStore:
    """A store that takes a change at once and answers later.

    Attributes:
        appended: The changes that it took.
    """

    def __init__(self) -> None:
        self.appended: list[Any] = []

    async def head(self) -> Any:
        return initial_head(1, 0)

    async def append(self, change: Any) -> bool:
        self.appended.append(change)
        await asyncio.sleep(0.05)
        return True


def test_a_put_that_is_cancelled_halfway_is_in_the_events(tmp_path: Path):
    """Guards against changes "which nobody put": in the store as a phase ended, and not noted."""

    async def cancel_halfway() -> tuple[int, int]:
        run = Run(replace(SMALL, rate=1000.0), tmp_path, print)
        store: Any = SlowStore()
        run.store = store
        putting = asyncio.create_task(run.put_changes())
        await wait_until(lambda: store.appended)
        putting.cancel()
        await asyncio.gather(putting, return_exceptions=True)
        return len(store.appended), len(run.events)

    assert asyncio.run(cancel_halfway()) == (1, 1)


def test_the_endpoint_of_a_host_has_all_methods_of_a_control_nodes():
    """Guards against a control node of the lab whose report fails each second on a missing name."""
    datagram_methods = {"datagram_received", "error_received"}  # called by the event loop alone
    wanted = {name for name in vars(Endpoint) if not name.startswith("_")} - datagram_methods
    assert {name for name in wanted if not hasattr(HostEndpoint([]), name)} == set()
