"""Calls the downstream dependency over HTTP."""

from .connection_pool import ConnectionPool
from .wire import CallStatus

__all__ = ["CallStatus", "ConnectionPool"]
