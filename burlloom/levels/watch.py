"""A node's levels as a whole: readings in, the level in force and the reasons out. No I/O; times
are the host's.
"""

from collections.abc import Collection
from dataclasses import dataclass

from ..admission.model import Degradation, ServiceLevel
from .ladder import PARTS, Change, Input, Ladder, Phase, Terms
from .plan import Plan
from .signals import NAMES, Bounds, Readings, Signals, low, reached


@dataclass(frozen=True, slots=True)
class Pin:
    """An operator's word: this level until then."""

    level: str
    until: int
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Moved:
    """A step of the ladder, for the log: its effect, from where to where, and the signal behind it
    with its value.
    """

    effect: str
    before: str
    after: str
    part: float
    cause: str
    value: float
    bound: float


class Levels:
    """`reliefs` are the plan's levels as the decisions take them (`plan.reliefs`)."""

    def __init__(
        self,
        plan: Plan,
        reliefs: tuple[Degradation, ...],
        now: int,
        terms: Terms | None = None,
        *,
        cold: bool = False,
        died_at: str = "",
        measured: Collection[str] = NAMES,
    ) -> None:
        """`died_at`: the level that a record says this node's last life stood at. `measured`: the
        signals that this node has at all; bounds on others do not count, else one that is never
        told would hold it down for good.
        """
        self.plan, self.reliefs = plan, reliefs
        self.bounds = [
            {name: bound for name, bound in level.bounds.items() if name in measured}
            for level in plan.levels
        ]
        self.ladder = Ladder(terms or Terms(plan.automatic, changes_most=max(4, plan.automatic)))
        names = [level.name for level in plan.levels]
        starts = [
            names.index(name) for name in (plan.cold if cold else "", died_at) if name in names
        ]
        # One that died where only a pin puts a node comes back to the last level that it can leave
        # by itself.
        first = min(max(starts, default=0), self.ladder.terms.levels - 1)
        self.standing = self.ladder.start(first, now)
        self.signals = Signals()
        self.values: dict[str, float] = {}
        self.pin: Pin | None = None
        self.steps = dict.fromkeys(
            ("up", "down", "drop", "begin", "widen", "abort", "pin", "release"), 0
        )
        self.spent = dict.fromkeys(names, 0)  # ns at each level
        self.counted = now

    @property
    def level(self) -> str:
        return self.plan.levels[self.standing.level].name

    @property
    def part(self) -> float:
        return PARTS[self.standing.part] if self.standing.phase is Phase.TRIAL else 0.0

    @property
    def optional(self) -> bool:
        return self.plan.levels[self.standing.level].optional

    def service(self) -> ServiceLevel:
        at = self.standing.level
        return ServiceLevel(self.reliefs[at], self.reliefs[max(0, at - 1)], self.part)

    def round(self, now: int, readings: Readings) -> Moved | None:
        """Once a timer round; what it changed, if anything."""
        self.spent[self.level] += now - self.counted
        self.counted = now
        self.signals.take(now, readings)
        self.values = self.signals.values(now)
        if self.pin is not None and now >= self.pin.until:
            self.pin = None
        what, target, cause = self.looks()
        return self.step(now, what, target, cause)

    def pinned(self, now: int, pin: Pin | None) -> Moved | None:
        """An operator pins a level, or takes the pin away."""
        self.pin = pin
        return self.step(now, *self.by_pin())

    # Within.

    def by_pin(self) -> tuple[Input, int, tuple[str, float, float]]:
        if self.pin is not None:
            return Input.PIN, self.plan.index(self.pin.level), ("pin", 0.0, 0.0)
        return Input.RELEASE, 0, ("pin", 0.0, 0.0)

    def looks(self) -> tuple[Input, int, tuple[str, float, float]]:
        """What the table is told this round, the level that it names, and why."""
        at = self.standing
        for signal, (enter, name) in self.plan.emergencies.items():
            value = self.values.get(signal)
            if value is not None and value >= enter and self.plan.index(name) > at.level:
                return Input.EMERGENCY, self.plan.index(name), (signal, value, enter)
        if at.phase is Phase.PINNED:
            if self.pin is None:
                return self.by_pin()
            wanted = self.plan.index(self.pin.level)
            return (
                (Input.PIN, wanted, ("pin", 0.0, 0.0))
                if wanted > at.level
                else (Input.SAME, 0, ("", 0.0, 0.0))
            )
        if self.pin is not None:
            return self.by_pin()
        last, bounds = self.ladder.terms.levels - 1, self.bounds
        # In a trial what called for this level speaks against leaving it.
        own = reached(bounds[at.level], self.values) if at.phase is Phase.TRIAL else None
        worse = own or (reached(bounds[at.level + 1], self.values) if at.level < last else None)
        if worse is not None:
            return Input.WORSE, 0, worse
        if at.level and low(self.bounds_to_leave(), self.values):
            return Input.BETTER, 0, ("calm", 0.0, 0.0)
        return Input.SAME, 0, ("", 0.0, 0.0)

    def bounds_to_leave(self) -> dict[str, Bounds]:
        """Those of the level, and of all between it and the first: none of them may call it back at
        once.
        """
        found: dict[str, Bounds] = {}
        for bounds in self.bounds[1 : self.standing.level + 1]:
            found.update(bounds)
        return found

    def step(
        self, now: int, what: Input, target: int, cause: tuple[str, float, float]
    ) -> Moved | None:
        change: Change = self.ladder.meet(self.standing, what, now, target)
        before, self.standing = self.standing, change.after
        if not change.effect or (
            change.effect == "pin" and before.phase is Phase.PINNED and not change.moved
        ):
            return None
        self.steps[change.effect] += 1
        return Moved(
            change.effect, self.plan.levels[before.level].name, self.level, self.part, *cause
        )
