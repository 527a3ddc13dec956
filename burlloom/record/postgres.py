"""A store in PostgreSQL that several nodes share, through asyncpg.

One connection writes. Writes submitted during a transaction are batched into the next one. Each
transaction first takes a share lock on its node's row. A fence or a newer incarnation is therefore
either committed before the transaction, which then writes nothing, or waits for its end. If the
connection is lost, the outcome of the writes follows from how far the transaction had progressed.
"""

import asyncio
import contextlib
import logging
from collections import Counter, deque
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager
from typing import Any

import asyncpg

from . import postgres_statements as sql
from .authentication import RowAuthenticator
from .broken_transaction import TransactionStage, classify_broken_transaction
from .postgres_database import CONNECTION_ERRORS, PostgresDatabase, describe_error, migrate
from .request_lifecycle import RequestEvent
from .rows import KEY_DIGEST_BYTES, NodeIncarnation, RecordRow, RecordWrite, WriteKind, WriteResult
from .store import (
    PendingWrite,
    ProbeCallback,
    RecordStore,
    StoreRefusedError,
    StoreSession,
    WriteCallback,
    deliver_results,
    take_batch,
)

__all__ = ["PostgresStore", "read_incarnations"]

log = logging.getLogger(__name__)

MAX_BATCH_WRITES = 128  # writes in one transaction
MIN_RECONNECT_PAUSE_S = 0.05
MAX_RECONNECT_PAUSE_S = 2.0  # the pause doubles with each failed attempt up to this
MAINTENANCE_INTERVAL_S = 1.0  # between reads of verdicts and deletions of expired rows
CLOSE_TIMEOUT_S = 2.0  # after it `close` cancels the writer task
PACKED_TIME_BYTES = 8
PACKED_KEY_BYTES = KEY_DIGEST_BYTES + PACKED_TIME_BYTES
KEYS_PER_PAGE = 10_000  # keys per SELECT at startup; about 100 bytes each until packed
# Order in which a batch locks its rows, by kind and then by key; the same at all nodes.
LOCK_ORDER = {
    WriteKind.CLAIM: 0,
    WriteKind.INSERT: 1,
    WriteKind.FINISH: 2,
    WriteKind.WITHDRAW: 3,
    WriteKind.LOOK: 4,
    WriteKind.FIND: 4,
}


