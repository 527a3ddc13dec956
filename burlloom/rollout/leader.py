"""What the leader makes of the rollout state, once a round. No I/O.

Any server, or a process of its own, may lead; who does, writes its name into the state and raises a
heartbeat beside it. Another takes over where it has not seen that rise for the leader timeout. That
two believe to lead for a moment costs a write that fails, nothing else: each step is taken on the
state as it was read, and written only if nobody wrote since.
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

_LEADER_KEY = "lead"  # of the observer: since when the leader's heartbeat has not risen


class RolloutLeader:
    """One process that may lead.

    Attributes:
        name: That nobody else has.
        unknown_servers: Servers that have reported once, are not in the state, and are silent.
    """

    def __init__(
        self,
        name: str,
        settings: RolloutSettings,
        budgets: Mapping[str, DisruptionBudget] | None = None,
        services: Mapping[str, Sequence[str]] | None = None,
    ) -> None:
        """Begins knowing nothing.

        Args:
            name: That nobody else has.
            settings: Times and limits.
            budgets: By group, for those that the state does not have yet; what stands there is
                changed by an operator's order alone.
            services: The addresses of each downstream service.
        """
        self.name = name
        self.settings = settings
        self.budgets = budgets or {}
        self.observer = LivenessObserver(settings.heartbeat_ttl_ns)
        self.supervisor = InstanceSupervisor(settings, self.observer, services or {})
        self.driver = ReleaseDriver(settings, self.observer)
        self.unknown_servers: list[str] = []

    def is_leader(self, state: RolloutState) -> bool:
        """Whether this process leads."""
        return state.leader == self.name

    def acquire_leadership(
        self, now: int, state: RolloutState, heartbeat: int
    ) -> RolloutState | None:
        """Returns the state with us as its leader; None where we are, or another one lives.

        Args:
            now: ns on a clock that nobody sets.
            state: As it was read.
            heartbeat: The leader's, as it was read.
        """
        if self.is_leader(state):
            return None
        self.observer.begin_round(now)
        if state.leader:
            seen = state.epoch, heartbeat
            silent_ns = self.observer.unchanged_for_ns(now, _LEADER_KEY, seen)
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
        """Returns the state without a leader; None where we don't lead."""
        if not self.is_leader(state):
            return None
        return replace(state, leader="").with_note(f"{self.name} leads no more")

    def run_round(
        self, now: int, state: RolloutState, reports: Iterable[ServerReport]
    ) -> RolloutState:
        """Decides.

        Args:
            now: ns on a clock that nobody sets.
            state: As it was read, with us as its leader.
            reports: The newest of each server.

        Returns:
            The state that is to be written; the same one where there is nothing to do.
        """
        self.observer.begin_round(now)
        by_name = {report.name: report for report in reports}
        serving = {
            name: report
            for name, report in by_name.items()
            if self.observer.is_serving(now, report)
        }
        state, losses = self._process_servers(now, state, by_name, serving)
        for group in state.groups:
            if group != SERVERS_GROUP:
                callers = [serving[name] for name in sorted(serving)]
                state = self.supervisor.process_downstream(now, state, group, callers)
        self.unknown_servers = [
            name
            for name, report in by_name.items()
            if name not in state.servers and self.observer.is_silent(now, report)
        ]
        self.driver.collect_samples(now, state, serving)
        state = self.driver.process_release(now, state, losses)
        for group in state.groups:
            state = revoke_excess_permits(state, group)
        healthy = {name for name, report in serving.items() if report.is_healthy}
        is_overloaded = self.driver.is_fleet_overloaded()
        state = grant_permits(state, serving.keys(), healthy, is_overloaded)
        self._forget_stale(state, by_name)
        return state

    def _process_servers(
        self,
        now: int,
        state: RolloutState,
        reports: Mapping[str, ServerReport],
        serving: Mapping[str, ServerReport],
    ) -> tuple[RolloutState, list[str]]:
        losses = []
        for name in sorted({*reports, *state.servers}):
            state, loss = self.supervisor.process_server(
                now, state, name, reports.get(name), name in serving
            )
            if loss:
                losses.append(loss)
        return state, losses

    def _forget_stale(self, state: RolloutState, reports: Mapping[str, ServerReport]) -> None:
        keys: set[Hashable] = {_LEADER_KEY, RELEASE_KEY}
        keys |= {LivenessObserver.heartbeat_key(name) for name in reports}
        self.observer.retain(keys | self.supervisor.observed_keys(state))
