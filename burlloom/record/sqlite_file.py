"""A record's SQLite file: opened, migrated, and locked against a second server."""

import fcntl
import logging
import os
import sqlite3
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from . import schema
from .clock_shift import ClockReading
from .lock_retry import LOCK_TIMEOUT_S, LockRetry
from .store import StoreRefusedError

__all__ = ["FileLock", "connect", "migrate", "read_clocks", "transaction"]

log = logging.getLogger(__name__)

WAL_PAGES = 4_000  # of the write-ahead log before it is carried over: 16 MiB
CACHED_STATEMENTS = 64
MS_PER_S = 1000
FILE_MODE = 0o600
MAX_LOCK_TEXT_BYTES = 32


def read_clocks() -> ClockReading:
    """Both clocks now; the boot id is empty where the kernel does not give it."""
    try:
        boot_id = Path("/proc/sys/kernel/random/boot_id").read_text().strip()
    except OSError:
        boot_id = ""
    return ClockReading(boot_id, time.clock_gettime_ns(time.CLOCK_BOOTTIME), time.time_ns())


class FileLock:
    """The lock file beside a record: one server to a file.

    Two servers on one file would each take the other's claims for an earlier incarnation's.
    """

    def __init__(self, path: Path) -> None:
        """Takes the path of the record, not of the lock file."""
        self.path = path
        self._handle = -1

    def acquire(self) -> None:
        """Takes the lock at once, or not at all.

        Raises:
            StoreRefusedError: Another process has it, or the lock file can't be used.
        """
        try:
            self._handle = os.open(f"{self.path}.lock", os.O_RDWR | os.O_CREAT, FILE_MODE)
            fcntl.flock(self._handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            holder = os.pread(self._handle, MAX_LOCK_TEXT_BYTES, 0).decode("ascii", "replace")
            self.release()
            suffix = f" ({holder.strip()})" if holder.strip() else ""
            raise StoreRefusedError(
                f"in use by another process{suffix}; one server to a file", place=self.path
            ) from error
        except OSError as error:
            raise StoreRefusedError(str(error.strerror), place=self.path) from error
        os.ftruncate(self._handle, 0)
        os.pwrite(self._handle, f"pid {os.getpid()}".encode(), 0)

    def release(self) -> None:
        """Lets the lock go, if it is held."""
        if self._handle >= 0:
            os.close(self._handle)
            self._handle = -1


def connect(
    path: Path, max_pages: int = 0, lock_retry: LockRetry | None = None
) -> sqlite3.Connection:
    """Opens a record's file, and makes it if there is none.

    Args:
        path: The file.
        max_pages: The most pages that it may have, 0 for no bound.
        lock_retry: The rule by which the caller waits for the file's lock at each statement;
            without one, SQLite waits for it.

    Raises:
        StoreRefusedError: The file can't be opened, or is another program's.
        sqlite3.Error: The file is damaged or locked.
    """
    db = (lock_retry or LockRetry()).run(lambda: connect_once(path, max_pages))
    if lock_retry is None:
        db.execute(f"PRAGMA busy_timeout = {LOCK_TIMEOUT_S * MS_PER_S:.0f}")
    return db


def connect_once(path: Path, max_pages: int) -> sqlite3.Connection:
    """As `connect`, without waiting for the lock."""
    is_new = not path.exists() or not path.stat().st_size
    try:
        db = sqlite3.connect(
            path,
            isolation_level=None,
            check_same_thread=False,
            timeout=0.0,
            cached_statements=CACHED_STATEMENTS,
        )
    except sqlite3.OperationalError as error:
        raise StoreRefusedError(str(error), place=path) from error
    try:
        if is_new:
            path.chmod(FILE_MODE)
            db.execute("PRAGMA auto_vacuum = INCREMENTAL")
            set_application_id(db)
        check_application_id(db, path)
        configure(db, max_pages)
    except BaseException:
        db.close()
        raise
    return db


def set_application_id(db: sqlite3.Connection) -> None:
    """Marks the file as a record."""
    db.execute(f"PRAGMA application_id = {schema.SQLITE_APPLICATION_ID}")


def check_application_id(db: sqlite3.Connection, path: Path) -> None:
    """Checks that the file is a record.

    Raises:
        StoreRefusedError: It is another program's.
    """
    (application_id,) = db.execute("PRAGMA application_id").fetchone()
    if not application_id and db.execute("SELECT 1 FROM sqlite_schema").fetchone() is None:
        # Nothing is in it: another process that is making it has written its first page, and has
        # not marked it yet.
        set_application_id(db)
        (application_id,) = db.execute("PRAGMA application_id").fetchone()
    if application_id != schema.SQLITE_APPLICATION_ID:
        raise StoreRefusedError("not a burlloom record but another program's database", place=path)


def configure(db: sqlite3.Connection, max_pages: int) -> None:
    """Sets how the connection writes: a write-ahead log, synced at each commit."""
    db.execute("PRAGMA journal_mode = WAL")
    db.execute("PRAGMA synchronous = FULL")
    db.execute(f"PRAGMA wal_autocheckpoint = {WAL_PAGES}")
    db.execute("PRAGMA trusted_schema = OFF")
    db.execute("PRAGMA cell_size_check = ON")
    if max_pages:
        db.execute(f"PRAGMA max_page_count = {max_pages}")


@contextmanager
def transaction(db: sqlite3.Connection, lock_retry: LockRetry) -> Iterator[None]:
    """A transaction that has the lock from its start; rolled back unless the caller commits it."""
    lock_retry.run(lambda: db.execute("BEGIN IMMEDIATE"))
    try:
        yield
    finally:
        if db.in_transaction:
            roll_back(db)


def roll_back(db: sqlite3.Connection) -> None:
    """Rolls back; a failure is only logged, as the error that led here says more."""
    try:
        db.execute("ROLLBACK")
    except sqlite3.Error as error:
        log.warning("event=record_rollback_failed error=%r", str(error))


def migrate(
    db: sqlite3.Connection, path: Path, lock_retry: LockRetry | None = None
) -> tuple[int, ...]:
    """Takes the schema's missing steps, each in a transaction, and returns their numbers.

    The version is read anew under the lock for each: several processes may open a file at once.

    Raises:
        StoreRefusedError: The schema is newer than this program's.
        sqlite3.Error: A step can't be taken.
    """
    retry = lock_retry or LockRetry()
    taken: list[int] = []
    while True:
        with transaction(db, retry):
            (version,) = db.execute("PRAGMA user_version").fetchone()
            if version > schema.LATEST_VERSION:
                raise StoreRefusedError(
                    f"schema {version} is newer than {schema.LATEST_VERSION}, the newest"
                    " this program knows; start the newer program, or restore a snapshot of the"
                    " older one",
                    place=path,
                )
            pending = schema.pending_steps(version, schema.SQLITE_STEPS)
            if not pending:
                return tuple(taken)
            for statement in schema.SQLITE_STEPS[pending[0]]:
                db.execute(statement)
            db.execute(f"PRAGMA user_version = {pending[0]}")
            db.execute("COMMIT")
            taken.append(pending[0])
