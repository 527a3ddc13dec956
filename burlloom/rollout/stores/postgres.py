"""In the record's PostgreSQL database, for servers on many machines."""

from ...record.shared_postgres import SharedPostgresDatabase
from .sql import SqlRolloutStore


class PostgresRolloutStore(SharedPostgresDatabase, SqlRolloutStore):
    pass
