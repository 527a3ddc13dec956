"""What every connection here is made of: a read buffer and its inlet, one ordered writer, an
orderly close, a reason for its end.

And what keeps it going: its socket as the loop wants it, its tasks, spans of time.
"""

from .close_reasons import CloseReason, ConnectionEndedError
from .connection_close import ConnectionClose
from .receive_buffer import ReceiveBuffer
from .socket_reader import SocketReader, has_unread_bytes
from .socket_writer import SocketWriter
from .stream_sockets import configure_socket, is_out_of_descriptors, open_stream_socket
from .task_supervisor import TaskSupervisor
from .time_units import NS_PER_MS, NS_PER_SECOND, sleep_ns

__all__ = [
    "NS_PER_MS",
    "NS_PER_SECOND",
    "ReceiveBuffer",
    "ConnectionEndedError",
    "SocketReader",
    "ConnectionClose",
    "CloseReason",
    "TaskSupervisor",
    "SocketWriter",
    "is_out_of_descriptors",
    "configure_socket",
    "sleep_ns",
    "open_stream_socket",
    "has_unread_bytes",
]
