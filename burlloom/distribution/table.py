"""What is in force, compact: entries in 256 buckets a scope, each bucket a sorted run of small
leaves.

It is a B+ tree of two levels (Bayer and McCreight's; one index a bucket, and leaves). A leaf is one
`bytes` of at most 64 entries, so that the interpreter holds one object for some 40 entries in place
of two for each:

    count (2 bytes), length of the keys' part (2), length of each value (2 each), keys, values

Keys stand between bytes 0xFF, which UTF-8 never has, so one search of the keys' part finds a key or
tells that it is not there. A change rewrites the leaves that it touches and no other: nothing is
ever hashed anew as a whole. `benchmarks/scale_table.py` measures it beside plain dicts, SQLite in
memory and sorted arrays.

Digests (XOR of the entries' xxh3) tell of slips between copies; they keep no stranger out.
"""

from array import array
from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from itertools import pairwise
from struct import Struct

import msgpack
import xxhash

from .changes import KINDS, MAX_KEY_BYTES, MAX_SCOPE_BYTES, MAX_VALUE_BYTES, ConfigItem

BUCKET_COUNT = 256
MAX_SCOPES = 64  # of one table that holds all of them: an operator has regions, not thousands
MAX_PUT_ITEMS = (
    256  # entries of one `put`: a change has 64, and no page of a datagram's size has more
)
MAX_LEAF_ITEMS = (
    64  # entries: more make a change dearer, fewer make each entry's part of a leaf's object larger
)
MIN_LEAF_ITEMS = 16  # a leaf that has fewer is joined with its neighbour
MAX_ITEM_BYTES = (
    1 + 2 + MAX_SCOPE_BYTES + 1 + 7 + 2 + MAX_KEY_BYTES + 3 + MAX_VALUE_BYTES
)  # one in a page, as MessagePack

KIND_CODES = {kind: kind[:1].encode() for kind in KINDS}  # in the order of the names
KIND_NAMES = {code[0]: kind for kind, code in KIND_CODES.items()}
KEY_SEPARATOR = b"\xff"
LEAF_HEADER = Struct("<HH")
VALUE_LENGTH = Struct("<H")
ItemPosition = tuple[str, str, str]  # scope, kind, key


@dataclass(frozen=True, slots=True)
class Page:
    """Entries of one bucket in the order of (scope, kind, key); `last`: the place of the last one,
    None if there is none; `done`: the bucket has no more behind them.
    """

    items: tuple[ConfigItem, ...]
    last_position: ItemPosition | None
    is_last: bool


def bucket_of(kind: str, key: str) -> int:
    """0 to 255. Raises `UnicodeEncodeError` for a key that UTF-8 can't have."""
    return int(xxhash.xxh3_64_intdigest(f"{kind}|{key}".encode())) & (BUCKET_COUNT - 1)


def item_digest(scope: str, kind: str, key: str, value: bytes) -> int:
    return int(xxhash.xxh3_64_intdigest(msgpack.packb((scope, kind, key, value))))


def item_faults(entry: ConfigItem) -> list[str]:
    """Why an entry can't be held, each with its field; empty if it can."""
    found = []
    for name, text, least, most in (
        ("scope", entry.scope, 0, MAX_SCOPE_BYTES),
        ("key", entry.key, 1, MAX_KEY_BYTES),
    ):
        try:
            length = len(text.encode())
        except (AttributeError, UnicodeEncodeError):
            found.append(f"{name}: not text of UTF-8")
        else:
            if not least <= length <= most:
                found.append(f"{name}: {length} bytes, {least} to {most} allowed")
    if type(entry.kind) is not str or entry.kind not in KIND_CODES:
        found.append(f"kind: {entry.kind!r:.40} is none of {', '.join(sorted(KINDS))}")
    if entry.value is not None and type(entry.value) is not bytes:
        found.append("value: not bytes")
    elif entry.value is not None and len(entry.value) > MAX_VALUE_BYTES:
        found.append(f"value: {len(entry.value)} bytes, at most {MAX_VALUE_BYTES} allowed")
    return found


def pack_leaf(keys: Sequence[bytes], values: Sequence[bytes]) -> bytes:
    """A leaf of entries that are in order."""
    middle = KEY_SEPARATOR + b"".join([key + KEY_SEPARATOR for key in keys])
    lengths = array("H", map(len, values)).tobytes()
    return b"".join((LEAF_HEADER.pack(len(keys), len(middle)), lengths, middle, *values))


