"""Exchange of reports and grants with the allocator, and changes of the allocator. Does no I/O.

A member reports to one allocator at a time. When another member becomes the allocator, this member
accepts no raise until the previous allocator has confirmed that it no longer counts this member
(RELEASE, answered by REDIRECT), or until the last report to the previous allocator has expired.
Until then the previous allocator may still raise the shares of others, because its quorum may
include this member.
"""

from dataclasses import dataclass

from .accounts import MemberPresence, ShareReport
from .allocator import Allocator
from .gossip import GossipSender
from .lease_holder import LeaseHolder, LeaseState
from .membership import MembershipView, MemberState, seniority_key
from .messages import Message, MessageKind
from .settings import QuotaSettings

__all__ = ["QuotaProtocol"]

_OBSERVATION_ROUNDS = 2  # report intervals for which a new member does not report to others
_GRANT_TIMEOUT_ROUNDS = 3  # report intervals after which a report without a grant is given up
_REPORT_VALUE_COUNT = 5
_GRANT_VALUE_COUNT = 2
_NO_REPORT = -1
_DEFAULT_WEIGHT_THOUSANDTHS = 1000


@dataclass(frozen=True, slots=True)
class PendingRelease:
    """A previous allocator that may still count this member as reporting.

    Attributes:
        allocator: Name of the previous allocator; empty if there is none.
        report_number: Number of this member's last report to it.
    """

    allocator: str = ""
    report_number: int = _NO_REPORT


