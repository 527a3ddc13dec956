"""A store in one SQLite file: a write-ahead log synced at each commit, one writer thread.

What is submitted while a commit is on its way waits and goes into the next one together: the busier
the store is, the more requests share one sync of the disk.
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
from .clock_shift import ClockReading, clock_shift
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

MIN_BULK_WRITES = 8  # from which on a batch is written kind by kind
MAX_BATCH = 256  # a commit that takes long keeps the writes behind it waiting
ROWS_PER_READ = 4096
PRUNE_INTERVAL_NS = 1_000_000_000
MAX_PRUNED_ROWS = 2_000
VERDICT_INTERVAL_S = 1.0  # between looks for an operator's verdict, where nothing is written
VACUUM_PAGES = 200  # free pages that go back to the disk after a prune
CLOSE_TIMEOUT_S = 2.0
# Errors of a COMMIT that roll back completely: nothing took effect.
CERTAIN_ERRORS = ("database or disk is full", "database is locked")

Task = Callable[[], None]


class SqliteStore(RecordStore):
    """One record in one file, for one server."""

    def __init__(
        self,
        path: Path,
        authenticator: RowAuthenticator,
        node: str,
        *,
        max_pages: int = 0,
        max_batch: int = MAX_BATCH,
        retention_ns: int = 0,
        read_clocks: Callable[[], ClockReading] = read_clocks,
    ) -> None:
        """Does not open the file yet.

        Args:
            path: The file.
            authenticator: Computes and checks the rows' MACs.
            node: The name of this node.
            max_pages: The most pages that the file may have, 0 for no bound.
            max_batch: The most writes in one commit.
            retention_ns: How long a row stays past the end of its window.
            read_clocks: Gives both clocks.
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
        self._next_verdict_look_s = 0.0

    # Opening.

    async def open(self) -> StoreSession:
        """Opens the store, takes missing steps of the schema, and begins an incarnation.

        Raises:
            StoreRefusedError: The file is in use, damaged, or no record.
        """
        return self.open_now()

    def open_now(self) -> StoreSession:
        """As `open`, outside of an event loop."""
        self.file_lock.acquire()
        try:
            self.db = connect(self.path, self.max_pages, self.lock_retry)
            migrated = migrate(self.db, self.path, self.lock_retry)
            return self._begin_incarnation(self.db, migrated)
        except sqlite3.DatabaseError as error:
            self.release()
            raise StoreRefusedError(self._open_problem(error), place=self.path) from error
        except StoreRefusedError:
            self.release()
            raise

    def _open_problem(self, error: sqlite3.DatabaseError) -> str:
        if is_lock_error(error):
            return (
                f"another process has held its lock for {self.lock_retry.timeout_s:g} s; start"
                " again once that has ended"
            )
        return (
            f"{error}; the file is damaged or is no record. Nothing was changed: look at it with"
            " `burlloom record verify`, or restore a snapshot"
        )

    def release(self) -> None:
        """Closes the file and lets its lock go."""
        if self.db is not None:
            self.db.close()
            self.db = None
        self.file_lock.release()

    def _begin_incarnation(self, db: sqlite3.Connection, migrated: tuple[int, ...]) -> StoreSession:
        now = self.read_clocks()
        meta = dict(self.lock_retry.run(lambda: db.execute(sql.SELECT_META).fetchall()))
        before = None
        if "wall" in meta:
            before = ClockReading(meta["boot"], int(meta["steady"]), int(meta["wall"]))
        self.clock_shift_ns = clock_shift(before, now)
        with transaction(db, self.lock_retry):
            if self.clock_shift_ns > 0 and before is not None:
                self._shift_windows(db, before.wall_ns)
            db.execute(
                "INSERT INTO node (name, life) VALUES (?, 1) ON CONFLICT (name) DO UPDATE SET"
                " life = life + 1, fenced = 0",
                (self.node,),
            )
            self.incarnation, notice = db.execute(sql.SELECT_NODE, (self.node,)).fetchone()
            save_clocks(db, now)
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

        The rows themselves are changed: a further incarnation would end them too early otherwise.
        """
        rows = [RecordRow(*row) for row in db.execute(sql.SELECT_UNEXPIRED, (since_ns,))]
        moved = [
            row._replace(expires_at_ns=row.expires_at_ns + self.clock_shift_ns)
            for row in rows
            if self.authenticator.is_authentic(row)
        ]
        db.executemany(
            sql.UPDATE_EXPIRY,
            [
                (row.expires_at_ns, self.authenticator.compute_mac(row), row.key_digest)
                for row in moved
            ],
        )

    def read_recorded_keys(self, now_ns: int) -> Iterator[list[tuple[bytes, int]]]:
        """Key digest and end of window of all rows, by batches."""
        assert self.db is not None
        cursor = self.db.execute(sql.SELECT_KEYS, (now_ns - self.retention_ns,))
        while rows := cursor.fetchmany(ROWS_PER_READ):
            yield rows

    def read_started_rows(self, now_ns: int) -> Iterator[RecordRow]:
        """The rows without an end, of any incarnation."""
        assert self.db is not None
        for row in self.db.execute(sql.SELECT_STARTED, (now_ns - self.retention_ns,)):
            yield RecordRow(*row)

    # On the event loop.

    async def start(self) -> None:
        """Starts the writer thread."""
        self._loop = asyncio.get_running_loop()
        self._thread = threading.Thread(target=self._run, name="record", daemon=True)
        with signals_blocked():
            self._thread.start()

    def submit(self, write: RecordWrite, callback: WriteCallback) -> None:
        """Sends a write; the callback gets its result."""
        self._enqueue((write, callback))

    def probe(self, callback: ProbeCallback) -> None:
        """Makes a commit of its own; the callback hears whether the store works."""
        self._enqueue(partial(self._probe, callback))

    def save_notice(self, text: str) -> None:
        """Leaves a notice to this node's next incarnation, if it can be written now."""
        self._enqueue(partial(self._save_notice, text))

    def _enqueue(self, item: PendingWrite | Task) -> None:
        self._queue.append(item)
        self._wake.set()

    async def close(self) -> None:
        """Writes what was submitted and lets go; a store that hangs is left after two seconds."""
        self._is_stopping = True
        self._wake.set()
        if self._thread is not None:
            await asyncio.to_thread(self._thread.join, CLOSE_TIMEOUT_S)
            if self._thread.is_alive():
                log.warning("event=record_store_hangs pending=%d", len(self._queue))
                return
        self.release()

    # In the writer thread.

    def _run(self) -> None:
        while True:
            if not self._wake.wait(VERDICT_INTERVAL_S):
                self._look_for_verdicts()
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
            # The loop is closed, and whoever waited is gone with it.
            return

    def _commit(self, batch: list[PendingWrite]) -> None:
        results = self._write(batch)
        self.hit_failpoint(batch, "durable")
        self.count_commit(batch)
        self._call_on_loop(partial(deliver_results, batch, results))
        self._look_for_verdicts()
        if self._has_free_pages:
            self._vacuum()

    def _write(self, batch: list[PendingWrite]) -> list[WriteResult]:
        """Writes a batch in one transaction; never raises, as the thread must live on."""
        db = self.db
        assert db is not None
        is_committing = False
        try:
            with transaction(db, self.lock_retry):
                results = self._apply_all(db, [write for write, _ in batch])
                self._prune_now_and_then(db)
                self.hit_failpoint(batch, "commit")
                is_committing = True
                db.execute("COMMIT")
            return results
        except sqlite3.Error as error:
            # Of a COMMIT that failed the log may hold the pages, and a restart would find them,
            # unless it is known to roll back completely.
            is_certain = not is_committing or any(known in str(error) for known in CERTAIN_ERRORS)
            log.warning(
                "event=record_write_failed writes=%d is_certain=%s error=%r",
                len(batch),
                is_certain,
                str(error),
            )
        except Exception:
            # An error of ours would end the thread, and every later write would wait for nobody.
            is_certain = not is_committing
            log.exception("event=internal_error side=record")
        outcome = RequestEvent.WRITE_FAILED if is_certain else RequestEvent.WRITE_UNCERTAIN
        return [WriteResult(outcome)] * len(batch)

    def _apply_all(self, db: sqlite3.Connection, writes: list[RecordWrite]) -> list[WriteResult]:
        """Applies a batch, kind by kind where no key is written twice.

        Mostly all writes of a kind apply, which one count tells.
        """
        keys = {write.row.key_digest for write in writes}
        if len(writes) < MIN_BULK_WRITES or len(keys) < len(writes):
            return [self._apply(db, write) for write in writes]
        results: dict[int, WriteResult] = {}
        for kind in WriteKind:
            positions = [at for at, write in enumerate(writes) if write.kind is kind]
            if self._apply_bulk(db, kind, [writes[at].row for at in positions]):
                results.update(dict.fromkeys(positions, WriteResult(RequestEvent.WRITE_APPLIED)))
            else:
                results.update((at, self._apply(db, writes[at])) for at in positions)
        return [results[at] for at in range(len(writes))]

    def _apply_bulk(self, db: sqlite3.Connection, kind: WriteKind, rows: list[RecordRow]) -> bool:
        """Whether all writes of a kind applied; if not, none did."""
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
        return self.result_of(
            write,
            RecordRow(*stored) if stored is not None else None,
            {self.node: NodeIncarnation(self.incarnation, False)},
        )

    def _prune_now_and_then(self, db: sqlite3.Connection) -> None:
        now_ns = time.time_ns()
        if now_ns >= self.prune_at_ns:
            self.prune_at_ns = now_ns + PRUNE_INTERVAL_NS
            self._prune(db, now_ns)
            save_clocks(db, self.read_clocks())

    def _prune(self, db: sqlite3.Connection, now_ns: int) -> None:
        """Deletes rows whose windows are long over, some at a time."""
        count = db.execute(sql.PRUNE, (now_ns - self.retention_ns, MAX_PRUNED_ROWS)).rowcount
        if count > 0:
            self.pruned_rows += count
            db.execute(sql.PRUNE_VERDICTS)
            self._has_free_pages = True

    def _vacuum(self) -> None:
        """Gives some free pages back to the disk."""
        db = self.db
        assert db is not None
        self._has_free_pages = False
        try:
            # `execute` would take one step of it, a page.
            self.lock_retry.run(
                lambda: db.executescript(f"PRAGMA incremental_vacuum({VACUUM_PAGES})")
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

    def _look_for_verdicts(self) -> None:
        """Takes up the verdicts of operators, at most once a second, if another process wrote."""
        db = self.db
        assert db is not None
        if time.monotonic() < self._next_verdict_look_s:
            return
        self._next_verdict_look_s = time.monotonic() + VERDICT_INTERVAL_S
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


def save_clocks(db: sqlite3.Connection, now: ClockReading) -> None:
    """Writes both clocks, by which the next start knows whether the wall clock was stepped."""
    db.executemany(
        sql.UPSERT_META,
        [("boot", now.boot_id), ("steady", str(now.monotonic_ns)), ("wall", str(now.wall_ns))],
    )
