"""Stand-ins for all that a server talks to, and the server's own process, for the cases here.

The stand-ins follow the pages on sockets: MessagePack-RPC for balancers, lines for the executor,
HTTP/1.1 for the catalogue, datagrams for the name service. Everything is on 127.0.0.1. A case is
one Python program that runs them in one event loop and starts the server as a process by the `run`
command of the deploy file.
"""

import asyncio
import contextlib
import json
import os
import select
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from typing import Any

import msgpack

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit statuses of a case
READY_TIMEOUT_S = 30.0
CASE_TIMEOUT_S = 110.0


def has_trouble() -> bool:
    """Returns whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def unix_ms() -> int:
    """Returns the present Unix time in ms."""
    return time.time_ns() // 1_000_000


def free_port() -> int:
    """Returns a TCP port of the loopback address that nobody uses now."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


class CaseError(Exception):
    """The case could not run."""


class Record:
    """Writes `record.txt`: what was sent, answered and run, one event a line.

    Attributes:
        path: The file.
    """

    def __init__(self, folder: Path) -> None:
        self.path = folder / "record.txt"
        self.started_s = time.monotonic()
        self.file = self.path.open("w", encoding="utf-8")

    def add(self, event: str, **values: Any) -> None:
        """Adds a line with the time since the start in ms, the event and its values."""
        text = " ".join(f"{name}={value}" for name, value in values.items())
        elapsed_ms = (time.monotonic() - self.started_s) * 1000
        self.file.write(f"{elapsed_ms:9.1f} {event} {text}".rstrip() + "\n")
        self.file.flush()


class Executor:
    """An executor whose runs each take some work, one call where the class calls, and some work.

    Its runs never wait for a core: the cases ask for less than the cores can do. A run whose
    request is over ends at its call as KILLED, and a request that is over is not begun (NOOP).

    Attributes:
        known: Class and body of each request that was written to the server, by id.
        over: Ids of the requests that were answered or given up.
        starts: How often each request was begun, by id.
        replies: The body of each RETURN that a run took, by request id.
        results: The result of each run that passed, by request id.
        links: Returns the number of open connections, for the gauges.
    """

    def __init__(self, record: Record, work_ms: float, calling: frozenset[str]) -> None:
        self.record, self.work_s, self.calling = record, work_ms / 1000, calling
        self.known: dict[str, tuple[str, bytes]] = {}
        self.over: set[str] = set()
        self.starts: dict[str, int] = {}
        self.running: set[str] = set()
        self.waiting: dict[str, asyncio.Future[bytes]] = {}
        self.replies: dict[str, list[bytes]] = {}
        self.results: dict[str, bytes] = {}
        self.notices: list[bytes] = []
        self.writer: asyncio.StreamWriter | None = None
        self.started_s = time.monotonic()
        self.on_cores = 0
        self.links: Callable[[], int] = lambda: 0
        self.tasks: set[asyncio.Task[Any]] = set()

    async def start(self) -> str:
        """Starts to listen; returns the address."""
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        return "{}:{}".format(*self.server.sockets[0].getsockname())

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one link of the server until it ends."""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while line := await reader.readline():
                await self.handle_command(line.decode().split(), reader, writer)
        writer.close()

    async def handle_command(
        self, words: list[str], reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Carries out one command."""
        if words[0] == "JOIN":
            if self.writer is not None:
                self.writer.close()
            self.writer = writer
            age_ms = (time.monotonic() - self.started_s) * 1000 + 60_000
            writer.write(f"WELCOME LOADED {age_ms:.0f}\r\n".encode())
            writer.writelines(self.notices[int(words[1]) :])
        elif words[0] == "METER":
            gauges = f"{min(1.0, self.on_cores / 2):.2f} {self.on_cores} 0.10 {self.links()}"
            writer.write(f"METERS {words[1]} {gauges}\r\n".encode())
        else:
            body = (await reader.readexactly(int(words[-1]) + 2))[:-2]
            if writer is self.writer and words[0] == "EXEC":
                self.begin(words[1], words[2], body)
            elif writer is self.writer and words[0] == "RETURN":
                self.take_reply(words[1], body)

    def begin(self, request_id: str, request_class: str, body: bytes) -> None:
        """Begins a run, unless it runs already, is over, or nobody sent the request."""
        if request_id in self.running:
            return
        if self.known.get(request_id) != (request_class, body):
            self.record.add("executor_unknown", id=request_id)
            if self.writer is not None:
                self.writer.write(f"BAD EXEC {request_id}\r\n".encode())
            return
        if request_id in self.over:
            self.notify(f"EXIT {{}} {request_id} NOOP 0", b"")
            return
        self.starts[request_id] = self.starts.get(request_id, 0) + 1
        self.running.add(request_id)
        self.record.add("run_begins", id=request_id, request_class=request_class)
        task = asyncio.get_running_loop().create_task(self.run(request_id, request_class, body))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def work(self) -> None:
        """Works on a core for the work of one half of a run."""
        self.on_cores += 1
        await asyncio.sleep(self.work_s)
        self.on_cores -= 1

    async def run(self, request_id: str, request_class: str, body: bytes) -> None:
        """Runs a request: work, a call where the class calls, work, and its end."""
        started_s = time.monotonic()
        await self.work()
        status, result = "PASS", b"result of " + request_id.encode()
        if request_class in self.calling:
            if request_id in self.over:
                status, result = "KILLED", b""
            else:
                reply = asyncio.get_running_loop().create_future()
                self.waiting[request_id] = reply
                self.notify(f"CALLOUT {{}} {request_id}", b"account of " + request_id.encode())
                result += b" | " + await reply
        if status == "PASS":
            await self.work()
            self.results[request_id] = result
        self.running.discard(request_id)
        duration_ms = (time.monotonic() - started_s) * 1000
        self.record.add("run_ends", id=request_id, status=status, result=repr(result))
        self.notify(f"EXIT {{}} {request_id} {status} {duration_ms:.0f}", result)

    def take_reply(self, request_id: str, body: bytes) -> None:
        """Hands the reply to the run that waits for it."""
        reply = self.waiting.pop(request_id, None)
        if reply is None:
            self.record.add("executor_ignores_return", id=request_id)
            return
        self.record.add("executor_return", id=request_id, body=repr(body))
        self.replies.setdefault(request_id, []).append(body)
        reply.set_result(body)

    def notify(self, line: str, body: bytes) -> None:
        """Sends a notice; `{}` in the line stands for its number."""
        head = line.format(len(self.notices) + 1) + f" {len(body)}\r\n"
        self.notices.append(head.encode() + body + b"\r\n")
        if self.writer is not None:
            self.writer.write(self.notices[-1])


