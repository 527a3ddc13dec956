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
)
from burlloom.rollout import agent as hand
from burlloom.rollout.stores import decode_state, encode_state

S = 1_000_000_000
TERMS = RolloutSettings(
    canary=CanarySettings(window_ns=2 * S, min_requests=50),
    low_traffic_timeout_ns=60 * S,
    settle_ns=S,
    write_off_ns=0,
)


class World:
    """A fleet of the core alone: servers that do as the book lets them, on a clock of its own;
    `share`: of txns that a version voids.
    """

    def __init__(
        self, size: int, budget: DisruptionBudget, terms: RolloutSettings = TERMS, seed: int = 1
    ) -> None:
        self.chance, self.now, self.terms = Random(seed), 0, terms
        self.book, self.beat, self.budget = RolloutState(), 0, budget
        self.members = {
            f"n{at}": ServerReport(f"n{at}", 1, 0, version="v1", counts=RequestCounts())
            for at in range(size)
        }
        self.down: dict[str, int] = {}
        self.voids: dict[str, float] = {}
        self.frozen: set[str] = set()
        self.lead = self.new_lead("a")
        self.worst = 0

    def new_lead(self, name: str) -> RolloutLeader:
        return RolloutLeader(name, self.terms, {SERVERS_GROUP: self.budget})

    def second(self) -> None:
        for _ in range(4):
            self.now += S // 4
            for name, member in self.members.items():
                if name in self.frozen:
                    continue
                if name in self.down:
                    if self.now >= self.down[name]:
                        del self.down[name]
                        self.members[name] = ServerReport(
                            name, member.incarnation + 1, 0, version=self.book.next_version_of(name)
                        )
                    continue
                bad = sum(
                    self.chance.random() < self.voids.get(member.version, 0.0) for _ in range(10)
                )
                self.members[name] = replace(
                    member,
                    heartbeat=member.heartbeat + 1,
                    counts=member.counts.add(RequestCounts(10 - bad, 0, 0, bad)),
                )
                one = hand.DrainAgent(name, member.incarnation)
                if one.process_state(self.book) == "begin":
                    self.book = one.begin_drain(self.book) or self.book
                    self.down[name] = self.now + 2 * S
            self.beat += self.lead.is_leader(self.book)
            taken = self.lead.acquire_leadership(self.now, self.book, self.beat)
            if taken is not None:
                self.book = taken
            elif self.lead.is_leader(self.book):
                self.book = self.lead.run_round(self.now, self.book, list(self.members.values()))
            self.worst = max(self.worst, len(self.down))

    def until(self, phase: ReleasePhase, most: int = 2000) -> int:
        """Seconds that it took."""
        for at in range(most):
            if self.book.release.phase is phase:
                return at
            self.second()
        raise AssertionError((self.book.release, self.book.history))

    def settled(self) -> "World":
        while (
            len(self.book.servers) < len(self.members) or self.book.groups[SERVERS_GROUP].out_count
        ):
            self.second()
        return self


def cost(size: int) -> str:
    world = World(size, DisruptionBudget(max_out_share=0.1)).settled()
    world.book = world.book.start_release("v2", (1, 0.1, 0.5, 1.0), False)
    spans, of = [], world.lead.run_round

    def timed(now: int, book: RolloutState, members: list[ServerReport]) -> RolloutState:
        began = time.perf_counter()
        try:
            return of(now, book, members)
        finally:
            spans.append(1000 * (time.perf_counter() - began))

    world.lead.run_round = timed  # type: ignore[method-assign,assignment]
    for _ in range(100):
        world.second()
    began = time.perf_counter()
    text = encode_state(world.book)
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
