"""Allocation of the calls to the downstream services among the members, by leases. Does no I/O.

One member is the allocator: the present member that was started first. In each round every member
reports to the allocator what it holds and what it could use, and is granted a share for the
duration of a lease. Shares are in millicalls: thousandths of a call in progress. The following
rules keep the sum of all shares within the total, whatever the network does:

- For each member the allocator keeps the most that the member may hold (`max_held`): the larger of
  the `held` value of the member's last report and the grant that answered that report. A share is
  raised only from millicalls that no member may hold.
- A member accepts a grant only if the grant answers its newest report, so a delayed older grant has
  no effect. Calls in progress are reported as held, so the difference to a lowered share becomes
  free only when those calls have ended.
- The `max_held` of a member that stopped reporting stays. Its share is allocated again once the
  member left, was restarted, or was dead for the reclaim timeout. If that member still runs, it has
  decayed to its minimum by then (`lease_holder.py`): each grant says whether it is confirmed, which
  means that half of the fleet reports to the allocator that sent it, and a member without a
  confirmed grant for the isolation timeout decays to its minimum.
- Only an allocator that receives reports from more than half of the fleet may raise shares. A new
  allocator first learns: until all members have reported, or for as long as a previous allocator
  could still have raised shares and its grants are valid.

Sources: Google's Doorman (2016) leases capacity from an elected server with a learning mode;
Breakwater (Cho and others, OSDI 2020) grants credits by demand.
"""

from collections.abc import Callable, Mapping
from enum import IntEnum

from ..time_units import NS_PER_MS
from ..transition_table import parse_transitions
from .accounts import MemberAccount, MemberPresence, ShareReport
from .fair_share import max_min_fair, round_down_to_calls, round_to_calls
from .settings import MILLICALLS_PER_CALL, QuotaSettings
from .totals import AllocationTotals

__all__ = ["Allocator", "AllocatorInput", "AllocatorPhase"]

# Minimum learning time of an allocator if no reporting member holds a share. Members that kept
# running through a restart of the others have found the allocator by then, because each member
# sends join requests with each probe.
_BOOTSTRAP_LEARNING_NS = 1600 * NS_PER_MS
_MIN_LEARNING_ROUNDS = 3
# Divisor of the allocation interval while an urgent allocation is pending: a member is new, or its
# demand exceeds _URGENT_DEMAND_FACTOR times its demand at the last allocation plus one call.
_URGENT_SPEEDUP = 8
_URGENT_DEMAND_FACTOR = 2


class AllocatorPhase(IntEnum):
    """Phase of this member in its role as the allocator."""

    IDLE = 0  # another member is the allocator
    LEARNING = 1  # renews existing shares until all shares that members may hold are known
    ALLOCATING = 2  # has a quorum: computes targets, and may raise shares
    RESTRICTED = 3  # no quorum: another member may be allocating to the others; raises no share

    @property
    def label(self) -> str:
        """Label of this phase in the state file and in `burlloom fleet show`."""
        return _PHASE_LABELS[self]


_PHASE_LABELS = {
    AllocatorPhase.IDLE: "idle",
    AllocatorPhase.LEARNING: "learning",
    AllocatorPhase.ALLOCATING: "dealing",
    AllocatorPhase.RESTRICTED: "bound",
}


class AllocatorInput(IntEnum):
    """Inputs of the allocator's state machine."""

    ROUND = 0  # a round is run
    PAUSED = 1  # a round is run after this process was suspended for longer than a lease


