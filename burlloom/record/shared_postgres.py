"""The record's PostgreSQL database as several machines agree through it: one connection; through
asyncpg.
"""

from collections.abc import Awaitable, Callable
from typing import Any

import asyncpg

from .postgres import CONNECTION_ERRORS, PostgresStore
from .store import StoreRefusedError, StoreUnavailableError


class SharedPostgresDatabase:
    """`record`: a store of record that was not opened: where the database is, and its schema's
    steps. One connection, made anew after any error: of a statement whose answer was lost nobody
    knows whether it holds.
    """

    def __init__(self, record: PostgresStore) -> None:
        self.record = record
        self.where = f"{record.address[0]}:{record.address[1]}/{record.database}"

    async def run_guarded(self, work: Callable[[Any], Awaitable[Any]]) -> Any:
        record = self.record
        try:
            if record.connection is None or record.connection.is_closed():
                record.connection = await record.connect()
            return await work(record.connection)
        except (*CONNECTION_ERRORS, asyncpg.PostgresError, StoreRefusedError) as error:
            await record.disconnect()
            raise StoreUnavailableError(
                f"{self.where}: {str(error) or type(error).__name__}"
            ) from error
        except BaseException:
            await (
                record.disconnect()
            )  # cancelled on the way: the connection is in the middle of something
            raise

    async def prepare(self) -> None:
        await self.run_guarded(lambda link: self.record.migrate(self.where))

    async def execute(self, sql: str, *values: Any) -> list[Any]:
        found: list[Any] = await self.run_guarded(lambda link: link.fetch(sql, *values))
        return [tuple(row) for row in found]

    async def close(self) -> None:
        await self.record.disconnect()
