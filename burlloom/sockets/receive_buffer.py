"""A buffer that bytes are received into and messages are parsed from."""


class ReceiveBuffer:
    """Holds the bytes from `start` to `end`: received, and not parsed yet.

    Whoever receives writes into `free_space()` and moves `end`; whoever parses moves `start`.

    Attributes:
        view: The whole buffer. Slices of it hold until the next `free_space()`.
        start: Offset of the first byte that is not parsed.
        end: Offset past the last byte that was received.
        max_bytes: How large the buffer may grow for one unfinished message.
    """

    def __init__(self, size: int, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.view = memoryview(bytearray(size))
        self.start = self.end = 0

    def free_space(self) -> memoryview:
        """Returns where to receive into.

        It is empty once one unfinished message takes up `max_bytes`.
        """
        if self.start == self.end:
            self.start = self.end = 0
        elif self.end == len(self.view):
            left = self.end - self.start
            size = len(self.view) if self.start else min(self.max_bytes, 2 * len(self.view))
            fresh = memoryview(bytearray(size))
            fresh[:left] = self.view[self.start : self.end]
            self.view, self.start, self.end = fresh, 0, left
        return self.view[self.end :]
