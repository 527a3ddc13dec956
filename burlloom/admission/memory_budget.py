"""The budget of the executor's memory.

Inputs: the memory of requests and of idempotency keys (KB). Rule: all tracked requests, with the
size of a started one multiplied by `running_memory_factor`, and all kept keys stay within
`USABLE_MEMORY_SHARE` of `memory_kb`. Reason: an executor that runs out of memory is killed together
with all its runs.
"""

from .lifecycle import State, TrackedRequest
from .model import ServerSettings

__all__ = ["MemoryBudget"]

USABLE_MEMORY_SHARE = 0.97


class MemoryBudget:
    """Counts the memory in use.

    Attributes:
        requests_kb: The memory that requests use now.
        recorded_keys: The number of idempotency keys kept.
        factors: The memory of a request in each state, as a multiple of its own size.
    """

    __slots__ = (
        "_key_kb",
        "_running_factor",
        "_usable_kb",
        "factors",
        "recorded_keys",
        "requests_kb",
    )

    def __init__(self, settings: ServerSettings) -> None:
        """Creates an empty budget for a server with these settings."""
        self._key_kb = settings.idempotency_key_kb
        self._running_factor = settings.running_memory_factor
        self._usable_kb = USABLE_MEMORY_SHARE * settings.memory_kb
        self.requests_kb = 0.0
        self.recorded_keys = 0
        self.factors = [settings.running_memory_factor] * len(State)
        self.factors[State.NEW] = self.factors[State.QUEUED] = 1.0
        self.factors[State.FINISHED] = self.factors[State.DROPPED] = 0.0

    def has_capacity(self, memory_kb: float) -> bool:
        """Returns whether `memory_kb` more fit."""
        return self.requests_kb + self.recorded_keys * self._key_kb + memory_kb <= self._usable_kb

    def has_capacity_for_key(self, reserve_kb: float = 0.0) -> bool:
        """Returns whether one more idempotency key fits and leaves `reserve_kb` free."""
        return self.has_capacity(self._key_kb + reserve_kb)

    def has_capacity_to_run(self, tracked: TrackedRequest) -> bool:
        """Returns whether a request whose own size is already counted may be started."""
        return self.has_capacity(tracked.request.memory_kb * (self._running_factor - 1))
