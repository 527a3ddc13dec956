"""Observations of one process that may lead, timed on its own clock. No I/O.

Clocks of different processes are never compared. A server shows that it is alive by increasing its
heartbeat. It counts as silent if the observer has not seen the heartbeat increase for the heartbeat
TTL on its own clock. Clients of a distributed lock watch the version of its record in the same way.

A new observer starts without knowledge: a server counts as serving only once the observer has seen
its heartbeat increase, and as silent only after the full heartbeat TTL.
"""

from collections.abc import Hashable, Mapping
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

__all__ = [
    "LivenessObserver",
    "Observation",
    "RequestCounts",
    "ServerPhase",
    "ServerReport",
]


class ServerPhase(IntEnum):
    """Phase in the life cycle of a server; stored as a number."""

    STARTING = 0
    SERVING = 1
    LEAVING = 2


class RequestCounts(NamedTuple):
    """Requests of one incarnation since its start, by outcome; stored as an array in this order.

    Attributes:
        completed: Requests answered without error.
        late: Completed requests that exceeded their latency objective.
        rejected: Requests answered with a rejection.
        failed: Requests answered with any other error.
    """

    completed: int = 0
    late: int = 0
    rejected: int = 0
    failed: int = 0

    def subtract(self, other: "RequestCounts") -> "RequestCounts":
        """Returns the difference of each count, at least 0."""
        pairs = zip(self, other, strict=True)
        return RequestCounts(*(max(0, left - right) for left, right in pairs))

    def add(self, other: "RequestCounts") -> "RequestCounts":
        """Returns the sum of each count."""
        return RequestCounts(*(left + right for left, right in zip(self, other, strict=True)))

    @property
    def total(self) -> int:
        """Number of all answered requests."""
        return self.completed + self.rejected + self.failed


@dataclass(frozen=True, slots=True)
class ServerReport:
    """Report of a server about itself.

    Attributes:
        name: Name of the server, unique in the fleet.
        incarnation: Incarnation of the server; larger at each start than at the one before.
        heartbeat: Counter that increases with each report of the incarnation.
        phase: Phase in the server's life cycle.
        is_healthy: Whether callers are sent to the server and its recovery is complete.
        version: Version that the server runs; empty if unknown.
        acknowledged_step: Latest step of the rollout state that the server has acted on.
        counts: Requests since the incarnation started.
        downstream: Numbers of succeeded and failed calls in the last seconds, by address of the
            downstream instance; None or empty if the server has made no such calls.
        previous_incarnation: Incarnation before this one if its last report was that it leaves; 0
            otherwise.
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
    """An observed value and when it was first observed.

    Attributes:
        value: Value that was observed last.
        changed_at_ns: When this value was first observed, in ns of the observer's clock.
        is_initial: Whether the observer has not seen the value change.
    """

    value: Hashable
    changed_at_ns: int
    is_initial: bool


class LivenessObserver:
    """Tracks for how long values, such as heartbeats, have not changed."""

    def __init__(self, heartbeat_ttl_ns: int) -> None:
        """Starts without observations.

        Args:
            heartbeat_ttl_ns: Time after its last heartbeat at which a server counts as silent.
        """
        self.heartbeat_ttl_ns = heartbeat_ttl_ns
        self.observations: dict[Hashable, Observation] = {}
        self._observed_at_ns: int | None = None

    def begin_round(self, now_ns: int) -> None:
        """Begins a round of observations.

        If the last round is more than half the heartbeat TTL ago, because the store was unavailable
        or this process did not run, the gap does not count as silence of any server. No server
        counts as serving until its heartbeat increases again.
        """
        if self._observed_at_ns is not None:
            gap_ns = now_ns - self._observed_at_ns
            if gap_ns > self.heartbeat_ttl_ns // 2:
                for observation in self.observations.values():
                    observation.changed_at_ns += gap_ns
                    observation.is_initial = True
        self._observed_at_ns = now_ns

    def observe(self, now_ns: int, key: Hashable, value: Hashable) -> Observation:
        """Records the current value of a key and returns its observation."""
        observation = self.observations.get(key)
        if observation is None:
            observation = self.observations[key] = Observation(value, now_ns, True)
        elif observation.value != value:
            observation.value = value
            observation.changed_at_ns = now_ns
            observation.is_initial = False
        return observation

    def unchanged_for_ns(self, now_ns: int, key: Hashable, value: Hashable) -> int:
        """Records the current value of a key and returns for how long it is unchanged, in ns."""
        return now_ns - self.observe(now_ns, key, value).changed_at_ns

    def is_serving(self, now_ns: int, report: ServerReport) -> bool:
        """Returns whether the observer saw the heartbeat increase within the heartbeat TTL."""
        observation = self.observe(now_ns, *_heartbeat_of(report))
        age_ns = now_ns - observation.changed_at_ns
        return not observation.is_initial and age_ns < self.heartbeat_ttl_ns

    def is_silent(self, now_ns: int, report: ServerReport) -> bool:
        """Returns whether the heartbeat has not increased for the heartbeat TTL."""
        return self.unchanged_for_ns(now_ns, *_heartbeat_of(report)) >= self.heartbeat_ttl_ns

    @staticmethod
    def heartbeat_key(name: str) -> Hashable:
        """Returns the key under which a server's heartbeat is observed."""
        return "heartbeat", name

    def retain(self, keys: set[Hashable]) -> None:
        """Drops the observations of all other keys."""
        for key in [key for key in self.observations if key not in keys]:
            del self.observations[key]


def _heartbeat_of(report: ServerReport) -> tuple[Hashable, Hashable]:
    key = LivenessObserver.heartbeat_key(report.name)
    return key, (report.incarnation, report.heartbeat)
