"""What is in force, plainly: one dict a bucket. Stands in until the compact table with the same interface."""

from collections.abc import Iterable
from typing import NamedTuple

import msgpack
import xxhash

from .changes import Entry

BUCKETS = 256
Place = tuple[str, str, str]  # scope, kind, key


class Page(NamedTuple):
    """`last`: the place of the last entry, None where there is none; `done`: the bucket has no more after."""

    entries: tuple[Entry, ...]
    last: Place | None
    done: bool


def bucket_of(kind: str, key: str) -> int:
    return int(xxhash.xxh3_64_intdigest(f"{kind}|{key}".encode())) & (BUCKETS - 1)


def digest_of_entry(scope: str, kind: str, key: str, value: bytes) -> int:
    return int(xxhash.xxh3_64_intdigest(msgpack.packb((scope, kind, key, value))))


class Table:
    def __init__(self, scopes: tuple[str, ...] | None) -> None:
        """`scopes`: that are held; None: all."""
        self.scopes = scopes
        self.buckets: list[dict[Place, bytes]] = [{} for _ in range(BUCKETS)]
        self.sums: dict[str, list[int]] = {}  # bucket digests, by scope
        self.totals: dict[str, int] = {}

    def get(self, kind: str, key: str) -> bytes | None:
        bucket = self.buckets[bucket_of(kind, key)]
        for scope in sorted(self.totals, reverse=True):
            value = bucket.get((scope, kind, key))
            if value is not None:
                return value
        return None

    def has(self, kind: str, key: str) -> bool:
        return self.get(kind, key) is not None

    def count(self, kind: str) -> int:
        return sum(place[1] == kind for bucket in self.buckets for place in bucket)

    def put(self, entries: Iterable[Entry]) -> None:
        for scope, kind, key, value in entries:
            self.set(bucket_of(kind, key), (scope, kind, key), value)

    def set(self, number: int, place: Place, value: bytes | None) -> bool:
        bucket, before = self.buckets[number], self.buckets[number].get(place)
        if before == value:
            return False
        moved = 0
        if before is not None:
            moved ^= digest_of_entry(*place, before)
            del bucket[place]
        if value is not None:
            moved ^= digest_of_entry(*place, value)
            bucket[place] = value
        self.sums.setdefault(place[0], [0] * BUCKETS)[number] ^= moved
        self.totals[place[0]] = self.totals.get(place[0], 0) ^ moved
        return True

    def digest(self) -> int:
        return self.digest_of(self.scopes)

    def digests(self) -> tuple[int, ...]:
        return self.digests_of(self.scopes)

    def digest_of(self, scopes: tuple[str, ...] | None) -> int:
        found = 0
        for scope in self.totals if scopes is None else scopes:
            found ^= self.totals.get(scope, 0)
        return found

    def digests_of(self, scopes: tuple[str, ...] | None) -> tuple[int, ...]:
        found = [0] * BUCKETS
        for scope in self.sums if scopes is None else scopes:
            if scope in self.sums:
                found = [one ^ other for one, other in zip(found, self.sums[scope], strict=True)]
        return tuple(found)

    def page(self, bucket: int, after: Place | None, scopes: tuple[str, ...] | None, most_bytes: int) -> Page:
        entries: list[Entry] = []
        for place in sorted(self.buckets[bucket]):
            if scopes is not None and place[0] not in scopes or after is not None and place <= after:
                continue
            entry = Entry(*place, self.buckets[bucket][place])
            most_bytes -= len(msgpack.packb(entry))
            if most_bytes < 0 and entries:
                return Page(tuple(entries), entries[-1][:3], False)
            entries.append(entry)
        return Page(tuple(entries), entries[-1][:3] if entries else None, True)

    def replace(self, bucket: int, after: Place | None, page: Page) -> int:
        """The range after `after` up to the page's last entry, to the bucket's end where it is done."""
        new = {entry[:3]: entry.value for entry in page.entries}
        old = [place for place in self.buckets[bucket] if (after is None or place > after)
               and (page.done or page.last is not None and place <= page.last)]
        return (sum([self.set(bucket, place, None) for place in old if place not in new])
                + sum([self.set(bucket, place, value) for place, value in new.items()]))
