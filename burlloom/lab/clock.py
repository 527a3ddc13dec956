"""Simulated time for asyncio: where nothing is ready, the clock jumps to the next timer."""

import asyncio
import heapq
from asyncio import TimerHandle
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from contextvars import Context
from itertools import count
from typing import Any

SECOND = 1_000_000_000
EPOCH = 1_700_000_000 * SECOND  # the wall clock, as simulated time begins


class SimulatedLoop(asyncio.SelectorEventLoop):
    """An event loop on which waiting costs nothing. Sockets may be made on it, but nobody hears
    from them.

    Timers are ordered by time, then by when they were set: asyncio's own heap leaves the order of
    equal times to chance. One that is cancelled stays until its time.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.queue: list[tuple[float, int, TimerHandle]] = []
        self.numbers = count()

    def time(self) -> float:
        """s since simulated time began."""
        return self.now

    def wall(self) -> int:
        """Unix time in ns."""
        return EPOCH + int(self.now * SECOND)

    def call_at(  # type: ignore[override]
        self,
        when: float,
        callback: Callable[..., Any],
        *args: Any,
        context: Context | None = None,
    ) -> TimerHandle:
        handle = TimerHandle(when, callback, args, self, context)
        heapq.heappush(self.queue, (when, next(self.numbers), handle))
        return handle

    def _timer_handle_cancelled(self, handle: TimerHandle) -> None: ...

    def _run_once(self) -> None:
        ready, queue = self._ready, self.queue  # type: ignore[attr-defined]
        while queue and not ready:
            self.now = max(self.now, queue[0][0])
            while queue and queue[0][0] <= self.now:
                handle = heapq.heappop(queue)[2]
                if not handle.cancelled():
                    ready.append(handle)
        if not ready:
            raise RuntimeError("nothing is left to happen")
        for _ in range(len(ready)):
            handle = ready.popleft()
            if not handle.cancelled():
                handle._run()


@contextmanager
def simulated() -> Iterator[SimulatedLoop]:
    """A loop for as long as the block lasts; what still runs on it then is cancelled."""
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
