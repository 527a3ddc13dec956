"""The book on its two shelves: what is promised of a step holds on either."""

import asyncio
from dataclasses import replace
from pathlib import Path

import pytest
from fleet_rig import KEY

from burlloom.operator import Place
from burlloom.operator import Postgres as Database
from burlloom.record.opening import store_of
from burlloom.rollout import Book, Member, Says
from burlloom.rollout.stores import Away, Shelf
from burlloom.rollout.stores.postgres import Postgres
from burlloom.rollout.stores.sqlite import Sqlite
from burlloom.standins import postgres


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
    assert again.beat == page.beat + 1 and again.book is page.book
    one = Member("n1", 5, 1, Says.SERVING, below={"10.0.0.1:1": (3, 1)})
    assert await first.tell(one) and await second.tell(replace(one, life=6, says=Says.LEAVING))
    assert not await first.tell(replace(one, beat=2)), "a life that is over spoke last"
    assert await first.members() == [await second.last("n1")] == [replace(one, life=6, says=Says.LEAVING)]
    await first.forget("n1")
    assert await second.last("n1") is None
    held = await asyncio.gather(*(shelf.swap(again, Book(str(at))) for at, shelf in enumerate((first, second))))
    assert sorted(held) == [False, True]


def test_in_a_file(tmp_path: Path) -> None:
    async def play() -> None:
        first, second = Sqlite(tmp_path / "agreed.db"), Sqlite(tmp_path / "agreed.db")
        await promises(first, second)
        before = await first.read()
        (tmp_path / "agreed.db").rename(tmp_path / "before.db")  # as a restore does
        with pytest.raises(Away, match="No such file"):
            await first.read()
        await second.open()
        with pytest.raises(Away):
            await first.swap(before, Book("c"))
        await first.open()
        new = await first.read()
        assert new.book == Book() and new.revision > before.revision and not await first.swap(before, Book("c"))
        await first.close()
        await second.close()
    asyncio.run(play())


def test_in_a_database(tmp_path: Path) -> None:
    async def play() -> None:
        server = await postgres.Postgres(tmp_path).start()
        key = tmp_path / "key"
        key.write_text(KEY)
        key.chmod(0o600)
        told = Place(postgres=Database(address=server.address, key_file=str(key), hang_ms=300, connect_ms=500))
        first, second = (Postgres(store_of(told, "-", keep=0)[0]) for _ in range(2))  # type: ignore[arg-type]
        await promises(first, second)
        page = await first.read()
        server.orders.reset_after_commit = 1  # taken, and nobody is told
        with pytest.raises(Away):
            await first.swap(page, Book("d"))
        assert (await first.read()).book.holder == "d"
        server.orders.hang = True
        with pytest.raises(Away):
            await first.read()
        server.orders.hang = False
        assert (await first.read()).book.holder == "d"
        await first.close()
        await second.close()
        await server.stop()
    asyncio.run(play())
