"""A cold start that holds for the fleet: the open calls of all servers, from the first moment on."""

import pytest
from cold_fleet import (
    NS_PER_MS,
    NS_PER_S,
    SCENARIOS,
    WINDOW_NS,
    budget_with_chance,
    run_scenario,
)


@pytest.mark.parametrize("budget", [1, 2, 5, 24])
@pytest.mark.parametrize("processes", [20, 30])
@pytest.mark.parametrize("name", SCENARIOS)
@pytest.mark.parametrize(("seed", "call_ms"), [(1, 50), (2, 400)])
def test_open_calls_of_all_servers_stay_at_the_budget_but_for_chance(
    seed: int, call_ms: int, name: str, processes: int, budget: int
) -> None:
    """As a mean over the window that the settings name; and each budget, however small, is used."""
    simulation = run_scenario(name, processes, budget, call_ms * NS_PER_MS, seed, 16 * NS_PER_S)
    assert simulation.largest_mean() <= budget_with_chance(budget)
    assert simulation.calls_made >= budget * 4


@pytest.mark.parametrize("budget", [1, 2, 5, 10])
@pytest.mark.parametrize("processes", [20, 30])
@pytest.mark.parametrize("seed", range(1, 6))
def test_servers_that_start_together_do_not_call_in_step(
    seed: int, processes: int, budget: int
) -> None:
    """At no moment of a start are more calls open than the budget and chance."""
    simulation = run_scenario("together", processes, budget, 50 * NS_PER_MS, seed, NS_PER_S)
    assert simulation.most_open_calls() <= budget_with_chance(budget)


@pytest.mark.parametrize("budget", [2, 5])
def test_an_incarnation_does_not_use_again_what_the_one_before_had_used(budget: int) -> None:
    """All are killed once they have used what they may, and start again at once."""
    simulation = run_scenario("together", 20, budget, 400 * NS_PER_MS, 3, 0)
    for server in simulation.servers:
        simulation.after(WINDOW_NS, simulation.restart, server, 1 * NS_PER_MS)
    simulation.run(2 * WINDOW_NS)
    assert simulation.largest_mean() <= budget + 2


@pytest.mark.parametrize("pause_s", [1, 6, 60])
def test_no_server_uses_after_a_pause_what_it_saved_up_in_it(pause_s: int) -> None:
    """In any window after it no more than its share, and the calls open as it was paused."""
    simulation = run_scenario("together", 20, 5, 50 * NS_PER_MS, 4, 4 * NS_PER_S)
    for server in simulation.servers:
        simulation.pause(server, pause_s * NS_PER_S)
    simulation.run((4 + pause_s + 8) * NS_PER_S)
    assert simulation.largest_mean() <= budget_with_chance(5)
