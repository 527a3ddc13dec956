"""Stores of configuration changes: SQLite or PostgreSQL, behind one interface."""

from .change_store import ChangeStore, StoredItem, StoreUnavailableError

__all__ = ["StoreUnavailableError", "ChangeStore", "StoredItem"]
