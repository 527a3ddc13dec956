"""Tests of the transition table of requests and of its parser."""

import pytest

from burlloom.admission.lifecycle import (
    TRANSITIONS,
    Input,
    State,
    TransitionTableError,
    bind_transitions,
    parse_transitions,
)


def test_row_is_parsed_into_state_input_tests_next_state_and_effect() -> None:
    (row,) = parse_transitions("QUEUED TIMER first second DROPPED reject")
    assert (row.state, row.input, row.next_state) == (State.QUEUED, Input.TIMER, State.DROPPED)
    assert row.tests == ("first", "second")
    assert row.effect == "reject"


def test_dash_stands_for_no_test_and_no_effect() -> None:
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
def test_parse_error_holds_the_invalid_row(row: str) -> None:
    with pytest.raises(TransitionTableError) as raised:
        parse_transitions(f"\n{row}\n")
    assert raised.value.row == row


def test_binding_fails_for_a_test_without_a_method() -> None:
    with pytest.raises(TransitionTableError, match="unknown test or effect 'may_have_run'"):
        bind_transitions(TRANSITIONS, {}, {})


@pytest.mark.parametrize("state", [State.FINISHED, State.DROPPED])
def test_no_transition_leaves_an_ended_state(state: State) -> None:
    assert not [row for row in TRANSITIONS if row.state == state]
