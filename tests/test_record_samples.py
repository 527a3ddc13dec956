"""Compatibility with an SQLite record that version 0.7.1 wrote."""

import asyncio
import shutil
from pathlib import Path

import pytest

from burlloom.record.authentication import RowAuthenticator, load_key
from burlloom.record.request_lifecycle import RequestEvent
from burlloom.record.rows import (
    ROW_COMPLETED,
    ROW_COMPLETED_WITHOUT_RESULT,
    ROW_STARTED,
    RecordRow,
    RecordWrite,
    WriteKind,
    WriteResult,
)
from burlloom.record.sqlite import SqliteStore
from burlloom.record.sqlite_admin import SqliteRecordAdmin

DATA = Path(__file__).parent / "data"
EXPIRY_NS = 4_000_000_000 * 10**9
STATES = (ROW_STARTED, ROW_COMPLETED, ROW_COMPLETED_WITHOUT_RESULT, ROW_STARTED)
RESULTS = (b"", b"receipt 1", b"", b"")


def key_digest(number: int) -> bytes:
    """Returns the key digest of the sample's request with this number."""
    return bytes([number]) * 16


@pytest.fixture
def record(tmp_path: Path) -> Path:
    """Returns the path of a copy of the sample."""
    path = tmp_path / "record.db"
    shutil.copy(DATA / "record_0_7_1.db", path)
    return path


@pytest.fixture
def authenticator(tmp_path: Path) -> RowAuthenticator:
    """Returns the authenticator with the sample's key."""
    path = tmp_path / "record.key"
    shutil.copy(DATA / "record_0_7_1.key", path)
    path.chmod(0o600)
    return RowAuthenticator(load_key(path, create=False))


def test_rows_and_macs_are_read_as_written(record: Path, authenticator: RowAuthenticator) -> None:
    admin = SqliteRecordAdmin(record, authenticator)
    rows = [row._replace(mac=b"") for row in admin.read_rows()]
    assert rows == [
        RecordRow(
            key_digest(n), STATES[n], "n1", 1, n + 1, f"id{n}", 1000 + n, EXPIRY_NS + n, RESULTS[n]
        )
        for n in range(4)
    ]
    report = admin.verify()
    assert (report.row_count, report.faults) == (4, [])


def test_rows_in_doubt_are_listed_with_their_verdicts(
    record: Path, authenticator: RowAuthenticator
) -> None:
    in_doubt = SqliteRecordAdmin(record, authenticator).list_in_doubt(0)
    assert [(row.key_digest, verdict) for row, verdict in in_doubt] == [
        (key_digest(0), ""),
        (key_digest(3), "ran"),
    ]


def test_the_next_incarnation_reads_the_notice_and_rows_of_the_last_one(
    record: Path, authenticator: RowAuthenticator
) -> None:
    store = SqliteStore(record, authenticator, "n1")
    session = store.open_without_event_loop()
    assert (session.incarnation, session.previous_notice, session.migrated) == (2, "lean", ())
    keys = [key for batch in store.read_recorded_keys(0) for key, _ in batch]
    assert keys == [key_digest(n) for n in range(4)]
    assert [row.key_digest for row in store.read_started_rows(0)] == [key_digest(0), key_digest(3)]
    store.release()


def test_a_repeated_request_gets_the_stored_result(
    record: Path, authenticator: RowAuthenticator
) -> None:
    async def scenario() -> list[WriteResult]:
        store = SqliteStore(record, authenticator, "n1")
        await store.open()
        await store.start()
        results = []
        for n in range(4):
            result: asyncio.Future[WriteResult] = asyncio.get_running_loop().create_future()
            row = RecordRow(key_digest(n), ROW_STARTED, "n1", 2, 1, "id", 0, EXPIRY_NS)
            row = row._replace(mac=authenticator.compute_mac(row))
            store.submit(RecordWrite(WriteKind.CLAIM, row), result.set_result)
            results.append(await asyncio.wait_for(result, 20))
        await store.close()
        return results

    results = asyncio.run(scenario())
    assert [result.outcome for result in results] == [
        RequestEvent.FOUND_NO_RESULT,
        RequestEvent.FOUND_RESULT,
        RequestEvent.FOUND_NO_RESULT,
        RequestEvent.FOUND_NO_RESULT,
    ]
    stored = results[1].row
    assert stored is not None
    assert stored.result == b"receipt 1"
