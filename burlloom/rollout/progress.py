"""Progress of a release: the leader's decisions on waves, their evaluation and the halt. No I/O."""

from collections.abc import Mapping, Sequence
from dataclasses import replace
from typing import NamedTuple

from .canary import CanaryWindow, ServerSample, Verdict, evaluate_canary, outcome_rates
from .instance import InstanceState
from .liveness import LivenessObserver, ServerReport
from .release import ReleaseInput, ReleasePhase
from .settings import RolloutSettings
from .state import RolloutState

__all__ = ["RELEASE_KEY", "ReleaseDriver"]

RELEASE_KEY = "plan"  # the observer's key for the time since the release entered its phase
_MAX_REASON_LENGTH = 200  # in characters; a longer reason is cut


class _WaveKey(NamedTuple):
    """Identifies the wave that the window covers; a halt starts a new window."""

    number: int
    wave_index: int
    is_rollback: bool
    halted_at_step: int


class ReleaseDriver:
    """Applies inputs to the release, once per round."""

    def __init__(self, settings: RolloutSettings, observer: LivenessObserver) -> None:
        """Starts with an empty window.

        Args:
            settings: Times and limits.
            observer: Observations of this process.
        """
        self.settings = settings
        self.observer = observer
        canary = settings.canary
        max_window_ns = max(settings.low_traffic_timeout_ns, canary.window_ns)
        self.window = CanaryWindow(canary.window_ns, canary.min_requests, max_window_ns)
        self._wave_key: _WaveKey | None = None

    def collect_samples(
        self, now_ns: int, state: RolloutState, reports: Mapping[str, ServerReport]
    ) -> None:
        """Adds a sample of each server in service to the window.

        Args:
            now_ns: Time in ns on a monotonic clock.
            state: Current rollout state.
            reports: Reports of the serving servers, by name.
        """
        release = state.release
        is_halted = release.phase is ReleasePhase.HALTED
        wave_key = _WaveKey(
            release.number,
            release.wave_index,
            release.is_rollback,
            release.since_step if is_halted else 0,
        )
        if wave_key != self._wave_key:
            self.window.clear()
            self._wave_key = wave_key
        samples = {}
        for name, server in state.servers.items():
            report = reports.get(name)
            if report is not None and server.state is InstanceState.IN:
                samples[name] = ServerSample(
                    report.incarnation,
                    report.counts,
                    state.is_up_to_date(server),
                    report.is_healthy,
                )
        self.window.add(now_ns, samples)

    def process_release(
        self, now_ns: int, state: RolloutState, losses: Sequence[str]
    ) -> RolloutState:
        """Moves the release to its next phase if losses, the evaluation or a timeout require it.

        Args:
            now_ns: Time in ns on a monotonic clock.
            state: Current rollout state.
            losses: For each server that the release lost in this round, the reason.

        Returns:
            The state after the move; `state` itself if nothing changes.
        """
        release = state.release
        if release.phase in (ReleasePhase.IDLE, ReleasePhase.HALTED):
            return state
        if losses:
            lost_count = release.lost_count + len(losses)
            release = replace(release, lost_count=lost_count)
            state = replace(state, release=release, step=state.step + 1)
            if lost_count > self.settings.max_lost:
                reason = "; ".join(losses)[:_MAX_REASON_LENGTH]
                return state.apply_to_release(ReleaseInput.SERVER_LOST, reason)[0]
        if release.phase is not ReleasePhase.ROLLING_BACK:
            evaluation = evaluate_canary(self.settings.canary, self.window, release.baseline)
            if evaluation.verdict is Verdict.UNHEALTHY:
                received = ReleaseInput.EVALUATED_UNHEALTHY
                return state.apply_to_release(received, evaluation.reason)[0]
            if release.phase is ReleasePhase.EVALUATING:
                return self._process_evaluation(now_ns, state, evaluation.verdict)
        return self._complete_wave(state)

    def is_fleet_overloaded(self) -> bool:
        """Returns whether so many requests are rejected or failed that the waves must wait."""
        counts = self.window.changed.add(self.window.unchanged).counts
        unsuccessful_count = counts.rejected + counts.failed
        has_enough_requests = counts.total >= self.settings.canary.min_requests
        return has_enough_requests and unsuccessful_count > self.settings.pause_rate * counts.total

    def _process_evaluation(
        self, now_ns: int, state: RolloutState, verdict: Verdict
    ) -> RolloutState:
        settings = self.settings
        age_ns = self.observer.unchanged_for_ns(now_ns, RELEASE_KEY, state.release.since_step)
        if verdict is Verdict.HEALTHY and age_ns >= settings.canary.window_ns:
            return state.apply_to_release(ReleaseInput.EVALUATED_HEALTHY, "")[0]
        if verdict is Verdict.INCONCLUSIVE and age_ns >= settings.low_traffic_timeout_ns:
            received = ReleaseInput.TRAFFIC_TOO_LOW
            if settings.low_traffic_passes:
                received = ReleaseInput.EVALUATED_HEALTHY
            reason = "too little was asked of the changed to tell"
            return state.apply_to_release(received, reason)[0]
        return state

    def _complete_wave(self, state: RolloutState) -> RolloutState:
        if not _is_wave_complete(state):
            return state
        release = state.release
        concurrent = self.window.concurrent.counts
        if not release.is_rollback and concurrent.total >= self.settings.canary.min_requests:
            state = replace(state, release=replace(release, baseline=outcome_rates(concurrent)))
        return state.apply_to_release(ReleaseInput.WAVE_COMPLETE, "")[0]


def _is_wave_complete(state: RolloutState) -> bool:
    servers = state.servers.values()
    for server in servers:
        if state.is_in_flight(server) and server.state is not InstanceState.MISSING:
            return False
    if state.release.is_rollback:
        return all(state.is_up_to_date(server) for server in servers)
    changed_count = sum(
        state.is_up_to_date(server) and server.state is InstanceState.IN for server in servers
    )
    return changed_count >= state.release.compute_target_count(len(servers))
