"""The record's pure decisions: circuit breaker, request lifecycle, clock shift, broken transactions."""

from hypothesis import given
from hypothesis import strategies as st

from burlloom.record.broken_transaction import TransactionStage, classify_broken_transaction
from burlloom.record.circuit_breaker import (
    HANG_TIMEOUT_MULTIPLE,
    MAX_CONSECUTIVE_FAILURES,
    MAX_PROBE_PAUSE_NS,
    BreakerEffect,
    BreakerState,
    CircuitBreaker,
)
from burlloom.record.clock_shift import MIN_CLOCK_STEP_NS, ClockReading, compute_clock_shift
from burlloom.record.request_lifecycle import DurableRequest, RequestEvent, RequestState
from burlloom.time_units import NS_PER_MS

WRITE_TIMEOUT_NS = 100 * NS_PER_MS


def test_consecutive_failures_open_the_breaker_and_successful_probes_close_it() -> None:
    breaker, now_ns = CircuitBreaker(10, WRITE_TIMEOUT_NS), 0
    for n in range(MAX_CONSECUTIVE_FAILURES):
        assert breaker.may_write(now_ns)
        assert breaker.finish_write(breaker.start_write(now_ns), now_ns, False) == (
            BreakerEffect.OPEN if n == MAX_CONSECUTIVE_FAILURES - 1 else BreakerEffect.COUNT_FAILURE
        )
    assert not breaker.may_write(now_ns)
    assert breaker.tick(now_ns) is BreakerEffect.NONE
    now_ns += breaker.pause_ns
    assert breaker.tick(now_ns) is BreakerEffect.PROBE
    assert not breaker.may_write(now_ns)
    assert breaker.finish_probe(now_ns + NS_PER_MS, True) is BreakerEffect.PROBE_AGAIN
    assert not breaker.may_write(now_ns)
    assert breaker.finish_probe(now_ns + 2 * NS_PER_MS, True) is BreakerEffect.CLOSE
    assert breaker.may_write(now_ns)


def test_a_hanging_write_opens_the_breaker_without_a_failure() -> None:
    breaker = CircuitBreaker(10, WRITE_TIMEOUT_NS)
    breaker.start_write(0)
    assert breaker.may_write(HANG_TIMEOUT_MULTIPLE * WRITE_TIMEOUT_NS)
    assert not breaker.may_write(HANG_TIMEOUT_MULTIPLE * WRITE_TIMEOUT_NS + 1)
    assert breaker.tick(HANG_TIMEOUT_MULTIPLE * WRITE_TIMEOUT_NS + 1) is BreakerEffect.OPEN


def test_writes_in_flight_are_limited() -> None:
    breaker = CircuitBreaker(3, WRITE_TIMEOUT_NS)
    write_numbers = [breaker.start_write(0) for _ in range(3)]
    assert not breaker.may_write(0)
    breaker.finish_write(write_numbers[0], 1, True)
    assert breaker.may_write(1)


@given(
    st.lists(
        st.tuples(
            st.sampled_from("write success failure tick probe-success probe-failure".split()),
            st.integers(1, 900),
        )
    )
)
def test_only_two_successful_probes_close_the_breaker(actions: list[tuple[str, int]]) -> None:
    breaker, now_ns, write_numbers, successful_probes = (
        CircuitBreaker(8, WRITE_TIMEOUT_NS),
        0,
        [],
        0,
    )
    for action, elapsed_ms in actions:
        now_ns += elapsed_ms * NS_PER_MS
        state_before = breaker.state
        if action == "write" and breaker.may_write(now_ns):
            write_numbers.append(breaker.start_write(now_ns))
        elif action in ("success", "failure") and write_numbers:
            breaker.finish_write(write_numbers.pop(0), now_ns, action == "success")
        elif action == "tick":
            successful_probes = (
                0 if breaker.tick(now_ns) is BreakerEffect.PROBE else successful_probes
            )
        elif action.startswith("probe") and state_before is BreakerState.HALF_OPEN:
            successful_probes = (
                successful_probes + 1
                if breaker.finish_probe(now_ns, action == "probe-success")
                in (BreakerEffect.PROBE_AGAIN, BreakerEffect.CLOSE)
                else 0
            )
        assert breaker.pause_ns <= MAX_PROBE_PAUSE_NS
        assert len(breaker.in_flight) <= 8
        if state_before is not BreakerState.CLOSED:
            assert breaker.state is not BreakerState.CLOSED or successful_probes == 2
            assert breaker.state is BreakerState.CLOSED or not breaker.may_write(now_ns)


