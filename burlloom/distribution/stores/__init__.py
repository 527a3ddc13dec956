"""Where changes of configuration are kept: the record's SQLite file or PostgreSQL database, behind
one interface.
"""

from .store import Away, ChangeStore, Stored

__all__ = ["Away", "ChangeStore", "Stored"]
