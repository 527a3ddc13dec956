"""Both stores against the reference `rows.apply_write`, and their behavior on faults."""

import asyncio
import sqlite3
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from locked_database import LockedDatabase

from burlloom.fakes.postgres import Postgres as StandIn
from burlloom.record.authentication import RowAuthenticator, load_key
from burlloom.record.clock_shift import ClockReading
from burlloom.record.postgres import PostgresStore
from burlloom.record.postgres_database import PostgresDatabase
from burlloom.record.request_lifecycle import RequestEvent
from burlloom.record.rows import (
    ROW_COMPLETED,
    ROW_COMPLETED_WITHOUT_RESULT,
    ROW_STARTED,
    RecordRow,
    RecordWrite,
    WriteKind,
    WriteResult,
    apply_write,
    interpret_unapplied_write,
)
from burlloom.record.sqlite import SqliteStore
from burlloom.record.sqlite_admin import SqliteRecordAdmin
from burlloom.record.sqlite_file import connect
from burlloom.record.sqlite_snapshot import merge_snapshot, take_snapshot
from burlloom.record.store import StoreRefusedError
from burlloom.time_units import NS_PER_SECOND

AUTHENTICATOR = RowAuthenticator(b"k" * 32)
EXPIRY_NS = 1 << 62
KEY_DIGESTS = [bytes([n]) * 16 for n in range(3)]


class StoreClient:
    """Submits writes to a store and awaits their results."""

    def __init__(self, store: Any) -> None:
        self.store = store

    async def write(self, *writes: RecordWrite) -> list[WriteResult]:
        loop = asyncio.get_running_loop()
        results: list[asyncio.Future[WriteResult]] = [loop.create_future() for _ in writes]
        for write, result in zip(writes, results):
            self.store.submit(write, result.set_result)
        return await asyncio.wait_for(asyncio.gather(*results), 20)


def make_row(
    key_digest: bytes = KEY_DIGESTS[0],
    state: int = ROW_STARTED,
    node: str = "n1",
    incarnation: int = 1,
    claim_number: int = 1,
    result: bytes = b"",
) -> RecordRow:
    unsigned_row = RecordRow(
        key_digest, state, node, incarnation, claim_number, "00ff", 5, EXPIRY_NS, result
    )
    return unsigned_row._replace(mac=AUTHENTICATOR.compute_mac(unsigned_row))


def make_claim(**fields: Any) -> RecordWrite:
    return RecordWrite(WriteKind.CLAIM, make_row(**fields))


def make_finish(result: bytes = b"paid", **fields: Any) -> RecordWrite:
    return RecordWrite(WriteKind.FINISH, make_row(state=ROW_COMPLETED, result=result, **fields))


def make_withdraw(**fields: Any) -> RecordWrite:
    return RecordWrite(WriteKind.WITHDRAW, make_row(**fields))


def with_store(kind: str, scenario: Callable[[Any, Any], Awaitable[None]]) -> None:
    """Runs a scenario with a new store of this kind; for PostgreSQL, with its stand-in server."""

    async def run() -> None:
        with tempfile.TemporaryDirectory() as name:
            standin = await StandIn(Path(name), "secret").start() if kind == "postgres" else None
            store = create_store(kind, Path(name), standin)
            await store.open()
            await store.start()
            try:
                await scenario(StoreClient(store), standin)
            finally:
                await store.close()
                if standin is not None:
                    await standin.stop()

    asyncio.run(run())


def create_store(
    kind: str, folder: Path, standin: StandIn | None, node: str = "n1", **options: Any
) -> Any:
    if standin is None:
        return SqliteStore(folder / "record.db", AUTHENTICATOR, node, **options)
    host, port = standin.address.split(":")
    return PostgresStore(
        PostgresDatabase(
            host, int(port), "burlloom", "burlloom", "secret", statement_timeout_s=0.5
        ),
        AUTHENTICATOR,
        node,
        clock=lambda: 0,
        **options,
    )


