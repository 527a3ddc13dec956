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

from dataclasses import fields, replace
from pathlib import Path
from typing import Any

import pytest

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

MS = 1_000_000
SHOWN = {
    "start_run",
    "reject",
    "fail",
    "start_call",
    "skip_call",
    "remember",
    "forget",
    "reuse_result",
}
REQUEST_CLASS = RequestClass(2000 * MS, 0.0, 6000 * MS, Idempotency.IDEMPOTENT, 0, 0.0, 0.0, 1.0)
SETTINGS = ServerSettings(
    2,
    1000.0,
    4.0,
    1.0,
    5.0,
    False,
    0.2,
    10_000 * MS,
    0.0,
    5000 * MS,
    200 * MS,
    1000 * MS,
    1000 * MS,
    0,
    9000 * MS,
    LoadReportKind.NONE,
    (REQUEST_CLASS,),
)
ENUMS = {"idempotency": Idempotency, "load_report_kind": LoadReportKind}


class Recorder:
    def __init__(self) -> None:
        self.seen: list[tuple[str, tuple[Any, ...]]] = []

    def __getattr__(self, effect: str) -> Any:
        return lambda *values: self.seen.append((effect, values))


def changed(start: Any, words: list[str]) -> Any:
    """The settings or class with the values that the words give; an unknown name fails."""
    known = {field.name for field in fields(start)}
    values: dict[str, Any] = {}
    for word in words:
        name, text = word.split("=")
        field = name.removesuffix("_ms") + "_ns" if name.endswith("_ms") else name
        assert field in known, name
        assert not name.endswith("_ns"), name
        if field in ENUMS:
            values[field] = ENUMS[field][text]
        elif field != name:
            values[field] = int(float(text) * MS)
        else:
            values[field] = type(getattr(start, field))(float(text))
    return replace(start, **values)


def send(choice: AdmissionController, names: list[str], now: int, words: list[str]) -> None:
    event, *rest = words
    if rest and "," in rest[0]:
        for name in rest[0].split(","):
            send(choice, names, now, [event, name, *rest[1:]])
        return
    if event == "request":
        told = dict(word.split("=") for word in rest[1:])
        names.append(rest[0])
        first = told.get("repeat_of", "-")
        choice.request_arrived(
            now,
            Request(
                len(names) - 1,
                int(told.get("caller", 0)),
                int(told.get("class", 0)),
                int(told.get("cost_ms", 0)) * MS,
                int(told.get("unread_ms", 0)) * MS,
                int(told.get("deadline_ms", 0)) * MS,
                float(told.get("memory_kb", 10)),
                float(told.get("priority", 0.9)),
                -1 if first == "-" else names.index(first) if first in names else -2,
            ),
        )
    elif event == "timer":
        told = dict(word.split("=") for word in rest)
        gauges = Gauges(cpu_utilization=1.0, connections=0.0)
        choice.timer_fired(
            now, 0, replace(gauges, **{name: float(value) for name, value in told.items()})
        )
    elif event == "drain":
        choice.drain(now, now, int(rest[0]) * MS)
    else:
        ref = names.index(rest[0]) if rest[0] in names else len(names) + 7
        if event in ("run_ended", "call_ended"):
            call = choice.run_ended if event == "run_ended" else choice.call_ended
            call(now, ref, Outcome[rest[1]], int(rest[2]) * MS if len(rest) > 2 else 0)
        else:
            {"call_requested": choice.call_requested, "caller_gone": choice.caller_gone}[event](
                now, ref
            )


SCENARIOS = sorted((Path(__file__).parent / "scenarios").glob("*.txt"))


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_scenario(path: Path) -> None:
    settings, request_classes, choice = SETTINGS, [], None
    names: list[str] = []
    recorder = Recorder()
    for number, line in enumerate(path.read_text().splitlines(), 1):
        line = line.split("#")[0].strip()
        words = line.split()
        if not words:
            continue
        if words[0] == "set":
            settings = changed(settings, words[1:])
            continue
        if words[0] == "class":
            request_classes.append(changed(REQUEST_CLASS, words[1:]))
            continue
        if choice is None:
            settings = replace(
                settings, request_classes=tuple(request_classes) or settings.request_classes
            )
            choice = AdmissionController(settings, 1, recorder, 0)
            choice.start(0)
        told, _, wanted = line.partition("->")
        when, *words = told.split()
        first, _, last = when.partition("..")
        recorder.seen.clear()
        for now in range(int(first), int(last or first) + 1, 100):
            send(choice, names, now * MS, words)
        got = [
            f"start_call {names[values[0]]} by {values[1] // MS}"
            if effect == "start_call" and " by " in wanted
            else f"{effect} {names[values[0]]}"
            if effect in SHOWN
            else f"{effect} {round(values[0], 3) if effect == 'report_load' else values[0]}"
            for effect, values in recorder.seen
            if effect in SHOWN or effect in wanted
        ]
        expected = [part.strip() for part in wanted.split(",") if part.strip() not in ("", "-")]
        assert got == expected, f"{path.name}:{number}: {line}"
