"""Key digests, and a packed set of the digests that previous incarnations of this server recorded.

`benchmarks/key_digests.py` compares the set with plain sets and dicts; docs/results.md lists the
figures.
"""

import hashlib
from bisect import bisect_left
from collections.abc import Iterable

KEY_DIGEST_BYTES = 16
WINDOW_END_BYTES = 8
ENTRY_BYTES = KEY_DIGEST_BYTES + WINDOW_END_BYTES
INITIAL_SEARCH_STEP = 8  # entries; doubles with each step of the search


def digest_key(class_name: str, key: str, body: bytes) -> bytes:
    """Returns the digest that all attempts of one request share: 16 bytes of BLAKE2b (RFC 7693).

    The body is part of the digest: an attempt with another body is another request, which the
    executor may or may not know.
    """
    digest = hashlib.blake2b(f"{class_name}\0{key}\0".encode(), digest_size=KEY_DIGEST_BYTES)
    digest.update(body)
    return digest.digest()


class PackedKeyDigests:
    """An immutable set of key digests with their window ends, sorted in one byte string.

    An entry takes 24 bytes, and the set is dropped as a whole. Digests are evenly distributed, so
    the position of one is estimated from its value; the estimate is off by a few hundred entries in
    a million. From there the search range doubles until it contains the digest, and a bisection
    finds it.

    Attributes:
        last_window_end_ns: When the last window ends.
    """

    __slots__ = ("count", "data", "last_window_end_ns")

    def __init__(self, pairs: Iterable[tuple[bytes, int]] = ()) -> None:
        """Packs pairs of a key digest and the end of its window in Unix ns."""
        # Entries are partitioned by first byte, and each partition is sorted on its own. No list of
        # all entries is built, so a start takes little more memory than the set itself.
        partitions = [bytearray() for _ in range(256)]
        self.last_window_end_ns = 0
        for key_digest, window_end_ns in pairs:
            partitions[key_digest[0]] += key_digest + window_end_ns.to_bytes(
                WINDOW_END_BYTES, "big"
            )
            if window_end_ns > self.last_window_end_ns:
                self.last_window_end_ns = window_end_ns
        self.data = b"".join(map(sort_entries, partitions))
        self.count = len(self.data) // ENTRY_BYTES

    def __len__(self) -> int:
        return self.count

    def __getitem__(self, index: int) -> bytes:
        return self.data[ENTRY_BYTES * index : ENTRY_BYTES * index + KEY_DIGEST_BYTES]

    def window_end_ns(self, key_digest: bytes) -> int:
        """Returns when the digest's window ends; 0 if the digest is not in the set."""
        count = self.count
        if not count:
            return 0
        estimate = int.from_bytes(key_digest[:8], "big") * count >> 64
        step, low, high = INITIAL_SEARCH_STEP, estimate, estimate
        if self[estimate] < key_digest:
            while high < count and self[high] < key_digest:
                low, high, step = high, high + step, 2 * step
        else:
            while low >= 0 and self[low] > key_digest:
                high, low, step = low, low - step, 2 * step
        index = bisect_left(self, key_digest, max(0, low), min(count, high + 1))
        if index < count and self[index] == key_digest:
            start = ENTRY_BYTES * index
            return int.from_bytes(self.data[start + KEY_DIGEST_BYTES : start + ENTRY_BYTES], "big")
        return 0


def sort_entries(partition: bytearray) -> bytes:
    """Returns the sorted entries of a partition, and empties the partition."""
    entries = [
        partition[start : start + ENTRY_BYTES] for start in range(0, len(partition), ENTRY_BYTES)
    ]
    partition.clear()
    return b"".join(sorted(entries))
