"""Logging: one line of key=value pairs for each event, on standard output."""

import logging
import sys
import time

log = logging.getLogger(__name__)

# Lines in one second after which lines of level info and below are dropped.
MAX_INFO_LINES_PER_SECOND = 50


class KeyValueFormatter(logging.Formatter):
    """Formats a log record as one line: time, level, module, the message's pairs, the traceback."""

    def format(self, record: logging.LogRecord) -> str:
        """Returns the line for a log record; line breaks in it become spaces."""
        timestamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        line = (
            f"ts={timestamp}.{int(record.msecs):03d}Z level={record.levelname.lower()} "
            f"part={record.name.removeprefix('burlloom.')} {record.getMessage()}"
        )
        if record.exc_info:
            line += f" trace={self.formatException(record.exc_info)!r}"
        return line.replace("\n", " ")


class LineRateLimit(logging.Filter):
    """Drops lines of level info and below after `MAX_INFO_LINES_PER_SECOND` lines in a second.

    Without the limit, hundreds of clients that connect at once would fill the log with a line each.
    The number of dropped lines is logged before the first line of a later second.

    Attributes:
        second: The second, in Unix time, that `lines` and `dropped` count.
        lines: Lines in this second, including the dropped ones.
        dropped: Lines that were dropped in this second.
    """

    def __init__(self) -> None:
        """Creates a limit without counted lines."""
        super().__init__()
        self.second = 0
        self.lines = 0
        self.dropped = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Counts a log record and returns whether it is logged."""
        if int(record.created) != self.second:
            self._begin_second(int(record.created))
        self.lines += 1
        is_logged = self.lines <= MAX_INFO_LINES_PER_SECOND or record.levelno > logging.INFO
        self.dropped += not is_logged
        return is_logged

    def _begin_second(self, second: int) -> None:
        dropped, self.dropped = self.dropped, 0
        self.second = second
        self.lines = 0
        if dropped:
            log.info("event=log_lines_dropped count=%d", dropped)


def configure_logging() -> None:
    """Directs the log of the process to standard output, as key=value lines with a rate limit."""
    handler = logging.StreamHandler(sys.stdout)
    handler.setFormatter(KeyValueFormatter())
    handler.addFilter(LineRateLimit())
    logging.basicConfig(level=logging.INFO, handlers=[handler], force=True)
