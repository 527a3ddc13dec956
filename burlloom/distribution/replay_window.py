"""Rejects requests whose number was seen before. No I/O."""

WINDOW_NUMBERS = 64  # numbers that requests may be out of order by


class ReplayWindow:
    """Each request counts once, though some overtake others: RFC 4303's window of numbers seen."""

    __slots__ = ("highest", "seen")

    def __init__(self) -> None:
        self.highest, self.seen = -1, 0

    def accept(self, number: int) -> bool:
        """Whether a request's number was not seen before; it is remembered."""
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
