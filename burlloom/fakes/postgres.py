"""A stand-in for a PostgreSQL server: the protocol as far as our client uses it, over one SQLite
file.

What was committed is on disk, and there after a restart. On order it is slow, hangs, resets
connections before or after a commit took hold, refuses, and answers with an error. One transaction
writes at a time; a reader sees what was committed. SQL is passed to SQLite after small changes, so
it understands what our store says, and no more.

    python -m burlloom.fakes.postgres FOLDER [PORT [PASSWORD]]
"""

import asyncio
import re
import secrets
import socket
import sqlite3
import struct
import sys
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import scramp

from . import pgwire as wire

CAST = re.compile(r"\$(\d+)(?:::(\w+))?")
INTS = {
    "state",
    "life",
    "turn",
    "at",
    "until",
    "fenced",
    "version",
    "ran",
    "said_at",
    "count",
    "revision",
    "epoch",
    "beat",
    "time_ms",
}
BYTES = {"mark", "result", "seal", "tag", "body", "scope", "kind", "key", "value"}
WRITES = ("INSERT", "UPDATE", "DELETE", "CREATE", "ALTER")
ITERATIONS = 4096


@dataclass(slots=True)
class Orders:
    """What befalls the clients; counts go down as they are used. Spans are in seconds."""

    delay: float = 0.0  # before each commit
    hang: bool = False  # no statement is answered
    idle: float = 0.0  # in a transaction, after which a session is ended (25P03); 0: never
    refuse: bool = False  # connections are closed as they come
    reset_before_commit: int = 0
    reset_after_commit: int = 0
    errors: list[str] = field(default_factory=list)  # SQLSTATEs for the next statements that write
    commit_errors: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Statement:
    sql: str
    oids: list[int]
    columns: list[tuple[str, int]]


@dataclass(slots=True)
class Portal:
    statement: Statement
    values: list[object]
    formats: list[bool]


class Failed(Exception):
    def __init__(self, code: str, said: str) -> None:
        super().__init__(said)
        self.code = code


class Postgres:
    def __init__(self, folder: Path, password: str = "") -> None:
        self.path, self.password = folder / "standin.db", password
        self.orders = Orders()
        self.lock = asyncio.Lock()
        self.sessions: set[Session] = set()
        self.commits = self.connects = self.cancels = 0
        self.executed: Counter[str] = Counter()  # statements whose rows are known
        self.server: asyncio.Server | None = None
        self.address = ""
        self.mechanism = scramp.ScramMechanism("SCRAM-SHA-256")
        self.login = (
            self.mechanism.make_auth_info(password, iteration_count=ITERATIONS)
            if password
            else None
        )
        self.on_commit: Callable[[], None] | None = None

    async def start(self, address: str = "127.0.0.1:0") -> "Postgres":
        host, port = address.split(":")
        self.db = sqlite3.connect(self.path, isolation_level=None)
        self.db.execute("PRAGMA journal_mode = WAL")
        self.db.execute("PRAGMA synchronous = FULL")
        self.reads = sqlite3.connect(self.path, isolation_level=None)  # sees what was committed
        self.server = await asyncio.start_server(self.serve, host, int(port))
        self.address = "%s:%d" % self.server.sockets[0].getsockname()
        return self

    async def stop(self) -> None:
        """As a crash would: open transactions are rolled back, connections reset."""
        if self.server is not None:
            self.server.close()
        for session in list(self.sessions):
            session.reset()
        while self.sessions:
            await asyncio.sleep(0.001)
        self.db.close()
        self.reads.close()

    async def restart(self) -> None:
        address = self.address
        await self.stop()
        self.lock = asyncio.Lock()
        await self.start(address)

    def cancel(self, number: int, key: int) -> None:
        """Ends what that session hangs in; one that does nothing just now goes on as if it had not
        been asked.
        """
        self.cancels += 1
        for session in self.sessions:
            if (session.number, session.key) == (number, key) and self.orders.hang:
                session.cancelled = True

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connects += 1
        session = Session(self, reader, writer)
        self.sessions.add(session)
        try:
            await session.serve()
        except (ConnectionError, asyncio.IncompleteReadError, wire.Malformed):
            pass
        finally:
            session.roll_back()
            self.sessions.discard(session)
            writer.close()


