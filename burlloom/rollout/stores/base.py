"""What every store of the rollout state offers; each store is one module beside this one.

All methods but `close` raise `StoreUnavailableError`, and a write that raised it may have been
taken or not. What can't be read raises `StateDecodeError`.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from ...record.store import StoreUnavailableError as StoreUnavailableError
from ..liveness import ServerReport
from ..state import RolloutState

__all__ = ["RolloutStore", "StateSnapshot", "StoreUnavailableError"]


@dataclass(frozen=True, slots=True)
class StateSnapshot:
    """The rollout state as it was read.

    Attributes:
        revision: Grows with each write; a write names the revision that it was made from.
        heartbeat: Raised by the leader each round while it lives.
        state: What is agreed.
    """

    revision: int
    heartbeat: int
    state: RolloutState


class RolloutStore(ABC):
    """Keeps the rollout state, and each server's newest report."""

    @abstractmethod
    async def open(self) -> None:
        """Takes missing schema steps, and writes an empty state where there is none."""

    @abstractmethod
    async def read(self, known: StateSnapshot | None = None) -> StateSnapshot:
        """Reads the state.

        Args:
            known: A snapshot read before; its state is reused if nothing was written since.
        """

    @abstractmethod
    async def compare_and_swap(self, snapshot: StateSnapshot, state: RolloutState) -> bool:
        """Writes `state` if nobody wrote since `snapshot` was read.

        Returns:
            Whether it was written; then it is on disk.
        """

    @abstractmethod
    async def heartbeat(self, epoch: int) -> None:
        """Raises the leader's heartbeat; does nothing where the epoch is another by now."""

    @abstractmethod
    async def report(self, report: ServerReport) -> bool:
        """Stores a server's report in place of its last one.

        Returns:
            False where a later incarnation has reported under this name; nothing is written then.
        """

    @abstractmethod
    async def last_report(self, name: str) -> ServerReport | None:
        """Returns the newest report under this name; None where there is none."""

    @abstractmethod
    async def reports(self) -> list[ServerReport]:
        """Returns the newest report of each server."""

    @abstractmethod
    async def forget_report(self, name: str) -> None:
        """Deletes the report under this name, if there is one."""

    @abstractmethod
    async def close(self) -> None:
        """Lets go of the store; never raises."""
