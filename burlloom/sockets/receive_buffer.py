"""A read buffer: bytes come in at its end and leave as slices from its front."""


class ReceiveBuffer:
    """Its slices hold until the next `room`, which may write over them."""

    def __init__(self, size: int, most: int) -> None:
        self.max_bytes = most
        self.view = memoryview(bytearray(size))
        self.start = self.end = 0

    def free_space(self) -> memoryview:
        """Where the next bytes go; empty once an unfinished message fills the most there may be."""
        if self.start == self.end:
            self.start = self.end = 0
        elif self.end == len(self.view):
            left = self.end - self.start
            size = len(self.view) if self.start else min(self.max_bytes, 2 * len(self.view))
            fresh = memoryview(bytearray(size))
            fresh[:left] = self.view[self.start : self.end]
            self.view, self.start, self.end = fresh, 0, left
        return self.view[self.end :]
