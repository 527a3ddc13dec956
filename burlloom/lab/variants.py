"""The ways that a world is played, side by side: without levels, with them, plain baselines, and
levels with a part left out.
"""

from collections.abc import Callable
from dataclasses import replace

from ..levels import DEFAULT_PLAN, HysteresisPolicy, LevelPlan, SignalBounds
from ..server.configured_service_levels import ConfiguredServiceLevels
from ..server.server import Server
from ..server.service_levels import ServiceLevels

Leveler = Callable[[Server], ServiceLevels] | None
SECOND = 1_000_000_000
UNBOUND = 1 << 30


def leveler(plan: LevelPlan, terms: HysteresisPolicy | None = None) -> Leveler:
    def make(server: Server) -> ServiceLevels:
        facts, orders = server.config.settings, server.config
        return ConfiguredServiceLevels(
            plan,
            tuple(zip(orders.class_names, facts.request_classes, strict=True)),
            orders.tenant_portions,
            facts.cores,
            lambda: server.clock(),
            lambda: len(server.listener.connections) / server.listener.max_connections,
            policy=terms,
            gauge_names=frozenset(orders.gauge_names),
        )

    return make


def without_hysteresis(plan: LevelPlan) -> LevelPlan:
    """Each level is left where it was entered."""
    levels = tuple(
        replace(
            level,
            bounds={
                name: SignalBounds(bound.enter, bound.enter * 0.999)
                for name, bound in level.bounds.items()
            },
        )
        for level in plan.levels
    )
    return replace(plan, levels=levels)


def base() -> HysteresisPolicy:
    return HysteresisPolicy(DEFAULT_PLAN.automatic_levels)


def threshold() -> HysteresisPolicy:
    """Moves each round that says so."""
    return HysteresisPolicy(
        DEFAULT_PLAN.automatic_levels,
        dwell_ns=0,
        min_stay_ns=0,
        max_stay_ns=0,
        relapse_ns=0,
        trial_step_ns=0,
        max_changes_per_minute=UNBOUND,
        stay_doubles=False,
        uses_trials=False,
    )


VARIANTS: dict[str, Callable[[], Leveler]] = {
    "none": lambda: None,
    "levels": lambda: leveler(DEFAULT_PLAN),
    "threshold": lambda: leveler(without_hysteresis(DEFAULT_PLAN), threshold()),
    "threshold-hold": lambda: leveler(
        without_hysteresis(DEFAULT_PLAN),
        replace(threshold(), dwell_ns=SECOND, min_stay_ns=3 * SECOND),
    ),
    "no-stay": lambda: leveler(DEFAULT_PLAN, replace(base(), min_stay_ns=0, stay_doubles=False)),
    "no-growth": lambda: leveler(DEFAULT_PLAN, replace(base(), stay_doubles=False)),
    "no-trial": lambda: leveler(DEFAULT_PLAN, replace(base(), uses_trials=False)),
    "no-cap": lambda: leveler(DEFAULT_PLAN, replace(base(), max_changes_per_minute=UNBOUND)),
}
