"""Allocation of the downstream services' calls over the fleet, by leases. No I/O.

One member allocates: the present one that was started first. Each round every member reports to it
what it holds and what it could use, and is granted a share for the length of a lease. Shares are
in millicalls: thousandths of a call in progress. What keeps the sum of all shares within the total,
whatever the network does:

- The allocator counts as bound, for each member, the larger of what its last report said that it
  holds and of what was granted on that report. A raise comes only out of what is not bound.
- A member takes a grant only on its newest report, so an older one that is late does nothing. It
  reports the calls in progress as held: a lowered share is free once its calls have ended.
- A member that has stopped reporting stays bound. Its share is allocated anew once it left, was
  started again, or was dead for the reclaim timeout; by then it is at its minimum by itself if it
  lives (`lease_holder.py`): a grant says whether it is confirmed, that is whether half of the fleet
  reports to the one that gave it, and without a confirmed grant for the isolation timeout a member
  decays to its minimum.
- Only an allocator to whom more than half of the fleet reports may raise shares. A new one first
  learns: until all have reported, or for as long as an older allocator could still have raised
  shares and its grants hold.

Sources: Google's Doorman (2016) hands out leases of a capacity from an elected server with a
learning mode; Breakwater (Cho and others, OSDI 2020) grants credits by demand.
"""

from collections.abc import Callable, Mapping
from enum import IntEnum

from ..transition_table import parse_transitions
from .accounts import Account, MemberPresence, ShareReport
from .fair_share import max_min_fair, round_down_to_calls, round_to_calls
from .settings import MILLICALLS_PER_CALL, NS_PER_MS, QuotaSettings
from .totals import AllocationTotals

__all__ = ["Allocator", "AllocatorInput", "AllocatorPhase"]

# How long a fleet in which nobody holds anything is observed before the first allocation. Join
# requests go out with each probe: members that lived on have found us by then.
_BOOTSTRAP_NS = 1600 * NS_PER_MS
_MIN_LEARNING_ROUNDS = 3
# Divides the allocation interval while a member wants far more than its share.
_URGENT_SPEEDUP = 8
_URGENT_DEMAND_FACTOR = 2


class AllocatorPhase(IntEnum):
    """What this member does as the allocator."""

    IDLE = 0  # another member allocates
    LEARNING = 1  # renews what is held, until all that may be held is known
    ALLOCATING = 2
    RESTRICTED = 3  # too few report: another may be allocating to the rest

    @property
    def label(self) -> str:
        """The word for this phase in the state file and in `burlloom fleet show`."""
        return _PHASE_LABELS[self]


_PHASE_LABELS = {
    AllocatorPhase.IDLE: "idle",
    AllocatorPhase.LEARNING: "learning",
    AllocatorPhase.ALLOCATING: "dealing",
    AllocatorPhase.RESTRICTED: "bound",
}


class AllocatorInput(IntEnum):
    """What moves the allocator from phase to phase."""

    ROUND = 0
    PAUSED = 1  # this process stood still for longer than a lease


TABLE = """
IDLE       ROUND  is_oldest_member LEARNING   begin_learning
IDLE       PAUSED -                IDLE       -
LEARNING   ROUND  is_not_oldest    IDLE       -
LEARNING   ROUND  has_lost_quorum  RESTRICTED restrict
LEARNING   ROUND  has_learned      ALLOCATING allocate
LEARNING   PAUSED -                IDLE       -
ALLOCATING ROUND  is_not_oldest    IDLE       -
ALLOCATING ROUND  has_lost_quorum  RESTRICTED restrict
ALLOCATING ROUND  -                ALLOCATING allocate
ALLOCATING PAUSED -                IDLE       -
RESTRICTED ROUND  is_not_oldest    IDLE       -
RESTRICTED ROUND  has_quorum       LEARNING   begin_learning
RESTRICTED PAUSED -                IDLE       -
"""


