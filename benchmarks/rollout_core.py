"""Measures the time of a round of the rollout leader, and the size of the rollout state.

    python benchmarks/rollout_core.py [--sizes 30 300]

Simulates servers that use only the rollout code, on a simulated clock; tests use the simulation too.
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
from burlloom.time_units import NS_PER_SECOND

SETTINGS = RolloutSettings(
    canary=CanarySettings(window_ns=2 * NS_PER_SECOND, min_requests=50),
    low_traffic_timeout_ns=60 * NS_PER_SECOND,
    settle_ns=NS_PER_SECOND,
    write_off_ns=0,
)


class RolloutSimulation:
    """Servers that follow the rollout state on a simulated clock, without serving requests.

    Attributes:
        now_ns: Simulated time in ns.
        settings: Settings of the leader.
        state: The rollout state.
        heartbeat: The leader's heartbeat.
        budget: Disruption budget of the servers.
        members: The last report of each server, by name.
        down: Servers that are restarting, with the simulated time in ns at which they are up.
        failure_rates: Share of requests that fail, by version.
        silent: Servers that send no reports.
        leader: The leader.
        most_down: Most servers that were down at once.
    """

    def __init__(
        self,
        size: int,
        budget: DisruptionBudget,
        settings: RolloutSettings = SETTINGS,
        seed: int = 1,
    ) -> None:
        """Creates `size` servers of version v1, all up, and a leader."""
        self.random, self.now_ns, self.settings = Random(seed), 0, settings
        self.state, self.heartbeat, self.budget = RolloutState(), 0, budget
        self.members = {
            f"n{index}": ServerReport(f"n{index}", 1, 0, version="v1", counts=RequestCounts())
            for index in range(size)
        }
        self.down: dict[str, int] = {}
        self.failure_rates: dict[str, float] = {}
        self.silent: set[str] = set()
        self.leader = self.new_leader("a")
        self.most_down = 0

    def new_leader(self, name: str) -> RolloutLeader:
        """Returns a further leader with the same settings and budget."""
        return RolloutLeader(name, self.settings, {SERVERS_GROUP: self.budget})

    def run_second(self) -> None:
        """Runs drain_agent second: four rounds of all servers and the leader."""
        for _ in range(4):
            self.now_ns += NS_PER_SECOND // 4
            for name, member in self.members.items():
                if name in self.silent:
                    continue
                if name in self.down:
                    if self.now_ns >= self.down[name]:
                        del self.down[name]
                        self.members[name] = ServerReport(
                            name,
                            member.incarnation + 1,
                            0,
                            version=self.state.find_next_version(name),
                        )
                    continue
                failed = sum(
                    self.random.random() < self.failure_rates.get(member.version, 0.0)
                    for _ in range(10)
                )
                self.members[name] = replace(
                    member,
                    heartbeat=member.heartbeat + 1,
                    counts=member.counts.add(RequestCounts(10 - failed, 0, 0, failed)),
                )
                drain_agent = agent.DrainAgent(name, member.incarnation)
                if drain_agent.process_state(self.state) == "begin":
                    self.state = drain_agent.begin_drain(self.state) or self.state
                    self.down[name] = self.now_ns + 2 * NS_PER_SECOND
            self.heartbeat += self.leader.is_leader(self.state)
            new_state = self.leader.acquire_leadership(self.now_ns, self.state, self.heartbeat)
            if new_state is not None:
                self.state = new_state
            elif self.leader.is_leader(self.state):
                self.state = self.leader.run_round(
                    self.now_ns, self.state, list(self.members.values())
                )
            self.most_down = max(self.most_down, len(self.down))

    def run_until(self, phase: ReleasePhase, max_seconds: int = 2000) -> int:
        """Runs until the release has this phase; returns the simulated time that took in s."""
        for seconds in range(max_seconds):
            if self.state.release.phase is phase:
                return seconds
            self.run_second()
        raise AssertionError((self.state.release, self.state.history))

    def run_until_all_serve(self) -> "RolloutSimulation":
        """Runs until all servers are known and serve; returns the simulation."""
        while (
            len(self.state.servers) < len(self.members)
            or self.state.groups[SERVERS_GROUP].out_count
        ):
            self.run_second()
        return self


def measure(size: int) -> str:
    """Returns a row of the table for `size` servers."""
    simulation = RolloutSimulation(size, DisruptionBudget(max_out_share=0.1)).run_until_all_serve()
    simulation.state = simulation.state.start_release("v2", (1, 0.1, 0.5, 1.0), False)
    round_times_ms, run_round = [], simulation.leader.run_round

    def run_timed_round(
        now_ns: int, state: RolloutState, members: list[ServerReport]
    ) -> RolloutState:
        started = time.perf_counter()
        try:
            return run_round(now_ns, state, members)
        finally:
            round_times_ms.append(1000 * (time.perf_counter() - started))

    simulation.leader.run_round = run_timed_round  # type: ignore[method-assign,assignment]
    for _ in range(100):
        simulation.run_second()
    started = time.perf_counter()
    text = encode_state(simulation.state)
    written = time.perf_counter()
    decode_state(text)
    read = time.perf_counter()
    return (
        f"| {size} | {sum(round_times_ms) / len(round_times_ms):.1f} | {max(round_times_ms):.0f} | {len(text) / 1000:.0f} |"
        f" {1000 * (written - started):.1f} | {1000 * (read - written):.1f} |"
    )


def main() -> None:
    """Prints the table."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--sizes", type=int, nargs="+", default=[30, 300])
    print("| servers | ms a round | most | KB of the book | ms to write | ms to read |")
    for size in parser.parse_args().sizes:
        print(measure(size))


if __name__ == "__main__":
    main()
