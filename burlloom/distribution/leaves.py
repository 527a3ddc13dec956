"""A bucket of items as a B+ tree of two levels (Bayer and McCreight): one index, and leaves.

A leaf is one `bytes` object of at most 64 items, so that the interpreter holds one object for some
40 items instead of two for each:

    count (2 bytes), length of the keys' part (2), length of each value (2 each), keys, values

Keys stand between bytes 0xFF, which UTF-8 never contains, so one search of the keys' part finds a
key or shows that it is absent. A change rewrites only the leaves that it touches.
"""

from array import array
from bisect import bisect_left, bisect_right
from collections.abc import Iterator, Sequence
from itertools import pairwise
from struct import Struct

MAX_LEAF_ITEMS = (
    64  # entries: more make a change dearer, fewer make each entry's part of a leaf's object larger
)


MIN_LEAF_ITEMS = 16  # a leaf that has fewer is joined with its neighbour


KEY_SEPARATOR = b"\xff"


LEAF_HEADER = Struct("<HH")


VALUE_LENGTH = Struct("<H")


def pack_leaf(keys: Sequence[bytes], values: Sequence[bytes]) -> bytes:
    """Return the leaf of items that are in order."""
    middle = KEY_SEPARATOR + b"".join([key + KEY_SEPARATOR for key in keys])
    lengths = array("H", map(len, values)).tobytes()
    return b"".join((LEAF_HEADER.pack(len(keys), len(middle)), lengths, middle, *values))


def unpack_leaf(leaf: bytes) -> tuple[list[bytes], list[bytes]]:
    """Return a leaf's keys and values, in order."""
    count, middle = LEAF_HEADER.unpack_from(leaf)
    start = LEAF_HEADER.size + 2 * count
    begin = start + middle
    keys, values = leaf[start + 1 : begin].split(KEY_SEPARATOR)[:-1], []
    for length in array("H", leaf[LEAF_HEADER.size : start]):
        values.append(leaf[begin : begin + length])
        begin += length
    return keys, values


EMPTY_LEAF = pack_leaf((), ())


class Bucket:
    """The items of one scope and bucket, by kind code and key.

    `first_keys[i]` is the least key that leaf i may hold; the first is empty, so every key has a
    leaf.
    """

    __slots__ = ("first_keys", "leaves")

    def __init__(self) -> None:
        self.first_keys: list[bytes] = [b""]
        self.leaves: list[bytes] = [EMPTY_LEAF]

    def has(self, key: bytes) -> bool:
        """Whether there is an item under that key."""
        leaf = self.leaves[bisect_right(self.first_keys, key) - 1]
        count, middle = LEAF_HEADER.unpack_from(leaf)
        start = LEAF_HEADER.size + 2 * count
        return leaf.find(b"\xff%b\xff" % key, start, start + middle) >= 0

    def get(self, key: bytes) -> bytes | None:
        """Return the value under that key."""
        leaf = self.leaves[bisect_right(self.first_keys, key) - 1]
        count, middle = LEAF_HEADER.unpack_from(leaf)
        start = LEAF_HEADER.size + 2 * count
        at = leaf.find(b"\xff%b\xff" % key, start, start + middle)
        if at < 0:
            return None
        length = LEAF_HEADER.size + 2 * leaf.count(
            KEY_SEPARATOR, start, at
        )  # where its length stands
        begin = start + middle + sum(array("H", leaf[LEAF_HEADER.size : length]))
        return leaf[begin : begin + VALUE_LENGTH.unpack_from(leaf, length)[0]]

    def set(self, key: bytes, new: bytes | None) -> bytes | None:
        """Set or delete an item and return its former value."""
        number = bisect_right(self.first_keys, key) - 1
        leaf = self.leaves[number]
        count, middle = LEAF_HEADER.unpack_from(leaf)
        start = LEAF_HEADER.size + 2 * count
        at = leaf.find(b"\xff%b\xff" % key, start, start + middle)
        if at < 0 and new is None:
            return None
        if there := at >= 0:
            before = leaf.count(KEY_SEPARATOR, start, at)
        else:
            keys = leaf[start + 1 : start + middle].split(KEY_SEPARATOR)[:-1]
            before = bisect_left(keys, key)
            at = start + before + sum(map(len, keys[:before]))
        length = LEAF_HEADER.size + 2 * before
        begin = start + middle + sum(array("H", leaf[LEAF_HEADER.size : length]))
        made: tuple[bytes, ...]
        if not there:
            assert new is not None
            count += 1
            made = (
                LEAF_HEADER.pack(count, middle + len(key) + 1),
                leaf[LEAF_HEADER.size : length],
                VALUE_LENGTH.pack(len(new)),
                leaf[length : at + 1],
                key,
                leaf[at:begin],
                new,
                leaf[begin:],
            )
            old = None
        else:
            end = begin + VALUE_LENGTH.unpack_from(leaf, length)[0]
            old = leaf[begin:end]
            if old == new:
                return old
            if new is not None:
                made = (
                    leaf[:length],
                    VALUE_LENGTH.pack(len(new)),
                    leaf[length + 2 : begin],
                    new,
                    leaf[end:],
                )
            else:
                count -= 1
                made = (
                    LEAF_HEADER.pack(count, middle - len(key) - 1),
                    leaf[LEAF_HEADER.size : length],
                    leaf[length + 2 : at],
                    leaf[at + 1 + len(key) : begin],
                    leaf[end:],
                )
        self.leaves[number] = b"".join(made)
        if count > MAX_LEAF_ITEMS or count < MIN_LEAF_ITEMS and len(self.leaves) > 1:
            self.rebalance(number)
        return old

    def items_after(self, key: bytes) -> Iterator[tuple[bytes, bytes]]:
        """Yield the items behind a key in order; the bucket may change meanwhile."""
        place = bisect_right
        while True:
            leaf = bisect_right(self.first_keys, key) - 1
            upto = self.first_keys[leaf + 1] if leaf + 1 < len(self.first_keys) else None
            keys, values = unpack_leaf(self.leaves[leaf])
            for one in range(place(keys, key), len(keys)):
                yield keys[one], values[one]
            if upto is None:
                return
            key, place = upto, bisect_left

    def rebalance(self, leaf: int) -> None:
        """Split a leaf that is too large, or join one that is too small with a neighbour."""
        keys, values = unpack_leaf(self.leaves[leaf])
        first, upto = leaf, leaf + 1
        if len(keys) < MIN_LEAF_ITEMS:
            first, upto = (leaf, leaf + 2) if upto < len(self.leaves) else (leaf - 1, upto)
            joined = [unpack_leaf(one) for one in self.leaves[first:upto]]
            keys, values = joined[0][0] + joined[1][0], joined[0][1] + joined[1][1]
        parts = max(1, -(-len(keys) // MAX_LEAF_ITEMS))
        cuts = [len(keys) * part // parts for part in range(parts + 1)]
        self.leaves[first:upto] = [pack_leaf(keys[a:b], values[a:b]) for a, b in pairwise(cuts)]
        self.first_keys[first:upto] = [self.first_keys[first], *(keys[cut] for cut in cuts[1:-1])]
