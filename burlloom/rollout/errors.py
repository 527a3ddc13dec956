"""Errors of rollouts; those of the stored text stand in `stores.codec`."""

from ..errors import BurlloomError

__all__ = ["OrderRejectedError"]


class OrderRejectedError(BurlloomError):
    """An operator's order that can't be carried out as things are.

    Attributes:
        reason: Why, in words for the operator.
        group: Of the instances that the order names; empty where it names none.
        name: The instance that the order names; empty where it names none.
    """

    def __init__(self, reason: str, group: str = "", name: str = "") -> None:
        """Keeps all three, and shows the reason."""
        super().__init__(reason)
        self.reason = reason
        self.group = group
        self.name = name
