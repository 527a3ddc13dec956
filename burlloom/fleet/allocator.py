"""How the calls that the services below bear are shared out over the fleet. No I/O.

One member deals, whoever has lived longest of those who are there. Each round every member reports
to it what it holds and what it could use, and is granted a share for the length of a lease. Shares
are thousandths of a call in hand. What keeps the sum within `total`, whatever the network does:

- The dealer counts as bound, for each member, the larger of what its last report said that it holds
and of
  what was granted on it; a raise comes only out of what is not bound.
- A holder takes a grant only on its newest report, so an older one that is late does nothing, and
it reports
  what it holds with the calls still in hand: a cut share is free once its calls are.
- A member that was not heard is bound as before. What it is bound by is dealt anew once it left,
was started
  again, or was dead for `redeal`; by then it is at its floor by itself (`hold.py`), if it lives: a
  grant says whether half of the fleet reports to the one that gave it, and without such a grant for
  `cut` it sinks.
- Only a dealer to whom more than half of the fleet reports may raise. One that comes new to it
first learns:
  until all have reported, or for as long as an older dealer could still have raised and its grants
  hold.

Source: Google's Doorman (2016) hands out leases of a capacity from an elected server with a
learning mode; Breakwater (Cho and others, OSDI 2020) grants credits by demand. The split is max-min
fair, by weight; whole calls go round in turns by error diffusion, so that each has its exact share
over some turns and the sum is exact in each.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from ..transition_table import parse_transitions
from .totals import AllocationTotals

MILLICALLS_PER_CALL = 1000  # thousandths
STICKS = 1500  # thousandths; see `turns`
HEADROOM = 1.25  # of what a member uses: more is free for its next peak
MS = 1_000_000
NEWBORN = (
    1600 * MS
)  # until a fleet in which nobody held anything is dealt to; knocks come each probe


class AllocatorPhase(IntEnum):
    IDLE = 0  # another one deals
    LEARNING = 1  # renews what is held, until all that may be held is known
    ALLOCATING = 2
    RESTRICTED = 3  # too few report: another may be dealing to the rest

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
    ROUND = 0
    PAUSED = 1  # our own process stood still


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


@dataclass(frozen=True, slots=True)
class QuotaSettings:
    """Of the whole fleet, the same on each member. `total`: calls in hand that the services below
    bear, thousandths. `least`: the fleet is never thought smaller. Times in ns: `round` between
    reports; `lease` of a grant; `turn` between two dealings; `cut` after which one that was granted
    nothing in the name of half of the fleet falls to its floor; `redeal` after which what the dead
    held is dealt anew. `floor`: the part of an equal share that is kept when cut off; `idle`: by
    one that wants nothing, for its first call.
    """

    total_millicalls: int
    min_members: int = 1
    report_interval_ns: int = 200 * MS
    lease_ns: int = 2000 * MS
    allocation_interval_ns: int = 2000 * MS
    isolation_timeout_ns: int = 8000 * MS
    reclaim_timeout_ns: int = 14_000 * MS
    floor_share: float = 0.04
    idle_share: float = 0.125

    def find_faults(self) -> list[str]:
        found = []
        if self.lease_ns < 8 * self.report_interval_ns:
            found.append(
                f"lease {self.lease_ns // MS} ms is under eight rounds of {self.report_interval_ns // MS} ms: two lost letters"
                " would end it"
            )
        if self.reclaim_timeout_ns < self.isolation_timeout_ns + 2 * self.lease_ns:
            found.append(
                f"redeal {self.reclaim_timeout_ns // MS} ms is under cut and two leases, {(self.isolation_timeout_ns + 2 * self.lease_ns) // MS} ms:"
                " one that is cut off would still use what is dealt anew"
            )
        return found

    @property
    def report_ttl_ns(self) -> int:
        """How long a report counts as one that still comes."""
        return 8 * self.report_interval_ns

    @property
    def learning_ns(self) -> int:
        """As long as a dealer of whom we know nothing could still raise, and what it granted
        holds.
        """
        return self.report_ttl_ns + 2 * self.lease_ns

    def equal_share(self, members: int) -> int:
        return self.total_millicalls // max(members, self.min_members)

    def minimum_share(self, members: int) -> int:
        return int(self.floor_share * self.equal_share(members))


class ShareReport(NamedTuple):
    """A report, thousandths of a call: `held` is the share in force, or what is in hand where that
    is more; `want` is what could be used. `roster`: equal where two members count the same fleet.
    """

    held: int
    share: int
    demand: int
    weight: int
    roster_hash: int = 0


@dataclass(slots=True)
class Account:
    """What the dealer knows of one life of a member. `bound`: the most that it may hold."""

    incarnation: int
    report_number: int
    reported_at_ns: int
    report: ShareReport
    bound: int
    target: int = 0
    allocated_demand: int = 0  # when we last dealt
    rounding_carry: float = 0.0


@dataclass(frozen=True, slots=True)
class MemberPresence:
    """A member as the view has it: `there` or dead since then. Those who left are not among
    them.
    """

    incarnation: int
    is_present: bool
    since_ns: int


class Allocator:
    """`round` once a round with the view; `report` for each that comes, which gives the grant."""

    def __init__(self, settings: QuotaSettings, now: int) -> None:
        self.settings = settings
        self.phase = AllocatorPhase.IDLE
        self.phase_since_ns = self.allocated_at_ns = self.quorum_at_ns = now
        self.is_urgent = False  # somebody wants far more than when we last dealt
        self.accounts: dict[
            str, Account
        ] = {}  # kept while another deals: old reports can't be played again
        self.members: Mapping[str, MemberPresence] = {}
        self.is_oldest, self.roster_hash = False, 0
        self.totals: AllocationTotals | None = None  # over all accounts, as they were last

    # What the member calls.

    def run_round(
        self,
        now: int,
        members: Mapping[str, MemberPresence],
        is_oldest: bool,
        was_paused: bool = False,
        roster_hash: int = 0,
    ) -> None:
        """`fleet`: all that may hold something, by name, another mapping where that changed;
        `roster`: as in a report. `gap`: nothing was done here for long.
        """
        self.members, self.is_oldest, self.roster_hash = members, is_oldest, roster_hash
        if self.has_quorum(now):
            self.quorum_at_ns = now
        for name, account in list(self.accounts.items()):
            if (
                name not in members
                or members[name].incarnation > account.incarnation
                or self.is_reclaimable(now, members[name])
            ):
                del self.accounts[name]
                self.totals = None
        self.apply_input(now, AllocatorInput.PAUSED if was_paused else AllocatorInput.ROUND)

    def process_report(
        self, now: int, name: str, life: int, number: int, told: ShareReport
    ) -> int | None:
        """The grant, thousandths; None: we don't deal, or it is of no use any more."""
        present, account = self.members.get(name), self.accounts.get(name)
        if self.phase is AllocatorPhase.IDLE or present is None or life < present.incarnation:
            return None
        if account is not None and (
            account.incarnation > life
            or account.incarnation == life
            and number <= account.report_number
        ):
            return None  # played again, or overtaken
        sums = self.current_totals(now)
        if account is not None:
            sums.remove(name, account)
        if account is None or account.incarnation < life:
            account = self.accounts[name] = Account(life, number, now, told, told.held)
            self.is_urgent = True
        else:
            account.report_number, account.reported_at_ns, account.report, account.bound = (
                number,
                now,
                told,
                told.held,
            )
        sums.add(name, account)
        self.is_urgent |= told.demand > 2 * account.allocated_demand + MILLICALLS_PER_CALL
        grant = self.compute_grant(now, account)
        sums.remove(name, account)
        account.bound = max(told.held, grant)
        sums.add(name, account)
        return grant

    def release_member(self, name: str, life: int, number: int) -> None:
        """It may be raised by another from now on, and does not count as one that reports to us
        until it does anew; a report up to that number that is still on its way does not change
        that.
        """
        account = self.accounts.get(name)
        sums = (
            self.totals
            if self.totals is not None and self.totals.accounts is self.accounts
            else None
        )
        if sums is not None and account is not None:
            sums.remove(name, account)
        if account is None or account.incarnation < life:
            account = self.accounts[name] = Account(life, number, 0, ShareReport(0, 0, 0, 1), 0)
        if account.incarnation == life:
            account.report_number = max(account.report_number, number)
            account.reported_at_ns = min(
                account.reported_at_ns, self.phase_since_ns - 2 * self.settings.report_ttl_ns
            )
        if sums is not None:
            sums.add(name, account)

    # Within.

    def compute_grant(self, now: int, account: Account) -> int:
        share, held = account.report.share, account.report.held
        if self.phase is AllocatorPhase.RESTRICTED:
            return min(share, self.settings.equal_share(len(self.members)))
        if self.phase is AllocatorPhase.LEARNING:
            return share
        if account.target <= share or not self.has_quorum(now):
            return min(share, account.target)
        return max(
            share, round_down_to_calls(min(account.target, held + max(0, self.free_share(now))))
        )

    def free_share(self, now: int) -> int:
        """What is not bound by anyone."""
        return (
            self.settings.total_millicalls
            - self.current_totals(now).bound
            - self.unknown_share(now)
        )

    def unknown_share(self, now: int) -> int:
        """What those may hold of whom nothing is known yet: an equal share each."""
        return self.current_totals(now).count_unknown(now) * self.settings.equal_share(
            len(self.members)
        )

    def current_totals(self, now: int) -> AllocationTotals:
        redeal = (
            self.settings.reclaim_timeout_ns if self.phase is AllocatorPhase.ALLOCATING else None
        )  # as `lost`
        if self.totals is None or not self.totals.is_valid_for(
            self.accounts, self.members, now, self.phase_since_ns, redeal
        ):
            equal = self.settings.equal_share(len(self.members))
            self.totals = AllocationTotals(
                self.accounts,
                self.members,
                now,
                self.phase_since_ns,
                equal,
                self.settings.report_ttl_ns,
                redeal,
            )
        return self.totals

    def is_reclaimable(self, now: int, present: MemberPresence) -> bool:
        """Dead for so long that it is at its floor by itself. Told only where most of the fleet
        reports.
        """
        return (
            not present.is_present
            and now - present.since_ns >= self.settings.reclaim_timeout_ns
            and self.phase is AllocatorPhase.ALLOCATING
        )

    def is_confirmed(self, now: int) -> bool:
        """Whether a grant is in the name of half of the fleet: then no other part of it can deal it
        anew.
        """
        return 2 * self.count_reporting(now) >= self.quorum_size()

    def quorum_size(self) -> int:
        return max(len(self.members), self.settings.min_members)

    def count_reporting(self, now: int) -> int:
        return self.current_totals(now).count_reporting(now)

    def apply_input(self, now: int, what: AllocatorInput) -> None:
        for test, phase, effect in RULES.get((self.phase, what), ()):
            if test(self, now):
                self.phase = phase
                effect(self, now)
                return

    # Tests.

    def is_oldest_member(self, now: int) -> bool:
        return self.is_oldest

    def is_not_oldest(self, now: int) -> bool:
        return not self.is_oldest

    def has_quorum(self, now: int) -> bool:
        return 2 * self.count_reporting(now) > self.quorum_size()

    def has_lost_quorum(self, now: int) -> bool:
        """For so long that it is no moment in which many came at once and have not reported yet, or
        have not yet come to a new dealer. Raises stop at once all the same.
        """
        return now - max(self.quorum_at_ns, self.phase_since_ns) > self.settings.report_ttl_ns

    def has_learned(self, now: int) -> bool:
        if not self.has_quorum(now):
            return False
        # Who all count the same fleet as we do leave nobody out who holds something that one of
        # them granted.
        known = [
            name
            for name, account in self.accounts.items()
            if account.reported_at_ns >= self.phase_since_ns
            and name in self.members
            and account.report.roster_hash == self.roster_hash
        ]
        # Where all are new, those who lived on, if any, may not have found us yet: they knock twice
        # meanwhile.
        old = any(self.accounts[name].report.share for name in known)
        least = (
            3 * self.settings.report_interval_ns
            if old
            else max(3 * self.settings.report_interval_ns, NEWBORN)
        )
        return (
            len(known) >= self.quorum_size()
            and now - self.phase_since_ns >= least
            or now - self.phase_since_ns >= self.settings.learning_ns
        )

    # Effects.

    def begin_learning(self, now: int) -> None:
        self.phase_since_ns = now
        self.allocated_at_ns = now - self.settings.allocation_interval_ns

    def restrict(self, now: int) -> None:
        self.phase_since_ns = now

    def allocate(self, now: int) -> None:
        """New targets once a turn, for those who report; what the others are bound by is not there
        to be dealt.
        """
        if now - self.allocated_at_ns < (
            self.settings.allocation_interval_ns // 8
            if self.is_urgent
            else self.settings.allocation_interval_ns
        ):
            return
        self.allocated_at_ns, self.is_urgent = now, False
        names = sorted(
            name
            for name, account in self.accounts.items()
            if now - account.reported_at_ns <= self.settings.lease_ns
        )
        kept = sum(
            account.bound
            for name, account in self.accounts.items()
            if now - account.reported_at_ns > self.settings.lease_ns
        )
        total = max(0, self.settings.total_millicalls - kept - self.unknown_share(now))
        accounts = [self.accounts[name] for name in names]
        idle = int(self.settings.idle_share * self.settings.equal_share(len(self.members)))
        ideal = max_min_fair(
            total,
            [max(idle, account.report.demand) for account in accounts],
            [account.report.weight for account in accounts],
        )
        for account, target in zip(accounts, round_to_calls(total, ideal, accounts), strict=True):
            account.target, account.allocated_demand = target, account.report.demand


