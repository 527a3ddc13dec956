"""The book in two tables. Each step is one statement that holds or does not: no transaction is open
between two.
"""

import logging
import time
from typing import Any

from ..book import Book
from ..watch import Member
from .shelf import Page, Unreadable, book_of, member_of, text_of

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


class Tables:
    """`Shelf` over `run`, which a store gives: one statement, and its rows. Raises `Away`."""

    async def execute(self, sql: str, *values: Any) -> list[Any]:
        raise NotImplementedError

    async def prepare(self) -> None:
        raise NotImplementedError

    async def open(self) -> None:
        await self.prepare()
        await self.execute(BEGIN, time.time_ns() // 1_000_000, text_of(Book()))

    async def read(self, known: Page | None = None) -> Page:
        if known is not None:
            ((revision, beat),) = await self.execute(LOOK)
            if revision == known.revision:
                return Page(revision, beat, known.book)
        found = await self.execute(READ)
        if not found:
            raise Unreadable("the book is gone: its table is empty")
        ((revision, beat, text),) = found
        return Page(revision, beat, book_of(text))

    async def swap(self, page: Page, book: Book) -> bool:
        return bool(await self.execute(SWAP, book.epoch, text_of(book), page.revision))

    async def beat(self, epoch: int) -> None:
        await self.execute(BEAT, epoch)

    async def tell(self, member: Member) -> bool:
        return bool(
            await self.execute(TELL, member.name, member.life, member.beat, text_of(member))
        )

    async def last(self, name: str) -> Member | None:
        return next((member_of(row[0]) for row in await self.execute(LAST, name)), None)

    async def members(self) -> list[Member]:
        found = []
        for (text,) in await self.execute(MEMBERS):
            try:
                found.append(member_of(text))
            except Unreadable as error:  # of a newer program perhaps; it counts as silent
                log.warning("event=rollout-member-unread detail=%r", str(error))
        return found

    async def forget(self, name: str) -> None:
        await self.execute(FORGET, name)
