"""Replays each file of tests/scenarios/ against the admission controller and checks its effects.

A line is either `set NAME=VALUE ...` (server settings), `class NAME=VALUE ...` (one more request
class; the first such line replaces the default class), or a time in milliseconds, an event and the
expected effects:

    TIME request NAME [class=N] [cost_ms=MS] [unread_ms=MS] [deadline_ms=MS] [memory_kb=N]
        [priority=X] [caller=N] [repeat_of=NAME]
    TIME run_ended NAME OUTCOME [MS]
    TIME call_requested NAME
    TIME call_ended NAME OUTCOME [MS]
    TIME caller_gone NAME
    TIME drain STOP
    TIME timer [cpu_utilization=X] [runnable=N] [connections=N]

NAME may list several requests, `a,b`. The text after `->` lists the expected effects on requests,
in order: `start_run a, reject b`; `-` stands for none; `start_call a by TIME` also checks when the
call is abandoned. `FROM..TO timer` fires a timer round every 100 ms and checks all their effects.
Effects that are not on a request (set_health, report_load, set_idle_timeout, schedule_timer, log,
release) are checked only where the line names them. A setting whose field ends in `_ns` is given
in ms as `_ms`. A `#` starts a comment.
"""

from collections.abc import Sequence
from dataclasses import fields, replace
from enum import Enum
from pathlib import Path
from typing import Any

import pytest
from admission_settings import REQUEST_CLASS, SETTINGS

from burlloom.admission import (
    NO_ORIGINAL,
    AdmissionController,
    Gauges,
    Idempotency,
    LoadReportKind,
    Outcome,
    Request,
    RequestClass,
)
from burlloom.time_units import NS_PER_MS

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
ENUM_FIELDS: dict[str, type[Enum]] = {
    "idempotency": Idempotency,
    "load_report_kind": LoadReportKind,
}
NO_NAME = "-"
FORMER_INCARNATION_REF = -2
UNKNOWN_REF_OFFSET = 7


class RecordingEffects:
    """Records every effect instead of carrying it out."""

    def __init__(self) -> None:
        self.recorded: list[tuple[str, tuple[Any, ...]]] = []

    def __getattr__(self, effect: str) -> Any:
        return lambda *values: self.recorded.append((effect, values))


def with_values(settings: Any, assignments: Sequence[str]) -> Any:
    """Returns a copy of settings or a request class with the values; an unknown name fails."""
    field_names = {field.name for field in fields(settings)}
    values: dict[str, Any] = {}
    for assignment in assignments:
        name, text = assignment.split("=")
        field = name.removesuffix("_ms") + "_ns" if name.endswith("_ms") else name
        assert field in field_names, name
        assert not name.endswith("_ns"), name
        if field in ENUM_FIELDS:
            values[field] = ENUM_FIELDS[field][text]
        elif field != name:
            values[field] = int(float(text) * NS_PER_MS)
        else:
            values[field] = type(getattr(settings, field))(float(text))
    return replace(settings, **values)


class ScenarioRunner:
    """Replays the lines of one file."""

    def __init__(self) -> None:
        self.settings = SETTINGS
        self.request_classes: list[RequestClass] = []
        self.controller: AdmissionController | None = None
        self.effects = RecordingEffects()
        self.names: list[str] = []

    def run_line(self, line: str) -> None:
        """Runs one line and checks its effects."""
        keyword, *assignments = line.split()
        if keyword == "set":
            self.settings = with_values(self.settings, assignments)
        elif keyword == "class":
            self.request_classes.append(with_values(REQUEST_CLASS, assignments))
        else:
            self.run_event(line)

    def run_event(self, line: str) -> None:
        controller = self.controller or self.start()
        event, _, expected_text = line.partition("->")
        times, *words = event.split()
        first_ms, _, last_ms = times.partition("..")
        self.effects.recorded.clear()
        for now_ms in range(int(first_ms), int(last_ms or first_ms) + 1, TIMER_INTERVAL_MS):
            self.send(controller, now_ms * NS_PER_MS, words)
        expected = [effect.strip() for effect in expected_text.split(",")]
        assert self.checked_effects(expected_text) == [
            effect for effect in expected if effect not in ("", NO_NAME)
        ]

    def start(self) -> AdmissionController:
        classes = tuple(self.request_classes) or self.settings.request_classes
        settings = replace(self.settings, request_classes=classes)
        self.controller = AdmissionController(settings, 1, self.effects, 0)
        self.controller.start(0)
        return self.controller

    def checked_effects(self, expected_text: str) -> list[str]:
        return [
            self.effect_text(effect, values, expected_text)
            for effect, values in self.effects.recorded
            if effect in EFFECTS_ON_REQUESTS or effect in expected_text
        ]

    def effect_text(self, effect: str, values: tuple[Any, ...], expected_text: str) -> str:
        if effect == "start_call" and " by " in expected_text:
            return f"start_call {self.names[values[0]]} by {values[1] // NS_PER_MS}"
        if effect in EFFECTS_ON_REQUESTS:
            return f"{effect} {self.names[values[0]]}"
        if effect == "report_load":
            return f"report_load {round(values[0], 3)}"
        return f"{effect} {values[0]}"

    def send(self, controller: AdmissionController, now: int, words: list[str]) -> None:
        event, *arguments = words
        if arguments and "," in arguments[0]:
            for name in arguments[0].split(","):
                self.send(controller, now, [event, name, *arguments[1:]])
        elif event == "request":
            controller.request_arrived(now, self.request(arguments[0], arguments[1:]))
        elif event == "timer":
            values = {
                name: float(value)
                for name, value in (assignment.split("=") for assignment in arguments)
            }
            gauges = replace(Gauges(cpu_utilization=1.0, connections=0.0), **values)
            controller.timer_fired(now, 0, gauges)
        elif event == "drain":
            controller.drain(now, now, int(arguments[0]) * NS_PER_MS)
        elif event == "run_ended":
            controller.run_ended(now, self.ref(arguments[0]), *outcome_and_duration(arguments[1:]))
        elif event == "call_ended":
            controller.call_ended(now, self.ref(arguments[0]), *outcome_and_duration(arguments[1:]))
        elif event == "call_requested":
            controller.call_requested(now, self.ref(arguments[0]))
        else:
            assert event == "caller_gone", event
            controller.caller_gone(now, self.ref(arguments[0]))

    def ref(self, name: str) -> int:
        """Returns the reference of a request; one that was never assigned for an unknown name."""
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
            original_ref=self.original_ref(values.get("repeat_of", NO_NAME)),
        )

    def original_ref(self, name: str) -> int:
        if name == NO_NAME:
            return NO_ORIGINAL
        return self.names.index(name) if name in self.names else FORMER_INCARNATION_REF


def outcome_and_duration(words: list[str]) -> tuple[Outcome, int]:
    duration_ms = int(words[1]) if len(words) > 1 else 0
    return Outcome[words[0]], duration_ms * NS_PER_MS


SCENARIOS = sorted((Path(__file__).parent / "scenarios").glob("*.txt"))


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_scenario(path: Path) -> None:
    runner = ScenarioRunner()
    for number, text in enumerate(path.read_text().splitlines(), 1):
        line = text.split("#")[0].strip()
        if line:
            try:
                runner.run_line(line)
            except AssertionError as error:
                raise AssertionError(f"{path.name}:{number}: {line}\n{error}") from error