KINDS = pytest.mark.parametrize("kind", ["sqlite", "postgres"])
WRITES = st.lists(
    st.tuples(
        st.sampled_from(
            [
                WriteKind.CLAIM,
                WriteKind.FINISH,
                WriteKind.WITHDRAW,
                WriteKind.INSERT,
                WriteKind.FIND,
            ]
        ),
        st.sampled_from(KEY_DIGESTS),
        st.integers(1, 3),
        st.sampled_from([ROW_COMPLETED, ROW_COMPLETED_WITHOUT_RESULT]),
    ),
    max_size=14,
)


@KINDS
@settings(max_examples=25, deadline=None)
@given(operations=WRITES)
def test_each_write_matches_the_reference(
    kind: str, operations: list[tuple[WriteKind, bytes, int, int]]
) -> None:
    async def scenario(client: StoreClient, _: Any) -> None:
        rows: dict[bytes, RecordRow | None] = {}
        for write_kind, key_digest, claim_number, state in operations:
            is_end = write_kind in (WriteKind.FINISH, WriteKind.INSERT)
            write = RecordWrite(
                write_kind,
                make_row(
                    key_digest,
                    state if is_end else ROW_STARTED,
                    claim_number=claim_number,
                    result=b"r%d" % claim_number if is_end and state == ROW_COMPLETED else b"",
                ),
            )
            stored_row = rows.get(key_digest)
            rows[key_digest], is_applied = apply_write(stored_row, write, 1)
            (result,) = await client.write(write)
            assert result == (
                WriteResult(RequestEvent.WRITE_APPLIED)
                if is_applied
                else interpret_unapplied_write(write, stored_row, {"n1": (1, False)})
            )
        for key_digest, stored_row in rows.items():
            (result,) = await client.write(
                RecordWrite(WriteKind.FIND, make_row(key_digest, claim_number=99))
            )
            assert (result.outcome is RequestEvent.NOT_FOUND) == (stored_row is None)

    with_store(kind, scenario)


ROWS_BEFORE = st.lists(
    st.sampled_from(
        [
            None,
            (ROW_STARTED, 1),
            (ROW_STARTED, 2),
            (ROW_COMPLETED, 1),
            (ROW_COMPLETED_WITHOUT_RESULT, 2),
        ]
    ),
    min_size=12,
    max_size=12,
)
OPERATIONS_IN_ONE_BATCH = st.lists(
    st.tuples(
        st.sampled_from(
            [
                WriteKind.CLAIM,
                WriteKind.FINISH,
                WriteKind.WITHDRAW,
                WriteKind.INSERT,
                WriteKind.FIND,
            ]
        ),
        st.integers(1, 2),
    ),
    min_size=12,
    max_size=12,
)


@KINDS
@settings(max_examples=25, deadline=None)
@given(before=ROWS_BEFORE, operations=OPERATIONS_IN_ONE_BATCH)
def test_a_batch_gives_the_same_results_as_single_writes(
    kind: str, before: list[Any], operations: list[tuple[WriteKind, int]]
) -> None:
    async def scenario(client: StoreClient, _: Any) -> None:
        key_digests = [bytes([n]) * 16 for n in range(12)]
        rows = {
            key_digest: make_row(key_digest, fields[0], claim_number=fields[1]) if fields else None
            for key_digest, fields in zip(key_digests, before)
        }
        await client.write(
            *(RecordWrite(WriteKind.INSERT, row) for row in rows.values() if row is not None)
        )
        writes = [
            RecordWrite(
                write_kind,
                make_row(
                    key_digest,
                    ROW_COMPLETED
                    if write_kind in (WriteKind.FINISH, WriteKind.INSERT)
                    else ROW_STARTED,
                    claim_number=claim_number,
                ),
            )
            for key_digest, (write_kind, claim_number) in zip(key_digests, operations)
        ]
        for write, result in zip(writes, await client.write(*writes)):
            stored_row = rows[write.row.key_digest]
            _, is_applied = apply_write(stored_row, write, 1)
            assert result.outcome is (
                RequestEvent.WRITE_APPLIED
                if is_applied
                else interpret_unapplied_write(write, stored_row, {"n1": (1, False)}).outcome
            )

    with_store(kind, scenario)


