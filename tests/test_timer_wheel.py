"""Tests of the timer wheel."""

from hypothesis import given
from hypothesis import strategies as st

from burlloom.dispatcher.timer_wheel import SLOT_NS, TimerWheel


@given(st.lists(st.tuples(st.integers(0, 60), st.integers(0, 5))))
def test_each_entry_is_removed_once_and_within_a_slot_of_its_time(
    steps: list[tuple[int, int]],
) -> None:
    wheel, now, pending = TimerWheel(), 0, {}
    for number, (delay_sevenths, elapsed_thirds) in enumerate(steps):
        key_digest = number.to_bytes(16, "big")
        wheel.add(key_digest, now + delay_sevenths * SLOT_NS // 7)
        pending[key_digest] = now + delay_sevenths * SLOT_NS // 7
        now += elapsed_thirds * SLOT_NS // 3
        for due_digest in wheel.take_due(now):
            assert pending.pop(due_digest) <= now
        assert all(due_ns > now - SLOT_NS for due_ns in pending.values())
