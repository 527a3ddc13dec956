"""The changes in their two stores: what is promised of a step holds on either."""

import asyncio
import sqlite3
import time
from itertools import count
from pathlib import Path

import msgpack
import pytest
from fleet_rig import KEY
from locked_database import LockedDatabase
from test_command import burlloom, create_record

from burlloom.distribution.change_log import MAX_LOGGED_CHANGES
from burlloom.distribution.changes import (
    Change,
    ConfigItem,
    Head,
    chain_break,
    encode_items,
    head_after,
    next_change,
)
from burlloom.distribution.stores import ChangeStore, StoreUnavailableError
from burlloom.distribution.stores.postgres import PostgresChangeStore
from burlloom.distribution.stores.sqlite import SqliteChangeStore
from burlloom.fakes import postgres
from burlloom.operator import Place
from burlloom.operator import Postgres as Database
from burlloom.record.factory import create_store

SIGNING = b"s" * 32


def value(**told: object) -> bytes:
    packed: bytes = msgpack.packb(told)
    return packed


def change(before: Head, *told: tuple[str, str, bytes | None], scope: str = "") -> Change:
    return next_change(
        before, scope, encode_items(ConfigItem(scope, *one) for one in told), 5, SIGNING
    )


async def append(
    store: ChangeStore, *told: tuple[str, str, bytes | None], scope: str = ""
) -> Change:
    made = change(await store.head(), *told, scope=scope)
    assert await store.append(made)
    return made


async def all_of(
    store: ChangeStore, most: int
) -> dict[tuple[str, str, str], tuple[bytes | None, int]]:
    found, after = {}, None
    while page := await store.items(after, most):
        assert len(page) <= most
        for one in page:
            place = one.item[:3]
            assert after is None or place > after
            found[place], after = (one.item.value, one.revision), place
    return found


async def promises(first: ChangeStore, second: ChangeStore) -> None:
    await asyncio.gather(first.open(), second.open())  # at once: one of them makes the tables
    head = await first.head()
    assert head == await second.head()
    assert head.revision == 0
    assert head.epoch > 1_700_000_000_000
    one, other = (
        change(head, ("tenant", "a", value(portion=1))),
        change(head, ("tenant", "b", value())),
    )
    assert await second.append(one)
    assert not await first.append(other), "written over what another wrote"
    assert await first.head() == head_after(one)
    assert await first.change_at(1) == one
    assert await first.change_at(2) is None
    assert not await second.append(one), "the same once more"
    two = await append(
        first, ("tenant", "c", value()), ("tenant", "a", None), ("route", "é", value(to="x"))
    )
    three = await append(second, ("tenant", "c", value(portion=2.5)), scope="north")
    assert await first.changes_since(0, 2) == [one, two]
    assert await second.changes_since(1, 9) == [two, three]
    assert (
        chain_break(head_after(one), two, (SIGNING,))
        == chain_break(head_after(two), three, (SIGNING,))
        == ""
    )
    assert await all_of(first, 1) == {
        ("", "route", "é"): (value(to="x"), 2),
        ("", "tenant", "c"): (value(), 2),
        ("north", "tenant", "c"): (value(portion=2.5), 3),
    }
    stored = await first.item("north", "tenant", "c")
    assert stored is not None
    assert (stored.epoch, stored.revision) == (head.epoch, 3)
    assert await first.item("", "tenant", "a") is None

    # Many at once: each revision is written once, in the chain's order, whoever writes.
    async def writes(store: ChangeStore, name: str, left: int) -> None:
        while left:
            made = change(await store.head(), ("setting", f"{name}{left}", value()))
            left -= await store.append(made)

    await asyncio.gather(writes(first, "x", 10), writes(second, "y", 10))
    log = await first.changes_since(3, 100)
    assert [one.revision for one in log] == list(range(4, 24))
    before = head_after(three)
    for made in log:
        assert chain_break(before, made, (SIGNING,)) == ""
        before = head_after(made)
    assert len(await all_of(second, 7)) == 3 + 20

    # A store that was put back: whoever knows better begins a new epoch, once.
    seen = await first.head()
    held = await asyncio.gather(
        first.begin_epoch(seen, seen.epoch), second.begin_epoch(seen, seen.epoch)
    )
    assert sorted(held) == [False, True]
    assert not await first.begin_epoch(seen, seen.epoch)
    new = await second.head()
    assert new.epoch > seen.epoch
    assert new.revision == 0
    assert await first.changes_since(0, 9) == []
    assert len(await all_of(second, 7)) == 3 + 20
    assert not await first.append(change(seen, ("tenant", "z", value()))), (
        "of an epoch that is over"
    )
    assert (await append(first, ("tenant", "z", value()))).revision == 1


