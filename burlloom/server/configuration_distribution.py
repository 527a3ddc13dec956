"""Interface to the configuration that control nodes distribute, and its disabled implementation."""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from typing import Protocol


class ConfigurationDistribution(Protocol):
    """The tenants and their shares of the service, as the control nodes distribute them.

    The `portions` parameters are the tenants' weights by name in the server's own configuration
    file.
    """

    def served_tenants(self, portions: Mapping[str, float]) -> Collection[str]:
        """Returns the tenants that are served, as a collection that follows later changes."""

    def tenant_shares(self, portions: Mapping[str, float]) -> Callable[[str], float | None] | None:
        """Returns a function from a tenant to its share of the service.

        The function returns a share from 0 to 1, or None for a tenant that is not served.

        Returns:
            The function; None if `portions` alone determine the shares.
        """

    async def open(self) -> None:
        """Waits until a distributed configuration is in force, up to the operator's time limit."""

    def close(self) -> None:
        """Stops following the distributed configuration."""


class NoConfigurationDistribution:
    """Distribution is off: tenants come from the server's own configuration file alone."""

    def served_tenants(self, portions: Mapping[str, float]) -> Collection[str]:
        """Returns the tenants of the configuration file."""
        return portions

    def tenant_shares(self, portions: Mapping[str, float]) -> Callable[[str], float | None] | None:
        """Returns None: the configuration file determines the shares."""
        return None

    async def open(self) -> None:
        """Does nothing."""

    def close(self) -> None:
        """Does nothing."""
