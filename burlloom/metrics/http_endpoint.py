"""Serves metrics over HTTP in a thread of its own, with bounds on what its clients may take."""

import asyncio
import contextlib
import socket
import threading
import time
from collections.abc import Iterator

from prometheus_client import CollectorRegistry
from prometheus_client.exposition import choose_encoder

MAX_HEAD_BYTES = 8 << 10  # of a request
MAX_CONNECTIONS = 16  # a further one closes the oldest
EXCHANGE_TIMEOUT_S = 5.0  # from the accept to the last byte of the response
CLOSE_TIMEOUT_S = 0.5  # for the tasks of aborted connections
MIN_ENCODE_INTERVAL_S = 0.1  # requests in between get the same text

HEAD_END = b"\r\n\r\n"
RESPONSE_HEAD = (
    "HTTP/1.1 {status}\r\nContent-Type: {content_type}\r\nContent-Length: {size}\r\n"
    "Connection: close\r\n\r\n"
)


class MetricsEndpoint:
    """Answers each GET with the metrics, one request a connection.

    A client can take no more than `MAX_CONNECTIONS` descriptors and their buffers, whatever it
    sends: a head beyond `MAX_HEAD_BYTES` closes its connection, and so does the timeout.

    Attributes:
        registry: The metrics.
        port: The port of the listener.
        connections: The writers of the open connections, the oldest first.
        content_type: The format of `text`.
        text: The metrics as they were encoded last.
        encoded_at_s: When that was, in monotonic seconds.
    """

    def __init__(self, registry: CollectorRegistry, address: tuple[str, int]) -> None:
        """Starts to serve.

        Raises:
            OSError: The address can't be listened at.
        """
        self.registry = registry
        self.socket = socket.create_server(address)
        self.port: int = self.socket.getsockname()[1]
        self.connections: dict[asyncio.StreamWriter, None] = {}
        self.content_type, self.text, self.encoded_at_s = "", b"", 0.0
        self.loop = asyncio.new_event_loop()
        self.stopped = asyncio.Event()
        self.thread = threading.Thread(target=self.run, name="metrics_http", daemon=True)
        self.thread.start()

    def run(self) -> None:
        """Serves until closed; the body of the thread."""
        with contextlib.closing(self.loop):
            self.loop.run_until_complete(self.serve())

    async def serve(self) -> None:
        """Accepts connections until closed."""
        server = await asyncio.start_server(self.handle, sock=self.socket, limit=MAX_HEAD_BYTES)
        await self.stopped.wait()
        server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        if tasks:
            await asyncio.wait(tasks, timeout=CLOSE_TIMEOUT_S)

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection."""
        if len(self.connections) >= MAX_CONNECTIONS:
            oldest = next(iter(self.connections))
            del self.connections[oldest]
            oldest.transport.abort()
        with self.registered(writer):
            try:
                async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
                    writer.write(self.respond(await reader.readuntil(HEAD_END)))
                    await writer.drain()
                    writer.write_eof()
                    await reader.read(1)  # until the client has read the response and closes
            except (
                OSError,
                TimeoutError,
                asyncio.IncompleteReadError,
                asyncio.LimitOverrunError,
            ):
                pass

    @contextlib.contextmanager
    def registered(self, writer: asyncio.StreamWriter) -> Iterator[None]:
        """Counts a connection while the body of the `with` statement runs, then closes it."""
        self.connections[writer] = None
        try:
            yield
        finally:
            self.connections.pop(writer, None)
            writer.transport.abort()

    def respond(self, head: bytes) -> bytes:
        """Returns the response to a request with this head."""
        request_line, *headers = head.decode("latin-1").split("\r\n")
        if not request_line.startswith("GET "):
            return encode_response("405 Method Not Allowed", "text/plain", b"")
        accepted = ""
        for header in headers:
            name, _, value = header.partition(":")
            if name.strip().lower() == "accept":
                accepted = value.strip()
        encoder, content_type = choose_encoder(accepted)
        now_s = time.monotonic()
        if content_type != self.content_type or now_s - self.encoded_at_s > MIN_ENCODE_INTERVAL_S:
            self.text, self.content_type = encoder(self.registry), content_type
            self.encoded_at_s = now_s
        return encode_response("200 OK", self.content_type, self.text)

    def close(self) -> None:
        """Closes the listener and all connections, and ends the thread."""
        with contextlib.suppress(RuntimeError):  # the loop has ended by an error
            self.loop.call_soon_threadsafe(self.stopped.set)
        self.thread.join(1.0)


def encode_response(status: str, content_type: str, body: bytes) -> bytes:
    """Returns the bytes of a response."""
    head = RESPONSE_HEAD.format(status=status, content_type=content_type, size=len(body))
    return head.encode("latin-1") + body
