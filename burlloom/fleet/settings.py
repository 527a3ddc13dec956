"""Settings of the membership protocol and of the allocation of quotas; equal on all members."""

from dataclasses import dataclass

from ..time_units import NS_PER_MS

__all__ = ["MILLICALLS_PER_CALL", "NS_PER_MS", "GossipSettings", "QuotaSettings"]

MILLICALLS_PER_CALL = 1000

# Minimum lease in report intervals; a lease then survives the loss of two reports in a row.
_MIN_REPORTS_PER_LEASE = 8


@dataclass(frozen=True, slots=True)
class GossipSettings:
    """Settings of the membership protocol.

    Attributes:
        probe_interval_ns: Time between the probe of one member and the probe of the next.
        ack_timeout_ns: Time without an ACK after which other members are asked to probe the target.
        suspicion_timeout_ns: Time in which a suspected member can refute the suspicion, in a small
            fleet; larger fleets add to it.
        forget_after_ns: Time for which a dead or departed member stays in the view. No member is
            forgotten unless more than half of the members are present.
        indirect_probe_count: Number of members asked to probe a target that did not answer.
    """

    probe_interval_ns: int = 500 * NS_PER_MS
    ack_timeout_ns: int = 200 * NS_PER_MS
    suspicion_timeout_ns: int = 2000 * NS_PER_MS
    forget_after_ns: int = 3_600_000 * NS_PER_MS
    indirect_probe_count: int = 3

    def find_faults(self) -> list[str]:
        """Returns why the settings are unusable, in terms of the keys in the operator's file."""
        if self.ack_timeout_ns >= self.probe_interval_ns:
            ack_ms, probe_ms = self.ack_timeout_ns // NS_PER_MS, self.probe_interval_ns // NS_PER_MS
            return [f"ack_ms ({ack_ms}) must be less than probe_ms ({probe_ms})"]
        return []


@dataclass(frozen=True, slots=True)
class QuotaSettings:
    """Settings of the allocation: the total to divide and the times of the leases.

    Attributes:
        total_millicalls: Calls in progress, in thousandths, that the downstream services can
            handle from all members together.
        min_members: Smallest fleet size assumed for quorums and equal shares. It must be more than
            half of the usual fleet size.
        report_interval_ns: Time between two reports of a member.
        lease_ns: Validity of a grant, counted from the report that it answers.
        allocation_interval_ns: Time between two allocations.
        isolation_timeout_ns: Time without a confirmed grant after which a member decays to its
            minimum share.
        reclaim_timeout_ns: Time after which the share of a dead member is allocated to others.
        floor_share: Fraction of an equal share that an isolated member keeps.
        idle_share: Fraction of an equal share that a member without demand is allocated, so that
            its first call needs no wait.
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
        """Returns why the settings are unsafe, in terms of the keys in the operator's file."""
        faults = []
        if self.lease_ns < _MIN_REPORTS_PER_LEASE * self.report_interval_ns:
            faults.append(
                f"lease_ms ({self.lease_ns // NS_PER_MS}) must be at least eight times round_ms"
                f" ({self.report_interval_ns // NS_PER_MS}): two lost reports would end the lease"
            )
        min_reclaim_ns = self.isolation_timeout_ns + 2 * self.lease_ns
        if self.reclaim_timeout_ns < min_reclaim_ns:
            faults.append(
                f"redeal_ms ({self.reclaim_timeout_ns // NS_PER_MS}) must be at least cut_ms plus"
                f" two times lease_ms ({min_reclaim_ns // NS_PER_MS}): an isolated server would"
                " still use the share that is allocated to others"
            )
        return faults

    @property
    def report_ttl_ns(self) -> int:
        """Time for which a member counts as reporting after its newest report, in ns."""
        return _MIN_REPORTS_PER_LEASE * self.report_interval_ns

    @property
    def learning_ns(self) -> int:
        """Time after which all grants of an unknown previous allocator have expired, in ns."""
        return self.report_ttl_ns + 2 * self.lease_ns

    def equal_share(self, member_count: int) -> int:
        """Returns the millicalls per member if the total is divided equally."""
        return self.total_millicalls // max(member_count, self.min_members)

    def minimum_share(self, member_count: int) -> int:
        """Returns the millicalls that an isolated member keeps in a fleet of this size."""
        return int(self.floor_share * self.equal_share(member_count))

    def digest(self) -> int:
        """Returns a digest of the settings that must be equal on all members.

        Each setting has a factor of its own, so that two changes do not simply cancel out.
        """
        return (
            self.total_millicalls * 1009
            + self.lease_ns // NS_PER_MS * 31
            + self.reclaim_timeout_ns // NS_PER_MS
            + self.isolation_timeout_ns // NS_PER_MS * 7
        )
