"""A recovery snapshot that version 0.7.1 wrote: it is read, and written the same."""

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


def test_the_sample_is_read() -> None:
    assert parse_snapshot(SAMPLE.read_text()) == SNAPSHOT


def test_a_snapshot_is_written_as_the_sample_is() -> None:
    assert serialize_snapshot(SNAPSHOT) == SAMPLE.read_text()
