"""The change stores in SQLite and PostgreSQL, which are checked against the same contract."""

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
from burlloom.operator import Postgres as Database
from burlloom.operator import StorePart
from burlloom.record.factory import create_store

SIGNING_KEY = b"s" * 32


def packed_value(**fields: object) -> bytes:
    packed: bytes = msgpack.packb(fields)
    return packed


def next_change_of(head: Head, *items: tuple[str, str, bytes | None], scope: str = "") -> Change:
    return next_change(
        head, scope, encode_items(ConfigItem(scope, *item) for item in items), 5, SIGNING_KEY
    )


async def append(
    store: ChangeStore, *items: tuple[str, str, bytes | None], scope: str = ""
) -> Change:
    change = next_change_of(await store.head(), *items, scope=scope)
    assert await store.append(change)
    return change


async def all_items(
    store: ChangeStore, max_count: int
) -> dict[tuple[str, str, str], tuple[bytes | None, int]]:
    values, after = {}, None
    while page := await store.items(after, max_count):
        assert len(page) <= max_count
        for stored in page:
            position = stored.item[:3]
            assert after is None or position > after
            values[position], after = (stored.item.value, stored.revision), position
    return values


async def check_store_contract(first: ChangeStore, second: ChangeStore) -> None:
    await asyncio.gather(
        first.open(), second.open()
    )  # concurrently: one of them creates the tables
    head = await first.head()
    assert head == await second.head()
    assert head.revision == 0
    assert head.epoch > 1_700_000_000_000
    first_change, rejected_change = (
        next_change_of(head, ("tenant", "a", packed_value(portion=1))),
        next_change_of(head, ("tenant", "b", packed_value())),
    )
    assert await second.append(first_change)
    assert not await first.append(rejected_change), "overwrote a revision of another writer"
    assert await first.head() == head_after(first_change)
    assert await first.change_at(1) == first_change
    assert await first.change_at(2) is None
    assert not await second.append(first_change), "wrote the same revision twice"
    second_change = await append(
        first,
        ("tenant", "c", packed_value()),
        ("tenant", "a", None),
        ("route", "é", packed_value(to="x")),
    )
    third_change = await append(second, ("tenant", "c", packed_value(portion=2.5)), scope="north")
    assert await first.changes_since(0, 2) == [first_change, second_change]
    assert await second.changes_since(1, 9) == [second_change, third_change]
    assert (
        chain_break(head_after(first_change), second_change, (SIGNING_KEY,))
        == chain_break(head_after(second_change), third_change, (SIGNING_KEY,))
        == ""
    )
    assert await all_items(first, 1) == {
        ("", "route", "é"): (packed_value(to="x"), 2),
        ("", "tenant", "c"): (packed_value(), 2),
        ("north", "tenant", "c"): (packed_value(portion=2.5), 3),
    }
    stored = await first.item("north", "tenant", "c")
    assert stored is not None
    assert (stored.epoch, stored.revision) == (head.epoch, 3)
    assert await first.item("", "tenant", "a") is None

    # Two concurrent writers: each revision is written once, in the order of the chain.
    async def append_changes(store: ChangeStore, name: str, remaining: int) -> None:
        while remaining:
            change = next_change_of(
                await store.head(), ("setting", f"{name}{remaining}", packed_value())
            )
            remaining -= await store.append(change)

    await asyncio.gather(append_changes(first, "x", 10), append_changes(second, "y", 10))
    log = await first.changes_since(3, 100)
    assert [first_change.revision for first_change in log] == list(range(4, 24))
    expected_head = head_after(third_change)
    for change in log:
        assert chain_break(expected_head, change, (SIGNING_KEY,)) == ""
        expected_head = head_after(change)
    assert len(await all_items(second, 7)) == 3 + 20

    # After a restore two processes begin a new epoch; one of them succeeds.
    seen = await first.head()
    begun = await asyncio.gather(
        first.begin_epoch(seen, seen.epoch), second.begin_epoch(seen, seen.epoch)
    )
    assert sorted(begun) == [False, True]
    assert not await first.begin_epoch(seen, seen.epoch)
    new = await second.head()
    assert new.epoch > seen.epoch
    assert new.revision == 0
    assert await first.changes_since(0, 9) == []
    assert len(await all_items(second, 7)) == 3 + 20
    assert not await first.append(next_change_of(seen, ("tenant", "z", packed_value()))), (
        "appended to an earlier epoch"
    )
    assert (await append(first, ("tenant", "z", packed_value()))).revision == 1


