"""Stand-ins for the executor, the downstream dependency, the name service and a balancer.

The example, the demonstration, the benchmarks and the integration tests use the same ones. Each
listens on loopback and does only what the program that uses it asks for: none decides or measures
anything on its own.
"""

import asyncio
import secrets
import socket
import struct
import time
from collections.abc import Awaitable, Callable
from typing import Any

import msgpack

LOOPBACK_ADDRESS = "127.0.0.1:0"  # with a port that the system assigns


class Executor:
    """An executor whose runs are ended by the program that uses it.

    It numbers its notices, keeps them, and replays them on a new connection. It answers gauge
    queries (METER) by itself.

    Attributes:
        commands: The EXEC and RETURN commands received, as their fields without the body's length.
        bodies: The last body received for each request id.
        joins: The last notice number of each JOIN.
        notices: All notices, as they were sent; the number of a notice is its position from 1.
        may_join: Set while JOIN is answered.
        state: The state in WELCOME: `LOADED`, or `EMPTY` for cold.
        is_unresponsive: Whether commands are lost and gauge queries are not answered.
        started_at_s: When the executor started, in monotonic seconds.
        writer: Writer of the last connection that joined; None before the first and after
            `drop_connection`.
        gauges: The gauges, as METERS sends them.
        gauge_query_count: How many gauge queries were received.
        last_gauge_tag: The tag of the last gauge query.
        lost_command_count: How many commands were lost while the executor was unresponsive.
        address: Address of the executor, once it is started.
    """

    def __init__(self) -> None:
        self.commands: asyncio.Queue[tuple[str, ...]] = asyncio.Queue()
        self.bodies: dict[str, bytes] = {}
        self.joins: list[int] = []
        self.notices: list[bytes] = []
        self.may_join = asyncio.Event()
        self.may_join.set()
        self.state, self.is_unresponsive = "LOADED", False
        self.started_at_s = time.monotonic() - 90.0
        self.writer: asyncio.StreamWriter | None = None
        self.gauges, self.gauge_query_count = "0.2 1 0.1 3", 0
        self.last_gauge_tag, self.lost_command_count = "", 0

    async def start(self, address: str = LOOPBACK_ADDRESS) -> "Executor":
        """Starts to listen; returns the executor."""
        host, port = address.split(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))
        self.address = "%s:%d" % self.server.sockets[0].getsockname()
        return self

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection of the server until it ends."""
        try:
            while line := await reader.readline():
                name, *arguments = line.decode().split()
                if name == "JOIN":
                    await self.may_join.wait()
                    self.joins.append(int(arguments[0]))
                    self.writer = writer
                    age_ms = (time.monotonic() - self.started_at_s) * 1000
                    writer.write(f"WELCOME {self.state} {age_ms:.0f}\r\n".encode())
                    writer.writelines(self.notices[int(arguments[0]) :])
                elif name == "METER":
                    self.gauge_query_count += 1
                    self.last_gauge_tag = arguments[0]
                    if not self.is_unresponsive:
                        writer.write(f"METERS {arguments[0]} {self.gauges}\r\n".encode())
                else:
                    body = (await reader.readexactly(int(arguments[-1]) + 2))[:-2]
                    if self.is_unresponsive:
                        self.lost_command_count += 1
                    else:
                        self.bodies[arguments[0]] = body
                        self.commands.put_nowait((name, *arguments[:-1]))
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def restart(self) -> None:
        """Restarts the executor: it loses its runs, notices and connection, and is cold."""
        self.drop_connection()
        self.notices.clear()
        self.state, self.started_at_s = "EMPTY", time.monotonic()

    def drop_connection(self) -> None:
        """Aborts the connection, if there is one."""
        if self.writer is not None:
            self.writer.transport.abort()
        self.writer = None

    def notify(self, text: str, body: bytes | None = None) -> None:
        """Sends a notice, with its number added after the first field of `text`."""
        name, _, arguments = text.partition(" ")
        line = f"{name} {len(self.notices) + 1} {arguments}"
        length_and_body = b"" if body is None else f" {len(body)}\r\n".encode() + body
        self.notices.append(line.encode() + length_and_body + b"\r\n")
        if self.writer is not None:
            self.writer.write(self.notices[-1])

    def send_raw(self, data: bytes) -> None:
        """Sends bytes as they are, if there is a connection."""
        if self.writer is not None:
            self.writer.write(data)

    def exit(self, id: str, status: str = "PASS", result: bytes = b"") -> None:
        """Sends EXIT: the request's run has ended after 12 ms with a status and a result."""
        self.notify(f"EXIT {id} {status} 12", result)

    def callout(self, id: str, body: bytes = b"which") -> None:
        """Sends CALLOUT: the request's run requests a call."""
        self.notify(f"CALLOUT {id}", body)


