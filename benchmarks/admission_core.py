"""Processor time that the admission controller takes for an event, without a host around it.

A small seeded host plays arrivals, runs, calls and timer rounds against a controller, and records
the events that result. The recorded events are then replayed on new controllers whose effects do
nothing; only the replay is timed. `--checksum` prints a digest of all effects, which is the same
for two texts that decide alike.

    python benchmarks/admission_core.py [--rounds N] [--seconds S] [--checksum]
"""

import argparse
import hashlib
import heapq
import time
from random import Random
from typing import Any

from burlloom.admission.controller import AdmissionController
from burlloom.admission.model import (
    Gauges,
    Idempotency,
    LoadReportKind,
    Outcome,
    Request,
    RequestClass,
    ServerSettings,
)

NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000
ARRIVALS_PER_S = 400
CORES = 8
RUN_MS = 20.0
CALL_MS = 15.0
SEED = 7

Event = tuple[str, tuple[Any, ...]]


def settings(call_quota: float) -> ServerSettings:
    """A server of three request classes that reports a priority floor."""
    classes = tuple(
        RequestClass(
            latency_objective_ns=objective_ms * NS_PER_MS,
            latency_objective_stretch=1.0,
            deadline_ns=4 * objective_ms * NS_PER_MS,
            idempotency=idempotency,
            idempotency_window_ns=10 * NS_PER_S,
            late_value_share=0.0,
            value_share_without_call=without_call,
            value=value,
        )
        for objective_ms, idempotency, without_call, value in (
            (500, Idempotency.IDEMPOTENT, 0.0, 1.0),
            (800, Idempotency.KEYED, 0.0, 4.0),
            (1500, Idempotency.NON_IDEMPOTENT, 0.5, 2.0),
        )
    )
    return ServerSettings(
        cores=CORES,
        memory_kb=500_000.0,
        running_memory_factor=4.0,
        idempotency_key_kb=1.0,
        max_runs_per_core=5.0,
        starts_cold=True,
        cold_speed_share=0.2,
        warm_up_ns=10 * NS_PER_S,
        call_quota=call_quota,
        call_quota_window_ns=5 * NS_PER_S,
        abandoned_call_linger_ns=200 * NS_PER_MS,
        drain_grace_ns=NS_PER_S,
        max_retry_after_ns=NS_PER_S,
        result_cache_ttl_ns=300 * NS_PER_MS,
        idle_timeout_ns=9 * NS_PER_S,
        load_report_kind=LoadReportKind.PRIORITY_FLOOR,
        request_classes=classes,
    )


class NullEffects:
    """A host that does nothing with what is decided."""

    def __getattr__(self, name: str) -> Any:
        def ignore(*values: Any) -> None:
            """Nothing is done."""

        setattr(self, name, ignore)
        return ignore


