"""Interface to the fleet membership, and its implementation for a server without a fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from ..dispatcher import Dispatcher

if TYPE_CHECKING:
    from ..downstream import ConnectionPool
    from ..downstream.service_pools import ServicePools


class FleetMembership(Protocol):
    """Membership of a fleet, which limits the server's calls and chooses the services it calls."""

    async def open(self) -> None:
        """Joins the fleet."""

    def attach_dispatcher(self, dispatcher: Dispatcher) -> None:
        """Limits this dispatcher's calls to the server's share from now on."""

    def may_call(self) -> bool:
        """Returns whether the server's share is still valid; checked just before a call is sent."""

    def select_pool(self, pool: ConnectionPool) -> ConnectionPool | ServicePools:
        """Returns the pools for the services that this server calls, or `pool` if none are chosen.

        Args:
            pool: The connections to the downstream of the server's own configuration.
        """

    def call_shares(self) -> tuple[float, float] | None:
        """Returns, in calls, an equal share and the server's own; None if there is no fleet."""

    def peer_addresses(self) -> tuple[str, ...]:
        """Returns the addresses of the other members, which the next incarnation contacts first."""

    def eject_services(self, addresses: frozenset[str]) -> bool:
        """Excludes exactly these services from new calls.

        Returns:
            Whether no call to these services is in progress any more.
        """

    def recent_call_counts(self) -> dict[str, tuple[int, int]]:
        """Returns the numbers of succeeded and failed calls of the last seconds, by service."""

    def close(self) -> None:
        """Leaves the fleet."""


class NoFleetMembership:
    """There is no fleet: the server's own settings limit its calls."""

    async def open(self) -> None:
        """Does nothing."""

    def attach_dispatcher(self, dispatcher: Dispatcher) -> None:
        """Does nothing: the server's own settings limit the calls."""

    def may_call(self) -> bool:
        """Returns True."""
        return True

    def select_pool(self, pool: ConnectionPool) -> ConnectionPool | ServicePools:
        """Returns `pool`."""
        return pool

    def call_shares(self) -> tuple[float, float] | None:
        """Returns None."""
        return None

    def peer_addresses(self) -> tuple[str, ...]:
        """Returns an empty tuple."""
        return ()

    def eject_services(self, addresses: frozenset[str]) -> bool:
        """Returns True: without a fleet no services are chosen, so none of them is called."""
        return True

    def recent_call_counts(self) -> dict[str, tuple[int, int]]:
        """Returns an empty dictionary."""
        return {}

    def close(self) -> None:
        """Does nothing."""
