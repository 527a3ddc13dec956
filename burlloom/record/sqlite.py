"""A store in one SQLite file, with a write-ahead log synced at each commit and one writer thread.

Writes submitted during a commit are batched into the next one, so under load more requests share
one sync of the disk.
"""

import asyncio
import logging
import sqlite3
import threading
import time
from collections import deque
from collections.abc import Callable, Iterator
from functools import partial
from pathlib import Path

from ..signals import signals_blocked
from . import sqlite_statements as sql
from .authentication import RowAuthenticator
from .clock_shift import ClockReading, compute_clock_shift
from .lock_retry import LockRetry, is_lock_error
from .request_lifecycle import RequestEvent
from .rows import NodeIncarnation, RecordRow, RecordWrite, WriteKind, WriteResult
from .sqlite_file import FileLock, connect, migrate, read_clocks, transaction
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

__all__ = ["SqliteStore"]

log = logging.getLogger(__name__)

MIN_BULK_WRITES = 8  # the smallest batch that is applied with one bulk statement per kind
MAX_BATCH_WRITES = 256  # writes per commit; a longer commit would delay the writes behind it
ROWS_PER_READ = 4096  # keys in one batch of `read_recorded_keys`
PRUNE_INTERVAL_NS = 1_000_000_000
MAX_PRUNED_ROWS = 2_000  # expired rows deleted at once; the rest waits for the next prune
VERDICT_INTERVAL_S = 1.0  # between polls for operators' verdicts; also while nothing is written
MAX_VACUUM_PAGES = 200  # maximum number of free pages returned to the file system after a prune
CLOSE_TIMEOUT_S = 2.0  # after it `close` abandons the writer thread, and the file stays open
# Messages of COMMIT errors after which SQLite rolls back completely, so no write took effect.
CERTAIN_ERRORS = ("database or disk is full", "database is locked")

Task = Callable[[], None]


