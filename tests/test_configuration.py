"""Tests of the server's configuration: what is missing, invalid or of zero length."""

import asyncio
import json
import signal
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from rig import (
    EXAMPLE_CONFIGURATION,
    ROOT,
    Rig,
    expect_error,
    serve_one_request,
    wait_until,
    with_server,
)

from burlloom.fakes.parts import fields


def configuration_text(**changes: Any) -> str:
    """Returns the example configuration with other values of top-level fields."""
    return json.dumps({**EXAMPLE_CONFIGURATION, **changes})


# Contents of a configuration file that end the start; None stands for a missing file.
UNUSABLE_CONFIGURATIONS = [
    None,
    "",
    "[]",
    "{}",
    configuration_text(listen="here"),
    configuration_text(listen="127.0.0.1:TAKEN"),
    configuration_text(settings={}),
    configuration_text(settings={**EXAMPLE_CONFIGURATION["settings"], "categories": []}),
    configuration_text(seed="xyz"),
    configuration_text(seed=7),
    configuration_text(stop_ms="soon"),
    configuration_text(catalog=None),
    json.dumps(
        {key: EXAMPLE_CONFIGURATION[key] for key in EXAMPLE_CONFIGURATION if key != "catalog"}
    ),
]


def configuration_with(path: str, value: Any) -> str:
    """Returns the example configuration with one value replaced, or removed if it is None."""
    configuration = json.loads(json.dumps(EXAMPLE_CONFIGURATION))
    container, *names = configuration, *path.split(".")
    for name in names[:-1]:
        container = container[int(name) if name.isdigit() else name]
    container[names[-1]] = value
    if value is None:
        del container[names[-1]]
    return json.dumps(configuration)


# Path of a setting, which the error must name, and an invalid value; None removes the setting.
INVALID_SETTINGS = [
    ("settings.rules.warm_up", None),
    ("settings.rules.warm_up", -1),
    ("settings.rules.warm_up", 1e300),
    ("settings.rules.cold_from", 1.5),
    ("settings.rules.drain_grace", "soon"),
    ("settings.extra.calls_out", -0.5),
    ("settings.extra.calls_out", float("inf")),
    ("settings.extra.calls_over", float("nan")),
    ("settings.extra.say", "aloud"),
    ("settings.extra.n_cores", 0),
    ("settings.categories.0.aim", 0),
    ("settings.categories.1.deadline", None),
    ("settings.categories.1.idempotency", "perhaps"),
    ("settings.categories.0.name", "pay"),
    ("limits.sockets", 8),
    ("limits.sockets", 100.5),
    ("limits.memory_mb", float("inf")),
    ("naming", "127.0.0.1:70000"),
    ("seed", "0x"),
]


@pytest.mark.parametrize(
    ("path", "value"),
    INVALID_SETTINGS,
    ids=[f"{path}={value}" for path, value in INVALID_SETTINGS],
)
def test_invalid_settings_end_the_start_with_their_place(
    path: str, value: Any, tmp_path: Path
) -> None:
    place = path.replace(".0.", "[0].").replace(".1.", "[1].")
    if path == "settings.categories.0.name":
        place = "settings.categories"
    assert f"{place}: " in expect_refused_start(configuration_with(path, value), tmp_path)


def test_all_faults_of_a_configuration_are_named_at_once(tmp_path: Path) -> None:
    configuration = json.loads(json.dumps(EXAMPLE_CONFIGURATION))
    configuration["seed"] = "q"
    configuration["limits"]["sockets"] = 3
    configuration["settings"]["tenants"] = [{"portion": "all"}, 7]
    del configuration["settings"]["rules"]
    line = expect_refused_start(json.dumps(configuration), tmp_path)
    for place in (
        "seed",
        "limits.sockets",
        "settings.rules",
        "settings.tenants[0].name",
        "settings.tenants[0].portion",
        "settings.tenants[1]",
    ):
        assert f" {place}: " in line, line
    assert line.count(";") == 5


def expect_refused_start(text: str, tmp_path: Path) -> str:
    """Asserts that this configuration ends the start with status 2; returns the error line."""
    path = tmp_path / "configuration.json"
    path.write_text(text)
    done = subprocess.run(
        [sys.executable, "-m", "burlloom.server"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=20,
        env={"EDGE_CONFIG": str(path), "EDGE_LISTEN": "127.0.0.1:0", "PATH": ""},
    )
    assert (done.returncode, done.stdout, done.stderr.count("\n")) == (2, "", 1), done
    return done.stderr


@with_server()
async def test_an_unusable_configuration_at_a_reload_changes_nothing(rig: Rig) -> None:
    for count, (path, value) in enumerate(INVALID_SETTINGS, 1):
        (rig.folder / "configuration.json").write_text(configuration_with(path, value))
        rig.process.send_signal(signal.SIGHUP)
        await wait_until(lambda: rig.log().count("event=reload_failed") == count)
    await serve_one_request(rig, await rig.balancer())


@with_server(warm_up=0, cold_from=0.2)
async def test_a_warm_up_of_zero_length_is_over_at_once(rig: Rig) -> None:
    """The server does not divide by the zero length, and serves after a cold start."""
    rig.executor.restart()
    await rig.kill()
    await rig.begin()
    await serve_one_request(rig, await rig.balancer())
    assert "event=executor_connected cold=True" in rig.log()


@pytest.mark.parametrize("text", UNUSABLE_CONFIGURATIONS, ids=range(len(UNUSABLE_CONFIGURATIONS)))
def test_unusable_configurations_end_the_start(text: str | None, tmp_path: Path) -> None:
    path = tmp_path / "configuration.json"
    with socket.create_server(("127.0.0.1", 0)) as taken:
        if text is not None:
            path.write_text(text.replace("TAKEN", str(taken.getsockname()[1])))
        done = subprocess.run(
            [sys.executable, "-m", "burlloom.server"],
            cwd=ROOT,
            capture_output=True,
            timeout=20,
            env={"EDGE_CONFIG": str(path), "PATH": ""},
        )
    assert (done.returncode, done.stdout, done.stderr.count(b"\n")) == (2, b"", 1), done


def test_a_server_without_a_downstream(tmp_path: Path) -> None:
    """Without `catalog` in its configuration a server starts, serves and reloads.

    A call of a run fails as unreachable.
    """

    async def scenario() -> None:
        rig = Rig(tmp_path, depends_on="off")
        del rig.configuration["catalog"]
        async with rig:
            balancer = await rig.balancer()
            await serve_one_request(rig, balancer)
            answer = balancer.ask("pay", fields(once="k"))
            id = await rig.command("EXEC", "pay")
            rig.reload()
            await wait_until(lambda: "event=reloaded" in rig.log())
            assert " downstream=none " in rig.log()
            rig.executor.callout(id)
            await wait_until(lambda: f"event=call_failed id={id} outcome=unreachable" in rig.log())
            rig.executor.exit(id, "KILLED")
            await expect_error(answer, "Voided")
            assert not rig.downstream.calls

    asyncio.run(scenario())
