"""Measures the cost of requests by their rate, and while the server does work for control.

    python benchmarks/scale.py request                    # without calls below, some two minutes
    python benchmarks/scale.py request --calls
    python benchmarks/scale.py request --harness          # no server: what generator and loopback add by themselves
    python benchmarks/scale.py during reload              # p99 and the longest answer around a change, by tenants
    python benchmarks/scale.py during rejoin              # around a rejoin of the member, by members
    python benchmarks/scale.py lead                       # while it leads a release, by servers
    python benchmarks/scale.py deal                       # while it deals, by members; --plain: while another does

The load is an open loop with Poisson arrivals from a seed. Latency counts from the intended time of
a request, in an HDR histogram. Latency needs an idle machine, so each line shows the load of the
machine, and a row from a busy machine says so; its processor time is valid nevertheless.
"""

import asyncio
import os
import re
import signal
import sys
import tempfile
import time
from collections.abc import Callable, Sequence
from contextlib import AsyncExitStack
from dataclasses import dataclass, replace
from pathlib import Path
from types import SimpleNamespace
from typing import Any, Protocol

import click
import uvloop
from rich.progress import track

sys.path[:0] = [str(Path(__file__).parent), str(Path(__file__).parent.parent / "tests")]

import hollow_releases  # noqa: E402
from hollow_members import HOUR_MS, part_of, run_members  # noqa: E402
from processes import (
    ADDED_MS,
    TOLD,
    machine,
    main_thread_ns,
    numbers,
    passed_at,
    quiet,
    told,
    whole,
)  # noqa: E402
from rig import Rig  # noqa: E402
from scale_configuration import tenants  # noqa: E402
from traffic import (
    Load,
    RunQueue,
    Sent,
    Told,
    generate,
    receive,
    serve_downstream,
    serve_echo,
    start_process,
    summarize,
)  # noqa: E402

from burlloom.lab.slopes import SLOPES_FILE, Row  # noqa: E402
from burlloom.time_units import NS_PER_SECOND

RATES = "50,100,200,300,500,700,1000"
CALM = 2 * NS_PER_SECOND
SETTLE = 1.0  # s with idle connections, whose processor time is subtracted


@dataclass(frozen=True, slots=True)
class Played:
    """Measurements of one run.

    `cpu` is the processor time of the server's event loop thread in ms per request, without the
    time that it takes at rest.
    """

    sent: list[Sent]
    own: dict[str, int]  # ns that each request spent in the stand-ins, by request id
    begin: int
    cpu: float
    idle: float  # ms/s at rest
    used: float  # ms/s in total
    load: float
    quiet: bool
    moments: list[int]  # times of the events, in monotonic ns


class Happening(Protocol):
    """An action on a server under load."""

    def prepare(self, rig: Rig) -> None:
        """Prepares the server before it starts."""

    async def ready(self, rig: Rig) -> None:
        """Waits, before the load, until the server is ready for the action."""

    async def happens(self, rig: Rig, first: int) -> list[int]:
        """Acts and returns the times of the events; `first` is the begin of the measurement, in ns."""


