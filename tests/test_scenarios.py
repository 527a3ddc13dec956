"""Plays each file of tests/scenarios/ against the decisions alone.

A line is either `set NAME=VALUE ...` (facts of the server), `product NAME=VALUE ...` (one more
product; the first such line takes the place of the default), or a time in milliseconds, an event
and what it must bring:

    TIME read NAME [product=N] [cost=MS] [unread=MS] [expiry=MS] [kb=N] [rank=X] [caller=N] [of=NAME]
    TIME done NAME OUTCOME [MS]   TIME calls NAME   TIME called NAME OUTCOME   TIME left NAME
    TIME leave STOP   TIME wake [core_use=X] [on_cores=N] [links=N]

A NAME may be several, `a,b`. What follows `->` is what the txns meet, in order: `start a, decline
b`; `-` is none; `call a by TIME` looks at how long it is waited for too. A `wake` line repeated as
`FROM..TO wake` plays a round each 100 ms and looks at all their effects. Effects not on a txn
(health, tell, idle, wake, note, release) count only where the line names that effect.
"""

from dataclasses import fields, replace
from pathlib import Path
from typing import Any

import pytest

from burlloom.choice import AdmissionController
from burlloom.interface import (
    LoadReportKind,
    Gauges,
    Outcome,
    RequestClass,
    Idempotency,
    ServerSettings,
    Request,
)

MS = 1_000_000
SHOWN = {"start", "decline", "void", "call", "leave_out", "keep", "forget", "reuse"}
PRODUCT = RequestClass(2000 * MS, 0.0, 6000 * MS, Idempotency.IDEMPOTENT, 0, 0.0, 0.0, 1.0)
FACTS = ServerSettings(
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
    (PRODUCT,),
)
TIMES = {
    "sla",
    "expiry",
    "window",
    "warm_up",
    "calls_span",
    "linger",
    "grace",
    "advice_max",
    "fresh",
    "idle",
}


class Recorder:
    def __init__(self) -> None:
        self.seen: list[tuple[str, tuple[Any, ...]]] = []

    def __getattr__(self, effect: str) -> Any:
        return lambda *values: self.seen.append((effect, values))


def changed(start: Any, words: list[str]) -> Any:
    known = {field.name for field in fields(start)}
    values: dict[str, Any] = {}
    for word in words:
        name, text = word.split("=")
        assert name in known, name
        if name in ("repeatable", "free_value"):
            values[name] = (Idempotency if name == "repeatable" else LoadReportKind)[text]
        else:
            values[name] = (
                int(float(text) * MS) if name in TIMES else type(getattr(start, name))(float(text))
            )
    return replace(start, **values)


def send(choice: AdmissionController, names: list[str], now: int, words: list[str]) -> None:
    event, *rest = words
    if rest and "," in rest[0]:
        for name in rest[0].split(","):
            send(choice, names, now, [event, name, *rest[1:]])
        return
    if event == "read":
        told = dict(word.split("=") for word in rest[1:])
        names.append(rest[0])
        first = told.get("of", "-")
        choice.request_arrived(
            now,
            Request(
                len(names) - 1,
                int(told.get("caller", 0)),
                int(told.get("product", 0)),
                int(told.get("cost", 0)) * MS,
                int(told.get("unread", 0)) * MS,
                int(told.get("expiry", 0)) * MS,
                float(told.get("kb", 10)),
                float(told.get("rank", 0.9)),
                -1 if first == "-" else names.index(first) if first in names else -2,
            ),
        )
    elif event == "wake":
        told = dict(word.split("=") for word in rest)
        gauges = Gauges(cpu_utilization=1.0, connections=0.0)
        choice.timer_fired(
            now, 0, replace(gauges, **{name: float(value) for name, value in told.items()})
        )
    elif event == "leave":
        choice.drain(now, now, int(rest[0]) * MS)
    else:
        ref = names.index(rest[0]) if rest[0] in names else len(names) + 7
        if event in ("done", "called"):
            call = choice.run_ended if event == "done" else choice.call_ended
            call(now, ref, Outcome[rest[1]], int(rest[2]) * MS if len(rest) > 2 else 0)
        else:
            {"calls": choice.call_requested, "left": choice.caller_gone}[event](now, ref)


SCENARIOS = sorted((Path(__file__).parent / "scenarios").glob("*.txt"))


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_scenario(path: Path) -> None:
    facts, products, choice = FACTS, [], None
    names: list[str] = []
    recorder = Recorder()
    for number, line in enumerate(path.read_text().splitlines(), 1):
        line = line.split("#")[0].strip()
        words = line.split()
        if not words:
            continue
        if words[0] == "set":
            facts = changed(facts, words[1:])
            continue
        if words[0] == "product":
            products.append(changed(PRODUCT, words[1:]))
            continue
        if choice is None:
            facts = replace(facts, request_classes=tuple(products) or facts.request_classes)
            choice = AdmissionController(facts, 1, recorder, 0)
            choice.begin(0)
        told, _, wanted = line.partition("->")
        when, *words = told.split()
        first, _, last = when.partition("..")
        recorder.seen.clear()
        for now in range(int(first), int(last or first) + 1, 100):
            send(choice, names, now * MS, words)
        got = [
            f"call {names[values[0]]} by {values[1] // MS}"
            if effect == "call" and " by " in wanted
            else f"{effect} {names[values[0]]}"
            if effect in SHOWN
            else f"{effect} {round(values[0], 3) if effect == 'tell' else values[0]}"
            for effect, values in recorder.seen
            if effect in SHOWN or effect in wanted
        ]
        expected = [part.strip() for part in wanted.split(",") if part.strip() not in ("", "-")]
        assert got == expected, f"{path.name}:{number}: {line}"
