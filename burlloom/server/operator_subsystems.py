"""Creates the subsystems that an operator's file enables; imported only if there is such a file."""

from __future__ import annotations

import os
import socket
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

from ..levels import SIGNAL_NAMES, LevelPlan
from ..levels.plan import find_plan_faults
from ..operator import DistributionPart, FleetPart, Operator, OperatorFileError, load
from ..record.store import StoreRefusedError
from ..time_units import NS_PER_MS, NS_PER_SECOND
from .configuration import ConfigurationError, ServerConfig
from .metrics_exposition import MetricsExposition
from .subsystems import SubsystemFactory

if TYPE_CHECKING:
    from ..record.coordinator import RecordCoordinator
    from .configuration_distribution import ConfigurationDistribution
    from .membership import FleetMembership
    from .recovery import RestartRecovery
    from .request_record import RequestRecord
    from .rollout import RolloutParticipation
    from .server import Server
    from .service_levels import ServiceLevels

__all__ = ["OperatorSubsystemFactory", "check_levels", "load_subsystems"]

# Environment variable that overrides the release version in the operator's file.
RELEASE_VARIABLE = "BURLLOOM_RELEASE"
# Joins the faults of the operator's file, so that each is printed on its own line.
FAULT_SEPARATOR = "\nburlloom.server: "
# Window over which a quota of less than one call is averaged, if the server's own configuration
# sets none.
DEFAULT_CALL_QUOTA_WINDOW_NS = 5 * NS_PER_SECOND


def load_subsystems(
    path: str, config: ServerConfig
) -> tuple[ServerConfig, OperatorSubsystemFactory]:
    """Loads an operator's file; binds the sockets it names, but does not read the stores yet.

    Args:
        path: Path of the operator's file.
        config: The server's own configuration.

    Returns:
        The configuration with the changes of the operator's file, and the factory of subsystems.

    Raises:
        ConfigurationError: The file, or an address, store or key that it names, can't be used.
    """
    try:
        operator = load(Path(path))
        config = apply_operator_settings(operator, config)
        return config, OperatorSubsystemFactory(operator, config)
    except OperatorFileError as error:
        raise ConfigurationError(FAULT_SEPARATOR.join(error.lines)) from error
    except StoreRefusedError as error:
        raise ConfigurationError(str(error)) from error


def apply_operator_settings(operator: Operator, config: ServerConfig) -> ServerConfig:
    """Returns the configuration with the settings that the operator's file changes.

    Raises:
        OperatorFileError: The file names request classes that the configuration does not have.
    """
    settings = config.settings
    levels = operator.levels
    if levels is not None and levels.kept_ms:
        names = config.class_names
        if unknown := [name for name in levels.kept_ms if name not in names]:
            known_names = ", ".join(names)
            raise OperatorFileError(
                [
                    f"levels.kept_ms: there is no product {name!r}; known are {known_names}"
                    for name in unknown
                ]
            )
        classes = tuple(
            replace(request_class, max_staleness_ns=levels.kept_ms.get(name, 0) * NS_PER_MS)
            for name, request_class in zip(names, settings.request_classes, strict=True)
        )
        settings = replace(settings, request_classes=classes)
    if operator.fleet is not None and not settings.call_quota_window_ns:
        settings = replace(settings, call_quota_window_ns=DEFAULT_CALL_QUOTA_WINDOW_NS)
    return replace(config, settings=settings)


def check_levels(operator: Operator, config: ServerConfig) -> LevelPlan | None:
    """Returns the operator's plan of service levels; None if levels are off.

    Raises:
        OperatorFileError: The plan does not fit the configured request classes; lists each fault.
    """
    if operator.levels is None:
        return None
    plan = operator.levels.build_plan()
    classes = tuple(zip(config.class_names, config.settings.request_classes, strict=True))
    if lines := find_plan_faults(plan, classes, SIGNAL_NAMES):
        raise OperatorFileError([f"levels.{line}" for line in lines])
    return plan


