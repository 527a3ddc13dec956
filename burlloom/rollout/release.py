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


class ReleasePhase(IntEnum):
    IDLE = 0
    ROLLING = 1
    EVALUATING = 2
    HALTED = 3
    ROLLING_BACK = 4

    @property
    def label(self) -> str:
        """The word for this phase in the stored history and on operators' pages."""
        return _PHASE_LABELS.get(self) or self.name.lower()


_PHASE_LABELS = {ReleasePhase.EVALUATING: "judging", ReleasePhase.ROLLING_BACK: "backing"}


class ReleaseInput(IntEnum):
    START = 0
    WAVE_COMPLETE = 1  # all of the wave, or of the way back, are back and settled
    EVALUATED_HEALTHY = 2
    EVALUATED_UNHEALTHY = 3  # the changed do worse than the others
    SERVER_LOST = 4  # one that was changed is missing, fell, or came back with another version
    TRAFFIC_TOO_LOW = 5  # too little was asked of the changed to tell
    HALT = 6  # by an operator, as the next two
    RESUME = 7
    ROLLBACK = 8

    @property
    def label(self) -> str:
        """The word for this input in the stored history and on operators' pages."""
        return _INPUT_LABELS.get(self) or self.name.lower()


_INPUT_LABELS = {
    ReleaseInput.WAVE_COMPLETE: "complete",
    ReleaseInput.EVALUATED_HEALTHY: "good",
    ReleaseInput.EVALUATED_UNHEALTHY: "bad",
    ReleaseInput.SERVER_LOST: "lost",
    ReleaseInput.TRAFFIC_TOO_LOW: "quiet",
}


TABLE = """
IDLE         START               -             ROLLING      begin
ROLLING      WAVE_COMPLETE       -             EVALUATING   -
ROLLING      EVALUATED_UNHEALTHY auto_rollback ROLLING_BACK begin_rollback
ROLLING      EVALUATED_UNHEALTHY -             HALTED       halt
ROLLING      SERVER_LOST         auto_rollback ROLLING_BACK begin_rollback
ROLLING      SERVER_LOST         -             HALTED       halt
ROLLING      HALT                -             HALTED       halt
ROLLING      ROLLBACK            -             ROLLING_BACK begin_rollback
EVALUATING   EVALUATED_HEALTHY   is_last_wave  IDLE         finish_release
EVALUATING   EVALUATED_HEALTHY   -             ROLLING      next_wave
EVALUATING   EVALUATED_UNHEALTHY auto_rollback ROLLING_BACK begin_rollback
EVALUATING   EVALUATED_UNHEALTHY -             HALTED       halt
EVALUATING   SERVER_LOST         auto_rollback ROLLING_BACK begin_rollback
EVALUATING   SERVER_LOST         -             HALTED       halt
EVALUATING   TRAFFIC_TOO_LOW     -             HALTED       halt
EVALUATING   HALT                -             HALTED       halt
EVALUATING   ROLLBACK            -             ROLLING_BACK begin_rollback
HALTED       RESUME              is_rollback   ROLLING_BACK resume
HALTED       RESUME              -             ROLLING      resume
HALTED       ROLLBACK            -             ROLLING_BACK begin_rollback
ROLLING_BACK WAVE_COMPLETE       -             IDLE         finish_rollback
ROLLING_BACK HALT                -             HALTED       halt
"""

Wave = int | float  # so many servers, or such a part of all


@dataclass(frozen=True, slots=True)
class OutcomeRates:
    """Of what was asked: shares declined, voided, and settled after the SLA time (of those
    settled); `asked`: of how many.
    """

    rejected: float = 0.0
    failed: float = 0.0
    late: float = 0.0
    requests: int = 0


@dataclass(frozen=True, slots=True)
class Release:
    """`version`: that is brought in; `former`: that the way back leads to; `restart`: all start
    anew, whatever they run. `backing`: whether the way back was begun; `auto`: taken by itself when
    a wave is bad. `since`: the book's step of the last move. `reference`: what the unchanged did
    last, for when there are none left. `lost`: changed servers that were lost.
    """

    number: int = 0
    phase: ReleasePhase = ReleasePhase.IDLE
    target_version: str = ""
    previous_version: str = ""
    is_restart: bool = False
    wave_index: int = 0
    waves: tuple[Wave, ...] = (1, 1.0)
    is_rollback: bool = False
    auto_rollback: bool = False
    since_step: int = 0
    reason: str = ""
    baseline: OutcomeRates | None = None
    lost_count: int = 0

    @property
    def goal_version(self) -> str:
        return self.previous_version if self.is_rollback else self.target_version

    @property
    def is_moving(self) -> bool:
        return self.phase in (ReleasePhase.ROLLING, ReleasePhase.ROLLING_BACK)

    def target_count(self, members: int) -> int:
        """How many are to be changed at the end of this wave."""
        if self.is_rollback:
            return members
        wave = self.waves[min(self.wave_index, len(self.waves) - 1)]
        return min(members, max(1, wave if isinstance(wave, int) else ceil(wave * members - 1e-9)))


def begin(plan: Release) -> Release:
    return replace(plan, wave_index=0, is_rollback=False, baseline=None)


def next_wave(plan: Release) -> Release:
    return replace(plan, wave_index=plan.wave_index + 1)


def begin_rollback(plan: Release) -> Release:
    return replace(plan, is_rollback=True)


def resume(plan: Release) -> Release:
    return replace(plan, lost_count=0)


def keep(plan: Release) -> Release:
    return plan


TESTS: dict[str, Callable[[Release], bool]] = {
    "-": lambda plan: True,
    "auto_rollback": lambda plan: plan.auto_rollback and not plan.is_restart,
    "is_last_wave": lambda plan: plan.wave_index + 1 >= len(plan.waves),
    "is_rollback": lambda plan: plan.is_rollback,
}
EFFECTS: dict[str, Callable[[Release], Release]] = {
    "-": keep,
    "begin": begin,
    "next_wave": next_wave,
    "begin_rollback": begin_rollback,
    "halt": keep,
    "resume": resume,
    "finish_release": keep,
    "finish_rollback": keep,
}
RULES = parse_transitions(TABLE, ReleasePhase, ReleaseInput, TESTS.__getitem__, str)


def apply_input(
    plan: Release, what: ReleaseInput, step: int, why: str
) -> tuple[Release, str] | None:
    for test, after, effect in RULES.get((plan.phase, what), ()):
        if test(plan):
            return replace(EFFECTS[effect](plan), phase=after, since_step=step, reason=why), effect
    return None


def parse_wave(told: int | str) -> Wave:
    """A number of servers, or a part such as `10%`. Raises `ValueError`."""
    text = str(told).strip()
    if text.endswith("%"):
        return float(text[:-1]) / 100
    return int(text)


def find_wave_faults(waves: tuple[Wave, ...]) -> list[str]:
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
