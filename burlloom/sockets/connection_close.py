"""Closes a connection from this side without losing sent data."""

import asyncio
import socket

from ..time_units import NS_PER_MS, NS_PER_SECOND
from .socket_reader import SocketReader
from .socket_writer import SocketWriter

CLOSE_TIMEOUT_NS = 500 * NS_PER_MS
DISCARD_BUFFER_BYTES = 4 << 10
MAX_DISCARDED_BYTES = 256 << 10  # received after the shutdown; beyond it the socket is closed


class ConnectionClose:
    """Sends the pending bytes, shuts down the sending half, and reads until the peer does so too.

    Takes at most `CLOSE_TIMEOUT_NS`. Closing a socket with unread bytes would reset the connection,
    and the peer would lose the answers that it had not yet read. The bytes that are read here are
    discarded, as an answer to them could no longer be sent.
    """

    def __init__(self, sock: socket.socket, writer: SocketWriter) -> None:
        self.socket = sock
        self.writer = writer
        self.socket_reader = SocketReader(sock)

    async def run(self) -> None:
        """Closes the connection; the socket is closed on return."""
        discarded = memoryview(bytearray(DISCARD_BUFFER_BYTES))
        remaining_bytes = MAX_DISCARDED_BYTES
        try:
            async with asyncio.timeout(CLOSE_TIMEOUT_NS / NS_PER_SECOND):
                await self.writer.drain()
                self.socket.shutdown(socket.SHUT_WR)
                while remaining_bytes > 0 and (size := await self.socket_reader.receive(discarded)):
                    remaining_bytes -= size
        except (TimeoutError, OSError):
            pass
        finally:
            self.close_now()

    def close_now(self) -> None:
        """Closes the socket at any stage of the close; its descriptor is free on return."""
        self.socket_reader.stop()
        self.writer.abort()
        self.socket.close()
