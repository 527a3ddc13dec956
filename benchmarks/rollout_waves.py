"""Measures whether drains and releases keep their disruption budget despite failures.

    python benchmarks/rollout_waves.py [--sizes 3 30] [--seeds 1 2 3] [--judge] [--walk]

Runs 3, 30 and 300 servers in simulated time, and compares the rollout with plain scripts. During a
release a tenth of the servers is killed for some seconds, a second operator drains a tenth for
maintenance, and one access in fifty to the store is lost. Then a release follows that fails a share
of its requests. A process takes 0.5 to 8 s to start again.

clock:   a script that restarts a tenth at a time, every 6 s.
waiting: a script that waits until each batch is up, for at most 20 s. Both operators use the same
         script.
agreed:  burlloom.rollout with a budget of a tenth.
--judge: how often a wave is judged unhealthy by chance, and how often a bad one is detected, by
         share of failures and number of requests.
--walk:  exhaustive exploration of larger models than in the tests.
"""

import argparse
import statistics
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from random import Random
from typing import Any

sys.path.insert(0, str(Path(__file__).parent.parent))
sys.path.insert(0, str(Path(__file__).parent.parent / "tests"))

from burlloom.lab import Scenario, run_scenario
from burlloom.lab.emulator import Emulator, Observer
from burlloom.lab.releases import CoordinatedReleases, ScriptedReleases, SimulatedReleases
from burlloom.operator import RolloutPart
from burlloom.rollout import SERVERS_GROUP, CanarySettings, ReleasePhase, RequestCounts
from burlloom.rollout.canary import CanaryWindow, ServerSample, Verdict, evaluate_canary
from burlloom.rollout.release import ReleaseInput

VARIANTS = ("clock", "waiting", "agreed")
RELEASE_AT_S, KILLED_AT_S, DOWN_FOR_S, SECOND_OPERATOR_AT_S, RESTART_S = (
    10.0,
    22.0,
    12.0,
    24.0,
    (0.5, 8.0),
)
BAD_FAILURE_RATE = 0.3  # share of runs that the bad version fails
SILENCE_DETECTED_S = 3.5  # a report is valid for 3 s; the rest is a round of the leader


def make_scenario(size: int, seed: int, seconds: int, has_kills: bool) -> Scenario:
    """Returns the scenario; `has_kills`: whether a tenth of the servers is killed."""
    faults = (
        [
            {
                "kind": "kill",
                "at_s": KILLED_AT_S,
                "for_s": DOWN_FOR_S,
                "part": 0.1 if size > 3 else 0.34,
            }
        ]
        if has_kills
        else []
    )
    return Scenario.model_validate(
        {
            "name": f"{size}",
            "seconds": seconds,
            "seed": seed,
            "machines": {
                "count": size,
                "cores": 2,
                "memory_mb": 200,
                "warm_s": 4,
                "cold_from": 0.5,
                "grace_ms": 300,
                "stop_ms": 3000,
            },
            "products": [
                {
                    "name": "look",
                    "share": 0.7,
                    "work_ms": 300,
                    "sla_ms": 2400,
                    "expiry_ms": 6000,
                    "value": 1,
                },
                {
                    "name": "pay",
                    "share": 0.3,
                    "work_ms": 300,
                    "sla_ms": 1600,
                    "expiry_ms": 6000,
                    "value": 5,
                    "kind": "referenced",
                    "window_ms": 17940,
                },
            ],
            "tenants": [{"name": "acme", "share": 1}],
            "callers": {"count": 20},
            "below": {"slots": 4 * size},
            "load": {"low": 0.5, "high": 0.5},
            "faults": faults,
        }
    )


def rollout_part() -> RolloutPart:
    """Returns the `rollout` part of the operator's file."""
    # Times are a few seconds, because emulated processes start quickly.
    return RolloutPart(
        out_most=1,
        out_share=0.1,
        fresh_ms=3000,
        lead_ms=3000,
        permit_ms=4000,
        back_ms=20_000,
        settle_ms=4000,
        write_off_ms=0,
        judge_ms=4000,
        judge_least=60,
        quiet_ms=60_000,
        lost_most=1000,
    )


