"""The rows of keyed requests, the writes to them, and the meaning of the results. Does no I/O."""

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
    "interpret_unapplied_write",
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
"""The names of the states in the output of the operator's commands."""


class RecordRow(NamedTuple):
    """One keyed request in the store; the fields are in the order of the table's columns.

    Attributes:
        key_digest: The digest of request class, idempotency key and body.
        state: `ROW_STARTED`, `ROW_COMPLETED` or `ROW_COMPLETED_WITHOUT_RESULT`.
        node: The node that claimed the key.
        incarnation: The incarnation of that node.
        claim_number: The number of the claim within that incarnation.
        request_id: The identifier of the attempt.
        started_at_ns: When the key was claimed, wall-clock nanoseconds.
        expires_at_ns: When the idempotency window ends, wall-clock nanoseconds.
        result: The stored result, empty if there is none.
        mac: The keyed MAC over all other fields.
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
    """A node's current incarnation in the store, and whether an operator has fenced the node."""

    incarnation: int
    is_fenced: bool


class WriteKind(IntEnum):
    """The operations on one row."""

    CLAIM = 0
    """Inserts a row if there is none, or replaces an earlier claim of the same incarnation."""
    FINISH = 1
    """Stores the end of the run of the claim with this incarnation and number."""
    WITHDRAW = 2
    """Deletes the claim with this incarnation and number."""
    INSERT = 3
    """Inserts a complete row if there is none."""
    LOOK = 4
    """Reads which claim holds the key."""
    FIND = 5
    """Reads the row, whoever wrote it, to fetch its result."""


def finish_values(row: RecordRow) -> tuple[object, ...]:
    """Returns the parameters of a FINISH statement, in the order that both stores use."""
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
    """Returns the parameters of a WITHDRAW statement, in the order that both stores use."""
    return row.key_digest, row.node, row.incarnation, row.claim_number


@dataclass(frozen=True, slots=True)
class RecordWrite:
    """One operation on a store.

    Attributes:
        kind: The operation.
        row: The row to write; LOOK and FIND use only its key digest.
    """

    kind: WriteKind
    row: RecordRow


@dataclass(frozen=True, slots=True)
class WriteResult:
    """The store's answer to one operation.

    Attributes:
        outcome: The event that the answer means to the request.
        row: The stored row if the outcome is FOUND_RESULT, else None.
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
    """Returns what a stored row means to the claim (node, incarnation, claim_number).

    No node can finish a claim of a past or fenced incarnation. Whether such a claim ran is in
    doubt, which for a repeated request is the same as an end without a result. A row with an
    invalid MAC is treated alike: the request may have run, but the stored result can't be served.

    Args:
        row: The stored row, or None.
        node: The claiming node.
        incarnation: The claiming node's incarnation.
        claim_number: The number of the claim.
        incarnations: Each node's current incarnation.
        is_authentic: Whether the row's MAC is valid.
    """
    if row is None:
        return RequestEvent.NOT_FOUND
    if not is_authentic or row.state == ROW_COMPLETED_WITHOUT_RESULT:
        return RequestEvent.FOUND_NO_RESULT
    if row.state == ROW_COMPLETED:
        return RequestEvent.FOUND_RESULT
    if (row.node, row.incarnation, row.claim_number) == (node, incarnation, claim_number):
        return RequestEvent.WRITE_APPLIED
    current_incarnation, is_fenced = incarnations.get(row.node, (row.incarnation, False))
    if is_fenced or row.incarnation != current_incarnation:
        return RequestEvent.FOUND_NO_RESULT
    return RequestEvent.FOUND_CLAIMED


def interpret_unapplied_write(
    write: RecordWrite,
    stored: RecordRow | None,
    incarnations: dict[str, NodeIncarnation],
    is_authentic: bool = True,
) -> WriteResult:
    """Returns the answer to a write that changed no row, given the stored row.

    A FINISH that finds its own end in the store is a retry whose first answer was lost, and counts
    as applied.
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
    row: RecordRow | None, write: RecordWrite, current_incarnation: int
) -> tuple[RecordRow | None, bool]:
    """Returns the row after a write, and whether the write applied.

    This is the reference implementation that each store's SQL must match.

    Args:
        row: The stored row, or None.
        write: The write.
        current_incarnation: The writing node's incarnation in the store; earlier incarnations
            may no longer claim.
    """
    new_row = write.row
    if write.kind in (WriteKind.LOOK, WriteKind.FIND):
        return row, False
    if write.kind in (WriteKind.CLAIM, WriteKind.INSERT):
        if new_row.incarnation != current_incarnation:
            return row, False
        if row is None:
            return new_row, True
        replaces = write.kind is WriteKind.CLAIM and is_open_claim_of(row, new_row)
        return (
            (new_row, True)
            if replaces and row.claim_number <= new_row.claim_number
            else (row, False)
        )
    if (
        row is None
        or not is_open_claim_of(row, new_row)
        or row.claim_number != new_row.claim_number
    ):
        return row, False
    if write.kind is WriteKind.WITHDRAW:
        return None, True
    return row._replace(state=new_row.state, result=new_row.result, mac=new_row.mac), True


def is_open_claim_of(row: RecordRow, new_row: RecordRow) -> bool:
    """Returns whether the row is an unfinished claim of the new row's node and incarnation."""
    return (row.node, row.incarnation, row.state) == (
        new_row.node,
        new_row.incarnation,
        ROW_STARTED,
    )
