"""The store of record in the program: killed with SIGKILL at chosen moments, started again, asked
again.
"""

import asyncio
import re
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest
from rig import Rig, expect_error, expect_result, wait_until, within_timeout
from rig import with_server as rig_played

from burlloom.fakes.parts import Executor, fields
from burlloom.fakes.postgres import Postgres


def recorded(folder: Path, **more: Any) -> dict[str, Any]:
    return {"record": {"sqlite": {"path": str(folder / "record.db")}, **more}}


def played(**changes: Any) -> Callable[[Any], Callable[..., None]]:
    return rig_played(operator=recorded, **changes)


@played()
async def test_a_charge_is_known_after_a_crash(rig: Rig) -> None:
    first = (await rig.balancer()).ask("pay", fields(once="k"), b"b")
    rig.executor.exit(await rig.command("EXEC", "pay"), result=b"paid")
    await expect_result(first, b"paid")
    await rig.kill()
    rig.executor.restart()
    await rig.begin()
    balancer = await rig.balancer()
    await expect_result(balancer.ask("pay", fields(once="k", retry="1"), b"b"), b"paid")
    other = balancer.ask("pay", fields(once="k"), b"another")
    rig.executor.exit(await rig.command("EXEC", "pay"), result=b"paid too")
    await expect_result(other, b"paid too")
    assert rig.executor.commands.empty()


def test_metrics_in_a_file_and_on_a_listener(tmp_path: Path) -> None:
    async def play() -> None:
        told = {
            **recorded(tmp_path),
            "metrics": {
                "file": str(tmp_path / "metrics.prom"),
                "every_ms": 100,
                "listen": "127.0.0.1:0",
            },
        }
        async with Rig(tmp_path, operator=told) as rig:
            answer = (await rig.balancer()).ask("pay", fields(once="k"))
            rig.executor.exit(await rig.command("EXEC", "pay"), result=b"paid")
            await expect_result(answer, b"paid")
            await wait_until(
                lambda: "burlloom_record_claims_total 1.0" in read(tmp_path / "metrics.prom")
            )
            host, port = re.findall(r"event=metrics_listening address=(\S+):(\d+)", rig.log())[0]
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /metrics HTTP/1.0\r\n\r\n")
            assert b"burlloom_record_finish_seconds_count 1.0" in await within_timeout(
                reader.read()
            )
            writer.close()
        assert "event=record_stopped claims=1" in rig.log()

    asyncio.run(play())


def read(path: Path) -> str:
    return path.read_text() if path.exists() else ""


@played()
async def test_what_was_begun_and_not_ended_is_in_doubt(rig: Rig) -> None:
    """Neither run again nor declined: nobody can tell whether it ran."""
    (await rig.balancer()).ask("pay", fields(once="k"))
    await rig.command("EXEC", "pay")
    await rig.kill()
    rig.executor.restart()
    await rig.begin()
    await expect_error((await rig.balancer()).ask("pay", fields(once="k", retry="1")), "Voided")
    assert rig.executor.commands.empty()
    assert "event=record_doubts in_doubt=1" in rig.log()


def test_an_executor_that_lived_on_tells_the_end(tmp_path: Path) -> None:
    """What it says in its replay, and what ends only after the start."""

    async def play() -> None:
        rig = Rig(tmp_path, operator=recorded(tmp_path), n_cores=4)
        async with rig:
            balancer = await rig.balancer()
            for once in ("ended", "runs", "never"):
                balancer.ask("pay", fields(once=once))
            ended, runs, never = [await rig.command("EXEC", "pay") for _ in range(3)]
            await rig.kill()
            rig.executor.exit(ended, result=b"paid")
            rig.executor.exit(never, "NOOP")
            await rig.begin()
            balancer = await rig.balancer()
            await expect_result(balancer.ask("pay", fields(once="ended", retry="1")), b"paid")
            waits = balancer.ask("pay", fields(once="runs", retry="1"))
            anew = balancer.ask("pay", fields(once="never", retry="1"))
            id = await rig.command("EXEC", "pay")
            rig.executor.exit(id, result=b"anew")
            await expect_result(anew, b"anew")
            rig.executor.exit(runs, result=b"late")
            await expect_result(waits, b"late")
            assert rig.executor.commands.empty()

    asyncio.run(play())


