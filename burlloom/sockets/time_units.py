"""Units of time. Durations are whole nanoseconds; only asyncio is given seconds."""

import asyncio

NS_PER_MS = 1_000_000
NS_PER_SECOND = 1_000_000_000


async def sleep_ns(duration_ns: int) -> None:
    """Sleeps for `duration_ns`; a duration of 0 or less yields to the event loop once."""
    await asyncio.sleep(max(0, duration_ns) / NS_PER_SECOND)
