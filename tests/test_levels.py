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
    DEFAULT,
    Bounds,
    Input,
    Ladder,
    Level,
    Levels,
    Phase,
    Pin,
    Plan,
    PlanFaults,
    Readings,
    Tenants,
    Terms,
    ladder,
    most_changes,
    reliefs,
)
from burlloom.levels.plan import ALL, faults
from burlloom.levels.signals import NAMES, Signals


def product(
    value: float, kind: Idempotency = Idempotency.IDEMPOTENT, stale: int = 0
) -> RequestClass:
    return RequestClass(2 * SECOND, 0.0, 6 * SECOND, kind, 18 * SECOND, 0.0, 0.0, value, stale)


PRODUCTS = (("look", product(1)), ("set", product(2)), ("pay", product(5, Idempotency.KEYED)))


def coarse(tick: int, levels: int, **more: Any) -> Terms:
    return Terms(
        **{
            "levels": levels,
            "dwell": tick,
            "stay": tick,
            "stay_most": 4 * tick,
            "relapse": 2 * tick,
            "trial": tick,
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
    terms = coarse(tick * SECOND, levels, changes_most=most, trials=trials)
    explorer = Explorer(terms, tick * SECOND)
    assert explorer.walk(range(levels)) > (states if trials else states // 8)
    assert explorer.most <= most_changes(terms) == most


@pytest.mark.parametrize(
    ("row", "broken"),
    [
        (
            "TRIAL  BETTER     tried widest room    STEADY up",
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
    explorer = Explorer(coarse(10 * SECOND, 3, changes_most=3, trials=False), 10 * SECOND)
    with pytest.raises(AssertionError):
        explorer.walk(range(3))
        assert explorer.most <= 3


@settings(max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from([Input.SAME, Input.WORSE, Input.BETTER, Input.EMERGENCY]),
            st.integers(1, 200),
        ),
        max_size=400,
    ),
    st.integers(0, 3),
)
def test_long_histories_at_full_resolution(history: list[tuple[Input, int]], start: int) -> None:
    terms = Terms(4)
    walker, now, moves = Ladder(terms), NOW, []
    at = walker.start(start, now)
    for what, rounds in history:
        now += rounds * SECOND // 10
        change = walker.meet(at, what, now, 3)
        at = change.after
        if change.moved:
            moves.append(now)
            assert len([move for move in moves if move > now - 60 * SECOND]) <= 4
        assert walker.stay(at) <= terms.stay_most


def test_a_level_left_too_early_is_kept_longer_each_time() -> None:
    walker, now = Ladder(Terms(2, changes_most=100)), NOW
    at = walker.start(1, now)
    waits = []
    for _ in range(4):
        began = now
        while at.level:
            now += SECOND // 10
            at = walker.meet(at, Input.BETTER, now).after
        waits.append((now - began) // SECOND)
        now += 2 * SECOND
        at = walker.meet(at, Input.WORSE, now).after
    assert waits == sorted(waits) and waits[-1] >= 2 * waits[0], waits


def of_plan(**more: Any) -> Levels:
    return Levels(DEFAULT, reliefs(DEFAULT, PRODUCTS), NOW, **more)


CALM = Readings(
    use=0.3,
    crowd=0.3,
    age=0.0,
    lag=0.0,
    press=0.0,
    late=0.0,
    calls=0.0,
    store=0.0,
    memory=0.3,
    sockets=0.1,
)


def after(levels: Levels, readings: Readings, seconds: float, now: int) -> int:
    for _ in range(int(seconds * 10)):
        now += SECOND // 10
        levels.round(now, readings)
    return now


def test_it_steps_down_and_works_its_way_back() -> None:
    levels = of_plan()
    now = after(levels, replace(CALM, press=0.6, use=1.0), 6, NOW)
    assert levels.level == "essential"
    assert levels.standing.phase is Phase.STEADY
    now = after(levels, CALM, 20, now)
    assert levels.level in ("essential", "lean") and levels.part > 0 or levels.level == "lean"
    now = after(levels, CALM, 150, now)
    assert levels.level == "normal"
    assert levels.steps["up"] == 2
    assert sum(levels.spent.values()) == now - NOW


def test_signals_that_are_missing_or_stale_never_raise_service() -> None:
    levels = of_plan()
    now = after(levels, replace(CALM, press=0.6, use=1.0), 6, NOW)
    after(levels, Readings(), 300, now)
    assert levels.level == "essential"
    assert not levels.part
    signals = Signals()
    signals.take(NOW, CALM)
    assert set(signals.values(NOW)) == set(NAMES)
    assert signals.values(NOW + 20 * SECOND) == {}


def test_cold_nodes_and_those_that_died_low_start_low() -> None:
    assert of_plan(cold=True).level == "lean"
    assert of_plan(died_at="highest").level == "highest"
    assert of_plan(died_at="drain").level == "highest"  # from there it comes up by itself
    assert of_plan(died_at="no-longer-there").level == "normal"


def test_an_emergency_goes_at_once_and_a_pin_holds() -> None:
    levels = of_plan()
    after(levels, replace(CALM, memory=0.99), 0.1, NOW)
    assert levels.level == "highest"
    assert levels.steps["drop"] == 1
    now = after(levels, CALM, 2, NOW)
    levels.pinned(now, Pin("normal", NOW + 9 * SECOND))
    assert levels.level == "normal"
    after(levels, replace(CALM, press=1.0, use=1.0), 3, now)
    assert levels.level == "normal"
    assert levels.standing.phase is Phase.PINNED
    after(levels, replace(CALM, memory=0.99), 1, NOW + 6 * SECOND)
    assert levels.level == "highest"  # not even a pin stands against it
    after(levels, CALM, 5, NOW + 7 * SECOND)
    assert levels.standing.phase is not Phase.PINNED  # its time was over


def test_what_the_shipped_levels_take_away() -> None:
    normal, lean, essential, highest, drain = reliefs(DEFAULT, PRODUCTS)
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
    plan = Plan(
        (
            Level("normal", hold=0.5),
            Level("a", {"age": Bounds(0.2, 0.3), "heat": Bounds(2, 1)}, products=("buy",)),
            Level("a", {"age": Bounds(0.1, 0.05)}, kept=("pay", "look"), skips=("set",), hold=2.0),
        ),
        {"memory": (0.9, "b")},
        cold="c",
    )
    told = faults(plan, PRODUCTS, NAMES)
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
    with pytest.raises(PlanFaults):
        reliefs(plan, PRODUCTS)
    with pytest.raises(ValueError, match="could never come back"):
        Terms(5, changes_most=4)


def test_tenants_past_their_share() -> None:
    tenants = Tenants([("a", 0.5), ("b", 0.5)])
    chance, past = Random(1), {"a": 0, "b": 0}
    for n in range(4000):
        tenant = "a" if chance.random() < 0.8 else "b"
        past[tenant] += tenants.read(NOW + n * SECOND // 100, tenant)
    # Of four in five it may have as much as the other: three in four of its txns are past its
    # share.
    assert 2200 < past["a"] < 2500
    assert not past["b"]
    assert not tenants.read(NOW, "unknown")
    fair = Tenants([("a", 0.6), ("b", 0.4)])
    assert not any(
        fair.read(NOW + n * SECOND // 10, "a" if chance.random() < 0.6 else "b")
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
            at = node.server.subsystems.levels.levels.standing
            moves.setdefault(node.name, []).extend(
                at.changes[-1:] if at.changes[-1:] != tuple(moves.get(node.name, [])[-1:]) else ()
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
    shut = Plan((Level("normal"), Level("shut", {"use": Bounds(0.2, 0.01)}, gives_up=ALL)))
    told = play(
        fleet(
            3,
            12,
            5,
            {"kind": "flood", "at_s": 1, "for_s": 9, "size": 2, "product": "pay"},
            low=0.9,
            high=0.9,
        ),
        leveling=leveler(shut, Terms(2)),
    )
    assert not told.faults
    assert told.count["declined"] > 200
    assert told.count["settled"] > 5


def test_without_an_operators_file_nothing_changes() -> None:
    world = fleet(3, 8, 6, low=1.2, high=1.2)
    idle = Plan((Level("normal"), Level("never", {"use": Bounds(1e9, 1)}, gives_up=1)))
    assert json.dumps(play(world).count) == json.dumps(
        play(world, leveling=leveler(idle, Terms(2))).count
    )
