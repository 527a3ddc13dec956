"""Tables of state, input, test, next state and effect, one row a line: how they are read."""

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
    """By state and input, in order: the first whose test holds moves. `test` and `effect` give what
    a word stands for; a row of other than five words is a `ValueError`.
    """
    found: dict[tuple[State, Input], list[tuple[Test, State, Effect]]] = {}
    for state, what, passes, after, does in filter(None, map(str.split, table.split("\n"))):
        found.setdefault((states[state], inputs[what]), []).append(
            (test(passes), states[after], effect(does))
        )
    return found
