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
    Message,
    Paged,
    PagesAsk,
    Redirect,
    Report,
    Sender,
    Told,
    Unreadable,
    seal,
    unseal,
)
from .table import Place, bucket_of

PATIENCE, TRIES = 0.5, 3  # s for an answer; how often each is asked
PAGES_MOST = 10_000  # of one bucket
Result = TypeVar("Result")


class Asking(asyncio.DatagramProtocol):
    def __init__(self, key: bytes) -> None:
        self.key, self.heard = key, asyncio.Queue[Message](256)
        self.name, self.life, self.number = (
            f"explain-{secrets.token_hex(4)}",
            time.time_ns() // 1_000_000,
            0,
        )

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: object) -> None:
        try:
            self.heard.put_nowait(unseal(data, (self.key,)))
        except (Unreadable, asyncio.QueueFull):
            pass

    async def ask(
        self, one: Upstream, body: Body, answer: Callable[[Message], Result | None]
    ) -> Result | None:
        for _ in range(TRIES):
            self.number += 1
            self.transport.sendto(
                seal(Sender(self.name, self.life, self.number), body, self.key), one.address
            )
            try:
                async with asyncio.timeout(PATIENCE):
                    while True:
                        message = await self.heard.get()
                        if (
                            message.sender.number == self.number
                            and (found := answer(message)) is not None
                        ):
                            return found
            except TimeoutError:
                pass
        return None


def answered(message: Message) -> Told | Redirect | None:
    return message.body if isinstance(message.body, Told | Redirect) else None


async def ask(
    upstreams: Iterable[Upstream], region: str, key: bytes, kind: str, name: str
) -> tuple[list[tuple[str, bytes, str]] | None, str]:
    """Scope and value of each that is found, the one in force first, and who said so; None where
    nobody did.
    """
    asking = Asking(key)
    transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: asking, local_addr=("0.0.0.0", 0)
    )
    said = "no upstream answers"
    try:
        for one in upstreams:
            told: Told | Redirect | None = await asking.ask(
                one, Report(("", region), 0, 0, 0), answered
            )
            if isinstance(told, Redirect):
                said = f"{one.name} sends on: {told.reason}"
            elif (
                told is not None
                and (found := await look(asking, one, region, kind, name)) is not None
            ):
                age = (
                    "never surely the newest"
                    if told.age is None
                    else f"surely the newest {told.age / 1000:.1f} s ago"
                )
                return (
                    found,
                    f"{one.name}: epoch {told.head.epoch} revision {told.head.revision}, {age}",
                )
        return None, said
    finally:
        transport.close()


async def look(
    asking: Asking, one: Upstream, region: str, kind: str, name: str
) -> list[tuple[str, bytes, str]] | None:
    bucket = bucket_of(kind, name)
    after: Place | None = None
    found: dict[str, bytes] = {}
    for _ in range(PAGES_MOST):
        paged = await asking.ask(
            one,
            PagesAsk(bucket, after, 1),
            lambda message: message.body if isinstance(message.body, Paged) else None,
        )
        if paged is None:
            return None
        for entry in paged.page.entries:
            if entry[1:3] == (kind, name) and entry.value is not None:
                found[entry.scope] = entry.value
        if paged.page.done:
            return [(scope, found[scope], "") for scope in (region, "") if scope in found]
        after = paged.page.last
    return None