@KINDS
def test_concurrent_writes_share_commits(kind: str) -> None:
    async def scenario(client: StoreClient, _: Any) -> None:
        key_digests = [bytes([n, 7]) * 8 for n in range(200)]
        results = await client.write(
            *(make_claim(key_digest=key_digest) for key_digest in key_digests)
        )
        assert {result.outcome for result in results} == {RequestEvent.WRITE_APPLIED}
        results = await client.write(
            *(make_finish(key_digest=key_digest) for key_digest in key_digests),
            *(make_claim(key_digest=key_digest, claim_number=9) for key_digest in key_digests),
        )
        assert [result.outcome for result in results] == [RequestEvent.WRITE_APPLIED] * 200 + [
            RequestEvent.FOUND_RESULT
        ] * 200
        assert client.store.commit_count < 40

    with_store(kind, scenario)


@KINDS
def test_a_past_incarnation_can_not_write(kind: str) -> None:
    async def scenario(client: StoreClient, standin: Any) -> None:
        await client.write(make_claim())
        if standin is None:
            path, old_incarnation = client.store.path, client.store.incarnation
            await client.store.close()
            next_store = SqliteStore(path, AUTHENTICATOR, "n1")
        else:
            next_store, old_incarnation = (
                create_store(kind, Path(), standin),
                client.store.incarnation,
            )
        session = await next_store.open()
        assert session.incarnation == old_incarnation + 1
        assert [row.request_id for row in next_store.read_started_rows(0)] == ["00ff"]
        await next_store.start()
        if standin is not None:
            assert (await client.write(make_finish()))[0].outcome is RequestEvent.FENCED
            assert (await client.write(make_claim(key_digest=KEY_DIGESTS[1])))[
                0
            ].outcome is RequestEvent.FENCED
        assert (await StoreClient(next_store).write(make_claim(incarnation=2)))[
            0
        ].outcome is RequestEvent.FOUND_NO_RESULT
        await next_store.close()

    with_store(kind, scenario)


def test_a_claim_is_visible_to_the_other_node_and_a_fenced_node_can_not_write() -> None:
    async def scenario(first_node: StoreClient, standin: Any) -> None:
        store = create_store("postgres", Path(), standin, "n2")
        await store.open()
        await store.start()
        second_node = StoreClient(store)
        assert (await first_node.write(make_claim()))[0].outcome is RequestEvent.WRITE_APPLIED
        assert (await second_node.write(make_claim(node="n2")))[
            0
        ].outcome is RequestEvent.FOUND_CLAIMED
        assert (await second_node.write(make_finish(node="n2")))[
            0
        ].outcome is RequestEvent.FOUND_CLAIMED
        assert (await first_node.write(make_finish(b"first")))[
            0
        ].outcome is RequestEvent.WRITE_APPLIED
        (result,) = await second_node.write(make_claim(node="n2"))
        assert result.outcome is RequestEvent.FOUND_RESULT
        assert result.row is not None
        assert result.row.result == b"first"
        await first_node.write(make_claim(key_digest=KEY_DIGESTS[1]))
        standin.db.execute("UPDATE node SET fenced = 1 WHERE name = 'n1'")
        assert (await second_node.write(make_claim(node="n2", key_digest=KEY_DIGESTS[1])))[
            0
        ].outcome is RequestEvent.FOUND_NO_RESULT
        assert (await first_node.write(make_claim(key_digest=KEY_DIGESTS[2])))[
            0
        ].outcome is RequestEvent.FENCED
        await store.close()

    with_store("postgres", scenario)


