"""Servers of a release without a serving part: they tell of themselves in the store, and leave and
come back as the book lets them. All share a process; a round of theirs is written in one go.
"""

import asyncio
import time
from multiprocessing.connection import Connection as Pipe
from pathlib import Path
from typing import Any

import uvloop

from burlloom.rollout import DrainAgent, RequestCounts, ServerPhase, ServerReport
from burlloom.rollout.stores import StoreUnavailableError
from burlloom.rollout.stores.sqlite import SqliteRolloutStore

ROUND = 0.5  # s
BEAT = 1.0  # s
DOWN = 2.0  # s from leaving until the next incarnation serves
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
        self.hand, self.down_until = DrainAgent(name, life), 0.0

    def word(self) -> ServerReport:
        self.beat += 1
        return ServerReport(
            self.name,
            self.life,
            self.beat,
            ServerPhase.SERVING,
            True,
            self.version,
            0,
            RequestCounts(ASKED * self.beat),
        )


async def play(pipe: Pipe, path: Path, tellers: list[Teller]) -> None:
    store = SqliteRolloutStore(path)
    await store.open()
    snapshot, told_at, over = None, 0.0, False
    while not over:
        now = time.monotonic()
        try:
            if now - told_at >= BEAT:
                told_at = now
                await store.execute("BEGIN IMMEDIATE")
                for one in tellers:
                    if now >= one.down_until:
                        await store.write_report(one.word())
                await store.execute("COMMIT")
            snapshot = await store.read(snapshot)
            while pipe.poll():
                match pipe.recv():
                    case "start":
                        pipe.send(
                            await store.compare_and_swap(
                                snapshot, snapshot.state.start_release(NEXT, (1.0,), False)
                            )
                        )
                    case "see":
                        pipe.send(
                            (
                                len(snapshot.state.servers),
                                snapshot.state.release.phase.name,
                                snapshot.state.leader,
                            )
                        )
                    case "over":
                        over = True
                snapshot = await store.read(snapshot)
            for one in tellers:
                if now >= one.down_until and one.hand.process_state(snapshot.state) == "begin":
                    wanted = one.hand.begin_drain(snapshot.state)
                    if wanted is not None and await store.compare_and_swap(snapshot, wanted):
                        one.version, one.down_until = wanted.find_next_version(one.name), now + DOWN
                        one.life, one.beat = one.life + 1, 0
                        one.hand = DrainAgent(one.name, one.life)
                    else:
                        one.hand = DrainAgent(one.name, one.life)
                    snapshot = await store.read(snapshot)
        except StoreUnavailableError:
            snapshot = None  # the store was held by another for long: a round is left out
        await asyncio.sleep(ROUND)
    await store.close()


def tell(pipe: Pipe, path: str, names: list[str]) -> None:
    """A process of them, until it is told that it is over."""
    life = time.time_ns() // 1_000_000
    uvloop.run(play(pipe, Path(path), [Teller(name, life) for name in names]))
