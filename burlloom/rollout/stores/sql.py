"""The book in two tables. Each step is one statement that holds or does not: no transaction is open
between two.
"""

import logging
import time
from typing import Any

from ..liveness import ServerReport
from ..state import RolloutState
from .base import StateSnapshot
from .codec import StateDecodeError, decode_report, decode_state, encode_report, encode_state

log = logging.getLogger(__name__)

# A book that begins anew counts on from beyond all that there was: no page of the one before fits
# it.
BEGIN = (
    "INSERT INTO rollout_book (id, revision, epoch, beat, text) VALUES (1, $1::bigint, 0, 0, $2::text)"
    " ON CONFLICT (id) DO NOTHING RETURNING revision"
)
LOOK = "SELECT revision, beat FROM rollout_book WHERE id = 1"
READ = "SELECT revision, beat, text FROM rollout_book WHERE id = 1"
SWAP = (
    "UPDATE rollout_book SET revision = revision + 1, epoch = $1::bigint, text = $2::text"
    " WHERE id = 1 AND revision = $3::bigint RETURNING revision"
)
BEAT = "UPDATE rollout_book SET beat = beat + 1 WHERE id = 1 AND epoch = $1::bigint RETURNING beat"
TELL = (
    "INSERT INTO rollout_member (name, life, beat, text) VALUES ($1::text, $2::bigint, $3::bigint, $4::text)"
    " ON CONFLICT (name) DO UPDATE SET life = excluded.life, beat = excluded.beat, text = excluded.text"
    " WHERE rollout_member.life <= excluded.life RETURNING life"
)
LAST = "SELECT text FROM rollout_member WHERE name = $1::text"
MEMBERS = "SELECT text FROM rollout_member"
FORGET = "DELETE FROM rollout_member WHERE name = $1::text RETURNING life"


class SqlRolloutStore:
    """`Shelf` over `run`, which a store gives: one statement, and its rows. Raises `Away`."""

    async def execute(self, sql: str, *values: Any) -> list[Any]:
        raise NotImplementedError

    async def prepare(self) -> None:
        raise NotImplementedError

    async def open(self) -> None:
        await self.prepare()
        await self.execute(BEGIN, time.time_ns() // 1_000_000, encode_state(RolloutState()))

    async def read(self, known: StateSnapshot | None = None) -> StateSnapshot:
        if known is not None:
            ((revision, beat),) = await self.execute(LOOK)
            if revision == known.revision:
                return StateSnapshot(revision, beat, known.state)
        found = await self.execute(READ)
        if not found:
            raise StateDecodeError("the book is gone: its table is empty")
        ((revision, beat, text),) = found
        return StateSnapshot(revision, beat, decode_state(text))

    async def compare_and_swap(self, page: StateSnapshot, book: RolloutState) -> bool:
        return bool(await self.execute(SWAP, book.epoch, encode_state(book), page.revision))

    async def heartbeat(self, epoch: int) -> None:
        await self.execute(BEAT, epoch)

    async def report(self, member: ServerReport) -> bool:
        return bool(
            await self.execute(
                TELL, member.name, member.incarnation, member.heartbeat, encode_report(member)
            )
        )

    async def last_report(self, name: str) -> ServerReport | None:
        return next((decode_report(row[0]) for row in await self.execute(LAST, name)), None)

    async def reports(self) -> list[ServerReport]:
        found = []
        for (text,) in await self.execute(MEMBERS):
            try:
                found.append(decode_report(text))
            except StateDecodeError as error:  # of a newer program perhaps; it counts as silent
                log.warning("event=rollout-member-unread detail=%r", str(error))
        return found

    async def forget_report(self, name: str) -> None:
        await self.execute(FORGET, name)
