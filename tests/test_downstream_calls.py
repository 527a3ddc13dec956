"""Tests of the calls that a server makes for its runs: replies, failures, connections, limits."""

import asyncio
from pathlib import Path
from typing import Any

import pytest
from rig import (
    Rig,
    expect_error,
    expect_result,
    wait_until,
    with_server,
    within_timeout,
)

from burlloom.fakes.parts import Catalogue, fields

# Replies of the downstream that prove that the call did not run.
NOT_RUN_REPLIES = [(503, True, b""), (409, True, b"")]
MALFORMED_REPLIES = [
    b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nX: " + b"y" * 20000,
    b"HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nbody",
    b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
]
VALID_REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nwell"
VALID_REPLIES_WITH_SURPLUS = [
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nX: y\r\n\r\n" + VALID_REPLY,
    VALID_REPLY * 2,
    VALID_REPLY + b"\x00\xff",
    VALID_REPLY + b"\r\n\r\nnoise",
]
# Failures after which the call may have run.
UNCERTAIN_REPLIES = [
    *MALFORMED_REPLIES,
    (500, False, b""),
    (504, False, b""),
    (503, False, b""),
    (409, False, b""),
    "close",
    "reset",
    "half",
    "garbage",
]


@pytest.mark.parametrize("request_class", ["look", "pay"])
@pytest.mark.parametrize("reply", NOT_RUN_REPLIES + UNCERTAIN_REPLIES, ids=str)
def test_calls_that_fail(reply: Any, request_class: str, tmp_path: Path) -> None:
    """A keyed request repeats its call only after a reply that proves that the call did not run."""

    async def scenario() -> None:
        async with Rig(tmp_path) as rig:
            balancer = await rig.balancer()
            rig.replies = [reply]
            answer = balancer.ask(
                request_class, fields(**({"once": "k"} if request_class == "pay" else {}))
            )
            id = await rig.command("EXEC", request_class)
            rig.executor.callout(id, b"what")
            if request_class == "look" or reply in NOT_RUN_REPLIES:
                assert await rig.command("RETURN") == id
                assert rig.downstream.calls == [(id, b"what")] * 2
                rig.executor.exit(id, result=b"well")
                await expect_result(answer, b"well")
            else:
                await expect_error(answer, "Voided")
                assert rig.downstream.calls == [(id, b"what")]
                rig.executor.exit(id, "KILLED")

    asyncio.run(scenario())


@with_server()
async def test_valid_replies_with_surplus_bytes(rig: Rig) -> None:
    """Replies with surplus bytes are valid; a connection with bytes after its reply is not reused."""
    balancer = await rig.balancer()
    for count, reply in enumerate([*VALID_REPLIES_WITH_SURPLUS, VALID_REPLIES_WITH_SURPLUS[0]]):
        rig.replies = [reply]
        answer = balancer.ask("look", fields())
        id = await rig.command("EXEC", "look")
        rig.executor.callout(id)
        assert await rig.command("RETURN") == id
        assert rig.executor.bodies[id] == b"well"
        rig.executor.exit(id, result=b"done")
        await expect_result(answer, b"done")
    assert rig.downstream.connection_count == len(VALID_REPLIES_WITH_SURPLUS)


@with_server()
async def test_a_call_that_no_run_waits_for(rig: Rig) -> None:
    """The call is not repeated before the end of its run, which follows the reply, arrives."""
    balancer = await rig.balancer()
    rig.replies = [(409, True, b"")] * 9
    answer = balancer.ask("look", fields())
    id = await rig.command("EXEC", "look")
    rig.executor.callout(id)
    await wait_until(lambda: "outcome=no_longer_needed" in rig.log())
    rig.executor.exit(id, "KILLED")
    await expect_error(answer, "Voided")
    assert len(rig.downstream.calls) == 1


@with_server(n_cores=4)
async def test_the_downstream_is_down_and_its_idle_connections_close(rig: Rig) -> None:
    balancer = await rig.balancer()
    # A call that must not be repeated gets a new connection: the peer may have closed an idle one.
    for request_class, connection_count in (("look", 1), ("look", 1), ("pay", 2), ("pay", 3)):
        answer = balancer.ask(request_class, fields(once=f"k{connection_count}"))
        id = await rig.command("EXEC", request_class)
        rig.executor.callout(id)
        assert await rig.command("RETURN") == id
        rig.executor.exit(id, result=b"paid")
        await expect_result(answer, b"paid")
        assert rig.downstream.connection_count == connection_count
    address = rig.downstream.address
    await rig.downstream.stop()
    answer = balancer.ask("pay", fields(once="k9"))
    id = await rig.command("EXEC", "pay")
    rig.executor.callout(id)
    await wait_until(lambda: "side=downstream reason=connection_refused" in rig.log())
    rig.downstream = await Catalogue(rig.reply).start(address)
    assert await rig.command("RETURN") == id
    rig.executor.exit(id, result=b"paid")
    await expect_result(answer, b"paid")


@with_server(calls_out=1.0, n_cores=4)
async def test_open_calls_stay_within_the_pool(rig: Rig) -> None:
    balancer = await rig.balancer()
    answers = [balancer.ask("look", fields()) for _ in range(4)]
    ids = [await rig.command("EXEC", "look") for _ in answers]
    for id in ids:
        rig.executor.callout(id)
    for _ in answers:
        rig.executor.exit(await rig.command("RETURN"), result=b"well")
    for answer in answers:
        await expect_result(answer, b"well")
    assert rig.downstream.max_open_calls == 1


@with_server(deadline=1000000, aim=900000)
async def test_a_silent_downstream_past_the_timeout(rig: Rig) -> None:
    balancer = await rig.balancer()
    rig.replies = ["silence"]
    answer = balancer.ask("pay", fields(once="k", cost="1"))
    id = await rig.command("EXEC", "pay")
    rig.executor.callout(id)
    await expect_error(answer, "Voided")
    assert await within_timeout(rig.downstream.abandoned_calls.get()) == id
    rig.executor.exit(id, "KILLED")
