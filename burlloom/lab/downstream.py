"""The emulated downstream service that all nodes share, and each node's connection pool to it."""

import asyncio

from numpy.random import Generator

from ..downstream import CallStatus
from ..time_units import NS_PER_SECOND
from .clock import SimulatedLoop
from .load import draw_lognormal
from .scenario import Downstream


class EmulatedDownstream:
    """A service whose calls take longer in proportion once more are in progress than it has slots.

    Attributes:
        calls_in_progress: Calls in progress.
        peak_calls_in_progress: Most calls in progress so far; observers may reset it.
        calls: Calls that reached the service.
        slowdown: Factor on the duration of calls; a fault raises it.
        is_unreachable: Whether no call reaches the service; set by a fault.
        call_seconds: Integral of the calls in progress over time, in s.
        updated_at_s: Simulated time in s up to which `call_seconds` is computed.
    """

    def __init__(self, loop: SimulatedLoop, settings: Downstream, random: Generator) -> None:
        """Creates a service without calls.

        Args:
            loop: Gives the time.
            settings: Slots, durations and failures.
            random: Source of the draws of durations and failures.
        """
        self.loop, self.settings, self.random = loop, settings, random
        self.calls_in_progress = self.peak_calls_in_progress = self.calls = 0
        self.slowdown, self.is_unreachable = 1.0, False
        self.call_seconds, self.updated_at_s = 0.0, 0.0

    def change_calls_in_progress(self, change: int) -> None:
        """Adds to the calls in progress; 0 brings `call_seconds` up to the present."""
        self.call_seconds += self.calls_in_progress * (self.loop.now_s - self.updated_at_s)
        self.updated_at_s = self.loop.now_s
        self.calls_in_progress += change
        self.peak_calls_in_progress = max(self.peak_calls_in_progress, self.calls_in_progress)

    def draw_duration_s(self) -> float:
        """Returns the duration in s of a call that starts now."""
        overload = max(1.0, self.calls_in_progress / self.settings.slots)
        return (
            draw_lognormal(self.random, self.settings.call_ms / 1000, self.settings.cv)
            * overload
            * self.slowdown
        )

    async def call(self, timeout_s: float) -> CallStatus:
        """Makes a call that is given up after `timeout_s` seconds."""
        if self.is_unreachable:
            return CallStatus.UNREACHABLE
        self.calls += 1
        self.change_calls_in_progress(1)
        try:
            duration_s = self.draw_duration_s()
            await asyncio.sleep(min(duration_s, timeout_s))
            if duration_s > timeout_s:
                return CallStatus.TIMED_OUT
            return CallStatus.FAILED if self.random.random() < self.settings.fail else CallStatus.OK
        finally:
            self.change_calls_in_progress(-1)


class EmulatedPool:
    """Replaces a server's connection pool by calls to the emulated service."""

    def __init__(self, downstream: EmulatedDownstream) -> None:
        """Creates a pool to a service."""
        self.downstream = downstream

    async def call(
        self, request_id: str, body: bytes, timeout_ns: int, may_reuse_connection: bool
    ) -> tuple[CallStatus, bytes]:
        """Makes a call and returns its status and a constant reply.

        Args:
            request_id: Request of the call; not used.
            body: Body of the call; not used.
            timeout_ns: Time in ns after which the call is given up.
            may_reuse_connection: Not used: no connection is emulated.
        """
        return await self.downstream.call(max(0, timeout_ns) / NS_PER_SECOND), b"fetched"

    def close_expired(self) -> None:
        """Does nothing: there are no idle connections."""
