"""A bucket of items as a B+ tree of two levels (Bayer and McCreight): one index over leaves.

A leaf is one `bytes` object with at most 64 items, about 40 on average, so that the interpreter
holds one object per leaf instead of two per item. Its layout:

    item count (2 bytes), length of the key section (2), length of each value (2 each),
    key section, values

In the key section each key stands between two bytes 0xFF, which UTF-8 never contains, so one search
of the section finds a key or shows that it is absent. A change rewrites only the leaves that hold
its keys.
"""

from array import array
from bisect import bisect_left, bisect_right
from collections.abc import Iterator, Sequence
from itertools import pairwise
from struct import Struct

# More items make a change more expensive; fewer increase each item's share of the leaf's object.
MAX_LEAF_ITEMS = 64


MIN_LEAF_ITEMS = 16  # a leaf with fewer items is merged with a neighbour


KEY_SEPARATOR = b"\xff"


LEAF_HEADER = Struct("<HH")


VALUE_LENGTH = Struct("<H")


def pack_leaf(keys: Sequence[bytes], values: Sequence[bytes]) -> bytes:
    """Returns the leaf with the items, which must be in ascending order of their keys."""
    key_section = KEY_SEPARATOR + b"".join([key + KEY_SEPARATOR for key in keys])
    lengths = array("H", map(len, values)).tobytes()
    return b"".join((LEAF_HEADER.pack(len(keys), len(key_section)), lengths, key_section, *values))


def unpack_leaf(leaf: bytes) -> tuple[list[bytes], list[bytes]]:
    """Returns a leaf's keys and values, in order."""
    count, keys_length = LEAF_HEADER.unpack_from(leaf)
    keys_start = LEAF_HEADER.size + 2 * count
    value_start = keys_start + keys_length
    keys, values = leaf[keys_start + 1 : value_start].split(KEY_SEPARATOR)[:-1], []
    for value_length in array("H", leaf[LEAF_HEADER.size : keys_start]):
        values.append(leaf[value_start : value_start + value_length])
        value_start += value_length
    return keys, values


EMPTY_LEAF = pack_leaf((), ())


