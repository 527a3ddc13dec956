"""Tests of the sum over a sliding window."""

import pytest

from burlloom.admission.sliding_window import SlidingWindowSum

WINDOW_NS = 1000
BUCKET_NS = 100


def test_amounts_within_the_window_are_summed() -> None:
    window = SlidingWindowSum(WINDOW_NS)
    window.add(0, 1)
    window.add(450, 2)
    window.add(999, 4)
    assert window.total(999) == 7


@pytest.mark.parametrize(("now", "total"), [(999, 3), (1000, 2), (1499, 2), (1500, 0)])
def test_bucket_expires_as_a_whole(now: int, total: int) -> None:
    window = SlidingWindowSum(WINDOW_NS)
    window.add(BUCKET_NS - 1, 1)
    window.add(5 * BUCKET_NS, 2)
    assert window.total(now) == total


def test_sum_is_zero_after_a_long_pause() -> None:
    window = SlidingWindowSum(WINDOW_NS)
    window.add(0, 5)
    assert window.total(1_000_000 * WINDOW_NS) == 0


def test_earlier_time_is_counted_in_the_newest_bucket() -> None:
    window = SlidingWindowSum(WINDOW_NS)
    window.add(5 * BUCKET_NS, 1)
    window.add(0, 2)
    assert window.total(14 * BUCKET_NS) == 3
    assert window.total(15 * BUCKET_NS) == 0


def test_reading_the_total_does_not_change_later_totals() -> None:
    read_often, read_once = SlidingWindowSum(WINDOW_NS), SlidingWindowSum(WINDOW_NS)
    for now in range(0, 5000, 70):
        read_often.total(now)
        read_often.add(now, 0.1)
        read_once.add(now, 0.1)
        assert read_often.total(now) == read_once.total(now)
