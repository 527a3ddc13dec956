"""The one orderly close of a connection that we end."""

import asyncio
import contextlib
import socket

from .inlet import Inlet
from .spans import MS, SECOND
from .writer import Writer

PART_MOST = 1000 * MS
SCRAP, SCRAP_MOST = 4 << 10, 256 << 10


async def part(sock: socket.socket, writer: Writer, most: int = PART_MOST) -> None:
    """Sends what is owed, closes our half, and reads to the other side's end, all within `most`.

    A close over bytes that nobody has read resets the connection, and the other side loses what it had not yet
    taken of our answers. What is read here is never acted on: there is no way back for an answer to it.
    """
    inlet, scrap, left = Inlet(sock), memoryview(bytearray(SCRAP)), SCRAP_MOST
    try:
        async with asyncio.timeout(max(0, most) / SECOND):
            await writer.emptied()
            sock.shutdown(socket.SHUT_WR)
            while left > 0 and (size := await inlet.receive(scrap)):
                left -= size
    except (TimeoutError, OSError):
        pass
    finally:
        writer.end()
        with contextlib.suppress(OSError):
            sock.close()
