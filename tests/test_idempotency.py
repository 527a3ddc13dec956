"""Tests of the idempotency table."""

from hypothesis import given
from hypothesis import strategies as st

from burlloom.dispatcher.idempotency_table import FORMER_INCARNATION, NO_ORIGINAL, IdempotencyTable
from burlloom.dispatcher.key_digests import PackedKeyDigests
from burlloom.time_units import NS_PER_SECOND

ENDED_KEY, OPEN_KEY, UNKNOWN_KEY = b"a" * 16, b"b" * 16, b"c" * 16


@given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 40), st.integers(0, 9)), max_size=80))
def test_only_expired_keys_are_forgotten(steps: list[tuple[int, int, int]]) -> None:
    table, now, forget_at = IdempotencyTable(3 * NS_PER_SECOND, 0, 1000), 0, {}
    for ref, (key_number, window_quarters, elapsed_fifths) in enumerate(steps):
        key_digest = bytes([key_number]) * 16
        window_end = now + window_quarters * NS_PER_SECOND // 4
        table.claim(key_digest, ref, window_end)
        forget_at[key_digest] = window_end + 3 * NS_PER_SECOND
        now += elapsed_fifths * NS_PER_SECOND // 5
        table.forget_expired(now)
        for known_digest, forget_at_ns in forget_at.items():
            assert (known_digest in table.records) or forget_at_ns <= now
            assert not (known_digest in table.records and forget_at_ns <= now - NS_PER_SECOND)
        assert len(table.digests_by_ref) == len(table.records)


def test_keys_of_previous_incarnations_are_forgotten_after_their_windows() -> None:
    window_end = 10 * NS_PER_SECOND
    table = IdempotencyTable(NS_PER_SECOND, 5, 1000)
    table.restore_ended_keys(PackedKeyDigests([(ENDED_KEY, window_end), (OPEN_KEY, window_end)]))
    table.restore_open_key(OPEN_KEY, window_end, has_ended=True)
    assert table.find_original(ENDED_KEY, window_end + 5) == FORMER_INCARNATION
    assert table.find_original(OPEN_KEY, 9 * NS_PER_SECOND) == FORMER_INCARNATION
    assert table.find_original(ENDED_KEY, window_end + 6) == NO_ORIGINAL
    assert table.find_original(UNKNOWN_KEY, 0) == NO_ORIGINAL
    table.remove(OPEN_KEY)  # the request never ran, so its packed entry must not count either
    assert table.find_original(OPEN_KEY, 9 * NS_PER_SECOND) == NO_ORIGINAL
    table.forget_expired(13 * NS_PER_SECOND)
    assert not len(table.former_digests)
    assert not table.records