async def replayed(reader: ChangeStore, writer: ChangeStore) -> None:
    """Pages of a table that moves, then the changes after the head that was read before."""
    for n in range(60):
        await append(writer, ("tenant", f"t{n:02}", value(n=n)))
    head, names, found, after = await reader.head(), count(), {}, None
    while page := await reader.items(after, 8):
        for one in page:
            found[one.item[:3]], after = one.item.value, one.item[:3]
        n = next(names)  # behind, ahead of and at the place that was read
        await append(
            writer,
            ("tenant", f"t{n:02}", None),
            ("tenant", f"t{59 - n:02}", value(again=n)),
            ("tenant", f"t{n:02}x", value()),
        )
    for made in await reader.changes_since(head.revision, 1000):
        assert made.body is not None
        for kind, key, told in msgpack.unpackb(made.body):
            found[made.scope, kind, key] = told
    assert {place: told for place, told in found.items() if told is not None} == {
        place: told for place, (told, _) in (await all_of(writer, 100)).items()
    }


def test_in_a_file(tmp_path: Path) -> None:
    async def play() -> None:
        first, second = (
            SqliteChangeStore(tmp_path / "changes.db"),
            SqliteChangeStore(tmp_path / "changes.db"),
        )
        await promises(first, second)
        await replayed(first, second)
        before = await first.head()
        (tmp_path / "changes.db").rename(tmp_path / "before.db")
        with pytest.raises(StoreUnavailableError, match="No such file"):
            await first.head()
        await second.open()
        with pytest.raises(StoreUnavailableError):
            await first.append(change(before, ("tenant", "a", value())))
        await first.open()
        head = await first.head()
        assert head.epoch > before.epoch
        assert head.revision == 0
        assert await all_of(first, 10) == {}
        await first.close()
        await second.close()

    asyncio.run(play())


def test_a_restored_record_keeps_its_configuration_in_a_new_epoch(tmp_path: Path) -> None:
    path = create_record(tmp_path)

    async def play() -> None:
        store = SqliteChangeStore(tmp_path / "record.db")
        await store.open()
        await append(store, ("tenant", "kept", value()))
        before = await store.head()
        burlloom("record", "snapshot", tmp_path / "copy.db", "-o", path)
        await append(store, ("tenant", "lost", value()))
        await store.close()
        burlloom("record", "restore", tmp_path / "copy.db", "--window-s", 18, "-o", path)
        store = SqliteChangeStore(tmp_path / "record.db")
        await store.open()
        head = await store.head()
        assert head.epoch > before.epoch
        assert head.revision == 0
        assert await store.changes_since(0, 9) == []
        assert list(await all_of(store, 9)) == [("", "tenant", "kept")]
        await store.close()

    asyncio.run(play())


