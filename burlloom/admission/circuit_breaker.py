"""The circuit breaker for calls to the downstream dependency.

Input: how each call ended. Rule: after `FAILURES_TO_OPEN` consecutive failed calls the breaker is
open. One trial call at a time is then made, `TRIAL_INTERVAL_NS` after the end of the last call; a
successful trial closes the breaker. Reason: calls to a dependency that fails all of them only delay
requests that can be answered without a call.
"""

from .timing import NS_PER_MS

__all__ = ["TRIAL_INTERVAL_NS", "CircuitBreaker"]

FAILURES_TO_OPEN = 5
TRIAL_INTERVAL_NS = 500 * NS_PER_MS


class CircuitBreaker:
    """Counts consecutive failures."""

    __slots__ = ("_failures", "_trial_at_ns")

    def __init__(self) -> None:
        """Creates a closed breaker."""
        self._failures = 0
        self._trial_at_ns = 0

    def record(self, now: int, *, is_success: bool) -> None:
        """Records a call that ended at `now` (ns)."""
        self._failures = 0 if is_success else self._failures + 1
        self._trial_at_ns = now + TRIAL_INTERVAL_NS

    @property
    def is_open(self) -> bool:
        """Whether only trial calls are made."""
        return self._failures >= FAILURES_TO_OPEN

    def blocks_call(self, now: int, open_calls: int) -> bool:
        """Returns whether no call may be made at `now` (ns), given the number of open calls."""
        return self._failures >= FAILURES_TO_OPEN and (now < self._trial_at_ns or open_calls > 0)
