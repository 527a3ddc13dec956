"""What a new life makes of what the one before it left. No I/O."""

from dataclasses import dataclass
from enum import IntEnum

from .fate import Input
from .rows import BEGUN, KEPT, SPENT, Row

SECOND = 1_000_000_000
STEP_LEAST = SECOND // 2  # a smaller difference between two clocks is their drift


@dataclass(frozen=True, slots=True)
class Tick:
    """One reading of both clocks: `boot` names the kernel's run, within which `steady` (ns) never
    steps.
    """

    boot: str
    steady: int
    wall: int


def shift(then: Tick | None, now: Tick) -> int:
    """By how many nanoseconds the wall clock was stepped between two readings, 0 where that can't
    be told.

    Windows are kept by the wall clock. Stepped ahead, it would end them too early, and a repeat
    would run again; stepped back, they would last too long. Within one run of the kernel the steady
    clock tells the difference. Over a restart of the machine only a step back is seen: a clock that
    is before the last one that was written went back by at least that much.
    """
    if then is None:
        return 0
    if then.boot and then.boot == now.boot:
        stepped = (now.wall - then.wall) - (now.steady - then.steady)
        return stepped if abs(stepped) >= STEP_LEAST else 0
    return min(0, now.wall - then.wall)


def read(row: Row, sound: bool, executor_began: int) -> Input | None:
    """What a row that was read back becomes; None: its mark is known, and its end is in the store.

    `executor_began` is when the executor that is there now started, by the wall clock: a run begun
    before then went down with the one before, and nobody can tell how far it had come.
    """
    if row.state in (KEPT, SPENT):
        return None
    if row.state != BEGUN or not sound:
        return Input.READ_DOUBT
    return Input.READ_OPEN if row.at >= executor_began else Input.READ_DOUBT


Stage = IntEnum("Stage", "BEFORE COMMITTING DONE", start=0)
UNKNOWN_CODES = (
    "08",
    "57P0",
    "58",
    "XX",
)  # SQLSTATEs (prefixes) that at a commit leave its fate open


def meaning(stage: Stage, code: str | None) -> Input:
    """What a transaction that broke off means for what it wrote. `code`: the server's SQLSTATE,
    None if it said none.

    Before COMMIT was said, nothing took hold, whatever happened: a server rolls back what it was
    not told to commit. After that, silence or a lost connection proves nothing; an error of the
    server does, but for those that say that the connection or the server went down or that it does
    not know itself (classes 08, 57P0, 58 and XX).
    """
    if stage is Stage.BEFORE:
        return Input.LOST
    if stage is Stage.COMMITTING and code is not None and not code.startswith(UNKNOWN_CODES):
        return Input.LOST
    return Input.UNSURE if stage is Stage.COMMITTING else Input.HELD
