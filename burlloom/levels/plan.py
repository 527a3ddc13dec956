"""What the levels are: told by value and by what a repeat does, never by a product's name unless an
operator names one.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from ..admission.model import Degradation, Idempotency, RequestClass
from .signals import SignalBounds

DRAIN = "drain"


@dataclass(frozen=True, slots=True)
class LevelDefinition:
    """`gives_up`: of the values that products have, the lowest this many, all but the highest at
    the most; or ALL.

    `products` names what goes beside them, `kept` what is then answered from kept results alone.
    `repeats`: marked retries and copies of products up to the highest value are declined
    (inquiry-like ones). Bounds that are empty are never entered: such a level is reached by an
    emergency or a pin alone.
    """

    name: str
    bounds: Mapping[str, SignalBounds] = field(default_factory=dict)
    dropped_values: int = 0
    dropped_classes: tuple[str, ...] = ()
    cached_classes: tuple[str, ...] = ()
    classes_without_calls: tuple[str, ...] = ()
    rejects_retries: bool = False
    rejects_over_share: bool = False
    queue_share: float = 1.0
    allows_optional_work: bool = True  # whether the node's own optional work goes on


ALL_VALUES = 1 << 30
UNREACHABLE = (
    1e9  # an entry that no signal reaches: such a bound only says when a level may be left
)


@dataclass(frozen=True, slots=True)
class LevelPlan:
    """Ordered levels, the first of which takes nothing away. `emergencies`: signal to entry and
    level's name.
    """

    levels: tuple[LevelDefinition, ...]
    emergencies: Mapping[str, tuple[float, str]] = field(default_factory=dict)
    cold_start_level: str = ""  # where a cold node starts; empty: at the first

    @property
    def automatic_levels(self) -> int:
        """How many the ladder walks by itself: up to the last that has bounds, or that an emergency
        names.
        """
        named = {name for _, name in self.emergencies.values()}
        return max(
            (at + 1 for at, level in enumerate(self.levels) if level.bounds or level.name in named),
            default=1,
        )

    def index_of(self, name: str) -> int:
        return next(at for at, level in enumerate(self.levels) if level.name == name)


class InvalidPlanError(Exception):
    """The plan can't be used: a line for each fault, with its place."""

    def __init__(self, lines: list[str]) -> None:
        super().__init__("; ".join(lines))
        self.lines = lines


def find_plan_faults(
    plan: LevelPlan, products: Sequence[tuple[str, RequestClass]] = (), signals: Sequence[str] = ()
) -> list[str]:
    """All that is wrong with it, each with its place; against these products, where they are
    known.
    """
    found: list[str] = []
    names = [level.name for level in plan.levels]
    known = dict(products)
    if not plan.levels:
        return ["levels: there is none"]
    if takes(plan.levels[0]):
        found.append(f"levels.0 ({names[0]}): the first level takes nothing away")
    found += [
        f"levels.{at} ({name}): the name stands twice"
        for at, name in enumerate(names)
        if name in names[:at]
    ]
    found += [
        f"levels.{at}: a level needs a name of plain letters"
        for at, name in enumerate(names)
        if not name.replace("-", "").replace("_", "").isalnum()
    ]
    for at, level in enumerate(plan.levels):
        place = f"levels.{at} ({level.name})"
        for signal, bound in level.bounds.items():
            if signals and signal not in signals:
                found.append(
                    f"{place}.{signal}: there is no such signal; known are {', '.join(signals)}"
                )
            if bound.leave >= bound.enter:
                found.append(
                    f"{place}.{signal}: it is left at {bound.leave:g}, which is not below its entry"
                    f" {bound.enter:g}"
                )
        if not 0 <= level.queue_share <= 1:
            found.append(f"{place}.hold: {level.queue_share:g} is no share from 0 to 1")
        for what, listed in (
            ("products", level.dropped_classes),
            ("kept", level.cached_classes),
            ("skips", level.classes_without_calls),
        ):
            for name in listed:
                product = known.get(name)
                if known and product is None:
                    found.append(
                        f"{place}.{what}: there is no product {name!r}; known are {', '.join(known)}"
                    )
                elif (
                    product is not None
                    and what == "kept"
                    and product.idempotency is not Idempotency.IDEMPOTENT
                ):
                    found.append(
                        f"{place}.kept: {name} has an effect: what is kept of it can't stand for another's"
                    )
                elif product is not None and what == "kept" and not product.max_staleness_ns:
                    found.append(
                        f"{place}.kept: {name} allows no kept result; say for how long in kept_ms"
                    )
                elif (
                    product is not None and what == "skips" and not product.value_share_without_call
                ):
                    found.append(
                        f"{place}.skips: an answer of {name} is worth nothing without its calls here"
                    )
        if at and level.bounds and not plan.levels[at - 1].bounds and at > 1:
            found.append(
                f"{place}: it has bounds and {names[at - 1]} before it has none: it could never be reached"
            )
        if at > 1:
            for signal in level.bounds.keys() & plan.levels[at - 1].bounds.keys():
                before = plan.levels[at - 1].bounds[signal]
                if level.bounds[signal].enter < before.enter:
                    found.append(
                        f"{place}.{signal}: it is entered at {level.bounds[signal].enter:g}, before"
                        f" {names[at - 1]} at {before.enter:g}: levels out of order"
                    )
    for signal, (_, name) in plan.emergencies.items():
        if signals and signal not in signals:
            found.append(
                f"emergencies.{signal}: there is no such signal; known are {', '.join(signals)}"
            )
        if name not in names:
            found.append(
                f"emergencies.{signal}: there is no level {name!r}; known are {', '.join(names)}"
            )
    if plan.cold_start_level and plan.cold_start_level not in names:
        found.append(
            f"cold: there is no level {plan.cold_start_level!r}; known are {', '.join(names)}"
        )
    return found


