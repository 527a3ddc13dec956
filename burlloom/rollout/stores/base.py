"""Interface of the stores of the rollout state; each store is another module of this package.

All methods but `close` may raise `StoreUnavailableError`; after that, a write may or may not have
taken effect. Stored text that cannot be decoded raises `StateDecodeError`.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from ...record.store import StoreUnavailableError as StoreUnavailableError
from ..liveness import ServerReport
from ..state import RolloutState

__all__ = ["RolloutStore", "StateSnapshot", "StoreUnavailableError"]


@dataclass(frozen=True, slots=True)
class StateSnapshot:
    """The rollout state at one revision.

    Attributes:
        revision: Increases with each write; a write succeeds only on the revision it was based on.
        heartbeat: Counter that the leader increases in each round.
        state: The rollout state.
    """

    revision: int
    heartbeat: int
    state: RolloutState


class RolloutStore(ABC):
    """Stores the rollout state and the latest report of each server."""

    @abstractmethod
    async def open(self) -> None:
        """Applies missing schema migrations, and writes an empty state if there is none."""

    @abstractmethod
    async def read(self, known: StateSnapshot | None = None) -> StateSnapshot:
        """Reads the state.

        Args:
            known: An earlier snapshot; its state is returned if the revision has not changed.
        """

    @abstractmethod
    async def compare_and_swap(self, snapshot: StateSnapshot, state: RolloutState) -> bool:
        """Writes `state` if `snapshot` still has the stored revision.

        Returns:
            Whether the state was written; if so, it is durable.
        """

    @abstractmethod
    async def raise_heartbeat(self, epoch: int) -> None:
        """Increases the leader's heartbeat if the stored epoch is `epoch`; else does nothing."""

    @abstractmethod
    async def write_report(self, report: ServerReport) -> bool:
        """Stores a server's report in place of its last one.

        Returns:
            Whether the report was stored; False if a later incarnation has reported under this
            name.
        """

    @abstractmethod
    async def read_last_report(self, name: str) -> ServerReport | None:
        """Returns the latest report of the server of this name; None if there is none."""

    @abstractmethod
    async def read_reports(self) -> list[ServerReport]:
        """Returns the latest report of each server."""

    @abstractmethod
    async def delete_report(self, name: str) -> None:
        """Deletes the report of the server of this name, if there is one."""

    @abstractmethod
    async def close(self) -> None:
        """Releases the store's resources; never raises."""
