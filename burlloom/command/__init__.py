"""The `burlloom` command line.

Each command imports what it needs only when it is called.
"""

from .root import main

__all__ = ["main"]