class ReleaseObserver:
    """Observes a release every 50 ms of simulated time.

    Attributes:
        releases: The releases.
        budget: Most servers that may be out of service at once.
        max_out: Most servers that were out of service at once, for any reason.
        excess_drains: Drains that began although the budget was used up.
        undetected: Those of them that began before a kill could be detected.
        drains: Drains that began.
        draining: Names and incarnations of servers whose drain began.
        finished_after_s: Time in s from the start until all servers ran v2; below 0: they have not.
        halted_after_s: Time in s from the start until the release was halted; below 0: it was not.
        rolled_back_after_s: Time in s from the halt until all servers ran v1 again; below 0: they
            have not.
    """

    def __init__(self, releases: SimulatedReleases, budget: int) -> None:
        """Begins to observe releases with a budget of `budget` servers."""
        self.releases, self.budget = releases, budget
        self.max_out = self.excess_drains = self.undetected = self.drains = 0
        self.draining: set[tuple[str, int]] = set()
        self.finished_after_s = self.rolled_back_after_s = self.halted_after_s = -1.0
        releases.emulator.loop.call_later(0.05, self.observe)

    def observe(self) -> None:
        """Updates the counts, and schedules the next observation."""
        releases = self.releases
        begun = {
            (node.name, node.incarnation)
            for node in releases.emulator.nodes
            if node.is_up and node.server is not None and node.server.is_shutting_down
        } - self.draining
        self.draining |= begun
        self.drains += len(begun)
        self.max_out = max(self.max_out, releases.out_count)
        excess = max(0, min(len(begun), releases.out_count - self.budget))
        self.excess_drains += excess
        # A killed server counts against the budget only once its silence is detected.
        self.undetected += (
            excess
            if KILLED_AT_S <= releases.emulator.loop.now_s <= KILLED_AT_S + SILENCE_DETECTED_S
            else 0
        )
        now_s = releases.emulator.loop.now_s
        if self.finished_after_s < 0 and all(
            node.is_up and node.version == "v2" for node in releases.emulator.nodes
        ):
            self.finished_after_s = now_s - RELEASE_AT_S
        if (
            isinstance(releases, CoordinatedReleases)
            and self.halted_after_s < 0
            and releases.store.snapshot.state.release.phase is ReleasePhase.HALTED
        ):
            self.halted_after_s = now_s - RELEASE_AT_S
        if (
            self.halted_after_s >= 0
            and self.rolled_back_after_s < 0
            and all(node.is_up and node.version == "v1" for node in releases.emulator.nodes)
        ):
            self.rolled_back_after_s = now_s - RELEASE_AT_S - self.halted_after_s
        releases.emulator.loop.call_later(0.05, self.observe)


