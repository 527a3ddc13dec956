"""In the record's PostgreSQL database, for servers on many machines."""

from ...record.shared_postgres import SharedDatabase
from .tables import Tables


class Postgres(SharedDatabase, Tables):
    pass
