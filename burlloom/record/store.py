"""What every store of record offers, what the stores share, and how they refuse."""

import logging
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import TypeVar

from ..errors import BurlloomError
from . import failpoints
from .authentication import RowAuthenticator
from .rows import NodeIncarnation, RecordRow, RecordWrite, WriteResult, result_of_unapplied_write

__all__ = [
    "PendingWrite",
    "ProbeCallback",
    "RecordStore",
    "StoreError",
    "StoreRefusedError",
    "StoreSession",
    "StoreUnavailableError",
    "VerdictCallback",
    "WriteCallback",
    "deliver_results",
    "take_batch",
]

log = logging.getLogger(__name__)

WriteCallback = Callable[[WriteResult], None]
ProbeCallback = Callable[[bool], None]
VerdictCallback = Callable[[bytes, int, int, bool], None]
"""Key digest, incarnation and number of the claim, and whether it ran."""
PendingWrite = tuple[RecordWrite, WriteCallback]
Command = TypeVar("Command")


class StoreError(BurlloomError):
    """Base of the errors of stores.

    Attributes:
        problem: What is wrong, and where it helps what to do.
        place: The file, the database or the setting; may be empty.
    """

    def __init__(self, problem: str, *, place: object = "") -> None:
        """Takes the attributes of the same names."""
        self.problem = problem
        self.place = str(place)
        super().__init__(f"{self.place}: {problem}" if self.place else problem)


class StoreRefusedError(StoreError):
    """The store can't be used as it is."""


class StoreUnavailableError(StoreError):
    """The store can't be reached, or nobody knows whether a write applied: read before acting."""


@dataclass(frozen=True, slots=True)
class StoreSession:
    """Who this node is in the store from now on.

    Attributes:
        node: The node's name.
        incarnation: Its incarnation, from 1.
        clock_shift_ns: By how much the clock was stepped since the store was last used.
        migrated: The schema's steps that were taken.
        closed_until_ns: Until when nothing may be claimed, 0 for no bound: the store was restored
            from a snapshot, and what ran since then is not in it.
        previous_notice: The last notice that this node saved.
    """

    node: str
    incarnation: int
    clock_shift_ns: int
    migrated: tuple[int, ...] = ()
    closed_until_ns: int = 0
    previous_notice: str = ""


class RecordStore(ABC):
    """A store of record: `open`, the two reads and `start`; after that `submit` and `close`.

    Writes take effect in the order in which they were submitted. Each callback is called once, on
    the event loop, unless the store hangs: whoever submits keeps a timer of its own.

    Attributes:
        node: The name of this node.
        authenticator: Checks the rows that are read.
        max_batch: The most writes in one commit.
        retention_ns: How long a row stays past the end of its window, nanoseconds.
        incarnation: This node's incarnation; 0 until the store is open.
        commit_count: Commits since the start.
        write_count: Writes in them.
        largest_batch: The most writes in one of them.
        pruned_rows: Rows deleted since the start, their windows over.
        on_verdict: Called for each doubt that an operator resolved, more than once.
    """

    def __init__(
        self, node: str, authenticator: RowAuthenticator, max_batch: int, retention_ns: int
    ) -> None:
        """Takes the attributes of the same names."""
        self.node = node
        self.authenticator = authenticator
        self.max_batch = max_batch
        self.retention_ns = retention_ns
        self.incarnation = 0
        self.commit_count = 0
        self.write_count = 0
        self.largest_batch = 0
        self.pruned_rows = 0
        self.on_verdict: VerdictCallback | None = None

    @abstractmethod
    async def open(self) -> StoreSession:
        """Opens the store, takes missing steps of the schema, and begins an incarnation.

        Raises:
            StoreRefusedError: It can't be used.
        """

    @abstractmethod
    def read_recorded_keys(self, now_ns: int) -> Iterator[list[tuple[bytes, int]]]:
        """Key digest and end of window of this node's rows, by batches."""

    @abstractmethod
    def read_started_rows(self, now_ns: int) -> Iterator[RecordRow]:
        """This node's rows without an end, of any incarnation."""

    @abstractmethod
    async def start(self) -> None:
        """Starts writing."""

    @abstractmethod
    def submit(self, write: RecordWrite, callback: WriteCallback) -> None:
        """Sends a write; the callback gets its result."""

    @abstractmethod
    def probe(self, callback: ProbeCallback) -> None:
        """Makes a commit of its own; the callback hears whether the store works."""

    @abstractmethod
    def save_notice(self, text: str) -> None:
        """Leaves a notice to this node's next incarnation, if it can be written now."""

    @abstractmethod
    async def close(self) -> None:
        """Writes what was submitted and lets go; a store that hangs is left after two seconds."""

    def result_of(
        self,
        write: RecordWrite,
        stored: RecordRow | None,
        incarnations: dict[str, NodeIncarnation],
    ) -> WriteResult:
        """The result of a write that changed nothing; a row whose MAC does not hold is logged."""
        is_authentic = stored is None or self.authenticator.is_authentic(stored)
        if not is_authentic:
            log.error("event=record_row_altered key_digest=%s", write.row.key_digest.hex())
        return result_of_unapplied_write(write, stored, incarnations, is_authentic)

    def count_commit(self, batch: list[PendingWrite]) -> None:
        """Counts one commit."""
        self.commit_count += 1
        self.write_count += len(batch)
        self.largest_batch = max(self.largest_batch, len(batch))

    def hit_failpoint(self, batch: list[PendingWrite], moment: str) -> None:
        """Marks a moment of a batch for tests."""
        failpoints.hit_for_batch({write.kind.name.lower() for write, _ in batch}, moment)


def take_batch(
    first: PendingWrite, queue: "deque[PendingWrite | Command]", max_batch: int
) -> list[PendingWrite]:
    """The first write and those directly behind it, up to `max_batch`; takes them off the queue."""
    batch = [first]
    while queue and len(batch) < max_batch and isinstance(queue[0], tuple):
        batch.append(queue.popleft())  # type: ignore[arg-type]
    return batch


def deliver_results(batch: list[PendingWrite], results: list[WriteResult]) -> None:
    """Calls each write's callback; an error in one must not keep the result from the rest."""
    for (_, callback), result in zip(batch, results, strict=True):
        try:
            callback(result)
        except Exception:
            log.exception("event=internal_error side=record")