class Allocator:
    """Grants shares to members, while this member is the one that allocates."""

    def __init__(self, settings: QuotaSettings, now: int) -> None:
        """Begins idle.

        Args:
            settings: The same on each member.
            now: ns on a clock that nobody sets.
        """
        self.settings = settings
        self.phase = AllocatorPhase.IDLE
        self.phase_since_ns = now
        self.allocated_at_ns = now
        self.quorum_at_ns = now
        self.is_urgent = False  # a member wants far more than at the last allocation
        # Kept while another member allocates: old reports can't be played again.
        self.accounts: dict[str, Account] = {}
        self.members: Mapping[str, MemberPresence] = {}
        self.is_oldest = False
        self.roster_hash = 0
        self.totals: AllocationTotals | None = None

    def run_round(
        self,
        now: int,
        members: Mapping[str, MemberPresence],
        is_oldest: bool,
        was_paused: bool = False,
        roster_hash: int = 0,
    ) -> None:
        """Takes in the view and moves on, once a round.

        Args:
            now: ns on a clock that nobody sets.
            members: All that may hold a share, by name; another mapping where that changed.
            is_oldest: Whether this member is the one to allocate.
            was_paused: Whether this process stood still for longer than a lease.
            roster_hash: As in this member's own report.
        """
        self.members = members
        self.is_oldest = is_oldest
        self.roster_hash = roster_hash
        if self.has_quorum(now):
            self.quorum_at_ns = now
        for name, account in list(self.accounts.items()):
            if self._is_obsolete(now, members.get(name), account):
                del self.accounts[name]
                self.totals = None
        self.apply_input(now, AllocatorInput.PAUSED if was_paused else AllocatorInput.ROUND)

    def process_report(
        self, now: int, name: str, incarnation: int, number: int, report: ShareReport
    ) -> int | None:
        """Takes in a member's report.

        Args:
            now: ns on a clock that nobody sets.
            name: The member's.
            incarnation: The member's.
            number: Counts up with its reports.
            report: What it holds and wants.

        Returns:
            The granted share in millicalls; None where another member allocates, or the report was
            played again or overtaken.
        """
        presence = self.members.get(name)
        account = self.accounts.get(name)
        if self.phase is AllocatorPhase.IDLE or presence is None:
            return None
        if incarnation < presence.incarnation:
            return None
        if account is not None and not _is_newer_report(account, incarnation, number):
            return None
        account = self._store_report(now, name, incarnation, number, report)
        usual = _URGENT_DEMAND_FACTOR * account.allocated_demand + MILLICALLS_PER_CALL
        self.is_urgent |= report.demand > usual
        grant = self.compute_grant(now, account)
        totals = self.current_totals(now)
        totals.remove(name, account)
        account.bound = max(report.held, grant)
        totals.add(name, account)
        return grant

    def _store_report(
        self, now: int, name: str, incarnation: int, number: int, report: ShareReport
    ) -> Account:
        totals = self.current_totals(now)
        account = self.accounts.get(name)
        if account is not None:
            totals.remove(name, account)
        if account is None or account.incarnation < incarnation:
            account = Account(incarnation, number, now, report, report.held)
            self.accounts[name] = account
            self.is_urgent = True
        else:
            account.take(now, number, report)
        totals.add(name, account)
        return account

    def release_member(self, name: str, incarnation: int, number: int) -> None:
        """Stops counting a member as one that reports here, until it does so anew.

        Another allocator may raise it from now on. A report up to `number` that is still on its way
        does not change that.
        """
        account = self.accounts.get(name)
        has_totals = self.totals is not None and self.totals.accounts is self.accounts
        totals = self.totals if has_totals else None
        if totals is not None and account is not None:
            totals.remove(name, account)
        if account is None or account.incarnation < incarnation:
            account = Account(incarnation, number, 0, ShareReport(0, 0, 0, 1), 0)
            self.accounts[name] = account
        if account.incarnation == incarnation:
            account.report_number = max(account.report_number, number)
            outdated_ns = self.phase_since_ns - 2 * self.settings.report_ttl_ns
            account.reported_at_ns = min(account.reported_at_ns, outdated_ns)
        if totals is not None:
            totals.add(name, account)

    def compute_grant(self, now: int, account: Account) -> int:
        """Returns the millicalls that a member is granted on its newest report."""
        share = account.report.share
        if self.phase is AllocatorPhase.RESTRICTED:
            return min(share, self.settings.equal_share(len(self.members)))
        if self.phase is AllocatorPhase.LEARNING:
            return share
        if account.target <= share or not self.has_quorum(now):
            return min(share, account.target)
        reachable = account.report.held + max(0, self.free_share(now))
        return max(share, round_down_to_calls(min(account.target, reachable)))

    def free_share(self, now: int) -> int:
        """Returns the millicalls that no member is bound by."""
        bound = self.current_totals(now).bound
        return self.settings.total_millicalls - bound - self.unknown_share(now)

    def unknown_share(self, now: int) -> int:
        """Returns what members may hold of whom nothing is known yet: an equal share each."""
        equal_share = self.settings.equal_share(len(self.members))
        return self.current_totals(now).count_unknown(now) * equal_share

    def current_totals(self, now: int) -> AllocationTotals:
        """Returns the sums over all accounts, made anew where they don't hold any more."""
        settings = self.settings
        is_allocating = self.phase is AllocatorPhase.ALLOCATING
        reclaim_timeout_ns = settings.reclaim_timeout_ns if is_allocating else None
        if self.totals is None or not self.totals.is_valid_for(
            self.accounts, self.members, now, self.phase_since_ns, reclaim_timeout_ns
        ):
            self.totals = AllocationTotals(
                self.accounts,
                self.members,
                now,
                self.phase_since_ns,
                settings.equal_share(len(self.members)),
                settings.report_ttl_ns,
                reclaim_timeout_ns,
            )
        return self.totals

    def is_reclaimable(self, now: int, presence: MemberPresence) -> bool:
        """Whether a dead member is at its minimum by itself; known only with a quorum."""
        return (
            not presence.is_present
            and now - presence.since_ns >= self.settings.reclaim_timeout_ns
            and self.phase is AllocatorPhase.ALLOCATING
        )

    def is_confirmed(self, now: int) -> bool:
        """Whether half of the fleet reports here: then no other part of it allocates the same."""
        return 2 * self.count_reporting(now) >= self.quorum_size()

    def quorum_size(self) -> int:
        """Returns how many members a quorum is more than half of."""
        return max(len(self.members), self.settings.min_members)

    def count_reporting(self, now: int) -> int:
        """Returns how many members have reported lately."""
        return self.current_totals(now).count_reporting(now)

    def apply_input(self, now: int, received: AllocatorInput) -> None:
        """Moves by the first row of the table whose test holds; stays where there is none."""
        for test, phase, effect in RULES.get((self.phase, received), ()):
            if test(self, now):
                self.phase = phase
                effect(self, now)
                return

    def _is_obsolete(self, now: int, presence: MemberPresence | None, account: Account) -> bool:
        return (
            presence is None
            or presence.incarnation > account.incarnation
            or self.is_reclaimable(now, presence)
        )

    # Tests of the table.

    def is_oldest_member(self, now: int) -> bool:
        """Whether this member is the one to allocate."""
        return self.is_oldest

    def is_not_oldest(self, now: int) -> bool:
        """Whether another member is the one to allocate."""
        return not self.is_oldest

    def has_quorum(self, now: int) -> bool:
        """Whether more than half of the fleet reports here."""
        return 2 * self.count_reporting(now) > self.quorum_size()

    def has_lost_quorum(self, now: int) -> bool:
        """Whether there was no quorum for so long that it is lost.

        Many may have come at once and not reported yet, or not have come to a new allocator yet.
        Raises stop at once all the same.
        """
        return now - max(self.quorum_at_ns, self.phase_since_ns) > self.settings.report_ttl_ns

    def has_learned(self, now: int) -> bool:
        """Whether all that any member may hold is known."""
        if not self.has_quorum(now):
            return False
        known = self._known_accounts()
        min_learning_ns = _MIN_LEARNING_ROUNDS * self.settings.report_interval_ns
        if not any(account.report.share for account in known):
            # All may be new; those who lived on, if any, may not have found us yet.
            min_learning_ns = max(min_learning_ns, _BOOTSTRAP_NS)
        learning_ns = now - self.phase_since_ns
        if len(known) >= self.quorum_size() and learning_ns >= min_learning_ns:
            return True
        return learning_ns >= self.settings.learning_ns

    def _known_accounts(self) -> list[Account]:
        """Returns those who reported in this phase and count the same fleet as this member.

        All of them together leave nobody out who holds something that one of them granted.
        """
        return [
            account
            for name, account in self.accounts.items()
            if account.reported_at_ns >= self.phase_since_ns
            and name in self.members
            and account.report.roster_hash == self.roster_hash
        ]

    # Effects of the table.

    def begin_learning(self, now: int) -> None:
        """Counts reports anew, and allocates as soon as all is known."""
        self.phase_since_ns = now
        self.allocated_at_ns = now - self.settings.allocation_interval_ns

    def restrict(self, now: int) -> None:
        """Counts the time without a quorum from now on."""
        self.phase_since_ns = now

    def allocate(self, now: int) -> None:
        """Sets new targets for those who report, once an allocation interval.

        What the others are bound by is not there to be allocated.
        """
        settings = self.settings
        interval_ns = settings.allocation_interval_ns
        if now - self.allocated_at_ns < (
            interval_ns // _URGENT_SPEEDUP if self.is_urgent else interval_ns
        ):
            return
        self.allocated_at_ns = now
        self.is_urgent = False
        reporting = []
        bound_of_silent = 0
        for name in sorted(self.accounts):
            account = self.accounts[name]
            if now - account.reported_at_ns <= settings.lease_ns:
                reporting.append(account)
            else:
                bound_of_silent += account.bound
        unknown = self.unknown_share(now)
        total = max(0, settings.total_millicalls - bound_of_silent - unknown)
        idle = int(settings.idle_share * settings.equal_share(len(self.members)))
        demands = [max(idle, account.report.demand) for account in reporting]
        weights = [account.report.weight for account in reporting]
        targets = round_to_calls(total, max_min_fair(total, demands, weights), reporting)
        for account, target in zip(reporting, targets, strict=True):
            account.target = target
            account.allocated_demand = account.report.demand


def _is_newer_report(account: Account, incarnation: int, number: int) -> bool:
    if account.incarnation != incarnation:
        return incarnation > account.incarnation
    return number > account.report_number


_Test = Callable[[Allocator, int], bool]
_Effect = Callable[[Allocator, int], None]


def _always(allocator: Allocator, now: int) -> bool:
    return True


def _do_nothing(allocator: Allocator, now: int) -> None:
    pass


def _test(name: str) -> _Test:
    return _always if name == "-" else getattr(Allocator, name)


def _effect(name: str) -> _Effect:
    return _do_nothing if name == "-" else getattr(Allocator, name)


RULES = parse_transitions(TABLE, AllocatorPhase, AllocatorInput, _test, _effect)