class RecordingHost:
    """Plays a day on a controller, and keeps the events and a digest of the effects.

    Args:
        server: the settings of the server.
        seed: of arrivals, durations and outcomes.
        length_ns: how long the day is.
    """

    def __init__(self, server: ServerSettings, seed: int, length_ns: int) -> None:
        self.events: list[Event] = []
        self.digest = hashlib.blake2b(digest_size=8)
        self.random = Random(seed)
        self.length_ns = length_ns
        self.now = 0
        self.given = 0
        self.calls_left: dict[int, int] = {}
        self.queue: list[tuple[int, int, Event]] = []
        self.order = 0
        self.controller = AdmissionController(server, seed, self, 0)

    def __getattr__(self, name: str) -> Any:
        return lambda *values: self.note(name, *values)

    def note(self, name: str, *values: Any) -> None:
        """Adds an effect to the digest."""
        self.digest.update(f"{self.now} {name} {values}\n".encode())

    def at(self, when: int, name: str, *values: Any) -> None:
        """Puts an event of the day on its calendar."""
        self.order += 1
        heapq.heappush(self.queue, (when, self.order, (name, values)))

    def start_run(self, ref: int) -> None:
        """Begins a run: it makes as many calls as were drawn, and ends."""
        self.note("start_run", ref)
        self.calls_left[ref] = self.random.choice((0, 1, 1, 2))
        self.go_on(ref)

    def go_on(self, ref: int) -> None:
        """Lets a run work for a while, up to its next call or its end."""
        busy_ns = int(self.random.expovariate(1 / RUN_MS) * NS_PER_MS)
        if self.calls_left[ref] > 0:
            self.calls_left[ref] -= 1
            self.at(self.now + busy_ns, "call_requested", ref)
        else:
            outcome = Outcome.FAILED if self.random.random() < 0.02 else Outcome.OK
            self.at(self.now + busy_ns, "run_ended", ref, outcome, busy_ns)

    def start_call(self, ref: int, stop_at: int) -> None:
        """Makes a call, which takes its time or is given up."""
        self.note("start_call", ref, stop_at)
        took = int(self.random.expovariate(1 / CALL_MS) * NS_PER_MS)
        outcome = Outcome.UNREACHABLE if self.random.random() < 0.02 else Outcome.OK
        if self.now + took > stop_at:
            outcome, took = Outcome.TIMED_OUT, stop_at - self.now
        self.at(self.now + took, "call_ended", ref, outcome, took)

    def skip_call(self, ref: int) -> None:
        """Lets a run go on without its call."""
        self.note("skip_call", ref)
        self.go_on(ref)

    def schedule_timer(self, delay: int, handle: int) -> None:
        """Puts the next timer round on the calendar."""
        cpu = min(1.0, self.random.uniform(0.7, 1.3))
        gauges = Gauges(cpu, self.random.uniform(0, 3) * CORES, 0.5, 40.0)
        self.at(self.now + delay, "timer_fired", handle, gauges)

    def arrive(self) -> None:
        """Reads one request, at times a repeat of an earlier one, and plans the next."""
        ref, self.given = self.given, self.given + 1
        repeats = ref > 50 and self.random.random() < 0.1
        request = Request(
            ref=ref,
            caller=self.random.randrange(40),
            request_class=self.random.choice((0, 0, 1, 2)),
            cost_ns=self.random.choice((0, 20 * NS_PER_MS)),
            unread_ns=int(self.random.expovariate(1 / 2) * NS_PER_MS),
            deadline_at_ns=0,
            memory_kb=self.random.uniform(5, 40),
            priority=self.random.random(),
            original_ref=ref - self.random.randrange(1, 50) if repeats else -1,
        )
        self.hand("request_arrived", request)
        # Load swings between half and twice what the server can do.
        rate = ARRIVALS_PER_S * (0.5 + 1.5 * (self.now // (2 * NS_PER_S) % 2))
        self.at(self.now + int(self.random.expovariate(rate) * NS_PER_S), "arrive")

    def hand(self, name: str, *values: Any) -> None:
        """Gives an event to the controller, and records it."""
        self.events.append((name, (self.now, *values)))
        getattr(self.controller, name)(self.now, *values)

    def play(self) -> None:
        """Plays the whole day."""
        self.hand("start")
        self.at(0, "arrive")
        while self.queue and self.queue[0][0] <= self.length_ns:
            self.now, _, (name, values) = heapq.heappop(self.queue)
            if name == "arrive":
                self.arrive()
                continue
            self.hand(name, *values)
            if name == "call_ended" and values[1] is Outcome.OK:
                self.go_on(values[0])


def replay_us(server: ServerSettings, events: list[Event], seed: int) -> float:
    """Replays events on a new controller.

    Returns:
        The processor time of one event in microseconds, the mean over all.
    """
    controller = AdmissionController(server, seed, NullEffects(), 0)
    steps = [(getattr(controller, name), values) for name, values in events]
    began = time.process_time()
    for step, values in steps:
        step(*values)
    return (time.process_time() - began) * 1e6 / len(events)


def main() -> None:
    """Prints the best and the median round of each of two servers."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=7)
    parser.add_argument("--seconds", type=int, default=60, help="length of the day played")
    parser.add_argument("--checksum", action="store_true")
    options = parser.parse_args()
    for call_quota in (0.0, 0.4):
        server = settings(call_quota)
        host = RecordingHost(server, SEED, options.seconds * NS_PER_S)
        host.play()
        rounds = sorted(replay_us(server, host.events, SEED) for _ in range(options.rounds))
        line = f"call_quota={call_quota} events={len(host.events)}"
        line += f" best_us={rounds[0]:.2f} median_us={rounds[len(rounds) // 2]:.2f}"
        print(line + (f" effects={host.digest.hexdigest()}" if options.checksum else ""))


if __name__ == "__main__":
    main()
