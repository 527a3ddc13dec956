"""What every connection here is made of: a read buffer, one ordered writer, a reason for its end."""

from .buffer import Buffer
from .reasons import Ended, Reason
from .tasks import Tasks
from .writer import Writer

__all__ = ["Buffer", "Ended", "Reason", "Tasks", "Writer"]
