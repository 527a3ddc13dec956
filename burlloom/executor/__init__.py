"""The link to the executor: lines of words, kept open and found again."""

from .link import End, Link

__all__ = ["End", "Link"]
