"""One SQLite file that several processes of a machine agree through: a thread of its own, and turns
at its lock.
"""

import asyncio
import re
import sqlite3
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any, TypeVar

from ..signals import block_signals
from .lock_retry import LOCK_TIMEOUT_S, LockRetry
from .sqlite import connect, migrate
from .store import StoreRefusedError, StoreUnavailableError

PARAMETER = re.compile(r"\$(\d+)::\w+")
CLOSE_MOST = 1.0  # s that a disk which hangs is waited for
Result = TypeVar("Result")


class SharedSqliteFile:
    """A disk that is slow, or a lock that another holds, never keeps the loop. Every method raises
    `Away`.
    """

    def __init__(self, path: Path, thread: str, wait: float = LOCK_TIMEOUT_S) -> None:
        """`thread`: its name. `wait`: s for the lock that another holds, until the store counts as
        away.
        """
        self.path, self.closing = path, False
        self.lock_retry = LockRetry(wait, is_cancelled=lambda: self.closing)
        self.db: sqlite3.Connection | None = None
        self.file = 0
        self.thread = ThreadPoolExecutor(1, thread, initializer=block_signals)

    async def run_in_thread(self, work: Callable[[], Result]) -> Result:
        try:
            return await asyncio.get_running_loop().run_in_executor(self.thread, work)
        except (sqlite3.Error, OSError) as error:
            raise StoreUnavailableError(f"{self.path}: {error}") from error
        except StoreRefusedError as error:
            raise StoreUnavailableError(str(error)) from error

    async def prepare(self) -> None:
        def work() -> None:
            self.disconnect()
            db = connect(self.path, turns=self.lock_retry)
            try:
                migrate(db, self.path, self.lock_retry)
            except BaseException:
                db.close()
                raise
            self.db, self.file = db, self.path.stat().st_ino

        await self.run_in_thread(work)

    async def run_transaction(self, work: Callable[[sqlite3.Connection], Result]) -> Result:
        """A statement, or a whole transaction: one that was refused for the lock took no hold, and
        is said again.
        """
        return await self.run_in_thread(
            lambda: self.lock_retry.run(lambda: work(self.connection()))
        )

    async def execute(self, sql: str, *values: Any) -> list[Any]:
        return await self.run_transaction(lambda db: execute(db, sql, values))

    async def close(self) -> None:
        self.closing = True
        try:
            async with asyncio.timeout(CLOSE_MOST):
                await self.run_in_thread(self.disconnect)
        except (StoreUnavailableError, TimeoutError):
            pass
        self.thread.shutdown(wait=False, cancel_futures=True)

    # In the thread.

    def connection(self) -> sqlite3.Connection:
        if self.db is None:
            raise sqlite3.OperationalError("not open")
        if (
            self.path.stat().st_ino != self.file
        ):  # a restore put another in its place: ours is nobody's now
            self.disconnect()
            raise sqlite3.OperationalError("another file has taken its place")
        return self.db

    def disconnect(self) -> None:
        if self.db is not None:
            self.db.close()
            self.db = None


def execute(db: sqlite3.Connection, sql: str, values: tuple[Any, ...]) -> list[Any]:
    return db.execute(PARAMETER.sub(r"?\1", sql), values).fetchall()
