"""Compares the server's table of key digests with plain structures and with that of 0.3.0.

For each structure it prints the bytes per key digest, the time in us to add and to find one, and
the longest sweep for expired ones in ms.

    python benchmarks/key_digests.py [COUNT ...]
"""

import gc
import os
import random
import sys
import time
import tracemalloc
from collections import OrderedDict
from collections.abc import Callable
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parent.parent))

from burlloom.dispatcher.idempotency_table import IdempotencyTable  # noqa: E402
from burlloom.dispatcher.key_digests import PackedKeyDigests  # noqa: E402
from burlloom.dispatcher.timer_wheel import TimerWheel  # noqa: E402
from burlloom.time_units import NS_PER_SECOND

WINDOW_NS = 18 * NS_PER_SECOND


class SweptRecords:
    """The table of 0.3.0: records by text digest in an ordered dictionary, scanned whole each second."""

    def __init__(self) -> None:
        self.entries: OrderedDict[str, Any] = OrderedDict()

    def add(self, key_digest: bytes, window_end_ns: int) -> None:
        self.entries[f"1 {key_digest.hex()} {key_digest[:9].hex()}"] = [
            0,
            window_end_ns,
            False,
            None,
            [],
        ]

    def find(self, key_digest: bytes) -> int:
        record = self.entries.get(f"1 {key_digest.hex()} {key_digest[:9].hex()}")
        return record[1] if record is not None else 0

    def expire(self, now_ns: int) -> int:
        expired = [key_digest for key_digest, record in self.entries.items() if record[1] <= now_ns]
        for key_digest in expired:
            del self.entries[key_digest]
        return len(expired)


class PlainDict:
    """A dictionary from key digest to the end of its window, scanned whole."""

    def __init__(self) -> None:
        self.entries: dict[bytes, int] = {}

    def add(self, key_digest: bytes, window_end_ns: int) -> None:
        self.entries[key_digest] = window_end_ns

    def find(self, key_digest: bytes) -> int:
        return self.entries.get(key_digest, 0)

    def expire(self, now_ns: int) -> int:
        expired = [
            key_digest
            for key_digest, window_end_ns in self.entries.items()
            if window_end_ns <= now_ns
        ]
        for key_digest in expired:
            del self.entries[key_digest]
        return len(expired)


class DictWithWheel(PlainDict):
    """The plain dictionary with a timer wheel, so that a sweep reads only what is due."""

    def __init__(self) -> None:
        super().__init__()
        self.wheel = TimerWheel()

    def add(self, key_digest: bytes, window_end_ns: int) -> None:
        self.entries[key_digest] = window_end_ns
        self.wheel.add(key_digest, window_end_ns)

    def expire(self, now_ns: int) -> int:
        expired = self.wheel.take_due(now_ns)
        for key_digest in expired:
            del self.entries[key_digest]
        return len(expired)


class Generations:
    """One dictionary for each quarter of a window, dropped whole; a lookup reads up to five."""

    def __init__(self) -> None:
        self.entries: dict[int, dict[bytes, int]] = {}

    def add(self, key_digest: bytes, window_end_ns: int) -> None:
        self.entries.setdefault(window_end_ns // (WINDOW_NS // 4), {})[key_digest] = window_end_ns

    def find(self, key_digest: bytes) -> int:
        for generation in self.entries.values():
            if key_digest in generation:
                return generation[key_digest]
        return 0

    def expire(self, now_ns: int) -> int:
        expired = [key for key in self.entries if (key + 1) * (WINDOW_NS // 4) <= now_ns]
        return sum(len(self.entries.pop(key)) for key in expired)


class ServerTable(IdempotencyTable):
    """The server's table: records by key digest with a timer wheel."""

    def __init__(self) -> None:
        super().__init__(0, 0, 16 << 20)
        self.ref = 0

    def add(self, key_digest: bytes, window_end_ns: int) -> None:
        self.ref += 1
        self.claim(key_digest, self.ref, window_end_ns)

    def find(self, key_digest: bytes) -> int:
        return self.find_original(key_digest, 0)

    def expire(self, now_ns: int) -> int:
        before = len(self.records)
        self.forget_expired(now_ns)
        return before - len(self.records)


class PackedTable:
    """The packed set that a start reads back; it expires as a whole, so a sweep does nothing."""

    def __init__(self) -> None:
        self.pairs: list[tuple[bytes, int]] = []
        self.packed = PackedKeyDigests()

    def add(self, key_digest: bytes, window_end_ns: int) -> None:
        self.pairs.append((key_digest, window_end_ns))

    def ready(self) -> None:
        self.packed, self.pairs = PackedKeyDigests(self.pairs), []

    def find(self, key_digest: bytes) -> int:
        return self.packed.window_end_ns(key_digest)

    def expire(self, now_ns: int) -> int:
        return 0


def measure(make_table: Callable[[], Any], key_digests: list[bytes]) -> dict[str, float]:
    """Measures the memory and the times of a table that holds the key digests.

    Returns:
        Memory per key digest in bytes, the mean time to add and to find one in us, and the longest
        of nineteen sweeps, one for each second of the window, in ms.
    """
    count = len(key_digests)
    tracemalloc.start()
    table = make_table()
    # Copies are own objects, as if read from a socket, so that their memory is counted too.
    copies = [bytes(bytearray(key_digest)) for key_digest in key_digests]
    for index, key_digest in enumerate(copies):
        table.add(key_digest, WINDOW_NS * index // count)
    if hasattr(table, "ready"):
        table.ready()
    del copies, key_digest
    gc.collect()
    bytes_each = tracemalloc.get_traced_memory()[0] / count
    tracemalloc.stop()
    del table
    gc.collect()
    table, started_at_s = make_table(), time.perf_counter()
    for index, key_digest in enumerate(key_digests):
        table.add(key_digest, WINDOW_NS * index // count)
    if hasattr(table, "ready"):
        table.ready()
    add_s = time.perf_counter() - started_at_s
    wanted = random.Random(1).sample(key_digests, min(20_000, count)) + [
        os.urandom(16) for _ in range(20_000)
    ]
    started_at_s = time.perf_counter()
    for key_digest in wanted:
        table.find(key_digest)
    find_s = time.perf_counter() - started_at_s
    longest_sweep_s = 0.0
    for second in range(1, 20):
        started_at_s = time.perf_counter()
        table.expire(second * NS_PER_SECOND)
        longest_sweep_s = max(longest_sweep_s, time.perf_counter() - started_at_s)
    return {
        "bytes": bytes_each,
        "add_us": add_s / count * 1e6,
        "find_us": find_s / len(wanted) * 1e6,
        "sweep_ms": longest_sweep_s * 1e3,
    }


def main() -> None:
    """Prints a row for each structure, at each count of key digests."""
    for count in [int(argument) for argument in sys.argv[1:]] or [10_000, 1_000_000]:
        key_digests = [os.urandom(16) for _ in range(count)]
        print(f"{count} key digests; longest sweep of nineteen, one a second")
        for name, make_table in {
            "swept ordered dictionary (0.3.0)": SweptRecords,
            "plain dictionary, swept": PlainDict,
            "dictionary and wheel": DictWithWheel,
            "dictionaries by generation": Generations,
            "idempotency table: records and wheel": ServerTable,
            "packed, read back": PackedTable,
        }.items():
            result = measure(make_table, key_digests)
            print(
                f"| {name} | {result['bytes']:.0f} | {result['add_us']:.2f} | {result['find_us']:.2f} |"
                f" {result['sweep_ms']:.1f} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
