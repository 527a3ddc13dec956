"""Tests of the served tenants and their shares of the service, with a table in memory."""

from random import Random
from typing import Any

import msgpack
import pytest

from burlloom.distribution.changes import ConfigItem, encode_items, initial_head, next_change
from burlloom.distribution.replica import Replica
from burlloom.distribution.table import ConfigTable
from burlloom.fakes.parts import fields
from burlloom.levels.signals import MAX_TENANTS, TenantExcessDetector
from burlloom.rpc.incoming_request import MalformedRequestError, RequestRules
from burlloom.rpc.wire import parse_request
from burlloom.server.tenant_portions import COUNT_INTERVAL_NS, ServedTenants, TenantPortions
from burlloom.time_units import NS_PER_MS, NS_PER_SECOND

SIGNING_KEY = b"s" * 32
# Upper bound on the steps that a count of a table with a few tenants takes.
MAX_COUNT_STEPS = 256


def tenant_item(name: str, **value: Any) -> ConfigItem:
    return ConfigItem("", "tenant", name, msgpack.packb(value))


def empty_replica() -> Replica:
    return Replica(ConfigTable(("", "north")), (SIGNING_KEY,))


def replica_in_force(*items: ConfigItem) -> Replica:
    replica = empty_replica()
    replica.load(initial_head(1, 0), items)
    return replica


def apply(replica: Replica, *items: ConfigItem) -> None:
    assert replica.head is not None
    change = next_change(replica.head, "", encode_items(items), 1, SIGNING_KEY)
    assert replica.apply_change(change) is None


def rules_over(replica: Replica) -> RequestRules:
    """Returns the rules of a server whose configuration file has the tenant `acme` alone."""
    return RequestRules({"look": False}, ServedTenants(replica, {"acme": 1.0}), 6 * NS_PER_SECOND)


def is_served(rules: RequestRules, tenant: Any) -> bool:
    """Returns whether a request of this tenant is accepted."""
    request_fields = fields()
    now = int(request_fields["at"]) * NS_PER_MS
    arguments = [{**request_fields, "tenant": tenant}, b""]
    try:
        parse_request(None, 1, "look", arguments, rules, now)  # type: ignore[arg-type]
    except MalformedRequestError:
        return False
    return True


def count(portions: TenantPortions, begin_ns: int) -> None:
    """Runs the steps of one count of all portions."""
    for step in range(MAX_COUNT_STEPS):
        portions.advance(begin_ns + step)


def portions_of_three() -> tuple[Replica, TenantPortions]:
    replica = replica_in_force(
        tenant_item("a", portion=3),
        tenant_item("b"),
        tenant_item("odd", portion="many"),
        ConfigItem("", "route", "r", msgpack.packb({})),
    )
    return replica, TenantPortions(replica)


@pytest.mark.parametrize(
    ("tenant", "served"), [("acme", True), ("blue", False), (7, False), (["acme"], False)]
)
def test_without_a_table_in_force_the_tenants_of_the_file_are_served(
    tenant: Any, served: bool
) -> None:
    assert is_served(rules_over(empty_replica()), tenant) == served


@pytest.mark.parametrize(
    ("tenant", "served"),
    [("blue", True), ("acme", False), (7, False), (["blue"], False), ("\ud800", False)],
)
def test_with_a_table_in_force_only_its_tenants_are_served(tenant: Any, served: bool) -> None:
    assert is_served(rules_over(replica_in_force(tenant_item("blue"))), tenant) == served


def test_rules_created_before_a_table_is_in_force_follow_the_table() -> None:
    replica = empty_replica()
    rules = rules_over(replica)
    assert is_served(rules, "acme")
    assert not is_served(rules, "blue")
    replica.load(initial_head(1, 0), [tenant_item("blue")])
    assert is_served(rules, "blue")
    assert not is_served(rules, "acme")


def test_a_table_without_any_tenant_serves_none() -> None:
    replica = replica_in_force(tenant_item("blue"))
    rules = rules_over(replica)
    assert is_served(rules, "blue")
    apply(replica, ConfigItem("", "tenant", "blue", None))
    assert not is_served(rules, "blue")


def test_a_file_without_any_tenant_serves_all() -> None:
    assert not ServedTenants(Replica(ConfigTable(("",)), ()), {})


def test_before_the_first_count_the_sum_is_the_number_of_tenants() -> None:
    _, portions = portions_of_three()
    assert portions.share("a") == 1.0
    assert portions.share("b") == pytest.approx(1 / 3)


def test_counted_portions_give_each_tenants_share() -> None:
    _, portions = portions_of_three()
    count(portions, 0)
    assert portions.total == 5.0
    assert portions.share("a") == pytest.approx(0.6)
    assert portions.share("none") is None


def test_portions_are_counted_again_once_the_count_interval_has_passed() -> None:
    replica, portions = portions_of_three()
    count(portions, 0)
    apply(replica, tenant_item("a", portion=8))
    portions.advance(1000)
    assert portions.bucket < 0
    count(portions, COUNT_INTERVAL_NS + 1000)
    assert portions.total == 10.0
    assert portions.share("a") == pytest.approx(0.8)


def test_a_tenant_over_its_share_by_the_table_is_detected() -> None:
    replica, portions = portions_of_three()
    apply(replica, tenant_item("a", portion=8))
    count(portions, COUNT_INTERVAL_NS)
    shares = TenantExcessDetector((), share=portions.share)
    random, over_share_counts = Random(1), {"a": 0, "b": 0}
    for number in range(3000):
        name = "b" if random.random() < 0.6 else "a"
        over_share_counts[name] += shares.is_over_share(number * NS_PER_SECOND // 100, name)
    assert over_share_counts["b"] > 1000
    assert not over_share_counts["a"]
    assert not shares.is_over_share(0, "none")


def test_requests_are_counted_for_a_limited_number_of_tenants() -> None:
    shares = TenantExcessDetector((), share=lambda name: 1e-5)
    for number in range(MAX_TENANTS + 100):
        shares.is_over_share(number, f"t{number}")
    assert len(shares.rings) == MAX_TENANTS
    assert len(shares.unmarked_excess) <= MAX_TENANTS
    assert "t0" not in shares.rings