class Catalogue:
    """The shared dependency: answers each call with a body that is made for its request.

    Attributes:
        made: The body that was made for each request's last call, by request id.
        behind: Returns what a reply brings behind itself, and after how many seconds, by the
            number of the call and the reply's bytes.
    """

    def __init__(
        self,
        record: Record,
        reply_ms: float,
        behind: Callable[[int, bytes], tuple[float, bytes]] = lambda number, reply: (0.0, b""),
    ) -> None:
        self.record, self.reply_s, self.behind = record, reply_ms / 1000, behind
        self.made: dict[str, bytes] = {}
        self.call_count = 0

    async def start(self) -> str:
        """Starts to listen; returns the address."""
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        return "{}:{}".format(*self.server.sockets[0].getsockname())

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection, one call at a time, until it ends."""
        port = writer.get_extra_info("peername")[1]
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, TimeoutError):
            while True:
                async with asyncio.timeout(10):  # an idle connection is closed after 10 s
                    head = await reader.readuntil(b"\r\n\r\n")
                headers = parse_headers(head)
                await reader.readexactly(int(headers["content-length"]))
                await self.answer(headers["x-on-behalf"], port, writer)
        writer.close()

    async def answer(self, request_id: str, port: int, writer: asyncio.StreamWriter) -> None:
        """Answers one call, and writes what its reply brings behind itself."""
        self.call_count += 1
        number = self.call_count
        self.record.add("call", id=request_id, connection=port)
        await asyncio.sleep(self.reply_s)
        body = b"account data of " + request_id.encode()
        self.made[request_id] = body
        reply = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body
        writer.write(reply)
        self.record.add("call_reply", id=request_id, connection=port, body=repr(body))
        delay_s, surplus = self.behind(number, reply)
        if surplus:
            await asyncio.sleep(delay_s)
            writer.write(surplus)
            self.record.add("call_surplus", id=request_id, connection=port, size=len(surplus))


def pour(sock: socket.socket, piece: bytes, end_s: float, most_bytes: int) -> int:
    """Writes one piece again and again, as fast as it is taken; returns how many bytes were taken.

    Runs in a thread of its own, so that nothing else here makes the flow stop and go.

    Args:
        sock: A non-blocking socket; it is closed at the end.
        piece: What is written.
        end_s: The monotonic time at which it ends.
        most_bytes: How many bytes it writes at most.
    """
    sent = 0
    with contextlib.suppress(OSError), sock:
        while time.monotonic() < end_s and sent + len(piece) <= most_bytes:
            if select.select([], [sock], [], 0.2)[1]:
                with contextlib.suppress(BlockingIOError):
                    sent += sock.send(piece)
    return sent


def parse_headers(head: bytes) -> dict[str, str]:
    """Returns the headers of an HTTP request by their lower-case names."""
    pairs = [line.partition(":") for line in head.decode().split("\r\n")[1:] if line]
    return {name.lower(): value.strip() for name, _, value in pairs}


class NameService(asyncio.DatagramProtocol):
    """The name service: takes reports and answers nothing."""

    def __init__(self) -> None:
        self.reports: list[str] = []

    async def start(self) -> str:
        """Starts to receive; returns the address."""
        transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=(HOST, 0)
        )
        return "{}:{}".format(*transport.get_extra_info("sockname"))

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Keeps a report."""
        self.reports.append(data.decode())


