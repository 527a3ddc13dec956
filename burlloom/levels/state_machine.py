"""State machine of the service levels, with hysteresis in value and in time.

Level 0 restricts nothing; each further level restricts more. Each round has one event: WORSE
requests a step down to the next level, BETTER a trial of the level above; unknown signals lead to
neither. The whole state is one small tuple, `DegradationStatus`, so that tests/explore_levels.py
can explore every history. Does no I/O.

A trial does not change the level: each caller is served at this level or at the one above. A failed
trial doubles the stay before the next trial. A trial continues as long as the cap on changes allows
no step up.

The number of changes in any minute is bounded by `max_changes_per_minute`, whatever the signals do:
a step up is taken only if the changes of the last minute, the step itself and a descent from there
to the last level together stay within the cap. Proof for any minute: without a step up, the minute
has at most as many changes as there are levels below. With one, consider the last step up of the
minute: the condition bounds the sum of the changes before it, the step itself and all changes that
can follow.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from ..time_units import NS_PER_SECOND

NS_PER_MINUTE = 60 * NS_PER_SECOND
# Shares of the callers that the successive steps of a trial serve at the level above.
TRIAL_SHARES = (0.1, 0.3, 0.6, 0.9)


class DegradationPhase(IntEnum):
    """Whether a level is steady, on trial of the level above, or pinned."""

    STEADY = 0
    TRIAL = 1  # a share of the callers is served at the level above
    PINNED = 2  # an operator's pin holds the level


class DegradationEvent(IntEnum):
    """Inputs of the state machine."""

    SAME = 0  # no signal calls for a change
    WORSE = 1  # a signal has reached an entry bound
    BETTER = 2  # all signals are at or below their exit bounds
    EMERGENCY = 3  # a signal has reached its emergency bound
    PIN = 4  # an operator pins a level
    RELEASE = 5  # the pin has been removed or has expired


# Columns: state, input, tests, next state, effect; "-" stands for no test. All tests must hold.
TRANSITION_TABLE = """
STEADY EMERGENCY  is_target_stricter                    STEADY drop
STEADY WORSE      has_dwelt has_stricter_level          STEADY down
STEADY BETTER     has_stayed                            TRIAL  begin
STEADY PIN        -                                     PINNED pin
TRIAL  EMERGENCY  is_target_stricter                    STEADY drop
TRIAL  EMERGENCY  -                                     STEADY abort
TRIAL  WORSE      -                                     STEADY abort
TRIAL  BETTER     has_trial_step_elapsed is_last_trial_step is_within_cap STEADY up
TRIAL  BETTER     has_trial_step_elapsed has_wider_trial_step TRIAL widen
TRIAL  PIN        -                                     PINNED pin
PINNED EMERGENCY  is_target_stricter                    PINNED drop
PINNED PIN        -                                     PINNED pin
PINNED RELEASE    -                                     STEADY release
"""


class DegradationStatus(NamedTuple):
    """The state machine's whole state. Times are in ns on the host's clock.

    Attributes:
        level: Index of the level.
        phase: The phase.
        trial_step: Index in TRIAL_SHARES; -1 outside a trial.
        since_ns: When the level was entered, or its last trial failed if that was later.
        changed_at_ns: Time of the last transition, steps of a trial included.
        rose_at_ns: When a step up entered this level; 0 if it was entered otherwise.
        calm_since_ns: Start of the current period of calm at a level entered by a step up: the step
            up, or the last time that calm took one doubling back.
        stay_doublings: How many times the stay of each level has doubled.
        recent_changes: Times of the changes of level in the last minute, oldest first; changes by
            an operator's pin are not included.
    """

    level: int
    phase: DegradationPhase = DegradationPhase.STEADY
    trial_step: int = -1
    since_ns: int = 0
    changed_at_ns: int = 0
    rose_at_ns: int = 0
    calm_since_ns: int = 0
    stay_doublings: tuple[int, ...] = ()
    recent_changes: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class HysteresisPolicy:
    """Parameters of the state machine; times are in ns.

    Attributes:
        level_count: Number of levels, without those that only a pin reaches.
        dwell_ns: Minimum time between the last transition and a step down.
        min_stay_ns: Minimum time at a level before a trial of the level above. The time doubles
            whenever a trial fails, or a node steps down to the level again within `relapse_ns` of
            stepping up from it.
        max_stay_ns: Upper bound of the doubled stay.
        relapse_ns: Time after a step up within which a step down counts as a relapse, see
            `min_stay_ns`; each such period of calm takes one doubling back.
        trial_step_ns: Minimum time between two steps of a trial.
        max_changes_per_minute: Cap on the changes of level in any minute, pins excluded.
        stay_doubles: Whether the stay doubles; turned off only for comparison.
        uses_trials: Whether a step up is first tried on a share of the callers.

    Raises:
        ValueError: The cap is lower than the number of levels.
    """

    level_count: int
    dwell_ns: int = NS_PER_SECOND
    min_stay_ns: int = 5 * NS_PER_SECOND
    max_stay_ns: int = 160 * NS_PER_SECOND
    relapse_ns: int = 20 * NS_PER_SECOND
    trial_step_ns: int = 2 * NS_PER_SECOND
    max_changes_per_minute: int = 4
    stay_doubles: bool = True
    uses_trials: bool = True

    def __post_init__(self) -> None:
        if self.max_changes_per_minute < self.level_count:
            raise ValueError(
                f"{self.max_changes_per_minute} changes a minute are fewer than the"
                f" {self.level_count} automatic levels: a node at the last level could never"
                " return to the first"
            )


class Transition(NamedTuple):
    """Result of one event.

    Attributes:
        before: The status before the event.
        after: The status after the event.
        effect: Name of the effect; empty if no transition applied.
    """

    before: DegradationStatus
    after: DegradationStatus
    effect: str

    @property
    def has_changed_level(self) -> bool:
        """Returns whether the level changed."""
        return self.before.level != self.after.level


def max_changes_per_minute(policy: HysteresisPolicy) -> int:
    """Returns the highest number of changes of level in any minute, pins excluded."""
    return policy.max_changes_per_minute


class DegradationStateMachine:
    """Applies the transition table under a policy; stores no status, `handle` returns the next."""

    def __init__(self, policy: HysteresisPolicy) -> None:
        self.policy = policy

    def start(self, level: int, now_ns: int) -> DegradationStatus:
        """Returns the status of a node that starts at the level with that index at `now_ns`."""
        return DegradationStatus(
            level,
            since_ns=now_ns,
            changed_at_ns=now_ns,
            stay_doublings=(0,) * self.policy.level_count,
        )

    def handle(
        self, before: DegradationStatus, event: DegradationEvent, now_ns: int, target: int = 0
    ) -> Transition:
        """Applies the first transition whose tests all hold.

        Args:
            before: The status before the event.
            event: The event.
            now_ns: The time, ns on the host's clock.
            target: Index of the level that an emergency or a pin names.

        Returns:
            The transition; its effect is empty if none applied.
        """
        status = before._replace(
            recent_changes=tuple(
                change for change in before.recent_changes if change > now_ns - NS_PER_MINUTE
            )
        )
        for tests, phase, effect in RULES.get((before.phase, event), ()):
            if all(test(self, status, now_ns, target) for test in tests):
                after = EFFECTS[effect](self, status, now_ns, target)
                return Transition(before, after._replace(phase=phase, changed_at_ns=now_ns), effect)
        return Transition(before, self.decay_stay_doublings(status, now_ns), "")

    # Tests of the transition table.

    def is_target_stricter(self, status: DegradationStatus, now_ns: int, target: int) -> bool:
        """Test: the target level is more restrictive than this level."""
        return target > status.level

    def has_stricter_level(self, status: DegradationStatus, now_ns: int, target: int) -> bool:
        """Test: there is a more restrictive level that can be entered without a pin."""
        return status.level < self.policy.level_count - 1

    def has_dwelt(self, status: DegradationStatus, now_ns: int, target: int) -> bool:
        """Test: the minimum time between the last transition and a step down has passed."""
        return now_ns - status.changed_at_ns >= self.policy.dwell_ns

    def has_stayed(self, status: DegradationStatus, now_ns: int, target: int) -> bool:
        """Test: the minimum stay at this level has passed, and there is a level above."""
        return status.level > 0 and now_ns - status.since_ns >= self.min_stay_ns(status)

    def has_trial_step_elapsed(self, status: DegradationStatus, now_ns: int, target: int) -> bool:
        """Test: the minimum time of the trial's step has passed."""
        return now_ns - status.changed_at_ns >= self.policy.trial_step_ns

    def is_last_trial_step(self, status: DegradationStatus, now_ns: int, target: int) -> bool:
        """Test: the trial is at its last step, or trials are off."""
        return status.trial_step == len(TRIAL_SHARES) - 1 or not self.policy.uses_trials

    def has_wider_trial_step(self, status: DegradationStatus, now_ns: int, target: int) -> bool:
        """Test: the trial has a further step."""
        return status.trial_step < len(TRIAL_SHARES) - 1

    def is_within_cap(self, status: DegradationStatus, now_ns: int, target: int) -> bool:
        """Test: a step up and a descent from there to the last level stay within the cap."""
        steps_down = self.policy.level_count - 1 - max(0, status.level - 1)
        return (
            len(status.recent_changes) + 1 + max(0, steps_down)
            <= self.policy.max_changes_per_minute
        )

    # Effects of the transition table, and what they share.

    def min_stay_ns(self, status: DegradationStatus) -> int:
        """Returns the minimum stay at this level, doublings included, in ns."""
        doublings = (
            status.stay_doublings[status.level] if status.level < len(status.stay_doublings) else 0
        )
        return min(self.policy.max_stay_ns, self.policy.min_stay_ns << doublings)

    def add_stay_doubling(self, status: DegradationStatus, level: int) -> tuple[int, ...]:
        """Returns the doublings with one more for that level, up to `max_stay_ns`."""
        if (
            not self.policy.stay_doubles
            or level >= len(status.stay_doublings)
            or self.policy.min_stay_ns << status.stay_doublings[level] >= self.policy.max_stay_ns
        ):
            return status.stay_doublings
        return (
            *status.stay_doublings[:level],
            status.stay_doublings[level] + 1,
            *status.stay_doublings[level + 1 :],
        )

    def decay_stay_doublings(self, status: DegradationStatus, now_ns: int) -> DegradationStatus:
        """Returns the status with one doubling of the next level taken back if calm lasted.

        Calm has lasted if the level was entered by a step up and is steady, and `relapse_ns` have
        passed since `calm_since_ns`.
        """
        next_level = status.level + 1
        if (
            status.phase is DegradationPhase.STEADY
            and status.rose_at_ns
            and now_ns - status.calm_since_ns >= self.policy.relapse_ns
            and next_level < len(status.stay_doublings)
            and status.stay_doublings[next_level]
        ):
            stays = (
                *status.stay_doublings[:next_level],
                status.stay_doublings[next_level] - 1,
                *status.stay_doublings[next_level + 1 :],
            )
            return status._replace(stay_doublings=stays, calm_since_ns=now_ns)
        return status

    def step_down_to(self, status: DegradationStatus, now_ns: int, level: int) -> DegradationStatus:
        """Returns the status after a step down to a level; a relapse doubles its stay."""
        is_relapse = bool(status.rose_at_ns) and now_ns - status.rose_at_ns < self.policy.relapse_ns
        stays = self.add_stay_doubling(status, level) if is_relapse else status.stay_doublings
        return status._replace(
            level=level,
            trial_step=-1,
            since_ns=now_ns,
            rose_at_ns=0,
            stay_doublings=stays,
            recent_changes=(*status.recent_changes, now_ns),
        )

    def down(self, status: DegradationStatus, now_ns: int, target: int) -> DegradationStatus:
        """Effect: steps down to the next level."""
        return self.step_down_to(status, now_ns, status.level + 1)

    def drop(self, status: DegradationStatus, now_ns: int, target: int) -> DegradationStatus:
        """Effect: steps down to the emergency's level."""
        return self.step_down_to(status, now_ns, target)

    def begin(self, status: DegradationStatus, now_ns: int, target: int) -> DegradationStatus:
        """Effect: begins a trial of the level above."""
        return status._replace(trial_step=0)

    def widen(self, status: DegradationStatus, now_ns: int, target: int) -> DegradationStatus:
        """Effect: advances the trial to its next step."""
        return status._replace(trial_step=status.trial_step + 1)

    def abort(self, status: DegradationStatus, now_ns: int, target: int) -> DegradationStatus:
        """Effect: ends a failed trial and doubles the level's stay."""
        return status._replace(
            trial_step=-1,
            since_ns=now_ns,
            stay_doublings=self.add_stay_doubling(status, status.level),
        )

    def up(self, status: DegradationStatus, now_ns: int, target: int) -> DegradationStatus:
        """Effect: steps up to the level above."""
        return status._replace(
            level=status.level - 1,
            trial_step=-1,
            since_ns=now_ns,
            rose_at_ns=now_ns,
            calm_since_ns=now_ns,
            recent_changes=(*status.recent_changes, now_ns),
        )

    def pin(self, status: DegradationStatus, now_ns: int, target: int) -> DegradationStatus:
        """Effect: enters the pinned level."""
        return status._replace(level=target, trial_step=-1, since_ns=now_ns, rose_at_ns=0)

    def release(self, status: DegradationStatus, now_ns: int, target: int) -> DegradationStatus:
        """Effect: ends the pin and leaves a level that only a pin reaches."""
        return status._replace(
            level=min(status.level, self.policy.level_count - 1), since_ns=now_ns, rose_at_ns=0
        )


