"""Reads batches of events on standard input and answers each on standard output.

Exit status 2 means that the input was invalid; standard error has the reason.
"""

import sys
from typing import BinaryIO

from .codec import BATCH_END, REPLY_END, decode_batch_start
from .errors import FramingError, WireError
from .host import Host

EXIT_INVALID_INPUT = 2


def serve(input_stream: BinaryIO, output: BinaryIO) -> None:
    """Answers batches until the input ends.

    Args:
        input_stream: The batches, each from its start line to its end line.
        output: Receives one reply for each batch, flushed at once because the simulator waits for
            it.

    Raises:
        WireError: The input is not a sequence of valid batches.
        UnicodeDecodeError: A line is not UTF-8.
    """
    host = Host()
    now_ns: int | None = None
    lines: list[str] = []
    for raw_line in input_stream:
        line = raw_line.decode("utf-8").rstrip("\r\n")
        if now_ns is None:
            if line:
                now_ns = decode_batch_start(line)
        elif line == BATCH_END:
            actions = host.run_batch(now_ns, lines)
            actions.append(REPLY_END)
            output.write("\n".join(actions).encode("utf-8"))
            output.flush()
            now_ns = None
            lines.clear()
        else:
            lines.append(line)
    if now_ns is not None:
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
        return EXIT_INVALID_INPUT
    return 0


if __name__ == "__main__":
    sys.exit(main())
