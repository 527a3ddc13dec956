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
    taken = lead.take(now, page.book, page.beat)
    if taken is not None:
        return list(taken.notes[-1:]) if await shelf.swap(page, taken) else []
    if not lead.leads(page.book):
        return []
    await shelf.beat(page.book.epoch)
    book = lead.round(now, page.book, await shelf.members())
    for name in lead.strangers:
        await shelf.forget(name)
    if book is page.book or not await shelf.swap(page, book):
        return []
    return [note for note in book.notes if note[0] > page.book.steps]