FAULTS = {
    "reset before commit": (
        {"reset_before_commit": 1},
        {RequestEvent.WRITE_UNCERTAIN},
        RequestEvent.WRITE_APPLIED,
    ),
    "reset after commit": (
        {"reset_after_commit": 1},
        {RequestEvent.WRITE_UNCERTAIN},
        RequestEvent.WRITE_APPLIED,
    ),
    "statement rejected by the server": (
        {"write_errors": ["53100"]},
        {RequestEvent.WRITE_FAILED},
        RequestEvent.WRITE_APPLIED,
    ),
    "commit rejected by the server": (
        {"commit_errors": ["40001"]},
        {RequestEvent.WRITE_FAILED},
        RequestEvent.WRITE_APPLIED,
    ),
    "outcome unknown to the server": (
        {"commit_errors": ["08007"]},
        {RequestEvent.WRITE_UNCERTAIN},
        RequestEvent.WRITE_APPLIED,
    ),
    "server hangs": ({"hang": True}, {RequestEvent.WRITE_FAILED}, RequestEvent.WRITE_APPLIED),
}


@pytest.mark.parametrize("name", FAULTS)
def test_a_failed_commit_is_classified_and_a_retry_of_the_claim_succeeds(name: str) -> None:
    faults, expected_outcomes, outcome_of_retry = FAULTS[name]

    async def scenario(client: StoreClient, standin: Any) -> None:
        for fault, value in faults.items():
            setattr(standin.faults, fault, value)
        (result,) = await client.write(make_claim())
        assert result.outcome in expected_outcomes
        standin.faults.hang = False
        while (
            result := (await client.write(make_claim()))[0]
        ).outcome is RequestEvent.WRITE_FAILED:
            await asyncio.sleep(0.01)
        assert result.outcome is outcome_of_retry

    with_store("postgres", scenario)


def test_committed_writes_survive_a_restart_of_the_database() -> None:
    async def scenario(client: StoreClient, standin: Any) -> None:
        await client.write(make_claim())
        await standin.restart()
        while (
            result := (await client.write(make_finish()))[0]
        ).outcome is RequestEvent.WRITE_FAILED:
            await asyncio.sleep(0.01)
        assert result.outcome is RequestEvent.WRITE_APPLIED
        assert client.store.connection_count > 1

    with_store("postgres", scenario)


def test_recorded_keys_are_read_page_by_page() -> None:
    async def scenario(client: StoreClient, standin: Any) -> None:
        key_digests = [n.to_bytes(16, "little") for n in range(1, 24)]
        await client.write(
            *(make_claim(key_digest=key_digest) for key_digest in key_digests),
            *(make_finish(key_digest=key_digest) for key_digest in key_digests[:9]),
        )
        next_store = create_store("postgres", standin.path.parent, standin)
        next_store.keys_per_page = 5
        await next_store.open()
        pages = list(next_store.read_recorded_keys(0))
        assert [len(page) for page in pages] == [5, 5, 5, 5, 3]
        assert not list(next_store.read_recorded_keys(0))
        assert {
            key_digest: expires_at_ns for page in pages for key_digest, expires_at_ns in page
        } == dict.fromkeys(key_digests, EXPIRY_NS)
        assert len(list(next_store.read_started_rows(0))) == 14
        await next_store.close()

    with_store("postgres", scenario)


def test_a_connection_is_usable_after_a_cancelled_statement() -> None:
    async def scenario(client: StoreClient, standin: Any) -> None:
        connection = await client.store.database.connect()
        standin.faults.hang = True
        with pytest.raises(TimeoutError):
            await connection.fetch("SELECT name FROM node", timeout=0.1)
        # The next statement waits until the cancelled one has ended, on the same connection.
        asyncio.get_running_loop().call_later(0.05, setattr, standin.faults, "hang", False)
        assert [row[0] for row in await connection.fetch("SELECT name FROM node")] == ["n1"]
        assert standin.cancels == 1
        assert not connection.is_closed()
        connection.terminate()

    with_store("postgres", scenario)


