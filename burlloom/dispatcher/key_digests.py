"""Two structures made for marks: what was read back at a start, packed; and when what is laid now
ends, a wheel.

benchmarks/key_digests.py measures them against plain ones; docs/results.md has the figures.
"""

from bisect import bisect_left
from collections.abc import Iterable

KEY_DIGEST_BYTES, ENTRY_BYTES = 16, 24
SLOT_NS = 1_000_000_000  # ns that one slot of the wheel spans


class PackedKeyDigests:
    """Marks of former lives and when their windows end: sorted, 24 bytes each, never changed,
    dropped as one.

    Marks are digests, so evenly spread: where one stands is guessed from its value, and the guess
    is off by a few hundred in a million. From there the search widens by doubling and ends in a
    bisection.
    """

    __slots__ = ("data", "count", "last_window_end_ns")

    def __init__(self, pairs: Iterable[tuple[bytes, int]] = ()) -> None:
        # By first byte, then each part sorted: no list of all is ever made, so a start takes little
        # more than this.
        parts = [bytearray() for _ in range(256)]
        self.last_window_end_ns = 0
        for mark, until in pairs:
            parts[mark[0]] += mark + until.to_bytes(8, "big")
            if until > self.last_window_end_ns:
                self.last_window_end_ns = until
        self.data = b"".join(map(sort_entries, parts))
        self.count = len(self.data) // ENTRY_BYTES

    def __len__(self) -> int:
        return self.count

    def __getitem__(self, at: int) -> bytes:
        return self.data[ENTRY_BYTES * at : ENTRY_BYTES * at + KEY_DIGEST_BYTES]

    def window_end_ns(self, mark: bytes) -> int:
        """When its window ends; 0 where it is not known."""
        count = self.count
        if not count:
            return 0
        guess = int.from_bytes(mark[:8], "big") * count >> 64
        step, low, high = 8, guess, guess
        if self[guess] < mark:
            while high < count and self[high] < mark:
                low, high, step = high, high + step, 2 * step
        else:
            while low >= 0 and self[low] > mark:
                high, low, step = low, low - step, 2 * step
        at = bisect_left(self, mark, max(0, low), min(count, high + 1))
        if at < count and self[at] == mark:
            return int.from_bytes(
                self.data[ENTRY_BYTES * at + KEY_DIGEST_BYTES : ENTRY_BYTES * at + ENTRY_BYTES],
                "big",
            )
        return 0


def sort_entries(part: bytearray) -> bytes:
    entries = [part[at : at + ENTRY_BYTES] for at in range(0, len(part), ENTRY_BYTES)]
    part.clear()
    return b"".join(sorted(entries))


class TimerWheel:
    """What is due when, in slots of a second. To look costs what is due, not what there is.

    An entry whose time was moved stays where it was; whoever takes it out looks whether it is due,
    and puts it in again if not.
    """

    __slots__ = ("slots", "next_slot")

    def __init__(self) -> None:
        self.slots: dict[int, list[bytes]] = {}
        self.next_slot = 0

    def add(self, mark: bytes, at: int) -> None:
        slot = at // SLOT_NS + 1
        if not self.slots:
            self.next_slot = slot
        self.next_slot = min(self.next_slot, slot)
        self.slots.setdefault(slot, []).append(mark)

    def take_due(self, now: int) -> list[bytes]:
        """Takes out all of the slots that are over."""
        found: list[bytes] = []
        last = now // SLOT_NS
        if self.slots and self.next_slot <= last:
            for slot in sorted(slot for slot in self.slots if slot <= last):
                found += self.slots.pop(slot)
            self.next_slot = min(self.slots, default=last + 1)
        return found
