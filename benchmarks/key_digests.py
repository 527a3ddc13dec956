"""Marks in memory: what was (an ordered dictionary, swept whole each second) against what is, and
plain ones.

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

from burlloom.dispatcher.idempotency import IdempotencyTable  # noqa: E402
from burlloom.dispatcher.key_digests import PackedKeyDigests  # noqa: E402
from burlloom.dispatcher.timer_wheel import TimerWheel  # noqa: E402

SECOND = 1_000_000_000
WINDOW = 18 * SECOND


class Swept:
    """0.3.0: text marks, an ordered dictionary of records, looked at whole each second."""

    def __init__(self) -> None:
        self.inner: OrderedDict[str, Any] = OrderedDict()

    def add(self, mark: bytes, until: int) -> None:
        self.inner[f"1 {mark.hex()} {mark[:9].hex()}"] = [0, until, False, None, []]

    def find(self, mark: bytes) -> int:
        record = self.inner.get(f"1 {mark.hex()} {mark[:9].hex()}")
        return record[1] if record is not None else 0

    def expire(self, now: int) -> int:
        over = [mark for mark, record in self.inner.items() if record[1] <= now]
        for mark in over:
            del self.inner[mark]
        return len(over)


class Plain:
    """A dictionary from mark to its end, swept whole."""

    def __init__(self) -> None:
        self.inner: dict[bytes, int] = {}

    def add(self, mark: bytes, until: int) -> None:
        self.inner[mark] = until

    def find(self, mark: bytes) -> int:
        return self.inner.get(mark, 0)

    def expire(self, now: int) -> int:
        over = [mark for mark, until in self.inner.items() if until <= now]
        for mark in over:
            del self.inner[mark]
        return len(over)


class Wheeled(Plain):
    """The same with a wheel."""

    def __init__(self) -> None:
        super().__init__()
        self.wheel = TimerWheel()

    def add(self, mark: bytes, until: int) -> None:
        self.inner[mark] = until
        self.wheel.add(mark, until)

    def expire(self, now: int) -> int:
        over = self.wheel.take_due(now)
        for mark in over:
            del self.inner[mark]
        return len(over)


class Generations:
    """Dictionaries by quarter of a window, dropped whole; each look asks up to five."""

    def __init__(self) -> None:
        self.inner: dict[int, dict[bytes, int]] = {}

    def add(self, mark: bytes, until: int) -> None:
        self.inner.setdefault(until // (WINDOW // 4), {})[mark] = until

    def find(self, mark: bytes) -> int:
        for one in self.inner.values():
            if mark in one:
                return one[mark]
        return 0

    def expire(self, now: int) -> int:
        over = [key for key in self.inner if (key + 1) * (WINDOW // 4) <= now]
        return sum(len(self.inner.pop(key)) for key in over)


class Now(IdempotencyTable):
    """What the server has: records by mark with a wheel."""

    def __init__(self) -> None:
        super().__init__(0, 0, 16 << 20)
        self.ref = 0

    def add(self, mark: bytes, until: int) -> None:
        self.ref += 1
        self.claim(mark, self.ref, until)

    def find(self, mark: bytes) -> int:
        return self.find_original(mark, 0)

    def expire(self, now: int) -> int:
        before = len(self.records)
        self.forget_expired(now)
        return before - len(self.records)


class ReadBack:
    """Packed, as it is read back at a start; what is over goes as one."""

    def __init__(self) -> None:
        self.pairs: list[tuple[bytes, int]] = []
        self.packed = PackedKeyDigests()

    def add(self, mark: bytes, until: int) -> None:
        self.pairs.append((mark, until))

    def ready(self) -> None:
        self.packed, self.pairs = PackedKeyDigests(self.pairs), []

    def find(self, mark: bytes) -> int:
        return self.packed.window_end_ns(mark)

    def expire(self, now: int) -> int:
        return 0


def measure(make: Callable[[], Any], marks: list[bytes]) -> dict[str, float]:
    count = len(marks)
    tracemalloc.start()
    one = make()
    fresh = [
        bytes(bytearray(mark)) for mark in marks
    ]  # their own objects, as off a socket: they count too
    for at, mark in enumerate(fresh):
        one.add(mark, WINDOW * at // count)
    if hasattr(one, "ready"):
        one.ready()
    del fresh, mark
    gc.collect()
    size = tracemalloc.get_traced_memory()[0] / count
    tracemalloc.stop()
    del one
    gc.collect()
    one, began = make(), time.perf_counter()
    for at, mark in enumerate(marks):
        one.add(mark, WINDOW * at // count)
    if hasattr(one, "ready"):
        one.ready()
    laid = time.perf_counter() - began
    asked = random.Random(1).sample(marks, min(20_000, count)) + [
        os.urandom(16) for _ in range(20_000)
    ]
    began = time.perf_counter()
    for mark in asked:
        one.find(mark)
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
        marks = [os.urandom(16) for _ in range(count)]
        print(f"{count} marks; longest sweep of nineteen, one a second")
        for name, make in {
            "swept ordered dictionary (0.3.0)": Swept,
            "plain dictionary, swept": Plain,
            "dictionary and wheel": Wheeled,
            "dictionaries by generation": Generations,
            "the ledger: records and wheel": Now,
            "packed, read back": ReadBack,
        }.items():
            got = measure(make, marks)
            print(
                f"| {name} | {got['bytes']:.0f} | {got['lay_us']:.2f} | {got['look_us']:.2f} |"
                f" {got['sweep_ms']:.1f} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
