"""What a server's configuration costs by the number of tenants in it: file, memory, start, and one
change, which is a reload of the whole today. Routes stand in no configuration of ours yet: for them
a plain dict is measured.

    python benchmarks/scale.py configuration                      # five sizes, some two minutes
    python benchmarks/scale.py configuration --sizes 100,200,300,400,500 --rounds 1 --dry
    python benchmarks/scale.py routes

One real `python -m burlloom.server` between the stand-ins, on ports that the system gives.
"""

import asyncio
import multiprocessing
import os
import socket
import statistics
import sys
import tempfile
import threading
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import click
import msgpack
from rich.progress import track

sys.path[:0] = [str(Path(__file__).parent), str(Path(__file__).parent.parent / "tests")]

from processes import (  # noqa: E402
    CORE_SHARE,
    MB,
    MEMORY_MB,
    TOLD,
    machine,
    main_thread_ns,
    numbers,
    passed_at,
    processor_s,
    status_mb,
    told,
)
from rig import Rig, wait_until  # noqa: E402

from burlloom.lab.slopes import SLOPES_FILE, Row, fit  # noqa: E402

TENANTS = "10000,30000,100000,200000,430000"
ROUTES = "10000,30000,60000,120000,240000"
CHANGES = 0.4  # a second, that the fleet's configuration is to bear
SERVICES = 3000
PING = 0.001  # s between an answer and the next question


def tenants(count: int, change: int = 0) -> list[dict[str, Any]]:
    """`acme` is who the stand-ins ask for. A change moves one portion."""
    return [{"name": "acme"}] + [
        {"name": f"tenant-{at:06d}", "portion": 1.0 + (at + change) % 7 / 8}
        for at in range(1, count)
    ]


class Pings(threading.Thread):
    """One connection that asks for health again and again; the longest wait for an answer since
    `begin`.
    """

    def __init__(self, address: str) -> None:
        super().__init__(daemon=True)
        host, port = address.split(":")
        self.sock = socket.create_connection((host, int(port)), timeout=60)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.longest, self.count, self.over = 0.0, 0, False

    def begin(self) -> None:
        self.longest, self.count = 0.0, 0

    def run(self) -> None:
        number = 0
        unpacker = msgpack.Unpacker()
        while not self.over:
            number += 1
            asked = time.perf_counter()
            self.sock.sendall(msgpack.packb([0, number, "health", [{}]]))
            while next(unpacker, None) is None:
                unpacker.feed(self.sock.recv(4096))
            self.longest = max(self.longest, time.perf_counter() - asked)
            self.count += 1
            time.sleep(PING)

    def end(self) -> None:
        self.over = True
        self.join(60)
        self.sock.close()


@dataclass
class Found:
    """Of one size. Times in ms, sizes in MB. `still`: the longest wait for an answer without a
    reload.
    """

    file: float = 0.0
    listens: list[float] = field(default_factory=list)
    start_cpu: list[float] = field(default_factory=list)
    memory: list[float] = field(default_factory=list)
    reload_cpu: list[float] = field(default_factory=list)
    stall: list[float] = field(default_factory=list)
    still: list[float] = field(default_factory=list)
    memory_after: float = 0.0
    peak: float = 0.0


class Started(Rig):
    """Notes when it listens, and what that cost."""

    async def begin(self) -> None:
        self.began, self.listens, self.start_cpu = time.perf_counter(), 0.0, 0.0
        noting = asyncio.create_task(self.note())
        await super().begin()
        await noting

    async def note(self) -> None:
        await wait_until(lambda: self.log_path.exists() and "event=listening" in self.log())
        self.listens = time.perf_counter() - self.began
        self.start_cpu = processor_s(self.process.pid)


async def reloaded(rig: Rig) -> None:
    """Reads its file anew, to the end of it."""
    before = rig.log().count("event=reloaded")
    rig.reload()
    async with asyncio.timeout(60):
        while rig.log().count("event=reloaded") == before:
            await asyncio.sleep(0.005)


