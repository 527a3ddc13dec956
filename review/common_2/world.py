"""Stand-ins for the platform around one real server, and a record of all that passes between them.

Each stand-in follows the protocol page of the users' kit. Where that page is silent it does what
the simulator's message of the same meaning does.
"""

import asyncio
import contextlib
import json
import os
import random
import secrets
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import traceback
from collections import deque
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, TextIO

import msgpack

ROOT = Path(__file__).resolve().parents[2]
SLACK_S = 0.11  # 60 ms of the rule and 50 ms that sockets add


def now_ms() -> int:
    """Returns Unix time in milliseconds."""
    return time.time_ns() // 1_000_000


def deploy_command(name: str) -> str:
    """Returns a command of the deploy file."""
    return str(tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())[name])


class Journal:
    """The file `record.txt` of a case: one line for each thing that was seen."""

    def __init__(self, path: Path) -> None:
        self.file: TextIO = path.open("w")
        self.started = time.monotonic()

    def write(self, *words: object) -> None:
        """Writes one line, after the seconds since the start; nothing once the file is closed."""
        if self.file.closed:
            return
        text = " ".join(str(word) for word in words)
        self.file.write(f"{time.monotonic() - self.started:9.4f} {text}\n")

    def close(self) -> None:
        """Closes the file."""
        self.file.close()


class Try:
    """One try of a request, as its balancer knows it.

    Attributes:
        id: The id of the try.
        request_class: Its class.
        once: Its idempotency key; empty in classes without one.
        body: Its body.
        at_ms: The field `at`.
        due_ms: When it is due.
        answer: `served`, `refused` or `failed`; empty before its final answer.
        result: The body of an answer `served`.
        error: The name of an error.
        ended_ms: When its answer was read.
        is_excused: Whether no answer is owed: its balancer reset the connection.
        is_cut: Whether its connection ended without an answer.
        answers: How many answers were read.
        place: Its connection and its message id there.
    """

    def __init__(self, request_class: str, body: bytes, once: str, deadline_ms: int) -> None:
        self.id = secrets.token_hex(8)
        self.request_class, self.once, self.body = request_class, once, body
        self.at_ms = now_ms()
        self.due_ms = self.at_ms + deadline_ms
        self.answer = self.error = ""
        self.place = (0, 0)
        self.result = b""
        self.ended_ms = self.answers = 0
        self.is_excused = self.is_cut = False
        self.fields: dict[str, Any] = {}
        self.done: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    @property
    def is_over(self) -> bool:
        """Whether the try has its answer or its caller is gone."""
        return bool(self.answer) or self.is_excused or self.is_cut


class World:
    """All that the stand-ins share.

    Attributes:
        journal: Where everything is written.
        tries: All tries by id.
        runs: For each request (its key, or the id of its only try) the ids of the tries that ran.
        results: For each request the results that its runs made.
        wrong_replies: What reached the executor as the reply to a call and was not its reply.
        random: Draws of the case.
    """

    def __init__(self, journal: Journal, seed: int) -> None:
        self.journal = journal
        self.tries: dict[str, Try] = {}
        self.runs: dict[str, list[str]] = {}
        self.results: dict[str, set[bytes]] = {}
        self.wrong_replies: list[str] = []
        self.replies: dict[bytes, bytes] = {}
        self.changed: list[str] = []
        self.link_count = 0
        self.random = random.Random(seed)

    def request_of(self, attempt: Try) -> str:
        """Returns what all tries of one request share."""
        return attempt.once or attempt.id


class Run:
    """One run at the executor."""

    def __init__(self, attempt: Try) -> None:
        self.attempt = attempt
        self.call_body = b""
        self.reply: asyncio.Future[bytes] | None = None
        self.is_ended = False


