"""The circuit breaker around the store: decides whether writes may be sent. Does no I/O.

The breaker reacts to a store that is slow or unreachable. A write counts as a failure if it took
longer than its timeout or certainly did not take effect. `MAX_CONSECUTIVE_FAILURES` failures in a
row, or one hanging write, open the breaker. While it is open, only probes test whether the store
works again. A probe is a commit that no request waits for; the pauses between probes double up to
`MAX_PROBE_PAUSE_NS`.
"""

from collections import OrderedDict
from enum import IntEnum

from ..time_units import NS_PER_MS

__all__ = ["BreakerEffect", "BreakerEvent", "BreakerState", "CircuitBreaker"]

MAX_CONSECUTIVE_FAILURES = 5  # failures in a row that open the breaker
MIN_PROBE_PAUSE_NS = 250 * NS_PER_MS
MAX_PROBE_PAUSE_NS = 4000 * NS_PER_MS
# A write or probe older than this many timeouts counts as hanging. The store takes writes in order,
# so the writes behind a hanging one would hang too.
HANG_TIMEOUT_MULTIPLE = 4
PROBES_TO_CLOSE = 2  # consecutive probes that must succeed, each within its timeout


class BreakerState(IntEnum):
    """The three states of a circuit breaker; writes are sent only in CLOSED."""

    CLOSED = 0
    OPEN = 1
    HALF_OPEN = 2


class BreakerEvent(IntEnum):
    """The inputs of the breaker's state machine."""

    WRITE_SUCCEEDED = 0
    WRITE_FAILED = 1
    WRITE_HANGS = 2
    TICK = 3
    PROBE_SUCCEEDED = 4
    PROBE_FAILED = 5


class BreakerEffect(IntEnum):
    """The effect of a transition of the breaker."""

    NONE = 0
    RESET_FAILURES = 1
    COUNT_FAILURE = 2
    OPEN = 3
    OPEN_LONGER = 4
    PROBE = 5
    PROBE_AGAIN = 6
    CLOSE = 7


# Columns: state, event, guard method (or "-" for none), next state, effect. The first row whose
# guard returns True applies; an event without a matching row is ignored.
TRANSITION_TABLE = """
CLOSED    WRITE_SUCCEEDED -                 CLOSED    RESET_FAILURES
CLOSED    WRITE_FAILED    has_few_failures  CLOSED    COUNT_FAILURE
CLOSED    WRITE_FAILED    -                 OPEN      OPEN
CLOSED    WRITE_HANGS     -                 OPEN      OPEN
OPEN      TICK            is_pause_over     HALF_OPEN PROBE
HALF_OPEN PROBE_SUCCEEDED needs_more_probes HALF_OPEN PROBE_AGAIN
HALF_OPEN PROBE_SUCCEEDED -                 CLOSED    CLOSE
HALF_OPEN PROBE_FAILED    -                 OPEN      OPEN_LONGER
HALF_OPEN TICK            is_probe_hanging  OPEN      OPEN_LONGER
"""


