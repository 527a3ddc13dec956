"""Definitions of the service levels, and the validation of a plan.

Levels are defined by a request's value and by whether it is idempotent; an operator may name
request classes.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from ..admission.model import Degradation, Idempotency, RequestClass
from ..errors import BurlloomError
from .signals import SignalBounds

DRAIN = "drain"


@dataclass(frozen=True, slots=True)
class LevelDefinition:
    """One level and what it takes away.

    Attributes:
        name: The level's name.
        bounds: Bounds by signal. A level without bounds is entered by an emergency or a pin alone.
        dropped_values: How many of the request classes' distinct values are dropped, lowest first;
            the highest stays unless this is ALL_VALUES.
        dropped_classes: Names of further request classes that are dropped.
        cached_classes: Names of request classes that are answered from cached results alone.
        classes_without_calls: Names of request classes that are answered without downstream calls.
        rejects_retries: Whether marked retries and copies of idempotent requests are rejected.
        rejects_over_share: Whether requests over their tenant's share are rejected.
        queue_share: The part of the queue that may be used, from 0 to 1.
        allows_optional_work: Whether the node's own optional work continues.
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
    allows_optional_work: bool = True


ALL_VALUES = 1 << 30
# An entry that no signal reaches: such a bound only says when a level may be left.
UNREACHABLE = 1e9


@dataclass(frozen=True, slots=True)
class LevelPlan:
    """Ordered levels, the first of which takes nothing away.

    Attributes:
        levels: The levels, in order of what they take away.
        emergencies: By signal, the bound and the name of the level that it enters at once.
        cold_start_level: Name of the level that a cold node starts at; empty for the first.
    """

    levels: tuple[LevelDefinition, ...]
    emergencies: Mapping[str, tuple[float, str]] = field(default_factory=dict)
    cold_start_level: str = ""

    @property
    def automatic_levels(self) -> int:
        """How many levels are entered without a pin: up to the last with bounds or an emergency."""
        named = {name for _, name in self.emergencies.values()}
        return max(
            (at + 1 for at, level in enumerate(self.levels) if level.bounds or level.name in named),
            default=1,
        )

    def index_of(self, name: str) -> int:
        """Returns the index of the level of that name, which must be in the plan."""
        return next(at for at, level in enumerate(self.levels) if level.name == name)


class InvalidPlanError(BurlloomError):
    """The plan can't be used.

    Attributes:
        lines: One line for each fault, with its place.
    """

    def __init__(self, lines: list[str]) -> None:
        super().__init__("; ".join(lines))
        self.lines = lines


def find_plan_faults(
    plan: LevelPlan,
    request_classes: Sequence[tuple[str, RequestClass]] = (),
    signals: Sequence[str] = (),
) -> list[str]:
    """Returns what is invalid in a plan, each fault with its place.

    Args:
        plan: The plan.
        request_classes: Names and classes to check the plan against; empty where not known.
        signals: Names of the signals that there are; empty where not known.
    """
    if not plan.levels:
        return ["levels: there is none"]
    faults = _find_name_faults(plan)
    known_classes = dict(request_classes)
    for index, level in enumerate(plan.levels):
        place = f"levels.{index} ({level.name})"
        faults += _find_bound_faults(level, place, signals)
        if not 0 <= level.queue_share <= 1:
            faults.append(f"{place}.hold: {level.queue_share:g} is no share from 0 to 1")
        faults += _find_request_class_faults(level, place, known_classes)
        faults += _find_order_faults(plan, index, place)
    return faults + _find_reference_faults(plan, signals)


def _find_name_faults(plan: LevelPlan) -> list[str]:
    """Returns the faults of the levels' names, and of a first level that takes something away."""
    faults: list[str] = []
    names = [level.name for level in plan.levels]
    if is_restrictive(plan.levels[0]):
        faults.append(f"levels.0 ({names[0]}): the first level takes nothing away")
    faults += [
        f"levels.{index} ({name}): the name stands twice"
        for index, name in enumerate(names)
        if name in names[:index]
    ]
    faults += [
        f"levels.{index}: a level needs a name of plain letters"
        for index, name in enumerate(names)
        if not name.replace("-", "").replace("_", "").isalnum()
    ]
    return faults


def _find_bound_faults(level: LevelDefinition, place: str, signals: Sequence[str]) -> list[str]:
    """Returns the faults of one level's bounds."""
    faults: list[str] = []
    for signal, bound in level.bounds.items():
        if signals and signal not in signals:
            faults.append(
                f"{place}.{signal}: there is no such signal; known are {', '.join(signals)}"
            )
        if bound.leave >= bound.enter:
            faults.append(
                f"{place}.{signal}: it is left at {bound.leave:g}, which is not below its entry"
                f" {bound.enter:g}"
            )
    return faults


