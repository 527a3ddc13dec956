"""Between the server and the configuration that is distributed to it: datagrams, the tenants in
force, what is told of both.

Where distribution is off, `NoDistribution` stands here, and nothing of it is imported.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Collection, Iterator, Mapping
from random import Random
from typing import TYPE_CHECKING, Any, Protocol

from ..sockets import NS_PER_MS, NS_PER_SECOND, TaskSupervisor, sleep_ns
from .membership import monotonic_ns

if TYPE_CHECKING:
    import asyncio
    import socket

    from ..distribution import Follower, Replica
    from ..distribution.table import ItemPosition
    from ..metrics import Exposed
    from ..operator import DistributionPart

log = logging.getLogger(__name__)

TICK = 50 * NS_PER_MS
LOOK_EVERY = NS_PER_SECOND  # at the keys, and for the state's file
MOMENT = 5 * NS_PER_MS
COUNT_INTERVAL_NS = 300 * NS_PER_SECOND  # between two countings of all portions
COUNT_BYTES = 32 << 10  # of a page that is counted: about a millisecond
PAGES_A_TICK, ENTRIES_A_TICK = 16, 400  # of portions counted in one tick
PORTION_MOST = 1e9


class ConfigurationDistribution(Protocol):
    """What the server asks of the configuration that is distributed."""

    def served_tenants(self, told: Mapping[str, float]) -> Collection[str]:
        """Those that are served, now and at any later time; `told`: by the server's own
        configuration.
        """

    def tenant_shares(self, told: Mapping[str, float]) -> Callable[[str], float | None] | None:
        """A tenant's share of the service, None of one that is not served; None where `told` says
        all.
        """

    async def open(self) -> None:
        """Waits for what is to be in force, as long as the operator allows."""

    def close(self) -> None: ...


class NoConfigurationDistribution:
    """The server's own configuration says all."""

    def served_tenants(self, told: Mapping[str, float]) -> Collection[str]:
        return told

    def tenant_shares(self, told: Mapping[str, float]) -> Callable[[str], float | None] | None:
        return None

    async def open(self) -> None:
        pass

    def close(self) -> None:
        pass


class ServedTenants(Collection[str]):
    """Those of the table once it is in force, else those that the server's configuration told."""

    def __init__(self, replica: Replica, told: Collection[str]) -> None:
        self.replica, self.told = replica, told

    def __contains__(self, name: object) -> bool:
        if not isinstance(name, str):
            return False
        if self.replica.head is None:
            return name in self.told
        try:
            return self.replica.table.has("tenant", name)
        except UnicodeEncodeError:  # what UTF-8 can't have is no tenant's
            return False

    def __bool__(self) -> bool:
        # In force, a table without any tenant serves none; a configuration without any serves all.
        return self.replica.head is not None or bool(self.told)

    def __len__(self) -> int:
        return (
            self.replica.table.count("tenant") if self.replica.head is not None else len(self.told)
        )

    def __iter__(self) -> Iterator[str]:
        raise NotImplementedError("as many as there may be are not gone through")


def portion_of(value: bytes) -> float:
    """Of a tenant's entry; 1 where it says none that can be."""
    import msgpack

    got = msgpack.unpackb(value)
    portion = got.get("portion") if type(got) is dict else None
    return (
        float(portion) if isinstance(portion, int | float) and 0 < portion <= PORTION_MOST else 1.0
    )


class TenantPortions:
    """What all tenants' portions come to: counted through the table some at a time, again some
    minutes after a change. Until then each is taken for one.
    """

    def __init__(self, replica: Replica) -> None:
        self.replica = replica
        self.total = 0.0
        self.sum, self.bucket = 0.0, -1  # the counting under way; no bucket: none is
        self.after: ItemPosition | None = None
        self.of: Any = None  # the epoch and revision that the last one began at
        self.began_at = -COUNT_INTERVAL_NS

    def advance(self, now: int) -> None:
        """Once a tick: a bounded part."""
        head, table = self.replica.head, self.replica.table
        if head is None:
            return
        if self.bucket < 0:
            if self.of == head[:2] or now - self.began_at < COUNT_INTERVAL_NS:
                return
            self.of, self.began_at, self.sum, self.bucket, self.after = head[:2], now, 0.0, 0, None
        seen = 0
        for _ in range(PAGES_A_TICK):
            page = table.page(self.bucket, self.after, table.scopes or ("",), COUNT_BYTES)
            self.sum += sum(
                portion_of(entry.value)
                for entry in page.items
                if entry.kind == "tenant" and entry.value is not None
            )
            self.after = page.last_position
            if page.is_last:
                self.bucket, self.after = self.bucket + 1, None
            if self.bucket == BUCKETS:
                self.total, self.bucket = self.sum, -1
                return
            seen += len(page.items)
            if seen >= ENTRIES_A_TICK:
                return

    def share(self, name: str) -> float | None:
        value = self.replica.table.get("tenant", name)
        if value is None:
            return None
        whole = self.total or float(self.replica.table.count("tenant"))
        return min(1.0, portion_of(value) / whole) if whole else 1.0


BUCKETS = 256  # of `distribution.table`, which is imported only where this is on


