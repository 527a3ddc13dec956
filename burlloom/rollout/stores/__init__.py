"""Stores of the rollout state: the interface `RolloutStore` and a module for each kind of store."""

from .base import RolloutStore, StateSnapshot, StoreUnavailableError
from .codec import StateDecodeError, decode_state, encode_state

__all__ = [
    "RolloutStore",
    "StateDecodeError",
    "StateSnapshot",
    "StoreUnavailableError",
    "decode_state",
    "encode_state",
]
