"""Errors of the simulator's wire: what the other side sent that the wire does not have."""

from ..errors import BurlloomError

__all__ = [
    "FramingError",
    "UnknownMessageError",
    "UnreadableValueError",
    "ValueCountError",
    "WireError",
]

SHOWN_NAME_CHARACTERS = 40


class WireError(BurlloomError):
    """Base of the errors of this wire. None can be recovered from: the adapter ends."""


class FramingError(WireError):
    """The input is not a sequence of batches.

    Attributes:
        problem: what was met instead.
    """

    def __init__(self, problem: str) -> None:
        """Makes the error.

        Args:
            problem: what was met instead.
        """
        super().__init__(problem)
        self.problem = problem


class UnknownMessageError(WireError):
    """A line begins with a name that the wire does not have.

    Attributes:
        name: the name.
    """

    def __init__(self, name: str) -> None:
        """Makes the error.

        Args:
            name: the name.
        """
        super().__init__(f"unknown message {name[:SHOWN_NAME_CHARACTERS]!r}")
        self.name = name


class ValueCountError(WireError):
    """A message has more values than it takes, or fewer.

    Attributes:
        name: the message.
        wanted: how many it takes.
        got: how many it has.
    """

    def __init__(self, name: str, wanted: int, got: int) -> None:
        """Makes the error.

        Args:
            name: the message.
            wanted: how many values it takes.
            got: how many it has.
        """
        super().__init__(f"{name} takes {wanted} values, got {got}")
        self.name = name
        self.wanted = wanted
        self.got = got


class UnreadableValueError(WireError):
    """A value of a message can't be used.

    Attributes:
        name: the message.
        reason: what is wrong with the value.
    """

    def __init__(self, name: str, reason: Exception) -> None:
        """Makes the error.

        Args:
            name: the message.
            reason: what is wrong with the value.
        """
        super().__init__(f"{name}: unreadable value ({reason})")
        self.name = name
        self.reason = reason
