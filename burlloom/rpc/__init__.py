"""Txns over MessagePack-RPC: the listener, its connections and their frames."""

from .front import Asked, Front

__all__ = ["Asked", "Front"]
