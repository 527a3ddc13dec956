"""Measures the time to full service after nine in ten servers restart at once, in simulated time.

    python benchmarks/recovery.py [--chart FOLDER] [--sizes 3 30] [--seeds 1 2 3]

Runs fleets of 3, 30 and 300 servers. Variants:
plain:    each server has a static share of the downstream calls, configured for the whole fleet.
grown:    the same, configured for a third of the fleet.
fleet:    the fleet distributes the shares.
recovery: the same, with the ramp after a restart and the retry budget.
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

from fleet_shares import quota_settings

from burlloom.lab import Scenario, run_scenario
from burlloom.lab.charts import draw_recovery_chart
from burlloom.lab.emulator import Emulator, Observer
from burlloom.lab.fleets import SimulatedFleet
from burlloom.recovery import RecoveryPolicy
from burlloom.server.configured_recovery import ConfiguredRestartRecovery
from burlloom.server.recovery import RestartRecovery
from burlloom.server.server import Server

KILLED_AT_S, DOWN_FOR_S, DURATION_S = 14, 2, 60
VARIANTS = ("plain", "grown", "fleet", "recovery")


def make_scenario(size: int, seed: int, has_grown: bool) -> Scenario:
    """Returns the scenario.

    The runs need about as many downstream calls as the service handles; callers retry without
    limit, and half of them ignore load reports.

    Args:
        size: Number of servers.
        seed: Seed of the simulation.
        has_grown: Whether two thirds of the servers join at the beginning, and are not counted in
            the configured shares.
    """
    joins = (
        [{"kind": "join", "at_s": 0.5, "for_s": 0.5, "size": size - size // 3}] if has_grown else []
    )
    return Scenario.model_validate(
        {
            "name": f"{size}",
            "seconds": DURATION_S,
            "seed": seed,
            "machines": {
                "count": size,
                "cores": 4,
                "memory_mb": 200,
                "warm_s": 6,
                "cold_from": 0.4,
                "first": size // 3 if has_grown else 0,
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
                    "at_s": KILLED_AT_S,
                    "for_s": DOWN_FOR_S,
                    "part": 0.9 if size > 3 else 0.67,
                },
            ],
        }
    )


def make_recovery(server: Server) -> RestartRecovery:
    """Creates the recovery of a server; its state is not saved."""
    settings = server.config.settings
    return ConfiguredRestartRecovery(
        RecoveryPolicy(
            idempotency_window_ns=max(
                request_class.idempotency_window_ns for request_class in settings.request_classes
            )
        ),
        server.config.name,
        lambda: server.clock(),
        lambda: server.subsystems.membership,
        settings.call_quota,
        False,
        None,
    )


def measure(size: int, variant: str, seed: int) -> dict[str, Any]:
    """Runs a variant once and returns its figures; "rate" and "most" have a value per second."""
    scenario = make_scenario(size, seed, variant == "grown")
    max_calls = int(scenario.below.slots * scenario.below.headroom)

    def make_fleet(emulator: Emulator) -> SimulatedFleet:
        return SimulatedFleet(emulator, quota_settings(size, max_calls))

    def sample_peak_calls(emulator: Emulator) -> dict[str, float]:
        peak_calls, emulator.downstream.peak_calls_in_progress = (
            emulator.downstream.peak_calls_in_progress,
            emulator.downstream.calls_in_progress,
        )
        return {"most": peak_calls / max_calls}

    make_server_recovery: Callable[[Server], RestartRecovery] | None = (
        make_recovery if variant == "recovery" else None
    )
    outcome = run_scenario(
        scenario,
        observer=Observer(sample_peak_calls),
        make_fleet=None if variant in ("plain", "grown") else make_fleet,
        make_recovery=make_server_recovery,
    )
    rate = [sum(second.settled) for second in outcome.seconds]
    rate_before = statistics.mean(rate[5 : KILLED_AT_S - 1])
    restarted_at_s = KILLED_AT_S + DOWN_FOR_S
    seconds_to_full_service = next(
        (
            second - restarted_at_s
            for second in range(restarted_at_s, DURATION_S - 8)
            if statistics.mean(rate[second : second + 4]) >= 0.95 * rate_before
        ),
        None,
    )
    lost_seconds = (
        sum(rate_before - value for value in rate[KILLED_AT_S : DURATION_S - 6]) / rate_before
    )
    peaks_after = [row["most"] for row in outcome.series if row["at"] > KILLED_AT_S]
    attempts = [row["tries"] for row in outcome.series]
    return {
        "size": size,
        "variant": variant,
        "seed": seed,
        "rate": [value / rate_before for value in rate],
        "full": seconds_to_full_service,
        "lost": lost_seconds,
        "peak": max(peaks_after),
        "peak_before": max(row["most"] for row in outcome.series if 5 < row["at"] < KILLED_AT_S),
        "tries": (attempts[KILLED_AT_S + 20] - attempts[KILLED_AT_S])
        / (attempts[KILLED_AT_S - 1] - attempts[3])
        * (KILLED_AT_S - 4)
        / 20,
        "most": [row["most"] for row in outcome.series],
        "faults": len(outcome.violations),
        "first": outcome.violations[:1],
        "value": outcome.value_share,
        "pay": outcome.value_share_of("pay"),
    }


def draw_chart(rows: list[dict[str, Any]], size: int, folder: Path) -> None:
    """Draws the recovery of all variants for one fleet size."""

    def mean(variant: str, figure: str) -> list[float]:
        series = [row[figure] for row in rows if row["size"] == size and row["variant"] == variant]
        return [statistics.mean(values) for values in zip(*series, strict=False)]

    title = f"s; {size} servers, nine in ten killed at {KILLED_AT_S}, back at {KILLED_AT_S + DOWN_FOR_S}; mean over seeds"
    draw_recovery_chart(
        folder / f"recovery-{size}.svg",
        title,
        {variant: (mean(variant, "rate"), mean(variant, "most")) for variant in VARIANTS},
        DURATION_S - 7,
    )


def main() -> None:
    """Runs all variants in parallel and prints a table."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--chart", type=Path)
    parser.add_argument("--sizes", type=int, nargs="+", default=[3, 30, 300])
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3])
    arguments = parser.parse_args()
    rows: list[dict[str, Any]] = []
    with ProcessPoolExecutor() as pool:
        jobs = [
            pool.submit(measure, size, variant, seed)
            for size in sorted(arguments.sizes, reverse=True)
            for seed in (arguments.seeds if size < 300 else arguments.seeds[:1])
            for variant in VARIANTS
        ]
        rows = [job.result() for job in jobs]
    print(
        "| servers | variant | s to full service | service lost, s | peak below, of the share (before) | tries, of before | value |"
        " charges | rules broken |"
    )
    for size in sorted(arguments.sizes):
        for variant in VARIANTS:
            chosen = [row for row in rows if row["size"] == size and row["variant"] == variant]
            times_to_full_service = [row["full"] for row in chosen]

            def mean(figure: str, rows_of_variant: list[dict[str, Any]] = chosen) -> float:
                return statistics.mean(row[figure] for row in rows_of_variant)

            times = ", ".join(
                "never" if seconds is None else f"{seconds}" for seconds in times_to_full_service
            )
            print(
                f"| {size} | {variant} | {times} | {mean('lost'):.1f} | {max(row['peak'] for row in chosen):.2f}"
                f" ({max(row['peak_before'] for row in chosen):.2f}) | {mean('tries'):.2f} | {mean('value'):.3f} |"
                f" {mean('pay'):.3f} | {sum(row['faults'] for row in chosen)} |"
            )
            for row in chosen:
                if row["first"]:
                    print("    ", row["first"])
    if arguments.chart is not None:
        for size in arguments.sizes:
            draw_chart(rows, size, arguments.chart)


if __name__ == "__main__":
    main()
