"""The base class of the package's errors.

Every error that burlloom raises deliberately derives from `BurlloomError`, so that a caller can
distinguish an invalid input or an unreachable peer from a defect. Each package defines its own
subclasses next to the code that raises them. Their attributes hold what was wrong and where.
"""

__all__ = ["BurlloomError"]


class BurlloomError(Exception):
    """Base class of all errors that burlloom raises deliberately."""
