"""The interface of all record stores, their shared code, and their errors."""

import logging
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import TypeVar

from ..errors import BurlloomError
from . import failpoints
from .authentication import RowAuthenticator
from .rows import NodeIncarnation, RecordRow, RecordWrite, WriteResult, interpret_unapplied_write

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
"""Receives a claim's key digest, incarnation and number, and whether the request ran."""
PendingWrite = tuple[RecordWrite, WriteCallback]
Command = TypeVar("Command")


class StoreError(BurlloomError):
    """Base class of the errors of stores.

    Attributes:
        problem: What is wrong, and what to do if known.
        place: The file, database or setting that has the problem; may be empty.
    """

    def __init__(self, problem: str, *, place: object = "") -> None:
        """Creates an error; the parameters are the attributes of the same names."""
        self.problem = problem
        self.place = str(place)
        super().__init__(f"{self.place}: {problem}" if self.place else problem)


class StoreRefusedError(StoreError):
    """The store can't be used in its current state."""


class StoreUnavailableError(StoreError):
    """The store can't be reached, or it is unknown whether a write took effect.

    After this error a caller reads the stored state before it repeats a write.
    """


@dataclass(frozen=True, slots=True)
class StoreSession:
    """The result of opening a store.

    Attributes:
        node: The node's name.
        incarnation: The node's incarnation, from 1.
        clock_shift_ns: By how much the wall clock was stepped while the store was closed; positive
            if it was stepped ahead.
        migrated: The numbers of the schema steps that were applied.
        closed_until_ns: When claims are allowed again, wall-clock nanoseconds; 0 for no
            restriction. Set by a restore from a snapshot, which lacks the requests that ran later.
        previous_notice: The last notice that this node saved.
    """

    node: str
    incarnation: int
    clock_shift_ns: int
    migrated: tuple[int, ...] = ()
    closed_until_ns: int = 0
    previous_notice: str = ""


class RecordStore(ABC):
    """The interface of a record store.

    The caller uses `open`, the two read methods and `start`, in this order, then `submit`, and at
    last `close`. Writes take effect in the order of submission. Each callback is called once, on
    the event loop, unless the store hangs; callers therefore need their own timeouts.

    Attributes:
        node: The name of this node.
        authenticator: Computes and checks the rows' MACs.
        max_batch: The maximum number of writes in one commit.
        retention_ns: How long a row is kept after the end of its window, nanoseconds.
        incarnation: This node's incarnation; 0 until the store is open.
        commit_count: The number of commits since the start.
        write_count: The number of writes in these commits.
        largest_batch: The largest number of writes in one commit.
        pruned_rows: The number of expired rows deleted since the start.
        on_verdict: Called for each operator's verdict, possibly several times for the same one.
    """

    def __init__(
        self, node: str, authenticator: RowAuthenticator, max_batch: int, retention_ns: int
    ) -> None:
        """Creates a store that is not open; the parameters are the attributes of the same names."""
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
        """Opens the store, applies pending schema steps, and starts an incarnation.

        Raises:
            StoreRefusedError: The store can't be used.
        """

    @abstractmethod
    def read_recorded_keys(self, now_ns: int) -> Iterator[list[tuple[bytes, int]]]:
        """Yields batches of key digest and window end of this node's rows."""

    @abstractmethod
    def read_started_rows(self, now_ns: int) -> Iterator[RecordRow]:
        """Yields this node's rows of unfinished runs, of any incarnation."""

    @abstractmethod
    async def start(self) -> None:
        """Starts the task or thread that writes."""

    @abstractmethod
    def submit(self, write: RecordWrite, callback: WriteCallback) -> None:
        """Queues a write; the callback receives its result."""

    @abstractmethod
    def probe(self, callback: ProbeCallback) -> None:
        """Queues a probe commit; the callback receives whether it succeeded."""

    @abstractmethod
    def save_notice(self, text: str) -> None:
        """Saves a notice for this node's next incarnation, if the store accepts it."""

    @abstractmethod
    async def close(self) -> None:
        """Writes what was submitted and closes; a hanging store is abandoned after 2 s."""

    def interpret_stored_row(
        self,
        write: RecordWrite,
        stored: RecordRow | None,
        incarnations: dict[str, NodeIncarnation],
    ) -> WriteResult:
        """Returns the result of a write that changed no row; logs a row with an invalid MAC."""
        is_authentic = stored is None or self.authenticator.is_authentic(stored)
        if not is_authentic:
            log.error("event=record_row_altered key_digest=%s", write.row.key_digest.hex())
        return interpret_unapplied_write(write, stored, incarnations, is_authentic)

    def count_commit(self, batch: list[PendingWrite]) -> None:
        """Updates the counters for one commit."""
        self.commit_count += 1
        self.write_count += len(batch)
        self.largest_batch = max(self.largest_batch, len(batch))

    def hit_failpoint(self, batch: list[PendingWrite], moment: str) -> None:
        """Passes the failpoint of a batch at a moment such as "commit" or "durable"."""
        failpoints.hit_for_batch({write.kind.name.lower() for write, _ in batch}, moment)


def take_batch(
    first: PendingWrite, queue: "deque[PendingWrite | Command]", max_batch: int
) -> list[PendingWrite]:
    """Removes the writes directly behind the first one from the queue, and returns all of them.

    Args:
        first: The first write, already removed from the queue.
        queue: The queue; the batch ends at the first item that is not a write.
        max_batch: The maximum number of writes to return.
    """
    batch = [first]
    while queue and len(batch) < max_batch and isinstance(queue[0], tuple):
        batch.append(queue.popleft())  # type: ignore[arg-type]
    return batch


def deliver_results(batch: list[PendingWrite], results: list[WriteResult]) -> None:
    """Calls each write's callback; an error in one does not affect the others."""
    for (_, callback), result in zip(batch, results, strict=True):
        try:
            callback(result)
        except Exception:
            log.exception("event=internal_error side=record")
