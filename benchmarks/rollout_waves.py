"""Do drains and releases keep their budget, whatever fails? Simulated, 3, 30 and 300 servers,
against plain scripts.

    python benchmarks/rollout_waves.py [--sizes 3 30] [--seeds 1 2 3] [--judge] [--walk]

A release begins; while it goes on, a tenth of the servers is killed for some seconds, a second
operator drains a tenth for work on their machines, and one step in fifty at the store is lost. Then
a release that voids a share of what it runs. Processes take 0.5 to 8 s to be there again.

clock:   a script that restarts a tenth at a time, every 6 s.
waiting: one that waits until each of a batch is up, for 20 s at the most. Both operators use the same script.
agreed:  burlloom.rollout, with the budget a tenth.
--judge: how often a wave is taken for bad by chance, and a bad one found, by share of failures and txns.
--walk:  the exhaustive walk of larger worlds than in the tests.
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
BEGIN, KILLED, DOWN_FOR, SECOND_OPERATOR, RESTART_S = 10.0, 22.0, 12.0, 24.0, (0.5, 8.0)
BAD = 0.3
FRESH = 3.5  # s: a sign of life counts for 3, and a round


def world(size: int, seed: int, seconds: int, kills: bool) -> Scenario:
    faults = (
        [{"kind": "kill", "at_s": KILLED, "for_s": DOWN_FOR, "part": 0.1 if size > 3 else 0.34}]
        if kills
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


def part() -> RolloutPart:
    # Store and process are the emulator's: spans are of seconds, as processes are quick here.
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


class Seen:
    """Looked at each 50 ms: `most` out at once by anyone's doing; `over`: drains begun while as
    many as allowed, or more, were out; `unseen`: of these, those within a sign of life's time of a
    kill.
    """

    def __init__(self, releases: SimulatedReleases, bound: int) -> None:
        self.releases, self.bound = releases, bound
        self.most = self.over = self.unseen = self.drains = 0
        self.draining: set[tuple[str, int]] = set()
        self.done_at = self.bad_done_at = self.halted_at = -1.0
        releases.emulator.loop.call_later(0.05, self.look)

    def look(self) -> None:
        releases = self.releases
        new = {
            (node.name, node.incarnation)
            for node in releases.emulator.nodes
            if node.is_up and node.server is not None and node.server.is_shutting_down
        } - self.draining
        self.draining |= new
        self.drains += len(new)
        self.most = max(self.most, releases.out_count)
        over = max(0, min(len(new), releases.out_count - self.bound))
        self.over += over
        # Whoever was killed a moment ago counts from when its silence is seen.
        self.unseen += over if KILLED <= releases.emulator.loop.now_s <= KILLED + FRESH else 0
        now = releases.emulator.loop.now_s
        if self.done_at < 0 and all(
            node.is_up and node.version == "v2" for node in releases.emulator.nodes
        ):
            self.done_at = now - BEGIN
        if (
            isinstance(releases, CoordinatedReleases)
            and self.halted_at < 0
            and releases.store.snapshot.state.release.phase is ReleasePhase.HALTED
        ):
            self.halted_at = now - BEGIN
        if (
            self.halted_at >= 0
            and self.bad_done_at < 0
            and all(node.is_up and node.version == "v1" for node in releases.emulator.nodes)
        ):
            self.bad_done_at = now - BEGIN - self.halted_at
        releases.emulator.loop.call_later(0.05, self.look)


def one(size: int, variant: str, seed: int, bad: bool) -> dict[str, Any]:
    bound = max(1, size // 10)
    made: list[Seen] = []
    voids = {"v2": BAD} if bad else {}

    def releases(emulator: Emulator) -> SimulatedReleases:
        loop, nodes = emulator.loop, emulator.nodes
        second = nodes[-bound:]
        if variant == "agreed":
            agreed = CoordinatedReleases(emulator, "v1", voids, RESTART_S, part(), 0.02)
            loop.call_later(
                BEGIN,
                agreed.apply_order,
                lambda state: state.start_release("v2", (1, 0.1, 0.5, 1.0), False),
            )
            if not bad:
                for node in second:
                    loop.call_later(
                        SECOND_OPERATOR,
                        agreed.apply_order,
                        lambda state, name=node.name: state.request_drain(SERVERS_GROUP, name, 0),
                    )
            for at in range(
                int(BEGIN), 200, 2
            ):  # who is on call says so within two seconds of the halt
                loop.call_later(
                    at,
                    agreed.apply_order,
                    lambda state: (
                        state.apply_order(ReleaseInput.ROLLBACK, "")
                        if state.release.phase is ReleasePhase.HALTED
                        else state
                    ),
                )
            made.append(Seen(agreed, bound))
            return agreed
        scripted = ScriptedReleases(emulator, "v1", voids, RESTART_S)
        pause = 6.0 if variant == "clock" else 0.0
        loop.call_later(BEGIN, scripted.begin_script, nodes, "v2", bound, 20.0, pause)
        if not bad:
            loop.call_later(
                SECOND_OPERATOR, lambda: scripted.begin_script(second, "", bound, 20.0, pause)
            )
        made.append(Seen(scripted, bound))
        return scripted

    seconds = 150 if size < 30 else 110 if bad else 240
    outcome = run_scenario(
        world(size, seed, seconds, not bad), observer=Observer(), make_releases=releases
    )
    seen = made[0]
    return {
        "size": size,
        "variant": variant,
        "bad": bad,
        "most": seen.most,
        "over": seen.over,
        "unseen": seen.unseen,
        "drains": seen.drains,
        "bound": bound,
        "done": seen.done_at,
        "halted": seen.halted_at,
        "back": seen.bad_done_at,
        "ever": len(seen.releases.nodes_with_bad_version),
        "value": outcome.value_share,
        "pay": outcome.value_share_of("pay"),
        "faults": len(outcome.violations),
        "first": outcome.violations[:1],
        "took": outcome.elapsed_s,
    }


def told(seconds: list[float]) -> str:
    return ", ".join("-" if one < 0 else f"{one:.0f}" for one in seconds)


def judged(
    share: float, spread: float, changed: int, others: int, plays: int = 400
) -> tuple[float, float]:
    """Share of waves found bad by ours, and by a plain bound at twice the others' share plus one
    point. Judged each half second over a minute; `spread`: by which servers differ by themselves.
    """
    chance, found, plain = Random(hash((share, spread, changed))), 0, 0
    measure = CanarySettings(window_ns=30_000_000_000, min_requests=100)
    usual = 0.02
    for _ in range(plays):
        mine = max(0.0, usual + share + chance.gauss(0, spread))
        evidence = CanaryWindow(measure.window_ns, measure.min_requests, measure.window_ns)
        totals = {"a": RequestCounts(), "b": RequestCounts()}
        bad = over = False
        for at in range(120):
            for name, rate, asked in (("a", mine, changed), ("b", usual, others)):
                failed = (
                    sum(chance.random() < rate for _ in range(asked))
                    if asked < 60
                    else max(
                        0,
                        min(
                            asked,
                            round(chance.gauss(asked * rate, (asked * rate * (1 - rate)) ** 0.5)),
                        ),
                    )
                )
                totals[name] = totals[name].add(RequestCounts(asked - failed, 0, 0, failed))
            evidence.add(
                at * 500_000_000,
                {"a": ServerSample(1, totals["a"], True), "b": ServerSample(1, totals["b"], False)},
            )
            one, other = evidence.changed.counts, evidence.unchanged.counts
            bad = bad or evaluate_canary(measure, evidence, None).verdict is Verdict.UNHEALTHY
            over = (
                over
                or one.total >= measure.min_requests
                and one.failed / one.total > 2 * other.failed / max(1, other.total) + 0.01
            )
        found, plain = found + bad, plain + over
    return found / plays, plain / plays


def walk(servers: int, leads: int, lives: int, most: int) -> str:
    from explore_rollout import Explorer

    began = time.perf_counter()
    worlds, worst = Explorer(servers, 1, lives, leads).explore(most)
    took = time.perf_counter() - began
    return f"{servers} servers, {leads} that lead, {lives} lives: {worlds} worlds, {worst} out at most; {took:.0f} s"


def main() -> None:
    asked = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    asked.add_argument("--sizes", type=int, nargs="*", default=[3, 30, 300])
    asked.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3])
    asked.add_argument("--workers", type=int, default=4)
    asked.add_argument("--judge", action="store_true")
    asked.add_argument("--walk", action="store_true")
    told_us = asked.parse_args()
    with ProcessPoolExecutor(told_us.workers) as pool:
        walks = [
            pool.submit(walk, *world)
            for world in ((2, 2, 2, 400_000), (3, 1, 2, 400_000), (2, 1, 3, 400_000))
            if told_us.walk
        ]
        jobs = {
            (size, bad, variant): [
                pool.submit(one, size, variant, seed, bad)
                for seed in (told_us.seeds if size < 300 else told_us.seeds[:1])
            ]
            for size in told_us.sizes
            for bad in (False, True)
            for variant in VARIANTS
        }
        judging = {
            key: pool.submit(judged, *key)
            for key in [
                (share, spread, changed, 10 * changed)
                for share in (0.0, 0.02, 0.05, 0.1, 0.3)
                for spread in (0.0, 0.01)
                for changed in (5, 50)
            ]
            if told_us.judge
        }
        for (size, bad, variant), found in jobs.items():
            rows = [job.result() for job in found]
            mean = {name: statistics.mean(row[name] for row in rows) for name in ("value", "pay")}
            print(
                f"| {size} | {'bad' if bad else 'good'} | {variant} | {max(row['most'] for row in rows)}"
                f" of {rows[0]['bound']} |"
                f" {sum(row['over'] for row in rows)} ({sum(row['unseen'] for row in rows)}) of"
                f" {sum(row['drains'] for row in rows)} |"
                f" {told([row['done'] for row in rows])} | {told([row['halted'] for row in rows])} |"
                f" {', '.join(str(row['ever']) for row in rows)} | {told([row['back'] for row in rows])} |"
                f" {mean['value']:.3f} | {mean['pay']:.3f} | {sum(row['faults'] for row in rows)} |",
                flush=True,
            )
            for row in rows:
                if row["first"]:
                    print("    ", row["first"])
        for (share, spread, changed, _), job in judging.items():
            ours, plain = job.result()
            print(
                f"| {share:.0%} | {spread:.0%} | {2 * changed} | {ours:.3f} | {plain:.3f} |",
                flush=True,
            )
        for walked in walks:
            print(walked.result(), flush=True)


if __name__ == "__main__":
    main()
