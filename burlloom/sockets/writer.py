"""One ordered writer for a connection."""

import asyncio
import socket
from collections.abc import Callable

from .tasks import Tasks


class Writer:
    """What is posted leaves in order and whole, at the peer's pace; nobody waits for it.

    Two `sock_sendall` on one socket may interleave, so one task at a time writes, and only while there is
    something to write. What was posted meanwhile leaves with the next call, as one piece.
    """

    def __init__(self, sock: socket.socket, tasks: Tasks, broken: Callable[[], None]) -> None:
        self.sock, self.tasks, self.broken = sock, tasks, broken
        self.posted: list[bytes] = []
        self.size = 0  # of what was posted and is not known to have left
        self.task: asyncio.Task[None] | None = None
        self.ended = False

    @property
    def unsent(self) -> bool:
        return not self.ended and (bool(self.posted) or self.task is not None)

    def post(self, *pieces: bytes) -> None:
        if not self.ended:
            self.posted += pieces
            self.size += sum(map(len, pieces))
            if self.task is None:
                self.task = self.tasks.start(self.write(), "write")

    async def write(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            while self.posted:
                data = b"".join(self.posted)
                self.posted.clear()
                await loop.sock_sendall(self.sock, data)
                self.size -= len(data)
        except OSError:
            # The peer is gone: what it was owed is lost with the connection, and the reader must learn of it.
            self.end()
            self.broken()
        finally:
            self.task = None

    def end(self) -> None:
        self.ended = True
        self.posted.clear()
        if self.task is not None and self.task is not asyncio.current_task():
            self.task.cancel()
