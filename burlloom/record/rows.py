"""What a store keeps of a mark, and what is asked of it."""

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from .request_lifecycle import RequestEvent, RequestState

# The states that a row can have: begun, ended with its result, ended without one to give.
KEY_DIGEST_BYTES = 16
ROW_STARTED, ROW_COMPLETED, ROW_COMPLETED_WITHOUT_RESULT = (
    int(RequestState.RUNNING),
    int(RequestState.SUCCESS_RECORDED),
    int(RequestState.FAILURE_RECORDED),
)


class RecordRow(NamedTuple):
    """One mark in the store; times are wall-clock nanoseconds."""

    key_digest: bytes
    state: int
    node: str
    incarnation: int
    claim_number: int
    request_id: str
    started_at_ns: int
    expires_at_ns: int
    result: bytes = b""
    mac: bytes = b""


ROW_STATE_NAMES = {
    ROW_STARTED: "begun",
    ROW_COMPLETED: "ran",
    ROW_COMPLETED_WITHOUT_RESULT: "ran-without-result",
}  # as an operator reads them


class WriteKind(IntEnum):
    CLAIM = 0  # lays a row where there is none, or an older turn of the same life
    FINISH = 1  # its end, on the row of this life and turn
    WITHDRAW = 2  # takes it away again
    INSERT = 3  # lays a whole row where there is none
    LOOK = 4  # whose is it
    FIND = 5  # any row, for a retry that is not known here


def of_finish(row: RecordRow) -> tuple[object, ...]:
    """The values of a FINISH, in the order of both stores' statements."""
    return (
        row.state,
        row.result,
        row.mac,
        row.key_digest,
        row.node,
        row.incarnation,
        row.claim_number,
    )


def of_withdraw(row: RecordRow) -> tuple[object, ...]:
    return row.key_digest, row.node, row.incarnation, row.claim_number


@dataclass(frozen=True, slots=True)
class RecordWrite:
    """One thing asked of a store. `row` is what is to stand; for LOOK and FIND only its mark
    counts.
    """

    kind: WriteKind
    row: RecordRow


@dataclass(frozen=True, slots=True)
class WriteResult:
    """What a store says of one write: how it went, and the row that stands there where it is
    another's.
    """

    outcome: RequestEvent
    row: RecordRow | None = None


def classify_row(
    row: RecordRow | None,
    node: str,
    life: int,
    turn: int,
    lives: dict[str, tuple[int, bool]],
    sound: bool = True,
) -> RequestEvent:
    """What a row that stands at a mark means to the one who claimed it as (node, life, turn).

    `lives` has each node's present life, and whether it was fenced off. A claim of a life that is
    over has nobody to end it: whether it ran is in doubt, which to a repeat is the same as an end
    without a result. So is a row whose seal is broken: it may say that it ran, and what it says
    can't be served.
    """
    if row is None:
        return RequestEvent.NOT_FOUND
    if not sound or row.state == ROW_COMPLETED_WITHOUT_RESULT:
        return RequestEvent.FOUND_NO_RESULT
    if row.state == ROW_COMPLETED:
        return RequestEvent.FOUND_RESULT
    if (row.node, row.incarnation, row.claim_number) == (node, life, turn):
        return RequestEvent.WRITE_APPLIED
    present, fenced = lives.get(row.node, (row.incarnation, False))
    return (
        RequestEvent.FOUND_NO_RESULT
        if fenced or row.incarnation != present
        else RequestEvent.FOUND_CLAIMED
    )


def result_of_unapplied_write(
    write: RecordWrite,
    there: RecordRow | None,
    lives: dict[str, tuple[int, bool]],
    sound: bool = True,
) -> WriteResult:
    """The word on a write that changed nothing, by the row that stands there."""
    row = write.row
    how = classify_row(there, row.node, row.incarnation, row.claim_number, lives, sound)
    if (
        write.kind is WriteKind.FINISH
        and there is not None
        and sound
        and (there.node, there.incarnation, there.claim_number, there.state)
        == (row.node, row.incarnation, row.claim_number, row.state)
    ):
        how = RequestEvent.WRITE_APPLIED  # said again, after a word that was lost
    return WriteResult(how, there if how is RequestEvent.FOUND_RESULT else None)


def apply_write(
    row: RecordRow | None, write: RecordWrite, present: int
) -> tuple[RecordRow | None, bool]:
    """What stands at a mark after a write, and whether the write took hold: what each store's SQL
    must do.

    `present` is the life that the store knows of the writing node: one that is over writes nothing
    any more.
    """
    new = write.row
    ours = row is not None and (row.node, row.incarnation, row.state) == (
        new.node,
        new.incarnation,
        ROW_STARTED,
    )
    if write.kind in (WriteKind.LOOK, WriteKind.FIND):
        return row, False
    if write.kind in (WriteKind.CLAIM, WriteKind.INSERT) and new.incarnation != present:
        return row, False
    if (
        write.kind is WriteKind.CLAIM
        and row is not None
        and ours
        and row.claim_number <= new.claim_number
    ):
        return new, True
    if write.kind in (WriteKind.CLAIM, WriteKind.INSERT):
        return (new, True) if row is None else (row, False)
    if row is None or not ours or row.claim_number != new.claim_number:
        return row, False
    if write.kind is WriteKind.WITHDRAW:
        return None, True
    return row._replace(state=new.state, result=new.result, mac=new.mac), True
