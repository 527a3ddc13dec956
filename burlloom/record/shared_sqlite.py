"""An SQLite file as shared state of several processes of a machine, accessed from a thread."""

import asyncio
import contextlib
import re
import sqlite3
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any, TypeVar

from ..signals import block_signals
from .lock_retry import LOCK_TIMEOUT_S, LockRetry
from .sqlite_file import connect, migrate
from .store import StoreRefusedError, StoreUnavailableError

__all__ = ["SharedSqliteFile", "execute"]

POSTGRES_PARAMETER = re.compile(r"\$(\d+)::\w+")
CLOSE_TIMEOUT_S = 1.0  # after that the file is left open, as the disk may hang
Result = TypeVar("Result")


class SharedSqliteFile:
    """Accesses the file in its own thread, so a slow disk or a held lock never blocks the loop.

    Attributes:
        path: The file.
        lock_retry: The rule by which statements wait for the file's lock.
    """

    def __init__(
        self, path: Path, thread_name: str, lock_timeout_s: float = LOCK_TIMEOUT_S
    ) -> None:
        """Creates an object that has not yet opened the file.

        Args:
            path: The file.
            thread_name: The name of the thread that accesses the file.
            lock_timeout_s: How long to wait for a lock that another connection holds before the
                store counts as unavailable, seconds.
        """
        self.path = path
        self.lock_retry = LockRetry(lock_timeout_s, is_cancelled=lambda: self._is_closing)
        self._is_closing = False
        self._db: sqlite3.Connection | None = None
        self._inode = 0
        self._thread = ThreadPoolExecutor(1, thread_name, initializer=block_signals)

    async def run_in_thread(self, work: Callable[[], Result]) -> Result:
        """Runs work in the file's thread.

        Raises:
            StoreUnavailableError: The file can't be accessed or used.
        """
        try:
            return await asyncio.get_running_loop().run_in_executor(self._thread, work)
        except (sqlite3.Error, OSError) as error:
            raise StoreUnavailableError(str(error), place=self.path) from error
        except StoreRefusedError as error:
            raise StoreUnavailableError(error.problem, place=error.place) from error

    async def prepare(self) -> None:
        """Opens the file, creating it if it does not exist, and applies the pending schema steps.

        Raises:
            StoreUnavailableError: The file can't be accessed or used.
        """
        await self.run_in_thread(self._open)

    async def run_transaction(self, work: Callable[[sqlite3.Connection], Result]) -> Result:
        """Runs a statement or a whole transaction, with retries while another holds the lock.

        Raises:
            StoreUnavailableError: The file can't be accessed or used.
        """
        return await self.run_in_thread(
            lambda: self.lock_retry.run(lambda: work(self._open_connection()))
        )

    async def execute(self, sql: str, *values: Any) -> list[Any]:
        """Runs one statement and returns its rows.

        Raises:
            StoreUnavailableError: The file can't be accessed or used.
        """
        return await self.run_transaction(lambda db: execute(db, sql, values))

    async def close(self) -> None:
        """Closes the file, or leaves it open if the thread does not respond in time."""
        self._is_closing = True
        with contextlib.suppress(StoreUnavailableError, TimeoutError):
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await self.run_in_thread(self._disconnect)
        self._thread.shutdown(wait=False, cancel_futures=True)

    # The methods below run in the file's thread.

    def _open(self) -> None:
        self._disconnect()
        db = connect(self.path, lock_retry=self.lock_retry)
        try:
            migrate(db, self.path, self.lock_retry)
        except BaseException:
            db.close()
            raise
        self._db = db
        self._inode = self.path.stat().st_ino

    def _open_connection(self) -> sqlite3.Connection:
        if self._db is None:
            raise sqlite3.OperationalError("the file is not open")
        if self.path.stat().st_ino != self._inode:
            # A restore replaced the file, and no other process uses the old one any more.
            self._disconnect()
            raise sqlite3.OperationalError("the file was replaced by another one")
        return self._db

    def _disconnect(self) -> None:
        if self._db is not None:
            self._db.close()
            self._db = None


def execute(db: sqlite3.Connection, sql: str, values: tuple[Any, ...]) -> list[Any]:
    """Runs a statement with PostgreSQL-style parameters such as `$1::text`; returns its rows."""
    return db.execute(POSTGRES_PARAMETER.sub(r"?\1", sql), values).fetchall()