Test = Callable[[DegradationStateMachine, DegradationStatus, int, int], bool]
Effect = Callable[[DegradationStateMachine, DegradationStatus, int, int], DegradationStatus]
Rules = dict[
    tuple[DegradationPhase, DegradationEvent], list[tuple[tuple[Test, ...], DegradationPhase, str]]
]


def parse_rules(table: str) -> Rules:
    """Parses a transition table with any number of tests in a row.

    Args:
        table: Rows of phase, event, tests, next phase and effect; empty lines are skipped.

    Returns:
        The transitions of each phase and event, in the order of the table.

    Raises:
        KeyError: A row names an unknown phase or event.
        AttributeError: A row names an unknown test.
    """
    rules: Rules = {}
    for phase, event, *tests, after, effect in filter(None, map(str.split, table.split("\n"))):
        test_methods = tuple(
            getattr(DegradationStateMachine, test) for test in tests if test != "-"
        )
        rules.setdefault((DegradationPhase[phase], DegradationEvent[event]), []).append(
            (test_methods, DegradationPhase[after], effect)
        )
    return rules


RULES = parse_rules(TRANSITION_TABLE)
EFFECTS: dict[str, Effect] = {
    name: getattr(DegradationStateMachine, name)
    for name in ("down", "drop", "begin", "widen", "abort", "up", "pin", "release")
}
