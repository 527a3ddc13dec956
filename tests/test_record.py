"""The record in a server process, which is killed with SIGKILL, restarted, and sent repeats."""

import asyncio
import re
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest
from rig import Rig, expect_error, expect_result, wait_until, with_server, within_timeout

from burlloom.fakes.parts import Executor, fields
from burlloom.fakes.postgres import Postgres


def sqlite_record(folder: Path, **options: Any) -> dict[str, Any]:
    return {"record": {"sqlite": {"path": str(folder / "record.db")}, **options}}


def with_recording_server(**changes: Any) -> Callable[[Any], Callable[..., None]]:
    """Runs a test with a server that keeps an SQLite record."""
    return with_server(operator=sqlite_record, **changes)


@with_recording_server()
async def test_a_result_is_returned_after_a_crash(rig: Rig) -> None:
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


def test_metrics_are_written_to_a_file_and_served(tmp_path: Path) -> None:
    async def run() -> None:
        operator = {
            **sqlite_record(tmp_path),
            "metrics": {
                "file": str(tmp_path / "metrics.prom"),
                "every_ms": 100,
                "listen": "127.0.0.1:0",
            },
        }
        async with Rig(tmp_path, operator=operator) as rig:
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

    asyncio.run(run())


def read(path: Path) -> str:
    return path.read_text() if path.exists() else ""


@with_recording_server()
async def test_a_run_without_a_recorded_end_is_in_doubt_after_a_crash(rig: Rig) -> None:
    """A repeat is neither run nor rejected but fails, as it is unknown whether the request ran."""
    (await rig.balancer()).ask("pay", fields(once="k"))
    await rig.command("EXEC", "pay")
    await rig.kill()
    rig.executor.restart()
    await rig.begin()
    await expect_error((await rig.balancer()).ask("pay", fields(once="k", retry="1")), "Voided")
    assert rig.executor.commands.empty()
    assert "event=record_doubts in_doubt=1" in rig.log()


def test_an_executor_that_survived_reports_the_ends_of_runs(tmp_path: Path) -> None:
    """Some runs ended while the server was down, and one ends after the restart."""

    async def run() -> None:
        rig = Rig(tmp_path, operator=sqlite_record(tmp_path), n_cores=4)
        async with rig:
            balancer = await rig.balancer()
            for key in ("ended", "running", "unstarted"):
                balancer.ask("pay", fields(once=key))
            ended, running, never_ran = [await rig.command("EXEC", "pay") for _ in range(3)]
            await rig.kill()
            rig.executor.exit(ended, result=b"paid")
            rig.executor.exit(never_ran, "NOOP")
            await rig.begin()
            balancer = await rig.balancer()
            await expect_result(balancer.ask("pay", fields(once="ended", retry="1")), b"paid")
            waiting_repeat = balancer.ask("pay", fields(once="running", retry="1"))
            second_run = balancer.ask("pay", fields(once="unstarted", retry="1"))
            id = await rig.command("EXEC", "pay")
            rig.executor.exit(id, result=b"second")
            await expect_result(second_run, b"second")
            rig.executor.exit(running, result=b"late")
            await expect_result(waiting_repeat, b"late")
            assert rig.executor.commands.empty()

    asyncio.run(run())


@with_recording_server()
async def test_a_second_process_on_the_same_file_is_refused(rig: Rig) -> None:
    other = Rig(rig.folder / "other", operator=rig.operator)
    other.folder.mkdir()
    other.executor = await Executor().start()
    other.configuration["executor"] = other.executor.address
    other.write_configuration()
    other.log_path = other.folder / "log"
    try:
        await other.begin()
    except AssertionError:
        pass
    assert other.process.returncode == 2
    assert "in use by another process (pid " in other.log()
    await wait_until(lambda: not rig.executor.commands.qsize())


# Several nodes with one PostgreSQL database.


def count_row_reads(standin: Postgres) -> int:
    """Returns how often a node has read a single row from the database."""
    return sum(count for sql, count in standin.executed.items() if "FROM fate WHERE mark =" in sql)


# Timeouts of seconds to minutes, for tests without a hanging store: a slow machine must not be taken
# for one.
LONG_TIMEOUTS: dict[str, Any] = {
    "hang_ms": 60_000,
    "aim": 40_000_000,
    "deadline": 60_000_000,
    "window": 180_000_000,
}


def with_shared_record(
    nodes: int, record_options: dict[str, Any] | None = None, hang_ms: int = 400, **changes: Any
) -> Callable[[Any], Callable[[Path], None]]:
    """Runs a test with several servers that share one stand-in PostgreSQL server."""

    def wrap(scenario: Callable[..., Awaitable[None]]) -> Callable[[Path], None]:
        def test(tmp_path: Path) -> None:
            async def run() -> None:
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
                                "record": {
                                    "node": f"n{n}",
                                    "postgres": store,
                                    **(record_options or {}),
                                }
                            },
                            **changes,
                        )
                    )
                try:
                    for rig in rigs:
                        await rig.__aenter__()
                    await scenario(standin, *rigs)
                    standin.faults.hang = False
                    for rig in rigs:
                        await rig.__aexit__(None)
                finally:
                    await standin.stop()

            asyncio.run(run())

        test.__name__, test.__doc__ = scenario.__name__, scenario.__doc__
        return test

    return wrap


