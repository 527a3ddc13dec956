"""The interface of rollout stores, checked with SQLite and with PostgreSQL."""

import asyncio
import json
from dataclasses import replace
from pathlib import Path

import pytest
from click.testing import CliRunner
from fleet_rig import KEY
from locked_database import LockedDatabase

from burlloom.command.rollout import rollout
from burlloom.fakes import postgres
from burlloom.operator import Postgres as Database
from burlloom.operator import StorePart
from burlloom.record import shared_sqlite
from burlloom.record.factory import create_store
from burlloom.rollout import RolloutState, ServerPhase, ServerReport
from burlloom.rollout.stores import RolloutStore, StoreUnavailableError
from burlloom.rollout.stores.postgres import PostgresRolloutStore
from burlloom.rollout.stores.sqlite import SqliteRolloutStore


async def check_store_interface(first: RolloutStore, second: RolloutStore) -> None:
    await asyncio.gather(first.open(), second.open())  # concurrently: only one creates the tables
    initial = await first.read()
    assert await second.compare_and_swap(await second.read(), RolloutState("a", epoch=3, step=1))
    assert not await first.compare_and_swap(initial, RolloutState("b", epoch=9)), (
        "a write that is based on an outdated revision succeeded"
    )
    snapshot = await first.read(initial)
    assert (snapshot.state.leader, snapshot.revision) == ("a", initial.revision + 1)
    await second.raise_heartbeat(2)  # an earlier epoch
    assert (await first.read(snapshot)).heartbeat == snapshot.heartbeat
    await second.raise_heartbeat(3)
    unchanged = await first.read(snapshot)
    assert unchanged.heartbeat == snapshot.heartbeat + 1
    assert unchanged.state is snapshot.state
    report = ServerReport("n1", 5, 1, ServerPhase.SERVING, downstream={"10.0.0.1:1": (3, 1)})
    assert await first.write_report(report)
    assert await second.write_report(replace(report, incarnation=6, phase=ServerPhase.LEAVING))
    assert not await first.write_report(replace(report, heartbeat=2)), (
        "a report of an earlier incarnation replaced a later one"
    )
    assert (
        await first.read_reports()
        == [await second.read_last_report("n1")]
        == [replace(report, incarnation=6, phase=ServerPhase.LEAVING)]
    )
    await first.delete_report("n1")
    assert await second.read_last_report("n1") is None
    is_written = await asyncio.gather(
        *(
            store.compare_and_swap(unchanged, RolloutState(str(index)))
            for index, store in enumerate((first, second))
        )
    )
    assert sorted(is_written) == [False, True]


def test_a_write_waits_for_a_lock_until_its_timeout(tmp_path: Path) -> None:
    """The lock is acquired after at least a hundred attempts. Past the timeout the store counts as
    unavailable and nothing is written.
    """

    async def run() -> None:
        store = SqliteRolloutStore(tmp_path / "agreed.db")
        await store.open()
        snapshot = await store.read()
        database = LockedDatabase(tmp_path / "agreed.db", 1.9)
        store.lock_retry = database.lock_retry()
        assert await store.compare_and_swap(snapshot, RolloutState("a"))
        assert database.attempts >= 100
        snapshot, database = await store.read(), LockedDatabase(tmp_path / "agreed.db", 9.0)
        store.lock_retry = database.lock_retry()
        with pytest.raises(StoreUnavailableError, match="database is locked"):
            await store.compare_and_swap(snapshot, RolloutState("b"))
        assert 2.0 <= database.now_s < 2.1
        assert (await store.read()).state.leader == "a"
        attempts_before = database.attempts
        # A store that is being closed stops waiting.
        store.lock_retry = database.lock_retry(
            is_cancelled=lambda: database.attempts == attempts_before + 50
        )
        with pytest.raises(StoreUnavailableError, match="database is locked"):
            await store.open()
        assert database.attempts == attempts_before + 50
        database.db.close()
        await store.close()

    asyncio.run(run())


def test_a_command_waits_for_the_lock_until_its_timeout(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "operator.jsonnet"
    path.write_text(
        json.dumps({"rollout": {"store": {"sqlite": {"path": str(tmp_path / "agreed.db")}}}})
    )
    assert CliRunner().invoke(rollout, ["show", "-o", str(path)]).exit_code == 0
    for locked_until_s, status in ((20.0, 0), (60.0, 2)):
        database = LockedDatabase(tmp_path / "agreed.db", locked_until_s)
        monkeypatch.setattr(shared_sqlite, "LockRetry", database.lock_retry)
        result = CliRunner().invoke(rollout, ["budget", "--most", "3", "-o", str(path)])
        assert result.exit_code == status, result.output
        database.db.close()


def test_sqlite_keeps_the_interface_and_detects_a_replaced_file(tmp_path: Path) -> None:
    async def run() -> None:
        first, second = (
            SqliteRolloutStore(tmp_path / "agreed.db"),
            SqliteRolloutStore(tmp_path / "agreed.db"),
        )
        await check_store_interface(first, second)
        replaced = await first.read()
        (tmp_path / "agreed.db").rename(tmp_path / "before.db")  # as a restore from a backup does
        with pytest.raises(StoreUnavailableError, match="No such file"):
            await first.read()
        await second.open()
        with pytest.raises(StoreUnavailableError):
            await first.compare_and_swap(replaced, RolloutState("c"))
        await first.open()
        created = await first.read()
        assert created.state == RolloutState()
        assert created.revision > replaced.revision
        assert not await first.compare_and_swap(replaced, RolloutState("c"))
        await first.close()
        await second.close()

    asyncio.run(run())


def test_postgres_keeps_the_interface_and_reports_lost_answers(tmp_path: Path) -> None:
    async def run() -> None:
        server = await postgres.Postgres(tmp_path).start()
        key = tmp_path / "key"
        key.write_text(KEY)
        key.chmod(0o600)
        place = StorePart(
            postgres=Database(
                address=server.address, key_file=str(key), hang_ms=300, connect_ms=500
            )
        )
        first, second = (
            PostgresRolloutStore(create_store(place, "-", retention_ns=0)[0]) for _ in range(2)
        )  # type: ignore[arg-type]
        await check_store_interface(first, second)
        snapshot = await first.read()
        server.faults.reset_after_commit = 1  # the write takes effect and its answer is lost
        with pytest.raises(StoreUnavailableError):
            await first.compare_and_swap(snapshot, RolloutState("d"))
        assert (await first.read()).state.leader == "d"
        server.faults.hang = True
        with pytest.raises(StoreUnavailableError):
            await first.read()
        server.faults.hang = False
        assert (await first.read()).state.leader == "d"
        await first.close()
        await second.close()
        await server.stop()

    asyncio.run(run())
