"""The keyed requests in hand: claims, ends on their way to the store, and doubts."""

import asyncio
from collections.abc import Callable

from .request_lifecycle import DurableRequest

__all__ = ["RequestRegistry"]

MAX_REQUESTS = 8192
NS_PER_S = 1_000_000_000


class RequestRegistry:
    """Requests by id and by key digest, each with its claim timer and those that wait for it.

    Attributes:
        by_id: The requests by the ids of their attempts.
        by_key_digest: The same by key digest; of several the last to hold the key.
        claim_timers: Timers that end the store's time, by request id.
    """

    def __init__(
        self, clock: Callable[[], int], on_claim_timeout: Callable[[DurableRequest], None]
    ) -> None:
        """Starts empty.

        Args:
            clock: The wall clock, nanoseconds.
            on_claim_timeout: Called when the store's time for a request is over.
        """
        self._clock = clock
        self._on_claim_timeout = on_claim_timeout
        self.by_id: dict[str, DurableRequest] = {}
        self.by_key_digest: dict[bytes, DurableRequest] = {}
        self.claim_timers: dict[str, asyncio.TimerHandle] = {}
        self._waiters: dict[str, list[asyncio.Future[None]]] = {}

    def __len__(self) -> int:
        """The number of requests in hand."""
        return len(self.by_id)

    def is_full(self) -> bool:
        """Whether no further request may be added."""
        return len(self.by_id) >= MAX_REQUESTS

    def remove(self, request: DurableRequest) -> None:
        """Removes a request that is done, and wakes those that wait for it."""
        if self.by_id.get(request.request_id) is request:
            del self.by_id[request.request_id]
        if self.by_key_digest.get(request.key_digest) is request:
            del self.by_key_digest[request.key_digest]
        self.cancel_claim_timer(request)
        self.wake(request)

    def add_waiter(self, request_id: str) -> asyncio.Future[None]:
        """A future that is done once the request is done or known to be claimed elsewhere."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.setdefault(request_id, []).append(future)
        return future

    def wake(self, request: DurableRequest) -> None:
        """Ends the waiting for a request."""
        for future in self._waiters.pop(request.request_id, ()):
            if not future.done():
                future.set_result(None)

    def start_claim_timer(self, request: DurableRequest) -> None:
        """Starts the timer that ends at the request's claim deadline."""
        delay_s = max(0, request.claim_deadline_ns - self._clock()) / NS_PER_S
        self.claim_timers[request.request_id] = asyncio.get_running_loop().call_later(
            delay_s, self._time_out, request
        )

    def _time_out(self, request: DurableRequest) -> None:
        self.claim_timers.pop(request.request_id, None)
        self._on_claim_timeout(request)

    def cancel_claim_timer(self, request: DurableRequest) -> None:
        """Cancels the request's claim timer, if it has one."""
        timer = self.claim_timers.pop(request.request_id, None)
        if timer is not None:
            timer.cancel()

    def cancel_all_timers(self) -> None:
        """Cancels all claim timers."""
        for timer in self.claim_timers.values():
            timer.cancel()
