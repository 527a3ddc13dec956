"""Reads the tables of state machines: state, input, test, next state and effect, one row a line."""

from collections.abc import Callable
from enum import IntEnum
from typing import TypeVar

State = TypeVar("State", bound=IntEnum)
Input = TypeVar("Input", bound=IntEnum)
Test = TypeVar("Test")
Effect = TypeVar("Effect")


def parse_transitions(
    table: str,
    states: type[State],
    inputs: type[Input],
    test: Callable[[str], Test],
    effect: Callable[[str], Effect],
) -> dict[tuple[State, Input], list[tuple[Test, State, Effect]]]:
    """Parses a table of transitions.

    Args:
        table: Rows of five words; empty lines are left out.
        states: The enum that has the first and the fourth word.
        inputs: The enum that has the second word.
        test: Returns what the third word stands for.
        effect: Returns what the fifth word stands for.

    Returns:
        For each state and input its transitions in the table's order. The first whose test holds
        is taken.

    Raises:
        ValueError: A row has not five words.
        KeyError: A row names a state or an input that there is not.
    """
    transitions: dict[tuple[State, Input], list[tuple[Test, State, Effect]]] = {}
    for state, event, condition, next_state, action in filter(
        None, map(str.split, table.split("\n"))
    ):
        transitions.setdefault((states[state], inputs[event]), []).append(
            (test(condition), states[next_state], effect(action))
        )
    return transitions
