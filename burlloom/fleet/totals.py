"""Sums over all accounts of the allocator, kept up from report to report. No I/O.

A walk of the fleet for each report would cost the allocator the square of the fleet.

What changes with an account is kept up by whoever changes it (`remove` before, `add` after). What
changes with time alone, a report that is no longer fresh and a member that is dead for long, lies
in the order in which it will: each query takes from the front what is over by then. All else makes
new sums: another view, another phase, a clock that stepped back.
"""

from collections import OrderedDict
from collections.abc import Mapping
from typing import Protocol

__all__ = ["AllocationTotals"]


class SummedAccount(Protocol):
    """What is summed of an account."""

    @property
    def reported_at_ns(self) -> int:
        """When its newest report came."""

    @property
    def bound(self) -> int:
        """The most millicalls that the member may hold."""


class SummedPresence(Protocol):
    """What counts of a member of the view."""

    @property
    def is_present(self) -> bool:
        """False where it is held to be dead."""

    @property
    def since_ns(self) -> int:
        """When it came to be so."""


class AllocationTotals:
    """What is bound, how many report, and of how many nothing is known."""

    def __init__(
        self,
        accounts: Mapping[str, SummedAccount],
        members: Mapping[str, SummedPresence],
        now_ns: int,
        phase_since_ns: int,
        equal_share: int,
        report_ttl_ns: int,
        reclaim_timeout_ns: int | None,
    ) -> None:
        """Sums up all accounts.

        Args:
            accounts: By name.
            members: Of the view, by name.
            now_ns: The time of these sums.
            phase_since_ns: Who has not reported from then on may hold `equal_share` at least.
            equal_share: In millicalls.
            report_ttl_ns: How long a report counts.
            reclaim_timeout_ns: How long one is dead before it counts as gone; None: for ever.
        """
        self.accounts = accounts
        self.members = members
        self.now_ns = now_ns
        self.phase_since_ns = phase_since_ns
        self.equal_share = equal_share
        self.report_ttl_ns = report_ttl_ns
        self.reclaim_timeout_ns = reclaim_timeout_ns
        self.bound = sum(map(self._most_held, accounts.values()))
        recent = (name for name, one in accounts.items() if self._is_recent(one))
        by_report_time = sorted(recent, key=lambda name: accounts[name].reported_at_ns)
        self.recent = OrderedDict.fromkeys(by_report_time)
        self.unreported = {name for name in members if name not in accounts}
        self.reclaim_queue = self._queue_reclaims()

    def is_valid_for(
        self,
        accounts: Mapping[str, SummedAccount],
        members: Mapping[str, SummedPresence],
        now_ns: int,
        phase_since_ns: int,
        reclaim_timeout_ns: int | None,
    ) -> bool:
        """Whether these are still sums over that; the equal share changes with the view alone."""
        return (
            self.accounts is accounts
            and self.members is members
            and self.now_ns <= now_ns
            and self.phase_since_ns == phase_since_ns
            and self.reclaim_timeout_ns == reclaim_timeout_ns
        )

    def remove(self, name: str, account: SummedAccount) -> None:
        """Takes an account out of the sums, before it changes."""
        self.bound -= self._most_held(account)
        self.recent.pop(name, None)

    def add(self, name: str, account: SummedAccount) -> None:
        """Puts in an account that is new or was removed; reports come in the order of time."""
        self.bound += self._most_held(account)
        self.unreported.discard(name)
        if self._is_recent(account):
            self.recent[name] = None

    def count_reporting(self, now_ns: int) -> int:
        """Returns how many accounts have a fresh report."""
        self.now_ns = now_ns
        while self.recent and not self._is_recent(self.accounts[next(iter(self.recent))]):
            self.recent.popitem(last=False)
        return len(self.recent)

    def count_unknown(self, now_ns: int) -> int:
        """Returns how many members without an account may still hold something."""
        self.now_ns = now_ns
        while self.reclaim_queue and self.reclaim_queue[-1][0] <= now_ns:
            _, name = self.reclaim_queue.pop()
            self.unreported.discard(name)
        return len(self.unreported)

    def _most_held(self, account: SummedAccount) -> int:
        if account.reported_at_ns >= self.phase_since_ns:
            return account.bound
        # Another allocator may have raised it since.
        return max(account.bound, self.equal_share)

    def _is_recent(self, account: SummedAccount) -> bool:
        return self.now_ns - account.reported_at_ns <= self.report_ttl_ns

    def _queue_reclaims(self) -> list[tuple[int, str]]:
        """Returns when each dead member without an account counts as gone, the next one last."""
        if self.reclaim_timeout_ns is None:
            return []
        due = [
            (self.members[name].since_ns + self.reclaim_timeout_ns, name)
            for name in self.unreported
            if not self.members[name].is_present
        ]
        return sorted(due, reverse=True)
