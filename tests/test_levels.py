"""The ladder walked whole, plans with faults, signals, and what a level does to txns at the
decisions and in a fleet.
"""

import json
from dataclasses import replace
from random import Random
from typing import Any

import pytest
from explore_levels import NOW, SECOND, Explorer
from hypothesis import given, settings
from hypothesis import strategies as st
from test_fleet import fleet

from burlloom.admission.model import Degradation, Idempotency, RequestClass
from burlloom.lab import play
from burlloom.lab.emulator import Watch
from burlloom.lab.variants import VARIANTS, leveler
from burlloom.levels import (
    DEFAULT_PLAN,
    DegradationController,
    DegradationEvent,
    DegradationPhase,
    DegradationStateMachine,
    HysteresisPolicy,
    InvalidPlanError,
    LevelDefinition,
    LevelPin,
    LevelPlan,
    SignalBounds,
    SignalReadings,
    TenantShares,
    degradations,
    max_changes_per_minute,
)
from burlloom.levels import state_machine as ladder
from burlloom.levels.plan import ALL_VALUES, find_plan_faults
from burlloom.levels.signals import SIGNAL_NAMES, SignalAggregator


def product(
    value: float, kind: Idempotency = Idempotency.IDEMPOTENT, stale: int = 0
) -> RequestClass:
    return RequestClass(2 * SECOND, 0.0, 6 * SECOND, kind, 18 * SECOND, 0.0, 0.0, value, stale)


PRODUCTS = (("look", product(1)), ("set", product(2)), ("pay", product(5, Idempotency.KEYED)))


def coarse(tick: int, levels: int, **more: Any) -> HysteresisPolicy:
    return HysteresisPolicy(
        **{
            "level_count": levels,
            "dwell_ns": tick,
            "min_stay_ns": tick,
            "max_stay_ns": 4 * tick,
            "relapse_ns": 2 * tick,
            "trial_step_ns": tick,
            **more,
        }
    )


@pytest.mark.parametrize(
    ("levels", "most", "tick", "states"),
    [(2, 2, 10, 60), (3, 3, 10, 400), (4, 4, 10, 2000), (4, 6, 15, 400)],
)
@pytest.mark.parametrize("trials", [True, False])
def test_no_history_has_more_changes_a_minute_than_stated(
    levels: int, most: int, tick: int, states: int, trials: bool
) -> None:
    terms = coarse(tick * SECOND, levels, max_changes_per_minute=most, uses_trials=trials)
    explorer = Explorer(terms, tick * SECOND)
    assert explorer.walk(range(levels)) > (states if trials else states // 8)
    assert explorer.most <= max_changes_per_minute(terms) == most


@pytest.mark.parametrize(
    ("row", "broken"),
    [
        (
            "TRIAL  BETTER     tried widest within_cap STEADY up",
            "TRIAL  BETTER     tried widest         STEADY up",
        ),
        (
            "TRIAL  WORSE      -                    STEADY abort",
            "TRIAL  WORSE      -                    STEADY up",
        ),
    ],
)
def test_a_broken_row_is_caught(row: str, broken: str, monkeypatch: pytest.MonkeyPatch) -> None:
    assert row in ladder.TABLE
    monkeypatch.setattr(ladder, "RULES", ladder.rules(ladder.TABLE.replace(row, broken)))
    explorer = Explorer(
        coarse(10 * SECOND, 3, max_changes_per_minute=3, uses_trials=False), 10 * SECOND
    )
    with pytest.raises(AssertionError):
        explorer.walk(range(3))
        assert explorer.most <= 3


@settings(max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(
                [
                    DegradationEvent.SAME,
                    DegradationEvent.WORSE,
                    DegradationEvent.BETTER,
                    DegradationEvent.EMERGENCY,
                ]
            ),
            st.integers(1, 200),
        ),
        max_size=400,
    ),
    st.integers(0, 3),
)
def test_long_histories_at_full_resolution(
    history: list[tuple[DegradationEvent, int]], start: int
) -> None:
    terms = HysteresisPolicy(4)
    walker, now, moves = DegradationStateMachine(terms), NOW, []
    at = walker.start(start, now)
    for what, rounds in history:
        now += rounds * SECOND // 10
        change = walker.handle(at, what, now, 3)
        at = change.after
        if change.has_changed_level:
            moves.append(now)
            assert len([move for move in moves if move > now - 60 * SECOND]) <= 4
        assert walker.min_stay_ns(at) <= terms.max_stay_ns