@played()
async def test_a_second_process_on_the_same_file_is_refused(rig: Rig) -> None:
    other = Rig(rig.folder / "other", operator=rig.operator)
    other.folder.mkdir()
    other.executor = await Executor().start()
    other.told["executor"] = other.executor.address
    other.write_orders()
    other.log_path = other.folder / "log"
    try:
        await other.begin()
    except AssertionError:
        pass
    assert other.process.returncode == 2
    assert "in use by another process (pid " in other.log()
    await wait_until(lambda: not rig.executor.commands.qsize())


# Several nodes, one store.


def looks(standin: Postgres) -> int:
    """How often the store was asked for a mark, and knew what to say."""
    return sum(count for sql, count in standin.executed.items() if "FROM fate WHERE mark =" in sql)


# Where no store hangs by order, none counts as hanging: it is as late as the machine is.
PATIENT: dict[str, Any] = {
    "hang_ms": 60_000,
    "aim": 40_000_000,
    "deadline": 60_000_000,
    "window": 180_000_000,
}


def fleet(
    nodes: int, terms: dict[str, Any] | None = None, hang_ms: int = 400, **changes: Any
) -> Callable[[Any], Callable[[Path], None]]:
    """Makes a test of a story told with several rigs and the database stand-in that they share."""

    def wrap(story: Callable[..., Awaitable[None]]) -> Callable[[Path], None]:
        def test(tmp_path: Path) -> None:
            async def play() -> None:
                (tmp_path / "key").write_text("5a" * 32)
                (tmp_path / "key").chmod(0o600)
                standin = await Postgres(tmp_path).start()
                rigs = []
                for n in range(nodes):
                    folder = tmp_path / f"n{n}"
                    folder.mkdir()
                    store = {
                        "address": standin.address,
                        "key_file": str(tmp_path / "key"),
                        "hang_ms": hang_ms,
                    }
                    rigs.append(
                        Rig(
                            folder,
                            operator={
                                "record": {"node": f"n{n}", "postgres": store, **(terms or {})}
                            },
                            **changes,
                        )
                    )
                try:
                    for rig in rigs:
                        await rig.__aenter__()
                    await story(standin, *rigs)
                    standin.faults.hang = False
                    for rig in rigs:
                        await rig.__aexit__(None)
                finally:
                    await standin.stop()

            asyncio.run(play())

        test.__name__, test.__doc__ = story.__name__, story.__doc__
        return test

    return wrap


@fleet(2, n_cores=4, **PATIENT)
async def test_a_retry_that_reaches_another_node(standin: Postgres, one: Rig, two: Rig) -> None:
    """Ended there: it gets the first answer. Running there: it waits for it. Both run once."""
    here, there = await one.balancer(), await two.balancer()
    first = here.ask("pay", fields(once="k"))
    ran = await one.command("EXEC", "pay")
    before = looks(standin)
    waits = there.ask("pay", fields(once="k", retry="1"))
    await wait_until(lambda: looks(standin) > before)
    one.executor.exit(ran, result=b"paid")
    await expect_result(first, b"paid")
    await expect_result(waits, b"paid")
    await expect_result(there.ask("pay", fields(once="k", retry="1")), b"paid")
    assert two.executor.commands.empty()


@fleet(2, n_cores=1, memory_kb=1000)
async def test_a_retry_is_looked_up_before_it_could_be_declined(
    standin: Postgres, one: Rig, two: Rig
) -> None:
    """There is no room for it there, but it ran: it is settled all the same. One that did not run
    is declined.
    """
    first = (await one.balancer()).ask("pay", fields(once="k"))
    one.executor.exit(await one.command("EXEC", "pay"), result=b"paid")
    await expect_result(first, b"paid")
    there = await two.balancer()
    await expect_error(there.ask("pay", fields(once="other", retry="1", kb="900")), "Backoff")
    await expect_result(there.ask("pay", fields(once="k", retry="1")), b"paid")
    blocking = there.ask("look", fields())
    running = await two.command("EXEC", "look")
    await expect_result(there.ask("pay", fields(once="k", retry="1")), b"paid")
    two.executor.exit(running, result=b"done")
    await expect_result(blocking, b"done")
    assert two.executor.commands.empty()


