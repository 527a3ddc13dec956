"""Where changes of configuration are kept: the record's SQLite file or PostgreSQL database, behind
one interface.
"""

from .change_store import ChangeStore, StoredItem, StoreUnavailableError

__all__ = ["StoreUnavailableError", "ChangeStore", "StoredItem"]
