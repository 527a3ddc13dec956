"""The operator's commands on an SQLite record: stats, resolve, verify, export, migrate, compact.

While a server uses the file, only commands that do not change its rows are allowed: reads, and
verdicts on rows in doubt, which the server applies within a second.
"""

import fcntl
import os
import sqlite3
import time
from collections.abc import Iterator
from contextlib import closing, contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ..time_units import NS_PER_SECOND
from . import schema
from . import sqlite_statements as sql
from .authentication import RowAuthenticator
from .rows import ROW_COMPLETED_WITHOUT_RESULT, ROW_STARTED, ROW_STATE_NAMES, RecordRow
from .sqlite_file import FileLock, connect, migrate
from .store import StoreRefusedError

__all__ = ["RecordStats", "SqliteRecordAdmin", "VerificationReport", "format_time"]

BUSY_TIMEOUT_S = 5.0  # how long a statement waits for a lock on the file
MAX_STRUCTURE_FAULTS = 20  # faults of the file structure that `verify` lists
NO_TIME_TEXT = "-"
UPSERT_VERDICT = (
    "INSERT INTO verdict (mark, life, turn, ran, said_at, reason) VALUES (?,?,?,?,?,?)"
    " ON CONFLICT (mark) DO UPDATE SET life = excluded.life, turn = excluded.turn,"
    " ran = excluded.ran, said_at = excluded.said_at, reason = excluded.reason"
)
COMPLETE_WITHOUT_RESULT = (
    "UPDATE fate SET state = ?, seal = ? WHERE mark = ? AND life = ? AND turn = ?"
)
DELETE_CLAIM = "DELETE FROM fate WHERE mark = ? AND life = ? AND turn = ?"


@dataclass(slots=True)
class RecordStats:
    """The statistics of a record; the field names are the keys of the command's JSON output.

    Attributes:
        schema: The number of the last applied schema step.
        nodes: Each node's incarnation.
        rows: Counts of rows by the state names of `ROW_STATE_NAMES`.
        doubts: The number of rows of which it is unknown whether they ran.
        over: The number of rows whose windows have ended.
        first_end: The earliest end of a window, wall-clock nanoseconds; 0 for none.
        last_end: The latest end of a window, wall-clock nanoseconds; 0 for none.
        result_bytes: The total size of all results.
        file_bytes: The size of the file.
        free_bytes: The size of the free pages in the file.
        served: Whether a server uses the file.
        closed_until: When claims are allowed again, wall-clock nanoseconds; 0 for no restriction.
    """

    schema: int
    nodes: dict[str, int]
    rows: dict[str, int]
    doubts: int
    over: int
    first_end: int
    last_end: int
    result_bytes: int
    file_bytes: int
    free_bytes: int
    served: bool
    closed_until: int


@dataclass(slots=True)
class VerificationReport:
    """The result of a verification.

    Attributes:
        row_count: The number of rows checked.
        faults: One line for each fault found.
    """

    row_count: int = 0
    faults: list[str] = field(default_factory=list)


