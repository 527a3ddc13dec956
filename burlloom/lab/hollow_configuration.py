"""Hollow servers that follow configuration, and control machines that are followed, with the real
cores.

What each copy takes is told to the checker as it is seen from outside of it: the revision and a
digest of the change's body that is not the program's own.
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

PAGE = 32_768  # bytes, when the contents are read for the checker


def clock() -> int:
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


def digest_of(body: bytes | None) -> str:
    """As the checker's side makes it of what it put."""
    return hashlib.sha256(body).hexdigest()[:16] if body is not None else ""


class Witnessed(Replica):
    """A copy, and what it took in which order."""

    def __init__(self, table: ConfigTable, keys: tuple[bytes, ...]) -> None:
        super().__init__(table, keys)
        self.seen: list[list[Any]] = []

    def apply_change(self, change: Change) -> str | None:
        reason = super().apply_change(change)
        if reason is None:
            self.seen.append(
                [clock(), "applied", change.epoch, change.revision, digest_of(change.body)]
            )
        return reason

    def complete_at(self, head: Head) -> None:
        super().complete_at(head)
        self.seen.append([clock(), "synced", head.epoch, head.revision])

    def contents(self) -> str:
        """A digest of all that is in force, in an order that is not the table's."""
        texts = []
        for bucket in range(BUCKET_COUNT):
            after = None
            while True:
                page = self.table.page(bucket, after, self.table.scopes, PAGE)
                texts += [
                    msgpack.packb([entry.scope, entry.kind, entry.key, entry.value])
                    for entry in page.items
                ]
                after = page.last_position
                if page.is_last:
                    break
        whole = hashlib.sha256()
        for text in sorted(texts):
            whole.update(len(text).to_bytes(4, "big") + text)
        return whole.hexdigest()[:32]


def upstreams(told: dict[str, Any]) -> list[Upstream]:
    return [Upstream(name, region, (host, port)) for name, region, host, port in told["upstreams"]]


def keys(told: dict[str, Any]) -> tuple[tuple[bytes, ...], tuple[bytes, ...]]:
    return (bytes.fromhex(told["key"]),), (bytes.fromhex(told["signing_key"]),)


def copy_facts(replica: Replica, age: int | None) -> dict[str, Any]:
    head = replica.head
    return {
        f"revision {head.revision if head else -1}": 1,
        "whole": int(replica.is_complete),
        "age_ms": age or 0,
        "ageless": int(age is None),
    }


class Following:
    """A server's side."""

    def __init__(
        self, own: Place, address: str, life: int, told: dict[str, Any], chance: Random, now: int
    ) -> None:
        region = f"r{own.region}"
        self.replica = Witnessed(ConfigTable(("", region)), keys(told)[1])
        self.follower = Follower(
            self.replica,
            own.name,
            life,
            region,
            upstreams(told),
            keys(told)[0],
            ReplicationSettings(**told.get("terms", {})),
            chance,
            now,
        )
        self.out: deque[Any] = self.follower.outbox
        self.group = region

    def tick(self, now: int) -> None:
        self.follower.tick(now)

    def hear(self, now: int, data: bytes, source: tuple[str, int]) -> None:
        self.follower.receive(now, data, source)

    def leave(self, now: int) -> None:
        self.follower.leave()

    def woke(self, now: int) -> None:
        pass

    def close(self) -> None:
        pass

    def told(self, message: dict[str, Any]) -> None:
        if message.get("contents"):
            self.replica.seen.append([clock(), "holds", self.group, self.replica.contents()])

    def facts(self, now: int) -> dict[str, Any]:
        follower = self.follower
        age = follower.table_age_ms(now)
        bin_of_age = (
            "none"
            if age is None
            else next(
                (str(most) for most in (1000, 2000, 3000, 6000, 60_000) if age <= most), "more"
            )
        )
        return {
            **copy_facts(self.replica, age),
            f"state {follower.state.name.lower()}": 1,
            f"age under {bin_of_age}": 1,
            "dropped": follower.counts.dropped,
            "refused": sum(follower.counts.refused.values()),
            "pulls": follower.counts.pulls,
            "syncs": follower.counts.syncs,
            "moves": follower.counts.moves,
        }

    def events(self, now: int) -> Iterable[list[Any]]:
        seen, self.replica.seen = self.replica.seen, []
        return seen


