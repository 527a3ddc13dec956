"""One question to whoever is followed: what is in force under a key. For an operator's look; keeps
nothing.
"""

import asyncio
import secrets
import time
from collections.abc import Callable, Iterable
from typing import Any, TypeVar

from .follower import Upstream
from .messages import (
    Body,
    HeadStatus,
    Message,
    MessageDecodeError,
    PageResponse,
    PagesRequest,
    Redirect,
    Report,
    Sender,
    seal,
    unseal,
)
from .table import ItemPosition, bucket_of

ANSWER_TIMEOUT_S, MAX_ATTEMPTS = 0.5, 3  # s for an answer; how often each is asked
PAGES_MOST = 10_000  # of one bucket
Result = TypeVar("Result")


class QueryClient(asyncio.DatagramProtocol):
    def __init__(self, key: bytes) -> None:
        self.key, self.received = key, asyncio.Queue[Message](256)
        self.name, self.incarnation, self.number = (
            f"explain-{secrets.token_hex(4)}",
            time.time_ns() // 1_000_000,
            0,
        )

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: object) -> None:
        try:
            self.received.put_nowait(unseal(data, (self.key,)))
        except (MessageDecodeError, asyncio.QueueFull):
            pass

    async def query(
        self, one: Upstream, body: Body, answer: Callable[[Message], Result | None]
    ) -> Result | None:
        for _ in range(MAX_ATTEMPTS):
            self.number += 1
            self.transport.sendto(
                seal(Sender(self.name, self.incarnation, self.number), body, self.key), one.address
            )
            try:
                async with asyncio.timeout(ANSWER_TIMEOUT_S):
                    while True:
                        message = await self.received.get()
                        if (
                            message.sender.number == self.number
                            and (found := answer(message)) is not None
                        ):
                            return found
            except TimeoutError:
                pass
        return None


def answered(message: Message) -> HeadStatus | Redirect | None:
    return message.body if isinstance(message.body, HeadStatus | Redirect) else None


async def query(
    upstreams: Iterable[Upstream], region: str, key: bytes, kind: str, name: str
) -> tuple[list[tuple[str, bytes, str]] | None, str]:
    """Scope and value of each that is found, the one in force first, and who said so; None where
    nobody did.
    """
    asking = QueryClient(key)
    transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: asking, local_addr=("0.0.0.0", 0)
    )
    said = "no upstream answers"
    try:
        for one in upstreams:
            told: HeadStatus | Redirect | None = await asking.query(
                one, Report(("", region), 0, 0, 0), answered
            )
            if isinstance(told, Redirect):
                said = f"{one.name} sends on: {told.reason}"
            elif (
                told is not None
                and (found := await query_item(asking, one, region, kind, name)) is not None
            ):
                age = (
                    "never surely the newest"
                    if told.age_ms is None
                    else f"surely the newest {told.age_ms / 1000:.1f} s ago"
                )
                return (
                    found,
                    f"{one.name}: epoch {told.head.epoch} revision {told.head.revision}, {age}",
                )
        return None, said
    finally:
        transport.close()


async def query_item(
    asking: QueryClient, one: Upstream, region: str, kind: str, name: str
) -> list[tuple[str, bytes, str]] | None:
    bucket = bucket_of(kind, name)
    after: ItemPosition | None = None
    found: dict[str, bytes] = {}
    for _ in range(PAGES_MOST):
        paged = await asking.query(
            one,
            PagesRequest(bucket, after, 1),
            lambda message: message.body if isinstance(message.body, PageResponse) else None,
        )
        if paged is None:
            return None
        for entry in paged.page.items:
            if entry[1:3] == (kind, name) and entry.value is not None:
                found[entry.scope] = entry.value
        if paged.page.is_last:
            return [(scope, found[scope], "") for scope in (region, "") if scope in found]
        after = paged.page.last_position
    return None
