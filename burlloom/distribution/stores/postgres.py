"""The change store in the record's PostgreSQL database, for control machines in many regions."""

from typing import Any

from ...record.shared_postgres import SharedPostgresDatabase
from .sql import SqlChangeStore, Statement


class PostgresChangeStore(SharedPostgresDatabase, SqlChangeStore):
    """The change store in the record's PostgreSQL database."""

    async def transaction(self, guard: Statement, statements: list[Statement]) -> bool:
        """Runs all statements in one transaction if the guard returns a row."""

        async def run_transaction(connection: Any) -> bool:
            """Runs guard and statements; returns whether the guard returned a row."""
            async with connection.transaction():
                # The guard locks the head's row: a second writer waits for the end of this
                # transaction and then finds that its revision was written.
                if not await connection.fetch(guard[0], *guard[1]):
                    return False
                for sql, values in statements:
                    await connection.fetch(sql, *values)
            return True

        is_current: bool = await self.run_guarded(run_transaction)
        return is_current
