"""Creates the store that the operator's file configures."""

import time
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

from .authentication import RowAuthenticator, load_key
from .store import RecordStore, StoreRefusedError

if TYPE_CHECKING:
    from ..operator import StorePart

__all__ = ["create_store", "load_authenticator", "read_password"]

PAGE_BYTES = 4096
BYTES_PER_MB = 1 << 20
MS_PER_S = 1000


def load_authenticator(record: "StorePart", create: bool) -> RowAuthenticator:
    """Reads the record's key and returns the authenticator that uses it.

    Args:
        record: The record section of the operator's file.
        create: Whether to create the key of a new SQLite record.

    Raises:
        StoreRefusedError: The key does not exist or can't be used.
    """
    if record.sqlite is not None:
        key_path = record.sqlite.key_file_path()
        if create and record.sqlite.file_path().exists() and not key_path.exists():
            raise StoreRefusedError(
                f"the key of {record.sqlite.path} is missing, so its rows can't be verified. Put"
                " the key back, or move the record away to start with an empty one",
                place=key_path,
            )
    else:
        assert record.postgres is not None
        key_path = record.postgres.key_file_path()
        create = False
    try:
        return RowAuthenticator(load_key(key_path, create))
    except OSError as error:
        raise StoreRefusedError(str(error.strerror), place=key_path) from error
    except ValueError as error:
        raise StoreRefusedError(str(error)) from error


def read_password(path: str | None) -> str:
    """Reads the database password from a file; returns an empty password if `path` is None.

    Raises:
        StoreRefusedError: The file can't be read.
    """
    if path is None:
        return ""
    try:
        return Path(path).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        raise StoreRefusedError(str(error), place=path) from error


def create_store(
    record: "StorePart", node: str, retention_ns: int, clock: Callable[[], int] = time.time_ns
) -> tuple[RecordStore, RowAuthenticator]:
    """Creates the store, not yet opened, and the authenticator of its rows.

    Args:
        record: The record section of the operator's file.
        node: The name of this node.
        retention_ns: How long a row is kept after the end of its window, nanoseconds.
        clock: Returns the wall-clock time in nanoseconds.

    Raises:
        StoreRefusedError: The key or the password can't be used.
    """
    authenticator = load_authenticator(record, create=True)
    if record.sqlite is not None:
        from .sqlite import SqliteStore

        sqlite_store = SqliteStore(
            record.sqlite.file_path(),
            authenticator,
            node,
            max_pages=record.sqlite.max_mb * BYTES_PER_MB // PAGE_BYTES,
            max_batch=record.sqlite.batch_most,
            retention_ns=retention_ns,
        )
        return sqlite_store, authenticator
    assert record.postgres is not None
    from .postgres import PostgresStore
    from .postgres_database import PostgresDatabase

    settings = record.postgres
    host, port = settings.address.rsplit(":", 1)
    database = PostgresDatabase(
        host,
        int(port),
        settings.database,
        settings.user,
        read_password(settings.password_file),
        connect_timeout_s=settings.connect_ms / MS_PER_S,
        statement_timeout_s=settings.hang_ms / MS_PER_S,
    )
    postgres_store = PostgresStore(
        database,
        authenticator,
        node,
        clock=clock,
        max_batch=settings.batch_most,
        retention_ns=retention_ns,
    )
    return postgres_store, authenticator
