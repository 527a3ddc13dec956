"""What an operator does to a record: look, resolve, verify, copy, put back. Each is one call, and
reports plainly.

While a server has the file, only what leaves its rows alone is allowed: looks, snapshots, and
verdicts on doubts, which the server takes up within a second.
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

from . import schema
from .authentication import RowAuthenticator
from .rows import ROW_COMPLETED_WITHOUT_RESULT, ROW_STARTED, ROW_STATE_NAMES, RecordRow
from .sqlite import COLUMNS, INSERT, SqliteStore, connect, migrate
from .store import StoreRefusedError

SECOND = 1_000_000_000
MERGE_AT_ONCE = 500


@dataclass(slots=True)
class RecordStats:
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
    """What `verify` found; `faults` is empty where all is well."""

    row_count: int = 0
    faults: list[str] = field(default_factory=list)


class SqliteRecordAdmin:
    """One SQLite record. Raises `Refused` with what is wrong and what to do."""

    def __init__(self, path: Path, sealer: RowAuthenticator) -> None:
        self.path, self.authenticator = path, sealer

    # Looks.

    @contextmanager
    def open_for_reading(self) -> Iterator[sqlite3.Connection]:
        if not self.path.is_file():
            raise StoreRefusedError(f"{self.path}: no such file; `burlloom record init` makes one")
        try:
            with closing(sqlite3.connect(f"file:{self.path}?mode=ro", uri=True, timeout=5.0)) as db:
                self.check(db)
                yield db
        except sqlite3.DatabaseError as error:
            raise StoreRefusedError(f"{self.path}: {error}") from error

    @contextmanager
    def open_for_writing(self) -> Iterator[sqlite3.Connection]:
        with self.open_for_reading():
            pass
        try:
            with closing(sqlite3.connect(self.path, isolation_level=None, timeout=5.0)) as db:
                db.execute("PRAGMA synchronous = FULL")
                yield db
        except sqlite3.DatabaseError as error:
            raise StoreRefusedError(f"{self.path}: {error}") from error

    def check(self, db: sqlite3.Connection) -> None:
        (application,) = db.execute("PRAGMA application_id").fetchone()
        (have,) = db.execute("PRAGMA user_version").fetchone()
        if application != schema.APPLICATION:
            raise StoreRefusedError(
                f"{self.path}: not a burlloom record but another program's database"
            )
        if have > schema.LATEST:
            raise StoreRefusedError(
                f"{self.path}: schema {have} is newer than {schema.LATEST}, the newest this program knows"
            )
        if have < schema.LATEST:
            raise StoreRefusedError(
                f"{self.path}: schema {have} is older than {schema.LATEST}; `burlloom record migrate` takes"
                " the steps between, and so does a server when it starts"
            )

    def is_served(self) -> bool:
        """Whether a server has the file."""
        try:
            handle = os.open(f"{self.path}.lock", os.O_RDWR)
        except FileNotFoundError:
            return False
        try:
            fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
            return False
        except BlockingIOError:
            return True
        finally:
            os.close(handle)

    @contextmanager
    def exclusive(self, what: str) -> Iterator[None]:
        holder = SqliteStore(self.path, self.authenticator, "-")
        try:
            holder.take_lock()
        except StoreRefusedError as error:
            raise StoreRefusedError(f"{error}: stop it before you {what}") from error
        try:
            yield
        finally:
            holder.release()

    def stats(self, now: int) -> RecordStats:
        with self.open_for_reading() as db:
            nodes = dict(db.execute("SELECT name, life FROM node").fetchall())
            counted = dict(db.execute("SELECT state, count(*) FROM fate GROUP BY state").fetchall())
            first, last, size = db.execute(
                "SELECT min(until), max(until), total(length(result)) FROM fate"
            ).fetchone()
            (over,) = db.execute("SELECT count(*) FROM fate WHERE until <= ?", (now,)).fetchone()
            pages, free, page, version = (
                db.execute(f"PRAGMA {name}").fetchone()[0]
                for name in ("page_count", "freelist_count", "page_size", "user_version")
            )
            closed = db.execute("SELECT value FROM meta WHERE name = 'closed_until'").fetchone()
        doubts = sum(1 for _ in self.list_in_doubt(now))
        return RecordStats(
            version,
            nodes,
            {name: counted.get(state, 0) for state, name in ROW_STATE_NAMES.items()},
            doubts,
            over,
            first or 0,
            last or 0,
            int(size),
            pages * page,
            free * page,
            self.is_served(),
            int(closed[0]) if closed else 0,
        )

    def read_rows(self, where: str = "1", values: tuple[Any, ...] = ()) -> Iterator[RecordRow]:
        with self.open_for_reading() as db:
            for row in db.execute(
                f"SELECT {COLUMNS} FROM fate WHERE {where} ORDER BY until", values
            ):
                yield RecordRow(*row)

    def list_in_doubt(self, now: int) -> Iterator[tuple[RecordRow, str]]:
        """Begun by a life that is over, with no end and the window not over; and the verdict that
        waits, if any.

        Where no server has the file, the life that is written there is over too.
        """
        with self.open_for_reading() as db:
            lives = dict(db.execute("SELECT name, life FROM node").fetchall())
            said = {
                mark: "ran" if ran else "never ran"
                for mark, ran in db.execute("SELECT mark, ran FROM verdict")
            }
        served = self.is_served()
        for row in self.read_rows(f"state = {ROW_STARTED} AND until > ?", (now,)):
            if not served or row.incarnation != lives.get(row.node):
                yield row, said.get(row.key_digest, "")

    def verify(self) -> VerificationReport:
        """The file's own structure, and the seal of each row."""
        found = VerificationReport()
        with self.open_for_reading() as db:
            for (said,) in db.execute("PRAGMA integrity_check(20)"):
                if said != "ok":
                    found.faults.append(f"structure: {said}")
        for row in self.read_rows():
            found.row_count += 1
            if not self.authenticator.is_authentic(row):
                name = (
                    row.key_digest.hex()
                    if isinstance(row.key_digest, bytes)
                    else repr(row.key_digest)
                )
                found.faults.append(
                    f"mark {name}: its seal does not hold; it was altered, or sealed by another key"
                )
        return found

    def export(self) -> Iterator[dict[str, Any]]:
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

    # Changes.

    def resolve(self, mark: bytes, ran: bool, reason: str, now: int) -> str:
        """An operator's word on a doubt; what was done with it."""
        doubt = next((row for row, _ in self.list_in_doubt(now) if row.key_digest == mark), None)
        if doubt is None:
            raise StoreRefusedError(
                f"mark {mark.hex()} is not in doubt; `burlloom record doubts` lists those that are"
            )
        served = self.is_served()
        with self.open_for_writing() as db:
            db.execute("BEGIN IMMEDIATE")
            db.execute(
                "INSERT INTO verdict (mark, life, turn, ran, said_at, reason) VALUES (?,?,?,?,?,?)"
                " ON CONFLICT (mark) DO UPDATE SET life = excluded.life, turn = excluded.turn,"
                " ran = excluded.ran, said_at = excluded.said_at, reason = excluded.reason",
                (mark, doubt.incarnation, doubt.claim_number, int(ran), now, reason),
            )
            if not served:
                self.apply(db, doubt, ran)
            db.execute("COMMIT")
        return "the server takes it up within a second" if served else "done"

    def apply(self, db: sqlite3.Connection, doubt: RecordRow, ran: bool) -> None:
        if ran:
            spent = doubt._replace(state=ROW_COMPLETED_WITHOUT_RESULT)
            db.execute(
                "UPDATE fate SET state = ?, seal = ? WHERE mark = ? AND life = ? AND turn = ?",
                (
                    ROW_COMPLETED_WITHOUT_RESULT,
                    self.authenticator.compute_mac(spent),
                    doubt.key_digest,
                    doubt.incarnation,
                    doubt.claim_number,
                ),
            )
        else:
            db.execute(
                "DELETE FROM fate WHERE mark = ? AND life = ? AND turn = ?",
                (doubt.key_digest, doubt.incarnation, doubt.claim_number),
            )

    def init(self, node: str) -> None:
        if self.path.exists():
            raise StoreRefusedError(f"{self.path}: exists already")
        self.migrate(node)

    def migrate(self, node: str) -> tuple[int, ...]:
        """The steps that were taken; makes the file where there is none."""
        store = SqliteStore(self.path, self.authenticator, node)
        store.take_lock()
        try:
            db = store.db = connect(self.path)
            return migrate(db, self.path)
        except sqlite3.DatabaseError as error:
            raise StoreRefusedError(f"{self.path}: {error}") from error
        finally:
            store.release()

    def compact(self) -> tuple[int, int]:
        """Bytes before and after."""
        with self.exclusive("compact it"), self.open_for_writing() as db:
            before = self.path.stat().st_size
            db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
            db.execute("VACUUM")
            db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
        return before, self.path.stat().st_size

    def snapshot(self, to: Path) -> VerificationReport:
        """A whole copy of one moment, also while a server writes; verified before it gets its
        name.
        """
        if to.exists():
            raise StoreRefusedError(f"{to}: exists already")
        part = to.with_name(to.name + ".part")
        part.unlink(missing_ok=True)
        try:
            with self.open_for_reading() as db, closing(sqlite3.connect(part)) as copy:
                db.backup(copy)
                copy.execute("PRAGMA journal_mode = DELETE")
        except (sqlite3.Error, OSError) as error:
            part.unlink(missing_ok=True)
            raise StoreRefusedError(f"{to}: {error}") from error
        found = SqliteRecordAdmin(part, self.authenticator).verify()
        if found.faults:
            part.unlink()
            raise StoreRefusedError(
                f"{to}: the copy does not verify: {found.faults[0]} ({len(found.faults)} in all)"
            )
        sync(part)
        os.chmod(part, 0o600)
        part.rename(to)
        sync(to.parent)
        return found

    def merge(self, source: Path, now: int) -> tuple[int, int]:
        """Adds what a snapshot has and the record has not, also while it is served: how many were
        added, and looked at.

        Nothing that stands is changed, and what is over is left out. A server learns of them by its
        claims: a repeat of what had ended gets its first answer, and of what a former life had
        begun it is voided, as it is after a start.
        """
        copy = SqliteRecordAdmin(source, self.authenticator)
        found = copy.verify()
        if found.faults:
            raise StoreRefusedError(
                f"{source}: {found.faults[0]} ({len(found.faults)} faults in all); nothing was changed"
            )
        rows = [tuple(row) for row in copy.read_rows("until > ?", (now,))]
        added = 0
        with self.open_for_writing() as db:
            for start in range(
                0, len(rows), MERGE_AT_ONCE
            ):  # the server's own commits wait for no more than these
                db.execute("BEGIN IMMEDIATE")
                before = db.total_changes
                db.executemany(INSERT, rows[start : start + MERGE_AT_ONCE])
                db.execute("COMMIT")
                added += db.total_changes - before
        return added, len(rows)

    def restore(self, source: Path, window: int, nothing_lost: bool, now: int) -> int:
        """Puts a snapshot in place; until when the record stays closed, 0 where it does not.

        What ran between the snapshot and now is not in it, and a repeat of that would run again: so
        the record stays closed for charges for one whole window. `nothing_lost`: the operator knows
        that nothing ran since.
        """
        copy = SqliteRecordAdmin(source, self.authenticator)
        found = copy.verify()
        if found.faults:
            raise StoreRefusedError(
                f"{source}: {found.faults[0]} ({len(found.faults)} faults in all); nothing was changed"
            )
        with self.exclusive("restore it"):
            part = self.path.with_name(self.path.name + ".part")
            part.unlink(missing_ok=True)
            with (
                copy.open_for_reading() as db,
                closing(sqlite3.connect(part, isolation_level=None)) as fresh,
            ):
                db.backup(fresh)
                closed = 0 if nothing_lost else now + window
                # A life beyond all that there was: no claim of before may pass for one of the life
                # to come.
                fresh.execute("UPDATE node SET life = life + 1000")
                fresh.execute(
                    "INSERT INTO meta (name, value) VALUES ('closed_until', ?) ON CONFLICT (name) DO UPDATE"
                    " SET value = excluded.value",
                    (str(closed),),
                )
                fresh.execute("DELETE FROM meta WHERE name IN ('boot', 'steady', 'wall')")
                # What a fleet agreed on since is not in it: who was out then says nothing of who is
                # out now.
                for (table,) in fresh.execute(
                    "SELECT name FROM sqlite_master WHERE name LIKE 'rollout\\_%' ESCAPE"
                    " '\\' AND type = 'table'"
                ).fetchall():
                    fresh.execute(f"DELETE FROM {table}")
                # Configuration stays in force as it is there. Revisions after it were given before,
                # to others: with no head, whoever opens it next begins a new epoch.
                if fresh.execute(
                    "SELECT name FROM sqlite_master WHERE name = 'distribution_head'"
                ).fetchone():
                    fresh.execute("DELETE FROM distribution_head")
                    fresh.execute("DELETE FROM distribution_change")
            sync(part)
            os.chmod(part, 0o600)
            for tail in ("", "-wal", "-shm"):  # what is there is put aside whole, its log with it
                there = self.path.with_name(self.path.name + tail)
                if there.exists():
                    there.rename(
                        self.path.with_name(f"{self.path.name}.before-{now // SECOND}{tail}")
                    )
            part.rename(self.path)
            sync(self.path.parent)
        return closed


def sync(path: Path) -> None:
    handle = os.open(path, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


def format_time(at: int) -> str:
    return time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(at // SECOND)) if at else "-"