class Reach:
    """The store, as long as it can be reached."""

    def __init__(self, store: SqliteChangeStore) -> None:
        self.store, self.away = store, False

    def __getattr__(self, name: str) -> Callable[..., Awaitable[Any]]:
        async def asked(*told: Any) -> Any:
            if self.away and name != "close":
                raise StoreUnavailableError("cut off")
            found = await getattr(self.store, name)(*told)
            if self.away and name != "close":
                raise StoreUnavailableError("cut off")
            return found

        return asked


class Gate:
    """In place of a control machine's endpoint: what it sends goes out by the host."""

    address = ""

    def __init__(self, out: deque[Any]) -> None:
        self.out, self.unsent = out, 0
        self.flushes: Callable[[], None] = lambda: None

    async def open(self) -> None:
        pass

    def flush(self, out: deque[Any]) -> None:
        self.out.extend(out)
        out.clear()
        self.flushes()

    def tell_refusals(self, now_s: int, refusals: deque[Any]) -> None:
        refusals.clear()

    def close(self) -> None:
        pass


class Machine(ControlNode):
    """Can be killed: its tasks are known."""

    def __init__(self, *told: Any) -> None:
        super().__init__(*told)
        self.tasks: list[asyncio.Task[Any] | None] = []

    async def tick_forever(self) -> None:
        self.tasks.append(asyncio.current_task())
        await super().tick_forever()

    async def follow_store(self, reading: StoreFollower) -> None:
        self.tasks.append(asyncio.current_task())
        await super().follow_store(reading)


class Controlling:
    """A control machine, whole, but for its socket."""

    def __init__(
        self, own: Place, address: str, life: int, told: dict[str, Any], chance: Random, now: int
    ) -> None:
        seals = KeyFile(Path(told["key_file"]), lambda: keys(told)[0], "seals")
        signing = KeyFile(Path(told["signing_key_file"]), lambda: keys(told)[1], "signing")
        self.store = Reach(SqliteChangeStore(Path(told["store"])))
        self.out: deque[Any] = deque()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as nowhere:
            self.control = Machine(
                own.name,
                f"r{own.region}",
                nowhere,
                seals,
                signing,
                ReplicationSettings(**told.get("terms", {})),
                upstreams(told),
                self.store,
                None,
                chance.getrandbits(32),
            )
        self.gate = self.control.endpoint = Gate(self.out)  # type: ignore[assignment]
        self.task = asyncio.get_running_loop().create_task(self.control.run())

    def tick(self, now: int) -> None:
        pass  # it does so by itself

    def hear(self, now: int, data: bytes, source: tuple[str, int]) -> None:
        self.control.receive(data, source)

    def leave(self, now: int) -> None:
        self.control.source.drain()
        self.control.flush()

    def woke(self, now: int) -> None:
        pass

    def close(self) -> None:
        self.gate.flushes = lambda: None
        for task in (self.task, *self.control.tasks):
            if task is not None:
                task.cancel()
        asyncio.get_running_loop().create_task(self.store.store.close())

    def told(self, message: dict[str, Any]) -> None:
        """`away`: whether the store can't be reached."""
        self.store.away = bool(message.get("away", self.store.away))

    def facts(self, now: int) -> dict[str, Any]:
        control, counts = self.control, self.control.source.counts
        return {
            **copy_facts(control.replica, control.table_age_ms(now)),
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

    def events(self, now: int) -> Iterable[list[Any]]:
        return ()  # its followers tell whether what it took is right
