"""Creates the change store that the operator's file configures."""

import time
from typing import TYPE_CHECKING

from ...record.factory import create_store
from .change_store import ChangeStore

if TYPE_CHECKING:
    from ...operator import StorePart


def create_change_store(location: "StorePart") -> ChangeStore:
    """Returns the change store at a location of the operator's file; it is not opened yet.

    Raises:
        StoreRefusedError: The record's settings for PostgreSQL can't be used.
    """
    if location.sqlite is not None:
        from .sqlite import SqliteChangeStore

        return SqliteChangeStore(location.sqlite.file_path())
    from ...record.postgres import PostgresStore as RecordStore
    from .postgres import PostgresChangeStore

    record, _ = create_store(location, "-", retention_ns=0, clock=time.time_ns)
    assert isinstance(record, RecordStore)
    return PostgresChangeStore(record)
