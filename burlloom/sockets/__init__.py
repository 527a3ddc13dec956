"""Building blocks of all connections: reader, writer, orderly close and reasons for a close.

The package also has the task supervisor, the socket options that the event loop needs, and a
sleep in nanoseconds.
"""

from .close_reasons import CloseReason, ConnectionEndedError
from .connection_close import ConnectionClose
from .receive_buffer import ReceiveBuffer
from .sleep import sleep_ns
from .socket_reader import SocketReader, has_unread_bytes
from .socket_writer import SocketWriter
from .stream_sockets import configure_socket, is_out_of_descriptors, open_stream_socket
from .task_supervisor import TaskSupervisor

__all__ = [
    "CloseReason",
    "ConnectionClose",
    "ConnectionEndedError",
    "ReceiveBuffer",
    "SocketReader",
    "SocketWriter",
    "TaskSupervisor",
    "configure_socket",
    "has_unread_bytes",
    "is_out_of_descriptors",
    "open_stream_socket",
    "sleep_ns",
]
