"""Errors of rollouts; errors of decoding stored text are in `stores.codec`."""

from ..errors import BurlloomError

__all__ = ["OrderRejectedError"]


class OrderRejectedError(BurlloomError):
    """An operator's order that the current rollout state does not allow.

    Attributes:
        reason: Why the order was rejected, as shown to the operator.
        group: Group of the instance that the order names; empty if it names no group.
        name: Name of the instance that the order names; empty if it names none.
    """

    def __init__(self, reason: str, group: str = "", name: str = "") -> None:
        """Stores the arguments as attributes and uses the reason as the message."""
        super().__init__(reason)
        self.reason = reason
        self.group = group
        self.name = name
