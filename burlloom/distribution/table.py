"""The configuration table: all items in force, in compact form.

Each scope has 256 buckets (leaves.py). Digests (XOR of the items' xxh3) detect differences between
replicas; they are no protection against forged items. benchmarks/scale_table.py compares this
layout with dicts, SQLite in memory and sorted arrays.
"""

from array import array
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

import msgpack
import xxhash

from .changes import ITEM_KINDS, MAX_KEY_BYTES, MAX_SCOPE_BYTES, MAX_VALUE_BYTES, ConfigItem
from .leaves import Bucket

BUCKET_COUNT = 256
MAX_TABLE_SCOPES = 64  # scopes of one table; a scope is a region, and a fleet has few of them
MAX_PUT_ITEMS = 256  # items in one `put`; a change has at most 64, and no page has more than 256
MAX_ITEM_BYTES = (
    1 + 2 + MAX_SCOPE_BYTES + 1 + 7 + 2 + MAX_KEY_BYTES + 3 + MAX_VALUE_BYTES
)  # largest item of a page in MessagePack

# The codes sort like the kinds' names, so buckets and pages have the same order.
KIND_CODES = {kind: kind[:1].encode() for kind in ITEM_KINDS}
KIND_NAMES = {code[0]: kind for kind, code in KIND_CODES.items()}
ItemPosition = tuple[str, str, str]  # scope, kind, key


@dataclass(frozen=True, slots=True)
class Page:
    """Items of one bucket in the order of (scope, kind, key).

    Attributes:
        items: The items.
        last_position: Position of the last item; None if the page is empty.
        is_last: Whether the bucket has no items after those of the page.
    """

    items: tuple[ConfigItem, ...]
    last_position: ItemPosition | None
    is_last: bool


def bucket_of(kind: str, key: str) -> int:
    """Returns the bucket of a key, 0 to 255. Raises `UnicodeEncodeError` for an unencodable key."""
    return int(xxhash.xxh3_64_intdigest(f"{kind}|{key}".encode())) & (BUCKET_COUNT - 1)


def item_digest(scope: str, kind: str, key: str, value: bytes) -> int:
    """Returns the 64-bit xxh3 of an item."""
    return int(xxhash.xxh3_64_intdigest(msgpack.packb((scope, kind, key, value))))


def item_faults(item: ConfigItem) -> list[str]:
    """Returns why a table can't hold an item, each fault with its field; empty if it can."""
    faults = []
    for field, text, min_bytes, max_bytes in (
        ("scope", item.scope, 0, MAX_SCOPE_BYTES),
        ("key", item.key, 1, MAX_KEY_BYTES),
    ):
        try:
            length = len(text.encode())
        except (AttributeError, UnicodeEncodeError):
            faults.append(f"{field}: not text of UTF-8")
        else:
            if not min_bytes <= length <= max_bytes:
                faults.append(f"{field}: {length} bytes, {min_bytes} to {max_bytes} allowed")
    if type(item.kind) is not str or item.kind not in KIND_CODES:
        faults.append(f"kind: {item.kind!r:.40} is none of {', '.join(sorted(ITEM_KINDS))}")
    if item.value is not None and type(item.value) is not bytes:
        faults.append("value: not bytes")
    elif item.value is not None and len(item.value) > MAX_VALUE_BYTES:
        faults.append(f"value: {len(item.value)} bytes, at most {MAX_VALUE_BYTES} allowed")
    return faults


class ScopeTable:
    """One scope's buckets, each bucket's digest, the scope's digest, and item counts by kind."""

    __slots__ = ("buckets", "digests", "digest", "counts")

    def __init__(self) -> None:
        self.buckets = [Bucket() for _ in range(BUCKET_COUNT)]
        self.digests = array("Q", bytes(8 * BUCKET_COUNT))
        self.digest = 0
        self.counts = dict.fromkeys(ITEM_KINDS, 0)


def item_from_key(scope: str, key: bytes, value: bytes) -> ConfigItem:
    """Returns the item for a key and value of a bucket."""
    return ConfigItem(scope, KIND_NAMES[key[0]], key[1:].decode(), value)


