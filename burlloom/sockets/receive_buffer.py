"""Holds received bytes until messages are parsed from them."""


class ReceiveBuffer:
    """Holds the received bytes that are not parsed yet, from `start` to `end`.

    The receiver writes into `free_space()` and advances `end`; the parser advances `start`.

    Attributes:
        view: The whole buffer. Slices of it are valid until the next `free_space()`.
        start: Offset of the first byte that is not parsed.
        end: Offset past the last received byte.
        initial_bytes: How large the buffer is while no message needs more.
        max_bytes: How large the buffer may grow for one incomplete message.
    """

    def __init__(self, initial_bytes: int, max_bytes: int) -> None:
        self.initial_bytes, self.max_bytes = initial_bytes, max_bytes
        self.view = memoryview(bytearray(initial_bytes))
        self.start = self.end = 0

    def free_space(self) -> memoryview:
        """Returns the part of the buffer to receive into.

        It is empty once one incomplete message takes up `max_bytes`.
        """
        if self.start == self.end:
            self.start = self.end = 0
            if len(self.view) > self.initial_bytes:
                self.view = memoryview(bytearray(self.initial_bytes))
        elif self.end == len(self.view):
            unparsed_bytes = self.end - self.start
            size = len(self.view) if self.start else min(self.max_bytes, 2 * len(self.view))
            new_view = memoryview(bytearray(size))
            new_view[:unparsed_bytes] = self.view[self.start : self.end]
            self.view, self.start, self.end = new_view, 0, unparsed_bytes
        return self.view[self.end :]

    def release(self) -> None:
        """Frees the memory of a buffer that is no longer received into."""
        self.view = memoryview(bytearray())
        self.start = self.end = 0
