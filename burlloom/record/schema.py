"""The tables of both stores, as numbered migration steps.

A released step is never changed; changes are added as new steps. SQLite stores the number of the
last applied step in `user_version`, PostgreSQL in the table `burlloom_schema`.
"""

__all__ = [
    "LATEST_VERSION",
    "POSTGRES_STEPS",
    "SQLITE_APPLICATION_ID",
    "SQLITE_STEPS",
    "list_pending_steps",
]

SQLITE_APPLICATION_ID = 0x6275726C  # "burl", in the header of an SQLite file

SQLITE_STEPS: dict[int, tuple[str, ...]] = {
    1: (
        "CREATE TABLE meta (name TEXT PRIMARY KEY, value TEXT NOT NULL) WITHOUT ROWID",
        "CREATE TABLE node (name TEXT PRIMARY KEY, life INTEGER NOT NULL, fenced INTEGER NOT"
        " NULL DEFAULT 0) WITHOUT ROWID",
        "CREATE TABLE fate (mark BLOB NOT NULL, state INTEGER NOT NULL, node TEXT NOT NULL, life"
        " INTEGER NOT NULL, turn INTEGER NOT NULL, id TEXT NOT NULL, at INTEGER NOT NULL, until"
        " INTEGER NOT NULL, result BLOB NOT NULL, seal BLOB NOT NULL)",
        "CREATE UNIQUE INDEX fate_mark ON fate (mark)",
        "CREATE INDEX fate_until ON fate (until, mark)",
        # A start reads only the rows of unfinished runs, through this index.
        "CREATE INDEX fate_begun ON fate (until) WHERE state = 2",
    ),
    2: (
        # An operator's verdict on a claim in doubt, which the serving node reads and applies.
        "CREATE TABLE verdict (mark BLOB PRIMARY KEY, life INTEGER NOT NULL, turn INTEGER NOT"
        " NULL, ran INTEGER NOT NULL, said_at INTEGER NOT NULL, reason TEXT NOT NULL) WITHOUT"
        " ROWID",
    ),
    3: (
        # The notice that an incarnation saves for the next one.
        "ALTER TABLE node ADD COLUMN note TEXT NOT NULL DEFAULT ''",
    ),
    4: (
        # The shared state of a rollout, and each server's own state.
        "CREATE TABLE rollout_book (id INTEGER PRIMARY KEY, revision INTEGER NOT NULL, epoch"
        " INTEGER NOT NULL, beat INTEGER NOT NULL, text TEXT NOT NULL)",
        "CREATE TABLE rollout_member (name TEXT PRIMARY KEY, life INTEGER NOT NULL, beat INTEGER"
        " NOT NULL, text TEXT NOT NULL) WITHOUT ROWID",
    ),
    5: (
        # The distributed configuration: its last change, the change log, and the entries in force.
        "CREATE TABLE distribution_head (id INTEGER PRIMARY KEY, epoch INTEGER NOT NULL,"
        " revision INTEGER NOT NULL, tag BLOB NOT NULL, time_ms INTEGER NOT NULL)",
        "CREATE TABLE distribution_change (revision INTEGER PRIMARY KEY, epoch INTEGER NOT NULL,"
        " time_ms INTEGER NOT NULL, scope BLOB NOT NULL, body BLOB NOT NULL, tag BLOB NOT NULL)",
        "CREATE TABLE distribution_entry (scope BLOB NOT NULL, kind BLOB NOT NULL, key BLOB NOT"
        " NULL, value BLOB NOT NULL, epoch INTEGER NOT NULL, revision INTEGER NOT NULL, PRIMARY"
        " KEY (scope, kind, key)) WITHOUT ROWID",
    ),
}
POSTGRES_STEPS: dict[int, tuple[str, ...]] = {
    1: (
        "CREATE TABLE node (name TEXT PRIMARY KEY, life BIGINT NOT NULL, fenced BIGINT NOT NULL"
        " DEFAULT 0)",
        "CREATE TABLE fate (mark BYTEA PRIMARY KEY, state BIGINT NOT NULL, node TEXT NOT NULL,"
        " life BIGINT NOT NULL, turn BIGINT NOT NULL, id TEXT NOT NULL, at BIGINT NOT NULL,"
        " until BIGINT NOT NULL, result BYTEA NOT NULL, seal BYTEA NOT NULL)",
        "CREATE INDEX fate_until ON fate (until)",
        "CREATE INDEX fate_node ON fate (node, state)",
    ),
    2: (
        "CREATE TABLE verdict (mark BYTEA PRIMARY KEY, life BIGINT NOT NULL, turn BIGINT NOT"
        " NULL, ran BIGINT NOT NULL, said_at BIGINT NOT NULL, reason TEXT NOT NULL)",
    ),
    3: ("ALTER TABLE node ADD COLUMN note TEXT NOT NULL DEFAULT ''",),
    4: (
        "CREATE TABLE rollout_book (id BIGINT PRIMARY KEY, revision BIGINT NOT NULL, epoch"
        " BIGINT NOT NULL, beat BIGINT NOT NULL, text TEXT NOT NULL)",
        "CREATE TABLE rollout_member (name TEXT PRIMARY KEY, life BIGINT NOT NULL, beat BIGINT"
        " NOT NULL, text TEXT NOT NULL)",
    ),
    5: (
        "CREATE TABLE distribution_head (id BIGINT PRIMARY KEY, epoch BIGINT NOT NULL, revision"
        " BIGINT NOT NULL, tag BYTEA NOT NULL, time_ms BIGINT NOT NULL)",
        "CREATE TABLE distribution_change (revision BIGINT PRIMARY KEY, epoch BIGINT NOT NULL,"
        " time_ms BIGINT NOT NULL, scope BYTEA NOT NULL, body BYTEA NOT NULL, tag BYTEA NOT NULL)",
        "CREATE TABLE distribution_entry (scope BYTEA NOT NULL, kind BYTEA NOT NULL, key BYTEA"
        " NOT NULL, value BYTEA NOT NULL, epoch BIGINT NOT NULL, revision BIGINT NOT NULL,"
        " PRIMARY KEY (scope, kind, key))",
    ),
}
LATEST_VERSION = max(SQLITE_STEPS)
assert max(POSTGRES_STEPS) == LATEST_VERSION


def list_pending_steps(version: int, steps: dict[int, tuple[str, ...]]) -> list[int]:
    """Returns the numbers of the steps to apply after a version, in order."""
    return [number for number in sorted(steps) if number > version]
