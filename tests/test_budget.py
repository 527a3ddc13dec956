"""The budget of the store and the fate of a mark over long, random stories."""

from hypothesis import given
from hypothesis import strategies as st

from burlloom.record.budget import BAD_MOST, HANGS, MS, REST_MOST, Budget, State
from burlloom.record.fate import Fate, Input
from burlloom.record.fate import State as Stand
from burlloom.record.recovery import STEP_LEAST, Stage, Tick, meaning, shift

PATIENCE = 100 * MS


def test_failures_in_a_row_cut_the_store_off_and_good_beats_bring_it_back() -> None:
    budget, now = Budget(10, PATIENCE), 0
    for n in range(BAD_MOST):
        assert budget.accepts(now)
        assert budget.over(budget.posted(now), now, False) == (
            "cut" if n == BAD_MOST - 1 else "count"
        )
    assert not budget.accepts(now)
    assert budget.round(now) == ""
    now += budget.rest
    assert budget.round(now) == "beat"
    assert not budget.accepts(now)
    assert budget.beat_over(now + MS, True) == "beat_more"
    assert not budget.accepts(now)
    assert budget.beat_over(now + 2 * MS, True) == "mend"
    assert budget.accepts(now)


def test_a_write_that_hangs_cuts_it_off_though_nothing_failed() -> None:
    budget = Budget(10, PATIENCE)
    budget.posted(0)
    assert budget.accepts(HANGS * PATIENCE)
    assert not budget.accepts(HANGS * PATIENCE + 1)
    assert budget.round(HANGS * PATIENCE + 1) == "cut"


def test_no_more_writes_are_open_than_may_be() -> None:
    budget = Budget(3, PATIENCE)
    numbers = [budget.posted(0) for _ in range(3)]
    assert not budget.accepts(0)
    budget.over(numbers[0], 1, True)
    assert budget.accepts(1)


@given(
    st.lists(
        st.tuples(
            st.sampled_from("post good bad round beat-good beat-bad".split()), st.integers(1, 900)
        )
    )
)
def test_only_two_good_beats_end_a_cut(story: list[tuple[str, int]]) -> None:
    budget, now, numbers, good_beats = Budget(8, PATIENCE), 0, [], 0
    for what, passed in story:
        now += passed * MS
        before = budget.state
        if what == "post" and budget.accepts(now):
            numbers.append(budget.posted(now))
        elif what in ("good", "bad") and numbers:
            budget.over(numbers.pop(0), now, what == "good")
        elif what == "round":
            good_beats = 0 if budget.round(now) == "beat" else good_beats
        elif what.startswith("beat") and before is State.TRIAL:
            good_beats = (
                good_beats + 1
                if budget.beat_over(now, what == "beat-good").startswith(("beat", "mend"))
                else 0
            )
        assert budget.rest <= REST_MOST
        assert len(budget.open) <= 8
        if before is not State.FLOW:
            assert budget.state is not State.FLOW or good_beats == 2
            assert budget.state is State.FLOW or not budget.accepts(now)


WORDS = [what for what in Input if what not in (Input.START, Input.READ_OPEN, Input.READ_DOUBT)]


@given(st.booleans(), st.lists(st.tuples(st.sampled_from(WORDS), st.integers(0, 20)), max_size=60))
def test_one_fate_runs_once_and_says_one_thing(
    prefer: bool, story: list[tuple[Input, int]]
) -> None:
    """Whatever it is told, in whatever order: it starts its run at most once, and tells the server
    one end of it.
    """
    fate = Fate(b"m" * 16, "id", 1, 1, 0, 1000, ask_until=100, prefer=prefer)
    now, seen = 0, list(fate.meet(Input.START, 0))
    for what, passed in story:
        now += passed
        seen += fate.meet(what, now)
    runs = [effect for effect in seen if effect in ("run", "run_unkept")]
    ends = [effect for effect in seen if effect in ("refuse", "unrun", "copy")]
    assert len(runs) + len(ends) <= 1, seen
    assert prefer or "run_unkept" not in seen
    if fate.state is Stand.RUN:
        assert runs
        assert not ends


@given(st.integers(0, 10**18), st.integers(0, 10**15), st.integers(-(10**15), 10**15))
def test_a_step_of_the_clock_is_told_within_one_run_of_the_kernel(
    wall: int, passed: int, step: int
) -> None:
    then, now = Tick("a", 5, wall), Tick("a", 5 + passed, wall + passed + step)
    assert shift(then, now) == (step if abs(step) >= STEP_LEAST else 0)
    assert shift(then, Tick("b", 0, wall + passed + step)) == min(0, passed + step)
    assert shift(None, now) == 0


def test_what_a_broken_transaction_means() -> None:
    for code in (None, "08006", "57P01", "40001", "XX000"):
        assert meaning(Stage.BEFORE, code) is Input.LOST
    for code, meant in (
        (None, Input.UNSURE),
        ("08007", Input.UNSURE),
        ("57P01", Input.UNSURE),
        ("58030", Input.UNSURE),
        ("40001", Input.LOST),
        ("53100", Input.LOST),
        ("23505", Input.LOST),
    ):
        assert meaning(Stage.COMMITTING, code) is meant
    assert meaning(Stage.DONE, None) is Input.HELD
