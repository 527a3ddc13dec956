"""The SQL of the PostgreSQL store, and the parameter values of each write's statement."""

from collections.abc import Callable
from typing import Any

from .rows import ROW_STARTED, RecordRow, WriteKind, finish_values, withdraw_values

MAX_PRUNED_ROWS = 2_000  # expired rows deleted at once; the rest waits for the next prune
COLUMNS = "mark, state, node, life, turn, id, at, until, result, seal"
ROW_PARAMETERS = (
    "$1::bytea, $2::bigint, $3::text, $4::bigint, $5::bigint, $6::text, $7::bigint, $8::bigint,"
    " $9::bytea, $10::bytea"
)
CLAIM = (
    f"INSERT INTO fate ({COLUMNS}) VALUES ({ROW_PARAMETERS}) ON CONFLICT (mark) DO UPDATE SET"
    " turn = excluded.turn, id = excluded.id, at = excluded.at, until = excluded.until,"
    f" seal = excluded.seal WHERE fate.state = {ROW_STARTED} AND fate.node = excluded.node"
    " AND fate.life = excluded.life AND fate.turn <= excluded.turn RETURNING mark"
)
INSERT = (
    f"INSERT INTO fate ({COLUMNS}) VALUES ({ROW_PARAMETERS}) ON CONFLICT (mark) DO NOTHING"
    " RETURNING mark"
)
FINISH = (
    "UPDATE fate SET state = $1::bigint, result = $2::bytea, seal = $3::bytea"
    " WHERE mark = $4::bytea AND node = $5::text AND life = $6::bigint AND turn = $7::bigint"
    f" AND state = {ROW_STARTED} RETURNING mark"
)
WITHDRAW = (
    "DELETE FROM fate WHERE mark = $1::bytea AND node = $2::text AND life = $3::bigint AND"
    f" turn = $4::bigint AND state = {ROW_STARTED} RETURNING mark"
)
SELECT_ROW = f"SELECT {COLUMNS} FROM fate WHERE mark = $1::bytea"
SELECT_OWN_INCARNATION = "SELECT life, fenced FROM node WHERE name = $1::text FOR SHARE"
SELECT_INCARNATIONS = "SELECT name, life, fenced FROM node"
BEGIN_INCARNATION = (
    "INSERT INTO node (name, life, fenced) VALUES ($1::text, 1, 0) ON CONFLICT (name) DO UPDATE SET"
    " life = node.life + 1 RETURNING life, fenced, note"
)
SELECT_KEYS = (
    "SELECT mark, until FROM fate WHERE node = $1::text AND until > $2::bigint AND mark > $3::bytea"
    " ORDER BY mark LIMIT $4::bigint"
)
SELECT_STARTED = (
    f"SELECT {COLUMNS} FROM fate WHERE node = $1::text AND until > $2::bigint"
    f" AND state = {ROW_STARTED}"
)
UPDATE_NOTICE = "UPDATE node SET note = $1::text WHERE name = $2::text AND life = $3::bigint"
PROBE = "UPDATE node SET life = life WHERE name = $1::text"
PRUNE = (
    "DELETE FROM fate WHERE mark IN (SELECT mark FROM fate WHERE until <= $1::bigint LIMIT"
    f" {MAX_PRUNED_ROWS}) RETURNING mark"
)
SELECT_VERDICTS = "SELECT mark, life, turn, ran FROM verdict"
CREATE_SCHEMA_TABLE = "CREATE TABLE IF NOT EXISTS burlloom_schema (version BIGINT PRIMARY KEY)"
LOCK_SCHEMA = "SELECT pg_advisory_xact_lock($1::bigint)"
SELECT_SCHEMA_VERSIONS = "SELECT version FROM burlloom_schema"
INSERT_SCHEMA_VERSION = (
    "INSERT INTO burlloom_schema (version) VALUES ($1::bigint) RETURNING version"
)

Values = Callable[[RecordRow], tuple[Any, ...]]
STATEMENTS: dict[WriteKind, tuple[str, Values]] = {
    WriteKind.CLAIM: (CLAIM, tuple),
    WriteKind.INSERT: (INSERT, tuple),
    WriteKind.FINISH: (FINISH, finish_values),
    WriteKind.WITHDRAW: (WITHDRAW, withdraw_values),
}
"""The writes that change rows, in the order in which a batch applies them.

LOOK and FIND only read, and so have no statement here.
"""
