"""Tests of the parser of settings documents."""

from typing import Any

import pytest

from burlloom.admission import Gauges, Idempotency, LoadReportKind
from burlloom.settings import parse_gauges, parse_server_settings


def make_document(**extra: Any) -> dict[str, Any]:
    """Returns a document with only the required keys, and further keys of its part `extra`."""
    return {
        "categories": [
            {"aim": 500, "deadline": 2000, "idempotency": "dedup", "window": 9000, "worth": 2}
        ],
        "rules": {"tip_multiple": 5, "cold_from": 0.2, "warm_up": 10, "drain_grace": 3},
        "extra": {"n_cores": 2, "memory_kb": 1000, "blowup": 4, **extra},
    }


def test_times_are_microseconds_in_the_document_and_nanoseconds_in_the_settings() -> None:
    server, _ = parse_server_settings(make_document(idle=7, lingers=8, fresh_for=9, calls_over=10))
    assert server.warm_up_ns == 10_000
    assert server.drain_grace_ns == 3_000
    assert server.idle_timeout_ns == 7_000
    assert server.abandoned_call_linger_ns == 8_000
    assert server.result_cache_ttl_ns == 9_000
    assert server.call_quota_window_ns == 10_000
    (request_class,) = server.request_classes
    assert request_class.latency_objective_ns == 500_000
    assert request_class.deadline_ns == 2_000_000
    assert request_class.idempotency_window_ns == 9_000_000


def test_absent_optional_keys_are_0_or_off() -> None:
    server, gauge_names = parse_server_settings(make_document())
    assert gauge_names == ()
    assert server.load_report_kind is LoadReportKind.NONE
    assert not server.starts_cold
    assert (server.call_quota, server.idempotency_key_kb, server.max_retry_after_ns) == (0, 0, 0)
    (request_class,) = server.request_classes
    assert (request_class.late_value_share, request_class.value_share_without_call) == (0, 0)


def test_the_call_quota_applies_only_to_a_dependency_that_the_fleet_shares() -> None:
    assert parse_server_settings(make_document(calls_out=3)).server.call_quota == 0
    shared = make_document(calls_out=3, depends_on="one_for_all")
    assert parse_server_settings(shared).server.call_quota == 3


@pytest.mark.parametrize(("is_honoured", "expected_ns"), [(True, 4_000), (False, 0)])
def test_the_longest_retry_after_is_0_if_callers_do_not_honour_it(
    is_honoured: bool, expected_ns: int
) -> None:
    limits = {"retry_after": is_honoured, "max_retry_after": 4}
    settings = parse_server_settings({**make_document(), "limits": limits})
    assert settings.server.max_retry_after_ns == expected_ns


@pytest.mark.parametrize(
    ("value", "kind"),
    [
        ("retryable", Idempotency.IDEMPOTENT),
        ("dedup", Idempotency.KEYED),
        ("fragile", Idempotency.NON_IDEMPOTENT),
    ],
)
def test_each_value_of_idempotency_is_known(value: str, kind: Idempotency) -> None:
    document = make_document()
    document["categories"][0]["idempotency"] = value
    assert parse_server_settings(document).server.request_classes[0].idempotency is kind


@pytest.mark.parametrize(
    ("value", "kind"),
    [
        ("off", LoadReportKind.NONE),
        ("floor", LoadReportKind.PRIORITY_FLOOR),
        ("allowance", LoadReportKind.CONCURRENCY_ALLOWANCE),
        ("weight", LoadReportKind.ROUTING_WEIGHT),
    ],
)
def test_each_value_of_the_load_report_kind_is_known(value: str, kind: LoadReportKind) -> None:
    assert parse_server_settings(make_document(say=value)).server.load_report_kind is kind


@pytest.mark.parametrize("key", ["n_cores", "memory_kb", "blowup"])
def test_a_missing_required_key_is_an_error(key: str) -> None:
    document = make_document()
    del document["extra"][key]
    with pytest.raises(KeyError, match=key):
        parse_server_settings(document)


def test_gauges_are_set_by_name_and_unknown_ones_are_ignored() -> None:
    gauges = parse_gauges(("links", "disk", "core_use"), (7.0, 0.5, 0.25))
    assert gauges == Gauges(cpu_utilization=0.25, connections=7.0)


def test_more_values_than_gauge_names_are_an_error() -> None:
    with pytest.raises(ValueError, match="zip"):
        parse_gauges(("links",), (7.0, 0.5))