# A reply as its status, whether the call is declined, and its body; or the name of a fault (see
# `Catalogue`); or the raw bytes of a reply.
Reply = tuple[int, bool, bytes] | str | bytes


class Catalogue:
    """A downstream dependency that answers each call as the function `reply` says.

    In place of a reply, the function may return the name of a fault: `close` and `reset` end the
    connection without a reply, `half` after half a reply, `garbage` after bytes that are not HTTP,
    and `silence` when the server closes it.

    Attributes:
        reply: Returns the reply to the call with a request id.
        calls: The request id and body of each call.
        connection_count: How many connections were accepted.
        open_calls: How many calls are open.
        max_open_calls: The greatest number of calls that were open at once.
        abandoned_calls: The request ids of the calls with the fault `silence` that were abandoned.
        writers: Writers of the open connections.
        address: Address of the catalogue, once it is started.
    """

    def __init__(self, reply: Callable[[str], Awaitable[Reply]]) -> None:
        self.reply = reply
        self.calls: list[tuple[str, bytes]] = []
        self.connection_count = self.open_calls = self.max_open_calls = 0
        self.abandoned_calls: asyncio.Queue[str] = asyncio.Queue()
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, address: str = LOOPBACK_ADDRESS) -> "Catalogue":
        """Starts to listen; returns the catalogue."""
        host, port = address.split(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))
        self.address = "%s:%d" % self.server.sockets[0].getsockname()
        return self

    async def stop(self) -> None:
        """Stops listening and aborts all connections."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection until it ends."""
        self.connection_count += 1
        self.writers.add(writer)
        try:
            while (line := await reader.readline()) and await self.handle_call(
                line, reader, writer
            ):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle_call(
        self, line: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Handles the call that begins with `line`; returns whether the connection goes on."""
        assert line == b"POST /fetch HTTP/1.1\r\n", line
        headers: dict[str, str] = {}
        while header := (await reader.readline()).decode().strip():
            name, _, value = header.partition(": ")
            headers[name.lower()] = value
        assert int(headers["x-patience"]) > 0
        id = headers["x-on-behalf"]
        self.calls.append((id, await reader.readexactly(int(headers["content-length"]))))
        self.open_calls += 1
        self.max_open_calls = max(self.max_open_calls, self.open_calls)
        try:
            reply = await self.reply(id)
            if reply == "silence":
                await reader.read(1)
                self.abandoned_calls.put_nowait(id)
            if reply == "half":
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
                await writer.drain()
            if reply == "garbage":
                writer.write(b"Ceci n'est pas une r\xe9ponse\r\n\r\n")
            if reply == "reset":
                set_linger(writer)
                writer.transport.abort()
        finally:
            self.open_calls -= 1
        if isinstance(reply, bytes):
            writer.write(reply)
            return True
        if isinstance(reply, str):
            return False
        status, is_declined, body = reply
        extra = "X-Declined: 1\r\n" if is_declined else ""
        writer.write(
            f"HTTP/1.1 {status} Told\r\n{extra}Content-Length: {len(body)}\r\n\r\n".encode() + body
        )
        return True


class NameService(asyncio.DatagramProtocol):
    """A name service that collects health reports.

    Attributes:
        reports: The reports, as they were received.
        address: Address of the name service, once it is started.
    """

    def __init__(self) -> None:
        self.reports: asyncio.Queue[str] = asyncio.Queue()

    async def start(self, address: str = LOOPBACK_ADDRESS) -> "NameService":
        """Starts to receive reports; returns the name service."""
        host, port = address.split(":")
        self.transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=(host, int(port))
        )
        self.address = "%s:%d" % self.transport.get_extra_info("sockname")
        return self

    def datagram_received(self, data: bytes, _: Any) -> None:
        """Stores a report; called by the event loop."""
        self.reports.put_nowait(data.decode())


def fields(**overrides: str) -> dict[str, str]:
    """Returns the fields of a request that is sent now, some of them given by the caller."""
    return {
        "id": secrets.token_hex(8),
        "at": str(time.time_ns() // 1_000_000),
        "from": "1",
        "cost": "12.50",
        "kb": "24.5",
        "rank": "0.6250",
        "tenant": "acme",
        **overrides,
    }


class Balancer:
    """One connection of a balancer, the caller of a server.

    Attributes:
        address: Address of the server.
        last_message_id: The message id of the last request.
        waiting: By message id, the future of each answer that is not received yet: error and
            result.
        shutdown: Set once the server asks to close the connection.
        ended: Set once the connection has ended.
        answer_count: How many answers were received.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.last_message_id = 0
        self.waiting: dict[int, asyncio.Future[tuple[Any, Any]]] = {}
        self.shutdown, self.ended = asyncio.Event(), asyncio.Event()
        self.answer_count = 0

    async def open(self, receive_buffer_bytes: int = 0) -> "Balancer":
        """Connects to the server; returns the balancer.

        Args:
            receive_buffer_bytes: Size of the kernel's receive buffer; 0 for the default.
        """
        host, port = self.address.split(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        if receive_buffer_bytes:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
        self.reader, self.writer = await asyncio.open_connection(sock=sock)
        self.task = asyncio.create_task(self.listen())
        return self

    async def listen(self) -> None:
        """Receives answers until the connection ends; then cancels the futures of all others."""
        unpacker = msgpack.Unpacker()
        try:
            while data := await self.reader.read(65536):
                unpacker.feed(data)
                for kind, *message in unpacker:
                    if kind == 2:
                        assert message == ["shutdown", []], message
                        self.shutdown.set()
                    else:
                        message_id, error, result = message
                        self.answer_count += 1
                        self.waiting.pop(message_id).set_result((error, result))
        except ConnectionError:
            pass
        finally:
            self.ended.set()
            for answer in self.waiting.values():
                answer.cancel()

    def frame(self, method: str, *params: Any) -> bytes:
        """Returns the bytes of a new request, and adds the future of its answer to `waiting`."""
        self.last_message_id += 1
        self.waiting[self.last_message_id] = asyncio.get_running_loop().create_future()
        if self.ended.is_set():
            self.waiting[self.last_message_id].cancel()
        return bytes(msgpack.packb([0, self.last_message_id, method, params]))

    def ask(
        self, request_class: str, fields: dict[str, str], body: bytes = b""
    ) -> "asyncio.Future[tuple[Any, Any]]":
        """Sends a request; returns the future of its answer: error and result."""
        frame = self.frame(request_class, fields, body)
        if not self.ended.is_set():
            self.writer.write(frame)
        return self.waiting[self.last_message_id]

    def health(self) -> "asyncio.Future[tuple[Any, Any]]":
        """Sends a health check; returns the future of its answer."""
        self.writer.write(self.frame("health", {}))
        return self.waiting[self.last_message_id]

    def reset(self) -> None:
        """Resets the connection."""
        set_linger(self.writer)
        self.writer.transport.abort()

    def close(self) -> None:
        """Closes the connection."""
        self.writer.close()


def set_linger(writer: asyncio.StreamWriter) -> None:
    """Sets the socket option that makes the next close a reset."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
