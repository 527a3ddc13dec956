"""A node's levels as a whole: readings in, the level in force and the reasons out. No I/O; times
are the host's.
"""

from collections.abc import Collection
from dataclasses import dataclass

from ..admission.model import Degradation, ServiceLevel
from .plan import LevelPlan
from .signals import SIGNAL_NAMES, SignalAggregator, SignalBounds, SignalReadings, low, reached
from .state_machine import (
    TRIAL_SHARES,
    DegradationEvent,
    DegradationPhase,
    DegradationStateMachine,
    HysteresisPolicy,
    Transition,
)


@dataclass(frozen=True, slots=True)
class LevelPin:
    """An operator's word: this level until then."""

    level: str
    until_ns: int
    reason: str = ""


@dataclass(frozen=True, slots=True)
class LevelChange:
    """A step of the ladder, for the log: its effect, from where to where, and the signal behind it
    with its value.
    """

    effect: str
    before: str
    after: str
    trial_share: float
    cause: str
    value: float
    bound: float


class DegradationController:
    """`reliefs` are the plan's levels as the decisions take them (`plan.reliefs`)."""

    def __init__(
        self,
        plan: LevelPlan,
        reliefs: tuple[Degradation, ...],
        now: int,
        terms: HysteresisPolicy | None = None,
        *,
        cold: bool = False,
        died_at: str = "",
        measured: Collection[str] = SIGNAL_NAMES,
    ) -> None:
        """`died_at`: the level that a record says this node's last life stood at. `measured`: the
        signals that this node has at all; bounds on others do not count, else one that is never
        told would hold it down for good.
        """
        self.plan, self.degradations = plan, reliefs
        self.bounds = [
            {name: bound for name, bound in level.bounds.items() if name in measured}
            for level in plan.levels
        ]
        self.state_machine = DegradationStateMachine(
            terms
            or HysteresisPolicy(
                plan.automatic_levels, max_changes_per_minute=max(4, plan.automatic_levels)
            )
        )
        names = [level.name for level in plan.levels]
        starts = [
            names.index(name)
            for name in (plan.cold_start_level if cold else "", died_at)
            if name in names
        ]
        # One that died where only a pin puts a node comes back to the last level that it can leave
        # by itself.
        first = min(max(starts, default=0), self.state_machine.policy.level_count - 1)
        self.status = self.state_machine.start(first, now)
        self.signals = SignalAggregator()
        self.values: dict[str, float] = {}
        self.pin: LevelPin | None = None
        self.transition_counts = dict.fromkeys(
            ("up", "down", "drop", "begin", "widen", "abort", "pin", "release"), 0
        )
        self.time_at_level_ns = dict.fromkeys(names, 0)  # ns at each level
        self.counted_until_ns = now

    @property
    def level(self) -> str:
        return self.plan.levels[self.status.level].name

    @property
    def trial_share(self) -> float:
        return (
            TRIAL_SHARES[self.status.trial_step]
            if self.status.phase is DegradationPhase.TRIAL
            else 0.0
        )

    @property
    def allows_optional_work(self) -> bool:
        return self.plan.levels[self.status.level].allows_optional_work

    def service_level(self) -> ServiceLevel:
        at = self.status.level
        return ServiceLevel(
            self.degradations[at], self.degradations[max(0, at - 1)], self.trial_share
        )

    def tick(self, now: int, readings: SignalReadings) -> LevelChange | None:
        """Once a timer round; what it changed, if anything."""
        self.time_at_level_ns[self.level] += now - self.counted_until_ns
        self.counted_until_ns = now
        self.signals.take(now, readings)
        self.values = self.signals.values(now)
        if self.pin is not None and now >= self.pin.until_ns:
            self.pin = None
        what, target, cause = self.looks()
        return self.step(now, what, target, cause)

    def set_pin(self, now: int, pin: LevelPin | None) -> LevelChange | None:
        """An operator pins a level, or takes the pin away."""
        self.pin = pin
        return self.step(now, *self.by_pin())

    # Within.

    def by_pin(self) -> tuple[DegradationEvent, int, tuple[str, float, float]]:
        if self.pin is not None:
            return DegradationEvent.PIN, self.plan.index_of(self.pin.level), ("pin", 0.0, 0.0)
        return DegradationEvent.RELEASE, 0, ("pin", 0.0, 0.0)

    def looks(self) -> tuple[DegradationEvent, int, tuple[str, float, float]]:
        """What the table is told this round, the level that it names, and why."""
        at = self.status
        for signal, (enter, name) in self.plan.emergencies.items():
            value = self.values.get(signal)
            if value is not None and value >= enter and self.plan.index_of(name) > at.level:
                return DegradationEvent.EMERGENCY, self.plan.index_of(name), (signal, value, enter)
        if at.phase is DegradationPhase.PINNED:
            if self.pin is None:
                return self.by_pin()
            wanted = self.plan.index_of(self.pin.level)
            return (
                (DegradationEvent.PIN, wanted, ("pin", 0.0, 0.0))
                if wanted > at.level
                else (DegradationEvent.SAME, 0, ("", 0.0, 0.0))
            )
        if self.pin is not None:
            return self.by_pin()
        last, bounds = self.state_machine.policy.level_count - 1, self.bounds
        # In a trial what called for this level speaks against leaving it.
        own = reached(bounds[at.level], self.values) if at.phase is DegradationPhase.TRIAL else None
        worse = own or (reached(bounds[at.level + 1], self.values) if at.level < last else None)
        if worse is not None:
            return DegradationEvent.WORSE, 0, worse
        if at.level and low(self.bounds_to_leave(), self.values):
            return DegradationEvent.BETTER, 0, ("calm", 0.0, 0.0)
        return DegradationEvent.SAME, 0, ("", 0.0, 0.0)

    def bounds_to_leave(self) -> dict[str, SignalBounds]:
        """Those of the level, and of all between it and the first: none of them may call it back at
        once.
        """
        found: dict[str, SignalBounds] = {}
        for bounds in self.bounds[1 : self.status.level + 1]:
            found.update(bounds)
        return found

    def step(
        self, now: int, what: DegradationEvent, target: int, cause: tuple[str, float, float]
    ) -> LevelChange | None:
        change: Transition = self.state_machine.handle(self.status, what, now, target)
        before, self.status = self.status, change.after
        if not change.effect or (
            change.effect == "pin"
            and before.phase is DegradationPhase.PINNED
            and not change.has_changed_level
        ):
            return None
        self.transition_counts[change.effect] += 1
        return LevelChange(
            change.effect, self.plan.levels[before.level].name, self.level, self.trial_share, *cause
        )
