"""In one SQLite file, the record's or one of its own, that all servers of a machine share."""

import asyncio
import re
import sqlite3
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any, TypeVar

from ...record.sqlite import connect, migrate
from ...record.store import Refused
from ...record.turns import WAIT, Turns
from ...signals import block
from .shelf import Away
from .tables import Tables

PARAMETER = re.compile(r"\$(\d+)::\w+")
Result = TypeVar("Result")


class Sqlite(Tables):
    """One thread of its own: a disk that is slow, or a lock that another holds, never keeps the loop."""

    def __init__(self, path: Path, wait: float = WAIT) -> None:
        """`wait`: s for the lock that another holds, until the store counts as away."""
        self.path, self.closing = path, False
        self.turns = Turns(wait, over=lambda: self.closing)
        self.db: sqlite3.Connection | None = None
        self.file = 0
        self.thread = ThreadPoolExecutor(1, "rollout", initializer=block)

    async def in_thread(self, work: Callable[[], Result]) -> Result:
        try:
            return await asyncio.get_running_loop().run_in_executor(self.thread, work)
        except (sqlite3.Error, OSError) as error:
            raise Away(f"{self.path}: {error}") from error
        except Refused as error:
            raise Away(str(error)) from error

    async def prepare(self) -> None:
        def work() -> None:
            if self.db is not None:
                self.db.close()
                self.db = None
            db = connect(self.path, turns=self.turns)
            try:
                migrate(db, self.path, self.turns)
            except BaseException:
                db.close()
                raise
            self.db, self.file = db, self.path.stat().st_ino
        await self.in_thread(work)

    async def run(self, sql: str, *values: Any) -> list[Any]:
        """A statement alone is a transaction: one that was refused for the lock took no hold, and is said again."""
        def work() -> list[Any]:
            if self.db is None:
                raise sqlite3.OperationalError("not open")
            if (
                self.path.stat().st_ino != self.file
            ):  # a restore put another in its place: ours is nobody's now
                self.db.close()
                self.db = None
                raise sqlite3.OperationalError("another file has taken its place")
            return self.db.execute(PARAMETER.sub(r"?\1", sql), values).fetchall()
        return await self.in_thread(lambda: self.turns.take(work))

    async def close(self) -> None:
        self.closing = True
        def work() -> None:
            if self.db is not None:
                self.db.close()
                self.db = None
        try:
            async with asyncio.timeout(1.0):
                await self.in_thread(work)
        except (Away, TimeoutError):
            pass
        self.thread.shutdown(wait=False, cancel_futures=True)
