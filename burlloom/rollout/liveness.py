"""What one process that may lead has observed, and when, on its own clock. No I/O.

Nobody's time is compared with another's. That a server lives is told by a heartbeat that it raises;
that it stopped, by our own clock since we last saw it rise (as clients of a lock watch a record's
version). Whoever begins to observe knows nothing: it sees nobody serve until a heartbeat has risen
before its eyes, and takes nobody for silent before it has waited for as long as anyone else would.
"""

from collections.abc import Hashable, Mapping
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

__all__ = [
    "SECOND_NS",
    "LivenessObserver",
    "Observation",
    "RequestCounts",
    "ServerPhase",
    "ServerReport",
]

SECOND_NS = 1_000_000_000


class ServerPhase(IntEnum):
    """Where a server is in its life; stored as a number."""

    STARTING = 0
    SERVING = 1
    LEAVING = 2


class RequestCounts(NamedTuple):
    """Of one incarnation, since it began; stored as an array in this order.

    Attributes:
        completed: Answered without error.
        late: Of these, slower than the latency objective.
        rejected: Answered with a rejection.
        failed: Answered with any other error.
    """

    completed: int = 0
    late: int = 0
    rejected: int = 0
    failed: int = 0

    def subtract(self, other: "RequestCounts") -> "RequestCounts":
        """Returns the difference, never below 0."""
        pairs = zip(self, other, strict=True)
        return RequestCounts(*(max(0, mine - theirs) for mine, theirs in pairs))

    def add(self, other: "RequestCounts") -> "RequestCounts":
        """Returns the sum."""
        return RequestCounts(*(mine + theirs for mine, theirs in zip(self, other, strict=True)))

    @property
    def total(self) -> int:
        """All requests that were answered."""
        return self.completed + self.rejected + self.failed


@dataclass(frozen=True, slots=True)
class ServerReport:
    """What a server reports of itself.

    Attributes:
        name: Unique in the fleet.
        incarnation: Grows from one start to the next.
        heartbeat: Counts up in an incarnation.
        phase: Where it is in its life.
        is_healthy: Callers are sent to it, and it is past its recovery.
        version: That it runs.
        acknowledged_step: The rollout state's step that it has acted on.
        counts: Its requests.
        downstream: By address of a downstream instance, calls that succeeded and that failed, in
            the last seconds.
        previous_incarnation: The one before, if that reported that it leaves; else 0.
    """

    name: str
    incarnation: int
    heartbeat: int
    phase: ServerPhase = ServerPhase.SERVING
    is_healthy: bool = True
    version: str = ""
    acknowledged_step: int = 0
    counts: RequestCounts = RequestCounts()
    downstream: Mapping[str, tuple[int, int]] | None = None
    previous_incarnation: int = 0


@dataclass(slots=True)
class Observation:
    """A value and how long it has been so.

    Attributes:
        value: As it was seen last.
        changed_at_ns: When it was first seen so.
        is_initial: Whether it has not changed before our eyes.
    """

    value: Hashable
    changed_at_ns: int
    is_initial: bool


class LivenessObserver:
    """Observes values of any kind, by key; heartbeats among them."""

    def __init__(self, heartbeat_ttl_ns: int) -> None:
        """Begins knowing nothing.

        Args:
            heartbeat_ttl_ns: How long a heartbeat counts after it rose.
        """
        self.heartbeat_ttl_ns = heartbeat_ttl_ns
        self.observations: dict[Hashable, Observation] = {}
        self._observed_at_ns: int | None = None

    def begin_round(self, now: int) -> None:
        """Begins a look at all of it.

        Where we did not look for long (the store was unavailable, or we stood still), that time is
        nobody's silence, and nobody was seen to serve in it.
        """
        if self._observed_at_ns is not None:
            gap_ns = now - self._observed_at_ns
            if gap_ns > self.heartbeat_ttl_ns // 2:
                for observation in self.observations.values():
                    observation.changed_at_ns += gap_ns
                    observation.is_initial = True
        self._observed_at_ns = now

    def observe(self, now: int, key: Hashable, value: Hashable) -> Observation:
        """Takes in a value, and returns since when it has been so."""
        known = self.observations.get(key)
        if known is None:
            known = self.observations[key] = Observation(value, now, True)
        elif known.value != value:
            known.value = value
            known.changed_at_ns = now
            known.is_initial = False
        return known

    def unchanged_for_ns(self, now: int, key: Hashable, value: Hashable) -> int:
        """Takes in a value, and returns for how long we have seen it so."""
        return now - self.observe(now, key, value).changed_at_ns

    def is_serving(self, now: int, report: ServerReport) -> bool:
        """Whether the server's heartbeat rose before our eyes lately."""
        observation = self.observe(now, *_heartbeat_of(report))
        age_ns = now - observation.changed_at_ns
        return not observation.is_initial and age_ns < self.heartbeat_ttl_ns

    def is_silent(self, now: int, report: ServerReport) -> bool:
        """Whether the server's heartbeat did not rise for as long as one counts."""
        return self.unchanged_for_ns(now, *_heartbeat_of(report)) >= self.heartbeat_ttl_ns

    @staticmethod
    def heartbeat_key(name: str) -> Hashable:
        """Returns the key of a server's heartbeat."""
        return "heartbeat", name

    def retain(self, keys: set[Hashable]) -> None:
        """Forgets all other keys."""
        for key in [key for key in self.observations if key not in keys]:
            del self.observations[key]


def _heartbeat_of(report: ServerReport) -> tuple[Hashable, Hashable]:
    key = LivenessObserver.heartbeat_key(report.name)
    return key, (report.incarnation, report.heartbeat)
