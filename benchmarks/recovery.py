"""How long until full service after nine in ten servers restart at once? Simulated, 3, 30 and 300
servers.

    python benchmarks/recovery.py [--chart FOLDER] [--sizes 3 30] [--seeds 1 2 3]

plain:    each server with its static share of the calls, as told for the whole fleet; grown: as told for a
third of it. fleet:    shares dealt by the fleet.
recovery: the same, with the ramp and the budget of retries.
"""

import argparse
import statistics
import sys
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parent.parent))
sys.path.insert(0, str(Path(__file__).parent))

from fleet_shares import terms

from burlloom.lab import Scenario, run_scenario
from burlloom.lab.charts import recovery_chart
from burlloom.lab.emulator import Emulator, Observer
from burlloom.lab.fleets import SimulatedFleet
from burlloom.recovery import RecoveryPolicy
from burlloom.server.configured_recovery import ConfiguredRestartRecovery
from burlloom.server.recovery import RestartRecovery
from burlloom.server.server import Server

KILLED_AT, DOWN_FOR, SECONDS = 14, 2, 60
VARIANTS = ("plain", "grown", "fleet", "recovery")


def world(size: int, seed: int, grown: bool) -> Scenario:
    """Runs want about as many calls as the catalogue bears well; callers retry without limit, half
    heed nothing. `grown`: two thirds of the servers come at the beginning, and were not thought of
    when shares were told.
    """
    joins = [{"kind": "join", "at_s": 0.5, "for_s": 0.5, "size": size - size // 3}] if grown else []
    return Scenario.model_validate(
        {
            "name": f"{size}",
            "seconds": SECONDS,
            "seed": seed,
            "machines": {
                "count": size,
                "cores": 4,
                "memory_mb": 200,
                "warm_s": 6,
                "cold_from": 0.4,
                "first": size // 3 if grown else 0,
            },
            "products": [
                {
                    "name": "look",
                    "share": 0.7,
                    "work_ms": 400,
                    "sla_ms": 2400,
                    "expiry_ms": 6000,
                    "value": 1,
                },
                {
                    "name": "pay",
                    "share": 0.3,
                    "work_ms": 400,
                    "sla_ms": 1600,
                    "expiry_ms": 6000,
                    "value": 5,
                    "kind": "referenced",
                    "window_ms": 17940,
                },
            ],
            "tenants": [{"name": "acme", "share": 1}],
            "callers": {"count": 30, "heed": 0.5},
            "below": {"slots": 2 * size, "call_ms": 250, "headroom": 1.5},
            "load": {"low": 0.65, "high": 0.65},
            "faults": [
                *joins,
                {
                    "kind": "kill",
                    "at_s": KILLED_AT,
                    "for_s": DOWN_FOR,
                    "part": 0.9 if size > 3 else 0.67,
                },
            ],
        }
    )


def recovering(server: Server) -> RestartRecovery:
    facts = server.config.settings
    return ConfiguredRestartRecovery(
        RecoveryPolicy(
            idempotency_window_ns=max(one.idempotency_window_ns for one in facts.request_classes)
        ),
        server.config.name,
        lambda: server.clock(),
        lambda: server.subsystems.membership,
        facts.call_quota,
        False,
        None,
    )


def one(size: int, variant: str, seed: int) -> dict[str, Any]:
    told = world(size, seed, variant == "grown")
    calls = int(told.below.slots * told.below.headroom)

    def joined(emulator: Emulator) -> SimulatedFleet:
        return SimulatedFleet(emulator, terms(size, calls))

    def look(emulator: Emulator) -> dict[str, float]:
        most, emulator.downstream.peak_calls_in_progress = (
            emulator.downstream.peak_calls_in_progress,
            emulator.downstream.calls_in_progress,
        )
        return {"most": most / calls}

    recovers: Callable[[Server], RestartRecovery] | None = (
        recovering if variant == "recovery" else None
    )
    outcome = run_scenario(
        told,
        observer=Observer(look),
        make_fleet=None if variant in ("plain", "grown") else joined,
        make_recovery=recovers,
    )
    rate = [sum(second.settled) for second in outcome.seconds]
    before = statistics.mean(rate[5 : KILLED_AT - 1])
    back = KILLED_AT + DOWN_FOR
    full = next(
        (
            at - back
            for at in range(back, SECONDS - 8)
            if statistics.mean(rate[at : at + 4]) >= 0.95 * before
        ),
        None,
    )
    lost = sum(before - value for value in rate[KILLED_AT : SECONDS - 6]) / before
    after = [row["most"] for row in outcome.series if row["at"] > KILLED_AT]
    tries = [row["tries"] for row in outcome.series]
    return {
        "size": size,
        "variant": variant,
        "seed": seed,
        "rate": [value / before for value in rate],
        "full": full,
        "lost": lost,
        "peak": max(after),
        "peak_before": max(row["most"] for row in outcome.series if 5 < row["at"] < KILLED_AT),
        "tries": (tries[KILLED_AT + 20] - tries[KILLED_AT])
        / (tries[KILLED_AT - 1] - tries[3])
        * (KILLED_AT - 4)
        / 20,
        "most": [row["most"] for row in outcome.series],
        "faults": len(outcome.violations),
        "first": outcome.violations[:1],
        "value": outcome.value_share,
        "pay": outcome.value_share_of("pay"),
    }


def chart(rows: list[dict[str, Any]], size: int, folder: Path) -> None:
    def mean(variant: str, what: str) -> list[float]:
        chosen = [row[what] for row in rows if row["size"] == size and row["variant"] == variant]
        return [statistics.mean(each) for each in zip(*chosen, strict=False)]

    title = f"s; {size} servers, nine in ten killed at {KILLED_AT}, back at {KILLED_AT + DOWN_FOR}; mean over seeds"
    recovery_chart(
        folder / f"recovery-{size}.svg",
        title,
        {variant: (mean(variant, "rate"), mean(variant, "most")) for variant in VARIANTS},
        SECONDS - 7,
    )


def main() -> None:
    asked = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    asked.add_argument("--chart", type=Path)
    asked.add_argument("--sizes", type=int, nargs="+", default=[3, 30, 300])
    asked.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3])
    told = asked.parse_args()
    rows: list[dict[str, Any]] = []
    with ProcessPoolExecutor() as pool:
        jobs = [
            pool.submit(one, size, variant, seed)
            for size in sorted(told.sizes, reverse=True)
            for seed in (told.seeds if size < 300 else told.seeds[:1])
            for variant in VARIANTS
        ]
        rows = [job.result() for job in jobs]
    print(
        "| servers | variant | s to full service | service lost, s | peak below, of the share (before) | tries, of before | value |"
        " charges | rules broken |"
    )
    for size in sorted(told.sizes):
        for variant in VARIANTS:
            chosen = [row for row in rows if row["size"] == size and row["variant"] == variant]
            fulls = [row["full"] for row in chosen]

            def mean(what: str, of: list[dict[str, Any]] = chosen) -> float:
                return statistics.mean(row[what] for row in of)

            said = ", ".join("never" if full is None else f"{full}" for full in fulls)
            print(
                f"| {size} | {variant} | {said} | {mean('lost'):.1f} | {max(row['peak'] for row in chosen):.2f}"
                f" ({max(row['peak_before'] for row in chosen):.2f}) | {mean('tries'):.2f} | {mean('value'):.3f} |"
                f" {mean('pay'):.3f} | {sum(row['faults'] for row in chosen)} |"
            )
            for row in chosen:
                if row["first"]:
                    print("    ", row["first"])
    if told.chart is not None:
        for size in told.sizes:
            chart(rows, size, told.chart)


if __name__ == "__main__":
    main()