class Executor:
    """The executor: runs what it is told to, one run a request, and numbers its notices."""

    def __init__(self, world: World, segments_ms: dict[str, list[float]]) -> None:
        self.world, self.segments_ms = world, segments_ms
        self.notices: list[bytes] = []
        self.runs: dict[str, Run] = {}
        self.writer: asyncio.StreamWriter | None = None
        self.started_at = time.monotonic() - 60
        self.bad_commands: list[str] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.late_starts: list[str] = []
        self.servers: list[asyncio.Server] = []
        self.link_count = 0
        self.speed = 1.0
        self.links: Callable[[], int] = lambda: 4

    async def listen(self, port: int = 0) -> str:
        """Listens on a free port; returns the address."""
        server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.servers.append(server)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one link until it ends."""
        try:
            while line := await reader.readuntil(b"\r\n"):
                words = line.decode().split()
                name = words[0]
                body = b""
                if name in ("EXEC", "RETURN"):
                    size = int(words[-1])
                    body = (await reader.readexactly(size + 2))[:-2]
                if name == "JOIN":
                    previous, self.writer = self.writer, writer
                    if previous is not None:
                        previous.transport.abort()
                    self.link_count += 1
                    age = (time.monotonic() - self.started_at) * 1000
                    self.world.journal.write("executor joined after", words[1])
                    writer.write(b"WELCOME LOADED %d\r\n" % age)
                    writer.writelines(self.notices[int(words[1]) :])
                elif self.writer is not writer:
                    return
                elif name == "METER":
                    running = sum(1 for run in self.runs.values() if not run.is_ended)
                    gauges = f"0.3 {running} 0.2 {self.links()}"
                    writer.write(f"METERS {words[1]} {gauges}\r\n".encode())
                elif name == "EXEC":
                    self.execute(words[1], words[2], body)
                elif name == "RETURN":
                    self.take_reply(words[1], body)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    def break_link(self) -> None:
        """Resets the link."""
        if self.writer is not None:
            self.world.journal.write("executor resets the link")
            sock = self.writer.get_extra_info("socket")
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.writer.transport.abort()
            self.writer = None

    def notify(self, kind: str, rest: str, body: bytes) -> None:
        """Numbers a notice, keeps it and sends it."""
        number = len(self.notices) + 1
        line = f"{kind} {number} {rest} {len(body)}\r\n".encode() + body + b"\r\n"
        self.notices.append(line)
        if self.writer is not None:
            self.writer.write(line)

    def execute(self, request_id: str, request_class: str, body: bytes) -> None:
        """Handles EXEC."""
        world = self.world
        attempt = world.tries.get(request_id)
        if attempt is None or attempt.request_class != request_class or attempt.body != body:
            if attempt is not None:
                world.changed.append(request_id)
            world.journal.write("executor BAD EXEC", request_id)
            self.bad_commands.append(request_id)
            if self.writer is not None:
                self.writer.write(f"BAD EXEC {request_id}\r\n".encode())
            return
        run = self.runs.get(request_id)
        if run is not None and not run.is_ended:
            world.journal.write("executor EXEC again, runs already", request_id)
            return
        if run is not None or attempt.is_over:
            world.journal.write("executor EXEC of what is over", request_id)
            self.notify("EXIT", f"{request_id} NOOP 0", b"")
            return
        self.runs[request_id] = Run(attempt)
        world.runs.setdefault(world.request_of(attempt), []).append(request_id)
        world.journal.write("run", request_id, request_class, attempt.once or "-")
        task = asyncio.create_task(self.work(self.runs[request_id]))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def work_of(self, request_class: str) -> list[float]:
        """Returns the work before, between and after the calls of one run, in ms."""
        return self.segments_ms[request_class]

    async def work(self, run: Run) -> None:
        """Runs a request: work, calls in between, and its end."""
        attempt, world = run.attempt, self.world
        started = time.monotonic()
        segments = self.work_of(attempt.request_class)
        seen = []
        for index, segment_ms in enumerate(segments):
            await asyncio.sleep(segment_ms * self.speed * (0.5 + world.random.random()) / 1000)
            if index == len(segments) - 1:
                break
            if attempt.is_over:
                self.end(run, "KILLED", b"", started)
                return
            run.call_body = f"call {index} of {attempt.id}".encode()
            run.reply = asyncio.get_running_loop().create_future()
            world.journal.write("callout", attempt.id, index)
            self.notify("CALLOUT", attempt.id, run.call_body)
            while not run.reply.done():
                await asyncio.wait({run.reply}, timeout=0.05)
                if attempt.is_over and not run.reply.done():
                    self.end(run, "KILLED", b"", started)
                    return
            reply, run.reply = run.reply.result(), None
            seen.append(reply)
            if world.replies.get(run.call_body) != reply:
                fault = f"{attempt.request_class} {attempt.id} call {index}: got {reply!r}"
                world.wrong_replies.append(fault)
                world.journal.write("WRONG REPLY", fault)
        result = b"result of " + attempt.id.encode() + b" " + b"|".join(seen)
        world.results.setdefault(world.request_of(attempt), set()).add(result)
        self.end(run, "PASS", result, started)

    def end(self, run: Run, status: str, result: bytes, started: float) -> None:
        """Ends a run with a notice."""
        run.is_ended = True
        self.world.journal.write("exit", run.attempt.id, status)
        duration = (time.monotonic() - started) * 1000
        self.notify("EXIT", f"{run.attempt.id} {status} {duration:.0f}", result)

    def take_reply(self, request_id: str, body: bytes) -> None:
        """Handles RETURN."""
        run = self.runs.get(request_id)
        if run is None or run.is_ended or run.reply is None or run.reply.done():
            self.world.journal.write("executor RETURN where no call waits", request_id)
            if self.writer is not None:
                self.writer.write(f"BAD RETURN {request_id}\r\n".encode())
            return
        self.world.journal.write("return", request_id, body)
        run.reply.set_result(body)


class Catalogue:
    """The dependency below: answers each call after a while with a reply of its own."""

    def __init__(self, world: World, delay_ms: float) -> None:
        self.world, self.delay_ms = world, delay_ms
        self.open_calls = self.max_open_calls = self.call_count = 0
        self.servers: list[asyncio.Server] = []
        self.repeated: list[str] = []
        self.seen: set[bytes] = set()

    async def listen(self, port: int = 0) -> str:
        """Listens on a free port; returns the address."""
        server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.servers.append(server)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection."""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                headers = dict(
                    line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if line
                )
                body = await reader.readexactly(int(headers["content-length"]))
                self.call_count += 1
                self.open_calls += 1
                self.max_open_calls = max(self.max_open_calls, self.open_calls)
                if body in self.seen:
                    self.repeated.append(body.decode())
                self.seen.add(body)
                try:
                    await asyncio.sleep(self.delay_ms * (0.5 + self.world.random.random()) / 1000)
                finally:
                    self.open_calls -= 1
                reply = b"reply to " + body
                self.world.replies[body] = reply
                self.world.journal.write("reply", body)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(reply) + reply)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()


