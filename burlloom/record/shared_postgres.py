"""The record's PostgreSQL database as several machines agree through it: one connection; through
asyncpg.
"""

from collections.abc import Awaitable, Callable
from typing import Any

import asyncpg

from .postgres import LOST, Postgres
from .store import Away, Refused


class SharedDatabase:
    """`record`: a store of record that was not opened: where the database is, and its schema's
    steps. One connection, made anew after any error: of a statement whose answer was lost nobody
    knows whether it holds.
    """

    def __init__(self, record: Postgres) -> None:
        self.record = record
        self.where = f"{record.address[0]}:{record.address[1]}/{record.database}"

    async def guarded(self, work: Callable[[Any], Awaitable[Any]]) -> Any:
        record = self.record
        try:
            if record.link is None or record.link.is_closed():
                record.link = await record.connect()
            return await work(record.link)
        except (*LOST, asyncpg.PostgresError, Refused) as error:
            await record.let_go()
            raise Away(f"{self.where}: {str(error) or type(error).__name__}") from error
        except BaseException:
            await (
                record.let_go()
            )  # cancelled on the way: the connection is in the middle of something
            raise

    async def prepare(self) -> None:
        await self.guarded(lambda link: self.record.migrate(self.where))

    async def run(self, sql: str, *values: Any) -> list[Any]:
        found: list[Any] = await self.guarded(lambda link: link.fetch(sql, *values))
        return [tuple(row) for row in found]

    async def close(self) -> None:
        await self.record.let_go()
