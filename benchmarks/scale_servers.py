"""Measures what control costs by the number of servers.

Measured are a plain member, the allocator, a newcomer, a release, the time until all members agree,
and discovery. Processor time is that of the member's own `tick` and `receive`. Bytes are those of
the messages, without the 28 that IP and UDP add to each. One real member runs among scripted peers
(scale_crowd.py); for agreement and cold starts, swarms of real members run in simulated time.
"""

import asyncio
import gc
import json
import socket
import tempfile
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from pathlib import Path
from random import Random
from statistics import median
from time import thread_time_ns

import click
import msgpack
from rich.console import Console
from rich.progress import Progress
from rollout_core import RolloutSimulation
from scale_crowd import (
    DEATHS,
    KEY,
    RESTARTS,
    START,
    Crowd,
    Tally,
    filled,
    members_most,
    terms,
    words,
)
from scale_swarms import after_cut, after_deaths, after_restart, metered, swarm_of

from burlloom.discovery.health_reporter import REPORT_INTERVAL_NS, HealthReporter
from burlloom.fleet import (
    MILLICALLS_PER_CALL,
    FleetMember,
    GossipSettings,
    MemberState,
    MemberUpdate,
    assign_subsets,
    summarize,
)
from burlloom.fleet.accounts import ShareReport
from burlloom.fleet.messages import Message, MessageKind, decode, encode
from burlloom.lab.slopes import Row, append_row, describe_fit, fit
from burlloom.rollout import DisruptionBudget, RolloutState, ServerReport
from burlloom.rollout import agent as agent_module
from burlloom.rollout.stores import decode_state, encode_state
from burlloom.rollout.stores.sqlite import SqliteRolloutStore
from burlloom.time_units import NS_PER_SECOND

SIZES = (30, 100, 300, 600, 1000, 1500, 2600)
BUDGETS = {"ms/s": 37.0, "B/s": 9000.0, "MB": 128.0}  # limits of a server for all of its control
SPANS = 5
MIN_EVENTS = 16  # mean number of restarts and deaths in a run with churn
VIEW_LIMIT_NOTE = (
    "a view ends at 1,000 (MEMBERS_MOST); past that the bound is raised in the benchmark alone"
)
MEMBER_NOTE = (
    "one real member among scripted peers in simulated time, a tick each 50 ms, default terms (round 200 ms);"
    " all sizes measured; "
)


@dataclass(frozen=True)
class Slope:
    """A row without sizes and values: name and unit of a cost, state and note."""

    name: str
    unit: str
    state: str
    note: str


Costs = dict[Slope, float]
Measurement = Callable[[int, str], Costs]
PARTS: dict[str, tuple[Measurement, tuple[int, ...], tuple[str, ...]]] = {}


def part(
    name: str, sizes: tuple[int, ...] = SIZES, states: tuple[str, ...] = ("rest", "churn")
) -> Callable[[Measurement], Measurement]:
    """Registers a function that measures costs, with its sizes and states."""

    def put(what: Measurement) -> Measurement:
        PARTS[name] = what, sizes, states
        return what

    return put


def run_crowd(crowd: Crowd, warm: float, seconds: float) -> Tally:
    """Returns what the real member did in `seconds` after a warm-up of `warm` s.

    Without churn its processor time is the median of five spans, because the time of a busy core
    comes in bursts.
    """
    crowd.run(warm)
    crowd.tally, crowd.events, costs = Tally(), 0, []
    gc.collect()
    gc.freeze()  # garbage collections in the member's time then skip the scripted peers
    try:
        for _ in range(SPANS):
            before = crowd.tally.cpu_ns
            crowd.run(seconds / SPANS)
            costs.append(crowd.tally.cpu_ns - before)
    finally:
        gc.unfreeze()
    if not crowd.churn:
        crowd.tally.cpu_ns = SPANS * int(median(costs))
    return crowd.tally


