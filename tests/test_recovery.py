"""Tests of the recovery: snapshots, bootstrap, slow start, retry budget and whole processes."""

import asyncio
import json
import re
import shutil
import signal
import subprocess
import sys
import time
from dataclasses import replace
from itertools import product
from pathlib import Path
from random import Random
from typing import Any

from fleet_rig import Fleet, Server
from rig import ROOT, Rig, expect_error, expect_result, wait_until, with_server
from test_command import burlloom
from test_fleet_processes import fleet_test, uses_all_calls

from burlloom.fakes.parts import fields
from burlloom.recovery import (
    Bootstrap,
    BootstrapEvent,
    BootstrapState,
    CallSlowStart,
    RecoveryController,
    RecoveryPolicy,
    RecoverySnapshot,
    RetryBudget,
    SnapshotValidity,
    parse_snapshot,
    serialize_snapshot,
    validate_snapshot,
)
from burlloom.recovery.bootstrap import RULES
from burlloom.recovery.call_slow_start import StepOutcome
from burlloom.time_units import NS_PER_MS

SNAPSHOT = RecoverySnapshot("n1", 1000, 5000, 3, 6.5, False, ("10.0.0.1:1", "10.0.0.2:1"))


def test_a_damaged_snapshot_is_never_read() -> None:
    text, random = serialize_snapshot(SNAPSHOT), Random(1)
    assert parse_snapshot(text) == SNAPSHOT
    assert parse_snapshot(None) is SnapshotValidity.MISSING
    for cut in range(len(text) - 1):
        assert parse_snapshot(text[:cut]) is SnapshotValidity.TORN
    for _ in range(20_000):
        position = random.randrange(len(text))
        damaged = text[:position] + chr(random.randrange(32, 127)) + text[position + 1 :]
        assert parse_snapshot(damaged) in (SNAPSHOT, SnapshotValidity.TORN)
        assert parse_snapshot(damaged) is SnapshotValidity.TORN or damaged.split() == text.split()
    for text in ("", "null", "[]", "{}", "[" * 9000, '{"kept": 5, "sum": "x"}'):
        assert parse_snapshot(text) is SnapshotValidity.TORN
    for snapshot, now_unix_ms, validity in (
        (SNAPSHOT, 6000, SnapshotValidity.GOOD),
        (replace(SNAPSHOT, node="n2"), 6000, SnapshotValidity.FOREIGN),
        (SNAPSHOT, 4999, SnapshotValidity.FUTURE),
        (SNAPSHOT, 99_000, SnapshotValidity.OLD),
    ):
        assert validate_snapshot(snapshot, "n1", now_unix_ms, 60_000) is validity


def test_all_sequences_of_four_bootstrap_inputs() -> None:
    """The snapshot is used only if no later input contradicts it.

    The fence is raised whenever an incarnation is known whose idempotency keys may be lost.
    """
    visited = set()
    for has_no_verifiers, was_drained in product((False, True), repeat=2):
        for events in product(BootstrapEvent, repeat=4):
            bootstrap = Bootstrap(has_no_verifiers, was_drained, 100)
            for now_ns, event in enumerate(events):
                visited.add((bootstrap.state, event))
                bootstrap.handle(event, now_ns)
            contradictions = {BootstrapEvent.SAID_LATER, BootstrapEvent.SAID_EARLIER}
            if bootstrap.uses_snapshot:
                assert (
                    bootstrap.state is BootstrapState.WARM
                    and events[0] is BootstrapEvent.KEPT_GOOD
                    or BootstrapEvent.KEPT_GOOD in events
                )
                later_events = events[events.index(BootstrapEvent.KEPT_GOOD) :]
                assert not contradictions & set(later_events), events
            if events[0] is BootstrapEvent.KEPT_OLD and not was_drained:
                assert bootstrap.fenced_until_ns >= 100, events
            if events[0] is BootstrapEvent.KEPT_GOOD and (
                not was_drained or contradictions & set(events[1:])
            ):
                assert bootstrap.fenced_until_ns >= 100, events
            if (
                events[0] is BootstrapEvent.KEPT_BAD
                or events[0] is BootstrapEvent.KEPT_NONE
                and BootstrapEvent.SAID_LIVED in events
            ):
                assert bootstrap.fenced_until_ns >= 100, events
            if (
                events[0] is BootstrapEvent.KEPT_GOOD
                and was_drained
                and not (contradictions | {BootstrapEvent.SAID_LIVED}) & set(events)
            ):
                assert not bootstrap.fenced_until_ns
    assert visited >= set(RULES)


