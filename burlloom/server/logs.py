"""The log: one line of key=value pairs an event, on standard output."""

import logging
import sys
import time

log = logging.getLogger(__name__)

MAX_INFO_LINES_PER_SECOND = 50


class KeyValueFormatter(logging.Formatter):
    """Formats a record as one line: time, level, module, the message's pairs, the traceback."""

    def format(self, record: logging.LogRecord) -> str:
        """Returns the record's line; line breaks in it become spaces."""
        stamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        line = (
            f"ts={stamp}.{int(record.msecs):03d}Z level={record.levelname.lower()} "
            f"part={record.name.removeprefix('burlloom.')} {record.getMessage()}"
        )
        if record.exc_info:
            line += f" trace={self.formatException(record.exc_info)!r}"
        return line.replace("\n", " ")


class LineRateLimit(logging.Filter):
    """Drops lines of level info and below past so many lines a second.

    Clients that connect by the hundreds would fill the log with a line each. The number of dropped
    lines is logged with the first line of a later second.

    Attributes:
        second: The Unix time in s that `lines` and `dropped` count in.
        lines: All lines of that second, dropped ones among them.
        dropped: Dropped lines of that second.
    """

    def __init__(self) -> None:
        """Creates a limit that has counted no line."""
        super().__init__()
        self.second = 0
        self.lines = 0
        self.dropped = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Counts the record; returns whether it is logged."""
        if int(record.created) != self.second:
            self._begin_second(int(record.created))
        self.lines += 1
        passes = self.lines <= MAX_INFO_LINES_PER_SECOND or record.levelno > logging.INFO
        self.dropped += not passes
        return passes

    def _begin_second(self, second: int) -> None:
        dropped, self.dropped = self.dropped, 0
        self.second = second
        self.lines = 0
        if dropped:
            log.info("event=log_lines_dropped count=%d", dropped)


def configure_logging() -> None:
    """Has all of the process's log written to standard output, in this form and bound."""
    handler = logging.StreamHandler(sys.stdout)
    handler.setFormatter(KeyValueFormatter())
    handler.addFilter(LineRateLimit())
    logging.basicConfig(level=logging.INFO, handlers=[handler], force=True)
