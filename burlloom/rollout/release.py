"""A release to the whole fleet: its waves, the halt, the rollback; a table. No I/O."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import IntEnum
from math import ceil

from ..transition_table import parse_transitions

__all__ = [
    "OutcomeRates",
    "Release",
    "ReleaseInput",
    "ReleasePhase",
    "Wave",
    "apply_input",
    "find_wave_faults",
    "parse_wave",
]

Wave = int | float  # so many servers, or such a part of all

# A part such as 0.1 of 30 must not be rounded up to 4.
_ROUNDING_ERROR = 1e-9


class ReleasePhase(IntEnum):
    """Where a release stands; stored as a number."""

    IDLE = 0  # no release is under way
    ROLLING = 1  # a wave is on its way
    EVALUATING = 2  # all of a wave are back, and are compared with the others
    HALTED = 3  # nobody is sent out
    ROLLING_BACK = 4  # all return to the version before

    @property
    def label(self) -> str:
        """The word for this phase in the stored history and on operators' pages."""
        return _PHASE_LABELS.get(self) or self.name.lower()


_PHASE_LABELS = {ReleasePhase.EVALUATING: "judging", ReleasePhase.ROLLING_BACK: "backing"}


class ReleaseInput(IntEnum):
    """What moves a release from phase to phase."""

    START = 0
    WAVE_COMPLETE = 1  # all of the wave, or of the rollback, are back and settled
    EVALUATED_HEALTHY = 2
    EVALUATED_UNHEALTHY = 3  # the changed servers do worse than the others
    SERVER_LOST = 4  # a changed one is missing, crashed, or returned with another version
    TRAFFIC_TOO_LOW = 5  # too few requests to the changed servers to tell
    HALT = 6  # an operator's order, as the next two
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


@dataclass(frozen=True, slots=True)
class OutcomeRates:
    """How requests came out.

    Attributes:
        rejected: Share of all requests.
        failed: Share of all requests.
        late: Share of the completed requests that took longer than the latency objective.
        requests: How many there were.
    """

    rejected: float = 0.0
    failed: float = 0.0
    late: float = 0.0
    requests: int = 0


@dataclass(frozen=True, slots=True)
class Release:
    """A release, or a restart of the fleet; the last one while none is under way.

    Attributes:
        number: Counts up with each release.
        phase: Where it stands.
        target_version: That it brings in.
        previous_version: That a rollback returns to.
        is_restart: Whether all servers are started anew, whatever they run.
        wave_index: From 0 on.
        waves: Cumulative; the last one is the whole fleet.
        is_rollback: Whether the rollback was begun.
        auto_rollback: Whether it begins by itself when a wave is unhealthy.
        since_step: The rollout state's step of the last move.
        reason: Of the last move; empty where it needs none.
        baseline: What the unchanged servers did last, for when none are left.
        lost_count: Changed servers that were lost.
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
        """The version that the servers are brought to now."""
        return self.previous_version if self.is_rollback else self.target_version

    @property
    def is_moving(self) -> bool:
        """Whether servers are sent out."""
        return self.phase in (ReleasePhase.ROLLING, ReleasePhase.ROLLING_BACK)

    def target_count(self, servers: int) -> int:
        """Returns how many of so many servers are to be changed at the end of this wave."""
        if self.is_rollback:
            return servers
        wave = self.waves[min(self.wave_index, len(self.waves) - 1)]
        count = wave if isinstance(wave, int) else ceil(wave * servers - _ROUNDING_ERROR)
        return min(servers, max(1, count))


def apply_input(
    release: Release, received: ReleaseInput, step: int, reason: str
) -> tuple[Release, str] | None:
    """Moves a release by the first row of the table whose test holds.

    Args:
        release: As it stands.
        received: What happened.
        step: The rollout state's, that this is.
        reason: Kept with the release.

    Returns:
        The release after it and the effect's name; None where no row holds.
    """
    for test, after, effect in RULES.get((release.phase, received), ()):
        if test(release):
            changed = _EFFECTS[effect](release)
            return replace(changed, phase=after, since_step=step, reason=reason), effect
    return None


def parse_wave(text: int | str) -> Wave:
    """Returns the wave that an operator wrote: a number of servers, or a part such as `10%`.

    Raises:
        ValueError: It is neither.
    """
    stripped = str(text).strip()
    if stripped.endswith("%"):
        return float(stripped[:-1]) / 100
    return int(stripped)


def find_wave_faults(waves: tuple[Wave, ...]) -> list[str]:
    """Returns what is wrong with waves, in words for an operator."""
    found = []
    if not waves or waves[-1] != 1.0 or isinstance(waves[-1], int):
        found.append("waves: the last one is 100%, the whole fleet")
    for wave in waves:
        if wave <= 0 or isinstance(wave, float) and wave > 1:
            found.append(
                f"waves: {wave!r} is neither a number of servers from 1 on nor a part of them up to"
                " 100%"
            )
    parts = [wave for wave in waves if isinstance(wave, float)]
    counts = [wave for wave in waves if isinstance(wave, int)]
    if list(waves) != [*sorted(set(counts)), *sorted(set(parts))]:
        found.append("waves: numbers first, then parts, each larger than the one before")
    return found


# Tests of the table.


def _always(release: Release) -> bool:
    return True


def _auto_rollback(release: Release) -> bool:
    """A restart brought in no other version: there is nothing to return to."""
    return release.auto_rollback and not release.is_restart


def _is_last_wave(release: Release) -> bool:
    return release.wave_index + 1 >= len(release.waves)


def _is_rollback(release: Release) -> bool:
    return release.is_rollback


# Effects of the table.


def _keep(release: Release) -> Release:
    return release


def _begin(release: Release) -> Release:
    return replace(release, wave_index=0, is_rollback=False, baseline=None)


def _next_wave(release: Release) -> Release:
    return replace(release, wave_index=release.wave_index + 1)


def _begin_rollback(release: Release) -> Release:
    return replace(release, is_rollback=True)


def _resume(release: Release) -> Release:
    return replace(release, lost_count=0)


_TESTS: dict[str, Callable[[Release], bool]] = {
    "-": _always,
    "auto_rollback": _auto_rollback,
    "is_last_wave": _is_last_wave,
    "is_rollback": _is_rollback,
}
_EFFECTS: dict[str, Callable[[Release], Release]] = {
    "-": _keep,
    "begin": _begin,
    "next_wave": _next_wave,
    "begin_rollback": _begin_rollback,
    "halt": _keep,
    "resume": _resume,
    "finish_release": _keep,
    "finish_rollback": _keep,
}
RULES = parse_transitions(TABLE, ReleasePhase, ReleaseInput, _TESTS.__getitem__, str)
