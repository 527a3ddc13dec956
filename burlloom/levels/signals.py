"""What a node measures of itself to know how things look: each signal over a ring of fixed buckets.

A signal that was not told for as long as its ring spans is stale: it is neither high nor low, so it
never raises service.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

SECOND = 1_000_000_000
MS = 1_000_000
MAX_TENANTS = 4096  # tenants whose reads are counted: some hundred bytes each


@dataclass(frozen=True, slots=True)
class SignalReadings:
    """One round's; None where it is not known. All are shares, or multiples, of what there is.

    use: of the cores, 0 to 1. crowd: what wants a core, each. age: the oldest held txn's, of its
    SLA time. lag: of reading, of the shortest SLA time. press: the decisions' own pressure, 0 to 1.
    late: of those settled, past their SLA time. calls: of them, refused, failed or given up. store:
    the record's time for a claim, of what it may take; 1 and more where it is cut off. memory,
    sockets: of the limits.
    """

    cpu_utilization: float | None = None
    contention: float | None = None
    queue_age: float | None = None
    read_lag: float | None = None
    pressure: float | None = None
    late_share: float | None = None
    call_failure_share: float | None = None
    store_load: float | None = None
    memory_utilization: float | None = None
    socket_utilization: float | None = None

    @classmethod
    def from_signals(cls, values: Mapping[str, float]) -> "SignalReadings":
        """Readings by the operators' names of the signals; those left out are not known."""
        return cls(**{SIGNAL_FIELDS[name]: value for name, value in values.items()})


SIGNAL_FIELDS = {
    "use": "cpu_utilization",
    "crowd": "contention",
    "age": "queue_age",
    "lag": "read_lag",
    "press": "pressure",
    "late": "late_share",
    "calls": "call_failure_share",
    "store": "store_load",
    "memory": "memory_utilization",
    "sockets": "socket_utilization",
}  # the operators' name of each signal, and its reading
SIGNAL_NAMES = tuple(SIGNAL_FIELDS)
PEAKS = {"memory", "sockets", "store"}  # the highest of the ring counts; of the others, the mean


class Ring:
    """Sums and counts of the last buckets, used again in turn; nothing is kept of single values."""

    __slots__ = ("width", "sums", "counts", "peaks", "last", "told_at")

    def __init__(self, span: int, buckets: int) -> None:
        self.width = span // buckets
        self.sums, self.counts, self.peaks = [0.0] * buckets, [0] * buckets, [0.0] * buckets
        self.last, self.told_at = -1, -1

    def turn(self, now: int) -> int:
        bucket, size = now // self.width, len(self.sums)
        if bucket > self.last:
            for old in range(max(self.last + 1, bucket - size + 1), bucket + 1):
                self.sums[old % size], self.counts[old % size], self.peaks[old % size] = 0.0, 0, 0.0
            self.last = bucket
        return self.last % size

    def add(self, now: int, value: float, weight: int = 1) -> None:
        at = self.turn(now)
        self.sums[at] += value
        self.counts[at] += weight
        self.peaks[at] = max(self.peaks[at], value)
        self.told_at = now

    def mean(self, now: int, least: int = 1) -> float | None:
        """None where fewer than `least` were told within the span."""
        self.turn(now)
        count = sum(self.counts)
        return sum(self.sums) / count if count >= least else None

    def peak(self, now: int) -> float | None:
        self.turn(now)
        return max(self.peaks) if any(self.counts) else None


class SignalAggregator:
    """The rings of all signals: a second and a half, and five for what turns over slowly."""

    def __init__(self, buckets: int = 10) -> None:
        told = {"late": 5 * SECOND, "calls": 5 * SECOND}
        self.rings = {name: Ring(told.get(name, 1500 * MS), buckets) for name in SIGNAL_NAMES}

    def take(self, now: int, readings: SignalReadings) -> None:
        for name, ring in self.rings.items():
            value = getattr(readings, SIGNAL_FIELDS[name])
            if value is not None:
                ring.add(now, value)

    def values(self, now: int) -> dict[str, float]:
        """Those that are known; a stale one is left out."""
        found = {
            name: ring.peak(now) if name in PEAKS else ring.mean(now)
            for name, ring in self.rings.items()
        }
        return {name: value for name, value in found.items() if value is not None}


