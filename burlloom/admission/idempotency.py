"""Finds original attempts, and decides how long idempotency keys and cached results are kept.

Inputs: each request's class, key and original attempt, the free memory. Rules:

* The key of a keyed request is kept from when the request is queued until its window, counted from
  its arrival, has passed. It is forgotten when the request ends without having run. Without memory
  for the key, or with no window left, the request is rejected, since a repeat could not be told
  from a new request.
* A repeat gets the result of its original attempt and is not run, if the original runs, ran, or is
  unknown to this incarnation.
* A repeat of a queued, non-idempotent attempt replaces it: the caller has given up the original.
* The key of an idempotent request is kept as well where results may be cached, so that a repeat
  shares the result.

All times are in ns on the host's clock.
"""

from .lifecycle import State, TrackedRequest
from .memory_budget import MemoryBudget
from .model import NO_ORIGINAL, Effects, Idempotency, ServerSettings

__all__ = ["IdempotencyKeys"]


class IdempotencyKeys:
    """The known attempts and the kept keys.

    Attributes:
        requests: All requests whose reference may still be used, by reference.
        ended: Those of them that have ended and are not yet released.
    """

    __slots__ = (
        "_cache_ttl_ns",
        "_cores",
        "_effects",
        "_memory",
        "_running_factor",
        "ended",
        "requests",
    )

    def __init__(self, settings: ServerSettings, memory: MemoryBudget, effects: Effects) -> None:
        """Starts without any known attempt.

        Args:
            settings: The server's settings.
            memory: Counts the keys.
            effects: Keeps and forgets the keys.
        """
        self._cache_ttl_ns = settings.result_cache_ttl_ns
        self._cores = settings.cores
        self._running_factor = settings.running_memory_factor
        self._memory = memory
        self._effects = effects
        self.requests: dict[int, TrackedRequest] = {}
        self.ended: list[TrackedRequest] = []

    def original_of(self, tracked: TrackedRequest) -> TrackedRequest | None:
        """Returns the attempt whose run has the effect that this attempt asks for; None if unknown.

        A host may name an attempt that was replaced since.
        """
        original = self.requests.get(tracked.request.original_ref)
        while original is not None and original.successor is not None:
            original = original.successor
        return original

    def may_have_run(self, tracked: TrackedRequest, now: int) -> bool:
        """Returns whether a run could be a second one, or could share the original's result."""
        original = self.original_of(tracked)
        if original is None:
            # An original that is unknown here may have run in a previous incarnation.
            return tracked.request.original_ref != NO_ORIGINAL
        return original.state != State.DROPPED and (
            original.state != State.QUEUED or is_idempotent(tracked)
        )

    def replaces_queued_original(self, tracked: TrackedRequest) -> bool:
        """Returns whether the original attempt is queued, so that this attempt replaces it."""
        original = self.original_of(tracked)
        return original is not None and original.state == State.QUEUED

    def key_cannot_be_recorded(self, tracked: TrackedRequest, now: int) -> bool:
        """Returns whether a keyed request has no window left, no record, or no memory for its key.

        Memory to run one request of its size on each core is kept in reserve.
        """
        request_class = tracked.request_class
        if request_class.idempotency is not Idempotency.KEYED:
            return False
        reserve_kb = self._cores * self._running_factor * tracked.request.memory_kb
        return (
            not tracked.request.is_recordable
            or tracked.arrived_at_ns + request_class.idempotency_window_ns <= now
            or not self._memory.has_capacity_for_key(reserve_kb)
        )

    def keep_key_of_queued(self, tracked: TrackedRequest, now: int) -> None:
        """Keeps the key of a request that was queued, if it has one."""
        request_class = tracked.request_class
        if request_class.idempotency is Idempotency.KEYED:
            self._keep_key(
                tracked, tracked.arrived_at_ns + request_class.idempotency_window_ns, now
            )
        elif (
            (self._cache_ttl_ns or request_class.max_staleness_ns)
            and is_idempotent(tracked)
            and self._memory.has_capacity_for_key()
        ):
            self._keep_key(tracked, tracked.deadline_at_ns, now)

    def cache_result(self, tracked: TrackedRequest, now: int) -> None:
        """Keeps the result of an idempotent request for as long as it may be shared."""
        if tracked.key_expires_at_ns and is_idempotent(tracked):
            ttl_ns = max(self._cache_ttl_ns, tracked.request_class.max_staleness_ns)
            self._keep_key(tracked, now + ttl_ns, now)

    def forget_key(self, tracked: TrackedRequest, now: int) -> None:
        """Forgets the key of a request that did not run: a repeat of it may run."""
        if tracked.key_expires_at_ns:
            self._effects.forget_key(tracked.request.ref)
            self._memory.recorded_keys -= 1
            tracked.key_expires_at_ns = 0

    def release_ended(self, now: int) -> None:
        """Releases ended requests whose key has expired; called once each timer round.

        A request that ended at this very time stays for one more round, since the event being
        handled may refer to it.
        """
        ended, self.ended = self.ended, []
        for tracked in ended:
            if tracked.key_expires_at_ns > now or tracked.ended_at_ns == now:
                self.ended.append(tracked)
            else:
                self._memory.recorded_keys -= bool(tracked.key_expires_at_ns)
                del self.requests[tracked.request.ref]
                self._effects.release(tracked.request.ref)

    def _keep_key(self, tracked: TrackedRequest, expires_at_ns: int, now: int) -> None:
        self._memory.recorded_keys += not tracked.key_expires_at_ns
        tracked.key_expires_at_ns = expires_at_ns
        self._effects.keep_key(tracked.request.ref, expires_at_ns - now)


def is_idempotent(tracked: TrackedRequest) -> bool:
    """Returns whether a second run of the request does no harm."""
    return tracked.request_class.idempotency is Idempotency.IDEMPOTENT
