"""Copies of a SQLite record: taken, merged into a record, and put in its place."""

import os
import sqlite3
from contextlib import closing
from pathlib import Path

from . import sqlite_statements as sql
from .sqlite_admin import NS_PER_S, SqliteRecordAdmin, VerificationReport
from .store import StoreRefusedError

__all__ = ["merge_snapshot", "restore_snapshot", "take_snapshot"]

ROWS_PER_COMMIT = 500  # the commits of a server that has the file wait for no more than these
INCARNATIONS_SKIPPED = 1000
FILE_MODE = 0o600
RECORD_SUFFIXES = ("", "-wal", "-shm")


def take_snapshot(admin: SqliteRecordAdmin, target: Path) -> VerificationReport:
    """Copies a record as of one moment, also while it is served; verified before it gets its name.

    Raises:
        StoreRefusedError: The target exists, or the copy failed or does not verify.
    """
    if target.exists():
        raise StoreRefusedError("exists already", place=target)
    part = target.with_name(target.name + ".part")
    part.unlink(missing_ok=True)
    try:
        with admin.open_for_reading() as db, closing(sqlite3.connect(part)) as copy:
            db.backup(copy)
            copy.execute("PRAGMA journal_mode = DELETE")
    except (sqlite3.Error, OSError) as error:
        part.unlink(missing_ok=True)
        raise StoreRefusedError(str(error), place=target) from error
    report = SqliteRecordAdmin(part, admin.authenticator).verify()
    if report.faults:
        part.unlink()
        raise StoreRefusedError(
            f"the copy does not verify: {report.faults[0]} ({len(report.faults)} in all)",
            place=target,
        )
    sync_to_disk(part)
    part.chmod(FILE_MODE)
    part.rename(target)
    sync_to_disk(target.parent)
    return report


def open_verified(admin: SqliteRecordAdmin, source: Path) -> SqliteRecordAdmin:
    """A snapshot that verifies under the record's key.

    Raises:
        StoreRefusedError: It does not verify.
    """
    snapshot = SqliteRecordAdmin(source, admin.authenticator)
    faults = snapshot.verify().faults
    if faults:
        raise StoreRefusedError(
            f"{faults[0]} ({len(faults)} faults in all); nothing was changed", place=source
        )
    return snapshot


def merge_snapshot(admin: SqliteRecordAdmin, source: Path, now_ns: int) -> tuple[int, int]:
    """Adds what a snapshot has and the record has not, also while it is served.

    Nothing that stands is changed, and what is over is left out. A server learns of the rows by its
    claims: a repeat of what had ended gets its first answer, and one of what an earlier incarnation
    had begun fails, as it does after a start.

    Returns:
        How many rows were added, and looked at.

    Raises:
        StoreRefusedError: The snapshot does not verify, or the record can't be written.
    """
    snapshot = open_verified(admin, source)
    rows = [tuple(row) for row in snapshot.read_rows("until > ?", (now_ns,))]
    added = 0
    with admin.open_for_writing() as db:
        for start in range(0, len(rows), ROWS_PER_COMMIT):
            db.execute("BEGIN IMMEDIATE")
            before = db.total_changes
            db.executemany(sql.INSERT, rows[start : start + ROWS_PER_COMMIT])
            db.execute("COMMIT")
            added += db.total_changes - before
    return added, len(rows)


def restore_snapshot(
    admin: SqliteRecordAdmin, source: Path, window_ns: int, nothing_lost: bool, now_ns: int
) -> int:
    """Puts a snapshot in a record's place; what was there is kept beside it under another name.

    What ran between the snapshot and now is not in it, and a repeat of that would run again: so the
    record stays closed for keyed requests for one whole window.

    Args:
        admin: The record.
        source: The snapshot.
        window_ns: The longest idempotency window.
        nothing_lost: Whether the operator knows that nothing ran since.
        now_ns: The time now.

    Returns:
        Until when the record stays closed, 0 where it does not.

    Raises:
        StoreRefusedError: The snapshot does not verify, or a server has the record.
    """
    snapshot = open_verified(admin, source)
    closed_until_ns = 0 if nothing_lost else now_ns + window_ns
    with admin.exclusive("restore it"):
        part = admin.path.with_name(admin.path.name + ".part")
        part.unlink(missing_ok=True)
        with (
            snapshot.open_for_reading() as db,
            closing(sqlite3.connect(part, isolation_level=None)) as copy,
        ):
            db.backup(copy)
            prepare_restored(copy, closed_until_ns)
        sync_to_disk(part)
        part.chmod(FILE_MODE)
        for suffix in RECORD_SUFFIXES:
            old = admin.path.with_name(admin.path.name + suffix)
            if old.exists():
                old.rename(
                    admin.path.with_name(f"{admin.path.name}.before-{now_ns // NS_PER_S}{suffix}")
                )
        part.rename(admin.path)
        sync_to_disk(admin.path.parent)
    return closed_until_ns


def prepare_restored(db: sqlite3.Connection, closed_until_ns: int) -> None:
    """Makes a copy fit to go on from: nothing written after the snapshot may pass for its own."""
    # Beyond all incarnations that there were: no claim made after the snapshot may pass for one of
    # an incarnation to come.
    db.execute(f"UPDATE node SET life = life + {INCARNATIONS_SKIPPED}")
    db.execute(sql.UPSERT_META, ("closed_until", str(closed_until_ns)))
    db.execute("DELETE FROM meta WHERE name IN ('boot', 'steady', 'wall')")
    # What servers agreed on since is not in it: who was out then says nothing of who is out now.
    for (table,) in db.execute(
        "SELECT name FROM sqlite_master WHERE name LIKE 'rollout\\_%' ESCAPE"
        " '\\' AND type = 'table'"
    ).fetchall():
        db.execute(f"DELETE FROM {table}")
    # Configuration stays in force as it is there. Revisions after it were given before, to others:
    # with no head, whoever opens it next begins a new epoch.
    if db.execute("SELECT name FROM sqlite_master WHERE name = 'distribution_head'").fetchone():
        db.execute("DELETE FROM distribution_head")
        db.execute("DELETE FROM distribution_change")


def sync_to_disk(path: Path) -> None:
    """Waits until a file or a folder is on disk."""
    handle = os.open(path, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)
