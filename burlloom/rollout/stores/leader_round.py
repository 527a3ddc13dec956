"""One round of a process that may lead: its decisions and the store's reads and writes.

Both servers and `burlloom rollout drive` run it.
"""

from ..leader import RolloutLeader
from .base import RolloutStore, StateSnapshot

__all__ = ["run_leader_round"]


async def run_leader_round(
    leader: RolloutLeader, store: RolloutStore, snapshot: StateSnapshot, now_ns: int
) -> list[tuple[int, str]]:
    """Acquires leadership if there is no leader; if this process leads, decides and writes.

    Args:
        leader: The leader object of this process.
        store: Store of the rollout state.
        snapshot: The state that was just read.
        now_ns: Time in ns on a monotonic clock.

    Returns:
        Number and description of each step that was written. Empty if nothing changed or another
        process wrote first; the next round reads the state again.

    Raises:
        StoreUnavailableError: The store failed during the round.
    """
    acquired = leader.acquire_leadership(now_ns, snapshot.state, snapshot.heartbeat)
    if acquired is not None:
        is_written = await store.compare_and_swap(snapshot, acquired)
        return list(acquired.history[-1:]) if is_written else []
    if not leader.is_leader(snapshot.state):
        return []
    await store.raise_heartbeat(snapshot.state.epoch)
    state = leader.run_round(now_ns, snapshot.state, await store.read_reports())
    for name in leader.unknown_servers:
        await store.delete_report(name)
    if state is snapshot.state or not await store.compare_and_swap(snapshot, state):
        return []
    return [entry for entry in state.history if entry[0] > snapshot.state.step]
