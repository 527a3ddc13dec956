"""Who may leave service: permits of the leader, granted and revoked within the budgets. No I/O."""

from collections.abc import Set as AbstractSet

import xxhash

from .group import SERVERS_GROUP
from .instance import Instance, InstanceInput, InstanceState
from .release import ReleasePhase
from .state import RolloutState

__all__ = ["grant_permits", "revoke_excess_permits"]


def revoke_excess_permits(state: RolloutState, group: str) -> RolloutState:
    """Revokes permits that nobody has begun on, where crashes have taken the budget since."""
    if state.release.phase is ReleasePhase.ROLLING_BACK:
        return state  # there those have permits that count as out anyway
    members = state.groups[group]
    waiting = [
        name
        for name, instance in members.instances.items()
        if instance.state is InstanceState.GRANTED
    ]
    excess = max(0, -members.free_permits())
    for name in waiting[:excess]:
        state, _ = state.apply_input(group, name, InstanceInput.REVOKE)
    return state


def grant_permits(
    state: RolloutState,
    serving: AbstractSet[str],
    healthy: AbstractSet[str],
    is_fleet_overloaded: bool,
) -> RolloutState:
    """Grants an operator's drains first, then the release; whoever leads, in the same order.

    Args:
        state: As it stands.
        serving: Servers whose heartbeat rose lately.
        healthy: Of these, those that report to be healthy.
        is_fleet_overloaded: Whether a release is to wait.
    """
    unhealthy = sum(
        server.state is InstanceState.IN and name not in healthy
        for name, server in state.servers.items()
    )
    state = _grant_drains(state, serving, healthy, unhealthy)
    release = state.release
    is_paused = release.phase is ReleasePhase.ROLLING and is_fleet_overloaded
    if not release.is_moving or is_paused:
        return state
    candidates = serving if release.is_rollback else healthy
    return _grant_release(state, candidates, healthy, unhealthy)


def _grant_drains(
    state: RolloutState, serving: AbstractSet[str], healthy: AbstractSet[str], unhealthy: int
) -> RolloutState:
    for group, name, instance in list(state.iter_instances()):
        if not instance.drain_ticket or instance.state is not InstanceState.IN:
            continue
        if group != SERVERS_GROUP:
            state, _ = state.grant_permit(group, name, 0)
        elif name in serving:
            state, _ = state.grant_permit(group, name, unhealthy if name in healthy else 0)
    return state


def _grant_release(
    state: RolloutState, candidates: AbstractSet[str], healthy: AbstractSet[str], unhealthy: int
) -> RolloutState:
    release = state.release
    started = sum(
        state.is_done(server) or state.is_in_flight(server) for server in state.servers.values()
    )
    # What was denied once is denied to all that are alike.
    denied: set[tuple[bool, bool]] = set()
    for name in sorted(state.servers, key=lambda name: (_order(release.number, name), name)):
        server = state.servers[name]
        if started >= release.target_count(len(state.servers)) and not release.is_rollback:
            break
        kind = server.state is InstanceState.IN, name in healthy
        if kind in denied or name not in candidates or not _may_be_sent(state, server):
            continue
        # One that is sent no requests anyway costs nobody anything: only those that serve wait for
        # the unhealthy.
        waits_for = unhealthy if name in healthy else 0
        state, is_granted = state.grant_permit(
            SERVERS_GROUP, name, waits_for, release.goal_version, release.number
        )
        started += is_granted
        if not is_granted:
            denied.add(kind)
    return state


def _may_be_sent(state: RolloutState, server: Instance) -> bool:
    if state.is_done(server):
        return False
    if server.state is InstanceState.IN:
        return True
    # A rollback also takes those that never became healthy with the new version.
    is_returning = server.state in (InstanceState.BACK, InstanceState.MISSING)
    return state.release.is_rollback and is_returning


def _order(release_number: int, name: str) -> int:
    """Returns another order for each release: not the same canaries always."""
    return int(xxhash.xxh3_64_intdigest(f"{release_number}\n{name}".encode()))
