"""Derives the inputs of servers and downstream instances from reports and timeouts. No I/O."""

from collections.abc import Hashable, Iterable, Mapping, Sequence
from dataclasses import replace
from typing import NamedTuple

from ..time_units import NS_PER_MS
from .group import SERVERS_GROUP
from .instance import Instance, InstanceInput, InstanceState
from .liveness import LivenessObserver, ServerPhase, ServerReport
from .release import Release, ReleasePhase
from .settings import RolloutSettings
from .state import RolloutState

__all__ = ["InstanceSupervisor"]

# If more than this share of all servers' calls to a downstream instance fail, it counts as lost.
DOWNSTREAM_FAILURE_SHARE = 0.5
# With fewer calls, succeeded and failed together, a downstream instance never counts as lost.
DOWNSTREAM_MIN_CALLS = 5


class _TimeoutInput(NamedTuple):
    """The input that a timeout of the instance's state gives, and whether it is due."""

    received: InstanceInput
    is_due: bool


class InstanceSupervisor:
    """Applies inputs to instances, once per round."""

    def __init__(
        self,
        settings: RolloutSettings,
        observer: LivenessObserver,
        services: Mapping[str, Sequence[str]],
    ) -> None:
        """Sets up a supervisor.

        Args:
            settings: Times and limits.
            observer: Observations of this process.
            services: Addresses of the instances of each downstream service, by group.
        """
        self.settings = settings
        self.observer = observer
        self.services = services

    def process_server(
        self,
        now_ns: int,
        state: RolloutState,
        name: str,
        report: ServerReport | None,
        is_serving: bool,
    ) -> tuple[RolloutState, str]:
        """Applies a server's latest report, or the timeout of its state.

        Args:
            now_ns: Time in ns on a monotonic clock.
            state: Current rollout state.
            name: Name of the server.
            report: Latest report of the server; None if there is none.
            is_serving: Whether its heartbeat increased within the heartbeat TTL.

        Returns:
            The new state, and why the release has lost the server; empty if it has not.
        """
        before = state.servers.get(name)
        is_silent = report is None or self.observer.is_silent(now_ns, report)
        received, incarnation = _interpret_report(report, is_serving, is_silent)
        effect = ""
        if received is InstanceInput.SEEN:
            state = _record_missed_leaving(state, name, before, report)
        if received is not None:
            state, effect = state.apply_input(
                SERVERS_GROUP, name, received, incarnation=incarnation
            )
        if name not in state.servers:
            return state, ""
        if report is not None and is_serving:
            state = _record_version(state, name, report)
        if not effect:
            is_healthy = report is not None and is_serving and report.is_healthy
            state, effect = self._process_timeouts(now_ns, state, SERVERS_GROUP, name, is_healthy)
        server = state.servers.get(name, Instance())
        return state, _describe_loss(state.release, name, before, server, effect)

    def process_downstream(
        self, now_ns: int, state: RolloutState, group: str, callers: Iterable[ServerReport]
    ) -> RolloutState:
        """Applies the servers' call counts of a downstream service, and timeouts, to its instances.

        Args:
            now_ns: Time in ns on a monotonic clock.
            state: Current rollout state.
            group: Name of the downstream service.
            callers: Reports of the servers that may call the service.

        Returns:
            The new state.
        """
        instances = state.groups[group].instances
        callers = list(callers)
        for name in {**dict.fromkeys(self.services.get(group, ())), **instances}:
            instance = instances.get(name, Instance())
            is_failing = _is_failing(name, callers)
            effect = ""
            if not is_failing and instance.state in (InstanceState.GONE, InstanceState.MISSING):
                incarnation = instance.incarnation + 1
                state, effect = state.apply_input(
                    group, name, InstanceInput.SEEN, incarnation=incarnation
                )
            elif is_failing and instance.state is not InstanceState.OUT:
                # An instance in state OUT is not called, so reported failures are from before.
                state, effect = state.apply_input(group, name, InstanceInput.LOST)
            if not effect and name in instances:
                state, _ = self._process_timeouts(now_ns, state, group, name, not is_failing)
        return state

    def observed_keys(self, state: RolloutState) -> set[Hashable]:
        """Returns the observer's keys of all instances in the state."""
        keys: set[Hashable] = set()
        for group, name, _ in state.iter_instances():
            keys |= {_state_key(group, name), _health_key(group, name)}
        return keys

    def _process_timeouts(
        self, now_ns: int, state: RolloutState, group: str, name: str, is_healthy: bool
    ) -> tuple[RolloutState, str]:
        """Applies the input of a timeout that has passed since the instance entered its state."""
        instance = state.groups[group].instances[name]
        timeout = self._find_timeout_input(now_ns, group, name, instance, is_healthy)
        if timeout is None or not timeout.is_due:
            return state, ""
        return state.apply_input(group, name, timeout.received)

    def _find_timeout_input(
        self, now_ns: int, group: str, name: str, instance: Instance, is_healthy: bool
    ) -> _TimeoutInput | None:
        settings, step = self.settings, instance.since_step
        age_ns = self.observer.unchanged_for_ns(now_ns, _state_key(group, name), step)
        healthy_ns = self._healthy_for_ns(now_ns, group, name, step, is_healthy)
        match instance.state:
            case InstanceState.GRANTED:
                return _TimeoutInput(InstanceInput.EXPIRED, age_ns >= settings.permit_ttl_ns)
            case InstanceState.OUT:
                absence_ns = self._max_absence_ns(group, instance)
                return _TimeoutInput(InstanceInput.EXPIRED, age_ns >= absence_ns)
            case InstanceState.BACK if is_healthy and healthy_ns >= settings.settle_ns:
                return _TimeoutInput(InstanceInput.SETTLED, True)
            case InstanceState.BACK:
                return _TimeoutInput(InstanceInput.EXPIRED, age_ns >= settings.return_timeout_ns)
            case InstanceState.MISSING:
                is_written_off = settings.write_off_ns > 0 and age_ns >= settings.write_off_ns
                return _TimeoutInput(InstanceInput.RETIRE, is_written_off)
        return None

    def _healthy_for_ns(
        self, now_ns: int, group: str, name: str, step: int, is_healthy: bool
    ) -> int:
        key = _health_key(group, name)
        if not is_healthy:
            self.observer.observations.pop(key, None)  # the settle time starts again
            return 0
        return self.observer.unchanged_for_ns(now_ns, key, step)

    def _max_absence_ns(self, group: str, instance: Instance) -> int:
        drain_ns = instance.drain_ms * NS_PER_MS
        if group == SERVERS_GROUP:
            return max(self.settings.return_timeout_ns, drain_ns)
        return drain_ns or self.settings.return_timeout_ns


