"""The book on its two shelves: what is promised of a step holds on either."""

import asyncio
import json
from dataclasses import replace
from pathlib import Path

import pytest
from click.testing import CliRunner
from fleet_rig import KEY
from held import Held

from burlloom.command.rollout import rollout
from burlloom.fakes import postgres
from burlloom.operator import Place
from burlloom.operator import Postgres as Database
from burlloom.record import shared_sqlite
from burlloom.record.factory import create_store
from burlloom.rollout import Book, Member, Says
from burlloom.rollout.stores import Shelf, StoreUnavailableError
from burlloom.rollout.stores.postgres import Postgres
from burlloom.rollout.stores.sqlite import Sqlite


async def promises(first: Shelf, second: Shelf) -> None:
    await asyncio.gather(first.open(), second.open())  # at once: one of them makes the tables
    old = await first.read()
    assert await second.swap(await second.read(), Book("a", epoch=3, steps=1))
    assert not await first.swap(old, Book("b", epoch=9)), "written over what another wrote"
    page = await first.read(old)
    assert (page.book.holder, page.revision) == ("a", old.revision + 1)
    await second.beat(2)  # of an epoch that is over
    assert (await first.read(page)).beat == page.beat
    await second.beat(3)
    again = await first.read(page)
    assert again.beat == page.beat + 1
    assert again.book is page.book
    one = Member("n1", 5, 1, Says.SERVING, below={"10.0.0.1:1": (3, 1)})
    assert await first.tell(one)
    assert await second.tell(replace(one, life=6, says=Says.LEAVING))
    assert not await first.tell(replace(one, beat=2)), "a life that is over spoke last"
    assert (
        await first.members()
        == [await second.last("n1")]
        == [replace(one, life=6, says=Says.LEAVING)]
    )
    await first.forget("n1")
    assert await second.last("n1") is None
    held = await asyncio.gather(
        *(shelf.swap(again, Book(str(at))) for at, shelf in enumerate((first, second)))
    )
    assert sorted(held) == [False, True]


def test_a_lock_is_waited_for_while_others_have_it(tmp_path: Path) -> None:
    """Found taken a hundred times, and then had; past its time the store is away, and nothing was
    written.
    """

    async def play() -> None:
        shelf = Sqlite(tmp_path / "agreed.db")
        await shelf.open()
        page = await shelf.read()
        held = Held(tmp_path / "agreed.db", 1.9)
        shelf.lock_retry = held.turns()
        assert await shelf.swap(page, Book("a"))
        assert held.looks >= 100
        page, held = await shelf.read(), Held(tmp_path / "agreed.db", 9.0)
        shelf.lock_retry = held.turns()
        with pytest.raises(StoreUnavailableError, match="database is locked"):
            await shelf.swap(page, Book("b"))
        assert 2.0 <= held.now < 2.1
        assert (await shelf.read()).book.holder == "a"
        before = held.looks
        shelf.lock_retry = held.turns(
            is_cancelled=lambda: held.looks == before + 50
        )  # it is being closed: nobody waits for it
        with pytest.raises(StoreUnavailableError, match="database is locked"):
            await shelf.open()
        assert held.looks == before + 50
        held.db.close()
        await shelf.close()

    asyncio.run(play())


def test_a_command_waits_for_the_lock(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    path = tmp_path / "operator.jsonnet"
    path.write_text(
        json.dumps({"rollout": {"store": {"sqlite": {"path": str(tmp_path / "agreed.db")}}}})
    )
    assert CliRunner().invoke(rollout, ["show", "-o", str(path)]).exit_code == 0
    for until, status in ((20.0, 0), (60.0, 2)):
        held = Held(tmp_path / "agreed.db", until)
        monkeypatch.setattr(shared_sqlite, "LockRetry", held.turns)
        got = CliRunner().invoke(rollout, ["budget", "--most", "3", "-o", str(path)])
        assert got.exit_code == status, got.output
        held.db.close()


def test_in_a_file(tmp_path: Path) -> None:
    async def play() -> None:
        first, second = Sqlite(tmp_path / "agreed.db"), Sqlite(tmp_path / "agreed.db")
        await promises(first, second)
        before = await first.read()
        (tmp_path / "agreed.db").rename(tmp_path / "before.db")  # as a restore does
        with pytest.raises(StoreUnavailableError, match="No such file"):
            await first.read()
        await second.open()
        with pytest.raises(StoreUnavailableError):
            await first.swap(before, Book("c"))
        await first.open()
        new = await first.read()
        assert new.book == Book()
        assert new.revision > before.revision
        assert not await first.swap(before, Book("c"))
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
        first, second = (Postgres(create_store(told, "-", retention_ns=0)[0]) for _ in range(2))  # type: ignore[arg-type]
        await promises(first, second)
        page = await first.read()
        server.orders.reset_after_commit = 1  # taken, and nobody is told
        with pytest.raises(StoreUnavailableError):
            await first.swap(page, Book("d"))
        assert (await first.read()).book.holder == "d"
        server.orders.hang = True
        with pytest.raises(StoreUnavailableError):
            await first.read()
        server.orders.hang = False
        assert (await first.read()).book.holder == "d"
        await first.close()
        await second.close()
        await server.stop()

    asyncio.run(play())
