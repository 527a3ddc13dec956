"""The reading side of a connection: it waits for bytes, and takes them, in two steps."""

import asyncio
import socket


class SocketReader:
    """Not `sock_recv_into`: what that took in as it is cancelled is lost unseen, a whole request
    with it.

    Here the wait alone can be cancelled, and bytes that came meanwhile still lie in the kernel.
    """

    def __init__(self, sock: socket.socket) -> None:
        self.socket = sock
        self.loop = asyncio.get_running_loop()
        self.waiter: asyncio.Future[None] | None = None

    async def receive(self, room: memoryview) -> int:
        """How many bytes came; 0 at the other side's end."""
        while True:
            self.waiter = self.loop.create_future()
            self.loop.add_reader(self.socket, self.on_readable, self.waiter)
            try:
                await self.waiter
            finally:
                self.stop()
            try:
                return self.socket.recv_into(room)
            except (BlockingIOError, InterruptedError):
                pass

    def on_readable(self, waiter: "asyncio.Future[None]") -> None:
        if not waiter.done():
            waiter.set_result(None)

    def stop(self) -> None:
        """Waits no more. The socket may be closed only after this: its descriptor would soon be
        another's.
        """
        if self.waiter is not None:
            self.loop.remove_reader(self.socket)
            self.waiter = None


def has_unread_bytes(sock: socket.socket) -> bool:
    """Whether bytes lie there that are not yet taken."""
    try:
        return bool(sock.recv(1, socket.MSG_PEEK))
    except OSError:
        return False
