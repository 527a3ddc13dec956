"""The structures made for marks, against plain ones."""

from hypothesis import given
from hypothesis import strategies as st

from burlloom.dispatcher.idempotency import FORMER_INCARNATION, IdempotencyTable
from burlloom.dispatcher.key_digests import SLOT_NS, PackedKeyDigests, TimerWheel

MARKS = st.binary(min_size=16, max_size=16)
# Evenly spread and not at all: the guess may be wrong by any amount, and only costs steps.
LUMPY = st.one_of(
    MARKS,
    st.integers(0, 40).map(lambda n: bytes(15) + bytes([n])),
    st.integers(0, 40).map(lambda n: b"\xff" * 15 + bytes([n])),
)


@given(st.dictionaries(LUMPY, st.integers(1, 1 << 62), max_size=200), st.lists(LUMPY, max_size=40))
def test_packed_marks_are_found_as_in_a_dictionary(
    plain: dict[bytes, int], others: list[bytes]
) -> None:
    packed = PackedKeyDigests(plain.items())
    assert len(packed) == len(plain)
    assert packed.last_window_end_ns == max(plain.values(), default=0)
    for mark in [*plain, *others]:
        assert packed.window_end_ns(mark) == plain.get(mark, 0)


@given(st.lists(st.tuples(st.integers(0, 60), st.integers(0, 5))))
def test_a_wheel_gives_all_that_is_due_once(story: list[tuple[int, int]]) -> None:
    wheel, now, waiting = TimerWheel(), 0, {}
    for number, (after, passed) in enumerate(story):
        mark = number.to_bytes(16, "big")
        wheel.add(mark, now + after * SLOT_NS // 7)
        waiting[mark] = now + after * SLOT_NS // 7
        now += passed * SLOT_NS // 3
        for over in wheel.take_due(now):
            assert waiting.pop(over) <= now
        assert all(at > now - SLOT_NS for at in waiting.values())


@given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 40), st.integers(0, 9)), max_size=80))
def test_the_ledger_forgets_what_is_over_and_nothing_else(
    story: list[tuple[int, int, int]],
) -> None:
    ledger, now, held = IdempotencyTable(3 * SLOT_NS, 0, 1000), 0, {}
    for ref, (name, lasts, passed) in enumerate(story):
        mark = bytes([name]) * 16
        ledger.claim(mark, ref, now + lasts * SLOT_NS // 4)
        held[mark] = now + lasts * SLOT_NS // 4 + 3 * SLOT_NS
        now += passed * SLOT_NS // 5
        ledger.forget_expired(now)
        for mark, until in held.items():
            assert (mark in ledger.records) or until <= now
            assert not (mark in ledger.records and until <= now - SLOT_NS)
        assert len(ledger.digests_by_ref) == len(ledger.records)


def test_marks_of_former_lives_go_with_their_windows() -> None:
    ledger = IdempotencyTable(SLOT_NS, 5, 1000)
    ledger.restore_ended_keys(
        PackedKeyDigests([(b"a" * 16, 10 * SLOT_NS), (b"b" * 16, 10 * SLOT_NS)])
    )
    ledger.restore_open_key(b"b" * 16, 10 * SLOT_NS, True)
    assert (
        ledger.find_original(b"a" * 16, 10 * SLOT_NS + 5)
        == ledger.find_original(b"b" * 16, 9 * SLOT_NS)
        == FORMER_INCARNATION
    )
    assert (
        ledger.find_original(b"a" * 16, 10 * SLOT_NS + 6)
        == ledger.find_original(b"c" * 16, 0)
        == -1
    )
    ledger.remove(b"b" * 16)  # it never ran after all: that it was read back counts no more
    assert ledger.find_original(b"b" * 16, 9 * SLOT_NS) == -1
    ledger.forget_expired(13 * SLOT_NS)
    assert not len(ledger.former_digests)
    assert not ledger.records
