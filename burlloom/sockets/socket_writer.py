"""One ordered writer for a connection."""

import asyncio
import socket
from collections.abc import Callable

from .task_supervisor import TaskSupervisor


class SocketWriter:
    """What is posted leaves in order and whole, at the peer's pace; nobody waits for it.

    What is posted in one turn of the loop leaves at its end, as one piece and mostly in one call.
    Only the rest that the kernel doesn't take waits in a `sock_sendall`: one at a time, as two
    would interleave.
    """

    def __init__(
        self, sock: socket.socket, tasks: TaskSupervisor, broken: Callable[[], None]
    ) -> None:
        self.socket, self.supervisor, self.on_error = sock, tasks, broken
        self.pending: list[bytes] = []
        self.unsent_bytes = 0  # of what was posted and is not known to have left
        self.write_task: asyncio.Task[None] | None = None
        self.loop = asyncio.get_running_loop()
        self.is_ended = self.is_flush_scheduled = self.has_written = False

    @property
    def has_unsent(self) -> bool:
        return not self.is_ended and (bool(self.pending) or self.write_task is not None)

    def send(self, *pieces: bytes) -> None:
        if not self.is_ended:
            self.has_written = True
            self.pending += pieces
            self.unsent_bytes += sum(map(len, pieces))
            if not self.is_flush_scheduled and self.write_task is None:
                self.is_flush_scheduled = True
                self.loop.call_soon(self.flush)

    def flush(self) -> None:
        self.is_flush_scheduled = False
        if not self.pending or self.is_ended or self.write_task is not None:
            return
        data = b"".join(self.pending)
        self.pending.clear()
        try:
            sent = self.socket.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.abort()
            self.on_error()
            return
        self.unsent_bytes -= sent
        if sent < len(data):
            self.write_task = self.supervisor.start(self.write(data[sent:]), "write")

    async def write(self, data: bytes) -> None:
        try:
            while data:
                await self.loop.sock_sendall(self.socket, data)
                self.unsent_bytes -= len(data)
                data = b"".join(self.pending)
                self.pending.clear()
        except OSError:
            # The peer is gone: what it was owed is lost with the connection, and the reader must
            # learn of it.
            self.abort()
            self.on_error()
        finally:
            self.write_task = None

    async def drain(self) -> None:
        """Until all that was posted has left, or can't."""
        self.flush()
        while self.write_task is not None:
            await asyncio.wait({self.write_task})

    def abort(self) -> None:
        self.is_ended = True
        self.pending.clear()
        if self.write_task is not None and self.write_task is not asyncio.current_task():
            self.write_task.cancel()
