"""The link to the executor: lines of words, kept open and found again."""

from .connection import ExecutorConnection
from .wire import RunStatus

__all__ = ["ExecutorConnection", "RunStatus"]
