"""Definitions of the service levels, and the validation of a plan. Does no I/O.

A level selects requests by their value and by whether they are idempotent, so that a plan holds for
any set of request classes; an operator may also name request classes.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from ..admission.model import Degradation, Idempotency, RequestClass
from ..errors import BurlloomError
from .signals import SignalBounds

DRAIN_LEVEL_NAME = "drain"


@dataclass(frozen=True, slots=True)
class LevelDefinition:
    """One service level and its restrictions.

    Attributes:
        name: The level's name.
        bounds: Bounds by signal. A level without bounds is entered only by an emergency or a pin.
        dropped_values: How many of the request classes' distinct values are rejected, lowest first;
            the highest value is still admitted unless this is DROP_ALL_VALUES.
        dropped_classes: Names of further request classes that are rejected.
        cached_classes: Names of request classes that are answered only from cached results.
        classes_without_calls: Names of request classes that are answered without downstream calls.
        rejects_retries: Whether marked retries and copies of idempotent requests are rejected.
        rejects_over_share: Whether requests over their tenant's share are rejected.
        queue_share: Share of the admission queue that may be used, from 0 to 1.
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


# Value of `dropped_values` that rejects all values; one less rejects all but the highest one.
DROP_ALL_VALUES = 1 << 30
# An entry bound that no signal reaches: it only limits when a level may be left.
UNREACHABLE_BOUND = 1e9


@dataclass(frozen=True, slots=True)
class LevelPlan:
    """Service levels in order of severity; the first one restricts nothing.

    Attributes:
        levels: The levels, least restrictive first.
        emergencies: By signal, the bound and the name of the level that is entered at once when the
            signal reaches the bound.
        cold_start_level: Name of the level at which a cold node starts; empty for the first level.
    """

    levels: tuple[LevelDefinition, ...]
    emergencies: Mapping[str, tuple[float, str]] = field(default_factory=dict)
    cold_start_level: str = ""

    @property
    def automatic_level_count(self) -> int:
        """Returns how many levels are entered without a pin.

        These are the levels up to the last one that has bounds or is an emergency's target.
        """
        emergency_levels = {name for _, name in self.emergencies.values()}
        return max(
            (
                index + 1
                for index, level in enumerate(self.levels)
                if level.bounds or level.name in emergency_levels
            ),
            default=1,
        )

    def level_index(self, name: str) -> int:
        """Returns the index of the level with that name, which must be in the plan."""
        return next(index for index, level in enumerate(self.levels) if level.name == name)


class InvalidPlanError(BurlloomError):
    """A plan of service levels is invalid.

    Attributes:
        lines: One line for each fault, with the path of the operator's key.
    """

    def __init__(self, lines: list[str]) -> None:
        super().__init__("; ".join(lines))
        self.lines = lines


def find_plan_faults(
    plan: LevelPlan,
    request_classes: Sequence[tuple[str, RequestClass]] = (),
    signals: Sequence[str] = (),
) -> list[str]:
    """Returns all faults of a plan, each with the path of the operator's key.

    Args:
        plan: The plan.
        request_classes: Names and classes to check the plan against; empty if not known.
        signals: Names of the signals that exist; empty if not known.
    """
    if not plan.levels:
        return ["levels: at least one level is required"]
    faults = _find_name_faults(plan)
    known_classes = dict(request_classes)
    for index, level in enumerate(plan.levels):
        place = f"levels.{index} ({level.name})"
        faults += _find_bound_faults(level, place, signals)
        if not 0 <= level.queue_share <= 1:
            faults.append(f"{place}.hold: {level.queue_share:g} is not a share from 0 to 1")
        faults += _find_request_class_faults(level, place, known_classes)
        faults += _find_order_faults(plan, index, place)
    return faults + _find_reference_faults(plan, signals)


def _find_name_faults(plan: LevelPlan) -> list[str]:
    """Returns the faults of the levels' names, and of a first level that restricts something."""
    faults: list[str] = []
    names = [level.name for level in plan.levels]
    if is_restrictive(plan.levels[0]):
        faults.append(
            f"levels.0 ({names[0]}): the first level must be without bounds and restrictions"
        )
    faults += [
        f"levels.{index} ({name}): another level has the same name"
        for index, name in enumerate(names)
        if name in names[:index]
    ]
    faults += [
        f"levels.{index}: the name {name!r} may have only letters, digits, '-' and '_'"
        for index, name in enumerate(names)
        if not name.replace("-", "").replace("_", "").isalnum()
    ]
    return faults


def _find_bound_faults(level: LevelDefinition, place: str, signals: Sequence[str]) -> list[str]:
    """Returns the faults of one level's bounds."""
    faults: list[str] = []
    for signal, bound in level.bounds.items():
        if signals and signal not in signals:
            faults.append(f"{place}.{signal}: unknown signal; the signals are {', '.join(signals)}")
        if bound.leave >= bound.enter:
            faults.append(
                f"{place}.{signal}: leave {bound.leave:g} must be below enter {bound.enter:g}"
            )
    return faults