class ConfigTable:
    """The items of the scopes that a process holds.

    A lookup returns the item of the process's own region if there is one, else that of scope "".
    In a table that holds all scopes a lookup sees scope "" alone, and `items_of_key` the others.
    All methods check their arguments before any modification and raise `ValueError` with all
    faults, each with its place.

    Args:
        scopes: The scopes held, for a server "" and its region; None for all scopes.
    """

    def __init__(self, scopes: tuple[str, ...] | None) -> None:
        self.scopes = None if scopes is None else tuple(sorted(set(scopes)))
        if self.scopes is not None and not 1 <= len(self.scopes) <= MAX_TABLE_SCOPES:
            raise ValueError(f"{len(self.scopes)} scopes, 1 to {MAX_TABLE_SCOPES} allowed")
        self.scope_tables_by_name: dict[str, ScopeTable] = {
            scope: ScopeTable() for scope in self.scopes or ("",)
        }
        scopes_by_precedence = (
            [""]
            if self.scopes is None
            else sorted(self.scopes, key=lambda scope: (scope == "", scope))
        )
        # The table of the own region comes before that of "".
        self.lookup_order = [self.scope_tables_by_name[scope] for scope in scopes_by_precedence]
        # Number of items hidden by an item with the same key in an earlier table of `lookup_order`.
        self.shadowed = dict.fromkeys(ITEM_KINDS, 0)

    def get(self, kind: str, key: str) -> bytes | None:
        """Returns the value in force for a key; None if there is none."""
        location = self.locate(kind, key)
        if location is not None:
            for scope_table in self.lookup_order:
                if (value := scope_table.buckets[location[0]].get(location[1])) is not None:
                    return value
        return None

    def has(self, kind: str, key: str) -> bool:
        """Returns whether `get` finds a value."""
        location = self.locate(kind, key)
        return location is not None and any(
            scope_table.buckets[location[0]].has(location[1]) for scope_table in self.lookup_order
        )

    def items_of_key(self, kind: str, key: str) -> list[ConfigItem]:
        """Returns a key's items in all scopes held, in order of scope."""
        if (location := self.locate(kind, key)) is None:
            return []
        values = [
            (scope, self.scope_tables_by_name[scope].buckets[location[0]].get(location[1]))
            for scope in sorted(self.scope_tables_by_name)
        ]
        return [ConfigItem(scope, kind, key, value) for scope, value in values if value is not None]

    def count(self, kind: str) -> int:
        """Returns the number of keys of a kind that have a value in force."""
        return (
            sum(scope_table.counts[kind] for scope_table in self.lookup_order) - self.shadowed[kind]
        )

    def item_count(self) -> int:
        """Returns the number of items over all scopes held."""
        return sum(
            sum(scope_table.counts.values()) for scope_table in self.scope_tables_by_name.values()
        )

    def keys(self, kind: str) -> Iterator[str]:
        """Yields the keys of a kind that have a value in force, in no particular order.

        One leaf is unpacked at a time. The table may change during the iteration; a key that is
        present throughout is yielded exactly once.
        """
        code = KIND_CODES[kind]
        for bucket in range(BUCKET_COUNT):
            for precedence, scope_table in enumerate(self.lookup_order):
                for key, _ in scope_table.buckets[bucket].items_after(code):
                    if key[:1] != code:
                        break
                    if not any(
                        earlier_table.buckets[bucket].has(key)
                        for earlier_table in self.lookup_order[:precedence]
                    ):
                        yield key[1:].decode()

    def put(self, items: Iterable[ConfigItem]) -> None:
        """Sets or deletes items atomically; of two items with the same key the later one wins."""
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
        """Returns the digest of all items held."""
        return self.digest_of(None)

    def digests(self) -> tuple[int, ...]:
        """Returns the digest of each bucket over the scopes held."""
        return self.digests_of(None)

    def digest_of(self, scopes: Iterable[str] | None) -> int:
        """Returns the digest over those of `scopes` that are held; None means all."""
        combined = 0
        for scope_table in self.scope_tables(scopes):
            combined ^= scope_table.digest
        return combined

    def digests_of(self, scopes: Iterable[str] | None) -> tuple[int, ...]:
        """Returns each bucket's digest over those of `scopes` that are held; None means all."""
        digests_by_scope = [scope_table.digests for scope_table in self.scope_tables(scopes)]
        if len(digests_by_scope) == 1:
            return tuple(digests_by_scope[0])
        combined = [0] * BUCKET_COUNT
        for digests in digests_by_scope:
            combined = [a ^ b for a, b in zip(combined, digests, strict=True)]
        return tuple(combined)

    def scope_tables(self, scopes: Iterable[str] | None) -> list[ScopeTable]:
        """Returns the tables of those of `scopes` that are held; None means all."""
        held_scopes = self.scope_tables_by_name.keys()
        return [
            self.scope_tables_by_name[scope]
            for scope in (held_scopes if scopes is None else held_scopes & set(scopes))
        ]

    def page(
        self, bucket: int, after: ItemPosition | None, scopes: Iterable[str] | None, max_bytes: int
    ) -> Page:
        """Returns a bucket's next items after a position.

        Args:
            bucket: Number of the bucket.
            after: Position after which the page begins; None for the bucket's start.
            scopes: Scopes whose items are wanted; None for all.
            max_bytes: Upper bound on the items' size in MessagePack.

        Raises:
            ValueError: The bucket or `after` is invalid, or the largest item exceeds `max_bytes`.
        """
        check_position(after)
        if not 0 <= bucket < BUCKET_COUNT or max_bytes < MAX_ITEM_BYTES:
            raise ValueError(
                f"bucket: {bucket}, 0 to {BUCKET_COUNT - 1} allowed; max_bytes: {max_bytes},"
                f" at least {MAX_ITEM_BYTES} allowed"
            )
        items: list[ConfigItem] = []
        bytes_left = max_bytes
        for scope in sorted(
            self.scope_tables_by_name
            if scopes is None
            else set(scopes) & self.scope_tables_by_name.keys()
        ):
            if after is not None and scope < after[0]:
                continue
            start = position_key(after) if after is not None and scope == after[0] else b""
            for key, value in self.scope_tables_by_name[scope].buckets[bucket].items_after(start):
                bytes_left -= (
                    len(scope.encode()) + len(key) + len(value) + 16
                )  # 16: MessagePack headers, and the rest of the kind's name
                if bytes_left < 0:
                    return Page(tuple(items), items[-1][:3], False)
                items.append(item_from_key(scope, key, value))
        return Page(tuple(items), items[-1][:3] if items else None, True)

    def replace(self, bucket: int, after: ItemPosition | None, page: Page) -> int:
        """Makes a range of a bucket equal to a page and returns the number of items that differed.

        The range excludes the position `after` and ends with `page.last_position`, or at the
        bucket's end if the page is the bucket's last. It covers all scopes held.
        """
        items = self.checked_page(bucket, after, page)
        changes_by_scope: dict[str, dict[bytes, bytes | None]] = {}
        for item in items:
            changes_by_scope.setdefault(item.scope, {})[
                KIND_CODES[item.kind] + item.key.encode()
            ] = item.value
        differed, last = 0, None if page.is_last else page.last_position
        for scope in sorted({*self.scope_tables_by_name, *changes_by_scope}):
            if after is not None and scope < after[0] or last is not None and scope > last[0]:
                continue
            changes = changes_by_scope.get(scope, {})
            start = position_key(after) if after is not None and scope == after[0] else b""
            end = position_key(last) if last is not None and scope == last[0] else None
            if scope in self.scope_tables_by_name:
                for key, _ in self.scope_tables_by_name[scope].buckets[bucket].items_after(start):
                    if end is not None and key > end:
                        break
                    changes.setdefault(key, None)
            differed += self.write_bucket(scope, bucket, changes)
        return differed

    def checked_page(self, bucket: int, after: ItemPosition | None, page: Page) -> list[ConfigItem]:
        """Returns the page's items. Raises `ValueError` with all faults of the page."""
        check_position(after)
        checked_items = self.validated(page.items)
        faults, previous_position = [], after
        for number, item in enumerate(checked_items):
            checks = (
                ("has no value", item.value is None),
                ("belongs to another bucket", bucket_of(item.kind, item.key) != bucket),
                (
                    "is not after the previous position",
                    previous_position is not None and item[:3] <= previous_position,
                ),
            )
            faults += [
                f"entries[{number}]: {item[:3]!r:.80} {fault}"
                for fault, is_violated in checks
                if is_violated
            ]
            previous_position = item[:3]
        if page.last_position != (checked_items[-1][:3] if checked_items else None):
            faults.append("last_position: not the position of the last entry")
        if not checked_items and not page.is_last:
            faults.append("is_last: False for a page without entries")
        if faults or not 0 <= bucket < BUCKET_COUNT:
            raise ValueError(
                "; ".join(faults) or f"bucket: {bucket}, 0 to {BUCKET_COUNT - 1} allowed"
            )
        return checked_items

    def locate(self, kind: str, key: str) -> tuple[int, bytes] | None:
        """Returns a key's bucket and its key in the bucket; None if no item can have the key."""
        try:
            return bucket_of(kind, key), KIND_CODES[kind] + key.encode()
        except (KeyError, UnicodeEncodeError):
            return None

    def validated(self, items: Iterable[ConfigItem]) -> list[ConfigItem]:
        """Returns the items as a list. Raises `ValueError` with all faults."""
        checked_items: list[ConfigItem] = []
        for item in items:
            if len(checked_items) == MAX_PUT_ITEMS:
                raise ValueError(f"more than {MAX_PUT_ITEMS} entries in one put")
            checked_items.append(item)
        faults = [
            f"entries[{number}].{fault}"
            for number, item in enumerate(checked_items)
            for fault in item_faults(item)
        ]
        scopes = {item.scope for item in checked_items} if not faults else set()
        if self.scopes is not None:
            faults += [
                f"entries[{number}].scope: {item.scope!r} is not held here"
                for number, item in enumerate(checked_items)
                if scopes and item.scope not in self.scope_tables_by_name
            ]
        elif len(scopes | set(self.scope_tables_by_name)) > MAX_TABLE_SCOPES:
            faults.append(f"scopes: more than {MAX_TABLE_SCOPES}")
        if faults:
            raise ValueError("; ".join(faults))
        return checked_items

    def write_bucket(self, scope: str, bucket: int, changes: Mapping[bytes, bytes | None]) -> int:
        """Sets or deletes items of one bucket; returns the number of items that differed.

        The digests of the bucket and of its scope, and the counts, are updated as well.
        """
        if scope not in self.scope_tables_by_name:
            self.scope_tables_by_name[scope] = ScopeTable()
        scope_table = self.scope_tables_by_name[scope]
        other_tables = (
            [table for table in self.lookup_order if table is not scope_table]
            if scope_table in self.lookup_order
            else []
        )
        items, digest, differed = scope_table.buckets[bucket], 0, 0
        for key, new_value in changes.items():
            old_value = items.set(key, new_value)
            if old_value == new_value:
                continue
            differed += 1
            kind, name = KIND_NAMES[key[0]], key[1:].decode()
            if old_value is not None:
                digest ^= item_digest(scope, kind, name, old_value)
            if new_value is not None:
                digest ^= item_digest(scope, kind, name, new_value)
            if old_value is None or new_value is None:
                count_delta = 1 if old_value is None else -1
                scope_table.counts[kind] += count_delta
                if any(table.buckets[bucket].has(key) for table in other_tables):
                    self.shadowed[kind] += count_delta
        scope_table.digests[bucket] ^= digest
        scope_table.digest ^= digest
        return differed


def check_position(position: ItemPosition | None) -> None:
    """Raises `ValueError` if a position is one that no item can have."""
    if position is not None and (faults := item_faults(ConfigItem(*position, None))):
        raise ValueError("; ".join(f"after.{fault}" for fault in faults))


def position_key(position: ItemPosition) -> bytes:
    """Returns the key in a bucket for a position."""
    return KIND_CODES[position[1]] + position[2].encode()
