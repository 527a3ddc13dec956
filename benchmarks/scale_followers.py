"""Measures what following the configuration costs a server and a control machine, on sockets.

The servers are hollow and run in two host processes. The control machine runs the real core in a
process of its own, so that /proc shows its cost.

    python benchmarks/scale_followers.py --by followers [--keep]    # 25 to 400 of them, 0.4 changes a second
    python benchmarks/scale_followers.py --by changes [--keep]      # 0.4 to 8 a second, 100 followers
    python benchmarks/scale_followers.py --by followers --state cold [--keep]    # all of them begin at once, with
    nothing
"""

import asyncio
import sys
import tempfile
from pathlib import Path
from typing import Any

import click

sys.path.insert(0, str(Path(__file__).parent))

from scale_run import Phase, Run, Setting, host_lag_ms, percentile, start  # noqa: E402

from burlloom.lab.slopes import Row, append_row, describe_fit, fit  # noqa: E402
from burlloom.time_units import NS_PER_SECOND

SIZES = {"followers": (25.0, 50.0, 100.0, 200.0, 400.0), "changes": (0.4, 1.0, 2.0, 4.0, 8.0)}
# Time in ms after which a follower abandons its upstream. Hosts whose event loops were later lacked
# processor time, and their figures are not valid.
MAX_LAG_MS = 3000.0


REST_S = 12.0  # s at rest during which costs are measured


async def run_at_rest(run: Run) -> None:
    """Runs without faults while costs are measured."""
    await asyncio.sleep(REST_S)


def measure(
    followers: int, rate: float, loss: float, entries: int, seed: int, state: str
) -> dict[str, Any]:
    """Runs followers of one control machine and returns their figures."""
    setting = Setting(
        followers,
        2,
        1,
        0,
        rate,
        loss,
        entries,
        seed,
        1.0,
        ("start", "rest"),
        budgets=False,
        begin=100,
    )
    with tempfile.TemporaryDirectory() as folder:
        run = Run(setting, Path(folder), lambda what: None)
        run.zone = []  # without a fleet that shares a quota
        run.phase_list = [("start", start), ("rest", run_at_rest)]
        checker = asyncio.run(run.play())
    phase: Phase = next(
        played for played in run.phases if played.name == {"rest": "rest", "cold": "start"}[state]
    )
    # The cost of a cold start is a total and not a rate.
    span = (phase.ended - phase.began) / NS_PER_SECOND if state == "rest" else 1.0
    delays = [
        delay / NS_PER_SECOND
        for at, delay in checker.order.delays
        if phase.began <= at < phase.ended
    ]
    caught = [delay / NS_PER_SECOND for _, delay in checker.order.catch_ups]
    hollow = sum(value for name, value in phase.cpu.items() if name.startswith("host"))
    heard = sum(value for name, value in phase.traffic.items() if name.startswith("host"))
    return {
        "follower cpu": hollow / span / followers * 1000,
        "follower bytes": heard / span / followers,
        "source cpu": phase.cpu["control0"] / span * 1000,
        "source bytes": phase.traffic["control0"] / span,
        "source memory": checker.budgets.memory["control0"] / 2**20,
        "delay": percentile(delays, 0.99),
        "worst": max(delays, default=float("nan")),
        "caught": max(caught, default=float("nan")),
        "faults": checker.faults.count,
        "lag": host_lag_ms(run, phase),
    }


@click.command()
@click.option(
    "--by", type=click.Choice(["followers", "changes"]), default="followers", show_default=True
)
@click.option("--sizes", default="", help="with commas between; else five of its own")
@click.option("--loss", default=0.01, show_default=True)
@click.option("--entries", default=1000, show_default=True, help="in force from the beginning")
@click.option("--seed", default=1, show_default=True)
@click.option("--state", type=click.Choice(["rest", "cold"]), default="rest", show_default=True)
@click.option("--keep", "kept", is_flag=True, help="append the slopes to the kept ones")
def followers(
    by: str, sizes: str, loss: float, entries: int, seed: int, state: str, kept: bool
) -> None:
    """Measures the cost of following, by followers of a control machine or changes per second."""
    per_second = "/s" if state == "rest" else ""
    print(
        f"| {by} | a follower, ms{per_second} | B{per_second} | the control machine, ms{per_second} | kB{per_second} | its memory, MB | in force after, s: 99 in 100 | worst | "
        "whole after, s: last | faults | lag of loops, ms |"
    )
    print("|" + " --- |" * 11)
    valid_figures = []
    for size in tuple(float(size) for size in sizes.split(",") if size) or SIZES[by]:
        count, rate = (int(size), 0.4) if by == "followers" else (100, size)
        figures = measure(count, rate, loss, entries, seed, state)
        print(
            f"| {size:g} | {figures['follower cpu']:.2f} | {figures['follower bytes']:.0f} | {figures['source cpu']:.1f} | {figures['source bytes'] / 1000:.1f} | "
            f"{figures['source memory']:.0f} | {figures['delay']:.2f} | {figures['worst']:.2f} | {figures['caught']:.1f} | {figures['faults']} | {figures['lag']:.0f}"
            f"{'' if figures['lag'] <= MAX_LAG_MS else ' TOO BUSY, counts for nothing'} |",
            flush=True,
        )
        if figures["lag"] <= MAX_LAG_MS:
            valid_figures.append((size, figures))
    command = f"python benchmarks/scale_followers.py --by {by} --state {state} --entries {entries}"
    # The names of the sizes in the tables of capacity.
    size_name = {"followers": "followers", "changes": "changes a second"}[by]
    plain = {
        "followers": ("source cpu", "source bytes"),
        "changes": ("follower cpu", "follower bytes"),
    }[by]
    for name, unit in (
        ("follower cpu", "ms"),
        ("follower bytes", "B"),
        ("source cpu", "ms"),
        ("source bytes", "B"),
    ):
        told = (
            tuple(size for size, _ in valid_figures),
            tuple(float(figures[name]) for _, figures in valid_figures),
        )
        full = name if name in plain else f"{name} by {size_name}"
        try:
            print(f"{full}: {describe_fit(fit(*told))}")
        except ValueError as error:
            print(f"{full}: no slope, {error}")
            continue
        if kept:
            append_row(
                Row(
                    full,
                    size_name,
                    unit + per_second,
                    state,
                    *told,
                    command,
                    "loopback sockets with 1% loss, hollow followers, one control machine; "
                    + ("100 followers" if by == "changes" else "0.4 changes a second")
                    + f", {entries} entries; a send takes some 90 us here",
                )
            )


if __name__ == "__main__":
    followers()
