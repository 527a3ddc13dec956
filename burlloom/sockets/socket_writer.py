"""Sends the bytes of a connection."""

import asyncio
import socket
from collections.abc import Callable

from .task_supervisor import TaskSupervisor


class SocketWriter:
    """Sends messages whole and in order, at the peer's pace, without blocking the sender.

    Messages sent within one iteration of the event loop are joined at its end and usually sent in
    one system call. Bytes that the kernel does not accept wait in a `sock_sendall`. Only one runs
    at a time: the bytes of two would interleave.

    Attributes:
        unsent_bytes: How many bytes were queued and are not known to be accepted by the kernel.
        has_written: Whether any message was ever queued.
        is_ended: Whether the writer was aborted or the connection lost.
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
        """Whether queued bytes are not sent yet."""
        return not self.is_ended and (bool(self.pending) or self.write_task is not None)

    def send(self, *pieces: bytes) -> None:
        """Queues the pieces of one message; drops them if the writer has ended."""
        if not self.is_ended:
            self.has_written = True
            self.pending += pieces
            self.unsent_bytes += sum(map(len, pieces))
            if not self.is_flush_scheduled and self.write_task is None:
                self.is_flush_scheduled = True
                self.loop.call_soon(self.flush)

    def flush(self) -> None:
        """Sends the queued bytes; a task sends those that the kernel does not accept at once."""
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
        """Sends `data`, and the bytes that are queued meanwhile, at the peer's pace."""
        try:
            while data:
                await self.loop.sock_sendall(self.socket, data)
                self.unsent_bytes -= len(data)
                data = b"".join(self.pending)
                self.pending.clear()
        except OSError:
            # The unsent bytes are lost with the connection, and its reader must be told.
            self.abort()
            self.on_error()
        finally:
            self.write_task = None

    async def drain(self) -> None:
        """Waits until all queued bytes are sent or can no longer be sent."""
        self.flush()
        while self.write_task is not None:
            await asyncio.wait({self.write_task})

    def ignore_errors(self) -> None:
        """Drops the handler of errors, which refers to the owner of this writer.

        The memory of the owner would otherwise be held until the next garbage collection.
        """
        self.on_error = lambda: None

    def abort(self) -> None:
        """Drops the queued bytes and stops sending."""
        self.is_ended = True
        self.pending.clear()
        if self.write_task is not None and self.write_task is not asyncio.current_task():
            self.write_task.cancel()
