"""Between the server and the configuration that it follows; imported only where this is on."""

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
from ..sockets import NS_PER_MS, NS_PER_SECOND, TaskSupervisor, sleep_ns
from .clock import boot_time_ns
from .tenant_portions import ServedTenants, TenantPortions

log = logging.getLogger(__name__)

TICK_NS = 50 * NS_PER_MS
REFRESH_INTERVAL_NS = NS_PER_SECOND  # between looks at the keys, and writings of the state file
IN_FORCE_POLL_NS = 5 * NS_PER_MS
MS_PER_SECOND = 1000


class FollowedConfiguration:
    """Follows a control machine or a relay, as an operator's file says.

    Attributes:
        replica: Holds the table that is followed.
        follower: What decides, without I/O.
        endpoint: The socket.
        tenant_portions: Each tenant's share of the service.

    Args:
        settings: The operator's.
        sock: Bound, for datagrams.
        name: The server's.
        seed: Of the follower's random draws, together with its incarnation.
        tasks: Where its ticks run.
        is_shutting_down: Returns whether the server was told to leave.
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
        self._state = self.follower.state
        self._refreshed_ns = 0
        self._counts_portions = False
        self._configured: Collection[str] = ()
        self._task: asyncio.Task[None] | None = None

    def served_tenants(self, portions: Mapping[str, float]) -> Collection[str]:
        """Returns the tenants that are served, now and at any later time."""
        self._configured = portions
        return ServedTenants(self.replica, portions)

    def tenant_shares(self, portions: Mapping[str, float]) -> Callable[[str], float | None]:
        """Returns what gives a tenant's share of the service, None of one that is not served."""
        self._counts_portions = True
        total = sum(portions.values()) or 1.0
        configured = {name: portion / total for name, portion in portions.items()}

        def share(name: str) -> float | None:
            """Returns a tenant's share by the table, or by the file before it is in force."""
            if self.replica.head is None:
                return configured.get(name)
            return self.tenant_portions.share(name)

        return share

    async def open(self) -> None:
        """Waits until the configuration is in force, as long as the operator allows."""
        await self.endpoint.open()
        log.info(
            "event=distribution_opened name=%s region=%s address=%s upstreams=%d",
            self.name,
            self.settings.region,
            self.endpoint.address,
            len(self.settings.upstreams),
        )
        self._task = self.tasks.start(self._keep_ticking(), "distribution")
        began = self.clock()
        while self._must_wait(began):
            await sleep_ns(IN_FORCE_POLL_NS)
        self._head_logger.log_moves()
        if self.replica.head is None:
            log.warning(
                "event=distribution_not_in_force waited_ms=%d tenants=%d"
                " detail='the configuration file holds until a first sync'",
                (self.clock() - began) // NS_PER_MS,
                len(self._configured),
            )

    def _must_wait(self, began: int) -> bool:
        if self.replica.head is not None or self.is_shutting_down():
            return False
        return self.clock() - began < self.settings.wait_ms * NS_PER_MS

    def counts(self) -> dict[str, int]:
        """Returns counts since the start, by the end of the metric's name."""
        counts = self.follower.counts
        refused = sum(counts.refused.values())
        return {**counts.exported(), "refused": refused, "unsent": self.endpoint.dropped}

    def gauges(self) -> dict[str, float]:
        """Returns what stands now, by the end of the metric's name.

        The age is NaN where nothing is in force.
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
                # Without further ticks the server would follow nobody.
                log.exception("event=internal_error side=distribution")
            await sleep_ns(TICK_NS)

    def _tick(self) -> None:
        now = self.clock()
        self.follower.tick(now)
        self.endpoint.flush(self.follower.outbox)
        self._head_logger.log_moves()
        if self.follower.state != self._state:
            self._log_state_change(now)
        if self._counts_portions:
            self.tenant_portions.advance(now)
        if now - self._refreshed_ns >= REFRESH_INTERVAL_NS:
            self._refreshed_ns = now
            self._refresh(now)

    def _log_state_change(self, now: int) -> None:
        age_ms = self.follower.table_age_ms(now)
        log.info(
            "event=distribution_state_changed from=%s to=%s upstream=%s age_ms=%s",
            self._state.name.lower(),
            self.follower.state.name.lower(),
            self.follower.upstream.name,
            "-" if age_ms is None else str(age_ms),
        )
        self._state = self.follower.state

    def _receive(self, data: bytes, source: tuple[str, int]) -> None:
        """Takes one datagram between two requests: a change, or a page, and no more."""
        self.follower.receive(self.clock(), data, source)
        self.endpoint.flush(self.follower.outbox)

    def _refresh(self, now: int) -> None:
        if self._seal_keys.reload_if_changed():
            self.follower.keys = self._seal_keys.keys
        if self._signing_keys.reload_if_changed():
            self.replica.keys = self._signing_keys.keys
        self.endpoint.log_refusals(now // NS_PER_SECOND, self.follower.refusals)
        if self.settings.state_file is not None:
            write_state(self.settings.state_file, self._summary(now))

    def _summary(self, now: int) -> dict[str, object]:
        return {
            "told_at": time.time_ns(),
            "role": "server",
            "region": self.settings.region,
            "address": self.endpoint.address,
            **summary(self.follower, now),
            **replica_summary(self.replica),
        }
