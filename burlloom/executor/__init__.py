"""The connection to the executor, which runs requests; wire.py has its protocol."""

from .connection import ExecutorConnection
from .wire import RunStatus

__all__ = ["ExecutorConnection", "RunStatus"]
