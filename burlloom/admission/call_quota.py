"""This server's quota of calls to a dependency that the fleet shares.

Inputs: the quota (a mean number of open calls), the time that calls spent open (ns). Rule: a
quota of one call or more bounds the open calls at each moment, which `CallLimit` does. A quota
under one is a share of time: open calls may use `share * window` ns within any window, and a
call is made only while what is left exceeds what a call needs. The window is the configured one, or
so long that the share holds `LINGERS_IN_QUOTA` times the linger of an abandoned call. Reason: whole
calls by every server at once, or all of them in step, would crowd the dependency.

An incarnation begins as if its share were just used up, but for a part by chance: nobody spends a
whole share at a start, whatever the one before had spent, nor do servers that start together call
in step.
"""

from collections.abc import Callable

from .model import Outcome, ServerSettings
from .sliding_window import SlidingWindowSum

__all__ = ["CallQuota"]

LINGERS_IN_QUOTA = 8
SHORTEST_WINDOW_NS = 10
# One bucket more than a tenth of the window each: never less than the whole window is looked at.
BUCKETS = 11
BUCKETS_IN_WINDOW = 10


class CallQuota:
    """Meters the time of open calls.

    Attributes:
        share: the quota; 0 where there is none.
        is_time_share: whether it is under one call, and thus a share of time.
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
        """Begins to meter.

        Args:
            settings: of the server.
            now: the host's clock in ns.
            random: draws from 0 to under 1.
        """
        self._configured_window_ns = settings.call_quota_window_ns
        self._linger_ns = settings.abandoned_call_linger_ns
        self._random = random
        self.share = settings.call_quota
        self.is_time_share = 0 < self.share < 1
        self._restart_meter(now)

    def set_share(self, now: int, share: float) -> None:
        """Sets the quota, above 0.

        The meter goes on unless the window has become too short for the new share.

        Args:
            now: the host's clock in ns.
            share: the quota as a mean number of open calls.
        """
        self.share = share
        self.is_time_share = 0 < share < 1
        if self.is_time_share and self._quota_ns() < LINGERS_IN_QUOTA * self._linger_ns:
            self._restart_meter(now)

    def record_open_time(self, now: int, time_ns: int) -> None:
        """Adds time that calls spent open up to `now` (ns)."""
        self._open_time_ns.add(now + self._phase_ns, time_ns)

    def record_call_end(self, outcome: Outcome, call_ns: int) -> None:
        """Learns from a call what the next one needs.

        Args:
            outcome: how it ended.
            call_ns: the time that it took.
        """
        if outcome is Outcome.OK:
            needed_ns = self._linger_ns + 2 * call_ns
        elif outcome is Outcome.TIMED_OUT:
            needed_ns = 2 * self._needed_ns
        else:
            return
        self._needed_ns = int(max(2 * self._linger_ns, min(needed_ns, self._quota_ns() / 2)))

    def remaining_ns(self, now: int) -> float:
        """What is left of the quota at `now` (ns), as time of one open call."""
        return self._quota_ns() - self._open_time_ns.total(now + self._phase_ns)

    def is_enough_for_call(self, now: int) -> bool:
        """Whether what is left exceeds what a call needs."""
        return self.remaining_ns(now) > self._needed_ns

    def _quota_ns(self) -> float:
        return self.share * self._window_ns

    def _restart_meter(self, now: int) -> None:
        self._window_ns = max(self._configured_window_ns, SHORTEST_WINDOW_NS)
        self._needed_ns = 2 * self._linger_ns
        self._phase_ns = 0
        if self.is_time_share:
            fitting_ns = int(LINGERS_IN_QUOTA * self._linger_ns / self.share)
            self._window_ns = max(self._window_ns, fitting_ns)
        self._open_time_ns = SlidingWindowSum(
            self._window_ns * BUCKETS // BUCKETS_IN_WINDOW, BUCKETS
        )
        if self.is_time_share:
            self._begin_as_used_up(now)

    def _begin_as_used_up(self, now: int) -> None:
        bucket_ns = self._open_time_ns.bucket_ns
        # At least the whole meter, as the host's clock may begin at 0.
        self._phase_ns = int(bucket_ns * (BUCKETS + self._random()))
        used_ns = (self._quota_ns() - self._needed_ns * self._random()) / BUCKETS
        for buckets_ago in range(BUCKETS - 1, -1, -1):
            self._open_time_ns.add(now + self._phase_ns - buckets_ago * bucket_ns, used_ns)
