"""Tests of the dispatcher without sockets."""

import asyncio
import gc
import tracemalloc

from rig import EXAMPLE_CONFIGURATION

from burlloom.admission.model import Gauges, Outcome
from burlloom.dispatcher import (
    CallEnded,
    CallRequested,
    Directive,
    DirectiveKind,
    Dispatcher,
    DrainStarted,
    RequestAttempt,
    RequestSlot,
    RunEnded,
)
from burlloom.dispatcher.dispatcher import KEY_BYTES
from burlloom.server.server import max_key_bytes
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


def test_memory_of_keys_stays_in_its_bound() -> None:
    """Guards against picture (b) of issue 59: keyed requests under new names filled the memory."""
    now, keys = [1000 * NS_PER_SECOND], 600
    settings, _ = parse_server_settings(EXAMPLE_CONFIGURATION["settings"])

    async def serve(dispatcher: Dispatcher, number: int) -> bool:
        attempt = RequestAttempt(
            f"{number:016x}",
            now[0],
            f"c{number}",
            1,
            0,
            1.0,
            0.5,
            f"{number:032x}",
            "",
            b"%d" % number,
        )
        slot = dispatcher.submit(attempt)
        if not isinstance(slot, RequestSlot):
            return False
        if (await dispatcher.next_directive(slot)).kind is not DirectiveKind.RUN:
            return False
        dispatcher.handle_event(CallRequested(attempt.id, b"x" * 8000))
        assert (await dispatcher.next_directive(slot)).kind is DirectiveKind.CALL
        dispatcher.handle_event(CallEnded(attempt.id, Outcome.OK, NS_PER_SECOND))
        dispatcher.handle_event(RunEnded(attempt.id, Outcome.OK, NS_PER_SECOND, b""))
        assert (await dispatcher.next_directive(slot)).kind is DirectiveKind.COMPLETE
        return True

    async def scenario() -> None:
        dispatcher = Dispatcher(
            settings,
            ("look", "pay"),
            1,
            lambda: now[0],
            100 * NS_PER_SECOND,
            1 << 20,
            max_key_bytes=keys * KEY_BYTES,
        )
        assert await serve(dispatcher, 0)
        gc.collect()
        tracemalloc.start()
        served = sum([await serve(dispatcher, number) for number in range(1, 2 * keys)])
        for _ in range(2):  # rejected requests are forgotten in the next rounds
            now[0] += NS_PER_SECOND // 5
            dispatcher.fire_due_timers(Gauges())
        gc.collect()
        assert keys // 2 < served <= keys
        assert tracemalloc.get_traced_memory()[0] <= served * KEY_BYTES
        tracemalloc.stop()

    asyncio.run(scenario())


def test_keys_have_a_part_of_the_memory_limit() -> None:
    for memory_mb, max_keys in [(192, 40_960), (64, 8192), (32, 1024), (8, 256)]:
        assert max_key_bytes(memory_mb << 20) == max_keys * KEY_BYTES
