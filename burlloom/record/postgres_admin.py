"""The operator's commands on a record that several nodes share in PostgreSQL."""

import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import asyncpg

from .factory import create_store
from .postgres import PostgresStore, read_incarnations
from .postgres_database import CONNECTION_ERRORS, describe_error
from .postgres_statements import COLUMNS
from .request_lifecycle import RequestEvent
from .rows import (
    ROW_COMPLETED_WITHOUT_RESULT,
    ROW_STARTED,
    ROW_STATE_NAMES,
    RecordRow,
    classify_row,
)
from .store import StoreRefusedError

if TYPE_CHECKING:
    from ..operator import Record

__all__ = ["collect_stats", "list_in_doubt", "resolve", "set_fence"]

NO_NODE = "-"
UPSERT_VERDICT = (
    "INSERT INTO verdict (mark, life, turn, ran, said_at, reason) VALUES ($1::bytea, $2::bigint,"
    " $3::bigint, $4::bigint, $5::bigint, $6::text) ON CONFLICT (mark) DO UPDATE SET"
    " life = excluded.life, turn = excluded.turn, ran = excluded.ran, said_at = excluded.said_at,"
    " reason = excluded.reason RETURNING mark"
)
COMPLETE_WITHOUT_RESULT = (
    "UPDATE fate SET state = $1::bigint, seal = $2::bytea WHERE mark = $3::bytea AND"
    f" life = $4::bigint AND turn = $5::bigint AND state = {ROW_STARTED} RETURNING mark"
)
DELETE_CLAIM = (
    "DELETE FROM fate WHERE mark = $1::bytea AND life = $2::bigint AND turn = $3::bigint"
    f" AND state = {ROW_STARTED} RETURNING mark"
)


@asynccontextmanager
async def open_connection(record: "Record") -> AsyncIterator[Any]:
    """Opens a connection without starting an incarnation, and closes it at the end.

    Raises:
        StoreRefusedError: The connection or a statement failed.
    """
    store, _ = create_store(record, NO_NODE, retention_ns=0)
    assert isinstance(store, PostgresStore)
    try:
        connection = await store.database.connect()
        try:
            yield connection
        finally:
            await connection.close()
    except (*CONNECTION_ERRORS, asyncpg.PostgresError) as error:
        raise StoreRefusedError(describe_error(error), place=store.database.place) from error


async def collect_stats(record: "Record", now_ns: int) -> dict[str, Any]:
    """Returns counts of rows by state, of rows in doubt, and the nodes, by printed name.

    Raises:
        StoreRefusedError: The connection or a statement failed.
    """
    async with open_connection(record) as connection:
        incarnations = await read_incarnations(connection)
        rows = await connection.fetch("SELECT state, count(*) AS count FROM fate GROUP BY state")
    counts = {ROW_STATE_NAMES.get(state, str(state)): count for state, count in rows}
    nodes = {
        name: f"life {node.incarnation}{', fenced off' if node.is_fenced else ''}"
        for name, node in incarnations.items()
    }
    return {
        **{name: counts.get(name, 0) for name in ROW_STATE_NAMES.values()},
        "in doubt": len(await list_in_doubt(record, now_ns)),
        **nodes,
    }


async def list_in_doubt(record: "Record", now_ns: int) -> list[tuple[RecordRow, str]]:
    """Returns the rows in doubt, each with its pending verdict, or "" if there is none.

    A row is in doubt if it is unknown whether its run took effect.

    Raises:
        StoreRefusedError: The connection or a statement failed.
    """
    async with open_connection(record) as connection:
        incarnations = await read_incarnations(connection)
        verdicts = {
            key_digest: "ran" if ran else "never ran"
            for key_digest, ran in await connection.fetch("SELECT mark, ran FROM verdict")
        }
        rows = await connection.fetch(
            f"SELECT {COLUMNS} FROM fate WHERE state = {ROW_STARTED} AND until > $1::bigint", now_ns
        )
    started = [RecordRow(*row) for row in rows]
    # Classified for a name that no node has: the answer is FOUND_NO_RESULT if no current, unfenced
    # incarnation can still finish the claim.
    return [
        (row, verdicts.get(row.key_digest, ""))
        for row in started
        if classify_row(row, "", 0, 0, incarnations) is RequestEvent.FOUND_NO_RESULT
    ]


async def resolve(record: "Record", key_digest: bytes, ran: bool, reason: str, now_ns: int) -> str:
    """Writes an operator's verdict on a row in doubt, and returns a message for the operator.

    Raises:
        StoreRefusedError: The row is not in doubt, or the connection or a statement failed.
    """
    in_doubt = await list_in_doubt(record, now_ns)
    row_in_doubt = next((row for row, _ in in_doubt if row.key_digest == key_digest), None)
    if row_in_doubt is None:
        raise StoreRefusedError(
            f"mark {key_digest.hex()} is not in doubt; `burlloom record doubts` lists those that"
            " are"
        )
    _, authenticator = create_store(record, NO_NODE, retention_ns=0, clock=time.time_ns)
    claim = (key_digest, row_in_doubt.incarnation, row_in_doubt.claim_number)
    async with open_connection(record) as connection, connection.transaction():
        await connection.fetch(UPSERT_VERDICT, *claim, int(ran), now_ns, reason)
        # Also update the row itself, as its node may never start again.
        if ran:
            completed = row_in_doubt._replace(state=ROW_COMPLETED_WITHOUT_RESULT)
            mac = authenticator.compute_mac(completed)
            await connection.fetch(COMPLETE_WITHOUT_RESULT, completed.state, mac, *claim)
        else:
            await connection.fetch(DELETE_CLAIM, *claim)
    return "done; its node applies the verdict within a second"


async def set_fence(record: "Record", node: str, is_fenced: bool) -> None:
    """Fences a node, or removes its fence.

    Raises:
        StoreRefusedError: The node is unknown, or the connection or a statement failed.
    """
    async with open_connection(record) as connection:
        rows = await connection.fetch(
            "UPDATE node SET fenced = $1::bigint WHERE name = $2::text RETURNING name",
            int(is_fenced),
            node,
        )
        if not rows:
            raise StoreRefusedError(f"no node {node!r} is known to the record")
