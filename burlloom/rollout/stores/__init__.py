"""Where the book is kept: the record's SQLite file or PostgreSQL database, behind one interface."""

from .base import RolloutStore, StateSnapshot, StoreUnavailableError
from .codec import StateDecodeError, decode_state, encode_state

__all__ = [
    "StoreUnavailableError",
    "StateSnapshot",
    "RolloutStore",
    "StateDecodeError",
    "decode_state",
    "encode_state",
]