def takes(level: LevelDefinition) -> bool:
    """Whether it takes anything away at all."""
    return bool(
        level.dropped_values
        or level.dropped_classes
        or level.cached_classes
        or level.classes_without_calls
        or level.rejects_retries
        or level.rejects_over_share
        or level.queue_share < 1
        or level.bounds
    )


def degradations(
    plan: LevelPlan, products: Sequence[tuple[str, RequestClass]]
) -> tuple[Degradation, ...]:
    """Each level as the decisions take it. Raises `PlanFaults`."""
    wrong = find_plan_faults(plan, products)
    if wrong:
        raise InvalidPlanError(wrong)
    values = sorted({product.value for _, product in products})
    made = []
    for at, level in enumerate(plan.levels):
        if not at:
            made.append(Degradation())
            continue
        gone = (
            set(values[: level.dropped_values])
            if level.dropped_values == ALL_VALUES
            else set(values[:-1][: level.dropped_values])
        )
        declined = tuple(
            product.value in gone or name in level.dropped_classes for name, product in products
        )
        kept = tuple(name in level.cached_classes for name, _ in products)
        # Of what has an effect, a marked retry may be of one that ran elsewhere: only what may run
        # again is refused for it.
        repeats = tuple(
            level.rejects_retries and product.idempotency is Idempotency.IDEMPOTENT
            for _, product in products
        )
        lowest = [
            product.value for (_, product), away in zip(products, declined, strict=True) if not away
        ]
        floor = sum(value < min(lowest) for value in values) / len(values) if lowest else 1.0
        made.append(
            Degradation(
                level.name,
                tuple(away and not stays for away, stays in zip(declined, kept, strict=True)),
                kept,
                repeats,
                tuple(name in level.classes_without_calls for name, _ in products),
                level.rejects_over_share,
                level.queue_share,
                floor,
            )
        )
    return tuple(made)


# Works without tuning: bounds are shares of the cores, of SLA times and of limits, none of one
# deployment's figures.
DEFAULT_PLAN = LevelPlan(
    levels=(
        LevelDefinition("normal"),
        LevelDefinition(
            "lean",
            {
                "press": SignalBounds(0.15, 0.05),
                "use": SignalBounds(UNREACHABLE, 0.90),
                "age": SignalBounds(0.30, 0.10),
                "lag": SignalBounds(0.25, 0.10),
                "late": SignalBounds(0.05, 0.02),
                "calls": SignalBounds(0.20, 0.05),
                "memory": SignalBounds(0.85, 0.70),
                "sockets": SignalBounds(0.85, 0.70),
            },
            rejects_retries=True,
            rejects_over_share=True,
            allows_optional_work=False,
        ),
        LevelDefinition(
            "essential",
            {
                "press": SignalBounds(0.50, 0.05),
                "use": SignalBounds(UNREACHABLE, 0.75),
                "age": SignalBounds(0.40, 0.10),
                "lag": SignalBounds(0.40, 0.10),
                "late": SignalBounds(0.10, 0.02),
                "calls": SignalBounds(0.40, 0.05),
                "memory": SignalBounds(0.90, 0.70),
            },
            dropped_values=1,
            rejects_retries=True,
            rejects_over_share=True,
            allows_optional_work=False,
        ),
        LevelDefinition(
            "highest",
            {
                "press": SignalBounds(0.95, 0.05),
                "use": SignalBounds(UNREACHABLE, 0.60),
                "lag": SignalBounds(1.00, 0.15),
                "late": SignalBounds(0.35, 0.02),
                "calls": SignalBounds(0.70, 0.05),
                "memory": SignalBounds(0.95, 0.70),
            },
            dropped_values=ALL_VALUES - 1,
            rejects_retries=True,
            rejects_over_share=True,
            queue_share=0.5,
            allows_optional_work=False,
        ),
        LevelDefinition(
            DRAIN,
            dropped_values=ALL_VALUES,
            rejects_retries=True,
            rejects_over_share=True,
            queue_share=0.0,
            allows_optional_work=False,
        ),
    ),
    emergencies={"memory": (0.98, "highest")},
    cold_start_level="lean",
)