def bind_membership_socket(part: FleetPart, name: str) -> socket.socket:
    """Returns a bound, non-blocking UDP socket for messages between the fleet's servers.

    Raises:
        StoreRefusedError: The name does not fit into a message, or the address can't be bound.
    """
    from ..fleet.messages import MAX_NAME_BYTES

    if not 0 < len(name.encode()) <= MAX_NAME_BYTES:
        raise StoreRefusedError(
            f"fleet: the name {name!r:.80} does not fit into messages;"
            f" it must have 1 to {MAX_NAME_BYTES} bytes"
        )
    host, port = part.listen.rsplit(":", 1)
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        sock.bind((host, int(port)))
    except OSError as error:
        raise StoreRefusedError(f"fleet.listen: {part.listen}: {error.strerror}") from error
    sock.setblocking(False)
    return sock


def bind_distribution_socket(part: DistributionPart, name: str) -> socket.socket:
    """Returns a bound UDP socket that receives the distributed configuration.

    Raises:
        StoreRefusedError: There is no upstream, the name does not fit into a message, or the
            address can't be bound.
    """
    if not part.upstreams:
        raise StoreRefusedError("distribution.upstreams: is empty; a server needs at least one")
    from ..distribution.endpoint import bind_datagram_socket
    from ..distribution.messages import MAX_NAME_BYTES

    if not 0 < len(name.encode()) <= MAX_NAME_BYTES:
        raise StoreRefusedError(
            f"distribution: the name {name!r:.80} does not fit into messages;"
            f" it must have 1 to {MAX_NAME_BYTES} bytes"
        )
    try:
        return bind_datagram_socket(part.listen)
    except OSError as error:
        raise StoreRefusedError(f"distribution.listen: {part.listen}: {error.strerror}") from error


def record_store_load(coordinator: RecordCoordinator, clock: Callable[[], int]) -> float:
    """Returns the load of the store of record: how near its writes are to their limits, 0 to 1."""
    return coordinator.breaker.compute_load(clock())