class QuotaProtocol:
    """This member's role in the allocation: lease holder and, if it is the oldest, allocator.

    Attributes:
        view: Membership view of this member.
        sender: Queues the messages of this member.
        settings: Settings of the allocation; equal on all members.
        allocator: Allocator of this member; idle while another member allocates.
        lease_holder: Lease of this member's share.
        allocator_name: Name of the allocating member in this member's view; empty before the first
            round.
        presences: Members of the view that have not left, by name; replaced by a new mapping at
            each change.
        oldest: The present member that was started first, which is to allocate.
        roster_hash: Hash of the member incarnations, sent with reports.
        seen_version: Version of the view that `presences` reflects; negative before the first
            refresh.
        demand: Millicalls that this member could use.
        in_use: Millicalls in progress.
        weight: Weight of this member relative to the others, in thousandths.
        is_round_wanted: Whether a round must run before the report interval is over.
    """

    def __init__(
        self,
        view: MembershipView,
        sender: GossipSender,
        settings: QuotaSettings,
        now_ns: int,
        never_ns: int,
    ) -> None:
        """Initializes a member without a share.

        Args:
            view: Membership view of this member.
            sender: Queues the messages of this member.
            settings: Settings of the allocation; equal on all members.
            now_ns: Monotonic time in ns.
            never_ns: A monotonic time before any message.
        """
        self.view = view
        self.sender = sender
        self.settings = settings
        self.allocator = Allocator(settings, now_ns)
        self.lease_holder = LeaseHolder(settings, now_ns)
        self.allocator_name = ""
        self.presences: dict[str, MemberPresence] = {}
        self.oldest = view.own
        self.roster_hash = 0
        self.seen_version = -1
        self.demand = 0
        self.in_use = 0
        self.weight = _DEFAULT_WEIGHT_THOUSANDTHS
        self._started_at_ns = now_ns
        self._allocator_changed_at_ns = never_ns
        self._pending_release = PendingRelease()
        self._report_number = _NO_REPORT  # report whose grant is pending
        self._last_remote_report_number = _NO_REPORT  # last one sent to another member
        self._reported_at_ns = now_ns
        self._reported_to_name = ""
        self._may_be_counted = False  # whether the allocator may count this member as reporting
        self.is_round_wanted = False

    def run_round(self, now_ns: int, gap_ns: int) -> None:
        """Updates the lease and the allocator, and sends a report if one is due.

        Args:
            now_ns: Monotonic time in ns.
            gap_ns: Time since the last tick.
        """
        self.is_round_wanted = False
        self.refresh_presences()
        self._run_lease_round(now_ns, gap_ns)
        own = self.view.own
        is_oldest = self.oldest.name == own.name
        was_paused = gap_ns > self.settings.lease_ns
        self.allocator.run_round(now_ns, self.presences, is_oldest, was_paused, self.roster_hash)
        if self.oldest.name != self.allocator_name:
            self._change_allocator(now_ns)
        self._continue_release(now_ns)
        if self._may_report(now_ns):
            self._report(now_ns)

    def refresh_presences(self) -> None:
        """Updates `presences`, `oldest` and `roster_hash` with the changes of the view."""
        view = self.view
        if self.seen_version == view.version:
            return
        changed_names, view.changed_names = view.changed_names, set()
        presences = dict(self.presences)
        for name in changed_names:
            member = view.by_name.get(name)
            if member is None or member.state is MemberState.LEFT:
                presences.pop(name, None)
            else:
                incarnation = member.update.incarnation
                presences[name] = MemberPresence(incarnation, member.is_present, member.since_ns)
        self._refresh_oldest(changed_names)
        self.seen_version = view.version
        self.presences = presences
        self.roster_hash = view.roster_hash()

    def process_report(self, now_ns: int, message: Message) -> None:
        """Answers a report with a grant, or with a redirect if another member is the allocator.

        Reports that qualify for neither, such as replays to the allocator, are not answered.
        """
        if len(message.values) != _REPORT_VALUE_COUNT:
            return
        member = message.sender
        if member.name not in self.allocator.members:
            self.refresh_presences()
            self.allocator.members = self.presences  # the sender joined after the last round
        report = ShareReport(*message.values)
        grant = self.allocator.process_report(
            now_ns, member.name, member.incarnation, message.sequence, report
        )
        if grant is not None:
            values = grant, int(self.allocator.is_confirmed(now_ns))
            self.sender.send(
                member.address, MessageKind.GRANT, message.sequence, values, recipient=member.name
            )
        elif self.oldest.name != self.view.own.name and self.seen_version >= 0:
            self.process_release(now_ns, message)

    def process_grant(self, now_ns: int, message: Message) -> None:
        """Accepts a grant if it answers this member's newest report to the current allocator."""
        if message.sender.name != self.allocator_name or message.sequence != self._report_number:
            return
        if len(message.values) == _GRANT_VALUE_COUNT:
            share, is_confirmed = message.values
            self._accept_grant(now_ns, share, is_confirmed == 1)

    def process_redirect(self, now_ns: int, message: Message) -> None:
        """Processes the statement of a member that it neither allocates nor counts this member."""
        sender, report_number = message.sender.name, message.sequence
        if sender == self._reported_to_name and report_number == self._report_number:
            self._report_number = _NO_REPORT
            self._may_be_counted = False
            self.is_round_wanted = True  # determines the allocator and reports to it
        if PendingRelease(sender, report_number) == self._pending_release:
            self._pending_release = PendingRelease()
            self._allocator_changed_at_ns = now_ns - self.settings.report_ttl_ns

    def process_release(self, now_ns: int, message: Message) -> None:
        """Stops counting the sender as reporting, and answers with a redirect to the allocator."""
        member = message.sender
        self.allocator.release_member(member.name, member.incarnation, message.sequence)
        own = self.view.own
        redirect = Message(MessageKind.REDIRECT, own, message.sequence, (), "", (self.oldest,))
        self.sender.enqueue(member.address, redirect)

    def _refresh_oldest(self, changed_names: set[str]) -> None:
        is_stale = self.oldest.name in changed_names or self.oldest.state > MemberState.SUSPECT
        if self.seen_version < 0 or is_stale:
            self.oldest = self.view.oldest_present()
            return
        by_name = self.view.by_name
        changed_members = (by_name[name] for name in changed_names if name in by_name)
        newcomers = (member.update for member in changed_members if member.is_present)
        self.oldest = min((self.oldest, *newcomers), key=seniority_key)

    def _run_lease_round(self, now_ns: int, gap_ns: int) -> None:
        lease_holder = self.lease_holder
        was_holding = lease_holder.state is LeaseState.HOLDING
        was_paused = gap_ns > self.settings.isolation_timeout_ns
        lease_holder.run_round(now_ns, len(self.presences), was_paused)
        has_lapsed = was_holding and lease_holder.state is not LeaseState.HOLDING
        self.sender.counters.lapses += has_lapsed

    def _change_allocator(self, now_ns: int) -> None:
        own = self.view.own
        if self.allocator_name == own.name:
            self.allocator.release_member(own.name, own.incarnation, self.sender.sequence)
        elif self._may_be_counted:
            self._allocator_changed_at_ns = now_ns
            self._pending_release = PendingRelease(
                self.allocator_name, self._last_remote_report_number
            )
        self._may_be_counted = False
        self.allocator_name = self.oldest.name
        self.sender.counters.dealers += 1

    def _continue_release(self, now_ns: int) -> None:
        """Repeats RELEASE to the previous allocator until it answers or the last report expires."""
        if now_ns - self._allocator_changed_at_ns >= self.settings.report_ttl_ns:
            self._pending_release = PendingRelease()
            return
        member = self.view.by_name.get(self._pending_release.allocator)
        if member is not None:
            report_number = self._pending_release.report_number
            self.sender.send(member.update.address, MessageKind.RELEASE, report_number)

    def _may_report(self, now_ns: int) -> bool:
        interval_ns = self.settings.report_interval_ns
        is_new = now_ns - self._started_at_ns < _OBSERVATION_ROUNDS * interval_ns
        if is_new and self.allocator_name != self.view.own.name:
            # The allocator is not reliably known yet. A member that received a report by mistake
            # could count this member as reporting for a while.
            return False
        # A new report would invalidate a grant that is still in transit, because a grant is
        # accepted only for the newest report.
        return (
            self._report_number < 0
            or now_ns - self._reported_at_ns >= _GRANT_TIMEOUT_ROUNDS * interval_ns
            or self.oldest.name != self._reported_to_name
        )

    def _report(self, now_ns: int) -> None:
        report_number = self.sender.next_sequence()
        self._report_number = report_number
        self._reported_at_ns = now_ns
        self._reported_to_name = self.oldest.name
        own, share = self.view.own, self.lease_holder.share
        held = max(share, self.in_use)
        report = ShareReport(held, share, self.demand, self.weight, self.roster_hash)
        if self.oldest.name != own.name:
            self._may_be_counted = True
            self._last_remote_report_number = report_number
            self.sender.send(self.oldest.address, MessageKind.REPORT, report_number, tuple(report))
            return
        grant = self.allocator.process_report(
            now_ns, own.name, own.incarnation, report_number, report
        )
        if grant is not None:
            self._accept_grant(now_ns, grant, self.allocator.is_confirmed(now_ns))

    def _accept_grant(self, now_ns: int, share: int, is_confirmed: bool) -> None:
        self._report_number = _NO_REPORT
        if now_ns - self._allocator_changed_at_ns < self.settings.report_ttl_ns:
            # The previous allocator may still count this member and raise the shares of others.
            share = min(share, self.lease_holder.share)
        self.sender.counters.grants += 1
        self.lease_holder.process_grant(now_ns, share, self._reported_at_ns, is_confirmed)