def unpack_leaf(leaf: bytes) -> tuple[list[bytes], list[bytes]]:
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
    """The entries of one scope and one bucket, by code of the kind and key. `firsts[i]`: the least
    key that leaf i may hold; the first leaf's is empty, so that every key has a leaf.
    """

    __slots__ = ("first_keys", "leaves")

    def __init__(self) -> None:
        self.first_keys: list[bytes] = [b""]
        self.leaves: list[bytes] = [EMPTY_LEAF]

    def has(self, key: bytes) -> bool:
        leaf = self.leaves[bisect_right(self.first_keys, key) - 1]
        count, middle = LEAF_HEADER.unpack_from(leaf)
        start = LEAF_HEADER.size + 2 * count
        return leaf.find(b"\xff%b\xff" % key, start, start + middle) >= 0

    def get(self, key: bytes) -> bytes | None:
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
        """Sets or deletes, and gives what was there."""
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
        """Entries behind this key in order, a leaf at a time; the bucket may change in between."""
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
        """Parts a leaf that has many entries, and joins one that has few with a neighbour."""
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


class ScopeTable:
    """One scope: its buckets, their digests, and how many entries of each kind."""

    __slots__ = ("buckets", "digests", "digest", "counts")

    def __init__(self) -> None:
        self.buckets = [Bucket() for _ in range(BUCKET_COUNT)]
        self.digests = array("Q", bytes(8 * BUCKET_COUNT))
        self.digest = 0
        self.counts = dict.fromkeys(KINDS, 0)


def item_from_key(scope: str, key: bytes, value: bytes) -> ConfigItem:
    return ConfigItem(scope, KIND_NAMES[key[0]], key[1:].decode(), value)


