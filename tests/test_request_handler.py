"""Tests of the request handler's bookkeeping, without sockets."""

import asyncio
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

from burlloom.rpc import IncomingRequest
from burlloom.server.request_handler import RequestHandler
from burlloom.server.started_requests import StartedRequests
from burlloom.sockets import TaskSupervisor


class SlowRecord(SimpleNamespace):
    """A record whose look-ups end when the test says so."""

    is_shared = True

    def __init__(self) -> None:
        self.look_ups: list[asyncio.Future[None]] = []

    def may_claim(self) -> bool:
        return True

    def request_answered(self, request_id: str) -> None:
        pass

    async def look_up(self, *_: Any) -> None:
        self.look_ups.append(asyncio.get_running_loop().create_future())
        await self.look_ups[-1]


def test_an_id_that_comes_again_while_its_first_attempt_is_looked_up() -> None:
    """Guards against picture (c) of issue 59.

    The caller of the first attempt has left. The end of its look-up must dispatch nothing, and must
    not drop the second attempt.
    """
    settings = SimpleNamespace(request_classes=[SimpleNamespace(deadline_ns=1)])
    config: Any = SimpleNamespace(settings=settings, class_names=("pay",))
    first = IncomingRequest(
        None,
        1,
        "pay",
        "id",
        0,
        "1",
        0,
        1.0,
        0.5,
        "key",
        "",
        b"",
        True,  # type: ignore[arg-type]
    )
    second = replace(first, message_id=2)

    async def scenario() -> None:
        handler, record = RequestHandler(config, lambda: 0, TaskSupervisor()), SlowRecord()
        unused: Any = SimpleNamespace()
        levels = SimpleNamespace(count_request=lambda _: False, sampling_draw=lambda _: 0.0)
        recovery = SimpleNamespace(should_reject_retry=lambda _: False)
        subsystems: Any = SimpleNamespace(
            record=record, levels=levels, recovery=recovery, membership=unused, rollout=unused
        )
        handler.connect(subsystems, unused, unused)
        handler.dispatcher = SimpleNamespace(  # type: ignore[assignment]
            has_request=lambda _: False, unknown_key_digest=lambda _: b"digest"
        )
        dispatched: list[IncomingRequest] = []
        handler._dispatch = lambda _, request, __: dispatched.append(request)  # type: ignore[method-assign]
        handler.receive(first)
        await asyncio.sleep(0)
        handler.connection_lost(first)
        assert not handler.is_serving("id")
        handler.receive(second)
        await asyncio.sleep(0)
        for look_up in record.look_ups:
            look_up.set_result(None)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        assert [request.message_id for request in dispatched] == [2]

    asyncio.run(scenario())


def test_started_requests_are_remembered_for_their_time_and_up_to_their_number() -> None:
    started = StartedRequests(retention_ns=100, max_count=3)
    for number in range(3):
        started.add(f"id{number}", 10 * number)
    assert all(f"id{number}" in started for number in range(3))
    started.add("id3", 50)
    assert "id0" not in started and "id1" in started
    started.add("id4", 140)
    assert list(started.started_at_ns) == ["id3", "id4"]
