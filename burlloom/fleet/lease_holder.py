"""Lease of one member's share of the downstream calls, and its decay without grants. Does no I/O.

Apart from the minimum of a member that was never granted a share, only a grant raises the share.
Other received messages do not renew the lease: if the network passes messages in one direction
only, a member that receives all messages may be considered dead by all others.
"""

from collections.abc import Callable
from enum import IntEnum

from ..transition_table import parse_transitions
from .settings import QuotaSettings

__all__ = ["LeaseHolder", "LeaseInput", "LeaseState"]


class LeaseState(IntEnum):
    """State of this member's lease."""

    UNGRANTED = 0  # no grant in this incarnation, so the member holds nothing
    HOLDING = 1  # the lease of a grant is in force
    EXPIRED = 2  # lease is over; keeps at most an equal share, which is not allocated again yet
    # No confirmed grant for the isolation timeout; the share above the minimum may be reallocated.
    ISOLATED = 3

    @property
    def label(self) -> str:
        """Label of this state in the state file and in `burlloom fleet show`."""
        return _STATE_LABELS[self]


_STATE_LABELS = {
    LeaseState.UNGRANTED: "cold",
    LeaseState.HOLDING: "holding",
    LeaseState.EXPIRED: "adrift",
    LeaseState.ISOLATED: "cut",
}


class LeaseInput(IntEnum):
    """Inputs of the lease's state machine."""

    GRANTED = 0  # a grant whose lease is not over was received
    ROUND = 1  # a round is run
    PAUSED = 2  # a round is run after this process was suspended beyond the isolation timeout


# Columns: state, input, test, next state, effect; "-" stands for no test or no effect.
TRANSITION_TABLE = """
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
        settings: Equal on all members.
        state: State of the lease.
        share: Millicalls that this member may have in progress.
        granted_share: Millicalls of the last accepted grant; 0 if there was none.
        expires_at_ns: Monotonic time at which the lease of the last grant ends.
        confirmed_at_ns: Monotonic time of the report that the last confirmed grant answered.
        is_grant_confirmed: Whether the last grant was confirmed.
        member_count: Fleet size, as this member knows it.
    """

    def __init__(self, settings: QuotaSettings, now_ns: int) -> None:
        """Initializes a lease without a share.

        Args:
            settings: Equal on all members.
            now_ns: Monotonic time in ns.
        """
        self.settings = settings
        self.state = LeaseState.UNGRANTED
        self.share = 0
        self.granted_share = 0
        self.expires_at_ns = now_ns
        self.confirmed_at_ns = now_ns
        self.is_grant_confirmed = False
        self.member_count = settings.min_members

    def process_grant(
        self, now_ns: int, share: int, reported_at_ns: int, is_confirmed: bool
    ) -> None:
        """Processes a grant; ignores it if its lease is already over.

        Args:
            now_ns: Monotonic time in ns.
            share: Granted share in millicalls.
            reported_at_ns: Monotonic time at which the report was sent that the grant answers. The
                lease starts at this time.
            is_confirmed: Whether at least half of the fleet reports to the allocator.
        """
        expires_at_ns = reported_at_ns + self.settings.lease_ns
        if expires_at_ns <= now_ns:
            return
        self.granted_share = share
        self.expires_at_ns = expires_at_ns
        self.is_grant_confirmed = is_confirmed
        if is_confirmed:
            self.confirmed_at_ns = reported_at_ns
        self.apply_input(now_ns, LeaseInput.GRANTED)

    def run_round(self, now_ns: int, member_count: int, was_paused: bool = False) -> None:
        """Runs a round: lowers the share if its lease or the isolation timeout is over.

        Args:
            now_ns: Monotonic time in ns.
            member_count: Fleet size, as this member knows it.
            was_paused: Whether this process was suspended for longer than the isolation timeout.
        """
        self.member_count = member_count
        self.apply_input(now_ns, LeaseInput.PAUSED if was_paused else LeaseInput.ROUND)

    def apply_input(self, now_ns: int, input_event: LeaseInput) -> None:
        """Takes the first transition whose test holds; keeps the state if there is none."""
        for test, state, effect in RULES.get((self.state, input_event), ()):
            if test(self, now_ns):
                self.state = state
                effect(self, now_ns)
                return

    # Tests named in TRANSITION_TABLE.

    def has_expired(self, now_ns: int) -> bool:
        """Returns whether the lease of the last grant is over."""
        return now_ns >= self.expires_at_ns

    def is_unconfirmed(self, now_ns: int) -> bool:
        """Returns whether the last confirmed grant is older than the isolation timeout."""
        return now_ns - self.confirmed_at_ns >= self.settings.isolation_timeout_ns

    def has_confirmed_grant(self, now_ns: int) -> bool:
        """Returns whether the grant that is being processed is confirmed."""
        return self.is_grant_confirmed

    # Effects named in TRANSITION_TABLE.

    def accept_grant(self, now_ns: int) -> None:
        """Sets the share to the granted share."""
        self.share = self.granted_share

    def decay_to_equal_share(self, now_ns: int) -> None:
        """Lowers the share to at most an equal share."""
        self.share = min(self.share, self.settings.equal_share(self.member_count))

    def decay_to_minimum(self, now_ns: int) -> None:
        """Lowers the share to at most the minimum.

        A member without any grant holds nothing that could be allocated to others. It takes the
        minimum, because otherwise it would stay without a call indefinitely.
        """
        minimum = self.settings.minimum_share(self.member_count)
        self.share = min(self.share, minimum) if self.granted_share else minimum


_Test = Callable[[LeaseHolder, int], bool]
_Effect = Callable[[LeaseHolder, int], None]


def _always(holder: LeaseHolder, now_ns: int) -> bool:
    return True


def _do_nothing(holder: LeaseHolder, now_ns: int) -> None:
    pass


def _resolve_test(name: str) -> _Test:
    return _always if name == "-" else getattr(LeaseHolder, name)


def _resolve_effect(name: str) -> _Effect:
    return _do_nothing if name == "-" else getattr(LeaseHolder, name)


RULES = parse_transitions(TRANSITION_TABLE, LeaseState, LeaseInput, _resolve_test, _resolve_effect)
