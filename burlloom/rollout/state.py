"""All that is agreed across the fleet: leader, permits, instances, the release. No I/O.

The state is one value. Each step makes a new one from one that was read; the store takes it only if
nobody else wrote meanwhile. So every step is decided on what holds when it is written: a budget
that is kept by each step is kept, however many decide, and however late. What is local to one
process (when it saw what, on its own clock) stands in `liveness.py`.
"""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from . import instance as instances
from . import release as releases
from .errors import OrderRejectedError
from .group import SERVERS_GROUP, DisruptionBudget, InstanceGroup
from .instance import Instance, InstanceEvent, InstanceInput, InstanceState
from .release import Release, ReleaseInput, ReleasePhase, Wave, find_wave_faults

__all__ = ["FORMAT_VERSION", "RolloutState"]

MAX_HISTORY = 40
# Raised where an older program would lose something by writing the state anew; only in a release
# after one that reads the new format already, as old and new run side by side in every release.
FORMAT_VERSION = 1


def _only_servers() -> dict[str, InstanceGroup]:
    return {SERVERS_GROUP: InstanceGroup()}


@dataclass(frozen=True, slots=True)
class RolloutState:
    """What is agreed at one step.

    Attributes:
        leader: Who decides; empty where nobody does.
        epoch: How often the leader changed.
        step: How many steps were taken.
        stable_version: That all servers are to run while no release is under way.
        release: Under way, or the last one.
        groups: The servers, and the instances of each downstream service.
        history: The last steps, each with its number, in words for operators.
        format_version: Of the stored text.
    """

    leader: str = ""
    epoch: int = 0
    step: int = 0
    stable_version: str = ""
    release: Release = Release()
    groups: dict[str, InstanceGroup] = field(default_factory=_only_servers)
    history: tuple[tuple[int, str], ...] = ()
    format_version: int = FORMAT_VERSION

    # What it shows.

    @property
    def servers(self) -> dict[str, Instance]:
        """Our own servers, by name."""
        return self.groups[SERVERS_GROUP].instances

    def iter_instances(self) -> Iterator[tuple[str, str, Instance]]:
        """Iterates over all instances: group, name, instance."""
        for group_name, group in self.groups.items():
            for name, instance in group.instances.items():
                yield group_name, name, instance

    def is_done(self, server: Instance) -> bool:
        """Whether a server is as the release wants it."""
        release = self.release
        if server.version != release.goal_version:
            return False
        is_restarted = server.release_number == release.number
        return not release.is_restart or release.is_rollback or is_restarted

    def is_in_flight(self, server: Instance) -> bool:
        """Whether a server was sent out by the release and is not back in service."""
        return server.is_out and server.release_number == self.release.number

    def next_version_of(self, name: str) -> str:
        """Returns the version that a server of this name is to start with now."""
        if self.release.phase is ReleasePhase.IDLE:
            return self.stable_version
        server = self.servers.get(name)
        if server is not None and server.next_version:
            return server.next_version
        return self.release.previous_version or self.stable_version

    def ejected_instances(self) -> list[tuple[str, str]]:
        """Returns the downstream instances that are not to be called: group and address."""
        return [
            (group, name)
            for group, name, instance in self.iter_instances()
            if group != SERVERS_GROUP and instance.state is InstanceState.OUT
        ]

    # Steps.

    def with_note(self, text: str) -> "RolloutState":
        """Returns the state with an entry in its history."""
        return replace(self, history=(*self.history, (self.step, text))[-MAX_HISTORY:])

    def with_instance(self, group: str, name: str, instance: Instance) -> "RolloutState":
        """Returns the state with an instance put in, or taken out if it is gone."""
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
        has_sent_budget: bool = False,
    ) -> tuple["RolloutState", str]:
        """Moves an instance.

        Args:
            group: The instance's.
            name: The instance's.
            received: What happened.
            incarnation: As in `InstanceEvent`, like all that follow.
            ticket: Of the order.
            has_budget: For a permit.
            has_sent_budget: For a permit.

        Returns:
            The state after it and the effect's name; this state and an empty name where no row of
            the instance's table holds.
        """
        before = self.groups[group].instances.get(name, Instance())
        is_downstream = group != SERVERS_GROUP
        event = InstanceEvent(
            self.step + 1, incarnation, ticket, has_budget, has_sent_budget, is_downstream
        )
        moved = instances.apply_input(before, received, event)
        if moved is None:
            return self, ""
        after, effect = moved
        note = f"{group} {name}: {received.label}, {before.state.label} to {after.state.label}"
        return self.with_instance(group, name, after).with_note(note), effect

    def grant_permit(
        self,
        group: str,
        name: str,
        unhealthy: int,
        next_version: str = "",
        release_number: int = 0,
    ) -> tuple["RolloutState", bool]:
        """Lets an instance leave if the budget allows; the only place where that is decided.

        Args:
            group: The instance's.
            name: The instance's.
            unhealthy: Instances of the group that are in service and can't be seen to serve.
            next_version: That the server is to start with; empty: as it is.
            release_number: Of the release that sends it out; 0: none does.

        Returns:
            The state after it, and whether the permit was granted.
        """
        members = self.groups[group]
        others = (one for other, one in members.instances.items() if other != name)
        sent_out = sum(other.was_sent_out for other in others)
        state, effect = self.apply_input(
            group,
            name,
            InstanceInput.PERMIT,
            has_budget=members.free_permits(unhealthy) > 0,
            has_sent_budget=sent_out < members.limit,
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
        """Moves the release, with what that means for the servers.

        Returns:
            The state after it and the effect's name; this state and an empty name where no row of
            the release's table holds.
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
        """All servers are to start with this version, whenever they do."""
        group = self.groups[SERVERS_GROUP]
        servers = {
            name: replace(server, next_version=version) for name, server in group.instances.items()
        }
        changed = replace(group, instances=servers)
        return replace(self, groups={**self.groups, SERVERS_GROUP: changed})

    def _with_permits_revoked(self) -> "RolloutState":
        """Who has not begun to leave stays; who is out returns with the version before."""
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

    # Orders of an operator; each raises `OrderRejectedError`.

    def start_release(
        self, version: str, waves: tuple[Wave, ...], auto_rollback: bool, is_restart: bool = False
    ) -> "RolloutState":
        """Begins a release.

        Args:
            version: That it brings in; empty for a restart with the version that runs.
            waves: Cumulative; the last one is the whole fleet.
            auto_rollback: Whether an unhealthy wave is rolled back by itself.
            is_restart: Whether servers that run the version are started anew too.

        Raises:
            OrderRejectedError: There is nothing to release, or a release is under way.
        """
        release = self.release
        running_version = self._most_common_version(is_restart)
        if release.phase is not ReleasePhase.IDLE:
            raise OrderRejectedError(
                f"change {release.number} to {release.target_version} is {release.phase.label}:"
                " finish it, or roll it back"
            )
        if faults := find_wave_faults(waves):
            raise OrderRejectedError("; ".join(faults))
        previous_version = self.stable_version or running_version
        version = version or previous_version
        if not is_restart and all(server.version == version for server in self.servers.values()):
            raise OrderRejectedError(
                f"all servers run {version}; --restart starts them anew all the same"
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
                "no server tells its version: set `rollout.version` or BURLLOOM_RELEASE for each"
            )
        raise OrderRejectedError("no server is in the book yet")

    def order(self, received: ReleaseInput, reason: str) -> "RolloutState":
        """Halts, resumes or rolls back the release.

        Raises:
            OrderRejectedError: The release is in no phase for it.
        """
        release = self.release
        if received is ReleaseInput.ROLLBACK and release.is_restart:
            raise OrderRejectedError(
                "a restart brought in no other version: there is nothing to go back to; halt it"
                " instead"
            )
        state, effect = self.apply_to_release(received, reason)
        if not effect:
            raise OrderRejectedError(
                f"nothing to {received.label}: change {release.number} is {release.phase.label}"
            )
        return state

    def find_instance(self, group: str, name: str) -> Instance:
        """Returns an instance.

        Raises:
            OrderRejectedError: There is none of this group and name.
        """
        if group not in self.groups:
            known = ", ".join(self.groups)
            raise OrderRejectedError(f"there is no group {group!r}; known are {known}", group)
        instance = self.groups[group].instances.get(name)
        if instance is None:
            known = ", ".join(sorted(self.groups[group].instances)) or "none"
            raise OrderRejectedError(f"{group} has no {name!r}; known are {known}", group, name)
        return instance

    def request_drain(self, group: str, name: str, drain_ms: int) -> "RolloutState":
        """Has an instance taken out as soon as the budget allows.

        Raises:
            OrderRejectedError: It is not in service, or the only one of its group.
        """
        instance = self.find_instance(group, name)
        if instance.state is not InstanceState.IN or instance.drain_ticket:
            word = "asked for already" if instance.drain_ticket else instance.state.label
            raise OrderRejectedError(f"{group} {name} is {word}", group, name)
        if not self.groups[group].limit:
            raise OrderRejectedError(
                f"{name} is the only one of {group}: it can't be out without all of them being out",
                group,
                name,
            )
        step = self.step + 1
        instance = replace(instance, drain_ticket=step, drain_ms=drain_ms)
        state = replace(self, step=step).with_instance(group, name, instance)
        return state.with_note(f"{group} {name}: asked for")

    def end_drain(self, group: str, name: str) -> "RolloutState":
        """Has a downstream instance called again, or its drain forgotten.

        Raises:
            OrderRejectedError: It is a server, or not out.
        """
        instance = self.find_instance(group, name)
        if group == SERVERS_GROUP:
            raise OrderRejectedError("a server comes back when it is started", group, name)
        if instance.drain_ticket and instance.state is InstanceState.IN:
            return self.with_instance(group, name, replace(instance, drain_ticket=0))
        state, effect = self.apply_input(group, name, InstanceInput.DRAIN_ENDED)
        if not effect:
            state, effect = self.apply_input(group, name, InstanceInput.REVOKE)
        if not effect:
            message = f"{group} {name} is {instance.state.label}, not out"
            raise OrderRejectedError(message, group, name)
        return state

    def retire(self, group: str, name: str) -> "RolloutState":
        """Takes out an instance that will not come back.

        Raises:
            OrderRejectedError: There is none of this group and name.
        """
        self.find_instance(group, name)
        return self.apply_input(group, name, InstanceInput.RETIRE)[0]

    def set_budget(self, group: str, budget: DisruptionBudget) -> "RolloutState":
        """Changes the budget of a group that is known.

        Raises:
            OrderRejectedError: There is no such group, or the budget is none.
        """
        if group not in self.groups:
            known = ", ".join(self.groups)
            raise OrderRejectedError(f"there is no group {group!r}; known are {known}", group)
        return self.with_budget(group, budget)

    def with_budget(self, group: str, budget: DisruptionBudget) -> "RolloutState":
        """Returns the state with a group's budget; a group that is not known is added.

        Raises:
            OrderRejectedError: The budget is none.
        """
        if budget.max_out < 1 or not 0 <= budget.max_out_share < 1:
            raise OrderRejectedError(
                "a budget is a number from 1 on, or a part of all under 1", group
            )
        changed = replace(self.groups.get(group, InstanceGroup()), budget=budget)
        state = replace(self, groups={**self.groups, group: changed}, step=self.step + 1)
        return state.with_note(f"{group}: budget {budget.max_out}, {budget.max_out_share:g}")