def test_a_level_left_too_early_is_kept_longer_each_time() -> None:
    walker, now = DegradationStateMachine(HysteresisPolicy(2, max_changes_per_minute=100)), NOW
    at = walker.start(1, now)
    waits = []
    for _ in range(4):
        began = now
        while at.level:
            now += SECOND // 10
            at = walker.handle(at, DegradationEvent.BETTER, now).after
        waits.append((now - began) // SECOND)
        now += 2 * SECOND
        at = walker.handle(at, DegradationEvent.WORSE, now).after
    assert waits == sorted(waits) and waits[-1] >= 2 * waits[0], waits


def of_plan(**more: Any) -> DegradationController:
    return DegradationController(DEFAULT_PLAN, degradations(DEFAULT_PLAN, PRODUCTS), NOW, **more)


CALM = SignalReadings(
    cpu_utilization=0.3,
    contention=0.3,
    queue_age=0.0,
    read_lag=0.0,
    pressure=0.0,
    late_share=0.0,
    call_failure_share=0.0,
    store_load=0.0,
    memory_utilization=0.3,
    socket_utilization=0.1,
)


def after(levels: DegradationController, readings: SignalReadings, seconds: float, now: int) -> int:
    for _ in range(int(seconds * 10)):
        now += SECOND // 10
        levels.tick(now, readings)
    return now


def test_it_steps_down_and_works_its_way_back() -> None:
    levels = of_plan()
    now = after(levels, replace(CALM, pressure=0.6, cpu_utilization=1.0), 6, NOW)
    assert levels.level == "essential"
    assert levels.status.phase is DegradationPhase.STEADY
    now = after(levels, CALM, 20, now)
    assert (
        levels.level in ("essential", "lean") and levels.trial_share > 0 or levels.level == "lean"
    )
    now = after(levels, CALM, 150, now)
    assert levels.level == "normal"
    assert levels.transition_counts["up"] == 2
    assert sum(levels.time_at_level_ns.values()) == now - NOW


def test_signals_that_are_missing_or_stale_never_raise_service() -> None:
    levels = of_plan()
    now = after(levels, replace(CALM, pressure=0.6, cpu_utilization=1.0), 6, NOW)
    after(levels, SignalReadings(), 300, now)
    assert levels.level == "essential"
    assert not levels.trial_share
    signals = SignalAggregator()
    signals.take(NOW, CALM)
    assert set(signals.values(NOW)) == set(SIGNAL_NAMES)
    assert signals.values(NOW + 20 * SECOND) == {}


def test_cold_nodes_and_those_that_died_low_start_low() -> None:
    assert of_plan(cold=True).level == "lean"
    assert of_plan(previous_level="highest").level == "highest"
    assert of_plan(previous_level="drain").level == "highest"  # from there it comes up by itself
    assert of_plan(previous_level="no-longer-there").level == "normal"


def test_an_emergency_goes_at_once_and_a_pin_holds() -> None:
    levels = of_plan()
    after(levels, replace(CALM, memory_utilization=0.99), 0.1, NOW)
    assert levels.level == "highest"
    assert levels.transition_counts["drop"] == 1
    now = after(levels, CALM, 2, NOW)
    levels.set_pin(now, LevelPin("normal", NOW + 9 * SECOND))
    assert levels.level == "normal"
    after(levels, replace(CALM, pressure=1.0, cpu_utilization=1.0), 3, now)
    assert levels.level == "normal"
    assert levels.status.phase is DegradationPhase.PINNED
    after(levels, replace(CALM, memory_utilization=0.99), 1, NOW + 6 * SECOND)
    assert levels.level == "highest"  # not even a pin stands against it
    after(levels, CALM, 5, NOW + 7 * SECOND)
    assert levels.status.phase is not DegradationPhase.PINNED  # its time was over


def test_what_the_shipped_levels_take_away() -> None:
    normal, lean, essential, highest, drain = degradations(DEFAULT_PLAN, PRODUCTS)
    assert normal == Degradation()
    assert lean.rejected_classes == (False, False, False)
    assert lean.retry_rejecting_classes == (True, True, False)
    assert lean.rejects_over_share
    assert essential.rejected_classes == (True, False, False)
    assert round(essential.priority_floor, 2) == 0.33
    assert highest.rejected_classes == (True, True, False)
    assert highest.queue_share == 0.5
    assert drain.rejected_classes == (True, True, True)
    assert drain.priority_floor == 1


def test_all_faults_of_a_plan_at_once() -> None:
    plan = LevelPlan(
        (
            LevelDefinition("normal", queue_share=0.5),
            LevelDefinition(
                "a",
                {"age": SignalBounds(0.2, 0.3), "heat": SignalBounds(2, 1)},
                dropped_classes=("buy",),
            ),
            LevelDefinition(
                "a",
                {"age": SignalBounds(0.1, 0.05)},
                cached_classes=("pay", "look"),
                classes_without_calls=("set",),
                queue_share=2.0,
            ),
        ),
        {"memory": (0.9, "b")},
        cold_start_level="c",
    )
    told = find_plan_faults(plan, PRODUCTS, SIGNAL_NAMES)
    for expected in (
        "levels.0 (normal): the first level takes nothing",
        "levels.2 (a): the name stands twice",
        "levels.1 (a).age: it is left at 0.3",
        "levels.1 (a).heat: there is no such signal",
        "levels.1 (a).products: there is no product 'buy'",
        "levels.2 (a).kept: pay has an effect",
        "levels.2 (a).kept: look allows no kept result",
        "levels.2 (a).skips: an answer of set",
        "levels.2 (a).hold: 2 is no share",
        "levels.2 (a).age: it is entered at 0.1, before a at 0.2",
        "emergencies.memory: there is no level 'b'",
        "cold: there is no level 'c'",
    ):
        assert any(line.startswith(expected) for line in told), (expected, told)
    assert len(told) == 12
    with pytest.raises(InvalidPlanError):
        degradations(plan, PRODUCTS)
    with pytest.raises(ValueError, match="could never come back"):
        HysteresisPolicy(5, max_changes_per_minute=4)


def test_tenants_past_their_share() -> None:
    tenants = TenantShares([("a", 0.5), ("b", 0.5)])
    chance, past = Random(1), {"a": 0, "b": 0}
    for n in range(4000):
        tenant = "a" if chance.random() < 0.8 else "b"
        past[tenant] += tenants.is_over_share(NOW + n * SECOND // 100, tenant)
    # Of four in five it may have as much as the other: three in four of its txns are past its
    # share.
    assert 2200 < past["a"] < 2500
    assert not past["b"]
    assert not tenants.is_over_share(NOW, "unknown")
    fair = TenantShares([("a", 0.6), ("b", 0.4)])
    assert not any(
        fair.is_over_share(NOW + n * SECOND // 10, "a" if chance.random() < 0.6 else "b")
        for n in range(5000)
    )


@pytest.mark.parametrize(
    ("low", "high", "period"),
    [(0.6, 1.5, 2), (0.6, 1.5, 5), (0.6, 1.5, 10), (0.6, 1.5, 30), (0.2, 0.4, 5)],
)
def test_a_sawtooth_changes_levels_a_few_times_a_minute(
    low: float, high: float, period: float
) -> None:
    moves: dict[str, list[float]] = {}

    def row(play: Any) -> dict[str, float]:
        for node in play.nodes:
            at = node.server.subsystems.levels.controller.status
            moves.setdefault(node.name, []).extend(
                at.recent_changes[-1:]
                if at.recent_changes[-1:] != tuple(moves.get(node.name, [])[-1:])
                else ()
            )
        return {}

    world = fleet(2, 60, 4, low=low, high=high, period_s=period, shape="sawtooth", noise=0.1)
    told = play(world, leveling=VARIANTS["levels"](), watch=Watch(row))
    assert not told.faults
    assert all(
        len([one for one in changes if at - 60 * SECOND < one <= at]) <= 4
        for changes in moves.values()
        for at in changes
    )
    assert any(moves.values()) == (high > 1)


def test_charges_that_ran_are_settled_at_every_level() -> None:
    """A level that gives everything up from the start on: nothing new is taken, and no rule is
    broken.
    """
    shut = LevelPlan(
        (
            LevelDefinition("normal"),
            LevelDefinition("shut", {"use": SignalBounds(0.2, 0.01)}, dropped_values=ALL_VALUES),
        )
    )
    told = play(
        fleet(
            3,
            12,
            5,
            {"kind": "flood", "at_s": 1, "for_s": 9, "size": 2, "product": "pay"},
            low=0.9,
            high=0.9,
        ),
        leveling=leveler(shut, HysteresisPolicy(2)),
    )
    assert not told.faults
    assert told.count["declined"] > 200
    assert told.count["settled"] > 5


def test_without_an_operators_file_nothing_changes() -> None:
    world = fleet(3, 8, 6, low=1.2, high=1.2)
    idle = LevelPlan(
        (
            LevelDefinition("normal"),
            LevelDefinition("never", {"use": SignalBounds(1e9, 1)}, dropped_values=1),
        )
    )
    assert json.dumps(play(world).count) == json.dumps(
        play(world, leveling=leveler(idle, HysteresisPolicy(2))).count
    )
