"""Tests of the service levels: state machine, plans, signals, and their effect in a fleet."""

import json
from dataclasses import replace
from random import Random
from typing import Any

import pytest
from explore_levels import NOW_NS, Explorer
from hypothesis import given, settings
from hypothesis import strategies as st
from test_fleet import fleet

from burlloom.admission.model import Degradation, Idempotency, RequestClass
from burlloom.lab import run_scenario
from burlloom.lab.emulator import Observer
from burlloom.lab.variants import VARIANTS, levels_factory
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
    TenantExcessDetector,
    build_degradations,
    max_changes_per_minute,
    state_machine,
)
from burlloom.levels.plan import DROP_ALL_VALUES, find_plan_faults
from burlloom.levels.signals import SIGNAL_NAMES, SignalAggregator
from burlloom.time_units import NS_PER_SECOND


def make_request_class(
    value: float, kind: Idempotency = Idempotency.IDEMPOTENT, max_staleness_ns: int = 0
) -> RequestClass:
    return RequestClass(
        2 * NS_PER_SECOND,
        0.0,
        6 * NS_PER_SECOND,
        kind,
        18 * NS_PER_SECOND,
        0.0,
        0.0,
        value,
        max_staleness_ns,
    )


REQUEST_CLASSES = (
    ("look", make_request_class(1)),
    ("set", make_request_class(2)),
    ("pay", make_request_class(5, Idempotency.KEYED)),
)


def coarse_policy(tick_ns: int, level_count: int, **overrides: Any) -> HysteresisPolicy:
    return HysteresisPolicy(
        **{
            "level_count": level_count,
            "dwell_ns": tick_ns,
            "min_stay_ns": tick_ns,
            "max_stay_ns": 4 * tick_ns,
            "relapse_ns": 2 * tick_ns,
            "trial_step_ns": tick_ns,
            **overrides,
        }
    )


