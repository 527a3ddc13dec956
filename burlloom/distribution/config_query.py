"""Queries a source for the items with one key, for an operator; keeps no table."""

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

ANSWER_TIMEOUT_S = 0.5
MAX_ATTEMPTS = 3  # sends of one request; after that the upstream counts as silent
MAX_PAGES = 10_000  # pages read of one bucket; beyond that the query is given up
Result = TypeVar("Result")


class QueryClient(asyncio.DatagramProtocol):
    """Sends one request at a time and waits for its answer; `key` seals the messages."""

    def __init__(self, key: bytes) -> None:
        self.key, self.received = key, asyncio.Queue[Message](256)
        self.name, self.incarnation, self.number = (
            f"explain-{secrets.token_hex(4)}",
            time.time_ns() // 1_000_000,
            0,
        )

    def connection_made(self, transport: Any) -> None:
        """Stores the transport, which `query` sends through."""
        self.transport = transport

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Queues a valid message; drops other datagrams, and messages beyond the queue's size."""
        with suppress(MessageDecodeError, asyncio.QueueFull):
            self.received.put_nowait(unseal(data, (self.key,)))

    async def query(
        self, upstream: Upstream, body: Body, accept: Callable[[Message], Result | None]
    ) -> Result | None:
        """Sends a request until a reply to it is accepted.

        Args:
            upstream: The upstream to ask.
            body: The request.
            accept: Returns the result of a reply, or None for a reply that is not the wanted one.

        Returns:
            The result of `accept`; None after `MAX_ATTEMPTS` timeouts of `ANSWER_TIMEOUT_S`.
        """
        for _ in range(MAX_ATTEMPTS):
            self.number += 1
            self.transport.sendto(
                seal(Sender(self.name, self.incarnation, self.number), body, self.key),
                upstream.address,
            )
            try:
                async with asyncio.timeout(ANSWER_TIMEOUT_S):
                    while True:
                        message = await self.received.get()
                        if (
                            message.sender.number == self.number
                            and (accepted := accept(message)) is not None
                        ):
                            return accepted
            except TimeoutError:
                pass
        return None


def reply_to_report(message: Message) -> HeadStatus | Redirect | None:
    """Returns the body of a reply to a report; None for any other message."""
    return message.body if isinstance(message.body, HeadStatus | Redirect) else None


async def query(
    upstreams: Iterable[Upstream], region: str, key: bytes, kind: str, name: str
) -> tuple[list[tuple[str, bytes, str]] | None, str]:
    """Asks the upstreams in turn for the items with a key in a region.

    Returns:
        A list with scope, value and "" of each item, the item in force first, or None if no
        upstream answered; and a sentence for the operator that names the upstream and its revision,
        or says why there is no answer. The "" is a note on the item; an upstream knows none.
    """
    client = QueryClient(key)
    transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: client, local_addr=("0.0.0.0", 0)
    )
    explanation = "no upstream answers"
    try:
        for upstream in upstreams:
            status: HeadStatus | Redirect | None = await client.query(
                upstream, Report(("", region), 0, 0, 0), reply_to_report
            )
            if isinstance(status, Redirect):
                explanation = f"{upstream.name} redirects to another upstream: {status.reason}"
            elif (
                status is not None
                and (items := await query_item(client, upstream, region, kind, name)) is not None
            ):
                age = (
                    "never surely the newest"
                    if status.age_ms is None
                    else f"surely the newest {status.age_ms / 1000:.1f} s ago"
                )
                return (
                    items,
                    f"{upstream.name}: epoch {status.head.epoch} revision {status.head.revision},"
                    f" {age}",
                )
        return None, explanation
    finally:
        transport.close()


async def query_item(
    client: QueryClient, upstream: Upstream, region: str, kind: str, name: str
) -> list[tuple[str, bytes, str]] | None:
    """Returns scope, value and "" of each item with a key, the item in force first.

    The result is None if the upstream stops answering or the bucket has over `MAX_PAGES` pages.
    """
    bucket = bucket_of(kind, name)
    after: ItemPosition | None = None
    items: dict[str, bytes] = {}
    for _ in range(MAX_PAGES):
        response = await client.query(
            upstream,
            PagesRequest(bucket, after, 1),
            lambda message: message.body if isinstance(message.body, PageResponse) else None,
        )
        if response is None:
            return None
        for item in response.page.items:
            if item[1:3] == (kind, name) and item.value is not None:
                items[item.scope] = item.value
        if response.page.is_last:
            return [(scope, items[scope], "") for scope in (region, "") if scope in items]
        after = response.page.last_position
    return None
