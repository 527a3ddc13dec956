"""Checks the open calls of all servers of a fleet together, from their cold start on."""

import pytest
from cold_fleet import SCENARIOS, WINDOW_NS, budget_with_tolerance, run_scenario

from burlloom.time_units import NS_PER_MS, NS_PER_SECOND


@pytest.mark.parametrize("budget", [1, 2, 5, 24])
@pytest.mark.parametrize("processes", [20, 30])
@pytest.mark.parametrize("name", SCENARIOS)
@pytest.mark.parametrize(("seed", "call_ms"), [(1, 50), (2, 400)])
def test_mean_open_calls_of_the_fleet_stay_within_budget_and_chance(
    seed: int, call_ms: int, name: str, processes: int, budget: int
) -> None:
    """The mean is taken over the configured window; even the smallest budget must be used."""
    simulation = run_scenario(
        name, processes, budget, call_ms * NS_PER_MS, seed, 16 * NS_PER_SECOND
    )
    assert simulation.largest_mean() <= budget_with_tolerance(budget)
    assert simulation.calls_made >= budget * 4


@pytest.mark.parametrize("budget", [1, 2, 5, 10])
@pytest.mark.parametrize("processes", [20, 30])
@pytest.mark.parametrize("seed", range(1, 6))
def test_servers_that_start_together_do_not_call_in_step(
    seed: int, processes: int, budget: int
) -> None:
    """During the first second no more calls are open at once than budget and chance allow."""
    simulation = run_scenario("together", processes, budget, 50 * NS_PER_MS, seed, NS_PER_SECOND)
    assert simulation.max_open_calls() <= budget_with_tolerance(budget)


@pytest.mark.parametrize("budget", [2, 5])
def test_new_incarnation_does_not_spend_the_quota_of_the_previous_one_again(budget: int) -> None:
    """All servers are killed once their quota is used up, and restart 1 ms later."""
    simulation = run_scenario("together", 20, budget, 400 * NS_PER_MS, 3, 0)
    for server in simulation.servers:
        simulation.after(WINDOW_NS, simulation.restart, server, 1 * NS_PER_MS)
    simulation.run(2 * WINDOW_NS)
    assert simulation.largest_mean() <= budget + 2


@pytest.mark.parametrize("pause_s", [1, 6, 60])
def test_quota_unused_during_a_pause_is_not_spent_after_it(pause_s: int) -> None:
    """After a pause any window holds at most the quota and the calls open when it began."""
    simulation = run_scenario("together", 20, 5, 50 * NS_PER_MS, 4, 4 * NS_PER_SECOND)
    for server in simulation.servers:
        simulation.pause(server, pause_s * NS_PER_SECOND)
    simulation.run((4 + pause_s + 8) * NS_PER_SECOND)
    assert simulation.largest_mean() <= budget_with_tolerance(5)
