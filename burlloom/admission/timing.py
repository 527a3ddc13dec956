"""Time constants that several rules share.

All times are integer nanoseconds on the host's clock.
"""

__all__ = ["ANSWER_MARGIN_NS", "NEVER_NS", "NS_PER_MS", "TIMER_INTERVAL_NS"]

NS_PER_MS = 1_000_000

TIMER_INTERVAL_NS = 100 * NS_PER_MS
"""The time between two timer rounds."""

ANSWER_MARGIN_NS = 20 * NS_PER_MS
"""The time that an answer takes to reach the caller."""

NEVER_NS = 1 << 62
"""A time that is never reached."""
