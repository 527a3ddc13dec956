"""A stand-in for a PostgreSQL server, with one SQLite file as its database.

It has the part of the protocol that the record's and the stores' client uses. Committed data is on
disk and survives a restart. One transaction writes at a time; a reader sees committed data. SQL is
passed to SQLite with small changes, so that only the stores' statements are understood. Faults can
be injected: slow commits, hanging statements, connections reset before or after a commit takes
effect, refused connections and errors.

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

# A parameter of a statement, with the type that it is cast to.
PARAMETER_PATTERN = re.compile(r"\$(\d+)(?:::(\w+))?")
# The types of columns by name; all others are text.
BIGINT_COLUMNS = {
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
BYTEA_COLUMNS = {"mark", "result", "seal", "tag", "body", "scope", "kind", "key", "value"}
WRITE_COMMANDS = ("INSERT", "UPDATE", "DELETE", "CREATE", "ALTER")
SCRAM_ITERATIONS = 4096


@dataclass(slots=True)
class InjectedFaults:
    """Faults that the server shows to its clients.

    Attributes:
        commit_delay_s: Delay before each commit, in seconds.
        hang: Whether statements are not answered.
        idle_timeout_s: After how many seconds without a message a session that is in a writing
            transaction is ended (25P03); 0 for never.
        refuse: Whether new connections are closed at once.
        reset_before_commit: How many of the next commits are rolled back, and their connections
            reset.
        reset_after_commit: How many of the next commits take effect, and their connections are
            reset.
        write_errors: SQLSTATEs that the next writing statements fail with.
        commit_errors: SQLSTATEs that the next commits fail with.
    """

    commit_delay_s: float = 0.0
    hang: bool = False
    idle_timeout_s: float = 0.0
    refuse: bool = False
    reset_before_commit: int = 0
    reset_after_commit: int = 0
    write_errors: list[str] = field(default_factory=list)
    commit_errors: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Statement:
    """A parsed statement.

    Attributes:
        sql: The statement as SQLite runs it.
        oids: The object ids of its parameters' types.
        columns: Name and type's object id of each column that it returns.
    """

    sql: str
    oids: list[int]
    columns: list[tuple[str, int]]


@dataclass(slots=True)
class Portal:
    """A statement bound to parameter values.

    Attributes:
        statement: The statement.
        values: The values of its parameters.
        formats: For each column, whether it is returned in binary.
    """

    statement: Statement
    values: list[object]
    formats: list[bool]


class SqlError(Exception):
    """A statement fails with an error of PostgreSQL.

    Attributes:
        sqlstate: The error's SQLSTATE.
    """

    def __init__(self, sqlstate: str, text: str) -> None:
        super().__init__(text)
        self.sqlstate = sqlstate


class Postgres:
    """The server.

    Attributes:
        path: The database file.
        password: The password of all users; empty for no authentication.
        faults: Faults to show to the clients; set by tests.
        lock: Held by the session with the writing transaction.
        sessions: The open sessions.
        commits: How many writing transactions were committed.
        connects: How many connections were accepted.
        cancels: How many cancel requests were received.
        executed: How often each statement was executed, by its SQL.
        address: Address of the server, once it is started.
        login: The SCRAM data of the password; None for no authentication.
        on_commit: Called after each writing commit.
    """

    def __init__(self, folder: Path, password: str = "") -> None:
        self.path, self.password = folder / "standin.db", password
        self.faults = InjectedFaults()
        self.lock = asyncio.Lock()
        self.sessions: set[Session] = set()
        self.commits = self.connects = self.cancels = 0
        self.executed: Counter[str] = Counter()
        self.server: asyncio.Server | None = None
        self.address = ""
        self.mechanism = scramp.ScramMechanism("SCRAM-SHA-256")
        self.login = (
            self.mechanism.make_auth_info(password, iteration_count=SCRAM_ITERATIONS)
            if password
            else None
        )
        self.on_commit: Callable[[], None] | None = None

    async def start(self, address: str = "127.0.0.1:0") -> "Postgres":
        """Opens the database and starts to listen; returns the server."""
        host, port = address.split(":")
        self.db = sqlite3.connect(self.path, isolation_level=None)
        self.db.execute("PRAGMA journal_mode = WAL")
        self.db.execute("PRAGMA synchronous = FULL")
        # A second connection, which sees only committed data.
        self.read_db = sqlite3.connect(self.path, isolation_level=None)
        self.server = await asyncio.start_server(self.serve, host, int(port))
        self.address = "%s:%d" % self.server.sockets[0].getsockname()
        return self

    async def stop(self) -> None:
        """Stops like a crash: rolls open transactions back and resets connections."""
        if self.server is not None:
            self.server.close()
        for session in list(self.sessions):
            session.reset()
        while self.sessions:
            await asyncio.sleep(0.001)
        self.db.close()
        self.read_db.close()

    async def restart(self) -> None:
        """Stops, and starts again at the same address."""
        address = self.address
        await self.stop()
        self.lock = asyncio.Lock()
        await self.start(address)

    def cancel(self, number: int, key: int) -> None:
        """Cancels the statement in which a session hangs; does nothing to any other session."""
        self.cancels += 1
        for session in self.sessions:
            if (session.number, session.key) == (number, key) and self.faults.hang:
                session.is_cancelled = True

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection until it ends."""
        self.connects += 1
        session = Session(self, reader, writer)
        self.sessions.add(session)
        try:
            await session.serve()
        except (ConnectionError, asyncio.IncompleteReadError, wire.MalformedMessageError):
            pass
        finally:
            session.roll_back()
            self.sessions.discard(session)
            writer.close()


