"""Cores of hollow servers that follow configuration, and of control machines that distribute it.

Each copy records what it applies for the checker: the revision and a digest of the change's body.
The digest is computed here and not by the product, so that the check does not depend on the code
that it checks.
"""

import asyncio
import hashlib
import socket
import time
from collections import deque
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path
from random import Random
from typing import Any

import msgpack

from ..distribution import (
    Change,
    ConfigTable,
    Follower,
    Head,
    Replica,
    ReplicationSettings,
    Upstream,
)
from ..distribution.control_node import ControlNode
from ..distribution.status_report import KeyFile
from ..distribution.stores.change_store import StoreUnavailableError
from ..distribution.stores.sqlite import SqliteChangeStore
from ..distribution.stores.store_follower import StoreFollower
from ..distribution.table import BUCKET_COUNT
from .distances import Place

PAGE_BYTES = 32_768  # size in bytes of the pages in which the contents are read for the checker


def boot_time_ns() -> int:
    """Returns the boot time in ns, which is the same in all processes."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


def digest_of(body: bytes | None) -> str:
    """Returns a digest of a change's body, computed as by the benchmark that made the change."""
    return hashlib.sha256(body).hexdigest()[:16] if body is not None else ""


class RecordingReplica(Replica):
    """A copy of the configuration that records what it applied, in order."""

    def __init__(self, table: ConfigTable, keys: tuple[bytes, ...]) -> None:
        super().__init__(table, keys)
        self.seen: list[list[Any]] = []

    def apply_change(self, change: Change) -> str | None:
        """Applies a change and records it unless it is rejected."""
        reason = super().apply_change(change)
        if reason is None:
            self.seen.append(
                [boot_time_ns(), "applied", change.epoch, change.revision, digest_of(change.body)]
            )
        return reason

    def complete_at(self, head: Head) -> None:
        """Completes a sync and records it."""
        super().complete_at(head)
        self.seen.append([boot_time_ns(), "synced", head.epoch, head.revision])

    def contents(self) -> str:
        """Returns a digest of all entries in force, independent of the order of the table."""
        packed_entries = []
        for bucket in range(BUCKET_COUNT):
            after = None
            while True:
                page = self.table.page(bucket, after, self.table.scopes, PAGE_BYTES)
                packed_entries += [
                    msgpack.packb([entry.scope, entry.kind, entry.key, entry.value])
                    for entry in page.items
                ]
                after = page.last_position
                if page.is_last:
                    break
        digest = hashlib.sha256()
        for packed in sorted(packed_entries):
            digest.update(len(packed).to_bytes(4, "big") + packed)
        return digest.hexdigest()[:32]


def upstreams(settings: dict[str, Any]) -> list[Upstream]:
    """Returns the upstreams that the settings name."""
    return [
        Upstream(name, region, (host, port)) for name, region, host, port in settings["upstreams"]
    ]


def keys(settings: dict[str, Any]) -> tuple[tuple[bytes, ...], tuple[bytes, ...]]:
    """Returns the sealing keys and the signing keys of the settings."""
    return (bytes.fromhex(settings["key"]),), (bytes.fromhex(settings["signing_key"]),)


def copy_facts(replica: Replica, age_ms: int | None) -> dict[str, Any]:
    """Returns the figures of a copy; `age_ms` is None if its age is unknown."""
    head = replica.head
    return {
        f"revision {head.revision if head else -1}": 1,
        "whole": int(replica.is_complete),
        "age_ms": age_ms or 0,
        "ageless": int(age_ms is None),
    }


class FollowerCore:
    """Core of a server that follows the configuration."""

    def __init__(
        self,
        place: Place,
        address: str,
        incarnation: int,
        settings: dict[str, Any],
        random: Random,
        now_ns: int,
    ) -> None:
        region = f"r{place.region}"
        self.replica = RecordingReplica(ConfigTable(("", region)), keys(settings)[1])
        self.follower = Follower(
            self.replica,
            place.name,
            incarnation,
            region,
            upstreams(settings),
            keys(settings)[0],
            ReplicationSettings(**settings.get("terms", {})),
            random,
            now_ns,
        )
        self.out: deque[Any] = self.follower.outbox
        self.group = region

    def tick(self, now_ns: int) -> None:
        """Ticks the follower."""
        self.follower.tick(now_ns)

    def receive(self, now_ns: int, data: bytes, source: tuple[str, int]) -> None:
        """Handles a datagram of an upstream."""
        self.follower.receive(now_ns, data, source)

    def leave(self, now_ns: int) -> None:
        """Announces that the server leaves."""
        self.follower.leave()

    def resume(self, now_ns: int) -> None:
        """Needs nothing after a pause."""

    def close(self) -> None:
        """Has nothing to release."""

    def apply_order(self, message: dict[str, Any]) -> None:
        """Records a digest of the contents if the order asks for it."""
        if message.get("contents"):
            self.replica.seen.append([boot_time_ns(), "holds", self.group, self.replica.contents()])

    def facts(self, now_ns: int) -> dict[str, Any]:
        """Returns the state, the age of the copy and counts of the follower."""
        follower = self.follower
        age_ms = follower.table_age_ms(now_ns)
        age_class = (
            "none"
            if age_ms is None
            else next(
                (
                    str(limit_ms)
                    for limit_ms in (1000, 2000, 3000, 6000, 60_000)
                    if age_ms <= limit_ms
                ),
                "more",
            )
        )
        return {
            **copy_facts(self.replica, age_ms),
            f"state {follower.state.name.lower()}": 1,
            f"age under {age_class}": 1,
            "dropped": follower.counts.dropped,
            "refused": sum(follower.counts.refused.values()),
            "pulls": follower.counts.pulls,
            "syncs": follower.counts.syncs,
            "moves": follower.counts.moves,
        }

    def take_events(self, now_ns: int) -> Iterable[list[Any]]:
        """Returns and removes what the copy recorded."""
        seen, self.replica.seen = self.replica.seen, []
        return seen


