"""Plays each file of tests/scenarios/ against the decisions alone.

A line is either `set NAME=VALUE ...` (settings of the server), `class NAME=VALUE ...` (one more
request class; the first such line takes the place of the default), or a time in milliseconds, an
event and what it must bring:

    TIME request NAME [class=N] [cost_ms=MS] [unread_ms=MS] [deadline_ms=MS] [memory_kb=N]
        [priority=X] [caller=N] [repeat_of=NAME]
    TIME run_ended NAME OUTCOME [MS]
    TIME call_requested NAME
    TIME call_ended NAME OUTCOME [MS]
    TIME caller_gone NAME
    TIME drain STOP
    TIME timer [cpu_utilization=X] [runnable=N] [connections=N]

A NAME may be several, `a,b`. What follows `->` is what the requests meet, in order: `start_run a,
reject b`; `-` is none; `start_call a by TIME` looks at the call's deadline too. A `timer` line
repeated as `FROM..TO timer` plays a round each 100 ms and looks at all their effects. Effects not
on a request (set_health, report_load, set_idle_timeout, schedule_timer, log, release) count only
where the line names that effect. A setting whose field ends in `_ns` is given in ms as `_ms`.
"""

from collections.abc import Sequence
from dataclasses import fields, replace
from enum import Enum
from pathlib import Path
from typing import Any

import pytest

from burlloom.admission import (
    NO_ORIGINAL,
    AdmissionController,
    Gauges,
    Idempotency,
    LoadReportKind,
    Outcome,
    Request,
    RequestClass,
    ServerSettings,
)

NS_PER_MS = 1_000_000
TIMER_INTERVAL_MS = 100
EFFECTS_ON_REQUESTS = {
    "start_run",
    "reject",
    "fail",
    "start_call",
    "skip_call",
    "keep_key",
    "forget_key",
    "reuse_result",
}
REQUEST_CLASS = RequestClass(
    latency_objective_ns=2000 * NS_PER_MS,
    latency_objective_stretch=0.0,
    deadline_ns=6000 * NS_PER_MS,
    idempotency=Idempotency.IDEMPOTENT,
    idempotency_window_ns=0,
    late_value_share=0.0,
    value_share_without_call=0.0,
    value=1.0,
)
SETTINGS = ServerSettings(
    cores=2,
    memory_kb=1000.0,
    running_memory_factor=4.0,
    idempotency_key_kb=1.0,
    max_runs_per_core=5.0,
    starts_cold=False,
    cold_speed_share=0.2,
    warm_up_ns=10_000 * NS_PER_MS,
    call_quota=0.0,
    call_quota_window_ns=5000 * NS_PER_MS,
    abandoned_call_linger_ns=200 * NS_PER_MS,
    drain_grace_ns=1000 * NS_PER_MS,
    max_retry_after_ns=1000 * NS_PER_MS,
    result_cache_ttl_ns=0,
    idle_timeout_ns=9000 * NS_PER_MS,
    load_report_kind=LoadReportKind.NONE,
    request_classes=(REQUEST_CLASS,),
)
ENUM_FIELDS: dict[str, type[Enum]] = {
    "idempotency": Idempotency,
    "load_report_kind": LoadReportKind,
}
NAME_OF_NO_REQUEST = "-"
FORMER_INCARNATION_REF = -2
UNKNOWN_REF_OFFSET = 7


class RecordingEffects:
    """Notes every effect in place of carrying it out."""

    def __init__(self) -> None:
        self.seen: list[tuple[str, tuple[Any, ...]]] = []

    def __getattr__(self, effect: str) -> Any:
        return lambda *values: self.seen.append((effect, values))


def with_values(settings: Any, assignments: Sequence[str]) -> Any:
    """The settings or class with the values assigned; an unknown name fails."""
    known = {field.name for field in fields(settings)}
    values: dict[str, Any] = {}
    for assignment in assignments:
        name, text = assignment.split("=")
        field = name.removesuffix("_ms") + "_ns" if name.endswith("_ms") else name
        assert field in known, name
        assert not name.endswith("_ns"), name
        if field in ENUM_FIELDS:
            values[field] = ENUM_FIELDS[field][text]
        elif field != name:
            values[field] = int(float(text) * NS_PER_MS)
        else:
            values[field] = type(getattr(settings, field))(float(text))
    return replace(settings, **values)


