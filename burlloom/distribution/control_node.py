"""A control machine or a relay as a process: follows the store or its peers, and is followed."""

import asyncio
import logging
import socket
import time
from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from ..time_units import NS_PER_MS, NS_PER_SECOND
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

TICK_S = 0.05  # between two runs of the timers
POLL_INTERVAL_S = 0.2  # between two polls of the store
STORE_TIMEOUT_NS = 1500 * NS_PER_MS  # without a successful poll, after which peers are followed
MAX_RETRY_DELAY_S = 2.0  # between two polls of an unavailable store
INCONSISTENCY_LOG_INTERVAL_NS = 30 * NS_PER_SECOND  # between log lines about an inconsistent store
LEAVE_DELAY_S = 0.05  # between the last datagrams and the closing of the socket


def boot_clock_ns() -> int:
    """Returns the boot clock in ns, which is never adjusted and includes suspended time."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


@dataclass(slots=True)
class StoreCounters:
    """Counters about the store, for metrics and the state file.

    Attributes:
        reads: Successful polls.
        away: Polls that failed because the store was unavailable.
        broken: Polls that failed because the store was inconsistent.
        loads: Loads of the whole table.
        renewals: Epochs begun because the store had been restored.
    """

    reads: int = 0
    away: int = 0
    broken: int = 0
    loads: int = 0
    renewals: int = 0


class ControlNode:
    """A control machine or a relay.

    A control machine has a store and follows `upstreams` only while the store is unavailable. A
    relay has none and always follows `upstreams`.

    Args:
        name: The process's name; an upstream with the same name is left out.
        region: The process's region.
        sock: Bound, non-blocking UDP socket.
        seal_keys: Keys that seal messages.
        signing_keys: Keys that sign changes.
        settings: Intervals, timeouts and limits.
        upstreams: Peers that may be followed.
        store: The store of changes; None for a relay.
        state_file: Path of the state file; None for none.
        seed: Seed of all random draws; None for a random one.
    """

    def __init__(
        self,
        name: str,
        region: str,
        sock: socket.socket,
        seal_keys: KeyFile,
        signing_keys: KeyFile,
        settings: ReplicationSettings,
        upstreams: Iterable[Upstream],
        store: ChangeStore | None,
        state_file: str | None = None,
        seed: int | None = None,
    ) -> None:
        self.name, self.region, self.seal_keys, self.signing_keys, self.settings = (
            name,
            region,
            seal_keys,
            signing_keys,
            settings,
        )
        self.upstreams = [upstream for upstream in upstreams if upstream.name != name]
        self.store, self.state_file = store, state_file
        self.random = Random(seed)
        self.counts = StoreCounters()
        self.incarnation, now_ns = time.time_ns() // NS_PER_MS, boot_clock_ns()
        self.replica = Replica(ConfigTable(None), signing_keys.keys)
        self.source = Source(
            self.replica,
            name,
            self.incarnation,
            seal_keys.keys,
            settings,
            self.random,
            now_ns,
            self.table_age_ms,
        )
        self.follower: Follower | None = None
        self.store_follower = (
            StoreFollower(store, self.replica, lambda: ConfigTable(None), self)
            if store is not None
            else None
        )
        self.endpoint = Endpoint(sock, self.receive)
        self.head_logger = HeadLogger(self.replica)
        self.started_at = now_ns
        self.store_read_at: int | None = None  # start of the last successful poll, in ns
        self.store_error = ""
        self.inconsistency_logged_at = -INCONSISTENCY_LOG_INTERVAL_NS
        self.status_reported_at = 0
        self.stopping = asyncio.Event()

    def table_age_ms(self, now_ns: int) -> int | None:
        """Returns the ms since the table was last confirmed as the newest; None if it never was."""
        ages_ms = (
            [] if self.store_read_at is None else [max(0, now_ns - self.store_read_at) // NS_PER_MS]
        )
        followed_age_ms = self.follower.table_age_ms(now_ns) if self.follower is not None else None
        return min(
            [*ages_ms, *([] if followed_age_ms is None else [followed_age_ms])], default=None
        )

    async def run(self) -> None:
        """Serves until `stop` is called, then redirects all followers and closes."""
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
        self.report_status(boot_clock_ns())
        self.endpoint.close()
        if self.store is not None:
            await self.store.close()
        log.info("event=control_node_stopped name=%s", self.name)

    def stop(self) -> None:
        """Makes `run` end; may be called from a signal handler of the event loop."""
        self.stopping.set()

    # Following the store.

    async def follow_store(self, store_follower: StoreFollower) -> None:
        """Polls the store until cancelled; failures are retried with backoff."""
        retry_delay_s = POLL_INTERVAL_S
        while True:
            poll_started_at = boot_clock_ns()
            try:
                await store_follower.poll()
                self.store_read_at, retry_delay_s = poll_started_at, POLL_INTERVAL_S
                self.counts.reads += 1
                if self.store_error:
                    log.warning("event=config_store_available")
                    self.store_error = ""
                self.source.push_changes(boot_clock_ns())
                self.flush()
            except StoreUnavailableError as error:
                self.counts.away += 1
                if not self.store_error:
                    log.warning("event=config_store_unavailable detail=%r", str(error))
                self.store_error = str(error) or "away"
                # The store is opened again, since its file may have been replaced and may lack the
                # tables.
                store_follower.is_open, retry_delay_s = (
                    False,
                    min(MAX_RETRY_DELAY_S, 2 * retry_delay_s),
                )
            except StoreInconsistentError as error:
                self.counts.broken += 1
                if poll_started_at - self.inconsistency_logged_at >= INCONSISTENCY_LOG_INTERVAL_NS:
                    self.inconsistency_logged_at = poll_started_at
                    log.error("event=config_store_inconsistent detail=%r", str(error))
                retry_delay_s = MAX_RETRY_DELAY_S
            except Exception:
                log.exception("event=internal_error side=config_store")
                retry_delay_s = MAX_RETRY_DELAY_S
            await asyncio.sleep(retry_delay_s)

    def on_table_loaded(self, head: Head) -> None:
        """Counts and logs a load of the whole table from the store."""
        self.counts.loads += 1
        log.info("event=config_table_loaded epoch=%d revision=%d", head.epoch, head.revision)

    def on_epoch_begun(self, store_head: Head, own_head: Head) -> None:
        """Counts and logs that a new epoch was begun because the store had been restored."""
        self.counts.renewals += 1
        log.warning(
            "event=config_epoch_begun was=%d store_had=%d we_had=%d"
            " detail='the store was restored to an earlier state'",
            store_head.epoch,
            store_head.revision,
            own_head.revision,
        )

    # Timers and datagrams.

    async def tick_forever(self) -> None:
        """Calls `tick` with pauses of `TICK_S` seconds until cancelled; errors are logged."""
        while True:
            try:
                self.tick()
            except Exception:
                log.exception("event=internal_error side=distribution")
            await asyncio.sleep(TICK_S)

    def tick(self) -> None:
        """Chooses between store and peers, runs all timers, and reports once a second."""
        now_ns = boot_clock_ns()
        self.choose_store_or_peers(now_ns)
        if self.follower is not None:
            self.follower.tick(now_ns)
        self.source.tick(now_ns)
        self.flush()
        self.head_logger.log_moves()
        if now_ns - self.status_reported_at >= NS_PER_SECOND:
            self.status_reported_at = now_ns
            self.report_status(now_ns)

    def choose_store_or_peers(self, now_ns: int) -> None:
        """Follows peers if there is no store or it has timed out; stops once polls succeed."""
        last_read_at = self.store_read_at if self.store_read_at is not None else self.started_at
        should_follow_peers = bool(self.upstreams) and (
            self.store is None or now_ns - last_read_at > STORE_TIMEOUT_NS
        )
        if should_follow_peers and self.follower is None:
            # Each follower gets an incarnation of its own, since its message numbers start again.
            self.incarnation = max(self.incarnation + 1, time.time_ns() // NS_PER_MS)
            self.follower = Follower(
                self.replica,
                self.name,
                self.incarnation,
                self.region,
                self.upstreams,
                self.seal_keys.keys,
                self.settings,
                self.random,
                now_ns,
            )
            log.info("event=control_node_follows_peers peers=%d", len(self.upstreams))
        elif not should_follow_peers and self.follower is not None:
            self.follower.leave()
            self.endpoint.flush(self.follower.outbox)
            self.follower = None
            log.info("event=control_node_follows_store")

    def receive(self, data: bytes, source: tuple[str, int]) -> None:
        """Passes a datagram to the source or the follower, by its kind."""
        now_ns = boot_clock_ns()
        if is_for_source(data):
            self.source.receive(now_ns, data, source)
        elif self.follower is not None:
            self.follower.receive(now_ns, data, source)
            self.source.push_changes(now_ns)
        self.flush()

    def flush(self) -> None:
        """Sends all datagrams in the outboxes of the source and the follower."""
        self.endpoint.flush(self.source.outbox)
        if self.follower is not None:
            self.endpoint.flush(self.follower.outbox)

    # Reports, once a second.

    def report_status(self, now_ns: int) -> None:
        """Reloads changed key files, logs refused messages and writes the state file."""
        if self.seal_keys.reload_if_changed():
            self.source.keys = self.seal_keys.keys
            if self.follower is not None:
                self.follower.keys = self.seal_keys.keys
        if self.signing_keys.reload_if_changed():
            self.replica.keys = self.signing_keys.keys
        self.endpoint.log_refusals(now_ns // NS_PER_SECOND, self.source.refusals)
        if self.follower is not None:
            self.endpoint.log_refusals(now_ns // NS_PER_SECOND, self.follower.refusals)
        if self.state_file is not None:
            write_state(self.state_file, self.summary(now_ns))

    def lowest_follower(self) -> tuple[int | None, int]:
        """Returns the followers' lowest revision, and the ms since the next change was proposed.

        A follower at another epoch counts as revision 0. The time is 0 if all followers have the
        latest revision. Without followers the result is (None, 0).
        """
        head = self.replica.head
        if head is None or not self.source.followers:
            return None, 0
        lowest = min(
            lease.revision if lease.epoch == head.epoch else 0
            for lease in self.source.followers.values()
        )
        missing_changes = self.replica.log.changes_since(lowest, 1)
        if lowest >= head.revision:
            return lowest, 0
        missing_since_ms = missing_changes[0].time_ms if missing_changes else head.time_ms
        return lowest, max(0, time.time_ns() // NS_PER_MS - missing_since_ms)

    def summary(self, now_ns: int) -> dict[str, object]:
        """Returns the content of the state file, as plain values."""
        lowest, lacking_ms = self.lowest_follower()
        return {
            "told_at": time.time_ns(),
            "role": "control" if self.store is not None else "relay",
            "region": self.region,
            "address": self.endpoint.address,
            **source_summary(self.source, now_ns),
            **replica_summary(self.replica),
            "lowest_revision": lowest,
            "lacking_ms": lacking_ms,
            "store_away": self.store_error,
            "store": {name: getattr(self.counts, name) for name in StoreCounters.__slots__},
            "follows": follower_summary(self.follower, now_ns)
            if self.follower is not None
            else None,
        }

    def metrics(self) -> dict[str, int]:
        """Returns the counters for metrics, by name."""
        counts = self.source.counts
        return {
            **counts.exported(),
            "refused": sum(counts.refused.values()),
            "unsent": self.endpoint.dropped,
            **{f"store_{name}": getattr(self.counts, name) for name in StoreCounters.__slots__},
        }

    def gauges(self) -> dict[str, float]:
        """Returns the gauges for metrics, by name.

        The age is NaN if the table was never confirmed as the newest, the lowest revision is NaN
        without followers.
        """
        head, age_ms = self.replica.head, self.table_age_ms(boot_clock_ns())
        lowest, lacking_ms = self.lowest_follower()
        return {
            "epoch": float(head.epoch) if head else 0.0,
            "revision": float(head.revision) if head else 0.0,
            "age_seconds": age_ms / 1000 if age_ms is not None else float("nan"),
            "followers": float(len(self.source.followers)),
            "store_away_now": float(bool(self.store_error)),
            "follows_peers": float(self.follower is not None),
            "lacking_seconds": lacking_ms / 1000,
            "lowest_revision": float(lowest) if lowest is not None else float("nan"),
            "tenants": float(self.replica.table.count("tenant")),
            "routes": float(self.replica.table.count("route")),
        }
