"""Calls to the downstream dependency: when one is made, and how long its result is awaited.

Inputs: the calls that requests ask for, how calls end and how long they take (ns), the quota. A
call waits while any of these conditions holds; `may_start_call` checks them in this order:

* The circuit breaker is open, and no trial is due (`circuit_breaker`).
* As many calls are open as the call limit allows (`call_limit`). An abandoned call counts as open
  for its linger time, as the dependency may still process it.
* The quota is below one call, and the pause after the last call is not over. The length of the
  pause is random, so that servers do not call in step.
* The quota is below one call, and too little of it is left (`call_quota`).

Of the waiting calls, those of requests that need their call for an answer go first. A request that
can be answered without its call skips the call when the circuit breaker is open, when waiting
endangers its latency objective, or when the service level says so. The balancers' protocol has no
answer without the call, so a real server never skips one. A call is awaited for
`CALL_TIMEOUT_MULTIPLE` times the expected duration. Reason: calls that are never answered would
otherwise occupy their slots until the request's deadline.
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

CALL_TIMEOUT_MULTIPLE = 25
MIN_CALL_TIMEOUT_NS = 100 * NS_PER_MS
# The longest pause between two calls when the quota is below one call.
MAX_PAUSE_NS = 2 * TRIAL_INTERVAL_NS

OUTCOMES_OF_UNEXECUTED_CALLS = (Outcome.OVERLOADED, Outcome.UNREACHABLE, Outcome.NO_LONGER_NEEDED)
OUTCOMES_OF_LINGERING_CALLS = (Outcome.TIMED_OUT, Outcome.CONNECTION_LOST, Outcome.ABANDONED)


class DownstreamCalls:
    """The waiting and the open calls, and the rules for both.

    Attributes:
        queue: The requests that wait for their call, by reference.
        lingering_until_ns: For each abandoned call, until when it counts as open.
        limit: The call limit.
        quota: This server's quota.
        breaker: The circuit breaker.
        has_timed_out_calls: Whether a call timed out since the last timer round.
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
        """Starts with no waiting and no open call.

        Args:
            settings: The server's settings.
            counts: The number of requests in each state, maintained by the controller.
            admission_queue: Tells whether a request has waited longer than the jostle timeout.
            service_levels: Tells which calls are skipped.
            drain: Tells when the server stops.
            now: The host's clock, in ns.
            random: Returns a draw from 0 to below 1.
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

    def count_open(self, now: int) -> int:
        """Returns the number of open calls at `now` (ns), including lingering ones."""
        self.lingering_until_ns = [until for until in self.lingering_until_ns if until > now]
        return self._counts[State.IN_CALL] + len(self.lingering_until_ns)

    def record_elapsed_time(self, now: int, elapsed_ns: int) -> None:
        """Meters the time of open calls up to `now` (ns); called with each event."""
        open_count = self._counts[State.IN_CALL] + len(self.lingering_until_ns)
        self.quota.record_open_time(now, elapsed_ns * open_count)

    def leave_call(self, tracked: TrackedRequest, now: int) -> None:
        """Handles a request that leaves its call; the dependency may still process the call."""
        if tracked.last_outcome in OUTCOMES_OF_LINGERING_CALLS:
            self.lingering_until_ns.append(now + self._linger_ns)

    def record_call_end(self, now: int, outcome: Outcome, call_ns: int) -> None:
        """Updates breaker, quota, limit and pause after a call.

        Args:
            now: The host's clock, in ns.
            outcome: How the call ended.
            call_ns: The duration of the call.
        """
        self.breaker.record(now, is_success=outcome is Outcome.OK)
        self.quota.record_call_end(outcome, call_ns)
        # A limit below one call is a share of time: the next call waits for the remaining share.
        waiting_share = 1 / min(1.0, self.limit.limit) - 1
        pause_ns = 2 * call_ns * self._random() * waiting_share
        self._next_call_at_ns = now + int(min(MAX_PAUSE_NS, pause_ns))
        if outcome is Outcome.TIMED_OUT:
            self.has_timed_out_calls = True
        else:
            self.limit.record_call(now, call_ns)

    def may_start_call(self, now: int) -> bool:
        """Returns whether one of the waiting calls may be made at `now` (ns)."""
        if self.breaker.blocks_call(now, self._counts[State.IN_CALL]):
            return False
        if self.count_open(now) >= self.limit.max_open_calls():
            return False
        if not self.quota.is_time_share:
            return True
        return now >= self._next_call_at_ns and self.quota.is_enough_for_call(now)

    def next_in_queue(self) -> TrackedRequest:
        """Returns the request whose call is made next; the queue must not be empty."""
        return min(self.queue.values(), key=_can_skip_call)

    def may_skip_call(self, tracked: TrackedRequest, now: int) -> bool:
        """Returns whether an answer without the call has any value."""
        return tracked.request_class.value_share_without_call > 0

    def should_skip_call(self, tracked: TrackedRequest, now: int) -> bool:
        """Returns whether the request should no longer wait for its call."""
        return (
            self.breaker.is_open
            or (
                self._admission_queue.is_stale(tracked, now) and now > tracked.early_rejection_at_ns
            )
            or self._service_levels.skips_call(tracked)
        )

    def is_safe_to_retry(self, tracked: TrackedRequest) -> bool:
        """Returns whether a failed call may be repeated without a second effect."""
        return is_idempotent(tracked) or tracked.last_outcome in OUTCOMES_OF_UNEXECUTED_CALLS

    def stop_at_ns(self, tracked: TrackedRequest, now: int) -> int:
        """Returns when a call that is made at `now` (ns) is abandoned."""
        stop_at_ns = min(tracked.deadline_at_ns, self._drain.stop_at_ns) - TIMER_INTERVAL_NS
        if self.quota.is_time_share:
            remaining_ns = int(self.quota.remaining_ns(now))
            stop_at_ns = min(stop_at_ns, now + remaining_ns - self._linger_ns)
        elif self.limit.base_latency_ns and not self.breaker.is_open:
            timeout_ns = int(CALL_TIMEOUT_MULTIPLE * self.limit.expected_call_ns(now))
            stop_at_ns = min(stop_at_ns, now + max(MIN_CALL_TIMEOUT_NS, timeout_ns))
        return max(stop_at_ns, now + NS_PER_MS)

    def enqueue(self, tracked: TrackedRequest) -> None:
        """Adds a request that waits for its call."""
        # A request that leaves its call before the call has ended abandons it.
        tracked.last_outcome = Outcome.ABANDONED
        self.queue[tracked.request.ref] = tracked

    def set_quota(self, now: int, share: float) -> None:
        """Sets the quota; open calls continue, and none is started beyond it.

        Args:
            now: The host's clock, in ns.
            share: The quota as a mean number of open calls, above 0.
        """
        self.quota.set_share(now, share)
        self.limit.set_max_limit(share)

    def update(self, now: int) -> None:
        """Adjusts the call limit; called once each timer round, at `now` (ns)."""
        self.limit.update(now, bool(self.queue))


def _can_skip_call(tracked: TrackedRequest) -> bool:
    return tracked.request_class.value_share_without_call > 0
