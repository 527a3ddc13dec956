"""Coming back: what a life left is judged, the ramp is bounded, retries are held, nothing is run
twice. Processes at the end.
"""

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
    RecoveryController,
    RecoveryPolicy,
    RecoverySnapshot,
    RetryBudget,
    SlowStart,
    SnapshotValidity,
    parse_snapshot,
    serialize_snapshot,
    validate_snapshot,
)
from burlloom.recovery.bootstrap import RULES
from burlloom.recovery.slow_start import StepOutcome as Push

MS = 1_000_000
KEPT = RecoverySnapshot("n1", 1000, 5000, 3, 6.5, False, ("10.0.0.1:1", "10.0.0.2:1"))


def test_what_was_kept_is_read_whole_or_not_at_all() -> None:
    text, chance = serialize_snapshot(KEPT), Random(1)
    assert parse_snapshot(text) == KEPT
    assert parse_snapshot(None) is SnapshotValidity.MISSING
    for cut in range(len(text) - 1):
        assert parse_snapshot(text[:cut]) is SnapshotValidity.TORN
    for _ in range(20_000):
        at = chance.randrange(len(text))
        spoilt = text[:at] + chr(chance.randrange(32, 127)) + text[at + 1 :]
        assert parse_snapshot(spoilt) in (KEPT, SnapshotValidity.TORN)
        assert parse_snapshot(spoilt) is SnapshotValidity.TORN or spoilt.split() == text.split()
    for text in ("", "null", "[]", "{}", "[" * 9000, '{"kept": 5, "sum": "x"}'):
        assert parse_snapshot(text) is SnapshotValidity.TORN
    for told, now, verdict in (
        (KEPT, 6000, SnapshotValidity.GOOD),
        (replace(KEPT, node="n2"), 6000, SnapshotValidity.FOREIGN),
        (KEPT, 4999, SnapshotValidity.FUTURE),
        (KEPT, 99_000, SnapshotValidity.OLD),
    ):
        assert validate_snapshot(told, "n1", now, 60_000) is verdict


def test_the_start_walked_whole() -> None:
    """Every sequence of what may be told: what is kept is used only where nothing spoke against it,
    and the fence stands wherever a life is known whose marks may be lost.
    """
    met = set()
    for lonely, clean in product((False, True), repeat=2):
        for told in product(BootstrapEvent, repeat=4):
            start = Bootstrap(lonely, clean, 100)
            for at, what in enumerate(told):
                met.add((start.state, what))
                start.handle(what, at)
            against = {BootstrapEvent.SAID_LATER, BootstrapEvent.SAID_EARLIER}
            if start.uses_snapshot:
                assert (
                    start.state is BootstrapState.WARM
                    and told[0] is BootstrapEvent.KEPT_GOOD
                    or BootstrapEvent.KEPT_GOOD in told
                )
                after = told[told.index(BootstrapEvent.KEPT_GOOD) :]
                assert not against & set(after), told
            if told[0] is BootstrapEvent.KEPT_OLD and not clean:
                assert start.fenced_until_ns >= 100, told
            if told[0] is BootstrapEvent.KEPT_GOOD and (not clean or against & set(told[1:])):
                assert start.fenced_until_ns >= 100, told
            if (
                told[0] is BootstrapEvent.KEPT_BAD
                or told[0] is BootstrapEvent.KEPT_NONE
                and BootstrapEvent.SAID_LIVED in told
            ):
                assert start.fenced_until_ns >= 100, told
            if (
                told[0] is BootstrapEvent.KEPT_GOOD
                and clean
                and not (against | {BootstrapEvent.SAID_LIVED}) & set(told)
            ):
                assert not start.fenced_until_ns
    assert met >= set(RULES)


def test_the_ramp_is_bounded_whatever_comes() -> None:
    """All histories of 11 steps: never past twice for each step, never under the least, never up
    after a push in a step.
    """
    highest = [0.0] * 12
    for told in product(Push, repeat=11):
        ramp = SlowStart(2.0, 1.0, 100, 0)
        for at, what in enumerate(told, 1):
            before = ramp.cap
            ramp.tick(at * 100, what, 64.0)
            if not ramp.is_complete:
                highest[at] = max(highest[at], ramp.cap)
                assert 1.0 <= ramp.cap <= 2.0 * 2**at
                assert ramp.cap <= before or what is Push.WELL
            else:
                assert before >= 64.0 or before == float("inf")
    assert highest[5] == 64.0