def _state_key(group: str, name: str) -> Hashable:
    return group, name


def _health_key(group: str, name: str) -> Hashable:
    return group, name, "healthy"


def _interpret_report(
    report: ServerReport | None, is_serving: bool, is_silent: bool
) -> tuple[InstanceInput | None, int]:
    """Returns the input that a report stands for, if any, and the incarnation it is about."""
    if report is None or is_silent:
        return InstanceInput.LOST, 0
    if not is_serving or report.phase is ServerPhase.STARTING:
        return None, 0
    if report.phase is ServerPhase.SERVING:
        return InstanceInput.SEEN, report.incarnation
    return InstanceInput.LEAVING, report.incarnation


def _record_missed_leaving(
    state: RolloutState, name: str, before: Instance | None, report: ServerReport | None
) -> RolloutState:
    """Records an orderly leave that no round saw, since the server had already returned.

    Without the record the new incarnation would count as a crash of the one before.
    """
    if before is None or report is None or before.incarnation != report.previous_incarnation:
        return state
    state, _ = state.apply_input(
        SERVERS_GROUP, name, InstanceInput.LEAVING, incarnation=before.incarnation
    )
    return state


def _record_version(state: RolloutState, name: str, report: ServerReport) -> RolloutState:
    server = state.servers[name]
    if report.incarnation <= server.left_incarnation or server.version == report.version:
        return state
    server = replace(server, version=report.version)
    state = state.with_instance(SERVERS_GROUP, name, server)
    return replace(state, step=state.step + 1)


def _is_failing(name: str, callers: Iterable[ServerReport]) -> bool:
    succeeded = failed = 0
    for caller in callers:
        calls = (caller.downstream or {}).get(name, (0, 0))
        succeeded += calls[0]
        failed += calls[1]
    total = succeeded + failed
    return total >= DOWNSTREAM_MIN_CALLS and failed > DOWNSTREAM_FAILURE_SHARE * total


def _describe_loss(
    release: Release, name: str, before: Instance | None, server: Instance, effect: str
) -> str:
    """Returns why the release has lost a server; empty if it has not."""
    if before is None or before.release_number != release.number:
        return ""
    if release.phase not in (ReleasePhase.ROLLING, ReleasePhase.EVALUATING):
        return ""
    if effect == "mark_missing":
        return f"{name} is missing"
    if effect == "record_crash" and before.state is not InstanceState.GRANTED:
        return f"{name} ended without a word"
    has_settled = before.state is InstanceState.BACK and server.state is InstanceState.IN
    if has_settled and server.next_version and server.version != server.next_version:
        version = server.version or "no version"
        return f"{name} came back with {version}, not {server.next_version}"
    return ""
