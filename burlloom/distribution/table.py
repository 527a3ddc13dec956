"""The configuration in force, in compact form.

Each scope has 256 buckets (leaves.py). Digests (XOR of the items' xxh3) detect differences between
replicas; they keep no stranger out. benchmarks/scale_table.py compares this with dicts, SQLite in
memory and sorted arrays.
"""

from array import array
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

import msgpack
import xxhash

from .changes import KINDS, MAX_KEY_BYTES, MAX_SCOPE_BYTES, MAX_VALUE_BYTES, ConfigItem
from .leaves import Bucket

BUCKET_COUNT = 256
MAX_SCOPES = 64  # of one table that holds all of them: an operator has regions, not thousands
MAX_PUT_ITEMS = (
    256  # entries of one `put`: a change has 64, and no page of a datagram's size has more
)
MAX_ITEM_BYTES = (
    1 + 2 + MAX_SCOPE_BYTES + 1 + 7 + 2 + MAX_KEY_BYTES + 3 + MAX_VALUE_BYTES
)  # one in a page, as MessagePack

KIND_CODES = {kind: kind[:1].encode() for kind in KINDS}  # in the order of the names
KIND_NAMES = {code[0]: kind for kind, code in KIND_CODES.items()}
ItemPosition = tuple[str, str, str]  # scope, kind, key


@dataclass(frozen=True, slots=True)
class Page:
    """Items of one bucket in the order of (scope, kind, key).

    Attributes:
        items: the items.
        last_position: position of the last one; None if there is none.
        is_last: whether the bucket has no items behind them.
    """

    items: tuple[ConfigItem, ...]
    last_position: ItemPosition | None
    is_last: bool


def bucket_of(kind: str, key: str) -> int:
    """Return the bucket of a key, 0 to 255. Raises `UnicodeEncodeError` for an unencodable key."""
    return int(xxhash.xxh3_64_intdigest(f"{kind}|{key}".encode())) & (BUCKET_COUNT - 1)


def item_digest(scope: str, kind: str, key: str, value: bytes) -> int:
    """Return the 64-bit xxh3 of an item."""
    return int(xxhash.xxh3_64_intdigest(msgpack.packb((scope, kind, key, value))))


def item_faults(item: ConfigItem) -> list[str]:
    """Return why an item can't be held, each with its field; empty if it can."""
    found = []
    for name, text, least, most in (
        ("scope", item.scope, 0, MAX_SCOPE_BYTES),
        ("key", item.key, 1, MAX_KEY_BYTES),
    ):
        try:
            length = len(text.encode())
        except (AttributeError, UnicodeEncodeError):
            found.append(f"{name}: not text of UTF-8")
        else:
            if not least <= length <= most:
                found.append(f"{name}: {length} bytes, {least} to {most} allowed")
    if type(item.kind) is not str or item.kind not in KIND_CODES:
        found.append(f"kind: {item.kind!r:.40} is none of {', '.join(sorted(KINDS))}")
    if item.value is not None and type(item.value) is not bytes:
        found.append("value: not bytes")
    elif item.value is not None and len(item.value) > MAX_VALUE_BYTES:
        found.append(f"value: {len(item.value)} bytes, at most {MAX_VALUE_BYTES} allowed")
    return found


class ScopeTable:
    """One scope: its buckets, their digests, and the number of items of each kind."""

    __slots__ = ("buckets", "digests", "digest", "counts")

    def __init__(self) -> None:
        self.buckets = [Bucket() for _ in range(BUCKET_COUNT)]
        self.digests = array("Q", bytes(8 * BUCKET_COUNT))
        self.digest = 0
        self.counts = dict.fromkeys(KINDS, 0)


def item_from_key(scope: str, key: bytes, value: bytes) -> ConfigItem:
    """Return the item that a bucket's key and value stand for."""
    return ConfigItem(scope, KIND_NAMES[key[0]], key[1:].decode(), value)


