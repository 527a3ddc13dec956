"""Simulated time for asyncio: when no callback is ready, the clock jumps to the next timer."""

import asyncio
import heapq
from asyncio import TimerHandle
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from contextvars import Context
from itertools import count
from typing import Any

from ..time_units import NS_PER_SECOND

EPOCH_NS = 1_700_000_000 * NS_PER_SECOND  # Unix time at which simulated time begins


class SimulatedLoop(asyncio.SelectorEventLoop):
    """An event loop on which waiting takes no real time.

    Sockets can be created on the loop, but it never polls them, so they receive nothing.

    Timers are ordered by time, then by the order in which they were set: asyncio's own heap leaves
    the order of equal times undefined, which would make runs differ. A cancelled timer stays in the
    heap until its time.

    Attributes:
        now_s: Seconds since simulated time began.
        timers: Heap of time in s, sequence number and handle.
        sequence_numbers: Order timers of the same time.
    """

    def __init__(self) -> None:
        """Creates a loop at simulated time 0."""
        super().__init__()
        self.now_s = 0.0
        self.timers: list[tuple[float, int, TimerHandle]] = []
        self.sequence_numbers = count()

    def time(self) -> float:
        """Returns the seconds since simulated time began."""
        return self.now_s

    def unix_time_ns(self) -> int:
        """Returns the simulated Unix time in ns."""
        return EPOCH_NS + int(self.now_s * NS_PER_SECOND)

    def call_at(  # type: ignore[override]
        self,
        when: float,
        callback: Callable[..., Any],
        *args: Any,
        context: Context | None = None,
    ) -> TimerHandle:
        """Schedules a callback at a simulated time in s."""
        handle = TimerHandle(when, callback, args, self, context)
        heapq.heappush(self.timers, (when, next(self.sequence_numbers), handle))
        return handle

    def _timer_handle_cancelled(self, handle: TimerHandle) -> None: ...

    def _run_once(self) -> None:
        ready, timers = self._ready, self.timers  # type: ignore[attr-defined]
        while timers and not ready:
            self.now_s = max(self.now_s, timers[0][0])
            while timers and timers[0][0] <= self.now_s:
                handle = heapq.heappop(timers)[2]
                if not handle.cancelled():
                    ready.append(handle)
        if not ready:
            raise RuntimeError("simulated event loop has no ready callback and no pending timer")
        for _ in range(len(ready)):
            handle = ready.popleft()
            if not handle.cancelled():
                handle._run()


@contextmanager
def simulated_loop() -> Iterator[SimulatedLoop]:
    """Yields the current event loop of a block; cancels the tasks that still run at its end."""
    loop = SimulatedLoop()
    asyncio.set_event_loop(loop)
    try:
        yield loop
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
    finally:
        loop.close()
        asyncio.set_event_loop(None)
