"""The three tables of changes, in SQL that SQLite and PostgreSQL share.

Each write is one transaction, guarded by a first statement that gives a row only if nobody wrote
before.
"""

import time
from typing import Any

from ..change_log import MAX_LOGGED_CHANGES
from ..changes import Change, ConfigItem, Head, decode_items, hash_body, initial_head
from .change_store import Place, StoredItem, StoreUnavailableError

Statement = tuple[str, tuple[Any, ...]]

# An epoch that begins is beyond all that there were: it is told by the clock.
INSERT_HEAD = (
    "INSERT INTO distribution_head (id, epoch, revision, tag, time_ms)"
    " VALUES (1, $1::bigint, 0, $2::bytea, $3::bigint) ON CONFLICT (id) DO NOTHING"
    " RETURNING revision"
)
SELECT_HEAD = "SELECT epoch, revision, tag, time_ms FROM distribution_head WHERE id = 1"
ADVANCE_HEAD = (
    "UPDATE distribution_head SET revision = $1::bigint, tag = $2::bytea, time_ms = $3::bigint"
    " WHERE id = 1 AND epoch = $4::bigint AND revision = $1::bigint - 1 RETURNING revision"
)
BEGIN_EPOCH = (
    "UPDATE distribution_head SET epoch = $1::bigint, revision = 0, tag = $2::bytea,"
    " time_ms = $3::bigint"
    " WHERE id = 1 AND epoch = $4::bigint AND revision = $5::bigint AND tag = $6::bytea"
    " RETURNING revision"
)
DELETE_CHANGES = "DELETE FROM distribution_change WHERE revision > -1 RETURNING revision"
INSERT_CHANGE = (
    "INSERT INTO distribution_change (revision, epoch, time_ms, scope, body, tag) VALUES"
    " ($1::bigint,"
    " $2::bigint, $3::bigint, $4::bytea, $5::bytea, $6::bytea) RETURNING revision"
)
DELETE_OLD_CHANGES = (
    "DELETE FROM distribution_change WHERE revision <= $1::bigint RETURNING revision"
)
SELECT_CHANGES = (
    "SELECT epoch, revision, time_ms, scope, body, tag FROM distribution_change WHERE"
    " revision > $1::bigint"
    " ORDER BY revision LIMIT $2::bigint"
)
UPSERT_ITEM = (
    "INSERT INTO distribution_entry (scope, kind, key, value, epoch, revision) VALUES"
    " ($1::bytea, $2::bytea,"
    " $3::bytea, $4::bytea, $5::bigint, $6::bigint) ON CONFLICT (scope, kind, key) DO UPDATE SET"
    " value = excluded.value, epoch = excluded.epoch, revision = excluded.revision"
    " RETURNING revision"
)
DELETE_ITEM = (
    "DELETE FROM distribution_entry WHERE scope = $1::bytea AND kind = $2::bytea AND key"
    " = $3::bytea"
    " RETURNING revision"
)
SELECT_PAGE = (
    "SELECT scope, kind, key, value, epoch, revision FROM distribution_entry"
    " ORDER BY scope, kind, key LIMIT $1::bigint"
)
SELECT_PAGE_AFTER = (
    "SELECT scope, kind, key, value, epoch, revision FROM distribution_entry"
    " WHERE (scope, kind, key) > ($2::bytea, $3::bytea, $4::bytea)"
    " ORDER BY scope, kind, key LIMIT $1::bigint"
)
SELECT_ITEM = (
    "SELECT scope, kind, key, value, epoch, revision FROM distribution_entry"
    " WHERE scope = $1::bytea AND kind = $2::bytea AND key = $3::bytea"
)


def change_of(row: Any) -> Change:
    """Return the change of a row of `distribution_change`."""
    epoch, revision, time_ms, scope, body, tag = row
    return Change(
        epoch,
        revision,
        time_ms,
        bytes(scope).decode(),
        bytes(body),
        bytes(tag),
        hash_body(bytes(body)),
    )


