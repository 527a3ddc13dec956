"""The six optional subsystems of a server, each behind a protocol; all are off by default."""

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
    """The optional subsystems of one server.

    Attributes:
        record: Stores claims and results of keyed requests.
        distribution: Follows the configuration that control nodes distribute.
        levels: Selects which request classes and answers are degraded under load.
        recovery: Raises the server's load gradually after a restart.
        membership: Membership of the fleet, which limits the server's calls.
        rollout: Participation in drains and releases.
    """

    record: RequestRecord
    distribution: ConfigurationDistribution
    levels: ServiceLevels
    recovery: RestartRecovery
    membership: FleetMembership
    rollout: RolloutParticipation

    async def open(self) -> None:
        """Opens the subsystems that must be open before the server listens.

        Raises:
            ConfigurationError: The store of record can't be used.
        """
        await self.record.open()
        await self.membership.open()
        await self.distribution.open()

    async def close(self) -> None:
        """Closes all subsystems; the record last, because others write to it."""
        await self.rollout.close()
        self.levels.close()
        self.recovery.close()
        self.membership.close()
        self.distribution.close()
        await self.record.close()


class SubsystemFactory:
    """Creates the subsystems of a server; this base class disables all of them.

    A subsystem that depends on one that is created later looks it up in `server.subsystems` on use.
    """

    def create(self, server: Server) -> Subsystems:
        """Creates the subsystems, each after those that its constructor needs."""
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
        """Creates the follower of the distributed configuration."""
        return NoConfigurationDistribution()

    def create_levels(
        self, server: Server, distribution: ConfigurationDistribution
    ) -> ServiceLevels:
        """Creates the service levels, which take the tenants' shares from the distribution."""
        return NoServiceLevels()

    def create_recovery(self, server: Server) -> RestartRecovery:
        """Creates the recovery from a restart."""
        return NoRestartRecovery()

    def create_membership(self, server: Server, recovery: RestartRecovery) -> FleetMembership:
        """Creates the fleet membership, which takes its incarnation from the recovery."""
        return NoFleetMembership()

    def create_rollout(self, server: Server) -> RolloutParticipation:
        """Creates the participation in rollouts."""
        return NoRolloutParticipation()

    def close(self) -> None:
        """Closes what the subsystems share; called after all of them are closed."""
