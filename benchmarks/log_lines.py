"""Compares the time and the resident memory of a log line with those of structlog.

`ours` is the formatter of burlloom/server/logs.py.

    python benchmarks/log_lines.py
"""

import io
import logging
import subprocess
import sys
import time

LINE_COUNT = 100_000
MESSAGE_FORMAT = "event=connection_closed side=balancer peer=%s reason=%s requests=%d responses=%d bad_requests=%d unanswered=%d detail=%r"
VALUES = ("127.0.0.1:4711", "idle_timeout", 12, 12, 0, 0, "")


def resident_kb() -> int:
    """Returns the resident memory of this process in KiB."""
    with open("/proc/self/status") as file:
        return int(file.read().split("VmRSS:")[1].split()[0])


def time_key_value_formatter() -> float:
    """Returns the seconds that `LINE_COUNT` lines take with the server's formatter."""
    from burlloom.server.logs import KeyValueFormatter

    handler = logging.StreamHandler(io.StringIO())
    handler.setFormatter(KeyValueFormatter())
    log = logging.getLogger("burlloom.bench")
    log.addHandler(handler)
    log.setLevel(logging.INFO)
    log.propagate = False
    started_at_s = time.perf_counter()
    for _ in range(LINE_COUNT):
        log.info(MESSAGE_FORMAT, *VALUES)
    return time.perf_counter() - started_at_s


def time_structlog() -> float:
    """Returns the seconds that `LINE_COUNT` lines take with structlog."""
    import structlog

    out = io.StringIO()
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", key="ts"),
            structlog.processors.LogfmtRenderer(key_order=["ts", "level", "event"]),
        ],
        logger_factory=structlog.PrintLoggerFactory(out),
        cache_logger_on_first_use=True,
    )
    log = structlog.get_logger()
    started_at_s = time.perf_counter()
    for _ in range(LINE_COUNT):
        log.info(
            "connection_closed",
            side="balancer",
            peer=VALUES[0],
            reason=VALUES[1],
            requests=12,
            responses=12,
            bad_requests=0,
            unanswered=0,
            detail="",
        )
    return time.perf_counter() - started_at_s


def main() -> None:
    """Runs both measurements, each in a new process, or the one that the argument names."""
    if len(sys.argv) == 1:
        for name in ("ours", "structlog"):
            subprocess.run([sys.executable, __file__, name], check=True)
        return
    memory_before_kb = resident_kb()
    duration_s = time_key_value_formatter() if sys.argv[1] == "ours" else time_structlog()
    print(
        f"{sys.argv[1]}: {duration_s / LINE_COUNT * 1e6:.2f} us a line, {(resident_kb() - memory_before_kb) / 1024:.1f} MiB with the lines"
    )
    started_at_s = time.perf_counter()
    code = "import logging" if sys.argv[1] == "ours" else "import logging, structlog"
    out = subprocess.run(
        [
            sys.executable,
            "-c",
            f"{code}\nprint(open('/proc/self/status').read().split('VmRSS:')[1].split()[0])",
        ],
        capture_output=True,
        text=True,
        check=True,
    )
    print(
        f"    imports: {int(out.stdout) / 1024:.1f} MiB resident, {(time.perf_counter() - started_at_s) * 1e3:.0f} ms"
    )


if __name__ == "__main__":
    main()
