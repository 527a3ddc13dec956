"""Decides what a failed PostgreSQL transaction means for its writes. Does no I/O."""

from enum import IntEnum

from .request_lifecycle import RequestEvent

__all__ = ["TransactionStage", "classify_broken_transaction"]

# SQLSTATE prefixes after which the outcome of a COMMIT is unknown: the connection or the server
# failed, or the server itself does not know the outcome.
UNCERTAIN_SQLSTATES = ("08", "57P0", "58", "XX")


class TransactionStage(IntEnum):
    """How far a transaction had progressed when it failed."""

    BEFORE_COMMIT = 0
    COMMITTING = 1
    COMMITTED = 2


def classify_broken_transaction(stage: TransactionStage, sqlstate: str | None) -> RequestEvent:
    """Returns the event to report for the writes of a failed transaction.

    Before COMMIT was sent, no write took effect, whatever the error: the server rolls back a
    transaction that it was not told to commit. After that, a timeout or a lost connection leaves
    the outcome unknown; an error reported by the server means that the writes did not take effect,
    except for the SQLSTATEs of `UNCERTAIN_SQLSTATES`.

    Args:
        stage: How far the transaction had progressed.
        sqlstate: The SQLSTATE that the server reported; None if it reported none.
    """
    if stage is TransactionStage.BEFORE_COMMIT:
        return RequestEvent.WRITE_FAILED
    if stage is TransactionStage.COMMITTED:
        return RequestEvent.WRITE_APPLIED
    if sqlstate is not None and not sqlstate.startswith(UNCERTAIN_SQLSTATES):
        return RequestEvent.WRITE_FAILED
    return RequestEvent.WRITE_UNCERTAIN
