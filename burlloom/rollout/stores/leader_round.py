"""One round of a process that may lead: its decisions, and the store's reads and writes.

Servers and `burlloom rollout drive` share it.
"""

from ..leader import RolloutLeader
from .base import RolloutStore, StateSnapshot

__all__ = ["run_leader_round"]


async def run_leader_round(
    leader: RolloutLeader, store: RolloutStore, snapshot: StateSnapshot, now_ns: int
) -> list[tuple[int, str]]:
    """Acquires leadership where nobody has it; where it is ours, decides and writes.

    Args:
        leader: The process's own part in leading.
        store: Where the state is kept.
        snapshot: The state as it was just read.
        now_ns: On a clock that nobody sets.

    Returns:
        The steps that were taken, each with its number; none where another process wrote first,
        and the next round reads anew.

    Raises:
        StoreUnavailableError: The store was lost on the way.
    """
    acquired = leader.acquire_leadership(now_ns, snapshot.state, snapshot.heartbeat)
    if acquired is not None:
        is_written = await store.compare_and_swap(snapshot, acquired)
        return list(acquired.history[-1:]) if is_written else []
    if not leader.is_leader(snapshot.state):
        return []
    await store.heartbeat(snapshot.state.epoch)
    state = leader.run_round(now_ns, snapshot.state, await store.reports())
    for name in leader.unknown_servers:
        await store.forget_report(name)
    if state is snapshot.state or not await store.compare_and_swap(snapshot, state):
        return []
    return [entry for entry in state.history if entry[0] > snapshot.state.step]