class OperatorSubsystemFactory(SubsystemFactory):
    """Creates the subsystems that an operator's file enables; the others stay off.

    Args:
        operator: The decoded operator's file.
        config: The server's configuration with the changes of the operator's file.

    Raises:
        OperatorFileError: The file does not fit the server's configuration.
        StoreRefusedError: A store, a socket or a key can't be used.
    """

    def __init__(self, operator: Operator, config: ServerConfig) -> None:
        self.operator = operator
        self.config = config
        self.metrics = MetricsExposition(operator.metrics) if operator.metrics is not None else None
        settings = config.settings
        self.coordinator: RecordCoordinator | None = None
        if operator.record is not None:
            from ..record.factory import create_store

            longest_deadline_ns = max(
                request_class.deadline_ns for request_class in settings.request_classes
            )
            self.record_store, self.record_sealer = create_store(
                operator.record,
                operator.record.node or config.name,
                retention_ns=longest_deadline_ns,
            )
        self.plan = check_levels(operator, config)
        if operator.fleet is not None:
            self.membership_socket = bind_membership_socket(operator.fleet, config.name)
        if operator.rollout is not None:
            from ..rollout.stores.factory import create_rollout_store

            self.rollout_store = create_rollout_store(operator)
            self.release = os.environ.get(RELEASE_VARIABLE) or operator.rollout.version
        if operator.distribution is not None:
            self.distribution_socket = bind_distribution_socket(operator.distribution, config.name)

    def create_record(self, server: Server) -> RequestRecord:
        """Creates the request record; its store is not open yet.

        Raises:
            StoreRefusedError: The address of the metrics can't be used.
        """
        part = self.operator.record
        if part is None:
            return super().create_record(server)
        from ..record.coordinator import RecordCoordinator
        from ..record.policy import RecordPolicy
        from .configured_request_record import ConfiguredRequestRecord

        classes = self.config.settings.request_classes
        record = ConfiguredRequestRecord(
            classes,
            part.hold_share,
            server.clock,
            server.requests.start_run,
            part.postgres is not None,
        )
        record.coordinator = self.coordinator = RecordCoordinator(
            self.record_store,
            self.record_sealer,
            RecordPolicy(
                part.mode == "prefer",
                part.claim_share,
                part.hold_share,
                part.open_most,
                part.doubt_wait_ms * NS_PER_MS,
            ),
            max(request_class.latency_objective_ns for request_class in classes),
            server.clock,
            record,
        )
        if self.metrics is not None:
            self.metrics.register_record(record.coordinator)
        return record

    def create_distribution(self, server: Server) -> ConfigurationDistribution:
        """Creates the follower of the distributed configuration on the bound socket.

        Raises:
            StoreRefusedError: The address of the metrics can't be used.
        """
        part = self.operator.distribution
        if part is None:
            return super().create_distribution(server)
        from .followed_configuration import FollowedConfiguration

        follower = FollowedConfiguration(
            part,
            self.distribution_socket,
            self.config.name,
            self.config.seed,
            server.tasks,
            lambda: server.is_shutting_down,
        )
        if self.metrics is not None:
            self.metrics.register("burlloom_distribution", follower.counts, follower.gauges)
        return follower

    def create_levels(
        self, server: Server, distribution: ConfigurationDistribution
    ) -> ServiceLevels:
        """Creates the service levels of the operator's plan.

        Raises:
            StoreRefusedError: The address of the metrics can't be used.
        """
        part, config = self.operator.levels, self.config
        if part is None or self.plan is None:
            return super().create_levels(server, distribution)
        from .configured_service_levels import ConfiguredServiceLevels

        levels = ConfiguredServiceLevels(
            self.plan,
            tuple(zip(config.class_names, config.settings.request_classes, strict=True)),
            config.tenant_portions,
            config.settings.cores,
            server.clock,
            lambda: len(server.listener.connections) / server.listener.max_connections,
            policy=part.hysteresis_policy(),
            store_load=partial(record_store_load, self.coordinator, server.clock)
            if self.coordinator
            else None,
            gauge_names=frozenset(config.gauge_names),
            pin_file=Path(part.pin_file) if part.pin_file is not None else None,
            state_file=Path(part.state_file) if part.state_file is not None else None,
            tenant_share=distribution.tenant_shares(config.tenant_portions),
        )
        if self.metrics is not None:
            self.metrics.register("burlloom_levels", levels.change_counts, levels.gauges)
            self.metrics.reduce_writes_unless(levels.is_optional_work_served)
        return levels

    def create_recovery(self, server: Server) -> RestartRecovery:
        """Creates the recovery, which reads the state file of the previous incarnation."""
        part, settings = self.operator.recovery, self.config.settings
        if part is None:
            return super().create_recovery(server)
        from .configured_recovery import ConfiguredRestartRecovery

        record = self.operator.record
        is_durable = record is not None and record.mode == "require"
        longest_window_ns = max(
            request_class.idempotency_window_ns for request_class in settings.request_classes
        )
        return ConfiguredRestartRecovery(
            part.recovery_policy(longest_window_ns, is_durable),
            self.config.name,
            server.clock,
            lambda: server.subsystems.membership,
            settings.call_quota or settings.max_runs_per_core * settings.cores,
            self.operator.fleet is None and record is None,
            Path(part.state_file) if part.state_file is not None else None,
        )

    def create_membership(self, server: Server, recovery: RestartRecovery) -> FleetMembership:
        """Creates the fleet membership on the bound socket.

        Raises:
            StoreRefusedError: The address of the metrics can't be used.
        """
        part = self.operator.fleet
        if part is None:
            return super().create_membership(server, recovery)
        from .configured_membership import ConfiguredFleetMembership

        membership = ConfiguredFleetMembership(
            part,
            self.membership_socket,
            self.config.name,
            self.config.seed,
            server.tasks,
            recovery,
        )
        if self.metrics is not None:
            self.metrics.register("burlloom_fleet", membership.fleet.counters, membership.gauges)
        return membership

    def create_rollout(self, server: Server) -> RolloutParticipation:
        """Creates the participation in rollouts over the operator's store.

        Raises:
            StoreRefusedError: The address of the metrics can't be used.
        """
        part = self.operator.rollout
        if part is None:
            return super().create_rollout(server)
        from .configured_rollout import ConfiguredRolloutParticipation

        rollout = ConfiguredRolloutParticipation(
            part,
            self.rollout_store,
            self.config.name,
            self.release,
            self.config.settings.request_classes,
            server.clock,
            server.tasks,
            server,
            lambda: server.subsystems.membership,
        )
        if self.metrics is not None:
            self.metrics.register("burlloom_rollout", rollout.counters, rollout.gauges)
        return rollout

    def close(self) -> None:
        """Closes the metrics exposition."""
        if self.metrics is not None:
            self.metrics.close()
