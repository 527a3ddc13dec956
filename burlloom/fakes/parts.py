"""Small stand-ins for what a burlloom server talks to, written from the published protocol.

The toy in this folder and the integration tests run the same ones. Each listens on the loopback and
does only what it is told: nothing here decides or measures anything.
"""

import asyncio
import secrets
import socket
import struct
import time
from collections.abc import Awaitable, Callable
from typing import Any

import msgpack

ANY = "127.0.0.1:0"  # a port that the system gives


class Executor:
    """Owns the link: keeps numbered notices, replays them to a new link, and answers METER by
    itself.
    """

    def __init__(self) -> None:
        self.commands: asyncio.Queue[tuple[str, ...]] = (
            asyncio.Queue()
        )  # EXEC and RETURN, as they are read
        self.bodies: dict[str, bytes] = {}  # the last body that came for a txn
        self.joins: list[int] = []
        self.notices: list[bytes] = []
        self.up = asyncio.Event()
        self.up.set()
        self.state, self.deaf = "LOADED", False
        self.born = time.monotonic() - 90.0
        self.link: asyncio.StreamWriter | None = None
        self.meters, self.asked, self.tag, self.lost = "0.2 1 0.1 3", 0, "", 0

    async def start(self, address: str = ANY) -> "Executor":
        host, port = address.split(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))
        self.address = "%s:%d" % self.server.sockets[0].getsockname()
        return self

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                name, *words = line.decode().split()
                if name == "JOIN":
                    await self.up.wait()
                    self.joins.append(int(words[0]))
                    self.link = writer
                    writer.write(
                        f"WELCOME {self.state} {(time.monotonic() - self.born) * 1000:.0f}\r\n".encode()
                    )
                    writer.writelines(self.notices[int(words[0]) :])
                elif name == "METER":
                    self.asked, self.tag = self.asked + 1, words[0]
                    if not self.deaf:
                        writer.write(f"METERS {words[0]} {self.meters}\r\n".encode())
                else:
                    body = (await reader.readexactly(int(words[-1]) + 2))[:-2]
                    if self.deaf:  # lost on the way
                        self.lost += 1
                    else:
                        self.bodies[words[0]] = body
                        self.commands.put_nowait((name, *words[:-1]))
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def restart(self) -> None:
        """Its runs and notices are gone; it starts cold."""
        self.drop()
        self.notices.clear()
        self.state, self.born = "EMPTY", time.monotonic()

    def drop(self) -> None:
        if self.link is not None:
            self.link.transport.abort()
        self.link = None

    def notify(self, text: str, body: bytes | None = None) -> None:
        name, _, rest = text.partition(" ")
        line = f"{name} {len(self.notices) + 1} {rest}"
        sized = b"" if body is None else f" {len(body)}\r\n".encode() + body
        self.notices.append(line.encode() + sized + b"\r\n")
        if self.link is not None:
            self.link.write(self.notices[-1])

    def say(self, line: bytes) -> None:
        if self.link is not None:
            self.link.write(line)

    def exit(self, id: str, end: str = "PASS", result: bytes = b"") -> None:
        self.notify(f"EXIT {id} {end} 12", result)

    def callout(self, id: str, body: bytes = b"which") -> None:
        self.notify(f"CALLOUT {id}", body)


# Status, whether the call is declined, and body; or what else befalls it; or all that is said, to
# the byte.
Reply = tuple[int, bool, bytes] | str | bytes


