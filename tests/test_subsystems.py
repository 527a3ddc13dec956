"""Tests of the shared metrics exposition, of outcomes, and of files in the format of 0.7.1."""

import json
from pathlib import Path
from typing import Any

import pytest

from burlloom.admission.model import Gauges, Outcome
from burlloom.downstream import CallStatus
from burlloom.executor import RunStatus
from burlloom.levels import DEFAULT_PLAN
from burlloom.operator import Metrics
from burlloom.record.store import StoreRefusedError
from burlloom.server.configuration import ConfigurationError
from burlloom.server.configuration_schema import ConfigurationFault
from burlloom.server.configured_service_levels import ConfiguredServiceLevels
from burlloom.server.level_pin import PinFile, parse_pin
from burlloom.server.metrics_exposition import MetricsExposition
from burlloom.server.outcomes import CALL_OUTCOMES, RUN_OUTCOMES

DATA = Path(__file__).parent / "data"
NOW_NS = 1_700_000_000_000_000_000


class IdleDispatcher:
    """Accepts any service level and reports no load."""

    def set_service_level(self, level: Any) -> None: ...

    def load_signals(self) -> tuple[float, float, float]:
        return 0.0, 0.0, 0.0


class EmptyNotes:
    """A store without a note of a previous incarnation."""

    previous_note = ""

    def write_note(self, text: str) -> None: ...


def test_every_end_of_a_run_has_an_outcome() -> None:
    assert set(RUN_OUTCOMES) == set(RunStatus)
    assert {status for status, outcome in RUN_OUTCOMES.items() if outcome is Outcome.OK} == {
        RunStatus.PASSED
    }


def test_every_end_of_a_call_has_an_outcome_of_its_own() -> None:
    assert set(CALL_OUTCOMES) == set(CallStatus)
    assert len(set(CALL_OUTCOMES.values())) == len(CallStatus)


def test_all_subsystems_that_register_share_one_metrics_file(tmp_path: Path) -> None:
    path = tmp_path / "metrics.prom"
    metrics = MetricsExposition(Metrics(file=str(path)))
    metrics.register("burlloom_first", {"seen": 1}, lambda: {"level": 2.0})
    metrics.register("burlloom_second", lambda: {"seen": 3}, dict)
    metrics.close()
    lines = path.read_text().splitlines()
    assert "burlloom_first_seen_total 1.0" in lines
    assert "burlloom_first_level 2.0" in lines
    assert "burlloom_second_seen_total 3.0" in lines


def test_without_a_registration_no_metrics_file_is_written(tmp_path: Path) -> None:
    path = tmp_path / "metrics.prom"
    MetricsExposition(Metrics(file=str(path))).close()
    assert not path.exists()


def test_the_first_registration_refuses_an_address_that_can_not_be_bound() -> None:
    metrics = MetricsExposition(Metrics(listen="192.0.2.1:1"))
    with pytest.raises(StoreRefusedError, match=r"metrics\.listen: 192\.0\.2\.1:1: "):
        metrics.register("burlloom_first", {"seen": 1}, dict)


def test_a_configuration_error_has_its_place_and_all_faults() -> None:
    faults = [ConfigurationFault("seed", "is missing"), ConfigurationFault("", "is not an object")]
    error = ConfigurationError(place="/etc/server.json", faults=faults)
    assert str(error) == "/etc/server.json: seed: is missing; is not an object"
    assert error.place == "/etc/server.json"
    assert error.faults == tuple(faults)


def test_a_pin_file_of_0_7_1_is_read() -> None:
    text = (DATA / "level_pin_0.7.1.json").read_text()
    pin = parse_pin(text, DEFAULT_PLAN)
    assert (pin.level, pin.until_ns, pin.reason) == ("essential", 1796294029652910103, "drill")


def test_a_pin_is_applied_once_for_each_content_of_its_file(tmp_path: Path) -> None:
    path, pins = tmp_path / "pin", []
    pin_file = PinFile(path, DEFAULT_PLAN)
    pin_file.read_change(NOW_NS, pins.append)
    assert pins == [], "a missing file is no change: there was no pin before"
    path.write_bytes((DATA / "level_pin_0.7.1.json").read_bytes())
    for _ in range(2):
        pin_file.read_change(NOW_NS, pins.append)
    assert [pin.level for pin in pins] == ["essential"]
    path.write_text("{")
    pin_file.read_change(NOW_NS, pins.append)
    assert len(pins) == 1, "a file that can't be parsed leaves the pin in place"
    path.unlink()
    pin_file.read_change(NOW_NS, pins.append)
    assert pins[1:] == [None]


def test_the_levels_state_file_has_the_format_of_0_7_1(tmp_path: Path) -> None:
    path = tmp_path / "state"
    levels = ConfiguredServiceLevels(
        DEFAULT_PLAN, (), {}, 4, lambda: NOW_NS, lambda: 0.1, state_file=path
    )
    levels.attach_dispatcher(IdleDispatcher(), False, EmptyNotes())  # type: ignore[arg-type]
    levels.update(Gauges())
    levels.close()
    assert json.loads(path.read_text()) == json.loads(
        (DATA / "levels_state_0.7.1.json").read_text()
    )
