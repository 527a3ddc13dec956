"""A cold start that holds for the fleet: the sum of what all servers have in hand below, from the
first moment on.
"""

import pytest
from cold_fleet import MS, SECOND, SPAN, STORIES, bound, story


@pytest.mark.parametrize("total", [1, 2, 5, 24])
@pytest.mark.parametrize("processes", [20, 30])
@pytest.mark.parametrize("name", STORIES)
def test_the_sum_over_all_servers_stays_at_the_budget_but_for_chance(
    name: str, processes: int, total: int
) -> None:
    """As a mean over the span that the settings name; and each budget, however small, is used."""
    for seed, call in ((1, 50 * MS), (2, 400 * MS)):
        world = story(name, processes, total, call, seed, 16 * SECOND)
        mean, _ = world.worst()
        assert mean <= bound(total), (seed, mean)
        assert world.made >= total * 4, (seed, world.made)


@pytest.mark.parametrize("total", [1, 2, 5, 10])
@pytest.mark.parametrize("processes", [20, 30])
def test_servers_that_start_together_do_not_call_in_step(processes: int, total: int) -> None:
    """At no moment of a start are more in hand than the budget and chance: not one each, as each
    may have one.
    """
    for seed in range(1, 6):
        world = story("together", processes, total, 50 * MS, seed, SECOND)
        assert max(count for _, count in world.steps) <= bound(total), seed


@pytest.mark.parametrize("total", [2, 5])
def test_a_life_does_not_spend_again_what_the_one_before_had_spent(total: int) -> None:
    """All are killed once they have used what they may, and start at once: together no more over
    any span.
    """
    world = story("together", 20, total, 400 * MS, 3, 0)
    for server in world.servers:
        world.at(world.begun + SPAN, "dies", server, 1 * MS)
    for _ in world.play(2 * SPAN):
        pass
    assert world.worst()[0] <= total + 2, world.worst()


def test_no_server_spends_after_a_pause_what_it_saved_up_in_it() -> None:
    """Each slept as long as it likes: in any span after it no more than its share, and those in
    hand as it slept.
    """
    for sleep in (1, 6, 60):
        world = story("together", 20, 5, 50 * MS, 4, 4 * SECOND)
        for server in world.servers:
            world.sleeps(server, sleep * SECOND)
        for _ in world.play((4 + sleep + 8) * SECOND):
            pass
        assert world.worst()[0] <= bound(5), (sleep, world.worst())
