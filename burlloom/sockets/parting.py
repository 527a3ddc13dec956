"""The one orderly close of a connection that we end."""

import asyncio
import socket

from .inlet import Inlet
from .spans import MS, SECOND
from .writer import Writer

PART_MOST = 500 * MS
SCRAP, SCRAP_MOST = 4 << 10, 256 << 10


class Parting:
    """Sends what is owed, closes our half, and reads to the other side's end, all within
    `PART_MOST`.

    A close over bytes that nobody has read resets the connection, and the other side loses what it
    had not yet taken of our answers. What is read here is never acted on: there is no way back for
    an answer to it.
    """

    def __init__(self, sock: socket.socket, writer: Writer) -> None:
        self.sock, self.writer, self.inlet = sock, writer, Inlet(sock)

    async def run(self) -> None:
        scrap, left = memoryview(bytearray(SCRAP)), SCRAP_MOST
        try:
            async with asyncio.timeout(PART_MOST / SECOND):
                await self.writer.emptied()
                self.sock.shutdown(socket.SHUT_WR)
                while left > 0 and (size := await self.inlet.receive(scrap)):
                    left -= size
        except (TimeoutError, OSError):
            pass
        finally:
            self.over()

    def over(self) -> None:
        """Ends it at once, however far it is: its descriptor is free when this returns."""
        self.inlet.rest()
        self.writer.end()
        self.sock.close()
