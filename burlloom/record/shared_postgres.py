"""The record's PostgreSQL database as shared state of several machines, through asyncpg."""

from collections.abc import Awaitable, Callable
from typing import Any

import asyncpg

from .postgres import PostgresStore
from .postgres_database import CONNECTION_ERRORS, describe_error, migrate
from .store import StoreRefusedError, StoreUnavailableError

__all__ = ["SharedPostgresDatabase"]


class SharedPostgresDatabase:
    """One connection, replaced by a new one after any error.

    If the answer to a statement is lost, it is unknown whether the statement took effect.

    Attributes:
        database: The database.
        connection: The connection; None while disconnected.
    """

    def __init__(self, record: PostgresStore) -> None:
        """Creates an object that is not yet connected.

        Args:
            record: A store that is not opened, from which the database's address is taken.
        """
        self.database = record.database
        self.connection: Any = None

    async def run_guarded(self, work: Callable[[Any], Awaitable[Any]]) -> Any:
        """Runs work with the connection, and disconnects if it fails or is cancelled.

        Raises:
            StoreUnavailableError: The connection or a statement failed.
        """
        try:
            if self.connection is None or self.connection.is_closed():
                self.connection = await self.database.connect()
            return await work(self.connection)
        except (*CONNECTION_ERRORS, asyncpg.PostgresError, StoreRefusedError) as error:
            self.disconnect()
            raise StoreUnavailableError(describe_error(error), place=self.database.place) from error
        except BaseException:
            # Cancelled: a statement may still be in progress on the connection.
            self.disconnect()
            raise

    async def prepare(self) -> None:
        """Applies the pending schema steps.

        Raises:
            StoreUnavailableError: The connection or a statement failed.
        """
        await self.run_guarded(lambda connection: migrate(connection, self.database.place))

    async def execute(self, sql: str, *values: Any) -> list[Any]:
        """Runs one statement and returns its rows.

        Raises:
            StoreUnavailableError: The connection or the statement failed.
        """
        rows: list[Any] = await self.run_guarded(lambda connection: connection.fetch(sql, *values))
        return [tuple(row) for row in rows]

    def disconnect(self) -> None:
        """Terminates the connection immediately."""
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.terminate()

    async def close(self) -> None:
        """Terminates the connection."""
        self.disconnect()
