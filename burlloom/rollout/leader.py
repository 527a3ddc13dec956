"""Rounds of the leader, which decides on the rollout state. No I/O.

Any server, or a separate process, may lead. The leader writes its name into the rollout state and
increases a heartbeat stored next to it. Another process takes over once it has not seen that
heartbeat increase for the leader timeout. Two processes may briefly both act as the leader; the
only effect is a failed write, since each step is written only if the state that it was computed
from is still the stored one.
"""

from collections.abc import Hashable, Iterable, Mapping, Sequence
from dataclasses import replace

from .group import SERVERS_GROUP, DisruptionBudget
from .liveness import LivenessObserver, ServerReport
from .permits import grant_permits, revoke_excess_permits
from .progress import RELEASE_KEY, ReleaseDriver
from .settings import RolloutSettings
from .state import RolloutState
from .supervision import InstanceSupervisor

__all__ = ["RolloutLeader"]

# The observer's key for the time since the leader's heartbeat increased last.
_LEADER_KEY = "lead"


class RolloutLeader:
    """One process that may lead.

    Attributes:
        name: Name of the process, unique among all that may lead.
        unknown_servers: Names of silent servers that have a stored report but are not in the
            rollout state, as of the last round.
    """

    def __init__(
        self,
        name: str,
        settings: RolloutSettings,
        budgets: Mapping[str, DisruptionBudget] | None = None,
        services: Mapping[str, Sequence[str]] | None = None,
    ) -> None:
        """Starts without observations.

        Args:
            name: Name of the process, unique among all that may lead.
            settings: Times and limits.
            budgets: Initial budgets by group, for groups that the rollout state does not have yet.
                A stored budget is changed only by an operator's order.
            services: Addresses of the instances of each downstream service, by group.
        """
        self.name = name
        self.settings = settings
        self.budgets = budgets or {}
        self.observer = LivenessObserver(settings.heartbeat_ttl_ns)
        self.supervisor = InstanceSupervisor(settings, self.observer, services or {})
        self.driver = ReleaseDriver(settings, self.observer)
        self.unknown_servers: list[str] = []

    def is_leader(self, state: RolloutState) -> bool:
        """Returns whether this process leads according to the state."""
        return state.leader == self.name

    def acquire_leadership(
        self, now_ns: int, state: RolloutState, heartbeat: int
    ) -> RolloutState | None:
        """Returns the state with this process as its leader.

        Args:
            now_ns: Time in ns on a monotonic clock.
            state: The state that was read.
            heartbeat: The leader's heartbeat that was read with the state.

        Returns:
            The state to write; None if this process leads already or another leader is alive.
        """
        if self.is_leader(state):
            return None
        self.observer.begin_round(now_ns)
        if state.leader:
            epoch_and_heartbeat = state.epoch, heartbeat
            silent_ns = self.observer.unchanged_for_ns(now_ns, _LEADER_KEY, epoch_and_heartbeat)
            if silent_ns < self.settings.leader_timeout_ns:
                return None
        acquired = replace(state, leader=self.name, epoch=state.epoch + 1)
        for group, budget in self.budgets.items():
            if group not in state.groups or not state.epoch:
                acquired = acquired.with_budget(group, budget)
        note = f"{self.name} leads"
        note += f" after {state.leader}" if state.leader else ""
        return acquired.with_note(note)

    def resign(self, state: RolloutState) -> RolloutState | None:
        """Returns the state without a leader; None if this process does not lead."""
        if not self.is_leader(state):
            return None
        return replace(state, leader="").with_note(f"{self.name} leads no more")

    def run_round(
        self, now_ns: int, state: RolloutState, reports: Iterable[ServerReport]
    ) -> RolloutState:
        """Makes the decisions of one round.

        Args:
            now_ns: Time in ns on a monotonic clock.
            state: The state that was read, with this process as its leader.
            reports: The latest report of each server.

        Returns:
            The state to write; `state` itself if nothing changes.
        """
        self.observer.begin_round(now_ns)
        reports_by_name = {report.name: report for report in reports}
        serving = {
            name: report
            for name, report in reports_by_name.items()
            if self.observer.is_serving(now_ns, report)
        }
        state, losses = self._process_servers(now_ns, state, reports_by_name, serving)
        for group in state.groups:
            if group != SERVERS_GROUP:
                callers = [serving[name] for name in sorted(serving)]
                state = self.supervisor.process_downstream(now_ns, state, group, callers)
        self.unknown_servers = [
            name
            for name, report in reports_by_name.items()
            if name not in state.servers and self.observer.is_silent(now_ns, report)
        ]
        self.driver.collect_samples(now_ns, state, serving)
        state = self.driver.process_release(now_ns, state, losses)
        for group in state.groups:
            state = revoke_excess_permits(state, group)
        healthy = {name for name, report in serving.items() if report.is_healthy}
        is_overloaded = self.driver.is_fleet_overloaded()
        state = grant_permits(state, serving.keys(), healthy, is_overloaded)
        self._drop_stale_observations(state, reports_by_name)
        return state

    def _process_servers(
        self,
        now_ns: int,
        state: RolloutState,
        reports: Mapping[str, ServerReport],
        serving: Mapping[str, ServerReport],
    ) -> tuple[RolloutState, list[str]]:
        losses = []
        for name in sorted({*reports, *state.servers}):
            state, loss = self.supervisor.process_server(
                now_ns, state, name, reports.get(name), name in serving
            )
            if loss:
                losses.append(loss)
        return state, losses

    def _drop_stale_observations(
        self, state: RolloutState, reports: Mapping[str, ServerReport]
    ) -> None:
        keys: set[Hashable] = {_LEADER_KEY, RELEASE_KEY}
        keys |= {LivenessObserver.heartbeat_key(name) for name in reports}
        self.observer.retain(keys | self.supervisor.observed_keys(state))
