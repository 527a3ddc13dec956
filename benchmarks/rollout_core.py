"""A fleet of the release's core alone, on a clock of its own; and what a round costs whoever leads.

python benchmarks/rollout_core.py [--sizes 30 300]
"""

import argparse
import sys
import time
from dataclasses import replace
from pathlib import Path
from random import Random

sys.path.insert(0, str(Path(__file__).parent.parent))

from burlloom.rollout import (
    SERVERS_GROUP,
    CanarySettings,
    DisruptionBudget,
    ReleasePhase,
    RequestCounts,
    RolloutLeader,
    RolloutSettings,
    RolloutState,
    ServerReport,
    agent,
)
from burlloom.rollout.stores import decode_state, encode_state

S = 1_000_000_000
TERMS = RolloutSettings(
    canary=CanarySettings(window_ns=2 * S, min_requests=50),
    low_traffic_timeout_ns=60 * S,
    settle_ns=S,
    write_off_ns=0,
)


class World:
    """A fleet of the core alone: servers that do as the state lets them, on a clock of its own;
    `share`: of txns that a version voids.
    """

    def __init__(
        self, size: int, budget: DisruptionBudget, terms: RolloutSettings = TERMS, seed: int = 1
    ) -> None:
        self.chance, self.now, self.terms = Random(seed), 0, terms
        self.state, self.heartbeat, self.budget = RolloutState(), 0, budget
        self.members = {
            f"n{at}": ServerReport(f"n{at}", 1, 0, version="v1", counts=RequestCounts())
            for at in range(size)
        }
        self.down: dict[str, int] = {}
        self.failure_rates: dict[str, float] = {}
        self.silent: set[str] = set()
        self.leader = self.new_leader("a")
        self.most_down = 0

    def new_leader(self, name: str) -> RolloutLeader:
        return RolloutLeader(name, self.terms, {SERVERS_GROUP: self.budget})

    def second(self) -> None:
        for _ in range(4):
            self.now += S // 4
            for name, member in self.members.items():
                if name in self.silent:
                    continue
                if name in self.down:
                    if self.now >= self.down[name]:
                        del self.down[name]
                        self.members[name] = ServerReport(
                            name,
                            member.incarnation + 1,
                            0,
                            version=self.state.find_next_version(name),
                        )
                    continue
                bad = sum(
                    self.chance.random() < self.failure_rates.get(member.version, 0.0)
                    for _ in range(10)
                )
                self.members[name] = replace(
                    member,
                    heartbeat=member.heartbeat + 1,
                    counts=member.counts.add(RequestCounts(10 - bad, 0, 0, bad)),
                )
                one = agent.DrainAgent(name, member.incarnation)
                if one.process_state(self.state) == "begin":
                    self.state = one.begin_drain(self.state) or self.state
                    self.down[name] = self.now + 2 * S
            self.heartbeat += self.leader.is_leader(self.state)
            taken = self.leader.acquire_leadership(self.now, self.state, self.heartbeat)
            if taken is not None:
                self.state = taken
            elif self.leader.is_leader(self.state):
                self.state = self.leader.run_round(
                    self.now, self.state, list(self.members.values())
                )
            self.most_down = max(self.most_down, len(self.down))

    def until(self, phase: ReleasePhase, most: int = 2000) -> int:
        """Seconds that it took."""
        for at in range(most):
            if self.state.release.phase is phase:
                return at
            self.second()
        raise AssertionError((self.state.release, self.state.history))

    def settled(self) -> "World":
        while (
            len(self.state.servers) < len(self.members)
            or self.state.groups[SERVERS_GROUP].out_count
        ):
            self.second()
        return self


def cost(size: int) -> str:
    world = World(size, DisruptionBudget(max_out_share=0.1)).settled()
    world.state = world.state.start_release("v2", (1, 0.1, 0.5, 1.0), False)
    spans, of = [], world.leader.run_round

    def timed(now: int, state: RolloutState, members: list[ServerReport]) -> RolloutState:
        began = time.perf_counter()
        try:
            return of(now, state, members)
        finally:
            spans.append(1000 * (time.perf_counter() - began))

    world.leader.run_round = timed  # type: ignore[method-assign,assignment]
    for _ in range(100):
        world.second()
    began = time.perf_counter()
    text = encode_state(world.state)
    written = time.perf_counter()
    decode_state(text)
    read = time.perf_counter()
    return (
        f"| {size} | {sum(spans) / len(spans):.1f} | {max(spans):.0f} | {len(text) / 1000:.0f} |"
        f" {1000 * (written - began):.1f} | {1000 * (read - written):.1f} |"
    )


def main() -> None:
    asked = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    asked.add_argument("--sizes", type=int, nargs="+", default=[30, 300])
    print("| servers | ms a round | most | KB of the book | ms to write | ms to read |")
    for size in asked.parse_args().sizes:
        print(cost(size))


if __name__ == "__main__":
    main()