class ConfigTable:
    """The items of the scopes that are held: ("", own region), or None for all.

    A lookup sees the own region's item first, then that of "". With all scopes held it sees items
    of "" alone; `items_of_key` has the others. Arguments are checked before anything changes; what
    is refused raises `ValueError` with all faults, each with its place.
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
        """Return the value in force under a key; None if there is none."""
        place = self.locate(kind, key)
        if place is not None:
            for part in self.lookups:
                if (value := part.buckets[place[0]].get(place[1])) is not None:
                    return value
        return None

    def has(self, kind: str, key: str) -> bool:
        """Whether `get` finds a value."""
        place = self.locate(kind, key)
        return place is not None and any(
            part.buckets[place[0]].has(place[1]) for part in self.lookups
        )

    def items_of_key(self, kind: str, key: str) -> list[ConfigItem]:
        """Return the key's items in all scopes held, in order of scope."""
        if (place := self.locate(kind, key)) is None:
            return []
        values = [
            (scope, self.parts[scope].buckets[place[0]].get(place[1]))
            for scope in sorted(self.parts)
        ]
        return [ConfigItem(scope, kind, key, value) for scope, value in values if value is not None]

    def count(self, kind: str) -> int:
        """Return how many keys of a kind `get` finds."""
        return sum(part.counts[kind] for part in self.lookups) - self.shadowed[kind]

    def item_count(self) -> int:
        """Return the number of items over all scopes held."""
        return sum(sum(part.counts.values()) for part in self.parts.values())

    def keys(self, kind: str) -> Iterator[str]:
        """Yield the keys that `get` finds, in no particular order.

        One leaf is unpacked at a time, and the table may change meanwhile: a key that is there
        throughout is yielded once.
        """
        code = KIND_CODES[kind]
        for bucket in range(BUCKET_COUNT):
            for number, part in enumerate(self.lookups):
                for key, _ in part.buckets[bucket].items_after(code):
                    if key[:1] != code:
                        break
                    if not any(one.buckets[bucket].has(key) for one in self.lookups[:number]):
                        yield key[1:].decode()

    def put(self, items: Iterable[ConfigItem]) -> None:
        """Set or delete all items, or none; of two with the same key the later counts."""
        checked_items = self.validated(items)
        writes: dict[tuple[str, int], dict[bytes, bytes | None]] = {}
        for item in checked_items:
            bucket = bucket_of(item.kind, item.key)
            writes.setdefault((item.scope, bucket), {})[
                KIND_CODES[item.kind] + item.key.encode()
            ] = item.value
        for (scope, bucket), changes in writes.items():
            self.write_bucket(scope, bucket, changes)

    def digest(self) -> int:
        """Return the digest of all items held."""
        return self.digest_of(None)

    def digests(self) -> tuple[int, ...]:
        """Return the digest of each bucket over the scopes held."""
        return self.digests_of(None)

    def digest_of(self, scopes: Iterable[str] | None) -> int:
        """Return the digest over those of the scopes that are held; None: over all."""
        combined = 0
        for part in self.scope_tables(scopes):
            combined ^= part.digest
        return combined

    def digests_of(self, scopes: Iterable[str] | None) -> tuple[int, ...]:
        """Return each bucket's digest over those of the scopes that are held; None: over all."""
        held = [part.digests for part in self.scope_tables(scopes)]
        if len(held) == 1:
            return tuple(held[0])
        combined = [0] * BUCKET_COUNT
        for digests in held:
            combined = [a ^ b for a, b in zip(combined, digests, strict=True)]
        return tuple(combined)

    def scope_tables(self, scopes: Iterable[str] | None) -> list[ScopeTable]:
        """Return the tables of those scopes that are held; None: of all."""
        held = self.parts.keys()
        return [self.parts[scope] for scope in (held if scopes is None else held & set(scopes))]

    def page(
        self, bucket: int, after: ItemPosition | None, scopes: Iterable[str] | None, most_bytes: int
    ) -> Page:
        """Return a bucket's next items behind `after`, at most `most_bytes` of MessagePack.

        Raises:
            ValueError: for a bucket out of range, or if one item may not fit.
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
        """Make a range of a bucket equal to a page and return how many items differed.

        The range begins behind `after` and ends at `page.last_position`, or at the bucket's end if
        the page is its last; it covers all scopes held.
        """
        items = self.checked_page(bucket, after, page)
        says: dict[str, dict[bytes, bytes | None]] = {}
        for item in items:
            says.setdefault(item.scope, {})[KIND_CODES[item.kind] + item.key.encode()] = item.value
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

    def checked_page(self, bucket: int, after: ItemPosition | None, page: Page) -> list[ConfigItem]:
        """Return the page's items. Raises `ValueError` with all that is wrong with the page."""
        check_position(after)
        checked_items = self.validated(page.items)
        wrong, before = [], after
        for number, item in enumerate(checked_items):
            conditions = (
                ("deletes", item.value is None),
                ("is of another bucket", bucket_of(item.kind, item.key) != bucket),
                ("is not behind the one before", before is not None and item[:3] <= before),
            )
            wrong += [
                f"entries[{number}]: {item[:3]!r:.80} {condition}"
                for condition, true in conditions
                if true
            ]
            before = item[:3]
        if page.last_position != (checked_items[-1][:3] if checked_items else None):
            wrong.append("last: is not the last entry")
        if not checked_items and not page.is_last:
            wrong.append("done: a page of nothing that is not the last")
        if wrong or not 0 <= bucket < BUCKET_COUNT:
            raise ValueError("; ".join(wrong) or f"bucket {bucket} of {BUCKET_COUNT}")
        return checked_items

    def locate(self, kind: str, key: str) -> tuple[int, bytes] | None:
        """Return bucket and inner key; None for a key that no item can have."""
        try:
            return bucket_of(kind, key), KIND_CODES[kind] + key.encode()
        except (KeyError, UnicodeEncodeError):
            return None

    def validated(self, items: Iterable[ConfigItem]) -> list[ConfigItem]:
        """Return the items as a list. Raises `ValueError` with all faults."""
        checked_items: list[ConfigItem] = []
        for item in items:
            if len(checked_items) == MAX_PUT_ITEMS:
                raise ValueError(f"over {MAX_PUT_ITEMS} entries at once")
            checked_items.append(item)
        wrong = [
            f"entries[{number}].{fault}"
            for number, item in enumerate(checked_items)
            for fault in item_faults(item)
        ]
        scopes = {item.scope for item in checked_items} if not wrong else set()
        if self.scopes is not None:
            wrong += [
                f"entries[{number}].scope: {item.scope!r} is not held here"
                for number, item in enumerate(checked_items)
                if scopes and item.scope not in self.parts
            ]
        elif len(scopes | set(self.parts)) > MAX_SCOPES:
            wrong.append(f"scopes: over {MAX_SCOPES}")
        if wrong:
            raise ValueError("; ".join(wrong))
        return checked_items

    def write_bucket(self, scope: str, bucket: int, changes: Mapping[bytes, bytes | None]) -> int:
        """Set or delete items of one bucket and move its digest; returns how many differed."""
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
    """Raise `ValueError` for a position that no item can have."""
    if place is not None and (wrong := item_faults(ConfigItem(*place, None))):
        raise ValueError("; ".join(f"after.{fault}" for fault in wrong))


def position_key(place: ItemPosition) -> bytes:
    """Return a position's key within its scope, in the order of the leaves."""
    return KIND_CODES[place[1]] + place[2].encode()