def _find_request_class_faults(
    level: LevelDefinition, place: str, known: Mapping[str, RequestClass]
) -> list[str]:
    """Returns the faults of one level's lists of request classes, by the operators' keys."""
    faults: list[str] = []
    for key, names in (
        ("products", level.dropped_classes),
        ("kept", level.cached_classes),
        ("skips", level.classes_without_calls),
    ):
        for name in names:
            fault = _find_request_class_fault(key, name, known)
            if fault:
                faults.append(f"{place}.{key}: {fault}")
    return faults


def _find_request_class_fault(key: str, name: str, known: Mapping[str, RequestClass]) -> str:
    """Returns why a request class can't stand under that key; empty where it can."""
    request_class = known.get(name)
    if request_class is None:
        return f"there is no product {name!r}; known are {', '.join(known)}" if known else ""
    if key == "kept" and request_class.idempotency is not Idempotency.IDEMPOTENT:
        return f"{name} has an effect: what is kept of it can't stand for another's"
    if key == "kept" and not request_class.max_staleness_ns:
        return f"{name} allows no kept result; say for how long in kept_ms"
    if key == "skips" and not request_class.value_share_without_call:
        return f"an answer of {name} is worth nothing without its calls here"
    return ""


def _find_order_faults(plan: LevelPlan, index: int, place: str) -> list[str]:
    """Returns the faults of a level's bounds against those of the level before it."""
    if index < 2:
        return []
    faults: list[str] = []
    level, previous = plan.levels[index], plan.levels[index - 1]
    if level.bounds and not previous.bounds:
        faults.append(
            f"{place}: it has bounds and {previous.name} before it has none: it could never be"
            " reached"
        )
    for signal in level.bounds.keys() & previous.bounds.keys():
        enter, previous_enter = level.bounds[signal].enter, previous.bounds[signal].enter
        if enter < previous_enter:
            faults.append(
                f"{place}.{signal}: it is entered at {enter:g}, before"
                f" {previous.name} at {previous_enter:g}: levels out of order"
            )
    return faults


def _find_reference_faults(plan: LevelPlan, signals: Sequence[str]) -> list[str]:
    """Returns the faults of emergencies and of the cold start's level."""
    faults: list[str] = []
    names = [level.name for level in plan.levels]
    for signal, (_, name) in plan.emergencies.items():
        if signals and signal not in signals:
            faults.append(
                f"emergencies.{signal}: there is no such signal; known are {', '.join(signals)}"
            )
        if name not in names:
            faults.append(
                f"emergencies.{signal}: there is no level {name!r}; known are {', '.join(names)}"
            )
    if plan.cold_start_level and plan.cold_start_level not in names:
        faults.append(
            f"cold: there is no level {plan.cold_start_level!r}; known are {', '.join(names)}"
        )
    return faults


def is_restrictive(level: LevelDefinition) -> bool:
    """Returns whether a level takes anything away or has bounds."""
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
    plan: LevelPlan, request_classes: Sequence[tuple[str, RequestClass]]
) -> tuple[Degradation, ...]:
    """Returns each level in the form that the admission decisions take.

    Args:
        plan: The plan.
        request_classes: Names and classes, in the order of the decisions' class indices.

    Raises:
        InvalidPlanError: The plan has faults.
    """
    faults = find_plan_faults(plan, request_classes)
    if faults:
        raise InvalidPlanError(faults)
    return (
        Degradation(),
        *(_degradation(level, request_classes) for level in plan.levels[1:]),
    )


def _degradation(
    level: LevelDefinition, request_classes: Sequence[tuple[str, RequestClass]]
) -> Degradation:
    """Returns one level in the form that the admission decisions take."""
    values = sorted({request_class.value for _, request_class in request_classes})
    droppable = values if level.dropped_values == ALL_VALUES else values[:-1]
    dropped_values = set(droppable[: level.dropped_values])
    dropped = tuple(
        request_class.value in dropped_values or name in level.dropped_classes
        for name, request_class in request_classes
    )
    cached = tuple(name in level.cached_classes for name, _ in request_classes)
    # A marked retry of a request with an effect may be of one that ran elsewhere: only idempotent
    # ones are rejected for being retries.
    rejects_retries = tuple(
        level.rejects_retries and request_class.idempotency is Idempotency.IDEMPOTENT
        for _, request_class in request_classes
    )
    admitted_values = [
        request_class.value
        for (_, request_class), is_dropped in zip(request_classes, dropped, strict=True)
        if not is_dropped
    ]
    floor = 1.0
    if admitted_values:
        lowest = min(admitted_values)
        floor = sum(value < lowest for value in values) / len(values)
    return Degradation(
        level.name,
        tuple(
            is_dropped and not is_cached
            for is_dropped, is_cached in zip(dropped, cached, strict=True)
        ),
        cached,
        rejects_retries,
        tuple(name in level.classes_without_calls for name, _ in request_classes),
        level.rejects_over_share,
        level.queue_share,
        floor,
    )


# Bounds are shares of cores, SLA times and limits: they hold for any deployment.
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
