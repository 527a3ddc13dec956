"""Controls a node's service level: readings in, level and cause out. No I/O.

Times are in ns on the host's clock.
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
    """An operator's order to stay at a level until a time, ns on the host's clock."""

    level: str
    until_ns: int
    reason: str = ""


@dataclass(frozen=True, slots=True)
class LevelChange:
    """A transition for the log.

    Attributes:
        effect: The transition's effect in the state machine's table.
        before: Name of the level before.
        after: Name of the level after.
        trial_share: Share of the callers served at the level above, from 0 to 1.
        cause: The signal behind it, or `pin` or `calm`.
        value: The signal's value.
        bound: The bound that it reached.
    """

    effect: str
    before: str
    after: str
    trial_share: float
    cause: str
    value: float
    bound: float


class DegradationController:
    """Decides a node's level from signal readings and an operator's pin.

    Attributes:
        status: Where the state machine stands.
        values: The last values of the signals, by name; unknown ones are absent.
        pin: The operator's pin, if there is one.
        transition_counts: Number of transitions by effect.
        time_at_level_ns: Time spent at each level.

    Args:
        plan: The levels.
        degradations: The plan's levels as the decisions take them (`plan.degradations`).
        now: The time, ns on the host's clock.
        policy: Hysteresis; by default that of the plan's number of levels.
        cold: Whether the node starts cold, at the plan's level for that.
        previous_level: The level of the previous incarnation by the record; empty where unknown.
        measured: The signals that this node has. Bounds on others are ignored: a signal that never
            has a value would keep the node from leaving a level.
    """

    def __init__(
        self,
        plan: LevelPlan,
        degradations: tuple[Degradation, ...],
        now: int,
        policy: HysteresisPolicy | None = None,
        *,
        cold: bool = False,
        previous_level: str = "",
        measured: Collection[str] = SIGNAL_NAMES,
    ) -> None:
        self.plan, self.degradations = plan, degradations
        self.bounds = [
            {name: bound for name, bound in level.bounds.items() if name in measured}
            for level in plan.levels
        ]
        self.state_machine = DegradationStateMachine(
            policy
            or HysteresisPolicy(
                plan.automatic_levels, max_changes_per_minute=max(4, plan.automatic_levels)
            )
        )
        names = [level.name for level in plan.levels]
        self.status = self.state_machine.start(self._first_level(cold, previous_level), now)
        self.signals = SignalAggregator()
        self.values: dict[str, float] = {}
        self.pin: LevelPin | None = None
        self.transition_counts = dict.fromkeys(
            ("up", "down", "drop", "begin", "widen", "abort", "pin", "release"), 0
        )
        self.time_at_level_ns = dict.fromkeys(names, 0)
        self.counted_until_ns = now

    def _first_level(self, cold: bool, previous_level: str) -> int:
        """Returns the index of the level to start at.

        A previous incarnation that ended at a level that only a pin reaches starts at the last
        level that a node can leave by itself.
        """
        names = [level.name for level in self.plan.levels]
        candidates = [
            names.index(name)
            for name in (self.plan.cold_start_level if cold else "", previous_level)
            if name in names
        ]
        return min(max(candidates, default=0), self.state_machine.policy.level_count - 1)

    @property
    def level(self) -> str:
        """Name of the level in force."""
        return self.plan.levels[self.status.level].name

    @property
    def trial_share(self) -> float:
        """Share of the callers served at the level above, from 0 to 1; 0 outside a trial."""
        return (
            TRIAL_SHARES[self.status.trial_step]
            if self.status.phase is DegradationPhase.TRIAL
            else 0.0
        )

    @property
    def allows_optional_work(self) -> bool:
        """Whether the node's own optional work continues at this level."""
        return self.plan.levels[self.status.level].allows_optional_work

    def service_level(self) -> ServiceLevel:
        """Returns this level, the one above and the trial's share for the admission decisions."""
        at = self.status.level
        return ServiceLevel(
            self.degradations[at], self.degradations[max(0, at - 1)], self.trial_share
        )

    def tick(self, now: int, readings: SignalReadings) -> LevelChange | None:
        """Takes one round's readings.

        Returns:
            The transition, or None where nothing changed.
        """
        self.time_at_level_ns[self.level] += now - self.counted_until_ns
        self.counted_until_ns = now
        self.signals.take(now, readings)
        self.values = self.signals.values(now)
        if self.pin is not None and now >= self.pin.until_ns:
            self.pin = None
        event, target, cause = self.classify()
        return self.step(now, event, target, cause)

    def set_pin(self, now: int, pin: LevelPin | None) -> LevelChange | None:
        """Pins a level, or removes the pin where `pin` is None.

        Returns:
            The transition, or None where nothing changed.
        """
        self.pin = pin
        return self.step(now, *self.by_pin())

    def by_pin(self) -> tuple[DegradationEvent, int, tuple[str, float, float]]:
        """Returns the event, target level and cause of the pin as it is now."""
        if self.pin is not None:
            return DegradationEvent.PIN, self.plan.index_of(self.pin.level), ("pin", 0.0, 0.0)
        return DegradationEvent.RELEASE, 0, ("pin", 0.0, 0.0)

    def classify(self) -> tuple[DegradationEvent, int, tuple[str, float, float]]:
        """Returns this round's event, the level that it names (0 for none), and its cause."""
        at = self.status
        for signal, (enter, name) in self.plan.emergencies.items():
            value = self.values.get(signal)
            if value is not None and value >= enter and self.plan.index_of(name) > at.level:
                return DegradationEvent.EMERGENCY, self.plan.index_of(name), (signal, value, enter)
        if at.phase is DegradationPhase.PINNED:
            is_held = self.pin is not None and self.plan.index_of(self.pin.level) <= at.level
            return (DegradationEvent.SAME, 0, ("", 0.0, 0.0)) if is_held else self.by_pin()
        if self.pin is not None:
            return self.by_pin()
        return self._classify_signals()

    def _classify_signals(self) -> tuple[DegradationEvent, int, tuple[str, float, float]]:
        """Compares the signals with the bounds of the levels next to this one."""
        at = self.status
        last, bounds = self.state_machine.policy.level_count - 1, self.bounds
        # In a trial the bounds that entered this level also count against leaving it.
        own = reached(bounds[at.level], self.values) if at.phase is DegradationPhase.TRIAL else None
        worse = own or (reached(bounds[at.level + 1], self.values) if at.level < last else None)
        if worse is not None:
            return DegradationEvent.WORSE, 0, worse
        if at.level and low(self.bounds_to_leave(), self.values):
            return DegradationEvent.BETTER, 0, ("calm", 0.0, 0.0)
        return DegradationEvent.SAME, 0, ("", 0.0, 0.0)

    def bounds_to_leave(self) -> dict[str, SignalBounds]:
        """Returns the bounds that must be clear before this level is left.

        They include those of all levels between it and the first, so that none of them enters it
        again at once.
        """
        found: dict[str, SignalBounds] = {}
        for bounds in self.bounds[1 : self.status.level + 1]:
            found.update(bounds)
        return found

    def step(
        self, now: int, event: DegradationEvent, target: int, cause: tuple[str, float, float]
    ) -> LevelChange | None:
        """Passes an event to the state machine.

        Returns:
            The transition; None where nothing changed, or a pin was renewed at its level.
        """
        change: Transition = self.state_machine.handle(self.status, event, now, target)
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
