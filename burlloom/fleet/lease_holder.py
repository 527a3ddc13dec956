"""One member's share of the calls below: what was granted, and what is left of it where no grant
comes. No I/O.

States: COLD nothing was granted in this life, so nothing is held; HOLDING a grant's lease runs;
ADRIFT it ran out: an equal share is kept, or what was held if that is less, as nobody deals that
anew yet; CUT nothing was granted in the name of half of the fleet for `Terms.cut`, or we stood
still for so long: the floor, since the others may share out the rest by now. No state goes up but
by a grant. What we hear does not count: where letters pass one way only, who hears all may be dead
to all.
"""

from collections.abc import Callable
from enum import IntEnum

from ..transition_table import parse_transitions
from .allocator import QuotaSettings


class LeaseState(IntEnum):
    UNGRANTED = 0
    HOLDING = 1
    EXPIRED = 2
    ISOLATED = 3

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
    GRANTED = 0
    ROUND = 1
    PAUSED = 2  # nothing was done here for longer than `cut`


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
    """`share` in thousandths of a call. `members`: how many the fleet has, as we know it."""

    def __init__(self, settings: QuotaSettings, now: int) -> None:
        self.settings, self.state = settings, LeaseState.UNGRANTED
        self.share = self.granted = 0
        self.expires_at_ns = now
        self.confirmed_at_ns = (
            now  # when the last grant in the name of half of the fleet was asked for
        )
        self.grant_is_confirmed = False
        self.member_count = settings.min_members

    def process_grant(self, now: int, share: int, asked_at: int, is_confirmed: bool) -> None:
        """`asked_at`: when the report left that it answers; its lease counts from there."""
        if asked_at + self.settings.lease_ns > now:
            self.granted, self.expires_at_ns, self.grant_is_confirmed = (
                share,
                asked_at + self.settings.lease_ns,
                is_confirmed,
            )
            if is_confirmed:
                self.confirmed_at_ns = asked_at
            self.apply_input(now, LeaseInput.GRANTED)

    def run_round(self, now: int, member_count: int, was_paused: bool = False) -> None:
        """`members`: of the fleet, as we know it."""
        self.member_count = member_count
        self.apply_input(now, LeaseInput.PAUSED if was_paused else LeaseInput.ROUND)

    def apply_input(self, now: int, what: LeaseInput) -> None:
        for test, state, effect in RULES.get((self.state, what), ()):
            if test(self, now):
                self.state = state
                effect(self, now)
                return

    # Tests.

    def has_expired(self, now: int) -> bool:
        return now >= self.expires_at_ns

    def is_unconfirmed(self, now: int) -> bool:
        return now - self.confirmed_at_ns >= self.settings.isolation_timeout_ns

    def has_confirmed_grant(self, now: int) -> bool:
        return self.grant_is_confirmed

    # Effects.

    def accept_grant(self, now: int) -> None:
        self.share = self.granted

    def decay_to_equal_share(self, now: int) -> None:
        self.share = min(self.share, self.settings.equal_share(self.member_count))

    def decay_to_minimum(self, now: int) -> None:
        lowest = self.settings.minimum_share(self.member_count)
        # A cold one has nothing that could be dealt anew, but must not stay without a call for
        # good.
        self.share = lowest if not self.granted else min(self.share, lowest)


Test = Callable[[LeaseHolder, int], bool]
Effect = Callable[[LeaseHolder, int], None]


def _test(name: str) -> Test:
    return (lambda holder, now: True) if name == "-" else getattr(LeaseHolder, name)


def _effect(name: str) -> Effect:
    return (lambda holder, now: None) if name == "-" else getattr(LeaseHolder, name)


RULES = parse_transitions(TABLE, LeaseState, LeaseInput, _test, _effect)
