"""Tests of the subsets of the downstream services and of the weighted round robin over a subset."""

import pytest

from burlloom.fleet import WeightedRoundRobin, assign_subsets


@pytest.mark.parametrize("servers", [3, 30, 300])
@pytest.mark.parametrize("services", [3, 10, 40])
def test_subsets_balance_the_load_and_change_little(servers: int, services: int) -> None:
    server_names, service_addresses = (
        [f"n{index}" for index in range(servers)],
        [f"10.0.0.{index}:80" for index in range(services)],
    )
    before = assign_subsets(server_names, service_addresses, 8)
    pairs = before.pairs()
    assert before.max_load_ratio <= 1.1
    load: dict[str, float] = {}
    for subset in before.subsets.values():
        assert abs(sum(subset.weights.values()) - 1) < 1e-9
        assert len(subset.weights) <= max(8, before.mean_size) + 1
        for service, weight in subset.weights.items():
            load[service] = load.get(service, 0.0) + weight
    assert max(load.values()) <= 1.1 * servers / services
    after_join, after_leave = (
        assign_subsets([*server_names, "new"], service_addresses, 8),
        assign_subsets(server_names[1:], service_addresses, 8),
    )
    for assignment_after in (after_join, after_leave):
        assert assignment_after.max_load_ratio <= 1.1
        # Only pairs of the server that joined or left change. In a small fleet, where subsets are
        # larger than the minimum, more pairs change.
        assert (
            len(assignment_after.pairs() ^ pairs)
            <= (1.05 if before.mean_size <= 8 or before.mean_size == services else 3)
            * len(pairs)
            / servers
            + 1
        )
    assert assign_subsets(server_names, service_addresses[1:], 8).max_load_ratio <= 1.1


def test_calls_follow_the_weights_and_ejections() -> None:
    balancer, call_counts = WeightedRoundRobin(), dict.fromkeys("abc", 0)
    balancer.set_weights({"a": 0.5, "b": 0.3, "c": 0.2}, 0.7)
    for call_number in range(1, 1001):
        call_counts[balancer.next_service(0)] += 1
        assert all(
            abs(call_counts[name] - call_number * weight) <= 2
            for name, weight in balancer.weights.items()
        )
    balancer.record_failure("a", 0)
    assert {balancer.next_service(WeightedRoundRobin.MIN_EJECTION_NS - 1) for _ in range(20)} == {
        "b",
        "c",
    }
    assert "a" in {balancer.next_service(WeightedRoundRobin.MIN_EJECTION_NS) for _ in range(20)}
    for service in "abc":
        balancer.record_failure(service, 10 * WeightedRoundRobin.MIN_EJECTION_NS)
    assert balancer.next_service(10 * WeightedRoundRobin.MIN_EJECTION_NS + 1) in "abc"
