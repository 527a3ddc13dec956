"""Maps the keys of a settings document to `ServerSettings`, and named values to gauges.

The simulator's wire and the server's configuration file share the keys; all times in a document are
in microseconds. No other module of the decisions uses the keys.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import Any, NamedTuple

from ..admission.model import (
    Gauges,
    Idempotency,
    LoadReportKind,
    RequestClass,
    ServerSettings,
)

__all__ = [
    "IDEMPOTENCY_KINDS",
    "LOAD_REPORT_KINDS",
    "NS_PER_US",
    "SettingsDocument",
    "parse_gauges",
    "parse_server_settings",
]

NS_PER_US = 1000

IDEMPOTENCY_KINDS = {
    "retryable": Idempotency.IDEMPOTENT,
    "dedup": Idempotency.KEYED,
    "fragile": Idempotency.NON_IDEMPOTENT,
}
"""The kind of idempotency by the value of a category's key `idempotency`."""

LOAD_REPORT_KINDS = {
    "off": LoadReportKind.NONE,
    "floor": LoadReportKind.PRIORITY_FLOOR,
    "allowance": LoadReportKind.CONCURRENCY_ALLOWANCE,
    "weight": LoadReportKind.ROUTING_WEIGHT,
}
"""The kind of load report by the value of the key `extra.say`."""

GAUGE_FIELDS = {
    "core_use": "cpu_utilization",
    "on_cores": "runnable",
    "heap_share": "memory_utilization",
    "links": "connections",
}
"""The field of `Gauges` by the gauge's name in the settings document."""

SHARED_DEPENDENCY = "one_for_all"
"""The value of `extra.depends_on` if all servers of the fleet call the same dependency."""


class SettingsDocument(NamedTuple):
    """A parsed settings document.

    Attributes:
        server: The settings that the decisions read.
        gauge_names: Names of the gauges, in the order in which their values are sent.
    """

    server: ServerSettings
    gauge_names: tuple[str, ...]


def parse_gauges(gauge_names: Iterable[str], values: Sequence[float]) -> Gauges:
    """Returns measured values as gauges; those that the decisions do not read are ignored.

    Args:
        gauge_names: Names of the gauges.
        values: One value for each name.

    Raises:
        ValueError: The number of values is not that of the names.
    """
    measured = zip(gauge_names, values, strict=True)
    return Gauges(**{GAUGE_FIELDS[name]: value for name, value in measured if name in GAUGE_FIELDS})


def parse_server_settings(document: Mapping[str, Any]) -> SettingsDocument:
    """Parses a settings document.

    Args:
        document: The JSON object, with the keys `categories`, `rules`, `extra` and optionally
            `limits`.

    Raises:
        KeyError: A required key is missing, or a value that names a kind is unknown.
        TypeError: A value has the wrong type.
        ValueError: A value is not a number where one is required.
    """
    extra, rules = document["extra"], document["rules"]
    is_shared = extra.get("depends_on") == SHARED_DEPENDENCY
    server = ServerSettings(
        cores=int(extra["n_cores"]),
        memory_kb=float(extra["memory_kb"]),
        running_memory_factor=float(extra["blowup"]),
        idempotency_key_kb=_number(extra, "key_kb"),
        max_runs_per_core=float(rules["tip_multiple"]),
        starts_cold=bool(extra.get("fresh_start")),
        cold_speed_share=float(rules["cold_from"]),
        warm_up_ns=int(rules["warm_up"]) * NS_PER_US,
        call_quota=_number(extra, "calls_out") if is_shared else 0.0,
        call_quota_window_ns=_duration_ns(extra, "calls_over"),
        abandoned_call_linger_ns=_duration_ns(extra, "lingers"),
        drain_grace_ns=int(rules["drain_grace"]) * NS_PER_US,
        max_retry_after_ns=_max_retry_after_ns(document.get("limits") or {}),
        result_cache_ttl_ns=_duration_ns(extra, "fresh_for"),
        idle_timeout_ns=_duration_ns(extra, "idle"),
        load_report_kind=LOAD_REPORT_KINDS[extra.get("say", "off")],
        request_classes=_request_classes(document["categories"], extra),
    )
    return SettingsDocument(server, tuple(extra.get("meters") or ()))


def _request_classes(
    categories: Sequence[Mapping[str, Any]], extra: Mapping[str, Any]
) -> tuple[RequestClass, ...]:
    value_shares = extra.get("class_skip_worth") or []
    return tuple(
        RequestClass(
            latency_objective_ns=int(category["aim"]) * NS_PER_US,
            latency_objective_stretch=_number(category, "aim_stretch"),
            deadline_ns=int(category["deadline"]) * NS_PER_US,
            idempotency=IDEMPOTENCY_KINDS[category["idempotency"]],
            idempotency_window_ns=_duration_ns(category, "window"),
            late_value_share=_number(category, "late_share"),
            value_share_without_call=float(value_shares[index])
            if index < len(value_shares)
            else 0.0,
            value=float(category["worth"]),
        )
        for index, category in enumerate(categories)
    )


def _max_retry_after_ns(limits: Mapping[str, Any]) -> int:
    """Returns the longest retry-after that callers honour, in ns; 0 if they honour none."""
    return _duration_ns(limits, "max_retry_after") if limits.get("retry_after", True) else 0


def _number(part: Mapping[str, Any], key: str) -> float:
    """Returns a number; 0 if the key is absent or its value is empty."""
    return float(part.get(key) or 0.0)


def _duration_ns(part: Mapping[str, Any], key: str) -> int:
    """Returns a duration in ns; 0 if the key is absent or its value is empty."""
    return int(part.get(key) or 0) * NS_PER_US
