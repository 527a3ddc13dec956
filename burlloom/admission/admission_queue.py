"""The admission queue: last in, first out, evicting the oldest request.

Inputs: time in the queue (awake ns), request sizes (KB), the run limit, priorities. Rules:

* A free run slot starts the newest request.
* The queue is full at `MAX_QUEUED_PER_RUN_SLOT` requests per run slot, or at
  `MAX_QUEUE_MEMORY_SHARE` of the executor's memory. For requests below the priority floor it is
  full at one request per run slot. Reason: requests at the back of a longer queue would be answered
  too late.
* A full queue evicts its oldest request for a new one, but only once the oldest has waited longer
  than the jostle timeout. Reason: evicting recent requests starts many and finishes few.

The jostle list, and what the two counters count, follow the Unbound DNS resolver, which names them
`overwritten` (here `evictions`) and `exceeded` (here `queue_full_rejections`).
"""

from collections import OrderedDict

from .awake_clock import AwakeClock
from .lifecycle import TrackedRequest
from .model import ServerSettings
from .timing import NS_PER_MS

__all__ = ["AdmissionQueue"]

JOSTLE_TIMEOUT_NS = 200 * NS_PER_MS
MAX_QUEUED_PER_RUN_SLOT = 2
MAX_QUEUE_MEMORY_SHARE = 0.25


class AdmissionQueue:
    """Requests that wait for a run slot, oldest first.

    Attributes:
        requests: The queued requests, by reference.
        evictions: The number of requests evicted for a new one.
        queue_full_rejections: The number of new requests rejected because the queue was full.
    """

    __slots__ = (
        "_clock",
        "_memory_kb",
        "_max_memory_kb",
        "queue_full_rejections",
        "evictions",
        "requests",
    )

    def __init__(self, settings: ServerSettings, clock: AwakeClock) -> None:
        """Creates an empty queue.

        Args:
            settings: The server's settings.
            clock: Measures time in the queue.
        """
        self._clock = clock
        self._memory_kb = 0.0
        self._max_memory_kb = MAX_QUEUE_MEMORY_SHARE * settings.memory_kb
        self.requests: OrderedDict[int, TrackedRequest] = OrderedDict()
        self.evictions = 0
        self.queue_full_rejections = 0

    def add(self, tracked: TrackedRequest) -> None:
        """Adds a request as the newest."""
        self.requests[tracked.request.ref] = tracked
        self._memory_kb += tracked.request.memory_kb

    def remove(self, tracked: TrackedRequest) -> None:
        """Removes a request from any position."""
        self._memory_kb -= tracked.request.memory_kb
        del self.requests[tracked.request.ref]

    def oldest(self) -> TrackedRequest | None:
        """Returns the request that has waited longest; None for an empty queue."""
        return next(iter(self.requests.values()), None)

    def newest(self) -> TrackedRequest:
        """Returns the request that arrived last; the queue must not be empty."""
        return self.requests[next(reversed(self.requests))]

    def is_stale(self, tracked: TrackedRequest, now: int) -> bool:
        """Returns whether a request has waited longer than the jostle timeout.

        It may wait for a run slot or for its downstream call.
        """
        waited_ns = now - self._clock.paused_ns - tracked.waiting_since_ns
        return waited_ns > JOSTLE_TIMEOUT_NS

    def has_capacity(
        self,
        memory_kb: float,
        run_limit: float,
        queue_share: float,
        *,
        is_under_priority_floor: bool,
    ) -> bool:
        """Returns whether one more request fits without an eviction.

        Args:
            memory_kb: The size of the new request.
            run_limit: The number of requests that may run at once.
            queue_share: The share of the queue's length that the service level leaves, 0 to 1.
            is_under_priority_floor: Whether the new request's priority is below the priority floor.
        """
        length = len(self.requests)
        return not (
            (length >= run_limit and is_under_priority_floor)
            or length >= max(1.0, queue_share * MAX_QUEUED_PER_RUN_SLOT * run_limit)
            or self._memory_kb + memory_kb > self._max_memory_kb
        )
