"""Parses the transition tables of state machines.

Each line has five columns: state, input, test, next state and effect.
"""

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
    """Parses a transition table.

    Args:
        table: One row a line, each of five words; empty lines are skipped.
        states: The enum of the first and the fourth column.
        inputs: The enum of the second column.
        test: Returns the test that the third column names.
        effect: Returns the effect that the fifth column names.

    Returns:
        The transitions of each state and input, in the order of the table. The first one whose test
        holds applies.

    Raises:
        ValueError: A row does not have five words.
        KeyError: A row names an unknown state or input.
    """
    transitions: dict[tuple[State, Input], list[tuple[Test, State, Effect]]] = {}
    for state, event, condition, next_state, action in filter(
        None, map(str.split, table.split("\n"))
    ):
        transitions.setdefault((states[state], inputs[event]), []).append(
            (test(condition), states[next_state], effect(action))
        )
    return transitions
