"""Reads processor time and memory of processes, and prints the rows of the slope measurements."""

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
CORE_SHARE = 0.037  # the share of a core that a server may spend on control work
# Budgets of a server: memory in MB, added latency in ms at the 99th percentile, and a rate.
MEMORY_MB, ADDED_MS, RATE_AHEAD = 128.0, 3.4, 500.0
TOLD = Console(stderr=True, highlight=False)


def main_thread_ns(pid: int) -> int:
    """Returns the processor time in ns of the main thread, which runs the event loop."""
    return int(Path(f"/proc/{pid}/task/{pid}/schedstat").read_text(encoding="ascii").split()[0])


def processor_s(pid: int) -> float:
    """Returns the processor time in s of all threads, including ended ones, in steps of 10 ms."""
    after_name = Path(f"/proc/{pid}/stat").read_text(encoding="utf-8").rpartition(")")[2].split()
    return (int(after_name[11]) + int(after_name[12])) / os.sysconf("SC_CLK_TCK")


def status_mb(pid: int, name: str) -> float:
    """Returns a memory figure in MB: `VmRSS` is resident memory now, `VmHWM` its peak."""
    status = Path(f"/proc/{pid}/status").read_text(encoding="utf-8")
    return int(status.split(f"{name}:")[1].split()[0]) * 1024 / MB


def quiet() -> bool:
    """Returns whether the load average of the last minute is at most half of the cores."""
    return os.getloadavg()[0] <= (os.cpu_count() or 1) / 2


def gauge_ms() -> float:
    """Returns the median processor time in ms of a fixed amount of work.

    The same work takes longer on a core that shares caches with busy ones.
    """
    text = json.dumps([{"name": f"n{index:06d}", "portion": index / 7} for index in range(20_000)])
    durations_ms = []
    for _ in range(5):
        started_at_s = time.thread_time()
        json.loads(text)
        durations_ms.append(1000 * (time.thread_time() - started_at_s))
    return statistics.median(durations_ms)


def machine() -> str:
    """Returns how busy the machine is, for the note of a row."""
    load = os.getloadavg()[0]
    return (
        f"load {load:.1f} on {os.cpu_count()} cores"
        + ("" if quiet() else ": a BUSY machine")
        + (f", a fixed piece of work took {gauge_ms():.0f} ms of processor time")
    )


def passed_at(
    sizes: Sequence[float], values: Sequence[float], budget: float, max_size: float = 1e9
) -> float | None:
    """Returns the size at which a fit of the values passes the budget.

    Returns None if the fit stays within the budget up to `max_size`.
    """
    slope = fit(sizes, values)
    if slope.at(max_size) <= budget:
        return None
    low, high = 1.0, max_size
    for _ in range(100):
        middle = (low * high) ** 0.5
        low, high = (middle, high) if slope.at(middle) <= budget else (low, middle)
    return low


def told(row: Row, place: Path | None) -> Row:
    """Prints a row with its fit, and stores it in `place` unless that is None."""
    slope = fit(row.sizes, row.values)
    points = ", ".join(
        f"{size:g}: {value:.4g}" for size, value in zip(row.sizes, row.values, strict=True)
    )
    click.echo(
        f"{row.name} [{row.unit}, {row.state}] by {row.by}: {points}; {describe_fit(slope)},"
        f" {slope.base:.4g} + {slope.rate:.4g} each"
    )
    return append_row(row, place) if place is not None else row


def whole(text: str) -> tuple[int, ...]:
    """Parses positive whole numbers that commas separate, such as `10000,30000`.

    Raises:
        click.BadParameter: The text is no such list.
    """
    try:
        values = tuple(sorted({int(item) for item in text.split(",")}))
    except ValueError:
        raise click.BadParameter(f"{text!r} is no list of whole numbers") from None
    if min(values) < 1:
        raise click.BadParameter("sizes are over 0")
    return values


def numbers(_: click.Context, __: click.Parameter, value: str) -> tuple[int, ...]:
    """Parses the value of a click option with `whole`."""
    return whole(value)
