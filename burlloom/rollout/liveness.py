"""What one of those who may lead has seen, and when, on its own clock. No I/O, nothing that others
rely on.

Nobody's time is compared with another's. That a server lives is told by a count that it raises;
that it stopped raising it, by our own clock since we last saw it rise (the way of lock clients that
watch a record's version). Whoever begins to watch knows nothing: it sees nobody serve until a count
has risen before its eyes, and takes nobody for silent before it has waited for as long as anyone
else would.
"""

from collections.abc import Hashable, Mapping
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

SECOND_NS = 1_000_000_000


class ServerPhase(IntEnum):
    STARTING = 0
    SERVING = 1
    LEAVING = 2


class RequestCounts(NamedTuple):
    """Of a life, since it began: txns settled, of these after the SLA time, declined, voided."""

    completed: int = 0
    late: int = 0
    rejected: int = 0
    failed: int = 0

    def subtract(self, other: "RequestCounts") -> "RequestCounts":
        return RequestCounts(*(max(0, mine - its) for mine, its in zip(self, other, strict=True)))

    def add(self, other: "RequestCounts") -> "RequestCounts":
        return RequestCounts(*(mine + its for mine, its in zip(self, other, strict=True)))

    @property
    def total(self) -> int:
        return self.completed + self.rejected + self.failed


@dataclass(frozen=True, slots=True)
class ServerReport:
    """What a server says of itself. `life` grows from one start to the next; `beat` counts up in a
    life. `well`: callers are sent to it, and it is past its way back. `heeded`: the book's step
    that it has acted on. `below`: calls to each instance of the services below that came back well
    and not, in its last seconds. `former`: the life before, if that said that it leaves; else 0.
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
    value: Hashable
    changed_at_ns: int
    is_initial: bool  # it has not changed before our eyes


class LivenessObserver:
    """`fresh`: ns for which a sign of life counts."""

    def __init__(self, fresh: int) -> None:
        self.heartbeat_ttl_ns = fresh
        self.observations: dict[Hashable, Observation] = {}
        self.observed_at_ns = -1

    def begin_round(self, now: int) -> None:
        """A look at all of it. Where we did not look for long (the store was away, or we stood
        still), that time is nobody's silence, and nobody was seen to serve in it.
        """
        gap = now - self.observed_at_ns
        if self.observed_at_ns >= 0 and gap > self.heartbeat_ttl_ns // 2:
            for seen in self.observations.values():
                seen.changed_at_ns, seen.is_initial = seen.changed_at_ns + gap, True
        self.observed_at_ns = now

    def observe(self, now: int, key: Hashable, what: Hashable) -> Observation:
        known = self.observations.get(key)
        if known is None:
            known = self.observations[key] = Observation(what, now, True)
        elif known.value != what:
            known.value, known.changed_at_ns, known.is_initial = what, now, False
        return known

    def unchanged_for_ns(self, now: int, key: Hashable, what: Hashable) -> int:
        """ns since we first saw it so."""
        return now - self.observe(now, key, what).changed_at_ns

    def is_serving(self, now: int, member: ServerReport) -> bool:
        seen = self.observe(now, ("beat", member.name), (member.incarnation, member.heartbeat))
        return not seen.is_initial and now - seen.changed_at_ns < self.heartbeat_ttl_ns

    def is_silent(self, now: int, member: ServerReport) -> bool:
        return (
            self.unchanged_for_ns(
                now, ("beat", member.name), (member.incarnation, member.heartbeat)
            )
            >= self.heartbeat_ttl_ns
        )

    def retain(self, keep: set[Hashable]) -> None:
        """What is not in the book or among the members any more."""
        for key in [key for key in self.observations if key not in keep]:
            del self.observations[key]
