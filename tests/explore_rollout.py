"""Explores every history of a few servers and leaders that share one rollout state.

The histories include stale reads, writes with an unknown outcome, crashes, restarts, late reports of
earlier incarnations, and timeouts that pass too early.

The steps of the rollout state are those of burlloom.rollout. The budget is checked independently:
a server counts as sent out from the drain that the rollout state allowed until its next incarnation
serves.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from typing import Any

from burlloom.rollout import (
    SERVERS_GROUP,
    DisruptionBudget,
    DrainAgent,
    Instance,
    InstanceGroup,
    InstanceState,
    RolloutState,
)
from burlloom.rollout.agent import AgentInput, AgentState
from burlloom.rollout.instance import InstanceInput

LEADER_INPUTS = (
    InstanceInput.LOST,
    InstanceInput.SETTLED,
    InstanceInput.EXPIRED,
    InstanceInput.PERMIT,
    InstanceInput.REVOKE,
)


@dataclass
class Server:
    incarnation: int = 1
    is_up: bool = True
    is_sent_out: bool = False  # its drain, allowed by the rollout state, has begun or is over
    agent: DrainAgent = field(default_factory=lambda: DrainAgent("", 1))
    snapshot: tuple[int, RolloutState] | None = None  # that its pending write is based on

    def key(self) -> Any:
        return self.incarnation, self.is_up, self.is_sent_out, self.agent.state


@dataclass
class Model:
    revision: int
    state: RolloutState
    servers: list[Server]
    leader_snapshots: list[tuple[int, RolloutState] | None]

    def copy(self) -> "Model":
        servers = [
            replace(server, agent=DrainAgent(server.agent.name, server.agent.incarnation))
            for server in self.servers
        ]
        for copied, original in zip(servers, self.servers, strict=True):
            copied.agent.state = original.agent.state
        return Model(self.revision, self.state, servers, list(self.leader_snapshots))

    def key(self, may_write_stale: bool) -> Any:
        """Returns what distinguishes this model from others.

        Args:
            may_write_stale: Whether a write that is based on a stale snapshot can succeed, so that
                the content of stale snapshots matters.
        """

        def summarize(state: RolloutState) -> Any:
            return tuple(
                (name, instance.state, instance.incarnation, instance.left_incarnation)
                for name, instance in sorted(state.servers.items())
            )

        def summarize_snapshot(snapshot: tuple[int, RolloutState] | None) -> Any:
            if snapshot is None or snapshot[0] == self.revision:
                return snapshot and "newest"
            return summarize(snapshot[1]) if may_write_stale else "stale"

        return (
            summarize(self.state),
            tuple((server.key(), summarize_snapshot(server.snapshot)) for server in self.servers),
            tuple(summarize_snapshot(snapshot) for snapshot in self.leader_snapshots),
        )

    @property
    def sent_out_count(self) -> int:
        return sum(server.is_sent_out for server in self.servers)


class Explorer:
    """Explores the models that are reachable from servers in service and leaders without snapshots.

    Args:
        server_count: Number of servers.
        max_out: Disruption budget.
        max_incarnations: Number of incarnations that each server may have.
        leader_count: Number of processes that may lead.
        disabled_rule: Rule of the rollout state to leave out, to show that the exploration notices.
    """

    def __init__(
        self,
        server_count: int = 2,
        max_out: int = 1,
        max_incarnations: int = 2,
        leader_count: int = 2,
        disabled_rule: str = "",
    ) -> None:
        self.server_count, self.max_out = server_count, max_out
        self.max_incarnations, self.leader_count = max_incarnations, leader_count
        self.disabled_rule = disabled_rule

    def initial_model(self) -> Model:
        instances = {
            str(index): Instance(InstanceState.IN, incarnation=1)
            for index in range(self.server_count)
        }
        state = RolloutState(
            groups={SERVERS_GROUP: InstanceGroup(DisruptionBudget(self.max_out), instances)}
        )
        servers = [Server(agent=DrainAgent(name, 1)) for name in instances]
        return Model(0, state, servers, [None] * self.leader_count)

    def compare_and_swap(
        self, model: Model, snapshot: tuple[int, RolloutState], state: RolloutState
    ) -> bool:
        if snapshot[0] != model.revision and self.disabled_rule != "compare_and_swap":
            return False
        model.revision, model.state = model.revision + 1, state
        return True

    def apply_leader_input(
        self, state: RolloutState, name: str, received: InstanceInput, incarnation: int = 0
    ) -> RolloutState | None:
        """Returns the state that a leader writes for an input; None if it writes nothing."""
        if received is InstanceInput.PERMIT:
            if self.disabled_rule == "budget":
                changed, effect = state.apply_input(
                    SERVERS_GROUP, name, received, has_budget=True, has_send_out_budget=True
                )
                return changed if effect else None
            changed, is_granted = state.grant_permit(SERVERS_GROUP, name, 0)
            return changed if is_granted else None
        if self.disabled_rule == "incarnation" and received is InstanceInput.SEEN and incarnation:
            incarnation = state.servers[name].left_incarnation + 1
        changed, effect = state.apply_input(SERVERS_GROUP, name, received, incarnation=incarnation)
        if self.disabled_rule == "expiry" and effect == "mark_missing":
            changed = changed.with_instance(
                SERVERS_GROUP, name, replace(changed.servers[name], state=InstanceState.IN)
            )
        return changed if effect else None

    def successors(self, model: Model) -> Iterator[Model]:
        """Yields each model that may follow."""
        for leader in range(self.leader_count):
            following = model.copy()
            following.leader_snapshots[leader] = following.revision, following.state
            yield following
            snapshot = model.leader_snapshots[leader]
            is_stale = snapshot is not None and snapshot[0] != model.revision
            if snapshot is None or is_stale and self.disabled_rule != "compare_and_swap":
                continue  # a write would not succeed
            for index, server in enumerate(model.servers):
                # A late report of any incarnation that has served so far may be read.
                inputs = [(received, 0) for received in LEADER_INPUTS]
                inputs += [
                    (InstanceInput.SEEN, incarnation)
                    for incarnation in range(1, server.incarnation + 1)
                ]
                inputs += (
                    [(InstanceInput.LEAVING, server.incarnation)]
                    if server.is_sent_out and server.is_up
                    else []
                )
                for received, incarnation in inputs:
                    changed = self.apply_leader_input(
                        snapshot[1], str(index), received, incarnation
                    )
                    if changed is not None:
                        following = model.copy()
                        following.leader_snapshots[leader] = None
                        if self.compare_and_swap(following, snapshot, changed):
                            yield following
        for index in range(self.server_count):
            yield from self.server_successors(model, index)

    def server_successors(self, model: Model, index: int) -> Iterator[Model]:
        """Yields each model that may follow by an action of one server."""
        server = model.servers[index]
        if not server.is_up:
            if server.incarnation < self.max_incarnations:
                following = model.copy()
                incarnation = server.incarnation + 1
                following.servers[index] = Server(
                    incarnation, agent=DrainAgent(str(index), incarnation)
                )
                yield following
            return
        following = model.copy()  # the server exits, at the end of a drain or by a crash
        following.servers[index].is_up, following.servers[index].snapshot = False, None
        yield following
        if server.agent.state is AgentState.BEGINNING and server.snapshot is not None:
            for outcome in (
                AgentInput.WRITE_ACCEPTED,
                AgentInput.WRITE_UNKNOWN,
                AgentInput.WRITE_CONFLICT,
            ):
                following = model.copy()
                writer, snapshot = following.servers[index], server.snapshot
                writer.snapshot = None
                changed = writer.agent.begin_drain(snapshot[1])
                is_written = (
                    changed is not None
                    and outcome is not AgentInput.WRITE_CONFLICT
                    and self.compare_and_swap(following, snapshot, changed)
                )
                is_stale = snapshot[0] != model.revision
                if {
                    AgentInput.WRITE_UNKNOWN: True,
                    AgentInput.WRITE_ACCEPTED: is_written,
                    AgentInput.WRITE_CONFLICT: is_stale,
                }[outcome]:
                    self.apply_effect(writer, writer.agent.apply_input(outcome))
                    yield following
            return
        following = model.copy()
        reader = following.servers[index]
        effect = reader.agent.process_state(following.state)
        if effect == "begin":
            reader.snapshot = following.revision, following.state
            if self.disabled_rule == "begin":  # drains on the permit alone
                effect = "drain"
        self.apply_effect(reader, effect)
        yield following

    def apply_effect(self, server: Server, effect: str) -> None:
        if effect == "drain":
            server.is_sent_out = True

    def explore(self, max_models: int) -> tuple[int, int]:
        """Explores until no new model is found, `max_models` are known or the budget is exceeded.

        Returns:
            The number of models, and the most servers that were sent out at once in any of them.
        """
        first, may_write_stale = self.initial_model(), self.disabled_rule == "compare_and_swap"
        known, waiting, max_sent_out = {first.key(may_write_stale)}, deque([first]), 0
        while waiting and len(known) < max_models and max_sent_out <= self.max_out:
            for following in self.successors(waiting.popleft()):
                key = following.key(may_write_stale)
                if key not in known:
                    known.add(key)
                    max_sent_out = max(max_sent_out, following.sent_out_count)
                    waiting.append(following)
        return len(known), max_sent_out