class Ask:
    """One try of a request.

    Attributes:
        id: Its id.
        at_ms: When it was written, Unix ms.
        answer: `served`, `refused`, `failed` or, without a whole answer, empty.
        result: The result of a served request.
        answered_ms: When its answer was read, Unix ms; 0 without one.
        delivered_ms: When its last byte was handed to the server's own socket by a proxy, Unix ms;
            0 where no proxy notes it.
        port: The port of the balancer's end of its connection.
    """

    def __init__(self, request_id: str, request_class: str, body: bytes, at_ms: int) -> None:
        self.id, self.request_class, self.body, self.at_ms = request_id, request_class, body, at_ms
        self.answer, self.result = "", b""
        self.answered_ms = self.delivered_ms = self.port = 0


class BalancerConnection:
    """One connection of a balancer.

    Attributes:
        asks: The open requests by message id.
        is_shut: Whether the server asked to close the connection.
        is_ended: Whether the connection has ended.
    """

    def __init__(self, owner: "Balancer", sock_address: str) -> None:
        self.owner, self.address = owner, sock_address
        self.asks: dict[int, Ask] = {}
        self.last_message_id = 0
        self.is_shut = self.is_ended = False

    async def open(self) -> "BalancerConnection":
        """Connects; returns the connection."""
        host, port = self.address.split(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        self.port = int(self.writer.get_extra_info("sockname")[1])
        self.task = asyncio.get_running_loop().create_task(self.listen())
        return self

    def send(self, ask: Ask, fields: dict[str, str]) -> None:
        """Writes one request."""
        self.last_message_id += 1
        ask.port = self.port
        self.asks[self.last_message_id] = ask
        self.writer.write(
            msgpack.packb([0, self.last_message_id, ask.request_class, [fields, ask.body]])
        )

    async def listen(self) -> None:
        """Reads answers until the connection ends."""
        unpacker = msgpack.Unpacker()
        with contextlib.suppress(ConnectionError):
            while data := await self.reader.read(65536):
                unpacker.feed(data)
                for message in unpacker:
                    self.handle(message)
        self.is_ended = True
        self.owner.connection_ended(self)
        self.writer.close()

    def handle(self, message: list[Any]) -> None:
        """Handles one message of the server, and closes a connection that was asked to go."""
        if message[0] == 2:
            self.is_shut = True
            self.owner.record.add("shutdown_received", caller=self.owner.number)
        else:
            _, message_id, error, result = message
            self.owner.answered(self.asks.pop(message_id), error, result)
        if self.is_shut and not self.asks:
            self.writer.close()


class Balancer:
    """A balancer with one connection at a time, which it opens when it needs it.

    Attributes:
        number: Its number.
        asked: All requests that it has sent.
    """

    def __init__(
        self, record: Record, executor: Executor, address: str, number: int, tenant: str
    ) -> None:
        self.record, self.executor, self.address = record, executor, address
        self.number, self.tenant = number, tenant
        self.connection: BalancerConnection | None = None
        self.asked: list[Ask] = []

    @property
    def is_connected(self) -> bool:
        """Whether it has a connection on which it may send."""
        connection = self.connection
        return connection is not None and not connection.is_shut and not connection.is_ended

    async def ask(self, request_class: str, key: str = "") -> Ask:
        """Sends one request on the connection, or on a new one; returns it."""
        if not self.is_connected:
            self.connection = await BalancerConnection(self, self.address).open()
        request_id = os.urandom(8).hex()
        ask = Ask(request_id, request_class, b"body of " + request_id.encode(), unix_ms())
        fields = {
            "id": request_id,
            "at": str(ask.at_ms),
            "from": str(self.number),
            "tenant": self.tenant,
            "cost": "40.00",
            "kb": "24.5",
            "rank": "0.6250",
        }
        if key:
            fields["once"] = key
        self.executor.known[request_id] = (request_class, ask.body)
        self.asked.append(ask)
        assert self.connection is not None
        self.connection.send(ask, fields)
        self.record.add("asked", caller=self.number, id=request_id, connection=ask.port)
        return ask

    def answered(self, ask: Ask, error: Any, result: Any) -> None:
        """Notes the answer of a request."""
        ask.answered_ms = unix_ms()
        if error is None:
            ask.answer, ask.result = "served", result[0]
        else:
            ask.answer = "refused" if error[0] == "Backoff" else "failed"
        self.executor.over.add(ask.id)
        detail = repr(ask.result) if ask.result else error[0]
        self.record.add("answered", id=ask.id, answer=ask.answer, detail=detail)

    def connection_ended(self, connection: BalancerConnection) -> None:
        """Notes the end of a connection and the requests that it leaves without an answer."""
        for ask in connection.asks.values():
            self.record.add("ended_without_answer", caller=self.number, id=ask.id)
            self.executor.over.add(ask.id)
        if not connection.asks:
            self.record.add("connection_ended", caller=self.number)


class Silence:
    """A network between balancers and one server, which falls silent for a time.

    While it is silent nothing is carried either way and connections stay open, as where packets
    are lost and sent again. Afterwards all is carried that was held back.

    Attributes:
        connection_count: How many connections are open.
        delivered: Called with the bytes that were handed to the server's socket.
        server_ended_ms: When the server ended its half of a connection, Unix ms, by the port of
            the balancer's end.
    """

    def __init__(self, record: Record, target: str) -> None:
        self.record, self.target = record, target
        self.is_open = asyncio.Event()
        self.is_open.set()
        self.connection_count = 0
        self.delivered: Callable[[bytes], None] = lambda data: None
        self.server_ended_ms: dict[int, int] = {}
        self.tasks: set[asyncio.Task[Any]] = set()

    async def start(self) -> str:
        """Starts to listen; returns the address."""
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        return "{}:{}".format(*self.server.sockets[0].getsockname())

    def cut(self) -> None:
        """Begins the silence."""
        self.record.add("silence_begins")
        self.is_open.clear()

    def heal(self) -> None:
        """Ends the silence."""
        self.record.add("silence_ends")
        self.is_open.set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Carries one connection until both sides have ended."""
        own_task = asyncio.current_task()
        assert own_task is not None
        self.tasks.add(own_task)
        own_task.add_done_callback(self.tasks.discard)
        await self.is_open.wait()
        host, port = self.target.split(":")
        try:
            server_reader, server_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.connection_count += 1
        client_port = writer.get_extra_info("peername")[1]

        def server_ended() -> None:
            self.server_ended_ms[client_port] = unix_ms()
            self.record.add("server_closes", connection=client_port)

        await asyncio.gather(
            self.carry(reader, server_writer, self.delivered, lambda: None),
            self.carry(server_reader, writer, lambda data: None, server_ended),
        )
        self.connection_count -= 1
        for side in (writer, server_writer):
            side.close()

    async def carry(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        delivered: Callable[[bytes], None],
        ended: Callable[[], None],
    ) -> None:
        """Carries one direction until its sender ends it, and hands its end on."""
        held: asyncio.Queue[bytes] = asyncio.Queue()

        async def write() -> None:
            try:
                while data := await held.get():
                    await self.is_open.wait()
                    writer.write(data)
                    await writer.drain()
                    delivered(data)
                await self.is_open.wait()
                writer.write_eof()
            except (OSError, RuntimeError):
                writer.transport.abort()

        task = asyncio.get_running_loop().create_task(write())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                held.put_nowait(data)
        ended()
        held.put_nowait(b"")
        await task


class Server:
    """The server's process, started by the `run` command of the deploy file.

    Attributes:
        address: Where balancers connect.
        process: The process.
    """

    def __init__(self, folder: Path, configuration: dict[str, Any], name: str = "n1") -> None:
        self.folder, self.name = folder, name
        self.address = f"{HOST}:{free_port()}"
        self.configuration = {**configuration, "name": name, "listen": self.address}
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Starts the process; its log goes to a file in the case's temporary folder."""
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.configuration))
        environment = {
            **os.environ,
            "EDGE_NAME": self.name,
            "EDGE_LISTEN": self.address,
            "EDGE_CONFIG": str(path),
            "TMPDIR": str(self.folder),
        }
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", deploy["run"]], cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    async def wait_until_ready(self) -> None:
        """Waits until a health check is answered as good.

        Raises:
            CaseError: The server ended, or was not ready in time.
        """
        give_up_s = time.monotonic() + READY_TIMEOUT_S
        while self.is_running and time.monotonic() < give_up_s:
            if await is_healthy(self.address):
                return
            await asyncio.sleep(0.05)
        raise CaseError("the server was not ready in time")

    def stop(self) -> None:
        """Ends the process: by SIGTERM, and by SIGKILL where that does not end it in time."""
        if self.process is None:
            return
        if self.is_running:
            self.process.send_signal(signal.SIGTERM)
        try:
            self.process.wait(6)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()


