"""A release to the whole fleet as a state machine: its waves, halt and rollback. No I/O.

A changed server is one that the release has brought to its goal. A server is sent out when the
leader grants it a permit to leave service, so that it restarts with the goal's version.
"""

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

Wave = int | float  # a number of servers, or a share of the fleet above 0 and up to 1

# Subtracted before rounding up, so that a floating-point error does not turn 0.1 of 30 into 4.
_ROUNDING_ERROR = 1e-9


class ReleasePhase(IntEnum):
    """Phase of a release; stored as a number."""

    IDLE = 0  # no release is in progress
    ROLLING = 1  # the servers of a wave are sent out and return
    EVALUATING = 2  # all servers of the wave have returned and are compared with the others
    HALTED = 3  # no server is sent out until an operator resumes or rolls back
    ROLLING_BACK = 4  # all servers return to the previous version

    @property
    def label(self) -> str:
        """Name of this phase in the stored history and in the output for operators."""
        return _PHASE_LABELS.get(self) or self.name.lower()


_PHASE_LABELS = {ReleasePhase.EVALUATING: "judging", ReleasePhase.ROLLING_BACK: "backing"}


class ReleaseInput(IntEnum):
    """Input that moves a release to its next phase."""

    START = 0
    WAVE_COMPLETE = 1  # all servers of the wave, or of the rollback, returned and settled
    EVALUATED_HEALTHY = 2
    EVALUATED_UNHEALTHY = 3  # the changed servers are worse than the unchanged ones
    SERVER_LOST = 4  # a server of the release is missing, crashed, or has another version
    TRAFFIC_TOO_LOW = 5  # too few requests to the changed servers to compare them
    HALT = 6  # HALT, RESUME and ROLLBACK are orders of an operator
    RESUME = 7
    ROLLBACK = 8

    @property
    def label(self) -> str:
        """Name of this input in the stored history and in the output for operators."""
        return _INPUT_LABELS.get(self) or self.name.lower()


_INPUT_LABELS = {
    ReleaseInput.WAVE_COMPLETE: "complete",
    ReleaseInput.EVALUATED_HEALTHY: "good",
    ReleaseInput.EVALUATED_UNHEALTHY: "bad",
    ReleaseInput.SERVER_LOST: "lost",
    ReleaseInput.TRAFFIC_TOO_LOW: "quiet",
}


# Columns: state, input, test, next state, effect; "-" stands for no test or no effect.
TRANSITION_TABLE = """
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
    """Shares of the outcomes of requests.

    Attributes:
        rejected: Share of all requests that were rejected.
        failed: Share of all requests that failed.
        late: Share of the completed requests that exceeded their latency objective.
        requests: Number of all requests.
    """

    rejected: float = 0.0
    failed: float = 0.0
    late: float = 0.0
    requests: int = 0


@dataclass(frozen=True, slots=True)
class Release:
    """A release, or a restart of the fleet; the latest one while no release is in progress.

    Attributes:
        number: Increases by 1 with each release.
        phase: Current phase.
        target_version: Version that the release brings to the fleet.
        previous_version: Version that a rollback returns to.
        is_restart: Whether all servers are restarted, whatever version they run.
        wave_index: Index of the current wave, from 0.
        waves: Cumulative sizes of the waves; the last is the whole fleet.
        is_rollback: Whether the rollback has begun.
        auto_rollback: Whether a rollback begins without an order when a wave is unhealthy or a
            server is lost.
        since_step: Step of the rollout state at which the release entered its phase.
        reason: Why the release entered its phase; empty if no reason was given.
        baseline: Latest outcome rates of the unchanged servers, to compare with once too few of
            them are left; None before the first are known.
        lost_count: Number of servers that the release has lost since it began or was resumed.
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
        """Version that the servers are brought to in the current direction."""
        return self.previous_version if self.is_rollback else self.target_version

    @property
    def is_sending_out_servers(self) -> bool:
        """Whether the current phase sends servers out."""
        return self.phase in (ReleasePhase.ROLLING, ReleasePhase.ROLLING_BACK)

    def compute_target_count(self, server_count: int) -> int:
        """Returns how many of `server_count` servers are changed at the end of this wave."""
        if self.is_rollback:
            return server_count
        wave = self.waves[min(self.wave_index, len(self.waves) - 1)]
        count = wave if isinstance(wave, int) else ceil(wave * server_count - _ROUNDING_ERROR)
        return min(server_count, max(1, count))


def apply_input(
    release: Release, received: ReleaseInput, step: int, reason: str
) -> tuple[Release, str] | None:
    """Applies the first row of the table whose test holds.

    Args:
        release: The release before the input.
        received: The input.
        step: Number of the rollout state's step that applies the input.
        reason: Why the input occurred; stored with the release.

    Returns:
        The release after the input and the name of the effect; None if no row applies.
    """
    for test, after, effect in RULES.get((release.phase, received), ()):
        if test(release):
            changed = _EFFECTS[effect](release)
            return replace(changed, phase=after, since_step=step, reason=reason), effect
    return None


def parse_wave(text: int | str) -> Wave:
    """Parses a wave as an operator writes it: a number of servers, or a share such as `10%`.

    Raises:
        ValueError: The text is neither.
    """
    stripped = str(text).strip()
    if stripped.endswith("%"):
        return float(stripped[:-1]) / 100
    return int(stripped)


def find_wave_faults(waves: tuple[Wave, ...]) -> list[str]:
    """Returns the faults of a list of waves, as messages for an operator."""
    faults = []
    if not waves or waves[-1] != 1.0 or isinstance(waves[-1], int):
        faults.append("waves: the last wave must be 100%, the whole fleet")
    for wave in waves:
        if wave <= 0 or isinstance(wave, float) and wave > 1:
            faults.append(
                f"waves: {wave!r} is neither a number of servers of at least 1 nor a share above 0%"
                " and up to 100%"
            )
    shares = [wave for wave in waves if isinstance(wave, float)]
    counts = [wave for wave in waves if isinstance(wave, int)]
    if list(waves) != [*sorted(set(counts)), *sorted(set(shares))]:
        faults.append(
            "waves: numbers of servers must come before shares, each larger than the one before"
        )
    return faults


# Tests named in the table.


def _always(release: Release) -> bool:
    return True


def _auto_rollback(release: Release) -> bool:
    """Returns False for a restart: it has no previous version to return to."""
    return release.auto_rollback and not release.is_restart


def _is_last_wave(release: Release) -> bool:
    return release.wave_index + 1 >= len(release.waves)


def _is_rollback(release: Release) -> bool:
    return release.is_rollback


# Effects named in the table.


def _leave_unchanged(release: Release) -> Release:
    return release


def _begin_release(release: Release) -> Release:
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
    "-": _leave_unchanged,
    "begin": _begin_release,
    "next_wave": _next_wave,
    "begin_rollback": _begin_rollback,
    "halt": _leave_unchanged,
    "resume": _resume,
    "finish_release": _leave_unchanged,
    "finish_rollback": _leave_unchanged,
}
RULES = parse_transitions(TRANSITION_TABLE, ReleasePhase, ReleaseInput, _TESTS.__getitem__, str)