class SqliteRecordAdmin:
    """The operator's commands on one SQLite record.

    Every method raises `StoreRefusedError`, which says what is wrong and what to do.

    Attributes:
        path: The file.
        authenticator: Computes and checks the rows' MACs.
    """

    def __init__(self, path: Path, authenticator: RowAuthenticator) -> None:
        """Stores the attributes of the same names; the file is not opened."""
        self.path = path
        self.authenticator = authenticator

    @contextmanager
    def open_for_reading(self) -> Iterator[sqlite3.Connection]:
        """Opens a read-only connection, and closes it at the end."""
        if not self.path.is_file():
            raise self._create_refusal("no such file; `burlloom record init` creates one")
        uri = f"file:{self.path}?mode=ro"
        try:
            with closing(sqlite3.connect(uri, uri=True, timeout=BUSY_TIMEOUT_S)) as db:
                self._check_header(db)
                yield db
        except sqlite3.DatabaseError as error:
            raise self._create_refusal(str(error)) from error

    @contextmanager
    def open_for_writing(self) -> Iterator[sqlite3.Connection]:
        """Opens a connection for writing, also while a server uses the file."""
        with self.open_for_reading():
            pass
        try:
            with closing(
                sqlite3.connect(self.path, isolation_level=None, timeout=BUSY_TIMEOUT_S)
            ) as db:
                db.execute("PRAGMA synchronous = FULL")
                yield db
        except sqlite3.DatabaseError as error:
            raise self._create_refusal(str(error)) from error

    def _check_header(self, db: sqlite3.Connection) -> None:
        (application_id,) = db.execute("PRAGMA application_id").fetchone()
        (version,) = db.execute("PRAGMA user_version").fetchone()
        if application_id != schema.SQLITE_APPLICATION_ID:
            raise self._create_refusal("not a burlloom record but another program's database")
        if version > schema.LATEST_VERSION:
            raise self._create_refusal(
                f"schema {version} is newer than {schema.LATEST_VERSION}, the newest this program"
                " knows"
            )
        if version < schema.LATEST_VERSION:
            raise self._create_refusal(
                f"schema {version} is older than {schema.LATEST_VERSION}; `burlloom record migrate`"
                " applies the missing steps, and so does a server when it starts"
            )

    def _create_refusal(self, problem: str) -> StoreRefusedError:
        return StoreRefusedError(problem, place=self.path)

    def is_served(self) -> bool:
        """Returns whether a server uses the file."""
        try:
            file_descriptor = os.open(f"{self.path}.lock", os.O_RDWR)
        except FileNotFoundError:
            return False
        try:
            fcntl.flock(file_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            return False
        except BlockingIOError:
            return True
        finally:
            os.close(file_descriptor)

    @contextmanager
    def hold_exclusive_lock(self, purpose: str) -> Iterator[None]:
        """Holds the lock that keeps servers off the file.

        Args:
            purpose: Completes the error message "stop it before you ...".
        """
        lock = FileLock(self.path)
        try:
            lock.acquire()
        except StoreRefusedError as error:
            problem = f"{error.problem}: stop it before you {purpose}"
            raise StoreRefusedError(problem, place=error.place) from error
        try:
            yield
        finally:
            lock.release()

    def collect_stats(self, now_ns: int) -> RecordStats:
        """Returns counts and sizes."""
        with self.open_for_reading() as db:
            nodes = dict(db.execute("SELECT name, life FROM node").fetchall())
            counts = dict(db.execute("SELECT state, count(*) FROM fate GROUP BY state").fetchall())
            first_end_ns, last_end_ns, result_bytes = db.execute(
                "SELECT min(until), max(until), total(length(result)) FROM fate"
            ).fetchone()
            (expired,) = db.execute(
                "SELECT count(*) FROM fate WHERE until <= ?", (now_ns,)
            ).fetchone()
            pages, free_pages, page_bytes, version = (
                db.execute(f"PRAGMA {name}").fetchone()[0]
                for name in ("page_count", "freelist_count", "page_size", "user_version")
            )
            closed = db.execute("SELECT value FROM meta WHERE name = 'closed_until'").fetchone()
        return RecordStats(
            schema=version,
            nodes=nodes,
            rows={name: counts.get(state, 0) for state, name in ROW_STATE_NAMES.items()},
            doubts=sum(1 for _ in self.list_in_doubt(now_ns)),
            over=expired,
            first_end=first_end_ns or 0,
            last_end=last_end_ns or 0,
            result_bytes=int(result_bytes),
            file_bytes=pages * page_bytes,
            free_bytes=free_pages * page_bytes,
            served=self.is_served(),
            closed_until=int(closed[0]) if closed else 0,
        )

    def read_rows(self, where: str = "1", values: tuple[Any, ...] = ()) -> Iterator[RecordRow]:
        """Yields rows ordered by the ends of their windows.

        Args:
            where: The SQL condition; must not contain input from outside the program.
            values: The condition's parameters.
        """
        with self.open_for_reading() as db:
            for row in db.execute(
                f"SELECT {sql.COLUMNS} FROM fate WHERE {where} ORDER BY until", values
            ):
                yield RecordRow(*row)

    def list_in_doubt(self, now_ns: int) -> Iterator[tuple[RecordRow, str]]:
        """Yields the rows in doubt, each with its pending verdict, or "" if there is none.

        A row is in doubt if its window has not ended and its run was started by a past incarnation
        but has no recorded end. If no server uses the file, the incarnation stored in it is past.
        """
        with self.open_for_reading() as db:
            incarnations = dict(db.execute("SELECT name, life FROM node").fetchall())
            verdicts = {
                key_digest: "ran" if ran else "never ran"
                for key_digest, ran in db.execute("SELECT mark, ran FROM verdict")
            }
        is_served = self.is_served()
        for row in self.read_rows(f"state = {ROW_STARTED} AND until > ?", (now_ns,)):
            if not is_served or row.incarnation != incarnations.get(row.node):
                yield row, verdicts.get(row.key_digest, "")

    def verify(self) -> VerificationReport:
        """Checks the structure of the SQLite file, and the MAC of each row."""
        report = VerificationReport()
        with self.open_for_reading() as db:
            for (line,) in db.execute(f"PRAGMA integrity_check({MAX_STRUCTURE_FAULTS})"):
                if line != "ok":
                    report.faults.append(f"structure: {line}")
        for row in self.read_rows():
            report.row_count += 1
            if not self.authenticator.is_authentic(row):
                key = row.key_digest
                name = key.hex() if isinstance(key, bytes) else repr(key)
                report.faults.append(
                    f"mark {name}: its seal does not hold; it was altered, or sealed by another key"
                )
        return report

    def export_rows(self) -> Iterator[dict[str, Any]]:
        """Yields each row as the JSON object of the export."""
        for row in self.read_rows():
            yield {
                "mark": row.key_digest.hex(),
                "state": ROW_STATE_NAMES.get(row.state, row.state),
                "node": row.node,
                "life": row.incarnation,
                "turn": row.claim_number,
                "id": row.request_id,
                "at": row.started_at_ns,
                "until": row.expires_at_ns,
                "result": row.result.hex(),
                "sound": self.authenticator.is_authentic(row),
            }

    def resolve(self, key_digest: bytes, ran: bool, reason: str, now_ns: int) -> str:
        """Writes an operator's verdict on a row in doubt; returns a message for the operator."""
        in_doubt = (row for row, _ in self.list_in_doubt(now_ns) if row.key_digest == key_digest)
        row_in_doubt = next(in_doubt, None)
        if row_in_doubt is None:
            raise StoreRefusedError(
                f"mark {key_digest.hex()} is not in doubt; `burlloom record doubts` lists those"
                " that are"
            )
        is_served = self.is_served()
        claim = (key_digest, row_in_doubt.incarnation, row_in_doubt.claim_number)
        with self.open_for_writing() as db:
            db.execute("BEGIN IMMEDIATE")
            db.execute(UPSERT_VERDICT, (*claim, int(ran), now_ns, reason))
            if not is_served:
                self._apply_verdict(db, row_in_doubt, ran)
            db.execute("COMMIT")
        return "the server applies the verdict within a second" if is_served else "done"

    def _apply_verdict(self, db: sqlite3.Connection, row_in_doubt: RecordRow, ran: bool) -> None:
        claim = (row_in_doubt.key_digest, row_in_doubt.incarnation, row_in_doubt.claim_number)
        if ran:
            completed = row_in_doubt._replace(state=ROW_COMPLETED_WITHOUT_RESULT)
            mac = self.authenticator.compute_mac(completed)
            db.execute(COMPLETE_WITHOUT_RESULT, (completed.state, mac, *claim))
        else:
            db.execute(DELETE_CLAIM, claim)

    def create(self) -> None:
        """Creates an empty record."""
        if self.path.exists():
            raise self._create_refusal("exists already")
        self.migrate()

    def migrate(self) -> tuple[int, ...]:
        """Applies the pending schema steps, and returns their numbers; creates a missing file."""
        lock = FileLock(self.path)
        lock.acquire()
        try:
            with closing(connect(self.path)) as db:
                return migrate(db, self.path)
        except sqlite3.DatabaseError as error:
            raise self._create_refusal(str(error)) from error
        finally:
            lock.release()

    def compact(self) -> tuple[int, int]:
        """Returns all free pages to the file system; returns the sizes before and after, bytes."""
        with self.hold_exclusive_lock("compact it"), self.open_for_writing() as db:
            before = self.path.stat().st_size
            db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
            db.execute("VACUUM")
            db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
        return before, self.path.stat().st_size


def format_time(time_ns: int) -> str:
    """Formats a wall-clock time in UTC, to the second; 0 is formatted as "-"."""
    if not time_ns:
        return NO_TIME_TEXT
    return time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(time_ns // NS_PER_SECOND))