class Bucket:
    """The items of one bucket of a scope; a key here is a kind's code and the item's key.

    `first_keys[i]` is the smallest key that leaf i may hold. The first of them is empty, so that
    every key belongs to a leaf.
    """

    __slots__ = ("first_keys", "leaves")

    def __init__(self) -> None:
        self.first_keys: list[bytes] = [b""]
        self.leaves: list[bytes] = [EMPTY_LEAF]

    def has(self, key: bytes) -> bool:
        """Returns whether the bucket has an item with a key."""
        leaf = self.leaves[bisect_right(self.first_keys, key) - 1]
        count, keys_length = LEAF_HEADER.unpack_from(leaf)
        keys_start = LEAF_HEADER.size + 2 * count
        return leaf.find(b"\xff%b\xff" % key, keys_start, keys_start + keys_length) >= 0

    def get(self, key: bytes) -> bytes | None:
        """Returns the value of a key; None if there is no such item."""
        leaf = self.leaves[bisect_right(self.first_keys, key) - 1]
        count, keys_length = LEAF_HEADER.unpack_from(leaf)
        keys_start = LEAF_HEADER.size + 2 * count
        key_offset = leaf.find(b"\xff%b\xff" % key, keys_start, keys_start + keys_length)
        if key_offset < 0:
            return None
        # Offset of the value's length.
        length_offset = LEAF_HEADER.size + 2 * leaf.count(KEY_SEPARATOR, keys_start, key_offset)
        value_start = (
            keys_start + keys_length + sum(array("H", leaf[LEAF_HEADER.size : length_offset]))
        )
        return leaf[value_start : value_start + VALUE_LENGTH.unpack_from(leaf, length_offset)[0]]

    def set(self, key: bytes, new_value: bytes | None) -> bytes | None:
        """Sets an item, or deletes it if `new_value` is None; returns its previous value."""
        leaf_index = bisect_right(self.first_keys, key) - 1
        leaf = self.leaves[leaf_index]
        count, keys_length = LEAF_HEADER.unpack_from(leaf)
        keys_start = LEAF_HEADER.size + 2 * count
        key_offset = leaf.find(b"\xff%b\xff" % key, keys_start, keys_start + keys_length)
        if key_offset < 0 and new_value is None:
            return None
        if is_present := key_offset >= 0:
            index = leaf.count(KEY_SEPARATOR, keys_start, key_offset)
        else:
            keys = leaf[keys_start + 1 : keys_start + keys_length].split(KEY_SEPARATOR)[:-1]
            index = bisect_left(keys, key)
            key_offset = keys_start + index + sum(map(len, keys[:index]))
        length_offset = LEAF_HEADER.size + 2 * index
        value_start = (
            keys_start + keys_length + sum(array("H", leaf[LEAF_HEADER.size : length_offset]))
        )
        new_leaf: tuple[bytes, ...]
        if not is_present:
            assert new_value is not None
            count += 1
            new_leaf = (
                LEAF_HEADER.pack(count, keys_length + len(key) + 1),
                leaf[LEAF_HEADER.size : length_offset],
                VALUE_LENGTH.pack(len(new_value)),
                leaf[length_offset : key_offset + 1],
                key,
                leaf[key_offset:value_start],
                new_value,
                leaf[value_start:],
            )
            old_value = None
        else:
            value_end = value_start + VALUE_LENGTH.unpack_from(leaf, length_offset)[0]
            old_value = leaf[value_start:value_end]
            if old_value == new_value:
                return old_value
            if new_value is not None:
                new_leaf = (
                    leaf[:length_offset],
                    VALUE_LENGTH.pack(len(new_value)),
                    leaf[length_offset + 2 : value_start],
                    new_value,
                    leaf[value_end:],
                )
            else:
                count -= 1
                new_leaf = (
                    LEAF_HEADER.pack(count, keys_length - len(key) - 1),
                    leaf[LEAF_HEADER.size : length_offset],
                    leaf[length_offset + 2 : key_offset],
                    leaf[key_offset + 1 + len(key) : value_start],
                    leaf[value_end:],
                )
        self.leaves[leaf_index] = b"".join(new_leaf)
        if count > MAX_LEAF_ITEMS or count < MIN_LEAF_ITEMS and len(self.leaves) > 1:
            self.rebalance(leaf_index)
        return old_value

    def items_after(self, key: bytes) -> Iterator[tuple[bytes, bytes]]:
        """Yields the items after a key, in order; the bucket may change during the iteration."""
        bisect = bisect_right
        while True:
            leaf_index = bisect_right(self.first_keys, key) - 1
            next_first_key = (
                self.first_keys[leaf_index + 1] if leaf_index + 1 < len(self.first_keys) else None
            )
            keys, values = unpack_leaf(self.leaves[leaf_index])
            for index in range(bisect(keys, key), len(keys)):
                yield keys[index], values[index]
            if next_first_key is None:
                return
            key, bisect = next_first_key, bisect_left

    def rebalance(self, leaf_index: int) -> None:
        """Splits a leaf that is too large, or merges one that is too small with a neighbour."""
        keys, values = unpack_leaf(self.leaves[leaf_index])
        first, end = leaf_index, leaf_index + 1
        if len(keys) < MIN_LEAF_ITEMS:
            first, end = (
                (leaf_index, leaf_index + 2) if end < len(self.leaves) else (leaf_index - 1, end)
            )
            joined = [unpack_leaf(joined_leaf) for joined_leaf in self.leaves[first:end]]
            keys, values = joined[0][0] + joined[1][0], joined[0][1] + joined[1][1]
        leaf_count = max(1, -(-len(keys) // MAX_LEAF_ITEMS))
        boundaries = [len(keys) * index // leaf_count for index in range(leaf_count + 1)]
        self.leaves[first:end] = [
            pack_leaf(keys[start:stop], values[start:stop]) for start, stop in pairwise(boundaries)
        ]
        self.first_keys[first:end] = [
            self.first_keys[first],
            *(keys[boundary] for boundary in boundaries[1:-1]),
        ]