class FollowedConfiguration:
    """`sock`: bound, for datagrams. `leaving`: whether the server is on its way out."""

    def __init__(
        self,
        part: DistributionPart,
        sock: socket.socket,
        name: str,
        seed: int,
        tasks: TaskSupervisor,
        leaving: Callable[[], bool],
    ) -> None:
        from pathlib import Path

        from .. import distribution
        from ..distribution.endpoint import Endpoint
        from ..distribution.status_report import HeadLogger, KeyFile

        self.part, self.name, self.tasks, self.leaving, self.clock = (
            part,
            name,
            tasks,
            leaving,
            monotonic_ns,
        )
        life = time.time_ns() // NS_PER_MS
        self.seals = KeyFile(Path(part.key_file), part.keys, "seals")
        self.signing = KeyFile(Path(part.signing_key_file), part.signing_keys, "signing")
        scopes = ("", part.region)
        self.replica: Replica = distribution.Replica(
            distribution.ConfigTable(scopes), self.signing.keys
        )
        self.follower: Follower = distribution.Follower(
            self.replica,
            name,
            life,
            part.region,
            part.followed(),
            self.seals.keys,
            part.terms(),
            Random(seed ^ life),
            self.clock(),
        )
        self.endpoint = Endpoint(sock, self.hear)
        self.telling, self.portions = HeadLogger(self.replica), TenantPortions(self.replica)
        self.state = self.follower.state
        self.looked_at = 0
        self.counting = False  # whether anybody asks for shares
        self.told: Collection[str] = ()
        self.exposed: Exposed | None = None
        self.task: asyncio.Task[None] | None = None

    def served_tenants(self, told: Mapping[str, float]) -> Collection[str]:
        self.told = told
        return ServedTenants(self.replica, told)

    def tenant_shares(self, told: Mapping[str, float]) -> Callable[[str], float | None]:
        self.counting = True
        whole = sum(told.values()) or 1.0
        own = {name: portion / whole for name, portion in told.items()}
        return lambda name: (
            self.portions.share(name) if self.replica.head is not None else own.get(name)
        )

    async def open(self) -> None:
        await self.endpoint.open()
        log.info(
            "event=distribution-open name=%s region=%s address=%s upstreams=%d",
            self.name,
            self.part.region,
            self.endpoint.address,
            len(self.part.upstreams),
        )
        self.task = self.tasks.start(self.keep(), "distribution")
        began = self.clock()
        while (
            self.replica.head is None
            and not self.leaving()
            and self.clock() - began < self.part.wait_ms * NS_PER_MS
        ):
            await sleep_ns(MOMENT)
        self.telling.log_moves()
        if self.replica.head is None:
            log.warning(
                "event=distribution-not-in-force waited_ms=%d tenants=%d detail='the configuration file holds"
                " until a first sync'",
                (self.clock() - began) // NS_PER_MS,
                len(self.told),
            )

    async def keep(self) -> None:
        while True:
            try:
                self.tick()
            except Exception:
                log.exception("event=fault side=distribution")
            await sleep_ns(TICK)

    def tick(self) -> None:
        now = self.clock()
        self.follower.tick(now)
        self.endpoint.flush(self.follower.out)
        self.telling.log_moves()
        if self.follower.state != self.state:
            log.info(
                "event=distribution-state from=%s to=%s upstream=%s age_ms=%s",
                self.state.name.lower(),
                self.follower.state.name.lower(),
                self.follower.upstream.name,
                self.age(now),
            )
            self.state = self.follower.state
        if self.counting:
            self.portions.advance(now)
        if now - self.looked_at >= LOOK_EVERY:
            self.looked_at = now
            self.look(now)

    def hear(self, data: bytes, source: tuple[str, int]) -> None:
        """Between two requests: a change, or a page, and no more."""
        self.follower.receive(self.clock(), data, source)
        self.endpoint.flush(self.follower.out)

    def age(self, now: int) -> str:
        age = self.follower.age(now)
        return "-" if age is None else str(age)

    def look(self, now: int) -> None:
        """Once a second."""
        if self.seals.reload_if_changed():
            self.follower.keys = self.seals.keys
        if self.signing.reload_if_changed():
            self.replica.keys = self.signing.keys
        self.endpoint.log_refusals(now // NS_PER_SECOND, self.follower.refusals)
        if self.part.state_file is not None:
            from ..distribution.status_report import write_state

            write_state(self.part.state_file, self.summary(now))

    def summary(self, now: int) -> dict[str, object]:
        from ..distribution.follower import summary
        from ..distribution.status_report import replica_summary

        return {
            "told_at": time.time_ns(),
            "role": "server",
            "region": self.part.region,
            "address": self.endpoint.address,
            **summary(self.follower, now),
            **replica_summary(self.replica),
        }

    # For whoever reads metrics.

    def counts(self) -> dict[str, int]:
        counts = self.follower.counts
        told = {name: getattr(counts, name) for name in counts.__slots__ if name != "refused"}
        return {**told, "refused": sum(counts.refused.values()), "unsent": self.endpoint.dropped}

    def gauges(self) -> dict[str, float]:
        """The age is NaN where nothing is in force."""
        head, age = self.replica.head, self.follower.age(self.clock())
        return {
            "state": float(self.follower.state),
            "in_force": float(head is not None),
            "epoch": float(head.epoch) if head else 0.0,
            "revision": float(head.revision) if head else 0.0,
            "age_seconds": age / 1000 if age is not None else float("nan"),
            "tenants": float(self.replica.table.count("tenant")),
            "routes": float(self.replica.table.count("route")),
            "settings": float(self.replica.table.count("setting")),
        }

    def close(self) -> None:
        if self.task is not None:
            self.task.cancel()
        self.follower.leave()
        self.endpoint.flush(self.follower.out)
        self.telling.log_moves()
        if self.part.state_file is not None and self.task is not None:
            self.look(self.clock())
        self.endpoint.close()
        if self.exposed is not None:
            self.exposed.close()
        log.info(
            "event=distribution-closed %s",
            " ".join(f"{name}={count}" for name, count in self.counts().items()),
        )