async def played(load: Load, what: Happening | None = None) -> Played:
    """Runs one real server between stand-ins under a load."""
    async with AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        told_calls = None
        catalogue: Any = None
        if load.call is not None:
            calls, told_calls = start_process(serve_downstream, load.call)
            stack.callback(calls.kill)
            catalogue = SimpleNamespace(address=await receive(told_calls))
        rig = Rig(
            folder,
            n_cores=32,
            memory_kb=400000,
            calls_out=500.0,
            drain_grace=0,
            stop_ms=1500,
            downstream=catalogue,
        )
        runs = RunQueue(rig.executor, load)
        rig.executor.commands = runs  # type: ignore[assignment]
        if what is not None:
            what.prepare(rig)
        await stack.enter_async_context(rig)
        pid = rig.process.pid
        if what is not None:
            await what.ready(rig)
        generator, pipe = start_process(generate, rig.address, load)
        stack.callback(generator.kill)
        await receive(pipe)
        before, since = main_thread_ns(pid), time.monotonic_ns()
        await asyncio.sleep(SETTLE)
        idle = (main_thread_ns(pid) - before) / (time.monotonic_ns() - since)
        begin = time.monotonic_ns() + NS_PER_SECOND // 5
        pipe.send(begin)
        first, last = (
            begin + int(load.warm * NS_PER_SECOND),
            begin + int((load.warm + load.seconds) * NS_PER_SECOND),
        )
        await rest(first)
        happening = asyncio.create_task(what.happens(rig, first)) if what is not None else None
        before, since = main_thread_ns(pid), time.monotonic_ns()
        loads = [os.getloadavg()[0]]
        await rest(last)
        spent, span = main_thread_ns(pid) - before, time.monotonic_ns() - since
        loads.append(os.getloadavg()[0])
        moments = await happening if happening is not None else []
        sent: list[Sent] = await receive(pipe)
        generator.join(10)
        own = dict(runs.own)
        if told_calls is not None:
            told_calls.send("over")
            for id, had in (await receive(told_calls)).items():
                own[id] = own.get(id, 0) + had
            calls.join(10)
        count = sum(first <= one.intended < last for one in sent)
        return Played(
            sent,
            own,
            first,
            (spent - idle * span) / max(1, count) / 1e6,
            1000 * idle,
            1000 * spent / span,
            max(loads),
            quiet(),
            moments,
        )