async def check_pages_of_a_changing_table(reader: ChangeStore, writer: ChangeStore) -> None:
    """Reads pages while the table changes, then applies the changes after the head read before."""
    for n in range(60):
        await append(writer, ("tenant", f"t{n:02}", packed_value(n=n)))
    head, numbers, values, after = await reader.head(), count(), {}, None
    while page := await reader.items(after, 8):
        for stored in page:
            values[stored.item[:3]], after = stored.item.value, stored.item[:3]
        n = next(numbers)  # changes items before, after and at the position of the reader
        await append(
            writer,
            ("tenant", f"t{n:02}", None),
            ("tenant", f"t{59 - n:02}", packed_value(again=n)),
            ("tenant", f"t{n:02}x", packed_value()),
        )
    for change in await reader.changes_since(head.revision, 1000):
        assert change.body is not None
        for kind, key, value in msgpack.unpackb(change.body):
            values[change.scope, kind, key] = value
    assert {position: value for position, value in values.items() if value is not None} == {
        position: value for position, (value, _) in (await all_items(writer, 100)).items()
    }


def test_the_sqlite_store_keeps_the_contract_and_survives_a_lost_file(tmp_path: Path) -> None:
    async def run() -> None:
        first, second = (
            SqliteChangeStore(tmp_path / "changes.db"),
            SqliteChangeStore(tmp_path / "changes.db"),
        )
        await check_store_contract(first, second)
        await check_pages_of_a_changing_table(first, second)
        before = await first.head()
        (tmp_path / "changes.db").rename(tmp_path / "before.db")
        with pytest.raises(StoreUnavailableError, match="No such file"):
            await first.head()
        await second.open()
        with pytest.raises(StoreUnavailableError):
            await first.append(next_change_of(before, ("tenant", "a", packed_value())))
        await first.open()
        head = await first.head()
        assert head.epoch > before.epoch
        assert head.revision == 0
        assert await all_items(first, 10) == {}
        await first.close()
        await second.close()

    asyncio.run(run())


def test_a_restored_record_keeps_its_configuration_in_a_new_epoch(tmp_path: Path) -> None:
    path = create_record(tmp_path)

    async def run() -> None:
        store = SqliteChangeStore(tmp_path / "record.db")
        await store.open()
        await append(store, ("tenant", "kept", packed_value()))
        before = await store.head()
        burlloom("record", "snapshot", tmp_path / "copy.db", "-o", path)
        await append(store, ("tenant", "lost", packed_value()))
        await store.close()
        burlloom("record", "restore", tmp_path / "copy.db", "--window-s", 18, "-o", path)
        store = SqliteChangeStore(tmp_path / "record.db")
        await store.open()
        head = await store.head()
        assert head.epoch > before.epoch
        assert head.revision == 0
        assert await store.changes_since(0, 9) == []
        assert list(await all_items(store, 9)) == [("", "tenant", "kept")]
        await store.close()

    asyncio.run(run())


def test_the_log_of_changes_is_pruned(tmp_path: Path) -> None:
    async def run() -> None:
        store = SqliteChangeStore(tmp_path / "changes.db")
        await store.open()
        with sqlite3.connect(
            tmp_path / "changes.db"
        ) as db:  # as if that many changes had been written
            db.execute("UPDATE distribution_head SET revision = ?", (MAX_LOGGED_CHANGES + 8,))
            db.executemany(
                "INSERT INTO distribution_change (revision, epoch, time_ms, scope, body, tag)"
                " VALUES (?, 1, 1, x'', x'90', x'')",
                [(n + 1,) for n in range(MAX_LOGGED_CHANGES + 8)],
            )
        last = await append(store, ("tenant", "a", packed_value()))
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

    asyncio.run(run())


