"""What the way of a request costs by requests a second, and what it costs while the server does something for control.

    python benchmarks/scale.py request                    # without calls below, some two minutes
    python benchmarks/scale.py request --calls
    python benchmarks/scale.py request --harness          # no server: what generator and loopback add by themselves
    python benchmarks/scale.py during reload              # p99 and the longest answer around a change, by tenants
    python benchmarks/scale.py during rejoin              # around a rejoin of the member, by members
    python benchmarks/scale.py during deal                # while it deals, by members

Open loop: Poisson arrivals from a seed, latency from the intended moment, in an HDR histogram. Latency wants a machine at
rest: each line says its load, and a row from a busy machine says so. Processor time counts then too.
"""

import asyncio
import os
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Sequence
from contextlib import AsyncExitStack
from dataclasses import dataclass
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import click
import uvloop
from rich.progress import track

sys.path[:0] = [str(Path(__file__).parent), str(Path(__file__).parent.parent / "tests")]

from processes import ADDED_MS, TOLD, machine, main_thread_ns, numbers, passed_at, quiet, told  # noqa: E402
from rig import Rig  # noqa: E402
from scale_configuration import tenants  # noqa: E402
from traffic import SECOND, Load, Runs, Sent, Told, below, echo, generate, started, told_of  # noqa: E402

from burlloom.lab.slopes import KEPT, Row  # noqa: E402

RATES = "50,100,200,300,500,700,1000"
SETTLE = 1.0  # s of idleness, connections open, against which processor time is told
Events = Callable[[Rig, int], Awaitable[list[int]]]


@dataclass(frozen=True, slots=True)
class Played:
    """Of one run. `cpu`: processor time of the server's loop, ms a request, less what it takes at rest; `idle`, ms/s."""

    sent: list[Sent]
    own: dict[str, int]  # ns that the stand-ins had each
    begin: int
    cpu: float
    idle: float
    used: float  # ms/s
    load: float
    quiet: bool
    moments: list[int]  # of events


async def played(load: Load, events: Events | None = None, prepare: Callable[[Rig], Any] | None = None) -> Played:
    """One real server between stand-ins, under a load. `events`: does things meanwhile, told when the count begins; gives
    their moments."""
    async with AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        told_calls = None
        catalogue: Any = None
        if load.call is not None:
            calls, told_calls = started(below, load.call)
            stack.callback(calls.kill)
            catalogue = SimpleNamespace(address=await asyncio.to_thread(told_calls.recv))
        rig = Rig(folder, n_cores=32, memory_kb=400000, calls_out=500.0, drain_grace=0, stop_ms=1500, catalogue=catalogue)
        runs = Runs(rig.executor, load)
        rig.executor.commands = runs  # type: ignore[assignment]
        if prepare is not None:
            prepare(rig)
        await stack.enter_async_context(rig)
        pid = rig.process.pid
        generator, pipe = started(generate, rig.address, load)
        stack.callback(generator.kill)
        await asyncio.to_thread(pipe.recv)
        before, since = main_thread_ns(pid), time.monotonic_ns()
        await asyncio.sleep(SETTLE)
        idle = (main_thread_ns(pid) - before) / (time.monotonic_ns() - since)
        begin = time.monotonic_ns() + SECOND // 5
        pipe.send(begin)
        first, last = begin + int(load.warm * SECOND), begin + int((load.warm + load.seconds) * SECOND)
        await rest(first)
        happening = asyncio.create_task(events(rig, first)) if events is not None else None
        before, since = main_thread_ns(pid), time.monotonic_ns()
        loads = [os.getloadavg()[0]]
        await rest(last)
        spent, span = main_thread_ns(pid) - before, time.monotonic_ns() - since
        loads.append(os.getloadavg()[0])
        moments = await happening if happening is not None else []
        sent: list[Sent] = await asyncio.to_thread(pipe.recv)
        generator.join(10)
        own = dict(runs.own)
        if told_calls is not None:
            told_calls.send("over")
            for id, had in (await asyncio.to_thread(told_calls.recv)).items():
                own[id] = own.get(id, 0) + had
            calls.join(10)
        count = sum(first <= one.intended < last for one in sent)
        return Played(sent, own, first, (spent - idle * span) / max(1, count) / 1e6, 1000 * idle, 1000 * spent / span,
                      max(loads), quiet(), moments)


