"""The record's PostgreSQL database, through asyncpg: address, connections and schema."""

import asyncio
from dataclasses import dataclass
from typing import Any

import asyncpg

from . import postgres_statements as sql
from . import schema
from .store import StoreRefusedError

__all__ = ["CONNECTION_ERRORS", "PostgresDatabase", "describe_error", "migrate"]

SCHEMA_LOCK = 0x6275726C6F6F  # "burloo": the advisory lock held while the schema is migrated
CONNECTION_ERRORS = (
    OSError,
    asyncpg.InterfaceError,
    asyncpg.PostgresConnectionError,
    asyncio.TimeoutError,
    EOFError,
)


@dataclass(frozen=True, slots=True)
class PostgresDatabase:
    """The address, credentials and timeouts of a PostgreSQL database.

    Attributes:
        host: The server's host.
        port: The server's port.
        name: The name of the database.
        user: The user to connect as.
        password: The user's password, empty for none.
        connect_timeout_s: The timeout for making a connection, seconds.
        statement_timeout_s: The timeout for one statement, seconds.
    """

    host: str
    port: int
    name: str
    user: str
    password: str
    connect_timeout_s: float = 2.0
    statement_timeout_s: float = 5.0

    @property
    def place(self) -> str:
        """The database's address for messages, as host:port/name."""
        return f"{self.host}:{self.port}/{self.name}"

    async def connect(self) -> Any:
        """Connects to the database.

        Raises:
            asyncpg.PostgresError: The server refused the connection.
            OSError: The server can't be reached; other `CONNECTION_ERRORS` may be raised too.
        """
        return await asyncpg.connect(
            host=self.host,
            port=self.port,
            database=self.name,
            user=self.user,
            password=self.password or None,
            timeout=self.connect_timeout_s,
            command_timeout=self.statement_timeout_s,
            ssl=False,
        )


def describe_error(error: BaseException) -> str:
    """Returns the error's text, or its class name if the text is empty."""
    return str(error) or type(error).__name__


async def migrate(connection: Any, place: str) -> tuple[int, ...]:
    """Applies the pending schema steps in one transaction, and returns their numbers.

    Raises:
        StoreRefusedError: The schema is newer than this program supports.
    """
    async with connection.transaction():
        await connection.fetch(sql.LOCK_SCHEMA, SCHEMA_LOCK)
        await connection.execute(sql.CREATE_SCHEMA_TABLE)
        versions = await connection.fetch(sql.SELECT_SCHEMA_VERSIONS)
        version = max((row[0] for row in versions), default=0)
        if version > schema.LATEST_VERSION:
            raise StoreRefusedError(
                f"schema {version} is newer than {schema.LATEST_VERSION}, the newest this program"
                " knows; start the newer program",
                place=place,
            )
        pending_steps = schema.list_pending_steps(version, schema.POSTGRES_STEPS)
        for number in pending_steps:
            for statement in schema.POSTGRES_STEPS[number]:
                await connection.execute(statement)
            await connection.fetch(sql.INSERT_SCHEMA_VERSION, number)
    return tuple(pending_steps)
