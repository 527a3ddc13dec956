"""The ladder: a node stands on one level and moves by this table, one step at a time, and never
often.

Level 0 takes nothing away; each further one takes more. Once a round it is told how things look
from where it stands: WORSE calls for the next level down, BETTER for a trial of the one above, and
what is not known is neither. Its whole state is one small tuple, `Standing`, so that
tests/explore_levels.py can walk every history of it.

A trial is no change of level: all callers are served at this level or at the one above, and a trial
that fails doubles the stay before the next. It lasts where the cap leaves no room to come up.

Why it can't flap, whatever the signals do (`most_changes`): a step up is taken only if the changes
of the last minute, this one, and a fall from there to the last level would together stay within
`changes_most`. So look at any minute. If no step up lies in it, it holds at most as many changes as
there are levels below. Else take its last step up: what came before it within the minute, itself,
and all that can follow it are what the condition bounds.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

SECOND = 1_000_000_000
MINUTE = 60 * SECOND
TRIAL_SHARES = (
    0.1,
    0.3,
    0.6,
    0.9,
)  # of the callers, that a trial serves at the level above, one after the other


class DegradationPhase(IntEnum):
    STEADY = 0
    TRIAL = 1  # part of the callers are served at the level above
    PINNED = 2  # an operator holds it


class DegradationEvent(IntEnum):
    SAME = 0
    WORSE = 1
    BETTER = 2
    EMERGENCY = 3  # something named is at its end: at once to the level that is set for it
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
TRIAL  BETTER     tried widest room    STEADY up
TRIAL  BETTER     tried narrow         TRIAL  widen
TRIAL  PIN        -                    PINNED pin
PINNED EMERGENCY  higher               PINNED drop
PINNED PIN        -                    PINNED pin
PINNED RELEASE    -                    STEADY release
"""


class DegradationStatus(NamedTuple):
    """Where a node stands; times are ns on the host's clock. `stays`: how many times its stay on
    each level doubled.

    `changes` are those of the last minute, the oldest first; an operator's are not among them.
    """

    level: int
    phase: DegradationPhase = DegradationPhase.STEADY
    trial_step: int = -1  # of PARTS, in a trial
    since_ns: int = 0  # at this level; where a trial failed, from then on
    changed_at_ns: int = 0  # the last step, also of a trial
    rose_at_ns: int = 0  # when it last came up to this level; 0 where it came down to it
    calm_since_ns: int = 0  # since when it has been calm on it, where it came up
    stay_doublings: tuple[int, ...] = ()
    recent_changes: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class HysteresisPolicy:
    """The ladder's times, ns. `levels`: how many there are, counted without those that only a pin
    reaches.

    dwell: between two steps down. stay: the least on a level before a trial of the one above; it
    doubles each time that a trial fails or a level is left too early (it is back within `relapse`),
    up to `stay_most`, and is forgiven one doubling for each `relapse` that was calm. trial: between
    two widenings of a trial.
    """

    level_count: int
    dwell_ns: int = SECOND
    min_stay_ns: int = 5 * SECOND
    max_stay_ns: int = 160 * SECOND
    relapse_ns: int = 20 * SECOND
    trial_step_ns: int = 2 * SECOND
    max_changes_per_minute: int = 4
    stay_doubles: bool = True  # whether the stay does; without, for comparison
    uses_trials: bool = True  # whether a step up is tried on part of the callers first

    def __post_init__(self) -> None:
        if self.max_changes_per_minute < self.level_count:
            raise ValueError(
                f"changes_most {self.max_changes_per_minute} is under the {self.level_count} levels: from the last one a node"
                " could never come back to the first"
            )


class Transition(NamedTuple):
    """What a round did; `effect` is empty where it did nothing."""

    before: DegradationStatus
    after: DegradationStatus
    effect: str

    @property
    def has_changed_level(self) -> bool:
        return self.before.level != self.after.level


def max_changes_per_minute(terms: HysteresisPolicy) -> int:
    """In any minute, whatever the signals do; an operator's pins are not counted."""
    return terms.max_changes_per_minute