async def rest(until: int) -> None:
    await asyncio.sleep(max(0, until - time.monotonic_ns()) / SECOND)


async def harness(load: Load) -> Told:
    """The same load on a process that answers at once."""
    process, ours = started(echo)
    generator, pipe = started(generate, await asyncio.to_thread(ours.recv), load)
    try:
        await asyncio.to_thread(pipe.recv)
        begin = time.monotonic_ns() + SECOND // 5
        pipe.send(begin)
        return told_of(await asyncio.to_thread(pipe.recv), {}, begin + int(load.warm * SECOND))
    finally:
        for one in (generator, process):
            one.kill()
            one.join(10)


def common(command: Callable[..., None]) -> Callable[..., None]:
    for option in (
        click.option("--dry", is_flag=True, help="Keeps no rows."),
        click.option("--to", default=KEPT, type=click.Path(dir_okay=False, path_type=Path), help="The file of kept rows."),
        click.option("--seed", default=1, show_default=True),
    ):
        command = option(command)
    return command


@click.command()
@click.option("--rates", default=RATES, show_default=True, callback=numbers, help="Requests a second.")
@click.option("--seconds", default=10.0, show_default=True, type=click.FloatRange(0.2, 120), help="Of each rate.")
@click.option("--calls", is_flag=True, help="Each run makes one call below.")
@click.option("--harness", "bare", is_flag=True, help="No server: what is measured by the harness alone.")
@common
def request(rates: tuple[int, ...], seconds: float, calls: bool, bare: bool, seed: int, dry: bool, to: Path) -> None:
    """One real server at several rates."""
    place = None if dry else to
    command = (f"python benchmarks/scale.py request --rates {','.join(map(str, rates))} --seconds {seconds:g} --seed {seed}"
               + " --calls" * calls + " --harness" * bare)
    found: list[Told] = []
    plays: list[Played] = []
    for rate in track(rates, "request", console=TOLD):
        load = Load(rate, seconds, warm=min(2.0, seconds), seed=seed, call=0.01 if calls else None)
        if bare:
            found.append(uvloop.run(harness(load)))
            TOLD.print(f"{rate} a second: {found[-1]}")
            continue
        play = uvloop.run(played(load))
        plays.append(play)
        found.append(told_of(play.sent, play.own, play.begin))
        TOLD.print(f"{rate} a second: {play.cpu:.3f} ms of processor time a request, {play.used:.0f} ms/s in all,"
                   f" {play.idle:.1f} at rest; load {play.load:.1f}; {found[-1]}")
    kind = " with calls" if calls else ""
    here = (f"one real server between stand-ins in processes of their own on loopback, {machine()}; runs of 5 ms"
            + (" and one call below of 10 ms each" if calls else ", no calls below") + "; requests of one class, read-only")

    def row(name: str, unit: str, values: list[float], note: str) -> None:
        told(Row(name, "requests a second", unit, "churn", tuple(map(float, rates)), tuple(values), command,
                 f"{note}; {here}"), place)
    if bare:
        row("request p99 harness", "ms", [one.p99 for one in found], "from the intended moment, with no server between")
        return
    busy = "" if all(play.quiet for play in plays) else "BUSY machine, which counts for nothing; "
    row(f"request cpu{kind}", "ms", [play.cpu for play in plays],
        "processor time of the loop's thread a request, less what it takes at rest")
    about = (f"{busy}from the intended moment, less what the stand-ins had the request; reading of commands by the stand-ins"
             f" and the generator's own lateness (p99 {max(one.late_p99 for one in found):.2f} ms at most) are in it;"
             f" load of each {', '.join(f'{play.load:.1f}' for play in plays)}; not settled: "
             f"{', '.join(str(sum(n for how, n in one.how.items() if how != 'settled')) for one in found)}")
    row(f"request p50 added{kind}", "ms", [one.p50 for one in found], about)
    row(f"request p99 added{kind}", "ms", [one.p99 for one in found], about)
    ends = passed_at(rates, [one.p99 for one in found], ADDED_MS, 1e5)
    first = next((rate for rate, one in zip(rates, found, strict=True) if one.p99 > ADDED_MS), None)
    click.echo(f"{ADDED_MS} ms added at the 99th percentile: first passed of those measured at {first or 'none'}, by the fit at"
               f" {'none' if ends is None else f'{ends:.0f}'} a second")
    ends = passed_at(rates, [play.used for play in plays], 1000.0, 1e5)
    click.echo(f"a whole core is passed at {'none' if ends is None else f'{ends:.0f}'} a second")


