"""What keeps the book: every store offers these, and refuses in one way."""

from typing import NamedTuple, Protocol

from ...record.store import StoreUnavailableError as StoreUnavailableError
from ..liveness import ServerReport
from ..state import RolloutState


class StateSnapshot(NamedTuple):
    """The book as it was read. `beat`: whoever leads raises it."""

    revision: int
    heartbeat: int
    state: RolloutState


class RolloutStore(Protocol):
    """All but `close` raise `Away`; what is read raises `Unreadable`."""

    async def open(self) -> None:
        """Takes missing schema steps, and begins an empty book where there is none."""

    async def read(self, known: StateSnapshot | None = None) -> StateSnapshot:
        """`known`: a page read before, whose book is not read again if nothing was written."""

    async def compare_and_swap(self, page: StateSnapshot, book: RolloutState) -> bool:
        """Writes the book that was made from this page, if nobody wrote since. On disk when it says
        yes.
        """

    async def heartbeat(self, epoch: int) -> None: ...
    async def report(self, member: ServerReport) -> bool:
        """False: a later life has this name, and the word was not taken."""

    async def last_report(self, name: str) -> ServerReport | None:
        """What was told under this name last."""

    async def reports(self) -> list[ServerReport]: ...
    async def forget_report(self, name: str) -> None: ...
    async def close(self) -> None: ...
