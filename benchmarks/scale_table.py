"""The table of what is in force beside four other ways to hold it, at 10,000 to 670,000 entries.

    python benchmarks/scale_table.py                          all ways and sizes, kept in slopes.jsonl
    python benchmarks/scale_table.py --way table --no-keep    one way, only shown

Each way and size has a process of its own. Entries are 64 tenants to 36 routes, keys of 12 to 40
bytes, values as MessagePack maps of 10 to 60. All ways are filled by changes of 64 in an order of
chance, the dearest for what is sorted; `pages` fills the table bucket by bucket, as a newcomer
does. Figures: resident memory beyond the empty process, processor time of a lookup (half of them of
keys that are not there), of a change of 64 entries (half of them new), of a page of 1,300 bytes, of
the whole fill, and of the longest single step of it (the collector is off, as nothing here makes
cycles). All but the dicts and sorted arrays look in two scopes; all check the entries and keep the
digests.
"""

import gc
import json
import os
import sqlite3
import statistics
import subprocess
import sys
import time
from array import array
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any

import click
import msgpack

from burlloom.distribution.changes import ConfigItem
from burlloom.distribution.table import (
    BUCKET_COUNT,
    ConfigTable,
    Page,
    bucket_of,
    item_digest,
    item_faults,
)
from burlloom.lab.slopes import Row, append_row, describe_fit, fit

SIZES = (10_000, 30_000, 100_000, 200_000, 430_000, 670_000)
CHANGE, PAGE_BYTES, PAGE_ENTRIES = 64, 1_300, 16
LOOKUPS, CHANGES, PAGES = 20_000, 60, 300
WAYS = ("table", "plain dict", "bytes dict", "sqlite", "sorted arrays")


def entry(number: int) -> ConfigItem:
    """The same for the same number."""
    chance = Random(number)
    kind = "tenant" if number % 100 < 64 else "route"
    name = f"{kind[0]}{number:08x}-".ljust(chance.randint(12, 40), "abcdefghijklmnop"[number % 16])
    told = (
        {"portion": round(chance.random(), 3)}
        if kind == "tenant"
        else {"to": f"pool-{number % 3000}"}
    )
    if (rest := chance.randint(0, 36)) > 6:
        told["note"] = "x" * (rest - 6)
    return ConfigItem("", kind, name, msgpack.packb(told))


@dataclass(frozen=True, slots=True)
class Held:
    """An entry as an object, as configuration is held today."""

    scope: str
    value: dict[str, Any]


class Digests:
    """What all ways keep beside the entries."""

    def __init__(self) -> None:
        self.digests = array("Q", bytes(8 * BUCKET_COUNT))

    def changed(self, one: ConfigItem, old: bytes | None) -> None:
        assert not item_faults(one)
        bucket = bucket_of(one.kind, one.key)
        for value in (old, one.value):
            if value is not None:
                self.digests[bucket] ^= item_digest(one.scope, one.kind, one.key, value)


class PlainDict(Digests):
    def __init__(self) -> None:
        super().__init__()
        self.kinds: dict[str, dict[str, Held]] = {"tenant": {}, "route": {}, "setting": {}}

    def put(self, entries: Sequence[ConfigItem]) -> None:
        for one in entries:
            old = self.kinds[one.kind].get(one.key)
            self.changed(one, None if old is None else msgpack.packb(old.value))
            self.kinds[one.kind][one.key] = Held(one.scope, msgpack.unpackb(one.value))

    def get(self, kind: str, key: str) -> Any:
        return self.kinds[kind].get(key)


class BytesDict(Digests):
    def __init__(self) -> None:
        super().__init__()
        self.rows: dict[bytes, bytes] = {}

    def put(self, entries: Sequence[ConfigItem]) -> None:
        for one in entries:
            assert one.value is not None
            key = f"{one.kind[0]}{one.key}".encode()
            self.changed(one, self.rows.get(key))
            self.rows[key] = one.value

    def get(self, kind: str, key: str) -> bytes | None:
        return self.rows.get(f"{kind[0]}{key}".encode())