def reference_cost_ms() -> float:
    """Returns ms of processor time for a million squares, to show the speed of a core."""
    began, total = thread_time_ns(), 0
    for number in range(1_000_000):
        total += number * number
    return (thread_time_ns() - began) / 1e6


def churn_and_duration_s(size: int, state: str, least: float) -> tuple[float, float]:
    """Returns churn per server and second, and how many seconds to run for enough of it."""
    churn = RESTARTS + DEATHS if state == "churn" else 0.0
    return churn, max(least, MIN_EVENTS / (churn * size)) if churn else least


CHURN_NOTE = (
    "churn: 11,000 restarts and 740 deaths a day over 2,600 servers, in proportion; news among scripted peers by"
    " the rules"
)


@part("member")
def member(size: int, state: str) -> Costs:
    """Measures a plain member."""
    churn, seconds = churn_and_duration_s(size, state, 30.0)
    tally = run_crowd(Crowd(size, size // 2, churn=churn), 5.0, seconds)
    note = MEMBER_NOTE + VIEW_LIMIT_NOTE + (f"; {CHURN_NOTE}" if churn else "")
    return {
        Slope("member cpu", "ms/s", state, note): tally.cpu_ns / 1e6 / seconds,
        Slope("member bytes", "B/s", state, note + "; sent and received"): (
            tally.bytes_sent + tally.bytes_heard
        )
        / seconds,
        Slope("member bytes sent", "B/s", state, note): tally.bytes_sent / seconds,
        Slope("member bytes received", "B/s", state, note): tally.bytes_heard / seconds,
        Slope("member messages sent", "1/s", state, note): tally.sent / seconds,
        Slope("member messages received", "1/s", state, note): tally.heard / seconds,
    }


@part("dealer")
def dealer(size: int, state: str) -> Costs:
    """Measures the allocator."""
    churn, seconds = churn_and_duration_s(size, state, max(2.0, min(10.0, 3000 / size)))
    if churn:
        seconds = max(10.0, min(seconds, 60_000 / size))
    crowd = Crowd(size, 0, churn=churn)
    tally = run_crowd(crowd, 4.0, seconds)
    assert crowd.fleet.allocator.phase.name == "ALLOCATING", crowd.fleet.allocator.phase
    note = MEMBER_NOTE + VIEW_LIMIT_NOTE + (f"; {CHURN_NOTE}" if churn else "")
    return {
        Slope("dealer cpu", "ms/s", state, note): tally.cpu_ns / 1e6 / seconds,
        Slope("dealer bytes", "B/s", state, note + "; sent and received"): (
            tally.bytes_sent + tally.bytes_heard
        )
        / seconds,
        Slope("dealer messages", "1/s", state, note + "; sent and received"): (
            tally.sent + tally.heard
        )
        / seconds,
    }


@part("memory", states=("rest",))
def memory(size: int, state: str) -> Costs:
    """Measures the memory of views that were received in messages; the mean of three."""

    def view() -> FleetMember:
        all_of = [
            MemberUpdate(
                *[
                    str(one) if isinstance(one, str) else one
                    for one in msgpack.unpackb(msgpack.packb([*word]))
                ]
            )
            for word in words(size)
        ]
        all_of = [word._replace(state=MemberState(word.state)) for word in all_of]
        fleet = filled(all_of, 0)
        fleet.quota.refresh_presences()
        fleet.prober.next_target()
        return fleet

    def dealing(fleet: FleetMember) -> None:
        fleet.allocator.run_round(START, fleet.quota.presences, True)
        for at, word in enumerate(words(size)):
            fleet.allocator.process_report(
                START,
                word.name,
                word.incarnation,
                at,
                ShareReport(MILLICALLS_PER_CALL, MILLICALLS_PER_CALL, MILLICALLS_PER_CALL, 1000, 7),
            )

    gc.collect()
    tracemalloc.start()
    views = [view() for _ in range(3)]
    gc.collect()
    plain = tracemalloc.get_traced_memory()[0]
    for fleet in views:
        dealing(fleet)
    gc.collect()
    whole = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    note = (
        "tracemalloc over three members: view, what the dealing sees of it, order of probes; all sizes measured; "
        + VIEW_LIMIT_NOTE
    )
    return {
        Slope("view memory", "MB", state, note): plain / 3e6,
        Slope("dealer memory", "MB", state, note + "; with an account of each member"): whole / 3e6,
    }


@part("newcomer", states=("rest",))
def newcomer(size: int, state: str) -> Costs:
    """Measures a newcomer, and the member that sends it a whole view.

    The newcomer knows three addresses and runs until its view is the one of the crowd.
    """
    all_of = words(size)
    at = size // 2
    fresh = FleetMember(
        all_of[at],
        tuple(word.address for word in all_of[:3]),
        (KEY,),
        terms(size),
        GossipSettings(),
        Random(1),
        START,
    )
    crowd = Crowd(size, at, fresh)
    while fresh.view.digest != crowd.peers[0].digest:
        crowd.run(0.1)
        assert crowd.now - START < 300 * NS_PER_SECOND, (
            f"{len(fresh.view.by_name)} of {size} after 300 s"
        )
    took, tally = (crowd.now - START) / NS_PER_SECOND, crowd.tally
    host, name, spent, pages, octets = filled(all_of, 0), "", 0, 0, 0
    while True:
        data = encode(Message(MessageKind.SYNC, all_of[at], 1, (), name), KEY)
        began = thread_time_ns()
        host.receive(START, data)
        spent += thread_time_ns() - began
        page = host.outbox.pop()[1]
        pages, octets, name = pages + 1, octets + len(data) + len(page), decode(page, (KEY,)).name
        if not name:
            break
    note = (
        "one real newcomer among scripted peers that have the whole view, one way 0.3 to 1.3 ms; all sizes measured; "
        + VIEW_LIMIT_NOTE
    )
    return {
        Slope("newcomer cpu", "ms", state, note + "; until its view is theirs"): tally.cpu_ns / 1e6,
        Slope("newcomer bytes", "B", state, note + "; sent and received"): float(
            tally.bytes_sent + tally.bytes_heard
        ),
        Slope("newcomer time", "s", state, note): took,
        Slope(
            "host cpu",
            "ms",
            state,
            "a real member of whom a whole view is asked, page by page; " + VIEW_LIMIT_NOTE,
        ): spent / 1e6,
        Slope(
            "host bytes",
            "B",
            state,
            "pages and what asks for them, one whole view; " + VIEW_LIMIT_NOTE,
        ): float(octets),
    }


@part("release", states=("rest",))
def release(size: int, state: str) -> Costs:
    """Measures the first 25 s of a release that is rolled out in waves and evaluated."""
    world = RolloutSimulation(size, DisruptionBudget(max_out_share=0.1)).run_until_all_serve()
    idle: list[int] = []
    rounds: list[int] = []
    steps, durations, of, step = (
        0,
        idle,
        world.leader.run_round,
        agent_module.DrainAgent.begin_drain,
    )

    def timed(now: int, book: RolloutState, members: list[ServerReport]) -> RolloutState:
        nonlocal steps
        began = thread_time_ns()
        made = of(now, book, members)
        durations.append(thread_time_ns() - began)
        steps += made is not book
        return made

    def stepped(one: agent_module.DrainAgent, book: RolloutState) -> RolloutState | None:
        nonlocal steps
        steps += 1
        return step(one, book)

    world.leader.run_round = timed  # type: ignore[method-assign,assignment]
    for _ in range(5):
        world.run_second()
    world.state, durations, steps = (
        world.state.start_release("v2", (1, 0.1, 0.5, 1.0), False),
        rounds,
        0,
    )
    agent_module.DrainAgent.begin_drain = stepped  # type: ignore[method-assign]
    try:
        for _ in range(25):
            world.run_second()
    finally:
        agent_module.DrainAgent.begin_drain = step  # type: ignore[method-assign]
    text, spent = encode_state(world.state), [0, 0]
    for _ in range(5):
        for at, work in enumerate((lambda: encode_state(world.state), lambda: decode_state(text))):
            began = thread_time_ns()
            work()
            spent[at] += thread_time_ns() - began
    note = (
        "the release's core on a clock of its own, a tenth of the fleet out at most, waves of 1, 10%, 50%, 100%,"
        " 25 s from its start; all sizes measured"
    )
    cost = sum(rounds) / len(rounds) / 1e6
    swap, tell = asyncio.run(store_costs(world.state, list(world.members.values())[:50]))
    store = "SQLite on this machine's disk, processor time of the process; PostgreSQL not measured; all sizes measured"
    return {
        Slope("release round cpu", "ms", state, note): cost,
        Slope("release idle round cpu", "ms", state, note + "; before it began"): sum(idle)
        / len(idle)
        / 1e6,
        Slope(
            "release leader cpu",
            "ms/s",
            state,
            note + "; two rounds a second (poll_ms 500), the text of the book written each time",
        ): 2 * (cost + spent[0] / 5e6),
        Slope("book bytes", "B", state, note + "; one row, written whole at each step"): float(
            len(text)
        ),
        Slope("book write cpu", "ms", state, note + "; its text alone"): spent[0] / 5e6,
        Slope(
            "book read cpu", "ms", state, note + "; by each server at each step that it sees"
        ): spent[1] / 5e6,
        Slope("book steps", "1/s", state, note + "; by who leads and by servers that leave"): steps
        / 25,
        Slope(
            "release read bytes",
            "B/s",
            state,
            "arithmetic from book bytes and book steps: each server looks twice"
            " a second and reads the book whole where it was written since",
        ): min(2.0, steps / 25) * len(text),
        Slope("store swap cpu", "ms", state, store + "; one step of the book"): swap,
        Slope("store tell cpu", "ms", state, store + "; one word of a server"): tell,
        Slope(
            "store statements",
            "1/s",
            state,
            "arithmetic, not measured: a look each 500 ms and a word each second of each server",
        ): 3.0 * size,
    }


async def store_costs(book: RolloutState, members: Sequence[ServerReport]) -> tuple[float, float]:
    """Returns ms of processor time per step of the rollout state, and per report of a server."""
    with tempfile.TemporaryDirectory() as folder:
        store = SqliteRolloutStore(Path(folder) / "store")
        await store.open()
        began = time.process_time_ns()
        for at in range(10):
            page = await store.read()
            assert await store.compare_and_swap(page, replace(book, step=at))
        swapped = time.process_time_ns()
        for member in members:
            await store.write_report(member)
        reported = time.process_time_ns()
        await store.close()
    return (swapped - began) / 10e6, (reported - swapped) / 1e6 / len(members)


@part("discovery", states=("rest",))
def discovery(size: int, state: str) -> Costs:
    """Measures the reports of each server in one second, received by a loopback socket."""
    heard = octets = spent = 0
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as service:
        service.bind(("127.0.0.1", 0))
        service.setblocking(False)
        for word in words(size):
            reports = HealthReporter(service.getsockname(), word.name)
            reports.last_reported = True
            for _ in range(NS_PER_SECOND // REPORT_INTERVAL_NS):
                began = thread_time_ns()
                reports.send()
                spent += thread_time_ns() - began
            reports.socket.close()
            for _ in range(NS_PER_SECOND // REPORT_INTERVAL_NS):
                octets += len(service.recv(2048))
                heard += 1
    note = "real reports over loopback, five a second from each; the name service itself is the platform's and not measured"
    return {
        Slope("discovery bytes", "B/s", state, note + "; a server sends"): octets / size,
        Slope("discovery messages", "1/s", state, note + "; a server sends"): heard / size,
        Slope("discovery cpu", "ms/s", state, note + "; of a server"): spent / size / 1e6,
        Slope("name service bytes", "B/s", state, note + "; from all"): float(octets),
        Slope("name service messages", "1/s", state, note + "; from all"): float(heard),
    }


SERVICES, SUBSET = 40, 8


@part("subset", states=("rest",))
def subset(size: int, state: str) -> Costs:
    """Measures what a server recomputes whenever a member joins or leaves.

    This runs outside the event loop, on the same core.
    """
    names, services = (
        [word.name for word in words(size)],
        [f"10.0.0.{at}:80" for at in range(SERVICES)],
    )
    began = thread_time_ns()
    assign_subsets(names, services, SUBSET)
    took = thread_time_ns() - began
    fleet = filled(words(size), 1)
    began = thread_time_ns()
    json.dumps(summarize(fleet, START))
    summary_ns = thread_time_ns() - began
    note = (
        f"each server at each change of its view, {SERVICES} services below, subsets of {SUBSET}; all sizes measured; "
        + VIEW_LIMIT_NOTE
    )
    return {
        Slope("subset cpu", "ms", state, note): took / 1e6,
        Slope(
            "state file cpu",
            "ms/s",
            state,
            "the text alone, once a second where the operator's file names a state_file; "
            + VIEW_LIMIT_NOTE,
        ): summary_ns / 1e6,
    }


SERVERS_PER_RACK, ZONES, REGIONS, CUT_S = 40, 14, 6, 30.0
SWARM_NOTE = "whole swarm of real members in simulated time, a tick each 100 ms, one way 0.3 to 1.3 ms, no loss, default terms; "


@part("agree", (30, 60, 100, 150, 200, 250, 300), ("rest",))
def agree(size: int, state: str) -> Costs:
    """Measures the time to agreement after single faults, each from a fleet that agrees."""
    note = SWARM_NOTE + "the sizes of the row measured, past them extrapolated"
    found: Costs = {}

    def put(name: str, said: str, seconds: float) -> None:
        found[Slope(name, "s", state, f"{note}; {said}")] = seconds

    with swarm_of(size, terms(size)) as swarm:
        bodies = swarm.running_members()
        deaths = [after_deaths(swarm, [body]) for body in bodies[5:8]]
        put("agree after death", "mean of three", sum(took for took, _ in deaths) / 3)
        put(
            "agree after restart",
            "mean of three; from its start, 2 s after it left",
            sum(after_restart(swarm, body) for body in bodies[8:11]) / 3,
        )
        if size >= 100:
            put(
                "agree after rack",
                f"{SERVERS_PER_RACK} servers at once, sizes from 100",
                after_deaths(swarm, bodies[-SERVERS_PER_RACK:])[0],
            )
        took, back = after_deaths(swarm, bodies[-max(1, size // ZONES) :])
        put("agree after zone", "a fourteenth at once", took)
        put("agree after zone's return", "a fourteenth started at once", back)
        took, back = after_cut(swarm, bodies[-size // REGIONS :], CUT_S)
        put("agree after region's cut", "a sixth; each side with itself", took)
        put("agree after region's healing", f"a sixth, {CUT_S:.0f} s after the cut", back)
    return found


@part("cold", (30, 60, 100, 150, 200, 300), ("cold",))
def cold(size: int, state: str) -> Costs:
    """Measures a start of all members at once."""
    with metered() as spent, swarm_of(size, terms(size), cold=True) as swarm:
        took = swarm.until(swarm.has_agreed_view)
        plain = sorted(cost for name, cost in spent.items() if int(name[1:]) > 2)
        net, note = (
            swarm.network,
            (
                SWARM_NOTE
                + "all start at once knowing three addresses, until all agree; sizes to 300 measured,"
                " past that extrapolated"
            ),
        )
        return {
            Slope("agree after cold start", "s", state, note): took,
            Slope("cold start cpu", "ms", state, note + "; the median of plain members"): median(
                plain
            )
            / 1e6,
            Slope("cold start bytes", "B", state, note + "; sent, the mean of all"): net.bytes_sent
            / size,
            Slope("member cpu", "ms/s", state, note + "; the median of plain members"): median(
                plain
            )
            / 1e6
            / took,
            Slope("member bytes", "B/s", state, note + "; sent and received, the mean of all"): 2
            * net.bytes_sent
            / size
            / took,
            Slope("dealer cpu", "ms/s", state, note + "; the first by name, a seed too"): spent[
                "n0"
            ]
            / 1e6
            / took,
        }


def budget_size(row: Row) -> str:
    """Returns the size at which the fit exceeds the budget, as text."""
    budget, found = BUDGETS.get(row.unit, 0.0), fit(row.sizes, row.values)
    if not budget:
        return "-"
    at = next((size for size in range(1, 100_001) if found.at(size) > budget), 0)
    return f"{at}" if at else "not up to 100,000"


def format_row(row: Row) -> str:
    """Formats a row as a line of a Markdown table."""
    found = fit(row.sizes, row.values)
    values = ", ".join(f"{value:.3g}" for value in row.values)
    return f"| {row.name} | {row.state} | {row.unit} | {values} | {describe_fit(found)} | {budget_size(row)} |"


def measure(
    name: str, sizes: Sequence[int], states: Sequence[str], side: str, step: Callable[[str], None]
) -> list[Row]:
    """Measures a part at all sizes and returns its rows; `step` shows the progress."""
    what, own, may = PARTS[name]
    taken = tuple(sizes) or own
    rows, speed = [], reference_cost_ms()
    for state in may:
        if states and state not in states:
            continue
        found: dict[tuple[str, str], tuple[Slope, dict[int, float]]] = {}
        for size in taken:
            step(f"{name}, {state}, {size} servers")
            with members_most(size):
                for slope, value in what(size, state).items():
                    found.setdefault((slope.name, slope.unit), (slope, {}))[1][size] = value
        command = f"python benchmarks/scale.py servers --part {name} --state {state}" + (
            f" --sizes {','.join(map(str, taken))}" if taken != own else ""
        )
        rows += [
            Row(
                slope.name,
                "servers",
                slope.unit,
                slope.state,
                tuple(map(float, values)),
                tuple(values.values()),
                command,
                f"{slope.note}; a million squares took {speed:.0f} ms of a core before it",
                side,
            )
            for slope, values in found.values()
        ]
    return rows


@click.command()
@click.option(
    "--part",
    "parts",
    multiple=True,
    type=click.Choice(sorted(PARTS)),
    help="All where none is named.",
)
@click.option(
    "--state",
    "states",
    multiple=True,
    type=click.Choice(("rest", "churn", "cold")),
    help="All where none is named.",
)
@click.option(
    "--sizes",
    default="",
    help="In place of a part's own, with commas between; five at least to keep them.",
)
@click.option(
    "--side",
    default="now",
    type=click.Choice(("now", "before")),
    help="`before`: of the text before a change.",
)
@click.option("--keep", "keeps", is_flag=True, help="Add the rows to benchmarks/slopes.jsonl.")
def servers(
    parts: tuple[str, ...], states: tuple[str, ...], sizes: str, side: str, keeps: bool
) -> None:
    """Measures what control costs by the number of servers."""
    wanted = [int(size) for size in sizes.split(",") if size]
    click.echo(
        "| what | state | unit | values | fit | budget passed at |\n| --- | --- | --- | --- | --- | --- |"
    )
    with Progress(console=Console(stderr=True)) as progress:
        for name in parts or PARTS:
            steps = progress.add_task(name, total=None)
            for row in measure(
                name, wanted, states, side, lambda said: progress.update(steps, description=said)
            ):
                if len(row.sizes) < 5:
                    values = ", ".join(f"{value:.3g}" for value in row.values)
                    click.echo(
                        f"| {row.name} | {row.state} | {row.unit} | {values} | too few sizes | |"
                    )
                    continue
                click.echo(format_row(append_row(row) if keeps else row))
            progress.remove_task(steps)
