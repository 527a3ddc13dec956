"""What a server asks of configuration that is distributed to it; the implementation for none."""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from typing import Protocol


class ConfigurationDistribution(Protocol):
    """The tenants and their portions as a control machine has them now.

    `portions` are those of the server's own configuration file, by tenant.
    """

    def served_tenants(self, portions: Mapping[str, float]) -> Collection[str]:
        """Returns the tenants that are served, now and at any later time."""

    def tenant_shares(self, portions: Mapping[str, float]) -> Callable[[str], float | None] | None:
        """Returns what gives a tenant's share of the service; None where `portions` says all.

        It returns None for a tenant that is not served.
        """

    async def open(self) -> None:
        """Waits until the configuration is in force, as long as the operator allows."""

    def close(self) -> None:
        """Stops following."""


class NoConfigurationDistribution:
    """The server's own configuration file says all."""

    def served_tenants(self, portions: Mapping[str, float]) -> Collection[str]:
        """Returns the tenants of the file."""
        return portions

    def tenant_shares(self, portions: Mapping[str, float]) -> Callable[[str], float | None] | None:
        """Returns None."""
        return None

    async def open(self) -> None:
        """Does nothing."""

    def close(self) -> None:
        """Does nothing."""
