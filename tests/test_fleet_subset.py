"""Subsets of the downstream services, and the calls spread over one."""

import pytest

from burlloom.fleet import WeightedRoundRobin, assign_subsets


@pytest.mark.parametrize("servers", [3, 30, 300])
@pytest.mark.parametrize("services", [3, 10, 40])
def test_subsets_have_equal_load_and_move_little(servers: int, services: int) -> None:
    names, below = (
        [f"n{at}" for at in range(servers)],
        [f"10.0.0.{at}:80" for at in range(services)],
    )
    before = assign_subsets(names, below, 8)
    pairs = before.pairs()
    assert before.max_load_ratio <= 1.1
    load: dict[str, float] = {}
    for subset in before.subsets.values():
        assert abs(sum(subset.weights.values()) - 1) < 1e-9
        assert len(subset.weights) <= max(8, before.mean_size) + 1
        for service, weight in subset.weights.items():
            load[service] = load.get(service, 0.0) + weight
    assert max(load.values()) <= 1.1 * servers / services
    joined, left = assign_subsets([*names, "new"], below, 8), assign_subsets(names[1:], below, 8)
    for after in (joined, left):
        assert after.max_load_ratio <= 1.1
        # Of the one that came or went; as much again where subsets are larger for a small fleet.
        assert (
            len(after.pairs() ^ pairs)
            <= (1.05 if before.mean_size <= 8 or before.mean_size == services else 3)
            * len(pairs)
            / servers
            + 1
        )
    assert assign_subsets(names, below[1:], 8).max_load_ratio <= 1.1


def test_calls_follow_the_weights_and_ejections() -> None:
    balancer, taken = WeightedRoundRobin(), dict.fromkeys("abc", 0)
    balancer.set_weights({"a": 0.5, "b": 0.3, "c": 0.2}, 0.7)
    for n in range(1, 1001):
        taken[balancer.next_service(0)] += 1
        assert all(abs(taken[name] - n * weight) <= 2 for name, weight in balancer.weights.items())
    balancer.record_failure("a", 0)
    assert {balancer.next_service(WeightedRoundRobin.MIN_EJECTION_NS - 1) for _ in range(20)} == {
        "b",
        "c",
    }
    assert "a" in {balancer.next_service(WeightedRoundRobin.MIN_EJECTION_NS) for _ in range(20)}
    for service in "abc":
        balancer.record_failure(service, 10 * WeightedRoundRobin.MIN_EJECTION_NS)
    assert balancer.next_service(10 * WeightedRoundRobin.MIN_EJECTION_NS + 1) in "abc"