class Session:
    """One client's session.

    Attributes:
        statements: The prepared statements, by name.
        portals: The portals, by name.
        status: The transaction status: `I` for idle, `T` for in a transaction, `E` for in a failed
            transaction.
        has_write_lock: Whether the session has the writing transaction.
        is_skipping: Whether messages are ignored until the next Sync.
        is_cancelled: Whether the client cancelled the statement that hangs.
        number: The session's process id in the protocol.
        key: The secret key of its cancel requests.
    """

    def __init__(
        self, server: Postgres, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.server, self.reader, self.writer = server, reader, writer
        self.statements: dict[str, Statement] = {}
        self.portals: dict[str, Portal] = {}
        self.status = "I"
        self.has_write_lock = self.is_skipping = self.is_cancelled = False
        self.number, self.key = server.connects, secrets.randbelow(1 << 31)

    def reset(self) -> None:
        """Resets the connection."""
        sock = self.writer.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()

    # Methods that read messages and start a session up.

    async def serve(self) -> None:
        """Starts the session up and handles messages until the client ends it.

        Raises:
            MalformedMessageError: The client sent a malformed message.
            asyncio.IncompleteReadError: The client closed the connection.
            ConnectionError: The connection was lost or is ended by the server.
        """
        if self.server.faults.refuse or not await self.start_up():
            return
        while (kind := await self.read_message_kind()) != b"X":
            size = struct.unpack(">i", await self.reader.readexactly(4))[0]
            if not 4 <= size <= wire.MAX_MESSAGE_BYTES:
                raise wire.MalformedMessageError(f"message length of {size} bytes")
            body = await self.reader.readexactly(size - 4)
            while self.server.faults.hang and not self.is_cancelled:
                await asyncio.sleep(0.005)
            if self.is_cancelled:
                self.handle_cancelled(kind)
            else:
                await self.handle_message(kind, wire.MessageReader(body))

    async def read_message_kind(self) -> bytes:
        """Reads the type byte of the next message.

        Like a real server with an idle timeout, it ends a session that holds the write lock and
        sends nothing: its client may be gone without closing the connection.

        Raises:
            ConnectionAbortedError: The session was idle for too long.
        """
        try:
            async with asyncio.timeout(
                self.server.faults.idle_timeout_s
                if self.has_write_lock and self.server.faults.idle_timeout_s
                else None
            ):
                return await self.reader.readexactly(1)
        except TimeoutError:
            self.writer.write(
                wire.error_response(
                    "25P03", "terminating connection due to idle-in-transaction timeout", "FATAL"
                )
            )
            raise ConnectionAbortedError from None

    async def start_up(self) -> bool:
        """Handles the start-up messages; returns whether the session may begin."""
        while True:
            size, code = struct.unpack(">ii", await self.reader.readexactly(8))
            if not 8 <= size <= 10_000:
                raise wire.MalformedMessageError(f"start-up message length of {size} bytes")
            body = wire.MessageReader(await self.reader.readexactly(size - 8))
            if code == wire.CANCEL_REQUEST:
                self.server.cancel(body.read_int32(), body.read_int32())
                return False
            if code == wire.PROTOCOL_VERSION:
                break
            self.writer.write(b"N")  # neither TLS nor GSS is supported
        parameters: dict[str, str] = {}
        while body.has_more and (name := body.read_text()):
            parameters[name] = body.read_text()
        if self.server.login is not None and not await self.log_in(parameters.get("user", "")):
            return False
        self.writer.write(
            wire.authentication_request(0)
            + wire.parameter_status("server_version", "15.0 (stand-in)")
            + wire.parameter_status("client_encoding", "UTF8")
            + wire.parameter_status("standard_conforming_strings", "on")
            + wire.parameter_status("integer_datetimes", "on")
            + wire.parameter_status("TimeZone", "UTC")
            + wire.encode_message(b"K", struct.pack(">ii", self.number, self.key))
            + wire.ready_for_query("I")
        )
        return True

    async def log_in(self, user: str) -> bool:
        """Authenticates with SCRAM-SHA-256 (RFC 7677); returns whether the password is right."""
        exchange = self.server.mechanism.make_server(lambda _: self.server.login)
        self.writer.write(wire.authentication_request(10, b"SCRAM-SHA-256\0\0"))
        try:
            first = wire.MessageReader(await self.read_password_message())
            first.read_text()
            exchange.set_client_first(first.read_bytes(first.read_int32()).decode())
            self.writer.write(wire.authentication_request(11, exchange.get_server_first().encode()))
            exchange.set_client_final((await self.read_password_message()).decode())
            self.writer.write(wire.authentication_request(12, exchange.get_server_final().encode()))
            return True
        except scramp.ScramException:
            self.writer.write(
                wire.error_response(
                    "28P01", f'password authentication failed for user "{user}"', "FATAL"
                )
            )
            await self.writer.drain()
            return False

    async def read_password_message(self) -> bytes:
        """Reads a message of the authentication; returns its body.

        Raises:
            MalformedMessageError: The message has another type or is too large.
        """
        kind, size = struct.unpack(">ci", await self.reader.readexactly(5))
        if kind != b"p" or not 4 <= size <= 10_000:
            raise wire.MalformedMessageError(f"no password message: type {kind!r}, length {size}")
        return await self.reader.readexactly(size - 4)

    # Methods that handle messages.

    def handle_cancelled(self, kind: bytes) -> None:
        """Handles a message of a cancelled statement; all are skipped up to the next Sync.

        Skipping only the statement's first message is not enough: the further messages that the
        client had sent would hang in turn.
        """
        if not self.is_skipping:
            self.is_skipping = True
            self.status = "E" if self.status == "T" else self.status
            self.writer.write(
                wire.error_response("57014", "canceling statement due to user request")
            )
        if kind in (b"S", b"Q"):
            self.is_skipping = self.is_cancelled = False
            self.writer.write(wire.ready_for_query(self.status))

    async def handle_message(self, kind: bytes, body: wire.MessageReader) -> None:
        """Handles one message; answers a failed statement with its error."""
        if kind == b"S":
            self.is_skipping = False
            self.writer.write(wire.ready_for_query(self.status))
            return
        if self.is_skipping:
            return
        try:
            match kind:
                case b"Q":
                    await self.handle_query(body.read_text())
                case b"P":
                    self.handle_parse(body)
                case b"B":
                    self.handle_bind(body)
                case b"D":
                    self.handle_describe(body)
                case b"E":
                    await self.handle_execute(body)
                case b"C":
                    (self.statements if body.read_bytes(1) == b"S" else self.portals).pop(
                        body.read_text(), None
                    )
                    self.writer.write(wire.encode_message(b"3"))
                case b"H":
                    pass
                case _:
                    raise SqlError("08P01", f"message type {kind!r} is not supported")
        except (SqlError, sqlite3.Error) as error:
            sqlstate = error.sqlstate if isinstance(error, SqlError) else "XX000"
            if self.status == "T":
                self.status = "E"
            self.is_skipping = kind != b"Q"
            self.writer.write(
                wire.error_response(sqlstate, str(error))
                + (wire.ready_for_query(self.status) if kind == b"Q" else b"")
            )

    async def handle_query(self, sql: str) -> None:
        """Handles Query: runs the statements of one text."""
        for statement_sql in filter(None, (part.strip() for part in sql.split(";"))):
            statement = self.prepare(statement_sql)
            rows, tag = await self.run_statement(statement, [])
            if statement.columns:
                self.writer.write(wire.row_description(statement.columns))
            self.send_rows(rows, statement.columns, [False] * len(statement.columns))
            self.writer.write(wire.encode_message(b"C", wire.encode_text(tag)))
        self.writer.write(wire.ready_for_query(self.status))

    def handle_parse(self, body: wire.MessageReader) -> None:
        """Handles Parse: prepares a statement."""
        name, sql = body.read_text(), body.read_text()
        self.statements[name] = self.prepare(sql)
        self.writer.write(wire.encode_message(b"1"))

    def handle_bind(self, body: wire.MessageReader) -> None:
        """Handles Bind: binds a statement to parameter values.

        Raises:
            SqlError: The statement does not exist, or has another number of parameters.
        """
        portal, name = body.read_text(), body.read_text()
        statement = self.statements.get(name)
        if statement is None:
            raise SqlError("26000", f'prepared statement "{name}" does not exist')
        parameter_formats = wire.expand_formats(
            [body.read_int16() for _ in range(body.read_int16())], len(statement.oids)
        )
        count = body.read_int16()
        if count != len(statement.oids):
            raise SqlError(
                "08P01", f"{count} parameters where the statement has {len(statement.oids)}"
            )
        raw: list[bytes | None] = []
        for _ in range(count):
            size = body.read_int32()
            raw.append(None if size < 0 else body.read_bytes(size))
        result_formats = wire.expand_formats(
            [body.read_int16() for _ in range(body.read_int16())], len(statement.columns)
        )
        values = [
            wire.decode_value(*parameter)
            for parameter in zip(raw, statement.oids, parameter_formats, strict=True)
        ]
        self.portals[portal] = Portal(statement, values, result_formats)
        self.writer.write(wire.encode_message(b"2"))

    def handle_describe(self, body: wire.MessageReader) -> None:
        """Handles Describe of a statement or a portal.

        Raises:
            SqlError: The statement does not exist.
        """
        kind, name = body.read_bytes(1), body.read_text()
        if kind == b"S":
            statement = self.statements.get(name)
            if statement is None:
                raise SqlError("26000", f'prepared statement "{name}" does not exist')
            self.writer.write(
                wire.parameter_description(statement.oids) + wire.row_description(statement.columns)
            )
        else:
            self.writer.write(wire.row_description(self.portals[name].statement.columns))

    async def handle_execute(self, body: wire.MessageReader) -> None:
        """Handles Execute: runs a portal and sends all its rows."""
        portal = self.portals[body.read_text()]
        rows, tag = await self.run_statement(portal.statement, portal.values)
        self.send_rows(rows, portal.statement.columns, portal.formats)
        self.writer.write(wire.encode_message(b"C", wire.encode_text(tag)))

    def send_rows(
        self, rows: list[tuple[object, ...]], columns: list[tuple[str, int]], formats: list[bool]
    ) -> None:
        """Sends the rows of a result."""
        for row in rows:
            self.writer.write(wire.data_row(row, columns, formats))

    # Methods that run SQL.

    def prepare(self, sql: str) -> Statement:
        """Returns a statement with its SQL changed for SQLite, and the types of its parameters."""
        types = {
            int(number): wire.OID_BY_TYPE.get(kind or "text", wire.TEXT_OID)
            for number, kind in PARAMETER_PATTERN.findall(sql)
        }
        oids = [types[number] for number in sorted(types)]
        sqlite_sql = (
            PARAMETER_PATTERN.sub(r"?\1", sql).replace(" FOR SHARE", "").replace("::bigint", "")
        )
        return Statement(sqlite_sql, oids, self.find_columns(sqlite_sql))

    def find_columns(self, sql: str) -> list[tuple[str, int]]:
        """Returns name and type of each column that a statement returns, derived from its SQL."""
        command = sql.split(None, 1)[0].upper() if sql else ""
        if command == "SELECT":
            names = re.split(r"\bFROM\b", sql[6:], maxsplit=1)[0]
        elif " RETURNING " in sql:
            names = sql.split(" RETURNING ", 1)[1]
        else:
            return []
        columns = []
        for part in names.split(","):
            name = part.split(" AS ")[-1].strip().split("(")[0].split(".")[-1].strip()
            oid = (
                wire.INT8_OID
                if name in BIGINT_COLUMNS
                else wire.BYTEA_OID
                if name in BYTEA_COLUMNS
                else wire.TEXT_OID
            )
            columns.append((name, wire.VOID_OID if name.startswith("pg_advisory") else oid))
        return columns

    async def run_statement(
        self, statement: Statement, values: list[object]
    ) -> tuple[list[tuple[object, ...]], str]:
        """Runs a statement; returns its rows and its command tag.

        Raises:
            SqlError: The statement fails.
            ConnectionResetError: The connection was reset, as an injected fault.
        """
        sql, faults = statement.sql, self.server.faults
        command = sql.split(None, 1)[0].upper() if sql else ""
        if command in ("BEGIN", "START"):
            if self.status == "I":
                self.status = "T"
            return [], "BEGIN"
        if command == "COMMIT":
            return [], await self.commit()
        if command == "ROLLBACK":
            self.roll_back()
            return [], "ROLLBACK"
        if self.status == "E":
            raise SqlError(
                "25P02",
                "current transaction is aborted, commands ignored until end of transaction block",
            )
        if sql.startswith("SELECT pg_advisory"):
            await self.acquire_write_lock()
            return [("",)], "SELECT 1"
        if command in ("SET", "RESET", "SHOW", "LISTEN", "UNLISTEN"):
            return [], command
        if command in WRITE_COMMANDS and faults.write_errors:
            raise SqlError(faults.write_errors.pop(0), "injected error")
        is_autocommit = self.status == "I"
        if command in WRITE_COMMANDS or not is_autocommit:
            await self.acquire_write_lock()
        try:
            db = self.server.db if self.has_write_lock else self.server.read_db
            cursor = db.execute(sql, values)
            rows = cursor.fetchall()
            self.server.executed[sql] += 1
        except sqlite3.IntegrityError as error:
            raise SqlError("23505", str(error)) from error
        except sqlite3.OperationalError as error:
            raise SqlError("42601", str(error)) from error
        if is_autocommit and self.has_write_lock:
            await self.commit()
        count = len(rows) if command == "SELECT" else max(0, cursor.rowcount)
        return rows, f"INSERT 0 {count}" if command == "INSERT" else f"{command} {count}"

    async def acquire_write_lock(self) -> None:
        """Waits for the write lock and begins a transaction, if the session does not have it."""
        if not self.has_write_lock:
            await self.server.lock.acquire()
            self.has_write_lock = True
            self.server.db.execute("BEGIN IMMEDIATE")

    async def commit(self) -> str:
        """Commits the transaction, with the injected faults; returns the command tag.

        Raises:
            SqlError: The commit fails, as an injected fault.
            ConnectionResetError: The connection was reset, as an injected fault.
        """
        faults = self.server.faults
        if self.status == "E":
            self.roll_back()
            return "ROLLBACK"
        if self.has_write_lock:
            if faults.commit_delay_s:
                await asyncio.sleep(faults.commit_delay_s)
            if faults.commit_errors:
                sqlstate = faults.commit_errors.pop(0)
                self.roll_back()
                raise SqlError(sqlstate, "injected error at commit")
            if faults.reset_before_commit > 0:
                faults.reset_before_commit -= 1
                self.roll_back()
                self.reset()
                raise ConnectionResetError
            self.server.db.execute("COMMIT")
            self.has_write_lock = False
            self.server.lock.release()
            self.server.commits += 1
            if self.server.on_commit is not None:
                self.server.on_commit()
            if faults.reset_after_commit > 0:
                faults.reset_after_commit -= 1
                self.reset()
                raise ConnectionResetError
        self.status = "I"
        return "COMMIT"

    def roll_back(self) -> None:
        """Rolls the transaction back and releases the write lock."""
        self.status = "I"
        if self.has_write_lock:
            self.has_write_lock = False
            self.server.db.execute("ROLLBACK")
            self.server.lock.release()


async def main(folder: str, port: str = "0", password: str = "") -> None:
    """Runs the server until it is killed, and prints its address."""
    server = await Postgres(Path(folder), password).start(f"127.0.0.1:{port}")
    print(f"listening {server.address}", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    try:
        asyncio.run(main(*sys.argv[1:4]))
    except KeyboardInterrupt:
        pass
