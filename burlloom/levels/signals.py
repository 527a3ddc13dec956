"""Load signals of a node, each aggregated over a ring of fixed buckets.

A signal without a reading for its ring's span is stale: it is neither high nor low, so it never
raises the service level.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

SECOND = 1_000_000_000
MS = 1_000_000
MAX_TENANTS = 4096  # some hundred bytes each


@dataclass(frozen=True, slots=True)
class SignalReadings:
    """One round's readings; None where a reading is not known.

    Attributes:
        cpu_utilization: Of the cores, from 0 to 1.
        contention: Runnable tasks per core.
        queue_age: Age of the oldest queued request, as a multiple of its SLA time.
        read_lag: Delay of reading, as a multiple of the shortest SLA time.
        pressure: The admission decisions' own pressure, from 0 to 1.
        late_share: Of the settled requests, the share past their SLA time.
        call_failure_share: Of the downstream calls, the share rejected, failed or abandoned.
        store_load: The record's time for a claim, as a multiple of what it may take; 1 and more
            where the store is unreachable.
        memory_utilization: Share of the memory limit.
        socket_utilization: Share of the socket limit.
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
        """Returns readings by the operators' names of the signals; those left out are not known."""
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
    """Sums, counts and peaks of the last buckets; single values are not stored.

    Args:
        span_ns: What all buckets cover, ns.
        buckets: Number of buckets.
    """

    __slots__ = ("width", "sums", "counts", "peaks", "last", "updated_at_ns")

    def __init__(self, span_ns: int, buckets: int) -> None:
        self.width = span_ns // buckets
        self.sums = [0.0] * buckets
        self.counts = [0] * buckets
        self.peaks = [0.0] * buckets
        self.last, self.updated_at_ns = -1, -1

    def turn(self, now: int) -> int:
        """Clears the buckets that have expired by `now` (ns); returns the current one's index."""
        bucket, size = now // self.width, len(self.sums)
        if bucket > self.last:
            for old in range(max(self.last + 1, bucket - size + 1), bucket + 1):
                self.sums[old % size] = 0.0
                self.counts[old % size] = 0
                self.peaks[old % size] = 0.0
            self.last = bucket
        return self.last % size

    def add(self, now: int, value: float, weight: int = 1) -> None:
        """Adds a value, which counts as `weight` samples, at `now` (ns)."""
        at = self.turn(now)
        self.sums[at] += value
        self.counts[at] += weight
        self.peaks[at] = max(self.peaks[at], value)
        self.updated_at_ns = now

    def mean(self, now: int, min_samples: int = 1) -> float | None:
        """Returns the mean over the span; None with fewer than `min_samples` samples."""
        self.turn(now)
        count = sum(self.counts)
        return sum(self.sums) / count if count >= min_samples else None

    def peak(self, now: int) -> float | None:
        """Returns the highest value of the span; None without samples."""
        self.turn(now)
        return max(self.peaks) if any(self.counts) else None


class SignalAggregator:
    """Rings of all signals: 1.5 s, and 5 s for the shares of late requests and failed calls."""

    def __init__(self, buckets: int = 10) -> None:
        spans = {"late": 5 * SECOND, "calls": 5 * SECOND}
        self.rings = {name: Ring(spans.get(name, 1500 * MS), buckets) for name in SIGNAL_NAMES}

    def take(self, now: int, readings: SignalReadings) -> None:
        """Adds one round's readings at `now` (ns)."""
        for name, ring in self.rings.items():
            value = getattr(readings, SIGNAL_FIELDS[name])
            if value is not None:
                ring.add(now, value)

    def values(self, now: int) -> dict[str, float]:
        """Returns the known signals by the operators' names; stale ones are left out."""
        found = {
            name: ring.peak(now) if name in PEAKS else ring.mean(now)
            for name, ring in self.rings.items()
        }
        return {name: value for name, value in found.items() if value is not None}


