"""Decides how a new incarnation treats the rows of earlier ones. Does no I/O."""

from .request_lifecycle import RequestEvent
from .rows import ROW_COMPLETED, ROW_COMPLETED_WITHOUT_RESULT, ROW_STARTED, RecordRow

__all__ = ["classify_recovered_row"]


def classify_recovered_row(
    row: RecordRow, is_authentic: bool, executor_started_ns: int
) -> RequestEvent | None:
    """Returns the event for a recovered row; None if its end is already durable.

    A run that started before the current executor did was lost with the previous executor, and it
    is unknown how far it had progressed.

    Args:
        row: The row read from the store.
        is_authentic: Whether the row's MAC is valid.
        executor_started_ns: When the current executor started, wall-clock nanoseconds.
    """
    if row.state in (ROW_COMPLETED, ROW_COMPLETED_WITHOUT_RESULT):
        return None
    if row.state != ROW_STARTED or not is_authentic or row.started_at_ns < executor_started_ns:
        return RequestEvent.RECOVERED_IN_DOUBT
    return RequestEvent.RECOVERED_RUNNING
