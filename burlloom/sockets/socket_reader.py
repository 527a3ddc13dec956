"""The reading side of a connection."""

import asyncio
import socket


class SocketReader:
    """Waits until a socket is readable, and then reads, as two steps.

    `sock_recv_into` does both at once: what it had read when it is cancelled is lost, with a whole
    request perhaps. Here only the wait can be cancelled, and the bytes stay in the kernel.
    """

    def __init__(self, sock: socket.socket) -> None:
        self.socket = sock
        self.loop = asyncio.get_running_loop()
        self.waiter: asyncio.Future[None] | None = None

    async def receive(self, buffer: memoryview) -> int:
        """Receives into `buffer`.

        Returns:
            How many bytes came; 0 where the peer closed its half.

        Raises:
            OSError: The connection was lost.
        """
        while True:
            self.waiter = self.loop.create_future()
            self.loop.add_reader(self.socket, self.on_readable, self.waiter)
            try:
                await self.waiter
            finally:
                self.stop()
            try:
                return self.socket.recv_into(buffer)
            except (BlockingIOError, InterruptedError):
                pass

    def on_readable(self, waiter: "asyncio.Future[None]") -> None:
        """Wakes `receive`; called by the event loop."""
        if not waiter.done():
            waiter.set_result(None)

    def stop(self) -> None:
        """Stops waiting.

        The socket may be closed only after this: its descriptor may be another socket's soon.
        """
        if self.waiter is not None:
            self.loop.remove_reader(self.socket)
            self.waiter = None


def has_unread_bytes(sock: socket.socket) -> bool:
    """Returns whether bytes came on a non-blocking socket that are not read yet."""
    try:
        return bool(sock.recv(1, socket.MSG_PEEK))
    except OSError:
        return False
