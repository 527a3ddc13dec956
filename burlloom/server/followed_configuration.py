"""Follows the configuration that control nodes distribute over UDP.

Imported only if the operator's file enables distribution.
"""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from collections.abc import Callable, Collection, Mapping
from pathlib import Path
from random import Random

from ..distribution import ConfigTable, Follower, Replica
from ..distribution.endpoint import Endpoint
from ..distribution.follower import summary
from ..distribution.status_report import HeadLogger, KeyFile, replica_summary, write_state
from ..operator import DistributionPart
from ..sockets import TaskSupervisor, sleep_ns
from ..time_units import NS_PER_MS, NS_PER_SECOND
from .clock import boot_time_ns
from .tenant_portions import ServedTenants, TenantPortions

log = logging.getLogger(__name__)

# Time between two ticks of the follower.
TICK_NS = 50 * NS_PER_MS
# Time between two reads of the key files and writes of the state file.
REFRESH_INTERVAL_NS = NS_PER_SECOND
# Time between two checks, during startup, whether the configuration is in force.
IN_FORCE_POLL_NS = 5 * NS_PER_MS
MS_PER_SECOND = 1000


class FollowedConfiguration:
    """Follows a control node or a relay that an operator's file configures.

    Attributes:
        replica: The local copy of the distributed table.
        follower: The replication logic; does no I/O.
        endpoint: Sends and receives datagrams.
        tenant_portions: Computes each tenant's share of the service from the table.

    Args:
        settings: The operator's settings of the distribution.
        sock: Bound UDP socket.
        name: The server's name.
        seed: Seed of the follower's random draws, combined with its incarnation.
        tasks: Supervises the task that ticks.
        is_shutting_down: Returns whether the server is shutting down.
    """

    def __init__(
        self,
        settings: DistributionPart,
        sock: socket.socket,
        name: str,
        seed: int,
        tasks: TaskSupervisor,
        is_shutting_down: Callable[[], bool],
    ) -> None:
        self.settings = settings
        self.name = name
        self.tasks = tasks
        self.is_shutting_down = is_shutting_down
        self.clock = boot_time_ns
        incarnation = time.time_ns() // NS_PER_MS
        self._seal_keys = KeyFile(Path(settings.key_file), settings.load_keys, "seals")
        self._signing_keys = KeyFile(
            Path(settings.signing_key_file), settings.load_signing_keys, "signing"
        )
        self.replica = Replica(ConfigTable(("", settings.region)), self._signing_keys.keys)
        self.follower = Follower(
            self.replica,
            name,
            incarnation,
            settings.region,
            settings.allowed_upstreams(),
            self._seal_keys.keys,
            settings.replication_settings(),
            Random(seed ^ incarnation),
            self.clock(),
        )
        self.endpoint = Endpoint(sock, self._receive)
        self.tenant_portions = TenantPortions(self.replica)
        self._head_logger = HeadLogger(self.replica)
        self._logged_state = self.follower.state
        self._refreshed_ns = 0
        self._must_count_portions = False
        self._configured_tenants: Collection[str] = ()
        self._task: asyncio.Task[None] | None = None

    def served_tenants(self, portions: Mapping[str, float]) -> Collection[str]:
        """Returns the tenants that are served, as a collection that follows later changes.

        Args:
            portions: The tenants' weights by name in the server's own configuration file.
        """
        self._configured_tenants = portions
        return ServedTenants(self.replica, portions)

    def tenant_shares(self, portions: Mapping[str, float]) -> Callable[[str], float | None]:
        """Returns a function from a tenant to its share of the service.

        The function returns a share from 0 to 1, or None for a tenant that is not served.

        Args:
            portions: The tenants' weights by name in the server's own configuration file.
        """
        self._must_count_portions = True
        total = sum(portions.values()) or 1.0
        configured_shares = {name: portion / total for name, portion in portions.items()}

        def share(name: str) -> float | None:
            """Returns the share by the table, or by the file if no table is in force."""
            if self.replica.head is None:
                return configured_shares.get(name)
            return self.tenant_portions.share(name)

        return share

    async def open(self) -> None:
        """Waits until a distributed configuration is in force, up to the operator's time limit."""
        await self.endpoint.open()
        log.info(
            "event=distribution_opened name=%s region=%s address=%s upstreams=%d",
            self.name,
            self.settings.region,
            self.endpoint.address,
            len(self.settings.upstreams),
        )
        self._task = self.tasks.start(self._keep_ticking(), "distribution")
        started_ns = self.clock()
        while self._must_wait(started_ns):
            await sleep_ns(IN_FORCE_POLL_NS)
        self._head_logger.log_moves()
        if self.replica.head is None:
            log.warning(
                "event=distribution_not_in_force waited_ms=%d tenants=%d"
                " detail='the configuration file applies until the first sync'",
                (self.clock() - started_ns) // NS_PER_MS,
                len(self._configured_tenants),
            )

    def _must_wait(self, started_ns: int) -> bool:
        if self.replica.head is not None or self.is_shutting_down():
            return False
        return self.clock() - started_ns < self.settings.wait_ms * NS_PER_MS

    def counts(self) -> dict[str, int]:
        """Returns the counts since the start, by the suffix of the metric's name."""
        counts = self.follower.counts
        refused = sum(counts.refused.values())
        return {**counts.exported(), "refused": refused, "unsent": self.endpoint.dropped}

    def gauges(self) -> dict[str, float]:
        """Returns the current gauge values, by the suffix of the metric's name.

        The age is NaN if no configuration is in force.
        """
        head, age_ms = self.replica.head, self.follower.table_age_ms(self.clock())
        table = self.replica.table
        return {
            "state": float(self.follower.state),
            "in_force": float(head is not None),
            "epoch": float(head.epoch) if head else 0.0,
            "revision": float(head.revision) if head else 0.0,
            "age_seconds": age_ms / MS_PER_SECOND if age_ms is not None else float("nan"),
            "tenants": float(table.count("tenant")),
            "routes": float(table.count("route")),
            "settings": float(table.count("setting")),
        }

    def close(self) -> None:
        """Tells the upstream that the server leaves, and closes the socket."""
        if self._task is not None:
            self._task.cancel()
        self.follower.leave()
        self.endpoint.flush(self.follower.outbox)
        self._head_logger.log_moves()
        if self.settings.state_file is not None and self._task is not None:
            self._refresh(self.clock())
        self.endpoint.close()
        log.info(
            "event=distribution_closed %s",
            " ".join(f"{name}={count}" for name, count in self.counts().items()),
        )

    async def _keep_ticking(self) -> None:
        while True:
            try:
                self._tick()
            except Exception:
                # The loop must go on: without further ticks the server stops following changes.
                log.exception("event=internal_error side=distribution")
            await sleep_ns(TICK_NS)

    def _tick(self) -> None:
        now_ns = self.clock()
        self.follower.tick(now_ns)
        self.endpoint.flush(self.follower.outbox)
        self._head_logger.log_moves()
        if self.follower.state != self._logged_state:
            self._log_state_change(now_ns)
        if self._must_count_portions:
            self.tenant_portions.advance(now_ns)
        if now_ns - self._refreshed_ns >= REFRESH_INTERVAL_NS:
            self._refreshed_ns = now_ns
            self._refresh(now_ns)

    def _log_state_change(self, now_ns: int) -> None:
        age_ms = self.follower.table_age_ms(now_ns)
        log.info(
            "event=distribution_state_changed from=%s to=%s upstream=%s age_ms=%s",
            self._logged_state.name.lower(),
            self.follower.state.name.lower(),
            self.follower.upstream.name,
            "-" if age_ms is None else str(age_ms),
        )
        self._logged_state = self.follower.state

    def _receive(self, data: bytes, source: tuple[str, int]) -> None:
        """Handles one datagram.

        A datagram carries at most one change or one page of a sync, so that requests wait only for
        a short time.
        """
        self.follower.receive(self.clock(), data, source)
        self.endpoint.flush(self.follower.outbox)

    def _refresh(self, now_ns: int) -> None:
        if self._seal_keys.reload_if_changed():
            self.follower.keys = self._seal_keys.keys
        if self._signing_keys.reload_if_changed():
            self.replica.keys = self._signing_keys.keys
        self.endpoint.log_refusals(now_ns // NS_PER_SECOND, self.follower.refusals)
        if self.settings.state_file is not None:
            write_state(self.settings.state_file, self._summary(now_ns))

    def _summary(self, now_ns: int) -> dict[str, object]:
        return {
            "told_at": time.time_ns(),
            "role": "server",
            "region": self.settings.region,
            "address": self.endpoint.address,
            **summary(self.follower, now_ns),
            **replica_summary(self.replica),
        }
