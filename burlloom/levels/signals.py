"""Load signals of a node, each aggregated over a ring of fixed buckets. Does no I/O.

A signal without a reading for the span of its ring is stale. A stale signal counts neither as high
nor as clear, so it never lets a node return to a less restrictive level.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from ..time_units import NS_PER_MS, NS_PER_SECOND

# Tenants measured at a time; each takes a few hundred bytes. Beyond this number, the tenant whose
# last request is the oldest is dropped.
MAX_TENANTS = 4096


@dataclass(frozen=True, slots=True)
class SignalReadings:
    """One round's signal readings; None stands for an unknown reading.

    Attributes:
        cpu_utilization: Utilization of all cores, from 0 to 1.
        contention: Runnable tasks per core.
        queue_age: Age of the oldest queued request, as a multiple of its latency objective.
        read_lag: Delay before requests are read, as a multiple of the shortest latency objective.
        pressure: Pressure that the admission decisions compute, from 0 to 1.
        late_share: Share of the completed requests that missed their latency objective.
        call_failure_share: Share of the downstream calls that were rejected, failed or abandoned.
        store_load: Time that the record takes for a claim, as a multiple of its limit; 1 or more if
            the store is unreachable.
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
        """Returns the readings of values by the operator's signal names; the others are unknown."""
        return cls(**{SIGNAL_FIELDS[name]: value for name, value in values.items()})


# The field of `SignalReadings` by the signal's name in the operator's file.
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
}
SIGNAL_NAMES = tuple(SIGNAL_FIELDS)
# Signals whose value is the ring's maximum; that of all others is the ring's mean.
PEAK_SIGNALS = {"memory", "sockets", "store"}


class BucketRing:
    """Sums, counts and maxima of a ring of time buckets; single values are not stored.

    Attributes:
        width: Time that one bucket covers, ns.
        sums: Sum of the values in each bucket.
        counts: Number of samples in each bucket.
        peaks: Highest value in each bucket; 0 in an empty one.
        last: Number of the newest bucket, counted from time 0; -1 before the first value.
        updated_at_ns: Time of the last added value, ns; -1 before the first one.

    Args:
        span_ns: Time that all buckets cover, ns.
        buckets: Number of buckets.
    """

    __slots__ = ("width", "sums", "counts", "peaks", "last", "updated_at_ns")

    def __init__(self, span_ns: int, buckets: int) -> None:
        self.width = span_ns // buckets
        self.sums = [0.0] * buckets
        self.counts = [0] * buckets
        self.peaks = [0.0] * buckets
        self.last, self.updated_at_ns = -1, -1

    def advance(self, now_ns: int) -> int:
        """Clears the buckets that expired by `now_ns`; returns the index of the current bucket."""
        bucket, size = now_ns // self.width, len(self.sums)
        if bucket > self.last:
            for expired in range(max(self.last + 1, bucket - size + 1), bucket + 1):
                self.sums[expired % size] = 0.0
                self.counts[expired % size] = 0
                self.peaks[expired % size] = 0.0
            self.last = bucket
        return self.last % size

    def add(self, now_ns: int, value: float, weight: int = 1) -> None:
        """Adds a value at `now_ns`; it counts as `weight` samples."""
        index = self.advance(now_ns)
        self.sums[index] += value
        self.counts[index] += weight
        self.peaks[index] = max(self.peaks[index], value)
        self.updated_at_ns = now_ns

    def mean(self, now_ns: int, min_samples: int = 1) -> float | None:
        """Returns the mean over the span as of `now_ns`; None below `min_samples` samples."""
        self.advance(now_ns)
        count = sum(self.counts)
        return sum(self.sums) / count if count >= min_samples else None

    def peak(self, now_ns: int) -> float | None:
        """Returns the highest value of the span as of `now_ns`; None without samples."""
        self.advance(now_ns)
        return max(self.peaks) if any(self.counts) else None


class SignalAggregator:
    """Aggregates all signals over 1.5 s; the shares of late requests and failed calls over 5 s.

    Args:
        buckets: Number of buckets of each ring.
    """

    def __init__(self, buckets: int = 10) -> None:
        spans = {"late": 5 * NS_PER_SECOND, "calls": 5 * NS_PER_SECOND}
        self.rings = {
            name: BucketRing(spans.get(name, 1500 * NS_PER_MS), buckets) for name in SIGNAL_NAMES
        }

    def add_readings(self, now_ns: int, readings: SignalReadings) -> None:
        """Adds one round's readings at `now_ns`."""
        for name, ring in self.rings.items():
            value = getattr(readings, SIGNAL_FIELDS[name])
            if value is not None:
                ring.add(now_ns, value)

    def values(self, now_ns: int) -> dict[str, float]:
        """Returns the signals' values as of `now_ns` by signal name; stale ones are left out."""
        values = {
            name: ring.peak(now_ns) if name in PEAK_SIGNALS else ring.mean(now_ns)
            for name, ring in self.rings.items()
        }
        return {name: value for name, value in values.items() if value is not None}


