"""Tests of replies of the downstream that never end."""

import asyncio
import contextlib
import logging
import os
import select
import socket
import threading
import time
from collections.abc import Awaitable
from pathlib import Path
from typing import Any

import pytest
import uvloop
from rig import Rig, expect_error, expect_result, within_timeout

from burlloom.downstream import CallStatus, ConnectionPool, connection_pool
from burlloom.downstream.connection_pool import Exchange, read_unread_reply
from burlloom.downstream.wire import MAX_BODY_BYTES, ReplyParser
from burlloom.fakes.parts import Balancer, fields
from burlloom.sockets import CloseReason, ConnectionEndedError
from burlloom.time_units import NS_PER_MS, NS_PER_SECOND

CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
# How a reply begins, and the piece that then keeps coming.
ENDLESS_REPLIES = {
    "chunk length": (CHUNKED_HEAD, b"0"),
    "chunk extension": (CHUNKED_HEAD + b"1;x=", b"y"),
    "trailer value": (CHUNKED_HEAD + b"1\r\nx\r\n0\r\nX-Note: ", b"a"),
    "trailer fields": (CHUNKED_HEAD + b"1\r\nx\r\n0\r\n", b"X-Note: y\r\n"),
    "header value": (b"HTTP/1.1 200 OK\r\nX-Note: ", b"a"),
    "interim replies": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "body": (b"HTTP/1.1 200 OK\r\n\r\n", b"b"),
    "chunks of a byte": (CHUNKED_HEAD, b"1\r\nb\r\n"),
}
PIECE_BYTES = 256 << 10
MAX_REPLY_BYTES = MAX_BODY_BYTES + (128 << 10)  # its headers and framing included
DEADLINE_S = 1.0
POUR_S = 4.0  # several deadlines long
REQUEST_INTERVAL_S = 0.1
PROTOCOL_TOLERANCE_S = 0.11  # of the rule on deadlines: 60 ms, and 50 ms on sockets