class NameService(asyncio.DatagramProtocol):
    """The name service: takes the reports."""

    def __init__(self) -> None:
        self.reports: deque[tuple[float, str]] = deque(maxlen=4000)

    async def listen(self, port: int = 0) -> str:
        """Listens on a free port; returns the address."""
        transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=("127.0.0.1", port)
        )
        return f"127.0.0.1:{transport.get_extra_info('sockname')[1]}"

    def datagram_received(self, data: bytes, _: Any) -> None:
        """Keeps a report."""
        self.reports.append((time.monotonic(), data.decode()))


class Link:
    """One connection of a balancer to a server.

    Attributes:
        waiting: The open tries by message id.
        is_leaving: Whether the server asked for its end; nothing new is sent on it then.
        is_ended: Whether it has ended.
    """

    def __init__(self, world: World, number: int) -> None:
        self.world, self.number = world, number
        world.link_count += 1
        self.serial = world.link_count
        self.waiting: dict[int, Try] = {}
        self.health: dict[int, asyncio.Future[bool]] = {}
        self.answered: set[int] = set()
        self.last_id = 0
        self.is_leaving = self.is_ended = False
        self.used_at = time.monotonic()

    async def open(self, address: str) -> "Link":
        """Connects to a server."""
        host, port = address.rsplit(":", 1)
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.task = asyncio.create_task(self.listen())
        return self

    async def listen(self) -> None:
        """Reads answers until the connection ends."""
        unpacker = msgpack.Unpacker()
        try:
            while data := await self.reader.read(65536):
                unpacker.feed(data)
                for message in unpacker:
                    self.take(message)
        except ConnectionError:
            pass
        finally:
            self.end()

    def take(self, message: Any) -> None:
        """Handles one message of the server."""
        if message[0] == 2:
            self.is_leaving = True
            self.close_if_done()
            return
        _, number, error, result = message
        if number in self.health:
            self.health.pop(number).set_result(bool(result and result[0] is True))
            return
        attempt = self.waiting.pop(number, None)
        if attempt is None:
            self.world.journal.write("ANSWER TO NOTHING", message)
            for other in self.world.tries.values():
                if other.place == (self.serial, number):
                    other.answers += 1
            return
        attempt.answers += 1
        attempt.ended_ms = now_ms()
        if error is None:
            attempt.answer, attempt.result, attempt.fields = "served", result[0], result[1]
        else:
            attempt.error, attempt.fields = error[0], error[1]
            attempt.answer = "refused" if error[0] == "Backoff" else "failed"
        self.world.journal.write(
            "answer", attempt.id, attempt.answer, attempt.error, attempt.result[:80]
        )
        if not attempt.done.done():
            attempt.done.set_result(None)
        self.close_if_done()

    def close_if_done(self) -> None:
        """Closes a connection that the server asked to end, once all on it is answered."""
        if self.is_leaving and not self.waiting and not self.health:
            self.writer.close()

    def end(self) -> None:
        """Notes the tries that the end of the connection leaves without an answer."""
        self.is_ended = True
        self.writer.close()
        for attempt in self.waiting.values():
            attempt.is_cut = True
            self.world.journal.write("connection ended under", attempt.id)
            if not attempt.done.done():
                attempt.done.set_result(None)
        self.waiting.clear()
        for future in self.health.values():
            if not future.done():
                future.set_result(False)

    def frame(self, attempt: Try, is_retry: bool = False, **more: str) -> bytes:
        """Returns the bytes of a try, which is open from now on."""
        self.last_id += 1
        self.waiting[self.last_id] = attempt
        attempt.place = (self.serial, self.last_id)
        fields = {
            "id": attempt.id,
            "at": str(attempt.at_ms),
            "from": str(self.number),
            "tenant": "acme",
            "cost": "20.00",
            "kb": "24.5",
            "rank": "0.6250",
        }
        if attempt.once:
            fields["once"] = attempt.once
        if is_retry:
            fields["retry"] = "1"
        fields |= more
        self.world.tries[attempt.id] = attempt
        self.world.journal.write(
            "sent", attempt.id, attempt.request_class, attempt.once or "-", int(is_retry)
        )
        return bytes(
            msgpack.packb([0, self.last_id, attempt.request_class, [fields, attempt.body]])
        )

    def send(self, attempt: Try, is_retry: bool = False, **more: str) -> None:
        """Writes a try."""
        self.used_at = time.monotonic()
        self.writer.write(self.frame(attempt, is_retry, **more))

    async def check_health(self) -> bool:
        """Asks for the server's health."""
        self.last_id += 1
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self.health[self.last_id] = future
        self.writer.write(msgpack.packb([0, self.last_id, "health", [{}]]))
        return await future

    def reset(self) -> None:
        """Resets the connection; no answer is owed to what is open on it."""
        for attempt in self.waiting.values():
            attempt.is_excused = True
        sock = self.writer.get_extra_info("socket")
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


