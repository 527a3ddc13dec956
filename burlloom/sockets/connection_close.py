"""The orderly close of a connection that this side ends."""

import asyncio
import socket

from .socket_reader import SocketReader
from .socket_writer import SocketWriter
from .time_units import NS_PER_MS, NS_PER_SECOND

CLOSE_TIMEOUT_NS = 500 * NS_PER_MS
DISCARD_BUFFER_BYTES = 4 << 10
MAX_DISCARDED_BYTES = 256 << 10


class ConnectionClose:
    """Sends what is pending, closes our half and reads on until the peer closes its half.

    All of it takes at most `CLOSE_TIMEOUT_NS`. A close over unread bytes would reset the
    connection, and the peer would lose the answers that it had not yet read. What is read here is
    discarded: an answer to it could no longer be sent.
    """

    def __init__(self, sock: socket.socket, writer: SocketWriter) -> None:
        self.socket = sock
        self.writer = writer
        self.socket_reader = SocketReader(sock)

    async def run(self) -> None:
        """Closes the connection; the socket is closed when this returns."""
        discarded = memoryview(bytearray(DISCARD_BUFFER_BYTES))
        left = MAX_DISCARDED_BYTES
        try:
            async with asyncio.timeout(CLOSE_TIMEOUT_NS / NS_PER_SECOND):
                await self.writer.drain()
                self.socket.shutdown(socket.SHUT_WR)
                while left > 0 and (size := await self.socket_reader.receive(discarded)):
                    left -= size
        except (TimeoutError, OSError):
            pass
        finally:
            self.close_now()

    def close_now(self) -> None:
        """Closes the socket however far the close is; its descriptor is free on return."""
        self.socket_reader.stop()
        self.writer.abort()
        self.socket.close()
