"""A store in one SQLite file: write-ahead log, synced at each commit, one writer thread, group
commit.

What is posted while a commit is on its way waits and goes into the next one together: the busier it
is, the more charges share one sync of the disk.
"""

import asyncio
import fcntl
import logging
import os
import sqlite3
import threading
import time
from collections import deque
from collections.abc import Callable, Iterator
from functools import partial
from pathlib import Path
from typing import Any

from ..signals import signals_blocked
from . import failpoints as points
from . import schema
from .authentication import RowAuthenticator
from .lock_retry import LOCK_TIMEOUT_S, LockRetry, is_lock_error
from .recovery_rules import ClockReading, clock_shift
from .request_lifecycle import RequestEvent
from .rows import (
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

BULK_LEAST = 8  # writes of a batch from which on they are made kind by kind
BATCH_MOST = 256  # writes in one commit: one that takes long keeps the ones behind it waiting
READ_AT_ONCE = 4096
PRUNE_EVERY, PRUNE_ROWS = 1_000_000_000, 2_000
LOOK_EVERY = 1.0  # s between looks for an operator's word, where nothing is written
LOG_PAGES = 4_000  # of the write-ahead log before it is carried over: 16 MiB
GIVE_BACK_PAGES = 200  # of free ones, at each prune
SURE = (
    "database or disk is full",
    "database is locked",
)  # errors that roll back whole: nothing took hold
COLUMNS = "mark, state, node, life, turn, id, at, until, result, seal"
CLAIM = (
    f"INSERT INTO fate ({COLUMNS}) VALUES (?,?,?,?,?,?,?,?,?,?) ON CONFLICT (mark) DO UPDATE SET"
    " turn = excluded.turn, id = excluded.id, at = excluded.at, until = excluded.until, seal = excluded.seal"
    f" WHERE state = {ROW_STARTED} AND node = excluded.node AND life = excluded.life AND turn <= excluded.turn"
)
INSERT = f"INSERT INTO fate ({COLUMNS}) VALUES (?,?,?,?,?,?,?,?,?,?) ON CONFLICT (mark) DO NOTHING"
FINISH = (
    "UPDATE fate SET state = ?, result = ?, seal = ? WHERE mark = ? AND node = ? AND life = ? AND turn = ?"
    f" AND state = {ROW_STARTED}"
)
WITHDRAW = f"DELETE FROM fate WHERE mark = ? AND node = ? AND life = ? AND turn = ? AND state = {ROW_STARTED}"
LOOK = f"SELECT {COLUMNS} FROM fate WHERE mark = ?"
ALL = f"SELECT {COLUMNS} FROM fate WHERE until > ?"
KNOWN = (
    "SELECT mark, until FROM fate INDEXED BY fate_until WHERE until > ? AND typeof(mark) = 'blob'"
    " AND length(mark) = 16 AND typeof(until) = 'integer'"
)  # off the index alone: the rows are far larger
OPEN = f"SELECT {COLUMNS} FROM fate INDEXED BY fate_begun WHERE until > ? AND state = {ROW_STARTED}"
PRUNE = "DELETE FROM fate WHERE rowid IN (SELECT rowid FROM fate WHERE until <= ? LIMIT ?)"


Arguments = Callable[[RecordRow], tuple[Any, ...]]
STATEMENTS: dict[WriteKind, tuple[str, Arguments]] = {
    WriteKind.CLAIM: (CLAIM, tuple),
    WriteKind.INSERT: (INSERT, tuple),
    WriteKind.FINISH: (FINISH, of_finish),
    WriteKind.WITHDRAW: (WITHDRAW, of_withdraw),
}


def read_clocks() -> ClockReading:
    try:
        boot = Path("/proc/sys/kernel/random/boot_id").read_text().strip()
    except OSError:
        boot = ""
    return ClockReading(boot, time.clock_gettime_ns(time.CLOCK_BOOTTIME), time.time_ns())


def connect(path: Path, pages: int = 0, turns: LockRetry | None = None) -> sqlite3.Connection:
    """Of a record's file, made if there is none. Raises `Refused`, or what sqlite3 raises.

    `turns`: of whoever has each statement wait for the file's lock by them; without, SQLite waits
    for it.
    """
    db = (turns or LockRetry()).run(lambda: connected(path, pages))
    if turns is None:
        db.execute(f"PRAGMA busy_timeout = {LOCK_TIMEOUT_S * 1000:.0f}")
    return db


def connected(path: Path, pages: int) -> sqlite3.Connection:
    fresh = not path.exists() or not path.stat().st_size
    try:
        db = sqlite3.connect(
            path, isolation_level=None, check_same_thread=False, timeout=0.0, cached_statements=64
        )
    except sqlite3.OperationalError as error:
        raise StoreRefusedError(f"{path}: {error}") from error
    try:
        if fresh:
            os.chmod(path, 0o600)
            db.execute("PRAGMA auto_vacuum = INCREMENTAL")
            db.execute(f"PRAGMA application_id = {schema.APPLICATION}")
        (application,) = db.execute("PRAGMA application_id").fetchone()
        if not application and db.execute("SELECT 1 FROM sqlite_schema").fetchone() is None:
            # Nothing is in it: another, who makes it just now, has written its first page and not
            # yet whose it is.
            db.execute(f"PRAGMA application_id = {schema.APPLICATION}")
            (application,) = db.execute("PRAGMA application_id").fetchone()
        if application != schema.APPLICATION:
            raise StoreRefusedError(f"{path}: not a burlloom record but another program's database")
        db.execute("PRAGMA journal_mode = WAL")
        db.execute("PRAGMA synchronous = FULL")
        db.execute(f"PRAGMA wal_autocheckpoint = {LOG_PAGES}")
        db.execute("PRAGMA trusted_schema = OFF")
        db.execute("PRAGMA cell_size_check = ON")
        if pages:
            db.execute(f"PRAGMA max_page_count = {pages}")
    except BaseException:
        db.close()
        raise
    return db


def migrate(db: sqlite3.Connection, path: Path, turns: LockRetry | None = None) -> tuple[int, ...]:
    """The steps taken. Each looks anew under the lock: several processes may open one file at
    once.
    """
    done: list[int] = []
    turns = turns or LockRetry()
    while True:
        turns.run(lambda: db.execute("BEGIN IMMEDIATE"))
        try:
            (have,) = db.execute("PRAGMA user_version").fetchone()
            if have > schema.LATEST:
                raise StoreRefusedError(
                    f"{path}: schema {have} is newer than {schema.LATEST}, the newest this program knows;"
                    " start the newer program, or restore a snapshot of the older one"
                )
            left = schema.steps(have, schema.SQLITE)
            if not left:
                return tuple(done)
            for statement in schema.SQLITE[left[0]]:
                db.execute(statement)
            db.execute(f"PRAGMA user_version = {left[0]}")
            db.execute("COMMIT")
            done.append(left[0])
        finally:
            if db.in_transaction:
                db.execute("ROLLBACK")


class SqliteStore:
    def __init__(
        self,
        path: Path,
        sealer: RowAuthenticator,
        node: str,
        *,
        pages: int = 0,
        batch: int = BATCH_MOST,
        keep: int = 0,
        tick: Callable[[], ClockReading] = read_clocks,
    ) -> None:
        """`pages`: the most pages the file may have, 0 for no bound of ours. `keep`: ns past a
        window's end.
        """
        self.path, self.authenticator, self.node, self.pages, self.batch = (
            path,
            sealer,
            node,
            pages,
            batch,
        )
        self.keep, self.tick = keep, tick
        self.incarnation = 0
        self.shift = 0
        self.lock = -1
        self.db: sqlite3.Connection | None = None
        self.posted: deque[tuple[RecordWrite, WriteCallback] | Callable[[], None]] = deque()
        self.wake = threading.Event()
        self.stopping = False
        self.thread: threading.Thread | None = None
        self.loop: asyncio.AbstractEventLoop | None = None
        self.commit_count = self.write_count = self.largest_batch = self.pruned_rows = 0
        self.prune_at = 0
        self.version = 0
        self.free_pages = False
        self.look_at = 0.0
        self.on_verdict: VerdictCallback | None = None
        self.turns = LockRetry()

    # Opening.

    async def open(self) -> StoreSession:
        return self.open_now()

    def open_now(self) -> StoreSession:
        self.take_lock()
        try:
            self.db = connect(self.path, self.pages, self.turns)
            migrated = migrate(self.db, self.path, self.turns)
            return self.begin_life(self.db, migrated)
        except sqlite3.DatabaseError as error:
            self.release()
            if is_lock_error(error):
                raise StoreRefusedError(
                    f"{self.path}: another process has held its lock for {self.turns.timeout_s:g} s; start again"
                    " once that has ended"
                ) from error
            raise StoreRefusedError(
                f"{self.path}: {error}; the file is damaged or is no record. Nothing was changed: look at"
                f" it with `burlloom record verify`, or restore a snapshot"
            ) from error
        except StoreRefusedError:
            self.release()
            raise

    def take_lock(self) -> None:
        """Against a second process on the same file: both would take the other's claims for a
        former life's.
        """
        try:
            self.lock = os.open(f"{self.path}.lock", os.O_RDWR | os.O_CREAT, 0o600)
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            holder = os.pread(self.lock, 32, 0).decode("ascii", "replace").strip()
            os.close(self.lock)
            self.lock = -1
            raise StoreRefusedError(
                f"{self.path}: in use by another process{f' ({holder})' if holder else ''}; one server"
                " to a file"
            ) from error
        except OSError as error:
            raise StoreRefusedError(f"{self.path}: {error.strerror}") from error
        os.ftruncate(self.lock, 0)
        os.pwrite(self.lock, f"pid {os.getpid()}".encode(), 0)

    def release(self) -> None:
        if self.db is not None:
            self.db.close()
            self.db = None
        if self.lock >= 0:
            os.close(self.lock)
            self.lock = -1

    def begin_life(self, db: sqlite3.Connection, migrated: tuple[int, ...]) -> StoreSession:
        now = self.tick()
        told = dict(self.turns.run(lambda: db.execute("SELECT name, value FROM meta").fetchall()))
        then = (
            ClockReading(told["boot"], int(told["steady"]), int(told["wall"]))
            if "wall" in told
            else None
        )
        self.shift = clock_shift(then, now)
        self.begin(db)
        if self.shift > 0:
            # Windows are kept by the wall clock: it went ahead, so their ends go along. The rows
            # say so of themselves from now on, or a further life would end them too early.
            rows = [RecordRow(*row) for row in db.execute(ALL, (then.wall_ns if then else 0,))]
            db.executemany(
                "UPDATE fate SET until = ?, seal = ? WHERE mark = ?",
                [
                    (
                        row.expires_at_ns + self.shift,
                        self.authenticator.compute_mac(
                            row._replace(expires_at_ns=row.expires_at_ns + self.shift)
                        ),
                        row.key_digest,
                    )
                    for row in rows
                    if self.authenticator.is_authentic(row)
                ],
            )
        db.execute(
            "INSERT INTO node (name, life) VALUES (?, 1) ON CONFLICT (name) DO UPDATE SET life = life + 1,"
            " fenced = 0",
            (self.node,),
        )
        self.incarnation, note = db.execute(
            "SELECT life, note FROM node WHERE name = ?", (self.node,)
        ).fetchone()
        self.note_tick(db, now)
        db.execute("COMMIT")
        return StoreSession(
            self.node,
            self.incarnation,
            self.shift,
            migrated,
            int(told.get("closed_until", 0)),
            note,
        )

    def begin(self, db: sqlite3.Connection) -> None:
        """A transaction that has the lock from its start: none of its statements waits for it."""
        self.turns.run(lambda: db.execute("BEGIN IMMEDIATE"))

    @staticmethod
    def note_tick(db: sqlite3.Connection, now: ClockReading) -> None:
        db.executemany(
            "INSERT INTO meta (name, value) VALUES (?, ?) ON CONFLICT (name) DO UPDATE SET"
            " value = excluded.value",
            [("boot", now.boot_id), ("steady", str(now.monotonic_ns)), ("wall", str(now.wall_ns))],
        )

    def read_recorded_keys(self, now: int) -> Iterator[list[tuple[bytes, int]]]:
        assert self.db is not None
        cursor = self.db.execute(KNOWN, (now - self.keep,))
        while rows := cursor.fetchmany(READ_AT_ONCE):
            yield rows

    def read_started_rows(self, now: int) -> Iterator[RecordRow]:
        """What was begun and has no end, by whatever life of this node."""
        assert self.db is not None
        for row in self.db.execute(OPEN, (now - self.keep,)):
            yield RecordRow(*row)

    async def start(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.thread = threading.Thread(target=self.work, name="record", daemon=True)
        with signals_blocked():
            self.thread.start()

    # On the loop.

    def submit(self, write: RecordWrite, done: WriteCallback) -> None:
        self.posted.append((write, done))
        self.wake.set()

    def probe(self, now: int, done: Callable[[bool], None]) -> None:
        """A commit of its own, that tells whether the store works; `done` hears it on the loop."""

        def work() -> None:
            try:
                assert self.db is not None
                self.begin(self.db)
                self.note_tick(self.db, self.tick())
                self.prune(time.time_ns())
                self.db.execute("COMMIT")
                good = True
            except sqlite3.Error as error:
                self.roll_back()
                log.warning("event=record-beat-failed detail=%r", str(error))
                good = False
            self.hand(lambda: done(good))

        self.posted.append(work)
        self.wake.set()

    def save_notice(self, text: str) -> None:
        def work() -> None:
            try:
                assert (db := self.db) is not None
                self.turns.run(
                    lambda: db.execute(
                        "UPDATE node SET note = ? WHERE name = ? AND life = ?",
                        (text, self.node, self.incarnation),
                    )
                )
            except sqlite3.Error as error:
                log.warning("event=record-note-failed detail=%r", str(error))

        self.posted.append(work)
        self.wake.set()

    async def close(self) -> None:
        """Writes what is posted, then lets go; a store that hangs is left to itself after two
        seconds.
        """
        self.stopping = True
        self.wake.set()
        if self.thread is not None:
            await asyncio.to_thread(self.thread.join, 2.0)
            if self.thread.is_alive():
                log.warning("event=record-left-hanging posted=%d", len(self.posted))
                return
        self.release()

    # In the thread.

    def work(self) -> None:
        while True:
            if not self.wake.wait(LOOK_EVERY):
                assert self.db is not None
                self.look_for_verdicts(self.db)
            self.wake.clear()
            while self.posted:
                one = self.posted.popleft()
                if isinstance(one, tuple):
                    batch = [one]
                    while (
                        self.posted
                        and len(batch) < self.batch
                        and isinstance(self.posted[0], tuple)
                    ):
                        batch.append(self.posted.popleft())  # type: ignore[arg-type]
                    self.commit(batch)
                else:
                    one()
            if self.stopping:
                return

    def hand(self, told: Callable[[], None]) -> None:
        assert self.loop is not None
        try:
            self.loop.call_soon_threadsafe(told)
        except RuntimeError:
            pass  # the loop is gone, and whoever waited with it

    def commit(self, batch: list[tuple[RecordWrite, WriteCallback]]) -> None:
        words: list[WriteResult] = []
        db = self.db
        assert db is not None
        committing = False
        try:
            self.begin(db)
            words = self.apply_all(db, [write for write, _ in batch])
            now = time.time_ns()
            if now >= self.prune_at:
                self.prune_at = now + PRUNE_EVERY
                self.prune(now)
                self.note_tick(db, self.tick())
            self.moment(batch, "commit")
            committing = True
            db.execute("COMMIT")
        except sqlite3.Error as error:
            self.roll_back()
            # A commit that failed for want of room rolled back whole. Of any other the log may hold
            # the frames, and a restart would find them: nobody knows.
            sure = not committing or any(known in str(error) for known in SURE)
            log.warning(
                "event=record-write-failed count=%d sure=%s detail=%r", len(batch), sure, str(error)
            )
            words = [
                WriteResult(RequestEvent.WRITE_FAILED if sure else RequestEvent.WRITE_UNCERTAIN)
            ] * len(batch)
        except Exception:
            # Against an error of ours that would end the thread: every later charge would wait for
            # nobody.
            self.roll_back()
            log.exception("event=fault side=record")
            words = [
                WriteResult(
                    RequestEvent.WRITE_UNCERTAIN if committing else RequestEvent.WRITE_FAILED
                )
            ] * len(batch)
        self.moment(batch, "durable")
        self.commit_count += 1
        self.write_count += len(batch)
        self.largest_batch = max(self.largest_batch, len(batch))
        self.hand(lambda: deliver(batch, words))
        self.look_for_verdicts(db)
        if self.free_pages:
            self.give_back(db)

    def moment(self, batch: list[tuple[RecordWrite, WriteCallback]], name: str) -> None:
        points.hit_for_batch({write.kind.name.lower() for write, _ in batch}, name)

    def roll_back(self) -> None:
        try:
            if self.db is not None and self.db.in_transaction:
                self.db.execute("ROLLBACK")
        except sqlite3.Error as error:
            log.warning("event=record-rollback-failed detail=%r", str(error))

    def apply_all(self, db: sqlite3.Connection, writes: list[RecordWrite]) -> list[WriteResult]:
        """Those of one kind at a time where no mark is written twice: mostly all take hold, which a
        count tells.
        """
        if len(writes) < BULK_LEAST or len({write.row.key_digest for write in writes}) < len(
            writes
        ):
            return [self.apply(db, write) for write in writes]
        words: dict[int, WriteResult] = {}
        for kind in WriteKind:
            these = [at for at, write in enumerate(writes) if write.kind is kind]
            sql, arguments = STATEMENTS.get(kind, ("", None))
            if arguments is not None and these:
                db.execute("SAVEPOINT bulk")
                rows = [arguments(writes[at].row) for at in these]
                if db.executemany(sql, rows).rowcount == len(rows):
                    words.update(dict.fromkeys(these, WriteResult(RequestEvent.WRITE_APPLIED)))
                else:
                    db.execute("ROLLBACK TO bulk")  # one by one, to learn which
                db.execute("RELEASE bulk")
            for at in these:
                if at not in words:
                    words[at] = self.apply(db, writes[at])
        return [words[at] for at in range(len(writes))]

    def apply(self, db: sqlite3.Connection, write: RecordWrite) -> WriteResult:
        row = write.row
        sql, arguments = STATEMENTS.get(write.kind, ("", None))
        done = db.execute(sql, arguments(row)).rowcount if arguments is not None else 0
        if done > 0:
            return WriteResult(RequestEvent.WRITE_APPLIED)
        there = db.execute(LOOK, (row.key_digest,)).fetchone()
        found = RecordRow(*there) if there is not None else None
        sound = found is None or self.authenticator.is_authentic(found)
        if not sound:
            log.error("event=record-altered mark=%s", row.key_digest.hex())
        return result_of_unapplied_write(
            write, found, {self.node: (self.incarnation, False)}, sound
        )

    def prune(self, now: int) -> None:
        db = self.db
        assert db is not None
        gone = db.execute(PRUNE, (now - self.keep, PRUNE_ROWS)).rowcount
        if gone > 0:
            self.pruned_rows += gone
            db.execute("DELETE FROM verdict WHERE mark NOT IN (SELECT mark FROM fate)")
            self.free_pages = True

    def give_back(self, db: sqlite3.Connection) -> None:
        """Free pages go back to the disk, some at a time."""
        self.free_pages = False
        try:
            # `execute` takes one step of it: a page.
            self.turns.run(
                lambda: db.executescript(f"PRAGMA incremental_vacuum({GIVE_BACK_PAGES})")
            )
        except sqlite3.Error as error:
            log.warning("event=record-vacuum-failed detail=%r", str(error))

    def look_for_verdicts(self, db: sqlite3.Connection) -> None:
        """Another process wrote to the file: an operator may have resolved a doubt. Asked once a
        second: it reads.
        """
        if time.monotonic() < self.look_at:
            return
        self.look_at = time.monotonic() + LOOK_EVERY
        try:
            (version,) = self.turns.run(lambda: db.execute("PRAGMA data_version").fetchone())
            if version == self.version or self.on_verdict is None:
                return
            said = self.turns.run(
                lambda: db.execute("SELECT mark, life, turn, ran FROM verdict").fetchall()
            )
            self.version = version
            for mark, life, turn, ran in said:
                self.hand(partial(self.on_verdict, mark, life, turn, bool(ran)))
        except sqlite3.Error as error:
            log.warning("event=record-look-failed detail=%r", str(error))
