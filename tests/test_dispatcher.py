"""The desk without sockets."""

import asyncio

from rig import GIVEN

from burlloom.admission.model import Gauges
from burlloom.dispatcher import (
    Directive,
    DirectiveKind,
    Dispatcher,
    DrainStarted,
    RequestAttempt,
    RequestSlot,
)
from burlloom.settings import parse_server_settings

SECOND = 1_000_000_000


def test_a_txn_that_is_over_before_its_first_pick_keeps_its_answer() -> None:
    """Hundreds read in one turn of the loop: a timer round released the index before the coroutine
    came to `pick`, which failed; the txn was voided where it had been declined.
    """
    now = [1000 * SECOND]
    known, _ = parse_server_settings(GIVEN["settings"])

    def tried(id: str) -> RequestAttempt:
        return RequestAttempt(id, now[0], "caller", 0, 0, 1.0, 0.5, "", "", b"")

    async def story() -> None:
        desk = Dispatcher(known, ("look", "pay"), 1, lambda: now[0], 100 * SECOND, 1 << 20)
        seats = [desk.submit(tried(f"t{n}")) for n in range(30)]  # some run, some are held
        desk.handle_event(
            DrainStarted(now[0], now[0])
        )  # the held are given up; their answers are not handed out yet
        late = desk.submit(tried("late"))
        assert isinstance(late, RequestSlot)
        assert desk.has_request("late")
        for _ in range(3):
            now[0] += SECOND // 5
            desk.fire_due_timers(Gauges())
        assert not desk.has_request("late")
        assert (await asyncio.wait_for(desk.next_directive(late), 5)).kind is DirectiveKind.REJECT
        assert all(isinstance(seat, RequestSlot | Directive) for seat in seats)

    asyncio.run(story())
