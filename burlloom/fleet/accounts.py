"""Data that the allocator receives about the members, and its state per member."""

from dataclasses import dataclass
from typing import NamedTuple

__all__ = ["MemberAccount", "MemberPresence", "ShareReport"]


class ShareReport(NamedTuple):
    """A member's report to the allocator. The field order is the order in the datagram.

    Attributes:
        held: The share in force or the calls in progress, whichever is larger, in millicalls.
        share: The share in force, in millicalls.
        demand: Millicalls that the member could use.
        weight: Weight of this member relative to the others, in thousandths.
        roster_hash: Hash of the member incarnations that the reporter counts. Two members with
            equal hashes count the same fleet.
    """

    held: int
    share: int
    demand: int
    weight: int
    roster_hash: int = 0


@dataclass(slots=True)
class MemberAccount:
    """The allocator's state for one incarnation of a member.

    Attributes:
        incarnation: The incarnation that reported.
        report_number: Number of its newest report.
        reported_at_ns: Monotonic time at which the newest report was received.
        report: Its newest report.
        max_held: The most millicalls that the member may hold: the `held` value of its newest
            report or the grant that answered it, whichever is larger.
        target: Millicalls assigned to the member by the last allocation.
        allocated_demand: Demand of the member at the last allocation, in millicalls.
        rounding_carry: Millicalls that rounding still owes to the member; negative if the member
            received too much.
    """

    incarnation: int
    report_number: int
    reported_at_ns: int
    report: ShareReport
    max_held: int
    target: int = 0
    allocated_demand: int = 0
    rounding_carry: float = 0.0

    def record_report(self, now_ns: int, report_number: int, report: ShareReport) -> None:
        """Stores a newer report of the same incarnation and sets `max_held` to its `held`."""
        self.report_number = report_number
        self.reported_at_ns = now_ns
        self.report = report
        self.max_held = report.held


@dataclass(frozen=True, slots=True)
class MemberPresence:
    """A member of the membership view that has not left.

    Attributes:
        incarnation: The newest incarnation in the view.
        is_present: False if the member is considered dead.
        since_ns: Monotonic time of the last change of state.
    """

    incarnation: int
    is_present: bool
    since_ns: int
