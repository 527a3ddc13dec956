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
from .sums import Sums

CALL = 1000  # thousandths
STICKS = 1500  # thousandths; see `turns`
HEADROOM = 1.25  # of what a member uses: more is free for its next peak
MS = 1_000_000
NEWBORN = (
    1600 * MS
)  # until a fleet in which nobody held anything is dealt to; knocks come each probe


class Phase(IntEnum):
    IDLE = 0  # another one deals
    LEARNING = 1  # renews what is held, until all that may be held is known
    DEALING = 2
    BOUND = 3  # too few report: another may be dealing to the rest


class Input(IntEnum):
    ROUND = 0
    GAP = 1  # our own process stood still


TABLE = """
IDLE     ROUND first        LEARNING begin
IDLE     GAP   -            IDLE     -
LEARNING ROUND not_first    IDLE     -
LEARNING ROUND few          BOUND    bind
LEARNING ROUND learned      DEALING  deal
LEARNING GAP   -            IDLE     -
DEALING  ROUND not_first    IDLE     -
DEALING  ROUND few          BOUND    bind
DEALING  ROUND -            DEALING  deal
DEALING  GAP   -            IDLE     -
BOUND    ROUND not_first    IDLE     -
BOUND    ROUND many         LEARNING begin
BOUND    GAP   -            IDLE     -
"""


@dataclass(frozen=True, slots=True)
class Terms:
    """Of the whole fleet, the same on each member. `total`: calls in hand that the services below
    bear, thousandths. `least`: the fleet is never thought smaller. Times in ns: `round` between
    reports; `lease` of a grant; `turn` between two dealings; `cut` after which one that was granted
    nothing in the name of half of the fleet falls to its floor; `redeal` after which what the dead
    held is dealt anew. `floor`: the part of an equal share that is kept when cut off; `idle`: by
    one that wants nothing, for its first call.
    """

    total: int
    least: int = 1
    round: int = 200 * MS
    lease: int = 2000 * MS
    turn: int = 2000 * MS
    cut: int = 8000 * MS
    redeal: int = 14_000 * MS
    floor: float = 0.04
    idle: float = 0.125

    def faults(self) -> list[str]:
        found = []
        if self.lease < 8 * self.round:
            found.append(
                f"lease {self.lease // MS} ms is under eight rounds of {self.round // MS} ms: two lost letters"
                " would end it"
            )
        if self.redeal < self.cut + 2 * self.lease:
            found.append(
                f"redeal {self.redeal // MS} ms is under cut and two leases, {(self.cut + 2 * self.lease) // MS} ms:"
                " one that is cut off would still use what is dealt anew"
            )
        return found

    @property
    def fresh(self) -> int:
        """How long a report counts as one that still comes."""
        return 8 * self.round

    @property
    def learns(self) -> int:
        """As long as a dealer of whom we know nothing could still raise, and what it granted
        holds.
        """
        return self.fresh + 2 * self.lease

    def equal(self, members: int) -> int:
        return self.total // max(members, self.least)

    def lowest(self, members: int) -> int:
        return int(self.floor * self.equal(members))


class Told(NamedTuple):
    """A report, thousandths of a call: `held` is the share in force, or what is in hand where that
    is more; `want` is what could be used. `roster`: equal where two members count the same fleet.
    """

    held: int
    share: int
    want: int
    weight: int
    roster: int = 0


@dataclass(slots=True)
class Account:
    """What the dealer knows of one life of a member. `bound`: the most that it may hold."""

    life: int
    number: int
    at: int
    told: Told
    bound: int
    target: int = 0
    wanted: int = 0  # when we last dealt
    carry: float = 0.0


@dataclass(frozen=True, slots=True)
class Present:
    """A member as the view has it: `there` or dead since then. Those who left are not among
    them.
    """

    life: int
    there: bool
    since: int


