"""What an operator does to a record that several nodes share in PostgreSQL."""

import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import asyncpg

from .factory import create_store
from .postgres import COLUMNS, CONNECTION_ERRORS, LIVES, PostgresStore, row_of
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


@asynccontextmanager
async def link_of(record: "Record") -> AsyncIterator[Any]:
    """A connection that starts no life. Raises `Refused`."""
    store, _ = create_store(record, "-", keep=0, clock=time.time_ns)
    assert isinstance(store, PostgresStore)
    where = f"{store.address[0]}:{store.address[1]}/{store.database}"
    try:
        link = await store.connect()
        try:
            yield link
        finally:
            await link.close()
    except (*CONNECTION_ERRORS, asyncpg.PostgresError) as error:
        raise StoreRefusedError(f"{where}: {str(error) or type(error).__name__}") from error


async def lives(link: Any) -> dict[str, tuple[int, bool]]:
    return {name: (life, bool(fenced)) for name, life, fenced in await link.fetch(LIVES)}


async def stats(record: "Record", now: int) -> dict[str, Any]:
    async with link_of(record) as link:
        nodes = await lives(link)
        rows = await link.fetch("SELECT state, count(*) AS count FROM fate GROUP BY state")
    counted = {ROW_STATE_NAMES.get(state, str(state)): count for state, count in rows}
    told = {
        name: f"life {life}{', fenced off' if fenced else ''}"
        for name, (life, fenced) in nodes.items()
    }
    return {
        **{name: counted.get(name, 0) for name in ROW_STATE_NAMES.values()},
        "in doubt": len(await doubts(record, now)),
        **told,
    }


async def doubts(record: "Record", now: int) -> list[tuple[RecordRow, str]]:
    async with link_of(record) as link:
        nodes = await lives(link)
        said = {
            mark: "ran" if ran else "never ran"
            for mark, _, _, ran in await link.fetch("SELECT mark, life, turn, ran FROM verdict")
        }
        rows = [
            row_of(row)
            for row in await link.fetch(
                f"SELECT {COLUMNS} FROM fate WHERE state = {ROW_STARTED} AND until > $1::bigint",
                now,
            )
        ]
    # Whose it is to somebody else: bare, where no life may end it any more.
    return [
        (row, said.get(row.key_digest, ""))
        for row in rows
        if classify_row(row, "", 0, 0, nodes) is RequestEvent.FOUND_NO_RESULT
    ]


async def resolve(record: "Record", mark: bytes, ran: bool, reason: str, now: int) -> str:
    doubt = next((row for row, _ in await doubts(record, now) if row.key_digest == mark), None)
    if doubt is None:
        raise StoreRefusedError(
            f"mark {mark.hex()} is not in doubt; `burlloom record doubts` lists those that are"
        )
    _, sealer = create_store(record, "-", keep=0, clock=time.time_ns)
    async with link_of(record) as link, link.transaction():
        await link.fetch(
            "INSERT INTO verdict (mark, life, turn, ran, said_at, reason) VALUES ($1::bytea, $2::bigint, $3::bigint,"
            " $4::bigint, $5::bigint, $6::text) ON CONFLICT (mark) DO UPDATE SET life = excluded.life,"
            " turn = excluded.turn, ran = excluded.ran, said_at = excluded.said_at, reason = excluded.reason"
            " RETURNING mark",
            mark,
            doubt.incarnation,
            doubt.claim_number,
            int(ran),
            now,
            reason,
        )
        # The row itself too: its node may be gone for good.
        if ran:
            await link.fetch(
                "UPDATE fate SET state = $1::bigint, seal = $2::bytea WHERE mark = $3::bytea AND"
                f" life = $4::bigint AND turn = $5::bigint AND state = {ROW_STARTED} RETURNING mark",
                ROW_COMPLETED_WITHOUT_RESULT,
                sealer.compute_mac(doubt._replace(state=ROW_COMPLETED_WITHOUT_RESULT)),
                mark,
                doubt.incarnation,
                doubt.claim_number,
            )
        else:
            await link.fetch(
                "DELETE FROM fate WHERE mark = $1::bytea AND life = $2::bigint AND turn = $3::bigint"
                f" AND state = {ROW_STARTED} RETURNING mark",
                mark,
                doubt.incarnation,
                doubt.claim_number,
            )
    return "done; its node takes it up within a second"


async def fence(record: "Record", node: str, out: bool) -> None:
    async with link_of(record) as link:
        rows = await link.fetch(
            "UPDATE node SET fenced = $1::bigint WHERE name = $2::text RETURNING name",
            int(out),
            node,
        )
        if not rows:
            raise StoreRefusedError(f"no node {node!r} is known to the record")
