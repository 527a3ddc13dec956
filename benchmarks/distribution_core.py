"""Processor time of following and of being followed, without sockets; and what a network in
simulated time carries.

    PYTHONPATH=.:tests python benchmarks/distribution_core.py

Prints: one follower and its share of a source at rest, a change, a push, a newcomer's sync; a
follower's datagrams and bytes; the longest from the store to in force everywhere. Processor time of
this process only; a busy machine makes it longer.
"""

from random import Random
from time import process_time

import msgpack
from simulated_distribution import NS_PER_SECOND, SEALING_KEY, SIGNING_KEY, numbered_value
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

FOLLOWERS, BEATS, CHANGES, NEWCOMERS_ENTRIES = 300, 20, 20, 100_000


class Pair:
    """One source and its followers; what each side spent, s."""

    def __init__(self, entries: int, followers: int, terms: ReplicationSettings) -> None:
        replica = empty_replica(None)
        for at in range(0, entries, 64):
            replica.table.put(
                [
                    ConfigItem("", "tenant", f"tenant-{one:06}", numbered_value(one))
                    for one in range(at, min(entries, at + 64))
                ]
            )
        self.source = Source(
            replica, "source", INCARNATION, (SEALING_KEY,), terms, Random(1), NOW_NS, lambda now: 0
        )
        self.followers = [
            Follower(
                Replica(ConfigTable(("", "a")), [SIGNING_KEY]),
                f"s{at}",
                INCARNATION,
                "a",
                [Upstream("source", "a", ADDRESS)],
                (SEALING_KEY,),
                terms,
                Random(at),
                NOW_NS,
            )
            for at in range(followers)
        ]
        self.above = self.below = self.worst = 0.0

    def tick(self, now: int) -> None:
        begun = process_time()
        for one in self.followers:
            one.tick(now)
        self.below += process_time() - begun
        self.source.tick(now)

    def exchange(self, now: int) -> None:
        busy = True
        while busy:
            busy = False
            for at, one in enumerate(self.followers):
                while one.outbox:
                    data, begun, busy = one.outbox.popleft()[1], process_time(), True
                    self.source.receive(now, data, (str(at), 1))
                    self.above += process_time() - begun
            while self.source.outbox:
                (name, _), data = self.source.outbox.popleft()
                begun, busy = process_time(), True
                self.followers[int(name)].receive(now, data, ADDRESS)
                spent = process_time() - begun
                self.below, self.worst = self.below + spent, max(self.worst, spent)


def main() -> None:
    pair, now = Pair(200, FOLLOWERS, ReplicationSettings()), NOW_NS
    while any(one.replica.head is None for one in pair.followers):
        pair.tick(now)
        pair.exchange(now)
        now += NS_PER_SECOND
    pair.above = pair.below = 0.0
    for _ in range(10 * BEATS):
        pair.tick(now)
        pair.exchange(now)
        now += NS_PER_SECOND // 10
    each = 1000 / FOLLOWERS
    print(
        f"at rest, ms a second: a follower {pair.below * each / BEATS:.3f}, its source for it {pair.above * each / BEATS:.3f}"
    )
    for size in (1, 8):
        pair.below, push = 0.0, 0.0
        for number in range(CHANGES):
            head = pair.source.replica.head
            assert head is not None
            entries = [
                ConfigItem(
                    "", "tenant", f"t{number * 9 + at}", msgpack.packb({"n": number, "x": "y" * 90})
                )
                for at in range(size)
            ]
            assert (
                pair.source.replica.apply_change(propose(head, "", entries, 1, SIGNING_KEY)) is None
            )
            begun = process_time()
            pair.source.push_changes(now)
            push += process_time() - begun
            pair.exchange(now)
        print(
            f"a change of {size}: {pair.below * each / CHANGES:.3f} ms at a follower, pushed in {push * 1000 * each / CHANGES:.2f} us to one"
        )
    newcomer = Pair(
        NEWCOMERS_ENTRIES, 1, ReplicationSettings(page_bytes_per_s=10**9, page_burst_bytes=10**9)
    )
    newcomer.tick(NOW_NS)
    newcomer.exchange(NOW_NS)
    counts = newcomer.followers[0].counts
    print(
        f"a newcomer to {NEWCOMERS_ENTRIES} entries: {newcomer.below:.2f} s, its source {newcomer.above:.2f} s, {counts.pages} pages, "
        f"{counts.received_bytes} bytes, the longest datagram {newcomer.worst * 1000:.2f} ms"
    )
    for rate in (0, 0.4, 4):
        sent, sent_bytes, heard, heard_bytes = measure_follower_traffic(rate)
        print(
            f"{rate} changes a second of 300 bytes: sent {sent:.1f} of {sent_bytes:.0f} bytes, heard {heard:.1f} of {heard_bytes:.0f}"
        )
    for rate in (0.4, 4.0):
        direct, below = (
            [measure_propagation_s(rate, seed, 0) for seed in range(8)],
            [measure_propagation_s(rate, seed, 3) for seed in range(4)],
        )
        print(
            f"{rate} changes a second, s until in force everywhere at worst: {max(direct):.2f}, below relays {max(below):.2f}",
            flush=True,
        )


if __name__ == "__main__":
    main()
