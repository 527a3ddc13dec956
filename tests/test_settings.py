"""What a settings document says, key by key."""

from typing import Any

import pytest

from burlloom.admission import Gauges, Idempotency, LoadReportKind
from burlloom.settings import parse_gauges, parse_server_settings


def document(**extra: Any) -> dict[str, Any]:
    """The least that a document may hold, and more keys of its part `extra`."""
    return {
        "categories": [
            {"aim": 500, "deadline": 2000, "idempotency": "dedup", "window": 9000, "worth": 2}
        ],
        "rules": {"tip_multiple": 5, "cold_from": 0.2, "warm_up": 10, "drain_grace": 3},
        "extra": {"n_cores": 2, "memory_kb": 1000, "blowup": 4, **extra},
    }


def test_times_are_microseconds_in_the_document_and_nanoseconds_in_the_settings() -> None:
    server, _ = parse_server_settings(document(idle=7, lingers=8, fresh_for=9, calls_over=10))
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


def test_absent_keys_take_nothing_and_give_nothing() -> None:
    server, meters = parse_server_settings(document())
    assert meters == ()
    assert server.load_report_kind is LoadReportKind.NONE
    assert not server.starts_cold
    assert (server.call_quota, server.idempotency_key_kb, server.max_retry_after_ns) == (0, 0, 0)
    (request_class,) = server.request_classes
    assert (request_class.late_value_share, request_class.value_share_without_call) == (0, 0)


def test_the_call_quota_counts_only_where_the_fleet_shares_the_dependency() -> None:
    assert parse_server_settings(document(calls_out=3)).server.call_quota == 0
    shared = document(calls_out=3, depends_on="one_for_all")
    assert parse_server_settings(shared).server.call_quota == 3


@pytest.mark.parametrize(("is_honoured", "wanted"), [(True, 4_000), (False, 0)])
def test_retry_after_is_named_only_where_callers_honour_it(is_honoured: bool, wanted: int) -> None:
    limits = {"retry_after": is_honoured, "max_retry_after": 4}
    settings = parse_server_settings({**document(), "limits": limits})
    assert settings.server.max_retry_after_ns == wanted


@pytest.mark.parametrize(
    ("word", "kind"),
    [
        ("retryable", Idempotency.IDEMPOTENT),
        ("dedup", Idempotency.KEYED),
        ("fragile", Idempotency.NON_IDEMPOTENT),
    ],
)
def test_each_word_of_idempotency_is_known(word: str, kind: Idempotency) -> None:
    told = document()
    told["categories"][0]["idempotency"] = word
    assert parse_server_settings(told).server.request_classes[0].idempotency is kind


@pytest.mark.parametrize(
    ("word", "kind"),
    [
        ("off", LoadReportKind.NONE),
        ("floor", LoadReportKind.PRIORITY_FLOOR),
        ("allowance", LoadReportKind.CONCURRENCY_ALLOWANCE),
        ("weight", LoadReportKind.ROUTING_WEIGHT),
    ],
)
def test_each_word_of_the_load_report_is_known(word: str, kind: LoadReportKind) -> None:
    assert parse_server_settings(document(say=word)).server.load_report_kind is kind


@pytest.mark.parametrize("key", ["n_cores", "memory_kb", "blowup"])
def test_a_key_that_is_needed_and_not_there_is_an_error(key: str) -> None:
    told = document()
    del told["extra"][key]
    with pytest.raises(KeyError, match=key):
        parse_server_settings(told)


def test_gauges_are_put_by_name_and_unknown_meters_passed_over() -> None:
    gauges = parse_gauges(("links", "disk", "core_use"), (7.0, 0.5, 0.25))
    assert gauges == Gauges(cpu_utilization=0.25, connections=7.0)


def test_more_values_than_meters_is_an_error() -> None:
    with pytest.raises(ValueError, match="zip"):
        parse_gauges(("links",), (7.0, 0.5))