async def is_healthy(address: str) -> bool:
    """Returns whether a health check on a connection of its own is answered as good."""
    host, port = address.split(":")
    try:
        async with asyncio.timeout(1):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(msgpack.packb([0, 1, "health", [{}]]))
            unpacker = msgpack.Unpacker()
            while data := await reader.read(4096):
                unpacker.feed(data)
                for message in unpacker:
                    writer.close()
                    return message[0] == 1 and message[3] is not None and message[3][0] is True
    except (OSError, TimeoutError):
        pass
    return False


def configuration(executor: str, naming: str, catalog: str, **changes: Any) -> dict[str, Any]:
    """Returns a server's configuration: the project's example with other addresses and values.

    Args:
        executor: Address of the executor.
        naming: Address of the name service.
        catalog: Address of the catalogue.
        changes: Values that replace those of the example, wherever their name occurs.
    """
    result = json.loads((ROOT / "examples" / "configuration.json").read_text())
    settings = result["settings"]
    sections = [result, settings["extra"], settings["rules"], *settings["categories"]]
    for name, value in changes.items():
        for section in sections:
            if name in section:
                section[name] = value
    return {**result, "executor": executor, "naming": naming, "catalog": catalog}


def play(folder: Path, case: Callable[[Record, Path], Coroutine[Any, Any, int]]) -> int:
    """Plays a case; returns its exit status.

    Args:
        folder: The folder of the case, for its record.
        case: Plays it with the record and a temporary folder, and returns the exit status.
    """
    record = Record(folder)

    async def bounded(path: Path) -> int:
        try:
            async with asyncio.timeout(CASE_TIMEOUT_S):
                return await case(record, path)
        finally:
            # The connections that are still open end with the loop, which is no fault of the case.
            asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)

    with tempfile.TemporaryDirectory() as name:
        try:
            status = asyncio.run(bounded(Path(name)))
        except (CaseError, OSError, TimeoutError) as error:
            print(f"could not run: {error!r}", file=sys.stderr)
            status = NOT_RUN
        for log in sorted(Path(name).glob("*.log")):
            record.add("server_log", file=log.name)
            record.file.write(log.read_text(errors="replace"))
    record.add("exit_status", status=status)
    return status


async def in_turn(period_s: float, end_s: float, step: Callable[[], Awaitable[Any]]) -> None:
    """Calls `step` once each period until the monotonic time `end_s`."""
    due_s = time.monotonic()
    while due_s < end_s:
        await step()
        due_s += period_s
        await asyncio.sleep(max(0.0, due_s - time.monotonic()))
