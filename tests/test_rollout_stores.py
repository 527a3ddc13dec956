"""The rollout state in its two stores: what is promised of a step holds in either."""

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
from burlloom.operator import Place
from burlloom.operator import Postgres as Database
from burlloom.record import shared_sqlite
from burlloom.record.factory import create_store
from burlloom.rollout import RolloutState, ServerPhase, ServerReport
from burlloom.rollout.stores import RolloutStore, StoreUnavailableError
from burlloom.rollout.stores.postgres import PostgresRolloutStore
from burlloom.rollout.stores.sqlite import SqliteRolloutStore


async def promises(first: RolloutStore, second: RolloutStore) -> None:
    await asyncio.gather(first.open(), second.open())  # at once: one of them makes the tables
    old = await first.read()
    assert await second.compare_and_swap(await second.read(), RolloutState("a", epoch=3, step=1))
    assert not await first.compare_and_swap(old, RolloutState("b", epoch=9)), (
        "written over what another wrote"
    )
    snapshot = await first.read(old)
    assert (snapshot.state.leader, snapshot.revision) == ("a", old.revision + 1)
    await second.raise_heartbeat(2)  # of an epoch that is over
    assert (await first.read(snapshot)).heartbeat == snapshot.heartbeat
    await second.raise_heartbeat(3)
    again = await first.read(snapshot)
    assert again.heartbeat == snapshot.heartbeat + 1
    assert again.state is snapshot.state
    one = ServerReport("n1", 5, 1, ServerPhase.SERVING, downstream={"10.0.0.1:1": (3, 1)})
    assert await first.write_report(one)
    assert await second.write_report(replace(one, incarnation=6, phase=ServerPhase.LEAVING))
    assert not await first.write_report(replace(one, heartbeat=2)), "a life that is over spoke last"
    assert (
        await first.read_reports()
        == [await second.read_last_report("n1")]
        == [replace(one, incarnation=6, phase=ServerPhase.LEAVING)]
    )
    await first.delete_report("n1")
    assert await second.read_last_report("n1") is None
    held = await asyncio.gather(
        *(
            store.compare_and_swap(again, RolloutState(str(at)))
            for at, store in enumerate((first, second))
        )
    )
    assert sorted(held) == [False, True]


def test_a_lock_is_waited_for_while_others_have_it(tmp_path: Path) -> None:
    """Found taken a hundred times, and then had; past its time the store is away, and nothing was
    written.
    """

    async def play() -> None:
        store = SqliteRolloutStore(tmp_path / "agreed.db")
        await store.open()
        snapshot = await store.read()
        held = LockedDatabase(tmp_path / "agreed.db", 1.9)
        store.lock_retry = held.lock_retry()
        assert await store.compare_and_swap(snapshot, RolloutState("a"))
        assert held.attempts >= 100
        snapshot, held = await store.read(), LockedDatabase(tmp_path / "agreed.db", 9.0)
        store.lock_retry = held.lock_retry()
        with pytest.raises(StoreUnavailableError, match="database is locked"):
            await store.compare_and_swap(snapshot, RolloutState("b"))
        assert 2.0 <= held.now_s < 2.1
        assert (await store.read()).state.leader == "a"
        before = held.attempts
        store.lock_retry = held.lock_retry(
            is_cancelled=lambda: held.attempts == before + 50
        )  # it is being closed: nobody waits for it
        with pytest.raises(StoreUnavailableError, match="database is locked"):
            await store.open()
        assert held.attempts == before + 50
        held.db.close()
        await store.close()

    asyncio.run(play())


def test_a_command_waits_for_the_lock(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    path = tmp_path / "operator.jsonnet"
    path.write_text(
        json.dumps({"rollout": {"store": {"sqlite": {"path": str(tmp_path / "agreed.db")}}}})
    )
    assert CliRunner().invoke(rollout, ["show", "-o", str(path)]).exit_code == 0
    for until, status in ((20.0, 0), (60.0, 2)):
        held = LockedDatabase(tmp_path / "agreed.db", until)
        monkeypatch.setattr(shared_sqlite, "LockRetry", held.lock_retry)
        got = CliRunner().invoke(rollout, ["budget", "--most", "3", "-o", str(path)])
        assert got.exit_code == status, got.output
        held.db.close()


def test_in_a_file(tmp_path: Path) -> None:
    async def play() -> None:
        first, second = (
            SqliteRolloutStore(tmp_path / "agreed.db"),
            SqliteRolloutStore(tmp_path / "agreed.db"),
        )
        await promises(first, second)
        before = await first.read()
        (tmp_path / "agreed.db").rename(tmp_path / "before.db")  # as a restore does
        with pytest.raises(StoreUnavailableError, match="No such file"):
            await first.read()
        await second.open()
        with pytest.raises(StoreUnavailableError):
            await first.compare_and_swap(before, RolloutState("c"))
        await first.open()
        new = await first.read()
        assert new.state == RolloutState()
        assert new.revision > before.revision
        assert not await first.compare_and_swap(before, RolloutState("c"))
        await first.close()
        await second.close()

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
            PostgresRolloutStore(create_store(told, "-", retention_ns=0)[0]) for _ in range(2)
        )  # type: ignore[arg-type]
        await promises(first, second)
        snapshot = await first.read()
        server.orders.reset_after_commit = 1  # taken, and nobody is told
        with pytest.raises(StoreUnavailableError):
            await first.compare_and_swap(snapshot, RolloutState("d"))
        assert (await first.read()).state.leader == "d"
        server.orders.hang = True
        with pytest.raises(StoreUnavailableError):
            await first.read()
        server.orders.hang = False
        assert (await first.read()).state.leader == "d"
        await first.close()
        await second.close()
        await server.stop()

    asyncio.run(play())