def test_retries_are_a_part_of_first_tries() -> None:
    budget, taken = RetryBudget(0.2, 2.0, 2_000_000_000), [0, 0]
    for ms in range(0, 20_000, 10):
        taken[0] += 1
        budget.is_over_budget(ms * MS, False)
        for _ in range(5):
            taken[1] += not budget.is_over_budget(ms * MS, True)
    assert 0.2 * taken[0] <= taken[1] <= 0.25 * taken[0] + 50
    quiet = RetryBudget(0.2, 2.0, 2_000_000_000)
    assert [quiet.is_over_budget(0, True) for _ in range(6)] == [False] * 4 + [True] * 2
    assert not quiet.is_over_budget(4_000_000_000, True)


def test_a_recovery_as_a_whole() -> None:
    def begun(
        found: RecoverySnapshot | SnapshotValidity, lonely: bool = False
    ) -> RecoveryController:
        return RecoveryController(
            RecoveryPolicy(idempotency_window_ns=18_000 * MS), found, "n1", 0, 6000, lonely
        )

    warm, cold = begun(KEPT), begun(SnapshotValidity.MISSING)
    for one in (warm, cold):
        assert one.call_cap == 0
        assert one.tick(0, 10.0, 0.0)
        assert one.call_cap == 2.5
    warm.record_opened(4, 0)
    assert warm.tick(10 * MS, 10.0, 10.0)
    assert warm.call_cap == 3.25
    cold.record_opened(1, 0)
    assert not cold.is_fenced(1)
    assert warm.is_fenced(17_999 * MS)
    assert not warm.is_fenced(18_001 * MS)
    kept = RecoveryController(
        RecoveryPolicy(idempotency_window_ns=18_000 * MS, requires_record=True),
        KEPT,
        "n1",
        0,
        6000,
        False,
    )
    kept.record_opened(4, 0)
    assert not kept.is_fenced(1)
    assert kept.bootstrap.uses_snapshot
    for lost in (3, 1):  # the store counts us as a life that we had before
        again = begun(KEPT)
        again.record_opened(lost, 0)
        again.tick(0, 10.0, 0.0)
        again.tick(10 * MS, 10.0, 10.0)
        assert again.call_cap == 2.5
        assert again.bootstrap.state is BootstrapState.COLD
    cold.peer_reported_incarnation(900, 5)
    assert cold.is_fenced(18_000 * MS)
    assert not cold.is_fenced(18_006 * MS)
    silent = begun(KEPT)
    silent.tick(0, 10.0, 0.0)
    silent.tick(2000 * MS, 10.0, 10.0)
    assert silent.bootstrap.state is BootstrapState.COLD
    assert begun(KEPT, True).bootstrap.state is BootstrapState.ASKING
    at = 0
    while not cold.is_complete:
        at += 500
        for _ in range(5):
            cold.record_call(True)
        cold.tick(at * MS, 10.0, 10.0)
    assert at <= 3000
    assert cold.call_cap == float("inf")
    assert not cold.should_hold_back_retry(at * MS, True)


# On processes.


def coming_back(folder: Path) -> dict[str, Any]:
    return {"recovery": {"state_file": str(folder / "kept"), "step_ms": 200, "ask_ms": 1500}}


def life(server: Server) -> list[str]:
    """What this life's start said."""
    return re.findall(
        r"event=recovery_state_changed (.*)", server.log().rsplit("event=recovery_started ", 1)[-1]
    )


