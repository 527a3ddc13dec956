"""This server's quota of calls to a dependency that the fleet shares.

Inputs: the quota (a mean number of open calls), for how long calls were open (ns). Rule: a quota of
one call or more limits the number of open calls at any time, which `CallLimit` enforces. A quota
below one is a share of time: open calls may use `share * window` ns within any window, and a call
is made only while more is left than one call needs. The window is the configured one, or longer, so
that the quota holds at least `MIN_LINGERS_PER_QUOTA` times the linger time of an abandoned call.
Reason: whole calls by every server at once, or calls of all servers in step, would congest the
dependency.

An incarnation starts with the quota nearly used up, except for a random part. A server therefore
cannot spend a whole quota at its start, whatever the previous incarnation spent, and servers that
start together do not call in step.
"""

from collections.abc import Callable

from .model import Outcome, ServerSettings
from .sliding_window import SlidingWindowSum

__all__ = ["CallQuota"]

MIN_LINGERS_PER_QUOTA = 8
# Makes every bucket at least 1 ns wide.
MIN_WINDOW_NS = 10
# Each bucket is a tenth of the window. One extra bucket makes the meter cover at least the whole
# window, although the current bucket is only partly filled.
METER_BUCKETS = 11
BUCKETS_PER_WINDOW = 10


class CallQuota:
    """Meters for how long calls are open.

    Attributes:
        share: The quota as a mean number of open calls; 0 without a quota.
        is_time_share: Whether the quota is below one call, and therefore a share of time.
    """

    __slots__ = (
        "_configured_window_ns",
        "_linger_ns",
        "_needed_ns",
        "_phase_ns",
        "_random",
        "_open_time_ns",
        "_window_ns",
        "is_time_share",
        "share",
    )

    _needed_ns: int
    _phase_ns: int
    _open_time_ns: SlidingWindowSum
    _window_ns: int

    def __init__(self, settings: ServerSettings, now: int, random: Callable[[], float]) -> None:
        """Starts the meter.

        Args:
            settings: The server's settings.
            now: The host's clock, in ns.
            random: Returns a draw from 0 to below 1.
        """
        self._configured_window_ns = settings.call_quota_window_ns
        self._linger_ns = settings.abandoned_call_linger_ns
        self._random = random
        self.share = settings.call_quota
        self.is_time_share = 0 < self.share < 1
        self._restart_meter(now)

    def set_share(self, now: int, share: float) -> None:
        """Sets the quota.

        The meter continues unless its window has become too short for the new share.

        Args:
            now: The host's clock, in ns.
            share: The quota as a mean number of open calls, above 0.
        """
        self.share = share
        self.is_time_share = 0 < share < 1
        if self.is_time_share and self._quota_ns() < MIN_LINGERS_PER_QUOTA * self._linger_ns:
            self._restart_meter(now)

    def record_open_time(self, now: int, time_ns: int) -> None:
        """Records `time_ns` of open calls up to `now` (ns)."""
        self._open_time_ns.add(now + self._phase_ns, time_ns)

    def record_call_end(self, outcome: Outcome, call_ns: int) -> None:
        """Updates the estimate of what the next call needs.

        Args:
            outcome: How the call ended.
            call_ns: The duration of the call.
        """
        if outcome is Outcome.OK:
            needed_ns = self._linger_ns + 2 * call_ns
        elif outcome is Outcome.TIMED_OUT:
            needed_ns = 2 * self._needed_ns
        else:
            return
        self._needed_ns = int(max(2 * self._linger_ns, min(needed_ns, self._quota_ns() / 2)))

    def remaining_ns(self, now: int) -> float:
        """Returns what is left of the quota at `now` (ns), as ns of one open call."""
        return self._quota_ns() - self._open_time_ns.total(now + self._phase_ns)

    def is_enough_for_call(self, now: int) -> bool:
        """Returns whether more is left of the quota than one call needs."""
        return self.remaining_ns(now) > self._needed_ns

    def _quota_ns(self) -> float:
        return self.share * self._window_ns

    def _restart_meter(self, now: int) -> None:
        self._window_ns = max(self._configured_window_ns, MIN_WINDOW_NS)
        self._needed_ns = 2 * self._linger_ns
        self._phase_ns = 0
        if self.is_time_share:
            min_window_ns = int(MIN_LINGERS_PER_QUOTA * self._linger_ns / self.share)
            self._window_ns = max(self._window_ns, min_window_ns)
        self._open_time_ns = SlidingWindowSum(
            self._window_ns * METER_BUCKETS // BUCKETS_PER_WINDOW, METER_BUCKETS
        )
        if self.is_time_share:
            self._fill_meter(now)

    def _fill_meter(self, now: int) -> None:
        bucket_ns = self._open_time_ns.bucket_ns
        # At least as long as the whole meter, since the host's clock may start at 0.
        self._phase_ns = int(bucket_ns * (METER_BUCKETS + self._random()))
        used_ns = (self._quota_ns() - self._needed_ns * self._random()) / METER_BUCKETS
        for buckets_ago in range(METER_BUCKETS - 1, -1, -1):
            self._open_time_ns.add(now + self._phase_ns - buckets_ago * bucket_ns, used_ns)
