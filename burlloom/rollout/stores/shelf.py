"""What keeps the book: every store offers these, and refuses in one way."""

from typing import NamedTuple, Protocol

from pydantic import TypeAdapter, ValidationError

from ...record.store import StoreUnavailableError as StoreUnavailableError
from ..book import FORM, Book
from ..watch import Member


class Unreadable(Exception):
    """What stands in the store is no book of ours; says what is wrong with it."""


class Page(NamedTuple):
    """The book as it was read. `beat`: whoever leads raises it."""

    revision: int
    beat: int
    book: Book


class Shelf(Protocol):
    """All but `close` raise `Away`; what is read raises `Unreadable`."""

    async def open(self) -> None:
        """Takes missing schema steps, and begins an empty book where there is none."""

    async def read(self, known: Page | None = None) -> Page:
        """`known`: a page read before, whose book is not read again if nothing was written."""

    async def swap(self, page: Page, book: Book) -> bool:
        """Writes the book that was made from this page, if nobody wrote since. On disk when it says
        yes.
        """

    async def beat(self, epoch: int) -> None: ...
    async def tell(self, member: Member) -> bool:
        """False: a later life has this name, and the word was not taken."""

    async def last(self, name: str) -> Member | None:
        """What was told under this name last."""

    async def members(self) -> list[Member]: ...
    async def forget(self, name: str) -> None: ...
    async def close(self) -> None: ...


BOOK, MEMBER = TypeAdapter(Book), TypeAdapter(Member)


def text_of(value: Book | Member) -> str:
    """JSON, one object."""
    adapter: TypeAdapter[Book] | TypeAdapter[Member] = BOOK if isinstance(value, Book) else MEMBER
    return adapter.dump_json(value).decode()  # type: ignore[arg-type]


def book_of(text: str) -> Book:
    """Raises `Unreadable`."""
    try:
        book = BOOK.validate_json(text)
        if book.form > FORM:
            raise Unreadable(
                f"the book has form {book.form}, written by a newer program; this one knows {FORM}"
            )
        return book
    except ValidationError as error:
        first = error.errors()[0]
        raise Unreadable(
            f"the book can't be read: {'.'.join(map(str, first['loc'])) or 'the whole'}: {first['msg']}"
        ) from error


def member_of(text: str) -> Member:
    """Raises `Unreadable`."""
    try:
        return MEMBER.validate_json(text)
    except ValidationError as error:
        raise Unreadable(f"a server's word can't be read: {error.errors()[0]['msg']}") from error
