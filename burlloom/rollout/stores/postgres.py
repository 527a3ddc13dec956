"""In the record's PostgreSQL database, for servers on many machines."""

from ...record.shared_postgres import SharedDatabase
from .sql import SqlRolloutStore


class PostgresRolloutStore(SharedDatabase, SqlRolloutStore):
    pass
