"""What an operator's file switches on, made from it. Imported only where a file is named."""

from __future__ import annotations

import os
import socket
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

from ..levels import SIGNAL_NAMES
from ..levels.plan import find_plan_faults
from ..operator import Faults, Metrics, Operator, load
from ..record.coordinator import RecordCoordinator
from ..record.factory import create_store
from ..record.policy import RecordPolicy
from ..record.store import StoreRefusedError
from ..sockets import MS, SECOND
from .configuration import ServerConfig
from .configuration_distribution import FollowedConfiguration
from .membership import ConfiguredFleetMembership
from .recovery import ConfiguredRestartRecovery
from .request_record import ConfiguredRequestRecord
from .rollout import RELEASE, ConfiguredRolloutParticipation
from .service_levels import ConfiguredServiceLevels

if TYPE_CHECKING:
    from ..metrics import Exposed
    from .server import Server

__all__ = [
    "Operator",
    "StoreRefusedError",
    "distributed",
    "fleeted",
    "leveled",
    "load_operator",
    "recorded",
    "recovered",
    "rolled",
    "spanned",
    "stale",
]

CALLS_SPAN = 5 * SECOND


def load_operator(path: str) -> Operator:
    """Raises `operator.Faults`."""
    return load(Path(path))


def recorded(
    operator: Operator, orders: ServerConfig
) -> Callable[[Server], ConfiguredRequestRecord] | None:
    """Raises `Refused`."""
    record = operator.record
    if record is None:
        return None
    slack = max(product.deadline_ns for product in orders.settings.request_classes)
    store, sealer = create_store(record, record.node or orders.name, retention_ns=slack)
    terms = RecordPolicy(
        record.mode == "prefer",
        record.claim_share,
        record.hold_share,
        record.open_most,
        record.doubt_wait_ms * MS,
    )

    def make(server: Server) -> ConfiguredRequestRecord:
        products = orders.settings.request_classes
        made = ConfiguredRequestRecord(
            products, record.hold_share, server.clock, server.start_run, record.postgres is not None
        )
        keeper = made.keeper = RecordCoordinator(
            store,
            sealer,
            terms,
            max(product.latency_objective_ns for product in products),
            server.clock,
            made,
        )
        if operator.metrics is not None:
            made.exposed = exposed(operator.metrics)
            expose_record(made.exposed, keeper)
        return made

    return make


def stale(operator: Operator, orders: ServerConfig) -> ServerConfig:
    """The orders with what the file says of kept results. Raises `Faults`."""
    levels = operator.levels
    if levels is None or not levels.kept_ms:
        return orders
    names = orders.class_names
    if unknown := [name for name in levels.kept_ms if name not in names]:
        raise Faults(
            [
                f"levels.kept_ms: there is no product {name!r}; known are {', '.join(names)}"
                for name in unknown
            ]
        )
    products = tuple(
        replace(product, max_staleness_ns=levels.kept_ms.get(name, 0) * MS)
        for name, product in zip(names, orders.settings.request_classes, strict=True)
    )
    return replace(orders, settings=replace(orders.settings, request_classes=products))


def leveled(
    operator: Operator, orders: ServerConfig
) -> Callable[[Server], ConfiguredServiceLevels] | None:
    """Raises `Faults`, with all that does not fit the platform's products."""
    told = operator.levels
    if told is None:
        return None
    plan, products = (
        told.plan(),
        tuple(zip(orders.class_names, orders.settings.request_classes, strict=True)),
    )
    if lines := find_plan_faults(plan, products, SIGNAL_NAMES):
        raise Faults([f"levels.{line}" for line in lines])

    def make(server: Server) -> ConfiguredServiceLevels:
        record = server.record
        made = ConfiguredServiceLevels(
            plan,
            products,
            orders.tenant_portions,
            orders.settings.cores,
            server.clock,
            lambda: len(server.front.connections) / server.front.most,
            terms=told.terms(),
            store=partial(strain, record.keeper, server.clock)
            if isinstance(record, ConfiguredRequestRecord)
            else None,
            meters=frozenset(orders.gauge_names),
            pin_file=Path(told.pin_file) if told.pin_file is not None else None,
            state_file=Path(told.state_file) if told.state_file is not None else None,
            share=server.distribution.tenant_shares(orders.tenant_portions),
        )
        if operator.metrics is not None:
            shown = next(
                (
                    one.exposed
                    for one in (record, server.distribution)
                    if isinstance(one, ConfiguredRequestRecord | FollowedConfiguration)
                    and one.exposed is not None
                ),
                None,
            )
            if shown is None:
                shown = made.exposed = exposed(operator.metrics)
            shown.numbers("burlloom_levels", made.steps, made.gauges)
            shown.wanted = lambda: made.optional
        return made

    return make


def spanned(operator: Operator, orders: ServerConfig) -> ServerConfig:
    """The orders with a span over which a share of under one call is a share of time, where none is
    told.
    """
    if operator.fleet is None or orders.settings.call_quota_window_ns:
        return orders
    return replace(orders, settings=replace(orders.settings, call_quota_window_ns=CALLS_SPAN))


