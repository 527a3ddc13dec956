"""The change store's three tables, in SQL that SQLite and PostgreSQL share.

Each write is one transaction. Its first statement, the guard, returns a row only if the head is
still the one that the write is based on.
"""

import time
from typing import Any

from ..change_log import MAX_LOGGED_CHANGES
from ..changes import Change, ConfigItem, Head, decode_items, hash_body, initial_head
from .change_store import StoredItem, StoredPosition, StoreUnavailableError

Statement = tuple[str, tuple[Any, ...]]

# The number of a new epoch is taken from the clock, so that it is larger than that of any earlier
# epoch.
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
    """Returns the change stored in a row of `distribution_change`."""
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


def stored_item_of(row: Any) -> StoredItem:
    """Returns the item stored in a row of `distribution_entry`."""
    scope, kind, key, value, epoch, revision = row
    return StoredItem(
        ConfigItem(bytes(scope).decode(), bytes(kind).decode(), bytes(key).decode(), bytes(value)),
        epoch,
        revision,
    )


def encode_position(*names: str) -> tuple[bytes, ...]:
    """Returns the columns of a position as bytes, whose order does not depend on a locale."""
    return tuple(name.encode() for name in names)


class SqlChangeStore:
    """Implements `ChangeStore` over `execute`, `transaction` and `prepare` of a subclass.

    These three raise `StoreUnavailableError`.
    """

    async def execute(self, sql: str, *values: Any) -> list[Any]:
        """Runs one statement and returns its rows. Raises `StoreUnavailableError`."""
        raise NotImplementedError

    async def transaction(self, guard: Statement, statements: list[Statement]) -> bool:
        """Runs the guard, and all statements if it returns a row; returns whether it did."""
        raise NotImplementedError

    async def prepare(self) -> None:
        """Connects and applies missing schema migrations. Raises `StoreUnavailableError`."""
        raise NotImplementedError

    async def open(self) -> None:
        """Prepares the schema, and begins an epoch if there is none."""
        await self.prepare()
        head = initial_head(time.time_ns() // 1_000_000, time.time_ns() // 1_000_000)
        await self.execute(INSERT_HEAD, head.epoch, head.tag, head.time_ms)

    async def head(self) -> Head:
        """Returns the head of the current epoch."""
        rows = await self.execute(SELECT_HEAD)
        if not rows:
            raise StoreUnavailableError("the table distribution_head is empty")
        ((epoch, revision, tag, time_ms),) = rows
        return Head(epoch, revision, bytes(tag), time_ms)

    async def changes_since(self, revision: int, max_count: int) -> list[Change]:
        """Returns at most `max_count` logged changes after a revision, in order."""
        return [change_of(row) for row in await self.execute(SELECT_CHANGES, revision, max_count)]

    async def change_at(self, revision: int) -> Change | None:
        """Returns the change with a revision; None if it is not in the log."""
        changes = await self.changes_since(revision - 1, 1)
        return changes[0] if changes and changes[0].revision == revision else None

    async def append(self, change: Change) -> bool:
        """Writes a change unless its revision was written before; returns whether it wrote it."""
        assert change.body is not None
        scope, revision = change.scope.encode(), change.revision
        statements: list[Statement] = [
            (
                INSERT_CHANGE,
                (revision, change.epoch, change.time_ms, scope, change.body, change.tag),
            )
        ]
        for item in decode_items(change.scope, change.body):
            position = encode_position(item.scope, item.kind, item.key)
            statements.append(
                (DELETE_ITEM, position)
                if item.value is None
                else (UPSERT_ITEM, (*position, item.value, change.epoch, revision))
            )
        statements.append((DELETE_OLD_CHANGES, (revision - MAX_LOGGED_CHANGES,)))
        return await self.transaction(
            (ADVANCE_HEAD, (revision, change.tag, change.time_ms, change.epoch)), statements
        )

    async def items(self, after: StoredPosition | None, max_count: int) -> list[StoredItem]:
        """Returns a page of at most `max_count` items in force after a position, in order."""
        rows = await (
            self.execute(SELECT_PAGE, max_count)
            if after is None
            else self.execute(SELECT_PAGE_AFTER, max_count, *encode_position(*after))
        )
        return [stored_item_of(row) for row in rows]

    async def item(self, scope: str, kind: str, key: str) -> StoredItem | None:
        """Returns the item of a scope with a key; None if there is none."""
        return next(
            (
                stored_item_of(row)
                for row in await self.execute(SELECT_ITEM, *encode_position(scope, kind, key))
            ),
            None,
        )

    async def begin_epoch(self, store_head: Head, later_than: int) -> bool:
        """Begins an epoch after `later_than` if `store_head` is the head; returns whether so."""
        now_ms = time.time_ns() // 1_000_000
        head = initial_head(
            max(store_head.epoch + 1, later_than + 1, now_ms), max(store_head.time_ms, now_ms)
        )
        return await self.transaction(
            (
                BEGIN_EPOCH,
                (
                    head.epoch,
                    head.tag,
                    head.time_ms,
                    store_head.epoch,
                    store_head.revision,
                    store_head.tag,
                ),
            ),
            [(DELETE_CHANGES, ())],
        )
