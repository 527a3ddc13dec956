"""`python -m burlloom.bench_adapter`: reads batches on standard input, answers each on standard
output.
"""

import sys

from ..settings import NS_PER_US
from .codec import BadInput
from .host import Host


def serve() -> None:
    host = Host()
    source, sink = sys.stdin.buffer, sys.stdout.buffer
    now: int | None = None
    lines: list[str] = []
    for raw in source:
        line = raw.decode("utf-8").rstrip("\r\n")
        if now is None:
            if not line:
                continue
            name, _, clock = line.partition(" ")
            if name != "TURN":
                raise BadInput(f"expected TURN, got {name[:40]!r}")
            try:
                now = int(clock) * NS_PER_US
            except ValueError as error:
                raise BadInput(f"TURN: unreadable value ({error})") from error
        elif line == "FLUSH":
            actions = host.batch(now, lines)
            actions.append("EOR\n")
            sink.write("\n".join(actions).encode("utf-8"))
            sink.flush()
            now = None
            lines.clear()
        else:
            lines.append(line)
    if now is not None:
        raise BadInput("input ended inside a batch")


def main() -> int:
    try:
        serve()
    except (BadInput, UnicodeDecodeError) as error:
        print(f"burlloom.bench_adapter: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