class DegradationStateMachine:
    """The table with its terms. `meet` is a function of its arguments alone."""

    def __init__(self, terms: HysteresisPolicy) -> None:
        self.policy = terms

    def start(self, level: int, now: int) -> DegradationStatus:
        return DegradationStatus(
            level, since_ns=now, changed_at_ns=now, stay_doublings=(0,) * self.policy.level_count
        )

    def handle(
        self, at: DegradationStatus, what: DegradationEvent, now: int, target: int = 0
    ) -> Transition:
        """`target`: the level that an emergency or a pin names. The first row whose tests all hold
        moves it.
        """
        kept = at._replace(
            recent_changes=tuple(change for change in at.recent_changes if change > now - MINUTE)
        )
        for tests, phase, effect in RULES.get((at.phase, what), ()):
            if all(test(self, kept, now, target) for test in tests):
                after = EFFECTS[effect](self, kept, now, target)
                return Transition(at, after._replace(phase=phase, changed_at_ns=now), effect)
        return Transition(at, self.calm(kept, now), "")

    # Tests.

    def higher(self, at: DegradationStatus, now: int, target: int) -> bool:
        return target > at.level

    def more(self, at: DegradationStatus, now: int, target: int) -> bool:
        return at.level < self.policy.level_count - 1

    def dwelt(self, at: DegradationStatus, now: int, target: int) -> bool:
        return now - at.changed_at_ns >= self.policy.dwell_ns

    def stayed(self, at: DegradationStatus, now: int, target: int) -> bool:
        return at.level > 0 and now - at.since_ns >= self.min_stay_ns(at)

    def tried(self, at: DegradationStatus, now: int, target: int) -> bool:
        return now - at.changed_at_ns >= self.policy.trial_step_ns

    def widest(self, at: DegradationStatus, now: int, target: int) -> bool:
        return at.trial_step == len(TRIAL_SHARES) - 1 or not self.policy.uses_trials

    def narrow(self, at: DegradationStatus, now: int, target: int) -> bool:
        return at.trial_step < len(TRIAL_SHARES) - 1

    def room(self, at: DegradationStatus, now: int, target: int) -> bool:
        """After one up from here, a fall to the last level would still be within the cap."""
        falls = self.policy.level_count - 1 - max(0, at.level - 1)
        return len(at.recent_changes) + 1 + max(0, falls) <= self.policy.max_changes_per_minute

    # Effects.

    def min_stay_ns(self, at: DegradationStatus) -> int:
        doubled = at.stay_doublings[at.level] if at.level < len(at.stay_doublings) else 0
        return min(self.policy.max_stay_ns, self.policy.min_stay_ns << doubled)

    def doubled(self, at: DegradationStatus, level: int) -> tuple[int, ...]:
        """The stays, with that of this level doubled once more."""
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
        """Time spent calm on a level that it came up to forgives the one below a doubling, each
        `relapse` one.
        """
        below = at.level + 1
        if (
            at.phase is DegradationPhase.STEADY
            and at.rose_at_ns
            and now - at.calm_since_ns >= self.policy.relapse_ns
            and below < len(at.stay_doublings)
            and at.stay_doublings[below]
        ):
            stays = (
                *at.stay_doublings[:below],
                at.stay_doublings[below] - 1,
                *at.stay_doublings[below + 1 :],
            )
            return at._replace(stay_doublings=stays, calm_since_ns=now)
        return at

    def fallen(self, at: DegradationStatus, now: int, level: int) -> DegradationStatus:
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
        return self.fallen(at, now, at.level + 1)

    def drop(self, at: DegradationStatus, now: int, target: int) -> DegradationStatus:
        return self.fallen(at, now, target)

    def begin(self, at: DegradationStatus, now: int, target: int) -> DegradationStatus:
        return at._replace(trial_step=0)

    def widen(self, at: DegradationStatus, now: int, target: int) -> DegradationStatus:
        return at._replace(trial_step=at.trial_step + 1)

    def abort(self, at: DegradationStatus, now: int, target: int) -> DegradationStatus:
        return at._replace(trial_step=-1, since_ns=now, stay_doublings=self.doubled(at, at.level))

    def up(self, at: DegradationStatus, now: int, target: int) -> DegradationStatus:
        return at._replace(
            level=at.level - 1,
            trial_step=-1,
            since_ns=now,
            rose_at_ns=now,
            calm_since_ns=now,
            recent_changes=(*at.recent_changes, now),
        )

    def pin(self, at: DegradationStatus, now: int, target: int) -> DegradationStatus:
        return at._replace(level=target, trial_step=-1, since_ns=now, rose_at_ns=0)

    def release(self, at: DegradationStatus, now: int, target: int) -> DegradationStatus:
        """It works its way from the pinned level; one that only a pin reaches is left for the last
        that counts.
        """
        return at._replace(
            level=min(at.level, self.policy.level_count - 1), since_ns=now, rose_at_ns=0
        )


Test = Callable[[DegradationStateMachine, DegradationStatus, int, int], bool]
Effect = Callable[[DegradationStateMachine, DegradationStatus, int, int], DegradationStatus]
Rules = dict[
    tuple[DegradationPhase, DegradationEvent], list[tuple[tuple[Test, ...], DegradationPhase, str]]
]


def rules(table: str) -> Rules:
    found: Rules = {}
    for phase, what, *tests, after, effect in filter(None, map(str.split, table.split("\n"))):
        named = tuple(getattr(DegradationStateMachine, test) for test in tests if test != "-")
        found.setdefault((DegradationPhase[phase], DegradationEvent[what]), []).append(
            (named, DegradationPhase[after], effect)
        )
    return found


RULES = rules(TABLE)
EFFECTS: dict[str, Effect] = {
    name: getattr(DegradationStateMachine, name)
    for name in ("down", "drop", "begin", "widen", "abort", "up", "pin", "release")
}
