"""What the allocator is told of the members, and what it keeps of each."""

from dataclasses import dataclass
from typing import NamedTuple

__all__ = ["Account", "MemberPresence", "ShareReport"]


class ShareReport(NamedTuple):
    """What a member reports to the allocator, in millicalls; its order is that of the datagram.

    Attributes:
        held: The share in force, or the calls in progress where these are more.
        share: The share in force.
        demand: What could be used.
        weight: Of this member against the others.
        roster_hash: Equal where two members count the same fleet.
    """

    held: int
    share: int
    demand: int
    weight: int
    roster_hash: int = 0


@dataclass(slots=True)
class Account:
    """What the allocator knows of one incarnation of a member.

    Attributes:
        incarnation: The one that reported.
        report_number: Of its newest report.
        reported_at_ns: When that came.
        report: Its newest report.
        bound: The most millicalls that it may hold.
        target: Millicalls that it was allocated last.
        allocated_demand: Its demand at the last allocation.
        rounding_carry: Millicalls owed to it by rounding; below 0, by it.
    """

    incarnation: int
    report_number: int
    reported_at_ns: int
    report: ShareReport
    bound: int
    target: int = 0
    allocated_demand: int = 0
    rounding_carry: float = 0.0

    def take(self, now: int, number: int, report: ShareReport) -> None:
        """Takes in a newer report of the same incarnation."""
        self.report_number = number
        self.reported_at_ns = now
        self.report = report
        self.bound = report.held


@dataclass(frozen=True, slots=True)
class MemberPresence:
    """A member that has not left, as the membership view has it.

    Attributes:
        incarnation: The newest that is known.
        is_present: False where it is held to be dead.
        since_ns: When it came to be so.
    """

    incarnation: int
    is_present: bool
    since_ns: int