class SignalBounds(NamedTuple):
    """A level is entered from `enter` on and may be left at `leave` or below: between them nothing
    changes.
    """

    enter: float
    leave: float


def reached(
    bounds: Mapping[str, SignalBounds], values: Mapping[str, float]
) -> tuple[str, float, float] | None:
    """The signal that calls for a level, the one furthest past its entry: name, value, entry."""
    found = [
        (value / bound.enter, name, value, bound.enter)
        for name, bound in bounds.items()
        if (value := values.get(name)) is not None and value >= bound.enter
    ]
    return max(found)[1:] if found else None


def low(bounds: Mapping[str, SignalBounds], values: Mapping[str, float]) -> bool:
    """Whether all of them are known, and at or under their exit."""
    return all(name in values and values[name] <= bound.leave for name, bound in bounds.items())


class RecentShare:
    """A count that turns over in time: of what was settled, how much was late; of calls, how many
    failed.
    """

    def __init__(self, span: int = 5 * SECOND, buckets: int = 10, least: int = 20) -> None:
        self.ring, self.least = Ring(span, buckets), least

    def add(self, now: int, counts: bool) -> None:
        self.ring.add(now, float(counts))

    def share(self, now: int) -> float | None:
        """None where nothing was told; 0 where too few to judge by."""
        if self.ring.mean(now) is None:
            return None
        return self.ring.mean(now, self.least) or 0.0


class TenantShares:
    """Which tenants take more than their share of what is read, over the last seconds, and which of
    their txns that is.

    One is past its share at `factor` times it and `sure` deviations beyond what chance alone makes
    of so few reads, and no more at the share itself. Of its txns only the excess is marked, spread
    evenly: the rest is within its share.

    `share`, where given, says a tenant's share of the whole at any time, None of one that is not
    known; then `portions` count for nothing. The RINGS_MOST that were read last are measured.
    """

    def __init__(
        self,
        portions: Iterable[tuple[str, float]],
        span: int = 10 * SECOND,
        factor: float = 1.25,
        sure: float = 4.0,
        share: Callable[[str], float | None] | None = None,
    ) -> None:
        told = dict(portions)
        whole = sum(told.values()) or 1.0
        self.share = share or {name: portion / whole for name, portion in told.items()}.get
        self.span = span
        self.rings: OrderedDict[str, Ring] = OrderedDict()
        self.all, self.factor, self.sure = Ring(span, 10), factor, sure
        self.past: dict[str, float] = {}  # with the part of a txn that is owed to be marked

    def is_over_share(self, now: int, tenant: str) -> bool:
        """Counts one read; whether it is past its tenant's share. Those that are not known have
        none.
        """
        portion = self.share(tenant)
        if portion is None:
            return False
        ring = self.rings.get(tenant)
        if ring is None:
            ring = self.rings[tenant] = Ring(self.span, 10)
            if len(self.rings) > MAX_TENANTS:
                self.past.pop(self.rings.popitem(last=False)[0], None)
        else:
            self.rings.move_to_end(tenant)
        ring.add(now, 1.0)
        self.all.add(now, 1.0)
        total = sum(self.all.counts)
        share = sum(ring.counts) / total
        by_chance = (portion * (1 - portion) / total) ** 0.5
        if share <= portion:
            self.past.pop(tenant, None)
        elif share >= max(portion * self.factor, portion + self.sure * by_chance):
            self.past.setdefault(tenant, 0.0)
        if tenant not in self.past:
            return False
        # Of n reads the tenant may have portion / (1 - portion) times what the others have.
        allowed = portion / (1 - portion) * (total - sum(ring.counts)) if portion < 1 else total
        owed = self.past[tenant] + 1 - min(1.0, allowed / sum(ring.counts))
        self.past[tenant] = owed - (owed >= 1)
        return owed >= 1
