"""The root of the package's errors.

Every error that burlloom raises on purpose derives from `BurlloomError`, so that a caller can tell
a refused input or a lost peer from a defect. Each concern has its own subclass beside the code that
raises it, with what was wrong and where as fields.
"""

__all__ = ["BurlloomError"]


class BurlloomError(Exception):
    """Base of all errors that burlloom raises on purpose."""
