"""Reads batches on standard input and answers each on standard output.

Exit status 2 means that the input could not be read; standard error says why.
"""

import sys
from typing import BinaryIO

from .codec import BATCH_END, REPLY_END, decode_batch_start
from .errors import FramingError, WireError
from .host import Host

EXIT_UNREADABLE_INPUT = 2


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answers batches until the input ends.

    Args:
        source: batches, each from its first line to its end line.
        sink: one reply for each batch, flushed at once since the other side waits for it.

    Raises:
        WireError: something can't be read.
        UnicodeDecodeError: a line is not UTF-8.
    """
    host = Host()
    now: int | None = None
    lines: list[str] = []
    for raw in source:
        line = raw.decode("utf-8").rstrip("\r\n")
        if now is None:
            if line:
                now = decode_batch_start(line)
        elif line == BATCH_END:
            actions = host.run_batch(now, lines)
            actions.append(REPLY_END)
            sink.write("\n".join(actions).encode("utf-8"))
            sink.flush()
            now = None
            lines.clear()
        else:
            lines.append(line)
    if now is not None:
        raise FramingError("input ended inside a batch")


def main() -> int:
    """Serves standard input.

    Returns:
        The exit status.
    """
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (WireError, UnicodeDecodeError) as error:
        print(f"burlloom.bench_adapter: {error}", file=sys.stderr)
        return EXIT_UNREADABLE_INPUT
    return 0


if __name__ == "__main__":
    sys.exit(main())
