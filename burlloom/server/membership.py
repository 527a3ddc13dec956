"""What a server asks its fleet of; the implementation for a server that decides alone."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from ..dispatcher import Dispatcher

if TYPE_CHECKING:
    from ..downstream import ConnectionPool
    from ..downstream.service_pools import ServicePools


class FleetMembership(Protocol):
    """The other servers: this one's share of the calls, and the services that it calls."""

    async def open(self) -> None:
        """Joins the fleet."""

    def attach_dispatcher(self, dispatcher: Dispatcher) -> None:
        """Has this dispatcher's calls bound by the server's share from now on."""

    def may_call(self) -> bool:
        """Returns whether the server's share is still known; asked just before a call leaves."""

    def select_pool(self, pool: ConnectionPool) -> ConnectionPool | ServicePools:
        """Returns what makes the calls: `pool`, or pools for the services that this server calls.

        Args:
            pool: The connections to the platform's own downstream.
        """

    def call_shares(self) -> tuple[float, float] | None:
        """Returns an equal share of calls and the server's own; None where there is no fleet."""

    def peer_addresses(self) -> tuple[str, ...]:
        """Returns addresses of other members, for the server's next start."""

    def eject_services(self, addresses: frozenset[str]) -> bool:
        """Has these services, and no others, not called from now on.

        Returns:
            Whether no call to them is in progress any more.
        """

    def recent_call_counts(self) -> dict[str, tuple[int, int]]:
        """Returns, by service, calls of the last seconds that succeeded and that failed."""

    def close(self) -> None:
        """Leaves the fleet."""


class NoFleetMembership:
    """There is no fleet: each server decides alone."""

    async def open(self) -> None:
        """Does nothing."""

    def attach_dispatcher(self, dispatcher: Dispatcher) -> None:
        """Does nothing: calls are bound by the platform's settings."""

    def may_call(self) -> bool:
        """Returns True."""
        return True

    def select_pool(self, pool: ConnectionPool) -> ConnectionPool | ServicePools:
        """Returns the pool as it is."""
        return pool

    def call_shares(self) -> tuple[float, float] | None:
        """Returns None."""
        return None

    def peer_addresses(self) -> tuple[str, ...]:
        """Returns no address."""
        return ()

    def eject_services(self, addresses: frozenset[str]) -> bool:
        """Returns True: services are not chosen here, so none is called that could be ejected."""
        return True

    def recent_call_counts(self) -> dict[str, tuple[int, int]]:
        """Returns no count."""
        return {}

    def close(self) -> None:
        """Does nothing."""
