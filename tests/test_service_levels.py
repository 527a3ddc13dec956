"""Tests of a server's service levels, and of the operator's commands `levels` and `lab`."""

import asyncio
import json
import sqlite3
from contextlib import closing
from pathlib import Path
from typing import Any

import pytest
from rig import ROOT, Rig, expect_error, expect_result, wait_until, with_server
from test_command import burlloom

from burlloom.fakes.parts import fields

INVALID_LEVELS = {
    "stay_ms": 9000,
    "stay_most_ms": 10,
    "levels": [
        {"name": "normal"},
        {
            "name": "lean",
            "when": {"age": {"enter": 0.1, "leave": 0.2}, "heat": {"leave": 1}},
            "products": ["buy"],
        },
    ],
    "cold": "frozen",
}
# Place and text of each fault that the check must report.
FAULTS_OF_INVALID_LEVELS = (
    ("levels.levels.1 (lean).age", "leave 0.2 must be below enter"),
    ("levels.levels.1 (lean).heat", "unknown signal"),
    ("levels.cold", "unknown level 'frozen'"),
    ("levels.stay_most_ms", "must be at least stay_ms"),
)


def with_level_files(folder: Path) -> dict[str, Any]:
    """Returns an operator's file that enables pins and the state file of the levels."""
    return {"levels": {"pin_file": str(folder / "pin"), "state_file": str(folder / "state")}}


async def levels_command(rig: Rig, *arguments: Any, status: int = 0) -> str:
    """Returns the output of `burlloom levels` for this server."""
    return await asyncio.to_thread(
        burlloom, "levels", *arguments, "-o", rig.folder / "operator.jsonnet", status=status
    )


@with_server(operator=with_level_files, n_cores=4, memory_kb=200000)
async def test_a_server_pinned_to_drain_serves_only_completed_requests(rig: Rig) -> None:
    balancer = await rig.balancer()
    request = fields(once="k1")
    first = balancer.ask("pay", request, b"charge")
    rig.executor.exit(await rig.command("EXEC", "pay"), result=b"receipt")
    await expect_result(first, b"receipt")
    assert "say --force" in await levels_command(rig, "pin", "drain", "--for-s", "60", status=2)
    assert "is none of normal, lean" in await levels_command(
        rig, "pin", "asleep", "--for-s", "60", status=2
    )
    assert "pinned to drain" in await levels_command(
        rig, "pin", "drain", "--for-s", "60", "--force", "--reason", "drill"
    )
    await wait_until(
        lambda: "event=service_level_changed effect=pin from=normal to=drain" in rig.log()
    )
    for request_class in ("look", "pay"):
        key = {"once": "k2"} if request_class == "pay" else {}
        rejection = await expect_error(balancer.ask(request_class, fields(**key)), "Backoff")
        assert rejection["say"] == "1.0000"
        assert rejection["last"] == "1"
        assert int(rejection["after"]) >= 1
    await expect_result(
        balancer.ask("pay", {**request, "id": fields()["id"], "retry": "1"}, b"charge"), b"receipt"
    )
    state = await levels_command(rig, "show")
    assert "* 4 drain" in state
    assert "at drain (pinned)" in state
    assert "at most 4 changes" in state
    assert "pinned: drain (drill)" in await levels_command(rig, "explain")
    assert "released" in await levels_command(rig, "release")
    await wait_until(
        lambda: "event=service_level_changed effect=release from=drain to=highest" in rig.log()
    )
    second = balancer.ask("pay", fields(once="k3"))
    rig.executor.exit(await rig.command("EXEC", "pay"), result=b"second")
    await expect_result(second, b"second")
    assert rig.executor.commands.empty()


@with_server(
    operator=lambda folder: {
        "levels": {
            "kept_ms": {"look": 60000},
            "pin_file": str(folder / "pin"),
            "levels": [
                {"name": "normal"},
                {"name": "kept", "when": {"age": {"enter": 0.9, "leave": 0.1}}, "kept": ["look"]},
            ],
        }
    },
    n_cores=4,
    memory_kb=200000,
)
async def test_cached_results_are_served_only_at_a_level_that_allows_them(rig: Rig) -> None:
    balancer = await rig.balancer()
    for number in range(2):  # at the normal level each request runs
        answer = balancer.ask("look", fields(key="page1"))
        rig.executor.exit(await rig.command("EXEC", "look"), result=b"read %d" % number)
        await expect_result(answer, b"read %d" % number)
    await levels_command(rig, "pin", "kept", "--for-s", "60")
    await wait_until(
        lambda: "event=service_level_changed effect=pin from=normal to=kept" in rig.log()
    )
    await expect_result(balancer.ask("look", fields(key="page1")), b"read 1")
    await expect_error(balancer.ask("look", fields(key="page2")), "Backoff")
    pay = balancer.ask("pay", fields(once="k1"))
    rig.executor.exit(await rig.command("EXEC", "pay"), result=b"receipt")
    await expect_result(pay, b"receipt")
    assert rig.executor.commands.empty()


