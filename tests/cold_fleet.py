"""Simulates many admission controllers that share one downstream dependency, in simulated time.

The servers do not communicate with each other. The simulation measures how many calls all of them
have open together, from their start on.

Run as a program, `python tests/cold_fleet.py`, it simulates the large configurations and prints the
table of docs/results.md.
"""

import heapq
import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from pathlib import Path
from random import Random
from typing import Any

sys.path.insert(0, str(Path(__file__).parent.parent))

from admission_settings import REQUEST_CLASS, SETTINGS  # noqa: E402

from burlloom.admission import (  # noqa: E402
    NO_ORIGINAL,
    AdmissionController,
    Gauges,
    Outcome,
    Request,
    ServerSettings,
)
from burlloom.admission.lifecycle import State  # noqa: E402
from burlloom.time_units import NS_PER_MS, NS_PER_SECOND  # noqa: E402

WINDOW_NS = 5 * NS_PER_SECOND
LINGER_NS = 200 * NS_PER_MS
TIMER_INTERVAL_NS = 100 * NS_PER_MS
LIVE_REQUESTS = 4
IDLE_GAUGES = Gauges(cpu_utilization=0.2, runnable=0.5)
SCENARIOS = ("together", "waves", "restarts", "pauses")

OpenCallSteps = Sequence[tuple[float, float]]
"""Pairs of a time (ns) and the number of calls that are open from then on."""


def server_settings(call_quota: float) -> ServerSettings:
    """Returns the settings of one server with this quota of calls."""
    request_class = replace(
        REQUEST_CLASS,
        latency_objective_ns=60 * NS_PER_SECOND,
        deadline_ns=120 * NS_PER_SECOND,
    )
    return replace(
        SETTINGS,
        cores=4,
        memory_kb=1e9,
        starts_cold=True,
        call_quota=call_quota,
        call_quota_window_ns=WINDOW_NS,
        abandoned_call_linger_ns=LINGER_NS,
        max_retry_after_ns=0,
        request_classes=(request_class,),
    )


class Server:
    """Successive incarnations of one server; some requests always wait to run or to call."""

    def __init__(self, simulation: "FleetSimulation", seed: int) -> None:
        self.simulation = simulation
        self.random = Random(seed)
        self.incarnation = 0
        self.is_paused = False
        self.next_ref = 0
        self.controller: AdmissionController | None = None

    def start(self) -> None:
        """Starts a new incarnation, which reads its requests at once."""
        self.incarnation += 1
        self.next_ref = 0
        self.is_paused = False
        seed = self.random.getrandbits(64)
        settings = server_settings(self.simulation.call_quota)
        self.controller = AdmissionController(settings, seed, self, self.simulation.now)
        self.controller.start(self.simulation.now)
        for _ in range(LIVE_REQUESTS):
            self.read_request()

    def kill(self) -> None:
        """Abandons the open calls, which the dependency still processes for the linger time."""
        assert self.controller is not None
        for ref in self.controller.live_requests:
            if (self, self.incarnation, ref) in self.simulation.open_calls:
                self.simulation.abandon_call(self, self.incarnation, ref)
        self.controller = None
        self.incarnation += 1

    def read_request(self) -> None:
        """Reports a new request to the controller."""
        assert self.controller is not None
        request = Request(
            ref=self.next_ref,
            caller=0,
            request_class=0,
            cost_ns=0,
            unread_ns=0,
            deadline_at_ns=0,
            memory_kb=10.0,
            priority=0.9,
            original_ref=NO_ORIGINAL,
        )
        self.next_ref += 1
        self.controller.request_arrived(self.simulation.now, request)

    def request_calls(self) -> None:
        """Requests a call for each running request."""
        assert self.controller is not None
        running = [
            ref
            for ref, tracked in self.controller.live_requests.items()
            if tracked.state == State.RUNNING
        ]
        for ref in running:
            self.controller.call_requested(self.simulation.now, ref)

    # The methods of `admission.Effects`; those not defined here do nothing.

    def __getattr__(self, effect: str) -> Any:
        return lambda *values: None

    def start_call(self, ref: int, stop_at_ns: int) -> None:
        """Makes the call of a request."""
        self.simulation.start_call(self, ref, stop_at_ns)

    def schedule_timer(self, delay_ns: int, handle: int) -> None:
        """Schedules the next timer round of this incarnation."""
        simulation = self.simulation
        simulation.after(delay_ns, simulation.on_timer, self, self.incarnation)