def _find_request_class_faults(
    level: LevelDefinition, place: str, known: Mapping[str, RequestClass]
) -> list[str]:
    """Returns the faults of one level's lists of request classes, by the operator's keys."""
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
    """Returns why a request class is not allowed under that key; empty if it is allowed."""
    request_class = known.get(name)
    if request_class is None:
        return f"unknown product {name!r}; the products are {', '.join(known)}" if known else ""
    if key == "kept" and request_class.idempotency is not Idempotency.IDEMPOTENT:
        return f"{name} is not idempotent: its cached result can't answer another request"
    if key == "kept" and not request_class.max_staleness_ns:
        return f"{name} has no maximum age of a cached result; set one in kept_ms"
    if key == "skips" and not request_class.value_share_without_call:
        return f"a result of {name} has no value without its downstream call"
    return ""


def _find_order_faults(plan: LevelPlan, index: int, place: str) -> list[str]:
    """Returns the faults of a level's bounds against those of the level before it."""
    if index < 2:
        return []
    faults: list[str] = []
    level, previous = plan.levels[index], plan.levels[index - 1]
    if level.bounds and not previous.bounds:
        faults.append(
            f"{place}: the level has bounds, but the level before it, {previous.name}, has none:"
            " it could never be reached"
        )
    for signal in level.bounds.keys() & previous.bounds.keys():
        enter, previous_enter = level.bounds[signal].enter, previous.bounds[signal].enter
        if enter < previous_enter:
            faults.append(
                f"{place}.{signal}: enter {enter:g} must be at least {previous_enter:g}, that of"
                f" the level before it, {previous.name}"
            )
    return faults


def _find_reference_faults(plan: LevelPlan, signals: Sequence[str]) -> list[str]:
    """Returns the faults of the emergencies and of the level of a cold start."""
    faults: list[str] = []
    names = [level.name for level in plan.levels]
    for signal, (_, name) in plan.emergencies.items():
        if signals and signal not in signals:
            faults.append(
                f"emergencies.{signal}: unknown signal; the signals are {', '.join(signals)}"
            )
        if name not in names:
            faults.append(
                f"emergencies.{signal}: unknown level {name!r}; the levels are {', '.join(names)}"
            )
    if plan.cold_start_level and plan.cold_start_level not in names:
        faults.append(
            f"cold: unknown level {plan.cold_start_level!r}; the levels are {', '.join(names)}"
        )
    return faults


def is_restrictive(level: LevelDefinition) -> bool:
    """Returns whether a level imposes any restriction or has bounds."""
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


def build_degradations(
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
        *(_build_degradation(level, request_classes) for level in plan.levels[1:]),
    )


def _build_degradation(
    level: LevelDefinition, request_classes: Sequence[tuple[str, RequestClass]]
) -> Degradation:
    """Returns one level in the form that the admission decisions take."""
    values = sorted({request_class.value for _, request_class in request_classes})
    droppable = values if level.dropped_values == DROP_ALL_VALUES else values[:-1]
    dropped_values = set(droppable[: level.dropped_values])
    dropped = tuple(
        request_class.value in dropped_values or name in level.dropped_classes
        for name, request_class in request_classes
    )
    cached = tuple(name in level.cached_classes for name, _ in request_classes)
    # The original attempt of a marked retry may have run on another server. If the request is not
    # idempotent, its retry must be answered, so only idempotent requests are rejected as retries.
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


# All bounds are relative to cores, latency objectives and limits, so they hold for any deployment.
DEFAULT_PLAN = LevelPlan(
    levels=(
        LevelDefinition("normal"),
        LevelDefinition(
            "lean",
            {
                "press": SignalBounds(0.15, 0.05),
                "use": SignalBounds(UNREACHABLE_BOUND, 0.90),
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
                "use": SignalBounds(UNREACHABLE_BOUND, 0.75),
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
                "use": SignalBounds(UNREACHABLE_BOUND, 0.60),
                "lag": SignalBounds(1.00, 0.15),
                "late": SignalBounds(0.35, 0.02),
                "calls": SignalBounds(0.70, 0.05),
                "memory": SignalBounds(0.95, 0.70),
            },
            dropped_values=DROP_ALL_VALUES - 1,
            rejects_retries=True,
            rejects_over_share=True,
            queue_share=0.5,
            allows_optional_work=False,
        ),
        LevelDefinition(
            DRAIN_LEVEL_NAME,
            dropped_values=DROP_ALL_VALUES,
            rejects_retries=True,
            rejects_over_share=True,
            queue_share=0.0,
            allows_optional_work=False,
        ),
    ),
    emergencies={"memory": (0.98, "highest")},
    cold_start_level="lean",
)
