"""What control costs by servers: a plain member, the one that deals, a newcomer, a release,
agreement, discovery.

Processor time is that of the member's own `tick` and `hear`; bytes are of the messages, without the
28 that IP and UDP add to each. One real member stands among scripted peers (scale_crowd.py);
agreement and cold starts play whole swarms of real members in simulated time.
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
    SECOND,
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
from burlloom.rollout import agent as hand
from burlloom.rollout.stores import decode_state, encode_state
from burlloom.rollout.stores.sqlite import SqliteRolloutStore

SIZES = (30, 100, 300, 600, 1000, 1500, 2600)
BUDGETS = {"ms/s": 37.0, "B/s": 9000.0, "MB": 128.0}  # of a server for all of its control
SPANS = 5
EVENTS_LEAST = 16  # restarts and deaths that a run with churn sees on the mean
PAST = "a view ends at 1,000 (MEMBERS_MOST); past that the bound is raised in the benchmark alone"
PLACE = (
    "one real member among scripted peers in simulated time, a tick each 50 ms, default terms (round 200 ms);"
    " all sizes measured; "
)


@dataclass(frozen=True)
class Slope:
    """A row without its values, which a size gives."""

    name: str
    unit: str
    state: str
    note: str


Found = dict[Slope, float]
Part = Callable[[int, str], Found]
PARTS: dict[str, tuple[Part, tuple[int, ...], tuple[str, ...]]] = {}


def part(
    name: str, sizes: tuple[int, ...] = SIZES, states: tuple[str, ...] = ("rest", "churn")
) -> Callable[[Part], Part]:
    def put(what: Part) -> Part:
        PARTS[name] = what, sizes, states
        return what

    return put


def play(crowd: Crowd, warm: float, seconds: float) -> Tally:
    """What the real member did in the seconds after the first `warm`; without churn, its processor
    time is the median of five spans, as that of a busy machine's core comes in bursts.
    """
    crowd.run(warm)
    crowd.tally, crowd.events, costs = Tally(), 0, []
    gc.collect()
    gc.freeze()  # what the scripted peers are made of is not walked on the member's time
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


def yardstick() -> float:
    """ms of processor time for a million squares: how fast a core was meanwhile."""
    began, total = thread_time_ns(), 0
    for number in range(1_000_000):
        total += number * number
    return (thread_time_ns() - began) / 1e6


def spans(size: int, state: str, least: float) -> tuple[float, float]:
    """Churn a server a second, and how long to look for some of it."""
    churn = RESTARTS + DEATHS if state == "churn" else 0.0
    return churn, max(least, EVENTS_LEAST / (churn * size)) if churn else least


CHURN = (
    "churn: 11,000 restarts and 740 deaths a day over 2,600 servers, in proportion; news among scripted peers by"
    " the rules"
)


@part("member")
def member(size: int, state: str) -> Found:
    churn, seconds = spans(size, state, 30.0)
    tally = play(Crowd(size, size // 2, churn=churn), 5.0, seconds)
    note = PLACE + PAST + (f"; {CHURN}" if churn else "")
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
def dealer(size: int, state: str) -> Found:
    churn, seconds = spans(size, state, max(2.0, min(10.0, 3000 / size)))
    if churn:
        seconds = max(10.0, min(seconds, 60_000 / size))
    crowd = Crowd(size, 0, churn=churn)
    tally = play(crowd, 4.0, seconds)
    assert crowd.fleet.allocator.phase.name == "ALLOCATING", crowd.fleet.allocator.phase
    note = PLACE + PAST + (f"; {CHURN}" if churn else "")
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
def memory(size: int, state: str) -> Found:
    """Of views that came in by messages; the mean of three."""

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
        + PAST
    )
    return {
        Slope("view memory", "MB", state, note): plain / 3e6,
        Slope("dealer memory", "MB", state, note + "; with an account of each member"): whole / 3e6,
    }


@part("newcomer", states=("rest",))
def newcomer(size: int, state: str) -> Found:
    """One that knows three addresses, until its view is the crowd's; and one of whom a whole view
    is asked once.
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
        assert crowd.now - START < 300 * SECOND, f"{len(fresh.view.by_name)} of {size} after 300 s"
    took, tally = (crowd.now - START) / SECOND, crowd.tally
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
        + PAST
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
            "a real member of whom a whole view is asked, page by page; " + PAST,
        ): spent / 1e6,
        Slope(
            "host bytes", "B", state, "pages and what asks for them, one whole view; " + PAST
        ): float(octets),
    }


@part("release", states=("rest",))
def release(size: int, state: str) -> Found:
    """A release under way, judged and sent out by waves: 25 s of it."""
    world = RolloutSimulation(size, DisruptionBudget(max_out_share=0.1)).run_until_all_serve()
    idle: list[int] = []
    rounds: list[int] = []
    steps, spans, of, step = 0, idle, world.leader.run_round, hand.DrainAgent.begin_drain

    def timed(now: int, book: RolloutState, members: list[ServerReport]) -> RolloutState:
        nonlocal steps
        began = thread_time_ns()
        made = of(now, book, members)
        spans.append(thread_time_ns() - began)
        steps += made is not book
        return made

    def stepped(one: hand.DrainAgent, book: RolloutState) -> RolloutState | None:
        nonlocal steps
        steps += 1
        return step(one, book)

    world.leader.run_round = timed  # type: ignore[method-assign,assignment]
    for _ in range(5):
        world.run_second()
    world.state, spans, steps = (
        world.state.start_release("v2", (1, 0.1, 0.5, 1.0), False),
        rounds,
        0,
    )
    hand.DrainAgent.begin_drain = stepped  # type: ignore[method-assign]
    try:
        for _ in range(25):
            world.run_second()
    finally:
        hand.DrainAgent.begin_drain = step  # type: ignore[method-assign]
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
    swap, tell = asyncio.run(stored(world.state, list(world.members.values())[:50]))
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