class ConfigTable:
    """`scopes`: those that are held, as ("", own region); None: all that come.

    A lookup sees the own region's entry first, then that of everywhere. With all scopes it sees
    those of everywhere alone; `held` tells the others. All arguments are checked before anything is
    changed; what is refused raises `ValueError` with all faults, each with its place.
    """

    def __init__(self, scopes: tuple[str, ...] | None) -> None:
        self.scopes = None if scopes is None else tuple(sorted(set(scopes)))
        if self.scopes is not None and not 1 <= len(self.scopes) <= MAX_SCOPES:
            raise ValueError(f"{len(self.scopes)} scopes, 1 to {MAX_SCOPES} allowed")
        self.parts: dict[str, ScopeTable] = {scope: ScopeTable() for scope in self.scopes or ("",)}
        seen = (
            [""]
            if self.scopes is None
            else sorted(self.scopes, key=lambda scope: (scope == "", scope))
        )
        self.lookups = [self.parts[scope] for scope in seen]  # own regions before ""
        self.shadowed = dict.fromkeys(KINDS, 0)  # entries whose key an earlier scope has too

    def get(self, kind: str, key: str) -> bytes | None:
        """The value in force; None where there is none."""
        place = self.locate(kind, key)
        if place is not None:
            for part in self.lookups:
                if (value := part.buckets[place[0]].get(place[1])) is not None:
                    return value
        return None

    def has(self, kind: str, key: str) -> bool:
        place = self.locate(kind, key)
        return place is not None and any(
            part.buckets[place[0]].has(place[1]) for part in self.lookups
        )

    def items_of_key(self, kind: str, key: str) -> list[ConfigItem]:
        """The key's entries in all scopes held, in their order."""
        if (place := self.locate(kind, key)) is None:
            return []
        values = [
            (scope, self.parts[scope].buckets[place[0]].get(place[1]))
            for scope in sorted(self.parts)
        ]
        return [ConfigItem(scope, kind, key, value) for scope, value in values if value is not None]

    def count(self, kind: str) -> int:
        """How many keys of a kind `get` finds."""
        return sum(part.counts[kind] for part in self.lookups) - self.shadowed[kind]

    def item_count(self) -> int:
        """Over all scopes held."""
        return sum(sum(part.counts.values()) for part in self.parts.values())

    def keys(self, kind: str) -> Iterator[str]:
        """The keys that `get` finds, in no order of theirs; a leaf is unpacked at a time, and the
        table may change in between: what is there all the while comes once.
        """
        code = KIND_CODES[kind]
        for bucket in range(BUCKET_COUNT):
            for number, part in enumerate(self.lookups):
                for key, _ in part.buckets[bucket].items_after(code):
                    if key[:1] != code:
                        break
                    if not any(one.buckets[bucket].has(key) for one in self.lookups[:number]):
                        yield key[1:].decode()

    def put(self, entries: Iterable[ConfigItem]) -> None:
        """Sets or deletes all of them, or none. Of two of the same place the later counts."""
        taken = self.validated(entries)
        writes: dict[tuple[str, int], dict[bytes, bytes | None]] = {}
        for entry in taken:
            bucket = bucket_of(entry.kind, entry.key)
            writes.setdefault((entry.scope, bucket), {})[
                KIND_CODES[entry.kind] + entry.key.encode()
            ] = entry.value
        for (scope, bucket), changes in writes.items():
            self.write_bucket(scope, bucket, changes)

    def digest(self) -> int:
        """Of all entries held."""
        return self.digest_of(None)

    def digests(self) -> tuple[int, ...]:
        """Of each of the 256 buckets, over the scopes held."""
        return self.digests_of(None)

    def digest_of(self, scopes: Iterable[str] | None) -> int:
        """Over those of these scopes that are held; None: all of them."""
        whole = 0
        for part in self.scope_tables(scopes):
            whole ^= part.digest
        return whole

    def digests_of(self, scopes: Iterable[str] | None) -> tuple[int, ...]:
        """As `digest_of`, of each bucket."""
        held = [part.digests for part in self.scope_tables(scopes)]
        if len(held) == 1:
            return tuple(held[0])
        whole = [0] * BUCKET_COUNT
        for digests in held:
            whole = [a ^ b for a, b in zip(whole, digests, strict=True)]
        return tuple(whole)

    def scope_tables(self, scopes: Iterable[str] | None) -> list[ScopeTable]:
        held = self.parts.keys()
        return [self.parts[scope] for scope in (held if scopes is None else held & set(scopes))]

    def page(
        self, bucket: int, after: ItemPosition | None, scopes: Iterable[str] | None, most_bytes: int
    ) -> Page:
        """The bucket's next entries of these scopes (None: all) behind `after`, of at most so many
        bytes as MessagePack, each a list of scope, kind, key and value. Raises `ValueError` for a
        bucket that is none, or where not even one entry is sure to have room.
        """
        check_position(after)
        if not 0 <= bucket < BUCKET_COUNT or most_bytes < MAX_ITEM_BYTES:
            raise ValueError(
                f"bucket {bucket} of {BUCKET_COUNT}; {most_bytes} bytes, {MAX_ITEM_BYTES} at least"
            )
        found: list[ConfigItem] = []
        left = most_bytes
        for scope in sorted(self.parts if scopes is None else set(scopes) & self.parts.keys()):
            if after is not None and scope < after[0]:
                continue
            start = position_key(after) if after is not None and scope == after[0] else b""
            for key, value in self.parts[scope].buckets[bucket].items_after(start):
                left -= (
                    len(scope.encode()) + len(key) + len(value) + 16
                )  # headers, rest of the kind's name
                if left < 0:
                    return Page(tuple(found), found[-1][:3], False)
                found.append(item_from_key(scope, key, value))
        return Page(tuple(found), found[-1][:3] if found else None, True)

    def replace(self, bucket: int, after: ItemPosition | None, page: Page) -> int:
        """Makes what stands behind `after` up to `page.last` (to the bucket's end if the page is
        its last) exactly what the page says, in all scopes held, and gives how many entries
        differed.
        """
        check_position(after)
        taken = self.validated(page.items)
        wrong, before = [], after
        for number, entry in enumerate(taken):
            words = (
                ("deletes", entry.value is None),
                ("is of another bucket", bucket_of(entry.kind, entry.key) != bucket),
                ("is not behind the one before", before is not None and entry[:3] <= before),
            )
            wrong += [
                f"entries[{number}]: {entry[:3]!r:.80} {word}" for word, true in words if true
            ]
            before = entry[:3]
        if page.last_position != (taken[-1][:3] if taken else None):
            wrong.append("last: is not the last entry")
        if not taken and not page.is_last:
            wrong.append("done: a page of nothing that is not the last")
        if wrong or not 0 <= bucket < BUCKET_COUNT:
            raise ValueError("; ".join(wrong) or f"bucket {bucket} of {BUCKET_COUNT}")
        says: dict[str, dict[bytes, bytes | None]] = {}
        for entry in taken:
            says.setdefault(entry.scope, {})[KIND_CODES[entry.kind] + entry.key.encode()] = (
                entry.value
            )
        differed, last = 0, None if page.is_last else page.last_position
        for scope in sorted({*self.parts, *says}):
            if after is not None and scope < after[0] or last is not None and scope > last[0]:
                continue
            changes = says.get(scope, {})
            start = position_key(after) if after is not None and scope == after[0] else b""
            end = position_key(last) if last is not None and scope == last[0] else None
            if scope in self.parts:
                for key, _ in self.parts[scope].buckets[bucket].items_after(start):
                    if end is not None and key > end:
                        break
                    changes.setdefault(key, None)
            differed += self.write_bucket(scope, bucket, changes)
        return differed

    def locate(self, kind: str, key: str) -> tuple[int, bytes] | None:
        try:
            return bucket_of(kind, key), KIND_CODES[kind] + key.encode()
        except (KeyError, UnicodeEncodeError):
            return None

    def validated(self, entries: Iterable[ConfigItem]) -> list[ConfigItem]:
        taken: list[ConfigItem] = []
        for entry in entries:
            if len(taken) == MAX_PUT_ITEMS:
                raise ValueError(f"over {MAX_PUT_ITEMS} entries at once")
            taken.append(entry)
        wrong = [
            f"entries[{number}].{fault}"
            for number, entry in enumerate(taken)
            for fault in item_faults(entry)
        ]
        scopes = {entry.scope for entry in taken} if not wrong else set()
        if self.scopes is not None:
            wrong += [
                f"entries[{number}].scope: {entry.scope!r} is not held here"
                for number, entry in enumerate(taken)
                if scopes and entry.scope not in self.parts
            ]
        elif len(scopes | set(self.parts)) > MAX_SCOPES:
            wrong.append(f"scopes: over {MAX_SCOPES}")
        if wrong:
            raise ValueError("; ".join(wrong))
        return taken

    def write_bucket(self, scope: str, bucket: int, changes: Mapping[bytes, bytes | None]) -> int:
        if scope not in self.parts:
            self.parts[scope] = ScopeTable()
        part = self.parts[scope]
        others = [one for one in self.lookups if one is not part] if part in self.lookups else []
        rows, digest, differed = part.buckets[bucket], 0, 0
        for key, new in changes.items():
            old = rows.set(key, new)
            if old == new:
                continue
            differed += 1
            kind, name = KIND_NAMES[key[0]], key[1:].decode()
            if old is not None:
                digest ^= item_digest(scope, kind, name, old)
            if new is not None:
                digest ^= item_digest(scope, kind, name, new)
            if old is None or new is None:
                more = 1 if old is None else -1
                part.counts[kind] += more
                if any(one.buckets[bucket].has(key) for one in others):
                    self.shadowed[kind] += more
        part.digests[bucket] ^= digest
        part.digest ^= digest
        return differed