class Catalogue:
    """Answers each call as `reply` says: a reply, or `close`, `reset`, `half`, `garbage` or
    `silence`.
    """

    def __init__(self, reply: Callable[[str], Awaitable[Reply]]) -> None:
        self.reply = reply
        self.calls: list[tuple[str, bytes]] = []
        self.links = self.open = self.most = 0
        self.given_up: asyncio.Queue[str] = asyncio.Queue()
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, address: str = ANY) -> "Catalogue":
        host, port = address.split(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))
        self.address = "%s:%d" % self.server.sockets[0].getsockname()
        return self

    async def stop(self) -> None:
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.links += 1
        self.writers.add(writer)
        try:
            while (line := await reader.readline()) and await self.one(line, reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def one(
        self, line: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        assert line == b"POST /fetch HTTP/1.1\r\n", line
        told: dict[str, str] = {}
        while header := (await reader.readline()).decode().strip():
            name, _, value = header.partition(": ")
            told[name.lower()] = value
        assert int(told["x-patience"]) > 0
        id = told["x-on-behalf"]
        self.calls.append((id, await reader.readexactly(int(told["content-length"]))))
        self.open += 1
        self.most = max(self.most, self.open)
        try:
            reply = await self.reply(id)
            if reply == "silence":
                await reader.read(1)
                self.given_up.put_nowait(id)
            if reply == "half":
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
                await writer.drain()
            if reply == "garbage":
                writer.write(b"Ceci n'est pas une r\xe9ponse\r\n\r\n")
            if reply == "reset":
                set_linger(writer)
                writer.transport.abort()
        finally:
            self.open -= 1
        if isinstance(reply, bytes):
            writer.write(reply)
            return True
        if isinstance(reply, str):
            return False
        status, declined, body = reply
        extra = "X-Declined: 1\r\n" if declined else ""
        writer.write(
            f"HTTP/1.1 {status} Told\r\n{extra}Content-Length: {len(body)}\r\n\r\n".encode() + body
        )
        return True


class NameService(asyncio.DatagramProtocol):
    def __init__(self) -> None:
        self.reports: asyncio.Queue[str] = asyncio.Queue()

    async def start(self, address: str = ANY) -> "NameService":
        host, port = address.split(":")
        self.transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=(host, int(port))
        )
        self.address = "%s:%d" % self.transport.get_extra_info("sockname")
        return self

    def datagram_received(self, data: bytes, _: Any) -> None:
        self.reports.put_nowait(data.decode())


def fields(**told: str) -> dict[str, str]:
    """Those of a txn that comes just now."""
    return {
        "id": secrets.token_hex(8),
        "at": str(time.time_ns() // 1_000_000),
        "from": "1",
        "cost": "12.50",
        "kb": "24.5",
        "rank": "0.6250",
        "tenant": "acme",
        **told,
    }


class Balancer:
    """One connection of a balancer; `ask` gives the whole answer: error, then result."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.given = 0
        self.waiting: dict[int, asyncio.Future[tuple[Any, Any]]] = {}
        self.shutdown, self.ended = asyncio.Event(), asyncio.Event()
        self.answers = 0

    async def open(self, buffer: int = 0) -> "Balancer":
        """`buffer`: bytes that the kernel takes in for us unread, where they should be few."""
        host, port = self.address.split(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        if buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
        self.reader, self.writer = await asyncio.open_connection(sock=sock)
        self.task = asyncio.create_task(self.listen())
        return self

    async def listen(self) -> None:
        unpacker = msgpack.Unpacker()
        try:
            while data := await self.reader.read(65536):
                unpacker.feed(data)
                for kind, *message in unpacker:
                    if kind == 2:
                        assert message == ["shutdown", []], message
                        self.shutdown.set()
                    else:
                        number, error, result = message
                        self.answers += 1
                        self.waiting.pop(number).set_result((error, result))
        except ConnectionError:
            pass
        finally:
            self.ended.set()
            for waiting in self.waiting.values():
                waiting.cancel()

    def frame(self, method: str, *params: Any) -> bytes:
        self.given += 1
        self.waiting[self.given] = asyncio.get_running_loop().create_future()
        if self.ended.is_set():
            self.waiting[self.given].cancel()
        return bytes(msgpack.packb([0, self.given, method, params]))

    def ask(
        self, product: str, fields: dict[str, str], body: bytes = b""
    ) -> "asyncio.Future[tuple[Any, Any]]":
        frame = self.frame(product, fields, body)
        if not self.ended.is_set():
            self.writer.write(frame)
        return self.waiting[self.given]

    def health(self) -> "asyncio.Future[tuple[Any, Any]]":
        self.writer.write(self.frame("health", {}))
        return self.waiting[self.given]

    def reset(self) -> None:
        set_linger(self.writer)
        self.writer.transport.abort()

    def close(self) -> None:
        self.writer.close()


def set_linger(writer: asyncio.StreamWriter) -> None:
    """Makes the next close a reset."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
