"""The dispatcher without sockets."""

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
from burlloom.sockets import NS_PER_SECOND


def test_a_request_released_before_its_coroutine_starts_keeps_its_answer() -> None:
    """Hundreds are read in one turn of the event loop.

    Timers fired and released the request before its coroutine asked for a directive, which failed:
    the request failed where it had been rejected.
    """
    now = [1000 * NS_PER_SECOND]
    settings, _ = parse_server_settings(GIVEN["settings"])

    def attempt(request_id: str) -> RequestAttempt:
        return RequestAttempt(request_id, now[0], "caller", 0, 0, 1.0, 0.5, "", "", b"")

    async def scenario() -> None:
        dispatcher = Dispatcher(
            settings, ("look", "pay"), 1, lambda: now[0], 100 * NS_PER_SECOND, 1 << 20
        )
        # Some run, some are queued. The drain gives the queued up; their answers are not
        # delivered yet.
        taken = [dispatcher.submit(attempt(f"t{n}")) for n in range(30)]
        dispatcher.handle_event(DrainStarted(now[0], now[0]))
        late = dispatcher.submit(attempt("late"))
        assert isinstance(late, RequestSlot)
        assert dispatcher.has_request("late")
        for _ in range(3):
            now[0] += NS_PER_SECOND // 5
            dispatcher.fire_due_timers(Gauges())
        assert not dispatcher.has_request("late")
        directive = await asyncio.wait_for(dispatcher.next_directive(late), 5)
        assert directive.kind is DirectiveKind.REJECT
        assert all(isinstance(one, RequestSlot | Directive) for one in taken)

    asyncio.run(scenario())