def test_a_reply_over_its_limits_is_logged_as_too_large(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against the close reason `malformed` for a valid reply that is only too large."""
    caplog.set_level(logging.INFO)

    async def call(reply: bytes) -> CallStatus:
        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(reply)
            await reader.read()
            writer.close()

        async with await asyncio.start_server(answer, "127.0.0.1", 0) as server:
            pool = ConnectionPool(server.sockets[0].getsockname())
            status, _ = await pool.call("0" * 16, b"", 5 * NS_PER_SECOND, False)
        return status

    for reply in (
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * ((1 << 20) + 1),
        b"HTTP/1.1 200 OK\r\nX: " + b"y" * 20000,
    ):
        assert uvloop.run(call(reply)) is CallStatus.CONNECTION_LOST
    assert caplog.text.count("reason=too_large") == 3, caplog.text


@pytest.mark.parametrize("piece_bytes", [1, 4096])
@pytest.mark.parametrize("form", ENDLESS_REPLIES)
def test_no_part_of_a_reply_may_grow_without_end(form: str, piece_bytes: int) -> None:
    """Guards against chunk lengths and trailers that take memory and time without bound."""
    head, piece = ENDLESS_REPLIES[form]
    reply = ReplyParser()
    if head:
        reply.feed_data(head)
    stream = piece * (2 * MAX_REPLY_BYTES // len(piece))
    with pytest.raises(ConnectionEndedError) as caught:
        for start in range(0, len(stream), piece_bytes):
            reply.feed_data(stream[start : start + piece_bytes])
    assert caught.value.reason is CloseReason.TOO_LARGE
    assert reply.received_bytes <= MAX_REPLY_BYTES + piece_bytes


def test_a_body_in_the_smallest_chunks_is_taken() -> None:
    """Guards against a bound on framing that a small body in many chunks would reach."""
    body = b"x" * 10_000
    reply = ReplyParser()
    reply.feed_data(CHUNKED_HEAD + b"1\r\nx\r\n" * len(body) + b"0\r\n\r\n")
    assert reply.is_complete
    assert reply.body() == body


class EndlessSocket:
    """A socket on which the peer always has more bytes waiting.

    Attributes:
        received_bytes: How many bytes were read.
    """

    def __init__(self, piece: bytes) -> None:
        self.piece, self.received_bytes = piece, 0

    def recv(self, size: int) -> bytes:
        assert self.received_bytes < 16 << 20, "the event loop is held as long as bytes come"
        start = self.received_bytes % len(self.piece)
        self.received_bytes += size
        return (self.piece * (size + 1))[start : start + size]


@pytest.mark.parametrize("form", ENDLESS_REPLIES)
def test_reading_after_a_timeout_ends_although_bytes_keep_coming(form: str) -> None:
    """Guards against a reply that holds the event loop after its call has timed out (review/1)."""
    head, piece = ENDLESS_REPLIES[form]
    exchange = Exchange()
    if head:
        exchange.reply.feed_data(head)
    sock: Any = EndlessSocket(piece)
    exchange.socket = sock
    assert not read_unread_reply(exchange)
    maximum_reads = connection_pool.MAX_FINAL_READS
    assert sock.received_bytes <= maximum_reads * connection_pool.READ_BUFFER_BYTES


def test_a_large_reply_that_arrived_during_a_pause_is_taken() -> None:
    """Guards against a reply in the kernel that is lost as its call times out after a pause."""
    body = b"x" * 100_000  # less than the receive buffer of a new connection takes

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0)) as listener:
            pool = ConnectionPool(listener.getsockname())
            call = loop.create_task(pool.call("0" * 16, b"which", 200 * NS_PER_MS, False))
            listener.setblocking(False)
            sock, _ = await loop.sock_accept(listener)
            while b"which" not in await loop.sock_recv(sock, 4096):
                pass
            sock.setblocking(True)
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            time.sleep(0.25)  # the loop sees the reply and the timeout at once
            assert await within_timeout(call) == (CallStatus.OK, body)
            sock.close()

    uvloop.run(scenario())


def pour(sock: socket.socket, piece: bytes, stop: threading.Event) -> None:
    """Sends a piece again and again, as fast as it is taken, for `POUR_S` or until `stop`.

    It runs in a thread, so that nothing else in the test interrupts the flow.
    """
    end_s = time.monotonic() + POUR_S
    stream = piece * (PIECE_BYTES // len(piece))
    with sock, contextlib.suppress(OSError):
        while time.monotonic() < end_s and not stop.is_set():
            if select.select([], [sock], [], 0.1)[1]:
                with contextlib.suppress(BlockingIOError):
                    sock.send(stream)


class EndlessDownstream:
    """Gives the fake downstream of a rig an endless reply to its next call.

    Attributes:
        has_begun: Set once the reply has begun.
    """

    def __init__(self, rig: Rig, form: str) -> None:
        self.rig, (self.head, self.piece) = rig, ENDLESS_REPLIES[form]
        self.has_begun, self.stop = asyncio.Event(), threading.Event()
        rig.downstream.reply = self.reply

    async def reply(self, id: str) -> str:
        """Begins the reply; the connection ends when the server closes it."""
        [writer] = self.rig.downstream.writers
        if self.head:
            writer.write(self.head)
        await writer.drain()
        sock = socket.socket(fileno=os.dup(writer.get_extra_info("socket").fileno()))
        self.has_begun.set()
        await asyncio.to_thread(pour, sock, self.piece, self.stop)
        return "close"


@pytest.mark.parametrize("form", ENDLESS_REPLIES)
def test_requests_are_answered_while_a_reply_never_ends(form: str, tmp_path: Path) -> None:
    """Guards against the stop of the whole server by one reply that keeps coming (review/1)."""

    async def assert_answered_in_time(answer: Awaitable[Any]) -> None:
        sent_s = time.monotonic()
        await answer
        assert time.monotonic() < sent_s + DEADLINE_S + PROTOCOL_TOLERANCE_S

    async def serve(rig: Rig, balancer: Balancer, key: str) -> None:
        answer = balancer.ask("pay", fields(once=key, cost="1"))
        rig.executor.exit(await rig.command("EXEC", "pay"), result=b"paid")
        await expect_result(answer, b"paid")

    async def scenario() -> None:
        async with Rig(tmp_path, n_cores=4, deadline=int(DEADLINE_S * 1e6), aim=900_000) as rig:
            downstream = EndlessDownstream(rig, form)
            balancer = await rig.balancer()
            answer = balancer.ask("pay", fields(once="k", cost="1"))
            spoilt = asyncio.create_task(assert_answered_in_time(expect_error(answer, "Voided")))
            id = await rig.command("EXEC", "pay")
            rig.executor.callout(id)
            await within_timeout(downstream.has_begun.wait())
            for number in range(int(2 * DEADLINE_S / REQUEST_INTERVAL_S)):
                await assert_answered_in_time(serve(rig, balancer, f"k{number}"))
                await asyncio.sleep(REQUEST_INTERVAL_S)
            downstream.stop.set()
            await spoilt
            rig.executor.exit(id, "KILLED")

    asyncio.run(scenario())
