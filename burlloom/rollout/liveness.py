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

SECOND = 1_000_000_000


class ServerPhase(IntEnum):
    STARTING = 0
    SERVING = 1
    LEAVING = 2


class RequestCounts(NamedTuple):
    """Of a life, since it began: txns settled, of these after the SLA time, declined, voided."""

    settled: int = 0
    late: int = 0
    declined: int = 0
    voided: int = 0

    def less(self, other: "RequestCounts") -> "RequestCounts":
        return RequestCounts(*(max(0, mine - its) for mine, its in zip(self, other, strict=True)))

    def plus(self, other: "RequestCounts") -> "RequestCounts":
        return RequestCounts(*(mine + its for mine, its in zip(self, other, strict=True)))

    @property
    def asked(self) -> int:
        return self.settled + self.declined + self.voided


@dataclass(frozen=True, slots=True)
class ServerReport:
    """What a server says of itself. `life` grows from one start to the next; `beat` counts up in a
    life. `well`: callers are sent to it, and it is past its way back. `heeded`: the book's step
    that it has acted on. `below`: calls to each instance of the services below that came back well
    and not, in its last seconds. `former`: the life before, if that said that it leaves; else 0.
    """

    name: str
    life: int
    beat: int
    says: ServerPhase = ServerPhase.SERVING
    well: bool = True
    version: str = ""
    heeded: int = 0
    counts: RequestCounts = RequestCounts()
    below: Mapping[str, tuple[int, int]] | None = None
    former: int = 0


@dataclass(slots=True)
class Observation:
    what: Hashable
    at: int
    first: bool  # it has not changed before our eyes


class LivenessObserver:
    """`fresh`: ns for which a sign of life counts."""

    def __init__(self, fresh: int) -> None:
        self.fresh = fresh
        self.seen: dict[Hashable, Observation] = {}
        self.looked_at = -1

    def begins(self, now: int) -> None:
        """A look at all of it. Where we did not look for long (the store was away, or we stood
        still), that time is nobody's silence, and nobody was seen to serve in it.
        """
        gap = now - self.looked_at
        if self.looked_at >= 0 and gap > self.fresh // 2:
            for seen in self.seen.values():
                seen.at, seen.first = seen.at + gap, True
        self.looked_at = now

    def look(self, now: int, key: Hashable, what: Hashable) -> Observation:
        known = self.seen.get(key)
        if known is None:
            known = self.seen[key] = Observation(what, now, True)
        elif known.what != what:
            known.what, known.at, known.first = what, now, False
        return known

    def age(self, now: int, key: Hashable, what: Hashable) -> int:
        """ns since we first saw it so."""
        return now - self.look(now, key, what).at

    def serves(self, now: int, member: ServerReport) -> bool:
        seen = self.look(now, ("beat", member.name), (member.life, member.beat))
        return not seen.first and now - seen.at < self.fresh

    def silent(self, now: int, member: ServerReport) -> bool:
        return self.age(now, ("beat", member.name), (member.life, member.beat)) >= self.fresh

    def forget(self, keep: set[Hashable]) -> None:
        """What is not in the book or among the members any more."""
        for key in [key for key in self.seen if key not in keep]:
            del self.seen[key]
