"""Tests of the log lines about a stalled event loop."""

import asyncio
import re
import time

import pytest

from burlloom.server.event_loop_monitor import MAX_LATENESS_NS, EventLoopMonitor
from burlloom.time_units import NS_PER_MS, NS_PER_SECOND

STALL_S = 2 * MAX_LATENESS_NS / NS_PER_SECOND
STALL_MS = 2 * MAX_LATENESS_NS // NS_PER_MS


def use_processor(duration_s: float) -> None:
    """Computes until the thread has used this much processor time."""
    end_s = time.thread_time() + duration_s
    while time.thread_time() < end_s:
        pass


def logged_stalls(caplog: pytest.LogCaptureFixture) -> list[tuple[int, int]]:
    """Returns `late_ms` and `processor_ms` of each line."""
    pattern = r"event=event_loop_stalled late_ms=(\d+) processor_ms=(\d+)"
    return [(int(late), int(used)) for late, used in re.findall(pattern, caplog.text)]


async def sleep_while(occupy_loop, duration_s: float) -> None:
    """Has a callback occupy the event loop while the monitor sleeps."""
    asyncio.get_running_loop().call_soon(occupy_loop, duration_s)
    await EventLoopMonitor().sleep_ns(NS_PER_MS)


def test_code_that_holds_the_loop_shows_in_its_processor_time(
    caplog: pytest.LogCaptureFixture,
) -> None:
    asyncio.run(sleep_while(use_processor, STALL_S))
    [(late_ms, processor_ms)] = logged_stalls(caplog)
    assert late_ms >= MAX_LATENESS_NS // NS_PER_MS
    assert processor_ms >= STALL_MS - 1


def test_a_paused_thread_shows_little_processor_time(caplog: pytest.LogCaptureFixture) -> None:
    asyncio.run(sleep_while(time.sleep, STALL_S))
    [(late_ms, processor_ms)] = logged_stalls(caplog)
    assert late_ms >= MAX_LATENESS_NS // NS_PER_MS
    assert processor_ms < late_ms / 2


def test_a_sleep_that_ends_in_time_logs_nothing(caplog: pytest.LogCaptureFixture) -> None:
    asyncio.run(sleep_while(time.sleep, 0.0))
    assert logged_stalls(caplog) == []
