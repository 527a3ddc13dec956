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
PARTS = (
    0.1,
    0.3,
    0.6,
    0.9,
)  # of the callers, that a trial serves at the level above, one after the other


class Phase(IntEnum):
    STEADY = 0
    TRIAL = 1  # part of the callers are served at the level above
    PINNED = 2  # an operator holds it


class Input(IntEnum):
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


class Standing(NamedTuple):
    """Where a node stands; times are ns on the host's clock. `stays`: how many times its stay on
    each level doubled.

    `changes` are those of the last minute, the oldest first; an operator's are not among them.
    """

    level: int
    phase: Phase = Phase.STEADY
    part: int = -1  # of PARTS, in a trial
    since: int = 0  # at this level; where a trial failed, from then on
    moved: int = 0  # the last step, also of a trial
    rose: int = 0  # when it last came up to this level; 0 where it came down to it
    calmed: int = 0  # since when it has been calm on it, where it came up
    stays: tuple[int, ...] = ()
    changes: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class Terms:
    """The ladder's times, ns. `levels`: how many there are, counted without those that only a pin
    reaches.

    dwell: between two steps down. stay: the least on a level before a trial of the one above; it
    doubles each time that a trial fails or a level is left too early (it is back within `relapse`),
    up to `stay_most`, and is forgiven one doubling for each `relapse` that was calm. trial: between
    two widenings of a trial.
    """

    levels: int
    dwell: int = SECOND
    stay: int = 5 * SECOND
    stay_most: int = 160 * SECOND
    relapse: int = 20 * SECOND
    trial: int = 2 * SECOND
    changes_most: int = 4
    grows: bool = True  # whether the stay does; without, for comparison
    trials: bool = True  # whether a step up is tried on part of the callers first

    def __post_init__(self) -> None:
        if self.changes_most < self.levels:
            raise ValueError(
                f"changes_most {self.changes_most} is under the {self.levels} levels: from the last one a node"
                " could never come back to the first"
            )


class Change(NamedTuple):
    """What a round did; `effect` is empty where it did nothing."""

    before: Standing
    after: Standing
    effect: str

    @property
    def moved(self) -> bool:
        return self.before.level != self.after.level


def most_changes(terms: Terms) -> int:
    """In any minute, whatever the signals do; an operator's pins are not counted."""
    return terms.changes_most


class Ladder:
    """The table with its terms. `meet` is a function of its arguments alone."""

    def __init__(self, terms: Terms) -> None:
        self.terms = terms

    def start(self, level: int, now: int) -> Standing:
        return Standing(level, since=now, moved=now, stays=(0,) * self.terms.levels)

    def meet(self, at: Standing, what: Input, now: int, target: int = 0) -> Change:
        """`target`: the level that an emergency or a pin names. The first row whose tests all hold
        moves it.
        """
        kept = at._replace(changes=tuple(change for change in at.changes if change > now - MINUTE))
        for tests, phase, effect in RULES.get((at.phase, what), ()):
            if all(test(self, kept, now, target) for test in tests):
                after = EFFECTS[effect](self, kept, now, target)
                return Change(at, after._replace(phase=phase, moved=now), effect)
        return Change(at, self.calm(kept, now), "")

    # Tests.

    def higher(self, at: Standing, now: int, target: int) -> bool:
        return target > at.level

    def more(self, at: Standing, now: int, target: int) -> bool:
        return at.level < self.terms.levels - 1

    def dwelt(self, at: Standing, now: int, target: int) -> bool:
        return now - at.moved >= self.terms.dwell

    def stayed(self, at: Standing, now: int, target: int) -> bool:
        return at.level > 0 and now - at.since >= self.stay(at)

    def tried(self, at: Standing, now: int, target: int) -> bool:
        return now - at.moved >= self.terms.trial

    def widest(self, at: Standing, now: int, target: int) -> bool:
        return at.part == len(PARTS) - 1 or not self.terms.trials

    def narrow(self, at: Standing, now: int, target: int) -> bool:
        return at.part < len(PARTS) - 1

    def room(self, at: Standing, now: int, target: int) -> bool:
        """After one up from here, a fall to the last level would still be within the cap."""
        falls = self.terms.levels - 1 - max(0, at.level - 1)
        return len(at.changes) + 1 + max(0, falls) <= self.terms.changes_most

    # Effects.

    def stay(self, at: Standing) -> int:
        doubled = at.stays[at.level] if at.level < len(at.stays) else 0
        return min(self.terms.stay_most, self.terms.stay << doubled)

    def doubled(self, at: Standing, level: int) -> tuple[int, ...]:
        """The stays, with that of this level doubled once more."""
        if (
            not self.terms.grows
            or level >= len(at.stays)
            or self.terms.stay << at.stays[level] >= self.terms.stay_most
        ):
            return at.stays
        return (*at.stays[:level], at.stays[level] + 1, *at.stays[level + 1 :])

    def calm(self, at: Standing, now: int) -> Standing:
        """Time spent calm on a level that it came up to forgives the one below a doubling, each
        `relapse` one.
        """
        below = at.level + 1
        if (
            at.phase is Phase.STEADY
            and at.rose
            and now - at.calmed >= self.terms.relapse
            and below < len(at.stays)
            and at.stays[below]
        ):
            stays = (*at.stays[:below], at.stays[below] - 1, *at.stays[below + 1 :])
            return at._replace(stays=stays, calmed=now)
        return at

    def fallen(self, at: Standing, now: int, level: int) -> Standing:
        early = bool(at.rose) and now - at.rose < self.terms.relapse
        stays = self.doubled(at, level) if early else at.stays
        return at._replace(
            level=level, part=-1, since=now, rose=0, stays=stays, changes=(*at.changes, now)
        )

    def down(self, at: Standing, now: int, target: int) -> Standing:
        return self.fallen(at, now, at.level + 1)

    def drop(self, at: Standing, now: int, target: int) -> Standing:
        return self.fallen(at, now, target)

    def begin(self, at: Standing, now: int, target: int) -> Standing:
        return at._replace(part=0)

    def widen(self, at: Standing, now: int, target: int) -> Standing:
        return at._replace(part=at.part + 1)

    def abort(self, at: Standing, now: int, target: int) -> Standing:
        return at._replace(part=-1, since=now, stays=self.doubled(at, at.level))

    def up(self, at: Standing, now: int, target: int) -> Standing:
        return at._replace(
            level=at.level - 1, part=-1, since=now, rose=now, calmed=now, changes=(*at.changes, now)
        )

    def pin(self, at: Standing, now: int, target: int) -> Standing:
        return at._replace(level=target, part=-1, since=now, rose=0)

    def release(self, at: Standing, now: int, target: int) -> Standing:
        """It works its way from the pinned level; one that only a pin reaches is left for the last
        that counts.
        """
        return at._replace(level=min(at.level, self.terms.levels - 1), since=now, rose=0)


Test = Callable[[Ladder, Standing, int, int], bool]
Effect = Callable[[Ladder, Standing, int, int], Standing]
Rules = dict[tuple[Phase, Input], list[tuple[tuple[Test, ...], Phase, str]]]


def rules(table: str) -> Rules:
    found: Rules = {}
    for phase, what, *tests, after, effect in filter(None, map(str.split, table.split("\n"))):
        named = tuple(getattr(Ladder, test) for test in tests if test != "-")
        found.setdefault((Phase[phase], Input[what]), []).append((named, Phase[after], effect))
    return found


RULES = rules(TABLE)
EFFECTS: dict[str, Effect] = {
    name: getattr(Ladder, name)
    for name in ("down", "drop", "begin", "widen", "abort", "up", "pin", "release")
}
