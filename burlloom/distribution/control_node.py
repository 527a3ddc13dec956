"""A control machine or a relay: follows the store, or its peers, and is followed."""

import asyncio
import logging
import socket
import time
from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from .changes import Head
from .codec import is_for_source
from .endpoint import Endpoint
from .follower import Follower
from .follower import summary as follower_summary
from .replica import Replica
from .settings import ReplicationSettings
from .source import Source
from .source import summary as source_summary
from .status_report import HeadLogger, KeyFile, replica_summary, write_state
from .stores import ChangeStore, StoreUnavailableError
from .stores.store_follower import StoreFollower, StoreInconsistentError
from .table import ConfigTable
from .upstreams import Upstream

log = logging.getLogger(__name__)

MS, SECOND = 1_000_000, 1_000_000_000
TICK_S = 0.05  # s
POLL_INTERVAL_S = 0.2  # s between two looks at the store
STORE_TIMEOUT_NS = 1500 * MS  # of no look that worked: from then on peers are followed
MAX_RETRY_DELAY_S = 2.0  # s between two looks at a store that is away
INCONSISTENCY_LOG_INTERVAL_NS = 30 * SECOND  # between lines about a store that can't be believed
LEAVE_DELAY_S = 0.05  # s between our last word and the end of the socket


def since_start() -> int:
    """Return ns of the boot clock, which is never set and includes the machine's sleep."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


@dataclass(slots=True)
class Counts:
    """Counters for metrics."""

    reads: int = 0
    away: int = 0
    broken: int = 0
    loads: int = 0
    renewals: int = 0


class ControlNode:
    """A control machine (`store` given) or a relay (`store` None).

    A relay follows `upstreams`; a control machine does so only while its store is unavailable.
    """

    def __init__(
        self,
        name: str,
        region: str,
        sock: socket.socket,
        seals: KeyFile,
        signing: KeyFile,
        settings: ReplicationSettings,
        upstreams: Iterable[Upstream],
        store: ChangeStore | None,
        state_file: str | None = None,
        seed: int | None = None,
    ) -> None:
        self.name, self.region, self.seal_keys, self.signing_keys, self.settings = (
            name,
            region,
            seals,
            signing,
            settings,
        )
        self.upstreams = [one for one in upstreams if one.name != name]
        self.store, self.state_file = store, state_file
        self.random = Random(seed)
        self.counts = Counts()
        self.incarnation, now = time.time_ns() // MS, since_start()
        self.replica = Replica(ConfigTable(None), signing.keys)
        self.source = Source(
            self.replica, name, self.incarnation, seals.keys, settings, self.random, now, self.age
        )
        self.follower: Follower | None = None
        self.store_follower = (
            StoreFollower(store, self.replica, lambda: ConfigTable(None), self)
            if store is not None
            else None
        )
        self.endpoint = Endpoint(sock, self.receive)
        self.head_logger = HeadLogger(self.replica)
        self.began_at = now
        self.store_read_at: int | None = None  # when the last look that worked began
        self.store_error = ""
        self.inconsistency_logged_at = -INCONSISTENCY_LOG_INTERVAL_NS
        self.status_reported_at = 0
        self.stopping = asyncio.Event()

    def age(self, now: int) -> int | None:
        """Return how long ago the table was confirmed to be the newest, in ms; None if never."""
        ages = [] if self.store_read_at is None else [max(0, now - self.store_read_at) // MS]
        own_age = self.follower.age(now) if self.follower is not None else None
        return min([*ages, *([] if own_age is None else [own_age])], default=None)

    async def run(self) -> None:
        """Serve until `stop` is called, then send all followers elsewhere and close."""
        await self.endpoint.open()
        log.info(
            "event=control_node_started name=%s region=%s address=%s store=%s peers=%d",
            self.name,
            self.region,
            self.endpoint.address,
            "yes" if self.store is not None else "no",
            len(self.upstreams),
        )
        tasks = [asyncio.create_task(self.tick_forever(), name="distribution")]
        if self.store_follower is not None:
            tasks.append(asyncio.create_task(self.follow_store(self.store_follower), name="store"))
        await self.stopping.wait()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.source.drain()
        if self.follower is not None:
            self.follower.leave()
        self.flush()
        await asyncio.sleep(LEAVE_DELAY_S)
        self.report_status(since_start())
        self.endpoint.close()
        if self.store is not None:
            await self.store.close()
        log.info("event=control_node_stopped name=%s", self.name)

    def stop(self) -> None:
        """Have `run` end; safe to call from a signal handler of the loop."""
        self.stopping.set()

    # The store.

    async def follow_store(self, reading: StoreFollower) -> None:
        """Poll the store until cancelled; failures are retried with backoff."""
        wait = POLL_INTERVAL_S
        while True:
            began = since_start()
            try:
                await reading.poll()
                self.store_read_at, wait = began, POLL_INTERVAL_S
                self.counts.reads += 1
                if self.store_error:
                    log.warning("event=config_store_available")
                    self.store_error = ""
                self.source.push_changes(since_start())
                self.flush()
            except StoreUnavailableError as error:
                self.counts.away += 1
                if not self.store_error:
                    log.warning("event=config_store_unavailable detail=%r", str(error))
                self.store_error = str(error) or "away"
                # Opened anew: its file may be another's by now, its tables gone.
                reading.is_open, wait = False, min(MAX_RETRY_DELAY_S, 2 * wait)
            except StoreInconsistentError as error:
                self.counts.broken += 1
                if began - self.inconsistency_logged_at >= INCONSISTENCY_LOG_INTERVAL_NS:
                    self.inconsistency_logged_at = began
                    log.error("event=config_store_inconsistent detail=%r", str(error))
                wait = MAX_RETRY_DELAY_S
            except Exception:
                log.exception("event=internal_error side=config_store")
                wait = MAX_RETRY_DELAY_S
            await asyncio.sleep(wait)

    def on_table_loaded(self, head: Head) -> None:
        """Count and log a load of the whole table from the store."""
        self.counts.loads += 1
        log.info("event=config_table_loaded epoch=%d revision=%d", head.epoch, head.revision)

    def on_epoch_begun(self, seen: Head, own: Head) -> None:
        """Count and log that the store had been restored and a new epoch was begun."""
        self.counts.renewals += 1
        log.warning(
            "event=config_epoch_begun was=%d store_had=%d we_had=%d"
            " detail='the store was put back'",
            seen.epoch,
            seen.revision,
            own.revision,
        )

    # Datagrams.

    async def tick_forever(self) -> None:
        """Call `tick` each `TICK` seconds until cancelled."""
        while True:
            try:
                self.tick()
            except Exception:
                log.exception("event=internal_error side=distribution")
            await asyncio.sleep(TICK_S)

    def tick(self) -> None:
        """Do what is due: choose whom to follow, send what waits, report once a second."""
        now = since_start()
        self.choose_upstream(now)
        if self.follower is not None:
            self.follower.tick(now)
        self.source.tick(now)
        self.flush()
        self.head_logger.log_moves()
        if now - self.status_reported_at >= SECOND:
            self.status_reported_at = now
            self.report_status(now)

    def choose_upstream(self, now: int) -> None:
        """Follow peers while the store does not answer, else the store alone."""
        lately = self.store_read_at if self.store_read_at is not None else self.began_at
        wanted = bool(self.upstreams) and (self.store is None or now - lately > STORE_TIMEOUT_NS)
        if wanted and self.follower is None:
            # A life of its own: its numbers begin anew.
            self.incarnation = max(self.incarnation + 1, time.time_ns() // MS)
            self.follower = Follower(
                self.replica,
                self.name,
                self.incarnation,
                self.region,
                self.upstreams,
                self.seal_keys.keys,
                self.settings,
                self.random,
                now,
            )
            log.info("event=control_node_follows_peers peers=%d", len(self.upstreams))
        elif not wanted and self.follower is not None:
            self.follower.leave()
            self.endpoint.flush(self.follower.out)
            self.follower = None
            log.info("event=control_node_follows_store")

    def receive(self, data: bytes, source: tuple[str, int]) -> None:
        """Hand a datagram to the source or the follower, by its kind."""
        now = since_start()
        if is_for_source(data):
            self.source.receive(now, data, source)
        elif self.follower is not None:
            self.follower.receive(now, data, source)
            self.source.push_changes(now)
        self.flush()

    def flush(self) -> None:
        """Send all datagrams that wait in the source's and the follower's queues."""
        self.endpoint.flush(self.source.out)
        if self.follower is not None:
            self.endpoint.flush(self.follower.out)

    # Once a second.

    def report_status(self, now: int) -> None:
        """Reload the key files if they changed, log refusals, write the state file."""
        if self.seal_keys.reload_if_changed():
            self.source.keys = self.seal_keys.keys
            if self.follower is not None:
                self.follower.keys = self.seal_keys.keys
        if self.signing_keys.reload_if_changed():
            self.replica.keys = self.signing_keys.keys
        self.endpoint.log_refusals(now // SECOND, self.source.refusals)
        if self.follower is not None:
            self.endpoint.log_refusals(now // SECOND, self.follower.refusals)
        if self.state_file is not None:
            write_state(self.state_file, self.summary(now))

    def lowest_follower(self) -> tuple[int | None, int]:
        """Return the followers' lowest revision, and for how many ms they have lacked the next.

        A follower of another epoch counts as revision 0; without followers the result is None, 0.
        """
        head = self.replica.head
        if head is None or not self.source.followers:
            return None, 0
        lowest = min(
            lease.revision if lease.epoch == head.epoch else 0
            for lease in self.source.followers.values()
        )
        lacked = self.replica.log.changes_since(lowest, 1)
        if lowest >= head.revision:
            return lowest, 0
        since = lacked[0].time_ms if lacked else head.time_ms
        return lowest, max(0, time.time_ns() // MS - since)

    def summary(self, now: int) -> dict[str, object]:
        """Return the state file's content: plain values for an operator."""
        lowest, lacking = self.lowest_follower()
        return {
            "told_at": time.time_ns(),
            "role": "control" if self.store is not None else "relay",
            "region": self.region,
            "address": self.endpoint.address,
            **source_summary(self.source, now),
            **replica_summary(self.replica),
            "lowest_revision": lowest,
            "lacking_ms": lacking,
            "store_away": self.store_error,
            "store": {name: getattr(self.counts, name) for name in Counts.__slots__},
            "follows": follower_summary(self.follower, now) if self.follower is not None else None,
        }

    def metrics(self) -> dict[str, int]:
        """Return the counters that are exposed, by name."""
        counts = self.source.counts
        return {
            **counts.exported(),
            "refused": sum(counts.refused.values()),
            "unsent": self.endpoint.dropped,
            **{f"store_{name}": getattr(self.counts, name) for name in Counts.__slots__},
        }

    def gauges(self) -> dict[str, float]:
        """The age is NaN where nothing is in force."""
        head, age = self.replica.head, self.age(since_start())
        lowest, lacking = self.lowest_follower()
        return {
            "epoch": float(head.epoch) if head else 0.0,
            "revision": float(head.revision) if head else 0.0,
            "age_seconds": age / 1000 if age is not None else float("nan"),
            "followers": float(len(self.source.followers)),
            "store_away_now": float(bool(self.store_error)),
            "follows_peers": float(self.follower is not None),
            "lacking_seconds": lacking / 1000,
            "lowest_revision": float(lowest) if lowest is not None else float("nan"),
            "tenants": float(self.replica.table.count("tenant")),
            "routes": float(self.replica.table.count("route")),
        }