def test_the_cap_of_the_slow_start_is_bounded_for_all_outcomes() -> None:
    """Checks all histories of 11 steps.

    The cap at most doubles in each step, stays at or above its lower bound, and rises only after a
    step with successful calls.
    """
    highest_caps = [0.0] * 12
    for outcomes in product(StepOutcome, repeat=11):
        slow_start = CallSlowStart(2.0, 1.0, 100, 0)
        for step, outcome in enumerate(outcomes, 1):
            before = slow_start.cap
            slow_start.tick(step * 100, outcome, 64.0)
            if not slow_start.is_complete:
                highest_caps[step] = max(highest_caps[step], slow_start.cap)
                assert 1.0 <= slow_start.cap <= 2.0 * 2**step
                assert slow_start.cap <= before or outcome is StepOutcome.SUCCEEDED
            else:
                assert before >= 64.0 or before == float("inf")
    assert highest_caps[5] == 64.0


def test_retries_are_limited_to_a_share_of_first_attempts() -> None:
    budget, first_attempts, retries = RetryBudget(0.2, 2.0, 2_000_000_000), 0, 0
    for now_ms in range(0, 20_000, 10):
        first_attempts += 1
        budget.is_over_budget(now_ms * NS_PER_MS, False)
        for _ in range(5):
            retries += not budget.is_over_budget(now_ms * NS_PER_MS, True)
    assert 0.2 * first_attempts <= retries <= 0.25 * first_attempts + 50
    idle_budget = RetryBudget(0.2, 2.0, 2_000_000_000)
    assert [idle_budget.is_over_budget(0, True) for _ in range(6)] == [False] * 4 + [True] * 2
    assert not idle_budget.is_over_budget(4_000_000_000, True)


def test_a_recovery_from_the_start_until_the_cap_is_removed() -> None:
    def make_controller(
        snapshot: RecoverySnapshot | SnapshotValidity, has_no_verifiers: bool = False
    ) -> RecoveryController:
        return RecoveryController(
            RecoveryPolicy(idempotency_window_ns=18_000 * NS_PER_MS),
            snapshot,
            "n1",
            0,
            6000,
            has_no_verifiers,
        )

    warm, cold = make_controller(SNAPSHOT), make_controller(SnapshotValidity.MISSING)
    for controller in (warm, cold):
        assert controller.call_cap == 0
        assert controller.tick(0, 10.0, 0.0)
        assert controller.call_cap == 2.5
    warm.handle_record_opened(4, 0)
    assert warm.tick(10 * NS_PER_MS, 10.0, 10.0)
    assert warm.call_cap == 3.25
    cold.handle_record_opened(1, 0)
    assert not cold.is_fenced(1)
    assert warm.is_fenced(17_999 * NS_PER_MS)
    assert not warm.is_fenced(18_001 * NS_PER_MS)
    with_record = RecoveryController(
        RecoveryPolicy(idempotency_window_ns=18_000 * NS_PER_MS, requires_record=True),
        SNAPSHOT,
        "n1",
        0,
        6000,
        False,
    )
    with_record.handle_record_opened(4, 0)
    assert not with_record.is_fenced(1)
    assert with_record.bootstrap.uses_snapshot
    for earlier in (3, 1):  # the store counts no more incarnations than the snapshot
        contradicted = make_controller(SNAPSHOT)
        contradicted.handle_record_opened(earlier, 0)
        contradicted.tick(0, 10.0, 0.0)
        contradicted.tick(10 * NS_PER_MS, 10.0, 10.0)
        assert contradicted.call_cap == 2.5
        assert contradicted.bootstrap.state is BootstrapState.COLD
    cold.handle_peer_report(900, 5)
    assert cold.is_fenced(18_000 * NS_PER_MS)
    assert not cold.is_fenced(18_006 * NS_PER_MS)
    silent = make_controller(SNAPSHOT)
    silent.tick(0, 10.0, 0.0)
    silent.tick(2000 * NS_PER_MS, 10.0, 10.0)
    assert silent.bootstrap.state is BootstrapState.COLD
    assert make_controller(SNAPSHOT, True).bootstrap.state is BootstrapState.ASKING
    now_ms = 0
    while not cold.is_complete:
        now_ms += 500
        for _ in range(5):
            cold.record_call(True)
        cold.tick(now_ms * NS_PER_MS, 10.0, 10.0)
    assert now_ms <= 3000
    assert cold.call_cap == float("inf")
    assert not cold.should_reject_retry(now_ms * NS_PER_MS, True)


