"""Both stores against the plain meaning of their writes, and what befalls them."""

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
    result_of_unapplied_write,
)
from burlloom.record.sqlite import SqliteStore
from burlloom.record.sqlite_admin import SqliteRecordAdmin
from burlloom.record.sqlite_file import connect
from burlloom.record.sqlite_snapshot import merge_snapshot, take_snapshot
from burlloom.record.store import StoreRefusedError

SEALER = RowAuthenticator(b"k" * 32)
FAR = 1 << 62
MARKS = [bytes([n]) * 16 for n in range(3)]


class Log:
    """A store with writes posted and their words awaited."""

    def __init__(self, store: Any) -> None:
        self.store = store

    async def ask(self, *writes: RecordWrite) -> list[WriteResult]:
        loop = asyncio.get_running_loop()
        words: list[asyncio.Future[WriteResult]] = [loop.create_future() for _ in writes]
        for write, word in zip(writes, words):
            self.store.submit(write, word.set_result)
        return await asyncio.wait_for(asyncio.gather(*words), 20)


def row(
    mark: bytes = MARKS[0],
    state: int = ROW_STARTED,
    node: str = "n1",
    life: int = 1,
    turn: int = 1,
    result: bytes = b"",
) -> RecordRow:
    bare = RecordRow(mark, state, node, life, turn, "00ff", 5, FAR, result)
    return bare._replace(mac=SEALER.compute_mac(bare))


def claim(**told: Any) -> RecordWrite:
    return RecordWrite(WriteKind.CLAIM, row(**told))


def finish(result: bytes = b"paid", **told: Any) -> RecordWrite:
    return RecordWrite(WriteKind.FINISH, row(state=ROW_COMPLETED, result=result, **told))


def withdraw(**told: Any) -> RecordWrite:
    return RecordWrite(WriteKind.WITHDRAW, row(**told))


def with_store(kind: str, story: Callable[[Any, Any], Awaitable[None]]) -> None:
    """Plays a story with a fresh store of this kind, and its stand-in where it has one."""

    async def play() -> None:
        with tempfile.TemporaryDirectory() as name:
            standin = await StandIn(Path(name), "secret").start() if kind == "postgres" else None
            store = made(kind, Path(name), standin)
            await store.open()
            await store.start()
            try:
                await story(Log(store), standin)
            finally:
                await store.close()
                if standin is not None:
                    await standin.stop()

    asyncio.run(play())


def made(kind: str, folder: Path, standin: StandIn | None, node: str = "n1", **more: Any) -> Any:
    if standin is None:
        return SqliteStore(folder / "record.db", SEALER, node, **more)
    host, port = standin.address.split(":")
    return PostgresStore(
        PostgresDatabase(
            host, int(port), "burlloom", "burlloom", "secret", statement_timeout_s=0.5
        ),
        SEALER,
        node,
        clock=lambda: 0,
        **more,
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
        st.sampled_from(MARKS),
        st.integers(1, 3),
        st.sampled_from([ROW_COMPLETED, ROW_COMPLETED_WITHOUT_RESULT]),
    ),
    max_size=14,
)


@KINDS
@settings(max_examples=25, deadline=None)
@given(asked=WRITES)
def test_each_write_means_what_it_is_to_mean(
    kind: str, asked: list[tuple[WriteKind, bytes, int, int]]
) -> None:
    async def story(store: Log, _: Any) -> None:
        there: dict[bytes, RecordRow | None] = {}
        for what, mark, turn, state in asked:
            ends = what in (WriteKind.FINISH, WriteKind.INSERT)
            write = RecordWrite(
                what,
                row(
                    mark,
                    state if ends else ROW_STARTED,
                    turn=turn,
                    result=b"r%d" % turn if ends and state == ROW_COMPLETED else b"",
                ),
            )
            stood = there.get(mark)
            there[mark], held = apply_write(stood, write, 1)
            (word,) = await store.ask(write)
            assert word == (
                WriteResult(RequestEvent.WRITE_APPLIED)
                if held
                else result_of_unapplied_write(write, stood, {"n1": (1, False)})
            )
        for mark, stood in there.items():
            (word,) = await store.ask(RecordWrite(WriteKind.FIND, row(mark, turn=99)))
            assert (word.outcome is RequestEvent.NOT_FOUND) == (stood is None)

    with_store(kind, story)


