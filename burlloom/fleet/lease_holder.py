"""One member's share of the downstream calls, and what is left of it where no grant comes. No I/O.

No state raises the share but by a grant. What a member receives from others does not count: where
messages pass one way only, one that receives all may be dead to all.
"""

from collections.abc import Callable
from enum import IntEnum

from ..transition_table import parse_transitions
from .settings import QuotaSettings

__all__ = ["LeaseHolder", "LeaseInput", "LeaseState"]


class LeaseState(IntEnum):
    """What this member holds."""

    UNGRANTED = 0  # nothing was granted in this incarnation, so nothing is held
    HOLDING = 1  # a grant's lease runs
    EXPIRED = 2  # an equal share at most: nobody allocates it anew yet
    ISOLATED = 3  # the minimum: no confirmed grant for long, the rest may be another's by now

    @property
    def label(self) -> str:
        """The word for this state in the state file and in `burlloom fleet show`."""
        return _STATE_LABELS[self]


_STATE_LABELS = {
    LeaseState.UNGRANTED: "cold",
    LeaseState.HOLDING: "holding",
    LeaseState.EXPIRED: "adrift",
    LeaseState.ISOLATED: "cut",
}


class LeaseInput(IntEnum):
    """What moves a lease from state to state."""

    GRANTED = 0
    ROUND = 1
    PAUSED = 2  # this process stood still for longer than the isolation timeout


TABLE = """
UNGRANTED GRANTED -                   HOLDING   accept_grant
UNGRANTED ROUND   is_unconfirmed      ISOLATED  decay_to_minimum
UNGRANTED PAUSED  -                   UNGRANTED -
HOLDING   GRANTED -                   HOLDING   accept_grant
HOLDING   ROUND   is_unconfirmed      ISOLATED  decay_to_minimum
HOLDING   ROUND   has_expired         EXPIRED   decay_to_equal_share
HOLDING   PAUSED  -                   ISOLATED  decay_to_minimum
EXPIRED   GRANTED -                   HOLDING   accept_grant
EXPIRED   ROUND   is_unconfirmed      ISOLATED  decay_to_minimum
EXPIRED   ROUND   -                   EXPIRED   decay_to_equal_share
EXPIRED   PAUSED  -                   ISOLATED  decay_to_minimum
ISOLATED  GRANTED has_confirmed_grant HOLDING   accept_grant
"""


class LeaseHolder:
    """The lease of one member's share.

    Attributes:
        share: Millicalls that this member may have in progress.
    """

    def __init__(self, settings: QuotaSettings, now: int) -> None:
        """Begins without a share.

        Args:
            settings: The same on each member.
            now: ns on a clock that nobody sets.
        """
        self.settings = settings
        self.state = LeaseState.UNGRANTED
        self.share = 0
        self.granted = 0
        self.expires_at_ns = now
        self.confirmed_at_ns = now  # when the last confirmed grant was asked for
        self.grant_is_confirmed = False
        self.member_count = settings.min_members

    def process_grant(self, now: int, share: int, asked_at: int, is_confirmed: bool) -> None:
        """Takes in a grant, unless its lease is over already.

        Args:
            now: ns on a clock that nobody sets.
            share: Millicalls.
            asked_at: When the report left that it answers; the lease counts from there.
            is_confirmed: Whether half of the fleet reports to the allocator.
        """
        expires_at_ns = asked_at + self.settings.lease_ns
        if expires_at_ns <= now:
            return
        self.granted = share
        self.expires_at_ns = expires_at_ns
        self.grant_is_confirmed = is_confirmed
        if is_confirmed:
            self.confirmed_at_ns = asked_at
        self.apply_input(now, LeaseInput.GRANTED)

    def run_round(self, now: int, member_count: int, was_paused: bool = False) -> None:
        """Lowers the share where its time is over.

        Args:
            now: ns on a clock that nobody sets.
            member_count: Of the fleet, as this member knows it.
            was_paused: Whether this process stood still for longer than the isolation timeout.
        """
        self.member_count = member_count
        self.apply_input(now, LeaseInput.PAUSED if was_paused else LeaseInput.ROUND)

    def apply_input(self, now: int, received: LeaseInput) -> None:
        """Moves by the first row of the table whose test holds; stays where there is none."""
        for test, state, effect in RULES.get((self.state, received), ()):
            if test(self, now):
                self.state = state
                effect(self, now)
                return

    # Tests of the table.

    def has_expired(self, now: int) -> bool:
        """Whether the lease of the last grant is over."""
        return now >= self.expires_at_ns

    def is_unconfirmed(self, now: int) -> bool:
        """Whether no confirmed grant came for the isolation timeout."""
        return now - self.confirmed_at_ns >= self.settings.isolation_timeout_ns

    def has_confirmed_grant(self, now: int) -> bool:
        """Whether the grant that just came is confirmed."""
        return self.grant_is_confirmed

    # Effects of the table.

    def accept_grant(self, now: int) -> None:
        """Holds what was granted."""
        self.share = self.granted

    def decay_to_equal_share(self, now: int) -> None:
        """Keeps an equal share at most."""
        self.share = min(self.share, self.settings.equal_share(self.member_count))

    def decay_to_minimum(self, now: int) -> None:
        """Keeps the minimum at most.

        One to whom nothing was granted holds nothing that could be allocated anew, but must not
        stay without a call for good: it takes the minimum.
        """
        minimum = self.settings.minimum_share(self.member_count)
        self.share = min(self.share, minimum) if self.granted else minimum


_Test = Callable[[LeaseHolder, int], bool]
_Effect = Callable[[LeaseHolder, int], None]


def _always(holder: LeaseHolder, now: int) -> bool:
    return True


def _do_nothing(holder: LeaseHolder, now: int) -> None:
    pass


def _test(name: str) -> _Test:
    return _always if name == "-" else getattr(LeaseHolder, name)


def _effect(name: str) -> _Effect:
    return _do_nothing if name == "-" else getattr(LeaseHolder, name)


RULES = parse_transitions(TABLE, LeaseState, LeaseInput, _test, _effect)
