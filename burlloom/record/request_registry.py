"""The registry of keyed requests whose outcome is pending, not yet durable, or in doubt."""

import asyncio
from collections.abc import Callable

from ..time_units import NS_PER_SECOND
from .request_lifecycle import DurableRequest

__all__ = ["RequestRegistry"]

MAX_REQUESTS = 8192  # beyond it, no further claim or lookup is sent to the store


class RequestRegistry:
    """Holds requests by ID and key digest, with their claim timers and waiters.

    Attributes:
        by_id: The requests by the IDs of their attempts.
        by_key_digest: The latest request that held each key, by key digest.
        claim_timers: The timers that fire at the claim deadlines, by request ID.
    """

    def __init__(
        self, clock: Callable[[], int], on_claim_timeout: Callable[[DurableRequest], None]
    ) -> None:
        """Creates an empty registry.

        Args:
            clock: Returns the wall-clock time in nanoseconds.
            on_claim_timeout: Called with a request when its claim deadline has passed.
        """
        self._clock = clock
        self._on_claim_timeout = on_claim_timeout
        self.by_id: dict[str, DurableRequest] = {}
        self.by_key_digest: dict[bytes, DurableRequest] = {}
        self.claim_timers: dict[str, asyncio.TimerHandle] = {}
        self._waiters: dict[str, list[asyncio.Future[None]]] = {}

    def __len__(self) -> int:
        """Returns the number of requests in the registry."""
        return len(self.by_id)

    def is_full(self) -> bool:
        """Returns whether the registry holds `MAX_REQUESTS` or more."""
        return len(self.by_id) >= MAX_REQUESTS

    def remove(self, request: DurableRequest) -> None:
        """Removes a completed request and wakes its waiters."""
        if self.by_id.get(request.request_id) is request:
            del self.by_id[request.request_id]
        if self.by_key_digest.get(request.key_digest) is request:
            del self.by_key_digest[request.key_digest]
        self.cancel_claim_timer(request)
        self.wake(request)

    def add_waiter(self, request_id: str) -> asyncio.Future[None]:
        """Returns a future that completes once the request is removed or claimed elsewhere."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.setdefault(request_id, []).append(future)
        return future

    def wake(self, request: DurableRequest) -> None:
        """Completes the futures of a request's waiters."""
        for future in self._waiters.pop(request.request_id, ()):
            if not future.done():
                future.set_result(None)

    def start_claim_timer(self, request: DurableRequest) -> None:
        """Starts the timer that fires at the request's claim deadline."""
        delay_s = max(0, request.claim_deadline_ns - self._clock()) / NS_PER_SECOND
        self.claim_timers[request.request_id] = asyncio.get_running_loop().call_later(
            delay_s, self._time_out, request
        )

    def _time_out(self, request: DurableRequest) -> None:
        self.claim_timers.pop(request.request_id, None)
        self._on_claim_timeout(request)

    def cancel_claim_timer(self, request: DurableRequest) -> None:
        """Cancels the request's claim timer, if one is running."""
        timer = self.claim_timers.pop(request.request_id, None)
        if timer is not None:
            timer.cancel()

    def cancel_all_timers(self) -> None:
        """Cancels all claim timers."""
        for timer in self.claim_timers.values():
            timer.cancel()
