"""Reports, grants and changes of the allocator, between this member and the others. No I/O.

A member reports to one allocator at a time. When another becomes the allocator, no raise is taken
until the one before has said that it does not count this member any more (RELEASE, answered by
REDIRECT), or for as long as the last report to it counts: it may still raise others with us among
those that report to it.
"""

from dataclasses import dataclass

from .accounts import MemberPresence, ShareReport
from .allocator import Allocator
from .gossip import GossipSender
from .lease_holder import LeaseHolder, LeaseState
from .membership import MembershipView, MemberState, seniority
from .messages import Message, MessageKind
from .settings import QuotaSettings

__all__ = ["QuotaProtocol"]

_OBSERVATION_ROUNDS = 2  # that a new member looks around before it reports
_GRANT_TIMEOUT_ROUNDS = 3
_REPORT_VALUES = 5
_GRANT_VALUES = 2
_NONE_SENT = -1
_DEFAULT_WEIGHT_THOUSANDTHS = 1000


@dataclass(frozen=True, slots=True)
class PendingRelease:
    """A former allocator that may still count this member.

    Attributes:
        allocator: Its name; empty where there is none.
        report_number: Of our last report to it.
    """

    allocator: str = ""
    report_number: int = _NONE_SENT


class QuotaProtocol:
    """This member's part in the allocation, as a holder of a share and, if oldest, as allocator.

    Attributes:
        allocator: Idle while another member allocates.
        lease_holder: The share of this member.
        allocator_name: The member that allocates, as we see it; empty before the first round.
        presences: What the allocation is told of the view; another mapping where that changed.
        oldest: The member to allocate.
        roster_hash: Goes with our reports.
        seen_version: Of the view that `presences` shows; below 0 before the first look.
        demand: Millicalls that could be used.
        in_use: Millicalls in progress.
        weight: Of this member against the others, in thousandths.
        is_round_wanted: Whether a round is due before its time.
    """

    def __init__(
        self,
        view: MembershipView,
        sender: GossipSender,
        settings: QuotaSettings,
        now: int,
        never_ns: int,
    ) -> None:
        """Begins without a share.

        Args:
            view: What this member knows of the others.
            sender: Of this member's messages.
            settings: The same on each member.
            now: ns on a clock that nobody sets.
            never_ns: A time before any message.
        """
        self.view = view
        self.sender = sender
        self.settings = settings
        self.allocator = Allocator(settings, now)
        self.lease_holder = LeaseHolder(settings, now)
        self.allocator_name = ""
        self.presences: dict[str, MemberPresence] = {}
        self.oldest = view.own
        self.roster_hash = 0
        self.seen_version = -1
        self.demand = 0
        self.in_use = 0
        self.weight = _DEFAULT_WEIGHT_THOUSANDTHS
        self._started_at_ns = now
        self._allocator_changed_at_ns = never_ns
        self._pending_release = PendingRelease()
        self._report_number = _NONE_SENT  # whose grant is still waited for
        self._last_report_number = _NONE_SENT  # our last report to another member
        self._reported_at_ns = now
        self._reported_to = ""
        self._is_counted = False  # whether that one may count us among those that report to it
        self.is_round_wanted = False

    def run_round(self, now: int, gap_ns: int) -> None:
        """Brings the share and the allocation up to date, and reports.

        Args:
            now: ns on a clock that nobody sets.
            gap_ns: Since the last tick.
        """
        self.is_round_wanted = False
        self.refresh_presences()
        self._run_lease_round(now, gap_ns)
        own = self.view.own
        is_oldest = self.oldest.name == own.name
        was_paused = gap_ns > self.settings.lease_ns
        self.allocator.run_round(now, self.presences, is_oldest, was_paused, self.roster_hash)
        if self.oldest.name != self.allocator_name:
            self._change_allocator(now)
        self._continue_release(now)
        if self._may_report(now):
            self._report(now)

    def refresh_presences(self) -> None:
        """Follows the view where it changed: a new mapping, from the one before."""
        view = self.view
        if self.seen_version == view.version:
            return
        changed, view.changed_names = view.changed_names, set()
        presences = dict(self.presences)
        for name in changed:
            member = view.by_name.get(name)
            if member is None or member.state is MemberState.LEFT:
                presences.pop(name, None)
            else:
                incarnation = member.update.incarnation
                presences[name] = MemberPresence(incarnation, member.is_present, member.since_ns)
        self._refresh_oldest(changed)
        self.seen_version = view.version
        self.presences = presences
        self.roster_hash = view.roster_hash()

    def process_report(self, now: int, message: Message) -> None:
        """Answers a member's report with a grant, or with who allocates in our place."""
        if len(message.values) != _REPORT_VALUES:
            return
        member = message.sender
        if member.name not in self.allocator.members:
            self.refresh_presences()
            self.allocator.members = self.presences  # one that came since the last round
        report = ShareReport(*message.values)
        grant = self.allocator.process_report(
            now, member.name, member.incarnation, message.sequence, report
        )
        if grant is not None:
            values = grant, int(self.allocator.is_confirmed(now))
            self.sender.send(
                member.address, MessageKind.GRANT, message.sequence, values, recipient=member.name
            )
        elif self.oldest.name != self.view.own.name and self.seen_version >= 0:
            self.process_release(now, message)

    def process_grant(self, now: int, message: Message) -> None:
        """Takes a grant, if it answers our newest report to the allocator."""
        if message.sender.name != self.allocator_name or message.sequence != self._report_number:
            return
        if len(message.values) == _GRANT_VALUES:
            share, is_confirmed = message.values
            self._accept_grant(now, share, is_confirmed == 1)

    def process_redirect(self, now: int, message: Message) -> None:
        """Takes in that a member does not allocate, and does not count us."""
        sender, number = message.sender.name, message.sequence
        if sender == self._reported_to and number == self._report_number:
            self._report_number = _NONE_SENT
            self._is_counted = False
            self.is_round_wanted = True  # looks at who allocates, and reports
        if PendingRelease(sender, number) == self._pending_release:
            self._pending_release = PendingRelease()
            self._allocator_changed_at_ns = now - self.settings.report_ttl_ns

    def process_release(self, now: int, message: Message) -> None:
        """Stops counting a member as one that reports here, and says who allocates."""
        member = message.sender
        self.allocator.release_member(member.name, member.incarnation, message.sequence)
        own = self.view.own
        redirect = Message(MessageKind.REDIRECT, own, message.sequence, (), "", (self.oldest,))
        self.sender.enqueue(member.address, redirect)

    def _refresh_oldest(self, changed: set[str]) -> None:
        is_stale = self.oldest.name in changed or self.oldest.state > MemberState.SUSPECT
        if self.seen_version < 0 or is_stale:
            self.oldest = self.view.oldest_present()
            return
        by_name = self.view.by_name
        known = (by_name[name] for name in changed if name in by_name)
        newcomers = (member.update for member in known if member.is_present)
        self.oldest = min((self.oldest, *newcomers), key=seniority)

    def _run_lease_round(self, now: int, gap_ns: int) -> None:
        holder = self.lease_holder
        was_holding = holder.state is LeaseState.HOLDING
        was_paused = gap_ns > self.settings.isolation_timeout_ns
        holder.run_round(now, len(self.presences), was_paused)
        is_lapsed = was_holding and holder.state is not LeaseState.HOLDING
        self.sender.counters.lapses += is_lapsed

    def _change_allocator(self, now: int) -> None:
        own = self.view.own
        if self.allocator_name == own.name:
            self.allocator.release_member(own.name, own.incarnation, self.sender.sequence)
        elif self._is_counted:
            self._allocator_changed_at_ns = now
            self._pending_release = PendingRelease(self.allocator_name, self._last_report_number)
        self._is_counted = False
        self.allocator_name = self.oldest.name
        self.sender.counters.dealers += 1

    def _continue_release(self, now: int) -> None:
        """Tells the allocator before again, until it has answered or its time is over."""
        if now - self._allocator_changed_at_ns >= self.settings.report_ttl_ns:
            self._pending_release = PendingRelease()
            return
        member = self.view.by_name.get(self._pending_release.allocator)
        if member is not None:
            number = self._pending_release.report_number
            self.sender.send(member.update.address, MessageKind.RELEASE, number)

    def _may_report(self, now: int) -> bool:
        interval_ns = self.settings.report_interval_ns
        is_new = now - self._started_at_ns < _OBSERVATION_ROUNDS * interval_ns
        if is_new and self.allocator_name != self.view.own.name:
            # Who allocates is not known yet; one that is reported to by mistake may count us for a
            # while.
            return False
        # A grant that may still be on its way holds only on the newest report.
        return (
            self._report_number < 0
            or now - self._reported_at_ns >= _GRANT_TIMEOUT_ROUNDS * interval_ns
            or self.oldest.name != self._reported_to
        )

    def _report(self, now: int) -> None:
        number = self.sender.next_sequence()
        self._report_number = number
        self._reported_at_ns = now
        self._reported_to = self.oldest.name
        own, share = self.view.own, self.lease_holder.share
        held = max(share, self.in_use)
        report = ShareReport(held, share, self.demand, self.weight, self.roster_hash)
        if self.oldest.name != own.name:
            self._is_counted = True
            self._last_report_number = number
            self.sender.send(self.oldest.address, MessageKind.REPORT, number, tuple(report))
            return
        grant = self.allocator.process_report(now, own.name, own.incarnation, number, report)
        if grant is not None:
            self._accept_grant(now, grant, self.allocator.is_confirmed(now))

    def _accept_grant(self, now: int, share: int, is_confirmed: bool) -> None:
        self._report_number = _NONE_SENT
        if now - self._allocator_changed_at_ns < self.settings.report_ttl_ns:
            # The allocator before may still count us, and raise others.
            share = min(share, self.lease_holder.share)
        self.sender.counters.grants += 1
        self.lease_holder.process_grant(now, share, self._reported_at_ns, is_confirmed)
