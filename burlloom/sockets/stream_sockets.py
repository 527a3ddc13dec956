"""Opens and configures stream sockets for the event loop."""

import errno
import socket
from collections.abc import Callable


def configure_socket(sock: socket.socket) -> socket.socket:
    """Makes a socket non-blocking and turns Nagle's algorithm off; returns it.

    Messages are small, and Nagle's algorithm would delay answers that a peer waits for.
    """
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def is_out_of_descriptors(error: BaseException | None) -> bool:
    """Returns whether an error means that the process or the system has no descriptor left."""
    return isinstance(error, OSError) and error.errno in (errno.EMFILE, errno.ENFILE)


def open_stream_socket(free_descriptor: Callable[[], bool]) -> socket.socket:
    """Opens an unconnected TCP socket.

    Args:
        free_descriptor: Called once if no descriptor is left; returns whether it freed one.

    Raises:
        OSError: No socket could be opened.
    """
    try:
        return configure_socket(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
    except OSError as error:
        if not is_out_of_descriptors(error) or not free_descriptor():
            raise
    return configure_socket(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