def stored_of(row: Any) -> StoredItem:
    """Return the item of a row of `distribution_entry`."""
    scope, kind, key, value, epoch, revision = row
    return StoredItem(
        ConfigItem(bytes(scope).decode(), bytes(kind).decode(), bytes(key).decode(), bytes(value)),
        epoch,
        revision,
    )


def place_of(*names: str) -> tuple[bytes, ...]:
    """Return a position as the tables hold it: bytes, whose order no locale changes."""
    return tuple(name.encode() for name in names)


class SqlChangeStore:
    """`ChangeStore` over `execute` and `transaction`, which a store implements.

    Both raise `StoreUnavailableError`.
    """

    async def execute(self, sql: str, *values: Any) -> list[Any]:
        """Run one statement and return its rows. Raises `StoreUnavailableError`."""
        raise NotImplementedError

    async def transaction(self, guard: Statement, statements: list[Statement]) -> bool:
        """Run all statements if the guard gives a row, else none; returns whether it did."""
        raise NotImplementedError

    async def prepare(self) -> None:
        """Connect, and take missing schema steps. Raises `StoreUnavailableError`."""
        raise NotImplementedError

    async def open(self) -> None:
        """Prepare the schema, and begin an epoch where there is none."""
        await self.prepare()
        head = initial_head(time.time_ns() // 1_000_000, time.time_ns() // 1_000_000)
        await self.execute(INSERT_HEAD, head.epoch, head.tag, head.time_ms)

    async def head(self) -> Head:
        """Return the last change's head."""
        found = await self.execute(SELECT_HEAD)
        if not found:
            raise StoreUnavailableError("the head is gone: its table is empty")
        ((epoch, revision, tag, time_ms),) = found
        return Head(epoch, revision, bytes(tag), time_ms)

    async def changes_since(self, revision: int, most: int) -> list[Change]:
        """Return at most `most` logged changes after a revision, in order."""
        return [change_of(row) for row in await self.execute(SELECT_CHANGES, revision, most)]

    async def change_at(self, revision: int) -> Change | None:
        """Return the change of that revision, if it is still in the log."""
        found = await self.changes_since(revision - 1, 1)
        return found[0] if found and found[0].revision == revision else None

    async def append(self, change: Change) -> bool:
        """Write a change if nobody wrote its revision before; returns whether it was written."""
        assert change.body is not None
        scope, revision = change.scope.encode(), change.revision
        statements: list[Statement] = [
            (
                INSERT_CHANGE,
                (revision, change.epoch, change.time_ms, scope, change.body, change.tag),
            )
        ]
        for item in decode_items(change.scope, change.body):
            place = place_of(item.scope, item.kind, item.key)
            statements.append(
                (DELETE_ITEM, place)
                if item.value is None
                else (UPSERT_ITEM, (*place, item.value, change.epoch, revision))
            )
        statements.append((DELETE_OLD_CHANGES, (revision - MAX_LOGGED_CHANGES,)))
        return await self.transaction(
            (ADVANCE_HEAD, (revision, change.tag, change.time_ms, change.epoch)), statements
        )

    async def items(self, after: Place | None, most: int) -> list[StoredItem]:
        """Return a page of the items in force behind `after`, in order."""
        rows = await (
            self.execute(SELECT_PAGE, most)
            if after is None
            else self.execute(SELECT_PAGE_AFTER, most, *place_of(*after))
        )
        return [stored_of(row) for row in rows]

    async def item(self, scope: str, kind: str, key: str) -> StoredItem | None:
        """Return the item in force under a key of that scope."""
        return next(
            (
                stored_of(row)
                for row in await self.execute(SELECT_ITEM, *place_of(scope, kind, key))
            ),
            None,
        )

    async def begin_epoch(self, seen: Head, beyond: int) -> bool:
        """Begin an epoch later than `beyond` if `seen` is still the head.

        Returns whether it was.
        """
        now = time.time_ns() // 1_000_000
        head = initial_head(max(seen.epoch + 1, beyond + 1, now), max(seen.time_ms, now))
        return await self.transaction(
            (
                BEGIN_EPOCH,
                (head.epoch, head.tag, head.time_ms, seen.epoch, seen.revision, seen.tag),
            ),
            [(DELETE_CHANGES, ())],
        )