def test_waiting_for_a_lock_does_not_block_the_event_loop(tmp_path: Path) -> None:
    async def run() -> None:
        store = SqliteChangeStore(tmp_path / "changes.db")
        await store.open()
        change = next_change_of(await store.head(), ("tenant", "a", packed_value()))
        lock_holder = sqlite3.connect(tmp_path / "changes.db", isolation_level=None)
        lock_holder.execute("BEGIN IMMEDIATE")
        pending = asyncio.create_task(store.append(change))
        longest_step_s, last_step_at = 0.0, time.monotonic()
        while not pending.done():
            await asyncio.sleep(0.005)
            longest_step_s, last_step_at = (
                max(longest_step_s, time.monotonic() - last_step_at),
                time.monotonic(),
            )
        with pytest.raises(StoreUnavailableError, match="locked"):
            await pending
        assert longest_step_s < 1.0, longest_step_s  # the lock is waited for at least twice as long
        lock_holder.execute("ROLLBACK")
        lock_holder.close()
        assert (await store.head()).revision == 0
        assert await store.append(change)
        await store.close()

    asyncio.run(run())


def test_the_postgres_store_keeps_the_contract_and_survives_lost_replies(tmp_path: Path) -> None:
    async def run() -> None:
        server = await postgres.Postgres(tmp_path).start()
        key_path = tmp_path / "key"
        key_path.write_text(KEY)
        key_path.chmod(0o600)
        location = StorePart(
            postgres=Database(
                address=server.address, key_file=str(key_path), hang_ms=300, connect_ms=500
            )
        )
        first, second = (
            PostgresChangeStore(create_store(location, "-", retention_ns=0)[0]) for _ in range(2)
        )  # type: ignore[arg-type]
        await check_store_contract(first, second)
        await check_pages_of_a_changing_table(first, second)
        change = next_change_of(await first.head(), ("tenant", "q", packed_value()))
        server.faults.reset_after_commit = 1  # committed, but the reply is lost
        with pytest.raises(StoreUnavailableError):
            await first.append(change)
        assert await first.change_at(change.revision) == change
        assert not await first.append(change)
        change = next_change_of(await first.head(), ("tenant", "r", packed_value()))
        server.faults.reset_before_commit = 1  # not committed, and the reply is lost
        with pytest.raises(StoreUnavailableError):
            await first.append(change)
        assert await first.change_at(change.revision) is None
        assert await first.append(change)
        server.faults.hang = True
        with pytest.raises(StoreUnavailableError):
            await first.head()
        server.faults.hang = False
        assert await first.head() == head_after(change)
        await first.close()
        await second.close()
        await server.stop()

    asyncio.run(run())


def test_an_append_retries_a_locked_database_until_its_timeout(tmp_path: Path) -> None:
    """An append gets a lock that it found taken a hundred times. Past the timeout the store counts
    as unavailable, and nothing was written.
    """

    async def run() -> None:
        store = SqliteChangeStore(tmp_path / "changes.db")
        await store.open()
        locked_database = LockedDatabase(tmp_path / "changes.db", 1.9)
        store.lock_retry = locked_database.lock_retry()
        assert await store.append(
            next_change_of(await store.head(), ("tenant", "a", packed_value()))
        )
        assert locked_database.attempts >= 100
        locked_database = LockedDatabase(tmp_path / "changes.db", 9.0)
        store.lock_retry = locked_database.lock_retry()
        with pytest.raises(StoreUnavailableError, match="database is locked"):
            await store.append(next_change_of(await store.head(), ("tenant", "b", packed_value())))
        assert 2.0 <= locked_database.now_s < 2.1
        assert (await store.head()).revision == 1
        locked_database.db.close()
        await store.close()

    asyncio.run(run())