# While the server does something for control.

BEFORE, AFTER = SECOND // 4, SECOND * 3 // 4  # around a moment
APART = 2 * SECOND  # from a moment to one without anything


def windows(play: Played, moments: Sequence[int]) -> Told:
    """All requests that were to be sent around these."""
    return told_of([one for one in play.sent if any(at - BEFORE <= one.intended < at + AFTER for at in moments)], play.own)


async def reloads(rig: Rig, first: int, times: int, gap: float) -> list[int]:
    import signal
    found = []
    for turn in range(times):
        await rest(first + int((2.5 + turn * gap) * SECOND))
        found.append(time.monotonic_ns())
        rig.process.send_signal(signal.SIGHUP)
    return found


@click.command()
@click.argument("what", type=click.Choice(["reload"]))
@click.option("--sizes", default="", help="Tenants; 10,000 to 430,000 where none are told.")
@click.option("--rate", default=300, show_default=True, type=click.IntRange(1, 5000), help="Requests a second.")
@click.option("--times", default=3, show_default=True, type=click.IntRange(1, 20), help="That it happens, at each size.")
@click.option("--gap", default=6.0, show_default=True, type=click.FloatRange(1.5, 60), help="s between them.")
@common
def during(what: str, sizes: str, rate: int, times: int, gap: float, seed: int, dry: bool, to: Path) -> None:
    """p99 and the longest answer around what a server does for control, against the same without."""
    counts = numbers(click.get_current_context(), None, sizes or "10000,30000,100000,200000,430000")  # type: ignore[arg-type]
    place = None if dry else to
    command = (f"python benchmarks/scale.py during {what} --sizes {','.join(map(str, counts))} --rate {rate}"
               f" --times {times} --gap {gap:g} --seed {seed}")
    near: list[Told] = []
    beside: list[Told] = []
    plays: list[Played] = []
    for count in track(counts, what, console=TOLD):
        load = Load(rate, 2.5 + times * gap, connections=128, seed=seed)

        def prepare(rig: Rig, count: int = count) -> None:
            rig.told["settings"]["tenants"] = tenants(count)
        play = uvloop.run(played(load, lambda rig, first: reloads(rig, first, times, gap), prepare))
        plays.append(play)
        near.append(windows(play, play.moments))
        beside.append(windows(play, [at - APART for at in play.moments]))
        TOLD.print(f"{count}: load {play.load:.1f}\n  around: {near[-1]}\n  beside: {beside[-1]}")
    busy = "" if all(play.quiet for play in plays) else "BUSY machine, which counts for nothing; "
    here = (f"{busy}requests that were to be sent from a quarter of a second before to three quarters after, {times} times at"
            f" {rate} a second, no calls below; one real server between stand-ins on loopback, {machine()}; load of each"
            f" {', '.join(f'{play.load:.1f}' for play in plays)}; not settled:"
            f" {', '.join(str(sum(n for how, n in one.how.items() if how != 'settled')) for one in near)}")
    for name, values, note in (
        (f"request p99 added in a {what}", [one.p99 for one in near], "added, as without"),
        (f"request longest in a {what}", [one.longest for one in near], "the longest of all answers"),
        (f"request p99 added beside a {what}", [one.p99 for one in beside], "the same spans two seconds before"),
        (f"request longest beside a {what}", [one.longest for one in beside], "the same spans two seconds before"),
    ):
        told(Row(name, "tenants", "ms", "churn", tuple(map(float, counts)), tuple(values), command, f"{note}; {here}"), place)
    first = next((count for count, one in zip(counts, near, strict=True) if one.p99 > ADDED_MS), None)
    click.echo(f"{ADDED_MS} ms added at the 99th percentile around a {what}: first passed of those measured at"
               f" {first or 'none'}")