def round_down_to_calls(share: int) -> int:
    """Past one call, whole calls."""
    return share if share < MILLICALLS_PER_CALL else share - share % MILLICALLS_PER_CALL


def max_min_fair(total: int, wants: Sequence[int], weights: Sequence[int]) -> list[float]:
    """Max-min fair by weight: nobody has less than it wants while another has more by weight; what
    nobody wants is spread by weight on top, so that the sum is `total`.
    """
    given = [0.0] * len(wants)
    left, open = float(total), [at for at, weight in enumerate(weights) if weight > 0]
    every = sum(weights)
    while open and left > 1e-6:
        per = left / sum(weights[at] for at in open)
        full = [at for at in open if HEADROOM * wants[at] <= weights[at] * per]
        if not full:
            for at in open:
                given[at] = weights[at] * per
            return given
        for at in full:
            given[at] = HEADROOM * wants[at]
            left -= given[at]
        over = set(full)
        open = [at for at in open if at not in over]
    return [
        share + left * weight / every if every else share
        for share, weight in zip(given, weights, strict=True)
    ]


def round_to_calls(total: int, ideal: Sequence[float], accounts: Sequence[Account]) -> list[int]:
    """Whole calls where a share is one or more, thousandths; the sum is at most `total`. What a
    share is rounded by is carried on, and a member keeps what it has until STICKS is owed to it or
    by it: each change costs the time in which one has given a call back and the other has not yet
    taken it.
    """
    owed, given = [0.0] * len(accounts), [0] * len(accounts)
    lows = [int(share // MILLICALLS_PER_CALL) * MILLICALLS_PER_CALL for share in ideal]
    large = [at for at, low in enumerate(lows) if low]
    for at, (share, account) in enumerate(zip(ideal, accounts, strict=True)):
        if not lows[at]:
            account.rounding_carry, given[at] = 0.0, int(share)
            continue
        owed[at] = share + account.rounding_carry
        stays = (
            account.target in (lows[at], lows[at] + MILLICALLS_PER_CALL)
            and abs(owed[at] - account.target) < STICKS
        )
        given[at] = account.target if stays else lows[at]
    left = total - sum(given)
    # Never more than a call off the ideal share: what is owed is paid by rounding, and in no other
    # way.
    for at in sorted(large, key=lambda at: given[at] - owed[at]):
        if left >= MILLICALLS_PER_CALL and given[at] == lows[at]:
            given[at] += MILLICALLS_PER_CALL
            left -= MILLICALLS_PER_CALL
    for at in sorted(large, key=lambda at: owed[at] - given[at]):
        if left < 0 and given[at] > lows[at]:
            given[at] -= MILLICALLS_PER_CALL
            left += MILLICALLS_PER_CALL
    for at in large:
        accounts[at].rounding_carry = max(-2.0 * STICKS, min(2.0 * STICKS, owed[at] - given[at]))
    return given


Test = Callable[[Allocator, int], bool]
Effect = Callable[[Allocator, int], None]


def _test(name: str) -> Test:
    return (lambda dealer, now: True) if name == "-" else getattr(Allocator, name)


def _effect(name: str) -> Effect:
    return (lambda dealer, now: None) if name == "-" else getattr(Allocator, name)


RULES = parse_transitions(TABLE, AllocatorPhase, AllocatorInput, _test, _effect)
