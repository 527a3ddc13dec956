"""Units of time: durations are whole nanoseconds, and seconds only where asyncio asks for them."""

import asyncio

NS_PER_MS = 1_000_000
NS_PER_SECOND = 1_000_000_000


async def sleep_ns(duration_ns: int) -> None:
    """Sleeps for a duration; one that is not positive yields to the event loop once."""
    await asyncio.sleep(max(0, duration_ns) / NS_PER_SECOND)
