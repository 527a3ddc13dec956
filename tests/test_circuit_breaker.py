"""The budget of the store and the fate of a mark over long, random stories."""

from hypothesis import given
from hypothesis import strategies as st

from burlloom.record.broken_transaction import TransactionStage, classify_broken_transaction
from burlloom.record.circuit_breaker import (
    HANG_TIMEOUT_MULTIPLE,
    MAX_CONSECUTIVE_FAILURES,
    MAX_PAUSE_NS,
    NS_PER_MS,
    BreakerEffect,
    BreakerState,
    CircuitBreaker,
)
from burlloom.record.clock_shift import MIN_CLOCK_STEP_NS, ClockReading, compute_clock_shift
from burlloom.record.request_lifecycle import DurableRequest, RequestEvent
from burlloom.record.request_lifecycle import RequestState as Stand

PATIENCE = 100 * NS_PER_MS


def test_failures_in_a_row_cut_the_store_off_and_good_beats_bring_it_back() -> None:
    budget, now = CircuitBreaker(10, PATIENCE), 0
    for n in range(MAX_CONSECUTIVE_FAILURES):
        assert budget.may_write(now)
        assert budget.write_finished(budget.write_started(now), now, False) == (
            BreakerEffect.OPEN if n == MAX_CONSECUTIVE_FAILURES - 1 else BreakerEffect.COUNT_FAILURE
        )
    assert not budget.may_write(now)
    assert budget.tick(now) is BreakerEffect.NONE
    now += budget.pause_ns
    assert budget.tick(now) is BreakerEffect.PROBE
    assert not budget.may_write(now)
    assert budget.probe_finished(now + NS_PER_MS, True) is BreakerEffect.PROBE_AGAIN
    assert not budget.may_write(now)
    assert budget.probe_finished(now + 2 * NS_PER_MS, True) is BreakerEffect.CLOSE
    assert budget.may_write(now)


def test_a_write_that_hangs_cuts_it_off_though_nothing_failed() -> None:
    budget = CircuitBreaker(10, PATIENCE)
    budget.write_started(0)
    assert budget.may_write(HANG_TIMEOUT_MULTIPLE * PATIENCE)
    assert not budget.may_write(HANG_TIMEOUT_MULTIPLE * PATIENCE + 1)
    assert budget.tick(HANG_TIMEOUT_MULTIPLE * PATIENCE + 1) is BreakerEffect.OPEN


def test_no_more_writes_are_open_than_may_be() -> None:
    budget = CircuitBreaker(3, PATIENCE)
    numbers = [budget.write_started(0) for _ in range(3)]
    assert not budget.may_write(0)
    budget.write_finished(numbers[0], 1, True)
    assert budget.may_write(1)


@given(
    st.lists(
        st.tuples(
            st.sampled_from("post good bad round beat-good beat-bad".split()), st.integers(1, 900)
        )
    )
)
def test_only_two_good_beats_end_a_cut(story: list[tuple[str, int]]) -> None:
    budget, now, numbers, good_beats = CircuitBreaker(8, PATIENCE), 0, [], 0
    for what, passed in story:
        now += passed * NS_PER_MS
        before = budget.state
        if what == "post" and budget.may_write(now):
            numbers.append(budget.write_started(now))
        elif what in ("good", "bad") and numbers:
            budget.write_finished(numbers.pop(0), now, what == "good")
        elif what == "round":
            good_beats = 0 if budget.tick(now) is BreakerEffect.PROBE else good_beats
        elif what.startswith("beat") and before is BreakerState.HALF_OPEN:
            good_beats = (
                good_beats + 1
                if budget.probe_finished(now, what == "beat-good")
                in (BreakerEffect.PROBE_AGAIN, BreakerEffect.CLOSE)
                else 0
            )
        assert budget.pause_ns <= MAX_PAUSE_NS
        assert len(budget.in_flight) <= 8
        if before is not BreakerState.CLOSED:
            assert budget.state is not BreakerState.CLOSED or good_beats == 2
            assert budget.state is BreakerState.CLOSED or not budget.may_write(now)


WORDS = [
    what
    for what in RequestEvent
    if what
    not in (RequestEvent.STARTED, RequestEvent.RECOVERED_RUNNING, RequestEvent.RECOVERED_IN_DOUBT)
]


@given(st.booleans(), st.lists(st.tuples(st.sampled_from(WORDS), st.integers(0, 20)), max_size=60))
def test_one_fate_runs_once_and_says_one_thing(
    prefer: bool, story: list[tuple[RequestEvent, int]]
) -> None:
    """Whatever it is told, in whatever order: it starts its run at most once, and tells the server
    one end of it.
    """
    fate = DurableRequest(
        b"m" * 16, "id", 1, 1, 0, 1000, claim_deadline_ns=100, may_run_unrecorded=prefer
    )
    now, seen = 0, list(fate.handle(RequestEvent.STARTED, 0))
    for what, passed in story:
        now += passed
        seen += fate.handle(what, now)
    runs = [effect for effect in seen if effect in ("start_run", "start_run_unrecorded")]
    ends = [effect for effect in seen if effect in ("reject", "report_never_ran", "follow")]
    assert len(runs) + len(ends) <= 1, seen
    assert prefer or "start_run_unrecorded" not in seen
    if fate.state is Stand.RUNNING:
        assert runs
        assert not ends


@given(st.integers(0, 10**18), st.integers(0, 10**15), st.integers(-(10**15), 10**15))
def test_a_step_of_the_clock_is_told_within_one_run_of_the_kernel(
    wall: int, passed: int, step: int
) -> None:
    then, now = ClockReading("a", 5, wall), ClockReading("a", 5 + passed, wall + passed + step)
    assert compute_clock_shift(then, now) == (step if abs(step) >= MIN_CLOCK_STEP_NS else 0)
    assert compute_clock_shift(then, ClockReading("b", 0, wall + passed + step)) == min(
        0, passed + step
    )
    assert compute_clock_shift(None, now) == 0


def test_what_a_broken_transaction_means() -> None:
    for code in (None, "08006", "57P01", "40001", "XX000"):
        assert (
            classify_broken_transaction(TransactionStage.BEFORE_COMMIT, code)
            is RequestEvent.WRITE_FAILED
        )
    for code, meant in (
        (None, RequestEvent.WRITE_UNCERTAIN),
        ("08007", RequestEvent.WRITE_UNCERTAIN),
        ("57P01", RequestEvent.WRITE_UNCERTAIN),
        ("58030", RequestEvent.WRITE_UNCERTAIN),
        ("40001", RequestEvent.WRITE_FAILED),
        ("53100", RequestEvent.WRITE_FAILED),
        ("23505", RequestEvent.WRITE_FAILED),
    ):
        assert classify_broken_transaction(TransactionStage.COMMITTING, code) is meant
    assert (
        classify_broken_transaction(TransactionStage.COMMITTED, None) is RequestEvent.WRITE_APPLIED
    )
