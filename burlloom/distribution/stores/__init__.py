"""Where changes of configuration are kept: the record's SQLite file or PostgreSQL database, behind
one interface.
"""

from .store import ChangeStore, Stored, StoreUnavailableError

__all__ = ["StoreUnavailableError", "ChangeStore", "Stored"]
