"""Receives the bytes of a connection."""

import asyncio
import socket


class SocketReader:
    """Waits until a socket is readable, and reads in a separate step.

    `sock_recv_into` does both in one: if it is cancelled, the bytes that it has read are lost,
    possibly with a whole request. Here only the wait can be cancelled, and the bytes stay in the
    kernel.
    """

    def __init__(self, sock: socket.socket) -> None:
        self.socket = sock
        self.loop = asyncio.get_running_loop()
        self.waiter: asyncio.Future[None] | None = None

    async def receive(self, buffer: memoryview) -> int:
        """Receives into `buffer`.

        Returns:
            How many bytes were received; 0 if the peer has closed its half.

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

        Must come before the socket is closed, as its descriptor may soon be that of another socket.
        """
        if self.waiter is not None:
            self.loop.remove_reader(self.socket)
            self.waiter = None


def has_unread_bytes(sock: socket.socket) -> bool:
    """Returns whether a non-blocking socket has received bytes that are not read yet."""
    try:
        return bool(sock.recv(1, socket.MSG_PEEK))
    except OSError:
        return False
