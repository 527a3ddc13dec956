"""Calls to the downstream dependency: why one was not made, and how long one is waited for.

Inputs: the calls that requests want, how calls end and what they take (ns), the quota. A call waits
while any of these holds, in the order of `may_start_call`:

* the circuit breaker is open, and no trial is due (`circuit_breaker`);
* as many calls are open as the call limit allows (`call_limit`); a call given up stays open
  for its linger, as the dependency may still work on it;
* the quota is under one call, and the pause after the last call is not over: it spreads calls by
  chance, so that servers do not call in step;
* the quota is under one call, and too little of it is left (`call_quota`).

Of the calls that wait, those of requests that cannot do without go first. A request that can do
without skips its call when the circuit breaker is open, when the wait puts its latency objective at
stake, or when the service level says so; the protocol of balancers has no such answer, so on a real
server none is skipped. A call is waited for `TIMEOUT_MULTIPLE` times what calls
take. Reason: calls that are never answered would otherwise hold their places until the deadline.
"""

from collections import OrderedDict
from collections.abc import Callable

from .admission_queue import AdmissionQueue
from .call_limit import CallLimit
from .call_quota import CallQuota
from .circuit_breaker import TRIAL_INTERVAL_NS, CircuitBreaker
from .drain import Drain
from .idempotency import is_idempotent
from .lifecycle import State, TrackedRequest
from .model import Outcome, ServerSettings
from .service_levels import ServiceLevels
from .timing import NS_PER_MS, TIMER_INTERVAL_NS

__all__ = ["DownstreamCalls"]

TIMEOUT_MULTIPLE = 25
SHORTEST_TIMEOUT_NS = 100 * NS_PER_MS
LONGEST_PAUSE_NS = 2 * TRIAL_INTERVAL_NS

PROVES_CALL_DID_NOT_RUN = (Outcome.OVERLOADED, Outcome.UNREACHABLE, Outcome.NO_LONGER_NEEDED)
LEAVES_CALL_LINGERING = (Outcome.TIMED_OUT, Outcome.CONNECTION_LOST, Outcome.ABANDONED)