async def stored(book: RolloutState, members: Sequence[ServerReport]) -> tuple[float, float]:
    """ms of the process a step of the book, and a word of a server."""
    with tempfile.TemporaryDirectory() as folder:
        shelf = SqliteRolloutStore(Path(folder) / "store")
        await shelf.open()
        began = time.process_time_ns()
        for at in range(10):
            page = await shelf.read()
            assert await shelf.compare_and_swap(page, replace(book, step=at))
        swapped = time.process_time_ns()
        for member in members:
            await shelf.write_report(member)
        told = time.process_time_ns()
        await shelf.close()
    return (swapped - began) / 10e6, (told - swapped) / 1e6 / len(members)


@part("discovery", states=("rest",))
def discovery(size: int, state: str) -> Found:
    """Each server's reports of one second, as they come to a socket on loopback."""
    heard = octets = spent = 0
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as service:
        service.bind(("127.0.0.1", 0))
        service.setblocking(False)
        for word in words(size):
            reports = HealthReporter(service.getsockname(), word.name)
            reports.last_reported = True
            for _ in range(SECOND // REPORT_INTERVAL_NS):
                began = thread_time_ns()
                reports.send()
                spent += thread_time_ns() - began
            reports.socket.close()
            for _ in range(SECOND // REPORT_INTERVAL_NS):
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
def subset(size: int, state: str) -> Found:
    """What a server works out anew whenever somebody comes or goes, off the loop and on the same
    core.
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
    told = thread_time_ns() - began
    note = (
        f"each server at each change of its view, {SERVICES} services below, subsets of {SUBSET}; all sizes measured; "
        + PAST
    )
    return {
        Slope("subset cpu", "ms", state, note): took / 1e6,
        Slope(
            "state file cpu",
            "ms/s",
            state,
            "the text alone, once a second where the operator's file names a state_file; " + PAST,
        ): told / 1e6,
    }


RACK, ZONES, REGIONS, CUT = 40, 14, 6, 30.0
SWARM = "whole swarm of real members in simulated time, a tick each 100 ms, one way 0.3 to 1.3 ms, no loss, default terms; "


@part("agree", (30, 60, 100, 150, 200, 250, 300), ("rest",))
def agree(size: int, state: str) -> Found:
    """Each fault alone, from a fleet that agrees."""
    note = SWARM + "the sizes of the row measured, past them extrapolated"
    found: Found = {}

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
                f"{RACK} servers at once, sizes from 100",
                after_deaths(swarm, bodies[-RACK:])[0],
            )
        took, back = after_deaths(swarm, bodies[-max(1, size // ZONES) :])
        put("agree after zone", "a fourteenth at once", took)
        put("agree after zone's return", "a fourteenth started at once", back)
        took, back = after_cut(swarm, bodies[-size // REGIONS :], CUT)
        put("agree after region's cut", "a sixth; each side with itself", took)
        put("agree after region's healing", f"a sixth, {CUT:.0f} s after the cut", back)
    return found


@part("cold", (30, 60, 100, 150, 200, 300), ("cold",))
def cold(size: int, state: str) -> Found:
    with metered() as spent, swarm_of(size, terms(size), cold=True) as swarm:
        took = swarm.until(swarm.has_agreed_view)
        plain = sorted(cost for name, cost in spent.items() if int(name[1:]) > 2)
        net, note = (
            swarm.network,
            (
                SWARM
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


def passed(row: Row) -> str:
    """The size at which the budget is passed, by the fit."""
    budget, found = BUDGETS.get(row.unit, 0.0), fit(row.sizes, row.values)
    if not budget:
        return "-"
    at = next((size for size in range(1, 100_001) if found.at(size) > budget), 0)
    return f"{at}" if at else "not up to 100,000"


def told(row: Row) -> str:
    found = fit(row.sizes, row.values)
    values = ", ".join(f"{value:.3g}" for value in row.values)
    return f"| {row.name} | {row.state} | {row.unit} | {values} | {describe_fit(found)} | {passed(row)} |"


def measured(
    name: str, sizes: Sequence[int], states: Sequence[str], side: str, step: Callable[[str], None]
) -> list[Row]:
    what, own, may = PARTS[name]
    taken = tuple(sizes) or own
    rows, speed = [], yardstick()
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
    """What control costs by the number of servers."""
    wanted = [int(size) for size in sizes.split(",") if size]
    click.echo(
        "| what | state | unit | values | fit | budget passed at |\n| --- | --- | --- | --- | --- | --- |"
    )
    with Progress(console=Console(stderr=True)) as progress:
        for name in parts or PARTS:
            steps = progress.add_task(name, total=None)
            for row in measured(
                name, wanted, states, side, lambda said: progress.update(steps, description=said)
            ):
                if len(row.sizes) < 5:
                    values = ", ".join(f"{value:.3g}" for value in row.values)
                    click.echo(
                        f"| {row.name} | {row.state} | {row.unit} | {values} | too few sizes | |"
                    )
                    continue
                click.echo(told(append_row(row) if keeps else row))
            progress.remove_task(steps)
