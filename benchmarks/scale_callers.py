"""Measures memory and processor time of callers' connections at one server, idle and busy.

    python benchmarks/scale.py callers                    # 50 to 5,000 connections, some two minutes

The number of callers of one server is computed, not measured: 140,000 callers over 2,600 servers
are 54 each if every caller holds one connection to one server. If every caller holds one to each of
S servers, it is 54 times S.
"""

import asyncio
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import click
import uvloop
from rich.progress import track

sys.path[:0] = [str(Path(__file__).parent), str(Path(__file__).parent.parent / "tests")]

from processes import TOLD, machine, main_thread_ns, numbers, status_mb, told  # noqa: E402
from rig import Rig  # noqa: E402
from traffic import Load, LoadConnection, RunQueue, generate, receive, start_process  # noqa: E402

from burlloom.lab.slopes import SLOPES_FILE, Row  # noqa: E402
from burlloom.time_units import NS_PER_SECOND

CONNECTIONS = "50,200,500,1000,2500,5000"
CALLERS, SERVERS = 140_000, 2_600
SOCKETS = 20_000  # so high that no connection is closed in favour of another
SERVER: dict[str, Any] = {
    "n_cores": 32,
    "memory_kb": 400000,
    "sockets": SOCKETS,
    "idle": 60_000_000,
    "drain_grace": 0,
    "stop_ms": 1500,
}
RATE = 200  # requests per second over all connections while they are busy


def hold_connections(pipe: Any, address: str, count: int) -> None:
    """Holds connections open in a process; each has sent one request and is idle after that."""
    lines = []
    for _ in range(count):
        lines.append(LoadConnection(address))
        lines[-1].send_request(0)
        lines[-1].read_answers([])
    pipe.send("ready")
    pipe.recv()


async def idle(count: int, span: float) -> tuple[float, float]:
    """Returns the memory in MB and the processor time in ms per second of idle connections."""
    with tempfile.TemporaryDirectory() as folder:
        rig = Rig(Path(folder), **SERVER)
        rig.executor.commands = RunQueue(rig.executor, Load(1, 1, work=0.0))  # type: ignore[assignment]
        async with rig:
            pid = rig.process.pid
            await asyncio.sleep(0.5)
            memory, spent = status_mb(pid, "VmRSS"), await rate_of(pid, span)
            holder, pipe = start_process(hold_connections, rig.address, count)
            try:
                await receive(pipe, 60)
                await asyncio.sleep(0.5)
                more = await rate_of(pid, span)
                return status_mb(pid, "VmRSS") - memory, more - spent
            finally:
                holder.kill()
                holder.join(10)


async def rate_of(pid: int, span: float) -> float:
    """Returns ms of processor time per second of the server's event loop thread."""
    before, began = main_thread_ns(pid), time.perf_counter()
    await asyncio.sleep(span)
    return (main_thread_ns(pid) - before) / 1e6 / (time.perf_counter() - began)


async def busy(count: int, span: float) -> tuple[float, float]:
    """Returns the memory in MB of busy connections and the processor time in ms per request.

    Requests are sent over all connections in turn.
    """
    with tempfile.TemporaryDirectory() as folder:
        rig = Rig(Path(folder), **SERVER)
        load = Load(RATE, span, warm=0.5, connections=count, work=0.005)
        rig.executor.commands = RunQueue(rig.executor, load)  # type: ignore[assignment]
        async with rig:
            pid = rig.process.pid
            await asyncio.sleep(0.5)
            memory, rest = status_mb(pid, "VmRSS"), await rate_of(pid, 1.0)
            generator, pipe = start_process(generate, rig.address, load)
            try:
                await receive(pipe, 60)
                begin = time.monotonic_ns() + NS_PER_SECOND // 20
                pipe.send(begin)
                await asyncio.sleep((begin - time.monotonic_ns()) / NS_PER_SECOND + load.warm)
                spent = await rate_of(pid, span)
                more = status_mb(pid, "VmRSS") - memory
                sent = await receive(pipe)
                first = begin + int(load.warm * NS_PER_SECOND)
                return more, (spent - rest) * span / max(
                    1, sum(one.intended >= first for one in sent)
                )
            finally:
                generator.kill()
                generator.join(10)


@click.command()
@click.option(
    "--sizes", default=CONNECTIONS, show_default=True, callback=numbers, help="Connections."
)
@click.option(
    "--seconds",
    default=4.0,
    show_default=True,
    type=click.FloatRange(0.2, 60),
    help="Of each state.",
)
@click.option("--dry", is_flag=True, help="Keeps no rows.")
@click.option(
    "--to",
    default=SLOPES_FILE,
    type=click.Path(dir_okay=False, path_type=Path),
    help="The file of kept rows.",
)
def callers(sizes: tuple[int, ...], seconds: float, dry: bool, to: Path) -> None:
    """Measures what connections of callers cost one server."""
    still, working = [], []
    for count in track(sizes, "callers", console=TOLD):
        still.append(uvloop.run(idle(count, seconds)))
        working.append(uvloop.run(busy(count, seconds)))
        TOLD.print(f"{count} connections: idle {still[-1]}, busy {working[-1]}")
    here = (
        f"one real server between stand-ins on loopback, {machine()}; {CALLERS // SERVERS} connections a server if"
        f" each of {CALLERS} callers holds one to one of {SERVERS} servers, which is an assumption"
    )
    for name, unit, state, values, note in (
        (
            "connection memory",
            "KB",
            "rest",
            [1024 * memory for memory, _ in still],
            "resident growth for all of them, each with one request behind it",
        ),
        (
            "connection cpu",
            "ms/s",
            "rest",
            [max(0.0, spent) for _, spent in still],
            "processor time of the loop's thread for all of them, silent; less what it takes without any",
        ),
        (
            "connection memory",
            "KB",
            "churn",
            [1024 * memory for memory, _ in working],
            f"resident growth with {RATE} requests a second over all of them in turn",
        ),
        (
            "connection request cpu",
            "ms",
            "churn",
            [spent for _, spent in working],
            f"processor time of the loop's thread a request, {RATE} a second over all of them in turn, less what a server"
            " takes without connections",
        ),
    ):
        told(
            Row(
                name,
                "connections",
                unit,
                state,
                tuple(map(float, sizes)),
                tuple(values),
                f"python benchmarks/scale.py callers --sizes {','.join(map(str, sizes))} --seconds {seconds:g}",
                f"{note}; {here}",
            ),
            None if dry else to,
        )
