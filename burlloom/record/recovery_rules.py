"""What a new incarnation makes of the rows that earlier ones left. No I/O."""

from .request_lifecycle import RequestEvent
from .rows import ROW_COMPLETED, ROW_COMPLETED_WITHOUT_RESULT, ROW_STARTED, RecordRow

__all__ = ["classify_recovered_row"]


def classify_recovered_row(
    row: RecordRow, is_authentic: bool, executor_started_ns: int
) -> RequestEvent | None:
    """What a row that was read back means; None where it has ended and its end is in the store.

    A run that began before the present executor started went down with the executor before it, and
    nobody can tell how far it had come.

    Args:
        row: The row.
        is_authentic: Whether its MAC holds.
        executor_started_ns: When the present executor started, wall-clock nanoseconds.
    """
    if row.state in (ROW_COMPLETED, ROW_COMPLETED_WITHOUT_RESULT):
        return None
    if row.state != ROW_STARTED or not is_authentic or row.started_at_ns < executor_started_ns:
        return RequestEvent.RECOVERED_IN_DOUBT
    return RequestEvent.RECOVERED_RUNNING
