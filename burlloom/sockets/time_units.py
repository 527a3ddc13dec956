"""Spans of time: whole nanoseconds here, seconds only where the loop asks for them."""

import asyncio

NS_PER_MS, NS_PER_SECOND = 1_000_000, 1_000_000_000


async def sleep_ns(span: int) -> None:
    await asyncio.sleep(max(0, span) / NS_PER_SECOND)