def test_a_snapshot_is_merged_while_a_server_uses_the_record(tmp_path: Path) -> None:
    """A lost row is restored, an existing row is unchanged, and a repeat gets the first result."""

    async def run() -> None:
        store = create_store("sqlite", tmp_path, None)
        await store.open()
        await store.start()
        client, admin = StoreClient(store), SqliteRecordAdmin(store.path, AUTHENTICATOR)
        await client.write(
            make_claim(key_digest=KEY_DIGESTS[0]),
            make_finish(key_digest=KEY_DIGESTS[0]),
            make_claim(key_digest=KEY_DIGESTS[1]),
        )
        take_snapshot(admin, tmp_path / "copy.db")
        store.db.execute("DELETE FROM fate WHERE mark = ?", (KEY_DIGESTS[0],))
        await client.write(
            make_finish(key_digest=KEY_DIGESTS[1], result=b"since"),
            make_claim(key_digest=KEY_DIGESTS[2]),
        )
        assert admin.is_served()
        assert merge_snapshot(admin, tmp_path / "copy.db", 1) == (1, 2)
        results = await client.write(
            *(make_claim(key_digest=key_digest, claim_number=9) for key_digest in KEY_DIGESTS[:2])
        )
        assert [(result.outcome, result.row and result.row.result) for result in results] == [
            (RequestEvent.FOUND_RESULT, b"paid"),
            (RequestEvent.FOUND_RESULT, b"since"),
        ]
        assert merge_snapshot(admin, tmp_path / "copy.db", EXPIRY_NS) == (0, 0)
        assert not admin.verify().faults
        await store.close()

    asyncio.run(run())


def test_a_wrong_password_or_stopped_server_is_reported(tmp_path: Path) -> None:
    async def run() -> None:
        standin = await StandIn(tmp_path, "other").start()
        with pytest.raises(StoreRefusedError, match="password authentication failed"):
            await create_store("postgres", tmp_path, standin).open()
        await standin.stop()
        with pytest.raises(StoreRefusedError, match=standin.address):
            await create_store("postgres", tmp_path, standin).open()

    asyncio.run(run())


# Faults of SQLite files.


def open_sqlite_store(path: Path, **options: Any) -> SqliteStore:
    store = SqliteStore(path, AUTHENTICATOR, "n1", **options)
    store.open_without_event_loop()
    return store


