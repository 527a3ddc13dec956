"""Variants of service levels that experiments compare.

Without levels, with the default levels, plain threshold baselines, and the default levels with one
part of the hysteresis left out.
"""

from collections.abc import Callable
from dataclasses import replace

from ..levels import DEFAULT_PLAN, HysteresisPolicy, LevelPlan, SignalBounds
from ..server.configured_service_levels import ConfiguredServiceLevels
from ..server.server import Server
from ..server.service_levels import ServiceLevels
from ..time_units import NS_PER_SECOND

LevelsFactory = Callable[[Server], ServiceLevels] | None
UNLIMITED_CHANGES = 1 << 30  # level changes per minute


def levels_factory(plan: LevelPlan, policy: HysteresisPolicy | None = None) -> LevelsFactory:
    """Returns a function that creates a server's levels.

    Args:
        plan: The levels and their signal bounds.
        policy: When levels change; None: the policy of the plan.
    """

    def make(server: Server) -> ServiceLevels:
        settings, config = server.config.settings, server.config
        return ConfiguredServiceLevels(
            plan,
            tuple(zip(config.class_names, settings.request_classes, strict=True)),
            config.tenant_portions,
            settings.cores,
            lambda: server.clock(),
            lambda: len(server.listener.connections) / server.listener.max_connections,
            policy=policy,
            gauge_names=frozenset(config.gauge_names),
        )

    return make


def without_hysteresis(plan: LevelPlan) -> LevelPlan:
    """Returns a plan whose levels are left at about the bounds at which they are entered."""
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


def default_policy() -> HysteresisPolicy:
    """Returns the default policy."""
    return HysteresisPolicy(DEFAULT_PLAN.automatic_level_count)


def threshold_policy() -> HysteresisPolicy:
    """Returns a policy that changes the level in each round in which a signal calls for it."""
    return HysteresisPolicy(
        DEFAULT_PLAN.automatic_level_count,
        dwell_ns=0,
        min_stay_ns=0,
        max_stay_ns=0,
        relapse_ns=0,
        trial_step_ns=0,
        max_changes_per_minute=UNLIMITED_CHANGES,
        stay_doubles=False,
        uses_trials=False,
    )


# By name, a function that returns the factory of the levels; None in place of a factory: no levels.
VARIANTS: dict[str, Callable[[], LevelsFactory]] = {
    "none": lambda: None,
    "levels": lambda: levels_factory(DEFAULT_PLAN),
    "threshold": lambda: levels_factory(without_hysteresis(DEFAULT_PLAN), threshold_policy()),
    "threshold-hold": lambda: levels_factory(
        without_hysteresis(DEFAULT_PLAN),
        replace(threshold_policy(), dwell_ns=NS_PER_SECOND, min_stay_ns=3 * NS_PER_SECOND),
    ),
    "no-stay": lambda: levels_factory(
        DEFAULT_PLAN, replace(default_policy(), min_stay_ns=0, stay_doubles=False)
    ),
    "no-growth": lambda: levels_factory(
        DEFAULT_PLAN, replace(default_policy(), stay_doubles=False)
    ),
    "no-trial": lambda: levels_factory(DEFAULT_PLAN, replace(default_policy(), uses_trials=False)),
    "no-cap": lambda: levels_factory(
        DEFAULT_PLAN, replace(default_policy(), max_changes_per_minute=UNLIMITED_CHANGES)
    ),
}
