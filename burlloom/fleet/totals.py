"""Sums over all accounts, kept up from report to report: a walk of the fleet for each report would
cost whoever deals the square of the fleet. No I/O.

What moves with an account is moved by whoever changes it (`drop` before, `take` after). What moves
with time alone, a report that is no longer fresh and a member that is dead for long, lies in the
order in which it will: each query takes from the front what is over by then. All else makes a new
one: another view, another phase, a clock that stepped back.
"""

from collections import OrderedDict
from collections.abc import Mapping
from typing import Protocol


class Account(Protocol):
    """`at`: of its newest report. `bound`: the most that it may hold."""

    @property
    def at(self) -> int: ...
    @property
    def bound(self) -> int: ...


class Present(Protocol):
    @property
    def there(self) -> bool: ...
    @property
    def since(self) -> int: ...


class AllocationTotals:
    """`since`: who has not reported from then on may hold an equal share at least, `equal`.
    `fresh`: how long a report counts. `redeal`: how long one is dead before it counts as gone; None
    where nobody does.
    """

    def __init__(
        self,
        accounts: Mapping[str, Account],
        fleet: Mapping[str, Present],
        now: int,
        since: int,
        equal: int,
        fresh: int,
        redeal: int | None,
    ) -> None:
        self.accounts, self.fleet, self.now = accounts, fleet, now
        self.since, self.equal, self.fresh, self.redeal = since, equal, fresh, redeal
        self.bound = sum(map(self.part, accounts.values()))
        # By the time of their newest report.
        recent = (name for name, account in accounts.items() if now - account.at <= fresh)
        self.recent = OrderedDict.fromkeys(sorted(recent, key=lambda name: accounts[name].at))
        self.unheard = {name for name in fleet if name not in accounts}
        # Of these, who will count as gone, last the one that does first.
        self.dying = (
            sorted(
                (
                    (fleet[name].since + redeal, name)
                    for name in self.unheard
                    if not fleet[name].there
                ),
                reverse=True,
            )
            if redeal is not None
            else []
        )

    def fits(
        self,
        accounts: Mapping[str, Account],
        fleet: Mapping[str, Present],
        now: int,
        since: int,
        redeal: int | None,
    ) -> bool:
        """Whether these are still sums over that; `equal` changes with the view alone."""
        return (
            self.accounts is accounts
            and self.fleet is fleet
            and self.now <= now
            and self.since == since
            and self.redeal == redeal
        )

    def part(self, account: Account) -> int:
        """Who has not reported since then may have been raised by another."""
        return account.bound if account.at >= self.since else max(account.bound, self.equal)

    def drop(self, name: str, account: Account) -> None:
        self.bound -= self.part(account)
        self.recent.pop(name, None)

    def take(self, name: str, account: Account) -> None:
        """One that was dropped, or is new; reports come in the order of time."""
        self.bound += self.part(account)
        self.unheard.discard(name)
        if self.now - account.at <= self.fresh:
            self.recent[name] = None

    def reporting(self, now: int) -> int:
        """Accounts whose newest report is fresh."""
        self.now = now
        while self.recent and now - self.accounts[next(iter(self.recent))].at > self.fresh:
            self.recent.popitem(last=False)
        return len(self.recent)

    def unknown(self, now: int) -> int:
        """Members without an account that may still hold something."""
        self.now = now
        while self.dying and self.dying[-1][0] <= now:
            self.unheard.discard(self.dying.pop()[1])
        return len(self.unheard)
