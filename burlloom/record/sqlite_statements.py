"""The SQL of the SQLite store, and the parameter values of each write's statement."""

from collections.abc import Callable
from typing import Any

from .rows import ROW_STARTED, RecordRow, WriteKind, finish_values, withdraw_values

COLUMNS = "mark, state, node, life, turn, id, at, until, result, seal"
CLAIM = (
    f"INSERT INTO fate ({COLUMNS}) VALUES (?,?,?,?,?,?,?,?,?,?) ON CONFLICT (mark) DO UPDATE SET"
    " turn = excluded.turn, id = excluded.id, at = excluded.at, until = excluded.until,"
    f" seal = excluded.seal WHERE state = {ROW_STARTED} AND node = excluded.node"
    " AND life = excluded.life AND turn <= excluded.turn"
)
INSERT = f"INSERT INTO fate ({COLUMNS}) VALUES (?,?,?,?,?,?,?,?,?,?) ON CONFLICT (mark) DO NOTHING"
FINISH = (
    "UPDATE fate SET state = ?, result = ?, seal = ? WHERE mark = ? AND node = ? AND life = ?"
    f" AND turn = ? AND state = {ROW_STARTED}"
)
WITHDRAW = (
    "DELETE FROM fate WHERE mark = ? AND node = ? AND life = ? AND turn = ?"
    f" AND state = {ROW_STARTED}"
)
SELECT_ROW = f"SELECT {COLUMNS} FROM fate WHERE mark = ?"
SELECT_UNEXPIRED = f"SELECT {COLUMNS} FROM fate WHERE until > ?"
# Reads only the index, as the rows are far larger.
SELECT_KEYS = (
    "SELECT mark, until FROM fate INDEXED BY fate_until WHERE until > ? AND typeof(mark) = 'blob'"
    " AND length(mark) = 16 AND typeof(until) = 'integer'"
)
SELECT_STARTED = (
    f"SELECT {COLUMNS} FROM fate INDEXED BY fate_begun WHERE until > ? AND state = {ROW_STARTED}"
)
UPDATE_EXPIRY = "UPDATE fate SET until = ?, seal = ? WHERE mark = ?"
PRUNE = "DELETE FROM fate WHERE rowid IN (SELECT rowid FROM fate WHERE until <= ? LIMIT ?)"
PRUNE_VERDICTS = "DELETE FROM verdict WHERE mark NOT IN (SELECT mark FROM fate)"
SELECT_VERDICTS = "SELECT mark, life, turn, ran FROM verdict"
SELECT_META = "SELECT name, value FROM meta"
UPSERT_META = (
    "INSERT INTO meta (name, value) VALUES (?, ?) ON CONFLICT (name) DO UPDATE SET"
    " value = excluded.value"
)
SELECT_NODE = "SELECT life, note FROM node WHERE name = ?"
UPDATE_NOTICE = "UPDATE node SET note = ? WHERE name = ? AND life = ?"

Values = Callable[[RecordRow], tuple[Any, ...]]
STATEMENTS: dict[WriteKind, tuple[str, Values]] = {
    WriteKind.CLAIM: (CLAIM, tuple),
    WriteKind.INSERT: (INSERT, tuple),
    WriteKind.FINISH: (FINISH, finish_values),
    WriteKind.WITHDRAW: (WITHDRAW, withdraw_values),
}
"""The writes that change rows; LOOK and FIND only read, and so have no statement here."""
