"""Errors in messages of the simulator."""

from ..errors import BurlloomError

__all__ = [
    "FramingError",
    "UnknownMessageError",
    "InvalidValueError",
    "ValueCountError",
    "WireError",
]

MAX_SHOWN_NAME_CHARACTERS = 40
"""Characters of an unknown name that a message shows."""


class WireError(BurlloomError):
    """Base of the errors in messages of the simulator. The adapter ends at each of them."""


class FramingError(WireError):
    """The input is not a sequence of batches.

    Attributes:
        problem: What was found instead.
    """

    def __init__(self, problem: str) -> None:
        """Creates the error.

        Args:
            problem: What was found instead.
        """
        super().__init__(problem)
        self.problem = problem


class UnknownMessageError(WireError):
    """A line begins with an unknown message name.

    Attributes:
        name: The name.
    """

    def __init__(self, name: str) -> None:
        """Creates the error.

        Args:
            name: The name.
        """
        super().__init__(f"unknown message {name[:MAX_SHOWN_NAME_CHARACTERS]!r}")
        self.name = name


class ValueCountError(WireError):
    """A message has the wrong number of values.

    Attributes:
        name: The message's name.
        expected_count: Number of values that the message must have.
        actual_count: Number of values that the message has.
    """

    def __init__(self, name: str, expected_count: int, actual_count: int) -> None:
        """Creates the error.

        Args:
            name: The message's name.
            expected_count: Number of values that the message must have.
            actual_count: Number of values that the message has.
        """
        super().__init__(f"{name} takes {expected_count} values, got {actual_count}")
        self.name = name
        self.expected_count = expected_count
        self.actual_count = actual_count


class InvalidValueError(WireError):
    """A value of a message is invalid.

    Attributes:
        name: The message's name.
        reason: The error of the value's parser.
    """

    def __init__(self, name: str, reason: Exception) -> None:
        """Creates the error.

        Args:
            name: The message's name.
            reason: The error of the value's parser.
        """
        super().__init__(f"{name}: invalid value ({reason})")
        self.name = name
        self.reason = reason
