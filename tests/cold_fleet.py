"""Many servers' decisions side by side against one dependency that they share, in simulated time
and with nothing between them: what they have in hand there together, from their first moment on.

As a program, `python tests/cold_fleet.py`, it plays the large form and prints the table of
docs/results.md.
"""

import heapq
import sys
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

sys.path.insert(0, str(Path(__file__).parent.parent))

from burlloom.admission.controller import AdmissionController  # noqa: E402
from burlloom.admission.model import (
    Gauges,
    Idempotency,
    LoadReportKind,
    Outcome,
    Request,
    RequestClass,
    ServerSettings,
)  # noqa: E402

MS = 1_000_000
SECOND = 1000 * MS
SPAN, LINGER, ROUND = 5 * SECOND, 200 * MS, 100 * MS


def facts(share: float) -> ServerSettings:
    product = RequestClass(60 * SECOND, 0.0, 120 * SECOND, Idempotency.IDEMPOTENT, 0, 0.0, 0.0, 1.0)
    return ServerSettings(
        4,
        1e9,
        4.0,
        1.0,
        5.0,
        True,
        0.2,
        10 * SECOND,
        share,
        SPAN,
        LINGER,
        SECOND,
        0,
        0,
        9 * SECOND,
        LoadReportKind.NONE,
        (product,),
    )


class Server:
    """One life after another; `wanting` requests at a time stand at their call or wait for their
    run.
    """

    def __init__(self, world: "World", seed: int) -> None:
        self.world, self.chance = world, Random(seed)
        self.life = 0
        self.choice: AdmissionController | None = None

    def begin_life(self) -> None:
        self.life += 1
        self.given = 0
        self.asleep = False
        self.choice = AdmissionController(
            facts(self.world.share), self.chance.getrandbits(64), self, self.world.now
        )
        self.choice.start(self.world.now)
        for _ in range(4):
            self.ask()

    def kill(self) -> None:
        """Its calls are given up; they linger below for as long as the settings say."""
        assert self.choice is not None
        for ref, case in self.choice.live_requests.items():
            if (self, self.life, ref) in self.world.calls:
                self.world.abandon(self, self.life, ref)
        self.choice, self.life = None, self.life + 1

    def ask(self) -> None:
        ref, self.given = self.given, self.given + 1
        assert self.choice is not None
        self.choice.request_arrived(self.world.now, Request(ref, 0, 0, 0, 0, 0, 10.0, 0.9, -1))

    # What the decisions do.

    def __getattr__(self, effect: str) -> Any:
        return lambda *values: None

    def start_call(self, ref: int, stop_at: int) -> None:
        self.world.begin_call(self, ref, stop_at)

    def schedule_timer(self, delay: int, handle: int) -> None:
        self.world.at(self.world.now + delay, "round", self, self.life)


