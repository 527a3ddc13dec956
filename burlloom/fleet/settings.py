"""Settings of the membership protocol and of the allocation of quotas, the same on each member."""

from dataclasses import dataclass

__all__ = ["MILLICALLS_PER_CALL", "NS_PER_MS", "GossipSettings", "QuotaSettings"]

MILLICALLS_PER_CALL = 1000
NS_PER_MS = 1_000_000

# Two reports may be lost on the way before a lease ends.
_MIN_REPORTS_PER_LEASE = 8


@dataclass(frozen=True, slots=True)
class GossipSettings:
    """Times of the membership protocol.

    Attributes:
        probe_interval_ns: Between the probes of one member and the next.
        ack_timeout_ns: How long an answer is waited for before other members probe in our place.
        suspicion_timeout_ns: How long a suspected member may refute, in a small fleet.
        forget_after_ns: How long a dead or departed member stays in the view. Nobody is forgotten
            while fewer than half of the members are present.
        indirect_probe_count: How many members are asked to probe in our place.
    """

    probe_interval_ns: int = 500 * NS_PER_MS
    ack_timeout_ns: int = 200 * NS_PER_MS
    suspicion_timeout_ns: int = 2000 * NS_PER_MS
    forget_after_ns: int = 3_600_000 * NS_PER_MS
    indirect_probe_count: int = 3

    def find_faults(self) -> list[str]:
        """Returns what makes the settings unusable, in the words of the operator's file."""
        if self.ack_timeout_ns >= self.probe_interval_ns:
            ack_ms, probe_ms = self.ack_timeout_ns // NS_PER_MS, self.probe_interval_ns // NS_PER_MS
            return [f"ack {ack_ms} ms is not under probe, {probe_ms} ms"]
        return []


@dataclass(frozen=True, slots=True)
class QuotaSettings:
    """What is shared out, and the times of its leases.

    Attributes:
        total_millicalls: Calls in progress that the downstream services bear from all members.
        min_members: The fleet is never taken to be smaller; more than half of its usual size.
        report_interval_ns: Between a member's reports.
        lease_ns: How long a grant holds, from the report that it answers.
        allocation_interval_ns: Between two allocations.
        isolation_timeout_ns: A member without a confirmed grant for so long falls to its minimum.
        reclaim_timeout_ns: A member that is dead for so long has its share allocated anew.
        floor_share: Part of an equal share that an isolated member keeps.
        idle_share: Part of an equal share that a member without demand is allocated, for its first
            call.
    """

    total_millicalls: int
    min_members: int = 1
    report_interval_ns: int = 200 * NS_PER_MS
    lease_ns: int = 2000 * NS_PER_MS
    allocation_interval_ns: int = 2000 * NS_PER_MS
    isolation_timeout_ns: int = 8000 * NS_PER_MS
    reclaim_timeout_ns: int = 14_000 * NS_PER_MS
    floor_share: float = 0.04
    idle_share: float = 0.125

    def find_faults(self) -> list[str]:
        """Returns what makes the settings unsafe, in the words of the operator's file."""
        found = []
        if self.lease_ns < _MIN_REPORTS_PER_LEASE * self.report_interval_ns:
            found.append(
                f"lease {self.lease_ns // NS_PER_MS} ms is under eight rounds of"
                f" {self.report_interval_ns // NS_PER_MS} ms: two lost letters would end it"
            )
        min_reclaim_ns = self.isolation_timeout_ns + 2 * self.lease_ns
        if self.reclaim_timeout_ns < min_reclaim_ns:
            found.append(
                f"redeal {self.reclaim_timeout_ns // NS_PER_MS} ms is under cut and two leases,"
                f" {min_reclaim_ns // NS_PER_MS} ms: one that is cut off would still use what is"
                " dealt anew"
            )
        return found

    @property
    def report_ttl_ns(self) -> int:
        """How long a member counts as reporting after its newest report."""
        return _MIN_REPORTS_PER_LEASE * self.report_interval_ns

    @property
    def learning_ns(self) -> int:
        """How long an unknown allocator could still raise shares, and what it granted holds."""
        return self.report_ttl_ns + 2 * self.lease_ns

    def equal_share(self, members: int) -> int:
        """Returns the millicalls of each of so many members if all had the same."""
        return self.total_millicalls // max(members, self.min_members)

    def minimum_share(self, members: int) -> int:
        """Returns the millicalls that an isolated one of so many members keeps."""
        return int(self.floor_share * self.equal_share(members))

    def digest(self) -> int:
        """Returns a number that differs where two members' files differ in what must be equal."""
        return (
            self.total_millicalls * 1009
            + self.lease_ns // NS_PER_MS * 31
            + self.reclaim_timeout_ns // NS_PER_MS
            + self.isolation_timeout_ns // NS_PER_MS * 7
        )
