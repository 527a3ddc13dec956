"""The change store in the record's PostgreSQL database, for control machines in many regions."""

from typing import Any

from ...record.shared_postgres import SharedPostgresDatabase
from .sql import SqlChangeStore, Statement


class PostgresChangeStore(SharedPostgresDatabase, SqlChangeStore):
    """The change store in the record's PostgreSQL database."""

    async def transaction(self, guard: Statement, statements: list[Statement]) -> bool:
        """Run all statements in one transaction if the guard gives a row."""

        async def run_transaction(link: Any) -> bool:
            """Run guard and statements; returns whether the guard gave a row."""
            async with link.transaction():
                # The head's row is locked by the first: a second writer waits for our end, and then
                # finds its revision written.
                if not await link.fetch(guard[0], *guard[1]):
                    return False
                for sql, values in statements:
                    await link.fetch(sql, *values)
            return True

        held: bool = await self.run_guarded(run_transaction)
        return held
