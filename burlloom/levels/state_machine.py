"""State machine of the service levels, with hysteresis in value and in time.

Level 0 takes nothing away; each further one takes more. Each round has one event: WORSE calls for
the next level down, BETTER for a trial of the one above; an unknown state is neither. The whole
state is one small tuple, `DegradationStatus`, so that tests/explore_levels.py can explore every
history.

A trial is no change of level: each caller is served at this level or at the one above, and a failed
trial doubles the stay before the next. A trial lasts while the cap on changes allows no step up.

Why it can't flap, whatever the signals do: a step up is taken only if the changes of the last
minute, this one, and a fall from there to the last level together stay within
`max_changes_per_minute`. Consider any minute. Without a step up it holds at most as many changes as
there are levels below. Else consider its last step up: the condition bounds the sum of what came
before it within the minute, itself, and all that can follow.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

SECOND = 1_000_000_000
MINUTE = 60 * SECOND
# Shares of the callers that a trial serves at the level above, in turn.
TRIAL_SHARES = (0.1, 0.3, 0.6, 0.9)


class DegradationPhase(IntEnum):
    """Whether the level is steady, being left by a trial, or pinned."""

    STEADY = 0
    TRIAL = 1  # part of the callers are served at the level above
    PINNED = 2  # an operator has pinned the level


class DegradationEvent(IntEnum):
    """Inputs of the state machine."""

    SAME = 0
    WORSE = 1
    BETTER = 2
    EMERGENCY = 3  # a signal has reached its emergency bound
    PIN = 4
    RELEASE = 5


TABLE = """
STEADY EMERGENCY  higher               STEADY drop
STEADY WORSE      dwelt more           STEADY down
STEADY BETTER     stayed               TRIAL  begin
STEADY PIN        -                    PINNED pin
TRIAL  EMERGENCY  higher               STEADY drop
TRIAL  EMERGENCY  -                    STEADY abort
TRIAL  WORSE      -                    STEADY abort
TRIAL  BETTER     tried widest within_cap STEADY up
TRIAL  BETTER     tried narrow         TRIAL  widen
TRIAL  PIN        -                    PINNED pin
PINNED EMERGENCY  higher               PINNED drop
PINNED PIN        -                    PINNED pin
PINNED RELEASE    -                    STEADY release
"""


class DegradationStatus(NamedTuple):
    """Where a node stands. Times are ns on the host's clock.

    Attributes:
        level: Index of the level.
        phase: The phase.
        trial_step: Index in TRIAL_SHARES; -1 outside a trial.
        since_ns: When the level was entered, or the last trial failed.
        changed_at_ns: The last transition, steps of a trial included.
        rose_at_ns: When the node came up to this level; 0 where it came down to it.
        calm_since_ns: Since when it has been calm, where it came up.
        stay_doublings: For each level, how many times its stay has doubled.
        recent_changes: Changes of the last minute, oldest first, without an operator's.
    """

    level: int
    phase: DegradationPhase = DegradationPhase.STEADY
    trial_step: int = -1  # index in TRIAL_SHARES, in a trial
    since_ns: int = 0  # at this level; where a trial failed, from then on
    changed_at_ns: int = 0  # the last step, also of a trial
    rose_at_ns: int = 0  # when it last came up to this level; 0 where it came down to it
    calm_since_ns: int = 0  # since when it has been calm on it, where it came up
    stay_doublings: tuple[int, ...] = ()
    recent_changes: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class HysteresisPolicy:
    """Parameters of the state machine; times are in ns.

    Attributes:
        level_count: Number of levels, without those that only a pin reaches.
        dwell_ns: Between two steps down.
        min_stay_ns: Least time at a level before a trial of the one above. It doubles each time
            that a trial fails or a level is entered again within `relapse_ns`.
        max_stay_ns: Upper bound of the doubled stay.
        relapse_ns: See `min_stay_ns`; each such time of calm takes one doubling back.
        trial_step_ns: Between two steps of a trial.
        max_changes_per_minute: Cap on the changes of level in any minute.
        stay_doubles: Whether the stay doubles; off for comparison.
        uses_trials: Whether a step up is tried on part of the callers first.

    Raises:
        ValueError: The cap is lower than the number of levels.
    """

    level_count: int
    dwell_ns: int = SECOND
    min_stay_ns: int = 5 * SECOND
    max_stay_ns: int = 160 * SECOND
    relapse_ns: int = 20 * SECOND
    trial_step_ns: int = 2 * SECOND
    max_changes_per_minute: int = 4
    stay_doubles: bool = True
    uses_trials: bool = True

    def __post_init__(self) -> None:
        if self.max_changes_per_minute < self.level_count:
            raise ValueError(
                f"changes_most {self.max_changes_per_minute} is under the"
                f" {self.level_count} levels: from the last one a node"
                " could never come back to the first"
            )


class Transition(NamedTuple):
    """Result of one round; `effect` is empty where nothing changed."""

    before: DegradationStatus
    after: DegradationStatus
    effect: str

    @property
    def has_changed_level(self) -> bool:
        """Whether the level changed."""
        return self.before.level != self.after.level


def max_changes_per_minute(policy: HysteresisPolicy) -> int:
    """Returns the most changes in any minute, without an operator's pins."""
    return policy.max_changes_per_minute