def test_writes_fail_on_a_full_disk_and_succeed_once_space_is_freed(tmp_path: Path) -> None:
    """The page limit of SQLite simulates the full disk; rows written before stay readable."""

    async def run() -> None:
        store = open_sqlite_store(tmp_path / "record.db", max_pages=40)
        await store.start()
        client, written_keys, result = (
            StoreClient(store),
            [],
            WriteResult(RequestEvent.WRITE_APPLIED),
        )
        for n in range(400):
            key_digest = bytes([n % 256, n // 256]) * 8
            (result,) = await client.write(
                RecordWrite(
                    WriteKind.INSERT, make_row(key_digest, ROW_COMPLETED, result=b"x" * 900)
                )
            )
            if result.outcome is not RequestEvent.WRITE_APPLIED:
                break
            written_keys.append(key_digest)
        assert result.outcome is RequestEvent.WRITE_FAILED
        assert 20 < len(written_keys) < 400
        for key_digest in written_keys:
            assert (
                await client.write(
                    RecordWrite(WriteKind.FIND, make_row(key_digest, claim_number=2))
                )
            )[0].outcome is RequestEvent.FOUND_RESULT
        assert store.db is not None
        store.db.execute("DELETE FROM fate WHERE rowid < 20")
        assert (await client.write(make_claim(key_digest=b"after space was" + b"!")))[
            0
        ].outcome is RequestEvent.WRITE_APPLIED
        await store.close()

    asyncio.run(run())


def test_expired_rows_are_pruned_and_their_pages_freed(tmp_path: Path) -> None:
    async def run() -> None:
        store = open_sqlite_store(tmp_path / "record.db")
        await store.start()
        client = StoreClient(store)
        store.prune_at_ns = EXPIRY_NS
        expired_writes = [
            RecordWrite(
                WriteKind.INSERT,
                make_row(bytes([n]) * 16, ROW_COMPLETED, result=b"x" * 4000)._replace(
                    expires_at_ns=5
                ),
            )
            for n in range(200)
        ]
        await client.write(*expired_writes)
        size = store.db.execute("PRAGMA page_count").fetchone()[0]  # type: ignore[union-attr]
        for n in range(6):
            store.prune_at_ns = 0
            await client.write(make_claim(key_digest=bytes([n, 1]) * 8))
        assert store.pruned_rows == 200
        assert store.db.execute("PRAGMA page_count").fetchone()[0] < size / 2  # type: ignore[union-attr]
        await store.close()

    asyncio.run(run())


def test_an_unusable_file_is_refused_and_not_changed(tmp_path: Path) -> None:
    """The error says what is wrong with the file."""
    torn, newer, foreign = tmp_path / "torn.db", tmp_path / "newer.db", tmp_path / "foreign.db"
    for path in (torn, newer):
        open_sqlite_store(path).release()
    data = bytearray(torn.read_bytes())
    data[4096:12288] = b"\xa5" * 8192
    torn.write_bytes(data)
    with sqlite3.connect(newer) as db:
        db.execute("PRAGMA user_version = 77")
    with sqlite3.connect(foreign) as db:
        db.execute("CREATE TABLE other (x)")
    (tmp_path / "text.db").write_bytes(b"not a database at all, but long enough" * 50)
    for name, expected_message in (
        ("torn", "damaged"),
        ("newer", "schema 77 is newer"),
        ("foreign", "another program's"),
        ("text", "damaged"),
        ("missing/x", "No such file"),
    ):
        path = tmp_path / f"{name}.db"
        before = path.read_bytes() if path.exists() else None
        with pytest.raises(StoreRefusedError, match=expected_message):
            open_sqlite_store(path)
        assert before is None or path.read_bytes() == before


def test_an_altered_row_is_detected_and_its_result_not_returned(tmp_path: Path) -> None:
    async def run() -> None:
        store = open_sqlite_store(tmp_path / "record.db")
        await store.start()
        client = StoreClient(store)
        await client.write(make_claim(), make_finish())
        for change in (
            "result = x'00'",
            "result = 'paid twice as much'",
            "until = 'never'",
            "seal = 7",
            "turn = 2",
        ):
            await client.write(
                make_withdraw(),
                RecordWrite(WriteKind.INSERT, make_row(state=ROW_COMPLETED, result=b"paid")),
            )
            store.db.execute(f"UPDATE fate SET {change}")  # type: ignore[union-attr]
            (result,) = await client.write(RecordWrite(WriteKind.FIND, make_row(claim_number=2)))
            assert result == WriteResult(RequestEvent.FOUND_NO_RESULT), change
            store.db.execute("DELETE FROM fate")  # type: ignore[union-attr]
        await store.close()

    asyncio.run(run())


@pytest.mark.parametrize("step_s", [0, 3600, -3600])
def test_windows_are_adjusted_if_the_clock_was_stepped_between_two_incarnations(
    step_s: int, tmp_path: Path
) -> None:
    """After a step ahead the windows are moved along; after a step back they stay, so last longer."""
    for boot_id in ("same", "another"):
        path = tmp_path / f"{boot_id}.db"
        first = open_sqlite_store(
            path,
            read_clocks=lambda: ClockReading("same", 10 * NS_PER_SECOND, 100_000 * NS_PER_SECOND),
        )
        first.db.execute(
            "INSERT INTO fate VALUES (?,?,?,?,?,?,?,?,?,?)",  # type: ignore[union-attr]
            sign_row(100_018 * NS_PER_SECOND),
        )
        first.release()
        now_ns = (100_005 + step_s) * NS_PER_SECOND
        later = open_sqlite_store(
            path, read_clocks=lambda: ClockReading(boot_id, 15 * NS_PER_SECOND, now_ns)
        )
        key_digests = [
            key_digest for batch in later.read_recorded_keys(now_ns) for key_digest, _ in batch
        ]
        assert later.clock_shift_ns == (
            step_s * NS_PER_SECOND if boot_id == "same" else min(0, (5 + step_s) * NS_PER_SECOND)
        )
        # Across a reboot, a clock stepped ahead can't be distinguished from elapsed time.
        assert key_digests == ([] if step_s > 0 and boot_id == "another" else [KEY_DIGESTS[0]])
        later.release()


def sign_row(expires_at_ns: int) -> RecordRow:
    unsigned_row = make_row(state=ROW_COMPLETED, result=b"paid")._replace(
        expires_at_ns=expires_at_ns
    )
    return unsigned_row._replace(mac=AUTHENTICATOR.compute_mac(unsigned_row))


def test_the_key_file_is_created_once_and_its_mode_is_checked(tmp_path: Path) -> None:
    path = tmp_path / "key"
    key = load_key(path, True)
    assert load_key(path, False) == key
    assert path.stat().st_mode & 0o777 == 0o600
    path.chmod(0o644)
    with pytest.raises(ValueError, match="chmod 600"):
        load_key(path, False)
    path.chmod(0o600)
    path.write_text("short")
    with pytest.raises(ValueError, match="not a key"):
        load_key(path, False)
    with pytest.raises(OSError):
        load_key(tmp_path / "none", False)


def test_the_record_retries_while_another_connection_holds_the_lock(tmp_path: Path) -> None:
    """A batch is written after a hundred failed attempts to take the lock, and fails for certain after
    the timeout. Opening a locked file reports the lock rather than a damaged file.
    """

    async def run() -> None:
        path = tmp_path / "record.db"
        store = SqliteStore(path, AUTHENTICATOR, "n1")
        await store.open()
        await store.start()
        locked_database = LockedDatabase(path, 1.9)
        store.lock_retry = locked_database.lock_retry()
        assert await StoreClient(store).write(make_claim()) == [
            WriteResult(RequestEvent.WRITE_APPLIED)
        ]
        assert locked_database.attempts >= 100
        locked_database = LockedDatabase(path, 9.0)
        store.lock_retry = locked_database.lock_retry()
        assert await StoreClient(store).write(make_finish()) == [
            WriteResult(RequestEvent.WRITE_FAILED)
        ]
        assert 2.0 <= locked_database.now_s < 2.1
        locked_database.db.execute("ROLLBACK")
        assert await StoreClient(store).write(make_finish()) == [
            WriteResult(RequestEvent.WRITE_APPLIED)
        ]
        await store.close()
        next_store, locked_database = (
            SqliteStore(path, AUTHENTICATOR, "n1"),
            LockedDatabase(path, 9.0),
        )
        next_store.lock_retry = locked_database.lock_retry()
        with pytest.raises(
            StoreRefusedError, match="record.db: another process has held its lock for 2 s"
        ):
            await next_store.open()
        locked_database.released_at_s, locked_database.now_s = 1.9, 0.0
        next_store.lock_retry = locked_database.lock_retry()
        assert (await next_store.open()).incarnation == 2
        assert locked_database.attempts >= 100
        await next_store.close()

    asyncio.run(run())


def test_a_file_that_another_process_is_creating_is_opened(tmp_path: Path) -> None:
    """The file has its first page but no application ID yet. With tables in it, and no application
    ID, it is refused as another program's.
    """
    path = tmp_path / "record.db"
    other = sqlite3.connect(path, isolation_level=None)
    other.execute("PRAGMA auto_vacuum = INCREMENTAL")
    other.execute("VACUUM")
    assert path.stat().st_size
    assert other.execute("PRAGMA application_id").fetchone() == (0,)
    connect(path).close()
    assert other.execute("PRAGMA application_id").fetchone() != (0,)
    other.execute("PRAGMA application_id = 0")
    other.execute("CREATE TABLE theirs (id)")
    other.close()
    with pytest.raises(StoreRefusedError, match="another program"):
        connect(path)
