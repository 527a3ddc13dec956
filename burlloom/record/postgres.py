"""A store in PostgreSQL, shared by several nodes; through asyncpg.

One connection writes: what is posted while a transaction is on its way goes into the next one
together. Each transaction first locks its node's row for sharing, so that a fence or a newer life
either comes before it, and it writes nothing, or waits for it. What a lost connection means is told
by how far the transaction had come.
"""

import asyncio
import logging
from collections import Counter, deque
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager
from typing import Any

import asyncpg

from . import failpoints as points
from . import schema
from .authentication import RowAuthenticator
from .recovery_rules import TransactionStage, classify_broken_transaction
from .request_lifecycle import RequestEvent
from .rows import (
    KEY_DIGEST_BYTES,
    ROW_STARTED,
    RecordRow,
    RecordWrite,
    WriteKind,
    WriteResult,
    of_finish,
    of_withdraw,
    result_of_unapplied_write,
)
from .store import StoreRefusedError, StoreSession, VerdictCallback, WriteCallback, deliver

log = logging.getLogger(__name__)

BATCH_MOST = 128
AGAIN_LEAST, AGAIN_MOST = 0.05, 2.0  # s between tries to connect
LOOK_EVERY = 1.0  # s between looks for verdicts and rows to be given up
PRUNE_ROWS = 2_000
ENTRY = KEY_DIGEST_BYTES + 8  # a mark read back, and the end of its window
LOCK = 0x6275726C6F6F  # "burloo": the advisory lock under which the tables are changed
COLUMNS = "mark, state, node, life, turn, id, at, until, result, seal"
ROW = (
    "$1::bytea, $2::bigint, $3::text, $4::bigint, $5::bigint, $6::text, $7::bigint, $8::bigint, $9::bytea,"
    " $10::bytea"
)
CLAIM = (
    f"INSERT INTO fate ({COLUMNS}) VALUES ({ROW}) ON CONFLICT (mark) DO UPDATE SET"
    " turn = excluded.turn, id = excluded.id, at = excluded.at, until = excluded.until, seal = excluded.seal"
    f" WHERE fate.state = {ROW_STARTED} AND fate.node = excluded.node AND fate.life = excluded.life"
    " AND fate.turn <= excluded.turn RETURNING mark"
)
INSERT = f"INSERT INTO fate ({COLUMNS}) VALUES ({ROW}) ON CONFLICT (mark) DO NOTHING RETURNING mark"
FINISH = (
    "UPDATE fate SET state = $1::bigint, result = $2::bytea, seal = $3::bytea WHERE mark = $4::bytea AND"
    f" node = $5::text AND life = $6::bigint AND turn = $7::bigint AND state = {ROW_STARTED} RETURNING mark"
)
WITHDRAW = (
    "DELETE FROM fate WHERE mark = $1::bytea AND node = $2::text AND life = $3::bigint AND"
    f" turn = $4::bigint AND state = {ROW_STARTED} RETURNING mark"
)
LOOK = f"SELECT {COLUMNS} FROM fate WHERE mark = $1::bytea"
PRESENT = "SELECT life, fenced FROM node WHERE name = $1::text FOR SHARE"
LIVES = "SELECT name, life, fenced FROM node"
BIRTH = (
    "INSERT INTO node (name, life, fenced) VALUES ($1::text, 1, 0) ON CONFLICT (name) DO UPDATE SET"
    " life = node.life + 1 RETURNING life, fenced, note"
)
KNOWN = (
    "SELECT mark, until FROM fate WHERE node = $1::text AND until > $2::bigint AND mark > $3::bytea"
    " ORDER BY mark LIMIT $4::bigint"
)
NOTE = "UPDATE node SET note = $1::text WHERE name = $2::text AND life = $3::bigint"
PAGE = 10_000  # marks that are read back at a time, some 100 bytes each until they are packed
OPEN = f"SELECT {COLUMNS} FROM fate WHERE node = $1::text AND until > $2::bigint AND state = {ROW_STARTED}"
PRUNE = (
    "DELETE FROM fate WHERE mark IN (SELECT mark FROM fate WHERE until <= $1::bigint LIMIT"
    f" {PRUNE_ROWS}) RETURNING mark"
)
VERDICTS = "SELECT mark, life, turn, ran FROM verdict"
VERSION = "SELECT version FROM burlloom_schema"
ORDER = {
    WriteKind.CLAIM: 0,
    WriteKind.INSERT: 1,
    WriteKind.FINISH: 2,
    WriteKind.WITHDRAW: 3,
    WriteKind.LOOK: 4,
    WriteKind.FIND: 4,
}
CONNECTION_ERRORS = (
    OSError,
    asyncpg.InterfaceError,
    asyncpg.PostgresConnectionError,
    asyncio.TimeoutError,
    EOFError,
)