# Columns: state, input, test, next state, effect; "-" stands for no test or no effect.
TRANSITION_TABLE = """
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
    """Grants shares to the members while this member is the allocator.

    Attributes:
        settings: Equal on all members.
        phase: Current phase.
        phase_since_ns: Monotonic time from which reports count as received in this phase.
        allocated_at_ns: Monotonic time of the last allocation.
        quorum_at_ns: Monotonic time of the last round with a quorum.
        is_urgent: Whether the next allocation comes before its regular interval.
        accounts: State per member, by name.
        members: Members that may hold a share, by name.
        is_oldest: Whether this member is the present member that was started first.
        roster_hash: Hash of the member incarnations in this member's own view.
        totals: Sums over `accounts`; None if they must be computed again.
    """

    def __init__(self, settings: QuotaSettings, now_ns: int) -> None:
        """Initializes an idle allocator.

        Args:
            settings: Equal on all members.
            now_ns: Monotonic time in ns.
        """
        self.settings = settings
        self.phase = AllocatorPhase.IDLE
        self.phase_since_ns = now_ns
        self.allocated_at_ns = now_ns
        self.quorum_at_ns = now_ns
        self.is_urgent = False
        # Stays while another member is the allocator, so that replayed reports are still detected.
        self.accounts: dict[str, MemberAccount] = {}
        self.members: Mapping[str, MemberPresence] = {}
        self.is_oldest = False
        self.roster_hash = 0
        self.totals: AllocationTotals | None = None

    def run_round(
        self,
        now_ns: int,
        members: Mapping[str, MemberPresence],
        is_oldest: bool,
        was_paused: bool = False,
        roster_hash: int = 0,
    ) -> None:
        """Updates the members and runs the state machine; called once per round.

        Args:
            now_ns: Monotonic time in ns.
            members: All members that may hold a share, by name. A change needs a new mapping,
                because the totals detect changes by identity.
            is_oldest: Whether this member is the one to allocate.
            was_paused: Whether this process was suspended for longer than a lease.
            roster_hash: The roster hash of this member's own report.
        """
        self.members = members
        self.is_oldest = is_oldest
        self.roster_hash = roster_hash
        if self.has_quorum(now_ns):
            self.quorum_at_ns = now_ns
        for name, account in list(self.accounts.items()):
            if self._is_obsolete(now_ns, members.get(name), account):
                del self.accounts[name]
                self.totals = None
        self.apply_input(now_ns, AllocatorInput.PAUSED if was_paused else AllocatorInput.ROUND)

    def process_report(
        self, now_ns: int, name: str, incarnation: int, report_number: int, report: ShareReport
    ) -> int | None:
        """Processes a member's report.

        Args:
            now_ns: Monotonic time in ns.
            name: Name of the reporting member.
            incarnation: Incarnation of the reporting member.
            report_number: Increases with each report of the member.
            report: Held share and demand of the member.

        Returns:
            The granted share in millicalls. None if this member is not the allocator, the reporter
            is unknown or was restarted since, or the report is a replay or older than one already
            processed.
        """
        presence = self.members.get(name)
        account = self.accounts.get(name)
        if self.phase is AllocatorPhase.IDLE or presence is None:
            return None
        if incarnation < presence.incarnation:
            return None
        if account is not None and not _is_newer_report(account, incarnation, report_number):
            return None
        account = self._store_report(now_ns, name, incarnation, report_number, report)
        urgent_demand_threshold = (
            _URGENT_DEMAND_FACTOR * account.allocated_demand + MILLICALLS_PER_CALL
        )
        self.is_urgent |= report.demand > urgent_demand_threshold
        grant = self.compute_grant(now_ns, account)
        totals = self.current_totals(now_ns)
        totals.remove(name, account)
        account.max_held = max(report.held, grant)
        totals.add(name, account)
        return grant

    def _store_report(
        self, now_ns: int, name: str, incarnation: int, report_number: int, report: ShareReport
    ) -> MemberAccount:
        totals = self.current_totals(now_ns)
        account = self.accounts.get(name)
        if account is not None:
            totals.remove(name, account)
        if account is None or account.incarnation < incarnation:
            account = MemberAccount(incarnation, report_number, now_ns, report, report.held)
            self.accounts[name] = account
            self.is_urgent = True
        else:
            account.record_report(now_ns, report_number, report)
        totals.add(name, account)
        return account

    def release_member(self, name: str, incarnation: int, report_number: int) -> None:
        """Stops counting a member as reporting to this allocator until its next report.

        Another allocator may raise the member's share from now on, so the account counts as not
        reported in this phase. Reports up to `report_number` that arrive later are ignored.

        Args:
            name: Name of the member.
            incarnation: Incarnation of the member.
            report_number: Number of the last report that the member sent to this allocator.
        """
        account = self.accounts.get(name)
        has_totals = self.totals is not None and self.totals.accounts is self.accounts
        totals = self.totals if has_totals else None
        if totals is not None and account is not None:
            totals.remove(name, account)
        if account is None or account.incarnation < incarnation:
            account = MemberAccount(incarnation, report_number, 0, ShareReport(0, 0, 0, 1), 0)
            self.accounts[name] = account
        if account.incarnation == incarnation:
            account.report_number = max(account.report_number, report_number)
            expired_report_time_ns = self.phase_since_ns - 2 * self.settings.report_ttl_ns
            account.reported_at_ns = min(account.reported_at_ns, expired_report_time_ns)
        if totals is not None:
            totals.add(name, account)

    def compute_grant(self, now_ns: int, account: MemberAccount) -> int:
        """Returns the millicalls to grant to a member on its newest report.

        Only an allocating member with a quorum raises a share, and only by free millicalls.
        """
        share = account.report.share
        if self.phase is AllocatorPhase.RESTRICTED:
            return min(share, self.settings.equal_share(len(self.members)))
        if self.phase is AllocatorPhase.LEARNING:
            return share
        if account.target <= share or not self.has_quorum(now_ns):
            return min(share, account.target)
        max_grantable = account.report.held + max(0, self.free_share(now_ns))
        return max(share, round_down_to_calls(min(account.target, max_grantable)))

    def free_share(self, now_ns: int) -> int:
        """Returns the millicalls of the total that no member may hold."""
        max_held = self.current_totals(now_ns).max_held
        return self.settings.total_millicalls - max_held - self.unknown_share(now_ns)

    def unknown_share(self, now_ns: int) -> int:
        """Returns the millicalls that members without an account may hold: an equal share each."""
        equal_share = self.settings.equal_share(len(self.members))
        return self.current_totals(now_ns).count_unknown(now_ns) * equal_share

    def current_totals(self, now_ns: int) -> AllocationTotals:
        """Returns the sums over all accounts, computed again if they are no longer valid."""
        settings = self.settings
        is_allocating = self.phase is AllocatorPhase.ALLOCATING
        reclaim_timeout_ns = settings.reclaim_timeout_ns if is_allocating else None
        if self.totals is None or not self.totals.is_valid_for(
            self.accounts, self.members, now_ns, self.phase_since_ns, reclaim_timeout_ns
        ):
            self.totals = AllocationTotals(
                self.accounts,
                self.members,
                now_ns,
                self.phase_since_ns,
                settings.equal_share(len(self.members)),
                settings.report_ttl_ns,
                reclaim_timeout_ns,
            )
        return self.totals

    def is_reclaimable(self, now_ns: int, presence: MemberPresence) -> bool:
        """Returns whether a member was dead for the reclaim timeout and its share may be reused.

        A dead member that still runs has decayed to its minimum by then. Only an allocating member,
        which has a quorum, may conclude this.
        """
        return (
            not presence.is_present
            and now_ns - presence.since_ns >= self.settings.reclaim_timeout_ns
            and self.phase is AllocatorPhase.ALLOCATING
        )

    def is_confirmed(self, now_ns: int) -> bool:
        """Returns whether at least half of the fleet reports to this allocator.

        Then no other part of the fleet can allocate the same millicalls.
        """
        return 2 * self.count_reporting(now_ns) >= self.effective_fleet_size()

    def effective_fleet_size(self) -> int:
        """Returns the fleet size of which a quorum is more than half."""
        return max(len(self.members), self.settings.min_members)

    def count_reporting(self, now_ns: int) -> int:
        """Returns how many members have a report that is younger than the report TTL."""
        return self.current_totals(now_ns).count_reporting(now_ns)

    def apply_input(self, now_ns: int, input_event: AllocatorInput) -> None:
        """Takes the first transition whose test holds; keeps the phase if there is none."""
        for test, phase, effect in RULES.get((self.phase, input_event), ()):
            if test(self, now_ns):
                self.phase = phase
                effect(self, now_ns)
                return

    def _is_obsolete(
        self, now_ns: int, presence: MemberPresence | None, account: MemberAccount
    ) -> bool:
        return (
            presence is None
            or presence.incarnation > account.incarnation
            or self.is_reclaimable(now_ns, presence)
        )

    # Tests named in TRANSITION_TABLE.

    def is_oldest_member(self, now_ns: int) -> bool:
        """Returns whether this member is the one to allocate."""
        return self.is_oldest

    def is_not_oldest(self, now_ns: int) -> bool:
        """Returns whether another member is the one to allocate."""
        return not self.is_oldest

    def has_quorum(self, now_ns: int) -> bool:
        """Returns whether more than half of the fleet reports to this allocator."""
        return 2 * self.count_reporting(now_ns) > self.effective_fleet_size()

    def has_lost_quorum(self, now_ns: int) -> bool:
        """Returns whether there was no quorum for longer than the report TTL.

        A shorter gap is tolerated: many members may have joined at once and not reported yet, or
        may not have switched to a new allocator yet. Raises stop immediately in either case, see
        `compute_grant`.
        """
        return now_ns - max(self.quorum_at_ns, self.phase_since_ns) > self.settings.report_ttl_ns

    def has_learned(self, now_ns: int) -> bool:
        """Returns whether the allocator knows all shares that any member may hold.

        This is so with a quorum once all members have reported, or at the latest after
        `QuotaSettings.learning_ns`, when the grants of a previous allocator have expired.
        """
        if not self.has_quorum(now_ns):
            return False
        known_accounts = self._known_accounts()
        min_learning_ns = _MIN_LEARNING_ROUNDS * self.settings.report_interval_ns
        if not any(account.report.share for account in known_accounts):
            # Either all members are new, or members that kept running have not found this
            # allocator yet.
            min_learning_ns = max(min_learning_ns, _BOOTSTRAP_LEARNING_NS)
        learning_ns = now_ns - self.phase_since_ns
        if len(known_accounts) >= self.effective_fleet_size() and learning_ns >= min_learning_ns:
            return True
        return learning_ns >= self.settings.learning_ns

    def _known_accounts(self) -> list[MemberAccount]:
        """Returns the accounts that reported in this phase and count the same fleet as this member.

        If every member of the fleet is among them, no other member can hold a share that one of
        them granted as allocator.
        """
        return [
            account
            for name, account in self.accounts.items()
            if account.reported_at_ns >= self.phase_since_ns
            and name in self.members
            and account.report.roster_hash == self.roster_hash
        ]

    # Effects named in TRANSITION_TABLE.

    def begin_learning(self, now_ns: int) -> None:
        """Starts counting reports again, and makes the first allocation due at once.

        The allocation runs when the learning phase ends.
        """
        self.phase_since_ns = now_ns
        self.allocated_at_ns = now_ns - self.settings.allocation_interval_ns

    def restrict(self, now_ns: int) -> None:
        """Starts a phase in which earlier reports no longer count as received."""
        self.phase_since_ns = now_ns

    def allocate(self, now_ns: int) -> None:
        """Sets new targets for the reporting members, once per allocation interval.

        Millicalls that the other members may hold are not available for allocation.
        """
        settings = self.settings
        interval_ns = settings.allocation_interval_ns
        if now_ns - self.allocated_at_ns < (
            interval_ns // _URGENT_SPEEDUP if self.is_urgent else interval_ns
        ):
            return
        self.allocated_at_ns = now_ns
        self.is_urgent = False
        reporting_accounts = []
        silent_millicalls = 0
        for name in sorted(self.accounts):
            account = self.accounts[name]
            if now_ns - account.reported_at_ns <= settings.lease_ns:
                reporting_accounts.append(account)
            else:
                silent_millicalls += account.max_held
        unknown_millicalls = self.unknown_share(now_ns)
        total = max(0, settings.total_millicalls - silent_millicalls - unknown_millicalls)
        idle_millicalls = int(settings.idle_share * settings.equal_share(len(self.members)))
        demands = [max(idle_millicalls, account.report.demand) for account in reporting_accounts]
        weights = [account.report.weight for account in reporting_accounts]
        targets = round_to_calls(total, max_min_fair(total, demands, weights), reporting_accounts)
        for account, target in zip(reporting_accounts, targets, strict=True):
            account.target = target
            account.allocated_demand = account.report.demand


def _is_newer_report(account: MemberAccount, incarnation: int, report_number: int) -> bool:
    if account.incarnation != incarnation:
        return incarnation > account.incarnation
    return report_number > account.report_number


_Test = Callable[[Allocator, int], bool]
_Effect = Callable[[Allocator, int], None]


def _always(allocator: Allocator, now_ns: int) -> bool:
    return True


def _do_nothing(allocator: Allocator, now_ns: int) -> None:
    pass


def _resolve_test(name: str) -> _Test:
    return _always if name == "-" else getattr(Allocator, name)


def _resolve_effect(name: str) -> _Effect:
    return _do_nothing if name == "-" else getattr(Allocator, name)


RULES = parse_transitions(
    TRANSITION_TABLE, AllocatorPhase, AllocatorInput, _resolve_test, _resolve_effect
)