class SignalBounds(NamedTuple):
    """A level's bounds on a signal.

    Attributes:
        enter: The level is entered when the signal is at or above this value.
        leave: The level may be left when the signal is at or below this value.
    """

    enter: float
    leave: float


def find_reached_bound(
    bounds: Mapping[str, SignalBounds], values: Mapping[str, float]
) -> tuple[str, float, float] | None:
    """Returns the signal that exceeds its entry bound by the largest factor.

    Returns:
        The signal's name, value and entry bound; None if no signal has reached its entry bound.
    """
    candidates = [
        (value / bound.enter, name, value, bound.enter)
        for name, bound in bounds.items()
        if (value := values.get(name)) is not None and value >= bound.enter
    ]
    return max(candidates)[1:] if candidates else None


def are_all_clear(bounds: Mapping[str, SignalBounds], values: Mapping[str, float]) -> bool:
    """Returns whether each signal that has bounds is known and at or below its exit bound."""
    return all(name in values and values[name] <= bound.leave for name, bound in bounds.items())


class RecentShare:
    """Share of recent events that meet a condition, such as late requests or failed calls.

    Args:
        span_ns: Length of the window, ns.
        buckets: Number of buckets.
        min_samples: Events required for a share; with fewer it is reported as 0.
    """

    def __init__(
        self, span_ns: int = 5 * NS_PER_SECOND, buckets: int = 10, min_samples: int = 20
    ) -> None:
        self.ring, self.min_samples = BucketRing(span_ns, buckets), min_samples

    def add(self, now_ns: int, is_match: bool) -> None:
        """Adds an event at `now_ns`; `is_match` tells whether it meets the condition."""
        self.ring.add(now_ns, float(is_match))

    def share(self, now_ns: int) -> float | None:
        """Returns the share as of `now_ns`; None without events, 0 below `min_samples` events."""
        if self.ring.mean(now_ns) is None:
            return None
        return self.ring.mean(now_ns, self.min_samples) or 0.0


class TenantExcessDetector:
    """Detects tenants over their share of recent requests, and marks the requests in excess.

    A tenant is over its share once its part of the requests is at least `factor` times the share
    and also exceeds the share by `deviations` standard deviations of a random sample of that size;
    it stays over its share until its part is at or below the share. Only the requests in excess are
    marked, spread evenly over the tenant's requests. At most MAX_TENANTS tenants are measured:
    those with the latest requests.

    Args:
        portions: Tenants' names and portions; not used if `share` is given.
        span_ns: Length of the window, ns.
        factor: Multiple of its share from which a tenant is over it.
        deviations: Standard deviations by which the share must be exceeded.
        share: Returns a tenant's current share, from 0 to 1; None for an unknown tenant.
    """

    def __init__(
        self,
        portions: Iterable[tuple[str, float]],
        span_ns: int = 10 * NS_PER_SECOND,
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
        self.rings: OrderedDict[str, BucketRing] = OrderedDict()
        self.all_requests = BucketRing(span_ns, 10)
        self.factor = factor
        self.deviations = deviations
        # By tenant over its share: the fraction of a request that is in excess and not yet marked.
        self.unmarked_excess: dict[str, float] = {}

    def is_over_share(self, now_ns: int, tenant: str) -> bool:
        """Counts a request read at `now_ns`; returns whether it is in excess of its tenant's share.

        An unknown tenant has no share and is never over it.
        """
        allowed_share = self.share(tenant)
        if allowed_share is None:
            return False
        ring = self.rings.get(tenant)
        if ring is None:
            ring = self.rings[tenant] = BucketRing(self.span_ns, 10)
            if len(self.rings) > MAX_TENANTS:
                self.unmarked_excess.pop(self.rings.popitem(last=False)[0], None)
        else:
            self.rings.move_to_end(tenant)
        ring.add(now_ns, 1.0)
        self.all_requests.add(now_ns, 1.0)
        total = sum(self.all_requests.counts)
        measured_share = sum(ring.counts) / total
        standard_deviation = (allowed_share * (1 - allowed_share) / total) ** 0.5
        if measured_share <= allowed_share:
            self.unmarked_excess.pop(tenant, None)
        elif measured_share >= max(
            allowed_share * self.factor, allowed_share + self.deviations * standard_deviation
        ):
            self.unmarked_excess.setdefault(tenant, 0.0)
        if tenant not in self.unmarked_excess:
            return False
        # The tenant may have allowed_share / (1 - allowed_share) times the requests of all others.
        allowed_requests = (
            allowed_share / (1 - allowed_share) * (total - sum(ring.counts))
            if allowed_share < 1
            else total
        )
        excess = self.unmarked_excess[tenant] + 1 - min(1.0, allowed_requests / sum(ring.counts))
        self.unmarked_excess[tenant] = excess - (excess >= 1)
        return excess >= 1