# Tests with server processes.


def with_recovery(folder: Path) -> dict[str, Any]:
    return {"recovery": {"state_file": str(folder / "kept"), "step_ms": 200, "ask_ms": 1500}}


def recovery_changes(server: Server) -> list[str]:
    """Returns the state changes of the recovery that the server's present incarnation logged."""
    return re.findall(
        r"event=recovery_state_changed (.*)", server.log().rsplit("event=recovery_started ", 1)[-1]
    )


@fleet_test(5, total_calls=30, extra_config=with_recovery)
async def test_four_of_five_servers_are_killed_at_once_with_damaged_state_files(
    fleet: Fleet,
) -> None:
    """One state file is torn, one removed, one from an earlier incarnation, and one intact."""
    await fleet.wait_for(uses_all_calls(fleet))
    rolled_back = fleet.servers[3]
    shutil.copy(rolled_back.folder / "kept", rolled_back.folder / "older")
    await rolled_back.kill()
    await rolled_back.begin()
    await fleet.wait_for(uses_all_calls(fleet))
    await asyncio.sleep(1.1)  # each server has written its state file by then
    killed = fleet.servers[1:]
    fleet.reset_samples()
    await asyncio.gather(*(server.kill() for server in killed))
    torn, removed, rolled_back, intact = killed[0], killed[1], fleet.servers[3], fleet.servers[4]
    text = (torn.folder / "kept").read_text()
    (torn.folder / "kept").write_text(text[: len(text) // 2])
    (removed.folder / "kept").unlink()
    shutil.copy(rolled_back.folder / "older", rolled_back.folder / "kept")
    await asyncio.gather(*(server.begin() for server in killed))
    await wait_until(
        lambda: all(
            "event=recovery_state_changed" in server.log().rsplit("event=recovery_started ", 1)[-1]
            for server in killed
        )
    )
    assert fleet.max_open_calls <= 1.05 * fleet.total_calls
    for _ in range(40):
        await asyncio.sleep(0.25)
        if fleet.mean_open_calls >= 0.95 * fleet.total_calls:
            break
        assert fleet.max_open_calls <= 1.05 * fleet.total_calls
        fleet.reset_samples()
    await fleet.wait_for(uses_all_calls(fleet))
    await wait_until(
        lambda: all(
            "event=recovery_completed" in server.log().rsplit("event=recovery_started ", 1)[-1]
            for server in killed
        )
    )
    assert "state_file=torn" in torn.log()
    assert any(
        "input=kept_bad effect=fence state=cold" in change for change in recovery_changes(torn)
    )
    assert any(
        "input=said_lived effect=fence state=cold" in change for change in recovery_changes(removed)
    ), recovery_changes(removed)
    assert any(
        "input=said_later effect=fence state=cold" in change
        for change in recovery_changes(rolled_back)
    ), recovery_changes(rolled_back)
    assert any(
        "input=said_same effect=use state=warm" in change for change in recovery_changes(intact)
    ), recovery_changes(intact)


@fleet_test(3, total_calls=24, extra_config=with_recovery)
async def test_retries_during_the_recovery_are_bounded(fleet: Fleet) -> None:
    """Callers send marked retries without delay; only few of them run before the recovery ends."""
    await fleet.wait_for(uses_all_calls(fleet))
    server = fleet.servers[1]
    await server.kill()
    server.max_open_requests = 0
    await server.begin()
    balancer, runs_before = await server.balancer(), len(server.executor.bodies)
    for _ in range(200):
        balancer.ask("look", fields(retry="1"))
    first_attempt = balancer.ask("look", fields())
    await asyncio.wait_for(first_attempt, 5)
    await wait_until(lambda: balancer.answer_count >= 150)
    # The budget is two retries a second and a fifth of the first attempts, so of 200 retries at once
    # hardly any may run.
    assert len(server.executor.bodies) < runs_before + 40
    server.max_open_requests = 20
    await wait_until(
        lambda: "event=recovery_completed" in server.log().rsplit("event=recovery_started ", 1)[-1]
    )
    await fleet.wait_for(uses_all_calls(fleet))
    held_back = re.findall(r"event=recovery_completed .*held_back=(\d+)", server.log())[-1]
    assert int(held_back) >= 150


@with_server(
    operator=lambda folder: {
        "record": {"sqlite": {"path": str(folder / "record.db")}},
        **with_recovery(folder),
    },
    n_cores=4,
)
async def test_retries_are_voided_after_the_loss_of_the_store_of_record(rig: Rig) -> None:
    """The retry of a charge that ran gets its result from the store.

    If the store is lost, the retry is voided instead of run again.
    """

    async def charge(key: str) -> dict[str, str]:
        request = fields(once=key)
        answer = (await rig.balancer()).ask("pay", request, b"charge")
        rig.executor.exit(await rig.command("EXEC", "pay"), result=b"receipt")
        await expect_result(answer, b"receipt")
        return {**request, "retry": "1"}

    async def send_retry(request: dict[str, str]) -> Any:
        # A new attempt with new times, since the restart may have taken longer than the deadline.
        return (await rig.balancer()).ask("pay", fields(once=request["once"], retry="1"), b"charge")

    def stored_record_incarnation() -> int:
        snapshot = (
            parse_snapshot((rig.folder / "kept").read_text())
            if (rig.folder / "kept").exists()
            else None
        )
        return snapshot.record_incarnation if isinstance(snapshot, RecoverySnapshot) else 0

    request = await charge("k1")
    await wait_until(lambda: stored_record_incarnation() == 1)
    await rig.kill()
    await rig.begin()
    await expect_result(await send_retry(request), b"receipt")
    assert "input=said_same effect=use state=warm" in rig.log()
    # The first incarnation that a new store counts is then earlier than the snapshot's.
    await wait_until(lambda: stored_record_incarnation() == 2)
    await rig.kill()
    for path in rig.folder.glob("record.db*"):
        path.unlink()
    await rig.begin()
    await wait_until(lambda: "input=said_earlier effect=fence state=cold" in rig.log())
    await expect_error(await send_retry(request), "Voided")
    # A first attempt is run as usual.
    other = (await rig.balancer()).ask("pay", fields(once="k2"), b"charge")
    rig.executor.exit(await rig.command("EXEC", "pay"), result=b"second")
    await expect_result(other, b"second")
    assert rig.executor.commands.empty()


@with_server(operator=with_recovery, n_cores=4)
async def test_without_a_record_retries_are_voided_after_a_crash_but_not_after_a_drain(
    rig: Rig,
) -> None:
    request = fields(once="k1")
    answer = (await rig.balancer()).ask("pay", request, b"charge")
    rig.executor.exit(await rig.command("EXEC", "pay"), result=b"receipt")
    await expect_result(answer, b"receipt")
    await wait_until(lambda: (rig.folder / "kept").exists())
    await rig.kill()
    await rig.begin()
    retry = fields(once=request["once"], retry="1")
    await expect_error((await rig.balancer()).ask("pay", retry, b"charge"), "Voided")
    assert rig.executor.commands.empty()
    rig.process.send_signal(signal.SIGTERM)
    for balancer in rig.balancers:
        balancer.close()
    assert await asyncio.wait_for(rig.process.wait(), 20) == 0
    rig.balancers.clear()
    await rig.begin()
    new = (await rig.balancer()).ask("pay", fields(once="k2", retry="1"), b"charge")
    rig.executor.exit(await rig.command("EXEC", "pay"), result=b"taken")
    await expect_result(new, b"taken")


def with_recovery_and_record(folder: Path) -> dict[str, Any]:
    return {**with_recovery(folder), "record": {"sqlite": {"path": str(folder / "record.db")}}}


@fleet_test(3, total_calls=24, extra_config=with_recovery_and_record)
async def test_charges_survive_the_kill_of_two_of_three_servers(fleet: Fleet) -> None:
    """Two servers are killed while charges run, one with a torn state file; callers then retry.

    No charge runs twice, each gets a final answer, and one that ran to its end is neither rejected
    nor answered with another result.
    """
    runs: dict[bytes, int] = {}
    ended: set[bytes] = set()
    for server in fleet.servers:
        server.max_open_requests = 5
        callout = server.executor.callout

        def record_run(
            id: str, body: bytes = b"which", executor: Any = server.executor, callout: Any = callout
        ) -> None:
            runs[executor.bodies[id]] = runs.get(executor.bodies[id], 0) + 1
            executor.keys = {**getattr(executor, "keys", {}), id: executor.bodies[id]}
            callout(id, body)

        def record_end(
            id: str, end: str = "PASS", result: bytes = b"", executor: Any = server.executor
        ) -> None:
            key = getattr(executor, "keys", {}).get(id, b"")
            ended.add(key)
            type(executor).exit(executor, id, end, b"receipt " + key)

        server.executor.callout, server.executor.exit = record_run, record_end  # type: ignore[method-assign]
    await fleet.wait_for(lambda: fleet.mean_open_calls > 0)
    requests: list[tuple[Server, dict[str, str], bytes, Any]] = []

    async def send_charges(server: Server, count: int) -> None:
        balancer = await server.balancer()
        for n in range(count):
            key = f"{server.name}k{n}".encode()
            request = fields(once=key.decode())
            requests.append((server, request, key, balancer.ask("pay", request, key)))
            await asyncio.sleep(0.01)

    await asyncio.gather(*(send_charges(server, 28) for server in fleet.servers))
    killed = fleet.servers[1:]
    await asyncio.gather(*(server.kill() for server in killed))
    (killed[0].folder / "kept").write_text("torn")
    await asyncio.gather(*(server.begin() for server in killed))
    counts = {"settled": 0, "voided": 0}
    balancers: dict[str, Any] = {}
    for server, request, key, first_answer in requests:
        answer = None
        if not first_answer.cancelled():
            try:
                answer = await asyncio.wait_for(first_answer, 20)
            except asyncio.CancelledError:
                pass
        for _ in range(100):
            if answer is not None and (answer[0] is None or answer[0][0] == "Voided"):
                break
            assert (
                answer is None
                or key not in ended
                or server not in killed
                or answer[0][0] != "Backoff"
            ), (key, answer)
            await asyncio.sleep(0.05)
            retry = {**fields(once=request["once"]), "retry": "1"}
            if server.name not in balancers or balancers[server.name].ended.is_set():
                # The server closes a connection that has been idle for long.
                balancers[server.name] = await server.balancer()
            answer = await asyncio.wait_for(balancers[server.name].ask("pay", retry, key), 20)
        assert answer is not None and (answer[0] is None or answer[0][0] == "Voided"), (key, answer)
        counts["settled" if answer[0] is None else "voided"] += 1
        if answer[0] is None:
            assert answer[1][0] == b"receipt " + key
    assert all(count == 1 for key, count in runs.items() if key), {
        key: count for key, count in runs.items() if count > 1
    }
    assert counts["settled"] > 20 and fleet.max_open_calls <= 1.05 * fleet.total_calls, counts


def test_the_recovery_command_shows_the_snapshot(tmp_path: Path) -> None:
    path, state_file = tmp_path / "operator.jsonnet", tmp_path / "kept"
    path.write_text(json.dumps({"recovery": {"state_file": str(state_file)}}))
    written_at_ms = time.time_ns() // NS_PER_MS - 2000
    state_file.write_text(serialize_snapshot(replace(SNAPSHOT, written_at_ms=written_at_ms)))
    output = burlloom("recovery", "show", "-o", path)
    age = re.match(r"n1: life 1000, told (\d+\.\d) s ago, ", output)
    assert (
        age is not None
        and 2.0 <= float(age[1]) <= (time.time_ns() // NS_PER_MS - written_at_ms) / 1000 + 0.05
    ), output
    assert "good: peers and the store are asked" in output
    assert "foreign" in run_failing_burlloom("recovery", "show", "-o", path, "--node", "n2")
    state_file.write_text(state_file.read_text()[:-9])
    assert "torn: a cold start, and the fence" in run_failing_burlloom(
        "recovery", "show", "-o", path
    )
    for part, fault in (
        ({"state_file": "/none/kept"}, "recovery: state_file: the folder /none does not exist"),
        ({"begin": 0.6}, "recovery: begin_warm (0.5) must be at least begin (0.6)"),
        ({"fence": "no"}, "recovery.fence: "),
        ({"retries": -1}, "recovery.retries: "),
    ):
        path.write_text(json.dumps({"recovery": part}))
        assert fault in burlloom("check", "-o", path, status=2)


def run_failing_burlloom(*words: Any) -> str:
    """Runs a command that must exit with status 1; returns its output."""
    process = subprocess.run(
        [sys.executable, "-m", "burlloom.command", *map(str, words)],
        cwd=ROOT,
        text=True,
        capture_output=True,
        timeout=60,
    )
    assert process.returncode == 1, process
    return process.stdout
