"""Rollout state in the record's PostgreSQL database, for servers on several machines."""

from ...record.shared_postgres import SharedPostgresDatabase
from .sql import SqlRolloutStore

__all__ = ["PostgresRolloutStore"]


class PostgresRolloutStore(SharedPostgresDatabase, SqlRolloutStore):
    """Store with tables next to the record's, over the record's connections."""
