"""The rollout state that the fleet shares: leader, permits, instances and the release. No I/O.

The state is one immutable value. Each step computes a new state from one that was read, and the
store writes it only if no other process wrote in between. A step is therefore always based on the
state that it replaces, and a budget that each step respects holds even if several processes decide
at once or late. Observations that belong to one process, such as when it last saw a heartbeat on
its own clock, are in `liveness.py`.
"""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from . import instance as instances
from . import release as releases
from .errors import OrderRejectedError
from .group import SERVERS_GROUP, DisruptionBudget, InstanceGroup
from .instance import InputContext, Instance, InstanceInput, InstanceState
from .release import Release, ReleaseInput, ReleasePhase, Wave, find_wave_faults

__all__ = ["FORMAT_VERSION", "RolloutState"]

MAX_HISTORY_ENTRIES = 40  # the oldest entries beyond this number are dropped
# To be increased if an older program would lose data by rewriting the state. Old and new programs
# run side by side during each release, so a release may write a new format only if the release
# before already reads it.
FORMAT_VERSION = 1


def _default_groups() -> dict[str, InstanceGroup]:
    return {SERVERS_GROUP: InstanceGroup()}


@dataclass(frozen=True, slots=True)
class RolloutState:
    """The shared state of drains and releases after one step.

    Attributes:
        leader: Name of the leading process; empty if no process leads.
        epoch: Number of times that a process has become the leader.
        step: Number of the latest step.
        stable_version: Version that all servers run while no release is in progress.
        release: The release in progress, or the latest one.
        groups: The servers, and the instances of each downstream service, by group name.
        history: The latest steps, each as its number and a description for operators.
        format_version: Version of the stored format.
    """

    leader: str = ""
    epoch: int = 0
    step: int = 0
    stable_version: str = ""
    release: Release = Release()
    groups: dict[str, InstanceGroup] = field(default_factory=_default_groups)
    history: tuple[tuple[int, str], ...] = ()
    format_version: int = FORMAT_VERSION

    @property
    def servers(self) -> dict[str, Instance]:
        """The fleet's servers by name."""
        return self.groups[SERVERS_GROUP].instances

    def iter_instances(self) -> Iterator[tuple[str, str, Instance]]:
        """Yields each instance with its group's name and its own."""
        for group_name, group in self.groups.items():
            for name, instance in group.instances.items():
                yield group_name, name, instance

    def is_up_to_date(self, server: Instance) -> bool:
        """Returns whether a server has the version, and the restart, that the release requires."""
        release = self.release
        if server.version != release.goal_version:
            return False
        is_restarted = server.release_number == release.number
        return not release.is_restart or release.is_rollback or is_restarted

    def is_in_flight(self, server: Instance) -> bool:
        """Returns whether the release sent the server out and it is not back in service."""
        return server.is_out and server.release_number == self.release.number

    def find_next_version(self, name: str) -> str:
        """Returns the version that a server of this name must start with now."""
        if self.release.phase is ReleasePhase.IDLE:
            return self.stable_version
        server = self.servers.get(name)
        if server is not None and server.next_version:
            return server.next_version
        return self.release.previous_version or self.stable_version

    def list_ejected_instances(self) -> list[tuple[str, str]]:
        """Returns group and address of each downstream instance that must not be called."""
        return [
            (group, name)
            for group, name, instance in self.iter_instances()
            if group != SERVERS_GROUP and instance.state is InstanceState.OUT
        ]

    def with_note(self, text: str) -> "RolloutState":
        """Returns the state with one more entry in its history."""
        return replace(self, history=(*self.history, (self.step, text))[-MAX_HISTORY_ENTRIES:])

    def with_instance(self, group: str, name: str, instance: Instance) -> "RolloutState":
        """Returns the state with the instance stored, or removed if its state is GONE."""
        before = self.groups[group]
        changed = {**before.instances, name: instance}
        if instance.state is InstanceState.GONE:
            del changed[name]
        return replace(
            self,
            step=max(self.step, instance.since_step),
            groups={**self.groups, group: replace(before, instances=changed)},
        )

    def apply_input(
        self,
        group: str,
        name: str,
        received: InstanceInput,
        *,
        incarnation: int = 0,
        ticket: int = 0,
        has_budget: bool = False,
        has_send_out_budget: bool = False,
    ) -> tuple["RolloutState", str]:
        """Applies an input to an instance.

        Args:
            group: Group of the instance.
            name: Name of the instance.
            received: The input.
            incarnation: Incarnation that the input is about.
            ticket: Drain ticket of the order that the input acts on.
            has_budget: For PERMIT: whether the budget has room.
            has_send_out_budget: For PERMIT: whether fewer instances are sent out than the budget
                allows.

        Returns:
            The state after the input and the name of the effect; this state and an empty name if no
            row of the instance's table applies.
        """
        before = self.groups[group].instances.get(name, Instance())
        is_downstream = group != SERVERS_GROUP
        context = InputContext(
            self.step + 1, incarnation, ticket, has_budget, has_send_out_budget, is_downstream
        )
        moved = instances.apply_input(before, received, context)
        if moved is None:
            return self, ""
        after, effect = moved
        note = f"{group} {name}: {received.label}, {before.state.label} to {after.state.label}"
        return self.with_instance(group, name, after).with_note(note), effect

    def grant_permit(
        self,
        group: str,
        name: str,
        unhealthy_count: int,
        next_version: str = "",
        release_number: int = 0,
    ) -> tuple["RolloutState", bool]:
        """Grants a permit to leave if the budget allows it; no other method checks the budget.

        Args:
            group: Group of the instance.
            name: Name of the instance.
            unhealthy_count: Instances of the group in state IN that do not report to be healthy.
            next_version: Version that the server starts with next; empty to leave it unchanged.
            release_number: Number of the release that sends the server out; 0 for a drain.

        Returns:
            The new state, and whether the permit was granted.
        """
        members = self.groups[group]
        others = (other for other_name, other in members.instances.items() if other_name != name)
        sent_out_count = sum(other.is_sent_out for other in others)
        state, effect = self.apply_input(
            group,
            name,
            InstanceInput.PERMIT,
            has_budget=members.count_free_permits(unhealthy_count) > 0,
            has_send_out_budget=sent_out_count < members.limit,
        )
        if not effect:
            return self, False
        instance = state.groups[group].instances[name]
        instance = replace(
            instance,
            next_version=next_version or members.instances[name].next_version,
            release_number=release_number,
        )
        return state.with_instance(group, name, instance), True

    def apply_to_release(self, received: ReleaseInput, reason: str) -> tuple["RolloutState", str]:
        """Applies an input to the release and updates the servers accordingly.

        Args:
            received: The input.
            reason: Why the input occurred; stored with the release and in the history.

        Returns:
            The state after the input and the name of the effect; this state and an empty name if no
            row of the release's table applies.
        """
        before = self.release
        moved = releases.apply_input(before, received, self.step + 1, reason)
        if moved is None:
            return self, ""
        release, effect = moved
        note = (
            f"change {release.number}: {received.label},"
            f" {before.phase.label} to {release.phase.label}"
        )
        note += f" ({reason})" if reason else ""
        state = replace(self, release=release, step=self.step + 1).with_note(note)
        if effect in ("halt", "begin_rollback"):
            state = state._with_permits_revoked()
        if effect == "finish_release":
            state = replace(state, stable_version=release.target_version)
        if effect == "finish_rollback":
            state = replace(state, stable_version=release.previous_version)
        if effect == "begin_rollback":
            state = state._with_next_version(release.previous_version)
        elif release.phase is ReleasePhase.IDLE:
            state = state._with_next_version("")
        return state, effect

    def _with_next_version(self, version: str) -> "RolloutState":
        """Returns the state in which each server starts with this version at its next start."""
        group = self.groups[SERVERS_GROUP]
        servers = {
            name: replace(server, next_version=version) for name, server in group.instances.items()
        }
        changed = replace(group, instances=servers)
        return replace(self, groups={**self.groups, SERVERS_GROUP: changed})

    def _with_permits_revoked(self) -> "RolloutState":
        """Returns the state with the release's unused permits revoked.

        Servers that the release has sent out already return with the previous version.
        """
        state = self
        for name, server in self.servers.items():
            if not state.is_in_flight(server):
                continue
            if server.state is InstanceState.GRANTED:
                state, _ = state.apply_input(SERVERS_GROUP, name, InstanceInput.REVOKE)
                server = state.servers[name]
            if server.state in (InstanceState.IN, InstanceState.OUT, InstanceState.MISSING):
                server = replace(server, next_version=self.release.previous_version)
                state = state.with_instance(SERVERS_GROUP, name, server)
        return state

    # Orders of an operator. Each may raise `OrderRejectedError`.

    def start_release(
        self, version: str, waves: tuple[Wave, ...], auto_rollback: bool, is_restart: bool = False
    ) -> "RolloutState":
        """Begins a release.

        Args:
            version: Version to release; empty for a restart with the current version.
            waves: Cumulative sizes of the waves; the last must be the whole fleet.
            auto_rollback: Whether an unhealthy wave or a lost server starts a rollback.
            is_restart: Whether servers that run the version already are restarted too.

        Raises:
            OrderRejectedError: A release is in progress, the waves are invalid, all servers run the
                version, or no server reports a version.
        """
        release = self.release
        running_version = self._most_common_version(is_restart)
        if release.phase is not ReleasePhase.IDLE:
            raise OrderRejectedError(
                f"change {release.number} to {release.target_version} is {release.phase.label}:"
                " finish it or roll it back first"
            )
        if faults := find_wave_faults(waves):
            raise OrderRejectedError("; ".join(faults))
        previous_version = self.stable_version or running_version
        version = version or previous_version
        if not is_restart and all(server.version == version for server in self.servers.values()):
            raise OrderRejectedError(
                f"all servers already run {version}; use --restart to restart them anyway"
            )
        release = Release(
            release.number + 1,
            target_version=version,
            previous_version=previous_version,
            waves=waves,
            auto_rollback=auto_rollback,
            is_restart=is_restart,
        )
        state = replace(self, release=release, stable_version=previous_version)
        return state.apply_to_release(ReleaseInput.START, "")[0]

    def _most_common_version(self, is_restart: bool) -> str:
        versions = Counter(
            server.version for server in self.servers.values() if server.version or is_restart
        )
        if versions:
            return versions.most_common(1)[0][0]
        if self.servers:
            raise OrderRejectedError(
                "no server reports its version: set `rollout.version` or BURLLOOM_RELEASE for each"
            )
        raise OrderRejectedError("the rollout state has no servers yet")

    def apply_order(self, received: ReleaseInput, reason: str) -> "RolloutState":
        """Halts, resumes or rolls back the release.

        Args:
            received: HALT, RESUME or ROLLBACK.
            reason: The operator's reason; may be empty.

        Raises:
            OrderRejectedError: The current phase does not allow the order, or a restart was to be
                rolled back.
        """
        release = self.release
        if received is ReleaseInput.ROLLBACK and release.is_restart:
            raise OrderRejectedError(
                "a restart has no other version to roll back to; halt it instead"
            )
        state, effect = self.apply_to_release(received, reason)
        if not effect:
            raise OrderRejectedError(
                f"nothing to {received.label}: change {release.number} is {release.phase.label}"
            )
        return state

    def find_instance(self, group: str, name: str) -> Instance:
        """Returns the instance of this group and name.

        Raises:
            OrderRejectedError: There is no such group or instance.
        """
        if group not in self.groups:
            known = ", ".join(self.groups)
            raise OrderRejectedError(f"no group {group!r}; known groups: {known}", group)
        instance = self.groups[group].instances.get(name)
        if instance is None:
            known = ", ".join(sorted(self.groups[group].instances)) or "none"
            raise OrderRejectedError(
                f"group {group!r} has no instance {name!r}; known instances: {known}", group, name
            )
        return instance

    def request_drain(self, group: str, name: str, drain_ms: int) -> "RolloutState":
        """Requests that an instance leaves service as soon as the budget allows.

        Args:
            group: Group of the instance.
            name: Name of the instance.
            drain_ms: How long the instance may be out; 0 for the usual return timeout.

        Raises:
            OrderRejectedError: The instance is unknown, not in service, requested to drain already,
                or the only one of its group.
        """
        instance = self.find_instance(group, name)
        if instance.state is not InstanceState.IN or instance.drain_ticket:
            status = "already requested to drain" if instance.drain_ticket else instance.state.label
            raise OrderRejectedError(f"cannot drain {group} {name}: it is {status}", group, name)
        if not self.groups[group].limit:
            raise OrderRejectedError(
                f"cannot drain {group} {name}: it is the only instance of its group",
                group,
                name,
            )
        step = self.step + 1
        instance = replace(instance, drain_ticket=step, drain_ms=drain_ms)
        state = replace(self, step=step).with_instance(group, name, instance)
        return state.with_note(f"{group} {name}: asked for")

    def end_drain(self, group: str, name: str) -> "RolloutState":
        """Ends the drain of a downstream instance, or withdraws the request for it.

        Args:
            group: Group of the instance.
            name: Name of the instance.

        Raises:
            OrderRejectedError: The instance is unknown, is a server, or is not being drained.
        """
        instance = self.find_instance(group, name)
        if group == SERVERS_GROUP:
            raise OrderRejectedError(
                "the drain of a server ends when it is started, not by an order", group, name
            )
        if instance.drain_ticket and instance.state is InstanceState.IN:
            return self.with_instance(group, name, replace(instance, drain_ticket=0))
        state, effect = self.apply_input(group, name, InstanceInput.DRAIN_ENDED)
        if not effect:
            state, effect = self.apply_input(group, name, InstanceInput.REVOKE)
        if not effect:
            message = f"{group} {name} is not being drained; its state is {instance.state.label}"
            raise OrderRejectedError(message, group, name)
        return state

    def retire(self, group: str, name: str) -> "RolloutState":
        """Removes an instance that will not return.

        Raises:
            OrderRejectedError: There is no such group or instance.
        """
        self.find_instance(group, name)
        return self.apply_input(group, name, InstanceInput.RETIRE)[0]

    def set_budget(self, group: str, budget: DisruptionBudget) -> "RolloutState":
        """Changes the budget of an existing group.

        Raises:
            OrderRejectedError: There is no such group, or the budget is invalid.
        """
        if group not in self.groups:
            known = ", ".join(self.groups)
            raise OrderRejectedError(f"no group {group!r}; known groups: {known}", group)
        return self.with_budget(group, budget)

    def with_budget(self, group: str, budget: DisruptionBudget) -> "RolloutState":
        """Returns the state with the budget of a group, which is added if it does not exist.

        Raises:
            OrderRejectedError: The budget is invalid.
        """
        if budget.max_out < 1 or not 0 <= budget.max_out_share < 1:
            raise OrderRejectedError(
                "a disruption budget must be a number of at least 1 or a share below 1", group
            )
        changed = replace(self.groups.get(group, InstanceGroup()), budget=budget)
        state = replace(self, groups={**self.groups, group: changed}, step=self.step + 1)
        return state.with_note(f"{group}: budget {budget.max_out}, {budget.max_out_share:g}")
