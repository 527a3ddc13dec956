"""A round of whoever may lead, between its decisions and the shelf; servers and `burlloom rollout
drive` share it.
"""

from ..leader import RolloutLeader
from .base import RolloutStore, StateSnapshot


async def run_leader_round(
    lead: RolloutLeader, shelf: RolloutStore, page: StateSnapshot, now: int
) -> list[tuple[int, str]]:
    """Takes the lead where nobody has it; where we have it, decides. Gives the steps that were
    taken, in words; none where another wrote before us: the next round looks anew. Raises `Away`.
    """
    taken = lead.acquire_leadership(now, page.state, page.heartbeat)
    if taken is not None:
        return list(taken.history[-1:]) if await shelf.compare_and_swap(page, taken) else []
    if not lead.is_leader(page.state):
        return []
    await shelf.heartbeat(page.state.epoch)
    book = lead.run_round(now, page.state, await shelf.reports())
    for name in lead.unknown_servers:
        await shelf.forget_report(name)
    if book is page.state or not await shelf.compare_and_swap(page, book):
        return []
    return [note for note in book.history if note[0] > page.state.step]
