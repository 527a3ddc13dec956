"""Permits to leave service, which the leader grants and revokes within the budgets. No I/O."""

from collections.abc import Set as AbstractSet

import xxhash

from .group import SERVERS_GROUP
from .instance import Instance, InstanceInput, InstanceState
from .release import ReleasePhase
from .state import RolloutState

__all__ = ["grant_permits", "revoke_excess_permits"]


def revoke_excess_permits(state: RolloutState, group: str) -> RolloutState:
    """Revokes unused permits of a group if crashes have exceeded its budget since the grant.

    Args:
        state: Current rollout state.
        group: Name of the group.

    Returns:
        The state after the revocations.
    """
    if state.release.phase is ReleasePhase.ROLLING_BACK:
        # A rollback grants permits to instances that count as out anyway: revoking them frees none.
        return state
    members = state.groups[group]
    unused = [
        name
        for name, instance in members.instances.items()
        if instance.state is InstanceState.GRANTED
    ]
    excess = max(0, -members.count_free_permits())
    for name in unused[:excess]:
        state, _ = state.apply_input(group, name, InstanceInput.REVOKE)
    return state


def grant_permits(
    state: RolloutState,
    serving: AbstractSet[str],
    healthy: AbstractSet[str],
    is_fleet_overloaded: bool,
) -> RolloutState:
    """Grants permits to requested drains first, then to servers of the release.

    The order does not depend on which process leads.

    Args:
        state: Current rollout state.
        serving: Names of the servers whose heartbeat increased within the heartbeat TTL.
        healthy: Names of the serving servers that report to be healthy.
        is_fleet_overloaded: Whether the waves of a release must wait.

    Returns:
        The state after the grants.
    """
    unhealthy_count = sum(
        server.state is InstanceState.IN and name not in healthy
        for name, server in state.servers.items()
    )
    state = _grant_drains(state, serving, healthy, unhealthy_count)
    release = state.release
    is_paused = release.phase is ReleasePhase.ROLLING and is_fleet_overloaded
    if not release.is_sending_out_servers or is_paused:
        return state
    candidates = serving if release.is_rollback else healthy
    return _grant_release(state, candidates, healthy, unhealthy_count)


def _grant_drains(
    state: RolloutState, serving: AbstractSet[str], healthy: AbstractSet[str], unhealthy_count: int
) -> RolloutState:
    for group, name, instance in list(state.iter_instances()):
        if not instance.drain_ticket or instance.state is not InstanceState.IN:
            continue
        if group != SERVERS_GROUP:
            state, _ = state.grant_permit(group, name, 0)
        elif name in serving:
            state, _ = state.grant_permit(group, name, unhealthy_count if name in healthy else 0)
    return state


def _grant_release(
    state: RolloutState,
    candidates: AbstractSet[str],
    healthy: AbstractSet[str],
    unhealthy_count: int,
) -> RolloutState:
    release = state.release
    started_count = sum(
        state.is_up_to_date(server) or state.is_in_flight(server)
        for server in state.servers.values()
    )
    # If one server is denied a permit, all servers of the same kind would be too: the kind decides
    # which limits apply. A kind is whether the server is in state IN and whether it is healthy.
    denied_kinds: set[tuple[bool, bool]] = set()
    for name in sorted(
        state.servers, key=lambda name: (_compute_order(release.number, name), name)
    ):
        server = state.servers[name]
        if (
            started_count >= release.compute_target_count(len(state.servers))
            and not release.is_rollback
        ):
            break
        kind = server.state is InstanceState.IN, name in healthy
        if kind in denied_kinds or name not in candidates or not _may_be_sent(state, server):
            continue
        # An unhealthy server is sent no requests, so its absence costs no capacity. Only a healthy
        # server must wait for the unhealthy ones.
        waits_for_count = unhealthy_count if name in healthy else 0
        state, is_granted = state.grant_permit(
            SERVERS_GROUP, name, waits_for_count, release.goal_version, release.number
        )
        started_count += is_granted
        if not is_granted:
            denied_kinds.add(kind)
    return state


def _may_be_sent(state: RolloutState, server: Instance) -> bool:
    if state.is_up_to_date(server):
        return False
    if server.state is InstanceState.IN:
        return True
    # A rollback also restarts servers that never became healthy with the new version.
    is_returning = server.state in (InstanceState.BACK, InstanceState.MISSING)
    return state.release.is_rollback and is_returning


def _compute_order(release_number: int, name: str) -> int:
    """Returns a sort key that differs between releases, so that the canaries vary."""
    return int(xxhash.xxh3_64_intdigest(f"{release_number}\n{name}".encode()))
