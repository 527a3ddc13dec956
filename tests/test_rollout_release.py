"""Waves, and the transition table of a release over all sequences of five inputs."""

from dataclasses import replace
from itertools import product

import pytest

from burlloom.rollout.release import (
    RULES,
    Release,
    ReleaseInput,
    ReleasePhase,
    Wave,
    apply_input,
    find_wave_faults,
    parse_wave,
)


def test_a_halted_release_continues_by_an_order_and_finishes_after_its_last_wave() -> None:
    """Also checks that the sequences reach each state and input of the table."""
    reached = set()
    for inputs in product(ReleaseInput, repeat=5):
        release = Release(1, target_version="v2", previous_version="v1", waves=(1, 1.0))
        for received in inputs:
            before, moved = release, apply_input(release, received, 0, "")
            if moved is not None:
                reached.add((before.phase, received))
                release = moved[0]
            if moved is not None and moved[1] == "finish_release":
                assert before.wave_index == 1
                assert received is ReleaseInput.EVALUATED_HEALTHY
            was_halted = before.phase is ReleasePhase.HALTED
            if was_halted and release.phase is not ReleasePhase.HALTED:
                assert received in (ReleaseInput.RESUME, ReleaseInput.ROLLBACK)
            if before.is_rollback and release.phase is ReleasePhase.ROLLING:
                assert before.phase is ReleasePhase.IDLE
    assert reached == set(RULES)


@pytest.mark.parametrize(("wave_index", "count"), [(0, 1), (1, 3), (2, 15), (3, 30)])
def test_the_target_count_of_a_wave_is_its_number_or_share_of_servers(
    wave_index: int, count: int
) -> None:
    release = Release(waves=(1, 0.1, 0.5, 1.0))
    assert replace(release, wave_index=wave_index).compute_target_count(30) == count


@pytest.mark.parametrize(("text", "wave"), [(3, 3), ("3", 3), ("10%", 0.1), ("100%", 1.0)])
def test_a_wave_is_parsed_as_a_number_or_a_share(text: int | str, wave: Wave) -> None:
    assert parse_wave(text) == wave


@pytest.mark.parametrize("waves", [(1, 5, 0.5, 1.0), (1.0,)])
def test_waves_that_grow_to_the_whole_fleet_are_valid(waves: tuple[Wave, ...]) -> None:
    assert not find_wave_faults(waves)


@pytest.mark.parametrize("waves", [(), (1,), (0.5, 1, 1.0), (1, 1, 1.0), (0, 1.0), (0.5, 1.5)])
def test_waves_that_do_not_grow_to_the_whole_fleet_are_invalid(waves: tuple[Wave, ...]) -> None:
    assert find_wave_faults(waves)
