"""Tests of the dispatcher without sockets."""

import asyncio

from rig import EXAMPLE_CONFIGURATION

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
from burlloom.time_units import NS_PER_SECOND


def test_request_released_before_its_coroutine_starts_still_gets_its_answer() -> None:
    """A rejected request must not fail because it was released early.

    When hundreds of requests are read in one turn of the event loop, timers can fire and release
    a request before its coroutine asks for a directive. That lookup used to fail, so the caller
    got an error in place of the rejection.
    """
    now = [1000 * NS_PER_SECOND]
    settings, _ = parse_server_settings(EXAMPLE_CONFIGURATION["settings"])

    def attempt(request_id: str) -> RequestAttempt:
        return RequestAttempt(request_id, now[0], "caller", 0, 0, 1.0, 0.5, "", "", b"")

    async def scenario() -> None:
        dispatcher = Dispatcher(
            settings, ("look", "pay"), 1, lambda: now[0], 100 * NS_PER_SECOND, 1 << 20
        )
        # Some of the requests run, some are queued. The drain rejects the queued ones; their answers
        # are not delivered yet.
        earlier = [dispatcher.submit(attempt(f"t{n}")) for n in range(30)]
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
        assert all(isinstance(result, RequestSlot | Directive) for result in earlier)

    asyncio.run(scenario())
