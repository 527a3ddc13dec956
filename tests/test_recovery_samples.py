"""Tests that a snapshot written by version 0.7.1 is still read, and written byte for byte."""

from pathlib import Path

from burlloom.recovery import RecoverySnapshot, parse_snapshot, serialize_snapshot

SAMPLE = Path(__file__).parent / "data" / "recovery_0_7_1.json"
SNAPSHOT = RecoverySnapshot(
    node="n1",
    incarnation=1_700_000_000_000,
    written_at_ms=1_700_000_060_000,
    record_incarnation=3,
    call_share=2.5,
    was_drained=True,
    peer_addresses=("10.0.0.1:7000", "10.0.0.2:7000"),
)


def test_a_snapshot_of_version_0_7_1_is_read() -> None:
    assert parse_snapshot(SAMPLE.read_text()) == SNAPSHOT


def test_a_snapshot_is_written_as_version_0_7_1_wrote_it() -> None:
    assert serialize_snapshot(SNAPSHOT) == SAMPLE.read_text()