@dataclass
class World:
    processes: int
    total: float  # calls that the dependency survives, as a mean in hand over SPAN
    call: int  # how long one takes
    seed: int = 1
    now: int = 1_000_000 * SECOND
    events: list[tuple[int, int, tuple[Any, ...]]] = field(default_factory=list)
    calls: dict[tuple[Any, ...], int] = field(default_factory=dict)
    order: int = 0
    made: int = 0

    def __post_init__(self) -> None:
        self.share, self.chance = self.total / self.processes, Random(self.seed)
        self.servers = [Server(self, self.seed * 1000 + at) for at in range(self.processes)]
        self.begun, self.in_hand = self.now, 0
        self.steps: list[tuple[int, int]] = [
            (self.now, 0)
        ]  # when, and how many are in hand from then on

    def at(self, when: int, *what: Any) -> None:
        self.order += 1
        heapq.heappush(self.events, (when, self.order, what))

    def change(self, by: int) -> None:
        self.in_hand += by
        self.steps.append((self.now, self.in_hand))

    def begin_call(self, server: Server, ref: int, stop_at: int) -> None:
        self.made += 1
        self.calls[server, server.life, ref] = stop_at
        self.change(1)
        took = int(self.call * self.chance.uniform(0.7, 1.3))
        if self.now + took <= stop_at:
            self.at(self.now + took, "called", server, server.life, ref, Outcome.OK, took)
        else:
            self.at(
                stop_at, "called", server, server.life, ref, Outcome.TIMED_OUT, stop_at - self.now
            )

    def abandon(self, server: Server, life: int, ref: int) -> None:
        del self.calls[server, life, ref]
        self.at(self.now + LINGER, "lingered")

    def play(self, until: int) -> Iterator[None]:
        while self.events and self.events[0][0] <= self.begun + until:
            self.now, _, (what, *rest) = heapq.heappop(self.events)
            getattr(self, what)(*rest)
            yield

    def lingered(self) -> None:
        self.change(-1)

    def round(self, server: Server, life: int) -> None:
        if server.choice is not None and server.life == life:
            if server.asleep:
                self.at(self.now + ROUND, "round", server, life)
                return
            server.choice.timer_fired(self.now, 0, Gauges(cpu_utilization=0.2, runnable=0.5))
            for ref in [
                ref
                for ref, case in server.choice.live_requests.items()
                if case.state.name == "RUNNING"
            ]:
                server.choice.call_requested(self.now, ref)
            while len(server.choice.live_requests) < 4:
                server.ask()

    def called(self, server: Server, life: int, ref: int, outcome: Outcome, took: int) -> None:
        if (server, life, ref) not in self.calls:
            return
        if server.asleep:
            self.at(self.now + ROUND, "called", server, life, ref, outcome, took)
            return
        if outcome is Outcome.OK:
            del self.calls[server, life, ref]
            self.change(-1)
        else:
            self.abandon(server, life, ref)
        assert server.choice is not None
        server.choice.call_ended(self.now, ref, outcome, took)
        if outcome is Outcome.OK:
            server.choice.run_ended(self.now, ref, Outcome.OK, took)
            server.ask()
            for other in [
                ref
                for ref, case in server.choice.live_requests.items()
                if case.state.name == "RUNNING"
            ]:
                server.choice.call_requested(self.now, other)

    def starts(self, server: Server) -> None:
        server.begin_life()

    def dies(self, server: Server, again: int) -> None:
        server.kill()
        self.at(self.now + again, "starts", server)

    def sleeps(self, server: Server, span: int) -> None:
        server.asleep = True
        self.at(self.now + span, "wakes", server)

    def wakes(self, server: Server) -> None:
        server.asleep = False

    def worst(self) -> tuple[float, int]:
        """The largest mean in hand over any SPAN, and the most at any moment."""
        steps = [*self.steps, (self.now, self.in_hand)]
        return worst_mean(steps, SPAN), max(count for _, count in steps)


def worst_mean(steps: Sequence[tuple[float, int]], span: float) -> float:
    """The largest mean over any span; `steps` tell when, and how many are in hand from then on, up
    to the last.
    """
    sums, most, first = [0.0], 0.0, 0
    for (began, count), (ended, _) in zip(steps, steps[1:], strict=False):
        sums.append(sums[-1] + (ended - began) * count)
    for last, (ended, _) in enumerate(steps):
        while steps[first + 1][0] <= ended - span:
            first += 1
        began, count = steps[first]
        most = max(most, (sums[last] - sums[first] - max(0.0, ended - span - began) * count) / span)
    return most


def bound(total: float) -> float:
    """Beyond the budget only so much is chance."""
    return total + 2 * total**0.5 + 2


STORIES = ("together", "waves", "restarts", "pauses")


def story(
    name: str, processes: int, total: float, call: int, seed: int, length: int = 40 * SECOND
) -> World:
    world = World(processes, total, call, seed)
    for at, server in enumerate(world.servers):
        world.at(world.now + (at % 3 * 4 * SECOND if name == "waves" else 0), "starts", server)
        if (
            name == "restarts"
        ):  # in the middle of their way up, most of them together, and once more
            for when in (6, 14, 25):
                if world.chance.random() < 0.8:
                    world.at(
                        world.now + when * SECOND + world.chance.randrange(SECOND),
                        "dies",
                        server,
                        400 * MS + world.chance.randrange(SECOND),
                    )
        elif name == "pauses":
            for when in (8, 25):
                world.at(
                    world.now + when * SECOND,
                    "sleeps",
                    server,
                    world.chance.choice((1, 6, 12)) * SECOND,
                )
    for _ in world.play(length):
        pass
    return world


if __name__ == "__main__":
    print(
        "| story | processes | N | a call takes, ms | worst mean in 5 s | most at once | N + 2 x root of N + 2 | calls made |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for name in STORIES:
        for processes in (20, 30):
            for total in (1, 2, 5, 24, 60):
                for call in (50, 400):
                    plays = [story(name, processes, total, call * MS, seed) for seed in range(1, 6)]
                    means, most = zip(*(play.worst() for play in plays), strict=True)
                    made = [play.made for play in plays]
                    print(
                        f"| {name} | {processes} | {total} | {call} | {max(means):.2f} | {max(most)} | {bound(total):.1f} | "
                        f"{min(made)} to {max(made)} |",
                        flush=True,
                    )
