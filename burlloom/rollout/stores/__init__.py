"""Where the book is kept: the record's SQLite file or PostgreSQL database, behind one interface."""

from .base import Away, RolloutStore, StateSnapshot
from .codec import StateDecodeError, decode_state, encode_state

__all__ = [
    "Away",
    "StateSnapshot",
    "RolloutStore",
    "StateDecodeError",
    "decode_state",
    "encode_state",
]
