"""What every connection here is made of: a read buffer, one ordered writer, a reason for its end.

And what keeps it going: its socket as the loop wants it, its tasks, spans of time.
"""

from .buffer import Buffer
from .reasons import Ended, Reason
from .spans import MS, SECOND, rest
from .streams import ready, stream
from .tasks import Tasks
from .writer import Writer

__all__ = ["MS", "SECOND", "Buffer", "Ended", "Reason", "Tasks", "Writer", "ready", "rest", "stream"]