class InterruptibleStore:
    """A store that can be made unreachable.

    A call fails if the store is unreachable when it begins or when it ends.
    """

    def __init__(self, store: SqliteChangeStore) -> None:
        self.store, self.is_away = store, False

    def __getattr__(self, name: str) -> Callable[..., Awaitable[Any]]:
        async def call(*arguments: Any) -> Any:
            if self.is_away and name != "close":
                raise StoreUnavailableError("cut off")
            result = await getattr(self.store, name)(*arguments)
            if self.is_away and name != "close":
                raise StoreUnavailableError("cut off")
            return result

        return call


class HostEndpoint:
    """Endpoint of a control machine that sends through the host process instead of a socket."""

    address = ""

    def __init__(self, out: deque[Any]) -> None:
        self.out, self.unsent = out, 0
        self.on_flush: Callable[[], None] = lambda: None

    async def open(self) -> None:
        """Has nothing to open."""

    def flush(self, out: deque[Any]) -> None:
        """Passes all datagrams to the host process."""
        self.out.extend(out)
        out.clear()
        self.on_flush()

    def log_refusals(self, now_s: int, refusals: deque[Any]) -> None:
        """Drops refusals without logging them."""
        refusals.clear()

    def close(self) -> None:
        """Has nothing to close."""


class StoppableControlNode(ControlNode):
    """A control node that keeps its tasks, so that it can be killed."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.tasks: list[asyncio.Task[Any] | None] = []

    async def tick_forever(self) -> None:
        """Keeps the task that ticks."""
        self.tasks.append(asyncio.current_task())
        await super().tick_forever()

    async def follow_store(self, store_follower: StoreFollower) -> None:
        """Keeps the task that follows the store."""
        self.tasks.append(asyncio.current_task())
        await super().follow_store(store_follower)


class ControlCore:
    """Core of a control machine: the whole control node except its socket."""

    def __init__(
        self,
        place: Place,
        address: str,
        incarnation: int,
        settings: dict[str, Any],
        random: Random,
        now_ns: int,
    ) -> None:
        sealing_keys = KeyFile(Path(settings["key_file"]), lambda: keys(settings)[0], "seals")
        signing_keys = KeyFile(
            Path(settings["signing_key_file"]), lambda: keys(settings)[1], "signing"
        )
        self.store = InterruptibleStore(SqliteChangeStore(Path(settings["store"])))
        self.out: deque[Any] = deque()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as unused_socket:
            self.control = StoppableControlNode(
                place.name,
                f"r{place.region}",
                unused_socket,
                sealing_keys,
                signing_keys,
                ReplicationSettings(**settings.get("terms", {})),
                upstreams(settings),
                self.store,
                None,
                random.getrandbits(32),
            )
        self.endpoint = self.control.endpoint = HostEndpoint(self.out)  # type: ignore[assignment]
        self.task = asyncio.get_running_loop().create_task(self.control.run())

    def tick(self, now_ns: int) -> None:
        """Does nothing, because a control node ticks by itself."""

    def receive(self, now_ns: int, data: bytes, source: tuple[str, int]) -> None:
        """Handles a datagram of a follower or a peer."""
        self.control.receive(data, source)

    def leave(self, now_ns: int) -> None:
        """Drains the followers to other sources."""
        self.control.source.drain()
        self.control.flush()

    def resume(self, now_ns: int) -> None:
        """Needs nothing after a pause."""

    def close(self) -> None:
        """Cancels the tasks and closes the store without sending anything."""
        self.endpoint.on_flush = lambda: None
        for task in (self.task, *self.control.tasks):
            if task is not None:
                task.cancel()
        asyncio.get_running_loop().create_task(self.store.store.close())

    def apply_order(self, message: dict[str, Any]) -> None:
        """Sets whether the store is unreachable, by `away`."""
        self.store.is_away = bool(message.get("away", self.store.is_away))

    def facts(self, now_ns: int) -> dict[str, Any]:
        """Returns the figures of the copy and counts of the source."""
        control, counts = self.control, self.control.source.counts
        return {
            **copy_facts(control.replica, control.table_age_ms(now_ns)),
            "followers": len(control.source.followers),
            "pushed": counts.pushed,
            "pulled": counts.pulled,
            "pages": counts.pages,
            "redirects": counts.redirects,
            "differing": counts.differing,
            "dropped": counts.dropped,
            "refused": sum(counts.refused.values()),
            "held_back": counts.held_back,
            "peers": int(control.follower is not None),
            "broken": control.counts.broken,
            "renewals": control.counts.renewals,
            "loads": control.counts.loads,
        }

    def take_events(self, now_ns: int) -> Iterable[list[Any]]:
        """Returns no events, because the followers show whether the copy is right."""
        return ()
