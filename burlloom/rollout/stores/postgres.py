"""In the record's PostgreSQL database, for servers on many machines."""

from ...record.shared_postgres import SharedPostgresDatabase
from .tables import Tables


class Postgres(SharedPostgresDatabase, Tables):
    pass
