"""Stored rollout states and reports, with samples that release 0.7.1 wrote."""

import asyncio
import shutil
from pathlib import Path

import pytest

from burlloom.rollout import (
    SERVERS_GROUP,
    DisruptionBudget,
    Instance,
    InstanceGroup,
    InstanceState,
    Release,
    ReleasePhase,
    RolloutState,
    ServerPhase,
)
from burlloom.rollout.release import OutcomeRates
from burlloom.rollout.stores import StateDecodeError, decode_state, encode_state
from burlloom.rollout.stores.codec import decode_report, encode_report
from burlloom.rollout.stores.sqlite import SqliteRolloutStore

DATA = Path(__file__).parent / "data"


def read_sample(name: str) -> str:
    return (DATA / name).read_text(encoding="utf-8").rstrip("\n")


def test_a_stored_state_is_written_back_with_the_same_text() -> None:
    text = read_sample("rollout_state_0.7.1.json")
    assert encode_state(decode_state(text)) == text


def test_a_stored_report_is_written_back_with_the_same_text() -> None:
    text = read_sample("rollout_report_0.7.1.json")
    assert encode_report(decode_report(text)) == text


def test_each_stored_value_is_decoded_into_its_field() -> None:
    state = decode_state(read_sample("rollout_state_0.7.1.json"))
    assert (state.leader, state.epoch, state.step) == ("n1/1700000000001", 3, 41)
    assert state.stable_version == "v2"
    assert state.release.phase is ReleasePhase.EVALUATING
    assert (state.release.target_version, state.release.previous_version) == ("v3", "v2")
    assert state.release.baseline is not None
    assert state.release.baseline.requests == 4000
    second = state.servers["n2"]
    assert second.state is InstanceState.OUT
    assert second.left_incarnation == second.incarnation == 1700000000002
    assert (second.next_version, second.release_number) == ("v3", 7)
    assert state.groups["db"].instances["10.0.0.1:80"].drain_ticket == 37


def test_the_error_for_an_invalid_field_has_its_stored_name() -> None:
    text = read_sample("rollout_state_0.7.1.json").replace('"moved":7', '"moved":"x"', 1)
    with pytest.raises(StateDecodeError) as raised:
        decode_state(text)
    assert raised.value.field == "groups.servers.units.n1.moved"


def test_an_encoded_state_is_decoded_whole_and_a_truncated_one_is_refused() -> None:
    baseline = OutcomeRates(9 / 11, 1 / 11, 0.0, 11)
    release = Release(1, ReleasePhase.ROLLING, "v2", "v1", waves=(1, 1.0), baseline=baseline)
    servers = {"n1": Instance(InstanceState.OUT, 5, 5, version="v1")}
    groups = {SERVERS_GROUP: InstanceGroup(DisruptionBudget(2), servers)}
    state = RolloutState("n1/5", 3, 9, "v1", release, groups, ((1, "began"),))
    text = encode_state(state)
    decoded = decode_state(text)
    assert decoded == state
    assert [type(wave) for wave in decoded.release.waves] == [int, float]
    for length in range(0, len(text) - 1, 7):
        with pytest.raises(StateDecodeError):
            decode_state(text[:length])


def test_a_state_of_a_newer_format_is_refused() -> None:
    with pytest.raises(StateDecodeError, match="newer program"):
        decode_state(encode_state(RolloutState(format_version=99)))


async def read_and_write_stored_file(tmp_path: Path) -> None:
    shutil.copy(DATA / "rollout_0.7.1.sqlite", tmp_path / "store")
    store = SqliteRolloutStore(tmp_path / "store")
    await store.open()
    try:
        snapshot = await store.read()
        assert encode_state(snapshot.state) == read_sample("rollout_state_0.7.1.json")
        assert snapshot.heartbeat == 1
        (report,) = await store.read_reports()
        assert encode_report(report) == read_sample("rollout_report_0.7.1.json")
        assert report.phase is ServerPhase.LEAVING
        assert await store.compare_and_swap(snapshot, snapshot.state)
    finally:
        await store.close()


def test_a_file_of_an_earlier_release_is_read_and_written(tmp_path: Path) -> None:
    asyncio.run(read_and_write_stored_file(tmp_path))