class Balancer:
    """A balancer: keeps some connections, 32 tries at most on each."""

    def __init__(self, world: World, number: int, address: str) -> None:
        self.world, self.number, self.address = world, number, address
        self.links: list[Link] = []

    async def submit(self, attempt: Try, is_retry: bool = False, **more: str) -> None:
        """Sends a try on a connection with room, a new one if there is none."""
        self.links = [link for link in self.links if not link.is_ended]
        for link in self.links:
            if not link.is_leaving and len(link.waiting) < 32:
                link.send(attempt, is_retry, **more)
                return
        try:
            link = await Link(self.world, self.number).open(self.address)
        except OSError:
            attempt.is_cut = attempt.is_excused = True  # nothing was written
            return
        self.links.append(link)
        link.send(attempt, is_retry, **more)

    def reset(self) -> None:
        """Resets all connections, as a balancer that is restarted."""
        for link in self.links:
            link.reset()
        self.links.clear()


def settings(**changes: Any) -> dict[str, Any]:
    """Returns the settings of a small deployment."""
    document: dict[str, Any] = {
        "categories": [
            {
                "name": "balance-view",
                "worth": 1.0,
                "aim": 2_400_000,
                "deadline": 6_000_000,
                "idempotency": "retryable",
            },
            {
                "name": "charge",
                "worth": 5.0,
                "aim": 1_600_000,
                "deadline": 6_000_000,
                "idempotency": "dedup",
                "window": 17_940_000,
            },
        ],
        "extra": {
            "n_cores": 6,
            "memory_kb": 60_000,
            "blowup": 4.0,
            "key_kb": 50,
            "depends_on": "one_for_all",
            "calls_out": 40.0,
            "calls_over": 5_000_000,
            "lingers": 200_000,
            "fresh_for": 0,
            "idle": 15_000_000,
            "meters": ["core_use", "on_cores", "heap_share", "links"],
            "say": "floor",
            "fresh_start": False,
        },
        "rules": {
            "tip_multiple": 5.0,
            "cold_from": 0.2,
            "warm_up": 17_000_000,
            "drain_grace": 2_500_000,
        },
        "tenants": [{"name": "acme"}],
        "limits": {"max_retry_after": 1_000_000, "retry_after": True},
    }
    for name, value in changes.items():
        for part in ("extra", "rules"):
            if name in document[part]:
                document[part][name] = value
        if name in document:
            document[name] = value
    return document


