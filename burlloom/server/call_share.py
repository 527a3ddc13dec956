"""Limits the dispatcher's calls to the share that the fleet grants.

Does no I/O, so the simulator uses it without datagrams.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from ..dispatcher import Dispatcher
from ..fleet import MILLICALLS_PER_CALL

if TYPE_CHECKING:
    from ..fleet import FleetMember

# Smallest call quota set at the dispatcher, in calls. A share of 0 calls is raised to it, because
# the dispatcher takes a quota of 0 as unlimited.
MIN_CALL_SHARE = 0.001
# Upper bound on the call cap, in calls, before it is converted to millicalls: the cap may be
# infinite, which has no integer value.
MAX_CALLS = 1e9
# Fraction of the reported demand that remains after each tick of the fleet, so that a peak of
# demand counts for some seconds.
DEMAND_DECAY = 0.98


class CallShare:
    """Reports the server's demand to the fleet and applies the fleet's share to the dispatcher.

    Attributes:
        dispatcher: The dispatcher whose calls are limited; None until the executor has connected.

    Args:
        fleet: Grants the share and receives the demand.
        call_cap: Returns the number of calls that the recovery from a restart allows at present.
    """

    def __init__(self, fleet: FleetMember, call_cap: Callable[[], float]) -> None:
        self.fleet = fleet
        self.call_cap = call_cap
        self.dispatcher: Dispatcher | None = None
        self._applied_millicalls = -1
        self._demand_calls = 0.0

    def report_demand(self) -> None:
        """Reports the calls wanted and in use to the fleet; called before each of its ticks."""
        in_use, waiting = self.dispatcher.call_demand() if self.dispatcher is not None else (0, 0)
        self._demand_calls = max(float(in_use + waiting), DEMAND_DECAY * self._demand_calls)
        self.fleet.set_usage(
            int(min(self._demand_calls, self.call_cap()) * MILLICALLS_PER_CALL),
            in_use * MILLICALLS_PER_CALL,
        )

    def apply(self) -> None:
        """Limits the dispatcher's calls to the share and the call cap.

        Called after each tick and each message of the fleet.
        """
        share_millicalls = min(
            self.fleet.share, int(min(self.call_cap(), MAX_CALLS) * MILLICALLS_PER_CALL)
        )
        if self.dispatcher is not None and share_millicalls != self._applied_millicalls:
            self._applied_millicalls = share_millicalls
            self.dispatcher.set_call_quota(
                max(MIN_CALL_SHARE, share_millicalls / MILLICALLS_PER_CALL)
            )


def call_shares(fleet: FleetMember) -> tuple[float, float]:
    """Returns, in calls, an equal share among present members and the share of this member."""
    equal_share = fleet.quota_settings.equal_share(max(1, fleet.view.count_not_left()))
    return equal_share / MILLICALLS_PER_CALL, fleet.share / MILLICALLS_PER_CALL
