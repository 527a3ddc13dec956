"""Reports to the name service."""

from .reports import Reports

__all__ = ["Reports"]
