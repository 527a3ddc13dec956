"""What keeps the book: every store offers these, and refuses in one way."""

from typing import NamedTuple, Protocol

from pydantic import TypeAdapter, ValidationError

from ...record.store import Away as Away
from ..liveness import ServerReport
from ..state import FORMAT_VERSION, RolloutState


class StateDecodeError(Exception):
    """What stands in the store is no book of ours; says what is wrong with it."""


class StateSnapshot(NamedTuple):
    """The book as it was read. `beat`: whoever leads raises it."""

    revision: int
    beat: int
    book: RolloutState


class RolloutStore(Protocol):
    """All but `close` raise `Away`; what is read raises `Unreadable`."""

    async def open(self) -> None:
        """Takes missing schema steps, and begins an empty book where there is none."""

    async def read(self, known: StateSnapshot | None = None) -> StateSnapshot:
        """`known`: a page read before, whose book is not read again if nothing was written."""

    async def swap(self, page: StateSnapshot, book: RolloutState) -> bool:
        """Writes the book that was made from this page, if nobody wrote since. On disk when it says
        yes.
        """

    async def beat(self, epoch: int) -> None: ...
    async def tell(self, member: ServerReport) -> bool:
        """False: a later life has this name, and the word was not taken."""

    async def last(self, name: str) -> ServerReport | None:
        """What was told under this name last."""

    async def members(self) -> list[ServerReport]: ...
    async def forget(self, name: str) -> None: ...
    async def close(self) -> None: ...


BOOK, MEMBER = TypeAdapter(RolloutState), TypeAdapter(ServerReport)


def encode_record(value: RolloutState | ServerReport) -> str:
    """JSON, one object."""
    adapter: TypeAdapter[RolloutState] | TypeAdapter[ServerReport] = (
        BOOK if isinstance(value, RolloutState) else MEMBER
    )
    return adapter.dump_json(value).decode()  # type: ignore[arg-type]


def decode_state(text: str) -> RolloutState:
    """Raises `Unreadable`."""
    try:
        book = BOOK.validate_json(text)
        if book.form > FORMAT_VERSION:
            raise StateDecodeError(
                f"the book has form {book.form}, written by a newer program; this one knows {FORMAT_VERSION}"
            )
        return book
    except ValidationError as error:
        first = error.errors()[0]
        raise StateDecodeError(
            f"the book can't be read: {'.'.join(map(str, first['loc'])) or 'the whole'}: {first['msg']}"
        ) from error


def decode_report(text: str) -> ServerReport:
    """Raises `Unreadable`."""
    try:
        return MEMBER.validate_json(text)
    except ValidationError as error:
        raise StateDecodeError(
            f"a server's word can't be read: {error.errors()[0]['msg']}"
        ) from error
