"""Rejects replayed requests by their sequence numbers. Does no I/O."""

WINDOW_NUMBERS = 64  # a number this far below the highest one is rejected as too old


class ReplayWindow:
    """Accepts each sequence number once, also out of order (anti-replay window of RFC 4303).

    `seen` is a bitmap of the last `WINDOW_NUMBERS` numbers; bit 0 stands for `highest`.
    """

    __slots__ = ("highest", "seen")

    def __init__(self) -> None:
        self.highest, self.seen = -1, 0

    def accept(self, number: int) -> bool:
        """Records a request's number and returns whether it is new."""
        if number > self.highest:
            self.seen = (self.seen << min(number - self.highest, WINDOW_NUMBERS) | 1) & (
                (1 << WINDOW_NUMBERS) - 1
            )
            self.highest = number
            return True
        bit = self.highest - number
        if bit >= WINDOW_NUMBERS or self.seen >> bit & 1:
            return False
        self.seen |= 1 << bit
        return True
