"""The desk without sockets."""

import asyncio

from rig import GIVEN

from burlloom.admission.model import Gauges
from burlloom.dispatcher import Desk, Kind, Leaving, RequestAttempt, Seat, Step
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
        desk = Desk(known, ("look", "pay"), 1, lambda: now[0], 100 * SECOND, 1 << 20)
        seats = [desk.take(tried(f"t{n}")) for n in range(30)]  # some run, some are held
        desk.report(
            Leaving(now[0], now[0])
        )  # the held are given up; their answers are not handed out yet
        late = desk.take(tried("late"))
        assert isinstance(late, Seat)
        assert desk.knows("late")
        for _ in range(3):
            now[0] += SECOND // 5
            desk.tick(Gauges())
        assert not desk.knows("late")
        assert (await asyncio.wait_for(desk.pick(late), 5)).kind is Kind.DECLINE
        assert all(isinstance(seat, Seat | Step) for seat in seats)

    asyncio.run(story())
