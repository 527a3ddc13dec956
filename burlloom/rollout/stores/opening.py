"""The shelf that an operator's file names."""

import time
from typing import TYPE_CHECKING

from ...record.factory import create_store
from ...record.lock_retry import LOCK_TIMEOUT_S
from .shelf import Shelf

if TYPE_CHECKING:
    from ...operator import Operator


def shelf_of(operator: "Operator", wait: float = LOCK_TIMEOUT_S) -> Shelf:
    """`wait`: s for a lock that another holds, of a store that is one file. Raises
    `record.store.Refused`.
    """
    place = operator.rollout_store()
    if place.sqlite is not None:
        from .sqlite import Sqlite

        return Sqlite(place.sqlite.place(), wait)
    from ...record.postgres import PostgresStore as Record
    from .postgres import Postgres

    record, _ = create_store(place, "-", retention_ns=0, clock=time.time_ns)
    assert isinstance(record, Record)
    return Postgres(record)
