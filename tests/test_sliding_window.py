"""Sums over a sliding window."""

import pytest

from burlloom.admission.sliding_window import SlidingWindowSum

WINDOW_NS = 1000
BUCKET_NS = 100


def test_what_was_added_within_the_window_counts() -> None:
    window = SlidingWindowSum(WINDOW_NS)
    window.add(0, 1)
    window.add(450, 2)
    window.add(999, 4)
    assert window.total(999) == 7


@pytest.mark.parametrize(("now", "total"), [(999, 3), (1000, 2), (1499, 2), (1500, 0)])
def test_a_bucket_leaves_as_a_whole(now: int, total: int) -> None:
    window = SlidingWindowSum(WINDOW_NS)
    window.add(BUCKET_NS - 1, 1)
    window.add(5 * BUCKET_NS, 2)
    assert window.total(now) == total


def test_nothing_is_left_after_a_long_pause() -> None:
    window = SlidingWindowSum(WINDOW_NS)
    window.add(0, 5)
    assert window.total(1_000_000 * WINDOW_NS) == 0


def test_a_time_before_the_newest_bucket_counts_in_that_bucket() -> None:
    window = SlidingWindowSum(WINDOW_NS)
    window.add(5 * BUCKET_NS, 1)
    window.add(0, 2)
    assert window.total(14 * BUCKET_NS) == 3
    assert window.total(15 * BUCKET_NS) == 0


def test_looking_does_not_change_later_sums() -> None:
    looked_at, left_alone = SlidingWindowSum(WINDOW_NS), SlidingWindowSum(WINDOW_NS)
    for now in range(0, 5000, 70):
        looked_at.total(now)
        looked_at.add(now, 0.1)
        left_alone.add(now, 0.1)
        assert looked_at.total(now) == left_alone.total(now)
