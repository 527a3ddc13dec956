"""The command line: what its commands print and do, and the faults of operator's files."""

import json
import sqlite3
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import pytest
from rig import ROOT

from burlloom.operator import OperatorFileError, load
from burlloom.record.authentication import RowAuthenticator, load_key
from burlloom.record.rows import ROW_COMPLETED, ROW_STARTED, RecordRow
from burlloom.record.sqlite import SqliteStore
from burlloom.record.sqlite_file import FileLock

NOW_NS = time.time_ns()


def burlloom(*words: Any, status: int = 0) -> str:
    """Runs a command and returns its output.

    Args:
        words: Subcommand and arguments.
        status: Expected exit status; if it is not 0, the error output is returned.
    """
    completed = subprocess.run(
        [sys.executable, "-m", "burlloom.command", *map(str, words)],
        cwd=ROOT,
        text=True,
        capture_output=True,
        timeout=60,
    )
    assert completed.returncode == status, completed
    return completed.stdout if not status else completed.stderr


def write_operator_file(folder: Path) -> Path:
    """Writes an operator's file with a record in SQLite, and returns its path."""
    path = folder / "operator.jsonnet"
    path.write_text(json.dumps({"record": {"sqlite": {"path": str(folder / "record.db")}}}))
    return path


def create_record(folder: Path) -> Path:
    """Creates a record with one request that ran and one in doubt; returns the operator's file."""
    path = write_operator_file(folder)
    burlloom("record", "init", "-o", path)
    authenticator = RowAuthenticator(load_key(folder / "record.db.key", False))
    store = SqliteStore(folder / "record.db", authenticator, "n1")
    store.open_without_event_loop()
    for n, state in enumerate((ROW_COMPLETED, ROW_STARTED)):
        row = RecordRow(
            bytes([n]) * 16,
            state,
            "n1",
            1,
            n,
            f"id{n}",
            NOW_NS,
            NOW_NS + 10**12,
            b"paid" if state == ROW_COMPLETED else b"",
        )
        assert store.db is not None
        store.db.execute(
            "INSERT INTO fate VALUES (?,?,?,?,?,?,?,?,?,?)",
            row._replace(mac=authenticator.compute_mac(row)),
        )
    store.release()
    return path


def test_the_demo_answers_a_repeated_charge_from_the_record(tmp_path: Path) -> None:
    output = burlloom("demo", "--folder", tmp_path)
    assert "the first receipt, and no second run" in output
    assert "ran            2" in burlloom("record", "stats", "-o", tmp_path / "operator.jsonnet")


def test_doubts_are_listed_and_resolved(tmp_path: Path) -> None:
    path = create_record(tmp_path)
    key_digest = (bytes([1]) * 16).hex()
    assert key_digest in burlloom("record", "doubts", "-o", path)
    assert "in doubt       1" in burlloom("record", "stats", "-o", path)
    assert "is not in doubt" in burlloom(
        "record", "resolve", "00" * 16, "--ran", "--reason", "x", "-o", path, status=2
    )
    assert "32 hex digits" in burlloom(
        "record", "resolve", "xyz", "--ran", "--reason", "x", "-o", path, status=2
    )
    assert "never ran; done" in burlloom(
        "record", "resolve", key_digest, "--never-ran", "--reason", "asked", "-o", path
    )
    assert burlloom("record", "doubts", "-o", path) == "none\n"
    assert json.loads(burlloom("record", "stats", "--json", "-o", path))["rows"]["begun"] == 0


def test_a_restored_record_is_closed_for_a_window_and_keeps_the_old_file(tmp_path: Path) -> None:
    path, copy = create_record(tmp_path), tmp_path / "copy.db"
    assert "2 records, verified" in burlloom("record", "snapshot", copy, "-o", path)
    assert "exists already" in burlloom("record", "snapshot", copy, "-o", path, status=2)
    (tmp_path / "record.db").write_bytes(b"gone")
    output = burlloom("record", "restore", copy, "--window-s", 18, "-o", path)
    assert "closed for charges until" in output
    assert "2 records, 0 faults" in burlloom("record", "verify", "-o", path)
    (previous,) = [
        file
        for file in tmp_path.glob("record.db.before-*")
        if file.suffix[-4:] not in ("-wal", "-shm")
    ]
    assert previous.read_bytes() == b"gone"
    stats = json.loads(burlloom("record", "stats", "--json", "-o", path))
    assert stats["closed_until"] > NOW_NS + 17 * 10**9
    assert stats["nodes"]["n1"] > 1000
    with sqlite3.connect(copy) as db:
        db.execute("UPDATE fate SET result = x'00'")
    assert "its seal does not hold" in burlloom(
        "record", "restore", copy, "--window-s", 18, "-o", path, status=2
    )