def test_the_log_is_pruned(tmp_path: Path) -> None:
    async def play() -> None:
        store = SqliteChangeStore(tmp_path / "changes.db")
        await store.open()
        with sqlite3.connect(tmp_path / "changes.db") as db:  # as if so many had been written
            db.execute("UPDATE distribution_head SET revision = ?", (MAX_LOGGED_CHANGES + 8,))
            db.executemany(
                "INSERT INTO distribution_change (revision, epoch, time_ms, scope, body, tag)"
                " VALUES (?, 1, 1, x'', x'90', x'')",
                [(n + 1,) for n in range(MAX_LOGGED_CHANGES + 8)],
            )
        last = await append(store, ("tenant", "a", value()))
        with sqlite3.connect(tmp_path / "changes.db") as db:
            assert db.execute(
                "SELECT count(*), min(revision), max(revision) FROM distribution_change"
            ).fetchone() == (
                MAX_LOGGED_CHANGES,
                last.revision - MAX_LOGGED_CHANGES + 1,
                last.revision,
            )
        assert (await store.changes_since(1, 1))[
            0
        ].revision == last.revision - MAX_LOGGED_CHANGES + 1
        await store.close()

    asyncio.run(play())


def test_a_lock_that_another_holds_never_keeps_the_loop(tmp_path: Path) -> None:
    async def play() -> None:
        store = SqliteChangeStore(tmp_path / "changes.db")
        await store.open()
        made = change(await store.head(), ("tenant", "a", value()))
        other = sqlite3.connect(tmp_path / "changes.db", isolation_level=None)
        other.execute("BEGIN IMMEDIATE")
        waits = asyncio.create_task(store.append(made))
        worst, last = 0.0, time.monotonic()
        while not waits.done():
            await asyncio.sleep(0.005)
            worst, last = max(worst, time.monotonic() - last), time.monotonic()
        with pytest.raises(StoreUnavailableError, match="locked"):
            await waits
        assert worst < 1.0, worst  # the lock was waited for twice as long
        other.execute("ROLLBACK")
        other.close()
        assert (await store.head()).revision == 0
        assert await store.append(made)
        await store.close()

    asyncio.run(play())


def test_in_a_database(tmp_path: Path) -> None:
    async def play() -> None:
        server = await postgres.Postgres(tmp_path).start()
        key = tmp_path / "key"
        key.write_text(KEY)
        key.chmod(0o600)
        told = Place(
            postgres=Database(
                address=server.address, key_file=str(key), hang_ms=300, connect_ms=500
            )
        )
        first, second = (
            PostgresChangeStore(create_store(told, "-", retention_ns=0)[0]) for _ in range(2)
        )  # type: ignore[arg-type]
        await promises(first, second)
        await replayed(first, second)
        made = change(await first.head(), ("tenant", "q", value()))
        server.orders.reset_after_commit = 1  # taken, and nobody is told
        with pytest.raises(StoreUnavailableError):
            await first.append(made)
        assert await first.change_at(made.revision) == made
        assert not await first.append(made)
        made = change(await first.head(), ("tenant", "r", value()))
        server.orders.reset_before_commit = 1  # not taken, and nobody is told
        with pytest.raises(StoreUnavailableError):
            await first.append(made)
        assert await first.change_at(made.revision) is None
        assert await first.append(made)
        server.orders.hang = True
        with pytest.raises(StoreUnavailableError):
            await first.head()
        server.orders.hang = False
        assert await first.head() == head_after(made)
        await first.close()
        await second.close()
        await server.stop()

    asyncio.run(play())


def test_a_change_waits_for_a_lock_that_others_have(tmp_path: Path) -> None:
    """Found taken a hundred times, and then had; past its time the store is away, and nothing was
    written.
    """

    async def play() -> None:
        store = SqliteChangeStore(tmp_path / "changes.db")
        await store.open()
        held = LockedDatabase(tmp_path / "changes.db", 1.9)
        store.lock_retry = held.lock_retry()
        assert await store.append(change(await store.head(), ("tenant", "a", value())))
        assert held.attempts >= 100
        held = LockedDatabase(tmp_path / "changes.db", 9.0)
        store.lock_retry = held.lock_retry()
        with pytest.raises(StoreUnavailableError, match="database is locked"):
            await store.append(change(await store.head(), ("tenant", "b", value())))
        assert 2.0 <= held.now_s < 2.1
        assert (await store.head()).revision == 1
        held.db.close()
        await store.close()

    asyncio.run(play())
