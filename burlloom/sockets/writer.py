"""One ordered writer for a connection."""

import asyncio
import socket
from collections.abc import Callable

from .tasks import Tasks


class Writer:
    """What is posted leaves in order and whole, at the peer's pace; nobody waits for it.

    What is posted in one turn of the loop leaves at its end, as one piece and mostly in one call.
    Only the rest that the kernel doesn't take waits in a `sock_sendall`: one at a time, as two
    would interleave.
    """

    def __init__(self, sock: socket.socket, tasks: Tasks, broken: Callable[[], None]) -> None:
        self.sock, self.tasks, self.broken = sock, tasks, broken
        self.posted: list[bytes] = []
        self.size = 0  # of what was posted and is not known to have left
        self.task: asyncio.Task[None] | None = None
        self.loop = asyncio.get_running_loop()
        self.ended = self.flushing = self.spoke = False

    @property
    def unsent(self) -> bool:
        return not self.ended and (bool(self.posted) or self.task is not None)

    def post(self, *pieces: bytes) -> None:
        if not self.ended:
            self.spoke = True
            self.posted += pieces
            self.size += sum(map(len, pieces))
            if not self.flushing and self.task is None:
                self.flushing = True
                self.loop.call_soon(self.flush)

    def flush(self) -> None:
        self.flushing = False
        if not self.posted or self.ended or self.task is not None:
            return
        data = b"".join(self.posted)
        self.posted.clear()
        try:
            sent = self.sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.end()
            self.broken()
            return
        self.size -= sent
        if sent < len(data):
            self.task = self.tasks.start(self.write(data[sent:]), "write")

    async def write(self, data: bytes) -> None:
        try:
            while data:
                await self.loop.sock_sendall(self.sock, data)
                self.size -= len(data)
                data = b"".join(self.posted)
                self.posted.clear()
        except OSError:
            # The peer is gone: what it was owed is lost with the connection, and the reader must
            # learn of it.
            self.end()
            self.broken()
        finally:
            self.task = None

    async def emptied(self) -> None:
        """Until all that was posted has left, or can't."""
        self.flush()
        while self.task is not None:
            await asyncio.wait({self.task})

    def end(self) -> None:
        self.ended = True
        self.posted.clear()
        if self.task is not None and self.task is not asyncio.current_task():
            self.task.cancel()
