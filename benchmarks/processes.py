"""What a process has cost so far, as the system tells it: processor time and memory; and what a
slope is told with.
"""

import json
import os
import statistics
import time
from collections.abc import Sequence
from pathlib import Path

import click
from rich.console import Console

from burlloom.lab.slopes import Row, append_row, describe_fit, fit

MB = 1 << 20
CORE_SHARE = 0.037  # of a core that a server spends for control at most
MEMORY_MB, ADDED_MS, RATE_AHEAD = 128.0, 3.4, 500.0
TOLD = Console(stderr=True, highlight=False)


def main_thread_ns(pid: int) -> int:
    """Processor time of the thread that the process began with, which is the one of its loop."""
    return int(Path(f"/proc/{pid}/task/{pid}/schedstat").read_text(encoding="ascii").split()[0])


def processor_s(pid: int) -> float:
    """Of all its threads, also those that ended; to 10 ms."""
    after_name = Path(f"/proc/{pid}/stat").read_text(encoding="utf-8").rpartition(")")[2].split()
    return (int(after_name[11]) + int(after_name[12])) / os.sysconf("SC_CLK_TCK")


def status_mb(pid: int, name: str) -> float:
    """`VmRSS`: resident now, `VmHWM`: at its highest."""
    status = Path(f"/proc/{pid}/status").read_text(encoding="utf-8")
    return int(status.split(f"{name}:")[1].split()[0]) * 1024 / MB


def quiet() -> bool:
    """Whether at most half of the cores have been wanted of late."""
    return os.getloadavg()[0] <= (os.cpu_count() or 1) / 2


def gauge_ms() -> float:
    """Processor time of a fixed piece of work: a core that shares caches with busy ones takes more
    for the same.
    """
    text = json.dumps([{"name": f"n{at:06d}", "portion": at / 7} for at in range(20_000)])
    took = []
    for _ in range(5):
        began = time.thread_time()
        json.loads(text)
        took.append(1000 * (time.thread_time() - began))
    return statistics.median(took)


def machine() -> str:
    """Of a row's note: what else was done here."""
    load = os.getloadavg()[0]
    return (
        f"load {load:.1f} on {os.cpu_count()} cores"
        + ("" if quiet() else ": a BUSY machine")
        + (f", a fixed piece of work took {gauge_ms():.0f} ms of processor time")
    )


def passed_at(
    sizes: Sequence[float], values: Sequence[float], budget: float, most: float = 1e9
) -> float | None:
    """The size at which the fit of it comes to the budget; None if it never does up to `most`."""
    found = fit(sizes, values)
    if found.at(most) <= budget:
        return None
    low, high = 1.0, most
    for _ in range(100):
        middle = (low * high) ** 0.5
        low, high = (middle, high) if found.at(middle) <= budget else (low, middle)
    return low


def told(row: Row, place: Path | None) -> Row:
    """Prints the row with its fit, and keeps it, unless `place` is None."""
    found = fit(row.sizes, row.values)
    points = ", ".join(
        f"{size:g}: {value:.4g}" for size, value in zip(row.sizes, row.values, strict=True)
    )
    click.echo(
        f"{row.name} [{row.unit}, {row.state}] by {row.by}: {points}; {describe_fit(found)},"
        f" {found.base:.4g} + {found.rate:.4g} each"
    )
    return append_row(row, place) if place is not None else row


def whole(text: str) -> tuple[int, ...]:
    """Several whole numbers, as `10000,30000`."""
    try:
        found = tuple(sorted({int(one) for one in text.split(",")}))
    except ValueError:
        raise click.BadParameter(f"{text!r} is no list of whole numbers") from None
    if min(found) < 1:
        raise click.BadParameter("sizes are over 0")
    return found


def numbers(_: click.Context, __: click.Parameter, value: str) -> tuple[int, ...]:
    """An option of several whole numbers."""
    return whole(value)