@dataclass
class FleetSimulation:
    """The servers and the dependency that they share."""

    processes: int
    budget: float  # calls that the dependency survives, as a mean number open over WINDOW_NS
    call_ns: int  # duration of a call
    seed: int = 1
    now: int = 1_000_000 * NS_PER_SECOND
    events: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = field(
        default_factory=list
    )
    open_calls: set[tuple[Server, int, int]] = field(default_factory=set)
    events_scheduled: int = 0
    calls_made: int = 0
    open_call_count: int = 0

    def __post_init__(self) -> None:
        self.call_quota = self.budget / self.processes
        self.random = Random(self.seed)
        self.servers = [Server(self, self.seed * 1000 + index) for index in range(self.processes)]
        self.started_at = self.now
        self.open_call_steps: list[tuple[int, int]] = [(self.now, 0)]

    def after(self, delay_ns: int, action: Callable[..., None], *arguments: Any) -> None:
        """Schedules an action after a delay."""
        self.events_scheduled += 1
        event = (self.now + delay_ns, self.events_scheduled, action, arguments)
        heapq.heappush(self.events, event)

    def run(self, until_ns: int) -> None:
        """Runs all events up to `until_ns` after the start of the simulation."""
        while self.events and self.events[0][0] <= self.started_at + until_ns:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)

    def start_call(self, server: Server, ref: int, stop_at_ns: int) -> None:
        """Opens a call, which is answered after its duration or times out at `stop_at_ns`."""
        self.calls_made += 1
        self.open_calls.add((server, server.incarnation, ref))
        self.change_open_calls(1)
        duration_ns = int(self.call_ns * self.random.uniform(0.7, 1.3))
        outcome = Outcome.OK
        if self.now + duration_ns > stop_at_ns:
            outcome = Outcome.TIMED_OUT
            duration_ns = stop_at_ns - self.now
        incarnation = server.incarnation
        self.after(duration_ns, self.on_call_ended, server, incarnation, ref, outcome, duration_ns)

    def change_open_calls(self, change: int) -> None:
        """Changes the number of open calls, and records when."""
        self.open_call_count += change
        self.open_call_steps.append((self.now, self.open_call_count))

    def abandon_call(self, server: Server, incarnation: int, ref: int) -> None:
        """Abandons a call, which stays open at the dependency for the linger time."""
        self.open_calls.remove((server, incarnation, ref))
        self.after(LINGER_NS, self.change_open_calls, -1)

    def on_call_ended(
        self, server: Server, incarnation: int, ref: int, outcome: Outcome, duration_ns: int
    ) -> None:
        """Ends a call; a paused server sees the end only after its pause."""
        if (server, incarnation, ref) not in self.open_calls:
            return
        if server.is_paused:
            self.after(
                TIMER_INTERVAL_NS,
                self.on_call_ended,
                server,
                incarnation,
                ref,
                outcome,
                duration_ns,
            )
            return
        if outcome is Outcome.OK:
            self.open_calls.remove((server, incarnation, ref))
            self.change_open_calls(-1)
        else:
            self.abandon_call(server, incarnation, ref)
        assert server.controller is not None
        server.controller.call_ended(self.now, ref, outcome, duration_ns)
        if outcome is Outcome.OK:
            server.controller.run_ended(self.now, ref, Outcome.OK, duration_ns)
            server.read_request()
            server.request_calls()

    def on_timer(self, server: Server, incarnation: int) -> None:
        """Fires the timer of a server; a paused server's timer fires only after its pause."""
        if server.controller is None or server.incarnation != incarnation:
            return
        if server.is_paused:
            self.after(TIMER_INTERVAL_NS, self.on_timer, server, incarnation)
            return
        server.controller.timer_fired(self.now, 0, IDLE_GAUGES)
        server.request_calls()
        while len(server.controller.live_requests) < LIVE_REQUESTS:
            server.read_request()

    def restart(self, server: Server, pause_ns: int) -> None:
        """Kills a server, and starts it again after a pause."""
        server.kill()
        self.after(pause_ns, server.start)

    def pause(self, server: Server, pause_ns: int) -> None:
        """Pauses the process of a server."""
        server.is_paused = True
        self.after(pause_ns, self.resume, server)

    def resume(self, server: Server) -> None:
        """Ends the pause of a server."""
        server.is_paused = False

    def largest_mean(self) -> float:
        """Returns the largest mean number of open calls over any window."""
        return largest_mean([*self.open_call_steps, (self.now, self.open_call_count)], WINDOW_NS)

    def max_open_calls(self) -> int:
        """Returns the largest number of calls open at once."""
        return max(count for _, count in self.open_call_steps)


