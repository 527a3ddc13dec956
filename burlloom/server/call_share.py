"""What the fleet's share means to the decisions. The lab has it without datagrams."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from ..dispatcher import Dispatcher
from ..fleet import MILLICALLS_PER_CALL

if TYPE_CHECKING:
    from ..fleet import FleetMember

# A share of none, as the decisions know it: 0 is no bound to them.
MIN_CALL_SHARE = 0.001
# What any number of calls is cut to before it is counted in thousandths.
MAX_CALLS = 1e9
# Of the demand that stays from one tick to the next: a peak counts for some seconds.
DEMAND_DECAY = 0.98


class CallShare:
    """Reports the server's demand to the fleet and applies the fleet's share to the dispatcher.

    Attributes:
        dispatcher: Whose calls are bound; None until there is one.

    Args:
        fleet: What shares out the calls.
        call_cap: Returns the calls that the recovery from a restart allows so far.
    """

    def __init__(self, fleet: FleetMember, call_cap: Callable[[], float]) -> None:
        self.fleet = fleet
        self.call_cap = call_cap
        self.dispatcher: Dispatcher | None = None
        self._applied = -1
        self._demand = 0.0

    def report_demand(self) -> None:
        """Reports what is wanted and what is in use; before each tick of the fleet's."""
        in_use, waiting = self.dispatcher.call_demand() if self.dispatcher is not None else (0, 0)
        self._demand = max(float(in_use + waiting), DEMAND_DECAY * self._demand)
        self.fleet.set_usage(
            int(min(self._demand, self.call_cap()) * MILLICALLS_PER_CALL),
            in_use * MILLICALLS_PER_CALL,
        )

    def apply(self) -> None:
        """Bounds the dispatcher's calls by the share; after each tick and message of the fleet."""
        share = min(self.fleet.share, int(min(self.call_cap(), MAX_CALLS) * MILLICALLS_PER_CALL))
        if self.dispatcher is not None and share != self._applied:
            self._applied = share
            self.dispatcher.set_call_quota(max(MIN_CALL_SHARE, share / MILLICALLS_PER_CALL))


def call_shares(fleet: FleetMember) -> tuple[float, float]:
    """Returns an equal share of the calls and the one that the fleet gives this member."""
    equal = fleet.quota_settings.equal_share(max(1, fleet.view.count_not_left()))
    return equal / MILLICALLS_PER_CALL, fleet.share / MILLICALLS_PER_CALL
