"""The tables, by numbered steps. A step is never changed once it was released; a new one is added
behind it.
"""

APPLICATION = 0x6275726C  # "burl", in the head of an SQLite file

# number -> statements; SQLite keeps the number in `user_version`, PostgreSQL in the table
# `burlloom_schema`
SQLITE: dict[int, tuple[str, ...]] = {
    1: (
        "CREATE TABLE meta (name TEXT PRIMARY KEY, value TEXT NOT NULL) WITHOUT ROWID",
        "CREATE TABLE node (name TEXT PRIMARY KEY, life INTEGER NOT NULL, fenced INTEGER NOT NULL DEFAULT 0)"
        " WITHOUT ROWID",
        "CREATE TABLE fate (mark BLOB NOT NULL, state INTEGER NOT NULL, node TEXT NOT NULL, life INTEGER NOT NULL,"
        " turn INTEGER NOT NULL, id TEXT NOT NULL, at INTEGER NOT NULL, until INTEGER NOT NULL,"
        " result BLOB NOT NULL, seal BLOB NOT NULL)",
        "CREATE UNIQUE INDEX fate_mark ON fate (mark)",
        "CREATE INDEX fate_until ON fate (until, mark)",  # all that a start reads of what ended
        # fate.State.RUN: few at any time
        "CREATE INDEX fate_begun ON fate (until) WHERE state = 2",
    ),
    2: (
        # What an operator said of a doubt, for the node that serves to take up; of that one claim
        # alone.
        "CREATE TABLE verdict (mark BLOB PRIMARY KEY, life INTEGER NOT NULL, turn INTEGER NOT NULL,"
        " ran INTEGER NOT NULL, said_at INTEGER NOT NULL, reason TEXT NOT NULL) WITHOUT ROWID",
    ),
    3: (
        "ALTER TABLE node ADD COLUMN note TEXT NOT NULL DEFAULT ''",
    ),  # what a life leaves to the next one
    4: (
        # What a fleet agrees on, whole, and what each server says of itself.
        "CREATE TABLE rollout_book (id INTEGER PRIMARY KEY, revision INTEGER NOT NULL, epoch INTEGER NOT NULL,"
        " beat INTEGER NOT NULL, text TEXT NOT NULL)",
        "CREATE TABLE rollout_member (name TEXT PRIMARY KEY, life INTEGER NOT NULL, beat INTEGER NOT NULL,"
        " text TEXT NOT NULL) WITHOUT ROWID",
    ),
    5: (
        # The configuration that is distributed: where its changes stand, the last of them, what is
        # in force.
        "CREATE TABLE distribution_head (id INTEGER PRIMARY KEY, epoch INTEGER NOT NULL, revision INTEGER NOT NULL,"
        " tag BLOB NOT NULL, time_ms INTEGER NOT NULL)",
        "CREATE TABLE distribution_change (revision INTEGER PRIMARY KEY, epoch INTEGER NOT NULL,"
        " time_ms INTEGER NOT NULL, scope BLOB NOT NULL, body BLOB NOT NULL, tag BLOB NOT NULL)",
        "CREATE TABLE distribution_entry (scope BLOB NOT NULL, kind BLOB NOT NULL, key BLOB NOT NULL,"
        " value BLOB NOT NULL, epoch INTEGER NOT NULL, revision INTEGER NOT NULL, PRIMARY KEY (scope, kind, key))"
        " WITHOUT ROWID",
    ),
}
POSTGRES: dict[int, tuple[str, ...]] = {
    1: (
        "CREATE TABLE node (name TEXT PRIMARY KEY, life BIGINT NOT NULL, fenced BIGINT NOT NULL DEFAULT 0)",
        "CREATE TABLE fate (mark BYTEA PRIMARY KEY, state BIGINT NOT NULL, node TEXT NOT NULL, life BIGINT NOT NULL,"
        " turn BIGINT NOT NULL, id TEXT NOT NULL, at BIGINT NOT NULL, until BIGINT NOT NULL,"
        " result BYTEA NOT NULL, seal BYTEA NOT NULL)",
        "CREATE INDEX fate_until ON fate (until)",
        "CREATE INDEX fate_node ON fate (node, state)",
    ),
    2: (
        "CREATE TABLE verdict (mark BYTEA PRIMARY KEY, life BIGINT NOT NULL, turn BIGINT NOT NULL,"
        " ran BIGINT NOT NULL, said_at BIGINT NOT NULL, reason TEXT NOT NULL)",
    ),
    3: ("ALTER TABLE node ADD COLUMN note TEXT NOT NULL DEFAULT ''",),
    4: (
        "CREATE TABLE rollout_book (id BIGINT PRIMARY KEY, revision BIGINT NOT NULL, epoch BIGINT NOT NULL,"
        " beat BIGINT NOT NULL, text TEXT NOT NULL)",
        "CREATE TABLE rollout_member (name TEXT PRIMARY KEY, life BIGINT NOT NULL, beat BIGINT NOT NULL,"
        " text TEXT NOT NULL)",
    ),
    5: (
        "CREATE TABLE distribution_head (id BIGINT PRIMARY KEY, epoch BIGINT NOT NULL, revision BIGINT NOT NULL,"
        " tag BYTEA NOT NULL, time_ms BIGINT NOT NULL)",
        "CREATE TABLE distribution_change (revision BIGINT PRIMARY KEY, epoch BIGINT NOT NULL,"
        " time_ms BIGINT NOT NULL, scope BYTEA NOT NULL, body BYTEA NOT NULL, tag BYTEA NOT NULL)",
        "CREATE TABLE distribution_entry (scope BYTEA NOT NULL, kind BYTEA NOT NULL, key BYTEA NOT NULL,"
        " value BYTEA NOT NULL, epoch BIGINT NOT NULL, revision BIGINT NOT NULL, PRIMARY KEY (scope, kind, key))",
    ),
}
LATEST = max(SQLITE)
assert max(POSTGRES) == LATEST


def steps(have: int, known: dict[int, tuple[str, ...]]) -> list[int]:
    """The steps that are still to be taken, in order."""
    return [number for number in sorted(known) if number > have]
