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
    def reported_at_ns(self) -> int: ...
    @property
    def bound(self) -> int: ...


class Present(Protocol):
    @property
    def is_present(self) -> bool: ...
    @property
    def since_ns(self) -> int: ...


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
        phase_since_ns: int,
        equal_share: int,
        report_ttl_ns: int,
        reclaim_timeout_ns: int | None,
    ) -> None:
        self.accounts, self.fleet, self.now_ns = accounts, fleet, now
        self.phase_since_ns, self.equal_share, self.report_ttl_ns, self.reclaim_timeout_ns = (
            phase_since_ns,
            equal_share,
            report_ttl_ns,
            reclaim_timeout_ns,
        )
        self.bound = sum(map(self.share_of, accounts.values()))
        # By the time of their newest report.
        recent = (
            name
            for name, account in accounts.items()
            if now - account.reported_at_ns <= report_ttl_ns
        )
        self.recent = OrderedDict.fromkeys(
            sorted(recent, key=lambda name: accounts[name].reported_at_ns)
        )
        self.unreported = {name for name in fleet if name not in accounts}
        # Of these, who will count as gone, last the one that does first.
        self.reclaim_queue = (
            sorted(
                (
                    (fleet[name].since_ns + reclaim_timeout_ns, name)
                    for name in self.unreported
                    if not fleet[name].is_present
                ),
                reverse=True,
            )
            if reclaim_timeout_ns is not None
            else []
        )

    def is_valid_for(
        self,
        accounts: Mapping[str, Account],
        fleet: Mapping[str, Present],
        now: int,
        phase_since_ns: int,
        reclaim_timeout_ns: int | None,
    ) -> bool:
        """Whether these are still sums over that; `equal` changes with the view alone."""
        return (
            self.accounts is accounts
            and self.fleet is fleet
            and self.now_ns <= now
            and self.phase_since_ns == phase_since_ns
            and self.reclaim_timeout_ns == reclaim_timeout_ns
        )

    def share_of(self, account: Account) -> int:
        """Who has not reported since then may have been raised by another."""
        return (
            account.bound
            if account.reported_at_ns >= self.phase_since_ns
            else max(account.bound, self.equal_share)
        )

    def remove(self, name: str, account: Account) -> None:
        self.bound -= self.share_of(account)
        self.recent.pop(name, None)

    def add(self, name: str, account: Account) -> None:
        """One that was dropped, or is new; reports come in the order of time."""
        self.bound += self.share_of(account)
        self.unreported.discard(name)
        if self.now_ns - account.reported_at_ns <= self.report_ttl_ns:
            self.recent[name] = None

    def count_reporting(self, now: int) -> int:
        """Accounts whose newest report is fresh."""
        self.now_ns = now
        while (
            self.recent
            and now - self.accounts[next(iter(self.recent))].reported_at_ns > self.report_ttl_ns
        ):
            self.recent.popitem(last=False)
        return len(self.recent)

    def count_unknown(self, now: int) -> int:
        """Members without an account that may still hold something."""
        self.now_ns = now
        while self.reclaim_queue and self.reclaim_queue[-1][0] <= now:
            self.unreported.discard(self.reclaim_queue.pop()[1])
        return len(self.unreported)
