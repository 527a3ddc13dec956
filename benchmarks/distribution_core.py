"""Measures the processor time of followers and of their source, without sockets.

    PYTHONPATH=.:tests python benchmarks/distribution_core.py

Prints the processor time of a follower and its share of the source's without changes, with a change,
with a push, and with the sync of a new follower. Then prints, from a network in simulated time, the
datagrams and bytes of a follower, and the longest time from the store until a change is in force
everywhere. Processor time is that of this process only; a busy machine makes it longer.
"""

from random import Random
from time import process_time

import msgpack
from simulated_distribution import SEALING_KEY, SIGNING_KEY, numbered_value
from test_distribution_core import (
    ADDRESS,
    INCARNATION,
    NOW_NS,
    empty_replica,
    measure_follower_traffic,
    measure_propagation_s,
)

from burlloom.distribution import (
    ConfigItem,
    ConfigTable,
    Follower,
    Replica,
    ReplicationSettings,
    Source,
    Upstream,
    propose,
)
from burlloom.time_units import NS_PER_SECOND

FOLLOWERS, IDLE_SECONDS, CHANGES, SYNC_ENTRIES = 300, 20, 20, 100_000


class FollowedSource:
    """A source and its followers, connected directly.

    Attributes:
        source_s: The processor time of the source in seconds.
        followers_s: The processor time of all followers in seconds.
        longest_datagram_s: The longest processor time of a datagram at a follower in seconds.

    Args:
        entries: The number of tenants in the source's table.
        followers: The number of followers.
        settings: The settings of the source and of its followers.
    """

    def __init__(self, entries: int, followers: int, settings: ReplicationSettings) -> None:
        replica = empty_replica(None)
        for first in range(0, entries, 64):
            replica.table.put(
                [
                    ConfigItem("", "tenant", f"tenant-{index:06}", numbered_value(index))
                    for index in range(first, min(entries, first + 64))
                ]
            )
        self.source = Source(
            replica,
            "source",
            INCARNATION,
            (SEALING_KEY,),
            settings,
            Random(1),
            NOW_NS,
            lambda now: 0,
        )
        self.followers = [
            Follower(
                Replica(ConfigTable(("", "a")), [SIGNING_KEY]),
                f"s{index}",
                INCARNATION,
                "a",
                [Upstream("source", "a", ADDRESS)],
                (SEALING_KEY,),
                settings,
                Random(index),
                NOW_NS,
            )
            for index in range(followers)
        ]
        self.source_s = self.followers_s = self.longest_datagram_s = 0.0

    def tick(self, now_ns: int) -> None:
        """Ticks the followers, which is timed, and the source, which is not."""
        started_at_s = process_time()
        for follower in self.followers:
            follower.tick(now_ns)
        self.followers_s += process_time() - started_at_s
        self.source.tick(now_ns)

    def exchange(self, now_ns: int) -> None:
        """Delivers datagrams in both directions until none is left."""
        busy = True
        while busy:
            busy = False
            for index, follower in enumerate(self.followers):
                while follower.outbox:
                    data, started_at_s, busy = follower.outbox.popleft()[1], process_time(), True
                    self.source.receive(now_ns, data, (str(index), 1))
                    self.source_s += process_time() - started_at_s
            while self.source.outbox:
                (name, _), data = self.source.outbox.popleft()
                started_at_s, busy = process_time(), True
                self.followers[int(name)].receive(now_ns, data, ADDRESS)
                spent_s = process_time() - started_at_s
                self.followers_s, self.longest_datagram_s = (
                    self.followers_s + spent_s,
                    max(self.longest_datagram_s, spent_s),
                )


def main() -> None:
    """Runs all measurements, and prints their results."""
    fleet, now_ns = FollowedSource(200, FOLLOWERS, ReplicationSettings()), NOW_NS
    while any(follower.replica.head is None for follower in fleet.followers):
        fleet.tick(now_ns)
        fleet.exchange(now_ns)
        now_ns += NS_PER_SECOND
    fleet.source_s = fleet.followers_s = 0.0
    for _ in range(10 * IDLE_SECONDS):
        fleet.tick(now_ns)
        fleet.exchange(now_ns)
        now_ns += NS_PER_SECOND // 10
    ms_each = 1000 / FOLLOWERS
    print(
        f"at rest, ms a second: a follower {fleet.followers_s * ms_each / IDLE_SECONDS:.3f}, its source for it {fleet.source_s * ms_each / IDLE_SECONDS:.3f}"
    )
    for size in (1, 8):
        fleet.followers_s, push_s = 0.0, 0.0
        for number in range(CHANGES):
            head = fleet.source.replica.head
            assert head is not None
            entries = [
                ConfigItem(
                    "", "tenant", f"t{number * 9 + at}", msgpack.packb({"n": number, "x": "y" * 90})
                )
                for at in range(size)
            ]
            assert (
                fleet.source.replica.apply_change(propose(head, "", entries, 1, SIGNING_KEY))
                is None
            )
            started_at_s = process_time()
            fleet.source.push_changes(now_ns)
            push_s += process_time() - started_at_s
            fleet.exchange(now_ns)
        print(
            f"a change of {size}: {fleet.followers_s * ms_each / CHANGES:.3f} ms at a follower, pushed in {push_s * 1000 * ms_each / CHANGES:.2f} us to one"
        )
    newcomer = FollowedSource(
        SYNC_ENTRIES, 1, ReplicationSettings(page_bytes_per_s=10**9, page_burst_bytes=10**9)
    )
    newcomer.tick(NOW_NS)
    newcomer.exchange(NOW_NS)
    counts = newcomer.followers[0].counts
    print(
        f"a newcomer to {SYNC_ENTRIES} entries: {newcomer.followers_s:.2f} s, its source {newcomer.source_s:.2f} s, {counts.pages} pages, "
        f"{counts.received_bytes} bytes, the longest datagram {newcomer.longest_datagram_s * 1000:.2f} ms"
    )
    for rate in (0, 0.4, 4):
        sent, sent_bytes, heard, heard_bytes = measure_follower_traffic(rate)
        print(
            f"{rate} changes a second of 300 bytes: sent {sent:.1f} of {sent_bytes:.0f} bytes, heard {heard:.1f} of {heard_bytes:.0f}"
        )
    for rate in (0.4, 4.0):
        direct_s, relayed_s = (
            [measure_propagation_s(rate, seed, 0) for seed in range(8)],
            [measure_propagation_s(rate, seed, 3) for seed in range(4)],
        )
        print(
            f"{rate} changes a second, s until in force everywhere at worst: {max(direct_s):.2f}, below relays {max(relayed_s):.2f}",
            flush=True,
        )


if __name__ == "__main__":
    main()
