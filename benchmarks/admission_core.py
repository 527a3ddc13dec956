"""Measures the processor time that the admission controller takes for each event, without I/O.

A seeded host simulates arrivals, runs, calls and timer rounds against a controller, and records the
resulting events. The recorded events are then replayed on new controllers whose effects do nothing;
only the replay is timed. `--checksum` prints a digest of all effects: two versions of the
controller that make the same decisions print the same digest.

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
from burlloom.time_units import NS_PER_MS, NS_PER_SECOND

ARRIVALS_PER_SECOND = 400
CORES = 8
MEAN_RUN_MS = 20.0
MEAN_CALL_MS = 15.0
SEED = 7

Event = tuple[str, tuple[Any, ...]]


def server_settings(call_quota: float) -> ServerSettings:
    """Returns the settings of a server with three request classes that reports a priority floor."""
    classes = tuple(
        RequestClass(
            latency_objective_ns=objective_ms * NS_PER_MS,
            latency_objective_stretch=1.0,
            deadline_ns=4 * objective_ms * NS_PER_MS,
            idempotency=idempotency,
            idempotency_window_ns=10 * NS_PER_SECOND,
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
        warm_up_ns=10 * NS_PER_SECOND,
        call_quota=call_quota,
        call_quota_window_ns=5 * NS_PER_SECOND,
        abandoned_call_linger_ns=200 * NS_PER_MS,
        drain_grace_ns=NS_PER_SECOND,
        max_retry_after_ns=NS_PER_SECOND,
        result_cache_ttl_ns=300 * NS_PER_MS,
        idle_timeout_ns=9 * NS_PER_SECOND,
        load_report_kind=LoadReportKind.PRIORITY_FLOOR,
        request_classes=classes,
    )


class NullEffects:
    """Effects that do nothing, so that a replay times only the controller."""

    def __getattr__(self, name: str) -> Any:
        def ignore(*values: Any) -> None:
            """Ignores the effect."""

        setattr(self, name, ignore)
        return ignore


class RecordingHost:
    """Simulates load on a controller, and keeps the events and a digest of the effects.

    Args:
        server: The settings of the server.
        seed: The seed of arrivals, durations and outcomes.
        length_ns: The simulated time in ns.
    """

    def __init__(self, server: ServerSettings, seed: int, length_ns: int) -> None:
        self.events: list[Event] = []
        self.digest = hashlib.blake2b(digest_size=8)
        self.random = Random(seed)
        self.length_ns = length_ns
        self.now_ns = 0
        self.next_ref = 0
        self.calls_left: dict[int, int] = {}
        self.scheduled_events: list[tuple[int, int, Event]] = []
        self.event_count = 0
        self.controller = AdmissionController(server, seed, self, 0)

    def __getattr__(self, name: str) -> Any:
        return lambda *values: self.digest_effect(name, *values)

    def digest_effect(self, name: str, *values: Any) -> None:
        """Adds an effect to the digest."""
        self.digest.update(f"{self.now_ns} {name} {values}\n".encode())

    def add_event(self, at_ns: int, name: str, *values: Any) -> None:
        """Schedules an event at a simulated time."""
        self.event_count += 1
        heapq.heappush(self.scheduled_events, (at_ns, self.event_count, (name, values)))

    def start_run(self, ref: int) -> None:
        """Starts a run that makes a random number of calls (0 to 2) and then ends."""
        self.digest_effect("start_run", ref)
        self.calls_left[ref] = self.random.choice((0, 1, 1, 2))
        self.continue_run(ref)

    def continue_run(self, ref: int) -> None:
        """Schedules the next call of a run, or its end, after a random busy time."""
        busy_ns = int(self.random.expovariate(1 / MEAN_RUN_MS) * NS_PER_MS)
        if self.calls_left[ref] > 0:
            self.calls_left[ref] -= 1
            self.add_event(self.now_ns + busy_ns, "call_requested", ref)
        else:
            outcome = Outcome.FAILED if self.random.random() < 0.02 else Outcome.OK
            self.add_event(self.now_ns + busy_ns, "run_ended", ref, outcome, busy_ns)

    def start_call(self, ref: int, stop_at_ns: int) -> None:
        """Starts a call, which ends after a random duration or times out at `stop_at_ns`."""
        self.digest_effect("start_call", ref, stop_at_ns)
        duration_ns = int(self.random.expovariate(1 / MEAN_CALL_MS) * NS_PER_MS)
        outcome = Outcome.UNREACHABLE if self.random.random() < 0.02 else Outcome.OK
        if self.now_ns + duration_ns > stop_at_ns:
            outcome, duration_ns = Outcome.TIMED_OUT, stop_at_ns - self.now_ns
        self.add_event(self.now_ns + duration_ns, "call_ended", ref, outcome, duration_ns)

    def skip_call(self, ref: int) -> None:
        """Continues a run without its call."""
        self.digest_effect("skip_call", ref)
        self.continue_run(ref)

    def schedule_timer(self, delay_ns: int, handle: int) -> None:
        """Schedules the next timer round, with random gauges."""
        cpu = min(1.0, self.random.uniform(0.7, 1.3))
        gauges = Gauges(cpu, self.random.uniform(0, 3) * CORES, 0.5, 40.0)
        self.add_event(self.now_ns + delay_ns, "timer_fired", handle, gauges)

    def deliver_request(self) -> None:
        """Delivers a request, which one time in ten repeats an earlier one, and schedules the next."""
        ref, self.next_ref = self.next_ref, self.next_ref + 1
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
        self.deliver_event("request_arrived", request)
        # Offered load alternates between half and twice the server's capacity.
        rate = ARRIVALS_PER_SECOND * (0.5 + 1.5 * (self.now_ns // (2 * NS_PER_SECOND) % 2))
        self.add_event(self.now_ns + int(self.random.expovariate(rate) * NS_PER_SECOND), "arrive")

    def deliver_event(self, name: str, *values: Any) -> None:
        """Delivers an event to the controller, and records it."""
        self.events.append((name, (self.now_ns, *values)))
        getattr(self.controller, name)(self.now_ns, *values)

    def run(self) -> None:
        """Runs the simulation to its end."""
        self.deliver_event("start")
        self.add_event(0, "arrive")
        while self.scheduled_events and self.scheduled_events[0][0] <= self.length_ns:
            self.now_ns, _, (name, values) = heapq.heappop(self.scheduled_events)
            if name == "arrive":
                self.deliver_request()
                continue
            self.deliver_event(name, *values)
            if name == "call_ended" and values[1] is Outcome.OK:
                self.continue_run(values[0])


def replay_us(server: ServerSettings, events: list[Event], seed: int) -> float:
    """Replays events on a new controller.

    Returns:
        The mean processor time of an event in microseconds.
    """
    controller = AdmissionController(server, seed, NullEffects(), 0)
    handlers = [(getattr(controller, name), values) for name, values in events]
    started_at_s = time.process_time()
    for handle_event, values in handlers:
        handle_event(*values)
    return (time.process_time() - started_at_s) * 1e6 / len(events)


def main() -> None:
    """Prints the best and the median round of two servers, without and with a call quota."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=7)
    parser.add_argument("--seconds", type=int, default=60, help="simulated time in seconds")
    parser.add_argument("--checksum", action="store_true")
    options = parser.parse_args()
    for call_quota in (0.0, 0.4):
        server = server_settings(call_quota)
        host = RecordingHost(server, SEED, options.seconds * NS_PER_SECOND)
        host.run()
        rounds = sorted(replay_us(server, host.events, SEED) for _ in range(options.rounds))
        line = f"call_quota={call_quota} events={len(host.events)}"
        line += f" best_us={rounds[0]:.2f} median_us={rounds[len(rounds) // 2]:.2f}"
        print(line + (f" effects={host.digest.hexdigest()}" if options.checksum else ""))


if __name__ == "__main__":
    main()
