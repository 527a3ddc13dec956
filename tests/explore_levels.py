"""Walks every history of the ladder of levels: each round any input at all, time in whole ticks.

The ladder moves by the very table of burlloom.levels.state_machine. What is counted is counted here: how
often the level changed within any minute. Ages past all that the terms ask about are the same
state.
"""

from collections import deque
from typing import NamedTuple

from burlloom.levels import (
    DegradationEvent,
    DegradationStateMachine,
    DegradationStatus,
    HysteresisPolicy,
)

SECOND = 1_000_000_000
NOW = 1000 * SECOND


class World(NamedTuple):
    at: DegradationStatus
    seen: tuple[int, ...]  # ages in ticks of the changes of the last minute, counted here


class Explorer:
    def __init__(self, terms: HysteresisPolicy, tick: int) -> None:
        self.ladder, self.tick = DegradationStateMachine(terms), tick
        self.window = 60 * SECOND // tick
        self.oldest = max(terms.max_stay_ns, terms.relapse_ns, terms.dwell_ns, terms.trial_step_ns)
        self.levels = terms.level_count
        self.most = 0

    def aged(self, at: DegradationStatus) -> DegradationStatus:
        """One tick later, with `NOW` where it was."""

        def older(then: int) -> int:
            return max(then - self.tick, NOW - self.oldest)

        return at._replace(
            since_ns=older(at.since_ns),
            changed_at_ns=older(at.changed_at_ns),
            rose_at_ns=older(at.rose_at_ns) if at.rose_at_ns else 0,
            calm_since_ns=older(at.calm_since_ns) if at.rose_at_ns else 0,
            recent_changes=tuple(
                change - self.tick
                for change in at.recent_changes
                if change - self.tick > NOW - 60 * SECOND
            ),
        )

    def walk(self, starts: range) -> int:
        """The number of states; `most` is then the most changes that any minute held."""
        first = [World(self.aged(self.ladder.start(level, NOW)), ()) for level in starts]
        known, waiting = set(first), deque(first)
        while waiting:
            world = waiting.popleft()
            for what in (
                DegradationEvent.SAME,
                DegradationEvent.WORSE,
                DegradationEvent.BETTER,
                DegradationEvent.EMERGENCY,
            ):
                for target in range(1, self.levels) if what is DegradationEvent.EMERGENCY else (0,):
                    change = self.ladder.handle(world.at, what, NOW, target)
                    assert 0 <= change.after.level < self.levels
                    assert change.after.level >= world.at.level - 1, (
                        "it skipped a level on the way up"
                    )
                    assert (
                        what not in (DegradationEvent.SAME, DegradationEvent.EMERGENCY)
                        or change.after.level >= world.at.level
                    )
                    seen = (*world.seen, 0) if change.has_changed_level else world.seen
                    self.most = max(self.most, len(seen))
                    after = World(
                        self.aged(change.after),
                        tuple(age + 1 for age in seen if age + 1 < self.window),
                    )
                    if after not in known:
                        known.add(after)
                        waiting.append(after)
        return len(known)
