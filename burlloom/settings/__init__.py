"""What a server is told of itself, decoded once for whichever host runs the decisions."""

from collections.abc import Sequence
from typing import Any

from ..admission.model import Gauges, Idempotency, LoadReportKind, RequestClass, ServerSettings

NS_PER_US = 1000

IDEMPOTENCY_KINDS = {
    "retryable": Idempotency.IDEMPOTENT,
    "dedup": Idempotency.KEYED,
    "fragile": Idempotency.NON_IDEMPOTENT,
}
LOAD_REPORT_KINDS = {
    "off": LoadReportKind.NONE,
    "floor": LoadReportKind.PRIORITY_FLOOR,
    "allowance": LoadReportKind.CONCURRENCY_ALLOWANCE,
    "weight": LoadReportKind.ROUTING_WEIGHT,
}
GAUGE = {
    "core_use": "cpu_utilization",
    "on_cores": "runnable",
    "heap_share": "memory_utilization",
    "links": "connections",
}


def parse_gauges(names: tuple[str, ...], values: Sequence[float]) -> Gauges:
    return Gauges(
        **{GAUGE[name]: value for name, value in zip(names, values, strict=True) if name in GAUGE}
    )


def parse_server_settings(got: dict[str, Any]) -> tuple[ServerSettings, tuple[str, ...]]:
    """The settings that the decisions read, and the order of the gauges."""
    extra, rules = got["extra"], got["rules"]
    skips = extra.get("class_skip_worth") or []
    products = tuple(
        RequestClass(
            latency_objective_ns=int(c["aim"]) * NS_PER_US,
            latency_objective_stretch=float(c.get("aim_stretch") or 0.0),
            deadline_ns=int(c["deadline"]) * NS_PER_US,
            idempotency=IDEMPOTENCY_KINDS[c["idempotency"]],
            idempotency_window_ns=int(c.get("window") or 0) * NS_PER_US,
            late_value_share=float(c.get("late_share") or 0.0),
            value_share_without_call=float(skips[i]) if i < len(skips) else 0.0,
            value=float(c["worth"]),
        )
        for i, c in enumerate(got["categories"])
    )
    limits = got.get("limits") or {}
    advice = int(limits.get("max_retry_after") or 0) if limits.get("retry_after", True) else 0
    shared = extra.get("depends_on") == "one_for_all"
    known = ServerSettings(
        cores=int(extra["n_cores"]),
        memory_kb=float(extra["memory_kb"]),
        running_memory_factor=float(extra["blowup"]),
        idempotency_key_kb=float(extra.get("key_kb") or 0.0),
        max_runs_per_core=float(rules["tip_multiple"]),
        starts_cold=bool(extra.get("fresh_start")),
        cold_speed_share=float(rules["cold_from"]),
        warm_up_ns=int(rules["warm_up"]) * NS_PER_US,
        call_quota=float(extra.get("calls_out") or 0.0) if shared else 0.0,
        call_quota_window_ns=int(extra.get("calls_over") or 0) * NS_PER_US,
        abandoned_call_linger_ns=int(extra.get("lingers") or 0) * NS_PER_US,
        drain_grace_ns=int(rules["drain_grace"]) * NS_PER_US,
        max_retry_after_ns=advice * NS_PER_US,
        result_cache_ttl_ns=int(extra.get("fresh_for") or 0) * NS_PER_US,
        idle_timeout_ns=int(extra.get("idle") or 0) * NS_PER_US,
        load_report_kind=LOAD_REPORT_KINDS[extra.get("say", "off")],
        request_classes=products,
    )
    return known, tuple(extra.get("meters") or ())
