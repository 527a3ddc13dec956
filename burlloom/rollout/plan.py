"""The fleet's change: waves of a release, the halt, the way back; a table. No I/O.

Phases: IDLE nothing is changed; ROLLING a wave is on its way; JUDGING all of a wave are back, and
what they do is held against the others; HALTED nobody is sent out; BACKING all go back to the
version that was good.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import IntEnum
from math import ceil

from ..transition_table import parse_transitions


class Phase(IntEnum):
    IDLE = 0
    ROLLING = 1
    JUDGING = 2
    HALTED = 3
    BACKING = 4


class Input(IntEnum):
    START = 0
    COMPLETE = 1  # all of the wave, or of the way back, are back and settled
    GOOD = 2
    BAD = 3  # the changed do worse than the others
    LOST = 4  # one that was changed is missing, fell, or came back with another version
    QUIET = 5  # too little was asked of the changed to tell
    HALT = 6  # by an operator, as the next two
    RESUME = 7
    ROLLBACK = 8


TABLE = """
IDLE    START    -       ROLLING begin
ROLLING COMPLETE -       JUDGING -
ROLLING BAD      auto    BACKING turn
ROLLING BAD      -       HALTED  stop
ROLLING LOST     auto    BACKING turn
ROLLING LOST     -       HALTED  stop
ROLLING HALT     -       HALTED  stop
ROLLING ROLLBACK -       BACKING turn
JUDGING GOOD     last    IDLE    finish
JUDGING GOOD     -       ROLLING next
JUDGING BAD      auto    BACKING turn
JUDGING BAD      -       HALTED  stop
JUDGING LOST     auto    BACKING turn
JUDGING LOST     -       HALTED  stop
JUDGING QUIET    -       HALTED  stop
JUDGING HALT     -       HALTED  stop
JUDGING ROLLBACK -       BACKING turn
HALTED  RESUME   backing BACKING resume
HALTED  RESUME   -       ROLLING resume
HALTED  ROLLBACK -       BACKING turn
BACKING COMPLETE -       IDLE    close
BACKING HALT     -       HALTED  stop
"""

Wave = int | float  # so many servers, or such a part of all


@dataclass(frozen=True, slots=True)
class Rates:
    """Of what was asked: shares declined, voided, and settled after the SLA time (of those
    settled); `asked`: of how many.
    """

    declined: float = 0.0
    voided: float = 0.0
    late: float = 0.0
    asked: int = 0


@dataclass(frozen=True, slots=True)
class Plan:
    """`version`: that is brought in; `former`: that the way back leads to; `restart`: all start
    anew, whatever they run. `backing`: whether the way back was begun; `auto`: taken by itself when
    a wave is bad. `since`: the book's step of the last move. `reference`: what the unchanged did
    last, for when there are none left. `lost`: changed servers that were lost.
    """

    number: int = 0
    phase: Phase = Phase.IDLE
    version: str = ""
    former: str = ""
    restart: bool = False
    wave: int = 0
    waves: tuple[Wave, ...] = (1, 1.0)
    backing: bool = False
    auto: bool = False
    since: int = 0
    why: str = ""
    reference: Rates | None = None
    lost: int = 0

    @property
    def goal(self) -> str:
        return self.former if self.backing else self.version

    @property
    def moving(self) -> bool:
        return self.phase in (Phase.ROLLING, Phase.BACKING)

    def wanted(self, members: int) -> int:
        """How many are to be changed at the end of this wave."""
        if self.backing:
            return members
        wave = self.waves[min(self.wave, len(self.waves) - 1)]
        return min(members, max(1, wave if isinstance(wave, int) else ceil(wave * members - 1e-9)))


def begin(plan: Plan) -> Plan:
    return replace(plan, wave=0, backing=False, reference=None)


def next_wave(plan: Plan) -> Plan:
    return replace(plan, wave=plan.wave + 1)


def turn(plan: Plan) -> Plan:
    return replace(plan, backing=True)


def resume(plan: Plan) -> Plan:
    return replace(plan, lost=0)


def same(plan: Plan) -> Plan:
    return plan


TESTS: dict[str, Callable[[Plan], bool]] = {
    "-": lambda plan: True,
    "auto": lambda plan: plan.auto and not plan.restart,
    "last": lambda plan: plan.wave + 1 >= len(plan.waves),
    "backing": lambda plan: plan.backing,
}
EFFECTS: dict[str, Callable[[Plan], Plan]] = {
    "-": same,
    "begin": begin,
    "next": next_wave,
    "turn": turn,
    "stop": same,
    "resume": resume,
    "finish": same,
    "close": same,
}
RULES = parse_transitions(TABLE, Phase, Input, TESTS.__getitem__, str)


def meet(plan: Plan, what: Input, step: int, why: str) -> tuple[Plan, str] | None:
    for test, after, effect in RULES.get((plan.phase, what), ()):
        if test(plan):
            return replace(EFFECTS[effect](plan), phase=after, since=step, why=why), effect
    return None


def wave_of(told: int | str) -> Wave:
    """A number of servers, or a part such as `10%`. Raises `ValueError`."""
    text = str(told).strip()
    if text.endswith("%"):
        return float(text[:-1]) / 100
    return int(text)


def faults(waves: tuple[Wave, ...]) -> list[str]:
    """What is wrong with them, in words."""
    found = []
    if not waves or waves[-1] != 1.0 or isinstance(waves[-1], int):
        found.append("waves: the last one is 100%, the whole fleet")
    for wave in waves:
        if wave <= 0 or isinstance(wave, float) and wave > 1:
            found.append(
                f"waves: {wave!r} is neither a number of servers from 1 on nor a part of them up to 100%"
            )
    shares = [wave for wave in waves if isinstance(wave, float)]
    counts = [wave for wave in waves if isinstance(wave, int)]
    if list(waves) != [*sorted(set(counts)), *sorted(set(shares))]:
        found.append("waves: numbers first, then parts, each larger than the one before")
    return found
