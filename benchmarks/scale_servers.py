"""What control costs by servers: a plain member, the one that deals, a newcomer, a release, agreement, discovery.

Processor time is that of the member's own `tick` and `hear`; bytes are of the messages, without the 28 that IP and UDP add
to each. One real member stands among scripted peers (scale_crowd.py); agreement and cold starts play whole swarms of real
members in simulated time.
"""

import gc
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from statistics import median
from time import thread_time_ns

import click
from rich.console import Console
from rich.progress import Progress
from scale_crowd import DEATHS, RESTARTS, Crowd, Tally, members_most

from burlloom.lab.slopes import Row, exponent_word, fit, keep

SIZES = (30, 100, 300, 600, 1000, 1500, 2600)
BUDGETS = {"ms/s": 37.0, "B/s": 9000.0, "MB": 128.0}  # of a server for all of its control
SPANS = 5
EVENTS_LEAST = 16  # restarts and deaths that a run with churn sees on the mean
PAST = "a view ends at 1,000 (MEMBERS_MOST); past that the bound is raised in the benchmark alone"
PLACE = "one real member among scripted peers in simulated time, a tick each 50 ms, default terms (round 200 ms); all sizes measured; "


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


def part(name: str, sizes: tuple[int, ...] = SIZES, states: tuple[str, ...] = ("rest", "churn")) -> Callable[[Part], Part]:
    def put(what: Part) -> Part:
        PARTS[name] = what, sizes, states
        return what
    return put


def play(crowd: Crowd, warm: float, seconds: float) -> Tally:
    """What the real member did in the seconds after the first `warm`; without churn, its processor time is the median of
    five spans, as that of a busy machine's core comes in bursts."""
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


CHURN = "churn: 11,000 restarts and 740 deaths a day over 2,600 servers, in proportion; news among scripted peers by the rules"


@part("member")
def member(size: int, state: str) -> Found:
    churn, seconds = spans(size, state, 30.0)
    tally = play(Crowd(size, size // 2, churn=churn), 5.0, seconds)
    note = PLACE + PAST + (f"; {CHURN}" if churn else "")
    return {
        Slope("member cpu", "ms/s", state, note): tally.cpu_ns / 1e6 / seconds,
        Slope("member bytes", "B/s", state, note + "; sent and received"): (tally.bytes_sent + tally.bytes_heard) / seconds,
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
    assert crowd.fleet.dealer.phase.name == "DEALING", crowd.fleet.dealer.phase
    note = PLACE + PAST + (f"; {CHURN}; {crowd.events} events at {size} servers" if churn and size == 2600 else f"; {CHURN}" if churn else "")
    return {
        Slope("dealer cpu", "ms/s", state, note): tally.cpu_ns / 1e6 / seconds,
        Slope("dealer bytes", "B/s", state, note + "; sent and received"): (tally.bytes_sent + tally.bytes_heard) / seconds,
        Slope("dealer messages", "1/s", state, note + "; sent and received"): (tally.sent + tally.heard) / seconds,
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
    return f"| {row.name} | {row.state} | {row.unit} | {values} | {exponent_word(found)} | {passed(row)} |"


def measured(name: str, sizes: Sequence[int], states: Sequence[str], side: str, step: Callable[[str], None]) -> list[Row]:
    what, own, may = PARTS[name]
    taken = tuple(size for size in own if not sizes or size in sizes)
    rows, speed = [], yardstick()
    for state in may:
        if states and state not in states:
            continue
        found: dict[tuple[str, str], tuple[Slope, list[float]]] = {}
        for size in taken:
            step(f"{name}, {state}, {size} servers")
            with members_most(size):
                for slope, value in what(size, state).items():
                    found.setdefault((slope.name, slope.unit), (slope, []))[1].append(value)
        command = f"python benchmarks/scale.py servers --part {name} --state {state}" + (
            f" --sizes {','.join(map(str, taken))}" if taken != own else "")
        rows += [Row(slope.name, "servers", slope.unit, slope.state, tuple(map(float, taken)), tuple(values), command,
                     f"{slope.note}; a million squares took {speed:.0f} ms of a core before it", side) for slope, values in found.values()]
    return rows


@click.command()
@click.option("--part", "parts", multiple=True, type=click.Choice(sorted(PARTS)), help="What to measure; all where none is named.")
@click.option("--state", "states", multiple=True, type=click.Choice(("rest", "churn", "cold")), help="All where none is named.")
@click.option("--sizes", default="", help="Of a part's own sizes, those with commas between; five at least to keep them.")
@click.option("--side", default="now", type=click.Choice(("now", "before")), help="`before`: of the text before a change.")
@click.option("--keep", "keeps", is_flag=True, help="Add the rows to benchmarks/slopes.jsonl.")
def servers(parts: tuple[str, ...], states: tuple[str, ...], sizes: str, side: str, keeps: bool) -> None:
    """What control costs by the number of servers."""
    wanted = [int(size) for size in sizes.split(",") if size]
    click.echo("| what | state | unit | values | fit | budget passed at |\n| --- | --- | --- | --- | --- | --- |")
    with Progress(console=Console(stderr=True)) as progress:
        for name in parts or PARTS:
            steps = progress.add_task(name, total=None)
            for row in measured(name, wanted, states, side, lambda said: progress.update(steps, description=said)):
                if len(row.sizes) < 5:
                    click.echo(f"| {row.name} | {row.state} | {row.unit} | {', '.join(f'{value:.3g}' for value in row.values)} | too few sizes | |")
                    continue
                click.echo(told(keep(row) if keeps else row))
            progress.remove_task(steps)
