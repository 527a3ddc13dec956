"""Spans of time: whole nanoseconds here, seconds only where the loop asks for them."""

import asyncio

MS, SECOND = 1_000_000, 1_000_000_000


async def rest(span: int) -> None:
    await asyncio.sleep(max(0, span) / SECOND)