def largest_mean(steps: OpenCallSteps, window: float) -> float:
    """Returns the largest mean over any window of the steps, up to the last step."""
    sums, largest, first = [0.0], 0.0, 0
    for (started_at, count), (ended_at, _) in zip(steps, steps[1:], strict=False):
        sums.append(sums[-1] + (ended_at - started_at) * count)
    for last, (ended_at, _) in enumerate(steps):
        while steps[first + 1][0] <= ended_at - window:
            first += 1
        started_at, count = steps[first]
        before_window = max(0.0, ended_at - window - started_at) * count
        largest = max(largest, (sums[last] - sums[first] - before_window) / window)
    return largest


def budget_with_tolerance(budget: float) -> float:
    """Returns the budget plus what chance explains: twice its square root, and two calls."""
    return budget + 2 * budget**0.5 + 2


def run_scenario(
    name: str,
    processes: int,
    budget: float,
    call_ns: int,
    seed: int,
    length_ns: int = 40 * NS_PER_SECOND,
) -> FleetSimulation:
    """Simulates one of `SCENARIOS` for a time."""
    simulation = FleetSimulation(processes, budget, call_ns, seed)
    for index, server in enumerate(simulation.servers):
        simulation.after(index % 3 * 4 * NS_PER_SECOND if name == "waves" else 0, server.start)
        if name == "restarts":
            plan_restarts(simulation, server)
        elif name == "pauses":
            for pause_at_s in (8, 25):
                pause_ns = simulation.random.choice((1, 6, 12)) * NS_PER_SECOND
                simulation.after(pause_at_s * NS_PER_SECOND, simulation.pause, server, pause_ns)
    simulation.run(length_ns)
    return simulation


def plan_restarts(simulation: FleetSimulation, server: Server) -> None:
    """Schedules three restarts during the warm-up, each for most servers at about the same time."""
    random = simulation.random
    for restart_at_s in (6, 14, 25):
        if random.random() < 0.8:
            delay_ns = restart_at_s * NS_PER_SECOND + random.randrange(NS_PER_SECOND)
            pause_ns = 400 * NS_PER_MS + random.randrange(NS_PER_SECOND)
            simulation.after(delay_ns, simulation.restart, server, pause_ns)


def print_row(name: str, processes: int, budget: int, call_ms: int) -> None:
    """Prints the worst values of five simulations as a row of the table."""
    runs = [
        run_scenario(name, processes, budget, call_ms * NS_PER_MS, seed) for seed in range(1, 6)
    ]
    mean = max(run.largest_mean() for run in runs)
    max_open = max(run.max_open_calls() for run in runs)
    calls = [run.calls_made for run in runs]
    print(
        f"| {name} | {processes} | {budget} | {call_ms} | {mean:.2f} | {max_open} "
        f"| {budget_with_tolerance(budget):.1f} | {min(calls)} to {max(calls)} |",
        flush=True,
    )


def main() -> None:
    """Prints the table of docs/results.md."""
    print(
        "| story | processes | N | a call takes, ms | worst mean in 5 s | most at once "
        "| N + 2 x root of N + 2 | calls made |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for name in SCENARIOS:
        for processes in (20, 30):
            for budget in (1, 2, 5, 24, 60):
                for call_ms in (50, 400):
                    print_row(name, processes, budget, call_ms)


if __name__ == "__main__":
    main()
