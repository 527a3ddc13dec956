"""The rows of keyed requests, the writes to them, and what the answers mean. No I/O."""

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from .request_lifecycle import RequestEvent, RequestState

__all__ = [
    "KEY_DIGEST_BYTES",
    "ROW_COMPLETED",
    "ROW_COMPLETED_WITHOUT_RESULT",
    "ROW_STARTED",
    "ROW_STATE_NAMES",
    "NodeIncarnation",
    "RecordRow",
    "RecordWrite",
    "WriteKind",
    "WriteResult",
    "apply_write",
    "classify_row",
    "finish_values",
    "result_of_unapplied_write",
    "withdraw_values",
]

KEY_DIGEST_BYTES = 16

# The states that a stored row can have.
ROW_STARTED = int(RequestState.RUNNING)
ROW_COMPLETED = int(RequestState.SUCCESS_RECORDED)
ROW_COMPLETED_WITHOUT_RESULT = int(RequestState.FAILURE_RECORDED)

ROW_STATE_NAMES = {
    ROW_STARTED: "begun",
    ROW_COMPLETED: "ran",
    ROW_COMPLETED_WITHOUT_RESULT: "ran-without-result",
}
"""The states as an operator reads them."""


class RecordRow(NamedTuple):
    """One keyed request in the store; the order of the fields is that of the table's columns.

    Attributes:
        key_digest: Digest over request class, idempotency key and body.
        state: One of the `ROW_` states.
        node: The node that claimed it.
        incarnation: The incarnation of that node.
        claim_number: The claim's number within that incarnation.
        request_id: The identifier of the attempt.
        started_at_ns: When it was claimed, wall-clock nanoseconds.
        expires_at_ns: When its idempotency window ends, wall-clock nanoseconds.
        result: The stored result, empty where there is none.
        mac: The keyed MAC over all of the above.
    """

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


class NodeIncarnation(NamedTuple):
    """A node's present incarnation in the store, and whether an operator fenced it off."""

    incarnation: int
    is_fenced: bool


class WriteKind(IntEnum):
    """What is asked of the store for one row."""

    CLAIM = 0
    """Inserts a row where there is none, or replaces an earlier claim of the same incarnation."""
    FINISH = 1
    """Stores the end of the claim of this incarnation and number."""
    WITHDRAW = 2
    """Deletes the claim of this incarnation and number."""
    INSERT = 3
    """Inserts a complete row where there is none."""
    LOOK = 4
    """Reads whose row stands there."""
    FIND = 5
    """Reads any row, for a result that is fetched."""


def finish_values(row: RecordRow) -> tuple[object, ...]:
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


def withdraw_values(row: RecordRow) -> tuple[object, ...]:
    """The values of a WITHDRAW, in the order of both stores' statements."""
    return row.key_digest, row.node, row.incarnation, row.claim_number


@dataclass(frozen=True, slots=True)
class RecordWrite:
    """One thing asked of a store.

    Attributes:
        kind: What is asked.
        row: The row that is to stand; of LOOK and FIND only its key digest counts.
    """

    kind: WriteKind
    row: RecordRow


@dataclass(frozen=True, slots=True)
class WriteResult:
    """The store's answer to one write.

    Attributes:
        outcome: What it means to the request.
        row: The row that stands there, where it holds another's result.
    """

    outcome: RequestEvent
    row: RecordRow | None = None


def classify_row(
    row: RecordRow | None,
    node: str,
    incarnation: int,
    claim_number: int,
    incarnations: dict[str, NodeIncarnation],
    is_authentic: bool = True,
) -> RequestEvent:
    """What a stored row means to the one that claimed as (node, incarnation, claim_number).

    A claim of an incarnation that is over has nobody to end it: whether it ran is in doubt, which
    to a repeat is the same as an end without a result. So is a row whose MAC does not hold: it may
    say that it ran, and what it says can't be served.

    Args:
        row: The row that stands there, or None.
        node: The claiming node.
        incarnation: Its incarnation.
        claim_number: The number of the claim.
        incarnations: Each node's present incarnation.
        is_authentic: Whether the row's MAC holds.
    """
    if row is None:
        return RequestEvent.NOT_FOUND
    if not is_authentic or row.state == ROW_COMPLETED_WITHOUT_RESULT:
        return RequestEvent.FOUND_NO_RESULT
    if row.state == ROW_COMPLETED:
        return RequestEvent.FOUND_RESULT
    if (row.node, row.incarnation, row.claim_number) == (node, incarnation, claim_number):
        return RequestEvent.WRITE_APPLIED
    present, is_fenced = incarnations.get(row.node, (row.incarnation, False))
    if is_fenced or row.incarnation != present:
        return RequestEvent.FOUND_NO_RESULT
    return RequestEvent.FOUND_CLAIMED


def result_of_unapplied_write(
    write: RecordWrite,
    stored: RecordRow | None,
    incarnations: dict[str, NodeIncarnation],
    is_authentic: bool = True,
) -> WriteResult:
    """The answer to a write that changed nothing, by the row that stands there.

    A FINISH that finds its own end was sent again after an answer that was lost; it counts as
    applied.
    """
    row = write.row
    outcome = classify_row(
        stored, row.node, row.incarnation, row.claim_number, incarnations, is_authentic
    )
    if write.kind is WriteKind.FINISH and stored is not None and is_authentic:
        is_own_end = (stored.node, stored.incarnation, stored.claim_number, stored.state) == (
            row.node,
            row.incarnation,
            row.claim_number,
            row.state,
        )
        if is_own_end:
            outcome = RequestEvent.WRITE_APPLIED
    return WriteResult(outcome, stored if outcome is RequestEvent.FOUND_RESULT else None)


def apply_write(
    row: RecordRow | None, write: RecordWrite, present_incarnation: int
) -> tuple[RecordRow | None, bool]:
    """The reference for each store's SQL: the row after a write, and whether the write applied.

    Args:
        row: The row that stands there, or None.
        write: The write.
        present_incarnation: The writing node's incarnation in the store; an earlier one may claim
            nothing any more.
    """
    new = write.row
    if write.kind in (WriteKind.LOOK, WriteKind.FIND):
        return row, False
    if write.kind in (WriteKind.CLAIM, WriteKind.INSERT):
        if new.incarnation != present_incarnation:
            return row, False
        if row is None:
            return new, True
        replaces = write.kind is WriteKind.CLAIM and is_open_claim_of(row, new)
        return (new, True) if replaces and row.claim_number <= new.claim_number else (row, False)
    if row is None or not is_open_claim_of(row, new) or row.claim_number != new.claim_number:
        return row, False
    if write.kind is WriteKind.WITHDRAW:
        return None, True
    return row._replace(state=new.state, result=new.result, mac=new.mac), True


def is_open_claim_of(row: RecordRow, new: RecordRow) -> bool:
    """Whether the row is a claim without an end, by the node and incarnation of the new one."""
    return (row.node, row.incarnation, row.state) == (new.node, new.incarnation, ROW_STARTED)