@fleet_test(5, total_calls=30, extra_config=coming_back)
async def test_most_are_killed_at_once_with_their_state_lost(made: Fleet) -> None:
    """Four of five: one's file torn, one's gone, one's put back from an older life, one's as it
    was.
    """
    await made.wait_for(uses_all_calls(made))
    older = made.servers[3]
    shutil.copy(older.folder / "kept", older.folder / "older")
    await older.kill()
    await older.begin()
    await made.wait_for(uses_all_calls(made))
    await asyncio.sleep(1.1)  # each has written its file
    killed = made.servers[1:]
    made.reset_samples()
    await asyncio.gather(*(server.kill() for server in killed))
    torn, gone, older, whole = killed[0], killed[1], made.servers[3], made.servers[4]
    text = (torn.folder / "kept").read_text()
    (torn.folder / "kept").write_text(text[: len(text) // 2])
    (gone.folder / "kept").unlink()
    shutil.copy(older.folder / "older", older.folder / "kept")
    await asyncio.gather(*(server.begin() for server in killed))
    await wait_until(
        lambda: all(
            "event=recovery_state_changed" in server.log().rsplit("event=recovery_started ", 1)[-1]
            for server in killed
        )
    )
    assert made.max_open_calls <= 1.05 * made.total_calls
    for _ in range(40):
        await asyncio.sleep(0.25)
        if made.mean_open_calls >= 0.95 * made.total_calls:
            break
        assert made.max_open_calls <= 1.05 * made.total_calls
        made.reset_samples()
    await made.wait_for(uses_all_calls(made))
    await wait_until(
        lambda: all(
            "event=recovery_completed" in server.log().rsplit("event=recovery_started ", 1)[-1]
            for server in killed
        )
    )
    assert "state_file=torn" in torn.log()
    assert any("input=kept_bad effect=fence state=cold" in said for said in life(torn))
    assert any("input=said_lived effect=fence state=cold" in said for said in life(gone)), life(
        gone
    )
    assert any("input=said_later effect=fence state=cold" in said for said in life(older)), life(
        older
    )
    assert any("input=said_same effect=use state=warm" in said for said in life(whole)), life(whole)


@fleet_test(3, total_calls=24, extra_config=coming_back)
async def test_retries_are_held_and_not_amplified(made: Fleet) -> None:
    """Callers that try again at once and without end, marked: what is read of them is bounded until
    service is back.
    """
    await made.wait_for(uses_all_calls(made))
    server = made.servers[1]
    await server.kill()
    server.max_open_requests = 0
    await server.begin()
    balancer, ran = await server.balancer(), len(server.executor.bodies)
    for _ in range(200):
        balancer.ask("look", fields(retry="1"))
    first = balancer.ask("look", fields())
    await asyncio.wait_for(first, 5)
    await wait_until(lambda: balancer.answer_count >= 150)
    # A few a second and a fifth of the first tries: of 200 in a moment hardly any had to wait for a
    # run.
    assert len(server.executor.bodies) < ran + 40
    server.max_open_requests = 20
    await wait_until(
        lambda: "event=recovery_completed" in server.log().rsplit("event=recovery_started ", 1)[-1]
    )
    await made.wait_for(uses_all_calls(made))
    held = re.findall(r"event=recovery_completed .*held_back=(\d+)", server.log())[-1]
    assert int(held) >= 150


@with_server(
    operator=lambda folder: {
        "record": {"sqlite": {"path": str(folder / "record.db")}},
        **coming_back(folder),
    },
    n_cores=4,
)
async def test_a_lost_record_is_not_taken_for_a_new_one(rig: Rig) -> None:
    """A charge ran; the store that knows is gone: its retry is voided, not run again. With the
    store it is settled.
    """

    async def charge(key: str) -> dict[str, str]:
        told = fields(once=key)
        answer = (await rig.balancer()).ask("pay", told, b"charge")
        rig.executor.exit(await rig.command("EXEC", "pay"), result=b"receipt")
        await expect_result(answer, b"receipt")
        return {**told, "retry": "1"}

    async def again(told: dict[str, str]) -> Any:
        # A try of its own: it comes now, however long the way back took.
        return (await rig.balancer()).ask("pay", fields(once=told["once"], retry="1"), b"charge")

    def of_the_record() -> int:
        kept = (
            parse_snapshot((rig.folder / "kept").read_text())
            if (rig.folder / "kept").exists()
            else None
        )
        return kept.record_incarnation if isinstance(kept, RecoverySnapshot) else 0

    told = await charge("k1")
    await wait_until(lambda: of_the_record() == 1)
    await rig.kill()
    await rig.begin()
    await expect_result(await again(told), b"receipt")
    assert "input=said_same effect=use state=warm" in rig.log()
    await wait_until(
        lambda: of_the_record() == 2
    )  # so that a new store's first life is an earlier one
    await rig.kill()
    for path in rig.folder.glob("record.db*"):
        path.unlink()
    await rig.begin()
    await wait_until(lambda: "input=said_earlier effect=fence state=cold" in rig.log())
    await expect_error(await again(told), "Voided")
    other = (await rig.balancer()).ask(
        "pay", fields(once="k2"), b"charge"
    )  # a first try is as good as ever
    rig.executor.exit(await rig.command("EXEC", "pay"), result=b"second")
    await expect_result(other, b"second")
    assert rig.executor.commands.empty()


@with_server(operator=coming_back, n_cores=4)
async def test_without_a_record_a_crash_leaves_doubt_and_a_drain_none(rig: Rig) -> None:
    told = fields(once="k1")
    answer = (await rig.balancer()).ask("pay", told, b"charge")
    rig.executor.exit(await rig.command("EXEC", "pay"), result=b"receipt")
    await expect_result(answer, b"receipt")
    await wait_until(lambda: (rig.folder / "kept").exists())
    await rig.kill()
    await rig.begin()
    again = fields(once=told["once"], retry="1")
    await expect_error((await rig.balancer()).ask("pay", again, b"charge"), "Voided")
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


def recorded(folder: Path) -> dict[str, Any]:
    return {**coming_back(folder), "record": {"sqlite": {"path": str(folder / "record.db")}}}


@fleet_test(3, total_calls=24, extra_config=recorded)
async def test_charges_through_a_mass_kill(made: Fleet) -> None:
    """Two of three are killed under charges, with one's kept file torn; their callers ask again,
    marked. No charge runs twice, none that ran to its end is declined or answered otherwise, each
    has a final answer.
    """
    runs: dict[bytes, int] = {}
    ended: set[bytes] = set()
    for server in made.servers:
        server.max_open_requests = 5
        told = server.executor.callout

        def begins(
            id: str, body: bytes = b"which", executor: Any = server.executor, told: Any = told
        ) -> None:
            runs[executor.bodies[id]] = runs.get(executor.bodies[id], 0) + 1
            executor.keys = {**getattr(executor, "keys", {}), id: executor.bodies[id]}
            told(id, body)

        def exits(
            id: str, end: str = "PASS", result: bytes = b"", executor: Any = server.executor
        ) -> None:
            key = getattr(executor, "keys", {}).get(id, b"")
            ended.add(key)
            type(executor).exit(executor, id, end, b"receipt " + key)

        server.executor.callout, server.executor.exit = begins, exits  # type: ignore[method-assign]
    await made.wait_for(lambda: made.mean_open_calls > 0)
    asked: list[tuple[Server, dict[str, str], bytes, Any]] = []

    async def charge(server: Server, count: int) -> None:
        balancer = await server.balancer()
        for n in range(count):
            key = f"{server.name}k{n}".encode()
            told = fields(once=key.decode())
            asked.append((server, told, key, balancer.ask("pay", told, key)))
            await asyncio.sleep(0.01)

    await asyncio.gather(*(charge(server, 28) for server in made.servers))
    killed = made.servers[1:]
    await asyncio.gather(*(server.kill() for server in killed))
    (killed[0].folder / "kept").write_text("torn")
    await asyncio.gather(*(server.begin() for server in killed))
    counts = {"settled": 0, "voided": 0}
    balancers: dict[str, Any] = {}
    for server, told, key, first in asked:
        said = None
        if not first.cancelled():
            try:
                said = await asyncio.wait_for(first, 20)
            except asyncio.CancelledError:
                pass
        for _ in range(100):
            if said is not None and (said[0] is None or said[0][0] == "Voided"):
                break
            assert (
                said is None or key not in ended or server not in killed or said[0][0] != "Backoff"
            ), (key, said)
            await asyncio.sleep(0.05)
            again = {**fields(once=told["once"]), "retry": "1"}
            if server.name not in balancers or balancers[server.name].ended.is_set():
                balancers[
                    server.name
                ] = await server.balancer()  # one that says nothing for long is closed
            said = await asyncio.wait_for(balancers[server.name].ask("pay", again, key), 20)
        assert said is not None and (said[0] is None or said[0][0] == "Voided"), (key, said)
        counts["settled" if said[0] is None else "voided"] += 1
        if said[0] is None:
            assert said[1][0] == b"receipt " + key
    assert all(count == 1 for key, count in runs.items() if key), {
        key: count for key, count in runs.items() if count > 1
    }
    assert counts["settled"] > 20 and made.max_open_calls <= 1.05 * made.total_calls, counts


def test_what_was_left_is_shown(tmp_path: Path) -> None:
    path, kept = tmp_path / "operator.jsonnet", tmp_path / "kept"
    path.write_text(json.dumps({"recovery": {"state_file": str(kept)}}))
    told_at = time.time_ns() // MS - 2000
    kept.write_text(serialize_snapshot(replace(KEPT, written_at_ms=told_at)))
    said = burlloom("recovery", "show", "-o", path)
    ago = re.match(r"n1: life 1000, told (\d+\.\d) s ago, ", said)
    assert (
        ago is not None and 2.0 <= float(ago[1]) <= (time.time_ns() // MS - told_at) / 1000 + 0.05
    ), said
    assert "good: peers and the store are asked" in said
    assert "foreign" in burlloom_says("recovery", "show", "-o", path, "--node", "n2")
    kept.write_text(kept.read_text()[:-9])
    assert "torn: a cold start, and the fence" in burlloom_says("recovery", "show", "-o", path)
    for told, fault in (
        ({"state_file": "/none/kept"}, "recovery: state_file: the folder /none does not exist"),
        ({"begin": 0.6}, "recovery: begin_warm 0.5 is under begin, 0.6"),
        ({"fence": "no"}, "recovery.fence: "),
        ({"retries": -1}, "recovery.retries: "),
    ):
        path.write_text(json.dumps({"recovery": told}))
        assert fault in burlloom("check", "-o", path, status=2)


def burlloom_says(*words: Any) -> str:
    """Of a command that ends with status 1, what it prints."""
    done = subprocess.run(
        [sys.executable, "-m", "burlloom.command", *map(str, words)],
        cwd=ROOT,
        text=True,
        capture_output=True,
        timeout=60,
    )
    assert done.returncode == 1, done
    return done.stdout
