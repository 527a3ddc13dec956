"""Key digests, and a packed set of those that former incarnations of this server recorded.

benchmarks/key_digests.py measures the set against plain ones; docs/results.md has the figures.
"""

import hashlib
from bisect import bisect_left
from collections.abc import Iterable

KEY_DIGEST_BYTES = 16
TIME_BYTES = 8
PAIR_BYTES = KEY_DIGEST_BYTES + TIME_BYTES
FIRST_SEARCH_STEP = 8


def digest_key(class_name: str, key: str, body: bytes) -> bytes:
    """Returns what all attempts of one request share: 16 bytes of BLAKE2b (RFC 7693).

    The body is part of it: with another one it is another request, which the executor may know or
    not.
    """
    digest = hashlib.blake2b(f"{class_name}\0{key}\0".encode(), digest_size=KEY_DIGEST_BYTES)
    digest.update(body)
    return digest.digest()


class PackedKeyDigests:
    """A set of key digests, each with the end of its idempotency window, sorted in one string.

    It takes 24 bytes an entry, never changes and is dropped as a whole. Digests are evenly spread,
    so the place of one is guessed from its value; a guess is off by a few hundred in a million.
    From there the search widens by doubling, and a bisection ends it.

    Attributes:
        last_window_end_ns: When the last window ends.
    """

    __slots__ = ("count", "data", "last_window_end_ns")

    def __init__(self, pairs: Iterable[tuple[bytes, int]] = ()) -> None:
        """Packs pairs of a key digest and the end of its window, Unix ns."""
        # By first byte, and then each part sorted: no list of all is ever made, so that a start
        # takes little more memory than the set itself.
        parts = [bytearray() for _ in range(256)]
        self.last_window_end_ns = 0
        for key_digest, window_end_ns in pairs:
            parts[key_digest[0]] += key_digest + window_end_ns.to_bytes(TIME_BYTES, "big")
            if window_end_ns > self.last_window_end_ns:
                self.last_window_end_ns = window_end_ns
        self.data = b"".join(map(sort_pairs, parts))
        self.count = len(self.data) // PAIR_BYTES

    def __len__(self) -> int:
        return self.count

    def __getitem__(self, index: int) -> bytes:
        return self.data[PAIR_BYTES * index : PAIR_BYTES * index + KEY_DIGEST_BYTES]

    def window_end_ns(self, key_digest: bytes) -> int:
        """Returns when the digest's window ends; 0 where it is not in the set."""
        count = self.count
        if not count:
            return 0
        guess = int.from_bytes(key_digest[:8], "big") * count >> 64
        step, low, high = FIRST_SEARCH_STEP, guess, guess
        if self[guess] < key_digest:
            while high < count and self[high] < key_digest:
                low, high, step = high, high + step, 2 * step
        else:
            while low >= 0 and self[low] > key_digest:
                high, low, step = low, low - step, 2 * step
        index = bisect_left(self, key_digest, max(0, low), min(count, high + 1))
        if index < count and self[index] == key_digest:
            start = PAIR_BYTES * index
            return int.from_bytes(self.data[start + KEY_DIGEST_BYTES : start + PAIR_BYTES], "big")
        return 0


def sort_pairs(part: bytearray) -> bytes:
    """Returns the pairs of `part` sorted, and empties it."""
    pairs = [part[at : at + PAIR_BYTES] for at in range(0, len(part), PAIR_BYTES)]
    part.clear()
    return b"".join(sorted(pairs))
