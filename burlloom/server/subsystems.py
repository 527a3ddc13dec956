"""What a server has beside its decisions: six parts, each behind a protocol, all off by default."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .configuration_distribution import ConfigurationDistribution, NoConfigurationDistribution
from .membership import FleetMembership, NoFleetMembership
from .recovery import NoRestartRecovery, RestartRecovery
from .request_record import NoRequestRecord, RequestRecord
from .rollout import NoRolloutParticipation, RolloutParticipation
from .service_levels import NoServiceLevels, ServiceLevels

if TYPE_CHECKING:
    from .server import Server


@dataclass(slots=True)
class Subsystems:
    """The parts of one server.

    Attributes:
        record: Where keyed requests are claimed and their results kept.
        distribution: The configuration that is distributed to this server.
        levels: Which request classes and answers are given up under load.
        recovery: How service comes back after a restart.
        membership: The other servers, and this one's share of the calls.
        rollout: This server's part in drains and releases.
    """

    record: RequestRecord
    distribution: ConfigurationDistribution
    levels: ServiceLevels
    recovery: RestartRecovery
    membership: FleetMembership
    rollout: RolloutParticipation

    async def open(self) -> None:
        """Opens what must be there before the server listens.

        Raises:
            ConfigurationError: The store of record can't be used.
        """
        await self.record.open()
        await self.membership.open()
        await self.distribution.open()

    async def close(self) -> None:
        """Closes all of them; the record last, which others write to."""
        await self.rollout.close()
        self.levels.close()
        self.recovery.close()
        self.membership.close()
        self.distribution.close()
        await self.record.close()


class SubsystemFactory:
    """Creates the parts of a server; this one switches all of them off.

    A part that needs one which is created after it looks it up in `server.subsystems` when it is
    used.
    """

    def create(self, server: Server) -> Subsystems:
        """Creates the parts of a server, each after those that it needs from the start."""
        record = self.create_record(server)
        distribution = self.create_distribution(server)
        levels = self.create_levels(server, distribution)
        recovery = self.create_recovery(server)
        membership = self.create_membership(server, recovery)
        rollout = self.create_rollout(server)
        return Subsystems(record, distribution, levels, recovery, membership, rollout)

    def create_record(self, server: Server) -> RequestRecord:
        """Creates the record of keyed requests."""
        return NoRequestRecord(server.requests.start_run)

    def create_distribution(self, server: Server) -> ConfigurationDistribution:
        """Creates the follower of the configuration that is distributed."""
        return NoConfigurationDistribution()

    def create_levels(
        self, server: Server, distribution: ConfigurationDistribution
    ) -> ServiceLevels:
        """Creates the service levels; the distribution gives them tenants' shares."""
        return NoServiceLevels()

    def create_recovery(self, server: Server) -> RestartRecovery:
        """Creates the recovery from a restart."""
        return NoRestartRecovery()

    def create_membership(self, server: Server, recovery: RestartRecovery) -> FleetMembership:
        """Creates the membership, under the incarnation that the recovery has."""
        return NoFleetMembership()

    def create_rollout(self, server: Server) -> RolloutParticipation:
        """Creates the server's part in drains and releases."""
        return NoRolloutParticipation()

    def close(self) -> None:
        """Closes what the parts share, after all of them are closed."""