@with_server(
    operator=lambda folder: {
        **with_level_files(folder),
        "record": {"sqlite": {"path": str(folder / "record.db")}},
    },
    n_cores=4,
)
async def test_a_server_starts_at_the_level_at_which_it_was_killed(rig: Rig) -> None:
    await levels_command(rig, "pin", "essential", "--for-s", "60")
    await wait_until(lambda: "to=essential" in rig.log())

    def is_note_written() -> bool:  # the record writes the note in a separate thread
        with closing(sqlite3.connect(rig.folder / "record.db")) as db:
            return bool(db.execute("SELECT 1 FROM node WHERE note = 'essential'").fetchall())

    await wait_until(is_note_written)
    (rig.folder / "pin").unlink()
    await rig.kill()
    await rig.begin()
    await wait_until(
        lambda: (
            "event=service_levels_started level=essential cold=False previous_level=essential"
            in rig.log()
        )
    )


def test_check_reports_all_faults_of_the_levels(tmp_path: Path) -> None:
    path = tmp_path / "operator.jsonnet"
    path.write_text(json.dumps({"levels": INVALID_LEVELS}))
    lines = burlloom("check", "-o", path, status=2).splitlines()
    for place, fault in FAULTS_OF_INVALID_LEVELS:
        assert any(f"{path}: {place}: " in line and fault in line for line in lines), (place, lines)


def test_check_reports_request_classes_that_are_not_configured(tmp_path: Path) -> None:
    path = tmp_path / "operator.jsonnet"
    path.write_text(json.dumps({"levels": {"kept_ms": {"buy": 5}}}))
    configuration = ROOT / "examples" / "configuration.json"
    output = burlloom("check", "-o", path, "--config", configuration, status=2)
    assert "levels.kept_ms: there is no product 'buy'" in output


def test_try_runs_a_plan_on_a_recorded_series(tmp_path: Path) -> None:
    series, chart = tmp_path / "night.csv", tmp_path / "night.svg"
    rows = [
        f"{at_s},{0.9 if 20 <= at_s < 60 else 0.01},{1.0 if 20 <= at_s < 60 else 0.3}"
        for at_s in range(300)
    ]
    series.write_text("\n".join(["at_s,press,use", *rows]))
    output = burlloom("levels", "try", series, "--chart", chart)
    assert "normal -> lean  by press" in output
    assert "essential -> lean  by calm" in output
    assert "4 changes, at most 2 in a minute" in output
    assert chart.read_text().startswith("<?xml")
    series.write_text("at_s,press\n1,0.5\n1,x\n")
    output = burlloom("levels", "try", series, status=2)
    assert "line 3, press: 'x' is no number" in output
    assert "line 3, at_s: 1 is not after 1" in output


def test_an_experiment_is_run_compared_and_reported(tmp_path: Path) -> None:
    definition = f"(import '{ROOT}/examples/lab/world.libsonnet') + {{ name: 'w', seconds: 4, load: {{ low: 1.2, high: 1.2 }} }}"
    path, results = tmp_path / "tiny.jsonnet", tmp_path / "lab.db"
    path.write_text(f"{{ name: 'tiny', seeds: [1, 2], worlds: [{definition}] }}")
    assert "4 plays" in burlloom("lab", "run", path, "--results", results, "--workers", "2")
    output = burlloom("lab", "compare", "tiny", "--results", results)
    assert "w: levels against none, 2 seeds" in output
    assert "| value |" in output
    burlloom("lab", "report", "tiny", "--results", results, "--to", tmp_path / "report")
    assert "<h2>w: levels against none" in (tmp_path / "report" / "index.html").read_text()
    assert (tmp_path / "report" / "w-levels.svg").exists()
    assert "no plays of 'other'" in burlloom(
        "lab", "compare", "other", "--results", results, status=2
    )
    path.write_text(
        "{ name: 'bad', seeds: [], variants: ['best'], worlds: [{ machines: { count: 0 }, colour: 1, products: [] }] }"
    )
    output = burlloom("lab", "run", path, "--results", results, status=2)
    for place in ("seeds", "worlds.0.machines.count", "worlds.0.colour", "worlds.0.products"):
        assert f"{path}: {place}: " in output, (place, output)


@pytest.mark.parametrize("name", ["sawtooth", "bad-days", "ablations"])
def test_the_example_experiments_are_valid(name: str) -> None:
    from burlloom.lab.experiment import Experiment
    from burlloom.operator.load import evaluate_template, validate

    path = ROOT / "examples" / "lab" / f"{name}.jsonnet"
    assert validate(Experiment, evaluate_template(path), path).name == name