@with_shared_record(2, n_cores=4, **LONG_TIMEOUTS)
async def test_a_retry_at_another_node_gets_the_first_result(
    standin: Postgres, first_node: Rig, second_node: Rig
) -> None:
    """A retry during the run waits for its end; a retry after the end is answered at once."""
    first_caller, second_caller = await first_node.balancer(), await second_node.balancer()
    first = first_caller.ask("pay", fields(once="k"))
    run_id = await first_node.command("EXEC", "pay")
    reads_before = count_row_reads(standin)
    waiting_retry = second_caller.ask("pay", fields(once="k", retry="1"))
    await wait_until(lambda: count_row_reads(standin) > reads_before)
    first_node.executor.exit(run_id, result=b"paid")
    await expect_result(first, b"paid")
    await expect_result(waiting_retry, b"paid")
    await expect_result(second_caller.ask("pay", fields(once="k", retry="1")), b"paid")
    assert second_node.executor.commands.empty()


@with_shared_record(2, n_cores=1, memory_kb=1000)
async def test_a_retry_is_looked_up_before_admission(
    standin: Postgres, first_node: Rig, second_node: Rig
) -> None:
    """A node without capacity still answers a retry whose request ran elsewhere. A marked retry of a
    request that did not run is rejected.
    """
    first = (await first_node.balancer()).ask("pay", fields(once="k"))
    first_node.executor.exit(await first_node.command("EXEC", "pay"), result=b"paid")
    await expect_result(first, b"paid")
    second_caller = await second_node.balancer()
    await expect_error(
        second_caller.ask("pay", fields(once="other", retry="1", kb="900")), "Backoff"
    )
    await expect_result(second_caller.ask("pay", fields(once="k", retry="1")), b"paid")
    blocking = second_caller.ask("look", fields())
    running = await second_node.command("EXEC", "look")
    await expect_result(second_caller.ask("pay", fields(once="k", retry="1")), b"paid")
    second_node.executor.exit(running, result=b"done")
    await expect_result(blocking, b"done")
    assert second_node.executor.commands.empty()


@with_shared_record(2, n_cores=4, **LONG_TIMEOUTS)
async def test_retries_of_a_run_that_never_ends_at_another_node_fail(
    standin: Postgres, first_node: Rig, second_node: Rig
) -> None:
    """They fail at their deadlines while that node is up, and at once after it has restarted."""
    (await first_node.balancer()).ask("pay", fields(once="k"))
    await first_node.command("EXEC", "pay")
    second_caller = await second_node.balancer()
    reads_before = count_row_reads(standin)
    waiting_retry = second_caller.ask(
        "pay", fields(once="k", retry="1", at=str(time.time_ns() // 1_000_000 - 56_000))
    )
    await wait_until(lambda: count_row_reads(standin) > reads_before + 1)
    assert not waiting_retry.done()  # the node polls the store until the deadline
    await expect_error(waiting_retry, "Voided")
    await first_node.kill()
    first_node.executor.restart()
    await first_node.begin()
    await expect_error(second_caller.ask("pay", fields(once="k", retry="1")), "Voided")
    await expect_error(
        (await first_node.balancer()).ask("pay", fields(once="k", retry="1")), "Voided"
    )
    assert second_node.executor.commands.empty()
    assert first_node.executor.commands.empty()


@with_shared_record(2)
async def test_a_fenced_node_rejects_keyed_requests(
    standin: Postgres, first_node: Rig, second_node: Rig
) -> None:
    standin.db.execute("UPDATE node SET fenced = 1 WHERE name = 'n0'")
    await expect_error((await first_node.balancer()).ask("pay", fields(once="k")), "Backoff")
    assert first_node.executor.commands.empty()
    first_node.expected_error_count = first_node.log().count("level=error")
    answer = (await second_node.balancer()).ask("pay", fields(once="k"))
    second_node.executor.exit(await second_node.command("EXEC", "pay"), result=b"paid")
    await expect_result(answer, b"paid")


@with_shared_record(1, {"mode": "require", "claim_share": 0.1}, n_cores=4)
async def test_keyed_requests_are_rejected_at_once_while_the_store_hangs(
    standin: Postgres, rig: Rig
) -> None:
    """The rejections carry a retry time, requests without a key are served, and keyed requests are
    served again after the store has recovered.
    """
    standin.faults.hang = True
    balancer = await rig.balancer()
    for n in range(8):
        await expect_error(balancer.ask("pay", fields(once=f"k{n}")), "Backoff")
    await wait_until(lambda: "event=record_breaker_opened" in rig.log())
    asked_at_s = asyncio.get_running_loop().time()
    await expect_error(balancer.ask("pay", fields(once="later")), "Backoff")
    assert asyncio.get_running_loop().time() - asked_at_s < 0.1
    answer = balancer.ask("look", fields())
    rig.executor.exit(await rig.command("EXEC", "look"), result=b"seen")
    await expect_result(answer, b"seen")
    standin.faults.hang = False
    await wait_until(lambda: "event=record_breaker_closed" in rig.log())
    answer = balancer.ask("pay", fields(once="k1"))
    rig.executor.exit(await rig.command("EXEC", "pay"), result=b"paid")
    await expect_result(answer, b"paid")
    assert rig.executor.commands.empty()


@with_shared_record(1, {"mode": "prefer", "claim_share": 0.1}, n_cores=4)
async def test_keyed_requests_run_unrecorded_in_mode_prefer_while_the_store_hangs(
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
    "failpoint", ["claim-posted", "claim-durable", "executed", "finish-posted", "answering"]
)
@pytest.mark.parametrize("kind", ["sqlite", "postgres"])
def test_no_request_runs_twice_after_a_kill_at_a_failpoint(kind: str, failpoint: str) -> None:
    """Runs a short seeded session of benchmarks/kill_restart.py, whose full run is a measurement."""
    from kill_restart import Session

    session = Session(kind, 11)
    asyncio.run(session.run(2, (failpoint, "random")))
    assert not session.checker.faults
    assert session.checker.count["settled"]