class Session:
    def __init__(
        self, server: Postgres, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.server, self.reader, self.writer = server, reader, writer
        self.statements: dict[str, Statement] = {}
        self.portals: dict[str, Portal] = {}
        self.status = "I"  # idle, T in a transaction, E in one that failed
        self.holds = self.skipping = self.cancelled = False
        self.number, self.key = server.connects, secrets.randbelow(1 << 31)

    def reset(self) -> None:
        sock = self.writer.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()

    # Start-up.

    async def serve(self) -> None:
        if self.server.orders.refuse or not await self.greet():
            return
        while (kind := await self.next_kind()) != b"X":
            size = struct.unpack(">i", await self.reader.readexactly(4))[0]
            if not 4 <= size <= wire.MESSAGE_MOST:
                raise wire.Malformed(f"message of {size} bytes")
            body = await self.reader.readexactly(size - 4)
            while self.server.orders.hang and not self.cancelled:
                await asyncio.sleep(0.005)
            if self.cancelled:
                self.end_statement(kind)
            else:
                await self.take(kind, wire.Reader(body))

    async def next_kind(self) -> bytes:
        """Its client may be gone without a word; what it locked is free after a while, as the real
        one can be told.
        """
        try:
            async with asyncio.timeout(
                self.server.orders.idle if self.holds and self.server.orders.idle else None
            ):
                return await self.reader.readexactly(1)
        except TimeoutError:
            self.writer.write(
                wire.error(
                    "25P03", "terminating connection due to idle-in-transaction timeout", "FATAL"
                )
            )
            raise ConnectionAbortedError from None

    async def greet(self) -> bool:
        while True:
            size, code = struct.unpack(">ii", await self.reader.readexactly(8))
            if not 8 <= size <= 10_000:
                raise wire.Malformed(f"start-up of {size} bytes")
            body = wire.Reader(await self.reader.readexactly(size - 8))
            if code == wire.CANCEL:
                self.server.cancel(body.int32(), body.int32())
                return False
            if code == wire.PROTOCOL:
                break
            self.writer.write(b"N")  # neither TLS nor GSS here
        told: dict[str, str] = {}
        while body.more and (name := body.text()):
            told[name] = body.text()
        if self.server.login is not None and not await self.log_in(told.get("user", "")):
            return False
        self.writer.write(
            wire.authentication(0)
            + wire.status("server_version", "15.0 (stand-in)")
            + wire.status("client_encoding", "UTF8")
            + wire.status("standard_conforming_strings", "on")
            + wire.status("integer_datetimes", "on")
            + wire.status("TimeZone", "UTC")
            + wire.message(b"K", struct.pack(">ii", self.number, self.key))
            + wire.ready("I")
        )
        return True

    async def log_in(self, user: str) -> bool:
        """SCRAM-SHA-256, RFC 7677, through a library."""
        exchange = self.server.mechanism.make_server(lambda _: self.server.login)
        self.writer.write(wire.authentication(10, b"SCRAM-SHA-256\0\0"))
        try:
            first = wire.Reader(await self.password_message())
            first.text()
            exchange.set_client_first(first.take(first.int32()).decode())
            self.writer.write(wire.authentication(11, exchange.get_server_first().encode()))
            exchange.set_client_final((await self.password_message()).decode())
            self.writer.write(wire.authentication(12, exchange.get_server_final().encode()))
            return True
        except scramp.ScramException:
            self.writer.write(
                wire.error("28P01", f'password authentication failed for user "{user}"', "FATAL")
            )
            await self.writer.drain()
            return False

    async def password_message(self) -> bytes:
        kind, size = struct.unpack(">ci", await self.reader.readexactly(5))
        if kind != b"p" or not 4 <= size <= 10_000:
            raise wire.Malformed("no password message")
        return await self.reader.readexactly(size - 4)

    # Messages.

    def end_statement(self, kind: bytes) -> None:
        """A cancelled one: what was asked up to the next Sync is passed over, and then all is well
        again.

        Not the statement's first message alone: the rest of what the client had sent would hang in
        its turn.
        """
        if not self.skipping:
            self.skipping = True
            self.status = "E" if self.status == "T" else self.status
            self.writer.write(wire.error("57014", "canceling statement due to user request"))
        if kind in (b"S", b"Q"):
            self.skipping = self.cancelled = False
            self.writer.write(wire.ready(self.status))

    async def take(self, kind: bytes, body: wire.Reader) -> None:
        if kind == b"S":
            self.skipping = False
            self.writer.write(wire.ready(self.status))
            return
        if self.skipping:
            return
        try:
            match kind:
                case b"Q":
                    await self.simple(body.text())
                case b"P":
                    self.parse(body)
                case b"B":
                    self.bind(body)
                case b"D":
                    self.describe(body)
                case b"E":
                    await self.execute(body)
                case b"C":
                    (self.statements if body.take(1) == b"S" else self.portals).pop(
                        body.text(), None
                    )
                    self.writer.write(wire.message(b"3"))
                case b"H":
                    pass
                case _:
                    raise Failed("08P01", f"message {kind!r} is not known here")
        except (Failed, sqlite3.Error) as error:
            code = error.code if isinstance(error, Failed) else "XX000"
            if self.status == "T":
                self.status = "E"
            self.skipping = kind != b"Q"
            self.writer.write(
                wire.error(code, str(error)) + (wire.ready(self.status) if kind == b"Q" else b"")
            )

    async def simple(self, sql: str) -> None:
        for one in filter(None, (part.strip() for part in sql.split(";"))):
            statement = self.statement(one)
            rows, tag = await self.run(statement, [])
            if statement.columns:
                self.writer.write(wire.described(statement.columns))
            self.send(rows, statement.columns, [False] * len(statement.columns))
            self.writer.write(wire.message(b"C", wire.text(tag)))
        self.writer.write(wire.ready(self.status))

    def parse(self, body: wire.Reader) -> None:
        name, sql = body.text(), body.text()
        self.statements[name] = self.statement(sql)
        self.writer.write(wire.message(b"1"))

    def bind(self, body: wire.Reader) -> None:
        portal, name = body.text(), body.text()
        statement = self.statements.get(name)
        if statement is None:
            raise Failed("26000", f'prepared statement "{name}" does not exist')
        given = wire.formats([body.int16() for _ in range(body.int16())], len(statement.oids))
        count = body.int16()
        if count != len(statement.oids):
            raise Failed("08P01", f"{count} parameters where {len(statement.oids)} are wanted")
        raw: list[bytes | None] = []
        for _ in range(count):
            size = body.int32()
            raw.append(None if size < 0 else body.take(size))
        wanted = wire.formats([body.int16() for _ in range(body.int16())], len(statement.columns))
        values = [wire.decoded(*one) for one in zip(raw, statement.oids, given, strict=True)]
        self.portals[portal] = Portal(statement, values, wanted)
        self.writer.write(wire.message(b"2"))

    def describe(self, body: wire.Reader) -> None:
        what, name = body.take(1), body.text()
        if what == b"S":
            statement = self.statements.get(name)
            if statement is None:
                raise Failed("26000", f'prepared statement "{name}" does not exist')
            self.writer.write(wire.parameters(statement.oids) + wire.described(statement.columns))
        else:
            self.writer.write(wire.described(self.portals[name].statement.columns))

    async def execute(self, body: wire.Reader) -> None:
        portal = self.portals[body.text()]
        rows, tag = await self.run(portal.statement, portal.values)
        self.send(rows, portal.statement.columns, portal.formats)
        self.writer.write(wire.message(b"C", wire.text(tag)))

    def send(
        self, rows: list[tuple[object, ...]], columns: list[tuple[str, int]], formats: list[bool]
    ) -> None:
        for row in rows:
            self.writer.write(wire.row(row, columns, formats))

    # SQL.

    def statement(self, sql: str) -> Statement:
        types = {
            int(number): wire.TYPES.get(kind or "text", wire.TEXT)
            for number, kind in CAST.findall(sql)
        }
        oids = [types[number] for number in sorted(types)]
        plain = CAST.sub(r"?\1", sql).replace(" FOR SHARE", "").replace("::bigint", "")
        return Statement(plain, oids, self.columns(plain))

    def columns(self, sql: str) -> list[tuple[str, int]]:
        head = sql.split(None, 1)[0].upper() if sql else ""
        if head == "SELECT":
            names = re.split(r"\bFROM\b", sql[6:], maxsplit=1)[0]
        elif " RETURNING " in sql:
            names = sql.split(" RETURNING ", 1)[1]
        else:
            return []
        found = []
        for part in names.split(","):
            name = part.split(" AS ")[-1].strip().split("(")[0].split(".")[-1].strip()
            oid = wire.INT8 if name in INTS else wire.BYTEA if name in BYTES else wire.TEXT
            found.append((name, wire.VOID if name.startswith("pg_advisory") else oid))
        return found

    async def run(
        self, statement: Statement, values: list[object]
    ) -> tuple[list[tuple[object, ...]], str]:
        sql, orders = statement.sql, self.server.orders
        head = sql.split(None, 1)[0].upper() if sql else ""
        if head in ("BEGIN", "START"):
            if self.status == "I":
                self.status = "T"
            return [], "BEGIN"
        if head == "COMMIT":
            return [], await self.commit()
        if head == "ROLLBACK":
            self.roll_back()
            return [], "ROLLBACK"
        if self.status == "E":
            raise Failed(
                "25P02",
                "current transaction is aborted, commands ignored until end of transaction block",
            )
        if sql.startswith("SELECT pg_advisory"):
            await self.hold()
            return [("",)], "SELECT 1"
        if head in ("SET", "RESET", "SHOW", "LISTEN", "UNLISTEN"):
            return [], head
        if head in WRITES and orders.errors:
            raise Failed(orders.errors.pop(0), "told to fail")
        alone = self.status == "I"
        if head in WRITES or not alone:
            await self.hold()
        try:
            db = self.server.db if self.holds else self.server.reads
            cursor = db.execute(sql, values)
            rows = cursor.fetchall()
            self.server.executed[sql] += 1
        except sqlite3.IntegrityError as error:
            raise Failed("23505", str(error)) from error
        except sqlite3.OperationalError as error:
            raise Failed("42601", str(error)) from error
        if alone and self.holds:
            await self.commit()
        count = len(rows) if head == "SELECT" else max(0, cursor.rowcount)
        return rows, f"INSERT 0 {count}" if head == "INSERT" else f"{head} {count}"

    async def hold(self) -> None:
        """Takes the one right to write, and begins."""
        if not self.holds:
            await self.server.lock.acquire()
            self.holds = True
            self.server.db.execute("BEGIN IMMEDIATE")

    async def commit(self) -> str:
        orders = self.server.orders
        if self.status == "E":
            self.roll_back()
            return "ROLLBACK"
        if self.holds:
            if orders.delay:
                await asyncio.sleep(orders.delay)
            if orders.commit_errors:
                code = orders.commit_errors.pop(0)
                self.roll_back()
                raise Failed(code, "told to fail at commit")
            if orders.reset_before_commit > 0:
                orders.reset_before_commit -= 1
                self.roll_back()
                self.reset()
                raise ConnectionResetError
            self.server.db.execute("COMMIT")
            self.holds = False
            self.server.lock.release()
            self.server.commits += 1
            if self.server.on_commit is not None:
                self.server.on_commit()
            if orders.reset_after_commit > 0:
                orders.reset_after_commit -= 1
                self.reset()
                raise ConnectionResetError
        self.status = "I"
        return "COMMIT"

    def roll_back(self) -> None:
        self.status = "I"
        if self.holds:
            self.holds = False
            self.server.db.execute("ROLLBACK")
            self.server.lock.release()


async def main(folder: str, port: str = "0", password: str = "") -> None:
    server = await Postgres(Path(folder), password).start(f"127.0.0.1:{port}")
    print(f"listening {server.address}", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    try:
        asyncio.run(main(*sys.argv[1:4]))
    except KeyboardInterrupt:
        pass
