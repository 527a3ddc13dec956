"""The ways that a world is played, side by side: without levels, with them, plain baselines, and
levels with a part left out.
"""

from collections.abc import Callable
from dataclasses import replace

from ..levels import DEFAULT, Bounds, Plan, Terms
from ..server.server import Server
from ..server.service_levels import ConfiguredServiceLevels, ServiceLevels

Leveler = Callable[[Server], ServiceLevels] | None
SECOND = 1_000_000_000
UNBOUND = 1 << 30


def leveler(plan: Plan, terms: Terms | None = None) -> Leveler:
    def make(server: Server) -> ServiceLevels:
        facts, orders = server.config.settings, server.config
        return ConfiguredServiceLevels(
            plan,
            tuple(zip(orders.class_names, facts.request_classes, strict=True)),
            orders.tenant_portions,
            facts.cores,
            lambda: server.clock(),
            lambda: len(server.front.connections) / server.front.most,
            terms=terms,
            meters=frozenset(orders.gauge_names),
        )

    return make


def without_hysteresis(plan: Plan) -> Plan:
    """Each level is left where it was entered."""
    levels = tuple(
        replace(
            level,
            bounds={
                name: Bounds(bound.enter, bound.enter * 0.999)
                for name, bound in level.bounds.items()
            },
        )
        for level in plan.levels
    )
    return replace(plan, levels=levels)


def base() -> Terms:
    return Terms(DEFAULT.automatic)


def threshold() -> Terms:
    """Moves each round that says so."""
    return Terms(
        DEFAULT.automatic,
        dwell=0,
        stay=0,
        stay_most=0,
        relapse=0,
        trial=0,
        changes_most=UNBOUND,
        grows=False,
        trials=False,
    )


VARIANTS: dict[str, Callable[[], Leveler]] = {
    "none": lambda: None,
    "levels": lambda: leveler(DEFAULT),
    "threshold": lambda: leveler(without_hysteresis(DEFAULT), threshold()),
    "threshold-hold": lambda: leveler(
        without_hysteresis(DEFAULT), replace(threshold(), dwell=SECOND, stay=3 * SECOND)
    ),
    "no-stay": lambda: leveler(DEFAULT, replace(base(), stay=0, grows=False)),
    "no-growth": lambda: leveler(DEFAULT, replace(base(), grows=False)),
    "no-trial": lambda: leveler(DEFAULT, replace(base(), trials=False)),
    "no-cap": lambda: leveler(DEFAULT, replace(base(), changes_most=UNBOUND)),
}
