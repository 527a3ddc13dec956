"""Calls to the catalogue, over HTTP."""

from .pool import Answer, Pool

__all__ = ["Answer", "Pool"]