class CircuitBreaker:
    """Decides whether a write may be sent to the store. All times are wall-clock nanoseconds.

    Attributes:
        max_in_flight: The maximum number of unanswered writes.
        write_timeout_ns: The time after which a write or probe counts as a failure.
        state: The current state.
        in_flight: Start time of each unanswered write by write number, oldest first.
        pause_ns: The pause between opening and the next probe.
        times_opened: The number of times the breaker has opened, failed probes included.
    """

    def __init__(self, max_in_flight: int, write_timeout_ns: int) -> None:
        """Creates a closed breaker; the parameters are the attributes of the same names."""
        self.max_in_flight = max_in_flight
        self.write_timeout_ns = write_timeout_ns
        self.state = BreakerState.CLOSED
        self.in_flight: OrderedDict[int, int] = OrderedDict()
        self.pause_ns = MIN_PROBE_PAUSE_NS
        self.times_opened = 0
        self._last_write_number = 0
        self._failures_in_row = 0
        self._probes_in_row = 0
        self._paused_until_ns = 0
        self._probe_started_ns = 0

    def may_write(self, now_ns: int) -> bool:
        """Returns whether another claim or lookup may be sent to the store."""
        return (
            self.state is BreakerState.CLOSED
            and len(self.in_flight) < self.max_in_flight
            and not self.is_write_hanging(now_ns)
        )

    def compute_load(self, now_ns: int) -> float:
        """Returns the oldest unanswered write's age in write timeouts; at least 1 unless CLOSED."""
        oldest_start_ns = next(iter(self.in_flight.values()), now_ns)
        return max(
            (now_ns - oldest_start_ns) / self.write_timeout_ns,
            float(self.state is not BreakerState.CLOSED),
        )

    def start_write(self, now_ns: int) -> int:
        """Records that a write was sent, and returns its number for `finish_write`."""
        self._last_write_number += 1
        self.in_flight[self._last_write_number] = now_ns
        return self._last_write_number

    def finish_write(self, write_number: int, now_ns: int, succeeded: bool) -> BreakerEffect:
        """Records the store's answer to a write; a late success counts as a failure."""
        started_ns = self.in_flight.pop(write_number, now_ns)
        is_in_time = succeeded and now_ns - started_ns <= self.write_timeout_ns
        return self._handle(
            BreakerEvent.WRITE_SUCCEEDED if is_in_time else BreakerEvent.WRITE_FAILED, now_ns
        )

    def tick(self, now_ns: int) -> BreakerEffect:
        """Handles the passing of time; the caller must send a probe if the effect is PROBE."""
        if self.state is BreakerState.CLOSED and self.is_write_hanging(now_ns):
            return self._handle(BreakerEvent.WRITE_HANGS, now_ns)
        return self._handle(BreakerEvent.TICK, now_ns)

    def finish_probe(self, now_ns: int, succeeded: bool) -> BreakerEffect:
        """Records the end of a probe; a late success counts as a failure.

        The caller must send another probe if the effect is PROBE_AGAIN.
        """
        is_in_time = succeeded and now_ns - self._probe_started_ns <= self.write_timeout_ns
        return self._handle(
            BreakerEvent.PROBE_SUCCEEDED if is_in_time else BreakerEvent.PROBE_FAILED, now_ns
        )

    def is_write_hanging(self, now_ns: int) -> bool:
        """Returns whether the oldest unanswered write exceeds `HANG_TIMEOUT_MULTIPLE` timeouts."""
        oldest_start_ns = next(iter(self.in_flight.values()), now_ns)
        return now_ns - oldest_start_ns > HANG_TIMEOUT_MULTIPLE * self.write_timeout_ns

    def has_few_failures(self, now_ns: int) -> bool:
        """Returns whether one more failure stays below `MAX_CONSECUTIVE_FAILURES`."""
        return self._failures_in_row + 1 < MAX_CONSECUTIVE_FAILURES

    def is_pause_over(self, now_ns: int) -> bool:
        """Returns whether the pause before the next probe is over."""
        return now_ns >= self._paused_until_ns

    def needs_more_probes(self, now_ns: int) -> bool:
        """Returns whether one more success is not enough to close the breaker."""
        return self._probes_in_row + 1 < PROBES_TO_CLOSE

    def is_probe_hanging(self, now_ns: int) -> bool:
        """Returns whether the current probe exceeds `HANG_TIMEOUT_MULTIPLE` timeouts."""
        return now_ns - self._probe_started_ns > HANG_TIMEOUT_MULTIPLE * self.write_timeout_ns

    def _handle(self, event: BreakerEvent, now_ns: int) -> BreakerEffect:
        for guard, next_state, effect in TRANSITION_RULES.get((self.state, event), ()):
            if guard == NO_GUARD or getattr(self, guard)(now_ns):
                self.state = next_state
                self._apply(effect, now_ns)
                return effect
        return BreakerEffect.NONE

    def _apply(self, effect: BreakerEffect, now_ns: int) -> None:
        match effect:
            case BreakerEffect.RESET_FAILURES:
                self._failures_in_row = 0
            case BreakerEffect.COUNT_FAILURE:
                self._failures_in_row += 1
            case BreakerEffect.OPEN:
                self._open(now_ns)
            case BreakerEffect.OPEN_LONGER:
                self.pause_ns = min(MAX_PROBE_PAUSE_NS, 2 * self.pause_ns)
                self._open(now_ns)
            case BreakerEffect.PROBE:
                self._probes_in_row = 0
                self._probe_started_ns = now_ns
            case BreakerEffect.PROBE_AGAIN:
                self._probes_in_row += 1
                self._probe_started_ns = now_ns
            case BreakerEffect.CLOSE:
                self._failures_in_row = 0
                self._probes_in_row = 0
                self._probe_started_ns = 0
                self.pause_ns = MIN_PROBE_PAUSE_NS

    def _open(self, now_ns: int) -> None:
        self.times_opened += 1
        self._failures_in_row = 0
        self._probes_in_row = 0
        self._paused_until_ns = now_ns + self.pause_ns


NO_GUARD = "-"
Rules = dict[tuple[BreakerState, BreakerEvent], list[tuple[str, BreakerState, BreakerEffect]]]


def parse_rules(table: str) -> Rules:
    """Parses a table in the format of `TRANSITION_TABLE`.

    Raises:
        KeyError: A state, event or effect is unknown.
    """
    parsed: Rules = {}
    for line in filter(None, table.split("\n")):
        state, event, guard, next_state, effect = line.split()
        parsed.setdefault((BreakerState[state], BreakerEvent[event]), []).append(
            (guard, BreakerState[next_state], BreakerEffect[effect])
        )
    return parsed


TRANSITION_RULES = parse_rules(TRANSITION_TABLE)