class Sqlite(Digests):
    """In memory, one table without row numbers, in the order of bucket, scope, kind and key."""

    def __init__(self) -> None:
        super().__init__()
        self.db = sqlite3.connect(":memory:", isolation_level=None, cached_statements=16)
        self.db.execute(
            "CREATE TABLE entry (bucket INTEGER, scope TEXT, kind TEXT, key TEXT,"
            " value BLOB NOT NULL, PRIMARY KEY (bucket, scope, kind, key)) WITHOUT ROWID"
        )

    def put(self, entries: Sequence[ConfigItem]) -> None:
        self.db.execute("BEGIN")
        for one in entries:
            place = bucket_of(one.kind, one.key), one.scope, one.kind[0], one.key
            old = self.db.execute(
                "SELECT value FROM entry WHERE bucket=? AND scope=? AND kind=? AND key=?", place
            ).fetchone()
            self.changed(one, old and old[0])
            self.db.execute("INSERT OR REPLACE INTO entry VALUES (?,?,?,?,?)", (*place, one.value))
        self.db.execute("COMMIT")

    def get(self, kind: str, key: str) -> bytes | None:
        row = self.db.execute(
            "SELECT value FROM entry WHERE bucket=? AND scope IN ('', 'north')"
            " AND kind=? AND key=? ORDER BY scope DESC LIMIT 1",
            (bucket_of(kind, key), kind[0], key),
        ).fetchone()
        return row and row[0]

    def page(self, bucket: int) -> int:
        left, found = PAGE_BYTES, 0
        for kind, key, value in self.db.execute(
            "SELECT kind, key, value FROM entry WHERE bucket=? AND (scope, kind, key) > (?,?,?)"
            " ORDER BY scope, kind, key LIMIT 64",
            (bucket, "", "", ""),
        ):
            left -= len(key.encode()) + len(value) + 16
            if left < 0:
                break
            found += bool(ConfigItem("", kind, key, value))
        return found


class SortedArrays(Digests):
    """A bucket is one sorted run with an overlay that is folded in when it has as many as
    `FOLD`.
    """

    FOLD = 64

    def __init__(self) -> None:
        super().__init__()
        self.runs = [(b"", array("I"), b"", array("I")) for _ in range(BUCKET_COUNT)]
        self.overlays: list[dict[bytes, bytes]] = [{} for _ in range(BUCKET_COUNT)]

    def find(self, bucket: int, key: bytes) -> bytes | None:
        if (value := self.overlays[bucket].get(key)) is not None:
            return value
        keys, key_ends, values, ends = self.runs[bucket]
        low, high = 0, len(key_ends)
        while low < high:
            middle = (low + high) // 2
            if keys[key_ends[middle - 1] if middle else 0 : key_ends[middle]] < key:
                low = middle + 1
            else:
                high = middle
        if low < len(key_ends) and keys[key_ends[low - 1] if low else 0 : key_ends[low]] == key:
            return values[ends[low - 1] if low else 0 : ends[low]]
        return None

    def put(self, entries: Sequence[ConfigItem]) -> None:
        for one in entries:
            assert one.value is not None
            bucket, key = bucket_of(one.kind, one.key), f"{one.kind[0]}{one.key}".encode()
            self.changed(one, self.find(bucket, key))
            self.overlays[bucket][key] = one.value
        fullest = max(range(BUCKET_COUNT), key=lambda bucket: len(self.overlays[bucket]))
        if len(self.overlays[fullest]) >= self.FOLD:
            self.fold(fullest)

    def fold(self, bucket: int) -> None:
        rows = sorted({**dict(self.rows(bucket)), **self.overlays[bucket]}.items())
        key_ends, ends, at, to = array("I"), array("I"), 0, 0
        for key, value in rows:
            at, to = at + len(key), to + len(value)
            key_ends.append(at)
            ends.append(to)
        keys, values = (b"".join(column) for column in zip(*rows, strict=True))
        self.runs[bucket] = keys, key_ends, values, ends
        self.overlays[bucket] = {}

    def rows(self, bucket: int) -> Iterator[tuple[bytes, bytes]]:
        keys, key_ends, values, ends = self.runs[bucket]
        for a, b, c, d in zip((0, *key_ends), key_ends, (0, *ends), ends, strict=False):
            yield keys[a:b], values[c:d]

    def get(self, kind: str, key: str) -> bytes | None:
        return self.find(bucket_of(kind, key), f"{kind[0]}{key}".encode())


MADE = {
    "table": lambda: ConfigTable(("", "north")),
    "plain dict": PlainDict,
    "bytes dict": BytesDict,
    "sqlite": Sqlite,
    "sorted arrays": SortedArrays,
}