def measure(size: int, variant: str, seed: int, bad: bool) -> dict[str, Any]:
    """Runs a variant once and returns its figures; `bad`: the release fails a share of its runs."""
    budget = max(1, size // 10)
    observers: list[ReleaseObserver] = []
    failure_rates = {"v2": BAD_FAILURE_RATE} if bad else {}

    def make_releases(emulator: Emulator) -> SimulatedReleases:
        loop, nodes = emulator.loop, emulator.nodes
        drained_nodes = nodes[-budget:]
        if variant == "agreed":
            coordinated = CoordinatedReleases(
                emulator, "v1", failure_rates, RESTART_S, rollout_part(), 0.02
            )
            loop.call_later(
                RELEASE_AT_S,
                coordinated.apply_order,
                lambda state: state.start_release("v2", (1, 0.1, 0.5, 1.0), False),
            )
            if not bad:
                for node in drained_nodes:
                    loop.call_later(
                        SECOND_OPERATOR_AT_S,
                        coordinated.apply_order,
                        lambda state, name=node.name: state.request_drain(SERVERS_GROUP, name, 0),
                    )
            for time_s in range(
                int(RELEASE_AT_S), 200, 2
            ):  # an operator orders the rollback within two seconds of the halt
                loop.call_later(
                    time_s,
                    coordinated.apply_order,
                    lambda state: (
                        state.apply_order(ReleaseInput.ROLLBACK, "")
                        if state.release.phase is ReleasePhase.HALTED
                        else state
                    ),
                )
            observers.append(ReleaseObserver(coordinated, budget))
            return coordinated
        scripted = ScriptedReleases(emulator, "v1", failure_rates, RESTART_S)
        pause_s = 6.0 if variant == "clock" else 0.0
        loop.call_later(RELEASE_AT_S, scripted.begin_script, nodes, "v2", budget, 20.0, pause_s)
        if not bad:
            loop.call_later(
                SECOND_OPERATOR_AT_S,
                lambda: scripted.begin_script(drained_nodes, "", budget, 20.0, pause_s),
            )
        observers.append(ReleaseObserver(scripted, budget))
        return scripted

    seconds = 150 if size < 30 else 110 if bad else 240
    outcome = run_scenario(
        make_scenario(size, seed, seconds, not bad),
        observer=Observer(),
        make_releases=make_releases,
    )
    observer = observers[0]
    return {
        "size": size,
        "variant": variant,
        "bad": bad,
        "most": observer.max_out,
        "over": observer.excess_drains,
        "unseen": observer.undetected,
        "drains": observer.drains,
        "bound": budget,
        "done": observer.finished_after_s,
        "halted": observer.halted_after_s,
        "back": observer.rolled_back_after_s,
        "ever": len(observer.releases.nodes_with_bad_version),
        "value": outcome.value_share,
        "pay": outcome.value_share_of("pay"),
        "faults": len(outcome.violations),
        "first": outcome.violations[:1],
        "took": outcome.elapsed_s,
    }


def format_times(times_s: list[float]) -> str:
    """Returns times in s for the table; "-" for what did not happen."""
    return ", ".join("-" if time_s < 0 else f"{time_s:.0f}" for time_s in times_s)


def judge_waves(
    extra_rate: float, spread: float, changed: int, unchanged: int, waves: int = 400
) -> tuple[float, float]:
    """Returns the share of waves judged unhealthy by the canary evaluation and by a plain bound.

    The plain bound is twice the other servers' failure rate plus one percentage point. Each wave is
    judged every half second for a minute.

    Args:
        extra_rate: Failure rate that the new version adds to the usual one.
        spread: Standard deviation of the changed servers' failure rate that has other causes.
        changed: Requests of the changed servers in half a second.
        unchanged: Requests of the other servers in half a second.
        waves: Number of simulated waves.
    """
    random, unhealthy_count, bound_count = Random(hash((extra_rate, spread, changed))), 0, 0
    settings = CanarySettings(window_ns=30_000_000_000, min_requests=100)
    usual_rate = 0.02
    for _ in range(waves):
        changed_rate = max(0.0, usual_rate + extra_rate + random.gauss(0, spread))
        window = CanaryWindow(settings.window_ns, settings.min_requests, settings.window_ns)
        totals = {"a": RequestCounts(), "b": RequestCounts()}
        is_unhealthy = exceeds_bound = False
        for index in range(120):
            for name, rate, requests in (
                ("a", changed_rate, changed),
                ("b", usual_rate, unchanged),
            ):
                failed = (
                    sum(random.random() < rate for _ in range(requests))
                    if requests < 60
                    else max(
                        0,
                        min(
                            requests,
                            round(
                                random.gauss(requests * rate, (requests * rate * (1 - rate)) ** 0.5)
                            ),
                        ),
                    )
                )
                totals[name] = totals[name].add(RequestCounts(requests - failed, 0, 0, failed))
            window.add(
                index * 500_000_000,
                {"a": ServerSample(1, totals["a"], True), "b": ServerSample(1, totals["b"], False)},
            )
            changed_counts, unchanged_counts = window.changed.counts, window.unchanged.counts
            is_unhealthy = (
                is_unhealthy or evaluate_canary(settings, window, None).verdict is Verdict.UNHEALTHY
            )
            exceeds_bound = (
                exceeds_bound
                or changed_counts.total >= settings.min_requests
                and changed_counts.failed / changed_counts.total
                > 2 * unchanged_counts.failed / max(1, unchanged_counts.total) + 0.01
            )
        unhealthy_count, bound_count = unhealthy_count + is_unhealthy, bound_count + exceeds_bound
    return unhealthy_count / waves, bound_count / waves


def explore(servers: int, leaders: int, incarnations: int, max_states: int) -> str:
    """Explores all states of a model, up to `max_states`; returns a line with the result."""
    from explore_rollout import Explorer

    started = time.perf_counter()
    states, max_out = Explorer(servers, 1, incarnations, leaders).explore(max_states)
    seconds = time.perf_counter() - started
    return f"{servers} servers, {leaders} that lead, {incarnations} lives: {states} worlds, {max_out} out at most; {seconds:.0f} s"


def main() -> None:
    """Runs what the flags select in parallel and prints the rows."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--sizes", type=int, nargs="*", default=[3, 30, 300])
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3])
    parser.add_argument("--workers", type=int, default=4)
    parser.add_argument("--judge", action="store_true")
    parser.add_argument("--walk", action="store_true")
    arguments = parser.parse_args()
    with ProcessPoolExecutor(arguments.workers) as pool:
        explorations = [
            pool.submit(explore, *bounds)
            for bounds in ((2, 2, 2, 400_000), (3, 1, 2, 400_000), (2, 1, 3, 400_000))
            if arguments.walk
        ]
        jobs = {
            (size, bad, variant): [
                pool.submit(measure, size, variant, seed, bad)
                for seed in (arguments.seeds if size < 300 else arguments.seeds[:1])
            ]
            for size in arguments.sizes
            for bad in (False, True)
            for variant in VARIANTS
        }
        judgements = {
            key: pool.submit(judge_waves, *key)
            for key in [
                (extra_rate, spread, changed, 10 * changed)
                for extra_rate in (0.0, 0.02, 0.05, 0.1, 0.3)
                for spread in (0.0, 0.01)
                for changed in (5, 50)
            ]
            if arguments.judge
        }
        for (size, bad, variant), runs in jobs.items():
            rows = [job.result() for job in runs]
            means = {name: statistics.mean(row[name] for row in rows) for name in ("value", "pay")}
            print(
                f"| {size} | {'bad' if bad else 'good'} | {variant} | {max(row['most'] for row in rows)}"
                f" of {rows[0]['bound']} |"
                f" {sum(row['over'] for row in rows)} ({sum(row['unseen'] for row in rows)}) of"
                f" {sum(row['drains'] for row in rows)} |"
                f" {format_times([row['done'] for row in rows])} | {format_times([row['halted'] for row in rows])} |"
                f" {', '.join(str(row['ever']) for row in rows)} | {format_times([row['back'] for row in rows])} |"
                f" {means['value']:.3f} | {means['pay']:.3f} | {sum(row['faults'] for row in rows)} |",
                flush=True,
            )
            for row in rows:
                if row["first"]:
                    print("    ", row["first"])
        for (extra_rate, spread, changed, _), job in judgements.items():
            unhealthy_share, bound_share = job.result()
            print(
                f"| {extra_rate:.0%} | {spread:.0%} | {2 * changed} | {unhealthy_share:.3f} | {bound_share:.3f} |",
                flush=True,
            )
        for exploration in explorations:
            print(exploration.result(), flush=True)


if __name__ == "__main__":
    main()