async def sized(count: int, rounds: int) -> Found:
    found = Found()
    for turn in range(rounds):
        with tempfile.TemporaryDirectory() as name:
            rig = Started(Path(name))
            rig.configuration["settings"]["tenants"] = tenants(count)
            async with rig:
                pid = rig.process.pid
                found.file = (rig.folder / "configuration.json").stat().st_size / MB
                found.listens.append(1000 * rig.listens)
                found.start_cpu.append(1000 * rig.start_cpu)
                found.memory.append(status_mb(pid, "VmRSS"))
                if turn == 0:
                    await changed(rig, count, rounds, found)
    return found


async def changed(rig: Rig, count: int, rounds: int, found: Found) -> None:
    """Reloads, first without pings, for their processor time; then with them, for how long nobody
    else has a turn.
    """
    pid = rig.process.pid

    async def idle(span: float) -> float:
        """ns of its loop's thread in a second in which nothing happens."""
        before, began = main_thread_ns(pid), time.perf_counter()
        await asyncio.sleep(span)
        return (main_thread_ns(pid) - before) / (time.perf_counter() - began)

    for turn in range(1, 2 * rounds + 1):
        rig.configuration["settings"]["tenants"] = tenants(count, turn)
        await asyncio.sleep(0.05)
        if turn <= rounds:
            rest = await idle(0.5)
            before, began = main_thread_ns(pid), time.perf_counter()
            await reloaded(rig)
            await asyncio.sleep(0.1)  # what it leaves behind is freed as it ends
            found.reload_cpu.append(
                (main_thread_ns(pid) - before - rest * (time.perf_counter() - began)) / 1e6
            )
        else:
            pings = Pings(rig.address)
            pings.start()
            await asyncio.sleep(0.3)
            found.still.append(1000 * pings.longest)
            pings.begin()
            await reloaded(rig)
            await asyncio.sleep(0.3)
            found.stall.append(1000 * pings.longest)
            await asyncio.to_thread(pings.end)
    found.memory_after, found.peak = status_mb(pid, "VmRSS"), status_mb(pid, "VmHWM")


@click.command()
@click.option("--sizes", default=TENANTS, show_default=True, callback=numbers, help="Tenants.")
@click.option(
    "--rounds", default=3, show_default=True, type=click.IntRange(1, 20), help="Of each size."
)
@click.option("--dry", is_flag=True, help="Keeps no rows.")
@click.option(
    "--to",
    default=SLOPES_FILE,
    type=click.Path(dir_okay=False, path_type=Path),
    help="The file of kept rows.",
)
def configuration(sizes: tuple[int, ...], rounds: int, dry: bool, to: Path) -> None:
    """What tenants in a server's configuration cost."""
    found: list[Found] = []
    for count in track(sizes, "configuration", console=TOLD):
        found.append(asyncio.run(sized(count, rounds)))
        TOLD.print(f"{count} tenants: {found[-1]}")
    for row in rows(sizes, found, rounds):
        told(row, None if dry else to)
    beside(sizes, found)


def rows(sizes: Sequence[int], found: list[Found], rounds: int) -> list[Row]:
    command = f"python benchmarks/scale.py configuration --sizes {','.join(map(str, sizes))} --rounds {rounds}"
    here = (
        f"one real server between stand-ins on loopback, {machine()}; names of 13 letters and a portion each are"
        " a guess; nothing carries a change to other machines today: each server reads a file that somebody laid"
        " there"
    )
    middle = statistics.median
    least = f"the least of {rounds}: who shares the machine only ever adds"

    def row(name: str, unit: str, state: str, values: list[float], note: str) -> Row:
        return Row(
            name,
            "tenants",
            unit,
            state,
            tuple(map(float, sizes)),
            tuple(values),
            command,
            f"{note}; {here}",
        )

    return [
        row(
            "configuration file",
            "MB",
            "rest",
            [one.file for one in found],
            "JSON as it lies there, measured",
        ),
        row(
            "configuration memory",
            "MB",
            "rest",
            [middle(one.memory) for one in found],
            f"resident once it listens, median of {rounds}",
        ),
        row(
            "configuration memory",
            "MB",
            "churn",
            [one.memory_after for one in found],
            f"resident after {2 * rounds} reloads",
        ),
        row(
            "configuration memory peak",
            "MB",
            "churn",
            [one.peak for one in found],
            f"highest resident over start and {2 * rounds} reloads",
        ),
        row(
            "configuration start cpu",
            "ms",
            "cold",
            [min(one.start_cpu) for one in found],
            f"processor time until it listens, to 10 ms, the imports with it, {least}",
        ),
        row(
            "configuration start",
            "ms",
            "cold",
            [middle(one.listens) for one in found],
            f"WALL time until it listens, median of {rounds}",
        ),
        row(
            "reload cpu",
            "ms",
            "churn",
            [min(one.reload_cpu) for one in found],
            f"processor time of the loop's thread for one reload, {least}; the reload is one turn of the loop, so that"
            " this is its longest stall in thread time too",
        ),
        row(
            "reload stall",
            "ms",
            "churn",
            [middle(one.stall) for one in found],
            f"WALL time, longest wait of a health question in a reload, median of {rounds}; without a reload the"
            f" longest was {max(max(one.still) for one in found):.1f} ms",
        ),
    ]


