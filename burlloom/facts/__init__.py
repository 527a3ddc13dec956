"""What a server is told of itself, decoded once for whichever host runs the decisions."""

from collections.abc import Sequence
from typing import Any

from ..interface import FreeValue, Gauges, Product, Repeatable, ServerFacts

MICRO = 1000

REPEATABLE = {
    "retryable": Repeatable.INQUIRY,
    "dedup": Repeatable.REFERENCED,
    "fragile": Repeatable.ONCE,
}
FREE_VALUE = {
    "off": FreeValue.NONE,
    "floor": FreeValue.FLOOR,
    "allowance": FreeValue.ALLOWANCE,
    "weight": FreeValue.WEIGHT,
}
GAUGE = {
    "core_use": "core_use",
    "on_cores": "on_cores",
    "heap_share": "memory_share",
    "links": "links",
}


def gauges(names: tuple[str, ...], values: Sequence[float]) -> Gauges:
    return Gauges(
        **{GAUGE[name]: value for name, value in zip(names, values, strict=True) if name in GAUGE}
    )


def facts(got: dict[str, Any]) -> tuple[ServerFacts, tuple[str, ...]]:
    """The settings that the decisions read, and the order of the gauges."""
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
