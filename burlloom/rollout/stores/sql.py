"""The rollout state in two SQL tables, for any database that runs one statement at a time.

Each step is one statement that takes hold or does not: no transaction stays open between two.
"""

import logging
import time
from abc import abstractmethod
from typing import Any

from ..liveness import ServerReport
from ..state import RolloutState
from .base import RolloutStore, StateSnapshot
from .codec import StateDecodeError, decode_report, decode_state, encode_report, encode_state

__all__ = ["SqlRolloutStore"]

log = logging.getLogger(__name__)

_NS_PER_MS = 1_000_000

# The first revision is the time in ms: a state that begins anew counts on from beyond all revisions
# that there were, and no snapshot of the one before fits it.
_CREATE_STATE = (
    "INSERT INTO rollout_book (id, revision, epoch, beat, text)"
    " VALUES (1, $1::bigint, 0, 0, $2::text)"
    " ON CONFLICT (id) DO NOTHING RETURNING revision"
)
_SELECT_REVISION = "SELECT revision, beat FROM rollout_book WHERE id = 1"
_SELECT_STATE = "SELECT revision, beat, text FROM rollout_book WHERE id = 1"
_SWAP_STATE = (
    "UPDATE rollout_book SET revision = revision + 1, epoch = $1::bigint, text = $2::text"
    " WHERE id = 1 AND revision = $3::bigint RETURNING revision"
)
_RAISE_HEARTBEAT = (
    "UPDATE rollout_book SET beat = beat + 1 WHERE id = 1 AND epoch = $1::bigint RETURNING beat"
)
_UPSERT_REPORT = (
    "INSERT INTO rollout_member (name, life, beat, text)"
    " VALUES ($1::text, $2::bigint, $3::bigint, $4::text)"
    " ON CONFLICT (name) DO UPDATE"
    " SET life = excluded.life, beat = excluded.beat, text = excluded.text"
    " WHERE rollout_member.life <= excluded.life RETURNING life"
)
_SELECT_REPORT = "SELECT text FROM rollout_member WHERE name = $1::text"
_SELECT_REPORTS = "SELECT text FROM rollout_member"
_DELETE_REPORT = "DELETE FROM rollout_member WHERE name = $1::text RETURNING life"


class SqlRolloutStore(RolloutStore):
    """`RolloutStore` over `prepare` and `execute`, which the database's class gives."""

    @abstractmethod
    async def prepare(self) -> None:
        """Connects, and takes missing schema steps."""

    @abstractmethod
    async def execute(self, sql: str, *values: Any) -> list[Any]:
        """Runs one statement, and returns its rows."""

    async def open(self) -> None:
        """Takes missing schema steps, and writes an empty state where there is none."""
        await self.prepare()
        first_revision = time.time_ns() // _NS_PER_MS
        await self.execute(_CREATE_STATE, first_revision, encode_state(RolloutState()))

    async def read(self, known: StateSnapshot | None = None) -> StateSnapshot:
        """Reads the state, or only its revision where `known` is the newest."""
        if known is not None:
            ((revision, heartbeat),) = await self.execute(_SELECT_REVISION)
            if revision == known.revision:
                return StateSnapshot(revision, heartbeat, known.state)
        rows = await self.execute(_SELECT_STATE)
        if not rows:
            raise StateDecodeError("the book is gone: its table is empty")
        ((revision, heartbeat, text),) = rows
        return StateSnapshot(revision, heartbeat, decode_state(text))

    async def compare_and_swap(self, snapshot: StateSnapshot, state: RolloutState) -> bool:
        """Writes `state` if nobody wrote since `snapshot` was read."""
        values = state.epoch, encode_state(state), snapshot.revision
        return bool(await self.execute(_SWAP_STATE, *values))

    async def heartbeat(self, epoch: int) -> None:
        """Raises the leader's heartbeat."""
        await self.execute(_RAISE_HEARTBEAT, epoch)

    async def report(self, report: ServerReport) -> bool:
        """Stores a server's report, unless a later incarnation has reported."""
        values = report.name, report.incarnation, report.heartbeat, encode_report(report)
        return bool(await self.execute(_UPSERT_REPORT, *values))

    async def last_report(self, name: str) -> ServerReport | None:
        """Returns the newest report under this name."""
        rows = await self.execute(_SELECT_REPORT, name)
        return decode_report(rows[0][0]) if rows else None

    async def reports(self) -> list[ServerReport]:
        """Returns the newest report of each server; one that can't be read is left out."""
        found = []
        for (text,) in await self.execute(_SELECT_REPORTS):
            try:
                found.append(decode_report(text))
            except StateDecodeError as error:  # of a newer program perhaps; it counts as silent
                log.warning("event=rollout_report_unreadable detail=%r", str(error))
        return found

    async def forget_report(self, name: str) -> None:
        """Deletes the report under this name."""
        await self.execute(_DELETE_REPORT, name)