class DownstreamCalls:
    """Calls that wait, open calls, and the rules for both.

    Attributes:
        queue: requests that wait for their call, by reference.
        lingering_until_ns: for each call given up, until when it counts as open.
        limit: the call limit.
        quota: this server's quota.
        breaker: the circuit breaker.
        has_timed_out_calls: a call timed out since the last timer round.
    """

    __slots__ = (
        "_counts",
        "_drain",
        "_linger_ns",
        "_next_call_at_ns",
        "_admission_queue",
        "_random",
        "_service_levels",
        "breaker",
        "has_timed_out_calls",
        "limit",
        "lingering_until_ns",
        "queue",
        "quota",
    )

    def __init__(
        self,
        settings: ServerSettings,
        counts: list[int],
        admission_queue: AdmissionQueue,
        service_levels: ServiceLevels,
        drain: Drain,
        now: int,
        random: Callable[[], float],
    ) -> None:
        """No call waits, and none is open.

        Args:
            settings: of the server.
            counts: how many requests are in each state, kept by the controller.
            admission_queue: for the jostle timeout.
            service_levels: for calls that are left out.
            drain: for the stop of the server.
            now: the host's clock in ns.
            random: draws from 0 to under 1.
        """
        self._counts = counts
        self._admission_queue = admission_queue
        self._service_levels = service_levels
        self._drain = drain
        self._random = random
        self._linger_ns = settings.abandoned_call_linger_ns
        self._next_call_at_ns = 0
        self.queue: OrderedDict[int, TrackedRequest] = OrderedDict()
        self.lingering_until_ns: list[int] = []
        self.limit = CallLimit(settings)
        self.quota = CallQuota(settings, now, random)
        self.breaker = CircuitBreaker()
        self.has_timed_out_calls = False

    # Open calls.

    def open_count(self, now: int) -> int:
        """The number of open calls at `now` (ns), lingering ones included."""
        self.lingering_until_ns = [until for until in self.lingering_until_ns if until > now]
        return self._counts[State.IN_CALL] + len(self.lingering_until_ns)

    def record_elapsed_time(self, now: int, elapsed_ns: int) -> None:
        """Meters the time that calls spent open up to `now` (ns); with each event."""
        open_count = self._counts[State.IN_CALL] + len(self.lingering_until_ns)
        self.quota.record_open_time(now, elapsed_ns * open_count)

    def leave(self, tracked: TrackedRequest, now: int) -> None:
        """A request leaves its call; the dependency may still work on it."""
        if tracked.last_outcome in LEAVES_CALL_LINGERING:
            self.lingering_until_ns.append(now + self._linger_ns)

    def record_call_end(self, now: int, outcome: Outcome, call_ns: int) -> None:
        """Learns from a call that ended.

        Args:
            now: the host's clock in ns.
            outcome: how it ended.
            call_ns: the time that it took.
        """
        self.breaker.record(now, is_success=outcome is Outcome.OK)
        self.quota.record_call_end(outcome, call_ns)
        # Under one call the limit is a share of time: the next call waits for the rest of it.
        waiting_share = 1 / min(1.0, self.limit.limit) - 1
        pause_ns = 2 * call_ns * self._random() * waiting_share
        self._next_call_at_ns = now + int(min(LONGEST_PAUSE_NS, pause_ns))
        if outcome is Outcome.TIMED_OUT:
            self.has_timed_out_calls = True
        else:
            self.limit.record_call(now, call_ns)

    # Whether and when a call is made.

    def may_start_call(self, now: int) -> bool:
        """Whether one of the calls that wait may be made at `now` (ns)."""
        if self.breaker.blocks_call(now, self._counts[State.IN_CALL]):
            return False
        if self.open_count(now) >= self.limit.max_open_calls():
            return False
        if not self.quota.is_time_share:
            return True
        return now >= self._next_call_at_ns and self.quota.is_enough_for_call(now)

    def next_in_queue(self) -> TrackedRequest:
        """The request whose call is made next; the queue must not be empty."""
        return min(self.queue.values(), key=_can_skip_call)

    def may_skip_call(self, tracked: TrackedRequest, now: int) -> bool:
        """Whether an answer without the call is of some worth."""
        return tracked.request_class.value_share_without_call > 0

    def should_skip_call(self, tracked: TrackedRequest, now: int) -> bool:
        """Whether the call is not worth waiting for any more."""
        return (
            self.breaker.is_open
            or (
                self._admission_queue.is_stale(tracked, now) and now > tracked.early_rejection_at_ns
            )
            or self._service_levels.skips_call(tracked)
        )

    def is_safe_to_retry(self, tracked: TrackedRequest) -> bool:
        """Whether a call that failed may be made again without a second effect."""
        return is_idempotent(tracked) or tracked.last_outcome in PROVES_CALL_DID_NOT_RUN

    def stop_at_ns(self, tracked: TrackedRequest, now: int) -> int:
        """When a call that is made at `now` (ns) is given up."""
        stop_at_ns = min(tracked.deadline_at_ns, self._drain.stop_at_ns) - TIMER_INTERVAL_NS
        if self.quota.is_time_share:
            remaining_ns = int(self.quota.remaining_ns(now))
            stop_at_ns = min(stop_at_ns, now + remaining_ns - self._linger_ns)
        elif self.limit.base_ns and not self.breaker.is_open:
            timeout_ns = int(TIMEOUT_MULTIPLE * self.limit.usual_call_ns(now))
            stop_at_ns = min(stop_at_ns, now + max(SHORTEST_TIMEOUT_NS, timeout_ns))
        return max(stop_at_ns, now + NS_PER_MS)

    # The queue.

    def enqueue(self, tracked: TrackedRequest) -> None:
        """Has a request wait for its call."""
        # Until a call ends well, leaving it abandons it.
        tracked.last_outcome = Outcome.ABANDONED
        self.queue[tracked.request.ref] = tracked

    def set_quota(self, now: int, share: float) -> None:
        """Sets the quota; open calls stay, and none is added past it.

        Args:
            now: the host's clock in ns.
            share: the quota as a mean number of open calls, above 0.
        """
        self.quota.set_share(now, share)
        self.limit.set_most(share)

    def update(self, now: int) -> None:
        """Moves the call limit; once a timer round at `now` (ns)."""
        self.limit.update(now, bool(self.queue))


def _can_skip_call(tracked: TrackedRequest) -> bool:
    return tracked.request_class.value_share_without_call > 0
