"""The rollout state in the record's PostgreSQL database, for servers on many machines."""

from ...record.shared_postgres import SharedPostgresDatabase
from .sql import SqlRolloutStore

__all__ = ["PostgresRolloutStore"]


class PostgresRolloutStore(SharedPostgresDatabase, SqlRolloutStore):
    """The tables beside the record's, over its connections."""