@pytest.mark.parametrize(
    ("level_count", "max_changes", "tick_s", "min_states"),
    [(2, 2, 10, 60), (3, 3, 10, 400), (4, 4, 10, 2000), (4, 6, 15, 400)],
)
@pytest.mark.parametrize("uses_trials", [True, False])
def test_no_history_exceeds_the_cap_on_changes_per_minute(
    level_count: int, max_changes: int, tick_s: int, min_states: int, uses_trials: bool
) -> None:
    policy = coarse_policy(
        tick_s * NS_PER_SECOND,
        level_count,
        max_changes_per_minute=max_changes,
        uses_trials=uses_trials,
    )
    explorer = Explorer(policy, tick_s * NS_PER_SECOND)
    assert explorer.explore(range(level_count)) > (min_states if uses_trials else min_states // 8)
    assert explorer.max_changes <= max_changes_per_minute(policy) == max_changes


@pytest.mark.parametrize(
    ("row", "broken"),
    [
        (
            "TRIAL  BETTER     has_trial_step_elapsed is_last_trial_step is_within_cap STEADY up",
            "TRIAL  BETTER     has_trial_step_elapsed is_last_trial_step STEADY up",
        ),
        (
            "TRIAL  WORSE      -                                     STEADY abort",
            "TRIAL  WORSE      -                                     STEADY up",
        ),
    ],
)
def test_exploration_finds_a_broken_transition(
    row: str, broken: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert row in state_machine.TRANSITION_TABLE
    monkeypatch.setattr(
        state_machine,
        "RULES",
        state_machine.parse_rules(state_machine.TRANSITION_TABLE.replace(row, broken)),
    )
    explorer = Explorer(
        coarse_policy(10 * NS_PER_SECOND, 3, max_changes_per_minute=3, uses_trials=False),
        10 * NS_PER_SECOND,
    )
    with pytest.raises(AssertionError):
        explorer.explore(range(3))
        assert explorer.max_changes <= 3


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
def test_long_histories_with_rounds_of_100_ms_keep_the_cap(
    history: list[tuple[DegradationEvent, int]], start: int
) -> None:
    policy = HysteresisPolicy(4)
    machine, now_ns, change_times = DegradationStateMachine(policy), NOW_NS, []
    status = machine.start(start, now_ns)
    for event, rounds in history:
        now_ns += rounds * NS_PER_SECOND // 10
        change = machine.handle(status, event, now_ns, 3)
        status = change.after
        if change.has_changed_level:
            change_times.append(now_ns)
            assert len([time for time in change_times if time > now_ns - 60 * NS_PER_SECOND]) <= 4
        assert machine.min_stay_ns(status) <= policy.max_stay_ns


def test_the_minimum_stay_grows_with_each_relapse() -> None:
    machine, now_ns = (
        DegradationStateMachine(HysteresisPolicy(2, max_changes_per_minute=100)),
        NOW_NS,
    )
    status = machine.start(1, now_ns)
    stays_s = []
    for _ in range(4):
        entered_at_ns = now_ns
        while status.level:
            now_ns += NS_PER_SECOND // 10
            status = machine.handle(status, DegradationEvent.BETTER, now_ns).after
        stays_s.append((now_ns - entered_at_ns) // NS_PER_SECOND)
        now_ns += 2 * NS_PER_SECOND
        status = machine.handle(status, DegradationEvent.WORSE, now_ns).after
    assert stays_s == sorted(stays_s) and stays_s[-1] >= 2 * stays_s[0], stays_s


def make_controller(**options: Any) -> DegradationController:
    return DegradationController(
        DEFAULT_PLAN, build_degradations(DEFAULT_PLAN, REQUEST_CLASSES), NOW_NS, **options
    )


CLEAR_READINGS = SignalReadings(
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


def run_rounds(
    controller: DegradationController, readings: SignalReadings, seconds: float, now_ns: int
) -> int:
    for _ in range(int(seconds * 10)):
        now_ns += NS_PER_SECOND // 10
        controller.tick(now_ns, readings)
    return now_ns


def test_a_node_steps_down_under_load_and_returns_to_the_first_level() -> None:
    controller = make_controller()
    now_ns = run_rounds(
        controller, replace(CLEAR_READINGS, pressure=0.6, cpu_utilization=1.0), 6, NOW_NS
    )
    assert controller.level_name == "essential"
    assert controller.status.phase is DegradationPhase.STEADY
    now_ns = run_rounds(controller, CLEAR_READINGS, 20, now_ns)
    assert (
        controller.level_name in ("essential", "lean")
        and controller.trial_share > 0
        or controller.level_name == "lean"
    )
    now_ns = run_rounds(controller, CLEAR_READINGS, 150, now_ns)
    assert controller.level_name == "normal"
    assert controller.transition_counts["up"] == 2
    assert sum(controller.time_at_level_ns.values()) == now_ns - NOW_NS


def test_missing_or_stale_signals_never_lead_to_a_step_up() -> None:
    controller = make_controller()
    now_ns = run_rounds(
        controller, replace(CLEAR_READINGS, pressure=0.6, cpu_utilization=1.0), 6, NOW_NS
    )
    run_rounds(controller, SignalReadings(), 300, now_ns)
    assert controller.level_name == "essential"
    assert not controller.trial_share
    signals = SignalAggregator()
    signals.add_readings(NOW_NS, CLEAR_READINGS)
    assert set(signals.values(NOW_NS)) == set(SIGNAL_NAMES)
    assert signals.values(NOW_NS + 20 * NS_PER_SECOND) == {}


def test_a_node_starts_at_the_cold_start_level_or_at_that_of_its_last_incarnation() -> None:
    assert make_controller(cold=True).level_name == "lean"
    assert make_controller(previous_level="highest").level_name == "highest"
    # Only an operator ends a drain, so the node starts at the last automatic level.
    assert make_controller(previous_level="drain").level_name == "highest"
    assert make_controller(previous_level="no-longer-there").level_name == "normal"


def test_an_emergency_is_immediate_and_only_an_emergency_overrides_a_pin() -> None:
    controller = make_controller()
    run_rounds(controller, replace(CLEAR_READINGS, memory_utilization=0.99), 0.1, NOW_NS)
    assert controller.level_name == "highest"
    assert controller.transition_counts["drop"] == 1
    now_ns = run_rounds(controller, CLEAR_READINGS, 2, NOW_NS)
    controller.set_pin(now_ns, LevelPin("normal", NOW_NS + 9 * NS_PER_SECOND))
    assert controller.level_name == "normal"
    run_rounds(controller, replace(CLEAR_READINGS, pressure=1.0, cpu_utilization=1.0), 3, now_ns)
    assert controller.level_name == "normal"
    assert controller.status.phase is DegradationPhase.PINNED
    run_rounds(
        controller, replace(CLEAR_READINGS, memory_utilization=0.99), 1, NOW_NS + 6 * NS_PER_SECOND
    )
    assert controller.level_name == "highest"  # an emergency overrides the pin
    run_rounds(controller, CLEAR_READINGS, 5, NOW_NS + 7 * NS_PER_SECOND)
    assert controller.status.phase is not DegradationPhase.PINNED  # the pin has expired


def test_restrictions_of_the_default_plan() -> None:
    normal, lean, essential, highest, drain = build_degradations(DEFAULT_PLAN, REQUEST_CLASSES)
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


def test_all_faults_of_a_plan_are_found_at_once() -> None:
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
    faults = find_plan_faults(plan, REQUEST_CLASSES, SIGNAL_NAMES)
    for expected in (
        "levels.0 (normal): the first level must be without bounds and restrictions",
        "levels.2 (a): another level has the same name",
        "levels.1 (a).age: leave 0.3 must be below enter 0.2",
        "levels.1 (a).heat: unknown signal",
        "levels.1 (a).products: unknown product 'buy'",
        "levels.2 (a).kept: pay is not idempotent",
        "levels.2 (a).kept: look has no maximum age of a cached result",
        "levels.2 (a).skips: a result of set has no value",
        "levels.2 (a).hold: 2 is not a share",
        "levels.2 (a).age: enter 0.1 must be at least 0.2, that of the level before it, a",
        "emergencies.memory: unknown level 'b'",
        "cold: unknown level 'c'",
    ):
        assert any(line.startswith(expected) for line in faults), (expected, faults)
    assert len(faults) == 12
    with pytest.raises(InvalidPlanError):
        build_degradations(plan, REQUEST_CLASSES)
    with pytest.raises(ValueError, match="could never return"):
        HysteresisPolicy(5, max_changes_per_minute=4)


def test_only_the_excess_of_a_tenant_over_its_share_is_marked() -> None:
    tenants = TenantExcessDetector([("a", 0.5), ("b", 0.5)])
    random, marked = Random(1), {"a": 0, "b": 0}
    for n in range(4000):
        tenant = "a" if random.random() < 0.8 else "b"
        marked[tenant] += tenants.is_over_share(NOW_NS + n * NS_PER_SECOND // 100, tenant)
    # Tenant a sends four of five requests and may have as many as tenant b, one of five: three of
    # four of its requests are in excess.
    assert 2200 < marked["a"] < 2500
    assert not marked["b"]
    assert not tenants.is_over_share(NOW_NS, "unknown")
    fair = TenantExcessDetector([("a", 0.6), ("b", 0.4)])
    assert not any(
        fair.is_over_share(NOW_NS + n * NS_PER_SECOND // 10, "a" if random.random() < 0.6 else "b")
        for n in range(5000)
    )


@pytest.mark.parametrize(
    ("low", "high", "period"),
    [(0.6, 1.5, 2), (0.6, 1.5, 5), (0.6, 1.5, 10), (0.6, 1.5, 30), (0.2, 0.4, 5)],
)
def test_a_sawtooth_load_changes_levels_at_most_four_times_a_minute(
    low: float, high: float, period: float
) -> None:
    changes_by_node: dict[str, list[float]] = {}

    def collect_changes(emulator: Any) -> dict[str, float]:
        for node in emulator.nodes:
            status = node.server.subsystems.levels.controller.status
            changes_by_node.setdefault(node.name, []).extend(
                status.recent_changes[-1:]
                if status.recent_changes[-1:] != tuple(changes_by_node.get(node.name, [])[-1:])
                else ()
            )
        return {}

    world = fleet(2, 60, 4, low=low, high=high, period_s=period, shape="sawtooth", noise=0.1)
    outcome = run_scenario(
        world, make_levels=VARIANTS["levels"](), observer=Observer(collect_changes)
    )
    assert not outcome.violations
    assert all(
        len([change for change in changes if end - 60 * NS_PER_SECOND < change <= end]) <= 4
        for changes in changes_by_node.values()
        for end in changes
    )
    assert any(changes_by_node.values()) == (high > 1)


def test_requests_that_ran_are_answered_at_a_level_that_rejects_all_new_ones() -> None:
    """The level is entered at once; requests that ran before still get their results."""
    plan = LevelPlan(
        (
            LevelDefinition("normal"),
            LevelDefinition(
                "shut", {"use": SignalBounds(0.2, 0.01)}, dropped_values=DROP_ALL_VALUES
            ),
        )
    )
    outcome = run_scenario(
        fleet(
            3,
            12,
            5,
            {"kind": "flood", "at_s": 1, "for_s": 9, "size": 2, "product": "pay"},
            low=0.9,
            high=0.9,
        ),
        make_levels=levels_factory(plan, HysteresisPolicy(2)),
    )
    assert not outcome.violations
    assert outcome.counts["declined"] > 200
    assert outcome.counts["settled"] > 5


def test_levels_that_are_never_entered_change_no_outcome() -> None:
    world = fleet(3, 8, 6, low=1.2, high=1.2)
    unentered_plan = LevelPlan(
        (
            LevelDefinition("normal"),
            LevelDefinition("never", {"use": SignalBounds(1e9, 1)}, dropped_values=1),
        )
    )
    assert json.dumps(run_scenario(world).counts) == json.dumps(
        run_scenario(world, make_levels=levels_factory(unentered_plan, HysteresisPolicy(2))).counts
    )
