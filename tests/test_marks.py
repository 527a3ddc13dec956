"""The structures made for marks, against plain ones."""

from hypothesis import given
from hypothesis import strategies as st

from burlloom.dispatcher.ledger import FORMER, Ledger
from burlloom.dispatcher.marks import SLOT, Packed, Wheel

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
    packed = Packed(plain.items())
    assert len(packed) == len(plain)
    assert packed.last == max(plain.values(), default=0)
    for mark in [*plain, *others]:
        assert packed.until(mark) == plain.get(mark, 0)


@given(st.lists(st.tuples(st.integers(0, 60), st.integers(0, 5))))
def test_a_wheel_gives_all_that_is_due_once(story: list[tuple[int, int]]) -> None:
    wheel, now, waiting = Wheel(), 0, {}
    for number, (after, passed) in enumerate(story):
        mark = number.to_bytes(16, "big")
        wheel.add(mark, now + after * SLOT // 7)
        waiting[mark] = now + after * SLOT // 7
        now += passed * SLOT // 3
        for over in wheel.due(now):
            assert waiting.pop(over) <= now
        assert all(at > now - SLOT for at in waiting.values())


@given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 40), st.integers(0, 9)), max_size=80))
def test_the_ledger_forgets_what_is_over_and_nothing_else(
    story: list[tuple[int, int, int]],
) -> None:
    ledger, now, held = Ledger(3 * SLOT, 0, 1000), 0, {}
    for ref, (name, lasts, passed) in enumerate(story):
        mark = bytes([name]) * 16
        ledger.keep(mark, ref, now + lasts * SLOT // 4)
        held[mark] = now + lasts * SLOT // 4 + 3 * SLOT
        now += passed * SLOT // 5
        ledger.sweep(now)
        for mark, until in held.items():
            assert (mark in ledger.records) or until <= now
            assert not (mark in ledger.records and until <= now - SLOT)
        assert len(ledger.marks) == len(ledger.records)


def test_marks_of_former_lives_go_with_their_windows() -> None:
    ledger = Ledger(SLOT, 5, 1000)
    ledger.plant_ended(Packed([(b"a" * 16, 10 * SLOT), (b"b" * 16, 10 * SLOT)]))
    ledger.plant(b"b" * 16, 10 * SLOT, True)
    assert ledger.holder(b"a" * 16, 10 * SLOT + 5) == ledger.holder(b"b" * 16, 9 * SLOT) == FORMER
    assert ledger.holder(b"a" * 16, 10 * SLOT + 6) == ledger.holder(b"c" * 16, 0) == -1
    ledger.drop(b"b" * 16)  # it never ran after all: that it was read back counts no more
    assert ledger.holder(b"b" * 16, 9 * SLOT) == -1
    ledger.sweep(13 * SLOT)
    assert not len(ledger.former)
    assert not ledger.records