def test_a_record_is_exported_compacted_migrated_and_verified(tmp_path: Path) -> None:
    path = create_record(tmp_path)
    lines = [json.loads(line) for line in burlloom("record", "export", "-o", path).splitlines()]
    assert [(line["state"], bytes.fromhex(line["result"]), line["sound"]) for line in lines] == [
        ("ran", b"paid", True),
        ("begun", b"", True),
    ]
    assert "bytes before" in burlloom("record", "compact", "-o", path)
    assert "steps taken: none" in burlloom("record", "migrate", "-o", path)
    with sqlite3.connect(tmp_path / "record.db") as db:
        for table in (
            "verdict",
            "rollout_book",
            "rollout_member",
            "distribution_head",
            "distribution_change",
            "distribution_entry",
        ):
            db.execute(f"DROP TABLE {table}")
        db.execute("ALTER TABLE node DROP COLUMN note")
        db.execute("PRAGMA user_version = 1")
    assert "`burlloom record migrate`" in burlloom("record", "stats", "-o", path, status=2)
    assert "steps taken: 2, 3, 4, 5" in burlloom("record", "migrate", "-o", path)
    with sqlite3.connect(tmp_path / "record.db") as db:
        db.execute("UPDATE fate SET id = 'other'")
    assert burlloom("record", "verify", "-o", path, status=1).count("seal does not hold") == 2
    lock = FileLock(tmp_path / "record.db")
    lock.acquire()
    assert "stop it before you compact it" in burlloom("record", "compact", "-o", path, status=2)
    lock.release()
    (tmp_path / "record.db.key").unlink()
    assert "No such file" in burlloom("record", "verify", "-o", path, status=2)


def test_check_lists_every_fault_with_its_place(tmp_path: Path) -> None:
    path = tmp_path / "operator.jsonnet"
    path.write_text("""{ record: { mode: 'maybe', claim_share: 1.5, open_most: '9', colour: 'red',
      sqlite: { path: '/nowhere/at/all/record.db' } }, metrics: {}, levles: 1 }""")
    lines = burlloom("check", "-o", path, status=2).splitlines()
    for place, fault in (
        ("record.mode", "'require' or 'prefer'"),
        ("record.claim_share", "less than or equal to 1"),
        ("record.open_most", "integer"),
        ("record.colour", "unknown key"),
        ("record.sqlite", "the folder /nowhere/at/all does not exist"),
        ("metrics", "at least one of file and listen is required"),
        ("levles", "unknown key"),
    ):
        assert any(line.startswith(f"{path}: {place}: ") and fault in line for line in lines), (
            place,
            lines,
        )
    assert len(lines) == 7
    assert "good" in burlloom(
        "check",
        "-o",
        ROOT / "deploy" / "operator.jsonnet",
        "--config",
        ROOT / "examples" / "configuration.json",
    )


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("{ record: ", "operator.jsonnet:1:11"),
        ("{ record: import 'none.libsonnet' }", "none.libsonnet"),
        ("[1]", "the whole file"),
        (
            "{ record: { sqlite: { path: 'a' }, postgres: null, claim_share: 0.9,"
            " hold_share: 0.2 } }",
            "nothing is left for the run",
        ),
        ("{ record: {} }", "exactly one store is required"),
        ("\xff", "not UTF-8"),
    ],
)
def test_an_unusable_operator_file_is_rejected(text: str, message: str, tmp_path: Path) -> None:
    path = tmp_path / "operator.jsonnet"
    path.write_bytes(text.encode("latin-1"))
    with pytest.raises(OperatorFileError, match=message):
        load(path)


@pytest.mark.parametrize(
    ("modules", "excluded"),
    [
        (
            "burlloom.server.__main__",
            (
                "burlloom.record",
                "burlloom.operator",
                "burlloom.metrics",
                "burlloom.fakes",
                "burlloom.command",
                "burlloom.distribution",
                "xxhash",
                "pydantic",
                "asyncpg",
                "click",
                "sqlite3",
                "_jsonnet",
                "prometheus_client",
            ),
        ),
        (
            "burlloom.record.request_lifecycle, burlloom.record.circuit_breaker, burlloom.record.rows, burlloom.record.recovery_rules, burlloom.record.clock_shift, burlloom.record.broken_transaction",
            (
                "asyncio",
                "sqlite3",
                "asyncpg",
                "burlloom.record.coordinator",
                "burlloom.server",
                "burlloom.dispatcher",
            ),
        ),
        (
            "burlloom.distribution.stores.factory, burlloom.distribution.stores.sqlite, burlloom.distribution.replica",
            (
                "burlloom.server",
                "burlloom.rpc",
                "burlloom.executor",
                "burlloom.downstream",
                "burlloom.discovery",
                "asyncpg",
                "pydantic",
                "click",
            ),
        ),
    ],
)
def test_modules_do_not_import_optional_packages(modules: str, excluded: tuple[str, ...]) -> None:
    code = (
        f"import {modules}\nimport sys\n"
        f"print([name for name in sys.modules for package in {excluded!r}"
        " if name == package or name.startswith(package + '.')])"
    )
    completed = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, text=True, capture_output=True, check=True
    )
    assert completed.stdout == "[]\n"