def beside(sizes: Sequence[int], found: list[Found]) -> None:
    """What it comes to at the rates of change to be borne, and where the budgets are passed."""
    cpu = [min(one.reload_cpu) for one in found]
    for rate in (CHANGES, 10 * CHANGES):
        each = ", ".join(
            f"{size}: {rate * value:.4g}" for size, value in zip(sizes, cpu, strict=True)
        )
        ends = passed_at(sizes, [rate * value for value in cpu], 1000 * CORE_SHARE)
        click.echo(
            f"at {rate:g} changes a second, each a reload, ms/s: {each}; {100 * CORE_SHARE:.1f}% of a core is"
            f" passed at {'no size' if ends is None else f'{ends:.0f} tenants'}"
        )
    for name, values in (
        ("rest", [statistics.median(one.memory) for one in found]),
        ("peak", [one.peak for one in found]),
    ):
        ends = passed_at(sizes, values, MEMORY_MB)
        click.echo(
            f"memory {name}: {MEMORY_MB:g} MB passed at {'no size' if ends is None else f'{ends:.0f} tenants'}"
        )


def held(count: int, out: Any) -> None:
    """In a process of its own: what so many routes in a plain dict add to its resident memory."""
    pid = os.getpid()
    before, began = status_mb(pid, "VmRSS"), time.process_time()
    services = [f"service-{at:04d}" for at in range(SERVICES)]
    table = {
        f"/{services[at % SERVICES]}/v1/resource-{at:06d}": (
            services[at % SERVICES],
            250 + at % 1000,
            1.0,
        )
        for at in range(count)
    }
    took = time.process_time() - began
    out.put((len(table), status_mb(pid, "VmRSS") - before, 1000 * took))


@click.command()
@click.option("--sizes", default=ROUTES, show_default=True, callback=numbers, help="Routes.")
@click.option("--dry", is_flag=True, help="Keeps no rows.")
@click.option(
    "--to",
    default=SLOPES_FILE,
    type=click.Path(dir_okay=False, path_type=Path),
    help="The file of kept rows.",
)
def routes(sizes: tuple[int, ...], dry: bool, to: Path) -> None:
    """What a plain dict of routes holds; no configuration of ours has any yet."""
    context = multiprocessing.get_context("spawn")
    measured: list[float] = []
    for count in track(sizes, "routes", console=TOLD):
        out = context.SimpleQueue()
        child = context.Process(target=held, args=(count, out))
        child.start()
        made, size, _ = out.get()
        child.join(60)
        assert made == count
        measured.append(size)
    told(
        Row(
            "routes memory",
            "routes",
            "MB",
            "rest",
            tuple(map(float, sizes)),
            tuple(measured),
            f"python benchmarks/scale.py routes --sizes {','.join(map(str, sizes))}",
            "a YARDSTICK, not the program: it has no routes in its configuration today; resident growth of a process"
            " that builds a plain dict of paths of some 35 letters to (service, ms, share), which is a guess of a"
            f" route; {machine()}",
        ),
        None if dry else to,
    )
    ends = passed_at(sizes, measured, MEMORY_MB)
    click.echo(
        f"{MEMORY_MB:g} MB passed at {'no size' if ends is None else f'{ends:.0f} routes'};"
        f" {1e6 * fit(sizes, measured).at(240_000) / 240_000:.0f} bytes a route at 240,000"
    )