class SignalBounds(NamedTuple):
    """A level's bounds on a signal: entered from `enter` on, left at `leave` or below."""

    enter: float
    leave: float


def reached(
    bounds: Mapping[str, SignalBounds], values: Mapping[str, float]
) -> tuple[str, float, float] | None:
    """Finds the signal that is furthest past its entry.

    Returns:
        Its name, value and entry; None where no signal has reached its entry.
    """
    found = [
        (value / bound.enter, name, value, bound.enter)
        for name, bound in bounds.items()
        if (value := values.get(name)) is not None and value >= bound.enter
    ]
    return max(found)[1:] if found else None


def low(bounds: Mapping[str, SignalBounds], values: Mapping[str, float]) -> bool:
    """Returns whether all signals with bounds are known, and at or below their exit."""
    return all(name in values and values[name] <= bound.leave for name, bound in bounds.items())


class RecentShare:
    """Share of recent events that count, such as late requests or failed calls.

    Args:
        span_ns: Window, ns.
        buckets: Number of buckets.
        min_samples: Events needed to judge by.
    """

    def __init__(self, span_ns: int = 5 * SECOND, buckets: int = 10, min_samples: int = 20) -> None:
        self.ring, self.min_samples = Ring(span_ns, buckets), min_samples

    def add(self, now: int, counts: bool) -> None:
        """Adds an event at `now` (ns); `counts` says whether it belongs to the share."""
        self.ring.add(now, float(counts))

    def share(self, now: int) -> float | None:
        """Returns the share; None without events, 0 with too few to judge by."""
        if self.ring.mean(now) is None:
            return None
        return self.ring.mean(now, self.min_samples) or 0.0


class TenantShares:
    """Finds tenants over their share of recent requests, and which requests are the excess.

    A tenant is over its share from `factor` times it on, if that is also `deviations` standard
    deviations beyond what chance makes of so few requests, until it is back at the share. Only the
    excess is marked, spread evenly. The MAX_TENANTS that were read last are measured.

    Args:
        portions: Tenants' names and portions; not used where `share` is given.
        span_ns: Window, ns.
        factor: Multiple of the share from which a tenant is over it.
        deviations: Standard deviations that the excess must exceed.
        share: Returns a tenant's current share, from 0 to 1; None for an unknown one.
    """

    def __init__(
        self,
        portions: Iterable[tuple[str, float]],
        span_ns: int = 10 * SECOND,
        factor: float = 1.25,
        deviations: float = 4.0,
        share: Callable[[str], float | None] | None = None,
    ) -> None:
        portion_by_tenant = dict(portions)
        total = sum(portion_by_tenant.values()) or 1.0
        self.share = (
            share or {name: portion / total for name, portion in portion_by_tenant.items()}.get
        )
        self.span_ns = span_ns
        self.rings: OrderedDict[str, Ring] = OrderedDict()
        self.all = Ring(span_ns, 10)
        self.factor = factor
        self.deviations = deviations
        self.past: dict[str, float] = {}  # fraction of a request still to be marked, by tenant

    def is_over_share(self, now: int, tenant: str) -> bool:
        """Counts a request read at `now` (ns); returns whether it is its tenant's excess.

        Unknown tenants have no share and are never over it.
        """
        portion = self.share(tenant)
        if portion is None:
            return False
        ring = self.rings.get(tenant)
        if ring is None:
            ring = self.rings[tenant] = Ring(self.span_ns, 10)
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
        elif share >= max(portion * self.factor, portion + self.deviations * by_chance):
            self.past.setdefault(tenant, 0.0)
        if tenant not in self.past:
            return False
        # Of the reads the tenant may have portion / (1 - portion) times what the others have.
        allowed = portion / (1 - portion) * (total - sum(ring.counts)) if portion < 1 else total
        owed = self.past[tenant] + 1 - min(1.0, allowed / sum(ring.counts))
        self.past[tenant] = owed - (owed >= 1)
        return owed >= 1