class PostgresStore(RecordStore):
    """One node's connection to a record that several nodes share.

    Attributes:
        database: The database that holds the record.
        clock: Returns the wall-clock time in nanoseconds.
        connection: The connection; None while disconnected.
        connection_count: The number of connections made since the start.
        keys_per_page: The maximum number of keys in one page that `open` reads.
    """

    def __init__(
        self,
        database: PostgresDatabase,
        authenticator: RowAuthenticator,
        node: str,
        *,
        clock: Callable[[], int],
        max_batch: int = MAX_BATCH_WRITES,
        retention_ns: int = 0,
    ) -> None:
        """Creates a store that is not yet connected.

        Args:
            database: The database that holds the record.
            authenticator: Computes and checks the rows' MACs.
            node: The name of this node.
            clock: Returns the wall-clock time in nanoseconds.
            max_batch: The maximum number of writes in one transaction.
            retention_ns: How long a row is kept after the end of its window, nanoseconds.
        """
        super().__init__(node, authenticator, max_batch, retention_ns)
        self.database = database
        self.clock = clock
        self.connection: Any = None
        self.connection_count = 0
        self.keys_per_page = KEYS_PER_PAGE
        self._queue: deque[PendingWrite | ProbeCallback] = deque()
        self._wake = asyncio.Event()
        self._is_stopping = False
        self._writer: asyncio.Task[None] | None = None
        self._packed_keys = bytearray()
        self._started_rows: list[RecordRow] = []
        self._next_maintenance_s = 0.0
        self._unsaved_notice: str | None = None

    # Opening the store.

    async def open(self) -> StoreSession:
        """Connects, applies pending schema steps, and starts an incarnation.

        Raises:
            StoreRefusedError: The database can't be used, or this node is fenced.
        """
        place = self.database.place
        try:
            await self._connect()
            migrated = await migrate(self.connection, place)
            async with self.connection.transaction():
                notice = await self._begin_incarnation(place)
        except StoreRefusedError:
            await self.disconnect()
            raise
        except (*CONNECTION_ERRORS, asyncpg.PostgresError) as error:
            await self.disconnect()
            raise StoreRefusedError(describe_error(error), place=place) from error
        return StoreSession(self.node, self.incarnation, 0, migrated, previous_notice=notice)

    async def _connect(self) -> None:
        self.connection = await self.database.connect()
        self.connection_count += 1

    async def _begin_incarnation(self, place: str) -> str:
        """Starts an incarnation, reads the rows of earlier ones, and returns the last notice."""
        rows = await self.connection.fetch(sql.BEGIN_INCARNATION, self.node)
        ((incarnation, is_fenced, notice),) = rows
        if is_fenced:
            raise StoreRefusedError(
                f"node {self.node} was fenced off by an operator; `burlloom record unfence"
                f" {self.node}` lets it back in",
                place=place,
            )
        since_ns = self.clock() - self.retention_ns
        await self._read_keys(since_ns)
        started = await self.connection.fetch(sql.SELECT_STARTED, self.node, since_ns)
        self._started_rows = [RecordRow(*row) for row in started]
        self.incarnation = incarnation
        return str(notice)

    async def _read_keys(self, since_ns: int) -> None:
        """Reads keys page by page in key order, packing each page to 24 bytes a key."""
        last_key_digest = b""
        self._packed_keys.clear()
        while page := await self.connection.fetch(
            sql.SELECT_KEYS, self.node, since_ns, last_key_digest, self.keys_per_page
        ):
            self._packed_keys += b"".join(
                key_digest + expires_at_ns.to_bytes(PACKED_TIME_BYTES, "big")
                for key_digest, expires_at_ns in page
            )
            last_key_digest = page[-1][0]
            if len(page) < self.keys_per_page:
                break

    def read_recorded_keys(self, now_ns: int) -> Iterator[list[tuple[bytes, int]]]:
        """Yields batches of key digest and window end of this node's rows, as read by `open`."""
        packed = bytes(self._packed_keys)
        self._packed_keys.clear()
        page_bytes = PACKED_KEY_BYTES * self.keys_per_page
        for start in range(0, len(packed), page_bytes):
            yield unpack_keys(packed[start : start + page_bytes])

    def read_started_rows(self, now_ns: int) -> Iterator[RecordRow]:
        """Yields this node's rows of unfinished runs, of any incarnation, as read by `open`."""
        yield from self._started_rows
        self._started_rows = []

    async def start(self) -> None:
        """Starts the writer task."""
        self._writer = asyncio.get_running_loop().create_task(self._run(), name="record")

    def submit(self, write: RecordWrite, callback: WriteCallback) -> None:
        """Queues a write; the callback receives its result."""
        self._queue.append((write, callback))
        self._wake.set()

    def probe(self, callback: ProbeCallback) -> None:
        """Queues a probe commit; the callback receives whether it succeeded."""
        self._queue.append(callback)
        self._wake.set()

    def save_notice(self, text: str) -> None:
        """Saves a notice for this node's next incarnation as soon as the store accepts it."""
        self._unsaved_notice = text
        self._wake.set()

    async def close(self) -> None:
        """Writes what was submitted and disconnects; a hanging store is abandoned after 2 s."""
        self._is_stopping = True
        self._wake.set()
        if self._writer is not None:
            await asyncio.wait({self._writer}, timeout=CLOSE_TIMEOUT_S)
            self._writer.cancel()
        await self.disconnect()

    async def disconnect(self) -> None:
        """Terminates the connection immediately."""
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.terminate()

    # The writer task.

    async def _run(self) -> None:
        pause_s = MIN_RECONNECT_PAUSE_S
        while not (self._is_stopping and not self._queue):
            await self._wait_for_work()
            try:
                if self.connection is None or self.connection.is_closed():
                    await self._connect()
                    log.info("event=record_connected address=%s", self._address)
                pause_s = MIN_RECONNECT_PAUSE_S
                await self._process_queue()
            except (*CONNECTION_ERRORS, asyncpg.PostgresError) as error:
                await self.disconnect()
                self._fail_pending()
                log.warning(
                    "event=record_unreachable address=%s error=%r",
                    self._address,
                    describe_error(error),
                )
                if not self._is_stopping:
                    await asyncio.sleep(pause_s)
                    pause_s = min(MAX_RECONNECT_PAUSE_S, 2 * pause_s)
                self._fail_pending()

    @property
    def _address(self) -> str:
        return f"{self.database.host}:{self.database.port}"

    async def _wait_for_work(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MAINTENANCE_INTERVAL_S):
                await self._wake.wait()
        self._wake.clear()

    async def _process_queue(self) -> None:
        while self._queue:
            item = self._queue.popleft()
            if isinstance(item, tuple):
                await self._commit(take_batch(item, self._queue, self.max_batch))
            else:
                await self._probe(item)
        if self._unsaved_notice is not None:
            text, self._unsaved_notice = self._unsaved_notice, None
            await self.connection.execute(sql.UPDATE_NOTICE, text, self.node, self.incarnation)
        await self._maintain()

    def _fail_pending(self) -> None:
        """Fails the queued writes, which were never sent and so certainly did not take effect."""
        pending, self._queue = self._queue, deque()
        for item in pending:
            if isinstance(item, tuple):
                deliver_results([item], [WriteResult(RequestEvent.WRITE_FAILED)])
            else:
                item(False)

    async def _probe(self, callback: ProbeCallback) -> None:
        try:
            async with self._transaction([]) as connection:
                await connection.execute(sql.PROBE, self.node)
        except BaseException:
            callback(False)
            raise
        callback(True)

    @asynccontextmanager
    async def _transaction(self, stages: list[TransactionStage]) -> AsyncIterator[Any]:
        """Runs a transaction and appends each stage that it reaches to `stages`."""
        stages.append(TransactionStage.BEFORE_COMMIT)
        connection = self.connection
        await connection.execute("BEGIN")
        try:
            yield connection
            stages.append(TransactionStage.COMMITTING)
            await connection.execute("COMMIT")
            stages.append(TransactionStage.COMMITTED)
        except asyncpg.PostgresError:
            if not connection.is_closed():
                await connection.execute("ROLLBACK")
            raise

    async def _commit(self, batch: list[PendingWrite]) -> None:
        stages: list[TransactionStage] = []
        failure: BaseException | None = None
        try:
            async with self._transaction(stages) as connection:
                results = await self._apply(connection, [write for write, _ in batch])
                self.hit_failpoint(batch, "commit")
        except (*CONNECTION_ERRORS, asyncpg.PostgresError, asyncio.CancelledError) as error:
            failure = error
            stage = stages[-1] if stages else TransactionStage.BEFORE_COMMIT
            outcome = classify_broken_transaction(stage, get_sqlstate(error))
            results = [WriteResult(outcome)] * len(batch)
            log.warning(
                "event=record_write_failed writes=%d outcome=%s error=%r",
                len(batch),
                outcome.name.lower(),
                describe_error(error),
            )
        self.hit_failpoint(batch, "durable")
        self.count_commit(batch)
        deliver_results(batch, results)
        if failure is not None and not self._is_connection_usable_after(failure):
            raise failure

    def _is_connection_usable_after(self, error: BaseException) -> bool:
        return (
            isinstance(error, asyncpg.PostgresError)
            and self.connection is not None
            and not self.connection.is_closed()
        )

    async def _apply(self, connection: Any, writes: list[RecordWrite]) -> list[WriteResult]:
        """Applies a batch and returns the results in the order of the writes."""
        if not await self._may_write(connection):
            return [WriteResult(RequestEvent.FENCED)] * len(writes)
        # All nodes lock rows in the same order, so transactions on the same rows can't deadlock.
        order = sorted(
            range(len(writes)),
            key=lambda index: (LOCK_ORDER[writes[index].kind], writes[index].row.key_digest),
        )
        applied: set[int] = set()
        for kind, (statement, values) in sql.STATEMENTS.items():
            positions = [index for index in order if writes[index].kind is kind]
            if positions:
                # Each row is a statement of its own, all sent in one round trip.
                applied_flags = await apply_many(
                    connection, statement, [values(writes[index].row) for index in positions]
                )
                applied.update(
                    index
                    for index, is_applied in zip(positions, applied_flags, strict=True)
                    if is_applied
                )
        results = [WriteResult(RequestEvent.WRITE_APPLIED)] * len(writes)
        unapplied = sorted(
            (index for index in order if index not in applied),
            key=lambda index: writes[index].kind in (WriteKind.LOOK, WriteKind.FIND),
        )
        if unapplied:
            incarnations = await read_incarnations(connection)
            for index in unapplied:
                rows = await connection.fetch(sql.SELECT_ROW, writes[index].row.key_digest)
                stored = RecordRow(*rows[0]) if rows else None
                results[index] = self.interpret_stored_row(writes[index], stored, incarnations)
        return results

    async def _may_write(self, connection: Any) -> bool:
        """Returns whether this incarnation is current and not fenced; locks the node's row."""
        rows = await connection.fetch(sql.SELECT_OWN_INCARNATION, self.node)
        if rows and (rows[0][0], rows[0][1]) == (self.incarnation, 0):
            return True
        log.error("event=record_node_fenced node=%s incarnation=%d", self.node, self.incarnation)
        return False

    async def _maintain(self) -> None:
        """Once per interval, applies operators' verdicts and deletes expired rows."""
        now_s = asyncio.get_running_loop().time()
        if now_s < self._next_maintenance_s:
            return
        self._next_maintenance_s = now_s + MAINTENANCE_INTERVAL_S
        if self.on_verdict is not None:
            verdicts = await self.connection.fetch(sql.SELECT_VERDICTS)
            for key_digest, incarnation, claim_number, ran in verdicts:
                self.on_verdict(key_digest, incarnation, claim_number, bool(ran))
        expired = await self.connection.fetch(sql.PRUNE, self.clock() - self.retention_ns)
        self.pruned_rows += len(expired)


