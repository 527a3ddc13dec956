"""What a PostgreSQL transaction that broke off means for what it wrote. No I/O."""

from enum import IntEnum

from .request_lifecycle import RequestEvent

__all__ = ["TransactionStage", "classify_broken_transaction"]

# SQLSTATEs, by prefix, that leave the outcome of a commit open: the connection or the server went
# down, or the server does not know itself.
UNCERTAIN_SQLSTATES = ("08", "57P0", "58", "XX")


class TransactionStage(IntEnum):
    """How far a transaction had come."""

    BEFORE_COMMIT = 0
    COMMITTING = 1
    COMMITTED = 2


def classify_broken_transaction(stage: TransactionStage, sqlstate: str | None) -> RequestEvent:
    """What the writes of a broken transaction are told.

    Before COMMIT was sent, nothing took effect, whatever happened: a server rolls back what it was
    not told to commit. After that, silence or a lost connection proves nothing; an error of the
    server does, but for those of `UNCERTAIN_SQLSTATES`.

    Args:
        stage: How far it had come.
        sqlstate: The server's SQLSTATE; None if it gave none.
    """
    if stage is TransactionStage.BEFORE_COMMIT:
        return RequestEvent.WRITE_FAILED
    if stage is TransactionStage.COMMITTED:
        return RequestEvent.WRITE_APPLIED
    if sqlstate is not None and not sqlstate.startswith(UNCERTAIN_SQLSTATES):
        return RequestEvent.WRITE_FAILED
    return RequestEvent.WRITE_UNCERTAIN