EVENTS_AFTER_START = [
    event
    for event in RequestEvent
    if event
    not in (RequestEvent.STARTED, RequestEvent.RECOVERED_RUNNING, RequestEvent.RECOVERED_IN_DOUBT)
]


@given(
    st.booleans(),
    st.lists(st.tuples(st.sampled_from(EVENTS_AFTER_START), st.integers(0, 20)), max_size=60),
)
def test_a_request_starts_at_most_one_run_and_reports_at_most_one_end(
    may_run_unrecorded: bool, events: list[tuple[RequestEvent, int]]
) -> None:
    """Sends random events in random order."""
    request = DurableRequest(
        b"m" * 16, "id", 1, 1, 0, 1000, claim_deadline_ns=100, may_run_unrecorded=may_run_unrecorded
    )
    now_ns, effects = 0, list(request.handle(RequestEvent.STARTED, 0))
    for event, elapsed_ns in events:
        now_ns += elapsed_ns
        effects += request.handle(event, now_ns)
    runs = [effect for effect in effects if effect in ("start_run", "start_run_unrecorded")]
    ends = [effect for effect in effects if effect in ("reject", "report_never_ran", "follow")]
    assert len(runs) + len(ends) <= 1, effects
    assert may_run_unrecorded or "start_run_unrecorded" not in effects
    if request.state is RequestState.RUNNING:
        assert runs
        assert not ends


@given(st.integers(0, 10**18), st.integers(0, 10**15), st.integers(-(10**15), 10**15))
def test_a_clock_step_is_detected_within_one_boot(
    wall_ns: int, elapsed_ns: int, step_ns: int
) -> None:
    previous, current = (
        ClockReading("a", 5, wall_ns),
        ClockReading("a", 5 + elapsed_ns, wall_ns + elapsed_ns + step_ns),
    )
    assert compute_clock_shift(previous, current) == (
        step_ns if abs(step_ns) >= MIN_CLOCK_STEP_NS else 0
    )
    assert compute_clock_shift(
        previous, ClockReading("b", 0, wall_ns + elapsed_ns + step_ns)
    ) == min(0, elapsed_ns + step_ns)
    assert compute_clock_shift(None, current) == 0


def test_a_broken_transaction_is_classified_by_stage_and_sqlstate() -> None:
    for sqlstate in (None, "08006", "57P01", "40001", "XX000"):
        assert (
            classify_broken_transaction(TransactionStage.BEFORE_COMMIT, sqlstate)
            is RequestEvent.WRITE_FAILED
        )
    for sqlstate, event in (
        (None, RequestEvent.WRITE_UNCERTAIN),
        ("08007", RequestEvent.WRITE_UNCERTAIN),
        ("57P01", RequestEvent.WRITE_UNCERTAIN),
        ("58030", RequestEvent.WRITE_UNCERTAIN),
        ("40001", RequestEvent.WRITE_FAILED),
        ("53100", RequestEvent.WRITE_FAILED),
        ("23505", RequestEvent.WRITE_FAILED),
    ):
        assert classify_broken_transaction(TransactionStage.COMMITTING, sqlstate) is event
    assert (
        classify_broken_transaction(TransactionStage.COMMITTED, None) is RequestEvent.WRITE_APPLIED
    )