def unpack_keys(packed: bytes) -> list[tuple[bytes, int]]:
    """Unpacks key digests and window ends from the format that `PostgresStore` packs."""
    return [
        (
            packed[index : index + KEY_DIGEST_BYTES],
            int.from_bytes(packed[index + KEY_DIGEST_BYTES : index + PACKED_KEY_BYTES], "big"),
        )
        for index in range(0, len(packed), PACKED_KEY_BYTES)
    ]


def get_sqlstate(error: BaseException) -> str | None:
    """Returns the SQLSTATE of a server error; None for any other error."""
    return getattr(error, "sqlstate", None) if isinstance(error, asyncpg.PostgresError) else None


async def read_incarnations(connection: Any) -> dict[str, NodeIncarnation]:
    """Returns each node's current incarnation by node name."""
    rows = await connection.fetch(sql.SELECT_INCARNATIONS)
    return {name: NodeIncarnation(incarnation, bool(fenced)) for name, incarnation, fenced in rows}


async def apply_many(connection: Any, statement: str, values: list[tuple[Any, ...]]) -> list[bool]:
    """Runs a statement for each tuple of values, and returns which of them changed a row.

    The returned key digests tell which statements changed a row. Two writes of one kind on the same
    key in a batch are always claims of this node. Whichever of them applied, the other finds no row
    or a row of this node, which gives both the same answer.
    """
    returned = Counter(row[0] for row in await connection.fetchmany(statement, values))
    applied_flags = []
    for row in values:
        key_digest = next(
            value for value in row if isinstance(value, bytes) and len(value) == KEY_DIGEST_BYTES
        )
        applied_flags.append(returned[key_digest] > 0)
        returned[key_digest] -= 1
    return applied_flags
