"""Where changes of configuration are kept: the record's SQLite file or PostgreSQL database, behind
one interface.
"""

from .change_store import Away, ChangeStore, StoredItem

__all__ = ["Away", "ChangeStore", "StoredItem"]
