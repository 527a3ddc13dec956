"""Opens and migrates a record's SQLite file, and locks it against a second server."""

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

WAL_CHECKPOINT_PAGES = 4_000  # size of the write-ahead log that triggers a checkpoint, 16 MiB
MAX_CACHED_STATEMENTS = 64
MS_PER_S = 1000
FILE_MODE = 0o600
MAX_LOCK_TEXT_BYTES = 32


def read_clocks() -> ClockReading:
    """Reads both clocks; the boot ID is empty if the kernel does not provide one."""
    try:
        boot_id = Path("/proc/sys/kernel/random/boot_id").read_text().strip()
    except OSError:
        boot_id = ""
    return ClockReading(boot_id, time.clock_gettime_ns(time.CLOCK_BOOTTIME), time.time_ns())


class FileLock:
    """The lock file beside a record, which allows only one server per file.

    Each of two servers on one file would treat the other's claims as those of a past incarnation.
    """

    def __init__(self, path: Path) -> None:
        """Creates an unlocked lock.

        Args:
            path: The path of the record; the lock file is beside it.
        """
        self.path = path
        self._file_descriptor = -1

    def acquire(self) -> None:
        """Acquires the lock without waiting.

        Raises:
            StoreRefusedError: Another process holds the lock, or the lock file can't be used.
        """
        try:
            self._file_descriptor = os.open(f"{self.path}.lock", os.O_RDWR | os.O_CREAT, FILE_MODE)
            fcntl.flock(self._file_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            owner = os.pread(self._file_descriptor, MAX_LOCK_TEXT_BYTES, 0).decode(
                "ascii", "replace"
            )
            self.release()
            suffix = f" ({owner.strip()})" if owner.strip() else ""
            raise StoreRefusedError(
                f"in use by another process{suffix}; only one server may use a file",
                place=self.path,
            ) from error
        except OSError as error:
            raise StoreRefusedError(str(error.strerror), place=self.path) from error
        os.ftruncate(self._file_descriptor, 0)
        os.pwrite(self._file_descriptor, f"pid {os.getpid()}".encode(), 0)

    def release(self) -> None:
        """Releases the lock, if it is held."""
        if self._file_descriptor >= 0:
            os.close(self._file_descriptor)
            self._file_descriptor = -1


def connect(
    path: Path, max_pages: int = 0, lock_retry: LockRetry | None = None
) -> sqlite3.Connection:
    """Opens a record's file, creating it if it does not exist.

    Args:
        path: The file.
        max_pages: The maximum number of pages of the file, 0 for no limit.
        lock_retry: The rule by which the caller will wait for the file's lock at each statement;
            if None, SQLite's busy handler waits instead.

    Raises:
        StoreRefusedError: The file can't be opened, or belongs to another program.
        sqlite3.Error: The file is damaged or locked.
    """
    db = (lock_retry or LockRetry()).run(lambda: connect_without_retry(path, max_pages))
    if lock_retry is None:
        db.execute(f"PRAGMA busy_timeout = {LOCK_TIMEOUT_S * MS_PER_S:.0f}")
    return db


def connect_without_retry(path: Path, max_pages: int) -> sqlite3.Connection:
    """Does the same as `connect` without waiting for the lock."""
    is_new = not path.exists() or not path.stat().st_size
    try:
        db = sqlite3.connect(
            path,
            isolation_level=None,
            check_same_thread=False,
            timeout=0.0,
            cached_statements=MAX_CACHED_STATEMENTS,
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
    """Writes the application ID that identifies the file as a record."""
    db.execute(f"PRAGMA application_id = {schema.SQLITE_APPLICATION_ID}")


def check_application_id(db: sqlite3.Connection, path: Path) -> None:
    """Checks that the file is a record.

    Raises:
        StoreRefusedError: The file belongs to another program.
    """
    (application_id,) = db.execute("PRAGMA application_id").fetchone()
    if not application_id and db.execute("SELECT 1 FROM sqlite_schema").fetchone() is None:
        # The file has no tables: another process that is creating it has written the first page,
        # but not yet the application ID.
        set_application_id(db)
        (application_id,) = db.execute("PRAGMA application_id").fetchone()
    if application_id != schema.SQLITE_APPLICATION_ID:
        raise StoreRefusedError("not a burlloom record but another program's database", place=path)


def configure(db: sqlite3.Connection, max_pages: int) -> None:
    """Configures the connection: a write-ahead log, synced at each commit."""
    db.execute("PRAGMA journal_mode = WAL")
    db.execute("PRAGMA synchronous = FULL")
    db.execute(f"PRAGMA wal_autocheckpoint = {WAL_CHECKPOINT_PAGES}")
    db.execute("PRAGMA trusted_schema = OFF")
    db.execute("PRAGMA cell_size_check = ON")
    if max_pages:
        db.execute(f"PRAGMA max_page_count = {max_pages}")


@contextmanager
def transaction(db: sqlite3.Connection, lock_retry: LockRetry) -> Iterator[None]:
    """Runs a transaction that takes the write lock at its start.

    The transaction is rolled back unless the caller commits it.
    """
    lock_retry.run(lambda: db.execute("BEGIN IMMEDIATE"))
    try:
        yield
    finally:
        if db.in_transaction:
            roll_back(db)


def roll_back(db: sqlite3.Connection) -> None:
    """Rolls back; a failure is only logged, as the error that caused the rollback matters more."""
    try:
        db.execute("ROLLBACK")
    except sqlite3.Error as error:
        log.warning("event=record_rollback_failed error=%r", str(error))


def migrate(
    db: sqlite3.Connection, path: Path, lock_retry: LockRetry | None = None
) -> tuple[int, ...]:
    """Applies the pending schema steps, each in a transaction, and returns their numbers.

    The version is read again under the lock before each step, as several processes may open a file
    at the same time.

    Raises:
        StoreRefusedError: The schema is newer than this program supports.
        sqlite3.Error: A step can't be applied.
    """
    retry = lock_retry or LockRetry()
    applied_steps: list[int] = []
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
            pending_steps = schema.list_pending_steps(version, schema.SQLITE_STEPS)
            if not pending_steps:
                return tuple(applied_steps)
            for statement in schema.SQLITE_STEPS[pending_steps[0]]:
                db.execute(statement)
            db.execute(f"PRAGMA user_version = {pending_steps[0]}")
            db.execute("COMMIT")
            applied_steps.append(pending_steps[0])