def check_position(place: ItemPosition | None) -> None:
    """Raises `ValueError` for what no entry can stand at."""
    if place is not None and (wrong := item_faults(ConfigItem(*place, None))):
        raise ValueError("; ".join(f"after.{fault}" for fault in wrong))


def position_key(place: ItemPosition) -> bytes:
    """A place within its scope, as leaves order it."""
    return KIND_CODES[place[1]] + place[2].encode()


class TenantShares(Mapping[str, float]):
    """The tenants in force, each with its portion of the service, as a view of a table that changes
    under it. What is not text is in no table. Raises `ValueError` for a value that is no map, or
    whose portion is no number.
    """

    def __init__(self, table: ConfigTable) -> None:
        self.table = table

    def __contains__(self, name: object) -> bool:
        return type(name) is str and self.table.has("tenant", name)

    def __len__(self) -> int:
        return self.table.count("tenant")

    def __iter__(self) -> Iterator[str]:
        return self.table.keys("tenant")

    def __getitem__(self, name: str) -> float:
        value = self.table.get("tenant", name)
        if value is None:
            raise KeyError(name)
        got = msgpack.unpackb(value)
        portion = got.get("portion") if type(got) is dict else None
        if portion is not None and type(portion) not in (int, float):
            raise ValueError(f"portion of {name!r:.40}: {portion!r:.40} is no number")
        return float(portion or 1.0)
