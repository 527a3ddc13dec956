"""The table of transitions and how it is read."""

import pytest

from burlloom.admission.lifecycle import (
    TRANSITIONS,
    Input,
    State,
    TransitionTableError,
    bind_transitions,
    parse_transitions,
)


def test_a_row_names_state_input_tests_next_state_and_effect() -> None:
    (row,) = parse_transitions("QUEUED TIMER first second DROPPED reject")
    assert (row.state, row.input, row.next_state) == (State.QUEUED, Input.TIMER, State.DROPPED)
    assert row.tests == ("first", "second")
    assert row.effect == "reject"


def test_a_dash_is_no_test_and_no_effect() -> None:
    (row,) = parse_transitions("RUNNING CALLER_GONE - ABANDONED -")
    assert row.tests == ()
    assert row.effect == ""


@pytest.mark.parametrize(
    "row",
    [
        "QUEUED TIMER DROPPED reject",
        "QUEUED TIMER",
        "NOWHERE TIMER - DROPPED reject",
        "QUEUED NOTHING - DROPPED reject",
        "QUEUED TIMER - NOWHERE reject",
    ],
)
def test_an_unreadable_row_is_named_by_the_error(row: str) -> None:
    with pytest.raises(TransitionTableError) as raised:
        parse_transitions(f"\n{row}\n")
    assert raised.value.row == row


def test_a_test_without_a_method_is_an_error() -> None:
    with pytest.raises(TransitionTableError, match="unknown test or effect 'may_have_run'"):
        bind_transitions(TRANSITIONS, {}, {})


@pytest.mark.parametrize("state", [State.FINISHED, State.DROPPED])
def test_nothing_happens_to_a_request_that_is_over(state: State) -> None:
    assert not [row for row in TRANSITIONS if row.state == state]
