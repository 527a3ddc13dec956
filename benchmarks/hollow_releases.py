"""Servers of a release without a serving part: they tell of themselves in the store, and leave and
come back as the book lets them. All share a process; a round of theirs is written in one go.
"""

import asyncio
import time
from multiprocessing.connection import Connection as Pipe
from pathlib import Path
from typing import Any

import uvloop

from burlloom.rollout import Counts, Hand, Member, Says
from burlloom.rollout.stores import StoreUnavailableError
from burlloom.rollout.stores.sqlite import Sqlite

ROUND = 0.5  # s
BEAT = 1.0  # s
DOWN = 2.0  # s from leaving until the next life serves
FORMER, NEXT = "v1", "v2"
ASKED = 100  # requests that each settles between two beats


def part_of(folder: Path) -> dict[str, Any]:
    """What the operator's file of the server says that leads: it runs the next version already."""
    return {
        "version": NEXT,
        "store": {"sqlite": {"path": str(folder / "agreed.db")}},
        "out_most": 1,
        "out_share": 0.1,
        "waves": ["100%"],
    }


class Teller:
    def __init__(self, name: str, life: int) -> None:
        self.name, self.life, self.version, self.beat = name, life, FORMER, 0
        self.hand, self.down_until = Hand(name, life), 0.0

    def word(self) -> Member:
        self.beat += 1
        return Member(
            self.name,
            self.life,
            self.beat,
            Says.SERVING,
            True,
            self.version,
            0,
            Counts(ASKED * self.beat),
        )


async def play(pipe: Pipe, path: Path, tellers: list[Teller]) -> None:
    shelf = Sqlite(path)
    await shelf.open()
    page, told_at, over = None, 0.0, False
    while not over:
        now = time.monotonic()
        try:
            if now - told_at >= BEAT:
                told_at = now
                await shelf.execute("BEGIN IMMEDIATE")
                for one in tellers:
                    if now >= one.down_until:
                        await shelf.tell(one.word())
                await shelf.execute("COMMIT")
            page = await shelf.read(page)
            while pipe.poll():
                match pipe.recv():
                    case "start":
                        pipe.send(await shelf.swap(page, page.book.start(NEXT, (1.0,), False)))
                    case "see":
                        pipe.send(
                            (len(page.book.servers), page.book.plan.phase.name, page.book.holder)
                        )
                    case "over":
                        over = True
                page = await shelf.read(page)
            for one in tellers:
                if now >= one.down_until and one.hand.reads(page.book) == "ask":
                    wanted = one.hand.step(page.book)
                    if wanted is not None and await shelf.swap(page, wanted):
                        one.version, one.down_until = wanted.version_of(one.name), now + DOWN
                        one.life, one.beat = one.life + 1, 0
                        one.hand = Hand(one.name, one.life)
                    else:
                        one.hand = Hand(one.name, one.life)
                    page = await shelf.read(page)
        except StoreUnavailableError:
            page = None  # the store was held by another for long: a round is left out
        await asyncio.sleep(ROUND)
    await shelf.close()


def tell(pipe: Pipe, path: str, names: list[str]) -> None:
    """A process of them, until it is told that it is over."""
    life = time.time_ns() // 1_000_000
    uvloop.run(play(pipe, Path(path), [Teller(name, life) for name in names]))