class SqliteStore(RecordStore):
    """One server's record in one file.

    Attributes:
        path: The file.
        max_pages: The maximum number of pages of the file, 0 for no limit.
        read_clocks: Reads both clocks.
        clock_shift_ns: By how much the wall clock was stepped while the store was closed.
        file_lock: The lock that keeps other servers off the file.
        db: The connection; None while the store is closed.
        lock_retry: The rule by which statements wait for the file's lock.
        prune_at_ns: When the next commit deletes expired rows, wall-clock nanoseconds.
    """

    def __init__(
        self,
        path: Path,
        authenticator: RowAuthenticator,
        node: str,
        *,
        max_pages: int = 0,
        max_batch: int = MAX_BATCH_WRITES,
        retention_ns: int = 0,
        read_clocks: Callable[[], ClockReading] = read_clocks,
    ) -> None:
        """Creates a store that has not yet opened the file.

        Args:
            path: The file.
            authenticator: Computes and checks the rows' MACs.
            node: The name of this node.
            max_pages: The maximum number of pages of the file, 0 for no limit.
            max_batch: The maximum number of writes in one commit.
            retention_ns: How long a row is kept after the end of its window, nanoseconds.
            read_clocks: Reads both clocks.
        """
        super().__init__(node, authenticator, max_batch, retention_ns)
        self.path = path
        self.max_pages = max_pages
        self.read_clocks = read_clocks
        self.clock_shift_ns = 0
        self.file_lock = FileLock(path)
        self.db: sqlite3.Connection | None = None
        self.lock_retry = LockRetry()
        self.prune_at_ns = 0
        self._queue: deque[PendingWrite | Task] = deque()
        self._wake = threading.Event()
        self._is_stopping = False
        self._thread: threading.Thread | None = None
        self._loop: asyncio.AbstractEventLoop | None = None
        self._data_version = 0
        self._has_free_pages = False
        self._next_verdict_poll_s = 0.0

    # Opening the store.

    async def open(self) -> StoreSession:
        """Opens the store, applies pending schema steps, and starts an incarnation.

        Raises:
            StoreRefusedError: The file is in use, is damaged or is not a record.
        """
        return self.open_without_event_loop()

    def open_without_event_loop(self) -> StoreSession:
        """Does the same as `open` without an event loop."""
        self.file_lock.acquire()
        try:
            self.db = connect(self.path, self.max_pages, self.lock_retry)
            migrated = migrate(self.db, self.path, self.lock_retry)
            return self._begin_incarnation(self.db, migrated)
        except sqlite3.DatabaseError as error:
            self.release()
            raise StoreRefusedError(self._describe_open_error(error), place=self.path) from error
        except StoreRefusedError:
            self.release()
            raise

    def _describe_open_error(self, error: sqlite3.DatabaseError) -> str:
        if is_lock_error(error):
            return (
                f"another process has held its lock for {self.lock_retry.timeout_s:g} s; start"
                " again once that process has ended"
            )
        return (
            f"{error}; the file is damaged or is not a record. Nothing was changed: check it with"
            " `burlloom record verify`, or restore a snapshot"
        )

    def release(self) -> None:
        """Closes the file and releases its lock."""
        if self.db is not None:
            self.db.close()
            self.db = None
        self.file_lock.release()

    def _begin_incarnation(self, db: sqlite3.Connection, migrated: tuple[int, ...]) -> StoreSession:
        clocks = self.read_clocks()
        meta = dict(self.lock_retry.run(lambda: db.execute(sql.SELECT_META).fetchall()))
        saved_clocks = None
        if "wall" in meta:
            saved_clocks = ClockReading(meta["boot"], int(meta["steady"]), int(meta["wall"]))
        self.clock_shift_ns = compute_clock_shift(saved_clocks, clocks)
        with transaction(db, self.lock_retry):
            if self.clock_shift_ns > 0 and saved_clocks is not None:
                self._shift_windows(db, saved_clocks.wall_ns)
            db.execute(
                "INSERT INTO node (name, life) VALUES (?, 1) ON CONFLICT (name) DO UPDATE SET"
                " life = life + 1, fenced = 0",
                (self.node,),
            )
            self.incarnation, notice = db.execute(sql.SELECT_NODE, (self.node,)).fetchone()
            save_clocks(db, clocks)
            db.execute("COMMIT")
        return StoreSession(
            self.node,
            self.incarnation,
            self.clock_shift_ns,
            migrated,
            int(meta.get("closed_until", 0)),
            notice,
        )

    def _shift_windows(self, db: sqlite3.Connection, since_ns: int) -> None:
        """Moves the ends of windows along with a wall clock that was stepped ahead.

        The stored rows are updated, as otherwise a later incarnation would end the windows early.
        """
        rows = [RecordRow(*row) for row in db.execute(sql.SELECT_UNEXPIRED, (since_ns,))]
        shifted_rows = [
            row._replace(expires_at_ns=row.expires_at_ns + self.clock_shift_ns)
            for row in rows
            if self.authenticator.is_authentic(row)
        ]
        db.executemany(
            sql.UPDATE_EXPIRY,
            [
                (row.expires_at_ns, self.authenticator.compute_mac(row), row.key_digest)
                for row in shifted_rows
            ],
        )

    def read_recorded_keys(self, now_ns: int) -> Iterator[list[tuple[bytes, int]]]:
        """Yields batches of key digest and window end of all rows."""
        assert self.db is not None
        cursor = self.db.execute(sql.SELECT_KEYS, (now_ns - self.retention_ns,))
        while rows := cursor.fetchmany(ROWS_PER_READ):
            yield rows

    def read_started_rows(self, now_ns: int) -> Iterator[RecordRow]:
        """Yields the rows of unfinished runs, of any incarnation."""
        assert self.db is not None
        for row in self.db.execute(sql.SELECT_STARTED, (now_ns - self.retention_ns,)):
            yield RecordRow(*row)

    # The methods below run on the event loop.

    async def start(self) -> None:
        """Starts the writer thread."""
        self._loop = asyncio.get_running_loop()
        self._thread = threading.Thread(target=self._run, name="record", daemon=True)
        with signals_blocked():
            self._thread.start()

    def submit(self, write: RecordWrite, callback: WriteCallback) -> None:
        """Queues a write; the callback receives its result."""
        self._enqueue((write, callback))

    def probe(self, callback: ProbeCallback) -> None:
        """Queues a probe commit; the callback receives whether it succeeded."""
        self._enqueue(partial(self._probe, callback))

    def save_notice(self, text: str) -> None:
        """Saves a notice for this node's next incarnation; a failure is only logged."""
        self._enqueue(partial(self._save_notice, text))

    def _enqueue(self, item: PendingWrite | Task) -> None:
        self._queue.append(item)
        self._wake.set()

    async def close(self) -> None:
        """Writes what was submitted and closes; a hanging store is abandoned after 2 s."""
        self._is_stopping = True
        self._wake.set()
        if self._thread is not None:
            await asyncio.to_thread(self._thread.join, CLOSE_TIMEOUT_S)
            if self._thread.is_alive():
                log.warning("event=record_store_hangs pending=%d", len(self._queue))
                return
        self.release()

    # The methods below run in the writer thread.

    def _run(self) -> None:
        while True:
            if not self._wake.wait(VERDICT_INTERVAL_S):
                self._poll_verdicts()
            self._wake.clear()
            while self._queue:
                item = self._queue.popleft()
                if isinstance(item, tuple):
                    self._commit(take_batch(item, self._queue, self.max_batch))
                else:
                    item()
            if self._is_stopping:
                return

    def _call_on_loop(self, callback: Task) -> None:
        assert self._loop is not None
        try:
            self._loop.call_soon_threadsafe(callback)
        except RuntimeError:
            # The event loop is closed, and the waiting requests ended with it.
            return

    def _commit(self, batch: list[PendingWrite]) -> None:
        results = self._write(batch)
        self.hit_failpoint(batch, "durable")
        self.count_commit(batch)
        self._call_on_loop(partial(deliver_results, batch, results))
        self._poll_verdicts()
        if self._has_free_pages:
            self._vacuum()

    def _write(self, batch: list[PendingWrite]) -> list[WriteResult]:
        """Writes a batch in one transaction; never raises, as that would end the writer thread."""
        db = self.db
        assert db is not None
        is_committing = False
        try:
            with transaction(db, self.lock_retry):
                results = self._apply_all(db, [write for write, _ in batch])
                self._prune_if_due(db)
                self.hit_failpoint(batch, "commit")
                is_committing = True
                db.execute("COMMIT")
            return results
        except sqlite3.Error as error:
            # After a failed COMMIT the write-ahead log may still hold the pages, and a restart
            # would apply them, unless the error is known to roll back completely.
            is_certain = not is_committing or any(
                message in str(error) for message in CERTAIN_ERRORS
            )
            log.warning(
                "event=record_write_failed writes=%d is_certain=%s error=%r",
                len(batch),
                is_certain,
                str(error),
            )
        except Exception:
            # An uncaught exception would end the thread, and later writes would never be answered.
            is_certain = not is_committing
            log.exception("event=internal_error side=record")
        outcome = RequestEvent.WRITE_FAILED if is_certain else RequestEvent.WRITE_UNCERTAIN
        return [WriteResult(outcome)] * len(batch)

    def _apply_all(self, db: sqlite3.Connection, writes: list[RecordWrite]) -> list[WriteResult]:
        """Applies a batch, with one bulk statement per kind if no key is written twice.

        Usually all writes of a kind apply, which the row count of one bulk statement confirms.
        """
        keys = {write.row.key_digest for write in writes}
        if len(writes) < MIN_BULK_WRITES or len(keys) < len(writes):
            return [self._apply(db, write) for write in writes]
        results: dict[int, WriteResult] = {}
        for kind in WriteKind:
            positions = [index for index, write in enumerate(writes) if write.kind is kind]
            if self._apply_bulk(db, kind, [writes[index].row for index in positions]):
                results.update(dict.fromkeys(positions, WriteResult(RequestEvent.WRITE_APPLIED)))
            else:
                results.update((index, self._apply(db, writes[index])) for index in positions)
        return [results[index] for index in range(len(writes))]

    def _apply_bulk(self, db: sqlite3.Connection, kind: WriteKind, rows: list[RecordRow]) -> bool:
        """Applies all writes of a kind or none, and returns whether they were applied."""
        if kind not in sql.STATEMENTS or not rows:
            return False
        statement, values = sql.STATEMENTS[kind]
        db.execute("SAVEPOINT bulk")
        all_applied = db.executemany(statement, [values(row) for row in rows]).rowcount == len(rows)
        if not all_applied:
            db.execute("ROLLBACK TO bulk")
        db.execute("RELEASE bulk")
        return all_applied

    def _apply(self, db: sqlite3.Connection, write: RecordWrite) -> WriteResult:
        if write.kind in sql.STATEMENTS:
            statement, values = sql.STATEMENTS[write.kind]
            if db.execute(statement, values(write.row)).rowcount > 0:
                return WriteResult(RequestEvent.WRITE_APPLIED)
        stored = db.execute(sql.SELECT_ROW, (write.row.key_digest,)).fetchone()
        return self.interpret_stored_row(
            write,
            RecordRow(*stored) if stored is not None else None,
            {self.node: NodeIncarnation(self.incarnation, False)},
        )

    def _prune_if_due(self, db: sqlite3.Connection) -> None:
        now_ns = time.time_ns()
        if now_ns >= self.prune_at_ns:
            self.prune_at_ns = now_ns + PRUNE_INTERVAL_NS
            self._prune(db, now_ns)
            save_clocks(db, self.read_clocks())

    def _prune(self, db: sqlite3.Connection, now_ns: int) -> None:
        """Deletes up to `MAX_PRUNED_ROWS` rows whose retention has ended."""
        count = db.execute(sql.PRUNE, (now_ns - self.retention_ns, MAX_PRUNED_ROWS)).rowcount
        if count > 0:
            self.pruned_rows += count
            db.execute(sql.PRUNE_VERDICTS)
            self._has_free_pages = True

    def _vacuum(self) -> None:
        """Returns up to `MAX_VACUUM_PAGES` free pages to the file system."""
        db = self.db
        assert db is not None
        self._has_free_pages = False
        try:
            # `execute` would step the statement once, which frees only one page.
            self.lock_retry.run(
                lambda: db.executescript(f"PRAGMA incremental_vacuum({MAX_VACUUM_PAGES})")
            )
        except sqlite3.Error as error:
            log.warning("event=record_vacuum_failed error=%r", str(error))

    def _probe(self, callback: ProbeCallback) -> None:
        db = self.db
        assert db is not None
        try:
            with transaction(db, self.lock_retry):
                save_clocks(db, self.read_clocks())
                self._prune(db, time.time_ns())
                db.execute("COMMIT")
            succeeded = True
        except sqlite3.Error as error:
            log.warning("event=record_probe_failed error=%r", str(error))
            succeeded = False
        self._call_on_loop(partial(callback, succeeded))

    def _save_notice(self, text: str) -> None:
        db = self.db
        assert db is not None
        values = (text, self.node, self.incarnation)
        try:
            self.lock_retry.run(lambda: db.execute(sql.UPDATE_NOTICE, values))
        except sqlite3.Error as error:
            log.warning("event=record_notice_not_saved error=%r", str(error))

    def _poll_verdicts(self) -> None:
        """Reads operators' verdicts, at most once a second and only if another process wrote."""
        db = self.db
        assert db is not None
        if time.monotonic() < self._next_verdict_poll_s:
            return
        self._next_verdict_poll_s = time.monotonic() + VERDICT_INTERVAL_S
        try:
            (version,) = self.lock_retry.run(lambda: db.execute("PRAGMA data_version").fetchone())
            if version == self._data_version or self.on_verdict is None:
                return
            verdicts = self.lock_retry.run(lambda: db.execute(sql.SELECT_VERDICTS).fetchall())
            self._data_version = version
            for key_digest, incarnation, claim_number, ran in verdicts:
                self._call_on_loop(
                    partial(self.on_verdict, key_digest, incarnation, claim_number, bool(ran))
                )
        except sqlite3.Error as error:
            log.warning("event=record_verdicts_not_read error=%r", str(error))


def save_clocks(db: sqlite3.Connection, clocks: ClockReading) -> None:
    """Saves both clocks, from which the next start computes whether the wall clock was stepped."""
    db.executemany(
        sql.UPSERT_META,
        [
            ("boot", clocks.boot_id),
            ("steady", str(clocks.monotonic_ns)),
            ("wall", str(clocks.wall_ns)),
        ],
    )
