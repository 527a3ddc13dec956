"""Where the book is kept: the record's SQLite file or PostgreSQL database, behind one interface."""

from .base import Away, RolloutStore, StateDecodeError, StateSnapshot, decode_state, encode_record

__all__ = [
    "Away",
    "StateSnapshot",
    "RolloutStore",
    "StateDecodeError",
    "decode_state",
    "encode_record",
]
