"""The subset of downstream services that this server calls, and counts of their outcomes."""

from __future__ import annotations

import asyncio
import logging
from random import Random
from typing import TYPE_CHECKING

from ..downstream import CallStatus
from ..downstream.service_pools import ServicePools
from ..fleet import WeightedRoundRobin, assign_subsets
from ..sockets import TaskSupervisor
from ..time_units import NS_PER_SECOND

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from ..fleet import SubsetAssignment

log = logging.getLogger(__name__)

# Length of one span of counts. Recent counts cover the current and the previous span.
COUNT_SPAN_NS = 3 * NS_PER_SECOND


class ServiceSubset:
    """Chooses the services that one server calls, and calls them in weighted round-robin order.

    Each server calls a subset of the services, so that no service has connections from all servers.
    Members with the same view of the fleet compute the same subsets.

    Attributes:
        round_robin: The weighted order in which the services are called.
        pools: The connections to the services.
        worst_load: Load of the most loaded service over the mean load, by weight.

    Args:
        services: Addresses of all services.
        min_size: Smallest number of services that a server calls.
        name: The server's name in the fleet.
        member_names: Returns the names of all members, sorted.
        random: Draws the start of the round-robin order.
        clock: Returns monotonic time in ns.
        tasks: Supervises the task that computes a new subset.
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
        self.round_robin = WeightedRoundRobin()
        self.pools = ServicePools(self._next_address, self._count_call)
        self.worst_load = 1.0
        self._ejected: frozenset[str] = frozenset()
        # Member names and ejected services that the present subset was computed from.
        self._computed_inputs: tuple[tuple[str, ...], frozenset[str]] = ((), frozenset())
        self._computing: asyncio.Task[None] | None = None
        # Numbers of succeeded and failed calls by service, in the current and the previous span.
        self._counts: list[dict[str, list[int]]] = [{}, {}]
        self._span_started_ns = 0
        self._apply_assignment(self._compute((name,), frozenset()))

    def refresh(self) -> None:
        """Starts to compute a new subset if members or ejected services have changed.

        The computation runs in a thread, because it takes tens of ms with hundreds of servers.
        """
        inputs = self.member_names(), self._ejected
        if inputs == self._computed_inputs or self._computing is not None:
            return
        self._computing = self.tasks.start(self._recompute(*inputs), "service_subset")

    def eject(self, addresses: frozenset[str]) -> bool:
        """Excludes exactly these services from the subset from now on.

        Returns:
            Whether the subset excludes them, and no call to them is in progress any more.
        """
        if addresses != self._ejected:
            self._ejected = addresses
            self.refresh()
        return self._computed_inputs[1] == addresses and not any(
            self.pools.calls_in_progress[split_address(address)] for address in addresses
        )

    def recent_call_counts(self) -> dict[str, tuple[int, int]]:
        """Returns the numbers of succeeded and failed calls of the last seconds, by service."""
        self._begin_span()
        totals: dict[str, tuple[int, int]] = {}
        for counts in self._counts:
            for service, (succeeded, failed) in counts.items():
                total = totals.get(service, (0, 0))
                totals[service] = total[0] + succeeded, total[1] + failed
        return totals

    def _begin_span(self) -> None:
        now_ns = self.clock()
        age_ns = now_ns - self._span_started_ns
        if age_ns >= COUNT_SPAN_NS:
            # Counts that are older than the previous span are dropped: failures of long ago say
            # nothing about the present.
            previous_counts = self._counts[0] if age_ns < 2 * COUNT_SPAN_NS else {}
            self._counts = [{}, previous_counts]
            self._span_started_ns = now_ns

    async def _recompute(self, members: tuple[str, ...], ejected: frozenset[str]) -> None:
        try:
            self._apply_assignment(await asyncio.to_thread(self._compute, members, ejected))
            self._computed_inputs = members, ejected
        finally:
            self._computing = None

    def _compute(self, members: tuple[str, ...], ejected: frozenset[str]) -> SubsetAssignment:
        # If all services are ejected, the ejections are ignored: no service could be called.
        remaining = [service for service in self.services if service not in ejected]
        return assign_subsets(members, remaining or self.services, self.min_size)

    def _apply_assignment(self, assignment: SubsetAssignment) -> None:
        weights = assignment.subsets[self.name].weights
        self.round_robin.set_weights(weights, self.random.random())
        self.worst_load = assignment.max_load_ratio
        self.pools.set_addresses([split_address(service) for service in weights])
        log.info(
            "event=subset_changed servers=%d size=%d worst_load=%.3f",
            len(assignment.subsets),
            len(weights),
            assignment.max_load_ratio,
        )

    def _next_address(self) -> tuple[str, int]:
        return split_address(self.round_robin.next_service(self.clock()))

    def _count_call(self, address: tuple[str, int], status: CallStatus) -> None:
        service = f"{address[0]}:{address[1]}"
        if status is CallStatus.UNREACHABLE:
            self.round_robin.record_failure(service, self.clock())
        else:
            self.round_robin.record_success(service)
        # A call that is no longer needed says nothing about the service.
        if status is not CallStatus.NO_LONGER_NEEDED:
            succeeded = status in (CallStatus.OK, CallStatus.REJECTED)
            self._counts[0].setdefault(service, [0, 0])[0 if succeeded else 1] += 1


def split_address(service: str) -> tuple[str, int]:
    """Returns host and port of a service such as `10.0.0.4:10080`."""
    host, _, port = service.rpartition(":")
    return host, int(port)
