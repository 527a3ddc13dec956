"""Case 1: a spoilt reply of the catalogue that keeps coming stops the whole server."""

import asyncio
import os
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins import (  # noqa: E402
    BROKEN,
    HELD,
    NOT_RUN,
    Balancer,
    Catalogue,
    Executor,
    NameService,
    Record,
    Server,
    configuration,
    has_trouble,
    in_turn,
    play,
    pour,
)

DURATION_S = 30.0
BALANCERS = 3
PERIOD_S = 0.2  # of one balancer's requests, reads and charges in turns
EXPIRY_MS = 6000
SLACK_MS = 110  # 60 ms of the rule and 50 ms on sockets
LOST_SHARE = 0.003
SPOILT_EVERY = 20  # one reply in so many is spoilt
SPOILT_S = 15.0  # until the catalogue ends a spoilt reply by a close
SPOILT_BYTES = 3_000_000_000  # that a spoilt reply holds at most
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
# How spoilt replies begin, and what then keeps coming, in turns: the length of the first chunk
# never ends; the head fields behind the body never end.
SPOILT_FORMS = (
    (CHUNKED, b"0" * 262144),
    (CHUNKED + b"1\r\nx\r\n0\r\nX-Note: ", b"a" * 262144),
)


class SpoilingCatalogue(Catalogue):
    """A catalogue with replies that never get past the length of their body and keep coming."""

    async def answer(self, request_id: str, port: int, writer: asyncio.StreamWriter) -> None:
        """Answers one call."""
        if not has_trouble() or (self.call_count + 1) % SPOILT_EVERY:
            await super().answer(request_id, port, writer)
            return
        self.call_count += 1
        self.record.add("call", id=request_id, connection=port)
        head, piece = SPOILT_FORMS[self.call_count // SPOILT_EVERY % 2 - 1]
        self.record.add("spoilt_reply_begins", id=request_id, begins=repr(head[-20:]))
        writer.write(head)
        await writer.drain()
        connection = writer.get_extra_info("socket")
        sock = socket.socket(fileno=os.dup(connection.fileno()))
        end_s = time.monotonic() + SPOILT_S
        sent = await asyncio.to_thread(pour, sock, piece, end_s, SPOILT_BYTES)
        self.record.add("spoilt_reply_ends", id=request_id, bytes=sent)
        raise ConnectionAbortedError


async def play_case(record: Record, folder: Path) -> int:
    """Plays reads, which call, and charges, which do not, and judges their answers."""
    executor, catalogue = Executor(record, 20, frozenset({"look"})), SpoilingCatalogue(record, 30)
    addresses = (await executor.start(), await NameService().start(), await catalogue.start())
    server = Server(folder, configuration(*addresses, deadline=EXPIRY_MS * 1000))
    server.start()
    try:
        await server.wait_until_ready()
        balancers = [
            Balancer(record, executor, server.address, number, "acme")
            for number in range(1, BALANCERS + 1)
        ]

        async def ask(balancer: Balancer) -> None:
            """Sends a read and a charge in turns."""
            if len(balancer.asked) % 2:
                await balancer.ask("pay", os.urandom(16).hex())
            else:
                await balancer.ask("look")

        end_s = time.monotonic() + DURATION_S
        async with asyncio.TaskGroup() as group:
            for balancer in balancers:
                group.create_task(in_turn(PERIOD_S, end_s, lambda b=balancer: ask(b)))
                await asyncio.sleep(PERIOD_S / BALANCERS)
        await asyncio.sleep(EXPIRY_MS / 1000 + 0.5)  # until all are due
        is_alive = server.is_running
    finally:
        server.stop()
    return judge(record, balancers, is_alive)


def judge(record: Record, balancers: list[Balancer], is_alive: bool) -> int:
    """Returns the exit status: each request is answered by its due time."""
    asked = [ask for balancer in balancers for ask in balancer.asked]
    lost = [
        ask for ask in asked if not ask.answer or ask.answered_ms > ask.at_ms + EXPIRY_MS + SLACK_MS
    ]
    for ask in lost:
        late_ms = ask.answered_ms - ask.at_ms - EXPIRY_MS if ask.answer else "never"
        record.add("LOST", id=ask.id, request_class=ask.request_class, late_ms=late_ms)
    times_ms = sorted(ask.answered_ms for ask in asked if ask.answer)
    silence_ms = max((b - a for a, b in zip(times_ms, times_ms[1:], strict=False)), default=0)
    print(
        f"asked {len(asked)}, without an answer by their due time {len(lost)}, of these charges"
        f" {sum(ask.request_class == 'pay' for ask in lost)}, longest time without any answer"
        f" {silence_ms} ms, server {'runs' if is_alive else 'has ended'}"
    )
    if not any(ask.answer == "served" for ask in asked):
        return NOT_RUN
    return BROKEN if len(lost) >= LOST_SHARE * len(asked) and lost or not is_alive else HELD


if __name__ == "__main__":
    sys.exit(play(Path(__file__).resolve().parent, play_case))