def free_port() -> int:
    """Returns a port that is free now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class Server:
    """The server under test, started with `run` of the deploy file."""

    def __init__(self, folder: Path, name: str, configuration: dict[str, Any]) -> None:
        self.folder, self.name = folder, name
        self.configuration = configuration
        self.address = configuration["listen"]
        self.config_path = folder / f"{name}.json"
        self.environment: dict[str, str] = {}
        self.process: asyncio.subprocess.Process | None = None
        self.log_path = folder / f"{name}.log"
        self.lives = 0

    def write_configuration(self, **changes: Any) -> None:
        """Replaces the configuration file."""
        self.configuration |= changes
        temporary = self.config_path.with_suffix(".new")
        temporary.write_text(json.dumps(self.configuration))
        temporary.replace(self.config_path)

    async def start(self) -> None:
        """Starts the program."""
        self.configuration["seed"] = secrets.token_hex(8)
        self.write_configuration()
        self.lives += 1
        own = self.folder / f"{self.name}.tmp{self.lives}"
        own.mkdir()
        environment = {
            **os.environ,
            "EDGE_NAME": self.name,
            "EDGE_LISTEN": self.address,
            "EDGE_CONFIG": str(self.config_path),
            "TMPDIR": str(own),
            **self.environment,
        }
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", deploy_command("run"), cwd=ROOT, env=environment,
                stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL,
            )  # fmt: skip

    def signal(self, number: int) -> None:
        """Sends a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kills the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            await self.process.wait()

    async def wait_until_healthy(self, world: World, timeout_s: float = 30) -> None:
        """Waits until a health check is answered well."""
        async with asyncio.timeout(timeout_s):
            while True:
                with contextlib.suppress(OSError):
                    link = await Link(world, 0).open(self.address)
                    is_good = await link.check_health()
                    link.writer.close()
                    if is_good:
                        return
                await asyncio.sleep(0.05)


def configuration(
    name: str, executor: str, naming: str, catalog: str, document: dict[str, Any]
) -> dict[str, Any]:
    """Returns the configuration of a server with an address of its own."""
    return {
        "name": name,
        "listen": f"127.0.0.1:{free_port()}",
        "executor": executor,
        "naming": naming,
        "catalog": catalog,
        "seed": secrets.token_hex(8),
        "stop_ms": 5200,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": document,
    }


def find_lost(world: World) -> list[str]:
    """Returns the tries without exactly one final answer in their time."""
    lost = []
    for attempt in world.tries.values():
        if attempt.is_excused:
            continue
        if attempt.is_cut or not attempt.answer:
            lost.append(f"{attempt.id} has no answer (cut={attempt.is_cut})")
        elif attempt.ended_ms > attempt.due_ms + SLACK_S * 1000:
            lost.append(f"{attempt.id} answered {attempt.ended_ms - attempt.due_ms} ms late")
        elif attempt.answers != 1:
            lost.append(f"{attempt.id} answered {attempt.answers} times")
    return lost


def find_doubles(world: World) -> list[str]:
    """Returns the requests with an effect that ran more than once."""
    return [f"{request}: {ids}" for request, ids in world.runs.items() if len(ids) > 1]


def find_foreign(world: World) -> list[str]:
    """Returns the answers `served` with a result that no run made for the request."""
    return [
        f"{attempt.id}: {attempt.result!r}"
        for attempt in world.tries.values()
        if attempt.answer == "served"
        and attempt.result not in world.results.get(world.request_of(attempt), set())
    ]


def new_folder() -> Path:
    """Returns a new temporary folder."""
    return Path(tempfile.mkdtemp(prefix="review-"))


async def run_case(play: Callable[[bool], Awaitable[int]]) -> int:
    """Plays a case; SIGTERM ends it in good order."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await play(os.environ.get("TROUBLE") != "0")


def main(play: Callable[[bool], Awaitable[int]]) -> None:
    """Plays a case and exits with its status; 2 if it could not run."""
    try:
        status = asyncio.run(run_case(play))
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
        status = 2
    print({0: "held", 1: "broken", 2: "could not run"}[status], flush=True)
    # Without the interpreter's own end, which would complain of streams whose loop is closed.
    sys.stderr.flush()
    os._exit(status)
