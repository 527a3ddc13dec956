"""Snapshots of an SQLite record: taking, merging and restoring them."""

import os
import sqlite3
from contextlib import closing
from pathlib import Path

from ..time_units import NS_PER_SECOND
from . import sqlite_statements as sql
from .sqlite_admin import SqliteRecordAdmin, VerificationReport
from .store import StoreRefusedError

__all__ = ["merge_snapshot", "restore_snapshot", "take_snapshot"]

ROWS_PER_COMMIT = 500  # limits how long a merge delays the commits of a server on the same file
INCARNATIONS_SKIPPED = 1000  # by a restore, see `prepare_restored`
FILE_MODE = 0o600
RECORD_SUFFIXES = ("", "-wal", "-shm")


def take_snapshot(admin: SqliteRecordAdmin, target: Path) -> VerificationReport:
    """Copies a record as of one moment, also while a server uses it.

    The copy is verified before it is renamed to the target.

    Raises:
        StoreRefusedError: The target exists, the copy failed, or the copy does not verify.
    """
    if target.exists():
        raise StoreRefusedError("exists already", place=target)
    partial_path = target.with_name(target.name + ".part")
    partial_path.unlink(missing_ok=True)
    try:
        with admin.open_for_reading() as db, closing(sqlite3.connect(partial_path)) as copy:
            db.backup(copy)
            copy.execute("PRAGMA journal_mode = DELETE")
    except (sqlite3.Error, OSError) as error:
        partial_path.unlink(missing_ok=True)
        raise StoreRefusedError(str(error), place=target) from error
    report = SqliteRecordAdmin(partial_path, admin.authenticator).verify()
    if report.faults:
        partial_path.unlink()
        raise StoreRefusedError(
            f"the copy does not verify: {report.faults[0]} ({len(report.faults)} in all)",
            place=target,
        )
    sync_to_disk(partial_path)
    partial_path.chmod(FILE_MODE)
    partial_path.rename(target)
    sync_to_disk(target.parent)
    return report


def open_verified(admin: SqliteRecordAdmin, source: Path) -> SqliteRecordAdmin:
    """Opens a snapshot and verifies it with the record's key.

    Raises:
        StoreRefusedError: The snapshot does not verify.
    """
    snapshot = SqliteRecordAdmin(source, admin.authenticator)
    faults = snapshot.verify().faults
    if faults:
        raise StoreRefusedError(
            f"{faults[0]} ({len(faults)} faults in all); nothing was changed", place=source
        )
    return snapshot


def merge_snapshot(admin: SqliteRecordAdmin, source: Path, now_ns: int) -> tuple[int, int]:
    """Adds the rows of a snapshot that the record lacks, also while a server uses the record.

    Existing rows are not changed, and rows whose windows have ended are skipped. A server finds the
    added rows when it claims their keys: a repeat of a completed request gets the first answer, and
    a repeat of a run that an earlier incarnation started and did not finish fails, as after a
    restart.

    Returns:
        The number of rows added, and the number of rows considered.

    Raises:
        StoreRefusedError: The snapshot does not verify, or the record can't be written.
    """
    snapshot = open_verified(admin, source)
    rows = [tuple(row) for row in snapshot.read_rows("until > ?", (now_ns,))]
    added = 0
    with admin.open_for_writing() as db:
        for start in range(0, len(rows), ROWS_PER_COMMIT):
            db.execute("BEGIN IMMEDIATE")
            changes_before = db.total_changes
            db.executemany(sql.INSERT, rows[start : start + ROWS_PER_COMMIT])
            db.execute("COMMIT")
            added += db.total_changes - changes_before
    return added, len(rows)


def restore_snapshot(
    admin: SqliteRecordAdmin, source: Path, window_ns: int, nothing_lost: bool, now_ns: int
) -> int:
    """Replaces a record by a snapshot; the replaced files are kept under other names.

    Requests that ran after the snapshot was taken are not in it, and repeats of them would run
    again. The record therefore rejects keyed requests for one idempotency window.

    Args:
        admin: The record.
        source: The snapshot.
        window_ns: The longest idempotency window, nanoseconds.
        nothing_lost: Whether the operator asserts that no request ran after the snapshot.
        now_ns: The current wall-clock time, nanoseconds.

    Returns:
        When the record accepts claims again, wall-clock nanoseconds; 0 for no restriction.

    Raises:
        StoreRefusedError: The snapshot does not verify, or a server uses the record.
    """
    snapshot = open_verified(admin, source)
    closed_until_ns = 0 if nothing_lost else now_ns + window_ns
    with admin.hold_exclusive_lock("restore it"):
        partial_path = admin.path.with_name(admin.path.name + ".part")
        partial_path.unlink(missing_ok=True)
        with (
            snapshot.open_for_reading() as db,
            closing(sqlite3.connect(partial_path, isolation_level=None)) as copy,
        ):
            db.backup(copy)
            prepare_restored(copy, closed_until_ns)
        sync_to_disk(partial_path)
        partial_path.chmod(FILE_MODE)
        for suffix in RECORD_SUFFIXES:
            old_path = admin.path.with_name(admin.path.name + suffix)
            if old_path.exists():
                old_path.rename(
                    admin.path.with_name(
                        f"{admin.path.name}.before-{now_ns // NS_PER_SECOND}{suffix}"
                    )
                )
        partial_path.rename(admin.path)
        sync_to_disk(admin.path.parent)
    return closed_until_ns


def prepare_restored(db: sqlite3.Connection, closed_until_ns: int) -> None:
    """Prepares a copy for use as the record: removes state that was valid only at the snapshot."""
    # Skip all incarnations that may have existed, so that a claim made after the snapshot can't be
    # taken for a claim of a future incarnation.
    db.execute(f"UPDATE node SET life = life + {INCARNATIONS_SKIPPED}")
    db.execute(sql.UPSERT_META, ("closed_until", str(closed_until_ns)))
    db.execute("DELETE FROM meta WHERE name IN ('boot', 'steady', 'wall')")
    # The copy lacks later rollout decisions; which servers were out of service at the snapshot says
    # nothing about the present.
    for (table,) in db.execute(
        "SELECT name FROM sqlite_master WHERE name LIKE 'rollout\\_%' ESCAPE"
        " '\\' AND type = 'table'"
    ).fetchall():
        db.execute(f"DELETE FROM {table}")
    # The configuration of the snapshot stays in force. Later revisions were already used for other
    # changes, so the head is deleted, and the next process to open the record starts a new epoch.
    if db.execute("SELECT name FROM sqlite_master WHERE name = 'distribution_head'").fetchone():
        db.execute("DELETE FROM distribution_head")
        db.execute("DELETE FROM distribution_change")


def sync_to_disk(path: Path) -> None:
    """Syncs a file or directory to disk."""
    file_descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(file_descriptor)
    finally:
        os.close(file_descriptor)
