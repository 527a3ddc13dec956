"""The timer wheel."""

from hypothesis import given
from hypothesis import strategies as st

from burlloom.dispatcher.timer_wheel import SLOT_NS, TimerWheel


@given(st.lists(st.tuples(st.integers(0, 60), st.integers(0, 5))))
def test_each_entry_is_taken_once_when_it_is_due(steps: list[tuple[int, int]]) -> None:
    wheel, now, waiting = TimerWheel(), 0, {}
    for number, (delay, passed) in enumerate(steps):
        key_digest = number.to_bytes(16, "big")
        wheel.add(key_digest, now + delay * SLOT_NS // 7)
        waiting[key_digest] = now + delay * SLOT_NS // 7
        now += passed * SLOT_NS // 3
        for due in wheel.take_due(now):
            assert waiting.pop(due) <= now
        assert all(due_ns > now - SLOT_NS for due_ns in waiting.values())
