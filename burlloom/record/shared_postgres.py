"""The record's PostgreSQL database as several machines agree through it; through asyncpg."""

from collections.abc import Awaitable, Callable
from typing import Any

import asyncpg

from .postgres import PostgresStore
from .postgres_database import CONNECTION_ERRORS, describe_error, migrate
from .store import StoreRefusedError, StoreUnavailableError

__all__ = ["SharedPostgresDatabase"]


class SharedPostgresDatabase:
    """One connection, made anew after any error.

    Of a statement whose answer was lost nobody knows whether it took effect.
    """

    def __init__(self, record: PostgresStore) -> None:
        """Does not connect yet.

        Args:
            record: A store of record that is not opened; it says where the database is.
        """
        self.database = record.database
        self.connection: Any = None

    async def run_guarded(self, work: Callable[[Any], Awaitable[Any]]) -> Any:
        """Runs work with the connection.

        Raises:
            StoreUnavailableError: The database failed in any way.
        """
        try:
            if self.connection is None or self.connection.is_closed():
                self.connection = await self.database.connect()
            return await work(self.connection)
        except (*CONNECTION_ERRORS, asyncpg.PostgresError, StoreRefusedError) as error:
            self.disconnect()
            raise StoreUnavailableError(describe_error(error), place=self.database.place) from error
        except BaseException:
            # Cancelled on the way: the connection is in the middle of something.
            self.disconnect()
            raise

    async def prepare(self) -> None:
        """Takes the schema's missing steps.

        Raises:
            StoreUnavailableError: The database failed in any way.
        """
        await self.run_guarded(lambda connection: migrate(connection, self.database.place))

    async def execute(self, sql: str, *values: Any) -> list[Any]:
        """Runs one statement and returns its rows.

        Raises:
            StoreUnavailableError: The database failed in any way.
        """
        rows: list[Any] = await self.run_guarded(lambda connection: connection.fetch(sql, *values))
        return [tuple(row) for row in rows]

    def disconnect(self) -> None:
        """Ends the connection at once."""
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.terminate()

    async def close(self) -> None:
        """Ends the connection."""
        self.disconnect()
