"""Logs when the event loop ran no other task for a long time."""

import logging
import time

from ..sockets import sleep_ns
from ..time_units import NS_PER_MS

log = logging.getLogger(__name__)

# A sleep that ends later than this is logged.
MAX_LATENESS_NS = 250 * NS_PER_MS


class EventLoopMonitor:
    """Sleeps for the main loop, and logs each sleep that ended too late.

    The line has the processor time that the thread of the event loop used meanwhile. If it is
    nearly the lateness, a callback or task of the server held the loop. If it is far less, the
    process was paused or had no processor.
    """

    async def sleep_ns(self, duration_ns: int) -> None:
        """Sleeps for `duration_ns`; a duration of 0 or less yields to the event loop once."""
        due_ns = time.monotonic_ns() + max(0, duration_ns)
        processor_time_ns = time.thread_time_ns()
        await sleep_ns(duration_ns)
        lateness_ns = time.monotonic_ns() - due_ns
        if lateness_ns > MAX_LATENESS_NS:
            log.warning(
                "event=event_loop_stalled late_ms=%d processor_ms=%d",
                lateness_ns // NS_PER_MS,
                (time.thread_time_ns() - processor_time_ns) // NS_PER_MS,
            )
