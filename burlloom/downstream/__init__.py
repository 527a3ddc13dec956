"""Calls to the catalogue, over HTTP."""

from .connection_pool import CallStatus, ConnectionPool

__all__ = ["CallStatus", "ConnectionPool"]
