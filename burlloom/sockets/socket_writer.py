"""The writing side of a connection."""

import asyncio
import socket
from collections.abc import Callable

from .task_supervisor import TaskSupervisor


class SocketWriter:
    """Sends messages whole and in order, at the peer's pace; the sender does not wait.

    What is sent within one turn of the event loop leaves at its end as one piece, mostly in one
    system call. What the kernel does not take waits in a `sock_sendall`, one at a time: two would
    interleave.

    Attributes:
        unsent_bytes: Size of what was sent and is not known to have left.
        has_written: Whether anything was ever sent.
        is_ended: Whether the writer was aborted, or the connection lost.
    """

    def __init__(
        self, sock: socket.socket, supervisor: TaskSupervisor, on_error: Callable[[], None]
    ) -> None:
        self.socket, self.supervisor, self.on_error = sock, supervisor, on_error
        self.pending: list[bytes] = []
        self.unsent_bytes = 0
        self.write_task: asyncio.Task[None] | None = None
        self.loop = asyncio.get_running_loop()
        self.is_ended = self.is_flush_scheduled = self.has_written = False

    @property
    def has_unsent(self) -> bool:
        """Whether something waits to leave."""
        return not self.is_ended and (bool(self.pending) or self.write_task is not None)

    def send(self, *pieces: bytes) -> None:
        """Queues the pieces of one message; drops them where the writer has ended."""
        if not self.is_ended:
            self.has_written = True
            self.pending += pieces
            self.unsent_bytes += sum(map(len, pieces))
            if not self.is_flush_scheduled and self.write_task is None:
                self.is_flush_scheduled = True
                self.loop.call_soon(self.flush)

    def flush(self) -> None:
        """Hands what is queued to the kernel; a task writes what the kernel does not take."""
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
        """Writes `data`, and what is queued meanwhile, at the peer's pace."""
        try:
            while data:
                await self.loop.sock_sendall(self.socket, data)
                self.unsent_bytes -= len(data)
                data = b"".join(self.pending)
                self.pending.clear()
        except OSError:
            # What the peer was owed is lost with the connection; its reader must learn of it.
            self.abort()
            self.on_error()
        finally:
            self.write_task = None

    async def drain(self) -> None:
        """Waits until all that was sent has left, or cannot leave any more."""
        self.flush()
        while self.write_task is not None:
            await asyncio.wait({self.write_task})

    def abort(self) -> None:
        """Drops what is queued and sends nothing any more."""
        self.is_ended = True
        self.pending.clear()
        if self.write_task is not None and self.write_task is not asyncio.current_task():
            self.write_task.cancel()
