"""Explores every history of the service levels' state machine: any input each round, time in ticks.

The explorer applies the transition table of burlloom.levels.state_machine. It counts the changes of
level within any minute itself. Ages beyond every time of the policy lead to the same state.
"""

from collections import deque
from typing import NamedTuple

from burlloom.levels import (
    DegradationEvent,
    DegradationStateMachine,
    DegradationStatus,
    HysteresisPolicy,
)
from burlloom.time_units import NS_PER_SECOND

NOW_NS = 1000 * NS_PER_SECOND


class ExploredState(NamedTuple):
    """A state of the exploration.

    Attributes:
        status: The state machine's status, with its times relative to NOW_NS.
        change_ages: Ages in ticks of the changes of the last minute, as the explorer counts them.
    """

    status: DegradationStatus
    change_ages: tuple[int, ...]


class Explorer:
    """Explores all states that are reachable under a policy.

    Attributes:
        max_changes: Highest number of changes in any minute so far.
    """

    def __init__(self, policy: HysteresisPolicy, tick_ns: int) -> None:
        self.machine, self.tick_ns = DegradationStateMachine(policy), tick_ns
        self.ticks_per_minute = 60 * NS_PER_SECOND // tick_ns
        self.max_age_ns = max(
            policy.max_stay_ns, policy.relapse_ns, policy.dwell_ns, policy.trial_step_ns
        )
        self.level_count = policy.level_count
        self.max_changes = 0

    def age_status(self, status: DegradationStatus) -> DegradationStatus:
        """Returns the status one tick later, with its times moved so that NOW_NS stays the time."""

        def age_time(time_ns: int) -> int:
            return max(time_ns - self.tick_ns, NOW_NS - self.max_age_ns)

        return status._replace(
            since_ns=age_time(status.since_ns),
            changed_at_ns=age_time(status.changed_at_ns),
            rose_at_ns=age_time(status.rose_at_ns) if status.rose_at_ns else 0,
            calm_since_ns=age_time(status.calm_since_ns) if status.rose_at_ns else 0,
            recent_changes=tuple(
                change - self.tick_ns
                for change in status.recent_changes
                if change - self.tick_ns > NOW_NS - 60 * NS_PER_SECOND
            ),
        )

    def explore(self, start_levels: range) -> int:
        """Visits all states that are reachable from these levels; returns their number."""
        first = [
            ExploredState(self.age_status(self.machine.start(level, NOW_NS)), ())
            for level in start_levels
        ]
        known, waiting = set(first), deque(first)
        while waiting:
            state = waiting.popleft()
            for event in (
                DegradationEvent.SAME,
                DegradationEvent.WORSE,
                DegradationEvent.BETTER,
                DegradationEvent.EMERGENCY,
            ):
                for target in (
                    range(1, self.level_count) if event is DegradationEvent.EMERGENCY else (0,)
                ):
                    change = self.machine.handle(state.status, event, NOW_NS, target)
                    assert 0 <= change.after.level < self.level_count
                    assert change.after.level >= state.status.level - 1, "a step up skipped a level"
                    assert (
                        event not in (DegradationEvent.SAME, DegradationEvent.EMERGENCY)
                        or change.after.level >= state.status.level
                    )
                    change_ages = (
                        (*state.change_ages, 0) if change.has_changed_level else state.change_ages
                    )
                    self.max_changes = max(self.max_changes, len(change_ages))
                    after = ExploredState(
                        self.age_status(change.after),
                        tuple(age + 1 for age in change_ages if age + 1 < self.ticks_per_minute),
                    )
                    if after not in known:
                        known.add(after)
                        waiting.append(after)
        return len(known)
