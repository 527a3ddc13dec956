"""Key digests in memory: the table in use against plain structures and that of 0.3.0.

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

SECOND = 1_000_000_000
WINDOW = 18 * SECOND


class Swept:
    """0.3.0: text digests, an ordered dictionary of records, looked at whole each second."""

    def __init__(self) -> None:
        self.inner: OrderedDict[str, Any] = OrderedDict()

    def add(self, key_digest: bytes, until: int) -> None:
        self.inner[f"1 {key_digest.hex()} {key_digest[:9].hex()}"] = [0, until, False, None, []]

    def find(self, key_digest: bytes) -> int:
        record = self.inner.get(f"1 {key_digest.hex()} {key_digest[:9].hex()}")
        return record[1] if record is not None else 0

    def expire(self, now: int) -> int:
        over = [key_digest for key_digest, record in self.inner.items() if record[1] <= now]
        for key_digest in over:
            del self.inner[key_digest]
        return len(over)


class Plain:
    """A dictionary from key digest to its end, swept whole."""

    def __init__(self) -> None:
        self.inner: dict[bytes, int] = {}

    def add(self, key_digest: bytes, until: int) -> None:
        self.inner[key_digest] = until

    def find(self, key_digest: bytes) -> int:
        return self.inner.get(key_digest, 0)

    def expire(self, now: int) -> int:
        over = [key_digest for key_digest, until in self.inner.items() if until <= now]
        for key_digest in over:
            del self.inner[key_digest]
        return len(over)


class Wheeled(Plain):
    """The same with a wheel."""

    def __init__(self) -> None:
        super().__init__()
        self.wheel = TimerWheel()

    def add(self, key_digest: bytes, until: int) -> None:
        self.inner[key_digest] = until
        self.wheel.add(key_digest, until)

    def expire(self, now: int) -> int:
        over = self.wheel.take_due(now)
        for key_digest in over:
            del self.inner[key_digest]
        return len(over)


class Generations:
    """Dictionaries by quarter of a window, dropped whole; each look asks up to five."""

    def __init__(self) -> None:
        self.inner: dict[int, dict[bytes, int]] = {}

    def add(self, key_digest: bytes, until: int) -> None:
        self.inner.setdefault(until // (WINDOW // 4), {})[key_digest] = until

    def find(self, key_digest: bytes) -> int:
        for one in self.inner.values():
            if key_digest in one:
                return one[key_digest]
        return 0

    def expire(self, now: int) -> int:
        over = [key for key in self.inner if (key + 1) * (WINDOW // 4) <= now]
        return sum(len(self.inner.pop(key)) for key in over)


class Now(IdempotencyTable):
    """What the server has: records by key digest with a wheel."""

    def __init__(self) -> None:
        super().__init__(0, 0, 16 << 20)
        self.ref = 0

    def add(self, key_digest: bytes, until: int) -> None:
        self.ref += 1
        self.claim(key_digest, self.ref, until)

    def find(self, key_digest: bytes) -> int:
        return self.find_original(key_digest, 0)

    def expire(self, now: int) -> int:
        before = len(self.records)
        self.forget_expired(now)
        return before - len(self.records)


class ReadBack:
    """Packed, as it is read back at a start; what is over goes as one."""

    def __init__(self) -> None:
        self.pairs: list[tuple[bytes, int]] = []
        self.packed = PackedKeyDigests()

    def add(self, key_digest: bytes, until: int) -> None:
        self.pairs.append((key_digest, until))

    def ready(self) -> None:
        self.packed, self.pairs = PackedKeyDigests(self.pairs), []

    def find(self, key_digest: bytes) -> int:
        return self.packed.window_end_ns(key_digest)

    def expire(self, now: int) -> int:
        return 0


def measure(make: Callable[[], Any], key_digests: list[bytes]) -> dict[str, float]:
    count = len(key_digests)
    tracemalloc.start()
    one = make()
    fresh = [
        bytes(bytearray(key_digest)) for key_digest in key_digests
    ]  # their own objects, as off a socket: they count too
    for at, key_digest in enumerate(fresh):
        one.add(key_digest, WINDOW * at // count)
    if hasattr(one, "ready"):
        one.ready()
    del fresh, key_digest
    gc.collect()
    size = tracemalloc.get_traced_memory()[0] / count
    tracemalloc.stop()
    del one
    gc.collect()
    one, began = make(), time.perf_counter()
    for at, key_digest in enumerate(key_digests):
        one.add(key_digest, WINDOW * at // count)
    if hasattr(one, "ready"):
        one.ready()
    laid = time.perf_counter() - began
    asked = random.Random(1).sample(key_digests, min(20_000, count)) + [
        os.urandom(16) for _ in range(20_000)
    ]
    began = time.perf_counter()
    for key_digest in asked:
        one.find(key_digest)
    found = time.perf_counter() - began
    longest = 0.0
    for second in range(1, 20):
        began = time.perf_counter()
        one.expire(second * SECOND)
        longest = max(longest, time.perf_counter() - began)
    return {
        "bytes": size,
        "lay_us": laid / count * 1e6,
        "look_us": found / len(asked) * 1e6,
        "sweep_ms": longest * 1e3,
    }


def main() -> None:
    for count in [int(word) for word in sys.argv[1:]] or [10_000, 1_000_000]:
        key_digests = [os.urandom(16) for _ in range(count)]
        print(f"{count} key digests; longest sweep of nineteen, one a second")
        for name, make in {
            "swept ordered dictionary (0.3.0)": Swept,
            "plain dictionary, swept": Plain,
            "dictionary and wheel": Wheeled,
            "dictionaries by generation": Generations,
            "idempotency table: records and wheel": Now,
            "packed, read back": ReadBack,
        }.items():
            got = measure(make, key_digests)
            print(
                f"| {name} | {got['bytes']:.0f} | {got['lay_us']:.2f} | {got['look_us']:.2f} |"
                f" {got['sweep_ms']:.1f} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
