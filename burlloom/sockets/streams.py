"""Stream sockets as the loop wants them."""

import socket


def ready(sock: socket.socket) -> socket.socket:
    """Its messages are small and waited for: none may block, nor be held back to be sent with the next."""
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def stream() -> socket.socket:
    return ready(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
