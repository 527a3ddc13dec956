"""What every store offers, and how it refuses."""

import logging
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Protocol

from .rows import RecordRow, RecordWrite, WriteResult

log = logging.getLogger(__name__)
WriteCallback = Callable[[WriteResult], None]
VerdictCallback = Callable[
    [bytes, int, int, bool], None
]  # mark, life and turn of the claim, whether it ran


class StoreRefusedError(Exception):
    """The store can't be used as it is; one line that says why and what to do."""


class StoreUnavailableError(Exception):
    """The store can't be reached, or nobody knows whether it took what was written: read before you
    act.
    """


@dataclass(frozen=True, slots=True)
class StoreSession:
    """Who we are in the store from now on.

    `shift` is by how much the clock was stepped since it was last used. Until `closed_until`
    nothing may be claimed: the store was put back from a snapshot, and what ran since then is not
    in it. `note`: what this node noted last.
    """

    node: str
    incarnation: int
    clock_shift_ns: int
    migrated: tuple[int, ...] = ()
    closed_until_ns: int = 0
    previous_notice: str = ""


class RecordStore(Protocol):
    """`open`, `known` and `begun`, then `start`; from then on only `post` and `close`.

    Writes take hold in the order in which they were posted. `done` is called on the loop, once for
    each write, unless the store hangs: whoever posts keeps its own time.
    """

    commit_count: int
    write_count: int
    largest_batch: int
    pruned_rows: int
    on_verdict: (
        VerdictCallback | None
    )  # called for each doubt that an operator resolved, more than once

    async def open(self) -> StoreSession: ...
    def read_recorded_keys(self, now: int) -> Iterator[list[tuple[bytes, int]]]:
        """Mark and end of window of all rows of this node; what they ended with stays there until
        it is asked for.
        """

    def read_started_rows(self, now: int) -> Iterator[RecordRow]:
        """Those without an end, by whatever life of this node."""

    async def start(self) -> None: ...
    def submit(self, write: RecordWrite, done: WriteCallback) -> None: ...
    def probe(self, now: int, done: Callable[[bool], None]) -> None: ...
    def save_notice(self, text: str) -> None:
        """Leaves a word to this node's next life; where it can't be written now, it is not."""

    async def close(self) -> None: ...


def deliver(batch: list[tuple[RecordWrite, WriteCallback]], words: list[WriteResult]) -> None:
    """An error of one that is told must not keep the word from the rest."""
    for (_, done), word in zip(batch, words, strict=True):
        try:
            done(word)
        except Exception:
            log.exception("event=fault side=record")