def row_of(record: Any) -> RecordRow:
    return RecordRow(*record)


class PostgresStore:
    def __init__(
        self,
        address: tuple[str, int],
        database: str,
        user: str,
        password: str,
        sealer: RowAuthenticator,
        node: str,
        *,
        connect: float = 2.0,
        hang: float = 5.0,
        batch: int = BATCH_MOST,
        keep: int = 0,
        clock: Callable[[], int],
    ) -> None:
        """`connect`, `hang`: s until a connection is not to be had, or one that says nothing is
        given up.
        """
        self.address, self.database, self.user, self.password = address, database, user, password
        self.authenticator, self.node, self.connect_for, self.hang = sealer, node, connect, hang
        self.batch, self.keep, self.clock = batch, keep, clock
        self.incarnation = 0
        self.connection: Any = None
        self.posted: deque[tuple[RecordWrite, WriteCallback] | Callable[[bool], None]] = deque()
        self.wake = asyncio.Event()
        self.stopping = False
        self.worker: asyncio.Task[None] | None = None
        self.on_verdict: VerdictCallback | None = None
        self.known_raw, self.page = bytearray(), PAGE
        self.begun_rows: list[RecordRow] = []
        self.commit_count = self.write_count = self.largest_batch = self.pruned_rows = (
            self.connects
        ) = 0
        self.look_at = 0.0
        self.noted: str | None = None

    # Opening.

    async def connect(self) -> Any:
        host, port = self.address
        return await asyncpg.connect(
            host=host,
            port=port,
            database=self.database,
            user=self.user,
            password=self.password or None,
            timeout=self.connect_for,
            command_timeout=self.hang,
            ssl=False,
        )

    async def open(self) -> StoreSession:
        where = f"{self.address[0]}:{self.address[1]}/{self.database}"
        try:
            self.connection = await self.connect()
            self.connects += 1
            migrated = await self.migrate(where)
            async with self.connection.transaction():
                ((life, fenced, note),) = await self.connection.fetch(BIRTH, self.node)
                if fenced:
                    raise StoreRefusedError(
                        f"{where}: node {self.node} was fenced off by an operator; `burlloom record unfence"
                        f" {self.node}` lets it back in"
                    )
                since = self.clock() - self.keep
                await self.read_marks(since)
                self.begun_rows = [
                    row_of(row) for row in await self.connection.fetch(OPEN, self.node, since)
                ]
            self.incarnation = life
        except StoreRefusedError:
            await self.disconnect()
            raise
        except (*CONNECTION_ERRORS, asyncpg.PostgresError) as error:
            await self.disconnect()
            raise StoreRefusedError(f"{where}: {str(error) or type(error).__name__}") from error
        return StoreSession(self.node, self.incarnation, 0, migrated, previous_notice=note)

    async def migrate(self, where: str) -> tuple[int, ...]:
        link = self.connection
        async with link.transaction():
            await link.fetch("SELECT pg_advisory_xact_lock($1::bigint)", LOCK)
            await link.execute(
                "CREATE TABLE IF NOT EXISTS burlloom_schema (version BIGINT PRIMARY KEY)"
            )
            have = max((row[0] for row in await link.fetch(VERSION)), default=0)
            if have > schema.LATEST:
                raise StoreRefusedError(
                    f"{where}: schema {have} is newer than {schema.LATEST}, the newest this program knows;"
                    " start the newer program"
                )
            taken = schema.steps(have, schema.POSTGRES)
            for number in taken:
                for statement in schema.POSTGRES[number]:
                    await link.execute(statement)
                await link.fetch(
                    "INSERT INTO burlloom_schema (version) VALUES ($1::bigint) RETURNING version",
                    number,
                )
        return tuple(taken)

    async def read_marks(self, since: int) -> None:
        """By pages along their order, each packed before the next is asked for: 24 bytes a mark at
        the most.
        """
        last = b""
        self.known_raw.clear()
        while page := await self.connection.fetch(KNOWN, self.node, since, last, self.page):
            self.known_raw += b"".join(mark + until.to_bytes(8, "big") for mark, until in page)
            last = page[-1][0]
            if len(page) < self.page:
                break

    def read_recorded_keys(self, now: int) -> Iterator[list[tuple[bytes, int]]]:
        raw = bytes(self.known_raw)
        self.known_raw.clear()
        for start in range(0, len(raw), ENTRY * self.page):
            part = raw[start : start + ENTRY * self.page]
            yield [
                (
                    part[at : at + KEY_DIGEST_BYTES],
                    int.from_bytes(part[at + KEY_DIGEST_BYTES : at + ENTRY], "big"),
                )
                for at in range(0, len(part), ENTRY)
            ]

    def read_started_rows(self, now: int) -> Iterator[RecordRow]:
        yield from self.begun_rows
        self.begun_rows = []

    async def start(self) -> None:
        self.worker = asyncio.get_running_loop().create_task(self.work(), name="record")

    # On the loop.

    def submit(self, write: RecordWrite, done: WriteCallback) -> None:
        self.posted.append((write, done))
        self.wake.set()

    def probe(self, now: int, done: Callable[[bool], None]) -> None:
        self.posted.append(done)
        self.wake.set()

    def save_notice(self, text: str) -> None:
        self.noted = text
        self.wake.set()

    async def close(self) -> None:
        self.stopping = True
        self.wake.set()
        if self.worker is not None:
            await asyncio.wait({self.worker}, timeout=2.0)
            self.worker.cancel()
        await self.disconnect()

    async def disconnect(self) -> None:
        link, self.connection = self.connection, None
        if link is not None:
            link.terminate()

    async def work(self) -> None:
        again = AGAIN_LEAST
        while not (self.stopping and not self.posted):
            try:
                async with asyncio.timeout(LOOK_EVERY):
                    await self.wake.wait()
            except TimeoutError:
                pass
            self.wake.clear()
            try:
                if self.connection is None or self.connection.is_closed():
                    self.connection = await self.connect()
                    self.connects += 1
                    log.info("event=record-connected address=%s:%d", *self.address)
                again = AGAIN_LEAST
                while self.posted:
                    await self.one()
                if self.noted is not None:
                    text, self.noted = self.noted, None
                    await self.connection.execute(NOTE, text, self.node, self.incarnation)
                await self.look_round()
            except (*CONNECTION_ERRORS, asyncpg.PostgresError) as error:
                await self.disconnect()
                self.fail_posted()
                log.warning(
                    "event=record-unreached address=%s:%d detail=%r",
                    *self.address,
                    str(error) or type(error).__name__,
                )
                if not self.stopping:
                    await asyncio.sleep(again)
                    again = min(AGAIN_MOST, 2 * again)
                self.fail_posted()

    def fail_posted(self) -> None:
        """Nobody is there: what was not said to anyone surely did not take hold."""
        posted, self.posted = self.posted, deque()
        for one in posted:
            if isinstance(one, tuple):
                deliver([one], [WriteResult(RequestEvent.WRITE_FAILED)])
            else:
                one(False)

    async def one(self) -> None:
        first = self.posted.popleft()
        if not isinstance(first, tuple):
            try:
                async with self.transaction([]) as link:
                    await link.execute(
                        "UPDATE node SET life = life WHERE name = $1::text", self.node
                    )
            except BaseException:
                first(False)
                raise
            first(True)
            return
        batch = [first]
        while self.posted and len(batch) < self.batch and isinstance(self.posted[0], tuple):
            batch.append(self.posted.popleft())  # type: ignore[arg-type]
        await self.commit(batch)

    @asynccontextmanager
    async def transaction(self, stage: list[TransactionStage]) -> AsyncIterator[Any]:
        """Says in `stage` how far it came."""
        stage.append(TransactionStage.BEFORE)
        link = self.connection
        await link.execute("BEGIN")
        try:
            yield link
            stage.append(TransactionStage.COMMITTING)
            await link.execute("COMMIT")
            stage.append(TransactionStage.DONE)
        except asyncpg.PostgresError:
            if not link.is_closed():
                await link.execute("ROLLBACK")
            raise

    async def commit(self, batch: list[tuple[RecordWrite, WriteCallback]]) -> None:
        # Rows are touched in one order by all nodes: two that want the same ones do not wait for
        # each other.
        order = sorted(
            range(len(batch)),
            key=lambda at: (ORDER[batch[at][0].kind], batch[at][0].row.key_digest),
        )
        stage: list[TransactionStage] = []
        words: dict[int, WriteResult] = {}
        trouble: BaseException | None = None
        try:
            async with self.transaction(stage) as link:
                words = await self.apply(link, batch, order)
                self.moment(batch, "commit")
        except (*CONNECTION_ERRORS, asyncpg.PostgresError, asyncio.CancelledError) as error:
            trouble = error
            code = (
                getattr(error, "sqlstate", None)
                if isinstance(error, asyncpg.PostgresError)
                else None
            )
            how = classify_broken_transaction(stage[-1] if stage else TransactionStage.BEFORE, code)
            words = dict.fromkeys(range(len(batch)), WriteResult(how))
            log.warning(
                "event=record-write-failed count=%d how=%s detail=%r",
                len(batch),
                how.name,
                str(error) or type(error).__name__,
            )
        self.moment(batch, "durable")
        self.commit_count += 1
        self.write_count += len(batch)
        self.largest_batch = max(self.largest_batch, len(batch))
        deliver(batch, [words[at] for at in range(len(batch))])
        if trouble is not None and not (
            isinstance(trouble, asyncpg.PostgresError)
            and self.connection is not None
            and not self.connection.is_closed()
        ):
            raise trouble

    def moment(self, batch: list[tuple[RecordWrite, WriteCallback]], name: str) -> None:
        points.hit_for_batch({write.kind.name.lower() for write, _ in batch}, name)

    async def apply(
        self, link: Any, batch: list[tuple[RecordWrite, WriteCallback]], order: list[int]
    ) -> dict[int, WriteResult]:
        present = await link.fetch(PRESENT, self.node)
        if not present or (present[0][0], present[0][1]) != (self.incarnation, 0):
            log.error("event=record-fenced node=%s life=%d", self.node, self.incarnation)
            return dict.fromkeys(order, WriteResult(RequestEvent.FENCED))
        words: dict[int, WriteResult] = {}
        left: list[int] = []
        for kind, sql, arguments in (
            (WriteKind.CLAIM, CLAIM, tuple),
            (WriteKind.INSERT, INSERT, tuple),
            (WriteKind.FINISH, FINISH, of_finish),
            (WriteKind.WITHDRAW, WITHDRAW, of_withdraw),
        ):
            these = [at for at in order if batch[at][0].kind is kind]
            if not these:
                continue
            # Each is a statement of its own, in one round trip; a row comes back for each that took
            # hold.
            found = await self.many(link, sql, [arguments(batch[at][0].row) for at in these])
            for at, held in zip(these, found, strict=True):
                if held:
                    words[at] = WriteResult(RequestEvent.WRITE_APPLIED)
                else:
                    left.append(at)
        left += [at for at in order if batch[at][0].kind in (WriteKind.LOOK, WriteKind.FIND)]
        if left:
            lives = {name: (life, bool(fenced)) for name, life, fenced in await link.fetch(LIVES)}
            for at in left:
                words[at] = self.word(
                    batch[at][0], await link.fetch(LOOK, batch[at][0].row.key_digest), lives
                )
        return words

    @staticmethod
    async def many(link: Any, sql: str, arguments: list[Any]) -> list[bool]:
        """Which of them took hold, told by the marks that come back.

        Two of one kind on one mark in a batch are turns of ours: whichever of them took hold, the
        other's row is gone or ours, which says the same to both.
        """
        held = Counter(row[0] for row in await link.fetchmany(sql, arguments))
        found = []
        for one in arguments:
            mark = next(
                part for part in one if isinstance(part, bytes) and len(part) == KEY_DIGEST_BYTES
            )
            found.append(held[mark] > 0)
            held[mark] -= 1
        return found

    def word(
        self, write: RecordWrite, there: list[Any], lives: dict[str, tuple[int, bool]]
    ) -> WriteResult:
        row, found = write.row, row_of(there[0]) if there else None
        sound = found is None or self.authenticator.is_authentic(found)
        if not sound:
            log.error("event=record-altered mark=%s", row.key_digest.hex())
        return result_of_unapplied_write(write, found, lives, sound)

    async def look_round(self) -> None:
        """Now and then: what an operator said, and rows whose window is long over."""
        now = asyncio.get_running_loop().time()
        if now < self.look_at:
            return
        self.look_at = now + LOOK_EVERY
        if self.on_verdict is not None:
            for mark, life, turn, ran in await self.connection.fetch(VERDICTS):
                self.on_verdict(mark, life, turn, bool(ran))
        self.pruned_rows += len(await self.connection.fetch(PRUNE, self.clock() - self.keep))
