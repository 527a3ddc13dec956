"""The admission queue, the source's jostle list: last in, first out, with eviction of the oldest.

Inputs: time in the queue (awake ns), sizes (KB), the run limit, priorities. Rules:

* a free run slot starts the newest;
* the queue is full at `QUEUED_PER_RUN` requests for each that may run, or at
  `QUEUE_MEMORY_SHARE` of memory; below the priority floor it is full at one for each. Reason: what
  a longer queue adds would only be answered late;
* a full queue evicts its oldest for a newcomer once that one has waited past the jostle timeout,
  and no sooner. Reason: evicting the young starts much and finishes little.

`overwritten` and `exceeded` are the source's counters.
"""

from collections import OrderedDict

from .awake_clock import AwakeClock
from .lifecycle import TrackedRequest
from .model import ServerSettings
from .timing import NS_PER_MS

__all__ = ["AdmissionQueue"]

JOSTLE_TIMEOUT_NS = 200 * NS_PER_MS
QUEUED_PER_RUN = 2
QUEUE_MEMORY_SHARE = 0.25


class AdmissionQueue:
    """Requests that wait for a run slot, oldest first.

    Attributes:
        requests: them, by reference.
        overwritten: how many were evicted for a newcomer.
        exceeded: how many newcomers were rejected since the queue was full.
    """

    __slots__ = ("_clock", "_memory_kb", "_most_kb", "exceeded", "overwritten", "requests")

    def __init__(self, settings: ServerSettings, clock: AwakeClock) -> None:
        """Makes an empty queue.

        Args:
            settings: of the server.
            clock: for time in the queue.
        """
        self._clock = clock
        self._memory_kb = 0.0
        self._most_kb = QUEUE_MEMORY_SHARE * settings.memory_kb
        self.requests: OrderedDict[int, TrackedRequest] = OrderedDict()
        self.overwritten = 0
        self.exceeded = 0

    def add(self, tracked: TrackedRequest) -> None:
        """Puts a request in as the newest."""
        self.requests[tracked.request.ref] = tracked
        self._memory_kb += tracked.request.memory_kb

    def remove(self, tracked: TrackedRequest) -> None:
        """Takes out a request, wherever it stands."""
        self._memory_kb -= tracked.request.memory_kb
        del self.requests[tracked.request.ref]

    def oldest(self) -> TrackedRequest | None:
        """The request that has waited longest."""
        return next(iter(self.requests.values()), None)

    def newest(self) -> TrackedRequest:
        """The request that came last; the queue must not be empty."""
        return self.requests[next(reversed(self.requests))]

    def is_stale(self, tracked: TrackedRequest, now: int) -> bool:
        """Whether a request has waited past the jostle timeout, for a run slot or for its call."""
        waited_ns = now - self._clock.paused_ns - tracked.waiting_since_ns
        return waited_ns > JOSTLE_TIMEOUT_NS

    def has_place(
        self, memory_kb: float, run_limit: float, queue_share: float, *, is_under_floor: bool
    ) -> bool:
        """Whether one more fits without an eviction.

        Args:
            memory_kb: the size of the newcomer.
            run_limit: how many may run at a time.
            queue_share: the part of the length that the service level leaves.
            is_under_floor: the newcomer's priority is below the priority floor.
        """
        length = len(self.requests)
        return not (
            (length >= run_limit and is_under_floor)
            or length >= max(1.0, queue_share * QUEUED_PER_RUN * run_limit)
            or self._memory_kb + memory_kb > self._most_kb
        )