def resident() -> float:
    """MB of this process."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


def measured(way: str, size: int) -> dict[str, float]:
    """One way at one size, in this process."""
    chance = Random(1)
    pages = way == "pages"
    made = MADE["table" if pages else way]()
    numbers = list(range(size))
    chance.shuffle(numbers)
    if pages:
        numbers.sort(key=lambda number: (bucket_of(*entry(number)[1:3]), entry(number)[1:3]))
    order = array("I", numbers)
    del numbers
    made.get("tenant", "warm")
    gc.collect()
    gc.disable()
    before, longest, fill = resident(), 0, 0
    after, at = None, 0
    while at < size:
        entries = [entry(number) for number in order[at : at + (PAGE_ENTRIES if pages else CHANGE)]]
        if pages:
            bucket = bucket_of(*entries[0][1:3])
            entries = [one for one in entries if bucket_of(*one[1:3]) == bucket]
            following = entry(order[at + len(entries)]) if at + len(entries) < size else None
            done = following is None or bucket_of(*following[1:3]) != bucket
            page = Page(tuple(entries), entries[-1][:3], done)
            began = time.thread_time_ns()
            made.replace(bucket, after, page)
            after = None if done else page.last_position
        else:
            began = time.thread_time_ns()
            made.put(entries)
        took = time.thread_time_ns() - began
        at += len(entries)
        longest, fill = max(longest, took), fill + took
    del entries
    memory = resident() - before
    known = [entry(chance.randrange(size))[1:3] for _ in range(LOOKUPS // 2)]
    asked = known + [(kind, key + "-") for kind, key in known]
    began = time.thread_time_ns()
    for kind, key in asked:
        made.get(kind, key)
    lookup = (time.thread_time_ns() - began) / len(asked)
    assert all(made.get(*one) is not None for one in known[:100])
    found = {
        "memory": memory,
        "lookup": lookup / 1e3,
        "longest step": longest / 1e6,
        "fill": fill / 1e9,
    }
    if hasattr(made, "page"):
        began = time.thread_time_ns()
        for number in range(PAGES):
            if isinstance(made, ConfigTable):
                made.page(number % BUCKET_COUNT, None, ("", "north"), PAGE_BYTES)
            else:
                made.page(number % BUCKET_COUNT)
        found["page"] = (time.thread_time_ns() - began) / PAGES / 1e3
    took = []
    for number in range(CHANGES):
        entries = [
            entry(chance.randrange(size))._replace(value=msgpack.packb({"portion": number}))
            for _ in range(CHANGE // 2)
        ]
        entries += [entry(size + number * CHANGE + new) for new in range(CHANGE // 2)]
        began = time.thread_time_ns()
        made.put(entries)
        took.append(time.thread_time_ns() - began)
    found["change"] = statistics.median(took) / 1e6
    found["longest step"] = max(found["longest step"], max(took) / 1e6)
    return found


UNITS = {
    "memory": "MB",
    "lookup": "us",
    "longest step": "ms",
    "fill": "s",
    "page": "us",
    "change": "ms",
}


@click.command()
@click.option(
    "--way",
    "ways",
    type=click.Choice([*WAYS, "pages"]),
    multiple=True,
    help="Only these; else all.",
)
@click.option(
    "--keep/--no-keep",
    "kept",
    default=True,
    show_default=True,
    help="Add the slopes to benchmarks/slopes.jsonl.",
)
@click.option("--one", type=int, hidden=True, help="One size in this process, told as JSON.")
def table(ways: tuple[str, ...], kept: bool, one: int | None) -> None:
    """Ways to hold what is in force, by entries: memory, lookup, change, page, longest step,
    fill.
    """
    if one is not None:
        print(json.dumps(measured(ways[0], one)))
        return
    for way in ways or (*WAYS, "pages"):
        rows = []
        for size in SIZES:
            done = subprocess.run(
                [sys.executable, __file__, "--way", way, "--one", str(size)],
                capture_output=True,
                text=True,
                check=True,
                timeout=600,
            )
            rows.append(json.loads(done.stdout))
            told = "  ".join(
                f"{name} {value:.2f} {UNITS[name]}" for name, value in rows[-1].items()
            )
            click.echo(f"{way:14} {size:>8,} entries  {told}")
        name = "table by pages" if way == "pages" else way
        for figure in rows[0]:
            values = tuple(row[figure] for row in rows)
            if kept:
                append_row(
                    Row(
                        f"{name} {figure}",
                        "entries",
                        UNITS[figure],
                        "cold" if figure == "fill" else "rest",
                        SIZES,
                        values,
                        f"python benchmarks/scale_table.py --way {way!r}".replace("'", '"'),
                        "a process a size, processor time, one scope filled;"
                        f" load {os.getloadavg()[0]:.0f}",
                    )
                )
            click.echo(f"  {name} {figure}: {describe_fit(fit(SIZES, values))}")


if __name__ == "__main__":
    table()
