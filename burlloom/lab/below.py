"""The catalogue that all nodes share, and the stand-in for each node's pool of connections to
it.
"""

import asyncio

from numpy.random import Generator

from ..downstream import CallStatus
from .clock import SECOND, SimulatedLoop
from .load import lognormal
from .world import Below


class Catalogue:
    """Calls take longer in proportion once more are in hand than it has slots; `slow` and `gone`
    are faults.
    """

    def __init__(self, loop: SimulatedLoop, told: Below, chance: Generator) -> None:
        self.loop, self.told, self.chance = loop, told, chance
        self.in_hand = self.most = self.calls = 0
        self.slow, self.gone = 1.0, False
        self.area, self.last = 0.0, 0.0  # calls in hand over time

    def count(self, change: int) -> None:
        self.area += self.in_hand * (self.loop.now - self.last)
        self.last = self.loop.now
        self.in_hand += change
        self.most = max(self.most, self.in_hand)

    def span(self) -> float:
        crowd = max(1.0, self.in_hand / self.told.slots)
        return lognormal(self.chance, self.told.call_ms / 1000, self.told.cv) * crowd * self.slow

    async def call(self, patience: float) -> CallStatus:
        """`patience` in s."""
        if self.gone:
            return CallStatus.UNREACHABLE
        self.calls += 1
        self.count(1)
        try:
            span = self.span()
            await asyncio.sleep(min(span, patience))
            if span > patience:
                return CallStatus.TIMED_OUT
            return CallStatus.FAILED if self.chance.random() < self.told.fail else CallStatus.OK
        finally:
            self.count(-1)


class Pool:
    """Stands where the server has its pool."""

    def __init__(self, below: Catalogue) -> None:
        self.below = below

    async def call(
        self, id: str, body: bytes, patience: int, kept: bool
    ) -> tuple[CallStatus, bytes]:
        return await self.below.call(max(0, patience) / SECOND), b"fetched"

    def close_expired(self) -> None: ...