class ScenarioPlayer:
    """Plays the lines of one file."""

    def __init__(self) -> None:
        self.settings = SETTINGS
        self.request_classes: list[RequestClass] = []
        self.controller: AdmissionController | None = None
        self.effects = RecordingEffects()
        self.names: list[str] = []

    def play(self, line: str) -> None:
        """Plays one line and compares its effects."""
        first, *rest = line.split()
        if first == "set":
            self.settings = with_values(self.settings, rest)
        elif first == "class":
            self.request_classes.append(with_values(REQUEST_CLASS, rest))
        else:
            self.play_event(line)

    def play_event(self, line: str) -> None:
        controller = self.controller or self.start()
        event, _, wanted = line.partition("->")
        times, *words = event.split()
        first, _, last = times.partition("..")
        self.effects.seen.clear()
        for now_ms in range(int(first), int(last or first) + 1, TIMER_INTERVAL_MS):
            self.send(controller, now_ms * NS_PER_MS, words)
        expected = [part.strip() for part in wanted.split(",")]
        assert self.effects_named_in(wanted) == [
            effect for effect in expected if effect not in ("", NAME_OF_NO_REQUEST)
        ]

    def start(self) -> AdmissionController:
        classes = tuple(self.request_classes) or self.settings.request_classes
        settings = replace(self.settings, request_classes=classes)
        self.controller = AdmissionController(settings, 1, self.effects, 0)
        self.controller.start(0)
        return self.controller

    def effects_named_in(self, wanted: str) -> list[str]:
        return [
            self.effect_text(effect, values, wanted)
            for effect, values in self.effects.seen
            if effect in EFFECTS_ON_REQUESTS or effect in wanted
        ]

    def effect_text(self, effect: str, values: tuple[Any, ...], wanted: str) -> str:
        if effect == "start_call" and " by " in wanted:
            return f"start_call {self.names[values[0]]} by {values[1] // NS_PER_MS}"
        if effect in EFFECTS_ON_REQUESTS:
            return f"{effect} {self.names[values[0]]}"
        if effect == "report_load":
            return f"report_load {round(values[0], 3)}"
        return f"{effect} {values[0]}"

    def send(self, controller: AdmissionController, now: int, words: list[str]) -> None:
        event, *rest = words
        if rest and "," in rest[0]:
            for name in rest[0].split(","):
                self.send(controller, now, [event, name, *rest[1:]])
        elif event == "request":
            controller.request_arrived(now, self.request(rest[0], rest[1:]))
        elif event == "timer":
            values = {name: float(value) for name, value in (word.split("=") for word in rest)}
            gauges = replace(Gauges(cpu_utilization=1.0, connections=0.0), **values)
            controller.timer_fired(now, 0, gauges)
        elif event == "drain":
            controller.drain(now, now, int(rest[0]) * NS_PER_MS)
        elif event == "run_ended":
            controller.run_ended(now, self.ref(rest[0]), *outcome_and_duration(rest[1:]))
        elif event == "call_ended":
            controller.call_ended(now, self.ref(rest[0]), *outcome_and_duration(rest[1:]))
        elif event == "call_requested":
            controller.call_requested(now, self.ref(rest[0]))
        else:
            assert event == "caller_gone", event
            controller.caller_gone(now, self.ref(rest[0]))

    def ref(self, name: str) -> int:
        """The number of a request; one that was never given for an unknown name."""
        if name in self.names:
            return self.names.index(name)
        return len(self.names) + UNKNOWN_REF_OFFSET

    def request(self, name: str, assignments: list[str]) -> Request:
        values = dict(assignment.split("=") for assignment in assignments)
        self.names.append(name)
        return Request(
            ref=len(self.names) - 1,
            caller=int(values.get("caller", 0)),
            request_class=int(values.get("class", 0)),
            cost_ns=int(values.get("cost_ms", 0)) * NS_PER_MS,
            unread_ns=int(values.get("unread_ms", 0)) * NS_PER_MS,
            deadline_at_ns=int(values.get("deadline_ms", 0)) * NS_PER_MS,
            memory_kb=float(values.get("memory_kb", 10)),
            priority=float(values.get("priority", 0.9)),
            original_ref=self.original_ref(values.get("repeat_of", NAME_OF_NO_REQUEST)),
        )

    def original_ref(self, name: str) -> int:
        if name == NAME_OF_NO_REQUEST:
            return NO_ORIGINAL
        return self.names.index(name) if name in self.names else FORMER_INCARNATION_REF


def outcome_and_duration(words: list[str]) -> tuple[Outcome, int]:
    duration_ms = int(words[1]) if len(words) > 1 else 0
    return Outcome[words[0]], duration_ms * NS_PER_MS


SCENARIOS = sorted((Path(__file__).parent / "scenarios").glob("*.txt"))


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_scenario(path: Path) -> None:
    player = ScenarioPlayer()
    for number, text in enumerate(path.read_text().splitlines(), 1):
        line = text.split("#")[0].strip()
        if line:
            try:
                player.play(line)
            except AssertionError as error:
                raise AssertionError(f"{path.name}:{number}: {line}\n{error}") from error
