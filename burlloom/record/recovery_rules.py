"""What a new life makes of what the one before it left. No I/O."""

from dataclasses import dataclass
from enum import IntEnum

from .request_lifecycle import RequestEvent
from .rows import ROW_COMPLETED, ROW_COMPLETED_WITHOUT_RESULT, ROW_STARTED, RecordRow

SECOND = 1_000_000_000
CLOCK_STEP_MIN_NS = SECOND // 2  # a smaller difference between two clocks is their drift


@dataclass(frozen=True, slots=True)
class ClockReading:
    """One reading of both clocks: `boot` names the kernel's run, within which `steady` (ns) never
    steps.
    """

    boot_id: str
    monotonic_ns: int
    wall_ns: int


def clock_shift(then: ClockReading | None, now: ClockReading) -> int:
    """By how many nanoseconds the wall clock was stepped between two readings, 0 where that can't
    be told.

    Windows are kept by the wall clock. Stepped ahead, it would end them too early, and a repeat
    would run again; stepped back, they would last too long. Within one run of the kernel the steady
    clock tells the difference. Over a restart of the machine only a step back is seen: a clock that
    is before the last one that was written went back by at least that much.
    """
    if then is None:
        return 0
    if then.boot_id and then.boot_id == now.boot_id:
        stepped = (now.wall_ns - then.wall_ns) - (now.monotonic_ns - then.monotonic_ns)
        return stepped if abs(stepped) >= CLOCK_STEP_MIN_NS else 0
    return min(0, now.wall_ns - then.wall_ns)


def classify_recovered_row(row: RecordRow, sound: bool, executor_began: int) -> RequestEvent | None:
    """What a row that was read back becomes; None: its mark is known, and its end is in the store.

    `executor_began` is when the executor that is there now started, by the wall clock: a run begun
    before then went down with the one before, and nobody can tell how far it had come.
    """
    if row.state in (ROW_COMPLETED, ROW_COMPLETED_WITHOUT_RESULT):
        return None
    if row.state != ROW_STARTED or not sound:
        return RequestEvent.RECOVERED_IN_DOUBT
    return (
        RequestEvent.RECOVERED_RUNNING
        if row.started_at_ns >= executor_began
        else RequestEvent.RECOVERED_IN_DOUBT
    )


TransactionStage = IntEnum("TransactionStage", "BEFORE COMMITTING DONE", start=0)
UNKNOWN_CODES = (
    "08",
    "57P0",
    "58",
    "XX",
)  # SQLSTATEs (prefixes) that at a commit leave its fate open


def classify_broken_transaction(stage: TransactionStage, code: str | None) -> RequestEvent:
    """What a transaction that broke off means for what it wrote. `code`: the server's SQLSTATE,
    None if it said none.

    Before COMMIT was said, nothing took hold, whatever happened: a server rolls back what it was
    not told to commit. After that, silence or a lost connection proves nothing; an error of the
    server does, but for those that say that the connection or the server went down or that it does
    not know itself (classes 08, 57P0, 58 and XX).
    """
    if stage is TransactionStage.BEFORE:
        return RequestEvent.WRITE_FAILED
    if (
        stage is TransactionStage.COMMITTING
        and code is not None
        and not code.startswith(UNKNOWN_CODES)
    ):
        return RequestEvent.WRITE_FAILED
    return (
        RequestEvent.WRITE_UNCERTAIN
        if stage is TransactionStage.COMMITTING
        else RequestEvent.WRITE_APPLIED
    )
