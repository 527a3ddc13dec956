"""Sums over all accounts of the allocator, updated incrementally with each report. Does no I/O.

Iterating over all members for each report would cost the allocator time quadratic in the fleet size
per round.

The caller that changes an account calls `remove` before the change and `add` after it. Changes by
time alone, a report that expires or the reclaim timeout of a dead member, are kept in queues sorted
by time, and each query removes the entries that are over. All other changes need new sums: another
view, another phase, a clock that stepped back.
"""

from collections import OrderedDict
from collections.abc import Mapping
from typing import Protocol

__all__ = ["AllocationTotals"]


class SummedAccount(Protocol):
    """The part of an account that the sums use."""

    @property
    def reported_at_ns(self) -> int:
        """Monotonic time at which the newest report was received."""

    @property
    def max_held(self) -> int:
        """The most millicalls that the member may hold."""


class SummedPresence(Protocol):
    """The part of a member's presence that the sums use."""

    @property
    def is_present(self) -> bool:
        """False if the member is considered dead."""

    @property
    def since_ns(self) -> int:
        """Monotonic time of the last change of state."""


class AllocationTotals:
    """Millicalls that the members may hold, and the numbers of reporting and of unreported members.

    Attributes:
        accounts: Accounts by name.
        members: Members of the view, by name.
        now_ns: Monotonic time of the sums.
        phase_since_ns: Start of the phase. An account without a later report counts with at least
            `equal_share`.
        equal_share: Millicalls per member if the total is divided equally.
        report_ttl_ns: Time for which a report counts.
        reclaim_timeout_ns: Time after which a dead member no longer counts; None if never.
        max_held: The most millicalls that all members with an account together may hold.
        fresh_reporters: Names of accounts whose report counts, in the order of the reports.
        unreported: Names of members without an account that may hold a share.
        reclaim_queue: Reclaim time and name of each dead member without an account, the latest
            time first.
    """

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
        """Computes the sums over all accounts.

        Args:
            accounts: Accounts by name.
            members: Members of the view, by name.
            now_ns: Monotonic time of the sums.
            phase_since_ns: Start of the phase. An account without a later report counts with at
                least `equal_share`.
            equal_share: Millicalls per member if the total is divided equally.
            report_ttl_ns: Time for which a report counts.
            reclaim_timeout_ns: Time after which a dead member no longer counts; None if never.
        """
        self.accounts = accounts
        self.members = members
        self.now_ns = now_ns
        self.phase_since_ns = phase_since_ns
        self.equal_share = equal_share
        self.report_ttl_ns = report_ttl_ns
        self.reclaim_timeout_ns = reclaim_timeout_ns
        self.max_held = sum(map(self._max_held, accounts.values()))
        fresh_reporters = (
            name for name, account in accounts.items() if self._is_report_fresh(account)
        )
        by_report_time = sorted(fresh_reporters, key=lambda name: accounts[name].reported_at_ns)
        self.fresh_reporters = OrderedDict.fromkeys(by_report_time)
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
        """Returns whether the sums are valid for the given state.

        The equal share is not compared, because it changes only with the view.
        """
        return (
            self.accounts is accounts
            and self.members is members
            and self.now_ns <= now_ns
            and self.phase_since_ns == phase_since_ns
            and self.reclaim_timeout_ns == reclaim_timeout_ns
        )

    def remove(self, name: str, account: SummedAccount) -> None:
        """Removes an account from the sums; called before the account changes."""
        self.max_held -= self._max_held(account)
        self.fresh_reporters.pop(name, None)

    def add(self, name: str, account: SummedAccount) -> None:
        """Adds a new account, or one that `remove` took out before a change.

        The report times of the added accounts must not decrease from call to call.
        """
        self.max_held += self._max_held(account)
        self.unreported.discard(name)
        if self._is_report_fresh(account):
            self.fresh_reporters[name] = None

    def count_reporting(self, now_ns: int) -> int:
        """Returns how many accounts have a report that has not expired."""
        self.now_ns = now_ns
        while self.fresh_reporters and not self._is_report_fresh(
            self.accounts[next(iter(self.fresh_reporters))]
        ):
            self.fresh_reporters.popitem(last=False)
        return len(self.fresh_reporters)

    def count_unknown(self, now_ns: int) -> int:
        """Returns how many members without an account may still hold a share."""
        self.now_ns = now_ns
        while self.reclaim_queue and self.reclaim_queue[-1][0] <= now_ns:
            _, name = self.reclaim_queue.pop()
            self.unreported.discard(name)
        return len(self.unreported)

    def _max_held(self, account: SummedAccount) -> int:
        if account.reported_at_ns >= self.phase_since_ns:
            return account.max_held
        # Another allocator may have raised the share since the last report.
        return max(account.max_held, self.equal_share)

    def _is_report_fresh(self, account: SummedAccount) -> bool:
        return self.now_ns - account.reported_at_ns <= self.report_ttl_ns

    def _queue_reclaims(self) -> list[tuple[int, str]]:
        """Returns the reclaim times of dead members without an account, the earliest one last."""
        if self.reclaim_timeout_ns is None:
            return []
        due = [
            (self.members[name].since_ns + self.reclaim_timeout_ns, name)
            for name in self.unreported
            if not self.members[name].is_present
        ]
        return sorted(due, reverse=True)
