"""The log: one key=value line an event, on standard output."""

import logging
import sys
import time

log = logging.getLogger(__name__)

LINES_MOST = 50  # a second, of no more weight than info


class KeyValueFormatter(logging.Formatter):
    def format(self, record: logging.LogRecord) -> str:
        stamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        line = (
            f"ts={stamp}.{int(record.msecs):03d}Z level={record.levelname.lower()} "
            f"part={record.name.removeprefix('burlloom.')} {record.getMessage()}"
        )
        if record.exc_info:
            line += f" trace={self.formatException(record.exc_info)!r}"
        return line.replace("\n", " ")


class LineRateLimit(logging.Filter):
    """Against those who connect by the hundreds, to leave a line each: past so many a second, lines
    count.
    """

    def __init__(self) -> None:
        super().__init__()
        self.second = self.lines = self.left_out = 0

    def filter(self, record: logging.LogRecord) -> bool:
        if int(record.created) != self.second:
            left_out, self.left_out = self.left_out, 0
            self.second, self.lines = int(record.created), 0
            if left_out:
                log.info("event=lines-left-out count=%d", left_out)
        self.lines += 1
        passes = self.lines <= LINES_MOST or record.levelno > logging.INFO
        self.left_out += not passes
        return passes


def configure_logging() -> None:
    handler = logging.StreamHandler(sys.stdout)
    handler.setFormatter(KeyValueFormatter())
    handler.addFilter(LineRateLimit())
    logging.basicConfig(level=logging.INFO, handlers=[handler], force=True)
