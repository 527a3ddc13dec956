"""The one orderly close of a connection that we end."""

import asyncio
import socket

from .socket_reader import SocketReader
from .socket_writer import SocketWriter
from .time_units import NS_PER_MS, NS_PER_SECOND

CLOSE_TIMEOUT_NS = 500 * NS_PER_MS
DISCARD_BUFFER_BYTES, MAX_DISCARDED_BYTES = 4 << 10, 256 << 10


class ConnectionClose:
    """Sends what is owed, closes our half, and reads to the other side's end, all within
    `PART_MOST`.

    A close over bytes that nobody has read resets the connection, and the other side loses what it
    had not yet taken of our answers. What is read here is never acted on: there is no way back for
    an answer to it.
    """

    def __init__(self, sock: socket.socket, writer: SocketWriter) -> None:
        self.socket, self.writer, self.socket_reader = sock, writer, SocketReader(sock)

    async def run(self) -> None:
        scrap, left = memoryview(bytearray(DISCARD_BUFFER_BYTES)), MAX_DISCARDED_BYTES
        try:
            async with asyncio.timeout(CLOSE_TIMEOUT_NS / NS_PER_SECOND):
                await self.writer.drain()
                self.socket.shutdown(socket.SHUT_WR)
                while left > 0 and (size := await self.socket_reader.receive(scrap)):
                    left -= size
        except (TimeoutError, OSError):
            pass
        finally:
            self.close_now()

    def close_now(self) -> None:
        """Ends it at once, however far it is: its descriptor is free when this returns."""
        self.socket_reader.stop()
        self.writer.abort()
        self.socket.close()
