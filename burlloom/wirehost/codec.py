"""The wire's text: settings, events and values in; nothing here chooses anything."""

import json
from typing import Any

from ..interface import FreeValue, Gauges, Outcome, Product, Repeatable, ServerFacts

MICRO = 1000

REPEATABLE = {"retryable": Repeatable.INQUIRY, "dedup": Repeatable.REFERENCED, "fragile": Repeatable.ONCE}
FREE_VALUE = {"off": FreeValue.NONE, "floor": FreeValue.FLOOR, "allowance": FreeValue.ALLOWANCE,
              "weight": FreeValue.WEIGHT}
OUTCOME = {"Ok": Outcome.OK, "Failed": Outcome.FAILED, "QueueFull": Outcome.FULL,
           "TimedOut": Outcome.TIMED_OUT, "ConnectError": Outcome.UNREACHED, "ResetByPeer": Outcome.BROKEN,
           "Canceled": Outcome.STOPPED, "Ignored": Outcome.MOOT}
GAUGE = {"core_use": "core_use", "on_cores": "on_cores", "heap_share": "memory_share", "links": "links"}
# name -> number of values after the name; the last value of BOOT is text to the end of the line
EVENTS = {"BOOT": 3, "KILLED": 1, "ASK": 13, "COMPLETED": 4, "NEEDS": 2, "CALL_DONE": 4, "LEFT": 2,
          "WIND_DOWN": 2, "WAKE": 3}


class BadInput(Exception):
    """The other side sent something that this wire does not have."""


def parts(line: str) -> list[str]:
    name = line.split(" ", 1)[0]
    wanted = EVENTS.get(name)
    if wanted is None:
        raise BadInput(f"unknown message {name[:40]!r}")
    values = line.split(" ", wanted) if name == "BOOT" else line.split(" ")
    if len(values) != wanted + 1:
        raise BadInput(f"{name} takes {wanted} values, got {len(values) - 1}")
    return values


def whole(text: str) -> int:
    """A whole number; an absent one is 0."""
    return 0 if text == "-" else int(text)


def real(text: str) -> float:
    return 0.0 if text == "-" else float(text)


def nanos(text: str) -> int:
    return whole(text) * MICRO


def gauges(names: tuple[str, ...], text: str) -> Gauges:
    known = {}
    if text != "-":
        for name, value in zip(names, text.split(","), strict=True):
            if name in GAUGE:
                known[GAUGE[name]] = real(value)
    return Gauges(**known)


def facts(text: str) -> tuple[ServerFacts, tuple[str, ...]]:
    """The settings that the decisions read, and the order of the gauges."""
    got: dict[str, Any] = json.loads(text)
    extra, rules = got["extra"], got["rules"]
    skips = extra.get("class_skip_worth") or []
    products = tuple(
        Product(
            sla=int(c["aim"]) * MICRO,
            sla_stretch=float(c.get("aim_stretch") or 0.0),
            expiry=int(c["deadline"]) * MICRO,
            repeatable=REPEATABLE[c["idempotency"]],
            window=int(c.get("window") or 0) * MICRO,
            late_share=float(c.get("late_share") or 0.0),
            skip_share=float(skips[i]) if i < len(skips) else 0.0,
            value=float(c["worth"]),
        )
        for i, c in enumerate(got["categories"])
    )
    limits = got.get("limits") or {}
    advice = int(limits.get("max_retry_after") or 0) if limits.get("retry_after", True) else 0
    shared = extra.get("depends_on") == "one_for_all"
    known = ServerFacts(
        cores=int(extra["n_cores"]),
        memory_kb=float(extra["memory_kb"]),
        run_factor=float(extra["blowup"]),
        key_kb=float(extra.get("key_kb") or 0.0),
        crowd=float(rules["tip_multiple"]),
        cold=bool(extra.get("fresh_start")),
        cold_from=float(rules["cold_from"]),
        warm_up=int(rules["warm_up"]) * MICRO,
        calls_share=float(extra.get("calls_out") or 0.0) if shared else 0.0,
        calls_span=int(extra.get("calls_over") or 0) * MICRO,
        linger=int(extra.get("lingers") or 0) * MICRO,
        grace=int(rules["drain_grace"]) * MICRO,
        advice_max=advice * MICRO,
        fresh=int(extra.get("fresh_for") or 0) * MICRO,
        idle=int(extra.get("idle") or 0) * MICRO,
        free_value=FREE_VALUE[extra.get("say", "off")],
        products=products,
    )
    return known, tuple(extra.get("meters") or ())