@fleet(2, n_cores=4, **PATIENT)
async def test_a_node_that_never_ends_it_leaves_its_repeats_voided(
    standin: Postgres, one: Rig, two: Rig
) -> None:
    """While it is there, until their time is over; once it has come back, at once."""
    (await one.balancer()).ask("pay", fields(once="k"))
    await one.command("EXEC", "pay")
    there = await two.balancer()
    before = looks(standin)
    waits = there.ask(
        "pay", fields(once="k", retry="1", at=str(time.time_ns() // 1_000_000 - 56_000))
    )
    await wait_until(lambda: looks(standin) > before + 1)
    assert not waits.done()  # it asks again and again
    await expect_error(waits, "Voided")
    await one.kill()
    one.executor.restart()
    await one.begin()
    await expect_error(there.ask("pay", fields(once="k", retry="1")), "Voided")
    await expect_error((await one.balancer()).ask("pay", fields(once="k", retry="1")), "Voided")
    assert two.executor.commands.empty()
    assert one.executor.commands.empty()


@fleet(2)
async def test_a_fenced_node_runs_no_charge(standin: Postgres, one: Rig, two: Rig) -> None:
    standin.db.execute("UPDATE node SET fenced = 1 WHERE name = 'n0'")
    await expect_error((await one.balancer()).ask("pay", fields(once="k")), "Backoff")
    assert one.executor.commands.empty()
    one.errors = one.log().count("level=error")
    answer = (await two.balancer()).ask("pay", fields(once="k"))
    two.executor.exit(await two.command("EXEC", "pay"), result=b"paid")
    await expect_result(answer, b"paid")


@fleet(1, {"mode": "require", "claim_share": 0.1}, n_cores=4)
async def test_a_store_that_hangs_declines_charges_at_once(standin: Postgres, rig: Rig) -> None:
    """With a time to come back; inquiry-like txns never wait for it; and charges are taken again
    once it is back.
    """
    standin.faults.hang = True
    balancer = await rig.balancer()
    for n in range(8):
        await expect_error(balancer.ask("pay", fields(once=f"k{n}")), "Backoff")
    await wait_until(lambda: "event=record_breaker_opened" in rig.log())
    asked = asyncio.get_running_loop().time()
    await expect_error(balancer.ask("pay", fields(once="later")), "Backoff")
    assert asyncio.get_running_loop().time() - asked < 0.1
    answer = balancer.ask("look", fields())
    rig.executor.exit(await rig.command("EXEC", "look"), result=b"seen")
    await expect_result(answer, b"seen")
    standin.faults.hang = False
    await wait_until(lambda: "event=record_breaker_closed" in rig.log())
    answer = balancer.ask("pay", fields(once="k1"))
    rig.executor.exit(await rig.command("EXEC", "pay"), result=b"paid")
    await expect_result(answer, b"paid")
    assert rig.executor.commands.empty()


@fleet(1, {"mode": "prefer", "claim_share": 0.1}, n_cores=4)
async def test_a_store_that_hangs_is_done_without_where_it_is_only_preferred(
    standin: Postgres, rig: Rig
) -> None:
    standin.faults.hang = True
    balancer = await rig.balancer()
    for n in range(8):
        answer = balancer.ask("pay", fields(once=f"k{n}"))
        rig.executor.exit(await rig.command("EXEC", "pay"), result=b"paid")
        await expect_result(answer, b"paid")
        await expect_result(balancer.ask("pay", fields(once=f"k{n}", retry="1")), b"paid")
    assert rig.executor.commands.empty()


@pytest.mark.parametrize(
    "moment", ["claim-posted", "claim-durable", "executed", "finish-posted", "answering"]
)
@pytest.mark.parametrize("kind", ["sqlite", "postgres"])
def test_killed_at_a_moment_of_a_charge(kind: str, moment: str) -> None:
    """A small seeded part of benchmarks/kill_restart.py; the whole is a measurement."""
    from kill_restart import Session

    session = Session(kind, 11)
    asyncio.run(session.play(2, (moment, "random")))
    assert not session.book.faults
    assert session.book.count["settled"]