class DegradationStateMachine:
    """Applies the table under a policy; `handle` depends on its arguments alone."""

    def __init__(self, policy: HysteresisPolicy) -> None:
        self.policy = policy

    def start(self, level: int, now: int) -> DegradationStatus:
        """Returns the status of a node that starts at that level at `now` (ns)."""
        return DegradationStatus(
            level, since_ns=now, changed_at_ns=now, stay_doublings=(0,) * self.policy.level_count
        )

    def handle(
        self, at: DegradationStatus, event: DegradationEvent, now: int, target: int = 0
    ) -> Transition:
        """Applies the first transition whose tests all hold.

        Args:
            at: The status before.
            event: The event.
            now: The time, ns on the host's clock.
            target: The level that an emergency or a pin names.

        Returns:
            The transition.
        """
        status = at._replace(
            recent_changes=tuple(change for change in at.recent_changes if change > now - MINUTE)
        )
        for tests, phase, effect in RULES.get((at.phase, event), ()):
            if all(test(self, status, now, target) for test in tests):
                after = EFFECTS[effect](self, status, now, target)
                return Transition(at, after._replace(phase=phase, changed_at_ns=now), effect)
        return Transition(at, self.calm(status, now), "")

    # Tests.

    def higher(self, at: DegradationStatus, now: int, target: int) -> bool:
        """Test: the target takes more away than this level."""
        return target > at.level

    def more(self, at: DegradationStatus, now: int, target: int) -> bool:
        """Test: a further level can be entered without a pin."""
        return at.level < self.policy.level_count - 1

    def dwelt(self, at: DegradationStatus, now: int, target: int) -> bool:
        """Test: the time between two steps down has passed."""
        return now - at.changed_at_ns >= self.policy.dwell_ns

    def stayed(self, at: DegradationStatus, now: int, target: int) -> bool:
        """Test: the least stay at this level has passed, and there is a level above."""
        return at.level > 0 and now - at.since_ns >= self.min_stay_ns(at)

    def tried(self, at: DegradationStatus, now: int, target: int) -> bool:
        """Test: the trial's step has lasted its time."""
        return now - at.changed_at_ns >= self.policy.trial_step_ns

    def widest(self, at: DegradationStatus, now: int, target: int) -> bool:
        """Test: the trial is at its last step, or trials are off."""
        return at.trial_step == len(TRIAL_SHARES) - 1 or not self.policy.uses_trials

    def narrow(self, at: DegradationStatus, now: int, target: int) -> bool:
        """Test: the trial has a further step."""
        return at.trial_step < len(TRIAL_SHARES) - 1

    def within_cap(self, at: DegradationStatus, now: int, target: int) -> bool:
        """Test: a step up and a fall from there to the last level stay within the cap."""
        falls = self.policy.level_count - 1 - max(0, at.level - 1)
        return len(at.recent_changes) + 1 + max(0, falls) <= self.policy.max_changes_per_minute

    # Effects.

    def min_stay_ns(self, at: DegradationStatus) -> int:
        """Returns the least stay at this level, doublings included, ns."""
        doubled = at.stay_doublings[at.level] if at.level < len(at.stay_doublings) else 0
        return min(self.policy.max_stay_ns, self.policy.min_stay_ns << doubled)

    def doubled(self, at: DegradationStatus, level: int) -> tuple[int, ...]:
        """Returns the doublings with one more for that level, up to the longest stay."""
        if (
            not self.policy.stay_doubles
            or level >= len(at.stay_doublings)
            or self.policy.min_stay_ns << at.stay_doublings[level] >= self.policy.max_stay_ns
        ):
            return at.stay_doublings
        return (
            *at.stay_doublings[:level],
            at.stay_doublings[level] + 1,
            *at.stay_doublings[level + 1 :],
        )

    def calm(self, at: DegradationStatus, now: int) -> DegradationStatus:
        """Takes back one doubling of the next level after each `relapse_ns` of calm."""
        next_level = at.level + 1
        if (
            at.phase is DegradationPhase.STEADY
            and at.rose_at_ns
            and now - at.calm_since_ns >= self.policy.relapse_ns
            and next_level < len(at.stay_doublings)
            and at.stay_doublings[next_level]
        ):
            stays = (
                *at.stay_doublings[:next_level],
                at.stay_doublings[next_level] - 1,
                *at.stay_doublings[next_level + 1 :],
            )
            return at._replace(stay_doublings=stays, calm_since_ns=now)
        return at

    def fallen(self, at: DegradationStatus, now: int, level: int) -> DegradationStatus:
        """Returns the status after a fall to that level; an early one doubles its stay."""
        early = bool(at.rose_at_ns) and now - at.rose_at_ns < self.policy.relapse_ns
        stays = self.doubled(at, level) if early else at.stay_doublings
        return at._replace(
            level=level,
            trial_step=-1,
            since_ns=now,
            rose_at_ns=0,
            stay_doublings=stays,
            recent_changes=(*at.recent_changes, now),
        )

    def down(self, at: DegradationStatus, now: int, target: int) -> DegradationStatus:
        """Effect: one level down."""
        return self.fallen(at, now, at.level + 1)

    def drop(self, at: DegradationStatus, now: int, target: int) -> DegradationStatus:
        """Effect: down to the emergency's level."""
        return self.fallen(at, now, target)

    def begin(self, at: DegradationStatus, now: int, target: int) -> DegradationStatus:
        """Effect: begins a trial of the level above."""
        return at._replace(trial_step=0)

    def widen(self, at: DegradationStatus, now: int, target: int) -> DegradationStatus:
        """Effect: the trial's next step."""
        return at._replace(trial_step=at.trial_step + 1)

    def abort(self, at: DegradationStatus, now: int, target: int) -> DegradationStatus:
        """Effect: ends a failed trial and doubles the stay."""
        return at._replace(trial_step=-1, since_ns=now, stay_doublings=self.doubled(at, at.level))

    def up(self, at: DegradationStatus, now: int, target: int) -> DegradationStatus:
        """Effect: one level up."""
        return at._replace(
            level=at.level - 1,
            trial_step=-1,
            since_ns=now,
            rose_at_ns=now,
            calm_since_ns=now,
            recent_changes=(*at.recent_changes, now),
        )

    def pin(self, at: DegradationStatus, now: int, target: int) -> DegradationStatus:
        """Effect: to the pinned level."""
        return at._replace(level=target, trial_step=-1, since_ns=now, rose_at_ns=0)

    def release(self, at: DegradationStatus, now: int, target: int) -> DegradationStatus:
        """Effect: leaves the pin, from a level that only a pin reaches to the last other one."""
        return at._replace(
            level=min(at.level, self.policy.level_count - 1), since_ns=now, rose_at_ns=0
        )


Test = Callable[[DegradationStateMachine, DegradationStatus, int, int], bool]
Effect = Callable[[DegradationStateMachine, DegradationStatus, int, int], DegradationStatus]
Rules = dict[
    tuple[DegradationPhase, DegradationEvent], list[tuple[tuple[Test, ...], DegradationPhase, str]]
]


def rules(table: str) -> Rules:
    """Parses a table: phase, event, tests, next phase, effect.

    Returns:
        By phase and event, the transitions in the table's order.

    Raises:
        KeyError: A row names an unknown phase or event.
        AttributeError: A row names an unknown test.
    """
    found: Rules = {}
    for phase, event, *tests, after, effect in filter(None, map(str.split, table.split("\n"))):
        named = tuple(getattr(DegradationStateMachine, test) for test in tests if test != "-")
        found.setdefault((DegradationPhase[phase], DegradationEvent[event]), []).append(
            (named, DegradationPhase[after], effect)
        )
    return found


RULES = rules(TABLE)
EFFECTS: dict[str, Effect] = {
    name: getattr(DegradationStateMachine, name)
    for name in ("down", "drop", "begin", "widen", "abort", "up", "pin", "release")
}
