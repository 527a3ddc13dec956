"""Stream sockets as the loop wants them."""

import errno
import socket
from collections.abc import Callable


def configure_socket(sock: socket.socket) -> socket.socket:
    """Its messages are small and waited for: none may block, nor be held back to be sent with the
    next.
    """
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def is_out_of_descriptors(error: BaseException | None) -> bool:
    return isinstance(error, OSError) and error.errno in (errno.EMFILE, errno.ENFILE)


def open_stream_socket(spare: Callable[[], bool]) -> socket.socket:
    """`spare` frees a descriptor where none is left, if it can: idle clients may hold them all."""
    try:
        return configure_socket(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
    except OSError as error:
        if not is_out_of_descriptors(error) or not spare():
            raise
    return configure_socket(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