def fleeted(
    operator: Operator, orders: ServerConfig
) -> Callable[[Server], ConfiguredFleetMembership] | None:
    """Raises `Refused`."""
    part = operator.fleet
    if part is None:
        return None
    from ..fleet.letters import NAME_MOST

    if not 0 < len(orders.name.encode()) <= NAME_MOST:
        raise StoreRefusedError(
            f"fleet: the name {orders.name!r:.80} is over {NAME_MOST} bytes; letters carry no longer one"
        )
    host, port = part.listen.rsplit(":", 1)
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        sock.bind((host, int(port)))
    except OSError as error:
        raise StoreRefusedError(f"fleet.listen: {part.listen}: {error.strerror}") from error
    sock.setblocking(False)

    def make(server: Server) -> ConfiguredFleetMembership:
        made = ConfiguredFleetMembership(
            part, sock, orders.name, orders.seed, server.tasks, server.recovery
        )
        if operator.metrics is not None:
            shown = next(
                (
                    one.exposed
                    for one in (server.record, server.distribution, server.levels)
                    if isinstance(
                        one,
                        ConfiguredRequestRecord | FollowedConfiguration | ConfiguredServiceLevels,
                    )
                    and one.exposed is not None
                ),
                None,
            )
            if shown is None:
                shown = made.exposed = exposed(operator.metrics)
            shown.numbers("burlloom_fleet", made.fleet.counts, made.gauges)
        return made

    return make


def recovered(
    operator: Operator, orders: ServerConfig
) -> Callable[[Server], ConfiguredRestartRecovery] | None:
    part, facts = operator.recovery, orders.settings
    if part is None:
        return None
    durable = operator.record is not None and operator.record.mode == "require"
    terms = part.terms(
        max(product.idempotency_window_ns for product in facts.request_classes), durable
    )
    lonely = operator.fleet is None and operator.record is None
    alone = facts.call_quota or facts.max_runs_per_core * facts.cores
    file = Path(part.state_file) if part.state_file is not None else None
    return lambda server: ConfiguredRestartRecovery(
        terms, orders.name, server.clock, lambda: server.membership, alone, lonely, file
    )


def rolled(
    operator: Operator, orders: ServerConfig
) -> Callable[[Server], ConfiguredRolloutParticipation] | None:
    """Raises `Refused`."""
    part = operator.rollout
    if part is None:
        return None
    from ..rollout.stores.opening import shelf_of

    shelf, version = shelf_of(operator), os.environ.get(RELEASE) or part.version

    def make(server: Server) -> ConfiguredRolloutParticipation:
        made = ConfiguredRolloutParticipation(
            part,
            shelf,
            orders.name,
            version,
            orders.settings.request_classes,
            server.clock,
            server.tasks,
            server,
            lambda: server.membership,
        )
        if operator.metrics is not None:
            shown = next(
                (
                    one.exposed
                    for one in (
                        server.record,
                        server.distribution,
                        server.levels,
                        server.membership,
                    )
                    if isinstance(
                        one,
                        ConfiguredRequestRecord
                        | FollowedConfiguration
                        | ConfiguredServiceLevels
                        | ConfiguredFleetMembership,
                    )
                    and one.exposed is not None
                ),
                None,
            )
            if shown is None:
                shown = made.exposed = exposed(operator.metrics)
            shown.numbers("burlloom_rollout", made.steps, made.gauges)
        return made

    return make


def distributed(
    operator: Operator, orders: ServerConfig
) -> Callable[[Server], FollowedConfiguration] | None:
    """Raises `Refused`."""
    part = operator.distribution
    if part is None:
        return None
    if not part.upstreams:
        raise StoreRefusedError("distribution.upstreams: is empty: a server follows others")
    from ..distribution.endpoint import bind_datagram_socket
    from ..distribution.messages import MAX_NAME_BYTES

    if not 0 < len(orders.name.encode()) <= MAX_NAME_BYTES:
        raise StoreRefusedError(
            f"distribution: the name {orders.name!r:.80} is over {MAX_NAME_BYTES} bytes; messages carry no longer"
            " one"
        )
    try:
        sock = bind_datagram_socket(part.listen)
    except OSError as error:
        raise StoreRefusedError(f"distribution.listen: {part.listen}: {error.strerror}") from error

    def make(server: Server) -> FollowedConfiguration:
        made = FollowedConfiguration(
            part, sock, orders.name, orders.seed, server.tasks, lambda: server.is_shutting_down
        )
        if operator.metrics is not None:
            shown = (
                server.record.exposed
                if isinstance(server.record, ConfiguredRequestRecord)
                else None
            )
            if shown is None:
                shown = made.exposed = exposed(operator.metrics)
            shown.numbers("burlloom_distribution", made.counts, made.gauges)
        return made

    return make


def strain(keeper: RecordCoordinator, clock: Callable[[], int]) -> float:
    return keeper.breaker.load(clock())


def exposed(told: Metrics) -> Exposed:
    """Raises `Refused`."""
    from ..metrics import Exposed

    listen = None
    if told.listen is not None:
        host, port = told.listen.rsplit(":", 1)
        listen = host, int(port)
    try:
        made = Exposed(
            Path(told.file) if told.file is not None else None, told.every_ms / 1000, listen
        )
    except OSError as error:
        raise StoreRefusedError(f"metrics.listen: {told.listen}: {error.strerror}") from error
    return made


def expose_record(made: Exposed, keeper: RecordCoordinator) -> None:
    keeper.observer.observe_claim = made.histogram(
        "burlloom_record_claim_seconds", "from a claim's posting to its word"
    )
    keeper.observer.observe_finish = made.histogram(
        "burlloom_record_finish_seconds", "from an end's posting to its word"
    )
    store = keeper.store
    made.numbers(
        "burlloom_record",
        keeper.counters.as_metrics,
        lambda: {
            "open_writes": len(keeper.breaker.in_flight),
            "fates": len(keeper.registry),
            "cut_off": float(keeper.breaker.state != 0),
            "cuts": keeper.breaker.times_opened,
            "commits": store.commit_count,
            "writes": store.write_count,
            "largest_batch": store.largest_batch,
            "pruned": store.pruned_rows,
            "life": keeper.incarnation,
        },
    )
