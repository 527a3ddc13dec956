"""The circuit breaker of calls to the downstream dependency.

Input: how each call ended. Rule: after `FAILURES_TO_OPEN` calls failed in a row it is open, and one
trial call at a time is made, `TRIAL_INTERVAL_NS` after the last end; a trial that is answered
closes it. Reason: a dependency that fails all calls only delays requests that can do without.
"""

from .timing import NS_PER_MS

__all__ = ["TRIAL_INTERVAL_NS", "CircuitBreaker"]

FAILURES_TO_OPEN = 5
TRIAL_INTERVAL_NS = 500 * NS_PER_MS


class CircuitBreaker:
    """Counts failures in a row."""

    __slots__ = ("_failures", "_trial_at_ns")

    def __init__(self) -> None:
        """A closed breaker."""
        self._failures = 0
        self._trial_at_ns = 0

    def record(self, now: int, *, is_success: bool) -> None:
        """Counts a call that ended at `now` (ns)."""
        self._failures = 0 if is_success else self._failures + 1
        self._trial_at_ns = now + TRIAL_INTERVAL_NS

    @property
    def is_open(self) -> bool:
        """Whether only trial calls are made."""
        return self._failures >= FAILURES_TO_OPEN

    def blocks_call(self, now: int, open_calls: int) -> bool:
        """Whether no call may be made at `now` (ns) while so many are open."""
        return self._failures >= FAILURES_TO_OPEN and (now < self._trial_at_ns or open_calls > 0)
