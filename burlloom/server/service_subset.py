"""The downstream's services that this server calls, in turn, and how its calls end."""

from __future__ import annotations

import asyncio
import logging
from random import Random
from typing import TYPE_CHECKING

from ..downstream import CallStatus
from ..downstream.service_pools import ServicePools
from ..fleet import WeightedRoundRobin, assign_subsets
from ..sockets import NS_PER_SECOND, TaskSupervisor

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from ..fleet import SubsetAssignment

log = logging.getLogger(__name__)

# Half of the time over which calls are counted by service.
COUNT_SPAN_NS = 3 * NS_PER_SECOND


class ServiceSubset:
    """The services that one server calls.

    Each server has a subset, so that no service has a connection from every server. All members
    compute the same subsets of the same view.

    Attributes:
        turns: The weighted order in which the services are called.
        pools: The connections to them.
        worst_load: The most that a service is loaded over the mean, by weight.

    Args:
        services: Addresses of all services.
        min_size: Services, at least, that each server calls.
        name: The server's, in the fleet.
        member_names: Returns the names of all members, in order.
        random: Draws where the order begins.
        clock: ns of a clock that nobody sets.
        tasks: Where a new subset is computed.
    """

    def __init__(
        self,
        services: Sequence[str],
        min_size: int,
        name: str,
        member_names: Callable[[], tuple[str, ...]],
        random: Random,
        clock: Callable[[], int],
        tasks: TaskSupervisor,
    ) -> None:
        self.services = services
        self.min_size = min_size
        self.name = name
        self.member_names = member_names
        self.random = random
        self.clock = clock
        self.tasks = tasks
        self.turns = WeightedRoundRobin()
        self.pools = ServicePools(self._next_address, self._count_call)
        self.worst_load = 1.0
        self._ejected: frozenset[str] = frozenset()
        # What the present subset was computed for: members' names, services left out.
        self._computed_for: tuple[tuple[str, ...], frozenset[str]] = ((), frozenset())
        self._computing: asyncio.Task[None] | None = None
        # Succeeded and failed calls by service: of this span and of the one before.
        self._counts: list[dict[str, list[int]]] = [{}, {}]
        self._span_began_ns = 0
        self._use(self._compute((name,), frozenset()))

    def refresh(self) -> None:
        """Computes the subset anew where members or ejected services have changed.

        Off the loop: with hundreds of servers it takes some tens of ms.
        """
        wanted = self.member_names(), self._ejected
        if wanted == self._computed_for or self._computing is not None:
            return
        self._computing = self.tasks.start(self._recompute(*wanted), "service_subset")

    def eject(self, addresses: frozenset[str]) -> bool:
        """Leaves these services, and no others, out from now on.

        Returns:
            Whether no call to them is in progress any more.
        """
        if addresses != self._ejected:
            self._ejected = addresses
            self.refresh()
        return self._computed_for[1] == addresses and not any(
            self.pools.calls_in_progress[split_address(address)] for address in addresses
        )

    def recent_call_counts(self) -> dict[str, tuple[int, int]]:
        """Returns, by service, calls of the last seconds that succeeded and that failed."""
        self._begin_span()
        totals: dict[str, tuple[int, int]] = {}
        for counts in self._counts:
            for service, (succeeded, failed) in counts.items():
                before = totals.get(service, (0, 0))
                totals[service] = before[0] + succeeded, before[1] + failed
        return totals

    def _begin_span(self) -> None:
        now = self.clock()
        age_ns = now - self._span_began_ns
        if age_ns >= COUNT_SPAN_NS:
            # Of a span without a call nothing stays: what failed long ago says nothing of now.
            before = self._counts[0] if age_ns < 2 * COUNT_SPAN_NS else {}
            self._counts = [{}, before]
            self._span_began_ns = now

    async def _recompute(self, members: tuple[str, ...], ejected: frozenset[str]) -> None:
        try:
            self._use(await asyncio.to_thread(self._compute, members, ejected))
            self._computed_for = members, ejected
        finally:
            self._computing = None

    def _compute(self, members: tuple[str, ...], ejected: frozenset[str]) -> SubsetAssignment:
        # Without any there would be nobody to call: then all are as good as the others.
        left = [service for service in self.services if service not in ejected]
        return assign_subsets(members, left or self.services, self.min_size)

    def _use(self, assignment: SubsetAssignment) -> None:
        own = assignment.subsets[self.name].weights
        self.turns.set_weights(own, self.random.random())
        self.worst_load = assignment.max_load_ratio
        self.pools.set_addresses([split_address(service) for service in own])
        log.info(
            "event=subset_changed servers=%d size=%d worst_load=%.3f",
            len(assignment.subsets),
            len(own),
            assignment.max_load_ratio,
        )

    def _next_address(self) -> tuple[str, int]:
        return split_address(self.turns.next_service(self.clock()))

    def _count_call(self, address: tuple[str, int], answer: CallStatus) -> None:
        service = f"{address[0]}:{address[1]}"
        if answer is CallStatus.UNREACHABLE:
            self.turns.record_failure(service, self.clock())
        else:
            self.turns.record_success(service)
        if answer is not CallStatus.NO_LONGER_NEEDED:  # which says nothing of the service
            succeeded = answer in (CallStatus.OK, CallStatus.REJECTED)
            self._counts[0].setdefault(service, [0, 0])[0 if succeeded else 1] += 1


def split_address(service: str) -> tuple[str, int]:
    """Returns host and port of a service as `10.0.0.4:10080`."""
    host, _, port = service.rpartition(":")
    return host, int(port)
