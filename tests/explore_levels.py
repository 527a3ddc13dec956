"""Walks every history of the ladder of levels: each round any input at all, time in whole ticks.

The ladder moves by the very table of burlloom.levels.ladder. What is counted is counted here: how
often the level changed within any minute. Ages past all that the terms ask about are the same
state.
"""

from collections import deque
from typing import NamedTuple

from burlloom.levels import Input, Ladder, Standing, Terms

SECOND = 1_000_000_000
NOW = 1000 * SECOND


class World(NamedTuple):
    at: Standing
    seen: tuple[int, ...]  # ages in ticks of the changes of the last minute, counted here


class Explorer:
    def __init__(self, terms: Terms, tick: int) -> None:
        self.ladder, self.tick = Ladder(terms), tick
        self.window = 60 * SECOND // tick
        self.oldest = max(terms.stay_most, terms.relapse, terms.dwell, terms.trial)
        self.levels = terms.levels
        self.most = 0

    def aged(self, at: Standing) -> Standing:
        """One tick later, with `NOW` where it was."""

        def older(then: int) -> int:
            return max(then - self.tick, NOW - self.oldest)

        return at._replace(
            since=older(at.since),
            moved=older(at.moved),
            rose=older(at.rose) if at.rose else 0,
            calmed=older(at.calmed) if at.rose else 0,
            changes=tuple(
                change - self.tick
                for change in at.changes
                if change - self.tick > NOW - 60 * SECOND
            ),
        )

    def walk(self, starts: range) -> int:
        """The number of states; `most` is then the most changes that any minute held."""
        first = [World(self.aged(self.ladder.start(level, NOW)), ()) for level in starts]
        known, waiting = set(first), deque(first)
        while waiting:
            world = waiting.popleft()
            for what in (Input.SAME, Input.WORSE, Input.BETTER, Input.EMERGENCY):
                for target in range(1, self.levels) if what is Input.EMERGENCY else (0,):
                    change = self.ladder.meet(world.at, what, NOW, target)
                    assert 0 <= change.after.level < self.levels
                    assert change.after.level >= world.at.level - 1, (
                        "it skipped a level on the way up"
                    )
                    assert (
                        what not in (Input.SAME, Input.EMERGENCY)
                        or change.after.level >= world.at.level
                    )
                    seen = (*world.seen, 0) if change.moved else world.seen
                    self.most = max(self.most, len(seen))
                    after = World(
                        self.aged(change.after),
                        tuple(age + 1 for age in seen if age + 1 < self.window),
                    )
                    if after not in known:
                        known.add(after)
                        waiting.append(after)
        return len(known)
