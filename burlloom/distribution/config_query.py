"""Queries a source for the items under one key, for an operator; keeps no table."""

import asyncio
import secrets
import time
from collections.abc import Callable, Iterable
from contextlib import suppress
from typing import Any, TypeVar

from .codec import MessageDecodeError, seal, unseal
from .messages import (
    Body,
    HeadStatus,
    Message,
    PageResponse,
    PagesRequest,
    Redirect,
    Report,
    Sender,
)
from .table import ItemPosition, bucket_of
from .upstreams import Upstream

ANSWER_TIMEOUT_S, MAX_ATTEMPTS = 0.5, 3  # s for an answer; how often each is asked
MAX_PAGES = 10_000  # of one bucket
Result = TypeVar("Result")


class QueryClient(asyncio.DatagramProtocol):
    """Sends one request at a time and waits for its answer; holds no table."""

    def __init__(self, key: bytes) -> None:
        self.key, self.received = key, asyncio.Queue[Message](256)
        self.name, self.incarnation, self.number = (
            f"explain-{secrets.token_hex(4)}",
            time.time_ns() // 1_000_000,
            0,
        )

    def connection_made(self, transport: Any) -> None:
        """Keep the transport that asyncio gives."""
        self.transport = transport

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Queue a message that can be decoded; drop anything else."""
        with suppress(MessageDecodeError, asyncio.QueueFull):
            self.received.put_nowait(unseal(data, (self.key,)))

    async def query(
        self, one: Upstream, body: Body, answer: Callable[[Message], Result | None]
    ) -> Result | None:
        """Send a request until `answer` accepts a reply.

        Returns:
            What `answer` made of the reply; None after `MAX_ATTEMPTS` timeouts of
            `ANSWER_TIMEOUT_S`.
        """
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
    """Return the reply to a report, if it is one."""
    return message.body if isinstance(message.body, HeadStatus | Redirect) else None


async def query(
    upstreams: Iterable[Upstream], region: str, key: bytes, kind: str, name: str
) -> tuple[list[tuple[str, bytes, str]] | None, str]:
    """Ask the upstreams in turn for what is in force under a key.

    Returns:
        Scope, value and "" of each item, the one in force first, or None if nobody answered; and a
        sentence that says who answered, or why nobody did.
    """
    client = QueryClient(key)
    transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: client, local_addr=("0.0.0.0", 0)
    )
    said = "no upstream answers"
    try:
        for one in upstreams:
            status: HeadStatus | Redirect | None = await client.query(
                one, Report(("", region), 0, 0, 0), answered
            )
            if isinstance(status, Redirect):
                said = f"{one.name} sends on: {status.reason}"
            elif (
                status is not None
                and (found := await query_item(client, one, region, kind, name)) is not None
            ):
                age = (
                    "never surely the newest"
                    if status.age_ms is None
                    else f"surely the newest {status.age_ms / 1000:.1f} s ago"
                )
                return (
                    found,
                    f"{one.name}: epoch {status.head.epoch} revision {status.head.revision}, {age}",
                )
        return None, said
    finally:
        transport.close()


async def query_item(
    client: QueryClient, one: Upstream, region: str, kind: str, name: str
) -> list[tuple[str, bytes, str]] | None:
    """Return scope and value of each item under a key, the one in force first.

    None if nobody answered.
    """
    bucket = bucket_of(kind, name)
    after: ItemPosition | None = None
    found: dict[str, bytes] = {}
    for _ in range(MAX_PAGES):
        paged = await client.query(
            one,
            PagesRequest(bucket, after, 1),
            lambda message: message.body if isinstance(message.body, PageResponse) else None,
        )
        if paged is None:
            return None
        for item in paged.page.items:
            if item[1:3] == (kind, name) and item.value is not None:
                found[item.scope] = item.value
        if paged.page.is_last:
            return [(scope, found[scope], "") for scope in (region, "") if scope in found]
        after = paged.page.last_position
    return None