def least_p99(play: Played) -> float:
    """Returns the p99 of the calmest span of a run."""
    spans: dict[int, list[Sent]] = {}
    for one in play.sent:
        if play.begin <= one.intended:
            spans.setdefault((one.intended - play.begin) // CALM, []).append(one)
    most = max(map(len, spans.values()))
    return min(summarize(span, play.own).p99 for span in spans.values() if 2 * len(span) >= most)


async def rest(until: int) -> None:
    """Waits until a monotonic time in ns."""
    await asyncio.sleep(max(0, until - time.monotonic_ns()) / NS_PER_SECOND)


async def harness(load: Load) -> Told:
    """Runs the same load on a process that answers at once."""
    process, ours = start_process(serve_echo)
    generator, pipe = start_process(generate, await receive(ours), load)
    try:
        await receive(pipe)
        begin = time.monotonic_ns() + NS_PER_SECOND // 5
        pipe.send(begin)
        return summarize(await receive(pipe), {}, begin + int(load.warm * NS_PER_SECOND))
    finally:
        for one in (generator, process):
            one.kill()
            one.join(10)


def common(command: Callable[..., None]) -> Callable[..., None]:
    """Adds the options that all commands share."""
    for option in (
        click.option("--dry", is_flag=True, help="Keeps no rows."),
        click.option(
            "--to",
            default=SLOPES_FILE,
            type=click.Path(dir_okay=False, path_type=Path),
            help="The file of rows.",
        ),
        click.option("--seed", default=1, show_default=True),
    ):
        command = option(command)
    return command


@click.command()
@click.option(
    "--rates", default=RATES, show_default=True, callback=numbers, help="Requests a second."
)
@click.option(
    "--seconds",
    default=10.0,
    show_default=True,
    type=click.FloatRange(0.2, 120),
    help="Of each rate.",
)
@click.option("--calls", is_flag=True, help="Each run makes one call below.")
@click.option(
    "--harness", "bare", is_flag=True, help="No server: what is measured by the harness alone."
)
@common
def request(
    rates: tuple[int, ...], seconds: float, calls: bool, bare: bool, seed: int, dry: bool, to: Path
) -> None:
    """Measures one real server at several rates."""
    place = None if dry else to
    command = (
        f"python benchmarks/scale.py request --rates {','.join(map(str, rates))} --seconds {seconds:g}"
        f" --seed {seed}" + " --calls" * calls + " --harness" * bare
    )
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
        found.append(summarize(play.sent, play.own, play.begin))
        TOLD.print(
            f"{rate} a second: {play.cpu:.3f} ms of processor time a request, {play.used:.0f} ms/s in all,"
            f" {play.idle:.1f} at rest; load {play.load:.1f}; {found[-1]}"
        )
    kind = " with calls" if calls else ""
    here = (
        f"one real server between stand-ins in processes of their own on loopback, {machine()}; runs of 5 ms"
        + (" and one call below of 10 ms each" if calls else ", no calls below")
        + "; one class, read-only"
    )

    def row(name: str, unit: str, values: list[float], note: str) -> None:
        told(
            Row(
                name,
                "requests a second",
                unit,
                "churn",
                tuple(map(float, rates)),
                tuple(values),
                command,
                f"{note}; {here}",
            ),
            place,
        )

    if bare:
        row(
            "request p99 harness",
            "ms",
            [one.p99 for one in found],
            "from the intended moment, with no server between",
        )
        return
    row(
        f"request cpu{kind}",
        "ms",
        [play.cpu for play in plays],
        "processor time of the loop's thread a request, less what it takes at rest",
    )
    late = max(one.late_p99 for one in found)
    about = (
        f"{busy(plays)}from the intended moment, less what the stand-ins had the request; reading of commands by"
        f" the stand-ins and the generator's own lateness (p99 {late:.2f} ms at most) are in it; load of each"
        f" {', '.join(f'{play.load:.1f}' for play in plays)}; not settled: {unsettled(found)}"
    )
    row(f"request p50 added{kind}", "ms", [one.p50 for one in found], about)
    row(f"request p99 added{kind}", "ms", [one.p99 for one in found], about)
    row(
        f"request p99 added least{kind}",
        "ms",
        [least_p99(play) for play in plays],
        f"of each {CALM // NS_PER_SECOND} s of the run the p99, and of these the least: what others on the machine add is"
        f" mostly not in it; no measure of 99 in 100 over a long time; {about}",
    )
    ends = passed_at(rates, [one.p99 for one in found], ADDED_MS, 1e5)
    first = next((rate for rate, one in zip(rates, found, strict=True) if one.p99 > ADDED_MS), None)
    click.echo(
        f"{ADDED_MS} ms added at the 99th percentile: first passed of those measured at {first or 'none'},"
        f" by the fit at {'none' if ends is None else f'{ends:.0f}'} a second"
    )
    ends = passed_at(rates, [play.used for play in plays], 1000.0, 1e5)
    click.echo(f"a whole core is passed at {'none' if ends is None else f'{ends:.0f}'} a second")


BEFORE, AFTER = (
    NS_PER_SECOND // 4,
    NS_PER_SECOND * 3 // 4,
)  # ns around an event whose requests are measured
APART = 2 * NS_PER_SECOND  # ns between an event and a time without any
SETTLED = 2.5  # s from the begin to the first event
CUT = 6.0  # s of a cut, after which the others have declared the server dead
NEARLY = 0.95  # share of the members that is enough, because on a busy machine a few are always suspected
WHILE = 6 * NS_PER_SECOND
HOLLOW_MOST = 100  # members in one process
TENANTS, MEMBERS = "10000,30000,100000,200000,430000", "10,30,100,200,300"


def windows(play: Played, moments: Sequence[int]) -> Told:
    """Returns the latency of the requests whose intended time is close to one of these times."""
    near = [
        one for one in play.sent if any(at - BEFORE <= one.intended < at + AFTER for at in moments)
    ]
    return summarize(near, play.own)


class Reloads:
    """Lets the server reload its configuration file `times` times, `gap` s apart."""

    by = "tenants"

    def __init__(self, count: int, times: int, gap: float) -> None:
        self.count, self.times, self.gap = count, times, gap
        self.seconds = SETTLED + times * gap
        self.beside = APART  # ns before each event, when nothing happens

    async def __aenter__(self) -> "Reloads":
        return self

    async def __aexit__(self, *_: object) -> None:
        pass

    def prepare(self, rig: Rig) -> None:
        rig.configuration["settings"]["tenants"] = tenants(self.count)

    async def ready(self, rig: Rig) -> None:
        pass

    async def happens(self, rig: Rig, first: int) -> list[int]:
        found = []
        for turn in range(self.times):
            await rest(first + int((SETTLED + turn * self.gap) * NS_PER_SECOND))
            found.append(time.monotonic_ns())
            rig.process.send_signal(signal.SIGHUP)
        return found


class Members(Reloads):
    """Makes the server one of `count` members; all others are hollow.

    With `deals` the server has the oldest incarnation and is the allocator.
    """

    by = "members"

    def __init__(self, count: int, times: int, gap: float, deals: bool = False) -> None:
        super().__init__(count, times, gap)
        self.deals = deals
        self.processes: list[tuple[Any, Any]] = []

    async def __aenter__(self) -> "Members":
        self.folder = tempfile.TemporaryDirectory()
        folder = Path(self.folder.name)
        life = time.time_ns() // 1_000_000 + (HOUR_MS if self.deals else -HOUR_MS)
        names = [f"h{at:04d}" for at in range(self.count - 1)]
        for at in range(0, len(names), HOLLOW_MOST):
            part = part_of(folder, self.count, [])
            self.processes.append(
                start_process(run_members, names[at : at + HOLLOW_MOST], life + at, part)
            )
        told_all = [one for _, pipe in self.processes for one in await receive(pipe)]
        for _, pipe in self.processes:
            pipe.send(told_all)
            assert await receive(pipe) == "up"
        self.part = part_of(folder, self.count, [address for _, address, _ in told_all[:4]])
        return self

    async def __aexit__(self, *_: object) -> None:
        for process, pipe in self.processes:
            process.kill()
            process.join(10)
            pipe.close()
        self.folder.cleanup()

    def prepare(self, rig: Rig) -> None:
        rig.operator = {"fleet": self.part}

    def tell(self, *words: str) -> None:
        for _, pipe in self.processes:
            pipe.send(words)

    async def ready(self, rig: Rig) -> None:
        """Waits until the members agree.

        Nearly all members (all of them, if they are few) must see nearly all others and the right
        allocator, and another member must have the same view as the server. Equal views are not
        required after a while, because on a busy machine some member is always suspected.
        """
        self.tell("real", re.findall(r"event=membership_opened .* address=(\S+)", rig.log())[-1])
        async with asyncio.timeout(60):
            same, since = False, 0
            while True:
                now, members = await self.seen()
                same = same or now
                right = sum(
                    (dealt_by == rig.name) is self.deals and there >= NEARLY * self.count
                    for dealt_by, there in members
                )
                since = (since or time.monotonic_ns()) if right >= NEARLY * len(members) else 0
                if since and (same or time.monotonic_ns() - since > WHILE):
                    return
                await asyncio.sleep(0.2)

    async def seen(self) -> tuple[bool, list[tuple[str, int]]]:
        """Returns whether another member has the server's view, and what each hollow member sees.

        A member sees the name of the allocator and the number of members.
        """
        self.tell("see")
        found = [await receive(pipe) for _, pipe in self.processes]
        return any(same for same, _ in found), [one for _, members in found for one in members]


class Rejoins(Members):
    """Cuts the server off until the others declare it dead, and then ends the cut.

    The event is the end of the cut. If the row says that the server was gone to 0% of the others,
    it was not declared dead and only refuted a suspicion.
    """

    def __init__(self, count: int, times: int, gap: float) -> None:
        super().__init__(count, times, gap)
        self.beside = int((CUT + 1) * NS_PER_SECOND)  # before the cut
        self.seconds = SETTLED + times * (CUT + gap)
        self.buried: list[
            float
        ] = []  # share of the others that held the server for dead at the end of each cut

    async def happens(self, rig: Rig, first: int) -> list[int]:
        found = []
        for turn in range(self.times):
            await rest(first + int((SETTLED + turn * (CUT + self.gap)) * NS_PER_SECOND))
            self.tell("cut")
            await asyncio.sleep(CUT)
            self.buried.append(
                sum(there < self.count for _, there in (await self.seen())[1]) / (self.count - 1)
            )
            found.append(time.monotonic_ns())
            self.tell("heal")
        return found


class Leads(Reloads):
    """Lets the server lead a release of `count` servers; all others are hollow.

    The server already runs the next version.
    """

    by = "servers"

    async def __aenter__(self) -> "Leads":
        self.folder = tempfile.TemporaryDirectory()
        self.part = hollow_releases.part_of(Path(self.folder.name))
        return self

    async def __aexit__(self, *_: object) -> None:
        self.process.kill()
        self.process.join(10)
        self.folder.cleanup()

    def prepare(self, rig: Rig) -> None:
        rig.operator = {"rollout": self.part}

    async def ready(self, rig: Rig) -> None:
        """Waits until the rollout state holds all servers and the release has begun."""
        names = [f"h{at:04d}" for at in range(self.count - 1)]
        self.process, self.pipe = start_process(
            hollow_releases.run_servers, self.part["store"]["sqlite"]["path"], names
        )
        async with asyncio.timeout(90):
            while (seen := await self.seen())[0] < self.count:
                await asyncio.sleep(0.5)
            assert seen[2].startswith(rig.name), seen
            self.pipe.send("start")
            while not await receive(self.pipe):
                self.pipe.send("start")  # repeated because the leader wrote in between
            while (await self.seen())[1] == "IDLE":
                await asyncio.sleep(0.5)
            await asyncio.sleep(2.0)

    async def seen(self) -> tuple[int, str, str]:
        """Returns the number of servers in the rollout state, the phase and the leader."""
        self.pipe.send("see")
        found: tuple[int, str, str] = await receive(self.pipe)
        return found

    async def happens(self, rig: Rig, first: int) -> list[int]:
        await rest(first + int(self.seconds * NS_PER_SECOND))
        phase = (await self.seen())[1]
        assert phase != "IDLE", "the release was over before the count"
        return []


async def happened(load: Load, what: Reloads) -> Played:
    """Runs an action on a server under load."""
    async with what:
        return await played(replace(load, seconds=what.seconds), what)


@click.command()
@click.argument("what", type=click.Choice(["reload", "rejoin"]))
@click.option("--sizes", default="", help="Tenants of a reload, members of a rejoin.")
@click.option(
    "--rate",
    default=300,
    show_default=True,
    type=click.IntRange(1, 5000),
    help="Requests a second.",
)
@click.option(
    "--times", default=2, show_default=True, type=click.IntRange(1, 20), help="That it happens."
)
@click.option(
    "--gap", default=12.0, show_default=True, type=click.FloatRange(1.5, 60), help="s between them."
)
@common
def during(
    what: str, sizes: str, rate: int, times: int, gap: float, seed: int, dry: bool, to: Path
) -> None:
    """Measures p99 and the longest answer around work for control, and without such work."""
    kind: type[Reloads] = {"reload": Reloads, "rejoin": Rejoins}[what]
    counts = whole(sizes or (TENANTS if kind is Reloads else MEMBERS))
    command = (
        f"python benchmarks/scale.py during {what} --sizes {','.join(map(str, counts))} --rate {rate}"
        f" --times {times} --gap {gap:g} --seed {seed}"
    )
    near: list[Told] = []
    beside: list[Told] = []
    plays: list[Played] = []
    gone: list[float] = []
    for count in track(counts, what, console=TOLD):
        happening = kind(count, times, gap)
        play = uvloop.run(happened(Load(rate, 0, connections=128, seed=seed), happening))
        plays.append(play)
        near.append(windows(play, play.moments))
        if isinstance(happening, Rejoins):
            gone.append(min(happening.buried))
        beside.append(windows(play, [at - happening.beside for at in play.moments]))
        TOLD.print(f"{count}: load {play.load:.1f}\n  around: {near[-1]}\n  beside: {beside[-1]}")
    here = (
        f"{busy(plays)}requests that were to be sent from a quarter of a second before to three quarters after,"
        f" {times} times at {rate} a second, no calls below; {between(plays)}; not settled: {unsettled(near)}"
        + (
            ""
            if kind is Reloads
            else f"; the other members are hollow, the server was cut off for {CUT:g} s"
            f" before, and gone to {', '.join(f'{100 * one:.0f}%' for one in gone)} of them when it was healed"
        )
    )
    for name, values, note in (
        (f"request p99 added in a {what}", [one.p99 for one in near], "added, as without"),
        (
            f"request longest in a {what}",
            [one.longest for one in near],
            "the longest of all answers",
        ),
        (
            f"request p99 added beside a {what}",
            [one.p99 for one in beside],
            "the same spans, earlier, without",
        ),
        (
            f"request longest beside a {what}",
            [one.longest for one in beside],
            "the same spans, earlier, without",
        ),
    ):
        told(
            Row(
                name,
                kind.by,
                "ms",
                "churn",
                tuple(map(float, counts)),
                tuple(values),
                command,
                f"{note}; {here}",
            ),
            None if dry else to,
        )
    first = next(
        (count for count, one in zip(counts, near, strict=True) if one.p99 > ADDED_MS), None
    )
    click.echo(
        f"{ADDED_MS} ms added at the 99th percentile around a {what}: first passed of those measured at"
        f" {first or 'none'}"
    )


SIZED = (
    click.option(
        "--sizes", default=MEMBERS, show_default=True, callback=numbers, help="Members, or servers."
    ),
    click.option(
        "--rate",
        default=300,
        show_default=True,
        type=click.IntRange(1, 5000),
        help="Requests a second.",
    ),
    click.option(
        "--seconds",
        default=8.0,
        show_default=True,
        type=click.FloatRange(0.2, 120),
        help="Of each size.",
    ),
)


def sized(command: Callable[..., None]) -> Callable[..., None]:
    for option in SIZED:
        command = option(command)
    return command


@click.command()
@sized
@click.option("--plain", is_flag=True, help="Another deals: the server is a member as all.")
@common
def deal(
    sizes: tuple[int, ...], rate: int, seconds: float, plain: bool, seed: int, dry: bool, to: Path
) -> None:
    """Measures p99 of requests at the allocator of a fleet, or at a plain member."""
    steady(
        [Members(count, 0, 0.0, deals=not plain) for count in sizes],
        rate,
        seconds,
        seed,
        None if dry else to,
        "deal",
        " --plain" * plain,
        "as a member" if plain else "while it deals",
    )


@click.command()
@sized
@common
def lead(sizes: tuple[int, ...], rate: int, seconds: float, seed: int, dry: bool, to: Path) -> None:
    """Measures p99 of requests at a server that leads a release of all servers."""
    steady(
        [Leads(count, 0, 0.0) for count in sizes],
        rate,
        seconds,
        seed,
        None if dry else to,
        "lead",
        "",
        "while it leads a release",
    )


def steady(
    happenings: Sequence[Reloads],
    rate: int,
    seconds: float,
    seed: int,
    place: Path | None,
    name: str,
    more: str,
    who: str,
) -> None:
    """Measures requests while an action lasts for the whole run."""
    sizes = [one.count for one in happenings]
    command = (
        f"python benchmarks/scale.py {name} --sizes {','.join(map(str, sizes))} --rate {rate}"
        f" --seconds {seconds:g} --seed {seed}{more}"
    )
    found: list[Told] = []
    plays: list[Played] = []
    for happening in track(happenings, name, console=TOLD):
        happening.seconds = seconds
        play = uvloop.run(happened(Load(rate, 0, warm=min(2.0, seconds), seed=seed), happening))
        plays.append(play)
        found.append(summarize(play.sent, play.own, play.begin))
        TOLD.print(
            f"{happening.count} {happening.by}: {play.idle:.1f} ms/s without requests, {play.used:.0f} with;"
            f" load {play.load:.1f}; {found[-1]}"
        )
    here = (
        f"{busy(plays)}{rate} requests a second, no calls below; the other {happenings[0].by} are hollow;"
        f" {between(plays)}; not settled: {unsettled(found)}"
    )
    for title, unit, values, note in (
        (f"request p99 added {who}", "ms", [one.p99 for one in found], "added, as without"),
        (
            f"request longest {who}",
            "ms",
            [one.longest for one in found],
            "the longest of all answers",
        ),
        (
            f"request idle cpu {who}",
            "ms/s",
            [play.idle for play in plays],
            "processor time of the loop's thread before the first request: this part and what any server does; without"
            " the thread of the store, if any",
        ),
    ):
        told(
            Row(
                title,
                happenings[0].by,
                unit,
                "rest" if name == "deal" else "churn",
                tuple(map(float, sizes)),
                tuple(values),
                command,
                f"{note}; {here}",
            ),
            place,
        )


def busy(plays: list[Played]) -> str:
    """Returns a warning for notes if the machine was busy in a run."""
    return "" if all(play.quiet for play in plays) else "BUSY machine, latency counts for nothing; "


def between(plays: list[Played]) -> str:
    return (
        f"one real server between stand-ins on loopback, {machine()}; load of each"
        f" {', '.join(f'{play.load:.1f}' for play in plays)}"
    )


def unsettled(found: list[Told]) -> str:
    return ", ".join(str(sum(n for how, n in one.how.items() if how != "settled")) for one in found)
