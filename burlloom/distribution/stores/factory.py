"""Makes the change store that an operator's file names."""

import time
from typing import TYPE_CHECKING

from ...record.factory import create_store
from .change_store import ChangeStore

if TYPE_CHECKING:
    from ...operator import StorePart


def create_change_store(place: "StorePart") -> ChangeStore:
    """Raises `record.store.Refused`."""
    if place.sqlite is not None:
        from .sqlite import SqliteChangeStore

        return SqliteChangeStore(place.sqlite.file_path())
    from ...record.postgres import PostgresStore as Record
    from .postgres import PostgresChangeStore

    record, _ = create_store(place, "-", retention_ns=0, clock=time.time_ns)
    assert isinstance(record, Record)
    return PostgresChangeStore(record)