KEPT_BEFORE = st.lists(
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
ASKED_TOGETHER = st.lists(
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
@given(before=KEPT_BEFORE, asked=ASKED_TOGETHER)
def test_many_in_one_commit_mean_the_same_as_alone(
    kind: str, before: list[Any], asked: list[tuple[WriteKind, int]]
) -> None:
    async def story(store: Log, _: Any) -> None:
        marks = [bytes([n]) * 16 for n in range(12)]
        there = {
            mark: row(mark, told[0], turn=told[1]) if told else None
            for mark, told in zip(marks, before)
        }
        await store.ask(
            *(RecordWrite(WriteKind.INSERT, one) for one in there.values() if one is not None)
        )
        writes = [
            RecordWrite(
                what,
                row(
                    mark,
                    ROW_COMPLETED if what in (WriteKind.FINISH, WriteKind.INSERT) else ROW_STARTED,
                    turn=turn,
                ),
            )
            for mark, (what, turn) in zip(marks, asked)
        ]
        for write, word in zip(writes, await store.ask(*writes)):
            stood = there[write.row.key_digest]
            _, held = apply_write(stood, write, 1)
            assert word.outcome is (
                RequestEvent.WRITE_APPLIED
                if held
                else result_of_unapplied_write(write, stood, {"n1": (1, False)}).outcome
            )

    with_store(kind, story)


@KINDS
def test_many_at_once_share_a_commit(kind: str) -> None:
    async def story(store: Log, _: Any) -> None:
        marks = [bytes([n, 7]) * 8 for n in range(200)]
        words = await store.ask(*(claim(mark=mark) for mark in marks))
        assert {word.outcome for word in words} == {RequestEvent.WRITE_APPLIED}
        words = await store.ask(
            *(finish(mark=mark) for mark in marks), *(claim(mark=mark, turn=9) for mark in marks)
        )
        assert [word.outcome for word in words] == [RequestEvent.WRITE_APPLIED] * 200 + [
            RequestEvent.FOUND_RESULT
        ] * 200
        assert store.store.commit_count < 40

    with_store(kind, story)


@KINDS
def test_a_former_life_writes_nothing_any_more(kind: str) -> None:
    async def story(store: Log, standin: Any) -> None:
        await store.ask(claim())
        if standin is None:
            path, old = store.store.path, store.store.incarnation
            await store.store.close()
            later = SqliteStore(path, SEALER, "n1")
        else:
            later, old = made(kind, Path(), standin), store.store.incarnation
        opened = await later.open()
        assert opened.incarnation == old + 1
        assert [row.request_id for row in later.read_started_rows(0)] == ["00ff"]
        await later.start()
        if standin is not None:
            assert (await store.ask(finish()))[0].outcome is RequestEvent.FENCED
            assert (await store.ask(claim(mark=MARKS[1])))[0].outcome is RequestEvent.FENCED
        assert (await Log(later).ask(claim(life=2)))[0].outcome is RequestEvent.FOUND_NO_RESULT
        await later.close()

    with_store(kind, story)


def test_nodes_that_share_a_store() -> None:
    async def story(one: Log, standin: Any) -> None:
        store = made("postgres", Path(), standin, "n2")
        await store.open()
        await store.start()
        two = Log(store)
        assert (await one.ask(claim()))[0].outcome is RequestEvent.WRITE_APPLIED
        assert (await two.ask(claim(node="n2")))[0].outcome is RequestEvent.FOUND_CLAIMED
        assert (await two.ask(finish(node="n2")))[0].outcome is RequestEvent.FOUND_CLAIMED
        assert (await one.ask(finish(b"first")))[0].outcome is RequestEvent.WRITE_APPLIED
        (word,) = await two.ask(claim(node="n2"))
        assert word.outcome is RequestEvent.FOUND_RESULT
        assert word.row is not None
        assert word.row.result == b"first"
        await one.ask(claim(mark=MARKS[1]))
        standin.db.execute("UPDATE node SET fenced = 1 WHERE name = 'n1'")
        assert (await two.ask(claim(node="n2", mark=MARKS[1])))[
            0
        ].outcome is RequestEvent.FOUND_NO_RESULT
        assert (await one.ask(claim(mark=MARKS[2])))[0].outcome is RequestEvent.FENCED
        await store.close()

    with_store("postgres", story)


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
    "refused by the server": (
        {"write_errors": ["53100"]},
        {RequestEvent.WRITE_FAILED},
        RequestEvent.WRITE_APPLIED,
    ),
    "refused at commit": (
        {"commit_errors": ["40001"]},
        {RequestEvent.WRITE_FAILED},
        RequestEvent.WRITE_APPLIED,
    ),
    "unknown to the server itself": (
        {"commit_errors": ["08007"]},
        {RequestEvent.WRITE_UNCERTAIN},
        RequestEvent.WRITE_APPLIED,
    ),
    "hangs": ({"hang": True}, {RequestEvent.WRITE_FAILED}, RequestEvent.WRITE_APPLIED),
}


@pytest.mark.parametrize("name", FAULTS)
def test_what_a_lost_commit_means(name: str) -> None:
    """What it is told to mean, and that the same claim said again settles it."""
    orders, meant, after = FAULTS[name]

    async def story(store: Log, standin: Any) -> None:
        for order, value in orders.items():
            setattr(standin.faults, order, value)
        (word,) = await store.ask(claim())
        assert word.outcome in meant
        standin.faults.hang = False
        while (word := (await store.ask(claim()))[0]).outcome is RequestEvent.WRITE_FAILED:
            await asyncio.sleep(0.01)
        assert word.outcome is after

    with_store("postgres", story)


def test_a_database_that_restarts_keeps_what_was_committed() -> None:
    async def story(store: Log, standin: Any) -> None:
        await store.ask(claim())
        await standin.restart()
        while (word := (await store.ask(finish()))[0]).outcome is RequestEvent.WRITE_FAILED:
            await asyncio.sleep(0.01)
        assert word.outcome is RequestEvent.WRITE_APPLIED
        assert store.store.connection_count > 1

    with_store("postgres", story)


def test_marks_are_read_back_page_by_page() -> None:
    async def story(store: Log, standin: Any) -> None:
        marks = [n.to_bytes(16, "little") for n in range(1, 24)]
        await store.ask(
            *(claim(mark=mark) for mark in marks), *(finish(mark=mark) for mark in marks[:9])
        )
        again = made("postgres", standin.path.parent, standin)
        again.keys_per_page = 5
        await again.open()
        pages = list(again.read_recorded_keys(0))
        assert [len(page) for page in pages] == [5, 5, 5, 5, 3]
        assert not list(again.read_recorded_keys(0))
        assert {mark: until for page in pages for mark, until in page} == dict.fromkeys(marks, FAR)
        assert len(list(again.read_started_rows(0))) == 14
        await again.close()

    with_store("postgres", story)


def test_a_cancelled_statement_ends_and_its_connection_goes_on() -> None:
    async def story(store: Log, standin: Any) -> None:
        link = await store.store.database.connect()
        standin.faults.hang = True
        with pytest.raises(TimeoutError):
            await link.fetch("SELECT name FROM node", timeout=0.1)
        # The next waits for the cancelled one's end, and is answered on the same connection.
        asyncio.get_running_loop().call_later(0.05, setattr, standin.faults, "hang", False)
        assert [row[0] for row in await link.fetch("SELECT name FROM node")] == ["n1"]
        assert standin.cancels == 1
        assert not link.is_closed()
        link.terminate()

    with_store("postgres", story)


def test_a_snapshot_is_merged_while_the_record_is_served(tmp_path: Path) -> None:
    """A row that was lost is back, one that stands is left, and a repeat gets the first answer."""

    async def play() -> None:
        store = made("sqlite", tmp_path, None)
        await store.open()
        await store.start()
        log, admin = Log(store), SqliteRecordAdmin(store.path, SEALER)
        await log.ask(claim(mark=MARKS[0]), finish(mark=MARKS[0]), claim(mark=MARKS[1]))
        take_snapshot(admin, tmp_path / "copy.db")
        store.db.execute("DELETE FROM fate WHERE mark = ?", (MARKS[0],))
        await log.ask(finish(mark=MARKS[1], result=b"since"), claim(mark=MARKS[2]))
        assert admin.is_served()
        assert merge_snapshot(admin, tmp_path / "copy.db", 1) == (1, 2)
        words = await log.ask(*(claim(mark=mark, turn=9) for mark in MARKS[:2]))
        assert [(word.outcome, word.row and word.row.result) for word in words] == [
            (RequestEvent.FOUND_RESULT, b"paid"),
            (RequestEvent.FOUND_RESULT, b"since"),
        ]
        assert merge_snapshot(admin, tmp_path / "copy.db", FAR) == (0, 0)
        assert not admin.verify().faults
        await store.close()

    asyncio.run(play())


def test_a_wrong_password_is_told(tmp_path: Path) -> None:
    async def play() -> None:
        standin = await StandIn(tmp_path, "other").start()
        with pytest.raises(StoreRefusedError, match="password authentication failed"):
            await made("postgres", tmp_path, standin).open()
        await standin.stop()
        with pytest.raises(StoreRefusedError, match=standin.address):
            await made("postgres", tmp_path, standin).open()

    asyncio.run(play())


# SQLite's own troubles.


def opened(path: Path, **more: Any) -> SqliteStore:
    store = SqliteStore(path, SEALER, "n1", **more)
    store.open_now()
    return store


def test_a_full_disk_loses_nothing_and_comes_back(tmp_path: Path) -> None:
    """SQLite's own page limit stands for the disk."""

    async def play() -> None:
        store = opened(tmp_path / "record.db", max_pages=40)
        await store.start()
        log, held, word = Log(store), [], WriteResult(RequestEvent.WRITE_APPLIED)
        for n in range(400):
            mark = bytes([n % 256, n // 256]) * 8
            (word,) = await log.ask(
                RecordWrite(WriteKind.INSERT, row(mark, ROW_COMPLETED, result=b"x" * 900))
            )
            if word.outcome is not RequestEvent.WRITE_APPLIED:
                break
            held.append(mark)
        assert word.outcome is RequestEvent.WRITE_FAILED
        assert 20 < len(held) < 400
        for mark in held:
            assert (await log.ask(RecordWrite(WriteKind.FIND, row(mark, turn=2))))[
                0
            ].outcome is RequestEvent.FOUND_RESULT
        assert store.db is not None
        store.db.execute("DELETE FROM fate WHERE rowid < 20")
        assert (await log.ask(claim(mark=b"after space was" + b"!")))[
            0
        ].outcome is RequestEvent.WRITE_APPLIED
        await store.close()

    asyncio.run(play())


def test_rows_past_their_window_go_and_give_back_their_space(tmp_path: Path) -> None:
    async def play() -> None:
        store = opened(tmp_path / "record.db")
        await store.start()
        log = Log(store)
        store.prune_at_ns = FAR
        old = [
            RecordWrite(
                WriteKind.INSERT,
                row(bytes([n]) * 16, ROW_COMPLETED, result=b"x" * 4000)._replace(expires_at_ns=5),
            )
            for n in range(200)
        ]
        await log.ask(*old)
        size = store.db.execute("PRAGMA page_count").fetchone()[0]  # type: ignore[union-attr]
        for n in range(6):
            store.prune_at_ns = 0
            await log.ask(claim(mark=bytes([n, 1]) * 8))
        assert store.pruned_rows == 200
        assert store.db.execute("PRAGMA page_count").fetchone()[0] < size / 2  # type: ignore[union-attr]
        await store.close()

    asyncio.run(play())


def test_files_that_can_not_be_used(tmp_path: Path) -> None:
    """Each is refused with what is wrong and what to do, and nothing in it is changed."""
    torn, newer, foreign = tmp_path / "torn.db", tmp_path / "newer.db", tmp_path / "foreign.db"
    for path in (torn, newer):
        opened(path).release()
    data = bytearray(torn.read_bytes())
    data[4096:12288] = b"\xa5" * 8192
    torn.write_bytes(data)
    with sqlite3.connect(newer) as db:
        db.execute("PRAGMA user_version = 77")
    with sqlite3.connect(foreign) as db:
        db.execute("CREATE TABLE other (x)")
    (tmp_path / "text.db").write_bytes(b"not a database at all, but long enough" * 50)
    for name, said in (
        ("torn", "damaged"),
        ("newer", "schema 77 is newer"),
        ("foreign", "another program's"),
        ("text", "damaged"),
        ("missing/x", "No such file"),
    ):
        path = tmp_path / f"{name}.db"
        before = path.read_bytes() if path.exists() else None
        with pytest.raises(StoreRefusedError, match=said):
            opened(path)
        assert before is None or path.read_bytes() == before


def test_an_altered_result_is_found_and_never_given(tmp_path: Path) -> None:
    async def play() -> None:
        store = opened(tmp_path / "record.db")
        await store.start()
        log = Log(store)
        await log.ask(claim(), finish())
        for change in (
            "result = x'00'",
            "result = 'paid twice as much'",
            "until = 'never'",
            "seal = 7",
            "turn = 2",
        ):
            await log.ask(
                withdraw(), RecordWrite(WriteKind.INSERT, row(state=ROW_COMPLETED, result=b"paid"))
            )
            store.db.execute(f"UPDATE fate SET {change}")  # type: ignore[union-attr]
            (word,) = await log.ask(RecordWrite(WriteKind.FIND, row(turn=2)))
            assert word == WriteResult(RequestEvent.FOUND_NO_RESULT), change
            store.db.execute("DELETE FROM fate")  # type: ignore[union-attr]
        await store.close()

    asyncio.run(play())


@pytest.mark.parametrize("ahead", [0, 3600, -3600])
def test_a_clock_that_was_stepped_between_two_lives(ahead: int, tmp_path: Path) -> None:
    """Ahead, the ends of windows go along; back, they stay where they were, which is longer."""
    second = 1_000_000_000
    for boot in ("same", "another"):
        path = tmp_path / f"{boot}.db"
        first = opened(
            path, read_clocks=lambda: ClockReading("same", 10 * second, 100_000 * second)
        )
        first.db.execute(
            "INSERT INTO fate VALUES (?,?,?,?,?,?,?,?,?,?)",  # type: ignore[union-attr]
            sealed(100_018 * second),
        )
        first.release()
        now = (100_005 + ahead) * second
        later = opened(path, read_clocks=lambda: ClockReading(boot, 15 * second, now))
        held = [mark for batch in later.read_recorded_keys(now) for mark, _ in batch]
        assert later.clock_shift_ns == (
            ahead * second if boot == "same" else min(0, (5 + ahead) * second)
        )
        # Over a restart of the machine a clock that went ahead is not to be told from time that
        # went by.
        assert held == ([] if ahead > 0 and boot == "another" else [MARKS[0]])
        later.release()


def sealed(until: int) -> RecordRow:
    bare = row(state=ROW_COMPLETED, result=b"paid")._replace(expires_at_ns=until)
    return bare._replace(mac=SEALER.compute_mac(bare))


def test_the_key_is_made_once_and_guarded(tmp_path: Path) -> None:
    path = tmp_path / "key"
    made = load_key(path, True)
    assert load_key(path, False) == made
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


def test_the_record_waits_for_the_lock_as_the_book_does(tmp_path: Path) -> None:
    """A batch finds it taken a hundred times and is written; past its time it surely was not; nor
    does a start take a file that is busy for one that is damaged.
    """

    async def play() -> None:
        path = tmp_path / "record.db"
        store = SqliteStore(path, SEALER, "n1")
        await store.open()
        await store.start()
        held = LockedDatabase(path, 1.9)
        store.lock_retry = held.lock_retry()
        assert await Log(store).ask(claim()) == [WriteResult(RequestEvent.WRITE_APPLIED)]
        assert held.attempts >= 100
        held = LockedDatabase(path, 9.0)
        store.lock_retry = held.lock_retry()
        assert await Log(store).ask(finish()) == [WriteResult(RequestEvent.WRITE_FAILED)]
        assert 2.0 <= held.now_s < 2.1
        held.db.execute("ROLLBACK")
        assert await Log(store).ask(finish()) == [WriteResult(RequestEvent.WRITE_APPLIED)]
        await store.close()
        again, held = SqliteStore(path, SEALER, "n1"), LockedDatabase(path, 9.0)
        again.lock_retry = held.lock_retry()
        with pytest.raises(
            StoreRefusedError, match="record.db: another process has held its lock for 2 s"
        ):
            await again.open()
        held.released_at_s, held.now_s = 1.9, 0.0
        again.lock_retry = held.lock_retry()
        assert (await again.open()).incarnation == 2
        assert held.attempts >= 100
        await again.close()

    asyncio.run(play())


def test_a_file_that_another_makes_just_now_is_opened(tmp_path: Path) -> None:
    """Its first page is there, and not yet whose it is; with anything in it, it is another
    program's.
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
