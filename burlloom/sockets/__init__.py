"""What every connection here is made of: a read buffer and its inlet, one ordered writer, an
orderly close, a reason for its end.

And what keeps it going: its socket as the loop wants it, its tasks, spans of time.
"""

from .buffer import Buffer
from .inlet import Inlet, unread
from .parting import Parting
from .reasons import Ended, Reason
from .spans import MS, SECOND, rest
from .streams import out_of_descriptors, ready, stream
from .tasks import Tasks
from .writer import Writer

__all__ = [
    "MS",
    "SECOND",
    "Buffer",
    "Ended",
    "Inlet",
    "Parting",
    "Reason",
    "Tasks",
    "Writer",
    "out_of_descriptors",
    "ready",
    "rest",
    "stream",
    "unread",
]
