"""A SQLite record that version 0.7.1 wrote: it opens, and means what it meant."""

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
    """The key digest of the sample's request of this number."""
    return bytes([number]) * 16


@pytest.fixture
def record(tmp_path: Path) -> Path:
    """A copy of the sample."""
    path = tmp_path / "record.db"
    shutil.copy(DATA / "record_0_7_1.db", path)
    return path


@pytest.fixture
def authenticator(tmp_path: Path) -> RowAuthenticator:
    """What checks the sample's rows."""
    path = tmp_path / "record.key"
    shutil.copy(DATA / "record_0_7_1.key", path)
    path.chmod(0o600)
    return RowAuthenticator(load_key(path, create=False))


def test_rows_and_macs_are_those_that_were_written(
    record: Path, authenticator: RowAuthenticator
) -> None:
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


def test_rows_in_doubt_and_the_verdict_on_one_are_listed(
    record: Path, authenticator: RowAuthenticator
) -> None:
    found = SqliteRecordAdmin(record, authenticator).list_in_doubt(0)
    assert [(row.key_digest, verdict) for row, verdict in found] == [
        (key_digest(0), ""),
        (key_digest(3), "ran"),
    ]


def test_the_next_incarnation_takes_up_what_the_last_one_left(
    record: Path, authenticator: RowAuthenticator
) -> None:
    store = SqliteStore(record, authenticator, "n1")
    session = store.open_without_event_loop()
    assert (session.incarnation, session.previous_notice, session.migrated) == (2, "lean", ())
    keys = [key for batch in store.read_recorded_keys(0) for key, _ in batch]
    assert keys == [key_digest(n) for n in range(4)]
    assert [row.key_digest for row in store.read_started_rows(0)] == [key_digest(0), key_digest(3)]
    store.release()


def test_a_repeat_gets_the_result_that_was_stored(
    record: Path, authenticator: RowAuthenticator
) -> None:
    async def scenario() -> list[WriteResult]:
        store = SqliteStore(record, authenticator, "n1")
        await store.open()
        await store.start()
        answers = []
        for n in range(4):
            answer: asyncio.Future[WriteResult] = asyncio.get_running_loop().create_future()
            row = RecordRow(key_digest(n), ROW_STARTED, "n1", 2, 1, "id", 0, EXPIRY_NS)
            row = row._replace(mac=authenticator.compute_mac(row))
            store.submit(RecordWrite(WriteKind.CLAIM, row), answer.set_result)
            answers.append(await asyncio.wait_for(answer, 20))
        await store.close()
        return answers

    answers = asyncio.run(scenario())
    assert [answer.outcome for answer in answers] == [
        RequestEvent.FOUND_NO_RESULT,
        RequestEvent.FOUND_RESULT,
        RequestEvent.FOUND_NO_RESULT,
        RequestEvent.FOUND_NO_RESULT,
    ]
    stored = answers[1].row
    assert stored is not None
    assert stored.result == b"receipt 1"
