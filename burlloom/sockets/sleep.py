"""Sleeps for durations in nanoseconds; asyncio takes seconds."""

import asyncio

from ..time_units import NS_PER_SECOND


async def sleep_ns(duration_ns: int) -> None:
    """Sleeps for `duration_ns`; a duration of 0 or less yields to the event loop once."""
    await asyncio.sleep(max(0, duration_ns) / NS_PER_SECOND)
