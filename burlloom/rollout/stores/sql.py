"""Rollout state in two SQL tables, for any database that runs single statements.

Each write is one atomic statement; no transaction stays open between two statements.
"""

import logging
import time
from abc import abstractmethod
from typing import Any

from ...time_units import NS_PER_MS
from ..liveness import ServerReport
from ..state import RolloutState
from .base import RolloutStore, StateSnapshot
from .codec import StateDecodeError, decode_report, decode_state, encode_report, encode_state

__all__ = ["SqlRolloutStore"]

log = logging.getLogger(__name__)


# The first revision is the current time in ms. If the state is created again, its revisions are
# larger than all earlier ones, so no write that is based on the earlier state can succeed.
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
    """`RolloutStore` on top of `prepare` and `execute`, which the database's class defines."""

    @abstractmethod
    async def prepare(self) -> None:
        """Connects and applies missing schema migrations."""

    @abstractmethod
    async def execute(self, sql: str, *values: Any) -> list[Any]:
        """Runs one statement and returns its rows."""

    async def open(self) -> None:
        """Applies missing schema migrations, and writes an empty state if there is none."""
        await self.prepare()
        first_revision = time.time_ns() // NS_PER_MS
        await self.execute(_CREATE_STATE, first_revision, encode_state(RolloutState()))

    async def read(self, known: StateSnapshot | None = None) -> StateSnapshot:
        """Reads the state, or only its revision if `known` is still current."""
        if known is not None:
            ((revision, heartbeat),) = await self.execute(_SELECT_REVISION)
            if revision == known.revision:
                return StateSnapshot(revision, heartbeat, known.state)
        rows = await self.execute(_SELECT_STATE)
        if not rows:
            raise StateDecodeError("stored rollout state is missing: table rollout_book is empty")
        ((revision, heartbeat, text),) = rows
        return StateSnapshot(revision, heartbeat, decode_state(text))

    async def compare_and_swap(self, snapshot: StateSnapshot, state: RolloutState) -> bool:
        """Writes `state` if `snapshot` still has the stored revision."""
        values = state.epoch, encode_state(state), snapshot.revision
        return bool(await self.execute(_SWAP_STATE, *values))

    async def raise_heartbeat(self, epoch: int) -> None:
        """Increases the leader's heartbeat if the stored epoch is `epoch`."""
        await self.execute(_RAISE_HEARTBEAT, epoch)

    async def write_report(self, report: ServerReport) -> bool:
        """Stores a server's report unless a later incarnation has reported."""
        values = report.name, report.incarnation, report.heartbeat, encode_report(report)
        return bool(await self.execute(_UPSERT_REPORT, *values))

    async def read_last_report(self, name: str) -> ServerReport | None:
        """Returns the latest report of the server of this name; None if there is none."""
        rows = await self.execute(_SELECT_REPORT, name)
        return decode_report(rows[0][0]) if rows else None

    async def read_reports(self) -> list[ServerReport]:
        """Returns the latest report of each server; leaves out reports that cannot be decoded."""
        reports = []
        for (text,) in await self.execute(_SELECT_REPORTS):
            try:
                reports.append(decode_report(text))
            except StateDecodeError as error:
                # A newer program may have written the report. Its server counts as silent.
                log.warning("event=rollout_report_unreadable detail=%r", str(error))
        return reports

    async def delete_report(self, name: str) -> None:
        """Deletes the report of the server of this name, if there is one."""
        await self.execute(_DELETE_REPORT, name)
