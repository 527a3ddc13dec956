"""The log: one key=value line an event, on standard output."""

import logging
import sys
import time


class KeyValue(logging.Formatter):
    def format(self, record: logging.LogRecord) -> str:
        stamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        line = (f"ts={stamp}.{int(record.msecs):03d}Z level={record.levelname.lower()} "
                f"part={record.name.removeprefix('burlloom.')} {record.getMessage()}")
        if record.exc_info:
            line += f" trace={self.formatException(record.exc_info)!r}"
        return line.replace("\n", " ")


def set_up() -> None:
    handler = logging.StreamHandler(sys.stdout)
    handler.setFormatter(KeyValue())
    logging.basicConfig(level=logging.INFO, handlers=[handler], force=True)