class Dealer:
    """`round` once a round with the view; `report` for each that comes, which gives the grant."""

    def __init__(self, terms: Terms, now: int) -> None:
        self.terms = terms
        self.phase = Phase.IDLE
        self.since = self.turned = self.many_at = now
        self.hurried = False  # somebody wants far more than when we last dealt
        self.accounts: dict[
            str, Account
        ] = {}  # kept while another deals: old reports can't be played again
        self.fleet: Mapping[str, Present] = {}
        self.is_first, self.roster = False, 0
        self.kept: Sums | None = None  # over all accounts, as they were last

    # What the member calls.

    def round(
        self,
        now: int,
        fleet: Mapping[str, Present],
        first: bool,
        gap: bool = False,
        roster: int = 0,
    ) -> None:
        """`fleet`: all that may hold something, by name, another mapping where that changed;
        `roster`: as in a report. `gap`: nothing was done here for long.
        """
        self.fleet, self.is_first, self.roster = fleet, first, roster
        if self.many(now):
            self.many_at = now
        for name, account in list(self.accounts.items()):
            if name not in fleet or fleet[name].life > account.life or self.lost(now, fleet[name]):
                del self.accounts[name]
                self.kept = None
        self.meet(now, Input.GAP if gap else Input.ROUND)

    def report(self, now: int, name: str, life: int, number: int, told: Told) -> int | None:
        """The grant, thousandths; None: we don't deal, or it is of no use any more."""
        present, account = self.fleet.get(name), self.accounts.get(name)
        if self.phase is Phase.IDLE or present is None or life < present.life:
            return None
        if account is not None and (
            account.life > life or account.life == life and number <= account.number
        ):
            return None  # played again, or overtaken
        sums = self.sums(now)
        if account is not None:
            sums.drop(name, account)
        if account is None or account.life < life:
            account = self.accounts[name] = Account(life, number, now, told, told.held)
            self.hurried = True
        else:
            account.number, account.at, account.told, account.bound = number, now, told, told.held
        sums.take(name, account)
        self.hurried |= told.want > 2 * account.wanted + CALL
        grant = self.grant(now, account)
        sums.drop(name, account)
        account.bound = max(told.held, grant)
        sums.take(name, account)
        return grant

    def disown(self, name: str, life: int, number: int) -> None:
        """It may be raised by another from now on, and does not count as one that reports to us
        until it does anew; a report up to that number that is still on its way does not change
        that.
        """
        account = self.accounts.get(name)
        sums = self.kept if self.kept is not None and self.kept.accounts is self.accounts else None
        if sums is not None and account is not None:
            sums.drop(name, account)
        if account is None or account.life < life:
            account = self.accounts[name] = Account(life, number, 0, Told(0, 0, 0, 1), 0)
        if account.life == life:
            account.number = max(account.number, number)
            account.at = min(account.at, self.since - 2 * self.terms.fresh)
        if sums is not None:
            sums.take(name, account)

    # Within.

    def grant(self, now: int, account: Account) -> int:
        share, held = account.told.share, account.told.held
        if self.phase is Phase.BOUND:
            return min(share, self.terms.equal(len(self.fleet)))
        if self.phase is Phase.LEARNING:
            return share
        if account.target <= share or not self.many(now):
            return min(share, account.target)
        return max(share, whole(min(account.target, held + max(0, self.free(now)))))

    def free(self, now: int) -> int:
        """What is not bound by anyone."""
        return self.terms.total - self.sums(now).bound - self.unknown(now)

    def unknown(self, now: int) -> int:
        """What those may hold of whom nothing is known yet: an equal share each."""
        return self.sums(now).unknown(now) * self.terms.equal(len(self.fleet))

    def sums(self, now: int) -> Sums:
        redeal = self.terms.redeal if self.phase is Phase.DEALING else None  # as `lost`
        if self.kept is None or not self.kept.fits(
            self.accounts, self.fleet, now, self.since, redeal
        ):
            equal = self.terms.equal(len(self.fleet))
            self.kept = Sums(
                self.accounts, self.fleet, now, self.since, equal, self.terms.fresh, redeal
            )
        return self.kept

    def lost(self, now: int, present: Present) -> bool:
        """Dead for so long that it is at its floor by itself. Told only where most of the fleet
        reports.
        """
        return (
            not present.there
            and now - present.since >= self.terms.redeal
            and self.phase is Phase.DEALING
        )

    def sure(self, now: int) -> bool:
        """Whether a grant is in the name of half of the fleet: then no other part of it can deal it
        anew.
        """
        return 2 * self.reporting(now) >= self.size()

    def size(self) -> int:
        return max(len(self.fleet), self.terms.least)

    def reporting(self, now: int) -> int:
        return self.sums(now).reporting(now)

    def meet(self, now: int, what: Input) -> None:
        for test, phase, effect in RULES.get((self.phase, what), ()):
            if test(self, now):
                self.phase = phase
                effect(self, now)
                return

    # Tests.

    def first(self, now: int) -> bool:
        return self.is_first

    def not_first(self, now: int) -> bool:
        return not self.is_first

    def many(self, now: int) -> bool:
        return 2 * self.reporting(now) > self.size()

    def few(self, now: int) -> bool:
        """For so long that it is no moment in which many came at once and have not reported yet, or
        have not yet come to a new dealer. Raises stop at once all the same.
        """
        return now - max(self.many_at, self.since) > self.terms.fresh

    def learned(self, now: int) -> bool:
        if not self.many(now):
            return False
        # Who all count the same fleet as we do leave nobody out who holds something that one of
        # them granted.
        known = [
            name
            for name, account in self.accounts.items()
            if account.at >= self.since
            and name in self.fleet
            and account.told.roster == self.roster
        ]
        # Where all are new, those who lived on, if any, may not have found us yet: they knock twice
        # meanwhile.
        old = any(self.accounts[name].told.share for name in known)
        least = 3 * self.terms.round if old else max(3 * self.terms.round, NEWBORN)
        return (
            len(known) >= self.size()
            and now - self.since >= least
            or now - self.since >= self.terms.learns
        )

    # Effects.

    def begin(self, now: int) -> None:
        self.since = now
        self.turned = now - self.terms.turn

    def bind(self, now: int) -> None:
        self.since = now

    def deal(self, now: int) -> None:
        """New targets once a turn, for those who report; what the others are bound by is not there
        to be dealt.
        """
        if now - self.turned < (self.terms.turn // 8 if self.hurried else self.terms.turn):
            return
        self.turned, self.hurried = now, False
        names = sorted(
            name for name, account in self.accounts.items() if now - account.at <= self.terms.lease
        )
        kept = sum(
            account.bound
            for name, account in self.accounts.items()
            if now - account.at > self.terms.lease
        )
        total = max(0, self.terms.total - kept - self.unknown(now))
        accounts = [self.accounts[name] for name in names]
        idle = int(self.terms.idle * self.terms.equal(len(self.fleet)))
        ideal = fair(
            total,
            [max(idle, account.told.want) for account in accounts],
            [account.told.weight for account in accounts],
        )
        for account, target in zip(accounts, turns(total, ideal, accounts), strict=True):
            account.target, account.wanted = target, account.told.want


def whole(share: int) -> int:
    """Past one call, whole calls."""
    return share if share < CALL else share - share % CALL


def fair(total: int, wants: Sequence[int], weights: Sequence[int]) -> list[float]:
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


def turns(total: int, ideal: Sequence[float], accounts: Sequence[Account]) -> list[int]:
    """Whole calls where a share is one or more, thousandths; the sum is at most `total`. What a
    share is rounded by is carried on, and a member keeps what it has until STICKS is owed to it or
    by it: each change costs the time in which one has given a call back and the other has not yet
    taken it.
    """
    owed, given = [0.0] * len(accounts), [0] * len(accounts)
    lows = [int(share // CALL) * CALL for share in ideal]
    large = [at for at, low in enumerate(lows) if low]
    for at, (share, account) in enumerate(zip(ideal, accounts, strict=True)):
        if not lows[at]:
            account.carry, given[at] = 0.0, int(share)
            continue
        owed[at] = share + account.carry
        stays = (
            account.target in (lows[at], lows[at] + CALL)
            and abs(owed[at] - account.target) < STICKS
        )
        given[at] = account.target if stays else lows[at]
    left = total - sum(given)
    # Never more than a call off the ideal share: what is owed is paid by rounding, and in no other
    # way.
    for at in sorted(large, key=lambda at: given[at] - owed[at]):
        if left >= CALL and given[at] == lows[at]:
            given[at] += CALL
            left -= CALL
    for at in sorted(large, key=lambda at: owed[at] - given[at]):
        if left < 0 and given[at] > lows[at]:
            given[at] -= CALL
            left += CALL
    for at in large:
        accounts[at].carry = max(-2.0 * STICKS, min(2.0 * STICKS, owed[at] - given[at]))
    return given


Test = Callable[[Dealer, int], bool]
Effect = Callable[[Dealer, int], None]


def _test(name: str) -> Test:
    return (lambda dealer, now: True) if name == "-" else getattr(Dealer, name)


def _effect(name: str) -> Effect:
    return (lambda dealer, now: None) if name == "-" else getattr(Dealer, name)


RULES = parse_transitions(TABLE, Phase, Input, _test, _effect)
