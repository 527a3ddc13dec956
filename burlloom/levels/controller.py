"""Controls a node's service level: takes signal readings, returns level changes with their cause.

Does no I/O. Times are in ns on the host's clock, which never goes back. A server's clock counts
Unix time.
"""

from collections.abc import Collection
from dataclasses import dataclass

from ..admission.model import Degradation, ServiceLevel
from .plan import LevelPlan
from .signals import (
    SIGNAL_NAMES,
    SignalAggregator,
    SignalBounds,
    SignalReadings,
    are_all_clear,
    find_reached_bound,
)
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
    """An operator's order to stay at a level.

    Attributes:
        level: Name of the level.
        until_ns: When the pin expires, ns on the host's clock.
        reason: The operator's reason, for the log.
    """

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
        cause: The signal that caused the transition, or `pin` or `calm`.
        value: The signal's value; 0 for `pin` and `calm`.
        bound: The bound that the value reached; 0 for `pin` and `calm`.
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
        status: The state machine's status.
        signal_values: The signals' values as of the last round, by name; unknown ones are absent.
        pin: The operator's pin, or None.
        transition_counts: Number of transitions by effect.
        time_at_level_ns: Time spent at each level, ns, by the level's name.

    Args:
        plan: The levels.
        degradations: The plan's levels in the form that the admission decisions take
            (`plan.build_degradations`).
        now_ns: The time, ns on the host's clock.
        policy: The hysteresis; None derives it from the plan's number of automatic levels.
        cold: Whether the node starts cold, and thus at the plan's `cold_start_level`.
        previous_level: Name of the level at which the previous incarnation ended, from the record;
            empty where unknown.
        measured: Names of the signals that this node measures. Bounds on other signals are ignored:
            a signal that never has a value would keep the node from leaving a level.
    """

    def __init__(
        self,
        plan: LevelPlan,
        degradations: tuple[Degradation, ...],
        now_ns: int,
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
                plan.automatic_level_count,
                max_changes_per_minute=max(4, plan.automatic_level_count),
            )
        )
        names = [level.name for level in plan.levels]
        self.status = self.state_machine.start(self._first_level(cold, previous_level), now_ns)
        self.signals = SignalAggregator()
        self.signal_values: dict[str, float] = {}
        self.pin: LevelPin | None = None
        self.transition_counts = dict.fromkeys(
            ("up", "down", "drop", "begin", "widen", "abort", "pin", "release"), 0
        )
        self.time_at_level_ns = dict.fromkeys(names, 0)
        self.counted_until_ns = now_ns

    def _first_level(self, cold: bool, previous_level: str) -> int:
        """Returns the index of the level to start at.

        If the previous incarnation ended at a level that only a pin reaches, the node starts at the
        last level that it can leave without an operator.
        """
        names = [level.name for level in self.plan.levels]
        candidates = [
            names.index(name)
            for name in (self.plan.cold_start_level if cold else "", previous_level)
            if name in names
        ]
        return min(max(candidates, default=0), self.state_machine.policy.level_count - 1)

    @property
    def level_name(self) -> str:
        """Returns the name of the level in force."""
        return self.plan.levels[self.status.level].name

    @property
    def trial_share(self) -> float:
        """Returns the share of callers served at the level above, 0 to 1; 0 outside a trial."""
        return (
            TRIAL_SHARES[self.status.trial_step]
            if self.status.phase is DegradationPhase.TRIAL
            else 0.0
        )

    @property
    def allows_optional_work(self) -> bool:
        """Returns whether the node's own optional work continues at this level."""
        return self.plan.levels[self.status.level].allows_optional_work

    def service_level(self) -> ServiceLevel:
        """Returns this level, the one above and the trial's share for the admission decisions."""
        index = self.status.level
        return ServiceLevel(
            self.degradations[index], self.degradations[max(0, index - 1)], self.trial_share
        )

    def tick(self, now_ns: int, readings: SignalReadings) -> LevelChange | None:
        """Adds one round's readings, removes an expired pin and applies the round's event.

        Args:
            now_ns: The time, ns on the host's clock.
            readings: The round's signal readings.

        Returns:
            The transition, or None if nothing changed.
        """
        self.time_at_level_ns[self.level_name] += now_ns - self.counted_until_ns
        self.counted_until_ns = now_ns
        self.signals.add_readings(now_ns, readings)
        self.signal_values = self.signals.values(now_ns)
        if self.pin is not None and now_ns >= self.pin.until_ns:
            self.pin = None
        event, target, cause = self.classify_event()
        return self.apply_event(now_ns, event, target, cause)

    def set_pin(self, now_ns: int, pin: LevelPin | None) -> LevelChange | None:
        """Sets the operator's pin, or removes it if `pin` is None.

        Args:
            now_ns: The time, ns on the host's clock.
            pin: The pin.

        Returns:
            The transition, or None if nothing changed.
        """
        self.pin = pin
        return self.apply_event(now_ns, *self.pin_event())

    def pin_event(self) -> tuple[DegradationEvent, int, tuple[str, float, float]]:
        """Returns the event, the target level's index and the cause that the current pin leads to.

        Without a pin the event is RELEASE.
        """
        if self.pin is not None:
            return DegradationEvent.PIN, self.plan.level_index(self.pin.level), ("pin", 0.0, 0.0)
        return DegradationEvent.RELEASE, 0, ("pin", 0.0, 0.0)

    def classify_event(self) -> tuple[DegradationEvent, int, tuple[str, float, float]]:
        """Returns this round's event, the index of its target level (0 for none) and its cause.

        An emergency comes before a pin, and a pin before the other signals.
        """
        status = self.status
        for signal, (enter, name) in self.plan.emergencies.items():
            value = self.signal_values.get(signal)
            if value is not None and value >= enter and self.plan.level_index(name) > status.level:
                return (
                    DegradationEvent.EMERGENCY,
                    self.plan.level_index(name),
                    (signal, value, enter),
                )
        if status.phase is DegradationPhase.PINNED:
            is_held = self.pin is not None and self.plan.level_index(self.pin.level) <= status.level
            return (DegradationEvent.SAME, 0, ("", 0.0, 0.0)) if is_held else self.pin_event()
        if self.pin is not None:
            return self.pin_event()
        return self._classify_signals()

    def _classify_signals(self) -> tuple[DegradationEvent, int, tuple[str, float, float]]:
        """Compares the signals with the bounds of this level and of the next one."""
        status = self.status
        last_level, bounds = self.state_machine.policy.level_count - 1, self.bounds
        # During a trial, a signal that reaches an entry bound of this level fails the trial.
        own_bound = (
            find_reached_bound(bounds[status.level], self.signal_values)
            if status.phase is DegradationPhase.TRIAL
            else None
        )
        worse = own_bound or (
            find_reached_bound(bounds[status.level + 1], self.signal_values)
            if status.level < last_level
            else None
        )
        if worse is not None:
            return DegradationEvent.WORSE, 0, worse
        if status.level and are_all_clear(self.exit_bounds(), self.signal_values):
            return DegradationEvent.BETTER, 0, ("calm", 0.0, 0.0)
        return DegradationEvent.SAME, 0, ("", 0.0, 0.0)

    def exit_bounds(self) -> dict[str, SignalBounds]:
        """Returns the bounds whose signals must all be clear before this level is left.

        They include the bounds of all levels between the first and this one, so that no bound of
        those levels is reached again at once.
        """
        combined: dict[str, SignalBounds] = {}
        for bounds in self.bounds[1 : self.status.level + 1]:
            combined.update(bounds)
        return combined

    def apply_event(
        self, now_ns: int, event: DegradationEvent, target: int, cause: tuple[str, float, float]
    ) -> LevelChange | None:
        """Passes an event to the state machine and counts the transition.

        Args:
            now_ns: The time, ns on the host's clock.
            event: The event.
            target: Index of the level that an emergency or a pin names.
            cause: The cause's name, value and bound, for the log.

        Returns:
            The transition; None if nothing changed or a pin was renewed at its level.
        """
        change: Transition = self.state_machine.handle(self.status, event, now_ns, target)
        before, self.status = self.status, change.after
        if not change.effect or (
            change.effect == "pin"
            and before.phase is DegradationPhase.PINNED
            and not change.has_changed_level
        ):
            return None
        self.transition_counts[change.effect] += 1
        return LevelChange(
            change.effect,
            self.plan.levels[before.level].name,
            self.level_name,
            self.trial_share,
            *cause,
        )
